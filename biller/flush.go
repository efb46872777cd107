package biller

import (
	"time"

	"laburnumline/contractor"
)

// Line is one line of a bill. It charges the use of one request.
type Line struct {
	Key    contractor.RequestKey `cbor:"1,keyasint"`
	Budget contractor.BudgetName `cbor:"2,keyasint"`
	// Tokens is the amount charged to the budget.
	Tokens contractor.Tokens `cbor:"3,keyasint"`
	// At is the time of the settlement on the clock of the entry daemon, the daemon that
	// received the request.
	At   time.Time       `cbor:"4,keyasint"`
	Zone contractor.Zone `cbor:"5,keyasint"`
	// Entry is the VM of the entry daemon.
	Entry contractor.VM `cbor:"6,keyasint"`
	// Unconfirmed is true when the entry daemon was lost before it reported the actual
	// use. The line then charges the whole reservation.
	Unconfirmed bool `cbor:"7,keyasint,omitempty"`
	// Late is true when the zone's keeper does not know the reservation. The line is not
	// charged to the zone's grant but to its unaccounted amount first.
	Late bool `cbor:"8,keyasint,omitempty"`
	// Absorbed is the part of the use that no balance covered. It is not charged.
	Absorbed contractor.Tokens `cbor:"9,keyasint,omitempty"`
	// Refund is the charge of the unconfirmed line that this line replaces.
	Refund contractor.Tokens `cbor:"10,keyasint,omitempty"`
	// Replaces is true when this line replaces an earlier, unconfirmed line of its key.
	Replaces bool `cbor:"11,keyasint,omitempty"`
	// KeyFromCaller is true when the key is derived from the caller's idempotency key.
	// The caller may send it again to any zone.
	KeyFromCaller bool `cbor:"12,keyasint,omitempty"`
	// FromHeld permits charging held grants, because the reservation was made from them.
	// It is not stored.
	FromHeld bool `cbor:"-"`
}

// LineLookup returns the line of the bill with a request key, if there is one.
type LineLookup func(key contractor.RequestKey) (Line, bool)

// Flush charges lines to the grants of a zone. It returns the next ledger and the
// lines of the new page, whose number is the next ledger's Pages. A line whose key
// has already been billed is dropped and its tokens stay in the grant, unless it
// replaces an unconfirmed line with the actual use. A line without use is dropped with
// the same exception.
func (l *Ledger) Flush(zone contractor.Zone, lines []Line, lookup LineLookup) (Ledger, []Line, error) {
	next := l.clone()
	section := next.sectionIndex(zone)
	if section < 0 {
		return *l, nil, l.newError("flush", "", zone, 0, ErrNoSection)
	}
	written := make([]Line, 0, len(lines))
	writtenIndex := make(map[contractor.RequestKey]int, len(lines))
	for _, line := range lines {
		b := next.Balance(line.Budget)
		if b == nil {
			return *l, nil, l.newError("flush", line.Budget, zone, line.Tokens, ErrNoBudget)
		}
		if line.Tokens < 0 {
			return *l, nil, l.newError("flush", line.Budget, zone, line.Tokens, ErrAmount)
		}
		if i, ok := writtenIndex[line.Key]; ok {
			if !line.Unconfirmed && written[i].Unconfirmed {
				line.Refund, line.Replaces = written[i].Refund, written[i].Replaces
				written[i] = b.charge(section, line, next.refund(written[i], line.Budget))
			}
			continue
		}
		prior, ok := lookup(line.Key)
		if !ok && line.Tokens == 0 {
			continue
		}
		refunded := contractor.Tokens(0)
		if ok {
			if line.Unconfirmed || !prior.Unconfirmed {
				continue
			}
			line.Refund, line.Replaces = prior.Tokens, true
			refunded = next.refund(prior, line.Budget)
		}
		writtenIndex[line.Key] = len(written)
		written = append(written, b.charge(section, line, refunded))
	}
	if len(written) > 0 {
		next.Pages++
	}
	return next, written, next.Check()
}

// refund returns the charge of an unconfirmed line to the free balance of its budget.
// The result is the amount refunded to budget, which is zero when the line was charged
// to another one.
func (l *Ledger) refund(prior Line, budget contractor.BudgetName) contractor.Tokens {
	b := l.Balance(prior.Budget)
	if b == nil {
		return 0
	}
	amount := min(prior.Tokens, b.Settled)
	b.Settled -= amount
	if prior.Budget != budget {
		return 0
	}
	return amount
}

// charge settles one line and returns it as billed. The line is charged to these
// balances in this order: its refund, the zone's grant unless the line is late, the
// zone's held grants if FromHeld is true, the zone's unaccounted amount, the free
// balance. The rest is absorbed.
func (b *Balance) charge(section int, line Line, refunded contractor.Tokens) Line {
	free := b.Free() - refunded
	rest := max(0, line.Tokens-refunded)
	if !line.Late {
		part := min(rest, b.grant(section))
		b.addGrant(section, -part)
		rest -= part
	}
	if line.FromHeld {
		part := min(rest, b.held(section))
		b.addHeld(section, -part)
		rest -= part
	}
	part := min(rest, b.unaccounted(section))
	b.addUnaccounted(section, -part)
	rest -= part
	line.Absorbed = max(0, rest-free)
	line.Tokens -= line.Absorbed
	line.FromHeld = false
	b.Settled += line.Tokens
	return line
}
