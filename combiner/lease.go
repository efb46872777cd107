package combiner

import (
	"context"
	"time"

	"laburnumline/persister"
)

// maxLeaseAge is the age up to which a lease is shared. The shortest leases last for 3 s and are
// renewed every second.
const maxLeaseAge = 300 * time.Millisecond

// lease is the latest lease of one length.
type lease struct {
	id          persister.LeaseID
	requestedAt time.Time // before the call
}

// GrantLease returns a lease that was requested at most maxLeaseAge ago, and that other callers may
// share.
func (c *Combiner) GrantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	c.mu.Lock()
	l := c.leases[ttl]
	c.mu.Unlock()
	if l.id != 0 && c.config.Now().Sub(l.requestedAt) < maxLeaseAge {
		return l.id, nil
	}
	// Several callers share the call, so it does not use the context of one of them.
	result := c.leaseCalls.DoChan(ttl.String(), func() (any, error) { return c.grant(ttl) })
	select {
	case r := <-result:
		if r.Err != nil {
			return 0, r.Err
		}
		return r.Val.(persister.LeaseID), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// grant requests a lease from the store and stores it for other callers.
func (c *Combiner) grant(ttl time.Duration) (persister.LeaseID, error) {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	l := lease{requestedAt: c.config.Now()}
	var err error
	if l.id, err = c.config.Store.GrantLease(ctx, ttl); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases[ttl] = l
	return l.id, nil
}
