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
	// fenceAttempts is the number of times that a lost race is run again.
	fenceAttempts = 8
)

// fenceValue is the value of fence/UPSTREAM.
type fenceValue struct {
	Number Fence  `cbor:"1,keyasint"`
	Holder string `cbor:"2,keyasint"`
}

// hold is the right to give orders to an engine that ignores fencing numbers.
type hold struct {
	mu    sync.Mutex
	lease persister.LeaseID
	// until is when the daemon is no longer sure of its lease, on its own clock.
	until time.Time
}

func (h *hold) sure(now time.Time) bool { return h.lease != 0 && now.Before(h.until) }

// raise takes the next fencing number. An answer that is lost costs a number.
func (o *Orderer) raise(ctx context.Context, upstream string) (Fence, error) {
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
			return 0, fmt.Errorf("raise %s: %w", key, err)
		}
	}
	return 0, fmt.Errorf("raise %s: %w", key, persister.ErrConflict)
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

// acquire makes this daemon the holder, or renews its lease.
func (o *Orderer) acquire(ctx context.Context, upstream string, h *hold) error {
	if h.lease != 0 && o.renew(ctx, h) {
		return nil
	}
	h.lease = 0
	former, _, err := o.readFence(ctx, fencePrefix+upstream)
	if err != nil {
		return err
	}
	begin := time.Now()
	lease, err := o.config.Store.GrantLease(ctx, o.config.LeaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease for orders: %w", err)
	}
	if err := o.claim(ctx, upstream, lease); err != nil {
		return err
	}
	h.lease, h.until = lease, o.sureUntil(begin)
	if former.Number > 0 && former.Holder != o.config.Holder {
		return o.waitOut(ctx, h)
	}
	return nil
}

// sureUntil is the end of a lease on this daemon's clock, if it is the fastest allowed.
func (o *Orderer) sureUntil(begin time.Time) time.Time {
	return begin.Add(time.Duration(float64(o.config.LeaseTTL) * (1 - o.config.MaxClockDrift)))
}

func (o *Orderer) renew(ctx context.Context, h *hold) bool {
	begin := time.Now()
	if !h.sure(begin) {
		return false
	}
	left, err := o.config.Store.KeepAlive(ctx, h.lease)
	if err != nil || left <= 0 {
		return false
	}
	h.until = o.sureUntil(begin)
	return true
}

// claim creates the key of the holder. The key goes with its lease.
func (o *Orderer) claim(ctx context.Context, upstream string, lease persister.LeaseID) error {
	key := holderPrefix + upstream
	_, err := o.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: key}},
		Puts:     []persister.Put{{Key: key, Value: []byte(o.config.Holder), Lease: lease}},
	})
	if errors.Is(err, persister.ErrConflict) {
		return ErrLeaseHeld
	}
	if err != nil {
		return fmt.Errorf("claim %s: %w", key, err)
	}
	return nil
}

// waitOut renews the lease until an order of the former holder must have ended.
func (o *Orderer) waitOut(ctx context.Context, h *hold) error {
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
		if !o.renew(ctx, h) {
			h.lease = 0
			return ErrLeaseExpired
		}
	}
	return nil
}
