// Package combiner combines calls of many callers into few calls to the store.
//
// Each daemon of a fleet makes several calls per second, and the platform charges for them and
// limits their rate for the whole fleet. A Combiner reduces their number:
//
//   - Transactions that touch different keys are collected for BatchDelay and committed as one
//     batch. If the batch fails with a conflict, the transactions whose own compares hold are
//     tried again; the others get a conflict with the current states of their keys.
//   - A transaction that compares an older revision than the newest one that the combiner has
//     seen gets its conflict without a call.
//   - Values that a Merger can merge do not conflict. If two callers have changed the same
//     state, the second change is applied to the result of the first.
//   - Requests for leases of the same length within 300 ms share one lease. A shared lease
//     expires up to 300 ms earlier than a new one, which callers have to allow for.
//   - Each prefix is watched once for all callers that poll it.
//
// A Combiner holds only caches. Losing it affects no result, because the store decides each
// transaction.
//
//	c := combiner.New(combiner.Config{Store: store, MaxOperations: 32, BatchDelay: 40 * time.Millisecond})
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
	// callTimeout limits one call to the store, because the next batch waits for its end. The
	// store responds in 4 ms, or in up to 100 times as long when it is slow.
	callTimeout = 700 * time.Millisecond
	// maxStates limits the number of keys whose newest state is cached, a few kilobytes each.
	maxStates = 2048
	// maxHistory limits the number of cached states per key.
	maxHistory = 64
	// maxMergeAge is how long after it was replaced a state can be the base of a merge. A daemon that
	// planned from an older one would take tokens that other daemons have been granted since,
	// so it gets the newest state and plans again.
	maxMergeAge = 500 * time.Millisecond
)

// Merger merges values of keys that many callers change concurrently.
type Merger interface {
	// CanMerge reports whether values of a key can be merged.
	CanMerge(key string) bool
	// Merge is a three-way merge: it applies the change between base and mine to theirs. It
	// returns an error if the change does not apply to theirs.
	Merge(key string, base, theirs, mine []byte) ([]byte, error)
}

// Config holds what a Combiner needs.
type Config struct {
	// Store should return the states of the compared keys with a conflict. Otherwise a conflict
	// of one transaction fails all transactions of its batch.
	Store persister.Store
	// MaxOperations is the maximum number of compares, puts and deletes of one transaction.
	MaxOperations int
	// Merger merges values. Nil means that no values can be merged.
	Merger Merger
	// BatchDelay is how long transactions are collected before they are committed.
	BatchDelay time.Duration
	Recorder   *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Combiner is safe for concurrent use.
type Combiner struct {
	config     Config
	leaseCalls singleflight.Group // by the length of the lease
	ctx        context.Context    // cancelled by Close
	stop       context.CancelFunc

	mu      sync.Mutex
	queue   []*pendingTxn
	running bool
	// newest holds the newest state seen of each key.
	newest map[string]persister.Entry
	// history holds the latest states of each key whose values can be merged, oldest first.
	history map[string][]pastState
	leases  map[time.Duration]lease
	feeds   map[string]*feed
}

// pendingTxn is a transaction that waits for its outcome.
type pendingTxn struct {
	ctx  context.Context
	txn  persister.Txn
	done chan outcome // buffered, so that sending does not block
	// alone excludes other transactions from its batch. It is set after the store has rejected
	// a batch as malformed, which any of the batch's transactions may have caused.
	alone bool
}

// outcome is the result of a transaction. The entries of merged are those whose written values
// differ from the transaction's own, because they were merged.
type outcome struct {
	revision contractor.Revision
	merged   []persister.Entry
	err      error
}

// New returns a Combiner. It makes no call.
func New(c Config) *Combiner {
	if c.Now == nil {
		c.Now = time.Now
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Combiner{
		ctx: ctx, stop: stop, config: c, newest: make(map[string]persister.Entry),
		history: make(map[string][]pastState),
		leases:  make(map[time.Duration]lease), feeds: make(map[string]*feed),
	}
}

// Close cancels the watches and the calls in flight.
func (c *Combiner) Close() { c.stop() }

// Commit writes a transaction together with others. It returns the revision, and the entries
// whose written values differ from those of txn because they were merged. The errors are those
// of persister.Store. If ctx ends first, the error is persister.ErrUnknown.
func (c *Combiner) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	pending := &pendingTxn{ctx: ctx, txn: txn, done: make(chan outcome, 1)}
	c.mu.Lock()
	if conflict := c.knownConflict(txn); conflict != nil {
		c.mu.Unlock()
		c.config.Recorder.Count("combiner.conflicts_known", 1)
		return 0, nil, conflict
	}
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

// run commits batches until the queue is empty.
func (c *Combiner) run() {
	delay := c.config.BatchDelay
	for {
		// After Close the calls to the store fail, and the callers get the error.
		_ = sleeper.Sleep(c.ctx, delay)
		b := c.nextBatch()
		if b == nil {
			return
		}
		delay = c.config.BatchDelay
		if c.commitBatch(b) || b.full {
			delay = 0 // transactions of this batch are to be tried again, or others wait already
		}
	}
}

// nextBatch takes transactions from the queue and returns them as a batch, or nil if the queue is
// empty.
func (c *Combiner) nextBatch() *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := newBatch(c.config.MaxOperations)
	var remaining []*pendingTxn
	for _, pending := range c.queue {
		if pending.ctx.Err() != nil {
			continue // its caller has already got ErrUnknown
		}
		if conflict := c.knownConflict(pending.txn); conflict != nil {
			c.config.Recorder.Count("combiner.conflicts_known", 1)
			pending.done <- outcome{err: conflict}
			continue
		}
		if !b.hasRoom() {
			remaining = append(remaining, pending) // merging its changes now would be in vain
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
	b.full = len(remaining) > 0
	if len(b.members) == 0 && len(remaining) == 0 {
		c.running = false
		return nil
	}
	return b
}

// knownConflict returns a conflict if a transaction compares a revision older than the newest one
// seen and cannot be merged. It returns nil if the combiner has no state of a compared key, or an
// older one than the caller: only the store can then decide. The lock is held.
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

// newestConflict returns a conflict with the newest states of the compared keys. If the caller has
// seen a newer state of one of them, it returns ErrConflict without states, so that the caller
// does not fall back to an older one. The lock is held.
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

// pastState is a state of a key and the time at which it was recorded.
type pastState struct {
	persister.Entry
	recordedAt time.Time
}

// mergeBase returns the state that a compare refers to, or nil if it is not in the history. The
// lock is held.
func (c *Combiner) mergeBase(compare persister.Compare) *persister.Entry {
	history := c.history[compare.Key]
	for i := range history {
		if history[i].Revision != compare.Revision {
			continue
		}
		if i+1 < len(history) && c.config.Now().Sub(history[i+1].recordedAt) > maxMergeAge {
			return nil
		}
		return &history[i].Entry
	}
	return nil
}

// rebased is a transaction whose changes are applied on top of those of a batch. merged holds the
// keys whose values were merged.
type rebased struct {
	persister.Txn
	merged []string
}

// rebase merges the puts of a transaction, where their keys allow it, with the values that the
// batch writes or that are the newest. It returns the error of the Merger if a change does not
// apply. The lock is held.
func (c *Combiner) rebase(b *batch, txn persister.Txn) (rebased, error) {
	t := rebased{Txn: txn}
	for i, p := range txn.Puts {
		at := slices.IndexFunc(txn.Compares, func(x persister.Compare) bool { return x.Key == p.Key })
		if at < 0 || c.config.Merger == nil || !c.config.Merger.CanMerge(p.Key) {
			continue
		}
		base, theirs := c.mergeBase(txn.Compares[at]), b.state(p.Key, c.newest[p.Key])
		if base == nil {
			continue // the store decides by the compared revision
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

// commitBatch writes a batch and sends each transaction its outcome, except those to be tried
// again. It reports whether there are any of these.
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

// resolveConflict handles a conflict of a batch. Transactions whose own compares hold, or whose
// changes can be merged, go back to the front of the queue; the others get their conflict. It
// reports whether there are any to be tried again. The lock is held.
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
		// All compares hold according to the store's response, so trying again could loop.
		for _, pending := range retriable {
			pending.done <- outcome{err: persister.ErrConflict}
		}
		return false
	}
	c.queue = append(retriable, c.queue...)
	return len(retriable) > 0
}

// requeueSeparately puts the transactions of a batch that the store rejected as malformed back to
// the front of the queue, to be committed one by one. The cause is usually one that refers to an
// expired lease. The lock is held.
func (c *Combiner) requeueSeparately(b *batch) (requeued bool) {
	for _, pending := range b.members {
		pending.alone = true
	}
	c.queue = append(slices.Clone(b.members), c.queue...)
	return true
}

// recordStates caches states of keys, unless newer ones are cached. The lock is held.
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
			c.history[e.Key] = append(history[max(len(history)-maxHistory+1, 0):], pastState{e, c.config.Now()})
		}
	}
}

// recordPuts caches the states that a committed batch has written. The lock is held.
func (c *Combiner) recordPuts(puts []persister.Put, revision contractor.Revision) {
	var entries []persister.Entry
	for _, p := range puts {
		if p.Lease == 0 { // a key with a lease may be deleted at any time
			entries = append(entries, persister.Entry{Key: p.Key, Value: p.Value, Revision: revision})
		}
	}
	c.recordStates(entries)
}
