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
	// retryAfterSeal is when a request whose keeper was replaced may come again.
	retryAfterSeal = 100 * time.Millisecond
)

// Request asks for a reservation. Least is the smallest amount that is still
// useful; zero means Want.
type Request struct {
	Key      contractor.RequestKey
	KeyGiven bool
	Budget   contractor.BudgetID
	Want     contractor.Tokens
	Least    contractor.Tokens
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

// Holder is one run of an entry daemon.
type Holder struct {
	VM          contractor.VM          `cbor:"1,keyasint"`
	Incarnation contractor.Incarnation `cbor:"2,keyasint"`
}

// Ref identifies a reservation of the whole zone.
type Ref struct {
	Entry Holder `cbor:"1,keyasint"`
	ID    uint64 `cbor:"2,keyasint"`
}

// Record is what a daemon knows of one reservation.
type Record struct {
	Ref    Ref                   `cbor:"1,keyasint"`
	Key    contractor.RequestKey `cbor:"2,keyasint"`
	Given  bool                  `cbor:"3,keyasint,omitempty"`
	Budget contractor.BudgetName `cbor:"4,keyasint"`
	Amount contractor.Tokens     `cbor:"5,keyasint"`
	Epoch  contractor.Epoch      `cbor:"6,keyasint"`
	// Since is the number of pages of the bill when the amount was reserved.
	// No earlier page can hold the settlement.
	Since   uint64            `cbor:"7,keyasint,omitempty"`
	Settled bool              `cbor:"8,keyasint,omitempty"`
	Used    contractor.Tokens `cbor:"9,keyasint,omitempty"`
	At      time.Time         `cbor:"10,keyasint,omitzero"`
}

// Answer is what the keeper gives for an Ask.
type Answer struct {
	Amount contractor.Tokens
	Epoch  contractor.Epoch
	Since  uint64
}

// Ask is one reservation that is being asked for.
type Ask struct {
	ID         uint64
	Request    Request
	DispatchBy time.Time
	EndBy      time.Time
}

// Config holds the limits of a Reserver. Zero durations have defaults.
type Config struct {
	Self           Holder
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
	floor     contractor.Epoch
	seen      bool
	records   map[uint64]*entry
	witnessed []*witnessed
}

// state is the progress of one reservation at its entry.
type state uint8

const (
	asked state = iota
	given
	dispatched
	settled
)

type entry struct {
	record Record
	state  state
	endBy  time.Time
	// sentAt is the time of the last report of the settlement to a keeper.
	sentAt time.Time
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

// lock returns the locked shard and the state of an account.
func (r *Reserver) lock(name contractor.Account) (*shard, *account) {
	i := maphash.String(r.seed, string(name)) % shardCount
	s := &r.shards[i]
	s.mu.Lock()
	a, ok := s.accounts[name]
	if !ok {
		a = &account{records: make(map[uint64]*entry)}
		s.accounts[name] = a
	}
	return s, a
}

// Ask starts a reservation. The deadlines count from now, before the keeper is asked.
func (r *Reserver) Ask(now time.Time, request Request) Ask {
	s, a := r.lock(request.Budget.Account)
	defer s.mu.Unlock()
	if request.Least == 0 || request.Least > request.Want {
		request.Least = request.Want
	}
	s.nextID++
	dispatchBy := now.Add(r.config.DispatchWindow)
	ask := Ask{ID: s.nextID, Request: request, DispatchBy: dispatchBy, EndBy: dispatchBy.Add(r.config.LongestRequest)}
	a.records[ask.ID] = &entry{endBy: ask.EndBy, record: Record{
		Ref:    Ref{r.config.Self, ask.ID},
		Key:    request.Key,
		Given:  request.KeyGiven,
		Budget: request.Budget.Name,
		Amount: request.Want,
	}}
	return ask
}

// Accept takes the keeper's answer, once. An answer of a keeper that has been
// replaced is refused; the amount goes back to its successor.
func (r *Reserver) Accept(now time.Time, ask Ask, answer Answer) (Reservation, error) {
	s, a := r.lock(ask.Request.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[ask.ID]
	if !ok || e.state != asked {
		return Reservation{}, sealedRefusal("reserve")
	}
	e.record.Amount, e.record.Epoch, e.record.Since = answer.Amount, answer.Epoch, answer.Since
	if answer.Epoch < a.floor {
		e.settle(now, 0)
		return Reservation{}, sealedRefusal("reserve")
	}
	a.raise(answer.Epoch)
	e.state = given
	return Reservation{
		ID:         ask.ID,
		Key:        ask.Request.Key,
		Budget:     ask.Request.Budget,
		Amount:     answer.Amount,
		Epoch:      answer.Epoch,
		DispatchBy: ask.DispatchBy,
		EndBy:      ask.EndBy,
	}, nil
}

// Abandon ends a reservation that was asked for and not given. When the keeper
// may have given it, the amount is released like a settlement of nothing.
func (r *Reserver) Abandon(now time.Time, ask Ask, maybeGiven bool) {
	s, a := r.lock(ask.Request.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[ask.ID]
	if !ok || e.state != asked {
		return
	}
	if !maybeGiven {
		delete(a.records, ask.ID)
		return
	}
	e.settle(now, 0)
}

// BeginDispatch allows one dispatch. It refuses when the deadline has passed or
// when a new keeper does not know the reservation.
func (r *Reserver) BeginDispatch(now time.Time, v Reservation) error {
	s, a := r.lock(v.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[v.ID]
	if !ok || e.state == asked || e.state == settled {
		return sealedRefusal("dispatch")
	}
	deadline := v.DispatchBy
	if e.state == dispatched {
		deadline = v.EndBy
	}
	if now.After(deadline) {
		refusal := refuser.New(refuser.DeadlineUnmeetable, "dispatch").WithRetryAfter(retryAfterSeal)
		return refusal.WithDetail("the reservation was not used in time")
	}
	e.state = dispatched
	return nil
}

// Settle records the actual use of a reservation. Nothing used frees it
// without a line on the bill.
func (r *Reserver) Settle(now time.Time, v Reservation, used contractor.Tokens) {
	s, a := r.lock(v.Budget.Account)
	defer s.mu.Unlock()
	e, ok := a.records[v.ID]
	if !ok || e.state == settled {
		return
	}
	e.settle(now, min(max(0, used), v.Amount))
}

func (e *entry) settle(now time.Time, used contractor.Tokens) {
	e.state = settled
	e.sentAt = time.Time{}
	e.record.Settled, e.record.Used, e.record.At = true, used, now
}

func (a *account) raise(epoch contractor.Epoch) {
	a.seen = true
	a.floor = max(a.floor, epoch)
}

func sealedRefusal(step string) *refuser.Refusal {
	refusal := refuser.New(refuser.BudgetUnreachable, step).WithRetryAfter(retryAfterSeal)
	return refusal.WithDetail("the budget has a new keeper")
}
