package apportioner

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// proposal is a change of the row and, when it deals, of the pool.
type proposal struct {
	rebalances bool
	pool       pool
	row        row
	joined     bool
	lostTokens contractor.Tokens
	txn        persister.Txn
}

// propose plans a round. What is given back is not spent from here on.
func (a *Apportioner) propose() (*proposal, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The reading is read first: what lies between the readings shortens what it promises.
	reading, now := a.readBootClock(), a.config.Now()
	r := &a.state
	p := &proposal{row: r.row.clone(), rebalances: a.rebalanceDue(now)}
	if r.row.Incarnation != a.config.Incarnation {
		a.planTakeOver(p)
	} else {
		if p.rebalances {
			p.pool = r.pool.clone()
			a.planMembership(p)
		}
		a.planAccounts(p, now)
	}
	for i, until := range r.leaseExpiry {
		p.row.LeaseExpiryMillis[i] = until.UnixMilli()
	}
	p.row.WrittenAt, p.row.MinStay = reading, a.minStays(now)
	p.txn.Puts = append(p.txn.Puts, r.pendingLeaseKeys...)
	if err := p.encode(a.config.Name, r); err != nil {
		return nil, err
	}
	for name, h := range p.row.Accounts {
		a.account(name).lowerTo(h)
	}
	r.current = false
	return p, nil
}

// planTakeOver begins this run's row with the grants of the run before. It is written
// without the pool, so that a fleet that starts at once does not wait for itself.
func (a *Apportioner) planTakeOver(p *proposal) {
	p.rebalances, p.joined = false, true
	p.lostTokens = p.row.takeOver(a.config.Incarnation, a.state.predecessorStage)
}

// rebalanceDue reports whether the next round changes the pool: from time to time, and
// when a share is used up.
func (a *Apportioner) rebalanceDue(now time.Time) bool {
	r := &a.state
	since := now.Sub(r.rebalancedAt)
	if a.prepaid == nil {
		return false // what accounts have prepaid is not known yet
	}
	if now.Before(r.rebalanceAfter) {
		return false
	}
	if r.leaving || r.rebalancedAt.IsZero() {
		return true
	}
	if since >= max(rebalanceInterval, time.Duration(len(r.pool.Members))*rebalanceIntervalPerMember) {
		return true
	}
	if since < a.scaleToFleet(urgentRebalanceInterval) {
		return false
	}
	for _, s := range a.accounts {
		if s.awaited > 0 && s.awaited > s.granted-s.spent-s.reserved {
			return true
		}
	}
	return false
}

// planMembership counts the round in the pool.
func (a *Apportioner) planMembership(p *proposal) {
	r := &a.state
	r.roundNumber++
	if r.leaving {
		delete(p.pool.Members, a.config.Name)
	} else {
		p.pool.Members[a.config.Name] = member{Round: r.roundNumber, Address: a.config.Address.String(), LinkBandwidth: float32(a.config.LinkBandwidth)}
	}
}

// lowerTo follows a holding down, never up.
func (s *account) lowerTo(h holding) {
	s.granted = min(s.granted, h.Granted)
	for i := range s.limits {
		s.limits[i] = min(s.limits[i], h.Limits[i])
	}
}

// planAccounts plans each account: what was spent, what is open, and when the round
// deals what is granted.
func (a *Apportioner) planAccounts(p *proposal, now time.Time) {
	for name, s := range a.accounts {
		next := p.row.Accounts[name]
		next.Spent = s.spent
		q := accountPlan{
			holding: next, reserved: s.reserved, awaited: s.awaited, demandRate: s.currentDemand(now),
			// An account that lost its bound has none here, and gives its share back.
			prepaid: a.prepaid[name], members: a.plannedMemberCount(p), allocatedFraction: a.config.AllocatedFraction, leaving: a.state.leaving,
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

// plannedMemberCount is the number of members as of the proposal, or of the pool that was last read
// when it does not deal.
func (a *Apportioner) plannedMemberCount(p *proposal) int {
	if p.rebalances {
		return len(p.pool.Members)
	}
	return len(a.state.pool.Members)
}

// unspentFraction is the part of an account's balance that is not spent, as far as is known.
func (a *Apportioner) unspentFraction(name contractor.Account) float64 {
	prepaid := a.prepaid[name]
	if prepaid <= 0 {
		return 0
	}
	return max(1-float64(a.state.pool.sums(name).Spent)/float64(prepaid), 0)
}

func (p *proposal) encode(name string, r *storeState) error {
	own, err := cbor.Marshal(p.row)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	p.txn.Compares = []persister.Compare{{Key: rowPrefix + name, Revision: r.rowRevision}}
	p.txn.Puts = append(p.txn.Puts, persister.Put{Key: rowPrefix + name, Value: own})
	if !p.rebalances {
		return nil
	}
	shared, err := cbor.Marshal(p.pool)
	if err != nil {
		return fmt.Errorf("encode pool: %w", err)
	}
	p.txn.Compares = append(p.txn.Compares, persister.Compare{Key: poolKey, Revision: r.poolRevision})
	p.txn.Puts = append(p.txn.Puts, persister.Put{Key: poolKey, Value: shared})
	return nil
}
