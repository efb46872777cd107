package allocator

import (
	"time"

	"laburnumline/contractor"
	"laburnumline/reserver"
)

// SettleResponse is the keeper's answer to a batch of settlements.
type SettleResponse struct {
	NotKeeper bool
	Epoch     contractor.Epoch
	// Done are settlements that need no line and may be forgotten. The others
	// are held until the ledger has them.
	Done []uint64
}

// Settle takes settlements of an entry. It is idempotent by their Ref.
func (a *Allocator) Settle(now time.Time, name contractor.Account, records []reserver.Record) SettleResponse {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return SettleResponse{NotKeeper: true}
	}
	receipt := SettleResponse{Epoch: acc.section.Epoch}
	for _, v := range records {
		if v.Epoch > acc.section.Epoch {
			return SettleResponse{NotKeeper: true}
		}
	}
	for _, v := range records {
		if a.settleOne(now, acc, v) {
			receipt.Done = append(receipt.Done, v.Ref.ID)
		}
	}
	return receipt
}

// settleOne reports whether the entry may forget the settlement.
func (a *Allocator) settleOne(now time.Time, acc *account, v reserver.Record) bool {
	it, ok := acc.items[v.Ref]
	switch {
	case ok && it.record.Settled:
		return false
	case ok:
		acc.settle(it, v.Used, v.At)
		return v.Used == 0
	case acc.sealing != nil && v.Epoch < acc.section.Epoch:
		acc.sealing.add(v)
		return false
	case v.Used == 0 && acc.charged[v.Ref].IsZero():
		acc.withdrawn[v.Ref] = now.Add(a.config.DispatchWindow)
		return true
	case acc.budget(v.Budget) == nil:
		return false
	}
	delete(acc.charged, v.Ref)
	it = &item{record: v, late: true, recheck: true, reservedAt: now}
	acc.items[v.Ref] = it
	acc.lines = append(acc.lines, it)
	acc.witness.change(v.Ref)
	return false
}

// Cancel frees a reservation that could not be given out.
func (a *Allocator) Cancel(now time.Time, name contractor.Account, ref reserver.Ref) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return
	}
	if it, ok := acc.items[ref]; ok && !it.record.Settled {
		acc.settle(it, 0, now)
		acc.withdrawn[ref] = now.Add(a.config.DispatchWindow)
	}
}

// expire resolves reservations that can neither be dispatched nor be running
// any more.
func (a *Allocator) expire(now time.Time, acc *account) int {
	life := a.stretch(a.config.DispatchWindow + a.config.LongestRequest)
	n := 0
	for _, it := range acc.items {
		if it.record.Settled || now.Sub(it.reservedAt) < life {
			continue
		}
		n++
		if a.config.LostPolicy == ReleaseLost {
			acc.settle(it, 0, now)
			continue
		}
		it.unconfirmed = true
		acc.settle(it, it.record.Amount, now)
	}
	for ref, until := range acc.withdrawn {
		if now.After(until) {
			delete(acc.withdrawn, ref)
		}
	}
	for ref, at := range acc.charged {
		if now.Sub(at) > a.config.KeyRetention {
			delete(acc.charged, ref)
		}
	}
	return n
}

// stretch returns a time that has passed on every clock once it has passed here.
func (a *Allocator) stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*a.config.MaxClockDrift)
}
