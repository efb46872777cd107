package persister

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// leaseBucket is how long new keys are attached to the same lease.
const leaseBucket = time.Hour

// grantTimeout limits how long the store is asked for a lease.
const grantTimeout = 5 * time.Second

// LeaseCache gives leases for keys that have to last for a time and then go.
// Nobody renews the leases, so the service removes the keys without a call. One
// lease serves all keys that are written within the same hour.
type LeaseCache struct {
	store Store
	keep  time.Duration
	// asking joins the callers who need a new lease.
	asking singleflight.Group

	mu      sync.Mutex
	current LeaseID
	since   time.Time
}

// NewLeaseCache returns a Leaseholder for keys that last for keep, or up to an
// hour longer.
func NewLeaseCache(store Store, keep time.Duration) *LeaseCache {
	return &LeaseCache{store: store, keep: keep}
}

// Lease returns the lease for a key that is written now. Of several callers who
// need a new lease, one asks the service for all. An error says that nothing
// was written: a lease whose grant was lost has no keys and ends by itself.
func (h *LeaseCache) Lease(ctx context.Context) (LeaseID, error) {
	if id := h.fresh(); id != 0 {
		return id, nil
	}
	granted := h.asking.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
		defer cancel()
		return h.grant(ctx)
	})
	select {
	case result := <-granted:
		id, _ := result.Val.(LeaseID)
		return id, result.Err
	case <-ctx.Done():
		return 0, fmt.Errorf("grant lease: %w: %w", ErrUnavailable, context.Cause(ctx))
	}
}

func (h *LeaseCache) fresh() LeaseID {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.since) >= leaseBucket {
		return 0
	}
	return h.current
}

func (h *LeaseCache) grant(ctx context.Context) (LeaseID, error) {
	if id := h.fresh(); id != 0 {
		return id, nil
	}
	since := time.Now()
	id, err := h.store.GrantLease(ctx, h.keep+leaseBucket)
	if errors.Is(err, ErrUnknown) {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = id
	h.since = since
	return id, nil
}

// Invalidate forgets a lease that the service does not know any more.
func (h *LeaseCache) Invalidate(id LeaseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == id {
		h.current = 0
	}
}
