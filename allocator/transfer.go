package allocator

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// askLife is the time for which the answer to a transfer's request counts.
const askLife = 10 * time.Second

// RequestTransfer starts a transfer from another zone. The id decides that the
// amount is credited once. It returns the epoch that receives the transfer.
func (a *Allocator) RequestTransfer(now time.Time, name contractor.Account, id biller.TransferID) (contractor.Epoch, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || a.termOver(now, acc) {
		return 0, false
	}
	for old, until := range acc.asks {
		if now.After(until) {
			delete(acc.asks, old)
		}
	}
	acc.asks[id] = now.Add(askLife)
	return acc.section.Epoch, true
}

// CreditTransfer credits an amount that another zone has subtracted, once by id.
func (a *Allocator) CreditTransfer(now time.Time, name contractor.Account, t biller.Transfer) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return false
	}
	until, ok := acc.asks[t.ID]
	b := acc.budget(t.Budget)
	if !ok || b == nil || t.Amount <= 0 || t.ToEpoch != acc.section.Epoch || slices.Contains(acc.applied, t.ID) {
		return false
	}
	delete(acc.asks, t.ID)
	if now.After(until) {
		return false
	}
	acc.in[t.ID] = t
	b.moved += t.Amount
	b.exhausted = 0
	return true
}

// TransferResponse is the outcome of a request for a transfer at its sender.
type TransferResponse struct {
	Outcome Outcome
	Amount  contractor.Tokens
	Epoch   contractor.Epoch
	// Reserved is what the zone's open reservations hold of the budget.
	Reserved contractor.Tokens
	// Sealing is true while a predecessor's grants are held back.
	Sealing bool
	// NeedsWitness is true when the transfer has to be witnessed before it is sent.
	NeedsWitness bool
}

// GrantTransfer subtracts an amount for another zone, between least and the
// transfer's amount, once by the transfer's id.
func (a *Allocator) GrantTransfer(now time.Time, name contractor.Account, t biller.Transfer, least contractor.Tokens) TransferResponse {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return TransferResponse{Outcome: NotKeeper}
	}
	sent := TransferResponse{Epoch: acc.section.Epoch, NeedsWitness: !acc.alone(), Sealing: acc.sealing != nil}
	if a.termOver(now, acc) {
		sent.Outcome = TermExpired
		return sent
	}
	if acc.out[t.ID] != nil {
		sent.Outcome = Duplicate
		return sent
	}
	b := acc.budget(t.Budget)
	if b == nil {
		sent.Outcome = UnknownBudget
		return sent
	}
	sent.Reserved = b.reserved
	amount := transferAmount(b.free(), t.Amount, least)
	if amount <= 0 {
		sent.Outcome = Insufficient
		return sent
	}
	t.From, t.Amount, t.Epoch = a.config.Zone, amount, acc.section.Epoch
	if a.faults.creditFirst {
		sent.Amount = amount
		return sent
	}
	acc.out[t.ID] = &outgoing{transfer: t}
	b.moved -= amount
	sent.Amount = amount
	return sent
}

// transferAmount gives what is asked for, and half of a large free amount, so
// that a zone with the greater draw does not ask for every request.
func transferAmount(free, want, least contractor.Tokens) contractor.Tokens {
	if free <= 0 {
		return 0
	}
	return min(free, max(want, least, min(free/2, demandFactor*want)))
}

// CancelTransfer adds an amount back that was certainly not sent.
func (a *Allocator) CancelTransfer(name contractor.Account, id biller.TransferID) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.out[id] == nil {
		return
	}
	acc.endOut(id)
}

func (a *account) endOut(id biller.TransferID) {
	o := a.out[id]
	delete(a.out, id)
	if b := a.budget(o.transfer.Budget); b != nil {
		b.moved += o.transfer.Amount
	}
	if a.witness.peer.VM != "" {
		a.witness.transfers = append(a.witness.transfers, id)
	}
}

func (a *account) endIn(id biller.TransferID) {
	t, ok := a.in[id]
	if !ok {
		return
	}
	delete(a.in, id)
	if b := a.budget(t.Budget); b != nil {
		b.moved -= t.Amount
	}
}

// endTransfer forgets a transfer that the ledger holds.
func (a *account) endTransfer(id biller.TransferID) {
	if a.out[id] != nil {
		a.endOut(id)
	}
	a.endIn(id)
	delete(a.asks, id)
}
