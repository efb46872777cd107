package transferrer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

const testAccount = contractor.Account("loft-7")

// network delivers datagrams between the transferrers of a test with a delay of 1 ms.
type network struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*fakeConn
	// drop reports whether a datagram is lost, duplicate whether it is delivered twice.
	drop, duplicate func(m []byte) bool
}

type datagram struct {
	payload []byte
	from    netip.AddrPort
}

// fakeConn is one end of the network.
type fakeConn struct {
	network *network
	address netip.AddrPort
	inbox   chan datagram
	closed  chan struct{}
}

func (p *fakeConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-p.inbox:
		return copy(b, d.payload), d.from, nil
	case <-p.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (p *fakeConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.conns[to]
	if target == nil || n.drop != nil && n.drop(b) {
		return len(b), nil
	}
	d := datagram{payload: append([]byte(nil), b...), from: p.address}
	time.AfterFunc(time.Millisecond, func() { target.inbox <- d })
	if n.duplicate != nil && n.duplicate(b) {
		time.AfterFunc(3*time.Millisecond, func() { target.inbox <- d })
	}
	return len(b), nil
}

func (p *fakeConn) Close() error {
	close(p.closed)
	return nil
}

// fakeShares implements Shares for testAccount. GrantTransfer takes the time delay.
type fakeShares struct {
	mu        sync.Mutex
	tokens    contractor.Tokens
	delay     time.Duration
	transfers int
}

func (p *fakeShares) GrantTransfer(_ context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	time.Sleep(p.delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens = min(tokens, p.tokens)
	if account != testAccount || tokens <= 0 {
		return 0
	}
	p.transfers++
	p.tokens -= tokens
	return tokens
}

func (p *fakeShares) CreditTransfer(_ contractor.Account, tokens contractor.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += tokens
}

// daemon is one daemon of a test.
type daemon struct {
	*Transferrer
	shares *fakeShares
}

// startDaemons starts daemons that hold the given numbers of tokens and have each other as
// peers, in order.
func startDaemons(t *testing.T, n *network, balances ...contractor.Tokens) []daemon {
	n.conns = make(map[netip.AddrPort]*fakeConn)
	var addresses []netip.AddrPort
	for i := range balances {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7341))
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var daemons []daemon
	for i, tokens := range balances {
		p := &fakeConn{network: n, address: addresses[i], inbox: make(chan datagram, 16), closed: make(chan struct{})}
		n.conns[addresses[i]] = p
		shares := &fakeShares{tokens: tokens}
		var peers []netip.AddrPort
		for j, address := range addresses {
			if i != j {
				peers = append(peers, address)
			}
		}
		transferrer := New(Config{
			Conn: p, Shares: shares, Recorder: recorder.New(),
			Peers: func(contractor.Account) []netip.AddrPort { return peers },
		})
		daemons = append(daemons, daemon{transferrer, shares})
		go transferrer.Run(ctx)
	}
	return daemons
}

// runNetwork runs a test on its own network and stops all transferrers before it returns.
func runNetwork(t *testing.T, n *network, balances []contractor.Tokens, test func(t *testing.T, daemons []daemon)) {
	synctest.Test(t, func(t *testing.T) { test(t, startDaemons(t, n, balances...)) })
}

// Guards against requests that fail although several peers together have enough tokens.
func TestTransferRequestsPeersInOrder(t *testing.T) {
	runNetwork(t, &network{}, []contractor.Tokens{0, 30, 500}, func(t *testing.T, daemons []daemon) {
		require.Equal(t, contractor.Tokens(100), daemons[0].RequestTransfer(t.Context(), testAccount, 100))
		require.Equal(t, []contractor.Tokens{100, 0, 430}, tokensOf(daemons), "the second peer grants what the first one lacks")
		require.Equal(t, contractor.Tokens(430), daemons[0].RequestTransfer(t.Context(), testAccount, 1000))
		require.Zero(t, daemons[0].RequestTransfer(t.Context(), "unknown", 1))
		require.Equal(t, []contractor.Tokens{530, 0, 0}, tokensOf(daemons))
	})
}

func tokensOf(daemons []daemon) []contractor.Tokens {
	var all []contractor.Tokens
	for _, n := range daemons {
		n.shares.mu.Lock()
		all = append(all, n.shares.tokens)
		n.shares.mu.Unlock()
	}
	return all
}

// Guards against tokens that are credited twice or lost when datagrams are lost or
// duplicated: each transfer must be granted and credited exactly once.
func TestTransferIsCreditedOnce(t *testing.T) {
	count := 0
	every := func(n int) func([]byte) bool {
		return func([]byte) bool { count++; return count%n == 0 }
	}
	tests := []struct {
		name string
		network
	}{
		{name: "all arrive", network: network{}},
		{name: "every third datagram is lost", network: network{drop: every(3)}},
		{name: "every fourth datagram is lost", network: network{drop: every(4)}},
		{name: "all are duplicated", network: network{duplicate: every(1)}},
		{name: "some are lost, some duplicated", network: network{drop: every(3), duplicate: every(2)}},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			count = 0
			runNetwork(t, &tt.network, []contractor.Tokens{0, 1000}, func(t *testing.T, daemons []daemon) {
				for range 5 {
					daemons[0].RequestTransfer(t.Context(), testAccount, 100)
					time.Sleep(5 * time.Second) // late responses are credited too
				}
				require.Equal(t, []contractor.Tokens{500, 500}, tokensOf(daemons))
				require.Equal(t, 5, daemons[1].shares.transfers)
			})
		})
	}
}

// Guards against the loss of tokens that a slow peer grants after the client's request has
// stopped waiting.
func TestLateTransferIsCredited(t *testing.T) {
	runNetwork(t, &network{}, []contractor.Tokens{0, 1000}, func(t *testing.T, daemons []daemon) {
		daemons[1].shares.delay = 300 * time.Millisecond
		start := time.Now()
		require.Zero(t, daemons[0].RequestTransfer(t.Context(), testAccount, 100))
		require.Equal(t, responseTimeout, time.Since(start))
		time.Sleep(time.Second)
		require.Equal(t, []contractor.Tokens{100, 900}, tokensOf(daemons))
	})
}

// Guards against every request waiting for unreachable peers in a network partition: after
// one request without any response, the next ones return at once until backoffTime is over.
func TestNoRequestsDuringBackoff(t *testing.T) {
	n := &network{drop: func([]byte) bool { return true }}
	runNetwork(t, n, []contractor.Tokens{0, 1000, 1000}, func(t *testing.T, daemons []daemon) {
		start := time.Now()
		require.Zero(t, daemons[0].RequestTransfer(t.Context(), testAccount, 100))
		require.Equal(t, 2*responseTimeout, time.Since(start))
		require.Zero(t, daemons[0].RequestTransfer(t.Context(), testAccount, 100))
		require.Equal(t, 2*responseTimeout, time.Since(start))
		n.mu.Lock()
		n.drop = nil
		n.mu.Unlock()
		time.Sleep(backoffTime)
		require.Positive(t, daemons[0].RequestTransfer(t.Context(), testAccount, 100))
	})
}

// Guards against malformed datagrams that stop the receiver, and against tokens credited
// for a response that was never requested.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	runNetwork(t, &network{}, []contractor.Tokens{0, 1000}, func(t *testing.T, daemons []daemon) {
		conn := daemons[0].config.Conn
		for _, text := range []string{"", "x", "\x84\xf5\x01"} {
			_, err := conn.WriteToUDPAddrPort([]byte(text), daemons[0].config.Peers(testAccount)[0])
			require.NoError(t, err)
		}
		daemons[1].handleResponse(message{Answered: true, ID: 7, Account: testAccount, Tokens: 100})
		require.Equal(t, []contractor.Tokens{0, 1000}, tokensOf(daemons), "an unrequested response is not credited")
		require.Equal(t, contractor.Tokens(100), daemons[0].RequestTransfer(t.Context(), testAccount, 100))
	})
}
