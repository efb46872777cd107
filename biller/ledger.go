package biller

import (
	"slices"
	"sort"

	"laburnumline/contractor"
)

// maxUnseenTransfers is the maximum number of applied transfers that one zone has not
// acknowledged.
const maxUnseenTransfers = 64

// OperationID identifies one write of a section. Zero means none.
type OperationID uint64

// TransferID identifies one transfer between zones.
type TransferID [16]byte

// Balance holds the totals of one budget. The slices have one amount per section of the
// ledger, in the order of its sections; missing amounts are zero.
type Balance struct {
	Name        contractor.BudgetName `cbor:"1,keyasint"`
	Prepaid     contractor.Tokens     `cbor:"2,keyasint"`
	Settled     contractor.Tokens     `cbor:"3,keyasint,omitempty"`
	Unaccounted contractor.Tokens     `cbor:"4,keyasint,omitempty"`
	// Grants are the amounts that the sections' keepers may reserve.
	Grants []contractor.Tokens `cbor:"5,keyasint,omitempty"`
	// UnaccountedBySection are the parts of Unaccounted by the section whose grants they
	// were.
	UnaccountedBySection []contractor.Tokens `cbor:"6,keyasint,omitempty"`
	// Held are the grants of earlier epochs. They may not be reserved until the section's
	// keeper knows the reservations that its predecessors granted.
	Held []contractor.Tokens `cbor:"7,keyasint,omitempty"`
}

// Granted returns the sum of the grants, including held ones.
func (b *Balance) Granted() contractor.Tokens { return sumOf(b.Grants) + sumOf(b.Held) }

func sumOf(amounts []contractor.Tokens) contractor.Tokens {
	var sum contractor.Tokens
	for _, a := range amounts {
		sum += a
	}
	return sum
}

// Free returns the amount that is neither settled, unaccounted nor granted.
func (b *Balance) Free() contractor.Tokens {
	return b.Prepaid - b.Settled - b.Unaccounted - b.Granted()
}

func (b *Balance) grant(section int) contractor.Tokens { return amountAt(b.Grants, section) }

func (b *Balance) unaccounted(section int) contractor.Tokens {
	return amountAt(b.UnaccountedBySection, section)
}

func (b *Balance) held(section int) contractor.Tokens { return amountAt(b.Held, section) }

func (b *Balance) addHeld(section int, amount contractor.Tokens) {
	b.Held = addAt(b.Held, section, amount)
}

func (b *Balance) addGrant(section int, amount contractor.Tokens) {
	b.Grants = addAt(b.Grants, section, amount)
}

func (b *Balance) addUnaccounted(section int, amount contractor.Tokens) {
	b.UnaccountedBySection = addAt(b.UnaccountedBySection, section, amount)
	b.Unaccounted += amount
}

func amountAt(amounts []contractor.Tokens, section int) contractor.Tokens {
	if section >= len(amounts) {
		return 0
	}
	return amounts[section]
}

func addAt(amounts []contractor.Tokens, section int, amount contractor.Tokens) []contractor.Tokens {
	if amount == 0 {
		return amounts
	}
	for len(amounts) <= section {
		amounts = append(amounts, 0)
	}
	amounts[section] += amount
	return amounts
}

// Section is the part of a ledger that the keeper of one zone writes.
type Section struct {
	Zone        contractor.Zone        `cbor:"1,keyasint"`
	VM          contractor.VM          `cbor:"2,keyasint"`
	Incarnation contractor.Incarnation `cbor:"3,keyasint"`
	Epoch       contractor.Epoch       `cbor:"4,keyasint"`
	// Operation is the section's last write. A keeper that lost the store's response
	// reads here whether its write took effect.
	Operation OperationID `cbor:"5,keyasint"`
	// Unwitnessed is true while the keeper may grant reservations to its own daemon
	// although no other daemon has a replica of them.
	Unwitnessed bool `cbor:"6,keyasint,omitempty"`
	// FormerKeepers are the keepers, newest first, whose reservations the current keeper
	// may not have taken over yet.
	FormerKeepers []FormerKeeper `cbor:"7,keyasint,omitempty"`
	// UnaccountedEpoch is the latest epoch whose remaining grants were moved to
	// unaccounted.
	UnaccountedEpoch contractor.Epoch `cbor:"8,keyasint,omitempty"`
	// Behind is true from the time at which another section's grants were moved to
	// unaccounted until the next resolved write of this section. That write applies every
	// transfer that this section has received from the other one.
	Behind bool `cbor:"9,keyasint,omitempty"`
}

// FormerKeeper is a former keeper of a section.
type FormerKeeper struct {
	VM          contractor.VM          `cbor:"1,keyasint"`
	Incarnation contractor.Incarnation `cbor:"2,keyasint"`
	Epoch       contractor.Epoch       `cbor:"3,keyasint"`
	// Unwitnessed is the keeper's last value of Section.Unwitnessed.
	Unwitnessed bool `cbor:"4,keyasint,omitempty"`
	// Resolved is true when the keeper had taken over the state of its predecessors.
	Resolved bool `cbor:"5,keyasint,omitempty"`
	// Operation is the keeper's last write.
	Operation OperationID `cbor:"6,keyasint,omitempty"`
}

// SectionWrite describes one write of a section by its keeper.
type SectionWrite struct {
	Zone      contractor.Zone
	Epoch     contractor.Epoch
	Operation OperationID
	// Unwitnessed is the new value of Section.Unwitnessed.
	Unwitnessed bool
	// Resolved is true once the keeper has collected what is known of the reservations of
	// its predecessors.
	Resolved bool
	// Accounted is true when all reservations of the predecessors are known. A resolved
	// write then turns the held grants into grants, otherwise into unaccounted amounts.
	Accounted bool
}

// AppliedTransfer is a transfer in the ledger that one of its zones has not acknowledged.
type AppliedTransfer struct {
	ID TransferID `cbor:"1,keyasint"`
	// Section is the index of the section that has to acknowledge it.
	Section int `cbor:"2,keyasint"`
}

// Ledger holds the balances of one client account.
type Ledger struct {
	Account  contractor.Account `cbor:"1,keyasint"`
	Budgets  []Balance          `cbor:"2,keyasint"` // sorted by name
	Sections []Section          `cbor:"3,keyasint,omitempty"`
	// Pages is the number of pages of the bill.
	Pages            uint64            `cbor:"4,keyasint,omitempty"`
	AppliedTransfers []AppliedTransfer `cbor:"5,keyasint,omitempty"`
}

// Check returns ErrInvariant when a balance violates the invariant.
func (l *Ledger) Check() error {
	for i := range l.Budgets {
		b := &l.Budgets[i]
		broken := b.Free() < 0 || b.Settled < 0 || b.Unaccounted < 0 || b.Prepaid > contractor.MaxPrepaid
		for _, amounts := range [][]contractor.Tokens{b.Grants, b.Held, b.UnaccountedBySection} {
			broken = broken || slices.ContainsFunc(amounts, func(a contractor.Tokens) bool { return a < 0 })
		}
		broken = broken || sumOf(b.UnaccountedBySection) > b.Unaccounted
		if broken {
			return l.newError("check", b.Name, "", b.Free(), ErrInvariant)
		}
	}
	return nil
}

// Balance returns a budget or nil.
func (l *Ledger) Balance(name contractor.BudgetName) *Balance {
	i, ok := l.budgetIndex(name)
	if !ok {
		return nil
	}
	return &l.Budgets[i]
}

// Section returns the section of a zone.
func (l *Ledger) Section(zone contractor.Zone) (Section, bool) {
	i := l.sectionIndex(zone)
	if i < 0 {
		return Section{}, false
	}
	return l.Sections[i], true
}

// Grant returns a zone's grant of a budget, without held grants.
func (l *Ledger) Grant(zone contractor.Zone, name contractor.BudgetName) contractor.Tokens {
	i, b := l.sectionIndex(zone), l.Balance(name)
	if i < 0 || b == nil {
		return 0
	}
	return b.grant(i)
}

// Held returns a zone's held grants of a budget.
func (l *Ledger) Held(zone contractor.Zone, name contractor.BudgetName) contractor.Tokens {
	i, b := l.sectionIndex(zone), l.Balance(name)
	if i < 0 || b == nil {
		return 0
	}
	return b.held(i)
}

func (l *Ledger) budgetIndex(name contractor.BudgetName) (int, bool) {
	return slices.BinarySearchFunc(l.Budgets, name, func(b Balance, n contractor.BudgetName) int {
		switch {
		case b.Name < n:
			return -1
		case b.Name > n:
			return 1
		}
		return 0
	})
}

func (l *Ledger) sectionIndex(zone contractor.Zone) int {
	return slices.IndexFunc(l.Sections, func(s Section) bool { return s.Zone == zone })
}

// clone returns a deep copy. Transitions change the copy, never their receiver.
func (l *Ledger) clone() Ledger {
	next := *l
	next.Budgets = slices.Clone(l.Budgets)
	next.Sections = slices.Clone(l.Sections)
	next.AppliedTransfers = slices.Clone(l.AppliedTransfers)
	for i := range next.Sections {
		next.Sections[i].FormerKeepers = slices.Clone(next.Sections[i].FormerKeepers)
	}
	for i := range next.Budgets {
		next.Budgets[i].Grants = slices.Clone(next.Budgets[i].Grants)
		next.Budgets[i].UnaccountedBySection = slices.Clone(next.Budgets[i].UnaccountedBySection)
		next.Budgets[i].Held = slices.Clone(next.Budgets[i].Held)
	}
	return next
}

func (l *Ledger) newError(step string, budget contractor.BudgetName, zone contractor.Zone, amount contractor.Tokens, err error) error {
	return &Error{Step: step, Account: l.Account, Budget: budget, Zone: zone, Amount: amount, Err: err}
}

// AddBudgets adds the budgets of a contract that the ledger does not have yet and
// reports whether it added any. Budgets that are no longer in the contract keep
// their balances.
func (l *Ledger) AddBudgets(c *contractor.Contract) (Ledger, bool, error) {
	next := l.clone()
	next.Account = c.Account
	for _, b := range c.Budgets {
		if l.Balance(b.Name) != nil {
			continue
		}
		if b.Prepaid < 0 || b.Prepaid > contractor.MaxPrepaid {
			return *l, false, l.newError("sync", b.Name, "", b.Prepaid, ErrAmount)
		}
		next.Budgets = append(next.Budgets, Balance{Name: b.Name, Prepaid: b.Prepaid})
	}
	sort.Slice(next.Budgets, func(i, j int) bool { return next.Budgets[i].Name < next.Budgets[j].Name })
	return next, len(next.Budgets) != len(l.Budgets), next.Check()
}

// TopUp raises the prepaid total of a budget.
func (l *Ledger) TopUp(name contractor.BudgetName, amount contractor.Tokens) (Ledger, error) {
	next := l.clone()
	b := next.Balance(name)
	if b == nil {
		return *l, l.newError("top up", name, "", amount, ErrNoBudget)
	}
	if amount <= 0 || amount > contractor.MaxPrepaid-b.Prepaid {
		return *l, l.newError("top up", name, "", amount, ErrAmount)
	}
	b.Prepaid += amount
	return next, nil
}

// ReleaseUnaccounted moves an unaccounted amount to the free balance at an operator's
// request. It fails with ErrBehind while a zone may still have to apply a transfer
// that takes from the amount.
func (l *Ledger) ReleaseUnaccounted(name contractor.BudgetName, amount contractor.Tokens) (Ledger, error) {
	for _, s := range l.Sections {
		if s.Behind {
			return *l, l.newError("release", name, s.Zone, amount, ErrBehind)
		}
	}
	return l.ForceRelease(name, amount)
}

// ForceRelease is ReleaseUnaccounted without the check for zones that are behind. It is
// meant for zones that will never return.
func (l *Ledger) ForceRelease(name contractor.BudgetName, amount contractor.Tokens) (Ledger, error) {
	next := l.clone()
	b := next.Balance(name)
	if b == nil {
		return *l, l.newError("release", name, "", amount, ErrNoBudget)
	}
	if amount <= 0 || amount > b.Unaccounted {
		return *l, l.newError("release", name, "", amount, ErrNotCovered)
	}
	b.Unaccounted -= amount
	for i := range b.UnaccountedBySection {
		excess := max(0, sumOf(b.UnaccountedBySection)-b.Unaccounted)
		b.UnaccountedBySection[i] -= min(excess, b.UnaccountedBySection[i])
	}
	return next, nil
}
