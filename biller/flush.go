package biller

import (
	"time"

	"laburnumline/contractor"
)

// Line is one line of a bill: the use of one request.
type Line struct {
	Key    contractor.RequestKey `cbor:"1,keyasint"`
	Budget contractor.BudgetName `cbor:"2,keyasint"`
	// Tokens is what the budget is charged.
	Tokens contractor.Tokens `cbor:"3,keyasint"`
	// At is the time of the settlement on the entry's clock.
	At    time.Time       `cbor:"4,keyasint"`
	Zone  contractor.Zone `cbor:"5,keyasint"`
	Entry contractor.VM   `cbor:"6,keyasint"`
	// Unconfirmed is true when the entry is gone and the worst case is charged.
	Unconfirmed bool `cbor:"7,keyasint,omitempty"`
	// Late is true when the reservation is not known to the zone's keeper. The
	// line draws on the unaccounted total first.
	Late bool `cbor:"8,keyasint,omitempty"`
	// Absorbed is the part of the use that no balance covered. It is not charged.
	Absorbed contractor.Tokens `cbor:"9,keyasint,omitempty"`
	// Refund is what an earlier, unconfirmed line of the same key had charged.
	Refund contractor.Tokens `cbor:"10,keyasint,omitempty"`
	// Replaces is true when this line replaces an earlier, unconfirmed one.
	Replaces bool `cbor:"11,keyasint,omitempty"`
	// KeyFromCaller is true when the caller chose the key and may repeat it anywhere.
	KeyFromCaller bool `cbor:"12,keyasint,omitempty"`
	// FromHeld allows the line to draw on held grants, because its reservation was
	// given from them. It is not part of the bill.
	FromHeld bool `cbor:"-"`
}

// LineLookup finds the line that has billed a request key already.
type LineLookup func(key contractor.RequestKey) (Line, bool)

// Flush settles lines against the grants of a zone. It returns the next ledger
// and the lines that the new page has to hold; the page's number is the new
// ledger's Pages. A line whose key is billed already is dropped and its tokens
// stay in the grant, unless it replaces an unconfirmed line by the actual use.
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

// refund gives the charge of an unconfirmed line back to the free balance. It
// returns the part that the budget of the new line gets.
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

// charge settles one line and returns it as it is billed. A line draws on what
// it was refunded, then on the grant of the zone unless it is late, then on held
// grants where it may, then on what is unaccounted for in the zone, then on the
// free balance. What none of them covers is absorbed.
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
