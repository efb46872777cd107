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
	name     contractor.Account
	section  biller.Section
	revision contractor.Revision
	pages    uint64
	budgets  []budget // sorted by name
	items    map[reserver.Ref]*item
	// lines are the settled items in the order of their settlement.
	lines []*item
	out   map[biller.TransferID]*outgoing
	in    map[biller.TransferID]biller.Transfer
	// applied are transfers that the adopted grants contain, and that are still
	// listed in the ledger because the predecessors' state is not known yet.
	applied []biller.TransferID
	// asks are the transfers that this keeper has asked for.
	asks map[biller.TransferID]time.Time
	// withdrawn are reservations that were given up, maybe before they were
	// asked for.
	withdrawn map[reserver.Ref]time.Time
	// charged are lost reservations that the ledger holds as unconfirmed lines.
	charged map[reserver.Ref]time.Time
	plan    *Plan
	// writtenAt is the time before the section's last successful write.
	writtenAt time.Time
	flushedAt time.Time
	drawnAt   time.Time
	// closing is true once the keeper has begun to end its duty.
	closing bool
	// wantAlone asks for a section without a witness.
	wantAlone bool
	sealing   *sealing
	// resolved is true once the ledger holds nothing of earlier epochs.
	resolved bool
	// trusted is true when everything that the predecessors gave is known.
	trusted bool
	witness witness
	silent  map[contractor.Zone]observed
}

// observed is when a section of another zone was first seen in its state.
type observed struct {
	operation biller.OperationID
	epoch     contractor.Epoch
	at        time.Time
}

type budget struct {
	name contractor.BudgetName
	// granted is the zone's grant in the ledger.
	granted contractor.Tokens
	// moved is what unapplied transfers have added or subtracted.
	moved     contractor.Tokens
	reserved  contractor.Tokens
	unflushed contractor.Tokens
	// returning is what a flush under way gives back.
	returning contractor.Tokens
	// held is what the ledger holds of earlier epochs. It may be used when it is
	// trusted: the keeper knows what its predecessors gave.
	held    contractor.Tokens
	trusted bool
	// demand is what the waiting requests ask for.
	demand contractor.Tokens
	// drawn is the net use since the last plan.
	drawn contractor.Tokens
	// rate is the average draw in tokens per second.
	rate float64
	// unit is the size of a recent request.
	unit contractor.Tokens
	// left is the free balance of the ledger at the last write.
	left contractor.Tokens
	// exhausted is when the ledger had no free balance, in Unix nanoseconds.
	exhausted int64
	// dry is when no zone could give dryLeast, in Unix nanoseconds.
	dry      int64
	dryLeast contractor.Tokens
}

func (b *budget) free() contractor.Tokens {
	free := b.granted + b.moved - b.reserved - b.unflushed - b.returning
	if b.trusted {
		free += b.held
	}
	return free
}

func (b *budget) exhaustedAt() time.Time { return unixTime(b.exhausted) }

func unixTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// item is one reservation or settlement.
type item struct {
	record     reserver.Record
	reservedAt time.Time
	// recheck means that older pages may hold the settlement.
	recheck     bool
	unconfirmed bool
	// late means that the amount is not part of the budget's totals.
	late bool
	// old means that a predecessor gave the reservation from grants that are
	// not trusted.
	old bool
}

type outgoing struct {
	transfer biller.Transfer
	// recovered means that a predecessor sent the transfer; it may be applied already.
	recovered bool
}

func newAccount(name contractor.Account) *account {
	return &account{
		name:      name,
		items:     make(map[reserver.Ref]*item),
		out:       make(map[biller.TransferID]*outgoing),
		in:        make(map[biller.TransferID]biller.Transfer),
		asks:      make(map[biller.TransferID]time.Time),
		withdrawn: make(map[reserver.Ref]time.Time),
		charged:   make(map[reserver.Ref]time.Time),
		silent:    make(map[contractor.Zone]observed),
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
	a.applied = l.UnseenTransfers(zone)
	for _, id := range a.applied {
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
		b.granted, b.held, b.trusted = l.Grant(zone, name), l.Held(zone, name), a.trusted
		b.left = l.Budgets[i].Free()
		next[i] = b
	}
	a.budgets = next
	a.pages = l.Pages
	a.section, _ = l.Section(zone)
}

// alone reports whether the ledger says that the keeper has no witness. A write
// under way may have ended that already.
func (a *account) alone() bool {
	ending := a.plan != nil && !a.plan.Stamp.Unwitnessed
	return a.section.Unwitnessed && a.witness.peer.VM == "" && !ending
}

// notice takes what a ledger that was only read says about the free balance.
// The grants of known budgets stay, because transfers may be unseen.
func (a *account) notice(zone contractor.Zone, l *biller.Ledger) {
	old := make(map[contractor.BudgetName]budget, len(a.budgets))
	for _, b := range a.budgets {
		old[b.name] = b
	}
	kept := *a
	a.read(zone, l)
	a.section, a.pages = kept.section, max(kept.pages, l.Pages)
	for name, was := range old {
		b := a.budget(name)
		b.granted, b.held, b.moved = was.granted, was.held, was.moved
	}
}

// needsWitness reports whether a reservation has to be known to the witness
// before it is used: the keeper's own, and those of entries whose silence the
// witness covers.
func (a *account) needsWitness(entry, self reserver.DaemonID) bool {
	known := entry == self || slices.Contains(a.witness.covers, entry)
	return known && !a.alone()
}

// knows reports whether a reservation was asked for or given up before.
func (a *account) knows(now time.Time, ref reserver.Ref) bool {
	until, ok := a.withdrawn[ref]
	return a.items[ref] != nil || (ok && now.Before(until))
}

// settle turns an open item into a line of the next flush.
func (a *account) settle(it *item, used contractor.Tokens, at time.Time) {
	used = min(max(0, used), it.record.Amount)
	it.record.Settled, it.record.Used, it.record.At = true, used, at
	if !it.late {
		b := a.budget(it.record.Budget)
		b.reserved -= it.record.Amount
		b.drawn -= it.record.Amount - used
		b.unflushed += used
	}
	if used == 0 {
		a.drop(it)
		return
	}
	a.lines = append(a.lines, it)
	a.witness.change(it.record.Ref)
}

// drop forgets an item that needs no line.
func (a *account) drop(it *item) {
	delete(a.items, it.record.Ref)
	a.witness.drop(it.record.Ref)
}
