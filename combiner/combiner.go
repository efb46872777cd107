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
	// maxStates bounds the keys whose last state is remembered, a few kilobytes each.
	maxStates = 2048
	// maxHistory bounds the past states of a key: those of the last seconds.
	maxHistory = 64
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
	config     Config
	leaseCalls singleflight.Group // of leases
	ctx        context.Context    // ends with Close
	stop       context.CancelFunc

	mu      sync.Mutex
	queue   []*pendingTxn
	running bool
	// newest is the newest state that was seen of each key.
	newest map[string]persister.Entry
	// history are the latest states of each key that can be merged, oldest first.
	history map[string][]persister.Entry
	leases  map[time.Duration]lease
	feeds   map[string]*feed
}

// pendingTxn is a transaction that waits for its outcome.
type pendingTxn struct {
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
		ctx: ctx, stop: stop, config: c, newest: make(map[string]persister.Entry),
		history: make(map[string][]persister.Entry),
		leases:  make(map[time.Duration]lease), feeds: make(map[string]*feed),
	}
}

// Close ends the watches and the calls under way.
func (c *Combiner) Close() { c.stop() }

// Commit writes a transaction together with others and returns its revision, and what was
// written to the keys whose values were merged. The errors are those of persister.Store.
// After the end of ctx the outcome is unknown.
func (c *Combiner) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	pending := &pendingTxn{ctx: ctx, txn: txn, done: make(chan outcome, 1)}
	c.mu.Lock()
	c.queue = append(c.queue, pending)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case o := <-pending.done:
		return o.revision, o.merged, o.err
	case <-ctx.Done():
		return 0, nil, fmt.Errorf("combine: %w: %w", persister.ErrUnknown, ctx.Err())
	}
}

// run commits what waits until nothing does.
func (c *Combiner) run() {
	delay := c.config.BatchDelay
	for {
		// After Close the calls fail, and their callers hear so.
		_ = sleeper.Sleep(c.ctx, delay)
		b := c.nextBatch()
		if b == nil {
			return
		}
		delay = c.config.BatchDelay
		if c.commitBatch(b) {
			delay = 0 // some of them are still to be done
		}
	}
}

// nextBatch returns the next batch, or nil when nothing waits any more.
func (c *Combiner) nextBatch() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := newBatch(c.config.MaxOperations)
	var remaining []*pendingTxn
	for _, pending := range c.queue {
		if pending.ctx.Err() != nil {
			continue // its caller has gone, and will look itself
		}
		if conflict := c.knownConflict(pending.txn); conflict != nil {
			c.config.Recorder.Count("combiner.conflicts_known", 1)
			pending.done <- outcome{err: conflict}
			continue
		}
		t, err := c.rebase(b, pending.txn)
		switch {
		case err != nil:
			pending.done <- outcome{err: c.newestConflict(pending.txn)}
		case !b.add(pending, t):
			remaining = append(remaining, pending)
		}
	}
	c.queue = remaining
	if len(b.members) == 0 && len(remaining) == 0 {
		c.running = false
		return nil
	}
	return b
}

// knownConflict returns the knownConflict that a transaction is known to meet. What the caller knows
// better than the combiner is left to the store. The lock is held.
func (c *Combiner) knownConflict(txn persister.Txn) error {
	stale := false
	for _, compare := range txn.Compares {
		known, ok := c.newest[compare.Key]
		if !ok || known.Revision < compare.Revision {
			return nil
		}
		stale = stale || known.Revision > compare.Revision && c.mergeBase(compare) == nil
	}
	if !stale {
		return nil
	}
	return c.newestConflict(txn)
}

// newestConflict tells the states of the compared keys, unless the caller knows one of them
// better: it must not go back to an older one. The lock is held.
func (c *Combiner) newestConflict(txn persister.Txn) error {
	var entries []persister.Entry
	for _, compare := range txn.Compares {
		known, ok := c.newest[compare.Key]
		if !ok || known.Revision < compare.Revision {
			return persister.ErrConflict
		}
		entries = append(entries, known)
	}
	return &persister.ConflictError{Entries: entries}
}

// mergeBase returns the state of a key that a caller has compared, if it can be merged. The
// lock is held.
func (c *Combiner) mergeBase(compare persister.Compare) *persister.Entry {
	for i, e := range c.history[compare.Key] {
		if e.Revision == compare.Revision {
			return &c.history[compare.Key][i]
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
		base, theirs := c.mergeBase(txn.Compares[at]), b.state(p.Key, c.newest[p.Key])
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

// commitBatch writes a batch and tells its members. It reports whether some are to be tried again.
func (c *Combiner) commitBatch(b *batch) (requeued bool) {
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
		if states, ok := b.comparedStates(conflict.Entries); ok {
			c.recordStates(states)
			return c.resolveConflict(b, states)
		}
	}
	if errors.Is(err, persister.ErrInvalid) && len(b.members) > 1 {
		return c.requeueSeparately(b)
	}
	if err == nil {
		c.recordPuts(b.txn.Puts, revision)
	}
	for _, pending := range b.members {
		pending.done <- outcome{revision, b.mergedEntries(pending.txn, revision), err}
	}
	return false
}

// resolveConflict puts the members of a batch whose own compares hold back in front, and tells the
// others their conflict. The lock is held.
func (c *Combiner) resolveConflict(b *batch, states []persister.Entry) (requeued bool) {
	current := make(map[string]persister.Entry, len(states))
	for _, e := range states {
		current[e.Key] = e
	}
	var retriable []*pendingTxn
	for _, pending := range b.members {
		var entries []persister.Entry
		valid := true
		for _, compare := range pending.txn.Compares {
			e := current[compare.Key]
			valid = valid && (e.Revision == compare.Revision || c.mergeBase(compare) != nil)
			entries = append(entries, e)
		}
		if valid {
			retriable = append(retriable, pending)
			continue
		}
		pending.done <- outcome{err: &persister.ConflictError{Entries: entries}}
	}
	if !b.outdated(states) {
		// The store names no compare that fails: its answer is of no use.
		for _, pending := range retriable {
			pending.done <- outcome{err: persister.ErrConflict}
		}
		return false
	}
	c.queue = append(retriable, c.queue...)
	return len(retriable) > 0
}

// requeueSeparately puts the members of a malformed batch back in front, to be tried one by one: one
// of them names a lease that has ended. The lock is held.
func (c *Combiner) requeueSeparately(b *batch) (requeued bool) {
	for _, pending := range b.members {
		pending.alone = true
	}
	c.queue = append(slices.Clone(b.members), c.queue...)
	return true
}

// recordStates notes states of keys. The lock is held.
func (c *Combiner) recordStates(entries []persister.Entry) {
	if len(c.newest)+len(entries) > maxStates {
		clear(c.newest)
	}
	for _, e := range entries {
		if old, ok := c.newest[e.Key]; ok && e.Revision <= old.Revision {
			continue
		}
		c.newest[e.Key] = e
		if c.config.Merger != nil && c.config.Merger.CanMerge(e.Key) {
			history := c.history[e.Key]
			c.history[e.Key] = append(history[max(len(history)-maxHistory+1, 0):], e)
		}
	}
}

func (c *Combiner) recordPuts(puts []persister.Put, revision contractor.Revision) {
	var entries []persister.Entry
	for _, p := range puts {
		if p.Lease == 0 { // a key under a lease may go at any time
			entries = append(entries, persister.Entry{Key: p.Key, Value: p.Value, Revision: revision})
		}
	}
	c.recordStates(entries)
}
