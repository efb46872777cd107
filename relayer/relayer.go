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
	// answerTime is how long a relay may take: it collects for some 40 ms, and the store
	// takes 4 ms to answer, or up to 400 ms when it is slow.
	answerTime = 600 * time.Millisecond
	// pollTime is how long a relay may wait for changes, and transferTime how long its answer
	// may then take over a full link of 10 Mbit/s. A change has to be known within 2 s.
	pollTime     = 1500 * time.Millisecond
	transferTime = 1200 * time.Millisecond
	// firstAvoidance and longestAvoidance are how long a relay is left alone that did not
	// answer. It doubles each time, and a frozen VM wakes after some seconds.
	firstAvoidance   = time.Second
	longestAvoidance = 3 * time.Second
	// idleConnections is for two polls, a commit and three leases at once.
	idleConnections = 6
	// maxTried is how many relays a daemon uses at the most, one after another: if more of
	// them are away, the others most likely are too.
	maxTried = 3
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

	mu      sync.Mutex
	avoided map[netip.AddrPort]avoidance
	// uses are ended when their relay fails, so that polls under way leave it too.
	uses map[netip.AddrPort]use
}

// use is the time in which a relay answers.
type use struct {
	ctx context.Context
	end context.CancelFunc
}

// avoidance is of a relay that did not answer.
type avoidance struct {
	until time.Time
	time  time.Duration
}

var _ persister.Store = (*Store)(nil)

// New returns a store that has made no call.
func New(c Config) *Store {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Store{
		config: c, avoided: make(map[netip.AddrPort]avoidance), uses: make(map[netip.AddrPort]use),
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
	relay, ok := s.relay()
	switch {
	case !ok:
	case relay == s.config.Self:
		return s.config.Combiner.Commit(ctx, txn)
	default:
		answer, err := call[commitAnswer](ctx, s, relay, commitPath, answerTime, txn)
		if err == nil {
			err = answer.Failure.err()
		}
		if ctx.Err() != nil || s.final(relay, err) {
			return answer.Revision, answer.Merged, err
		}
	}
	revision, err := s.config.Direct.Commit(ctx, txn)
	return revision, nil, err
}

// GrantLease returns a lease that may have begun a moment ago.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	relay, ok := s.relay()
	switch {
	case !ok:
	case relay == s.config.Self:
		return s.config.Combiner.GrantLease(ctx, ttl)
	default:
		answer, err := call[leaseAnswer](ctx, s, relay, leasePath, answerTime, ttl)
		if err == nil {
			err = answer.Failure.err()
		}
		if ctx.Err() != nil || s.final(relay, err) {
			return answer.ID, err
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
	relay, ok := s.relay()
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
		return s.config.Combiner.Poll(ctx, prefix, after, pollTime)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.use(relay), cancel)()
	question := pollCall{Prefix: prefix, After: after}
	answer, err := call[pollAnswer](ctx, s, relay, pollPath, pollTime+transferTime, question)
	if err == nil {
		err = answer.Failure.err()
	}
	if errors.Is(err, combiner.ErrRevisionTooOld) {
		return persister.Batch{}, err // the relay is well, but has begun later
	}
	if ctx.Err() == nil {
		s.final(relay, err)
	}
	return answer.Batch, err
}

var errEnough = errors.New("one batch is enough")

// pollDirect asks the store once.
func (s *Store) pollDirect(ctx context.Context, prefix string, after contractor.Revision) (persister.Batch, error) {
	var got persister.Batch
	err := s.config.Direct.Watch(ctx, prefix, after, func(b persister.Batch) error {
		got = b
		return errEnough
	})
	if errors.Is(err, errEnough) {
		return got, nil
	}
	return got, err
}

// relay returns the first relay that is not avoided. It reports false when there is none.
func (s *Store) relay() (netip.AddrPort, bool) {
	relays := s.config.Relays()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Now()
	for i, r := range relays {
		if i == maxTried {
			break
		}
		if r == s.config.Self || !now.Before(s.avoided[r].until) {
			return r, true
		}
	}
	return netip.AddrPort{}, false
}

// use returns a context that ends when a relay fails.
func (s *Store) use(relay netip.AddrPort) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.uses[relay]
	if !ok {
		u.ctx, u.end = context.WithCancel(context.Background())
		s.uses[relay] = u
	}
	return u.ctx
}

// final reports whether an answer of a relay stands. Otherwise the relay is avoided, and the
// store is asked.
func (s *Store) final(relay netip.AddrPort, err error) bool {
	failed := errors.Is(err, persister.ErrUnknown) || errors.Is(err, persister.ErrUnavailable)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		delete(s.avoided, relay)
		return true
	}
	if u, ok := s.uses[relay]; ok {
		u.end()
		delete(s.uses, relay)
	}
	a := s.avoided[relay]
	a.time = min(max(2*a.time, firstAvoidance), longestAvoidance)
	a.until = s.config.Now().Add(a.time)
	s.avoided[relay] = a
	s.config.Recorder.Event(recorder.RelayUnreachable, "relay", relay, "for", a.time, "err", err)
	return false
}
