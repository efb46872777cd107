package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// orphanSearchTime is how long the store is checked for a claim that a lost write
// may have left there.
const orphanSearchTime = time.Minute

// Complete stores the response of an executed call. On ErrPending the daemon keeps
// the response and retries; the response may be sent to the caller already.
func (d *Deduplicator) Complete(ctx context.Context, c *Claim, response *conductor.Response) error {
	return d.endCall(ctx, c, c.record.withEnd(Answered, newStoredResponse(response, d.config.MaxResponseBody), time.Now()))
}

// MarkUnknown stores that it is not known whether a call was executed.
func (d *Deduplicator) MarkUnknown(ctx context.Context, c *Claim) error {
	d.config.Recorder.Event(recorder.ClaimOutcomeUnknown, "account", c.key.account, "key", c.key.requestKey.String())
	return d.endCall(ctx, c, c.record.withEnd(Unknown, nil, time.Now()))
}

// Release frees the key of a call that was certainly not executed.
func (d *Deduplicator) Release(ctx context.Context, c *Claim) error {
	local, open := d.endLocal(c, phaseOrphaned, c.record)
	if !open {
		return fmt.Errorf("release claim %s: %w", c.key.storeKey(), ErrNotFound)
	}
	if err := d.remove(ctx, c.key, c.revision); err != nil {
		return fmt.Errorf("%w: %w", ErrPending, err)
	}
	if !local.hadOrphan {
		d.forget(c.key, local)
	}
	return nil
}

func (d *Deduplicator) endCall(ctx context.Context, c *Claim, ended record) error {
	local, open := d.endLocal(c, phaseEnded, ended)
	if !open {
		return fmt.Errorf("end claim %s: %w", c.key.storeKey(), ErrNotFound)
	}
	return d.storeEnd(ctx, c, local, ended)
}

// storeEnd writes the end of a call to the store, unless it is superseded.
func (d *Deduplicator) storeEnd(ctx context.Context, c *Claim, local *localClaim, ended record) error {
	raw, err := ended.encode()
	if err != nil {
		return err
	}
	leases := d.responseLeases
	if ended.State == Unknown {
		leases = d.claimLeases
	}
	expected := c.revision
	for range maxClaimAttempts {
		_, err = d.put(ctx, leases, persister.Compare{Key: c.key.storeKey(), Revision: expected}, raw)
		if !errors.Is(err, persister.ErrConflict) {
			break
		}
		var found record
		var entry persister.Entry
		found, entry, err = d.load(ctx, c.key)
		if err != nil {
			break
		}
		done, supersededErr := d.checkSuperseded(c, ended, found, entry.Revision)
		if done {
			d.forget(c.key, local)
			return supersededErr
		}
		expected = entry.Revision
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPending, err)
	}
	d.forget(c.key, local)
	return nil
}

// checkSuperseded returns true if the end of a call must not or need not replace
// what the store has now. The error is ErrSuperseded if the stored claim is
// someone else's decision.
func (d *Deduplicator) checkSuperseded(c *Claim, ended, found record, revision contractor.Revision) (bool, error) {
	sameClaim := revision != 0 && found.ClaimID == c.record.ClaimID && found.Operator == ""
	switch {
	case sameClaim && found.OperationID == ended.OperationID:
		return true, nil
	case sameClaim && ended.State == Answered:
		// Even if another daemon stored the state Unknown: the response is known.
		return false, nil
	case sameClaim:
		return found.State == Unknown, nil
	case revision == 0 && ended.State == Answered:
		// The key was freed, but the call was executed.
		return false, nil
	}
	d.config.Recorder.Event(recorder.ClaimSuperseded, "account", c.key.account, "key", c.key.requestKey.String(), "operator", found.Operator)
	return true, fmt.Errorf("claim %s: %w", c.key.storeKey(), ErrSuperseded)
}

func (d *Deduplicator) remove(ctx context.Context, k claimKey, expected contractor.Revision) error {
	_, err := d.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: k.storeKey(), Revision: expected}},
		Deletes:  []string{k.storeKey()},
	})
	return err
}

// Run stores the outcomes that could not be stored at once, until ctx ends.
func (d *Deduplicator) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.config.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = d.Flush(ctx)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Flush tries once to store each outcome that is not stored yet, and to remove
// orphaned claims. It stops if the store is unavailable or throttled, and returns
// the last error.
func (d *Deduplicator) Flush(ctx context.Context) error {
	var last error
	for _, pending := range d.pendingEnds() {
		err := d.flush(ctx, pending)
		if err == nil || errors.Is(err, ErrSuperseded) {
			continue
		}
		d.config.Recorder.CountRetry("claim_end")
		last = err
		if errors.Is(err, persister.ErrUnavailable) || errors.Is(err, persister.ErrThrottled) {
			break
		}
	}
	return last
}

func (d *Deduplicator) flush(ctx context.Context, pending pendingEnd) error {
	if pending.phase == phaseEnded {
		return d.storeEnd(ctx, pending.local.claim, pending.local, pending.local.record)
	}
	return d.removeOrphan(ctx, pending.key, pending.local)
}

// removeOrphan removes the claim that a call may have left in the store although
// it was not executed.
func (d *Deduplicator) removeOrphan(ctx context.Context, k claimKey, local *localClaim) error {
	started := time.Now()
	found, entry, err := d.load(ctx, k)
	if err != nil {
		return err
	}
	if !d.inPhase(k, local, phaseOrphaned) {
		return nil
	}
	if entry.Revision != 0 && found.State == Running && d.ownedHere(&found) {
		err := d.remove(ctx, k, entry.Revision)
		if err != nil && !errors.Is(err, persister.ErrConflict) {
			return err
		}
		return nil
	}
	if started.Sub(local.orphanedSince) >= orphanSearchTime {
		d.forget(k, local)
	}
	return nil
}
