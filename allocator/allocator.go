// Package allocator is the keeper's side of budgets.
//
// The keeper of an (account, zone) pair holds the zone's grants and answers the
// reservations of the zone's entries. Per budget it knows what the ledger has
// granted, what is reserved, and what is settled but not flushed; the rest is
// free. Reserve takes from what is free. Settle moves the actual use from
// reserved to unflushed and frees the rest at once. A Plan collects what the
// next write of the ledger has to change.
//
// The package is a state machine without I/O: every method takes the time and
// returns what the caller has to do. The treasurer writes the ledger and sends
// the messages:
//
//	granted := keeper.Reserve(now, ask)
//	if granted.Outcome == allocator.Short {
//		plan := keeper.Plan(now, account, true)
//		...
//	}
//
// A keeper never gives out more than its section of the ledger holds. It stops
// when the term of its grants is over, counted on its own monotonic clock from
// before its last write; other zones wait for that term and the drift bound
// before they touch its grants.
package allocator

import (
	"hash/maphash"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/reserver"
)

// Defaults of Config.
const (
	DefaultTerm             = 2 * time.Hour
	DefaultMaxClockDrift    = 0.001
	DefaultGrantCoverage    = 70 * time.Minute
	DefaultMaxGrantFraction = 0.75
	DefaultMinFlushInterval = time.Second
	DefaultMaxLines         = 1024
	DefaultWritesPerSecond  = 100.0
	DefaultKeyRetention     = 10 * time.Minute
	DefaultSealTimeout      = 500 * time.Millisecond
	DefaultLedgerBackoff    = 500 * time.Millisecond
	DefaultTransferBackoff  = 100 * time.Millisecond

	shardCount = 32
	// idleGrantRequests is the number of requests of the size asked for that a first
	// grant covers.
	idleGrantRequests = 4
	// sizeDecayRequests is the number of requests over which the typical size falls.
	sizeDecayRequests = 16
	// ampleIdleGrants is the number of idle grants that the free balance must cover
	// before a zone keeps one.
	ampleIdleGrants = 16
	// writesPerTerm is the number of writes within one term.
	writesPerTerm = 4
	// rateTimeConstant is the time constant of the average of the draw.
	rateTimeConstant = 10 * time.Second
)

// LostPolicy says what happens to a reservation whose entry is gone.
type LostPolicy uint8

const (
	// ChargeLost charges the whole reservation as an unconfirmed line.
	ChargeLost LostPolicy = iota
	// ReleaseLost frees the reservation; the operator of the fleet bears the use.
	ReleaseLost
)

// String returns "charge" or "release".
func (l LostPolicy) String() string {
	if l == ReleaseLost {
		return "release"
	}
	return "charge"
}

// Config holds the limits of an Allocator. Zero fields have defaults.
type Config struct {
	Zone contractor.Zone
	Self reserver.Holder
	// Term is the time after its last write for which a keeper may use its grants.
	Term time.Duration
	// MaxClockDrift bounds the difference in speed of two clocks.
	MaxClockDrift float64
	// DispatchWindow and LongestRequest bound the life of a reservation.
	DispatchWindow time.Duration
	LongestRequest time.Duration
	LostPolicy     LostPolicy
	// GrantCoverage is the time for which a grant covers the recent draw, besides
	// twice the interval of flushes.
	GrantCoverage time.Duration
	// MaxGrantFraction is the part of the free balance that one grant may take.
	MaxGrantFraction float64
	// MinFlushInterval is the shortest time between two flushes without need.
	MinFlushInterval time.Duration
	// MaxLines is the number of lines that makes a flush due.
	MaxLines int
	// WritesPerSecond is the number of flushes per second that the daemon may do.
	WritesPerSecond float64
	// KeyRetention is the time for which request keys of callers are remembered.
	KeyRetention time.Duration
	// SealTimeout is the time that a seal gives one daemon to answer.
	SealTimeout time.Duration
	// LedgerBackoff is the time for which a budget without free balance is not
	// read again.
	LedgerBackoff time.Duration
	// TransferBackoff is the time for which other zones are not asked again.
	TransferBackoff time.Duration
}

func (c *Config) setDefaults() {
	setDuration(&c.Term, DefaultTerm)
	setDuration(&c.DispatchWindow, reserver.DefaultDispatchWindow)
	setDuration(&c.LongestRequest, reserver.DefaultLongestRequest)
	setDuration(&c.GrantCoverage, DefaultGrantCoverage)
	setDuration(&c.MinFlushInterval, DefaultMinFlushInterval)
	setDuration(&c.KeyRetention, DefaultKeyRetention)
	setDuration(&c.SealTimeout, DefaultSealTimeout)
	setDuration(&c.LedgerBackoff, DefaultLedgerBackoff)
	setDuration(&c.TransferBackoff, DefaultTransferBackoff)
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = DefaultMaxClockDrift
	}
	if c.MaxGrantFraction == 0 {
		c.MaxGrantFraction = DefaultMaxGrantFraction
	}
	if c.MaxLines == 0 {
		c.MaxLines = DefaultMaxLines
	}
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = DefaultWritesPerSecond
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// faults are errors that tests seed to show that they are noticed.
type faults struct {
	skipTerm  bool
	skipDebit bool
}

// Allocator is the keeper of some accounts in one zone.
type Allocator struct {
	config Config
	seed   maphash.Seed
	faults faults
	shards [shardCount]shard
	pacing pacing
}

type shard struct {
	mu           sync.Mutex
	accounts     map[contractor.Account]*account
	formerEpochs map[contractor.Account]formerEpochs
}

// New returns an Allocator that keeps no account.
func New(c Config) *Allocator {
	c.setDefaults()
	a := &Allocator{config: c, seed: maphash.MakeSeed()}
	a.pacing.setWritesPerSecond(c.WritesPerSecond)
	for i := range a.shards {
		a.shards[i].accounts = make(map[contractor.Account]*account)
		a.shards[i].formerEpochs = make(map[contractor.Account]formerEpochs)
	}
	return a
}

func (a *Allocator) shard(name contractor.Account) *shard {
	s := &a.shards[maphash.String(a.seed, string(name))%shardCount]
	s.mu.Lock()
	return s
}

// Request is one request for a reservation.
type Request struct {
	Account   contractor.Account
	Record    reserver.Record
	MinAmount contractor.Tokens
}

// Outcome is the kind of an answer to an Ask.
type Outcome uint8

const (
	// Approved means that the amount is reserved.
	Approved Outcome = iota
	// Insufficient means that too little is free.
	Insufficient
	// NotKeeper means that the daemon does not keep the account.
	NotKeeper
	// TermExpired means that the grants are too old to be used.
	TermExpired
	// UnknownBudget means that the ledger that the keeper has read lacks the budget.
	UnknownBudget
	// Duplicate means that the reservation was asked for or given up before.
	Duplicate
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"given", "short", "not_keeper", "term_over", "no_budget", "withdrawn"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Response is the keeper's answer to an Ask.
type Response struct {
	Outcome Outcome
	Amount  contractor.Tokens
	Epoch   contractor.Epoch
	// PagesBefore is the number of pages of the bill that the keeper has seen.
	PagesBefore uint64
	// Revision is the store's revision of the keeper's last write.
	Revision contractor.Revision
	// NeedsWitness is true when the reservation has to be witnessed before its use.
	NeedsWitness bool
	// ReservedSuffices is true when open reservations would cover the request.
	ReservedSuffices bool
	// LedgerExhausted is true when a recent read of the ledger found no free balance.
	LedgerExhausted bool
	// ZonesExhausted is true when recently no other zone could give the amount either.
	ZonesExhausted bool
	// Demand is what the waiting requests ask for.
	Demand contractor.Tokens
	// Sealing is true while a predecessor's grants are held back.
	Sealing bool
}

// Reserve takes an amount for one request, once by the reservation's Ref. An
// entry that repeats a request asks with a new one.
func (a *Allocator) Reserve(now time.Time, request Request) Response {
	s := a.shard(request.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[request.Account]
	if !ok || acc.closing {
		return Response{Outcome: NotKeeper}
	}
	response := Response{Epoch: acc.section.Epoch, PagesBefore: acc.pages, Revision: acc.revision, Sealing: acc.sealing != nil}
	if a.termExpired(now, acc) {
		response.Outcome = TermExpired
		return response
	}
	if acc.isDuplicate(now, request.Record.Ref) {
		response.Outcome = Duplicate
		return response
	}
	b := acc.budget(request.Record.Budget)
	if b == nil {
		response.Outcome = UnknownBudget
		return response
	}
	b.typicalSize = max(request.Record.Amount, b.typicalSize-b.typicalSize/sizeDecayRequests)
	free := b.free()
	if free < request.MinAmount || free <= 0 {
		response.Outcome = Insufficient
		response.ReservedSuffices = b.reserved >= request.MinAmount-max(0, free)
		response.Demand = b.demand
		response.LedgerExhausted = now.Sub(b.ledgerExhaustedAt()) < a.config.LedgerBackoff
		response.ZonesExhausted = request.MinAmount >= b.zonesExhaustedMin && now.Sub(unixTime(b.zonesExhausted)) < a.config.TransferBackoff
		return response
	}
	record := request.Record
	record.Amount = min(record.Amount, free)
	record.Epoch, record.Since = acc.section.Epoch, acc.pages
	acc.reservations[record.Ref] = &reservation{record: record, reservedAt: now}
	b.reserved += record.Amount
	b.consumed += record.Amount
	response.Amount = record.Amount
	response.NeedsWitness = acc.needsWitness(record.Ref.Entry, a.config.Self)
	return response
}

// termExpired reports whether the grants may no longer be used.
func (a *Allocator) termExpired(now time.Time, acc *account) bool {
	return now.Sub(acc.writtenAt) >= a.config.Term && !a.faults.skipTerm
}

// Keeps reports whether the daemon keeps an account, and with which epoch.
func (a *Allocator) Keeps(name contractor.Account) (contractor.Epoch, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return 0, false
	}
	return acc.section.Epoch, true
}

// Free returns what may be reserved of a budget now.
func (a *Allocator) Free(id contractor.BudgetID) contractor.Tokens {
	s := a.shard(id.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[id.Account]
	if !ok {
		return 0
	}
	if b := acc.budget(id.Name); b != nil {
		return b.free()
	}
	return 0
}

// AddDemand adds what a waiting request asks for; a negative amount ends the wait.
// The next writes of the ledger fetch it if they can.
func (a *Allocator) AddDemand(id contractor.BudgetID, amount contractor.Tokens) {
	s := a.shard(id.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[id.Account]
	if !ok {
		return
	}
	if b := acc.budget(id.Name); b != nil {
		b.demand = max(0, b.demand+amount)
	}
}

// MarkZonesExhausted notes that no zone could give an amount of a budget.
func (a *Allocator) MarkZonesExhausted(now time.Time, id contractor.BudgetID, minAmount contractor.Tokens) {
	s := a.shard(id.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[id.Account]
	if !ok {
		return
	}
	if b := acc.budget(id.Name); b != nil {
		b.zonesExhausted, b.zonesExhaustedMin = now.UnixNano(), minAmount
	}
}

// OtherZones returns the other zones that had a keeper when the ledger was last read.
func (a *Allocator) OtherZones(name contractor.Account) []contractor.Zone {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return nil
	}
	zones := make([]contractor.Zone, 0, len(acc.otherSections))
	for zone := range acc.otherSections {
		zones = append(zones, zone)
	}
	return zones
}

// Accounts returns the accounts that the daemon keeps.
func (a *Allocator) Accounts() []contractor.Account {
	var names []contractor.Account
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name := range s.accounts {
			names = append(names, name)
		}
		s.mu.Unlock()
	}
	return names
}

// Balance is what a keeper knows of one budget.
type Balance struct {
	Name      contractor.BudgetName
	Granted   contractor.Tokens
	Reserved  contractor.Tokens
	Unflushed contractor.Tokens
	Free      contractor.Tokens
}

// Status is what a keeper knows of one account.
type Status struct {
	Account          contractor.Account
	Epoch            contractor.Epoch
	Sealing          bool
	OpenReservations int
	UnflushedLines   int
	Budgets          []Balance
}

// Status returns the state of an account.
func (a *Allocator) Status(name contractor.Account) (Status, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return Status{}, false
	}
	status := Status{
		Account:          name,
		Epoch:            acc.section.Epoch,
		Sealing:          acc.sealing != nil,
		OpenReservations: len(acc.reservations) - len(acc.settled),
		UnflushedLines:   len(acc.settled),
	}
	for i := range acc.budgets {
		b := &acc.budgets[i]
		status.Budgets = append(status.Budgets, Balance{b.name, b.granted, b.reserved, b.unflushed, b.free()})
	}
	return status, true
}
