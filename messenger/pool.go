package messenger

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"laburnumline/recorder"
)

// peerState holds the connection to one VM, or the error of the last dial.
type peerState struct {
	// dialing is a semaphore that is held while a connection is being opened.
	dialing chan struct{}
	current *peerConn // guarded by QUIC.mu
	// dialError is the error of the last dial. Calls fail with it until retryAt.
	dialError error
	retryAt   time.Time
}

// Call sends one request and returns the response. A call to the daemon itself
// goes directly to its own Mux.
func (q *QUIC) Call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, error) {
	q.counters.called.Inc(1)
	response, err := q.call(ctx, to, method, request)
	if err != nil {
		q.counters.failed.Inc(1)
		err.Method, err.Peer = method, to
		return nil, err
	}
	return response, nil
}

func (q *QUIC) call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, *CallError) {
	if int64(len(request)) > q.config.MaxMessage {
		return nil, &CallError{Err: ErrTooLarge}
	}
	ctx, cancel := q.withTimeout(ctx)
	defer cancel()
	if to.VM == q.config.Self.VM {
		return q.callSelf(ctx, to, method, request)
	}
	c, err := q.connectionTo(ctx, to)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	packetsBefore := c.packetsReceived()
	response, possiblyExecuted, err := c.call(ctx, to, method, request, q.config.MaxMessage+maxFrameOverhead)
	if err != nil {
		q.recordSilence(c, packetsBefore)
		return nil, &CallError{PossiblyExecuted: possiblyExecuted, Err: err}
	}
	c.silentCalls.Store(0)
	switch response.Status {
	case statusOK:
		return response.Body, nil
	case statusFailed:
		return nil, &CallError{PossiblyExecuted: true, RemoteMessage: response.Message}
	}
	return nil, &CallError{Err: response.refusalError(to)}
}

func (q *QUIC) callSelf(ctx context.Context, to Peer, method Method, request []byte) ([]byte, *CallError) {
	self := q.config.Self
	if to.Incarnation != 0 && to.Incarnation != self.Incarnation {
		return nil, &CallError{Err: &IncarnationError{VM: to.VM, Requested: to.Incarnation, Running: self.Incarnation}}
	}
	response, err := q.config.Mux.Serve(ctx, self, method, request)
	if err != nil {
		return nil, &CallError{PossiblyExecuted: true, RemoteMessage: err.Error()}
	}
	return response, nil
}

// withTimeout limits the context to CallTimeout if it has no deadline, and always
// to IdleTimeout, after which the connection could be closed as idle.
func (q *QUIC) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); !ok {
		return context.WithTimeout(ctx, min(q.config.CallTimeout, q.config.IdleTimeout))
	}
	return context.WithTimeout(ctx, q.config.IdleTimeout)
}

// connectionTo returns an open connection to a peer, and opens one if there is none.
func (q *QUIC) connectionTo(ctx context.Context, to Peer) (*peerConn, error) {
	state, err := q.stateOf(to)
	if err != nil {
		return nil, err
	}
	if c, err := q.reusable(state, to); c != nil || err != nil {
		return c, err
	}
	select {
	case state.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for connection: %w", ctx.Err())
	}
	defer func() { <-state.dialing }()
	if c, err := q.reusable(state, to); c != nil || err != nil {
		return c, err
	}
	c, err := q.dial(ctx, to)
	if err != nil {
		return nil, q.recordDialFailure(ctx, state, err)
	}
	if !q.addConnection(c) {
		_ = c.conn.CloseWithError(codeClosed, "closing")
		return nil, ErrClosing
	}
	if err := checkIncarnation(c, to); err != nil {
		return nil, err
	}
	return c, nil
}

func (q *QUIC) stateOf(to Peer) (*peerState, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return nil, ErrClosing
	}
	state, ok := q.peers[to.VM]
	if !ok {
		state = &peerState{dialing: make(chan struct{}, 1)}
		q.peers[to.VM] = state
	}
	return state, nil
}

// reusable returns the open connection to a peer, or the error of a call that
// must not open one. It returns neither when a connection has to be opened.
func (q *QUIC) reusable(state *peerState, to Peer) (*peerConn, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := state.current
	if c != nil && c.alive() && q.trusts(c) && c.peer.Incarnation >= to.Incarnation {
		return c, checkIncarnation(c, to)
	}
	if c != nil {
		state.current = nil
		_ = c.conn.CloseWithError(codeReplaced, "replaced")
	}
	if state.dialError != nil && time.Now().Before(state.retryAt) {
		return nil, state.dialError
	}
	return nil, nil
}

// trusts reports whether the peer may still use the connection.
func (q *QUIC) trusts(c *peerConn) bool { return c.trusted(q.config.Keys.Credentials(), time.Now()) }

func checkIncarnation(c *peerConn, to Peer) error {
	if to.Incarnation == 0 || to.Incarnation == c.peer.Incarnation {
		return nil
	}
	return &IncarnationError{VM: to.VM, Requested: to.Incarnation, Running: c.peer.Incarnation}
}

// recordDialFailure makes further calls fail at once during redialBackoff, unless
// the caller cancelled the dial. It also removes the state of peers that have been
// unreachable for failedPeerRetention.
func (q *QUIC) recordDialFailure(ctx context.Context, state *peerState, err error) error {
	q.counters.dialFailed.Inc(1)
	err = fmt.Errorf("%w: %w", ErrUnreachable, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	state.dialError, state.retryAt = err, now.Add(redialBackoff)
	for vm, other := range q.peers {
		if other.dialError != nil && len(other.dialing) == 0 && now.Sub(other.retryAt) > failedPeerRetention {
			delete(q.peers, vm)
		}
	}
	return err
}

// recordSilence counts a failed call during which no packet arrived, not even an
// acknowledgement. After maxSilentCalls in a row it closes the connection, and
// the next call opens a new one.
func (q *QUIC) recordSilence(c *peerConn, packetsBefore uint64) {
	if c.packetsReceived() > packetsBefore {
		c.silentCalls.Store(0)
		return
	}
	if c.silentCalls.Add(1) < maxSilentCalls {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if state := q.peers[c.peer.VM]; state != nil && state.current == c {
		state.current = nil
	}
	_ = c.conn.CloseWithError(codeReplaced, "silent")
}

// addConnection makes a new connection the current one of its peer, unless an
// open one is preferred, and serves the peer's calls on it. It returns false when
// the daemon is stopping.
func (q *QUIC) addConnection(c *peerConn) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return false
	}
	state, ok := q.peers[c.peer.VM]
	if !ok {
		state = &peerState{dialing: make(chan struct{}, 1)}
		q.peers[c.peer.VM] = state
	}
	state.dialError = nil
	if old := state.current; old == nil || !old.alive() || c.preferredOver(old) {
		state.current = c
		q.closeOutdated(old, c)
	}
	q.connections[c] = struct{}{}
	q.goroutines.Add(1)
	go q.serveConnection(c)
	return true
}

// preferredOver decides between two connections to one VM. The connection to a
// newer incarnation is preferred. Within an incarnation, the one opened by the VM
// whose name sorts first is preferred, so that both sides choose the same
// connection. The other stays open without calls until the idle timeout.
func (c *peerConn) preferredOver(old *peerConn) bool {
	if c.peer.Incarnation != old.peer.Incarnation {
		return c.peer.Incarnation > old.peer.Incarnation
	}
	return c.dialer <= old.dialer
}

// closeOutdated closes old if it belongs to an earlier incarnation of the peer.
func (q *QUIC) closeOutdated(old, current *peerConn) {
	if old == nil || old.peer.Incarnation >= current.peer.Incarnation {
		return
	}
	q.config.Recorder.Event(recorder.PeerOutdated, "vm", old.peer.VM, "incarnation", old.peer.Incarnation, "running", current.peer.Incarnation)
	_ = old.conn.CloseWithError(codeReplaced, "replaced")
}

func (q *QUIC) removeConnection(c *peerConn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.connections, c)
	q.closedTraffic.add(c)
	state := q.peers[c.peer.VM]
	if state == nil || state.current != c {
		return
	}
	state.current = nil
	if len(state.dialing) == 0 && state.dialError == nil {
		delete(q.peers, c.peer.VM)
	}
}

// announceShutdown tells all peers that this daemon is stopping and waits until
// they have received the responses to their calls, at most for DialTimeout.
func (q *QUIC) announceShutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, q.config.DialTimeout)
	defer cancel()
	var peers sync.WaitGroup
	for _, c := range q.openConnections() {
		peers.Go(func() { c.announceShutdown(ctx) })
	}
	peers.Wait()
}

func (q *QUIC) openConnections() []*peerConn {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.connections))
}

func (q *QUIC) closeConnections() {
	for _, c := range q.openConnections() {
		_ = c.conn.CloseWithError(codeClosed, "closing")
	}
}
