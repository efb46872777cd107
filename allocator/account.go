package allocator

import (
	"slices"
	"strings"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// account is the state of one account's keeper.
type account struct {
	name         contractor.Account
	section      biller.Section
	revision     contractor.Revision
	pages        uint64
	budgets      []budget // sorted by name
	reservations map[reserver.Ref]*reservation
	// settled are the settled items in the order of their settlement.
	settled  []*reservation
	sent     map[biller.TransferID]*sentTransfer
	received map[biller.TransferID]biller.Transfer
	// appliedTransfers are transfers that the adopted grants contain, and that are still
	// listed in the ledger because the predecessors' state is not known yet.
	appliedTransfers []biller.TransferID
	// requested are the transfers that this keeper has asked for.
	requested map[biller.TransferID]time.Time
	// cancelled are reservations that were given up, maybe before they were
	// asked for.
	cancelled map[reserver.Ref]time.Time
	// unconfirmed are lost reservations that the ledger holds as unconfirmed lines.
	unconfirmed map[reserver.Ref]time.Time
	plan        *Plan
	// writtenAt is the time before the section's last successful write.
	writtenAt      time.Time
	flushedAt      time.Time
	ratesUpdatedAt time.Time
	// closing is true once the keeper has begun to end its duty.
	closing bool
	// wantUnwitnessed asks for a section without a witness.
	wantUnwitnessed bool
	sealing         *sealing
	// resolved is true once the ledger holds nothing of earlier epochs.
	resolved bool
	// accounted is true when everything that the predecessors gave is known.
	accounted     bool
	witness       witness
	otherSections map[contractor.Zone]observedSection
}

// observedSection is when a section of another zone was first seen in its state.
type observedSection struct {
	operation biller.OperationID
	epoch     contractor.Epoch
	at        time.Time
}

type budget struct {
	name contractor.BudgetName
	// granted is the zone's grant in the ledger.
	granted contractor.Tokens
	// transferred is what unapplied transfers have added or subtracted.
	transferred contractor.Tokens
	reserved    contractor.Tokens
	unflushed   contractor.Tokens
	// returning is what a flush under way gives back.
	returning contractor.Tokens
	// held is what the ledger holds of earlier epochs. It may be used when it is
	// trusted: the keeper knows what its predecessors gave.
	held      contractor.Tokens
	accounted bool
	// demand is what the waiting requests ask for.
	demand contractor.Tokens
	// consumed is the net use since the last plan.
	consumed contractor.Tokens
	// rate is the average draw in tokens per second.
	rate float64
	// typicalSize is the size of a recent request.
	typicalSize contractor.Tokens
	// ledgerFree is the free balance of the ledger at the last write.
	ledgerFree contractor.Tokens
	// ledgerExhausted is when the ledger had no free balance, in Unix nanoseconds.
	ledgerExhausted int64
	// zonesExhausted is when no zone could give dryLeast, in Unix nanoseconds.
	zonesExhausted    int64
	zonesExhaustedMin contractor.Tokens
}

func (b *budget) free() contractor.Tokens {
	free := b.granted + b.transferred - b.reserved - b.unflushed - b.returning
	if b.accounted {
		free += b.held
	}
	return free
}

func (b *budget) ledgerExhaustedAt() time.Time { return unixTime(b.ledgerExhausted) }

func unixTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// reservation is one reservation or settlement.
type reservation struct {
	record     reserver.Record
	reservedAt time.Time
	// recheck means that older pages may hold the settlement.
	recheck     bool
	unconfirmed bool
	// late means that the amount is not part of the budget's totals.
	late bool
	// fromUnaccounted means that a predecessor gave the reservation from grants that are
	// not trusted.
	fromUnaccounted bool
}

type sentTransfer struct {
	transfer biller.Transfer
	// recovered means that a predecessor sent the transfer; it may be applied already.
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

func (a *account) budget(name contractor.BudgetName) *budget {
	i, ok := slices.BinarySearchFunc(a.budgets, name, func(b budget, n contractor.BudgetName) int {
		return strings.Compare(string(b.name), string(n))
	})
	if !ok {
		return nil
	}
	return &a.budgets[i]
}

// adopt takes the zone's grants from a ledger that the keeper has written. They
// contain the transfers that other zones have applied.
func (a *account) adopt(zone contractor.Zone, l *biller.Ledger) {
	a.read(zone, l)
	a.appliedTransfers = l.Waiting(zone)
	for _, id := range a.appliedTransfers {
		a.endTransfer(id)
	}
}

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

// unwitnessed reports whether the ledger says that the keeper has no witness. A write
// under way may have ended that already.
func (a *account) unwitnessed() bool {
	becomesWitnessed := a.plan != nil && !a.plan.Section.Alone
	return a.section.Alone && a.witness.peer.VM == "" && !becomesWitnessed
}

// readFreeBalances takes what a ledger that was only read says about the free balance.
// The grants of known budgets stay, because transfers may be unseen.
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

// needsWitness reports whether a reservation has to be known to the witness
// before it is used: the keeper's own, and those of entries whose silence the
// witness covers.
func (a *account) needsWitness(entry, self reserver.Holder) bool {
	covered := entry == self || slices.Contains(a.witness.covered, entry)
	return covered && !a.unwitnessed()
}

// isDuplicate reports whether a reservation was asked for or given up before.
func (a *account) isDuplicate(now time.Time, ref reserver.Ref) bool {
	until, ok := a.cancelled[ref]
	return a.reservations[ref] != nil || (ok && now.Before(until))
}

// settle turns an open item into a line of the next flush.
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

// forget forgets an item that needs no line.
func (a *account) forget(r *reservation) {
	delete(a.reservations, r.record.Ref)
	a.witness.markDropped(r.record.Ref)
}
