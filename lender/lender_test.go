package lender

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

// network carries datagrams between lenders of a test, after a millisecond.
type network struct {
	mu    sync.Mutex
	conns map[netip.AddrPort]*port
	// drop decides which datagrams are lost, and twice which arrive twice.
	drop, twice func(m []byte) bool
}

type datagram struct {
	text []byte
	from netip.AddrPort
}

// port is one end of the network.
type port struct {
	network *network
	address netip.AddrPort
	inbox   chan datagram
	closed  chan struct{}
}

func (p *port) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-p.inbox:
		return copy(b, d.text), d.from, nil
	case <-p.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (p *port) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.conns[to]
	if target == nil || n.drop != nil && n.drop(b) {
		return len(b), nil
	}
	d := datagram{text: append([]byte(nil), b...), from: p.address}
	time.AfterFunc(time.Millisecond, func() { target.inbox <- d })
	if n.twice != nil && n.twice(b) {
		time.AfterFunc(3*time.Millisecond, func() { target.inbox <- d })
	}
	return len(b), nil
}

func (p *port) Close() error {
	close(p.closed)
	return nil
}

// purse is a Book with one account. Lending takes a while.
type purse struct {
	mu     sync.Mutex
	tokens contractor.Tokens
	slow   time.Duration
	lent   int
}

func (p *purse) GrantTransfer(_ context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	time.Sleep(p.slow)
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens = min(tokens, p.tokens)
	if account != testAccount || tokens <= 0 {
		return 0
	}
	p.lent++
	p.tokens -= tokens
	return tokens
}

func (p *purse) CreditTransfer(_ contractor.Account, tokens contractor.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens += tokens
}

// node is one daemon of a test.
type node struct {
	*Lender
	purse *purse
}

// start joins daemons that ask each other in order and hold so many tokens each.
func start(t *testing.T, n *network, holdings ...contractor.Tokens) []node {
	n.conns = make(map[netip.AddrPort]*port)
	var addresses []netip.AddrPort
	for i := range holdings {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7341))
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var nodes []node
	for i, tokens := range holdings {
		p := &port{network: n, address: addresses[i], inbox: make(chan datagram, 16), closed: make(chan struct{})}
		n.conns[addresses[i]] = p
		book := &purse{tokens: tokens}
		var peers []netip.AddrPort
		for j, address := range addresses {
			if i != j {
				peers = append(peers, address)
			}
		}
		l := New(Config{
			Conn: p, Book: book, Recorder: recorder.New(),
			Peers: func(contractor.Account) []netip.AddrPort { return peers },
		})
		nodes = append(nodes, node{l, book})
		go l.Run(ctx)
	}
	return nodes
}

// play runs a test on a network of its own, and ends all lenders before it returns.
func play(t *testing.T, n *network, holdings []contractor.Tokens, test func(t *testing.T, nodes []node)) {
	synctest.Test(t, func(t *testing.T) { test(t, start(t, n, holdings...)) })
}

func TestBorrowAsksOneAfterAnother(t *testing.T) {
	play(t, &network{}, []contractor.Tokens{0, 30, 500}, func(t *testing.T, nodes []node) {
		require.Equal(t, contractor.Tokens(100), nodes[0].Borrow(t.Context(), testAccount, 100))
		require.Equal(t, []contractor.Tokens{100, 0, 430}, held(nodes), "what the first one lacks comes from the second")
		require.Equal(t, contractor.Tokens(430), nodes[0].Borrow(t.Context(), testAccount, 1000))
		require.Zero(t, nodes[0].Borrow(t.Context(), "unknown", 1))
		require.Equal(t, []contractor.Tokens{530, 0, 0}, held(nodes))
	})
}

func held(nodes []node) []contractor.Tokens {
	var all []contractor.Tokens
	for _, n := range nodes {
		n.purse.mu.Lock()
		all = append(all, n.purse.tokens)
		n.purse.mu.Unlock()
	}
	return all
}

// Whatever datagrams are lost or arrive twice, a loan is credited once, and none is lost
// while a few of them arrive.
func TestLoanArrivesOnce(t *testing.T) {
	count := 0
	every := func(n int) func([]byte) bool {
		return func([]byte) bool { count++; return count%n == 0 }
	}
	tests := []struct {
		name string
		network
	}{
		{name: "all arrive", network: network{}},
		{name: "each third is lost", network: network{drop: every(3)}},
		{name: "each fourth is lost", network: network{drop: every(4)}},
		{name: "all arrive twice", network: network{twice: every(1)}},
		{name: "some are lost, some arrive twice", network: network{drop: every(3), twice: every(2)}},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			count = 0
			play(t, &tt.network, []contractor.Tokens{0, 1000}, func(t *testing.T, nodes []node) {
				for range 5 {
					nodes[0].Borrow(t.Context(), testAccount, 100)
					time.Sleep(5 * time.Second) // also late answers are credited
				}
				require.Equal(t, []contractor.Tokens{500, 500}, held(nodes))
				require.Equal(t, 5, nodes[1].purse.lent)
			})
		})
	}
}

// A request does not wait for an answer that takes long, but the loan still counts.
func TestLateLoanIsCredited(t *testing.T) {
	play(t, &network{}, []contractor.Tokens{0, 1000}, func(t *testing.T, nodes []node) {
		nodes[1].purse.slow = 300 * time.Millisecond
		begun := time.Now()
		require.Zero(t, nodes[0].Borrow(t.Context(), testAccount, 100))
		require.Equal(t, answerTime, time.Since(begun))
		time.Sleep(time.Second)
		require.Equal(t, []contractor.Tokens{100, 900}, held(nodes))
	})
}

// In a cut, one request finds out, and the next ones do not wait for a while.
func TestNobodyIsAskedWhileNobodyAnswers(t *testing.T) {
	n := &network{drop: func([]byte) bool { return true }}
	play(t, n, []contractor.Tokens{0, 1000, 1000}, func(t *testing.T, nodes []node) {
		begun := time.Now()
		require.Zero(t, nodes[0].Borrow(t.Context(), testAccount, 100))
		require.Equal(t, 2*answerTime, time.Since(begun))
		require.Zero(t, nodes[0].Borrow(t.Context(), testAccount, 100))
		require.Equal(t, 2*answerTime, time.Since(begun))
		n.mu.Lock()
		n.drop = nil
		n.mu.Unlock()
		time.Sleep(quietTime)
		require.Positive(t, nodes[0].Borrow(t.Context(), testAccount, 100))
	})
}

func TestBadMessagesAreSkipped(t *testing.T) {
	play(t, &network{}, []contractor.Tokens{0, 1000}, func(t *testing.T, nodes []node) {
		conn := nodes[0].config.Conn
		for _, text := range []string{"", "x", "\x84\xf5\x01"} {
			_, err := conn.WriteToUDPAddrPort([]byte(text), nodes[0].config.Peers(testAccount)[0])
			require.NoError(t, err)
		}
		nodes[1].take(message{Answered: true, ID: 7, Account: testAccount, Tokens: 100})
		require.Equal(t, []contractor.Tokens{0, 1000}, held(nodes), "nobody has asked for it")
		require.Equal(t, contractor.Tokens(100), nodes[0].Borrow(t.Context(), testAccount, 100))
	})
}
