package treasurer

import (
	"context"
	"errors"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/refuser"
	"laburnumline/reserver"
	"laburnumline/sleeper"
)

const (
	// exhaustedRetryAfter is the Retry-After of a request that the budget does
	// not cover. A top-up or released reservations may cover it then.
	exhaustedRetryAfter = 2 * time.Second
	// unreachableRetryAfter is the Retry-After of a request that failed because
	// a keeper, a zone or the store was unreachable.
	unreachableRetryAfter = time.Second
)

// Reserve requests a reservation from the keeper of the account. The error is a
// *refuser.Refusal: the request was not executed.
func (t *Treasurer) Reserve(ctx context.Context, r reserver.Request) (reserver.Reservation, error) {
	deadline := t.now().Add(t.config.KeeperTimeout)
	for {
		reservation, err := t.tryReserve(ctx, r)
		if err == nil {
			return reservation, nil
		}
		var retry *retryError
		if !errors.As(err, &retry) {
			return reserver.Reservation{}, err
		}
		t.config.Recorder.CountRetry("reserve_" + retry.reason)
		if t.now().After(deadline) {
			refusal := t.newRefusal(refuser.BudgetUnreachable, unreachableRetryAfter, "no keeper of the budget answers")
			return reserver.Reservation{}, refusal.WithCause(retry.err)
		}
		if err := sleeper.Sleep(ctx, retryBackoff); err != nil {
			return reserver.Reservation{}, t.newRefusal(refuser.Cancelled, 0, "the caller has gone").WithCause(err)
		}
	}
}

// retryError is a failure after which another request to the keeper may succeed.
type retryError struct {
	reason string
	err    error
}

func (e *retryError) Error() string {
	if e.err == nil {
		return e.reason
	}
	return e.reason + ": " + e.err.Error()
}

func (t *Treasurer) tryReserve(ctx context.Context, r reserver.Request) (reserver.Reservation, error) {
	keeper, ok := t.config.Members.Keeper(t.zone, r.Budget.Account)
	if !ok {
		return reserver.Reservation{}, &retryError{reason: "no_keeper"}
	}
	pending := t.entry.Begin(t.now(), r)
	response, err := t.requestReservation(ctx, keeper, pending)
	if err != nil {
		t.entry.Abandon(t.now(), pending, maybeSent(err))
		t.wakeSender()
		return reserver.Reservation{}, &retryError{"keeper_silent", err}
	}
	switch response.Outcome {
	case allocator.Approved:
		return t.accept(ctx, pending, response)
	case allocator.Insufficient:
		t.entry.Abandon(t.now(), pending, false)
		refusal := t.newRefusal(response.Reason, response.RetryAfter, response.Detail).WithPeer(keeper.String())
		t.config.Recorder.Count("budget.reserve_refused."+response.Reason.String(), 1)
		return reserver.Reservation{}, refusal
	}
	t.entry.Abandon(t.now(), pending, false)
	return reserver.Reservation{}, &retryError{reason: response.Outcome.String()}
}

func maybeSent(err error) bool {
	var failed *messenger.CallError
	return !errors.As(err, &failed) || failed.PossiblyExecuted
}

func (t *Treasurer) requestReservation(ctx context.Context, keeper messenger.Peer, pending reserver.Pending) (ReserveResponse, error) {
	request := &ReserveRequest{
		Account:   pending.Request.Budget.Account,
		MinAmount: pending.Request.MinAmount,
		Record: reserver.Record{
			Ref:           reserver.Ref{Entry: t.self, ID: pending.ID},
			Key:           pending.Request.Key,
			KeyFromCaller: pending.Request.KeyFromCaller,
			Budget:        pending.Request.Budget.Name,
			Amount:        pending.Request.Amount,
		},
	}
	if daemonIDOf(keeper) == t.self {
		return t.serveReserve(ctx, request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.KeeperTimeout)
	defer cancel()
	go t.cancelWhenReplaced(ctx, cancel, keeper, request.Account)
	response, err := messenger.Call[ReserveRequest, ReserveResponse](ctx, t.config.Caller, keeper, MethodReserve, request)
	if err != nil {
		return ReserveResponse{}, err
	}
	return *response, nil
}

// cancelWhenReplaced cancels a call when the view names another keeper, so that
// a request does not wait for a failed one. It returns when ctx ends.
func (t *Treasurer) cancelWhenReplaced(ctx context.Context, cancel func(), keeper messenger.Peer, account contractor.Account) {
	for {
		changed := t.config.Members.Changed()
		if current, ok := t.config.Members.Keeper(t.zone, account); ok && daemonIDOf(current) != daemonIDOf(keeper) {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// accept takes a reservation from a keeper's response. A keeper of a higher epoch
// that sealed before this daemon registered did not send its seal here. If the
// daemon has no minimum epoch for the account yet, and the response is based on
// a ledger revision from before the registration, accept reads the epoch from
// the ledger.
func (t *Treasurer) accept(ctx context.Context, pending reserver.Pending, response ReserveResponse) (reserver.Reservation, error) {
	account := pending.Request.Budget.Account
	if !t.entry.HasMinEpoch(account) && int64(response.Revision) <= t.registeredRevision.Load() {
		ledger, _, err := biller.LoadLedger(ctx, t.config.Store, account)
		if err != nil {
			t.entry.Abandon(t.now(), pending, true)
			t.wakeSender()
			refusal := t.newRefusal(refuser.BudgetUnreachable, unreachableRetryAfter, "the ledger cannot be read")
			return reserver.Reservation{}, refusal.WithCause(err)
		}
		section, _ := ledger.Section(t.zone)
		t.entry.RaiseMinEpoch(account, section.Epoch)
	}
	approved := reserver.Response{Amount: response.Amount, Epoch: response.Epoch, PagesBefore: response.PagesBefore}
	reservation, err := t.entry.Accept(t.now(), pending, approved)
	if err != nil {
		t.wakeSender()
		return reserver.Reservation{}, &retryError{"keeper_replaced", err}
	}
	return reservation, nil
}

// ensureKeeper makes the daemon the keeper of an account if its view says so.
// Otherwise it returns errNotKeeper.
func (t *Treasurer) ensureKeeper(ctx context.Context, account contractor.Account) error {
	if _, ok := t.keeper.Keeps(account); ok {
		return nil
	}
	keeper, ok := t.keeperOf(account)
	if !ok || daemonIDOf(keeper) != t.self || t.draining.Load() && !t.hasUnflushed(account) {
		return errNotKeeper
	}
	return t.takeOver(ctx, account)
}

// keeperOf returns the keeper of an account in the daemon's zone. The last daemon
// of a zone, while it drains, is the keeper of the accounts that it still has to
// settle.
func (t *Treasurer) keeperOf(account contractor.Account) (messenger.Peer, bool) {
	keeper, ok := t.config.Members.Keeper(t.zone, account)
	lastInZone := t.draining.Load() && len(t.config.Members.Zone(t.zone)) <= 1
	if !ok && lastInZone && t.hasUnflushed(account) {
		return t.config.Members.Self(), true
	}
	return keeper, ok
}

// hasUnflushed reports whether the ledger lacks settlements of the daemon's own
// callers.
func (t *Treasurer) hasUnflushed(account contractor.Account) bool {
	return t.entry.CountsByAccount()[account].Unacknowledged > 0
}
