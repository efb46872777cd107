package apportioner

import (
	"laburnumline/contractor"
	"laburnumline/refuser"
)

// Share is this daemon's share of the balance of an account, and what a request would find there.
type Share struct {
	// Limited is false for an account without a prepaid balance, whose requests always fit.
	Limited bool
	// Prepaid is the balance, and Left what is unspent of it as far as the store has told this daemon.
	Prepaid, Left contractor.Tokens
	// Granted, Spent and Reserved are those of this daemon, Available what it may reserve in its stage.
	Granted, Spent, Reserved, Available contractor.Tokens
	Stage                               int
	// Fits is true if the request is covered now. Otherwise Refusal is how it ends if neither another
	// daemon nor a round brings what it lacks, and Waits is false if none would be asked.
	Fits, Waits bool
	Refusal     *refuser.Refusal
}

// Explain says whether the maximum cost of a request fits into this daemon's share now. It reserves nothing,
// does not wait, and is no demand.
func (a *Apportioner) Explain(name contractor.Account, maxCost contractor.Tokens) Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	prepaid, limited := a.prepaid[name]
	if !limited {
		return Share{Fits: true}
	}
	s := a.accounts[name]
	if s == nil {
		s = &account{}
	}
	stage := a.stage()
	share := Share{
		Limited: true, Prepaid: prepaid, Left: prepaid - a.state.pool.sums(name).Spent,
		Granted: s.granted, Spent: s.spent, Reserved: s.reserved, Available: s.available(stage), Stage: stage,
	}
	if share.Fits = share.Available >= maxCost; share.Fits {
		return share
	}
	share.Refusal = a.refusal(name, s, maxCost)
	share.Waits = a.mayTransfer(name, maxCost) || !a.storeUnreachable() && a.obtainable(name, s) >= maxCost
	return share
}

// mayTransfer reports whether other daemons may be asked for the tokens of a request: the unspent balance of
// the account covers it.
func (a *Apportioner) mayTransfer(name contractor.Account, maxCost contractor.Tokens) bool {
	return a.config.RequestTransfer != nil && a.state.joined && a.prepaid[name]-a.state.pool.sums(name).Spent >= maxCost
}
