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

// orphanSearch is how long a lost write of a claim is looked for in the store.
const orphanSearch = time.Minute

// Complete stores the answer of a call that has run. On ErrPending the daemon
// keeps the answer and goes on trying; the caller may have the answer already.
func (d *Deduplicator) Complete(ctx context.Context, c *Claim, answer *conductor.Answer) error {
	return d.end(ctx, c, c.record.ended(Answered, stored(answer, d.config.MaxAnswer), time.Now()))
}

// Unknown notes that nobody can tell whether a call has run.
func (d *Deduplicator) Unknown(ctx context.Context, c *Claim) error {
	d.config.Recorder.Event(recorder.ClaimOutcomeUnknown, "account", c.name.account, "key", c.name.key.String())
	return d.end(ctx, c, c.record.ended(Unknown, nil, time.Now()))
}

// Abandon frees the key of a call that certainly did not run.
func (d *Deduplicator) Abandon(ctx context.Context, c *Claim) error {
	o, open := d.finish(c, phaseOrphaned, c.record)
	if !open {
		return fmt.Errorf("abandon claim %s: %w", c.name.path(), ErrNotFound)
	}
	if err := d.remove(ctx, c.name, c.revision); err != nil {
		return fmt.Errorf("%w: %w", ErrPending, err)
	}
	if !o.residue {
		d.close(c.name, o)
	}
	return nil
}

func (d *Deduplicator) end(ctx context.Context, c *Claim, after record) error {
	o, open := d.finish(c, phaseEnded, after)
	if !open {
		return fmt.Errorf("end claim %s: %w", c.name.path(), ErrNotFound)
	}
	return d.storeEnd(ctx, c, o, after)
}

// storeEnd writes the end of a call over whatever the store holds for it.
func (d *Deduplicator) storeEnd(ctx context.Context, c *Claim, o *open, after record) error {
	raw, err := after.encode()
	if err != nil {
		return err
	}
	holder := d.answers
	if after.State == Unknown {
		holder = d.claims
	}
	at := c.revision
	for range claimTries {
		_, err = d.put(ctx, holder, persister.Compare{Key: c.name.path(), Revision: at}, raw)
		if !errors.Is(err, persister.ErrConflict) {
			break
		}
		var found record
		var entry persister.Entry
		found, entry, err = d.load(ctx, c.name)
		if err != nil {
			break
		}
		done, serr := d.superseded(c, after, found, entry.Revision)
		if done {
			d.close(c.name, o)
			return serr
		}
		at = entry.Revision
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPending, err)
	}
	d.close(c.name, o)
	return nil
}

// superseded decides whether the end of a call still has to be written over
// what the store holds now.
func (d *Deduplicator) superseded(c *Claim, after, found record, at contractor.Revision) (bool, error) {
	same := at != 0 && found.Claimed == c.record.Claimed && found.Operator == ""
	switch {
	case same && found.Operation == after.Operation:
		return true, nil
	case same && after.State == Answered:
		// Also when others took the daemon for gone: it has the answer.
		return false, nil
	case same:
		return found.State == Unknown, nil
	case at == 0 && after.State == Answered:
		// The key was freed, but the call has run.
		return false, nil
	}
	d.config.Recorder.Event(recorder.ClaimSuperseded, "account", c.name.account, "key", c.name.key.String(), "operator", found.Operator)
	return true, fmt.Errorf("claim %s: %w", c.name.path(), ErrSuperseded)
}

func (d *Deduplicator) remove(ctx context.Context, n name, at contractor.Revision) error {
	_, err := d.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: n.path(), Revision: at}},
		Deletes:  []string{n.path()},
	})
	return err
}

// Run stores the ends of calls that could not be stored at once, until ctx ends.
func (d *Deduplicator) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.config.FlushEvery)
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

// Flush tries once to store every end of a call that is not stored yet. It
// stops when the store is away, and returns the last error.
func (d *Deduplicator) Flush(ctx context.Context) error {
	var last error
	for _, u := range d.unstored() {
		err := d.flush(ctx, u)
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

func (d *Deduplicator) flush(ctx context.Context, u unstored) error {
	if u.phase == phaseEnded {
		return d.storeEnd(ctx, u.open.claim, u.open, u.open.record)
	}
	return d.removeOrphan(ctx, u.name, u.open)
}

// removeOrphan removes what a call that did not run may have left in the store.
func (d *Deduplicator) removeOrphan(ctx context.Context, n name, o *open) error {
	started := time.Now()
	found, entry, err := d.load(ctx, n)
	if err != nil {
		return err
	}
	if !d.still(n, o, phaseOrphaned) {
		return nil
	}
	if entry.Revision != 0 && found.State == Running && d.owns(&found) {
		err := d.remove(ctx, n, entry.Revision)
		if err != nil && !errors.Is(err, persister.ErrConflict) {
			return err
		}
		return nil
	}
	if started.Sub(o.orphanedSince) >= orphanSearch {
		d.close(n, o)
	}
	return nil
}
