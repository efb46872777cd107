// Package replicator keeps a copy of the keys below a prefix of the store up to date.
//
// A Replicator reads all keys once and then watches for changes. After an error it
// resumes at the revision it has reached; if the store has compacted the history
// after that revision, or was restored from an older copy, it reads all keys again. It calls its Handler from one
// goroutine. While the store is unavailable the copy becomes stale; Age returns
// the time since the last contact.
//
//	r := replicator.New(replicator.Config{Store: store, Prefix: "op/", Handler: h})
//	go r.Run(ctx)
package replicator

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
	// callTimeout limits one read. The store responds in 4 ms, or in up to 100
	// times as long when it is slow.
	callTimeout = 1500 * time.Millisecond
	// initialBackoff and maxBackoff limit the delay after a failed call. A change
	// has to be in force 2 s after it was accepted, and these values allow several
	// attempts in that time.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// notificationGrace is how long after another daemon's notification the watch
	// may still report the change by itself.
	notificationGrace = 200 * time.Millisecond
	// minRestartInterval is the minimum time without progress before a notification
	// restarts a watch. It doubles with each restart, up to maxRestartInterval, until
	// a watch responds, because a large response takes long on a slow store or link.
	minRestartInterval = time.Second
	maxRestartInterval = 8 * time.Second
	// pageSize is the maximum number of entries of one read.
	pageSize = 500
)

// Handler receives the entries of the prefix and their changes.
type Handler interface {
	// Reset replaces the whole copy by entries.
	Reset(entries []persister.Entry)
	// Apply applies one change to the copy.
	Apply(change persister.Change)
}

// Config holds what a Replicator needs.
type Config struct {
	Store   persister.Store
	Prefix  string
	Handler Handler
	// BatchDelay returns how long to wait after a batch of changes before the watch
	// continues, so that further changes arrive as one batch. Nil means no delay.
	BatchDelay func() time.Duration
	// ReloadWhenBehind makes the Replicator read all keys again after a failure, or when another
	// daemon has seen changes that the watch does not report, instead of the changes since. It is
	// meant for a few large values of which only the newest matter.
	ReloadWhenBehind bool
	// HasRelay reports whether a watch may be answered by another daemon although the store refuses this
	// one. After a failure the watch then continues at its revision if the keys cannot be read again.
	// Nil means false.
	HasRelay func() bool
	Recorder *recorder.Recorder
}

// Replicator replicates one prefix.
type Replicator struct {
	config      Config
	after       contractor.Revision // the watch continues after this revision
	loaded      bool                // false if all keys have to be read before the watch continues
	stale       bool                // true if all keys should be read again, and the watch may continue without
	everLoaded  atomic.Bool         // all keys have been read at least once
	lastContact atomic.Int64        // time of the last response, in nanoseconds since created
	lastFailure atomic.Int64        // time of the last failed call, in the same unit, or 0
	created     time.Time
	// appliedRevision is the revision of the newest change that was applied.
	appliedRevision atomic.Int64
	// watchedRevision is the revision up to which all changes have been received.
	watchedRevision atomic.Int64
	// restartInterval is the time without progress before a notification restarts the watch.
	restartInterval time.Duration
	notified        chan struct{}
}

// New returns a Replicator. Run makes its calls.
func New(c Config) *Replicator {
	return &Replicator{config: c, created: time.Now(), notified: make(chan struct{}, 1), restartInterval: minRestartInterval}
}

// Loaded reports whether all keys have been read at least once.
func (r *Replicator) Loaded() bool { return r.everLoaded.Load() }

// Age returns the time since the last response of the store.
func (r *Replicator) Age(now time.Time) time.Duration {
	return now.Sub(r.created) - time.Duration(r.lastContact.Load())
}

// LastFailure returns when a call last failed, or the zero time if none has.
func (r *Replicator) LastFailure() time.Time {
	nanos := r.lastFailure.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return r.created.Add(time.Duration(nanos))
}

// AppliedRevision returns the revision of the newest change that was applied.
func (r *Replicator) AppliedRevision() contractor.Revision {
	return contractor.Revision(r.appliedRevision.Load())
}

// WatchedRevision returns the revision up to which all changes have been received.
func (r *Replicator) WatchedRevision() contractor.Revision {
	return contractor.Revision(r.watchedRevision.Load())
}

// NotifyRevision tells the Replicator that another daemon has seen a change of the
// prefix at a revision. If the watch does not report the change, it is restarted,
// because a store that compacts its history may leave a waiting watch without a
// response.
func (r *Replicator) NotifyRevision(revision contractor.Revision) {
	if int64(revision) <= r.watchedRevision.Load() || !r.Loaded() {
		return
	}
	select {
	case r.notified <- struct{}{}:
	default:
	}
}

// Run replicates the prefix until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	delay := initialBackoff
	unavailable := false
	for ctx.Err() == nil {
		err := r.loadAndWatch(ctx, func() {
			if unavailable {
				r.config.Recorder.Event(recorder.StoreRegained, "prefix", r.config.Prefix, "revision", r.after)
			}
			unavailable, delay = false, initialBackoff
		})
		if ctx.Err() != nil {
			return
		}
		restored := errors.Is(err, persister.ErrRestored)
		if restored {
			// The copy may lack entries of writers that are alive, as after an outage.
			r.lastFailure.Store(int64(time.Since(r.created)))
		}
		if restored || errors.Is(err, persister.ErrCompacted) {
			r.config.Recorder.Event(recorder.HistoryLost, "prefix", r.config.Prefix, "revision", r.after, "restored", restored)
			r.loaded = false
			continue
		}
		if r.config.ReloadWhenBehind {
			r.stale = true
			r.loaded = r.loaded && err != nil && r.config.HasRelay != nil && r.config.HasRelay()
		}
		if err == nil {
			continue
		}
		r.lastFailure.Store(int64(time.Since(r.created)))
		if !unavailable {
			r.config.Recorder.Event(recorder.StoreLost, "prefix", r.config.Prefix, "revision", r.after, "err", err)
		}
		unavailable = true
		_ = sleeper.Sleep(ctx, delay/2+rand.N(delay)) // the loop checks ctx
		delay = min(2*delay, maxBackoff)
	}
}

// loadAndWatch reads all keys if they are not loaded or stale, and then watches until an error.
func (r *Replicator) loadAndWatch(ctx context.Context, onResponse func()) error {
	if !r.loaded || r.stale {
		err := r.load(ctx)
		if err != nil && (!r.loaded || !errors.Is(err, persister.ErrUnavailable)) {
			return err
		}
		if err == nil {
			r.recordContact()
			onResponse()
		}
	}
	return r.watch(ctx, onResponse)
}

// watch watches until an error. It returns nil if the watch was cancelled to be
// restarted, because it has not reported a change that another daemon has seen.
func (r *Replicator) watch(ctx context.Context, onResponse func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restarted := make(chan bool)
	go func() { restarted <- r.restartIfBehind(ctx, cancel) }()
	err := r.runWatch(ctx, onResponse)
	cancel()
	if <-restarted {
		return nil
	}
	return err
}

// restartIfBehind waits for notifications. It cancels the watch and returns true if
// one arrives that the watch does not confirm and the watch has made no progress
// for restartInterval. It returns false if the watch ends first.
func (r *Replicator) restartIfBehind(ctx context.Context, cancel context.CancelFunc) bool {
	reported, lastProgress := r.watchedRevision.Load(), time.Now()
	for {
		select {
		case <-r.notified:
		case <-ctx.Done():
			return false
		}
		_ = sleeper.Sleep(ctx, notificationGrace) // the watch's own response may be in flight
		if current := r.watchedRevision.Load(); current != reported {
			reported, lastProgress, r.restartInterval = current, time.Now(), minRestartInterval
			continue
		}
		if time.Since(lastProgress) < r.restartInterval || ctx.Err() != nil {
			continue
		}
		r.restartInterval = min(2*r.restartInterval, maxRestartInterval)
		cancel()
		return true
	}
}

// runWatch watches from r.after on and passes the changes to the Handler.
func (r *Replicator) runWatch(ctx context.Context, onResponse func()) error {
	return r.config.Store.Watch(ctx, r.config.Prefix, r.after, func(b persister.Batch) error {
		for _, change := range b.Changes {
			r.config.Handler.Apply(change)
			r.appliedRevision.Store(max(r.appliedRevision.Load(), int64(change.Entry.Revision)))
		}
		r.after = max(r.after, b.Revision)
		r.watchedRevision.Store(int64(r.after))
		r.recordContact()
		onResponse()
		if len(b.Changes) > 0 && r.config.BatchDelay != nil {
			return sleeper.Sleep(ctx, r.config.BatchDelay())
		}
		return nil
	})
}

func (r *Replicator) recordContact() { r.lastContact.Store(int64(time.Since(r.created))) }

// load reads all pages. They are read at different revisions, so the watch has to
// start at the revision of the first one.
func (r *Replicator) load(ctx context.Context) error {
	var entries []persister.Entry
	firstRevision := contractor.Revision(0)
	after := ""
	for {
		page, err := r.readPage(ctx, after)
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
	r.config.Handler.Reset(entries)
	for _, e := range entries {
		r.appliedRevision.Store(max(r.appliedRevision.Load(), int64(e.Revision)))
	}
	r.after, r.loaded, r.stale = firstRevision, true, false
	r.watchedRevision.Store(int64(firstRevision))
	r.everLoaded.Store(true)
	return nil
}

func (r *Replicator) readPage(ctx context.Context, after string) (persister.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.config.Store.Range(ctx, r.config.Prefix, after, pageSize)
}
