package orderer

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

// fakeEngines is an Engine that applies orders to a list of engine states.
type fakeEngines struct {
	engines     []EngineState
	unavailable bool
}

func (f *fakeEngines) Execute(_ context.Context, u contractor.Upstream, order Order) error {
	if f.unavailable {
		return errors.New("engine does not respond")
	}
	for i := range f.engines {
		e := &f.engines[i]
		if e.Upstream.Name != u.Name {
			continue
		}
		if order.Action == Load {
			e.Models = append(e.Models, order.Model)
		} else {
			e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == order.Model })
		}
	}
	return nil
}

func (f *fakeEngines) serving(model string) int {
	n := 0
	for _, e := range f.engines {
		if slices.Contains(e.Models, model) {
			n++
		}
	}
	return n
}

// Guards against plans that do not follow changed contracts, and against models
// that stay unserved after the engines were unavailable.
func TestReconcilerServesContractsInForce(t *testing.T) {
	f := &fakeEngines{unavailable: true}
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		f.engines = append(f.engines, EngineState{Upstream: contractor.Upstream{Name: name, Fenced: true}})
	}
	contracts := []contractor.Contract{{Budgets: []contractor.Budget{{Models: []string{"a", "b"}}}}}
	r := &Reconciler{
		Orderer:   newOrderer(newStore(), f, "vm-1"),
		Contracts: func(context.Context) ([]contractor.Contract, error) { return contracts, nil },
		Engines:   func(context.Context) ([]EngineState, error) { return f.engines, nil },
	}
	require.Error(t, r.Reconcile(t.Context()))
	require.Zero(t, f.serving("a"))
	f.unavailable = false
	require.NoError(t, r.Reconcile(t.Context()))
	require.Equal(t, 2, f.serving("a"), "served with a spare after the engines respond again")
	require.Equal(t, 2, f.serving("b"))
	// The contract of b ends and c takes its place.
	contracts = []contractor.Contract{{Budgets: []contractor.Budget{{Models: []string{"a", "c"}}}}}
	require.NoError(t, r.Reconcile(t.Context()))
	require.Equal(t, 2, f.serving("a"))
	require.Equal(t, 2, f.serving("c"))
}

// Guards against a daemon that plans although it is not the leader, and against a
// leader that stops after a failed plan.
func TestReconcilerPlansOnlyAsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leads atomic.Bool
		var plans atomic.Int64
		r := &Reconciler{
			IsLeader: leads.Load,
			Contracts: func(context.Context) ([]contractor.Contract, error) {
				plans.Add(1)
				return nil, errors.New("store is unavailable")
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		time.Sleep(5*time.Minute + time.Second)
		require.Zero(t, plans.Load())
		leads.Store(true)
		time.Sleep(5 * time.Minute)
		require.EqualValues(t, 5, plans.Load())
		cancel()
		synctest.Wait()
	})
}
