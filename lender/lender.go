// Package lender transfers tokens of prepaid balances between daemons without the store.
//
// Each daemon may spend its own share of a balance (package apportioner). A share that is
// used up is refilled from the store, but each refill is a transaction that excludes those
// of all other daemons, and in a large fleet a share is smaller than one long prompt.
// A daemon that lacks tokens for a client's request therefore requests a transfer from
// another daemon. The granting daemon counts the transferred tokens as spent. The sum that
// all daemons may spend never grows, even if messages are lost:
//
//   - The granting daemon counts the tokens as spent before it responds.
//   - The requesting daemon credits the first response to each of its own requests, even
//     if it arrives late, and ignores duplicates.
//   - Tokens in a response that never arrives are lost to the account, like the tokens
//     that a killed daemon could have spent. To make this rare, requests are retransmitted,
//     and the granting daemon repeats its response to a request that it has seen before.
//
// Requests and responses are single datagrams. When no daemon has responded, as in a
// network partition, no transfers are requested for a short time, so that clients'
// requests do not wait for them.
//
//	l := lender.New(lender.Config{Conn: conn, Shares: shares, Peers: peers})
//	go l.Run(ctx)
//	l.RequestTransfer(ctx, "loft-7", 17_000) // credits shares
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
	// responseTimeout is how long a client's request waits for one peer. A round trip
	// between zones takes about 10 ms, and the peer may need a synchronisation round with
	// the store, which takes about 20 ms.
	responseTimeout = 60 * time.Millisecond
	// maxPeers is the number of peers that are tried for one transfer, one after another.
	maxPeers = 4
	// backoffTime is how long no transfer is requested after no peer has responded.
	backoffTime = 500 * time.Millisecond
	// maxRetransmissions is how often a transfer request is sent again. The interval starts
	// at responseTimeout and doubles each time. The total of 3.8 s outlasts bursts of packet
	// loss.
	maxRetransmissions = 5
	// responseRetention is how long responses are kept for retransmitted requests. It is
	// longer than requests are retransmitted.
	responseRetention = 10 * time.Second
	// maxResponses is the maximum number of retained responses, about 100 bytes each.
	// A daemon grants a few transfers per second.
	maxResponses = 8192
	// maxConcurrentGrants is the maximum number of transfer requests that wait for a
	// synchronisation round of this daemon. Further requests are granted no tokens.
	maxConcurrentGrants = 64
	// maxMessageBytes is the maximum size of a datagram. Account names are short.
	maxMessageBytes = 512
)

// Shares holds the daemon's shares of the balances.
type Shares interface {
	// GrantTransfer counts up to the given number of tokens as spent and returns how many.
	GrantTransfer(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens
	// CreditTransfer adds tokens that another daemon has counted as spent.
	CreditTransfer(account contractor.Account, tokens contractor.Tokens)
}

// Conn sends and receives datagrams. *net.UDPConn implements it.
type Conn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Config holds what a Lender needs.
type Config struct {
	Conn   Conn
	Shares Shares
	// Peers returns the daemons that may have tokens of an account, the most likely first.
	Peers    func(account contractor.Account) []netip.AddrPort
	Recorder *recorder.Recorder
}

// Lender requests transfers from other daemons and grants theirs. It is safe for
// concurrent use.
type Lender struct {
	config Config
	grants chan struct{} // one element per transfer request that is being granted
	ctx    context.Context
	stop   context.CancelFunc

	mu sync.Mutex
	// pending holds this daemon's unanswered requests by their ID.
	pending map[uint64]*pendingRequest
	// responses holds the responses sent to other daemons, by the ID of the request.
	responses map[uint64]response
	// backoffUntil is the end of the backoff after no peer has responded.
	backoffUntil time.Time
}

// pendingRequest is an unanswered request of this daemon.
type pendingRequest struct {
	granted chan contractor.Tokens // buffered, receives the response
}

// response is the response of this daemon to one request.
type response struct {
	tokens contractor.Tokens
	unsent bool // no response has been sent yet
	at     time.Time
}

// message is a transfer request, or the response to one if Answered is set.
type message struct {
	_        struct{} `cbor:",toarray"`
	Answered bool
	ID       uint64 // of the request
	Account  contractor.Account
	Tokens   contractor.Tokens // requested or granted
}

// Listen opens the socket of a Lender.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for loans on %s: %w", address, err)
	}
	return conn, nil
}

// New returns a Lender. It grants and receives transfers only while Run runs.
func New(c Config) *Lender {
	l := &Lender{
		config: c, grants: make(chan struct{}, maxConcurrentGrants),
		pending: make(map[uint64]*pendingRequest), responses: make(map[uint64]response),
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// RequestTransfer requests tokens from one peer after another until they have granted the
// given number in total, and credits them to the shares. It returns the number of tokens
// that arrived in time for the client's request. Later responses are credited too.
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

// requestFrom requests tokens from one daemon and waits up to responseTimeout for the
// response.
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

// transmit sends a transfer request until the peer responds or maxRetransmissions is
// reached. It continues after the client's request has stopped waiting, because the peer
// may have counted the tokens as spent.
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

// Run handles requests and responses of other daemons until ctx ends, and closes the Conn.
func (l *Lender) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		l.stop()
		// Closing only has to make the read below fail.
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
		l.respond(from, m, l.config.Shares.GrantTransfer(ctx, m.Account, m.Tokens))
	}()
}

// handleResponse credits the first response to a request.
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
		l.config.Shares.CreditTransfer(m.Account, m.Tokens)
	}
	r.granted <- m.Tokens
}

// deduplicate records a new request and repeats the response to a known one. It reports
// whether the request is new.
func (l *Lender) deduplicate(from netip.AddrPort, m message) bool {
	l.mu.Lock()
	previous, known := l.responses[m.ID]
	if !known {
		l.pruneResponses(time.Now())
		l.responses[m.ID] = response{unsent: true, at: time.Now()}
	}
	l.mu.Unlock()
	if known && !previous.unsent {
		l.sendResponse(from, m, previous.tokens)
	}
	return !known
}

// pruneResponses deletes expired responses once there are maxResponses, and all of them if
// none has expired. The lock is held.
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

// respond records the response to a request and sends it.
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
