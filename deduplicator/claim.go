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
	// maxClaimAttempts limits the retries after conflicts with concurrent writes to
	// the same key.
	maxClaimAttempts = 4
)

// Claim claims a call. The result has a Claim if the call may be executed now, or
// the stored response if it was executed before. Otherwise the error is a
// *refuser.Refusal that says whether the call may have been executed.
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
	local, earlier := d.beginLocal(k, fresh)
	if earlier != nil {
		return d.resultFromLocal(earlier, fingerprint)
	}
	result, err := d.tryClaim(ctx, k, fresh)
	if result.Claim == nil {
		// Only a write whose response was lost can have left a claim in the store.
		d.cancelLocal(k, local, errors.Is(err, persister.ErrUnknown))
	}
	return result, err
}

// tryClaim tries to create the claim in the store. If the key already has one, it
// decides the result from that, or replaces it if that is allowed.
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

// create writes the claim if the key has the expected revision, which is zero for
// a free key.
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

// load reads the claim on a key. The revision of the entry is zero if there is none.
func (d *Deduplicator) load(ctx context.Context, k claimKey) (record, persister.Entry, error) {
	entry, err := d.config.Store.Get(ctx, k.storeKey())
	if err != nil || entry.Revision == 0 {
		return record{}, entry, err
	}
	found, err := decode(entry.Key, entry.Value)
	return found, entry, err
}

// resultFromStore returns the result that a claim found in the store leads to. The
// bool is false if the claim may be overwritten at its revision instead.
//
// This is allowed for a running claim of this incarnation of the daemon: after
// beginLocal no other call with the key is running here, and the stored claim was
// left by a write whose response was lost.
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

// resultFromLocal returns the result that a claim of this daemon leads to.
func (d *Deduplicator) resultFromLocal(earlier *record, fingerprint Fingerprint) (Result, error) {
	switch {
	case earlier.Fingerprint != fingerprint:
		return Result{}, d.keyReused()
	case earlier.State == Answered:
		return d.replay(earlier), nil
	case earlier.State == Unknown:
		return Result{}, d.outcomeUnknown()
	}
	return Result{}, d.claimInProgress("")
}

// ownedHere reports whether a claim was made by this incarnation of the daemon.
func (d *Deduplicator) ownedHere(r *record) bool {
	return r.VM == d.config.VM && r.Incarnation == d.config.Incarnation
}

// writeUnknown stores the state Unknown for a call whose daemon is gone. If the
// write fails, the caller's next retry repeats it.
func (d *Deduplicator) writeUnknown(ctx context.Context, k claimKey, found record, expected contractor.Revision) {
	updated := found.withEnd(Unknown, nil, time.Now())
	raw, err := updated.encode()
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
	return d.refuse(refuser.ClaimUnavailable).WithRetryAfter(d.config.RetryAfter).
		WithDetail("the call was not run, because it could not be claimed").
		WithCause(err)
}

func (d *Deduplicator) keyReused() error {
	return d.refuse(refuser.KeyReused).
		WithDetail("the Idempotency-Key was used before with another method, path or body")
}

func (d *Deduplicator) outcomeUnknown() error {
	return d.refuse(refuser.OutcomeUnknown).WithPossibleExecution().
		WithDetail("the call may have run; it is not run again until an operator has resolved it")
}

func (d *Deduplicator) claimInProgress(peer string) error {
	return d.refuse(refuser.ClaimInProgress).WithPossibleExecution().WithRetryAfter(d.config.RetryAfter).WithPeer(peer).
		WithDetail("an earlier call with the same Idempotency-Key is still running")
}

// put writes one claim with a lease that determines its retention time.
func (d *Deduplicator) put(ctx context.Context, leases *persister.LeaseCache, compare persister.Compare, value []byte) (contractor.Revision, error) {
	lease, err := leases.Lease(ctx)
	if err != nil {
		return 0, err
	}
	revision, err := d.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{compare},
		Puts:     []persister.Put{{Key: compare.Key, Value: value, Lease: lease}},
	})
	if errors.Is(err, persister.ErrInvalid) {
		leases.Invalidate(lease)
	}
	return revision, err
}
