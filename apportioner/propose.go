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
	deals  bool
	pool   pool
	row    row
	joined bool
	lost   contractor.Tokens
	txn    persister.Txn
}

// propose plans a round. What is given back is not spent from here on.
func (a *Apportioner) propose() (*proposal, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	// The moment is read first: what lies between the readings shortens what it promises.
	moment, now := a.moment(), a.config.Now()
	r := &a.rounds
	p := &proposal{row: r.row.clone(), deals: a.dealDue(now)}
	if r.row.Incarnation != a.config.Incarnation {
		a.planTakeOver(p)
	} else {
		if p.deals {
			p.pool = r.pool.clone()
			a.planMembers(p)
		}
		a.planAccounts(p, now)
	}
	for i, until := range r.lockedUntil {
		p.row.Unlocks[i] = until.UnixMilli()
	}
	p.row.Written, p.row.Stay = moment, a.stays(now)
	p.txn.Puts = append(p.txn.Puts, r.locks...)
	if err := p.encode(a.config.Name, r); err != nil {
		return nil, err
	}
	for name, h := range p.row.Accounts {
		a.account(name).lower(h)
	}
	r.known = false
	return p, nil
}

// planTakeOver begins this run's row with the grants of the run before. It is written
// without the pool, so that a fleet that starts at once does not wait for itself.
func (a *Apportioner) planTakeOver(p *proposal) {
	p.deals, p.joined = false, true
	p.lost = p.row.takeOver(a.config.Incarnation, a.rounds.before)
}

// dealDue reports whether the next round changes the pool: from time to time, and
// when a share is used up.
func (a *Apportioner) dealDue(now time.Time) bool {
	r := &a.rounds
	since := now.Sub(r.dealtAt)
	if a.bounds == nil {
		return false // what accounts have prepaid is not known yet
	}
	if now.Before(r.dealAfter) {
		return false
	}
	if r.leaving || r.dealtAt.IsZero() {
		return true
	}
	if since >= max(dealInterval, time.Duration(len(r.pool.Members))*dealPerMember) {
		return true
	}
	if since < a.paced(urgentDeal) {
		return false
	}
	for _, s := range a.accounts {
		if s.needed > 0 && s.needed > s.granted-s.spent-s.reserved {
			return true
		}
	}
	return false
}

// planMembers counts the round in the pool.
func (a *Apportioner) planMembers(p *proposal) {
	r := &a.rounds
	r.number++
	if r.leaving {
		delete(p.pool.Members, a.config.Name)
	} else {
		p.pool.Members[a.config.Name] = member{Round: r.number, Address: a.config.Address.String(), Link: float32(a.config.LinkBandwidth)}
	}
}

// lower follows a holding down, never up.
func (s *account) lower(h holding) {
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
		q := position{
			holding: next, reserved: s.reserved, needed: s.needed, rate: s.demandNow(now),
			// An account that lost its bound has none here, and gives its share back.
			prepaid: a.bounds[name], members: a.fleet(p), dealt: a.config.AllocatedFraction, leaving: a.rounds.leaving,
			fullness: a.fullness(name), locked: a.leaseTime(stageOpen), long: a.longRequest(),
		}
		q.holder = p.deals && a.holds(name, &p.pool)
		if p.deals {
			next.Demand = float32(q.rate)
			if a.rounds.leaving {
				next.Demand = 0
			}
			q.Demand = next.Demand
			p.pool.apply(&p.row, name, next)
			next = p.row.Accounts[name]
			next.Granted = q.grant(p.pool.sums(name))
			q.Granted = next.Granted
		}
		next.Limits = q.limits()
		if p.deals {
			p.pool.apply(&p.row, name, next)
			p.pool.bind(name, a.bounds[name])
		} else {
			p.row.Accounts[name] = next
		}
	}
}

// fleet is the number of members as of the proposal, or of the pool that was last read
// when it does not deal.
func (a *Apportioner) fleet(p *proposal) int {
	if p.deals {
		return len(p.pool.Members)
	}
	return len(a.rounds.pool.Members)
}

// fullness is the part of an account's balance that is not spent, as far as is known.
func (a *Apportioner) fullness(name contractor.Account) float64 {
	prepaid := a.bounds[name]
	if prepaid <= 0 {
		return 0
	}
	return max(1-float64(a.rounds.pool.sums(name).Spent)/float64(prepaid), 0)
}

func (p *proposal) encode(name string, r *roundState) error {
	own, err := cbor.Marshal(p.row)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	p.txn.Compares = []persister.Compare{{Key: rowPrefix + name, Revision: r.rowRevision}}
	p.txn.Puts = append(p.txn.Puts, persister.Put{Key: rowPrefix + name, Value: own})
	if !p.deals {
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
