package allocator

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// transferTimeout is the time after which a requested transfer is not credited any
// more.
const transferTimeout = 10 * time.Second

// RequestTransfer notes that a transfer is requested from another zone. Its id ensures
// that the amount is credited once. It returns the epoch that receives the transfer.
func (a *Allocator) RequestTransfer(now time.Time, name contractor.Account, id biller.TransferID) (contractor.Epoch, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || a.termExpired(now, acc) {
		return 0, false
	}
	for old, until := range acc.requested {
		if now.After(until) {
			delete(acc.requested, old)
		}
	}
	acc.requested[id] = now.Add(transferTimeout)
	return acc.section.Epoch, true
}

// CreditTransfer adds an amount that another zone has subtracted, once by the
// transfer's id. It reports whether the amount was added.
func (a *Allocator) CreditTransfer(now time.Time, name contractor.Account, t biller.Transfer) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return false
	}
	until, ok := acc.requested[t.ID]
	b := acc.budget(t.Budget)
	if !ok || b == nil || t.Amount <= 0 || t.ToEpoch != acc.section.Epoch || slices.Contains(acc.appliedTransfers, t.ID) {
		return false
	}
	delete(acc.requested, t.ID)
	if now.After(until) {
		return false
	}
	acc.received[t.ID] = t
	b.transferred += t.Amount
	b.ledgerExhaustedNanos = 0
	return true
}

// TransferResponse is the response of the zone that sends a transfer.
type TransferResponse struct {
	Outcome Outcome
	Amount  contractor.Tokens
	Epoch   contractor.Epoch
	// Reserved is the sum of the zone's open reservations of the budget.
	Reserved contractor.Tokens
	// Sealing is true while grants of earlier epochs are held.
	Sealing bool
	// NeedsWitness is true when the witness has to confirm the transfer before it is
	// sent.
	NeedsWitness bool
}

// GrantTransfer subtracts an amount for another zone, once by the transfer's id. The
// amount can exceed the transfer's, and it is less than minAmount when less is free.
func (a *Allocator) GrantTransfer(now time.Time, name contractor.Account, t biller.Transfer, minAmount contractor.Tokens) TransferResponse {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return TransferResponse{Outcome: NotKeeper}
	}
	response := TransferResponse{Epoch: acc.section.Epoch, NeedsWitness: !acc.unwitnessed(), Sealing: acc.sealing != nil}
	if a.termExpired(now, acc) {
		response.Outcome = TermExpired
		return response
	}
	if acc.sent[t.ID] != nil {
		response.Outcome = Duplicate
		return response
	}
	b := acc.budget(t.Budget)
	if b == nil {
		response.Outcome = UnknownBudget
		return response
	}
	response.Reserved = b.reserved
	amount := transferAmount(b.free(), t.Amount, minAmount)
	if amount <= 0 {
		response.Outcome = Insufficient
		return response
	}
	t.From, t.Amount, t.Epoch = a.config.Zone, amount, acc.section.Epoch
	if a.faults.skipDebit {
		response.Amount = amount
		return response
	}
	acc.sent[t.ID] = &sentTransfer{transfer: t}
	b.transferred -= amount
	response.Amount = amount
	return response
}

// transferAmount returns the wanted amount, or half of the free amount if that is more,
// up to idleGrantRequests times the wanted amount. A zone with a higher consumption
// then does not need a transfer for every request.
func transferAmount(free, wanted, minAmount contractor.Tokens) contractor.Tokens {
	if free <= 0 {
		return 0
	}
	return min(free, max(wanted, minAmount, min(free/2, idleGrantRequests*wanted)))
}

// CancelTransfer adds an amount back that was certainly not sent.
func (a *Allocator) CancelTransfer(name contractor.Account, id biller.TransferID) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.sent[id] == nil {
		return
	}
	acc.endSent(id)
}

// endSent forgets a sent transfer that the ledger contains or that was cancelled.
func (a *account) endSent(id biller.TransferID) {
	sent := a.sent[id]
	delete(a.sent, id)
	if b := a.budget(sent.transfer.Budget); b != nil {
		b.transferred += sent.transfer.Amount
	}
	if a.witness.peer.VM != "" {
		a.witness.endedTransfers = append(a.witness.endedTransfers, id)
	}
}

// endReceived forgets a received transfer that the ledger contains.
func (a *account) endReceived(id biller.TransferID) {
	t, ok := a.received[id]
	if !ok {
		return
	}
	delete(a.received, id)
	if b := a.budget(t.Budget); b != nil {
		b.transferred -= t.Amount
	}
}

// endTransfer forgets a transfer that the ledger contains.
func (a *account) endTransfer(id biller.TransferID) {
	if a.sent[id] != nil {
		a.endSent(id)
	}
	a.endReceived(id)
	delete(a.requested, id)
}
