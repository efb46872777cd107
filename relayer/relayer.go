// Package relayer lets the daemons of a fleet make their calls to the store through one of
// them, which combines them (package combiner).
//
// Every daemon can be the relay. A Store sends a call to the relay that all daemons rank
// first; when that one doesn't answer, the call goes to the store directly, and so do the
// next ones for a while, unless another relay is tried. So a relay that is killed, frozen or
// cut off costs its users a moment, and nothing depends on who it is: the store decides
// every transaction by the revisions that it compares. A transaction whose relay doesn't
// answer is sent once more by its daemon itself; as both copies compare the same revisions
// and write what they compare, at most one of them takes effect.
//
//	store := relayer.New(relayer.Config{Direct: platformStore, Combiner: c, Relays: relays, Self: address})
//	mux.Handle(relayer.Path, relayer.Handler(c))
package relayer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"laburnumline/combiner"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

const (
	// responseTimeout is how long a relay may take: it collects for some 40 ms, and the store
	// takes 4 ms to answer, or up to 400 ms when it is slow.
	responseTimeout = 600 * time.Millisecond
	// pollWait is how long a relay may wait for changes, and transferTime how long its answer
	// may then take over a full link of 10 Mbit/s. A change has to be known within 2 s.
	pollWait        = 1500 * time.Millisecond
	transferTimeout = 1200 * time.Millisecond
	// initialBackoff and longestAvoidance are how long a relay is left alone that did not
	// answer. It doubles each time, and a frozen VM wakes after some seconds.
	initialBackoff = time.Second
	maxBackoff     = 3 * time.Second
	// idleConnections is for two polls, a commit and three leases at once.
	idleConnections = 6
	// maxRelays is how many relays a daemon uses at the most, one after another: if more of
	// them are away, the others most likely are too.
	maxRelays = 3
)

// Config holds what a Store needs.
type Config struct {
	// Direct is this daemon's own client of the store.
	Direct persister.Store
	// Combiner combines the calls for which this daemon is the relay.
	Combiner *combiner.Combiner
	// Relays returns the addresses of the daemons, this one included, ranked alike on all of
	// them. None means that calls are made directly.
	Relays func() []netip.AddrPort
	// Self is this daemon's own address.
	Self netip.AddrPort
	// Dial opens connections. Nil means the standard dialer.
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Recorder *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Store is the store as seen through a relay. It implements persister.Store.
type Store struct {
	config Config
	client *http.Client

	mu       sync.Mutex
	backoffs map[netip.AddrPort]backoff
	// sessions are ended when their relay fails, so that polls under way leave it too.
	sessions map[netip.AddrPort]relaySession
}

// relaySession is the time in which a relay answers.
type relaySession struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// backoff is of a relay that did not answer.
type backoff struct {
	until time.Time
	delay time.Duration
}

var _ persister.Store = (*Store)(nil)

// New returns a store that has made no call.
func New(c Config) *Store {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Store{
		config: c, backoffs: make(map[netip.AddrPort]backoff), sessions: make(map[netip.AddrPort]relaySession),
		client: &http.Client{Transport: &http.Transport{
			DialContext: c.Dial, DisableCompression: true, MaxIdleConnsPerHost: idleConnections,
		}},
	}
}

// Get reads one key of the store itself.
func (s *Store) Get(ctx context.Context, key string) (persister.Entry, error) {
	return s.config.Direct.Get(ctx, key)
}

// Range reads keys of the store itself.
func (s *Store) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	return s.config.Direct.Range(ctx, prefix, after, limit)
}

// KeepAlive renews a lease at the store itself.
func (s *Store) KeepAlive(ctx context.Context, id persister.LeaseID) (time.Duration, error) {
	return s.config.Direct.KeepAlive(ctx, id)
}

// Commit writes a transaction. It is not for keys whose values are merged.
func (s *Store) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	revision, _, err := s.CommitMerged(ctx, txn)
	return revision, err
}

// CommitMerged writes a transaction, and also returns what was written to keys whose values
// were merged with those of others. Each of its puts has to be of a key that it compares, or
// of one that the same transaction may write again without harm, such as a lock of this run.
func (s *Store) CommitMerged(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
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
	}
	revision, err := s.config.Direct.Commit(ctx, txn)
	return revision, nil, err
}

// GrantLease returns a lease that may have begun a moment ago.
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
	return s.config.Direct.GrantLease(ctx, ttl)
}

// Watch calls handle for each batch of changes under prefix after a revision, also for empty
// ones, which show that there was none. It asks the store itself first: the caller may have
// ended an earlier watch because the relay did not tell what others have heard of.
func (s *Store) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	poll := s.pollDirect
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

// poll asks the relay, else the store, for the changes after a revision.
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
		return persister.Batch{}, err // the relay is well, but has begun later
	}
	if ctx.Err() == nil {
		s.recordResult(relay, err)
	}
	return response.Batch, err
}

var errOneBatch = errors.New("one batch is enough")

// pollDirect asks the store once.
func (s *Store) pollDirect(ctx context.Context, prefix string, after contractor.Revision) (persister.Batch, error) {
	var got persister.Batch
	err := s.config.Direct.Watch(ctx, prefix, after, func(b persister.Batch) error {
		got = b
		return errOneBatch
	})
	if errors.Is(err, errOneBatch) {
		return got, nil
	}
	return got, err
}

// selectRelay returns the first selectRelay that is not avoided. It reports false when there is none.
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

// session returns a context that ends when a relay fails.
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

// recordResult reports whether an answer of a relay stands. Otherwise the relay is avoided, and the
// store is asked.
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
