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
	DefaultTerm          = 2 * time.Hour
	DefaultDrift         = 0.001
	DefaultHorizon       = 70 * time.Minute
	DefaultShare         = 0.75
	DefaultMinInterval   = time.Second
	DefaultMaxLines      = 1024
	DefaultWrites        = 100.0
	DefaultWindow        = 10 * time.Minute
	DefaultSilentWait    = 500 * time.Millisecond
	DefaultExhaustedWait = 500 * time.Millisecond
	DefaultDryWait       = 100 * time.Millisecond

	shardCount = 32
	// demandFactor is the number of requests of the size asked for that a first
	// grant covers.
	demandFactor = 4
	// unitDecay is the number of requests over which the typical size falls.
	unitDecay = 16
	// idleReserve is the number of idle grants that the free balance must cover
	// before a zone keeps one.
	idleReserve = 16
	// renewals is the number of writes within one term.
	renewals = 4
	// drawTime is the time constant of the average of the draw.
	drawTime = 10 * time.Second
)

// Lost says what happens to a reservation whose entry is gone.
type Lost uint8

const (
	// LostCharge charges the whole reservation as an unconfirmed line.
	LostCharge Lost = iota
	// LostRelease frees the reservation; the operator of the fleet bears the use.
	LostRelease
)

// String returns "charge" or "release".
func (l Lost) String() string {
	if l == LostRelease {
		return "release"
	}
	return "charge"
}

// Config holds the limits of an Allocator. Zero fields have defaults.
type Config struct {
	Zone contractor.Zone
	Self reserver.DaemonID
	// Term is the time after its last write for which a keeper may use its grants.
	Term time.Duration
	// Drift bounds the difference in speed of two clocks.
	Drift float64
	// DispatchWindow and LongestRequest bound the life of a reservation.
	DispatchWindow time.Duration
	LongestRequest time.Duration
	Lost           Lost
	// Horizon is the time for which a grant covers the recent draw, besides
	// twice the interval of flushes.
	Horizon time.Duration
	// Share is the part of the free balance that one grant may take.
	Share float64
	// MinInterval is the shortest time between two flushes without need.
	MinInterval time.Duration
	// MaxLines is the number of lines that makes a flush due.
	MaxLines int
	// Writes is the number of flushes per second that the daemon may do.
	Writes float64
	// Window is the time for which request keys of callers are remembered.
	Window time.Duration
	// SilentWait is the time that a seal gives one daemon to answer.
	SilentWait time.Duration
	// ExhaustedWait is the time for which a budget without free balance is not
	// read again.
	ExhaustedWait time.Duration
	// DryWait is the time for which other zones are not asked again.
	DryWait time.Duration
}

func (c *Config) setDefaults() {
	setDuration(&c.Term, DefaultTerm)
	setDuration(&c.DispatchWindow, reserver.DefaultDispatchWindow)
	setDuration(&c.LongestRequest, reserver.DefaultLongestRequest)
	setDuration(&c.Horizon, DefaultHorizon)
	setDuration(&c.MinInterval, DefaultMinInterval)
	setDuration(&c.Window, DefaultWindow)
	setDuration(&c.SilentWait, DefaultSilentWait)
	setDuration(&c.ExhaustedWait, DefaultExhaustedWait)
	setDuration(&c.DryWait, DefaultDryWait)
	if c.Drift == 0 {
		c.Drift = DefaultDrift
	}
	if c.Share == 0 {
		c.Share = DefaultShare
	}
	if c.MaxLines == 0 {
		c.MaxLines = DefaultMaxLines
	}
	if c.Writes == 0 {
		c.Writes = DefaultWrites
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// faults are errors that tests seed to show that they are noticed.
type faults struct {
	skipTerm    bool
	creditFirst bool
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
	mu          sync.Mutex
	accounts    map[contractor.Account]*account
	surrendered map[contractor.Account]surrendered
}

// New returns an Allocator that keeps no account.
func New(c Config) *Allocator {
	c.setDefaults()
	a := &Allocator{config: c, seed: maphash.MakeSeed()}
	a.pacing.setWrites(c.Writes)
	for i := range a.shards {
		a.shards[i].accounts = make(map[contractor.Account]*account)
		a.shards[i].surrendered = make(map[contractor.Account]surrendered)
	}
	return a
}

func (a *Allocator) shard(name contractor.Account) *shard {
	s := &a.shards[maphash.String(a.seed, string(name))%shardCount]
	s.mu.Lock()
	return s
}

// Ask is one request for a reservation.
type Ask struct {
	Account contractor.Account
	Record  reserver.Record
	Least   contractor.Tokens
}

// Outcome is the kind of an answer to an Ask.
type Outcome uint8

const (
	// Given means that the amount is reserved.
	Given Outcome = iota
	// Short means that too little is free.
	Short
	// NotKeeper means that the daemon does not keep the account.
	NotKeeper
	// TermOver means that the grants are too old to be used.
	TermOver
	// NoBudget means that the ledger that the keeper has read lacks the budget.
	NoBudget
	// Withdrawn means that the reservation was asked for or given up before.
	Withdrawn
)

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"given", "short", "not_keeper", "term_over", "no_budget", "withdrawn"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// Answer is the keeper's answer to an Ask.
type Answer struct {
	Outcome Outcome
	Amount  contractor.Tokens
	Epoch   contractor.Epoch
	// Since is the number of pages of the bill that the keeper has seen.
	Since uint64
	// Revision is the store's revision of the keeper's last write.
	Revision contractor.Revision
	// Witness is true when the reservation has to be witnessed before its use.
	Witness bool
	// Returning is true when open reservations would cover the request.
	Returning bool
	// Exhausted is true when a recent read of the ledger found no free balance.
	Exhausted bool
	// Dry is true when recently no other zone could give the amount either.
	Dry bool
	// Demand is what the waiting requests ask for.
	Demand contractor.Tokens
	// Sealing is true while a predecessor's grants are held back.
	Sealing bool
}

// Reserve takes an amount for one request, once by the reservation's Ref. An
// entry that repeats a request asks with a new one.
func (a *Allocator) Reserve(now time.Time, ask Ask) Answer {
	s := a.shard(ask.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[ask.Account]
	if !ok || acc.closing {
		return Answer{Outcome: NotKeeper}
	}
	answer := Answer{Epoch: acc.section.Epoch, Since: acc.pages, Revision: acc.revision, Sealing: acc.sealing != nil}
	if a.termOver(now, acc) {
		answer.Outcome = TermOver
		return answer
	}
	if acc.knows(now, ask.Record.Ref) {
		answer.Outcome = Withdrawn
		return answer
	}
	b := acc.budget(ask.Record.Budget)
	if b == nil {
		answer.Outcome = NoBudget
		return answer
	}
	b.unit = max(ask.Record.Amount, b.unit-b.unit/unitDecay)
	free := b.free()
	if free < ask.Least || free <= 0 {
		answer.Outcome = Short
		answer.Returning = b.reserved >= ask.Least-max(0, free)
		answer.Demand = b.demand
		answer.Exhausted = now.Sub(b.exhaustedAt()) < a.config.ExhaustedWait
		answer.Dry = ask.Least >= b.dryLeast && now.Sub(unixTime(b.dry)) < a.config.DryWait
		return answer
	}
	record := ask.Record
	record.Amount = min(record.Amount, free)
	record.Epoch, record.PagesBefore = acc.section.Epoch, acc.pages
	acc.items[record.Ref] = &item{record: record, reservedAt: now}
	b.reserved += record.Amount
	b.drawn += record.Amount
	answer.Amount = record.Amount
	answer.Witness = acc.needsWitness(record.Ref.Entry, a.config.Self)
	return answer
}

// termOver reports whether the grants may no longer be used.
func (a *Allocator) termOver(now time.Time, acc *account) bool {
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

// Wait adds what a waiting request asks for; a negative amount ends the wait.
// The next writes of the ledger fetch it if they can.
func (a *Allocator) Wait(id contractor.BudgetID, amount contractor.Tokens) {
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

// MarkDry notes that no zone could give an amount of a budget.
func (a *Allocator) MarkDry(now time.Time, id contractor.BudgetID, least contractor.Tokens) {
	s := a.shard(id.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[id.Account]
	if !ok {
		return
	}
	if b := acc.budget(id.Name); b != nil {
		b.dry, b.dryLeast = now.UnixNano(), least
	}
}

// Zones returns the other zones that had a keeper when the ledger was last read.
func (a *Allocator) Zones(name contractor.Account) []contractor.Zone {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return nil
	}
	zones := make([]contractor.Zone, 0, len(acc.silent))
	for zone := range acc.silent {
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
	Account contractor.Account
	Epoch   contractor.Epoch
	Sealing bool
	Open    int
	Lines   int
	Budgets []Balance
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
		Account: name,
		Epoch:   acc.section.Epoch,
		Sealing: acc.sealing != nil,
		Open:    len(acc.items) - len(acc.lines),
		Lines:   len(acc.lines),
	}
	for i := range acc.budgets {
		b := &acc.budgets[i]
		status.Budgets = append(status.Budgets, Balance{b.name, b.granted, b.reserved, b.unflushed, b.free()})
	}
	return status, true
}
