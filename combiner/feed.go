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
	// feedBytes bounds the changes that a feed remembers, so that it is little beside the
	// memory of a small VM.
	feedBytes = 1 << 20
	// feedIdle is after how long without a question a feed ends.
	feedIdle = 5 * time.Second
	// feedStale is after how long without an answer of the store a feed tells nothing. A
	// watch of the store is answered after 1.5 s at the latest.
	feedStale = 2200 * time.Millisecond
)

// ErrRevisionTooOld means that the changes after a revision are not remembered here.
var ErrRevisionTooOld = errors.New("combine: the changes since that revision are not known here")

// feed holds the latest changes of a prefix. Its fields are guarded by the combiner's lock.
type feed struct {
	// from is the revision after which all changes are remembered, at the one up to which.
	from, at contractor.Revision
	changes  []persister.Change
	bytes    int
	// contact is when the store last answered, asked when somebody last asked.
	contact, asked time.Time
	// news is closed and replaced at each answer of the store.
	news chan struct{}
	err  error // why the feed has ended
}

// Poll returns the changes under a prefix after a revision, as soon as there are any or
// after wait. The error is ErrBehind, ErrUnavailable when the store has not answered for a
// while, or why the watch of the store has ended.
func (c *Combiner) Poll(ctx context.Context, prefix string, after contractor.Revision, wait time.Duration) (persister.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	f := c.feed(prefix, after)
	c.mu.Unlock()
	for expired := false; ; {
		c.mu.Lock()
		batch, err := f.since(after, c.config.Now())
		news := f.news
		c.mu.Unlock()
		if err != nil || len(batch.Changes) > 0 || expired {
			return batch, err
		}
		select {
		case <-news:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return persister.Batch{}, ctx.Err()
		}
	}
}

// feed returns the feed of a prefix, which begins now if there is none. The lock is held.
func (c *Combiner) feed(prefix string, after contractor.Revision) *feed {
	now := c.config.Now()
	f := c.feeds[prefix]
	if f == nil {
		f = &feed{from: after, at: after, contact: now, news: make(chan struct{})}
		c.feeds[prefix] = f
		go c.follow(prefix, f)
	}
	f.asked = now
	return f
}

// follow watches a prefix until an error, or until nobody asks any more.
func (c *Combiner) follow(prefix string, f *feed) {
	err := c.config.Store.Watch(c.ctx, prefix, f.at, func(b persister.Batch) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		now := c.config.Now()
		f.add(b, now)
		if now.Sub(f.asked) > feedIdle {
			return fmt.Errorf("%w: nobody asked", persister.ErrUnavailable)
		}
		return nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.feeds, prefix)
	f.err = err
	close(f.news)
}

// add notes an answer of the store.
func (f *feed) add(b persister.Batch, now time.Time) {
	f.contact, f.at = now, max(f.at, b.Revision)
	f.changes = append(f.changes, b.Changes...)
	for _, change := range b.Changes {
		f.bytes += len(change.Entry.Value) + len(change.Entry.Key)
	}
	for f.bytes > feedBytes {
		first := f.changes[0].Entry
		f.from, f.bytes = first.Revision, f.bytes-len(first.Value)-len(first.Key)
		f.changes = f.changes[1:]
	}
	close(f.news)
	f.news = make(chan struct{})
}

// since returns the changes after a revision, none when it is not reached yet.
func (f *feed) since(after contractor.Revision, now time.Time) (persister.Batch, error) {
	switch {
	case f.err != nil:
		return persister.Batch{}, f.err
	case now.Sub(f.contact) > feedStale:
		return persister.Batch{}, fmt.Errorf("combine: %w: the watch has had no answer for %v", persister.ErrUnavailable, now.Sub(f.contact))
	case after < f.from:
		return persister.Batch{}, ErrRevisionTooOld
	}
	batch := persister.Batch{Revision: max(f.at, after)}
	for _, change := range f.changes {
		if change.Entry.Revision > after {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, nil
}
