package apportioner

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// proposal is a change of the row and, if it rebalances, of the pool.
type proposal struct {
	rebalances bool
	// confirms is true if the row is written over that of a copy from which the store was restored.
	confirms   bool
	pool       pool
	row        row
	joined     bool
	lostTokens contractor.Tokens
	attached   Attachment
	txn        persister.Txn
}

// attach returns what the next round writes besides balances. The lock is not held: Attach takes that of another part, which
// calls the Apportioner under its own.
func (a *Apportioner) attach() Attachment {
	if a.config.Attach == nil {
		return Attachment{}
	}
	a.mu.Lock()
	relayed := a.hasRelay()
	a.mu.Unlock()
	return a.config.Attach(relayed)
}

// propose plans a round. Tokens that the plan returns are not spent from here on.
func (a *Apportioner) propose(attached Attachment) (*proposal, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The boot clock is read first: a delay between the two readings then shortens the stays
	// that the row states, and never lengthens them.
	reading, now := a.readBootClock(), a.config.Now()
	state := &a.state
	p := &proposal{row: state.row.clone(), rebalances: a.rebalanceDue(now), attached: attached}
	switch {
	case a.unconfirmed():
		a.planConfirmation(p)
	case state.row.Incarnation != a.config.Incarnation:
		a.planTakeOver(p)
	default:
		if p.rebalances {
			p.pool = state.pool.clone()
			a.updateEra(&p.pool)
			a.planMembership(p)
		}
		a.planAccounts(p, now)
	}
	for i, until := range state.leaseExpiry {
		p.row.LeaseExpiryMillis[i] = until.UnixMilli()
	}
	p.row.WrittenAt, p.row.MinStay = reading, a.minStays(now)
	p.row.Confined = state.leasedAt[stageOpen].IsZero()
	p.txn.Puts = append(p.txn.Puts, state.pendingLeaseKeys...)
	if err := p.encode(a.config.Name, state); err != nil {
		return nil, err
	}
	p.txn.Puts, p.txn.Deletes = append(p.txn.Puts, attached.Puts...), attached.Deletes
	for name, h := range p.row.Accounts {
		a.account(name).lowerTo(h)
	}
	state.current = false
	return p, nil
}

// planTakeOver starts this incarnation's row with the grants of the earlier one. It does not
// write the pool, so that daemons that start at the same time do not conflict.
func (a *Apportioner) planTakeOver(p *proposal) {
	p.rebalances, p.joined = false, true
	if p.row.Incarnation != 0 {
		a.state.restartedUntil = a.config.Now().Add(a.scaleToFleet(restartTime))
	}
	stage := a.state.predecessorStage
	if p.row.Era < a.state.storeEra {
		stage = len(stages) // the row is that of a copy: what its daemon held later is not known
		a.loseLineage(&p.row)
	}
	p.lostTokens = p.row.takeOver(a.config.Incarnation, stage)
	p.row.Era = a.state.storeEra
	if p.row.Lineage == 0 {
		p.row.Lineage = lineageOf(a.config.Incarnation)
	}
}

// rebalanceDue reports whether the next round changes the pool: periodically, and when a share
// is used up.
func (a *Apportioner) rebalanceDue(now time.Time) bool {
	state := &a.state
	since := now.Sub(state.rebalancedAt)
	if a.prepaid == nil {
		return false // what accounts have prepaid is not known yet
	}
	if now.Before(state.rebalanceAfter) {
		return false
	}
	if state.leaving || state.rebalancedAt.IsZero() {
		return state.leaving || !now.Before(state.registerAfter) || a.requestWaits()
	}
	if since >= a.rebalanceIntervalNow() {
		return true
	}
	if since < a.urgentInterval() {
		return false
	}
	return a.requestWaits()
}

// requestWaits reports whether a request waits for more than this daemon holds. The lock is held.
func (a *Apportioner) requestWaits() bool {
	for _, s := range a.accounts {
		if s.awaited > 0 && s.awaited > s.granted-s.spent-s.reserved {
			return true
		}
	}
	return false
}

// rebalanceIntervalNow is the time between two periodic rounds that rebalance. The lock is held.
func (a *Apportioner) rebalanceIntervalNow() time.Duration {
	if a.state.roundNumber < joinRebalances || !a.state.seen {
		return joinRebalanceInterval
	}
	return max(rebalanceInterval, time.Duration(len(a.state.pool.Members))*rebalanceIntervalPerMember)
}

// planMembership updates this daemon's entry among the pool's members.
func (a *Apportioner) planMembership(p *proposal) {
	state := &a.state
	state.roundNumber++
	if state.leaving {
		delete(p.pool.Members, a.config.Name)
	} else {
		a.updateSeen(&p.pool)
		p.pool.Members[a.config.Name] = member{
			Round: state.roundNumber, Address: a.config.Address.String(), LinkBandwidth: float32(a.config.LinkBandwidth),
			Era: state.storeEra, Lineage: state.lineage, Unseen: !state.seen,
		}
	}
}

// lowerTo lowers the grant and its limits to those of a holding, and never raises them.
func (s *account) lowerTo(h holding) {
	s.granted = min(s.granted, h.Granted)
	for i := range s.limits {
		s.limits[i] = min(s.limits[i], h.Limits[i])
	}
}

// planAccounts plans each account: what was spent, the limits and, if the round rebalances,
// the grant.
func (a *Apportioner) planAccounts(p *proposal, now time.Time) {
	// When a fleet starts, its daemons register one after another. One that took its whole share
	// of the members seen so far would take those of the daemons that follow.
	registering := a.state.rebalancedAt.IsZero() && p.pool.demand() == 0
	for name, s := range a.accounts {
		next := p.row.Accounts[name]
		next.Spent = s.spent
		q := accountPlan{
			holding: next, reserved: s.reserved, awaited: s.awaited, demandRate: s.currentDemand(now),
			// Zero for an account that no longer has a limit, which returns its share.
			prepaid: a.prepaid[name], members: a.plannedMemberCount(p), allocatedFraction: a.config.AllocatedFraction, leaving: a.state.leaving,
			registering: registering, unseen: !a.state.seen,
			restarted:       now.Before(a.state.restartedUntil),
			unspentFraction: a.unspentFraction(name), openTime: a.leaseTTL(stageOpen), longRequest: a.longRequestCost(),
		}
		q.holder = p.rebalances && a.isHolder(name, &p.pool)
		if p.rebalances {
			next.Demand = float32(q.demandRate)
			if a.state.leaving {
				next.Demand = 0
			}
			q.Demand = next.Demand
			p.pool.apply(&p.row, name, next)
			next = p.row.Accounts[name]
			next.Granted = q.targetGrant(p.pool.sums(name))
			q.Granted = next.Granted
		}
		next.Limits = q.limits()
		if p.rebalances {
			p.pool.apply(&p.row, name, next)
			p.pool.setPrepaid(name, a.prepaid[name])
		} else {
			p.row.Accounts[name] = next
		}
	}
}

// plannedMemberCount is the number of members in the proposal, or in the pool as last read if
// the proposal does not rebalance.
func (a *Apportioner) plannedMemberCount(p *proposal) int {
	if p.rebalances {
		return len(p.pool.Members)
	}
	return len(a.state.pool.Members)
}

// unspentFraction is the fraction of an account's balance that is not spent, as far as known.
func (a *Apportioner) unspentFraction(name contractor.Account) float64 {
	prepaid := a.prepaid[name]
	if prepaid <= 0 {
		return 0
	}
	return max(1-float64(a.state.pool.sums(name).Spent)/float64(prepaid), 0)
}

func (p *proposal) encode(name string, state *storeState) error {
	encodedRow, err := cbor.Marshal(p.row)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	p.txn.Compares = []persister.Compare{{Key: rowPrefix + name, Revision: state.rowRevision}}
	p.txn.Puts = append(p.txn.Puts, persister.Put{Key: rowPrefix + name, Value: encodedRow})
	if !p.rebalances {
		return nil
	}
	encodedPool, err := cbor.Marshal(p.pool)
	if err != nil {
		return fmt.Errorf("encode pool: %w", err)
	}
	p.txn.Compares = append(p.txn.Compares, persister.Compare{Key: poolKey, Revision: state.poolRevision})
	p.txn.Puts = append(p.txn.Puts, persister.Put{Key: poolKey, Value: encodedPool})
	return nil
}
