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

// lossyProxy forwards UDP packets between one client and a daemon, and drops some.
type lossyProxy struct {
	clientSide, serverSide *net.UDPConn
	client                 atomic.Pointer[net.UDPAddr]
	mu                     sync.Mutex
	random                 *rand.Rand
	lossRate               float64
	goroutines             sync.WaitGroup
}

func newLossyProxy(t *testing.T, to netip.AddrPort) *lossyProxy {
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	serverSide, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	require.NoError(t, err)
	p := &lossyProxy{clientSide: clientSide, serverSide: serverSide, random: rand.New(rand.NewPCG(1, 2))}
	p.goroutines.Go(p.forward)
	p.goroutines.Go(p.backward)
	t.Cleanup(func() {
		_ = clientSide.Close()
		_ = serverSide.Close()
		p.goroutines.Wait()
	})
	return p
}

func (p *lossyProxy) address() netip.AddrPort {
	return p.clientSide.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (p *lossyProxy) setLossRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossRate = rate
}

func (p *lossyProxy) drop() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < p.lossRate
}

func (p *lossyProxy) forward() {
	packet := make([]byte, 65536)
	for {
		n, from, err := p.clientSide.ReadFromUDP(packet)
		if err != nil {
			return
		}
		p.client.Store(from)
		if !p.drop() {
			_, _ = p.serverSide.Write(packet[:n])
		}
	}
}

func (p *lossyProxy) backward() {
	packet := make([]byte, 65536)
	for {
		n, err := p.serverSide.Read(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !p.drop() {
			_, _ = p.clientSide.WriteToUDP(packet[:n], p.client.Load())
		}
	}
}

// Guards against an error that reports a call as not executed although its handler
// ran, after which the caller would repeat the call elsewhere. Calls with short
// deadlines over a connection that loses 20 % of its packets fail at every step.
func TestCallsReportedAsNotExecutedDidNotRun(t *testing.T) {
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
	proxy := newLossyProxy(t, b.Self().Address)
	to := b.Self()
	to.Address = proxy.address()
	_, err := echo(a, to, "connect")
	require.NoError(t, err)
	proxy.setLossRate(0.2)

	const calls = 300
	outcomes := make([]error, calls)
	var running sync.WaitGroup
	semaphore := make(chan struct{}, 20)
	for i := range calls {
		semaphore <- struct{}{}
		running.Go(func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%40)*time.Millisecond)
			defer cancel()
			_, outcomes[i] = Call[text, text](ctx, a, to, methodWait, &text{strconv.Itoa(i)})
		})
	}
	running.Wait()
	proxy.setLossRate(0)
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
		require.False(t, hasRun && !failed.PossiblyExecuted, "call %d was executed but its error says that it was not: %v", i, err)
	}
}

// Guards against calls that keep using a dead connection. All packets are lost, and
// neither side is told that the connection has ended.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFleet(t)
	short := func(c *QUICConfig) { c.DialTimeout, c.CallTimeout = 300*time.Millisecond, 100*time.Millisecond }
	a, b := f.start("vm-a", short), f.start("vm-b", nil)
	proxy := newLossyProxy(t, b.Self().Address)
	to := b.Self()
	to.Address = proxy.address()
	require.Eventually(t, func() bool {
		_, err := echo(a, to, "hi")
		return err == nil
	}, 10*time.Second, time.Millisecond, "there is no connection to replace")
	proxy.setLossRate(1)
	require.Eventually(t, func() bool {
		_, err := echo(a, to, "hi")
		return errors.Is(err, ErrUnreachable)
	}, 10*time.Second, time.Millisecond)
	proxy.setLossRate(0)
	require.Eventually(t, func() bool {
		_, err := echo(a, to, "hi")
		return err == nil
	}, 10*time.Second, time.Millisecond)
}

// Guards against reporting a call as not executed when the peer stops while the
// handler runs.
func TestCallInterruptedByPeerIsPossiblyExecuted(t *testing.T) {
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
	requirePossiblyExecuted(t, <-failed)
}
