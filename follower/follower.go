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
	// initialBackoff and longestPause bound the wait after a failed call. A change has
	// to be in force 2 s after it was accepted, so the store is asked several
	// times in that time.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// notificationGrace is how much longer a watch may take to tell a change than another daemon.
	notificationGrace = 200 * time.Millisecond
	// minRestartInterval is how long a watch is left alone. It doubles each time that news
	// restart a watch, up to longestPatience, until one answers: the answer may be
	// large, and the store or the link slow.
	minRestartInterval = time.Second
	maxRestartInterval = 8 * time.Second
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
	config      Config
	after       contractor.Revision
	loaded      bool
	everLoaded  atomic.Bool  // all keys were read once
	lastContact atomic.Int64 // time of the last answer, in nanoseconds since start
	lastFailure atomic.Int64 // time of the last failed call, likewise, or 0
	created     time.Time
	// appliedRevision is the revision of the newest change that was applied.
	appliedRevision atomic.Int64
	// watchedRevision is the revision up to which all changes were told.
	watchedRevision atomic.Int64
	// restartInterval is how long the next watch is left alone.
	restartInterval time.Duration
	notified        chan struct{}
}

// New returns a follower that has read nothing.
func New(c Config) *Follower {
	return &Follower{config: c, created: time.Now(), notified: make(chan struct{}, 1), restartInterval: minRestartInterval}
}

// Loaded reports whether all keys were read at least once.
func (f *Follower) Loaded() bool { return f.everLoaded.Load() }

// Age returns the time since the store last answered.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.created) - time.Duration(f.lastContact.Load())
}

// LastFailure returns when a call last failed, or the zero time.
func (f *Follower) LastFailure() time.Time {
	nanos := f.lastFailure.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return f.created.Add(time.Duration(nanos))
}

// AppliedRevision returns the revision of the newest change that was applied.
func (f *Follower) AppliedRevision() contractor.Revision {
	return contractor.Revision(f.appliedRevision.Load())
}

// NotifyRevision hears from elsewhere that the prefix has changed at a revision. A watch that
// has not told so is asked again, because a store that discards its history may
// tell a waiting watch nothing.
func (f *Follower) NotifyRevision(revision contractor.Revision) {
	if int64(revision) <= f.watchedRevision.Load() || !f.Loaded() {
		return
	}
	select {
	case f.notified <- struct{}{}:
	default:
	}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := initialBackoff
	unavailable := false
	for ctx.Err() == nil {
		err := f.loadAndWatch(ctx, func() {
			if unavailable {
				f.config.Recorder.Event(recorder.StoreRegained, "prefix", f.config.Prefix, "revision", f.after)
			}
			unavailable, delay = false, initialBackoff
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
		f.lastFailure.Store(int64(time.Since(f.created)))
		if !unavailable {
			f.config.Recorder.Event(recorder.StoreLost, "prefix", f.config.Prefix, "revision", f.after, "err", err)
		}
		unavailable = true
		_ = sleeper.Sleep(ctx, delay/2+rand.N(delay)) // the loop looks at ctx
		delay = min(2*delay, maxBackoff)
	}
}

// loadAndWatch reads all keys when that is due, and then watches until an error.
func (f *Follower) loadAndWatch(ctx context.Context, onResponse func()) error {
	if !f.loaded {
		if err := f.load(ctx); err != nil {
			return err
		}
		f.recordContact()
		onResponse()
	}
	return f.watch(ctx, onResponse)
}

// watch watches until an error, or until somebody has heard of a change that this
// watch has not told.
func (f *Follower) watch(ctx context.Context, onResponse func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restarted := make(chan bool)
	go func() { restarted <- f.restartIfBehind(ctx, cancel) }()
	err := f.runWatch(ctx, onResponse)
	cancel()
	if <-restarted {
		return nil
	}
	return err
}

// restartIfBehind cancels a watch that does not tell what others have heard of, and
// reports whether it did.
func (f *Follower) restartIfBehind(ctx context.Context, cancel context.CancelFunc) bool {
	reported, lastProgress := f.watchedRevision.Load(), time.Now()
	for {
		select {
		case <-f.notified:
		case <-ctx.Done():
			return false
		}
		_ = sleeper.Sleep(ctx, notificationGrace) // the watch's own answer may be under way
		if current := f.watchedRevision.Load(); current != reported {
			reported, lastProgress, f.restartInterval = current, time.Now(), minRestartInterval
			continue
		}
		if time.Since(lastProgress) < f.restartInterval || ctx.Err() != nil {
			continue
		}
		f.restartInterval = min(2*f.restartInterval, maxRestartInterval)
		cancel()
		return true
	}
}

func (f *Follower) runWatch(ctx context.Context, onResponse func()) error {
	return f.config.Store.Watch(ctx, f.config.Prefix, f.after, func(b persister.Batch) error {
		for _, change := range b.Changes {
			f.config.Handler.Apply(change)
			f.appliedRevision.Store(max(f.appliedRevision.Load(), int64(change.Entry.Revision)))
		}
		f.after = max(f.after, b.Revision)
		f.watchedRevision.Store(int64(f.after))
		f.recordContact()
		onResponse()
		if len(b.Changes) > 0 && f.config.BatchDelay != nil {
			return sleeper.Sleep(ctx, f.config.BatchDelay())
		}
		return nil
	})
}

func (f *Follower) recordContact() { f.lastContact.Store(int64(time.Since(f.created))) }

// load reads all pages. Pages are not a snapshot, so the watch begins at the
// revision of the first one.
func (f *Follower) load(ctx context.Context) error {
	var entries []persister.Entry
	firstRevision := contractor.Revision(0)
	after := ""
	for {
		page, err := f.readPage(ctx, after)
		if err != nil {
			return err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			break
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	f.config.Handler.Reset(entries)
	for _, e := range entries {
		f.appliedRevision.Store(max(f.appliedRevision.Load(), int64(e.Revision)))
	}
	f.after, f.loaded = firstRevision, true
	f.watchedRevision.Store(int64(firstRevision))
	f.everLoaded.Store(true)
	return nil
}

func (f *Follower) readPage(ctx context.Context, after string) (persister.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.config.Store.Range(ctx, f.config.Prefix, after, pageSize)
}
