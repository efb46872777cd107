package orderer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/persister"
)

const (
	fencePrefix  = "fence/"
	holderPrefix = "order/"
	// fenceAttempts limits the attempts to increment a fencing number when other
	// daemons increment it at the same time.
	fenceAttempts = 8
)

// fenceValue is the value of fence/UPSTREAM.
type fenceValue struct {
	Number Fence  `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// engineLease is the lease under which this daemon is the holder of an engine that
// ignores fencing numbers.
type engineLease struct {
	mu sync.Mutex
	id persister.LeaseID
	// validUntil is the earliest time on this daemon's clock at which the lease may
	// have expired.
	validUntil time.Time
}

func (l *engineLease) valid(now time.Time) bool { return l.id != 0 && now.Before(l.validUntil) }

// nextFence increments the fencing number in the store and returns it. It skips a
// number when the response to a commit is lost.
func (o *Orderer) nextFence(ctx context.Context, upstream string) (Fence, error) {
	key := fencePrefix + upstream
	for range fenceAttempts {
		value, entry, err := o.readFence(ctx, key)
		if err != nil {
			return 0, err
		}
		value.Number++
		value.Holder = o.config.Holder
		raw, err := cbor.Marshal(value)
		if err != nil {
			return 0, fmt.Errorf("encode %s: %w", key, err)
		}
		_, err = o.config.Store.Commit(ctx, persister.Txn{
			Compares: []persister.Compare{{Key: key, Revision: entry.Revision}},
			Puts:     []persister.Put{{Key: key, Value: raw}},
		})
		if err == nil {
			return value.Number, nil
		}
		if !errors.Is(err, persister.ErrConflict) && !errors.Is(err, persister.ErrUnknown) {
			return 0, fmt.Errorf("increment fencing number %s: %w", key, err)
		}
	}
	return 0, fmt.Errorf("increment fencing number %s: %w", key, persister.ErrConflict)
}

func (o *Orderer) readFence(ctx context.Context, key string) (fenceValue, persister.Entry, error) {
	var value fenceValue
	entry, err := o.config.Store.Get(ctx, key)
	if err != nil {
		return value, entry, fmt.Errorf("read %s: %w", key, err)
	}
	if entry.Revision == 0 {
		return value, entry, nil
	}
	if err := cbor.Unmarshal(entry.Value, &value); err != nil {
		return value, entry, fmt.Errorf("decode %s: %w", key, err)
	}
	return value, entry, nil
}

// acquireLease makes this daemon the holder, or renews its lease. A daemon that
// replaces another holder waits until no order of that holder can be running.
func (o *Orderer) acquireLease(ctx context.Context, upstream string, l *engineLease) error {
	if l.id != 0 && o.renewLease(ctx, l) {
		return nil
	}
	l.id = 0
	former, _, err := o.readFence(ctx, fencePrefix+upstream)
	if err != nil {
		return err
	}
	requestedAt := time.Now()
	id, err := o.config.Store.GrantLease(ctx, o.config.LeaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease for orders: %w", err)
	}
	if err := o.createHolderKey(ctx, upstream, id); err != nil {
		return err
	}
	l.id, l.validUntil = id, o.leaseEnd(requestedAt)
	if former.Number > 0 && former.Holder != o.config.Holder {
		return o.waitForFormerHolder(ctx, l)
	}
	return nil
}

// leaseEnd returns the earliest time on this daemon's clock at which a lease may
// expire. It allows for the maximum clock drift.
func (o *Orderer) leaseEnd(requestedAt time.Time) time.Time {
	return requestedAt.Add(time.Duration(float64(o.config.LeaseTTL) * (1 - o.config.MaxClockDrift)))
}

func (o *Orderer) renewLease(ctx context.Context, l *engineLease) bool {
	requestedAt := time.Now()
	if !l.valid(requestedAt) {
		return false
	}
	remaining, err := o.config.Store.KeepAlive(ctx, l.id)
	if err != nil || remaining <= 0 {
		return false
	}
	l.validUntil = o.leaseEnd(requestedAt)
	return true
}

// createHolderKey creates the key of the holder, which the store deletes when the
// lease expires.
func (o *Orderer) createHolderKey(ctx context.Context, upstream string, lease persister.LeaseID) error {
	key := holderPrefix + upstream
	_, err := o.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: key}},
		Puts:     []persister.Put{{Key: key, Value: []byte(o.config.Holder), Lease: lease}},
	})
	if errors.Is(err, persister.ErrConflict) {
		return ErrLeaseHeld
	}
	if err != nil {
		return fmt.Errorf("create holder key %s: %w", key, err)
	}
	return nil
}

// waitForFormerHolder waits until no order of the former holder can be running,
// and renews the lease meanwhile.
func (o *Orderer) waitForFormerHolder(ctx context.Context, l *engineLease) error {
	wait := float64(o.config.LeaseTTL+o.config.OrderTimeout) * (1 + o.config.MaxClockDrift)
	end := time.Now().Add(time.Duration(wait))
	ticker := time.NewTicker(o.config.LeaseTTL / 3)
	defer ticker.Stop()
	for time.Now().Before(end) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !o.renewLease(ctx, l) {
			l.id = 0
			return ErrLeaseExpired
		}
	}
	return nil
}
