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

// serveReserve answers an entry of the zone. It fetches more of the budget
// when the zone's grant is short.
func (t *Treasurer) serveReserve(ctx context.Context, r *ReserveRequest) ReserveResponse {
	ask := allocator.Ask{Account: r.Account, Record: r.Record, Least: r.MinAmount}
	f := &fetch{treasurer: t, ask: ask, until: t.now().Add(t.config.KeeperTimeout * 3 / 4)}
	defer f.end()
	for {
		if err := t.keepsOrOpens(ctx, r.Account); err != nil {
			return openFailed(err)
		}
		answer := t.keeper.Reserve(t.now(), ask)
		switch answer.Outcome {
		case allocator.Given:
			if answer.Witness && !f.awaitWitness(ctx) {
				return f.withoutWitness()
			}
			return ReserveResponse{Amount: answer.Amount, Epoch: answer.Epoch, PagesBefore: answer.Since, Revision: answer.Revision}
		case allocator.NotKeeper, allocator.Withdrawn:
			return ReserveResponse{Outcome: answer.Outcome}
		}
		if response := f.next(ctx, answer); response != nil {
			return *response
		}
	}
}

func openFailed(err error) ReserveResponse {
	switch {
	case errors.Is(err, errNotKeeper):
		return ReserveResponse{Outcome: allocator.NotKeeper}
	case errors.Is(err, biller.ErrNoLedger):
		return unreachable("the account has no ledger yet")
	}
	return unreachable("the store is away and the zone holds no grant")
}

func unreachable(detail string) ReserveResponse {
	return ReserveResponse{
		Outcome:    allocator.Short,
		Reason:     refuser.BudgetUnreachable,
		RetryAfter: unreachableRetry,
		Detail:     detail,
	}
}

func exhausted() ReserveResponse {
	return ReserveResponse{
		Outcome:    allocator.Short,
		Reason:     refuser.BudgetExhausted,
		RetryAfter: exhaustedRetry,
		Detail:     "the prepaid balance does not cover the request",
	}
}

// maxWrites is the number of ledger writes that one request waits for.
const maxWrites = 2

// fetch tries in turn what can make a short budget cover one request.
type fetch struct {
	treasurer *Treasurer
	ask       allocator.Ask
	until     time.Time
	// writes is the number of ledger writes that the request has waited for.
	// The first may have been under way before.
	writes int
	waits  contractor.Tokens
	// asked is true while the other zones need not be asked again, last once
	// they were asked before the refusal.
	asked, last bool
	// known is true when every other zone has said that it cannot help.
	known   bool
	waiting time.Time
}

// begin adds the request's amount to the budget's demand.
func (f *fetch) begin() {
	if f.waits > 0 {
		return
	}
	f.waits = f.ask.Record.Amount
	f.treasurer.keeper.Wait(f.budget(), f.waits)
}

func (f *fetch) end() {
	if f.waits > 0 {
		f.treasurer.keeper.Wait(f.budget(), -f.waits)
	}
}

func (f *fetch) budget() contractor.BudgetID {
	return contractor.BudgetID{Account: f.ask.Account, Name: f.ask.Record.Budget}
}

// next makes one attempt. It returns the refusal when nothing is left to try.
func (f *fetch) next(ctx context.Context, answer allocator.Answer) *ReserveResponse {
	t := f.treasurer
	if ctx.Err() != nil || t.now().After(f.until) {
		response := unreachable("the budget could not be fetched in time")
		return &response
	}
	f.begin()
	if f.writes < maxWrites && !answer.Exhausted && !t.storeIsAway() {
		f.writes++
		if t.flush(ctx, f.ask.Account) == nil {
			return nil
		}
	}
	if answer.Outcome != allocator.Short {
		response := unreachable("the store is away and the grant cannot be renewed")
		return &response
	}
	if answer.Sealing {
		f.writes = 0
		_ = sleeper.Sleep(ctx, retryPause)
		return nil
	}
	if !f.asked && !answer.Dry {
		f.asked = true
		f.known = t.fetchTransfer(ctx, f.ask, answer.Demand)
		return nil
	}
	if answer.Dry {
		f.known = true
	}
	return f.wait(ctx, answer)
}

// awaitWitness makes the reservation known to a second daemon. It tries again
// for a while, because views of the zone differ when daemons come and go.
func (f *fetch) awaitWitness(ctx context.Context) bool {
	t := f.treasurer
	for !t.witnessReservation(ctx, f.ask) {
		if _, kept := t.keeper.Keeps(f.ask.Account); !kept || t.now().After(f.until) {
			return false
		}
		if sleeper.Sleep(ctx, retryPause) != nil {
			return false
		}
	}
	return true
}

func (f *fetch) withoutWitness() ReserveResponse {
	t := f.treasurer
	if _, kept := t.keeper.Keeps(f.ask.Account); !kept {
		return ReserveResponse{Outcome: allocator.NotKeeper}
	}
	t.keeper.Cancel(t.now(), f.ask.Account, f.ask.Record.Ref)
	return unreachable("no second daemon of the zone can keep a copy")
}

// wait gives open reservations a short time to come back, here and in the
// other zones.
func (f *fetch) wait(ctx context.Context, answer allocator.Answer) *ReserveResponse {
	t := f.treasurer
	if f.waiting.IsZero() {
		f.waiting = t.now().Add(t.config.ReleaseTimeout)
	}
	if answer.Returning && t.now().Before(f.waiting) {
		_ = sleeper.Sleep(ctx, min(retryPause, t.config.ReleaseTimeout))
		f.asked = false
		return nil
	}
	if !f.last && !answer.Dry {
		f.last = true
		f.known = t.fetchTransfer(ctx, f.ask, answer.Demand)
		return nil
	}
	if f.known && (answer.Exhausted || f.writes > 0) && !t.storeIsAway() {
		response := exhausted()
		return &response
	}
	response := unreachable("a part of the balance cannot be reached")
	return &response
}

// serveSettle takes settlements of an entry of the zone.
func (t *Treasurer) serveSettle(ctx context.Context, r *SettleRequest) SettleResponse {
	if err := t.keepsOrOpens(ctx, r.Account); err != nil {
		return SettleResponse{NotKeeper: true}
	}
	receipt := t.keeper.Settle(t.now(), r.Account, r.Records)
	return SettleResponse{NotKeeper: receipt.NotKeeper, Epoch: receipt.Epoch, ReleasedIDs: receipt.Done}
}

// serveSeal answers a new keeper of the zone.
func (t *Treasurer) serveSeal(r *SealRequest) allocator.Report {
	handovers := t.keeper.Surrender(t.now(), r.Account, r.Epoch)
	return allocator.Report{Entry: t.entry.Seal(t.now(), r.Account, r.Epoch), Handovers: handovers}
}

// forget drops what the daemon kept in memory for an account.
func (t *Treasurer) forget(account contractor.Account) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.windows, account)
}
