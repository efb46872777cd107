// Package apportioner deals the prepaid balances of client accounts out to daemons.
//
// A daemon spends only what the store has granted to this run of it. Each daemon has
// a row in the store, with what it was granted and has spent of each account, and
// all daemons share a pool with the sums of these rows. A daemon changes its row and
// the pool in one transaction under the condition that neither has changed, so for
// each account
//
//	sum of the grants = granted of the pool <= prepaid
//
// and whatever daemons do, in whatever cut, at most what is prepaid is spent.
//
// Daemons are cut off from the store, and from each other, for many seconds without
// a sign beforehand. So most of a balance is dealt out all the time, in proportion to
// the demand that each daemon has seen, and dealt anew every few seconds: what an
// account has left moves to the daemons that need it. A part stays in the pool, for
// requests that wait because a share has run out, and for daemons that start.
//
// Nobody knows how much a killed daemon has spent since its last round. To keep that
// little, a grant is unlocked in stages. A daemon spends the open part while its
// rounds succeed. Rounds put a key under a new lease for each stage, and the daemon
// spends the next part only after every lease of the stage before must have ended.
// So the next run of the daemon knows from the keys that it still finds how much may
// have been spent; without any, that is all that was granted. Leases may pause while
// the store is down; therefore a key counts only until the time of day at which its
// stage ends. When both runs belong to one boot of the VM, its steady clock tells more:
// the last run had ended when this one started, in whatever stage it was by then.
//
// An Apportioner is the shares of one daemon; its rounds are run by Run.
//
//	a := apportioner.New(apportioner.Config{Store: store, Name: "edge-1"})
//	go a.Run(ctx)
//	reservation, err := a.Reserve(ctx, "loft-7", most)
//	if err != nil {
//		return err // a *refuser.Refusal, not run
//	}
//	defer reservation.End()
//	...
//	reservation.Spend(used)
package apportioner

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/timekeeper"
)

// Keys of the store.
const (
	poolKey   = "budget/pool"
	rowPrefix = "budget/share/"
	// lockPrefix is for the keys that last while a daemon's locked parts are untouched.
	lockPrefix = "budget/lock/"
)

const (
	// roundInterval is the time between two rounds that settle the daemon's own row.
	roundInterval = time.Second
	// dealInterval is the time between two rounds that deal anew. Half of a zone's
	// demand can move to another daemon within a second, and cuts last nine.
	dealInterval = 2500 * time.Millisecond
	// dealPerMember bounds the writes to the pool, whose transactions exclude each
	// other: with an answer in 4 ms, one in 60 ms leaves most of them alone.
	dealPerMember = 60 * time.Millisecond
	// urgentDeal is the shortest time between two rounds that deal because a share
	// is used up.
	urgentDeal = 300 * time.Millisecond
	// kickInterval is the shortest time between two rounds, and openInterval that
	// before a round for which no request waits yet.
	kickInterval = 120 * time.Millisecond
	openInterval = 300 * time.Millisecond
	// joinPause is the time between two tries to get a row.
	joinPause = 50 * time.Millisecond
	// conflictPause is the mean wait after a conflict; it grows with each one.
	conflictPause = 5 * time.Millisecond
	// crowdPerMember is the mean time per daemon after which a deal is tried again that
	// others have come before: a transaction takes 8 to 15 ms, and all may try at once.
	crowdPerMember = 12 * time.Millisecond
	// reserveWait is how long a request waits for a round that brings tokens. A
	// round takes two calls of 4 ms; the objectives begin at 500 ms.
	reserveWait = 250 * time.Millisecond
	// callTimeout bounds one call. The store answers in 4 ms, or in up to 100 times
	// as long when it is slow.
	callTimeout = 1200 * time.Millisecond
	// silenceToFail is after how long without an answer a round counts as failing,
	// so that requests stop waiting for it.
	silenceToFail = 500 * time.Millisecond
	// demandTime is the time over which demand is averaged. It covers several
	// requests of a small account.
	demandTime = 8 * time.Second
	// memberTimeout is after how long without a round a daemon's demand is left
	// out. Cuts last about nine seconds.
	memberTimeout = 20 * time.Second

	// leaseMargin covers the store's delay in ending a lease and the drift of clocks.
	leaseMargin = 300 * time.Millisecond
	// retryElsewhere is when a caller comes back that was refused because this
	// daemon's share is used up while it is cut off: at once, as it gets to another
	// daemon.
	retryElsewhere = 100 * time.Millisecond
	// retryDealt is when a caller comes back after the next rounds of the others.
	retryDealt = time.Second

	// openShare and fullOpenShare bound the open part, as a part of what the daemon
	// holds. What a killed daemon had open is lost, and must be so little that an
	// account near its end still gets nearly all that it has paid for. One that has
	// all of its balance left can afford fullOpenShare more, which falls with the
	// square of what is left.
	openShare     = 0.02
	fullOpenShare = 0.14
	// leastShare is the least share in tokens that a daemon holds without a request
	// that needs it, about one request of middling length. Smaller ones are left in
	// the pool, where any daemon can use them.
	leastShare = 12_000
	// longRequest is a long request in tokens, which each daemon can cover while a balance
	// is ample. The users' longest kind takes 17,000 on average, its longest tenth 38,000.
	// Once a daemon has seen enoughRequests, none of which was as long, the longest of
	// them counts instead.
	longRequest    = 40_000
	enoughRequests = 50
	// holderShare is the share of each holder of a balance that is too small for all, so
	// that its open part covers a request.
	holderShare = 5 * leastShare
	// nearlySpentShare is the part of a balance below which it counts as nearly spent.
	nearlySpentShare = 0.01
	// demandExcess is how much more than the demand the later stages cover.
	demandExcess = 1.5
)

// smallFleet is the number of daemons up to which the intervals hold as they are. In
// a larger fleet all of them grow in proportion, because the store's rates and prices
// do not grow with the fleet.
const smallFleet = 28

// stages are how a grant is unlocked while the store is away.
var stages = [...]stage{
	// A killed daemon's last lease is up to 1.3 s old, and it is back within about 1.5 s.
	{name: "open", lease: 3 * time.Second, renewal: 950 * time.Millisecond},
	// A VM that lost power is back within about 4 s.
	{name: "short", lease: 7 * time.Second, renewal: 2 * time.Second, cover: 4 * time.Second, share: 0.15},
	// Cuts last up to 9 s.
	{name: "long", lease: 12 * time.Second, renewal: 4 * time.Second, cover: 5 * time.Second, share: 0.5},
}

// stageOpen is the stage while rounds succeed.
const stageOpen = 0

// stage is a part of the time without the store, in which only a part of a grant is spent.
type stage struct {
	name string
	// lease is how long the stage lasts after its last lease.
	lease time.Duration
	// renewal is after how long a round gets a new lease.
	renewal time.Duration
	// cover is how long the stage's part of the grant lasts at the usual demand.
	cover time.Duration
	// share is the least part of a share that the stage adds, for accounts that turn
	// to a daemon at which they had no demand.
	share float64
}

// Config holds what an Apportioner needs.
type Config struct {
	Store persister.Store
	// Name is the name of this VM, which the next run of the daemon has too.
	Name string
	// Address is where other daemons reach this one.
	Address netip.AddrPort
	// LinkBandwidth is the width of this VM's network link in bytes per second, or zero.
	LinkBandwidth float64
	// Incarnation differs in each run of the daemon.
	Incarnation contractor.Incarnation
	// AllocatedFraction is the part of a balance that is dealt out. Zero means defaultDealt.
	AllocatedFraction float64
	// RequestTransfer asks other daemons for tokens, which it credits. Nil means that nobody lends.
	RequestTransfer func(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens
	Recorder        *recorder.Recorder
	// BootClock reads the clock that the runs of this VM share, first when the apportioner is
	// made: by then the last run must have ended. Nil means that there is none.
	BootClock func() (timekeeper.Reading, error)
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// defaultDealt is the part of a balance that is dealt out.
const defaultDealt = 0.9

// Apportioner holds the shares of one daemon. It is safe for concurrent use.
type Apportioner struct {
	config Config
	start  time.Time
	// started is when this run started, or the zero value.
	started timekeeper.Reading
	// kicked asks for a round at once, opening for one soon.
	kicked, opening chan struct{}

	mu       sync.Mutex
	accounts map[contractor.Account]*account
	// bounds is what each account has prepaid, from the configuration in force.
	bounds map[contractor.Account]contractor.Tokens
	rounds roundState
	// requests is the number of requests so far, longest the most that one of them needed.
	requests int
	longest  contractor.Tokens
	// served is closed and replaced after each round.
	served chan struct{}
}

// roundState is what the daemon knows of the store.
type roundState struct {
	// known is true while row and pool are those of the store's last answer.
	known        bool
	row          row
	rowRevision  contractor.Revision
	pool         pool
	poolRevision contractor.Revision
	number       int64
	joined       bool
	leaving      bool
	// predecessor is the earlier run whose row this one takes over, and before the
	// stage that it cannot have left, or len(stages).
	predecessor contractor.Incarnation
	before      int
	// dealtAt is when the daemon last dealt, and dealAfter when it tries again after
	// others have changed the pool at the same time.
	dealtAt, dealAfter time.Time
	// leasedAt is when the daemon last got a lease of a stage, and lockedUntil when
	// all of its leases have ended in any case.
	leasedAt, lockedUntil [len(stages)]time.Time
	// locks are the keys of leases that no transaction has written yet.
	locks []persister.Put
	// asked is when the round under way began, or the zero time.
	asked   time.Time
	failing bool
	// members is when the round of another daemon was last seen to advance.
	members map[string]memberRound
}

type memberRound struct {
	round int64
	at    time.Time
}

// New returns an apportioner that holds nothing.
func New(c Config) *Apportioner {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.AllocatedFraction <= 0 {
		c.AllocatedFraction = defaultDealt
	}
	a := &Apportioner{
		config:   c,
		start:    c.Now(),
		kicked:   make(chan struct{}, 1),
		opening:  make(chan struct{}, 1),
		accounts: make(map[contractor.Account]*account),
		served:   make(chan struct{}),
		rounds:   roundState{members: make(map[string]memberRound)},
	}
	a.started = a.moment()
	return a
}

// moment reads the clock that the runs of this VM share. The zero value shows that it
// cannot be read.
func (a *Apportioner) moment() timekeeper.Reading {
	if a.config.BootClock == nil {
		return timekeeper.Reading{}
	}
	m, err := a.config.BootClock()
	if err != nil {
		a.config.Recorder.Event(recorder.ClockUnreadable, "err", err)
	}
	return m
}

// SetPrepaidLimits replaces what the accounts have prepaid. Accounts that are left out
// have no bound.
func (a *Apportioner) SetPrepaidLimits(bounds map[contractor.Account]contractor.Tokens) {
	a.mu.Lock()
	a.bounds = bounds
	for name := range bounds {
		a.account(name)
	}
	a.mu.Unlock()
	a.kick()
}

// Joined reports whether the daemon has a row in the store.
func (a *Apportioner) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rounds.joined
}

// MemberCount returns the number of daemons that share the balances, at least 1.
func (a *Apportioner) MemberCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(len(a.rounds.pool.Members), 1)
}

// Peers returns the addresses of the other daemons that share the balances.
func (a *Apportioner) Peers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var peers []netip.AddrPort
	for name, m := range a.rounds.pool.Members {
		if name == a.config.Name {
			continue
		}
		if address, err := netip.ParseAddrPort(m.Address); err == nil {
			peers = append(peers, address)
		}
	}
	return peers
}

func (a *Apportioner) account(name contractor.Account) *account {
	s := a.accounts[name]
	if s == nil {
		s = &account{}
		a.accounts[name] = s
	}
	return s
}

// paced stretches an interval with the size of the fleet. The lock is held.
func (a *Apportioner) paced(d time.Duration) time.Duration {
	members := max(len(a.rounds.pool.Members), smallFleet)
	return d * time.Duration(members) / smallFleet
}

// leaseTime is the time of a stage's lease: longer by what rounds are longer in a
// large fleet. The lock is held.
func (a *Apportioner) leaseTime(stage int) time.Duration {
	return stages[stage].lease + a.paced(roundInterval) - roundInterval
}

// kick asks for a round at once.
func (a *Apportioner) kick() { signal(a.kicked) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
