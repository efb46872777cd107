package orderer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// fakeStore is a store in memory with leases.
type fakeStore struct {
	persister.Store
	mu        sync.Mutex
	entries   map[string]persister.Entry
	keyLeases map[string]persister.LeaseID
	leaseEnds map[persister.LeaseID]time.Time
	ttl       time.Duration
	revision  contractor.Revision
	// lostResponses is the number of commits that take effect while the response
	// is lost.
	lostResponses int
}

func newStore() *fakeStore {
	return &fakeStore{
		entries:   make(map[string]persister.Entry),
		keyLeases: make(map[string]persister.LeaseID),
		leaseEnds: make(map[persister.LeaseID]time.Time),
	}
}

func (s *fakeStore) expireLeases() {
	for key, lease := range s.keyLeases {
		if !time.Now().Before(s.leaseEnds[lease]) {
			delete(s.entries, key)
			delete(s.keyLeases, key)
		}
	}
}

func (s *fakeStore) Get(_ context.Context, key string) (persister.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.entries[key], nil
}

func (s *fakeStore) Commit(_ context.Context, txn persister.Txn) (contractor.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, c := range txn.Compares {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, persister.ErrConflict
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.entries[p.Key] = persister.Entry{Key: p.Key, Value: p.Value, Revision: s.revision}
		if p.Lease != 0 {
			s.keyLeases[p.Key] = p.Lease
		}
	}
	if s.lostResponses > 0 {
		s.lostResponses--
		return 0, persister.ErrUnknown
	}
	return s.revision, nil
}

func (s *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (persister.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := persister.LeaseID(len(s.leaseEnds) + 1)
	s.ttl = ttl
	s.leaseEnds[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease persister.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.leaseEnds[lease]) {
		return 0, nil
	}
	s.leaseEnds[lease] = time.Now().Add(s.ttl)
	return s.ttl, nil
}

// fakeEngine takes orderTime for each order. It checks fencing numbers if fenced.
type fakeEngine struct {
	mu           sync.Mutex
	orderTime    time.Duration
	fenced       bool
	highestFence Fence
	running      int
	overlapped   bool
	orders       []Order
}

func (e *fakeEngine) Execute(ctx context.Context, _ contractor.Upstream, order Order) error {
	e.mu.Lock()
	if e.fenced && order.Fence <= e.highestFence {
		e.mu.Unlock()
		return ErrFenced
	}
	e.highestFence = order.Fence
	e.running++
	e.overlapped = e.overlapped || e.running > 1
	e.orders = append(e.orders, order)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	select {
	case <-time.After(e.orderTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newOrderer(store persister.Store, engine Engine, holder string) *Orderer {
	return New(Config{Store: store, Engine: engine, Holder: holder, LoadsPerSecond: 100, LoadBurst: 100})
}

func ExamplePlan() {
	engines := []EngineState{
		{Upstream: contractor.Upstream{Name: "runner-1"}, Models: []string{"quote-model"}},
		{Upstream: contractor.Upstream{Name: "runner-2"}},
		{Upstream: contractor.Upstream{Name: "runner-3"}, Models: []string{"retired-model"}},
	}
	for _, step := range Plan([]Requirement{{"quote-model", 1}, {"sketch-model", 1}}, engines) {
		fmt.Println(step.Upstream.Name, step.Order)
	}
	// Output:
	// runner-2 load sketch-model
	// runner-3 unload retired-model
	// runner-3 load quote-model
}

// Guards against a late order of a daemon that was paused between taking its
// fencing number and sending, while another daemon has sent a later order.
func TestOrderWithOldFenceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engine := newStore(), &fakeEngine{fenced: true}
		paused, next := newOrderer(store, engine, "vm-1"), newOrderer(store, engine, "vm-2")
		upstream := contractor.Upstream{Name: "runner-1", Fenced: true}
		// The first daemon is paused between taking its number and sending.
		old, err := paused.nextFence(t.Context(), upstream.Name)
		require.NoError(t, err)
		require.NoError(t, next.Send(t.Context(), upstream, Order{Action: ChangeRole, Role: "decode"}))
		err = engine.Execute(t.Context(), upstream, Order{Fence: old})
		require.ErrorIs(t, err, ErrFenced)
	})
}

// Guards against a fencing number that is used twice, or an order that fails,
// because the response to a commit was lost.
func TestLostCommitResponseSkipsAFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.lostResponses = 1
		o := newOrderer(store, &fakeEngine{}, "vm-1")
		fence, err := o.nextFence(t.Context(), "runner-1")
		require.NoError(t, err)
		require.Equal(t, Fence(2), fence)
	})
}

// Guards against two daemons whose orders run at once on an engine that ignores
// fencing numbers, also when an order outlasts the lease of its daemon.
func TestUnfencedEngineHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engine := newStore(), &fakeEngine{orderTime: time.Minute}
		first, second := newOrderer(store, engine, "vm-1"), newOrderer(store, engine, "vm-2")
		upstream := contractor.Upstream{Name: "runner-1"}
		// The order runs longer than the lease of its daemon, which does not renew it.
		go func() { _ = first.Send(t.Context(), upstream, Order{Model: "a"}) }()
		time.Sleep(time.Second)
		require.ErrorIs(t, second.Send(t.Context(), upstream, Order{Model: "b"}), ErrLeaseHeld)
		time.Sleep(defaultLeaseTTL)
		require.NoError(t, second.Send(t.Context(), upstream, Order{Model: "b"}))
		require.NoError(t, second.Send(t.Context(), upstream, Order{Model: "c"}))
		begin := time.Now()
		require.NoError(t, first.Send(t.Context(), upstream, Order{Model: "d"}))
		require.Greater(t, time.Since(begin), defaultOrderTimeout, "the new holder waits until the former one has no order in flight")
		require.Len(t, engine.orders, 4)
		require.False(t, engine.overlapped)
	})
}

// Guards against an order of a holder whose lease expired during a pause.
func TestHolderWithExpiredLeaseDoesNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		o := newOrderer(newStore(), engine, "vm-1")
		upstream := contractor.Upstream{Name: "runner-1"}
		l := o.leaseOf(upstream.Name)
		require.NoError(t, o.acquireLease(t.Context(), upstream.Name, l))
		time.Sleep(defaultLeaseTTL) // the daemon is paused
		require.ErrorIs(t, o.execute(t.Context(), upstream, Order{}, l), ErrLeaseExpired)
		require.Empty(t, engine.orders)
	})
}

// Guards against loads that exceed the rate limit of the weight store.
func TestLoadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{orderTime: time.Second}
		o := New(Config{Store: newStore(), Engine: engine, Holder: "vm-1", LoadsPerSecond: 0.5, LoadBurst: 2})
		begin := time.Now()
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() {
				upstream := contractor.Upstream{Name: fmt.Sprint("runner-", i), Fenced: true}
				require.NoError(t, o.Send(t.Context(), upstream, Order{Action: Load, Model: "a"}))
			})
		}
		group.Wait()
		require.GreaterOrEqual(t, time.Since(begin), 8*time.Second, "two at once, then one every two seconds")
	})
}

// Guards against plans with needless orders, and plans that take a model's last
// engine for the spare of another model.
func TestPlan(t *testing.T) {
	engine := func(name string, models ...string) EngineState {
		return EngineState{Upstream: contractor.Upstream{Name: name}, Models: models}
	}
	leaving := engine("r3", "a")
	leaving.Upstream.Leaving = true
	tests := []struct {
		name         string
		requirements []Requirement
		engines      []EngineState
		steps        int
	}{
		{"served with spare", []Requirement{{"a", 1}}, []EngineState{engine("r1", "a"), engine("r2", "a")}, 0},
		{"leaving does not count", []Requirement{{"a", 1}}, []EngineState{engine("r1", "a"), engine("r2"), leaving}, 1},
		{"no spare at the cost of another model", []Requirement{{"a", 1}, {"b", 1}}, []EngineState{engine("r1", "a"), engine("r2", "b")}, 0},
		{"spare gives way to a missing model", []Requirement{{"a", 1}, {"b", 1}}, []EngineState{engine("r1", "a"), engine("r2", "a")}, 2},
		{"no engines", []Requirement{{"a", 1}}, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := Plan(tt.requirements, tt.engines)
			require.Len(t, steps, tt.steps)
		})
	}
}

// Guards against requirements for models of retired contracts, and against a
// demand that is ignored.
func TestRequirementsOfContractsInForce(t *testing.T) {
	contracts := []contractor.Contract{
		{Budgets: []contractor.Budget{{Models: []string{"b", "a"}}}},
		{Retired: true, Budgets: []contractor.Budget{{Models: []string{"c"}}}},
	}
	require.Equal(t, []Requirement{{"a", 3}, {"b", 1}}, Requirements(contracts, map[string]int{"a": 3}))
}
