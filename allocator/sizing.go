package allocator

import (
	"math"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// shortestDraw is the shortest time over which a draw is measured.
const shortestDraw = 100 * time.Millisecond

// scarceShare is the part of a small free balance that one grant may take.
const scarceShare = 0.5

// target returns what should be free of a budget: the recent draw until the
// next flushes and the horizon, or a few requests. An idle zone keeps a few
// requests' worth only while the balance is ample.
func (a *Allocator) target(b *budget) contractor.Tokens {
	cover := a.config.Horizon + 2*a.Interval()
	few := demandFactor * b.unit
	if b.rate > 0 {
		return max(contractor.Tokens(b.rate*cover.Seconds()), few)
	}
	if b.left < idleReserve*few {
		return 0
	}
	return few
}

// surplus returns what a zone should give back.
func (a *Allocator) surplus(b *budget) contractor.Tokens {
	target := a.target(b)
	free := b.free()
	if free <= 0 || free < 2*target {
		return 0
	}
	return free - target
}

// measure updates the average draw of an account's budgets.
func (acc *account) measure(now time.Time) {
	elapsed := now.Sub(acc.drawnAt)
	if elapsed < shortestDraw {
		return
	}
	acc.drawnAt = now
	weight := 1 - math.Exp(-elapsed.Seconds()/drawTime.Seconds())
	for i := range acc.budgets {
		b := &acc.budgets[i]
		drawn := max(0, float64(b.drawn)) / elapsed.Seconds()
		b.rate += weight * (drawn - b.rate)
		b.drawn = 0
		if b.rate*drawTime.Seconds() < 1 {
			b.rate = 0
		}
	}
}

// Need is what a zone lacks of one budget.
type Need struct {
	Budget contractor.BudgetName
	// Target is the amount that the recent draw asks for.
	Target contractor.Tokens
	// Demand is what waiting requests have asked for.
	Demand contractor.Tokens
	// Held is what the zone has free already.
	Held contractor.Tokens
	// Ample is the free balance below which a zone takes a smaller share, so
	// that the others find some too.
	Ample contractor.Tokens
}

// Size returns the grant for a need. Together with what the zone holds it is at
// most a share of the free balance, unless waiting requests ask for more.
func (n Need) Size(free contractor.Tokens, share float64) contractor.Tokens {
	if free+n.Held < n.Ample {
		share = min(share, scarceShare)
	}
	most := contractor.Tokens(float64(free+n.Held)*share) - n.Held
	wanted := min(n.Target, most)
	return max(0, min(free, max(wanted, n.Demand)))
}

// needs returns what the budgets of an account lack.
func (a *Allocator) needs(acc *account) []Need {
	var needs []Need
	for i := range acc.budgets {
		b := &acc.budgets[i]
		free := b.free()
		n := Need{Budget: b.name, Target: max(0, a.target(b)-free), Demand: max(0, b.demand-max(0, free)), Held: max(0, free)}
		n.Ample = idleReserve * demandFactor * b.unit
		if n.Demand == 0 && (b.rate == 0 || free >= a.target(b)/2) {
			continue
		}
		needs = append(needs, n)
	}
	return needs
}

// grants returns the changes that serve needs from a ledger's free balance.
func grants(l *biller.Ledger, needs []Need, share float64) []biller.BudgetAmount {
	var changes []biller.BudgetAmount
	for _, n := range needs {
		b := l.Balance(n.Budget)
		if b == nil {
			continue
		}
		if amount := n.Size(b.Free(), share); amount > 0 {
			changes = append(changes, biller.BudgetAmount{Budget: n.Budget, Amount: amount})
		}
	}
	return changes
}
