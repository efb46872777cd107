package allocator

import (
	"slices"
	"strings"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// account is the state of the keeper of one account.
type account struct {
	name         contractor.Account
	section      biller.Section
	revision     contractor.Revision
	pages        uint64
	budgets      []budget // sorted by name
	reservations map[reserver.Ref]*reservation
	// settled are the settled reservations that are not in the ledger yet, in the order
	// of their settlement.
	settled []*reservation
	sent    map[biller.TransferID]*sentTransfer
	// received are transfers from other zones that the ledger does not contain yet.
	received map[biller.TransferID]biller.Transfer
	// appliedTransfers are transfers that the ledger's grants contain and that it still
	// lists. This keeper acknowledges them once the former keepers' state is known.
	appliedTransfers []biller.TransferID
	// requested are the transfers that this keeper has requested, with the times at
	// which the requests expire.
	requested map[biller.TransferID]time.Time
	// cancelled are reservations that the entry has given up, possibly before the
	// keeper received the request, with the times until which they are remembered.
	cancelled map[reserver.Ref]time.Time
	// unconfirmed are lost reservations that the ledger holds as unconfirmed lines.
	unconfirmed map[reserver.Ref]time.Time
	plan        *Plan
	// writtenAt is the time before the last successful write of the section. The term
	// of the grants counts from it.
	writtenAt      time.Time
	flushedAt      time.Time
	ratesUpdatedAt time.Time
	// closing is true once the keeper has started its last write.
	closing bool
	// wantUnwitnessed requests a section without a witness from the next write.
	wantUnwitnessed bool
	sealing         *sealing
	// resolved is true once the ledger holds no grants of earlier epochs.
	resolved bool
	// accounted is true when all that the former keepers granted is known.
	accounted     bool
	witness       witness
	otherSections map[contractor.Zone]observedSection
}

// observedSection is the state of another zone's section and when it was first seen.
type observedSection struct {
	operation biller.OperationID
	epoch     contractor.Epoch
	since     time.Time
}

type budget struct {
	name contractor.BudgetName
	// granted is the zone's grant in the ledger.
	granted contractor.Tokens
	// transferred is the net amount of transfers that the ledger does not contain yet.
	transferred contractor.Tokens
	reserved    contractor.Tokens
	unflushed   contractor.Tokens
	// returning is what the write in progress returns to the ledger.
	returning contractor.Tokens
	// held is the ledger's grant of earlier epochs. It may be used if accounted is
	// true, that is if all that the former keepers granted is known.
	held      contractor.Tokens
	accounted bool
	// demand is the sum of the amounts of waiting requests.
	demand contractor.Tokens
	// consumed is the net amount reserved since the last update of rate.
	consumed contractor.Tokens
	// rate is the average consumption in tokens per second.
	rate float64
	// typicalSize is the size of recent requests: a maximum that falls with each
	// request.
	typicalSize contractor.Tokens
	// ledgerFree is the free balance of the ledger when it was last read.
	ledgerFree contractor.Tokens
	// ledgerExhaustedNanos is when the ledger was found without free balance, in Unix
	// nanoseconds.
	ledgerExhaustedNanos int64
	// zonesExhaustedNanos is when no other zone could transfer zonesExhaustedMin, in
	// Unix nanoseconds.
	zonesExhaustedNanos int64
	zonesExhaustedMin   contractor.Tokens
}

// free returns what can be reserved or transferred now.
func (b *budget) free() contractor.Tokens {
	free := b.granted + b.transferred - b.reserved - b.unflushed - b.returning
	if b.accounted {
		free += b.held
	}
	return free
}

func (b *budget) ledgerExhaustedAt() time.Time { return unixTime(b.ledgerExhaustedNanos) }

func unixTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// reservation is an open or settled reservation.
type reservation struct {
	record     reserver.Record
	reservedAt time.Time
	// recheck means that older pages of the bill may contain the settlement.
	recheck     bool
	unconfirmed bool
	// late means that the budget's totals do not contain the amount.
	late bool
	// fromUnaccounted means that a former keeper approved the reservation and that its
	// grants are unaccounted.
	fromUnaccounted bool
}

// sentTransfer is a transfer to another zone that the ledger does not contain yet.
type sentTransfer struct {
	transfer biller.Transfer
	// recovered means that a former keeper sent the transfer. The ledger may contain
	// it.
	recovered bool
}

func newAccount(name contractor.Account) *account {
	return &account{
		name:          name,
		reservations:  make(map[reserver.Ref]*reservation),
		sent:          make(map[biller.TransferID]*sentTransfer),
		received:      make(map[biller.TransferID]biller.Transfer),
		requested:     make(map[biller.TransferID]time.Time),
		cancelled:     make(map[reserver.Ref]time.Time),
		unconfirmed:   make(map[reserver.Ref]time.Time),
		otherSections: make(map[contractor.Zone]observedSection),
	}
}

// budget returns the state of a budget, or nil.
func (a *account) budget(name contractor.BudgetName) *budget {
	i, ok := slices.BinarySearchFunc(a.budgets, name, func(b budget, n contractor.BudgetName) int {
		return strings.Compare(string(b.name), string(n))
	})
	if !ok {
		return nil
	}
	return &a.budgets[i]
}

// adopt takes over the zone's grants from a ledger that the keeper has written. They
// contain the transfers that other zones have applied.
func (a *account) adopt(zone contractor.Zone, l *biller.Ledger) {
	a.read(zone, l)
	a.appliedTransfers = l.UnseenTransfers(zone)
	for _, id := range a.appliedTransfers {
		a.endTransfer(id)
	}
}

// read replaces the grants and free balances by those of the ledger.
func (a *account) read(zone contractor.Zone, l *biller.Ledger) {
	next := a.budgets
	if len(next) != len(l.Budgets) {
		next = make([]budget, len(l.Budgets))
	}
	for i := range l.Budgets {
		name := l.Budgets[i].Name
		b := budget{name: name}
		if old := a.budget(name); old != nil {
			b = *old
		}
		b.granted, b.held, b.accounted = l.Grant(zone, name), l.Held(zone, name), a.accounted
		b.ledgerFree = l.Budgets[i].Free()
		next[i] = b
	}
	a.budgets = next
	a.pages = l.Pages
	a.section, _ = l.Section(zone)
}

// unwitnessed reports whether the keeper may serve without a witness. A write in
// progress that ends this right may have taken effect already.
func (a *account) unwitnessed() bool {
	becomesWitnessed := a.plan != nil && !a.plan.Section.Unwitnessed
	return a.section.Unwitnessed && a.witness.peer.VM == "" && !becomesWitnessed
}

// readFreeBalances updates the free balances from a ledger that was read and not
// written. The grants of known budgets stay, because the ledger's grants may contain
// transfers that the keeper has not acknowledged.
func (a *account) readFreeBalances(zone contractor.Zone, l *biller.Ledger) {
	old := make(map[contractor.BudgetName]budget, len(a.budgets))
	for _, b := range a.budgets {
		old[b.name] = b
	}
	previous := *a
	a.read(zone, l)
	a.section, a.pages = previous.section, max(previous.pages, l.Pages)
	for name, previousBudget := range old {
		b := a.budget(name)
		b.granted, b.held, b.transferred = previousBudget.granted, previousBudget.held, previousBudget.transferred
	}
}

// needsWitness reports whether the witness has to confirm a reservation before it is
// used. This holds for reservations of the keeper's own entry and of entries that are
// gone: no other daemon has a copy.
func (a *account) needsWitness(entry, self reserver.DaemonID) bool {
	covered := entry == self || slices.Contains(a.witness.covered, entry)
	return covered && !a.unwitnessed()
}

// isDuplicate reports whether a reservation was requested or cancelled before.
func (a *account) isDuplicate(now time.Time, ref reserver.Ref) bool {
	until, ok := a.cancelled[ref]
	return a.reservations[ref] != nil || (ok && now.Before(until))
}

// settle turns an open reservation into a line of the next flush.
func (a *account) settle(r *reservation, used contractor.Tokens, at time.Time) {
	used = min(max(0, used), r.record.Amount)
	r.record.Settled, r.record.Used, r.record.At = true, used, at
	if !r.late {
		b := a.budget(r.record.Budget)
		b.reserved -= r.record.Amount
		b.consumed -= r.record.Amount - used
		b.unflushed += used
	}
	if used == 0 {
		a.forget(r)
		return
	}
	a.settled = append(a.settled, r)
	a.witness.markChanged(r.record.Ref)
}

// forget removes a reservation that needs no line, or whose line is in the ledger.
func (a *account) forget(r *reservation) {
	delete(a.reservations, r.record.Ref)
	a.witness.markDropped(r.record.Ref)
}
