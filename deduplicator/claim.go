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
	// maxClaimAttempts bounds the races with others who claim or free the same key.
	maxClaimAttempts = 4
)

// Claim asks for the right to run a call. The result has a Claim when the
// call may run now, or the stored answer when it has run before. Otherwise the
// error is a *refuser.Refusal that says whether the call may have run.
func (d *Deduplicator) Claim(ctx context.Context, account contractor.Account, key contractor.RequestKey, fingerprint Fingerprint) (Result, error) {
	k := claimKey{account, key}
	fresh := record{
		State:       Running,
		OperationID: uuid.New(),
		ClaimID:     uuid.New(),
		Fingerprint: fingerprint,
		VM:          d.config.VM,
		Incarnation: d.config.Incarnation,
		StartedMS:   time.Now().UnixMilli(),
	}
	local, held := d.beginLocal(k, fresh)
	if held != nil {
		return d.resultFromLocal(held, fingerprint)
	}
	result, err := d.tryClaim(ctx, k, fresh)
	if result.Claim == nil {
		// Only a write with a lost answer can have left something behind.
		d.cancelLocal(k, local, errors.Is(err, persister.ErrUnknown))
	}
	return result, err
}

// tryClaim tries to write a claim, and looks at what is in its way.
func (d *Deduplicator) tryClaim(ctx context.Context, k claimKey, fresh record) (Result, error) {
	expected := contractor.Revision(0)
	for range maxClaimAttempts {
		result, err := d.create(ctx, k, fresh, expected)
		if !errors.Is(err, persister.ErrConflict) {
			return result, err
		}
		found, entry, err := d.load(ctx, k)
		if err != nil {
			return Result{}, d.claimUnavailable(err)
		}
		expected = entry.Revision
		if expected == 0 {
			continue
		}
		if result, final, err := d.resultFromStore(ctx, k, found, expected, fresh.Fingerprint); final {
			return result, err
		}
	}
	return Result{}, d.claimInProgress("")
}

// create writes a claim over the revision at, which is zero for a free key.
func (d *Deduplicator) create(ctx context.Context, k claimKey, fresh record, expected contractor.Revision) (Result, error) {
	raw, err := fresh.encode()
	if err != nil {
		return Result{}, d.claimUnavailable(err)
	}
	revision, err := d.put(ctx, d.claimLeases, persister.Compare{Key: k.storeKey(), Revision: expected}, raw)
	switch {
	case err == nil:
		d.config.Recorder.Count("claim.fresh", 1)
		return Result{Claim: &Claim{key: k, record: fresh, revision: revision}}, nil
	case errors.Is(err, persister.ErrConflict):
		return Result{}, err
	}
	return Result{}, d.claimUnavailable(err)
}

func (d *Deduplicator) load(ctx context.Context, k claimKey) (record, persister.Entry, error) {
	entry, err := d.config.Store.Get(ctx, k.storeKey())
	if err != nil || entry.Revision == 0 {
		return record{}, entry, err
	}
	found, err := decode(entry.Key, entry.Value)
	return found, entry, err
}

// resultFromStore decides what a claim found in the store means for a caller. It is not
// settled when the claim may be taken over at its revision.
//
// A running claim of this very run of the daemon may be taken over: the caller
// of resultFromStore has entered the name, so no other call of the name is running here,
// and what the store shows is the rest of a write whose answer was lost.
func (d *Deduplicator) resultFromStore(ctx context.Context, k claimKey, found record, expected contractor.Revision, fingerprint Fingerprint) (Result, bool, error) {
	switch {
	case found.State == Running && d.ownedHere(&found):
		return Result{}, false, nil
	case found.Fingerprint != fingerprint:
		return Result{}, true, d.keyReused()
	case found.State == Answered:
		return d.replay(&found), true, nil
	case found.State == Running && d.claimantGone(&found):
		d.writeUnknown(ctx, k, found, expected)
		return Result{}, true, d.outcomeUnknown()
	case found.State == Running:
		return Result{}, true, d.claimInProgress(fmt.Sprintf("%s#%d", found.VM, found.Incarnation))
	}
	return Result{}, true, d.outcomeUnknown()
}

// resultFromLocal answers from what this daemon itself knows about a claim.
func (d *Deduplicator) resultFromLocal(held *record, fingerprint Fingerprint) (Result, error) {
	switch {
	case held.Fingerprint != fingerprint:
		return Result{}, d.keyReused()
	case held.State == Answered:
		return d.replay(held), nil
	case held.State == Unknown:
		return Result{}, d.outcomeUnknown()
	}
	return Result{}, d.claimInProgress("")
}

func (d *Deduplicator) ownedHere(r *record) bool {
	return r.VM == d.config.VM && r.Incarnation == d.config.Incarnation
}

// writeUnknown writes down that the daemon that ran a call is gone. If that fails, the
// next retry tries again.
func (d *Deduplicator) writeUnknown(ctx context.Context, k claimKey, found record, expected contractor.Revision) {
	after := found.withEnd(Unknown, nil, time.Now())
	raw, err := after.encode()
	if err != nil {
		return
	}
	if _, err := d.put(ctx, d.claimLeases, persister.Compare{Key: k.storeKey(), Revision: expected}, raw); err != nil {
		return
	}
	d.config.Recorder.Event(recorder.ClaimOutcomeUnknown, "account", k.account, "key", k.requestKey.String(), "vm", found.VM)
}

func (d *Deduplicator) replay(r *record) Result {
	d.config.Recorder.Count("claim.replayed", 1)
	return Result{Response: r.Response.replay()}
}

func (d *Deduplicator) refuse(reason refuser.Reason) *refuser.Refusal {
	d.config.Recorder.Count("claim."+reason.String(), 1)
	return refuser.New(reason, claimStep)
}

func (d *Deduplicator) claimUnavailable(err error) error {
	return d.refuse(refuser.ClaimUnavailable).After(d.config.RetryAfter).
		Explain("the call was not run, because it could not be claimed").
		Because(err)
}

func (d *Deduplicator) keyReused() error {
	return d.refuse(refuser.KeyReused).
		Explain("the Idempotency-Key was used before with another method, path or body")
}

func (d *Deduplicator) outcomeUnknown() error {
	return d.refuse(refuser.OutcomeUnknown).MayHaveRun().
		Explain("the call may have run; it is not run again until an operator has resolved it")
}

func (d *Deduplicator) claimInProgress(peer string) error {
	return d.refuse(refuser.ClaimInProgress).MayHaveRun().After(d.config.RetryAfter).At(peer).
		Explain("an earlier call with the same Idempotency-Key is still running")
}

// put writes one claim that lasts as long as the holder's leases.
func (d *Deduplicator) put(ctx context.Context, leases *persister.Leaseholder, compare persister.Compare, value []byte) (contractor.Revision, error) {
	lease, err := leases.Lease(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := d.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{compare},
		Puts:     []persister.Put{{Key: compare.Key, Value: value, Lease: lease}},
	})
	if errors.Is(err, persister.ErrInvalid) {
		leases.Drop(lease)
	}
	return revision, err
}
