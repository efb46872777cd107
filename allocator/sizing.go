package allocator

import (
	"math"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// minRateInterval is the shortest time over which a consumption rate is computed.
const minRateInterval = 100 * time.Millisecond

// scarceGrantFraction is the maximum fraction of the free balance that one grant takes
// while that balance is below Need.ScarceBelow.
const scarceGrantFraction = 0.5

// target returns how much of a budget should be free in the zone: the expected
// consumption until the next flushes and for GrantCoverage, but at least a few
// requests. A zone without consumption keeps a few requests' worth only while the
// ledger has an ample free balance.
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

// surplus returns what a zone should return to the ledger.
func (a *Allocator) surplus(b *budget) contractor.Tokens {
	target := a.target(b)
	free := b.free()
	if free <= 0 || free < 2*target {
		return 0
	}
	return free - target
}

// updateRates updates the average consumption of an account's budgets.
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

// Need is how much more of a budget a zone needs.
type Need struct {
	Budget contractor.BudgetName
	// Target is the amount that the recent consumption calls for.
	Target contractor.Tokens
	// Demand is the amount that waiting requests need.
	Demand contractor.Tokens
	// Free is what the zone has free already.
	Free contractor.Tokens
	// ScarceBelow is the free balance below which a grant takes a smaller fraction, to
	// leave some for the other zones.
	ScarceBelow contractor.Tokens
}

// GrantSize returns the size of the grant for a need. Together with what the zone has
// free, it is at most a fraction of the free balance, unless waiting requests need
// more.
func (n Need) GrantSize(free contractor.Tokens, maxFraction float64) contractor.Tokens {
	if free+n.Free < n.ScarceBelow {
		maxFraction = min(maxFraction, scarceGrantFraction)
	}
	maxAmount := contractor.Tokens(float64(free+n.Free)*maxFraction) - n.Free
	wanted := min(n.Target, maxAmount)
	return max(0, min(free, max(wanted, n.Demand)))
}

// needs returns what the zone needs of an account's budgets.
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

// grantsFor returns the grants that meet needs from a ledger's free balance.
func grantsFor(l *biller.Ledger, needs []Need, maxFraction float64) []biller.BudgetAmount {
	var changes []biller.BudgetAmount
	for _, n := range needs {
		b := l.Balance(n.Budget)
		if b == nil {
			continue
		}
		if amount := n.GrantSize(b.Free(), maxFraction); amount > 0 {
			changes = append(changes, biller.BudgetAmount{Budget: n.Budget, Amount: amount})
		}
	}
	return changes
}
