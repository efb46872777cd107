package persister

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// leaseSharePeriod is how long a lease is used for new keys.
const leaseSharePeriod = time.Hour

// grantTimeout limits one request for a lease.
const grantTimeout = 5 * time.Second

// LeaseCache provides leases for keys that are deleted after a retention period.
// The leases are not renewed, so the service deletes the keys without a further
// call. All keys that are written within an hour share one lease.
type LeaseCache struct {
	store     Store
	retention time.Duration
	// grants merges concurrent requests for a new lease.
	grants singleflight.Group

	mu        sync.Mutex
	current   LeaseID
	grantedAt time.Time
}

// NewLeaseCache returns a LeaseCache for keys that last for retention, or up to an
// hour longer.
func NewLeaseCache(store Store, retention time.Duration) *LeaseCache {
	return &LeaseCache{store: store, retention: retention}
}

// Lease returns the lease for a key that is written now. Concurrent callers that
// need a new lease share one request to the service. An error means that nothing
// was written. An unknown outcome of the grant is therefore ErrUnavailable: a lease
// whose grant was lost has no keys and expires by itself.
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

// Invalidate removes a lease that the service no longer knows.
func (c *LeaseCache) Invalidate(id LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == id {
		c.current = 0
	}
}
