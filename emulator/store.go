// Package emulator provides in-process fakes of the platform and the upstreams for
// tests and the demo.
//
// Store is an in-memory key-value store with the semantics of the platform's
// service: compare-and-swap, leases, watches that start at a revision, and
// compaction. It counts calls and injects the faults of the real service. It
// implements persister.Store directly; Handler and PlatformHandler serve the same
// data as the JSON gateway of etcd v3 and as the HTTP API of the users' platform,
// which lets tests run the real clients against it:
//
//	store := emulator.NewStore(emulator.StoreConfig{Seed: 1})
//	store.SetFaults(emulator.StoreFaults{LoseResponses: 0.1})
//	server := httptest.NewServer(store.Handler())
//
// Engine is a model engine with a batch, a prefix cache and orders to load models.
// Runner and Service are the other kinds of upstreams, and VMList is the platform's
// list of VMs.
package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/sleeper"
)

const (
	defaultKeepRevisions    = 100_000
	defaultProgressInterval = 10 * time.Second
)

// StoreConfig configures a Store. A rate of zero is no limit.
type StoreConfig struct {
	// Seed initialises the random choice of faults, which makes the choice repeatable.
	Seed uint64
	// ReadsPerSecond is the rate above which reads fail as throttled.
	ReadsPerSecond float64
	// WritesPerSecond is the rate above which writes and lease calls fail as throttled.
	WritesPerSecond float64
	// KeepRevisions is the minimum number of past changes that are retained for watches.
	// Zero means 100,000.
	KeepRevisions int
	// ProgressInterval is the time after which a watch without changes receives an
	// empty batch with the newest revision. Zero means 10 s.
	ProgressInterval time.Duration
	// ReportConflicts adds the current entries of the compared keys to conflict errors.
	ReportConflicts bool
}

// StoreFaults selects the faults that a Store injects. The zero value injects none.
type StoreFaults struct {
	// Outage makes every call fail immediately and without effect. Watches deliver
	// nothing until the outage ends.
	Outage bool
	// Hang makes every call block until its context ends, without effect. Watches
	// deliver nothing meanwhile.
	Hang bool
	// Delay is added to every call, half before and half after its effect.
	Delay time.Duration
	// LoseResponses is the fraction of commits that take effect and whose response is
	// lost.
	LoseResponses float64
	// LoseRequests is the fraction of commits that are lost before they take effect.
	// The client gets the same error as for a lost response.
	LoseRequests float64
	// LateCommits is the fraction of commits whose response is lost and that take
	// effect after LateCommitDelay if their compares hold at that time.
	LateCommits     float64
	LateCommitDelay time.Duration
	// PauseLeases prevents leases from expiring.
	PauseLeases bool
	// EventDelay is the time by which watches delay changes.
	EventDelay time.Duration
	// HoldEvents stops delivery on all watches.
	HoldEvents bool
}

// StoreCounts holds the number of calls and their results since the start.
type StoreCounts struct {
	Reads   int64
	Writes  int64
	Leases  int64
	Watches int64
	// WatchesOpen is the number of watches that are open now.
	WatchesOpen int64
	// Events is the number of changes that watches delivered.
	Events    int64
	Throttled int64
	Lost      int64
}

// Calls returns the number of all calls.
func (c StoreCounts) Calls() int64 { return c.Reads + c.Writes + c.Leases + c.Watches }

// Store is an in-memory key-value service. It implements persister.Store.
type Store struct {
	reads            *rate.Limiter
	writes           *rate.Limiter
	keepRevisions    int
	reportConflicts  bool
	progressInterval time.Duration

	mu              sync.Mutex
	random          *rand.Rand
	faults          StoreFaults
	responsesToLose int
	counts          StoreCounts
	revision        contractor.Revision
	compacted       contractor.Revision
	items           map[string]item
	keys            []string
	history         []event
	leases          map[persister.LeaseID]*lease
	lastLease       persister.LeaseID
	// era counts the restores.
	era int64
	// changed is closed and replaced when keys or faults change.
	changed chan struct{}
	// disconnect is closed and replaced to close the connections of all watches.
	disconnect chan struct{}
}

type item struct {
	value    []byte
	created  contractor.Revision
	modified contractor.Revision
	lease    persister.LeaseID
}

type event struct {
	change persister.Change
	at     time.Time
}

var _ persister.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(c StoreConfig) *Store {
	if c.KeepRevisions == 0 {
		c.KeepRevisions = defaultKeepRevisions
	}
	if c.ProgressInterval == 0 {
		c.ProgressInterval = defaultProgressInterval
	}
	return &Store{
		reads:            newLimiter(c.ReadsPerSecond),
		writes:           newLimiter(c.WritesPerSecond),
		keepRevisions:    c.KeepRevisions,
		progressInterval: c.ProgressInterval,
		reportConflicts:  c.ReportConflicts,
		random:           rand.New(rand.NewPCG(c.Seed, 0)),
		revision:         1,
		items:            make(map[string]item),
		leases:           make(map[persister.LeaseID]*lease),
		changed:          make(chan struct{}),
		disconnect:       make(chan struct{}),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// LoseNextResponses lets the next n commits take effect and loses their responses.
func (s *Store) LoseNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// DisconnectWatches closes the connections of all watches that Handler serves.
// Watches in the same process are not affected.
func (s *Store) DisconnectWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.disconnect)
	s.disconnect = make(chan struct{})
}

// Compact discards the changes up to a revision. Watches cannot start before it.
func (s *Store) Compact(revision contractor.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(min(contractor.Revision(persister.NumberOf(revision)), s.revision))
	s.notify()
}

// Counts returns the counters.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the newest revision.
func (s *Store) Revision() contractor.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp(s.revision)
}

// stamp returns the revision of the current era for one of the store's own numbers. The caller
// holds the lock.
func (s *Store) stamp(number contractor.Revision) contractor.Revision {
	return persister.NewRevision(s.era, int64(number))
}

// notify wakes all watches. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) compact(revision contractor.Revision) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	first := 0
	for first < len(s.history) && s.history[first].change.Entry.Revision <= s.stamp(revision) {
		first++
	}
	s.history = append([]event(nil), s.history[first:]...)
}

// begin counts a call and applies the rate limit and the faults before its effect.
func (s *Store) begin(ctx context.Context, count func(*StoreCounts), limit *rate.Limiter) error {
	s.mu.Lock()
	count(&s.counts)
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		return persister.ErrUnavailable
	}
	if faults.Hang {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", persister.ErrUnavailable, context.Cause(ctx))
	}
	if limit != nil && !limit.Allow() {
		s.mu.Lock()
		s.counts.Throttled++
		s.mu.Unlock()
		return persister.ErrThrottled
	}
	if err := sleeper.Sleep(ctx, faults.Delay/2); err != nil {
		return fmt.Errorf("%w: %w", persister.ErrUnavailable, err)
	}
	return nil
}

// finish applies the delay after the effect of a call.
func (s *Store) finish(ctx context.Context) error {
	s.mu.Lock()
	delay := s.faults.Delay / 2
	s.mu.Unlock()
	return sleeper.Sleep(ctx, delay)
}
