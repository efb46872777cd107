package allocator

import (
	"time"

	"laburnumline/contractor"
	"laburnumline/reserver"
)

// SettleResponse is the keeper's response to a batch of settlements.
type SettleResponse struct {
	NotKeeper bool
	Epoch     contractor.Epoch
	// Done are settlements that the entry may forget because they need no line. It
	// keeps the others until the ledger contains them.
	Done []uint64
}

// Settle applies settlements of an entry. It is idempotent by their Ref.
func (a *Allocator) Settle(now time.Time, name contractor.Account, records []reserver.Record) SettleResponse {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return SettleResponse{NotKeeper: true}
	}
	response := SettleResponse{Epoch: acc.section.Epoch}
	for _, v := range records {
		if v.Epoch > acc.section.Epoch {
			return SettleResponse{NotKeeper: true}
		}
	}
	for _, v := range records {
		if a.settleOne(now, acc, v) {
			response.Done = append(response.Done, v.Ref.ID)
		}
	}
	return response
}

// settleOne applies one settlement and reports whether the entry may forget it.
func (a *Allocator) settleOne(now time.Time, acc *account, v reserver.Record) bool {
	r, ok := acc.reservations[v.Ref]
	switch {
	case ok && r.record.Settled:
		return false
	case ok:
		acc.settle(r, v.Used, v.At)
		return v.Used == 0
	case acc.sealing != nil && v.Epoch < acc.section.Epoch:
		acc.sealing.add(v)
		return false
	case v.Used == 0 && acc.unconfirmed[v.Ref].IsZero():
		acc.cancelled[v.Ref] = now.Add(a.config.DispatchWindow)
		return true
	case acc.budget(v.Budget) == nil:
		return false
	}
	delete(acc.unconfirmed, v.Ref)
	r = &reservation{record: v, late: true, recheck: true, reservedAt: now}
	acc.reservations[v.Ref] = r
	acc.settled = append(acc.settled, r)
	acc.witness.markChanged(v.Ref)
	return false
}

// Cancel frees a reservation whose approval could not be delivered.
func (a *Allocator) Cancel(now time.Time, name contractor.Account, ref reserver.Ref) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return
	}
	if r, ok := acc.reservations[ref]; ok && !r.record.Settled {
		acc.settle(r, 0, now)
		acc.cancelled[ref] = now.Add(a.config.DispatchWindow)
	}
}

// expire settles reservations that can neither be dispatched nor be executing any more,
// and forgets old cancellations and unconfirmed lines.
func (a *Allocator) expire(now time.Time, acc *account) int {
	lifetime := a.withDrift(a.config.DispatchWindow + a.config.LongestRequest)
	expired := 0
	for _, r := range acc.reservations {
		if r.record.Settled || now.Sub(r.reservedAt) < lifetime {
			continue
		}
		expired++
		if a.config.LostPolicy == ReleaseLost {
			acc.settle(r, 0, now)
			continue
		}
		r.unconfirmed = true
		acc.settle(r, r.record.Amount, now)
	}
	for ref, until := range acc.cancelled {
		if now.After(until) {
			delete(acc.cancelled, ref)
		}
	}
	for ref, at := range acc.unconfirmed {
		if now.Sub(at) > a.config.KeyRetention {
			delete(acc.unconfirmed, ref)
		}
	}
	return expired
}

// withDrift returns a duration on this daemon's clock after which d has passed on every
// clock of the fleet.
func (a *Allocator) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*a.config.MaxClockDrift)
}
