package persister

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// leaseSharePeriod is how long new keys are attached to the same lease.
const leaseSharePeriod = time.Hour

// grantTimeout limits how long the store is asked for a lease.
const grantTimeout = 5 * time.Second

// LeaseCache gives leases for keys that have to last for a time and then go.
// Nobody renews the leases, so the service removes the keys without a call. One
// lease serves all keys that are written within the same hour.
type LeaseCache struct {
	store     Store
	retention time.Duration
	// grants joins the callers who need a new lease.
	grants singleflight.Group

	mu        sync.Mutex
	current   LeaseID
	grantedAt time.Time
}

// NewLeaseCache returns a Leaseholder for keys that last for keep, or up to an
// hour longer.
func NewLeaseCache(store Store, retention time.Duration) *LeaseCache {
	return &LeaseCache{store: store, retention: retention}
}

// Lease returns the lease for a key that is written now. Of several callers who
// need a new lease, one asks the service for all. An error says that nothing
// was written: a lease whose grant was lost has no keys and ends by itself.
func (c *LeaseCache) Lease(ctx context.Context) (LeaseID, error) {
	if id := c.cached(); id != 0 {
		return id, nil
	}
	granted := c.grants.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
		defer cancel()
		return c.grant(ctx)
	})
	select {
	case result := <-granted:
		id, _ := result.Val.(LeaseID)
		return id, result.Err
	case <-ctx.Done():
		return 0, fmt.Errorf("grant lease: %w: %w", ErrUnavailable, context.Cause(ctx))
	}
}

func (c *LeaseCache) cached() LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.grantedAt) >= leaseSharePeriod {
		return 0
	}
	return c.current
}

func (c *LeaseCache) grant(ctx context.Context) (LeaseID, error) {
	if id := c.cached(); id != 0 {
		return id, nil
	}
	grantedAt := time.Now()
	id, err := c.store.GrantLease(ctx, c.retention+leaseSharePeriod)
	if errors.Is(err, ErrUnknown) {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = id
	c.grantedAt = grantedAt
	return id, nil
}

// Invalidate forgets a lease that the service does not know any more.
func (c *LeaseCache) Invalidate(id LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == id {
		c.current = 0
	}
}
