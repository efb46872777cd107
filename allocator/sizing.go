package allocator

import (
	"math"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// minRateInterval is the shortest time over which a draw is measured.
const minRateInterval = 100 * time.Millisecond

// scarceGrantFraction is the part of a small free balance that one grant may take.
const scarceGrantFraction = 0.5

// target returns what should be free of a budget: the recent draw until the
// next flushes and the horizon, or a few requests. An idle zone keeps a few
// requests' worth only while the balance is ample.
func (a *Allocator) target(b *budget) contractor.Tokens {
	covered := a.config.GrantCoverage + 2*a.Interval()
	idleGrant := idleGrantRequests * b.typicalSize
	if b.rate > 0 {
		return max(contractor.Tokens(b.rate*covered.Seconds()), idleGrant)
	}
	if b.ledgerFree < ampleIdleGrants*idleGrant {
		return 0
	}
	return idleGrant
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

// updateRates updates the average draw of an account's budgets.
func (acc *account) updateRates(now time.Time) {
	elapsed := now.Sub(acc.ratesUpdatedAt)
	if elapsed < minRateInterval {
		return
	}
	acc.ratesUpdatedAt = now
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	for i := range acc.budgets {
		b := &acc.budgets[i]
		rate := max(0, float64(b.consumed)) / elapsed.Seconds()
		b.rate += weight * (rate - b.rate)
		b.consumed = 0
		if b.rate*rateTimeConstant.Seconds() < 1 {
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
	// Free is what the zone has free already.
	Free contractor.Tokens
	// ScarceBelow is the free balance below which a zone takes a smaller share, so
	// that the others find some too.
	ScarceBelow contractor.Tokens
}

// GrantSize returns the grant for a need. Together with what the zone holds it is at
// most a share of the free balance, unless waiting requests ask for more.
func (n Need) GrantSize(free contractor.Tokens, maxFraction float64) contractor.Tokens {
	if free+n.Free < n.ScarceBelow {
		maxFraction = min(maxFraction, scarceGrantFraction)
	}
	maxAmount := contractor.Tokens(float64(free+n.Free)*maxFraction) - n.Free
	wanted := min(n.Target, maxAmount)
	return max(0, min(free, max(wanted, n.Demand)))
}

// needs returns what the budgets of an account lack.
func (a *Allocator) needs(acc *account) []Need {
	var needs []Need
	for i := range acc.budgets {
		b := &acc.budgets[i]
		free := b.free()
		n := Need{Budget: b.name, Target: max(0, a.target(b)-free), Demand: max(0, b.demand-max(0, free)), Free: max(0, free)}
		n.ScarceBelow = ampleIdleGrants * idleGrantRequests * b.typicalSize
		if n.Demand == 0 && (b.rate == 0 || free >= a.target(b)/2) {
			continue
		}
		needs = append(needs, n)
	}
	return needs
}

// grantsFor returns the changes that serve needs from a ledger's free balance.
func grantsFor(l *biller.Ledger, needs []Need, maxFraction float64) []biller.Change {
	var changes []biller.Change
	for _, n := range needs {
		b := l.Balance(n.Budget)
		if b == nil {
			continue
		}
		if amount := n.GrantSize(b.Free(), maxFraction); amount > 0 {
			changes = append(changes, biller.Change{Budget: n.Budget, Amount: amount})
		}
	}
	return changes
}
