package balancer

import (
	"math"
	"time"

	"laburnumline/contractor"
)

const (
	// usageHalfLife is the time in which the recorded demand of an account falls by half.
	usageHalfLife = 2 * time.Second
	// recountInterval is the time between two sums over all accounts.
	recountInterval = 250 * time.Millisecond
	// minDemand is the fraction of the demand of all accounts below which one is dropped.
	minDemand = 0.005
	// shareTolerance is how many times an equal share an account may use while upstreams are
	// congested. Accounts differ in size.
	shareTolerance = 2.0
)

// demand is the recent demand for a service, by account: tokens that were asked for, granted or not.
type demand struct {
	accounts  map[contractor.Account]accountDemand
	total     float64
	countedAt time.Time
}

type accountDemand struct {
	tokens float64
	at     time.Time
}

func (a accountDemand) now(now time.Time) float64 {
	return a.tokens * math.Exp2(-float64(now.Sub(a.at))/float64(usageHalfLife))
}

// add records a request of an account. Requests without one are not recorded.
func (d *demand) add(now time.Time, account contractor.Account, tokens int64) {
	if account == "" {
		return
	}
	if d.accounts == nil {
		d.accounts = make(map[contractor.Account]accountDemand)
	}
	d.accounts[account] = accountDemand{tokens: d.accounts[account].now(now) + float64(tokens), at: now}
	if now.Sub(d.countedAt) >= recountInterval {
		d.recount(now)
	}
}

// recount computes the sum and drops accounts without much demand.
func (d *demand) recount(now time.Time) {
	d.total, d.countedAt = 0, now
	for _, a := range d.accounts {
		d.total += a.now(now)
	}
	for name, a := range d.accounts {
		if a.now(now) < minDemand*d.total {
			delete(d.accounts, name)
		}
	}
}

// excess returns the fraction of an account's demand beyond what it may use while upstreams are
// congested.
func (d *demand) excess(now time.Time, account contractor.Account) float64 {
	if account == "" || len(d.accounts) < 2 || d.total <= 0 {
		return 0
	}
	allowed := shareTolerance * d.total / float64(len(d.accounts))
	return max(1-allowed/max(d.accounts[account].now(now), 1), 0)
}
