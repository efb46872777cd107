package combiner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

const (
	// maxFeedBytes limits the changes that a feed retains, to fit the memory of a small VM.
	maxFeedBytes = 1 << 20
	// feedIdleTimeout is the time without a poll after which a feed ends.
	feedIdleTimeout = 5 * time.Second
	// feedStaleAfter is the time without a response of the store after which polls fail. The
	// store responds to a watch within 1.5 s, also if there are no changes.
	feedStaleAfter = 2200 * time.Millisecond
)

// ErrRevisionTooOld means that a feed no longer retains, or never had, the changes after a
// revision.
var ErrRevisionTooOld = errors.New("combine: the changes since that revision are not known here")

// feed retains the latest changes of a prefix. Its fields are guarded by the Combiner's lock.
type feed struct {
	// The feed retains all changes after revision start up to revision end.
	start, end contractor.Revision
	changes    []persister.Change
	bytes      int
	// lastContact is the time of the last response of the store, lastPoll that of the last poll.
	lastContact, lastPoll time.Time
	// updated is closed and replaced at each response of the store.
	updated chan struct{}
	err     error // why the feed has ended
}

// Poll returns the changes under a prefix after a revision as soon as there are any, or an empty
// batch after wait. The error is ErrRevisionTooOld, persister.ErrUnavailable if the store has not
// responded for feedStaleAfter, or the error that ended the watch of the store.
func (c *Combiner) Poll(ctx context.Context, prefix string, after contractor.Revision, wait time.Duration) (persister.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	f := c.feed(prefix, after)
	c.mu.Unlock()
	for expired := false; ; {
		c.mu.Lock()
		batch, err := f.since(after, c.config.Now())
		updated := f.updated
		c.mu.Unlock()
		if err != nil || len(batch.Changes) > 0 || expired {
			return batch, err
		}
		select {
		case <-updated:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return persister.Batch{}, ctx.Err()
		}
	}
}

// feed returns the feed of a prefix, and starts one after a revision if there is none. The lock is
// held.
func (c *Combiner) feed(prefix string, after contractor.Revision) *feed {
	now := c.config.Now()
	f := c.feeds[prefix]
	if f == nil {
		f = &feed{start: after, end: after, lastContact: now, updated: make(chan struct{})}
		c.feeds[prefix] = f
		go c.runFeed(prefix, f)
	}
	f.lastPoll = now
	return f
}

// runFeed watches a prefix until an error, or until the feed has been idle for feedIdleTimeout.
func (c *Combiner) runFeed(prefix string, f *feed) {
	err := c.config.Store.Watch(c.ctx, prefix, f.end, func(b persister.Batch) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		now := c.config.Now()
		f.add(b, now)
		if now.Sub(f.lastPoll) > feedIdleTimeout {
			return fmt.Errorf("%w: nobody asked", persister.ErrUnavailable)
		}
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.feeds, prefix)
	f.err = err
	close(f.updated)
}

// add appends a batch of the store and discards the oldest changes beyond maxFeedBytes.
func (f *feed) add(b persister.Batch, now time.Time) {
	f.lastContact, f.end = now, max(f.end, b.Revision)
	f.changes = append(f.changes, b.Changes...)
	for _, change := range b.Changes {
		f.bytes += len(change.Entry.Value) + len(change.Entry.Key)
	}
	for f.bytes > maxFeedBytes {
		first := f.changes[0].Entry
		f.start, f.bytes = first.Revision, f.bytes-len(first.Value)-len(first.Key)
		f.changes = f.changes[1:]
	}
	close(f.updated)
	f.updated = make(chan struct{})
}

// since returns the changes after a revision. The batch is empty if the revision is not reached yet.
func (f *feed) since(after contractor.Revision, now time.Time) (persister.Batch, error) {
	switch {
	case f.err != nil:
		return persister.Batch{}, f.err
	case now.Sub(f.lastContact) > feedStaleAfter:
		return persister.Batch{}, fmt.Errorf("combine: %w: the watch has had no answer for %v", persister.ErrUnavailable, now.Sub(f.lastContact))
	case after < f.start:
		return persister.Batch{}, ErrRevisionTooOld
	}
	batch := persister.Batch{Revision: max(f.end, after)}
	for _, change := range f.changes {
		if change.Entry.Revision > after {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, nil
}
