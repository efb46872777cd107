// Package follower keeps a copy of the keys below a prefix of the store up to date.
//
// A Follower reads all keys once and then watches for changes. After an error it
// goes on at the revision it has; when the store has discarded that history, it
// reads all keys again. Its handler is called from one goroutine. While the store
// is away the copy just grows old: Age says for how long.
//
//	f := follower.New(follower.Config{Store: store, Prefix: "op/", Handler: h})
//	go f.Run(ctx)
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// callTimeout bounds one read. The store answers in 4 ms; when it is slow, in
	// up to 100 times as long.
	callTimeout = 1500 * time.Millisecond
	// firstPause and longestPause bound the wait after a failed call. A change has
	// to be in force 2 s after it was accepted, so the store is asked several
	// times in that time.
	firstPause   = 100 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// ownTime is how much longer a watch may take to tell a change than another daemon.
	ownTime = 200 * time.Millisecond
	// firstPatience is how long a watch is left alone. It doubles each time that news
	// restart a watch, up to longestPatience, until one answers: the answer may be
	// large, and the store or the link slow.
	firstPatience   = time.Second
	longestPatience = 8 * time.Second
	// pageSize is the most items that the store returns at once.
	pageSize = 500
)

// Handler receives what the store has.
type Handler interface {
	// Reset replaces everything: the store holds just these entries.
	Reset(entries []persister.Entry)
	// Apply adds one change.
	Apply(change persister.Change)
}

// Config holds what a Follower needs.
type Config struct {
	Store   persister.Store
	Prefix  string
	Handler Handler
	// BatchDelay returns how long to collect further changes after some have come, before
	// the store is asked again. Nil means not at all.
	BatchDelay func() time.Duration
	Recorder   *recorder.Recorder
}

// Follower follows one prefix.
type Follower struct {
	config  Config
	after   contractor.Revision
	loaded  bool
	read    atomic.Bool  // all keys were read once
	contact atomic.Int64 // time of the last answer, in nanoseconds since start
	gap     atomic.Int64 // time of the last failed call, likewise, or 0
	start   time.Time
	// changed is the revision of the newest change that was applied.
	changed atomic.Int64
	// known is the revision up to which all changes were told.
	known atomic.Int64
	// patience is how long the next watch is left alone.
	patience time.Duration
	news     chan struct{}
}

// New returns a follower that has read nothing.
func New(c Config) *Follower {
	return &Follower{config: c, start: time.Now(), news: make(chan struct{}, 1), patience: firstPatience}
}

// Loaded reports whether all keys were read at least once.
func (f *Follower) Loaded() bool { return f.read.Load() }

// Age returns the time since the store last answered.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.start) - time.Duration(f.contact.Load())
}

// LastFailure returns when a call last failed, or the zero time.
func (f *Follower) LastFailure() time.Time {
	gap := f.gap.Load()
	if gap == 0 {
		return time.Time{}
	}
	return f.start.Add(time.Duration(gap))
}

// AppliedRevision returns the revision of the newest change that was applied.
func (f *Follower) AppliedRevision() contractor.Revision {
	return contractor.Revision(f.changed.Load())
}

// NotifyRevision hears from elsewhere that the prefix has changed at a revision. A watch that
// has not told so is asked again, because a store that discards its history may
// tell a waiting watch nothing.
func (f *Follower) NotifyRevision(revision contractor.Revision) {
	if int64(revision) <= f.known.Load() || !f.Loaded() {
		return
	}
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	lost := false
	for ctx.Err() == nil {
		err := f.step(ctx, func() {
			if lost {
				f.config.Recorder.Event(recorder.StoreRegained, "prefix", f.config.Prefix, "revision", f.after)
			}
			lost, pause = false, firstPause
		})
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, persister.ErrCompacted) {
			f.config.Recorder.Event(recorder.HistoryLost, "prefix", f.config.Prefix, "revision", f.after)
			f.loaded = false
			continue
		}
		if err == nil {
			continue
		}
		f.gap.Store(int64(time.Since(f.start)))
		if !lost {
			f.config.Recorder.Event(recorder.StoreLost, "prefix", f.config.Prefix, "revision", f.after, "err", err)
		}
		lost = true
		_ = sleeper.Sleep(ctx, pause/2+rand.N(pause)) // the loop looks at ctx
		pause = min(2*pause, longestPause)
	}
}

// step reads all keys when that is due, and then watches until an error.
func (f *Follower) step(ctx context.Context, answered func()) error {
	if !f.loaded {
		if err := f.load(ctx); err != nil {
			return err
		}
		f.answered()
		answered()
	}
	return f.watch(ctx, answered)
}

// watch watches until an error, or until somebody has heard of a change that this
// watch has not told.
func (f *Follower) watch(ctx context.Context, answered func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restarted := make(chan bool)
	go func() { restarted <- f.awaitNews(ctx, cancel) }()
	err := f.follow(ctx, answered)
	cancel()
	if <-restarted {
		return nil
	}
	return err
}

// awaitNews cancels a watch that does not tell what others have heard of, and
// reports whether it did.
func (f *Follower) awaitNews(ctx context.Context, cancel context.CancelFunc) bool {
	known, begun := f.known.Load(), time.Now()
	for {
		select {
		case <-f.news:
		case <-ctx.Done():
			return false
		}
		_ = sleeper.Sleep(ctx, ownTime) // the watch's own answer may be under way
		if now := f.known.Load(); now != known {
			known, begun, f.patience = now, time.Now(), firstPatience
			continue
		}
		if time.Since(begun) < f.patience || ctx.Err() != nil {
			continue
		}
		f.patience = min(2*f.patience, longestPatience)
		cancel()
		return true
	}
}

func (f *Follower) follow(ctx context.Context, answered func()) error {
	return f.config.Store.Watch(ctx, f.config.Prefix, f.after, func(b persister.Batch) error {
		for _, change := range b.Changes {
			f.config.Handler.Apply(change)
			f.changed.Store(max(f.changed.Load(), int64(change.Entry.Revision)))
		}
		f.after = max(f.after, b.Revision)
		f.known.Store(int64(f.after))
		f.answered()
		answered()
		if len(b.Changes) > 0 && f.config.BatchDelay != nil {
			return sleeper.Sleep(ctx, f.config.BatchDelay())
		}
		return nil
	})
}

func (f *Follower) answered() { f.contact.Store(int64(time.Since(f.start))) }

// load reads all pages. Pages are not a snapshot, so the watch begins at the
// revision of the first one.
func (f *Follower) load(ctx context.Context) error {
	var entries []persister.Entry
	first := contractor.Revision(0)
	after := ""
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return err
		}
		if first == 0 {
			first = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	f.config.Handler.Reset(entries)
	for _, e := range entries {
		f.changed.Store(max(f.changed.Load(), int64(e.Revision)))
	}
	f.after, f.loaded = first, true
	f.known.Store(int64(first))
	f.read.Store(true)
	return nil
}

func (f *Follower) page(ctx context.Context, after string) (persister.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.config.Store.Range(ctx, f.config.Prefix, after, pageSize)
}
