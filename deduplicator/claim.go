package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/refuser"
)

const (
	claimStep = "claim"
	// claimTries bounds the races with others who claim or free the same key.
	claimTries = 4
)

// Claim asks for the right to run a call. The result has a Claim when the
// call may run now, or the stored answer when it has run before. Otherwise the
// error is a *refuser.Refusal that says whether the call may have run.
func (d *Deduplicator) Claim(ctx context.Context, account contractor.Account, key contractor.RequestKey, fingerprint Fingerprint) (Result, error) {
	n := name{account, key}
	fresh := record{
		State:       Running,
		Operation:   uuid.New(),
		Claimed:     uuid.New(),
		Fingerprint: fingerprint,
		VM:          d.config.VM,
		Incarnation: d.config.Incarnation,
		StartedMS:   time.Now().UnixMilli(),
	}
	o, held := d.enter(n, fresh)
	if held != nil {
		return d.answerFrom(held, fingerprint)
	}
	result, err := d.decide(ctx, n, fresh)
	if result.Claim == nil {
		// Only a write with a lost answer can have left something behind.
		d.leave(n, o, errors.Is(err, persister.ErrUnknown))
	}
	return result, err
}

// decide tries to write a claim, and looks at what is in its way.
func (d *Deduplicator) decide(ctx context.Context, n name, fresh record) (Result, error) {
	at := contractor.Revision(0)
	for range claimTries {
		result, err := d.create(ctx, n, fresh, at)
		if !errors.Is(err, persister.ErrConflict) {
			return result, err
		}
		found, entry, err := d.load(ctx, n)
		if err != nil {
			return Result{}, d.unavailable(err)
		}
		at = entry.Revision
		if at == 0 {
			continue
		}
		if result, settled, err := d.judge(ctx, n, found, at, fresh.Fingerprint); settled {
			return result, err
		}
	}
	return Result{}, d.inProgress("")
}

// create writes a claim over the revision at, which is zero for a free key.
func (d *Deduplicator) create(ctx context.Context, n name, fresh record, at contractor.Revision) (Result, error) {
	raw, err := fresh.encode()
	if err != nil {
		return Result{}, d.unavailable(err)
	}
	revision, err := d.put(ctx, d.claims, persister.Compare{Key: n.path(), Revision: at}, raw)
	switch {
	case err == nil:
		d.config.Recorder.Count("claim.fresh", 1)
		return Result{Claim: &Claim{name: n, record: fresh, revision: revision}}, nil
	case errors.Is(err, persister.ErrConflict):
		return Result{}, err
	}
	return Result{}, d.unavailable(err)
}

func (d *Deduplicator) load(ctx context.Context, n name) (record, persister.Entry, error) {
	entry, err := d.config.Store.Get(ctx, n.path())
	if err != nil || entry.Revision == 0 {
		return record{}, entry, err
	}
	found, err := decode(entry.Key, entry.Value)
	return found, entry, err
}

// judge decides what a claim found in the store means for a caller. It is not
// settled when the claim may be taken over at its revision.
//
// A running claim of this very run of the daemon may be taken over: the caller
// of judge has entered the name, so no other call of the name is running here,
// and what the store shows is the rest of a write whose answer was lost.
func (d *Deduplicator) judge(ctx context.Context, n name, found record, at contractor.Revision, fingerprint Fingerprint) (Result, bool, error) {
	switch {
	case found.State == Running && d.owns(&found):
		return Result{}, false, nil
	case found.Fingerprint != fingerprint:
		return Result{}, true, d.reused()
	case found.State == Answered:
		return d.replay(&found), true, nil
	case found.State == Running && d.gone(&found):
		d.markUnknown(ctx, n, found, at)
		return Result{}, true, d.unknown()
	case found.State == Running:
		return Result{}, true, d.inProgress(fmt.Sprintf("%s#%d", found.VM, found.Incarnation))
	}
	return Result{}, true, d.unknown()
}

// answerFrom answers from what this daemon itself knows about a claim.
func (d *Deduplicator) answerFrom(held *record, fingerprint Fingerprint) (Result, error) {
	switch {
	case held.Fingerprint != fingerprint:
		return Result{}, d.reused()
	case held.State == Answered:
		return d.replay(held), nil
	case held.State == Unknown:
		return Result{}, d.unknown()
	}
	return Result{}, d.inProgress("")
}

func (d *Deduplicator) owns(r *record) bool {
	return r.VM == d.config.VM && r.Incarnation == d.config.Incarnation
}

// markUnknown writes down that the daemon that ran a call is gone. If that fails, the
// next retry tries again.
func (d *Deduplicator) markUnknown(ctx context.Context, n name, found record, at contractor.Revision) {
	after := found.ended(Unknown, nil, time.Now())
	raw, err := after.encode()
	if err != nil {
		return
	}
	if _, err := d.put(ctx, d.claims, persister.Compare{Key: n.path(), Revision: at}, raw); err != nil {
		return
	}
	d.config.Recorder.Event(recorder.ClaimOutcomeUnknown, "account", n.account, "key", n.key.String(), "vm", found.VM)
}

func (d *Deduplicator) replay(r *record) Result {
	d.config.Recorder.Count("claim.replayed", 1)
	return Result{Answer: r.Answer.replay()}
}

func (d *Deduplicator) refuse(reason refuser.Reason) *refuser.Refusal {
	d.config.Recorder.Count("claim."+reason.String(), 1)
	return refuser.New(reason, claimStep)
}

func (d *Deduplicator) unavailable(err error) error {
	return d.refuse(refuser.ClaimUnavailable).WithRetryAfter(d.config.RetryAfter).
		WithDetail("the call was not run, because it could not be claimed").
		WithCause(err)
}

func (d *Deduplicator) reused() error {
	return d.refuse(refuser.KeyReused).
		WithDetail("the Idempotency-Key was used before with another method, path or body")
}

func (d *Deduplicator) unknown() error {
	return d.refuse(refuser.OutcomeUnknown).WithPossibleExecution().
		WithDetail("the call may have run; it is not run again until an operator has resolved it")
}

func (d *Deduplicator) inProgress(peer string) error {
	return d.refuse(refuser.ClaimInProgress).WithPossibleExecution().WithRetryAfter(d.config.RetryAfter).WithPeer(peer).
		WithDetail("an earlier call with the same Idempotency-Key is still running")
}

// put writes one claim that lasts as long as the holder's leases.
func (d *Deduplicator) put(ctx context.Context, holder *persister.Leaseholder, compare persister.Compare, value []byte) (contractor.Revision, error) {
	lease, err := holder.Lease(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := d.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{compare},
		Puts:     []persister.Put{{Key: compare.Key, Value: value, Lease: lease}},
	})
	if errors.Is(err, persister.ErrInvalid) {
		holder.Drop(lease)
	}
	return revision, err
}
