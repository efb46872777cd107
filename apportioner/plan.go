package apportioner

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/timekeeper"
)

// pool is the entry that all daemons share: the sums of their rows.
type pool struct {
	Accounts map[contractor.Account]sums `cbor:"accounts"`
	Members  map[string]member           `cbor:"members"` // by VM
	// Era is the era of the store in which the pool is valid. Unconfirmed has the lineages (see lineageID.key) that
	// may hold more than their rows say, since the store was restored to begin the era given.
	Era         int64            `cbor:"era,omitempty"`
	Unconfirmed map[string]int64 `cbor:"unconfirmed"`
	// Settled is true once the daemons of the earlier eras have confirmed their rows.
	Settled bool `cbor:"settled,omitempty"`
	// Copied is the number of the pool's revision in the copy with which the era began. It shows which
	// departures the copy lacks. Zero means unknown.
	Copied int64 `cbor:"copied,omitempty"`
}

// member is a daemon that has a part in the balances.
type member struct {
	Round   int64  `cbor:"round"` // number of its last round that rebalanced
	Address string `cbor:"address"`
	// LinkBandwidth is that of its VM's network link in bytes per second, or zero.
	LinkBandwidth float32 `cbor:"link"`
	// Era is the era of the store in which the daemon has written its row.
	Era int64 `cbor:"era,omitempty"`
	// Lineage is that of its row.
	Lineage uint32 `cbor:"lineage,omitempty"`
	// Unseen is true until a member that is seen has written the pool after this one had registered. An unseen member
	// holds nothing from the pool.
	Unseen bool `cbor:"unseen,omitempty"`
}

// sums are the totals of one account over all rows, including rows that are gone.
type sums struct {
	Granted contractor.Tokens `cbor:"granted"`
	Spent   contractor.Tokens `cbor:"spent"`
	Demand  float32           `cbor:"demand"`
	// Prepaid is what the account has prepaid, as known to the last daemon that rebalanced.
	Prepaid contractor.Tokens `cbor:"bound"`
	// Withheld is what daemons without a confirmed row may hold. It counts until the pool is settled.
	Withheld contractor.Tokens `cbor:"withheld,omitempty"`
}

// row is the entry of one daemon.
type row struct {
	Incarnation contractor.Incarnation `cbor:"incarnation"`
	// Lineage is common to the incarnations of a VM of which each has taken over the last row of the one before.
	// Zero means unknown: daemons of earlier versions do not write it.
	Lineage uint32 `cbor:"lineage,omitempty"`
	// Era is the era of the store in which the row was written.
	Era      int64                          `cbor:"era,omitempty"`
	Accounts map[contractor.Account]holding `cbor:"accounts"`
	// LeaseExpiryMillis is the time of day at which the leases of each stage have expired,
	// in milliseconds since 1970.
	LeaseExpiryMillis [len(stages)]int64 `cbor:"unlocks"`
	// WrittenAt is when the incarnation wrote this row, by the clock since boot. MinStay is
	// the shortest time from then until the incarnation leaves each stage.
	WrittenAt timekeeper.Reading         `cbor:"written"`
	MinStay   [len(stages)]time.Duration `cbor:"stay"`
	// Confined states that the incarnation has no lease yet and stays in the first stage until a
	// row without this statement is acknowledged. Rows of daemons of earlier versions lack it.
	Confined bool `cbor:"confined,omitempty"`
}

// holding is one account in a row. Settled and Demand are included in the pool's sums; Spent
// may be newer than Settled.
type holding struct {
	Granted contractor.Tokens              `cbor:"granted"`
	Limits  [len(stages)]contractor.Tokens `cbor:"limits"`
	Spent   contractor.Tokens              `cbor:"spent"`
	Settled contractor.Tokens              `cbor:"settled"`
	Demand  float32                        `cbor:"demand"`
}

// sums returns the totals of an account. What is withheld counts as granted.
func (p *pool) sums(name contractor.Account) sums {
	s := p.Accounts[name]
	s.Granted += p.withheld(name)
	return s
}

// demand is the demand of all daemons for all accounts, in tokens per second.
func (p *pool) demand() float64 {
	sum := 0.0
	for _, s := range p.Accounts {
		sum += float64(s.Demand)
	}
	return sum
}

func (p *pool) clone() pool {
	c := pool{Accounts: maps.Clone(p.Accounts), Members: maps.Clone(p.Members), Era: p.Era, Unconfirmed: maps.Clone(p.Unconfirmed), Settled: p.Settled, Copied: p.Copied}
	if c.Accounts == nil {
		c.Accounts = make(map[contractor.Account]sums)
	}
	if c.Members == nil {
		c.Members = make(map[string]member)
	}
	if c.Unconfirmed == nil {
		c.Unconfirmed = make(map[string]int64)
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

// apply replaces a holding, adjusts the sums accordingly and settles what was spent.
func (p *pool) apply(r *row, name contractor.Account, to holding) {
	from, s := r.Accounts[name], p.Accounts[name]
	to.Settled = to.Spent
	s.Granted += to.Granted - from.Granted
	s.Spent += to.Settled - from.Settled
	s.Demand = max(s.Demand+to.Demand-from.Demand, 0)
	p.Accounts[name] = s
	r.Accounts[name] = to
}

// takeOver turns the row of an earlier incarnation into that of a new one, which keeps the
// grants. The stage is the latest that the earlier incarnation can have reached. All that it
// may have spent since its last round counts as spent. takeOver returns this loss.
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
	// evenFraction of the allocated tokens is divided evenly among all daemons, because
	// clients move to daemons where an account had no demand yet.
	evenFraction = 0.12
	// maxEvenFraction is the largest fraction of the allocated tokens that is divided evenly
	// among all daemons, or among the holders of a balance that is too small for all.
	maxEvenFraction = 0.6
	// largeFleetMaxEvenFraction applies instead where a large fleet divides a balance among all
	// daemons, as the demand of one daemon for one account is a few requests by chance.
	largeFleetMaxEvenFraction = 0.95
	// maxDemandWeight limits the part of a daemon of a large fleet in the demand, as a multiple of
	// the mean. Callers are spread over the daemons by a hash, a few to each.
	maxDemandWeight = 6
	// shareTolerance is by how much a share may differ from its target before it is changed.
	// Without it, rounds would keep changing the shares.
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
	// unspentFraction is the fraction of the balance that is not spent.
	unspentFraction float64
	// longRequest is the cost of a long request.
	longRequest contractor.Tokens
	members     int
	// holder is true if the daemon gets an even part of the balance.
	holder            bool
	allocatedFraction float64
	// registering is true if this is the daemon's first round in a fleet that has no demand yet.
	registering bool
	// unseen is true if the daemon must not draw from the pool, see pool.seenBy.
	unseen  bool
	leaving bool
	// restarted is true if the daemon has taken over the row of an earlier incarnation recently.
	restarted bool
}

// targetGrant returns the new value of Granted in the daemon's row. The sums already include
// Spent and Demand of the plan.
func (q *accountPlan) targetGrant(s sums) contractor.Tokens {
	held := q.Granted - q.Spent
	required := q.reserved + q.awaited
	if q.leaving {
		return q.Spent + min(held, q.reserved)
	}
	target := q.target(s)
	if q.registering {
		target = min(target, max(held, holderShareTokens))
	}
	want := max(target, required)
	if q.unseen {
		want = min(want, held)
	}
	if held < want && (held < required || float64(want-held) > shareTolerance*float64(want)) {
		return q.Granted + q.drawFromPool(s, want-held, required-held)
	}
	if float64(held) > (1+shareTolerance)*float64(want) {
		return q.Spent + want
	}
	return q.Granted
}

// drawFromPool returns what the daemon takes from the pool. The fraction of the unspent balance
// that is not allocated is kept for requests that wait.
func (q *accountPlan) drawFromPool(s sums, wanted, missing contractor.Tokens) contractor.Tokens {
	unallocated := max(q.prepaid-s.Granted, 0)
	poolReserve := contractor.Tokens((1 - q.allocatedFraction) * float64(max(q.prepaid-s.Spent, 0)))
	return min(max(min(wanted, unallocated-poolReserve), missing, 0), unallocated)
}

// limits returns how much of its grant the daemon may have spent in each stage.
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

// openPart is what can be spent at once without the store: the demand of the first stage. In a
// large fleet a daemon holds only the tokens of about one request, and an open part that is
// smaller than a request is useless during a partition. There the open part covers a long
// request, or the demand of the first stage, while the balance is full. In a small fleet, that would lose too many tokens when a
// daemon is killed.
func (q *accountPlan) openPart(held float64) float64 {
	fullness := math.Pow(q.unspentFraction, openPartExponent)
	demand := min(q.demandRate*q.openTime.Seconds(), held*(openFraction+fullBalanceOpenFraction*fullness))
	if q.members <= smallFleetSize || q.restarted {
		return demand
	}
	needed := max(float64(q.longRequest)*fullness, demandMargin*q.demandRate*q.openTime.Seconds())
	return max(demand, min(held*q.unspentFraction, needed))
}

// target is the share of the unspent balance that the daemon holds when no request waits.
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
		fraction += (1 - even) * demandWeight(float64(q.Demand), float64(s.Demand), members)
	}
	target := contractor.Tokens(allocated * fraction)
	if target < minShare && (members <= smallFleetSize || target < largeFleetMinShare) {
		return 0
	}
	return target
}

// demandWeight is a daemon's part of the demand of all. In a large fleet it is limited: when the
// traffic begins, a sum of demands holds only those of the daemons that have rebalanced since, and
// the first of them would take the shares of all others.
func demandWeight(own, all float64, members int) float64 {
	weight := min(own/all, 1)
	if members > smallFleetSize {
		weight = min(weight, maxDemandWeight/float64(members))
	}
	return weight
}

// evenFractionOf is the fraction of the allocated tokens that is divided evenly among all
// daemons or among the holders. In a large fleet it is large enough that each can cover a long
// request, within the limits evenFraction and maxEvenFractionOf.
func (q *accountPlan) evenFractionOf(allocated float64, members int) float64 {
	if members <= smallFleetSize && holderCount(allocated, members) == members {
		return evenFraction
	}
	return min(max(float64(q.longRequest)*float64(members)/max(allocated, 1), evenFraction), maxEvenFractionOf(members))
}

// maxEvenFractionOf is the largest fraction of a balance that is divided evenly in a fleet.
func maxEvenFractionOf(members int) float64 {
	if members > smallFleetSize {
		return largeFleetMaxEvenFraction
	}
	return maxEvenFraction
}

// removeMember removes a silent daemon from the members and its demand from the sums. Its row
// keeps its grants.
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
