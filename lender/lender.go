// Package lender moves parts of prepaid balances between daemons without the store.
//
// Each daemon may spend its own share of a balance (package apportioner). A share that
// is used up is refilled from the store, but every refill is a transaction that excludes
// those of all other daemons, and in a large fleet shares are smaller than one long
// prompt. So a daemon that lacks tokens for a request asks another one, which counts what
// it lends as spent. The sum of what all daemons may spend stays the same, whatever is
// lost on the way:
//
//   - the lender counts the tokens as spent before it answers;
//   - the borrower takes each answer to a question of its own once, also a late one;
//   - an answer that never arrives is lost to the account, like the open part of a
//     daemon that is killed. Therefore a question is repeated, and the lender answers a
//     question that it knows as before.
//
// Questions and answers are single datagrams. While nobody answers, as in a cut, requests
// do not wait for it.
//
//	l := lender.New(lender.Config{Conn: conn, Shares: shares, Peers: peers})
//	go l.Run(ctx)
//	l.RequestTransfer(ctx, "loft-7", 17_000) // credits the Shares
package lender

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// responseTimeout is how long a request waits for one lender: a round trip between zones
	// is about 10 ms, and the lender may need a round with the store of about 20 ms.
	responseTimeout = 60 * time.Millisecond
	// maxPeers is how many daemons a request asks, one after another.
	maxPeers = 4
	// backoffTime is how long nobody is asked after nobody has answered.
	backoffTime = 500 * time.Millisecond
	// maxRetransmissions is how often a question is sent again, after answerTime at first and twice
	// as long each time: in all for 3.8 s, which outlasts bursts of lost packets.
	maxRetransmissions = 5
	// responseRetention is how long a lender knows its answers: longer than questions are repeated.
	responseRetention = 10 * time.Second
	// maxResponses bounds the answers that are remembered, some 100 bytes each. A daemon
	// lends a few times a second.
	maxResponses = 8192
	// maxConcurrentGrants bounds the questions that wait for a round of the lender.
	maxConcurrentGrants = 64
	// maxMessageBytes is the largest datagram in bytes: names of accounts are short.
	maxMessageBytes = 512
)

// Shares is the daemon's own share of the balances.
type Shares interface {
	// Lend counts some of the tokens as spent, all at best, and returns how many.
	Lend(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens
	// Credit adds tokens that another daemon has counted as spent.
	Credit(account contractor.Account, tokens contractor.Tokens)
}

// Conn sends and receives datagrams. *net.UDPConn is one.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Config holds what a Lender needs.
type Config struct {
	Conn   Conn
	Shares Shares
	// Peers returns the daemons to ask for tokens of an account, the likeliest first.
	Peers    func(account contractor.Account) []netip.AddrPort
	Recorder *recorder.Recorder
}

// Lender asks and answers. It is safe for concurrent use.
type Lender struct {
	config Config
	grants chan struct{} // one element per question that is being answered
	ctx    context.Context
	stop   context.CancelFunc

	mu sync.Mutex
	// pending are the own questions that have no answer yet.
	pending map[uint64]*pendingRequest
	// responses are those given, by the question's id.
	responses map[uint64]response
	// backoffUntil is when somebody is asked again after nobody has answered.
	backoffUntil time.Time
}

// pendingRequest is one that this daemon has asked.
type pendingRequest struct {
	granted chan contractor.Tokens // has room for the one answer
}

// response is what this daemon has answered, or nothing yet while pending.
type response struct {
	tokens  contractor.Tokens
	pending bool
	at      time.Time
}

// message is a question, or the answer to one.
type message struct {
	_        struct{} `cbor:",toarray"`
	Answered bool
	ID       uint64 // of the question
	Account  contractor.Account
	Tokens   contractor.Tokens // asked for, or lent
}

// Listen opens the socket of a Lender.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for loans on %s: %w", address, err)
	}
	return conn, nil
}

// New returns a lender. It answers while Run runs.
func New(c Config) *Lender {
	l := &Lender{
		config: c, grants: make(chan struct{}, maxConcurrentGrants),
		pending: make(map[uint64]*pendingRequest), responses: make(map[uint64]response),
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// RequestTransfer asks other daemons for tokens until they have lent them all together, and
// credits them to the book. It returns what was lent within the time that a request can wait; a later answer
// is credited too.
func (l *Lender) RequestTransfer(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	if l.inBackoff() {
		return 0
	}
	responded, received := false, contractor.Tokens(0)
	peers := l.config.Peers(account)
	for _, peer := range peers[:min(len(peers), maxPeers)] {
		granted, ok := l.requestFrom(ctx, peer, account, tokens-received)
		received += granted
		if received >= tokens || ctx.Err() != nil {
			return received
		}
		responded = responded || ok
	}
	if !responded && len(peers) > 0 {
		l.startBackoff()
	}
	return received
}

// requestFrom asks one daemon and waits for its answer for a while.
func (l *Lender) requestFrom(ctx context.Context, peer netip.AddrPort, account contractor.Account, tokens contractor.Tokens) (granted contractor.Tokens, responded bool) {
	r := &pendingRequest{granted: make(chan contractor.Tokens, 1)}
	id := rand.Uint64()
	l.addPending(id, r)
	go l.transmit(id, peer, account, tokens)
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	select {
	case granted = <-r.granted:
	case <-ctx.Done():
		return 0, false
	}
	if granted > 0 {
		l.config.Recorder.Event(recorder.LoanTaken, "account", account, "tokens", granted, "peer", peer)
	}
	return granted, true
}

func (l *Lender) inBackoff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.backoffUntil)
}

func (l *Lender) startBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoffUntil = time.Now().Add(backoffTime)
	l.config.Recorder.Count("lender.unanswered", 1)
}

func (l *Lender) addPending(id uint64, r *pendingRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[id] = r
}

// transmit sends a question until it is answered, also after the request has stopped waiting:
// the lender may have counted the tokens as spent.
func (l *Lender) transmit(id uint64, peer netip.AddrPort, account contractor.Account, tokens contractor.Tokens) {
	timeout := responseTimeout
	for range 1 + maxRetransmissions {
		l.send(peer, message{ID: id, Account: account, Tokens: tokens})
		if sleeper.Sleep(l.ctx, timeout) != nil || !l.isPending(id) {
			return
		}
		timeout *= 2
	}
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
	l.config.Recorder.Event(recorder.LoanUnanswered, "account", account, "tokens", tokens, "peer", peer)
}

func (l *Lender) isPending(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, pending := l.pending[id]
	return pending
}

// Run answers other daemons and takes their answers until ctx ends, and closes the Conn.
func (l *Lender) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		l.stop()
		// The read below fails, which is all that matters.
		_ = l.config.Conn.Close()
	})
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := l.config.Conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				l.config.Recorder.Event(recorder.LoanFailed, "step", "receive", "err", err)
			}
			return
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			l.config.Recorder.Event(recorder.LoanFailed, "step", "decode", "peer", from, "err", err)
			continue
		}
		l.handle(ctx, from, m)
	}
}

func (l *Lender) handle(ctx context.Context, from netip.AddrPort, m message) {
	if m.Answered {
		l.handleResponse(m)
		return
	}
	if !l.deduplicate(from, m) {
		return
	}
	select {
	case l.grants <- struct{}{}:
	default:
		l.respond(from, m, 0)
		return
	}
	go func() {
		defer func() { <-l.grants }()
		l.respond(from, m, l.config.Shares.Lend(ctx, m.Account, m.Tokens))
	}()
}

// handleResponse credits the first answer to a question.
func (l *Lender) handleResponse(m message) {
	l.mu.Lock()
	r := l.pending[m.ID]
	delete(l.pending, m.ID)
	l.backoffUntil = time.Time{}
	l.mu.Unlock()
	if r == nil {
		return
	}
	if m.Tokens > 0 {
		l.config.Shares.Credit(m.Account, m.Tokens)
	}
	r.granted <- m.Tokens
}

// deduplicate notes a question, or answers it as before. It reports whether it is a new one.
func (l *Lender) deduplicate(from netip.AddrPort, m message) bool {
	l.mu.Lock()
	previous, known := l.responses[m.ID]
	if !known {
		l.pruneResponses(time.Now())
		l.responses[m.ID] = response{pending: true, at: time.Now()}
	}
	l.mu.Unlock()
	if known && !previous.pending {
		l.sendResponse(from, m, previous.tokens)
	}
	return !known
}

// pruneResponses drops old answers when there are many. The lock is held.
func (l *Lender) pruneResponses(now time.Time) {
	if len(l.responses) < maxResponses {
		return
	}
	for id, r := range l.responses {
		if now.Sub(r.at) > responseRetention {
			delete(l.responses, id)
		}
	}
	if len(l.responses) >= maxResponses {
		clear(l.responses)
	}
}

// respond keeps the respond to a question and sends it.
func (l *Lender) respond(to netip.AddrPort, m message, tokens contractor.Tokens) {
	l.mu.Lock()
	l.responses[m.ID] = response{tokens: tokens, at: time.Now()}
	l.mu.Unlock()
	l.sendResponse(to, m, tokens)
}

func (l *Lender) sendResponse(to netip.AddrPort, m message, tokens contractor.Tokens) {
	m.Answered, m.Tokens = true, tokens
	l.send(to, m)
}

func (l *Lender) send(to netip.AddrPort, m message) {
	data, err := cbor.Marshal(m)
	if err == nil {
		_, err = l.config.Conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		l.config.Recorder.Event(recorder.LoanFailed, "step", "send", "peer", to, "err", err)
	}
}
