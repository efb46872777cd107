package biller

import (
	"slices"

	"laburnumline/contractor"
)

// BudgetAmount is an amount of tokens of one budget.
type BudgetAmount struct {
	Budget contractor.BudgetName
	Amount contractor.Tokens
}

// maxFormerKeepers is the maximum number of former keepers listed in a section.
const maxFormerKeepers = 8

// OpenSection makes the daemon named in s the keeper of its zone and starts the next
// epoch. The grants of earlier epochs are held until a resolved write.
func (l *Ledger) OpenSection(s Section) (Ledger, Section, error) {
	next := l.clone()
	i := next.sectionIndex(s.Zone)
	if i < 0 {
		next.Sections = append(next.Sections, Section{Zone: s.Zone})
		i = len(next.Sections) - 1
	}
	old := next.Sections[i]
	s.Epoch, s.FormerKeepers, s.UnaccountedEpoch, s.Behind = old.Epoch+1, old.replacedKeepers(next.isResolved(i)), old.UnaccountedEpoch, old.Behind
	next.Sections[i] = s
	for j := range next.Budgets {
		b := &next.Budgets[j]
		amount := b.grant(i)
		b.addGrant(i, -amount)
		b.addHeld(i, amount)
	}
	return next, s, nil
}

// replacedKeepers returns the former keepers after the section's keeper is replaced. If
// the list has to be truncated, its oldest keeper is marked as unwitnessed. Without
// that keeper's response, the reservations then do not count as fully known.
func (s *Section) replacedKeepers(resolved bool) []FormerKeeper {
	if s.VM == "" {
		return slices.Clone(s.FormerKeepers)
	}
	all := append([]FormerKeeper{{s.VM, s.Incarnation, s.Epoch, s.Unwitnessed, resolved, s.Operation}}, s.FormerKeepers...)
	if len(all) > maxFormerKeepers {
		all = all[:maxFormerKeepers]
		all[maxFormerKeepers-1].Unwitnessed = true
	}
	return all
}

// isResolved reports whether a section has neither held grants nor former keepers.
func (l *Ledger) isResolved(section int) bool {
	for i := range l.Budgets {
		if l.Budgets[i].held(section) > 0 {
			return false
		}
	}
	return len(l.Sections[section].FormerKeepers) == 0
}

// RecordWrite records a keeper's write in its section. It fails with ErrReplaced when
// the section has another epoch.
func (l *Ledger) RecordWrite(w SectionWrite) (Ledger, error) {
	i := l.sectionIndex(w.Zone)
	if i < 0 {
		return *l, l.newError("stamp", "", w.Zone, 0, ErrNoSection)
	}
	if l.Sections[i].Epoch != w.Epoch {
		return *l, l.newError("stamp", "", w.Zone, 0, ErrReplaced)
	}
	next := l.clone()
	section := &next.Sections[i]
	section.Operation = w.Operation
	section.Unwitnessed = w.Unwitnessed
	section.Behind = section.Behind && !w.Resolved
	if w.Resolved {
		next.resolve(i, w.Accounted)
	}
	return next, nil
}

// resolve turns a section's held grants into grants when the reservations of its former
// keepers are accounted for, otherwise into unaccounted amounts.
func (l *Ledger) resolve(section int, accounted bool) {
	s := &l.Sections[section]
	s.FormerKeepers = nil
	moved := contractor.Tokens(0)
	for i := range l.Budgets {
		b := &l.Budgets[i]
		amount := b.held(section)
		b.addHeld(section, -amount)
		if accounted {
			b.addGrant(section, amount)
			continue
		}
		b.addUnaccounted(section, amount)
		moved += amount
	}
	if moved > 0 {
		s.UnaccountedEpoch = s.Epoch - 1
		l.setBehind(section)
	}
}

// setBehind marks all other sections as behind. They have to be written before
// unaccounted amounts of the section may be released.
func (l *Ledger) setBehind(section int) {
	for i := range l.Sections {
		if i != section && l.Sections[i].Epoch > 0 {
			l.Sections[i].Behind = true
		}
	}
}

// AddGrants moves amounts from the free balances to the grants of a zone.
func (l *Ledger) AddGrants(zone contractor.Zone, amounts []BudgetAmount) (Ledger, error) {
	return l.changeGrants("grant", zone, amounts, func(b *Balance, section int, amount contractor.Tokens) bool {
		if amount > b.Free() {
			return false
		}
		b.addGrant(section, amount)
		return true
	})
}

// ReturnGrants moves amounts from the grants of a zone to the free balances.
func (l *Ledger) ReturnGrants(zone contractor.Zone, amounts []BudgetAmount) (Ledger, error) {
	return l.changeGrants("return", zone, amounts, func(b *Balance, section int, amount contractor.Tokens) bool {
		if amount > b.grant(section) {
			return false
		}
		b.addGrant(section, -amount)
		return true
	})
}

// MoveToUnaccounted moves amounts from the grants of a zone to unaccounted, because it
// is unknown whether they were spent. They count as spent until late settlements are
// charged to them or an operator releases them.
func (l *Ledger) MoveToUnaccounted(zone contractor.Zone, amounts []BudgetAmount) (Ledger, error) {
	return l.changeGrants("move to unaccounted", zone, amounts, func(b *Balance, section int, amount contractor.Tokens) bool {
		if amount > b.grant(section) {
			return false
		}
		b.addGrant(section, -amount)
		b.addUnaccounted(section, amount)
		return true
	})
}

func (l *Ledger) changeGrants(step string, zone contractor.Zone, amounts []BudgetAmount,
	apply func(b *Balance, section int, amount contractor.Tokens) bool) (Ledger, error) {
	next := l.clone()
	section := next.sectionIndex(zone)
	if section < 0 {
		return *l, l.newError(step, "", zone, 0, ErrNoSection)
	}
	for _, a := range amounts {
		b := next.Balance(a.Budget)
		if b == nil {
			return *l, l.newError(step, a.Budget, zone, a.Amount, ErrNoBudget)
		}
		if a.Amount < 0 {
			return *l, l.newError(step, a.Budget, zone, a.Amount, ErrAmount)
		}
		if !apply(b, section, a.Amount) {
			return *l, l.newError(step, a.Budget, zone, a.Amount, ErrNotCovered)
		}
	}
	return next, nil
}

// Transfer is an amount of one budget that moves between two zones.
type Transfer struct {
	ID     TransferID            `cbor:"1,keyasint"`
	Budget contractor.BudgetName `cbor:"2,keyasint"`
	From   contractor.Zone       `cbor:"3,keyasint"`
	To     contractor.Zone       `cbor:"4,keyasint"`
	Amount contractor.Tokens     `cbor:"5,keyasint"`
	// Epoch is the epoch of the sending keeper.
	Epoch contractor.Epoch `cbor:"6,keyasint"`
	// ToEpoch is the epoch of the receiving keeper.
	ToEpoch contractor.Epoch `cbor:"7,keyasint"`
}

// ApplyTransfer moves the amount between the grants of two zones, once per ID. The
// writer is the zone whose keeper writes the ledger. The other zone acknowledges the
// transfer with its own next write. The amount moves between the grants of the epochs
// that sent and received it, even if these grants are now held or unaccounted.
func (l *Ledger) ApplyTransfer(writer contractor.Zone, t Transfer) (Ledger, error) {
	from, to := l.sectionIndex(t.From), l.sectionIndex(t.To)
	if from < 0 || to < 0 {
		return *l, l.newError("apply transfer", t.Budget, t.From, t.Amount, ErrNoSection)
	}
	if l.IsApplied(t.ID) {
		return *l, nil
	}
	other := from
	if writer == t.From {
		other = to
	}
	if len(l.UnseenTransfers(l.Sections[other].Zone)) >= maxUnseenTransfers {
		return *l, l.newError("apply transfer", t.Budget, writer, t.Amount, ErrTransfersFull)
	}
	next := l.clone()
	b := next.Balance(t.Budget)
	if b == nil {
		return *l, l.newError("apply transfer", t.Budget, t.From, t.Amount, ErrNoBudget)
	}
	if t.Amount < 0 || !b.debitTransfer(&next.Sections[from], from, t) {
		return *l, l.newError("apply transfer", t.Budget, t.From, t.Amount, ErrNotCovered)
	}
	b.creditTransfer(&next.Sections[to], to, t)
	next.AppliedTransfers = append(next.AppliedTransfers, AppliedTransfer{ID: t.ID, Section: other})
	return next, nil
}

// grantState is the balance in which the ledger keeps the grant of an epoch.
type grantState uint8

const (
	grantUsable grantState = iota
	grantHeld
	grantUnaccounted
)

// grantStateOf returns the state of a section's grant of an epoch.
func (b *Balance) grantStateOf(s *Section, section int, epoch contractor.Epoch) grantState {
	switch {
	case epoch <= s.UnaccountedEpoch:
		return grantUnaccounted
	case epoch < s.Epoch && (b.held(section) > 0 || len(s.FormerKeepers) > 0):
		return grantHeld
	}
	return grantUsable
}

// debitTransfer takes the amount from the balance that has the grant of the sender's
// epoch. A usable grant may be exceeded by the held grants, since a keeper that knows
// the reservations of its predecessors may have sent these too. It returns false when
// the amount is not covered.
func (b *Balance) debitTransfer(from *Section, section int, t Transfer) bool {
	switch b.grantStateOf(from, section, t.Epoch) {
	case grantUnaccounted:
		if t.Amount > b.unaccounted(section) {
			return false
		}
		b.addUnaccounted(section, -t.Amount)
	case grantHeld:
		if t.Amount > b.held(section) {
			return false
		}
		b.addHeld(section, -t.Amount)
	default:
		part := min(t.Amount, b.grant(section))
		if t.Amount-part > b.held(section) {
			return false
		}
		b.addGrant(section, -part)
		b.addHeld(section, part-t.Amount)
	}
	return true
}

// creditTransfer adds the amount to the balance that has the grant of the receiver's
// epoch, because reservations of that epoch may have spent it.
func (b *Balance) creditTransfer(to *Section, section int, t Transfer) {
	switch b.grantStateOf(to, section, t.ToEpoch) {
	case grantUnaccounted:
		b.addUnaccounted(section, t.Amount)
	case grantHeld:
		b.addHeld(section, t.Amount)
	default:
		b.addGrant(section, t.Amount)
	}
}

// IsApplied reports whether the ledger contains a transfer that one zone has not
// acknowledged yet.
func (l *Ledger) IsApplied(id TransferID) bool {
	return slices.ContainsFunc(l.AppliedTransfers, func(t AppliedTransfer) bool { return t.ID == id })
}

// AcknowledgeTransfers removes the applied transfers that a zone had not acknowledged
// and returns their IDs. The zone's keeper calls it in a write, after which it uses the
// grants of the ledger.
func (l *Ledger) AcknowledgeTransfers(zone contractor.Zone) (Ledger, []TransferID) {
	section := l.sectionIndex(zone)
	next := l.clone()
	var seen []TransferID
	next.AppliedTransfers = slices.DeleteFunc(next.AppliedTransfers, func(t AppliedTransfer) bool {
		if t.Section != section {
			return false
		}
		seen = append(seen, t.ID)
		return true
	})
	return next, seen
}

// UnseenTransfers returns the applied transfers that a zone has not acknowledged.
func (l *Ledger) UnseenTransfers(zone contractor.Zone) []TransferID {
	section := l.sectionIndex(zone)
	var ids []TransferID
	for _, t := range l.AppliedTransfers {
		if t.Section == section {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// Reclaim closes the section of a zone that has not written for longer than its term.
// The epoch rises, the section has no keeper, and its grants become unaccounted.
func (l *Ledger) Reclaim(zone contractor.Zone) (Ledger, error) {
	section := l.sectionIndex(zone)
	if section < 0 {
		return *l, l.newError("reclaim", "", zone, 0, ErrNoSection)
	}
	next := l.clone()
	old := next.Sections[section]
	next.Sections[section] = Section{Zone: zone, Epoch: old.Epoch + 1, UnaccountedEpoch: old.Epoch, Behind: old.Behind}
	next.setBehind(section)
	for i := range next.Budgets {
		b := &next.Budgets[i]
		amount := b.grant(section) + b.held(section)
		b.addGrant(section, -b.grant(section))
		b.addHeld(section, -b.held(section))
		b.addUnaccounted(section, amount)
	}
	return next, nil
}

// CloseSection removes the keeper of a section at a planned stop. It requires that the
// ledger and the zone's entry daemons together know everything that the keeper knows.
func (l *Ledger) CloseSection(write SectionWrite) (Ledger, error) {
	next, err := l.RecordWrite(write)
	if err != nil {
		return *l, err
	}
	s := &next.Sections[next.sectionIndex(write.Zone)]
	s.VM, s.Incarnation = "", 0
	return next, nil
}
