// Package reserver is the entry's side of reservations.
//
// A request runs only with a reservation of its worst case, which the keeper of
// the account in the entry's zone gives. The Reserver knows every reservation
// that its daemon asked for, until the ledger holds the settlement. It decides
// whether a reservation may still be dispatched, keeps settlements until they
// are acknowledged, and answers seals: when a new keeper takes over, the
// entries tell it what its predecessor had given them.
//
// The package does no I/O and reads no clock. A request passes through it like
// this, where the treasurer carries ask to the keeper and answer back:
//
//	ask := r.Ask(now, request)
//	reservation, err := r.Accept(now, ask, answer)
//	...
//	if err := r.BeginDispatch(now, reservation); err != nil {
//		return err // not run
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
	// DefaultDispatchWindow is the time in which a reservation must be dispatched.
	DefaultDispatchWindow = 30 * time.Second
	// DefaultLongestRequest is the longest time from the first dispatch to the end.
	DefaultLongestRequest = 10 * time.Minute

	shardCount = 32
	// refusalRetryAfter is when a request whose keeper was replaced may come again.
	refusalRetryAfter = 100 * time.Millisecond
)

// Request asks for a reservation. Least is the smallest amount that is still
// useful; zero means Want.
type Request struct {
	Key           contractor.RequestKey
	KeyFromCaller bool
	Budget        contractor.BudgetID
	Amount        contractor.Tokens
	MinAmount     contractor.Tokens
}

// Reservation is the right to dispatch one request.
type Reservation struct {
	ID         uint64
	Key        contractor.RequestKey
	Budget     contractor.BudgetID
	Amount     contractor.Tokens
	Epoch      contractor.Epoch
	DispatchBy time.Time
	// EndBy is the time at which the request has to be over.
	EndBy time.Time
}

// DaemonID is one run of an entry daemon.
type DaemonID struct {
	VM          contractor.VM          `cbor:"1,keyasint"`
	Incarnation contractor.Incarnation `cbor:"2,keyasint"`
}

// Ref identifies a reservation of the whole zone.
type Ref struct {
	Entry DaemonID `cbor:"1,keyasint"`
	ID    uint64   `cbor:"2,keyasint"`
}

// Record is what a daemon knows of one reservation.
type Record struct {
	Ref           Ref                   `cbor:"1,keyasint"`
	Key           contractor.RequestKey `cbor:"2,keyasint"`
	KeyFromCaller bool                  `cbor:"3,keyasint,omitempty"`
	Budget        contractor.BudgetName `cbor:"4,keyasint"`
	Amount        contractor.Tokens     `cbor:"5,keyasint"`
	Epoch         contractor.Epoch      `cbor:"6,keyasint"`
	// PagesBefore is the number of pages of the bill when the amount was reserved.
	// No earlier page can hold the settlement.
	PagesBefore uint64            `cbor:"7,keyasint,omitempty"`
	Settled     bool              `cbor:"8,keyasint,omitempty"`
	Used        contractor.Tokens `cbor:"9,keyasint,omitempty"`
	At          time.Time         `cbor:"10,keyasint,omitzero"`
}

// Response is what the keeper gives for an Ask.
type Response struct {
	Amount      contractor.Tokens
	Epoch       contractor.Epoch
	PagesBefore uint64
}

// Pending is one reservation that is being asked for.
type Pending struct {
	ID         uint64
	Request    Request
	DispatchBy time.Time
	EndBy      time.Time
}

// Config holds the limits of a Reserver. Zero durations have defaults.
type Config struct {
	Self           DaemonID
	DispatchWindow time.Duration
	LongestRequest time.Duration
}

// Reserver knows the reservations of one entry daemon.
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
	minEpoch   contractor.Epoch
	epochKnown bool
	records    map[uint64]*trackedReservation
	replicas   []*keeperReplica
}

// state is the progress of one reservation at its entry.
type state uint8

const (
	statePending state = iota
	stateGranted
	stateDispatched
	stateSettled
)

type trackedReservation struct {
	record Record
	state  state
	endBy  time.Time
	// reportedAt is the time of the last report of the settlement to a keeper.
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

// lockAccount returns the locked shard and the state of an account.
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

// Begin starts a reservation. The deadlines count from now, before the keeper is asked.
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

// Accept takes the keeper's answer, once. An answer of a keeper that has been
// replaced is refused; the amount goes back to its successor.
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

// Abandon ends a reservation that was asked for and not given. When the keeper
// may have given it, the amount is released like a settlement of nothing.
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

// BeginDispatch allows one dispatch. It refuses when the deadline has passed or
// when a new keeper does not know the reservation.
func (r *Reserver) BeginDispatch(now time.Time, v Reservation) error {
	s, a := r.lockAccount(v.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[v.ID]
	if !ok || e.state == statePending || e.state == stateSettled {
		return keeperReplacedRefusal("dispatch")
	}
	deadline := v.DispatchBy
	if e.state == stateDispatched {
		deadline = v.EndBy
	}
	if now.After(deadline) {
		refusal := refuser.New(refuser.DeadlineUnmeetable, "dispatch").After(refusalRetryAfter)
		return refusal.Explain("the reservation was not used in time")
	}
	e.state = stateDispatched
	return nil
}

// Settle records the actual use of a reservation. Nothing used frees it
// without a line on the bill.
func (r *Reserver) Settle(now time.Time, v Reservation, used contractor.Tokens) {
	s, a := r.lockAccount(v.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[v.ID]
	if !ok || e.state == stateSettled {
		return
	}
	e.settle(now, min(max(0, used), v.Amount))
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
	refusal := refuser.New(refuser.BudgetUnreachable, step).After(refusalRetryAfter)
	return refusal.Explain("the budget has a new keeper")
}
