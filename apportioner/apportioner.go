// Package apportioner divides the prepaid balances of client accounts among the daemons.
//
// A daemon spends only the tokens that the store has granted to its current incarnation (one
// start of the daemon). Each daemon has an entry in the store, its row. The row records, for
// each account, how many tokens the daemon was granted and has spent. All daemons share one
// more entry, the pool, which holds the sums of the rows. A daemon changes its row and the
// pool in one transaction, on the condition that neither has changed since it was read. This
// ensures for each account that
//
//	sum of the grants = granted of the pool <= prepaid
//
// and that the daemons together spend at most what is prepaid, whatever network partitions
// occur.
//
// A daemon can lose contact with the store and with other daemons for many seconds, without
// warning. Most of a balance is therefore granted in advance: each daemon holds a share, sized
// in proportion to the demand that it has seen. Periodic rounds synchronise the daemon with
// the store: every round settles what was spent, and every few seconds one rebalances the
// shares, which moves unspent tokens to the daemons that need them. The rest of the balance
// stays unallocated in the pool, for requests that wait because a share is used up and for
// daemons that start.
//
// How much a killed daemon has spent since its last round is unknown. To limit this loss, a
// grant is unlocked in stages. While rounds succeed, the daemon is in the first stage and
// spends only the open part of its grant. Rounds regularly write a key with a new lease for
// each stage. The daemon unlocks the next part of its grant only after every lease of the
// current stage must have expired. Its next incarnation looks up which keys still exist, and
// knows from them how much can have been spent; if none exists, it assumes the whole grant.
// The store may pause leases while it is down, so a key counts only until the time of day at
// which its stage ends. If both incarnations ran during the same boot of the VM, the keys are
// not needed: the clock since boot limits the stage that the earlier incarnation can have
// reached, because it had ended when the later one started.
//
// A store that is restored from an older copy has lost grants that it had acknowledged. The daemons
// then write what they hold over the rows of the copy, see planConfirmation.
//
// An Apportioner manages the shares of one daemon. Run executes its rounds.
//
//	a := apportioner.New(apportioner.Config{Store: store, Name: "edge-1"})
//	go a.Run(ctx)
//	reservation, err := a.Reserve(ctx, "loft-7", maxCost)
//	if err != nil {
//		return err // a *refuser.Refusal; the request has not run
//	}
//	defer reservation.Release()
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
	// leasePrefix is for the keys that exist while the lease of a stage lasts.
	leasePrefix = "budget/lock/"
)

const (
	// roundInterval is the time between two rounds that settle the daemon's own row.
	roundInterval = time.Second
	// rebalanceInterval is the time between two rounds that rebalance the shares. Half of a
	// zone's demand can move to another daemon within a second, and partitions last up to 9 s.
	rebalanceInterval = 2500 * time.Millisecond
	// rebalanceIntervalPerMember limits the daemons of a large fleet together to one change of
	// the pool in 15 ms. The relay merges the changes of one batch, which takes about 1 ms of
	// processor time for each.
	rebalanceIntervalPerMember = 15 * time.Millisecond
	// joinRebalanceInterval is the time between the first rebalancing rounds of a daemon, whose
	// view of the members is still incomplete when a fleet starts.
	joinRebalanceInterval = time.Second
	joinRebalances        = 3
	// urgentRebalanceInterval is the shortest time between two rounds that rebalance because
	// a share is used up. mergedRebalanceInterval applies instead where a relay merges the
	// changes of the pool, which then do not conflict.
	urgentRebalanceInterval = 300 * time.Millisecond
	mergedRebalanceInterval = 120 * time.Millisecond
	// minRoundInterval is the shortest time between the starts of two rounds.
	// unlockRoundInterval applies instead when the open part is nearly used up but no
	// request waits yet. With 300 ms, small open parts cost 5% more calls to the store.
	minRoundInterval    = 120 * time.Millisecond
	unlockRoundInterval = 400 * time.Millisecond
	// joinRetryInterval is the time between two attempts to get a row.
	joinRetryInterval = 50 * time.Millisecond
	// conflictBackoff is the mean wait after a first conflict. It grows with each further one.
	conflictBackoff = 5 * time.Millisecond
	// registerSpread is the time over which the daemons of a starting fleet register in the pool.
	registerSpread = time.Second
	// registerBackoffPerMember, times the number of daemons seen so far, is added to the longest
	// wait after a conflict until a daemon has registered.
	registerBackoffPerMember = 12 * time.Millisecond
	// rebalanceBackoffPerMember, times the number of daemons, is the mean wait before a
	// daemon rebalances again after repeated conflicts. A transaction takes 8 to 15 ms, and
	// all daemons may try at once.
	rebalanceBackoffPerMember = 24 * time.Millisecond
	// maxReserveWait is how long a request waits for a round that brings tokens. A round
	// takes two calls of 4 ms each, or two batches of a relay; the latency objectives start at
	// 500 ms.
	maxReserveWait = 300 * time.Millisecond
	// callTimeout limits one call to the store, which responds in 4 ms, or in up to 100
	// times as long when it is slow.
	callTimeout = 1200 * time.Millisecond
	// roundStallTimeout is the time without a response after which a round counts as failing
	// and requests stop waiting for it.
	roundStallTimeout = 500 * time.Millisecond
	// demandAveragingTime is the time constant of the demand average. It covers several
	// requests of a small account.
	demandAveragingTime = 8 * time.Second
	// restartTime is how long a daemon that has taken over a row keeps its open part small. Losses of
	// power follow each other within seconds, and each takes what is open off the balances. In
	// contact with the store, a small open part costs a request the wait for a round.
	restartTime = 5 * time.Second
	// settleTime is how long after a restore of the store what may be held by daemons that nobody
	// knows is withheld. Daemons in contact confirm their rows in their next round.
	settleTime = 5 * time.Second
	// memberTimeout is the time without a round after which a daemon is removed from the
	// members and its demand no longer counts. It outlasts partitions, of about nine seconds.
	memberTimeout = 20 * time.Second

	// leaseTTLStep is the unit of the TTLs of leases in a large fleet.
	leaseTTLStep = time.Second
	// leaseExpiryMargin covers the store's delay in expiring a lease and the drift of clocks.
	leaseExpiryMargin = 300 * time.Millisecond
	// retryElsewhereDelay is the shortest Retry-After of a refusal when this daemon's share
	// is used up and the store is unreachable. It is short because the retry reaches another
	// daemon.
	retryElsewhereDelay = 100 * time.Millisecond
	// retryRebalancedDelay is the Retry-After of the other refusals: by then the other daemons
	// have made their next rounds.
	retryRebalancedDelay = time.Second

	// openFraction and fullBalanceOpenFraction limit the open part, as fractions of the
	// tokens that the daemon holds. The open part of a killed daemon is lost. It has to be
	// small enough that an account whose balance is nearly spent still gets nearly all that
	// it has paid for. An unspent balance can afford fullBalanceOpenFraction more; this
	// addition falls with a power of the unspent fraction, openPartExponent, and so does the long
	// request that the open part covers in a large fleet. Half-way through a balance, with the
	// square, a loss of power of all daemons takes 6 to 40% of what they hold.
	openFraction            = 0.02
	fullBalanceOpenFraction = 0.14
	openPartExponent        = 4
	// minShare is the smallest share in tokens that a daemon holds without a request that
	// needs it: about one request of medium length. Smaller shares stay in the pool, where
	// any daemon can use them. largeFleetMinShare applies where a large fleet divides a balance
	// among all daemons: in a partition, even a short request is served only from what its daemon
	// holds.
	minShare           = 12_000
	largeFleetMinShare = 4_000
	// longRequestTokens is the cost of a long request. While a balance is ample, each daemon
	// can cover one. The users' longest kind of request takes 17,000 tokens on average, and
	// its longest tenth 38,000. Once a daemon has seen minObservedRequests, the largest of
	// them counts instead if it took less.
	longRequestTokens   = 40_000
	minObservedRequests = 50
	// holderShareTokens is the share of a holder: one of the few daemons that get a share when
	// a balance is too small for all. It is large enough that its open part covers a request.
	holderShareTokens = 5 * minShare
	// nearlySpentFraction is the fraction of a balance below which it counts as nearly spent.
	nearlySpentFraction = 0.01
	// demandMargin is the ratio of what the later stages unlock to the average demand.
	demandMargin = 1.5
)

const (
	// smallFleetSize is the number of daemons up to which each calls the store itself. A larger
	// fleet has a relay.
	smallFleetSize = 28
	// fullRateFleetSize is the number of daemons up to which the intervals apply unchanged. In a
	// larger fleet they grow in proportion: the relay gets at most about as many periodic rounds
	// a second, beside those for requests that wait.
	fullRateFleetSize = 300
)

// stages define how a grant is unlocked while the store is unavailable.
var stages = [...]stage{
	// A killed daemon's last lease is up to 1.3 s old, and it restarts within about 1.5 s.
	{name: "open", leaseTTL: 3 * time.Second, renewInterval: 950 * time.Millisecond},
	// A VM that lost power is running again within about 4 s.
	{name: "short", leaseTTL: 7 * time.Second, renewInterval: 2 * time.Second, demandCover: 4 * time.Second, minFraction: 0.15},
	// Partitions last up to 9 s. A VM that loses power at the end of one is running again within
	// about 4 s, and the last lease from before is up to 4 s old.
	{name: "long", leaseTTL: 17 * time.Second, renewInterval: 4 * time.Second, demandCover: 5 * time.Second, minFraction: 0.2},
}

// stageOpen is the stage in which a daemon stays while rounds succeed.
const stageOpen = 0

// stage is a period without contact to the store in which only a part of a grant is spent.
type stage struct {
	name string
	// leaseTTL is how long the stage lasts after its last lease was granted.
	leaseTTL time.Duration
	// renewInterval is the age of a lease at which a round gets a new one.
	renewInterval time.Duration
	// demandCover is how long the tokens that the stage unlocks last at the usual demand.
	demandCover time.Duration
	// minFraction is the least fraction of the tokens held that the stage unlocks. It is for
	// accounts whose requests move to a daemon at which they had no demand.
	minFraction float64
}

// Config configures an Apportioner.
type Config struct {
	Store persister.Store
	// Name is the name of this VM, the same for every incarnation of the daemon.
	Name string
	// Address is where other daemons reach this one.
	Address netip.AddrPort
	// LinkBandwidth is that of this VM's network link in bytes per second, or zero.
	LinkBandwidth float64
	// Incarnation differs at each start of the daemon.
	Incarnation contractor.Incarnation
	// AllocatedFraction is the fraction of a balance that is allocated to daemons. Zero
	// means defaultAllocatedFraction.
	AllocatedFraction float64
	// RequestTransfer requests tokens from other daemons and credits those received. Nil
	// means that there are no transfers.
	RequestTransfer func(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens
	// Attach returns what the next round writes besides balances. relayed is true in a fleet with a relay, which combines the
	// entries of several rounds in one call, so that each entry may cost a part of one. It is called without a lock of
	// the Apportioner, as is Written. Nil means nothing.
	Attach   func(relayed bool) Attachment
	Recorder *recorder.Recorder
	// BootClock reads the clock since boot, which all incarnations on this VM share. New
	// reads it first, and the earlier incarnation must have ended by then. Nil means that
	// there is none.
	BootClock func() (timekeeper.Reading, error)
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// defaultAllocatedFraction is the fraction of a balance that is allocated to daemons.
const defaultAllocatedFraction = 0.9

// Attachment is what a round writes besides balances, so that no call to the store is made for it. Keys must not be
// those of an Apportioner.
type Attachment struct {
	Puts    []persister.Put
	Deletes []string
	// Written is called once the transaction has taken effect. Nil means that nobody needs to know.
	Written func()
}

// Apportioner holds the shares of one daemon. It is safe for concurrent use.
type Apportioner struct {
	config Config
	start  time.Time
	// startReading is the clock since boot when this incarnation started, or the zero value.
	startReading timekeeper.Reading
	// roundNow triggers a round at once, roundSoon triggers one after unlockRoundInterval.
	roundNow, roundSoon chan struct{}

	mu       sync.Mutex
	accounts map[contractor.Account]*account
	// prepaid is what each account has prepaid, from the configuration in force.
	prepaid map[contractor.Account]contractor.Tokens
	state   storeState
	// requestCount is the number of requests so far, largestRequest the largest maximum cost.
	requestCount   int
	largestRequest contractor.Tokens
	// roundDone is closed and replaced after each round.
	roundDone chan struct{}
}

// storeState is what the daemon knows of the store.
type storeState struct {
	// current is true while row and pool are those of the store's last response.
	current      bool
	row          row
	rowRevision  contractor.Revision
	pool         pool
	poolRevision contractor.Revision
	roundNumber  int64
	joined       bool
	leaving      bool
	// storeEra is the latest era of the store that was seen, since storeEraSince. era is the one in
	// which this incarnation has written its row. earlierLineages are those known from the eras before, by key, with
	// the number of the pool's revision from which on it shows that they have left.
	storeEra, era   int64
	storeEraSince   time.Time
	earlierLineages map[string]int64
	// lineage is that of this incarnation, once it has joined.
	lineage uint32
	// seen is true once another daemon knows this lineage as a member. registeredRounds are the members' rounds in the
	// first pool known to have it.
	seen             bool
	registeredRounds map[string]int64
	// departures are the lineages that have left in the last departureRetention.
	departures map[lineageID]departure
	// predecessorLost is true if this incarnation has taken over a row of an earlier era that names no lineage.
	predecessorLost bool
	// predecessor is the earlier incarnation whose row this one takes over, and
	// predecessorStage the latest stage that it can have reached. len(stages) means that it
	// may have spent its whole grant.
	predecessor      contractor.Incarnation
	predecessorStage int
	// restartedUntil is when the open part of an incarnation with a predecessor reaches its full size.
	restartedUntil time.Time
	// rebalancedAt is when the daemon last rebalanced, and rebalanceAfter when it tries again
	// after conflicts with other daemons.
	rebalancedAt, rebalanceAfter time.Time
	// registerAfter is when the daemon registers, unless a request waits.
	registerAfter time.Time
	// leasedAt is when the daemon last got a lease for a stage, and leaseExpiry when all of
	// the stage's leases must have expired.
	leasedAt, leaseExpiry [len(stages)]time.Time
	// pendingLeaseKeys are the keys of leases that no transaction has written yet.
	pendingLeaseKeys []persister.Put
	// roundStarted is when the current round started, or the zero time.
	roundStarted time.Time
	failing      bool
	// memberRounds records when the round number of each daemon was last seen to advance.
	memberRounds map[string]memberRound
}

type memberRound struct {
	round  int64
	seenAt time.Time
}

// New returns an Apportioner without any shares.
func New(c Config) *Apportioner {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.AllocatedFraction <= 0 {
		c.AllocatedFraction = defaultAllocatedFraction
	}
	a := &Apportioner{
		config:    c,
		start:     c.Now(),
		roundNow:  make(chan struct{}, 1),
		roundSoon: make(chan struct{}, 1),
		accounts:  make(map[contractor.Account]*account),
		roundDone: make(chan struct{}),
		state:     storeState{memberRounds: make(map[string]memberRound), departures: make(map[lineageID]departure)},
	}
	a.startReading = a.readBootClock()
	return a
}

// readBootClock reads the clock that all incarnations on this VM share. It returns the zero
// value when the clock cannot be read.
func (a *Apportioner) readBootClock() timekeeper.Reading {
	if a.config.BootClock == nil {
		return timekeeper.Reading{}
	}
	reading, err := a.config.BootClock()
	if err != nil {
		a.config.Recorder.Event(recorder.ClockUnreadable, "err", err)
	}
	return reading
}

// SetPrepaidLimits replaces the prepaid tokens of the accounts. Accounts that are not in the
// map have no limit.
func (a *Apportioner) SetPrepaidLimits(limits map[contractor.Account]contractor.Tokens) {
	a.mu.Lock()
	a.prepaid = limits
	for name := range limits {
		a.account(name)
	}
	a.mu.Unlock()
	a.requestRound()
}

// Joined reports whether the daemon has a row in the store.
func (a *Apportioner) Joined() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.joined
}

// Registered reports whether the daemon knows the members of the fleet and is one of them.
func (a *Apportioner) Registered() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.state.rebalancedAt.IsZero()
}

// MemberCount returns the number of daemons that share the balances, at least 1.
func (a *Apportioner) MemberCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(len(a.state.pool.Members), 1)
}

// Peers returns the addresses of the other daemons that share the balances.
func (a *Apportioner) Peers() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var peers []netip.AddrPort
	for name, m := range a.state.pool.Members {
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

// scaleToFleet lengthens an interval in proportion to the size of a fleet that exceeds
// fullRateFleetSize. The lock is held.
func (a *Apportioner) scaleToFleet(d time.Duration) time.Duration {
	members := max(len(a.state.pool.Members), fullRateFleetSize)
	return d * time.Duration(members) / fullRateFleetSize
}

// hasRelay reports whether the fleet is so large that a relay merges changes of the pool. The
// lock is held.
func (a *Apportioner) hasRelay() bool { return len(a.state.pool.Members) > smallFleetSize }

// urgentInterval is the shortest time between two rounds that rebalance because a share is used
// up. The lock is held.
func (a *Apportioner) urgentInterval() time.Duration {
	if a.hasRelay() {
		return mergedRebalanceInterval
	}
	return urgentRebalanceInterval
}

// leaseTTL returns the TTL of a stage's lease. In a large fleet it is longer by as much as the
// round interval is, rounded up: only leases of the same TTL are shared, and the daemons do not
// count the same members at every moment. The lock is held.
func (a *Apportioner) leaseTTL(stage int) time.Duration {
	extension := a.scaleToFleet(roundInterval) - roundInterval
	return stages[stage].leaseTTL + (extension + leaseTTLStep - 1).Truncate(leaseTTLStep)
}

// HastenRound triggers a round soon, for what is attached to it.
func (a *Apportioner) HastenRound() { signal(a.roundSoon) }

// requestRound triggers a round at once.
func (a *Apportioner) requestRound() { signal(a.roundNow) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
