package apportioner

import (
	"fmt"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/timekeeper"
)

// pool is the value that all daemons share: the sums of their rows.
type pool struct {
	Accounts map[contractor.Account]sums `cbor:"accounts"`
	Members  map[string]member           `cbor:"members"` // by VM
}

// member is a daemon that takes part.
type member struct {
	Round   int64  `cbor:"round"` // number of its last deal
	Address string `cbor:"address"`
	// Link is the width of its VM's network link in bytes per second, or zero.
	Link float32 `cbor:"link"`
}

// sums are the totals of one account over all rows, also of rows that are gone.
type sums struct {
	Granted contractor.Tokens `cbor:"granted"`
	Spent   contractor.Tokens `cbor:"spent"`
	Demand  float32           `cbor:"demand"`
	// Bound is what the account has prepaid as far as the last daemon knows that dealt.
	Bound contractor.Tokens `cbor:"bound"`
}

// row is the value of one daemon.
type row struct {
	Incarnation contractor.Incarnation         `cbor:"incarnation"`
	Accounts    map[contractor.Account]holding `cbor:"accounts"`
	// Unlocks is the time of day at which the leases of each stage have ended, in
	// milliseconds since 1970.
	Unlocks [len(stages)]int64 `cbor:"unlocks"`
	// Written is when the run wrote this row, by the clock of its VM, and Stay how long from
	// then on it stays in each stage at the least.
	Written timekeeper.Reading         `cbor:"written"`
	Stay    [len(stages)]time.Duration `cbor:"stay"`
}

// holding is one account in a row. Settled and Demand are as the pool counts them;
// Spent may be newer.
type holding struct {
	Granted contractor.Tokens              `cbor:"granted"`
	Limits  [len(stages)]contractor.Tokens `cbor:"limits"`
	Spent   contractor.Tokens              `cbor:"spent"`
	Settled contractor.Tokens              `cbor:"settled"`
	Demand  float32                        `cbor:"demand"`
}

func (p *pool) sums(name contractor.Account) sums { return p.Accounts[name] }

func (p *pool) clone() pool {
	c := pool{Accounts: maps.Clone(p.Accounts), Members: maps.Clone(p.Members)}
	if c.Accounts == nil {
		c.Accounts = make(map[contractor.Account]sums)
	}
	if c.Members == nil {
		c.Members = make(map[string]member)
	}
	return c
}

func (r *row) clone() row {
	c := *r
	c.Accounts = maps.Clone(r.Accounts)
	if c.Accounts == nil {
		c.Accounts = make(map[contractor.Account]holding)
	}
	return c
}

// apply changes a holding and the sums together, and settles what was spent.
func (p *pool) apply(r *row, name contractor.Account, to holding) {
	from, s := r.Accounts[name], p.Accounts[name]
	to.Settled = to.Spent
	s.Granted += to.Granted - from.Granted
	s.Spent += to.Settled - from.Settled
	s.Demand = max(s.Demand+to.Demand-from.Demand, 0)
	p.Accounts[name] = s
	r.Accounts[name] = to
}

// takeOver makes the row of an earlier run that of this run, which goes on with the
// same grants. All that the earlier run may have spent since its last round, if it
// cannot have left the stage, counts as spent. It returns what was lost.
func (r *row) takeOver(incarnation contractor.Incarnation, stage int) contractor.Tokens {
	lost := contractor.Tokens(0)
	for name, h := range r.Accounts {
		bound := h.Granted
		if stage < len(h.Limits) {
			bound = min(h.Limits[stage], h.Granted)
		}
		bound = max(bound, h.Spent)
		lost += bound - h.Spent
		h.Spent = bound
		q := position{holding: h}
		h.Limits = q.limits()
		r.Accounts[name] = h
	}
	r.Incarnation = incarnation
	return lost
}

const (
	// evenPart of the dealt tokens goes to all daemons alike, because clients move
	// to daemons where an account had no demand yet.
	evenPart = 0.12
	// mostEven is the most of the dealt tokens that goes to all daemons, or to the holders
	// of a balance that is too small for all.
	mostEven = 0.6
	// slack is by how much a share may differ from its target before it is changed,
	// so that rounds end.
	slack = 0.1
)

// position is what a daemon has and needs of one account.
type position struct {
	holding
	reserved, needed contractor.Tokens
	prepaid          contractor.Tokens
	rate             float64 // demand in tokens per second
	// locked is how long the open part has to last without the store.
	locked time.Duration
	// fullness is the part of the balance that is not spent.
	fullness float64
	// long is what a long request needs.
	long    contractor.Tokens
	members int
	// holder is true for the daemons that hold a balance that is too small for all.
	holder  bool
	dealt   float64
	leaving bool
}

// grant returns what the daemon's row shall grant, given the sums that already
// include the position's Spent and Demand.
func (q *position) grant(s sums) contractor.Tokens {
	held := q.Granted - q.Spent
	pledged := q.reserved + q.needed
	if q.leaving {
		return q.Spent + min(held, q.reserved)
	}
	target := q.target(s)
	want := max(target, pledged)
	if held < want && (held < pledged || float64(want-held) > slack*float64(want)) {
		return q.Granted + q.take(s, want-held, pledged-held)
	}
	if float64(held) > (1+slack)*float64(want) {
		return q.Spent + want
	}
	return q.Granted
}

// take returns what the daemon takes from the pool. The part of what is left that is
// not dealt out is for requests that wait.
func (q *position) take(s sums, wanted, missing contractor.Tokens) contractor.Tokens {
	unallocated := max(q.prepaid-s.Granted, 0)
	kept := contractor.Tokens((1 - q.dealt) * float64(max(q.prepaid-s.Spent, 0)))
	return min(max(min(wanted, unallocated-kept), missing, 0), unallocated)
}

// limits returns up to where the daemon's row lets it spend in each stage.
func (q *position) limits() [len(stages)]contractor.Tokens {
	var limits [len(stages)]contractor.Tokens
	held := float64(q.Granted - q.Spent)
	part := q.openPart(held)
	for i, t := range stages {
		part += max(demandExcess*q.rate*t.cover.Seconds(), held*t.share)
		limits[i] = min(q.Granted, q.Spent+q.reserved+q.needed+contractor.Tokens(part))
	}
	return limits
}

// openPart is what can be spent without the store at once: the demand of the first stage.
// In a large fleet all that a daemon holds is about one request, and a part that no
// request fits into is of no use in a cut; so there it covers a long request while the
// balance is full. In a small fleet that would lose too much at kills.
func (q *position) openPart(held float64) float64 {
	demand := min(q.rate*q.locked.Seconds(), held*(openShare+fullOpenShare*q.fullness*q.fullness))
	if q.members <= smallFleet {
		return demand
	}
	return max(demand, min(held, float64(q.long)*q.fullness*q.fullness))
}

// target is the share of what is left that the daemon holds in calm times.
func (q *position) target(s sums) contractor.Tokens {
	dealt := q.dealt * float64(max(q.prepaid-s.Spent, 0))
	members := max(q.members, 1)
	count, even := holders(dealt, members), q.evenOf(dealt, members)
	if s.Demand <= 0 {
		even = 1
	}
	part := 0.0
	if count == members || q.holder {
		part = even / float64(count)
	}
	if s.Demand > 0 {
		part += (1 - even) * float64(q.Demand) / float64(s.Demand)
	}
	target := contractor.Tokens(dealt * part)
	if target < leastShare {
		return 0
	}
	return target
}

// evenOf is the part of the dealt tokens that goes to all daemons alike, or to the
// holders: in a large fleet as much as gives each a long request, within bounds.
func (q *position) evenOf(dealt float64, members int) float64 {
	if members <= smallFleet && holders(dealt, members) == members {
		return evenPart
	}
	return min(max(float64(q.long)*float64(members)/max(dealt, 1), evenPart), mostEven)
}

// forget takes the demand of a daemon that has gone silent out of the sums. Its row
// keeps what it was granted.
func (p *pool) forget(name string, r *row) {
	delete(p.Members, name)
	for account, h := range r.Accounts {
		h.Demand = 0
		p.apply(r, account, h)
	}
}

// silent returns the daemons whose rounds have not advanced for the timeout.
func silent(members map[string]memberRound, now time.Time, timeout time.Duration) []string {
	var names []string
	for name, s := range members {
		if now.Sub(s.at) > timeout {
			names = append(names, name)
		}
	}
	return names
}

func decode[T any](key string, value []byte) (T, error) {
	var v T
	if len(value) == 0 {
		return v, nil
	}
	if err := cbor.Unmarshal(value, &v); err != nil {
		return v, fmt.Errorf("read %s: %w", key, err)
	}
	return v, nil
}
