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

// slot holds the connection to one VM.
type slot struct {
	// busy has one element while a connection is being opened.
	busy    chan struct{}
	current *link // guarded by QUIC.mu
	// failure is the last failed dial, which counts until retry.
	failure error
	retry   time.Time
}

// Call sends one request and returns the answer. A call to the daemon itself
// goes to its own handler.
func (q *QUIC) Call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, error) {
	q.counts.called.Inc(1)
	answer, err := q.call(ctx, to, method, request)
	if err != nil {
		q.counts.failed.Inc(1)
		err.Method, err.Peer = method, to
		return nil, err
	}
	return answer, nil
}

func (q *QUIC) call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, *CallError) {
	if int64(len(request)) > q.config.MaxMessage {
		return nil, &CallError{Err: ErrTooLarge}
	}
	ctx, cancel := q.bound(ctx)
	defer cancel()
	if to.VM == q.config.Self.VM {
		return q.callSelf(ctx, to, method, request)
	}
	l, err := q.link(ctx, to)
	if err != nil {
		return nil, &CallError{Err: err}
	}
	before := l.received()
	answer, sent, err := l.call(ctx, to, method, request, q.config.MaxMessage+frameOverhead)
	if err != nil {
		q.noteSilence(l, before)
		return nil, &CallError{PossiblyExecuted: sent, Err: err}
	}
	l.silent.Store(0)
	switch answer.Status {
	case statusDone:
		return answer.Body, nil
	case statusFailed:
		return nil, &CallError{PossiblyExecuted: true, RemoteMessage: answer.Message}
	}
	return nil, &CallError{Err: answer.refusal(to)}
}

func (q *QUIC) callSelf(ctx context.Context, to Peer, method Method, request []byte) ([]byte, *CallError) {
	self := q.config.Self
	if to.Incarnation != 0 && to.Incarnation != self.Incarnation {
		return nil, &CallError{Err: &IncarnationError{VM: to.VM, Requested: to.Incarnation, Running: self.Incarnation}}
	}
	answer, err := q.config.Mux.Serve(ctx, self, method, request)
	if err != nil {
		return nil, &CallError{PossiblyExecuted: true, RemoteMessage: err.Error()}
	}
	return answer, nil
}

// bound gives the context a deadline before the connection could be idle.
func (q *QUIC) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); !ok {
		return context.WithTimeout(ctx, min(q.config.CallTimeout, q.config.IdleTimeout))
	}
	return context.WithTimeout(ctx, q.config.IdleTimeout)
}

// link returns an open connection to the run of a daemon, and opens one when
// there is none.
func (q *QUIC) link(ctx context.Context, to Peer) (*link, error) {
	s, err := q.slot(to)
	if err != nil {
		return nil, err
	}
	if l, err := q.usable(s, to); l != nil || err != nil {
		return l, err
	}
	select {
	case s.busy <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for connection: %w", ctx.Err())
	}
	defer func() { <-s.busy }()
	if l, err := q.usable(s, to); l != nil || err != nil {
		return l, err
	}
	l, err := q.dial(ctx, to)
	if err != nil {
		return nil, q.noteDialFailure(ctx, s, err)
	}
	if !q.adopt(l) {
		_ = l.conn.CloseWithError(codeClosed, "closing")
		return nil, ErrClosing
	}
	if err := checkIncarnation(l, to); err != nil {
		return nil, err
	}
	return l, nil
}

func (q *QUIC) slot(to Peer) (*slot, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return nil, ErrClosing
	}
	s, ok := q.slots[to.VM]
	if !ok {
		s = &slot{busy: make(chan struct{}, 1)}
		q.slots[to.VM] = s
	}
	return s, nil
}

// usable returns the open connection of a slot, or the reason why none should
// be opened. It returns neither when one has to be opened.
func (q *QUIC) usable(s *slot, to Peer) (*link, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := s.current
	if l != nil && l.alive() && q.trusts(l) && l.peer.Incarnation >= to.Incarnation {
		return l, checkIncarnation(l, to)
	}
	if l != nil {
		s.current = nil
		_ = l.conn.CloseWithError(codeReplaced, "replaced")
	}
	if s.failure != nil && time.Now().Before(s.retry) {
		return nil, s.failure
	}
	return nil, nil
}

// trusts reports whether the peer may still use the connection.
func (q *QUIC) trusts(l *link) bool { return l.trusted(q.config.Keys.Credentials(), time.Now()) }

func checkIncarnation(l *link, to Peer) error {
	if to.Incarnation == 0 || to.Incarnation == l.peer.Incarnation {
		return nil
	}
	return &IncarnationError{VM: to.VM, Requested: to.Incarnation, Running: l.peer.Incarnation}
}

// noteDialFailure lets further calls fail at once for a while, unless the
// caller itself gave up early.
func (q *QUIC) noteDialFailure(ctx context.Context, s *slot, err error) error {
	q.counts.dialFailed.Inc(1)
	err = fmt.Errorf("%w: %w", ErrUnreachable, err)
	if errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	s.failure, s.retry = err, now.Add(redialPause)
	for vm, other := range q.slots {
		if other.failure != nil && len(other.busy) == 0 && now.Sub(other.retry) > forgetPause {
			delete(q.slots, vm)
		}
	}
	return err
}

// noteSilence replaces a connection on which nothing at all arrives while calls
// wait, not even acknowledgements.
func (q *QUIC) noteSilence(l *link, before uint64) {
	if l.received() > before {
		l.silent.Store(0)
		return
	}
	if l.silent.Add(1) < silentCalls {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.slots[l.peer.VM]; s != nil && s.current == l {
		s.current = nil
	}
	_ = l.conn.CloseWithError(codeReplaced, "silent")
}

// adopt makes a new connection the one to use, unless a better one is open, and
// serves the peer's calls on it. It returns false when the daemon stops.
func (q *QUIC) adopt(l *link) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return false
	}
	s, ok := q.slots[l.peer.VM]
	if !ok {
		s = &slot{busy: make(chan struct{}, 1)}
		q.slots[l.peer.VM] = s
	}
	s.failure = nil
	if old := s.current; old == nil || !old.alive() || l.replaces(old) {
		s.current = l
		q.retire(old, l)
	}
	q.open[l] = struct{}{}
	q.work.Add(1)
	go q.serveLink(l)
	return true
}

// replaces decides between two connections to one VM. A newer run wins. Within
// a run the connection that the VM with the lower name opened wins, so that both
// sides choose the same one; the other is left to run idle.
func (l *link) replaces(old *link) bool {
	if l.peer.Incarnation != old.peer.Incarnation {
		return l.peer.Incarnation > old.peer.Incarnation
	}
	return l.dialer <= old.dialer
}

// retire closes the connection to an earlier run of the peer.
func (q *QUIC) retire(old, l *link) {
	if old == nil || old.peer.Incarnation >= l.peer.Incarnation {
		return
	}
	q.config.Recorder.Event(recorder.PeerOutdated, "vm", old.peer.VM, "incarnation", old.peer.Incarnation, "running", l.peer.Incarnation)
	_ = old.conn.CloseWithError(codeReplaced, "replaced")
}

func (q *QUIC) forget(l *link) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, l)
	q.closed.add(l)
	s := q.slots[l.peer.VM]
	if s == nil || s.current != l {
		return
	}
	s.current = nil
	if len(s.busy) == 0 && s.failure == nil {
		delete(q.slots, l.peer.VM)
	}
}

// sayGoodbye waits until the peers have the answers to all their calls.
func (q *QUIC) sayGoodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, q.config.DialTimeout)
	defer cancel()
	var peers sync.WaitGroup
	for _, l := range q.links() {
		peers.Go(func() { l.goodbye(ctx) })
	}
	peers.Wait()
}

func (q *QUIC) links() []*link {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.open))
}

func (q *QUIC) closeLinks() {
	for _, l := range q.links() {
		_ = l.conn.CloseWithError(codeClosed, "closing")
	}
}
