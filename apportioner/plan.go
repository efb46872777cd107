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
	// LinkBandwidth is the width of its VM's network link in bytes per second, or zero.
	LinkBandwidth float32 `cbor:"link"`
}

// sums are the totals of one account over all rows, also of rows that are gone.
type sums struct {
	Granted contractor.Tokens `cbor:"granted"`
	Spent   contractor.Tokens `cbor:"spent"`
	Demand  float32           `cbor:"demand"`
	// Prepaid is what the account has prepaid as far as the last daemon knows that dealt.
	Prepaid contractor.Tokens `cbor:"bound"`
}

// row is the value of one daemon.
type row struct {
	Incarnation contractor.Incarnation         `cbor:"incarnation"`
	Accounts    map[contractor.Account]holding `cbor:"accounts"`
	// LeaseExpiryMillis is the time of day at which the leases of each stage have ended, in
	// milliseconds since 1970.
	LeaseExpiryMillis [len(stages)]int64 `cbor:"unlocks"`
	// WrittenAt is when the run wrote this row, by the clock of its VM, and Stay how long from
	// then on it stays in each stage at the least.
	WrittenAt timekeeper.Reading         `cbor:"written"`
	MinStay   [len(stages)]time.Duration `cbor:"stay"`
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
		maxSpent := h.Granted
		if stage < len(h.Limits) {
			maxSpent = min(h.Limits[stage], h.Granted)
		}
		maxSpent = max(maxSpent, h.Spent)
		lost += maxSpent - h.Spent
		h.Spent = maxSpent
		q := accountPlan{holding: h}
		h.Limits = q.limits()
		r.Accounts[name] = h
	}
	r.Incarnation = incarnation
	return lost
}

const (
	// evenFraction of the dealt tokens goes to all daemons alike, because clients move
	// to daemons where an account had no demand yet.
	evenFraction = 0.12
	// maxEvenFraction is the most of the dealt tokens that goes to all daemons, or to the holders
	// of a balance that is too small for all.
	maxEvenFraction = 0.6
	// shareTolerance is by how much a share may differ from its target before it is changed,
	// so that rounds end.
	shareTolerance = 0.1
)

// accountPlan is what a daemon has and needs of one account.
type accountPlan struct {
	holding
	reserved, awaited contractor.Tokens
	prepaid           contractor.Tokens
	demandRate        float64 // demand in tokens per second
	// openTime is how long the open part has to last without the store.
	openTime time.Duration
	// unspentFraction is the part of the balance that is not spent.
	unspentFraction float64
	// longRequest is what a longRequest request needs.
	longRequest contractor.Tokens
	members     int
	// holder is true for the daemons that hold a balance that is too small for all.
	holder            bool
	allocatedFraction float64
	leaving           bool
}

// targetGrant returns what the daemon's row shall targetGrant, given the sums that already
// include the position's Spent and Demand.
func (q *accountPlan) targetGrant(s sums) contractor.Tokens {
	held := q.Granted - q.Spent
	claimed := q.reserved + q.awaited
	if q.leaving {
		return q.Spent + min(held, q.reserved)
	}
	target := q.target(s)
	want := max(target, claimed)
	if held < want && (held < claimed || float64(want-held) > shareTolerance*float64(want)) {
		return q.Granted + q.drawFromPool(s, want-held, claimed-held)
	}
	if float64(held) > (1+shareTolerance)*float64(want) {
		return q.Spent + want
	}
	return q.Granted
}

// drawFromPool returns what the daemon takes from the pool. The part of what is left that is
// not dealt out is for requests that wait.
func (q *accountPlan) drawFromPool(s sums, wanted, missing contractor.Tokens) contractor.Tokens {
	unallocated := max(q.prepaid-s.Granted, 0)
	poolReserve := contractor.Tokens((1 - q.allocatedFraction) * float64(max(q.prepaid-s.Spent, 0)))
	return min(max(min(wanted, unallocated-poolReserve), missing, 0), unallocated)
}

// limits returns up to where the daemon's row lets it spend in each stage.
func (q *accountPlan) limits() [len(stages)]contractor.Tokens {
	var limits [len(stages)]contractor.Tokens
	held := float64(q.Granted - q.Spent)
	allowance := q.openPart(held)
	for i, t := range stages {
		allowance += max(demandMargin*q.demandRate*t.demandCover.Seconds(), held*t.minFraction)
		limits[i] = min(q.Granted, q.Spent+q.reserved+q.awaited+contractor.Tokens(allowance))
	}
	return limits
}

// openPart is what can be spent without the store at once: the demand of the first stage.
// In a large fleet all that a daemon holds is about one request, and a part that no
// request fits into is of no use in a cut; so there it covers a long request while the
// balance is full. In a small fleet that would lose too much at kills.
func (q *accountPlan) openPart(held float64) float64 {
	demand := min(q.demandRate*q.openTime.Seconds(), held*(openFraction+fullBalanceOpenFraction*q.unspentFraction*q.unspentFraction))
	if q.members <= smallFleetSize {
		return demand
	}
	return max(demand, min(held, float64(q.longRequest)*q.unspentFraction*q.unspentFraction))
}

// target is the share of what is left that the daemon holds in calm times.
func (q *accountPlan) target(s sums) contractor.Tokens {
	allocated := q.allocatedFraction * float64(max(q.prepaid-s.Spent, 0))
	members := max(q.members, 1)
	count, even := holderCount(allocated, members), q.evenFractionOf(allocated, members)
	if s.Demand <= 0 {
		even = 1
	}
	fraction := 0.0
	if count == members || q.holder {
		fraction = even / float64(count)
	}
	if s.Demand > 0 {
		fraction += (1 - even) * float64(q.Demand) / float64(s.Demand)
	}
	target := contractor.Tokens(allocated * fraction)
	if target < minShare {
		return 0
	}
	return target
}

// evenFractionOf is the part of the dealt tokens that goes to all daemons alike, or to the
// holders: in a large fleet as much as gives each a long request, within bounds.
func (q *accountPlan) evenFractionOf(allocated float64, members int) float64 {
	if members <= smallFleetSize && holderCount(allocated, members) == members {
		return evenFraction
	}
	return min(max(float64(q.longRequest)*float64(members)/max(allocated, 1), evenFraction), maxEvenFraction)
}

// removeMember takes the demand of a daemon that has gone silent out of the sums. Its row
// keeps what it was granted.
func (p *pool) removeMember(name string, r *row) {
	delete(p.Members, name)
	for account, h := range r.Accounts {
		h.Demand = 0
		p.apply(r, account, h)
	}
}

// silentMembers returns the daemons whose rounds have not advanced for the timeout.
func silentMembers(members map[string]memberRound, now time.Time, timeout time.Duration) []string {
	var names []string
	for name, s := range members {
		if now.Sub(s.seenAt) > timeout {
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
