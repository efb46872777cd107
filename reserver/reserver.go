// Package reserver tracks the token reservations of one entry daemon.
//
// The entry daemon of a request is the daemon that received it from the caller.
// Before it dispatches the request to an upstream, it reserves the maximum cost
// in tokens with the keeper, the daemon that holds the budgets of the account in
// the zone. When the request has ended, the entry daemon settles the reservation
// with the actual use and reports the settlement until the ledger has recorded it.
//
// The keeper of an account may be replaced. Each keeper has an epoch, and a new
// one seals the earlier epochs: every daemon of the zone then refuses responses
// of former keepers and reports its reservations, so that the new keeper knows
// what has been reserved. A keeper may have a witness, a second daemon that
// stores a replica of what only the keeper knows and reports it in a seal.
//
// The package does no I/O and reads no clock. The treasurer sends the requests to
// the keeper. A request goes through these steps:
//
//	pending := r.Begin(now, request)
//	reservation, err := r.Accept(now, pending, response)
//	...
//	if err := r.BeginDispatch(now, reservation); err != nil {
//		return err // not executed
//	}
//	...
//	r.Settle(now, reservation, used)
package reserver

import (
	"hash/maphash"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

const (
	// DefaultDispatchWindow is the time within which a reservation must be dispatched,
	// counted from Begin.
	DefaultDispatchWindow = 30 * time.Second
	// DefaultLongestRequest is the maximum time from the end of the dispatch window to
	// the end of the request.
	DefaultLongestRequest = 10 * time.Minute

	shardCount = 32
	// refusalRetryAfter is the time after which the caller may retry a refused request.
	refusalRetryAfter = 100 * time.Millisecond
)

// Request describes a reservation to be requested from the keeper.
type Request struct {
	Key contractor.RequestKey
	// KeyFromCaller is true when Key is derived from an idempotency key that the
	// caller sent.
	KeyFromCaller bool
	Budget        contractor.BudgetID
	Amount        contractor.Tokens
	// MinAmount is the smallest amount that is acceptable when the balance is short.
	// Zero means Amount.
	MinAmount contractor.Tokens
}

// Reservation permits the dispatch of one request.
type Reservation struct {
	ID     uint64
	Key    contractor.RequestKey
	Budget contractor.BudgetID
	Amount contractor.Tokens
	// Epoch is the epoch of the keeper that granted the reservation.
	Epoch contractor.Epoch
	// DispatchBy is the deadline of the first dispatch.
	DispatchBy time.Time
	// EndBy is the time by which the request must have ended.
	EndBy time.Time
}

// DaemonID identifies one incarnation of a daemon.
type DaemonID struct {
	VM          contractor.VM          `cbor:"1,keyasint"`
	Incarnation contractor.Incarnation `cbor:"2,keyasint"`
}

// Ref identifies a reservation of an account within its zone.
type Ref struct {
	Entry DaemonID `cbor:"1,keyasint"`
	// ID is unique among the entry daemon's reservations of the account.
	ID uint64 `cbor:"2,keyasint"`
}

// Record is the state of one reservation as daemons exchange it.
type Record struct {
	Ref           Ref                   `cbor:"1,keyasint"`
	Key           contractor.RequestKey `cbor:"2,keyasint"`
	KeyFromCaller bool                  `cbor:"3,keyasint,omitempty"`
	Budget        contractor.BudgetName `cbor:"4,keyasint"`
	Amount        contractor.Tokens     `cbor:"5,keyasint"`
	Epoch         contractor.Epoch      `cbor:"6,keyasint"`
	// PagesBefore is the number of pages of the account's bill when the amount was
	// reserved. Only later pages can contain the settlement.
	PagesBefore uint64            `cbor:"7,keyasint,omitempty"`
	Settled     bool              `cbor:"8,keyasint,omitempty"`
	Used        contractor.Tokens `cbor:"9,keyasint,omitempty"`
	// At is the time of the settlement on the entry daemon's clock.
	At time.Time `cbor:"10,keyasint,omitzero"`
}

// Response is the keeper's grant of a reservation. The fields have the meaning that
// they have in Record.
type Response struct {
	Amount      contractor.Tokens
	Epoch       contractor.Epoch
	PagesBefore uint64
}

// Pending is a reservation that the keeper has not granted yet.
type Pending struct {
	ID         uint64
	Request    Request
	DispatchBy time.Time
	EndBy      time.Time
}

// Config configures a Reserver. Zero durations mean the defaults.
type Config struct {
	Self           DaemonID
	DispatchWindow time.Duration
	LongestRequest time.Duration
}

// Reserver tracks the reservations of one entry daemon, and the replicas that the
// daemon stores as a witness. It is safe for concurrent use.
type Reserver struct {
	config Config
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	nextID   uint64
	accounts map[contractor.Account]*account
}

type account struct {
	// minEpoch is the lowest epoch whose responses are accepted.
	minEpoch contractor.Epoch
	// epochKnown is true once any epoch of the account is known.
	epochKnown bool
	records    map[uint64]*trackedReservation
	replicas   []*keeperReplica
}

// state is the progress of one reservation.
type state uint8

const (
	// statePending means that the keeper has not responded yet.
	statePending state = iota
	// stateGranted means that the reservation may be dispatched.
	stateGranted
	// stateDispatched means that an upstream may have received the request.
	stateDispatched
	// stateSettled means that the actual use is known and not recorded in the ledger yet.
	stateSettled
)

type trackedReservation struct {
	record Record
	state  state
	endBy  time.Time
	// reportedAt is the time at which the settlement was last reported to a keeper.
	reportedAt time.Time
}

// New returns a Reserver without reservations.
func New(c Config) *Reserver {
	if c.DispatchWindow == 0 {
		c.DispatchWindow = DefaultDispatchWindow
	}
	if c.LongestRequest == 0 {
		c.LongestRequest = DefaultLongestRequest
	}
	r := &Reserver{config: c, seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].accounts = make(map[contractor.Account]*account)
	}
	return r
}

// lockAccount returns the state of an account and its shard, which it has locked.
func (r *Reserver) lockAccount(name contractor.Account) (*shard, *account) {
	i := maphash.String(r.seed, string(name)) % shardCount
	s := &r.shards[i]
	s.mu.Lock()
	a, ok := s.accounts[name]
	if !ok {
		a = &account{records: make(map[uint64]*trackedReservation)}
		s.accounts[name] = a
	}
	return s, a
}

// Begin registers a reservation that is about to be requested from the keeper. The
// deadlines count from now.
func (r *Reserver) Begin(now time.Time, request Request) Pending {
	s, a := r.lockAccount(request.Budget.Account)
	defer s.mu.Unlock()
	if request.MinAmount == 0 || request.MinAmount > request.Amount {
		request.MinAmount = request.Amount
	}
	s.nextID++
	dispatchBy := now.Add(r.config.DispatchWindow)
	pending := Pending{ID: s.nextID, Request: request, DispatchBy: dispatchBy, EndBy: dispatchBy.Add(r.config.LongestRequest)}
	a.records[pending.ID] = &trackedReservation{endBy: pending.EndBy, record: Record{
		Ref:           Ref{r.config.Self, pending.ID},
		Key:           request.Key,
		KeyFromCaller: request.KeyFromCaller,
		Budget:        request.Budget.Name,
		Amount:        request.Amount,
	}}
	return pending
}

// Accept processes the keeper's response to a pending reservation. It refuses a second
// response, and the response of a keeper that has been replaced; the amount of the
// latter is released to the successor.
func (r *Reserver) Accept(now time.Time, pending Pending, response Response) (Reservation, error) {
	s, a := r.lockAccount(pending.Request.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[pending.ID]
	if !ok || e.state != statePending {
		return Reservation{}, keeperReplacedRefusal("reserve")
	}
	e.record.Amount, e.record.Epoch, e.record.PagesBefore = response.Amount, response.Epoch, response.PagesBefore
	if response.Epoch < a.minEpoch {
		e.settle(now, 0)
		return Reservation{}, keeperReplacedRefusal("reserve")
	}
	a.raiseMinEpoch(response.Epoch)
	e.state = stateGranted
	return Reservation{
		ID:         pending.ID,
		Key:        pending.Request.Key,
		Budget:     pending.Request.Budget,
		Amount:     response.Amount,
		Epoch:      response.Epoch,
		DispatchBy: pending.DispatchBy,
		EndBy:      pending.EndBy,
	}, nil
}

// Abandon ends a pending reservation. If the keeper may have granted it, the amount is
// released by a settlement with zero use.
func (r *Reserver) Abandon(now time.Time, pending Pending, maybeGranted bool) {
	s, a := r.lockAccount(pending.Request.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[pending.ID]
	if !ok || e.state != statePending {
		return
	}
	if !maybeGranted {
		delete(a.records, pending.ID)
		return
	}
	e.settle(now, 0)
}

// BeginDispatch permits one dispatch of the request. It refuses when the deadline has
// passed or when the reservation is unknown, pending or settled. The first dispatch is
// due by DispatchBy, a repeated one by EndBy.
func (r *Reserver) BeginDispatch(now time.Time, reservation Reservation) error {
	s, a := r.lockAccount(reservation.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[reservation.ID]
	if !ok || e.state == statePending || e.state == stateSettled {
		return keeperReplacedRefusal("dispatch")
	}
	deadline := reservation.DispatchBy
	if e.state == stateDispatched {
		deadline = reservation.EndBy
	}
	if now.After(deadline) {
		refusal := refuser.New(refuser.DeadlineUnmeetable, "dispatch").WithRetryAfter(refusalRetryAfter)
		return refusal.WithDetail("the reservation was not used in time")
	}
	e.state = stateDispatched
	return nil
}

// Settle records the actual use of a reservation. Zero use releases the amount without
// a line on the bill.
func (r *Reserver) Settle(now time.Time, reservation Reservation, used contractor.Tokens) {
	s, a := r.lockAccount(reservation.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[reservation.ID]
	if !ok || e.state == stateSettled {
		return
	}
	e.settle(now, min(max(0, used), reservation.Amount))
}

func (e *trackedReservation) settle(now time.Time, used contractor.Tokens) {
	e.state = stateSettled
	e.reportedAt = time.Time{}
	e.record.Settled, e.record.Used, e.record.At = true, used, now
}

func (a *account) raiseMinEpoch(epoch contractor.Epoch) {
	a.epochKnown = true
	a.minEpoch = max(a.minEpoch, epoch)
}

func keeperReplacedRefusal(step string) *refuser.Refusal {
	refusal := refuser.New(refuser.BudgetUnreachable, step).WithRetryAfter(refusalRetryAfter)
	return refusal.WithDetail("the budget has a new keeper")
}
