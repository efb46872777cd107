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

// leaseStore is a store of one process with leases.
type leaseStore struct {
	persister.Store
	mu       sync.Mutex
	entries  map[string]persister.Entry
	leases   map[string]persister.LeaseID
	ends     map[persister.LeaseID]time.Time
	ttl      time.Duration
	revision contractor.Revision
	// lose is the number of commits that take effect without an answer.
	lose int
}

func newStore() *leaseStore {
	return &leaseStore{
		entries: make(map[string]persister.Entry),
		leases:  make(map[string]persister.LeaseID),
		ends:    make(map[persister.LeaseID]time.Time),
	}
}

func (s *leaseStore) expire() {
	for key, lease := range s.leases {
		if !time.Now().Before(s.ends[lease]) {
			delete(s.entries, key)
			delete(s.leases, key)
		}
	}
}

func (s *leaseStore) Get(_ context.Context, key string) (persister.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.entries[key], nil
}

func (s *leaseStore) Commit(_ context.Context, txn persister.Txn) (contractor.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range txn.Compares {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, persister.ErrConflict
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.entries[p.Key] = persister.Entry{Key: p.Key, Value: p.Value, Revision: s.revision}
		if p.Lease != 0 {
			s.leases[p.Key] = p.Lease
		}
	}
	if s.lose > 0 {
		s.lose--
		return 0, persister.ErrUnknown
	}
	return s.revision, nil
}

func (s *leaseStore) GrantLease(_ context.Context, ttl time.Duration) (persister.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := persister.LeaseID(len(s.ends) + 1)
	s.ttl = ttl
	s.ends[lease] = time.Now().Add(ttl)
	return lease, nil
}

func (s *leaseStore) KeepAlive(_ context.Context, lease persister.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.ends[lease]) {
		return 0, nil
	}
	s.ends[lease] = time.Now().Add(s.ttl)
	return s.ttl, nil
}

// fakeEngine carries out orders in a given time.
type fakeEngine struct {
	mu      sync.Mutex
	takes   time.Duration
	fenced  bool
	highest Fence
	running int
	overlap bool
	orders  []Order
}

func (e *fakeEngine) Execute(ctx context.Context, _ contractor.Upstream, order Order) error {
	e.mu.Lock()
	if e.fenced && order.Fence <= e.highest {
		e.mu.Unlock()
		return ErrFenced
	}
	e.highest = order.Fence
	e.running++
	e.overlap = e.overlap || e.running > 1
	e.orders = append(e.orders, order)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	select {
	case <-time.After(e.takes):
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

func TestOldFenceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engine := newStore(), &fakeEngine{fenced: true}
		paused, next := newOrderer(store, engine, "vm-1"), newOrderer(store, engine, "vm-2")
		upstream := contractor.Upstream{Name: "runner-1", Fenced: true}
		// The first daemon is paused between taking its number and sending.
		old, err := paused.raise(t.Context(), upstream.Name)
		require.NoError(t, err)
		require.NoError(t, next.Send(t.Context(), upstream, Order{Action: ChangeRole, Role: "decode"}))
		err = engine.Execute(t.Context(), upstream, Order{Fence: old})
		require.ErrorIs(t, err, ErrFenced)
	})
}

func TestLostAnswerCostsANumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.lose = 1
		o := newOrderer(store, &fakeEngine{}, "vm-1")
		fence, err := o.raise(t.Context(), "runner-1")
		require.NoError(t, err)
		require.Equal(t, Fence(2), fence)
	})
}

func TestEngineThatIgnoresFencesHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, engine := newStore(), &fakeEngine{takes: time.Minute}
		first, second := newOrderer(store, engine, "vm-1"), newOrderer(store, engine, "vm-2")
		upstream := contractor.Upstream{Name: "runner-1"}
		// The order runs longer than the lease of its daemon, which does not renew it.
		go func() { _ = first.Send(t.Context(), upstream, Order{Model: "a"}) }()
		time.Sleep(time.Second)
		require.ErrorIs(t, second.Send(t.Context(), upstream, Order{Model: "b"}), ErrLeaseHeld)
		time.Sleep(defaultLease)
		require.NoError(t, second.Send(t.Context(), upstream, Order{Model: "b"}))
		require.NoError(t, second.Send(t.Context(), upstream, Order{Model: "c"}))
		begin := time.Now()
		require.NoError(t, first.Send(t.Context(), upstream, Order{Model: "d"}))
		require.Greater(t, time.Since(begin), defaultLongest, "the former holder is waited out")
		require.Len(t, engine.orders, 4)
		require.False(t, engine.overlap)
	})
}

func TestLapsedHolderDoesNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		o := newOrderer(newStore(), engine, "vm-1")
		upstream := contractor.Upstream{Name: "runner-1"}
		h := o.hold(upstream.Name)
		require.NoError(t, o.acquire(t.Context(), upstream.Name, h))
		time.Sleep(defaultLease) // a pause
		require.ErrorIs(t, o.execute(t.Context(), upstream, Order{}, h), ErrLeaseExpired)
		require.Empty(t, engine.orders)
	})
}

func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{takes: time.Second}
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
		require.GreaterOrEqual(t, time.Since(begin), 8*time.Second, "two at once, then one each two seconds")
	})
}

func TestPlan(t *testing.T) {
	engine := func(name string, models ...string) EngineState {
		return EngineState{Upstream: contractor.Upstream{Name: name}, Models: models}
	}
	leaving := engine("r3", "a")
	leaving.Upstream.Leaving = true
	tests := []struct {
		name    string
		needs   []Requirement
		engines []EngineState
		steps   int
	}{
		{"served with spare", []Requirement{{"a", 1}}, []EngineState{engine("r1", "a"), engine("r2", "a")}, 0},
		{"leaving does not count", []Requirement{{"a", 1}}, []EngineState{engine("r1", "a"), engine("r2"), leaving}, 1},
		{"no spare at the cost of another model", []Requirement{{"a", 1}, {"b", 1}}, []EngineState{engine("r1", "a"), engine("r2", "b")}, 0},
		{"spare gives way to a missing model", []Requirement{{"a", 1}, {"b", 1}}, []EngineState{engine("r1", "a"), engine("r2", "a")}, 2},
		{"no engines", []Requirement{{"a", 1}}, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps := Plan(tt.needs, tt.engines)
			require.Len(t, steps, tt.steps)
		})
	}
}

func TestNeedsOfContractsInForce(t *testing.T) {
	contracts := []contractor.Contract{
		{Budgets: []contractor.Budget{{Models: []string{"b", "a"}}}},
		{Retired: true, Budgets: []contractor.Budget{{Models: []string{"c"}}}},
	}
	require.Equal(t, []Requirement{{"a", 3}, {"b", 1}}, Requirements(contracts, map[string]int{"a": 3}))
}
