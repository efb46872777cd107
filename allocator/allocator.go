// Package allocator implements the keeper of an account's budgets in one availability
// zone.
//
// The ledger of an account is in the store and holds the prepaid balance of each of the
// account's budgets. It allocates a part of each balance to every zone: the zone's
// grant. In each zone one daemon, the keeper, approves reservations against the grants.
// Entries, the daemons that receive callers' requests, reserve the maximum cost of a
// request at the keeper before they execute it, and settle the reservation with the
// actual use.
//
// Per budget the keeper knows what the ledger has granted, what is reserved, and what
// is settled but not yet flushed to the ledger. The rest is free. Reserve takes from
// what is free. Settle moves the actual use from reserved to unflushed and frees the
// rest at once. A Plan collects what the next write of the ledger has to change.
//
// A keeper never approves more than its section of the ledger, the part that it writes,
// allows. Three mechanisms ensure this when daemons fail:
//
//   - Epoch and term. An epoch numbers the keepers of a section; the ledger rejects writes
//     of earlier epochs. A keeper may use its grants for a limited time after its last
//     write, the term, as under a lease. It counts the term on its own monotonic clock from
//     before the write. Other zones reclaim the grants of a section that has not been
//     written for longer than the term, the lifetime of a reservation and the maximum
//     clock drift.
//   - Seal. A new keeper requests from all daemons of its zone to reject earlier epochs and
//     to report the reservations, settlements and transfers of these epochs. Until it has
//     enough reports, the grants of earlier epochs are held, which means that they cannot
//     be used. What remains unknown then becomes unaccounted: it counts as spent until
//     late settlements draw on it or an operator releases it.
//   - Witness. A second daemon of the zone replicates what otherwise only the keeper's
//     daemon knows: the reservations of its own entry and of entries that are gone, and
//     the transfers that it has sent to other zones. A section can be unwitnessed when the
//     zone has no second daemon.
//
// The package is a state machine without I/O: every method takes the time and returns
// what the caller has to do. The treasurer writes the ledger and sends the messages:
//
//	response := keeper.Reserve(now, request)
//	if response.Outcome == allocator.Insufficient {
//		plan, ok := keeper.Plan(now, account, operation)
//		...
//	}
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
	// idleGrantRequests is the number of requests of typical size that a first grant
	// covers and that a zone without consumption keeps free.
	idleGrantRequests = 4
	// sizeDecayRequests is the number of requests over which the typical size decays.
	sizeDecayRequests = 16
	// ampleIdleGrants is how many idle grants the free balance must cover before a zone
	// without consumption keeps one.
	ampleIdleGrants = 16
	// writesPerTerm is the number of writes that renew the grants within one term.
	writesPerTerm = 4
	// rateTimeConstant is the time constant of the average consumption.
	rateTimeConstant = 10 * time.Second
)

// LostPolicy says what happens to a reservation whose entry is gone.
type LostPolicy uint8

const (
	// ChargeLost charges the whole reservation as an unconfirmed line.
	ChargeLost LostPolicy = iota
	// ReleaseLost frees the reservation. The operator of the fleet bears the cost of
	// its use.
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
	Self reserver.DaemonID
	// Term is how long a keeper may use its grants after its last write.
	Term time.Duration
	// MaxClockDrift is the maximum difference in speed of two clocks, as a fraction.
	MaxClockDrift float64
	// DispatchWindow and LongestRequest limit the lifetime of a reservation: the time
	// from the reservation to the dispatch and from there to the end of the request.
	DispatchWindow time.Duration
	LongestRequest time.Duration
	LostPolicy     LostPolicy
	// GrantCoverage is the time for which a grant covers the recent consumption, in
	// addition to twice the flush interval.
	GrantCoverage time.Duration
	// MaxGrantFraction is the maximum fraction of the free balance that one zone is
	// granted.
	MaxGrantFraction float64
	// MinFlushInterval is the minimum time between two flushes of an account, unless a
	// request waits for one.
	MinFlushInterval time.Duration
	// MaxLines is the number of settled lines at which a flush is due.
	MaxLines int
	// WritesPerSecond is the maximum number of flushes per second of the daemon.
	WritesPerSecond float64
	// KeyRetention is how long callers' request keys are remembered for deduplication.
	KeyRetention time.Duration
	// SealTimeout is how long a seal waits for daemons whose response it can do
	// without.
	SealTimeout time.Duration
	// LedgerBackoff is how long the ledger is not read again after a budget was found
	// without free balance.
	LedgerBackoff time.Duration
	// TransferBackoff is how long no transfer is requested after no other zone could
	// provide the amount.
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

// faults are injected by tests to show that the tests detect them.
type faults struct {
	skipTerm  bool
	skipDebit bool
}

// Allocator is the keeper of accounts in one zone.
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

// New returns an Allocator that is the keeper of no account yet.
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

// shard returns the shard of an account, locked.
func (a *Allocator) shard(name contractor.Account) *shard {
	s := &a.shards[maphash.String(a.seed, string(name))%shardCount]
	s.mu.Lock()
	return s
}

// Request asks for a reservation.
type Request struct {
	Account   contractor.Account
	Record    reserver.Record
	MinAmount contractor.Tokens
}

// Outcome is the outcome of a Request or of a request for a transfer.
type Outcome uint8

const (
	// Approved means that the amount is reserved, or subtracted for a transfer.
	Approved Outcome = iota
	// Insufficient means that too little is free.
	Insufficient
	// NotKeeper means that the daemon is not the keeper of the account.
	NotKeeper
	// TermExpired means that the keeper's last write is too old for its grants to be
	// used.
	TermExpired
	// UnknownBudget means that the ledger that the keeper has read lacks the budget.
	UnknownBudget
	// Duplicate means that the reservation or transfer was requested or cancelled
	// before.
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

// Response is the keeper's response to a Request.
type Response struct {
	Outcome Outcome
	Amount  contractor.Tokens
	Epoch   contractor.Epoch
	// PagesBefore is the number of pages of the bill that the keeper knows of. None of
	// them contains the settlement of this reservation.
	PagesBefore uint64
	// Revision is the store's revision of the ledger that the keeper last wrote or
	// read.
	Revision contractor.Revision
	// NeedsWitness is true when the witness has to confirm the reservation before its
	// use.
	NeedsWitness bool
	// ReservedSuffices is true when the open reservations hold at least what is
	// missing.
	ReservedSuffices bool
	// LedgerExhausted is true when the ledger was recently found without free balance.
	LedgerExhausted bool
	// ZonesExhausted is true when no other zone could recently transfer the amount.
	ZonesExhausted bool
	// Demand is the sum of the amounts of waiting requests.
	Demand contractor.Tokens
	// Sealing is true while grants of earlier epochs are held.
	Sealing bool
}

// Reserve reserves an amount for one request, once by the reservation's Ref. An entry
// that retries a request uses a new Ref.
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
		response.ZonesExhausted = request.MinAmount >= b.zonesExhaustedMin && now.Sub(unixTime(b.zonesExhaustedNanos)) < a.config.TransferBackoff
		return response
	}
	record := request.Record
	record.Amount = min(record.Amount, free)
	record.Epoch, record.PagesBefore = acc.section.Epoch, acc.pages
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

// Keeps reports whether the daemon is the keeper of an account, and in which epoch.
func (a *Allocator) Keeps(name contractor.Account) (contractor.Epoch, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return 0, false
	}
	return acc.section.Epoch, true
}

// Free returns how much of a budget can be reserved now.
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

// AddDemand adds the amount of a waiting request to the budget's demand; a negative
// amount ends the wait. The next writes of the ledger get grants for the demand if they
// can.
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

// MarkZonesExhausted notes that no other zone could transfer minAmount of a budget.
func (a *Allocator) MarkZonesExhausted(now time.Time, id contractor.BudgetID, minAmount contractor.Tokens) {
	s := a.shard(id.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[id.Account]
	if !ok {
		return
	}
	if b := acc.budget(id.Name); b != nil {
		b.zonesExhaustedNanos, b.zonesExhaustedMin = now.UnixNano(), minAmount
	}
}

// OtherZones returns the other zones that had a keeper when the ledger was last
// written.
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

// Accounts returns the accounts that the daemon is the keeper of.
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

// Balance is the keeper's state of one budget.
type Balance struct {
	Name      contractor.BudgetName
	Granted   contractor.Tokens
	Reserved  contractor.Tokens
	Unflushed contractor.Tokens
	Free      contractor.Tokens
}

// Status is the keeper's state of one account.
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
