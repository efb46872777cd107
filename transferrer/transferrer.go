// Package transferrer transfers tokens of prepaid balances between daemons without the store.
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
// The metric lender.unanswered keeps the package's former name.
//
//	t := transferrer.New(transferrer.Config{Conn: conn, Shares: shares, Peers: peers})
//	go t.Run(ctx)
//	t.RequestTransfer(ctx, "loft-7", 17_000) // credits shares
package transferrer

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

// Config holds what a Transferrer needs.
type Config struct {
	Conn   Conn
	Shares Shares
	// Peers returns the daemons that may have tokens of an account, the most likely first.
	Peers    func(account contractor.Account) []netip.AddrPort
	Recorder *recorder.Recorder
}

// Transferrer requests transfers from other daemons and grants theirs. It is safe for
// concurrent use.
type Transferrer struct {
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

// Listen opens the socket of a Transferrer.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for loans on %s: %w", address, err)
	}
	return conn, nil
}

// New returns a Transferrer. It grants and receives transfers only while Run runs.
func New(c Config) *Transferrer {
	t := &Transferrer{
		config: c, grants: make(chan struct{}, maxConcurrentGrants),
		pending: make(map[uint64]*pendingRequest), responses: make(map[uint64]response),
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// RequestTransfer requests tokens from one peer after another until they have granted the
// given number in total, and credits them to the shares. It returns the number of tokens
// that arrived in time for the client's request. Later responses are credited too.
func (t *Transferrer) RequestTransfer(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
	if t.inBackoff() {
		return 0
	}
	responded, received := false, contractor.Tokens(0)
	peers := t.config.Peers(account)
	for _, peer := range peers[:min(len(peers), maxPeers)] {
		granted, ok := t.requestFrom(ctx, peer, account, tokens-received)
		received += granted
		if received >= tokens || ctx.Err() != nil {
			return received
		}
		responded = responded || ok
	}
	if !responded && len(peers) > 0 {
		t.startBackoff()
	}
	return received
}

// requestFrom requests tokens from one daemon and waits up to responseTimeout for the
// response.
func (t *Transferrer) requestFrom(ctx context.Context, peer netip.AddrPort, account contractor.Account, tokens contractor.Tokens) (granted contractor.Tokens, responded bool) {
	r := &pendingRequest{granted: make(chan contractor.Tokens, 1)}
	id := rand.Uint64()
	t.addPending(id, r)
	go t.transmit(id, peer, account, tokens)
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	select {
	case granted = <-r.granted:
	case <-ctx.Done():
		return 0, false
	}
	if granted > 0 {
		t.config.Recorder.Event(recorder.LoanTaken, "account", account, "tokens", granted, "peer", peer)
	}
	return granted, true
}

func (t *Transferrer) inBackoff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.backoffUntil)
}

func (t *Transferrer) startBackoff() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = time.Now().Add(backoffTime)
	t.config.Recorder.Count("lender.unanswered", 1)
}

func (t *Transferrer) addPending(id uint64, r *pendingRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending[id] = r
}

// transmit sends a transfer request until the peer responds or maxRetransmissions is
// reached. It continues after the client's request has stopped waiting, because the peer
// may have counted the tokens as spent.
func (t *Transferrer) transmit(id uint64, peer netip.AddrPort, account contractor.Account, tokens contractor.Tokens) {
	timeout := responseTimeout
	for range 1 + maxRetransmissions {
		t.send(peer, message{ID: id, Account: account, Tokens: tokens})
		if sleeper.Sleep(t.ctx, timeout) != nil || !t.isPending(id) {
			return
		}
		timeout *= 2
	}
	t.mu.Lock()
	delete(t.pending, id)
	t.mu.Unlock()
	t.config.Recorder.Event(recorder.LoanUnanswered, "account", account, "tokens", tokens, "peer", peer)
}

func (t *Transferrer) isPending(id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, pending := t.pending[id]
	return pending
}

// Run handles requests and responses of other daemons until ctx ends, and closes the Conn.
func (t *Transferrer) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		t.stop()
		// Closing only has to make the read below fail.
		_ = t.config.Conn.Close()
	})
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := t.config.Conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				t.config.Recorder.Event(recorder.LoanFailed, "step", "receive", "err", err)
			}
			return
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			t.config.Recorder.Event(recorder.LoanFailed, "step", "decode", "peer", from, "err", err)
			continue
		}
		t.handle(ctx, from, m)
	}
}

func (t *Transferrer) handle(ctx context.Context, from netip.AddrPort, m message) {
	if m.Answered {
		t.handleResponse(m)
		return
	}
	if !t.deduplicate(from, m) {
		return
	}
	select {
	case t.grants <- struct{}{}:
	default:
		t.respond(from, m, 0)
		return
	}
	go func() {
		defer func() { <-t.grants }()
		t.respond(from, m, t.config.Shares.GrantTransfer(ctx, m.Account, m.Tokens))
	}()
}

// handleResponse credits the first response to a request.
func (t *Transferrer) handleResponse(m message) {
	t.mu.Lock()
	r := t.pending[m.ID]
	delete(t.pending, m.ID)
	t.backoffUntil = time.Time{}
	t.mu.Unlock()
	if r == nil {
		return
	}
	if m.Tokens > 0 {
		t.config.Shares.CreditTransfer(m.Account, m.Tokens)
	}
	r.granted <- m.Tokens
}

// deduplicate records a new request and repeats the response to a known one. It reports
// whether the request is new.
func (t *Transferrer) deduplicate(from netip.AddrPort, m message) bool {
	t.mu.Lock()
	previous, known := t.responses[m.ID]
	if !known {
		t.pruneResponses(time.Now())
		t.responses[m.ID] = response{unsent: true, at: time.Now()}
	}
	t.mu.Unlock()
	if known && !previous.unsent {
		t.sendResponse(from, m, previous.tokens)
	}
	return !known
}

// pruneResponses deletes expired responses once there are maxResponses, and all of them if
// none has expired. The lock is held.
func (t *Transferrer) pruneResponses(now time.Time) {
	if len(t.responses) < maxResponses {
		return
	}
	for id, r := range t.responses {
		if now.Sub(r.at) > responseRetention {
			delete(t.responses, id)
		}
	}
	if len(t.responses) >= maxResponses {
		clear(t.responses)
	}
}

// respond records the response to a request and sends it.
func (t *Transferrer) respond(to netip.AddrPort, m message, tokens contractor.Tokens) {
	t.mu.Lock()
	t.responses[m.ID] = response{tokens: tokens, at: time.Now()}
	t.mu.Unlock()
	t.sendResponse(to, m, tokens)
}

func (t *Transferrer) sendResponse(to netip.AddrPort, m message, tokens contractor.Tokens) {
	m.Answered, m.Tokens = true, tokens
	t.send(to, m)
}

func (t *Transferrer) send(to netip.AddrPort, m message) {
	data, err := cbor.Marshal(m)
	if err == nil {
		_, err = t.config.Conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		t.config.Recorder.Event(recorder.LoanFailed, "step", "send", "peer", to, "err", err)
	}
}
