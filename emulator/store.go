// Package emulator provides small stand-ins for the platform and the upstreams.
//
// They run inside tests and the demo, in the same process as the daemons. The
// Store keeps keys in memory with the semantics of the platform's key-value
// service: compare-and-swap, leases, watches by revision and compaction. It
// counts every call and can be told to fail in the ways that the real service
// fails. It implements persister.Store directly, and its Handler speaks the JSON
// gateway of etcd v3, so that the real adapter can be tested against it:
//
//	store := emulator.NewStore(emulator.StoreConfig{Seed: 1})
//	store.SetFaults(emulator.StoreFaults{LoseAnswers: 0.1})
//	server := httptest.NewServer(store.Handler())
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
	defaultKeepRevisions = 100_000
	defaultProgress      = 10 * time.Second
)

// StoreConfig holds the limits of a Store. Zero fields are no limit.
type StoreConfig struct {
	// Seed makes the random faults repeatable.
	Seed uint64
	// ReadsPerSecond is the rate above which reads are refused.
	ReadsPerSecond float64
	// WritesPerSecond is the rate above which writes are refused.
	WritesPerSecond float64
	// KeepRevisions is the number of past changes that a watch can start from.
	// Zero means 100,000.
	KeepRevisions int
	// ProgressInterval is how often a watch without changes is told the newest
	// revision. Zero means 10 s.
	ProgressInterval time.Duration
	// ReportConflicts makes commits that meet a conflict tell the state of the compared keys.
	ReportConflicts bool
}

// StoreFaults says how a Store fails. The zero value is no fault.
type StoreFaults struct {
	// Outage makes every call fail at once; nothing is written. Watches stay
	// silent until the outage ends.
	Outage bool
	// Hang makes every call wait until its context ends; nothing is written.
	Hang bool
	// Delay is added to every call, half before and half after its effect.
	Delay time.Duration
	// LoseResponses is the share of commits that take effect and lose their answer.
	LoseResponses float64
	// LoseRequests is the share of commits that are lost before they take
	// effect. The caller cannot tell them from lost answers.
	LoseRequests float64
	// LateCommits is the share of commits that lose their answer and take effect
	// LateBy later, if their compares still hold then.
	LateCommits     float64
	LateCommitDelay time.Duration
	// PauseLeases keeps leases from ending.
	PauseLeases bool
	// EventDelay is the time by which watches deliver late.
	EventDelay time.Duration
	// HoldEvents stops the delivery of all watches.
	HoldEvents bool
}

// StoreCounts holds the number of calls since the start.
type StoreCounts struct {
	Reads   int64
	Writes  int64
	Leases  int64
	Watches int64
	// WatchesOpen is the number of watches that are waiting now.
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
	reads         *rate.Limiter
	writes        *rate.Limiter
	keepRevisions int
	// reportConflicts is StoreConfig.TellConflicts.
	reportConflicts bool
	// progressInterval is the time between two batches without changes.
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
	// changed is closed and replaced after each change of keys or faults.
	changed chan struct{}
	// disconnect is closed and replaced to end all connections of watches.
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
		c.ProgressInterval = defaultProgress
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

// LoseNextResponses makes the next n commits take effect and lose their answers.
func (s *Store) LoseNextResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// DisconnectWatches ends the connections of all watches of the Handler. Watches in
// the same process go on.
func (s *Store) DisconnectWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.disconnect)
	s.disconnect = make(chan struct{})
}

// Compact forgets all changes up to a revision; watches cannot start before it.
func (s *Store) Compact(revision contractor.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(min(revision, s.revision))
	s.notify()
}

// Counts returns the number of calls since the start.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the newest revision.
func (s *Store) Revision() contractor.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// notify wakes all watches. The lock is held.
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
	for first < len(s.history) && s.history[first].change.Entry.Revision <= revision {
		first++
	}
	s.history = append([]event(nil), s.history[first:]...)
}

// begin counts a call and applies the faults that come before its effect.
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

// finish applies the faults that come after the effect of a call.
func (s *Store) finish(ctx context.Context) error {
	s.mu.Lock()
	delay := s.faults.Delay / 2
	s.mu.Unlock()
	return sleeper.Sleep(ctx, delay)
}
