package messenger

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay passes packets between one client and a daemon, and loses some.
type relay struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	mu          sync.Mutex
	random      *rand.Rand
	loss        float64
	done        sync.WaitGroup
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	r := &relay{front: front, back: back, random: rand.New(rand.NewPCG(1, 2))}
	r.done.Go(r.forward)
	r.done.Go(r.backward)
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
		r.done.Wait()
	})
	return r
}

func (r *relay) address() netip.AddrPort { return r.front.LocalAddr().(*net.UDPAddr).AddrPort() }

func (r *relay) lose(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loss = share
}

func (r *relay) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < r.loss
}

func (r *relay) forward() {
	packet := make([]byte, 65536)
	for {
		n, from, err := r.front.ReadFromUDP(packet)
		if err != nil {
			return
		}
		r.client.Store(from)
		if !r.lost() {
			_, _ = r.back.Write(packet[:n])
		}
	}
}

func (r *relay) backward() {
	packet := make([]byte, 65536)
	for {
		n, err := r.back.Read(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !r.lost() {
			_, _ = r.front.WriteToUDP(packet[:n], r.client.Load())
		}
	}
}

// TestSentIsTruthful sends calls with short deadlines over a link that loses
// packets: no call that is reported as not sent may have run.
func TestSentIsTruthful(t *testing.T) {
	f := newFleet(t)
	var ran sync.Map
	a := f.start("vm-a", nil)
	b := f.start("vm-b", func(c *QUICConfig) {
		Handle(c.Mux, methodWait, func(_ context.Context, _ Peer, r *text) (*text, error) {
			_, twice := ran.LoadOrStore(r.Value, true)
			if twice {
				return nil, errors.New("ran twice")
			}
			return r, nil
		})
	})
	link := newRelay(t, b.Self().Address)
	to := b.Self()
	to.Address = link.address()
	_, err := echo(a, to, "connect")
	require.NoError(t, err)
	link.lose(0.2)

	const calls = 300
	outcomes := make([]error, calls)
	var running sync.WaitGroup
	slots := make(chan struct{}, 20)
	for i := range calls {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%40)*time.Millisecond)
			defer cancel()
			_, outcomes[i] = Call[text, text](ctx, a, to, methodWait, &text{strconv.Itoa(i)})
		})
	}
	running.Wait()
	link.lose(0)
	require.NoError(t, b.Shutdown(context.Background()))
	for i, err := range outcomes {
		_, hasRun := ran.Load(strconv.Itoa(i))
		if err == nil {
			require.True(t, hasRun)
			continue
		}
		var failed *CallError
		require.ErrorAs(t, err, &failed)
		require.Empty(t, failed.RemoteMessage)
		require.False(t, hasRun && !failed.PossiblyExecuted, "call %d ran, and its error says that it did not: %v", i, err)
	}
}

// TestSilentConnectionIsReplaced cuts a link without either side noticing.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t)
	short := func(c *QUICConfig) { c.DialTimeout, c.CallTimeout = 300*time.Millisecond, 100*time.Millisecond }
	a, b := f.start("vm-a", short), f.start("vm-b", nil)
	link := newRelay(t, b.Self().Address)
	to := b.Self()
	to.Address = link.address()
	_, err := echo(a, to, "hi")
	require.NoError(t, err)
	link.lose(1)
	require.Eventually(t, func() bool {
		_, err := echo(a, to, "hi")
		return errors.Is(err, ErrUnreachable)
	}, 10*time.Second, time.Millisecond)
	link.lose(0)
	require.Eventually(t, func() bool {
		_, err := echo(a, to, "hi")
		return err == nil
	}, 10*time.Second, time.Millisecond)
}

func TestPeerDiesDuringCall(t *testing.T) {
	f := newFleet(t)
	started := make(chan struct{})
	a := f.start("vm-a", nil)
	b := f.start("vm-b", func(c *QUICConfig) {
		Handle(c.Mux, methodWait, func(ctx context.Context, _ Peer, _ *text) (*text, error) {
			close(started)
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	failed := make(chan error, 1)
	go func() {
		_, err := Call[text, text](context.Background(), a, b.Self(), methodWait, &text{})
		failed <- err
	}()
	<-started
	require.NoError(t, b.Close())
	requireSent(t, <-failed)
}
