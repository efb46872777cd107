// Package combiner answers many callers with few calls to the store.
//
// A large fleet makes several calls per daemon and second, and the platform prices and
// limits them for the whole fleet. Most of them can share one:
//
//   - transactions that touch different keys are collected for a moment and committed as
//     one. When it meets a conflict, those whose own compares hold are tried again, and the
//     others are told what the keys are now;
//   - a transaction that the combiner knows to come too late, because it has seen a newer
//     revision of what it compares, meets its conflict without a call;
//   - values that a Merger knows how to merge do not exclude each other: of two callers that
//     have changed the same state, the second one's change is made to the first one's result;
//   - leases of one length that are asked for within a moment are one lease. A lease that is
//     a moment old ends the earlier, which its users have to allow for;
//   - a prefix is watched once for all who follow it.
//
// A Combiner keeps nothing that matters: whatever becomes of it, the store decides.
//
//	c := combiner.New(combiner.Config{Store: store, MaxEntries: 32, Gather: 40 * time.Millisecond})
//	revision, err := c.Commit(ctx, txn)
package combiner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// callTimeout bounds one call, which holds up those that follow. The store answers in
	// 4 ms, or in up to 100 times as long when it is slow.
	callTimeout = 700 * time.Millisecond
	// maxKnown bounds the keys whose last state is remembered, a few kilobytes each.
	maxKnown = 2048
	// maxPast bounds the past states of a key: those of the last seconds.
	maxPast = 64
)

// Merger merges values of keys that many callers change at once.
type Merger interface {
	// CanMerge reports whether values of a key can be merged.
	CanMerge(key string) bool
	// Merge makes the change that led from base to mine to theirs. The error says why it
	// cannot be made.
	Merge(key string, base, theirs, mine []byte) ([]byte, error)
}

// Config holds what a Combiner needs.
type Config struct {
	// Store tells the states of the compared keys with a conflict; otherwise a conflict of one
	// transaction is one of all that shared its call.
	Store persister.Store
	// MaxOperations is the most compares, puts and deletes of one transaction of the store.
	MaxOperations int
	// Merger merges values. Nil means that none can be.
	Merger Merger
	// BatchDelay is how long transactions are collected.
	BatchDelay time.Duration
	Recorder   *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Combiner is safe for concurrent use.
type Combiner struct {
	config Config
	calls  singleflight.Group // of leases
	ctx    context.Context    // ends with Close
	stop   context.CancelFunc

	mu      sync.Mutex
	waiting []*waiter
	running bool
	// known is the newest state that was seen of each key.
	known map[string]persister.Entry
	// past are the latest states of each key that can be merged, oldest first.
	past   map[string][]persister.Entry
	leases map[time.Duration]lease
	feeds  map[string]*feed
}

// waiter is a transaction that waits for its outcome.
type waiter struct {
	ctx  context.Context
	txn  persister.Txn
	done chan outcome // has room for the one outcome
	// alone is true when it may have been the fault of a batch that the store found malformed.
	alone bool
}

// outcome is that of a transaction. Merged are the puts whose values were written otherwise.
type outcome struct {
	revision contractor.Revision
	merged   []persister.Entry
	err      error
}

// New returns a combiner that has made no call.
func New(c Config) *Combiner {
	if c.Now == nil {
		c.Now = time.Now
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Combiner{
		ctx: ctx, stop: stop, config: c, known: make(map[string]persister.Entry),
		past:   make(map[string][]persister.Entry),
		leases: make(map[time.Duration]lease), feeds: make(map[string]*feed),
	}
}

// Close ends the watches and the calls under way.
func (c *Combiner) Close() { c.stop() }

// Commit writes a transaction together with others and returns its revision, and what was
// written to the keys whose values were merged. The errors are those of persister.Store.
// After the end of ctx the outcome is unknown.
func (c *Combiner) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	w := &waiter{ctx: ctx, txn: txn, done: make(chan outcome, 1)}
	c.mu.Lock()
	c.waiting = append(c.waiting, w)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case o := <-w.done:
		return o.revision, o.merged, o.err
	case <-ctx.Done():
		return 0, nil, fmt.Errorf("combine: %w: %w", persister.ErrUnknown, ctx.Err())
	}
}

// run commits what waits until nothing does.
func (c *Combiner) run() {
	gather := c.config.BatchDelay
	for {
		// After Close the calls fail, and their callers hear so.
		_ = sleeper.Sleep(c.ctx, gather)
		b := c.take()
		if b == nil {
			return
		}
		gather = c.config.BatchDelay
		if c.commit(b) {
			gather = 0 // some of them are still to be done
		}
	}
}

// take returns the next batch, or nil when nothing waits any more.
func (c *Combiner) take() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := newBatch(c.config.MaxOperations)
	var later []*waiter
	for _, w := range c.waiting {
		if w.ctx.Err() != nil {
			continue // its caller has gone, and will look itself
		}
		if conflict := c.conflict(w.txn); conflict != nil {
			c.config.Recorder.Count("combiner.conflicts_known", 1)
			w.done <- outcome{err: conflict}
			continue
		}
		t, err := c.rebase(b, w.txn)
		switch {
		case err != nil:
			w.done <- outcome{err: c.lateConflict(w.txn)}
		case !b.add(w, t):
			later = append(later, w)
		}
	}
	c.waiting = later
	if len(b.members) == 0 && len(later) == 0 {
		c.running = false
		return nil
	}
	return b
}

// conflict returns the conflict that a transaction is known to meet. What the caller knows
// better than the combiner is left to the store. The lock is held.
func (c *Combiner) conflict(txn persister.Txn) error {
	late := false
	for _, compare := range txn.Compares {
		known, ok := c.known[compare.Key]
		if !ok || known.Revision < compare.Revision {
			return nil
		}
		late = late || known.Revision > compare.Revision && c.pastOf(compare) == nil
	}
	if !late {
		return nil
	}
	return c.lateConflict(txn)
}

// lateConflict tells the states of the compared keys, unless the caller knows one of them
// better: it must not go back to an older one. The lock is held.
func (c *Combiner) lateConflict(txn persister.Txn) error {
	var entries []persister.Entry
	for _, compare := range txn.Compares {
		known, ok := c.known[compare.Key]
		if !ok || known.Revision < compare.Revision {
			return persister.ErrConflict
		}
		entries = append(entries, known)
	}
	return &persister.ConflictError{Entries: entries}
}

// pastOf returns the state of a key that a caller has compared, if it can be merged. The
// lock is held.
func (c *Combiner) pastOf(compare persister.Compare) *persister.Entry {
	for i, e := range c.past[compare.Key] {
		if e.Revision == compare.Revision {
			return &c.past[compare.Key][i]
		}
	}
	return nil
}

// rebased is a transaction that follows those of a batch. Merged are the keys whose values
// were merged.
type rebased struct {
	persister.Txn
	merged []string
}

// rebase makes the changes of a transaction to keys that can be merged after those of a
// batch. The error says why one cannot be made. The lock is held.
func (c *Combiner) rebase(b *batch, txn persister.Txn) (rebased, error) {
	t := rebased{Txn: txn}
	for i, p := range txn.Puts {
		at := slices.IndexFunc(txn.Compares, func(x persister.Compare) bool { return x.Key == p.Key })
		if at < 0 || c.config.Merger == nil || !c.config.Merger.CanMerge(p.Key) {
			continue
		}
		base, theirs := c.pastOf(txn.Compares[at]), b.state(p.Key, c.known[p.Key])
		if base == nil {
			continue // only the store knows
		}
		value, err := c.config.Merger.Merge(p.Key, base.Value, theirs.Value, p.Value)
		if err != nil {
			return t, err
		}
		if t.merged == nil {
			t.Puts, t.Compares = slices.Clone(txn.Puts), slices.Clone(txn.Compares)
		}
		t.Puts[i].Value, t.Compares[at].Revision = value, theirs.Revision
		t.merged = append(t.merged, p.Key)
	}
	return t, nil
}

// commit writes a batch and tells its members. It reports whether some are to be tried again.
func (c *Combiner) commit(b *batch) (again bool) {
	if len(b.members) == 0 {
		return false
	}
	c.config.Recorder.Count("combiner.commits", 1)
	c.config.Recorder.Count("combiner.transactions", int64(len(b.members)))
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	revision, err := c.config.Store.Commit(ctx, b.txn)
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) {
		if states, ok := b.states(conflict.Entries); ok {
			c.learn(states)
			return c.retry(b, states)
		}
	}
	if errors.Is(err, persister.ErrInvalid) && len(b.members) > 1 {
		return c.separate(b)
	}
	if err == nil {
		c.learnPuts(b.txn.Puts, revision)
	}
	for _, w := range b.members {
		w.done <- outcome{revision, b.written(w.txn, revision), err}
	}
	return false
}

// retry puts the members of a batch whose own compares hold back in front, and tells the
// others their conflict. The lock is held.
func (c *Combiner) retry(b *batch, states []persister.Entry) (again bool) {
	current := make(map[string]persister.Entry, len(states))
	for _, e := range states {
		current[e.Key] = e
	}
	var kept []*waiter
	for _, w := range b.members {
		var entries []persister.Entry
		holds := true
		for _, compare := range w.txn.Compares {
			e := current[compare.Key]
			holds = holds && (e.Revision == compare.Revision || c.pastOf(compare) != nil)
			entries = append(entries, e)
		}
		if holds {
			kept = append(kept, w)
			continue
		}
		w.done <- outcome{err: &persister.ConflictError{Entries: entries}}
	}
	if !b.differs(states) {
		// The store names no compare that fails: its answer is of no use.
		for _, w := range kept {
			w.done <- outcome{err: persister.ErrConflict}
		}
		return false
	}
	c.waiting = append(kept, c.waiting...)
	return len(kept) > 0
}

// separate puts the members of a malformed batch back in front, to be tried one by one: one
// of them names a lease that has ended. The lock is held.
func (c *Combiner) separate(b *batch) (again bool) {
	for _, w := range b.members {
		w.alone = true
	}
	c.waiting = append(slices.Clone(b.members), c.waiting...)
	return true
}

// learn notes states of keys. The lock is held.
func (c *Combiner) learn(entries []persister.Entry) {
	if len(c.known)+len(entries) > maxKnown {
		clear(c.known)
	}
	for _, e := range entries {
		if old, ok := c.known[e.Key]; ok && e.Revision <= old.Revision {
			continue
		}
		c.known[e.Key] = e
		if c.config.Merger != nil && c.config.Merger.CanMerge(e.Key) {
			past := c.past[e.Key]
			c.past[e.Key] = append(past[max(len(past)-maxPast+1, 0):], e)
		}
	}
}

func (c *Combiner) learnPuts(puts []persister.Put, revision contractor.Revision) {
	var entries []persister.Entry
	for _, p := range puts {
		if p.Lease == 0 { // a key under a lease may go at any time
			entries = append(entries, persister.Entry{Key: p.Key, Value: p.Value, Revision: revision})
		}
	}
	c.learn(entries)
}
