// Package relayer is a client of the store that sends calls through a relay: one daemon of
// the fleet that combines the calls of the others into fewer ones (package combiner).
//
// Every daemon can act as the relay. All daemons rank the relays alike, and a Store uses the
// first one. If that relay does not respond, the call goes to the store directly, and the
// relay is skipped for a backoff period; later calls use the next relay, or the store if none
// is left. A relay that is killed, frozen or partitioned therefore delays its users only
// briefly. Correctness does not depend on the relay, because the store decides each
// transaction by the revisions that it compares. A transaction whose relay does not respond
// is sent again, directly to the store. Both copies compare the same revisions and write the
// compared keys, so at most one of them takes effect.
//
// While the store itself does not respond, a daemon calls it about once a second; its other calls fail
// at once unless a relay answers them.
//
//	store := relayer.New(relayer.Config{Direct: platformStore, Combiner: c, Relays: relays, Self: address})
//	mux.Handle(relayer.Path, relayer.Handler(c))
package relayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"laburnumline/combiner"
	"laburnumline/contractor"
	"laburnumline/framer"
	"laburnumline/persister"
	"laburnumline/recorder"
)

const (
	// responseTimeout limits a commit or a lease request to a relay. The relay collects
	// transactions for about 40 ms, and the store responds in 4 ms, or in up to 400 ms when
	// it is slow.
	responseTimeout = 600 * time.Millisecond
	// pollWait is how long a relay may wait for changes, and transferTimeout how long its
	// response may then take over a saturated link of 10 Mbit/s. A change has to be known
	// within 2 s.
	pollWait        = 1500 * time.Millisecond
	transferTimeout = 1200 * time.Millisecond
	// initialBackoff is how long a relay that did not respond is skipped. The time doubles
	// with each failure up to maxBackoff, as a frozen VM resumes after some seconds.
	initialBackoff = time.Second
	maxBackoff     = 3 * time.Second
	// idleConnections suffices for two polls, a commit and three lease requests at once.
	idleConnections = 6
	// maxRelays limits the number of ranked relays that a daemon tries. If that many are
	// unreachable, the others most likely are too.
	maxRelays = 3
)

// Config holds what a Store needs.
type Config struct {
	// Direct is this daemon's own client of the store.
	Direct persister.Store
	// Combiner combines the calls for which this daemon is the relay.
	Combiner *combiner.Combiner
	// Relays returns the addresses of the daemons, including this one, in the same order on
	// all daemons. If it returns none, calls go to the store directly.
	Relays func() []netip.AddrPort
	// Self is this daemon's own address.
	Self netip.AddrPort
	// Dial opens connections. Nil means the standard dialer.
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Recorder *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Store accesses the store through a relay. It implements persister.Store.
type Store struct {
	config Config
	client *http.Client

	mu       sync.Mutex
	backoffs map[netip.AddrPort]backoff
	// sessions are cancelled when their relay fails, which ends the polls in flight there.
	sessions map[netip.AddrPort]relaySession
	// directFailing is true if the last call to the store itself failed, directFailingSince is when the
	// first one of an uninterrupted series failed. Until directAfter no further one is made in a fleet
	// with relays.
	directFailing      bool
	directFailingSince time.Time
	directAfter        time.Time
}

// relaySession is the period from the first poll at a relay to the relay's next failure.
type relaySession struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// backoff says until when a relay that did not respond is skipped.
type backoff struct {
	until time.Time
	delay time.Duration
}

var _ persister.Store = (*Store)(nil)

// New returns a Store. It makes no call.
func New(c Config) *Store {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Store{
		config: c, backoffs: make(map[netip.AddrPort]backoff), sessions: make(map[netip.AddrPort]relaySession),
		client: &http.Client{Transport: framer.NewTransport(&http.Transport{
			DialContext: c.Dial, DisableCompression: true, MaxIdleConnsPerHost: idleConnections, MaxResponseHeaderBytes: maxHeaderBytes,
		})},
	}
}

// Get reads one key directly from the store.
func (s *Store) Get(ctx context.Context, key string) (persister.Entry, error) {
	if !s.allowDirect() {
		return persister.Entry{}, errDirectPaused
	}
	entry, err := s.config.Direct.Get(ctx, key)
	s.recordDirectResult(ctx, err)
	return entry, err
}

// Range reads keys directly from the store.
func (s *Store) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if !s.allowDirect() {
		return persister.Page{}, errDirectPaused
	}
	page, err := s.config.Direct.Range(ctx, prefix, after, limit)
	s.recordDirectResult(ctx, err)
	return page, err
}

// Era returns the era of the store that this daemon's own client has seen last, or zero.
func (s *Store) Era() int64 {
	if direct, ok := s.config.Direct.(interface{ Era() int64 }); ok {
		return direct.Era()
	}
	return 0
}

// KeepAlive renews a lease directly at the store.
func (s *Store) KeepAlive(ctx context.Context, id persister.LeaseID) (time.Duration, error) {
	return s.config.Direct.KeepAlive(ctx, id)
}

// Commit writes a transaction. For keys whose values are merged, use CommitMerged.
func (s *Store) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	revision, _, err := s.CommitMerged(ctx, txn)
	return revision, err
}

// CommitMerged writes a transaction. It also returns the entries whose written values differ
// from those of txn, because they were merged with values of other daemons. As the transaction
// may be sent twice, each put has to be of a key that txn compares, or of a key that can be
// written twice without harm, such as a lock of this incarnation.
func (s *Store) CommitMerged(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	relayErr := error(nil)
	relay, ok := s.selectRelay()
	switch {
	case !ok:
	case relay == s.config.Self:
		return s.config.Combiner.Commit(ctx, txn)
	default:
		response, err := call[commitResponse](ctx, s, relay, commitPath, responseTimeout, txn)
		if err == nil {
			err = response.Failure.err()
		}
		if ctx.Err() != nil || s.recordResult(relay, err) {
			return response.Revision, response.Merged, err
		}
		relayErr = err
	}
	if !s.allowDirect() {
		// The outcome at the relay counts: it may have committed the transaction.
		if relayErr == nil {
			relayErr = errDirectPaused
		}
		return 0, nil, relayErr
	}
	revision, err := s.config.Direct.Commit(ctx, txn)
	s.recordDirectResult(ctx, err)
	return revision, nil, err
}

// GrantLease returns a lease. A relay may return one that it obtained shortly before for another
// daemon.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	relay, ok := s.selectRelay()
	switch {
	case !ok:
	case relay == s.config.Self:
		return s.config.Combiner.GrantLease(ctx, ttl)
	default:
		response, err := call[leaseResponse](ctx, s, relay, leasePath, responseTimeout, ttl)
		if err == nil {
			err = response.Failure.err()
		}
		if ctx.Err() != nil || s.recordResult(relay, err) {
			return response.ID, err
		}
	}
	if !s.allowDirect() {
		return 0, errDirectPaused
	}
	id, err := s.config.Direct.GrantLease(ctx, ttl)
	s.recordDirectResult(ctx, err)
	return id, err
}

// Watch calls handle for each batch of changes under prefix after a revision. An empty batch
// means that nothing has changed. The first poll goes directly to the store, because the
// caller may have restarted the watch after a relay failed to report a change that other
// daemons have seen. A daemon that the store refuses watches through a relay from the start.
func (s *Store) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	poll := s.pollDirect
	if s.directPaused() {
		poll = s.poll
	}
	for {
		batch, err := poll(ctx, prefix, after)
		poll = s.poll
		if err != nil {
			return err
		}
		after = max(after, batch.Revision)
		if err := handle(batch); err != nil {
			return err
		}
	}
}

// poll requests the changes after a revision from the relay, or from the store if that fails.
func (s *Store) poll(ctx context.Context, prefix string, after contractor.Revision) (persister.Batch, error) {
	relay, ok := s.selectRelay()
	if ok {
		batch, err := s.pollRelay(ctx, relay, prefix, after)
		if err == nil || ctx.Err() != nil {
			return batch, err
		}
	}
	return s.pollDirect(ctx, prefix, after)
}

func (s *Store) pollRelay(ctx context.Context, relay netip.AddrPort, prefix string, after contractor.Revision) (persister.Batch, error) {
	if relay == s.config.Self {
		return s.config.Combiner.Poll(ctx, prefix, after, pollWait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.session(relay), cancel)()
	request := pollRequest{Prefix: prefix, After: after}
	response, err := call[pollResponse](ctx, s, relay, pollPath, pollWait+transferTimeout, request)
	if err == nil {
		err = response.Failure.err()
	}
	if errors.Is(err, combiner.ErrRevisionTooOld) {
		return persister.Batch{}, err // the relay works, but its feed starts at a later revision
	}
	if ctx.Err() == nil {
		s.recordResult(relay, err)
	}
	return response.Batch, err
}

var errOneBatch = errors.New("stop after one batch")

// pollDirect returns the first batch of a watch at the store.
func (s *Store) pollDirect(ctx context.Context, prefix string, after contractor.Revision) (persister.Batch, error) {
	if !s.allowDirect() {
		return persister.Batch{}, errDirectPaused
	}
	var got persister.Batch
	err := s.config.Direct.Watch(ctx, prefix, after, func(b persister.Batch) error {
		got = b
		return errOneBatch
	})
	if errors.Is(err, errOneBatch) {
		err = nil
	}
	s.recordDirectResult(ctx, err)
	return got, err
}

// selectRelay returns the first relay that is not in backoff. It reports false if there is none.
func (s *Store) selectRelay() (netip.AddrPort, bool) {
	relays := s.config.Relays()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	for i, r := range relays {
		if i == maxRelays {
			break
		}
		if r == s.config.Self || !now.Before(s.backoffs[r].until) {
			return r, true
		}
	}
	return netip.AddrPort{}, false
}

// session returns a context that is cancelled when the relay fails.
func (s *Store) session(relay netip.AddrPort) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.sessions[relay]
	if !ok {
		session.ctx, session.cancel = context.WithCancel(context.Background())
		s.sessions[relay] = session
	}
	return session.ctx
}

// recordDirectResult records the result of a call to the store itself. The first success after a
// failure ends all backoffs: this daemon had reached neither the store nor the relays, so the
// relays were not at fault. Otherwise all daemons of a fleet would call the store themselves for
// some seconds after a partition.
func (s *Store) recordDirectResult(ctx context.Context, err error) {
	failed := errors.Is(err, persister.ErrUnknown) || errors.Is(err, persister.ErrUnavailable)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return // the caller has given up
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directFailing && !failed {
		clear(s.backoffs)
	}
	if failed && !s.directFailing {
		s.directFailingSince = s.config.Now()
	}
	s.directFailing = failed
}

// errDirectPaused means that a call was not sent.
var errDirectPaused = fmt.Errorf("call not sent because the last call to the store failed: %w", persister.ErrUnavailable)

const (
	// directFailureTime is how long calls to the store have to fail until they are paused. A lost response
	// or a reset connection is no reason to wait.
	directFailureTime = time.Second
	// minDirectPause and maxDirectPause limit the time between two calls of a daemon to a store that does
	// not respond. Each call is charged for, also a failed one, and all daemons of a fleet make them. The
	// times are random, so that the daemons do not return to the store at the same moment.
	minDirectPause = 500 * time.Millisecond
	maxDirectPause = 1000 * time.Millisecond
)

func directPause() time.Duration { return minDirectPause + rand.N(maxDirectPause-minDirectPause) }

// directPaused reports whether calls to the store itself are paused. A fleet without relays does not
// pause: its few daemons depend on their own calls.
func (s *Store) directPaused() bool {
	if len(s.config.Relays()) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directFailing && s.config.Now().Before(s.directAfter)
}

// allowDirect reports whether a call to the store itself may be made now. After a failed call it
// allows one at a time, as a circuit breaker does.
func (s *Store) allowDirect() bool {
	if s.directPaused() {
		s.config.Recorder.Count("relayer.direct_paused", 1)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.config.Now(); s.directFailing && now.Sub(s.directFailingSince) >= directFailureTime {
		s.directAfter = now.Add(directPause())
	}
	return true
}

// recordResult reports whether the result of a call to a relay is final. If not, it puts the
// relay into backoff, and the caller repeats the call at the store.
func (s *Store) recordResult(relay netip.AddrPort, err error) bool {
	failed := errors.Is(err, persister.ErrUnknown) || errors.Is(err, persister.ErrUnavailable)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		delete(s.backoffs, relay)
		return true
	}
	if session, ok := s.sessions[relay]; ok {
		session.cancel()
		delete(s.sessions, relay)
	}
	b := s.backoffs[relay]
	b.delay = min(max(2*b.delay, initialBackoff), maxBackoff)
	b.until = s.config.Now().Add(b.delay)
	s.backoffs[relay] = b
	s.config.Recorder.Event(recorder.RelayUnreachable, "relay", relay, "for", b.delay, "err", err)
	return false
}
