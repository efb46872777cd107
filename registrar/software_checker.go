package registrar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errUncertainHistory is the error of a stored software history that may lack versions.
var errUncertainHistory = errors.New("the stored software history may lack versions")

// SoftwareChecker brings the software history of a daemon up to date with the stored one. New streams begin at stored
// versions, so a daemon that has read the history after a request arrived knows each version that may have begun the
// stream which it resumes. The list of upstreams alone does not show that: it may be seconds old at a
// daemon that was partitioned or suspended, or whose relay was.
//
// It is safe for concurrent use. Requests share reads.
type SoftwareChecker struct {
	// Store is used for reading only.
	Store *SoftwareStore

	mu sync.Mutex
	// checkedAt is when the last successful read began.
	checkedAt time.Time
	current   *historyRead
}

// historyRead is a read of the stored history in flight.
type historyRead struct {
	begunAt time.Time
	done    chan struct{} // closed at its end
	err     error
}

// Check returns nil once the history has all versions that were stored before a time.
func (c *SoftwareChecker) Check(ctx context.Context, before time.Time) error {
	for {
		read := c.join(before)
		if read == nil {
			return nil
		}
		select {
		case <-read.done:
		case <-ctx.Done():
			return fmt.Errorf("check software history: %w", context.Cause(ctx))
		}
		if read.err != nil && !read.begunAt.Before(before) {
			return read.err
		}
	}
}

// join returns the read in flight, or a new one. It returns nil if a read that began after a time has succeeded.
func (c *SoftwareChecker) join(before time.Time) *historyRead {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.checkedAt.Before(before) {
		return nil
	}
	if c.current == nil {
		c.current = &historyRead{begunAt: time.Now(), done: make(chan struct{})}
		go c.read(c.current)
	}
	return c.current
}

// read reads the stored history and adds its versions to that of the registrar.
func (c *SoftwareChecker) read(r *historyRead) {
	stored, err := c.Store.read(context.Background()) // limited by the timeout of the store
	if err == nil && (stored.revision == 0 || !stored.certain) {
		err = errUncertainHistory
	}
	if err == nil {
		c.Store.Registrar.adoptSoftware(stored.history)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.checkedAt = r.begunAt
	}
	c.current, r.err = nil, err
	close(r.done)
}
