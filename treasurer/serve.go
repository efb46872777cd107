package treasurer

import (
	"context"
	"errors"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/refuser"
	"laburnumline/sleeper"
)

var errNotKeeper = errors.New("daemon is not the keeper of the account")

// serveReserve responds to an entry of the zone. If the zone's grant is too
// small, it obtains more from the ledger and from other zones first.
func (t *Treasurer) serveReserve(ctx context.Context, r *ReserveRequest) ReserveResponse {
	request := allocator.Request{Account: r.Account, Record: r.Record, MinAmount: r.MinAmount}
	attempt := &reserveAttempt{treasurer: t, request: request, deadline: t.now().Add(t.config.KeeperTimeout * 3 / 4)}
	defer attempt.removeDemand()
	for {
		if err := t.ensureKeeper(ctx, r.Account); err != nil {
			return takeOverFailed(err)
		}
		result := t.keeper.Reserve(t.now(), request)
		switch result.Outcome {
		case allocator.Approved:
			if result.NeedsWitness && !attempt.awaitWitness(ctx) {
				return attempt.cancelUnwitnessed()
			}
			return ReserveResponse{Amount: result.Amount, Epoch: result.Epoch, PagesBefore: result.PagesBefore, Revision: result.Revision}
		case allocator.NotKeeper, allocator.Duplicate:
			return ReserveResponse{Outcome: result.Outcome}
		}
		if response := attempt.tryNext(ctx, result); response != nil {
			return *response
		}
	}
}

func takeOverFailed(err error) ReserveResponse {
	switch {
	case errors.Is(err, errNotKeeper):
		return ReserveResponse{Outcome: allocator.NotKeeper}
	case errors.Is(err, biller.ErrNoLedger):
		return unreachableResponse("the account has no ledger yet")
	}
	return unreachableResponse("the store is away and the zone holds no grant")
}

func unreachableResponse(detail string) ReserveResponse {
	return ReserveResponse{
		Outcome:    allocator.Insufficient,
		Reason:     refuser.BudgetUnreachable,
		RetryAfter: unreachableRetryAfter,
		Detail:     detail,
	}
}

func exhaustedResponse() ReserveResponse {
	return ReserveResponse{
		Outcome:    allocator.Insufficient,
		Reason:     refuser.BudgetExhausted,
		RetryAfter: exhaustedRetryAfter,
		Detail:     "the prepaid balance does not cover the request",
	}
}

// maxWritesAwaited is the maximum number of ledger writes that one request waits for.
const maxWritesAwaited = 2

// reserveAttempt performs, in turn, the steps that may make a budget cover one
// request: a flush, transfers from other zones, and the release of open
// reservations.
type reserveAttempt struct {
	treasurer *Treasurer
	request   allocator.Request
	deadline  time.Time
	// writesAwaited is the number of ledger writes that the request has waited
	// for. The first one may have started before the request.
	writesAwaited int
	demandAdded   contractor.Tokens
	// transferTried is false while transfers have to be requested, for the first
	// time or again. lastTransferTried is true once they were requested for the
	// last time before a refusal.
	transferTried, lastTransferTried bool
	// zonesExhausted is true when every other zone has responded that it cannot
	// transfer enough.
	zonesExhausted  bool
	releaseDeadline time.Time
}

// addDemand adds the request's amount to the demand for the budget, once.
func (a *reserveAttempt) addDemand() {
	if a.demandAdded > 0 {
		return
	}
	a.demandAdded = a.request.Record.Amount
	a.treasurer.keeper.AddDemand(a.budget(), a.demandAdded)
}

func (a *reserveAttempt) removeDemand() {
	if a.demandAdded > 0 {
		a.treasurer.keeper.AddDemand(a.budget(), -a.demandAdded)
	}
}

func (a *reserveAttempt) budget() contractor.BudgetID {
	return contractor.BudgetID{Account: a.request.Account, Name: a.request.Record.Budget}
}

// tryNext performs the next step. It returns nil if the reservation may succeed
// now, and the refusal if no step is left.
func (a *reserveAttempt) tryNext(ctx context.Context, result allocator.Response) *ReserveResponse {
	t := a.treasurer
	if ctx.Err() != nil || t.now().After(a.deadline) {
		response := unreachableResponse("the budget could not be fetched in time")
		return &response
	}
	a.addDemand()
	if a.writesAwaited < maxWritesAwaited && !result.LedgerExhausted && !t.storeUnavailable() {
		a.writesAwaited++
		if t.flush(ctx, a.request.Account) == nil {
			return nil
		}
	}
	if result.Outcome != allocator.Insufficient {
		response := unreachableResponse("the store is away and the grant cannot be renewed")
		return &response
	}
	if result.Sealing {
		a.writesAwaited = 0
		_ = sleeper.Sleep(ctx, retryBackoff)
		return nil
	}
	if !a.transferTried && !result.ZonesExhausted {
		a.transferTried = true
		a.zonesExhausted = t.requestTransfers(ctx, a.request, result.Demand)
		return nil
	}
	if result.ZonesExhausted {
		a.zonesExhausted = true
	}
	return a.awaitRelease(ctx, result)
}

// awaitWitness sends the reservation to the witness. It retries until the
// deadline, because the daemons' views of the zone differ while daemons start
// and stop.
func (a *reserveAttempt) awaitWitness(ctx context.Context) bool {
	t := a.treasurer
	for !t.witnessReservation(ctx, a.request) {
		if _, kept := t.keeper.Keeps(a.request.Account); !kept || t.now().After(a.deadline) {
			return false
		}
		if sleeper.Sleep(ctx, retryBackoff) != nil {
			return false
		}
	}
	return true
}

func (a *reserveAttempt) cancelUnwitnessed() ReserveResponse {
	t := a.treasurer
	if _, kept := t.keeper.Keeps(a.request.Account); !kept {
		return ReserveResponse{Outcome: allocator.NotKeeper}
	}
	t.keeper.Cancel(t.now(), a.request.Account, a.request.Record.Ref)
	return unreachableResponse("no second daemon of the zone can keep a copy")
}

// awaitRelease waits for open reservations of this and other zones to be
// released, for at most ReleaseTimeout.
func (a *reserveAttempt) awaitRelease(ctx context.Context, result allocator.Response) *ReserveResponse {
	t := a.treasurer
	if a.releaseDeadline.IsZero() {
		a.releaseDeadline = t.now().Add(t.config.ReleaseTimeout)
	}
	if result.ReservedSuffices && t.now().Before(a.releaseDeadline) {
		_ = sleeper.Sleep(ctx, min(retryBackoff, t.config.ReleaseTimeout))
		a.transferTried = false
		return nil
	}
	if !a.lastTransferTried && !result.ZonesExhausted {
		a.lastTransferTried = true
		a.zonesExhausted = t.requestTransfers(ctx, a.request, result.Demand)
		return nil
	}
	if a.zonesExhausted && (result.LedgerExhausted || a.writesAwaited > 0) && !t.storeUnavailable() {
		response := exhaustedResponse()
		return &response
	}
	response := unreachableResponse("a part of the balance cannot be reached")
	return &response
}

// serveSettle receives settlements of an entry of the zone.
func (t *Treasurer) serveSettle(ctx context.Context, r *SettleRequest) SettleResponse {
	if err := t.ensureKeeper(ctx, r.Account); err != nil {
		return SettleResponse{NotKeeper: true}
	}
	result := t.keeper.Settle(t.now(), r.Account, r.Records)
	return SettleResponse{NotKeeper: result.NotKeeper, Epoch: result.Epoch, ReleasedIDs: result.Done}
}

// serveSeal responds to a new keeper of the zone.
func (t *Treasurer) serveSeal(r *SealRequest) allocator.Report {
	handovers := t.keeper.StepDown(t.now(), r.Account, r.Epoch)
	return allocator.Report{Entry: t.entry.Seal(t.now(), r.Account, r.Epoch), Handovers: handovers}
}

// dropWindow discards the cached bill pages of an account.
func (t *Treasurer) dropWindow(account contractor.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.windows, account)
}
