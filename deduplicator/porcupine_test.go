package deduplicator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/emulator"
)

type step struct {
	action string // claim, complete or abandon
	key    int
	// call is the number of the call that completes or abandons.
	call int
}

type outcome struct {
	fresh int
	// status is the number of the call whose answer was replayed.
	status int
}

// keyState is zero while free, -call while claimed and call once answered.
type keyState int

// model is the sequential behaviour of one key. Refusals are allowed in any
// state, since they promise nothing about later calls.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(step).key] = append(byKey[o.Input.(step).key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState(0) },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyState), input.(step), output.(outcome)
		switch {
		case in.action == "complete":
			return s == keyState(-in.call), keyState(in.call)
		case in.action == "abandon":
			return s == keyState(-in.call), keyState(0)
		case out.fresh != 0:
			return s == 0, keyState(-out.fresh)
		case out.status != 0:
			return s == keyState(out.status), s
		}
		return true, s
	},
}

// world runs clients against daemons that lose answers, pause and die.
type world struct {
	store *emulator.Store
	clock atomic.Int64
	calls atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
	runs    map[contractor.VM]contractor.Incarnation
	daemons map[contractor.VM]*deduplicator.Deduplicator
}

func (w *world) Gone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return incarnation < w.runs[vm]
}

func (w *world) restart(t *testing.T, vm contractor.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[vm]++
	d, err := deduplicator.New(deduplicator.Config{Store: w.store, VM: vm, Incarnation: w.runs[vm], Liveness: w})
	require.NoError(t, err)
	w.daemons[vm] = d
}

func (w *world) daemon(vm contractor.VM) *deduplicator.Deduplicator {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[vm]
}

func (w *world) record(client int, in step, run func() outcome) {
	called := w.clock.Add(1)
	out := run()
	returned := w.clock.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
}

var vms = []contractor.VM{"a", "b", "c"}

// client makes one call with retries through changing daemons.
func (w *world) client(t *testing.T, id int, random *rand.Rand) {
	ctx := t.Context()
	for range 20 {
		k := random.IntN(3)
		vm := vms[random.IntN(len(vms))]
		d := w.daemon(vm)
		var held *deduplicator.Claim
		call := int(w.calls.Add(1))
		w.record(id, step{action: "claim", key: k}, func() outcome {
			result, err := d.Claim(ctx, "loft-7", contractor.RequestKey{byte(k)}, print1)
			if err != nil {
				return outcome{}
			}
			held = result.Claim
			if held != nil {
				return outcome{fresh: call}
			}
			return outcome{status: result.Answer.Status}
		})
		if held == nil {
			_ = d.Flush(ctx)
			continue
		}
		w.finish(ctx, t, id, d, held, step{key: k, call: call}, random, vm)
	}
}

func (w *world) finish(ctx context.Context, t *testing.T, id int, d *deduplicator.Deduplicator, c *deduplicator.Claim, in step, random *rand.Rand, vm contractor.VM) {
	switch random.IntN(8) {
	case 0:
		w.restart(t, vm)
	case 1:
		require.NoError(t, ignorePending(d.Unknown(ctx, c)))
	case 2, 3, 4, 5:
		in.action = "abandon"
		w.record(id, in, func() outcome {
			require.NoError(t, ignorePending(d.Abandon(ctx, c)))
			return outcome{}
		})
	default:
		in.action = "complete"
		w.record(id, in, func() outcome {
			require.NoError(t, ignorePending(d.Complete(ctx, c, &conductor.Response{Status: in.call})))
			return outcome{}
		})
	}
}

func ignorePending(err error) error {
	if errors.Is(err, deduplicator.ErrPending) {
		return nil
	}
	return err
}

func TestClaimsAreLinearizable(t *testing.T) {
	fresh := 0
	for seed := range uint64(30) {
		w := &world{
			store:   emulator.NewStore(emulator.StoreConfig{Seed: seed}),
			runs:    make(map[contractor.VM]contractor.Incarnation),
			daemons: make(map[contractor.VM]*deduplicator.Deduplicator),
		}
		for _, vm := range vms {
			w.restart(t, vm)
		}
		w.store.SetFaults(emulator.StoreFaults{LoseAnswers: 0.15, LoseRequests: 0.1})
		var clients sync.WaitGroup
		for id := range 6 {
			random := rand.New(rand.NewPCG(seed, uint64(id)))
			clients.Go(func() { w.client(t, id, random) })
		}
		clients.Wait()
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, w.history, time.Minute), "seed %d", seed)
		for _, o := range w.history {
			if o.Output.(outcome).fresh != 0 {
				fresh++
			}
		}
	}
	require.Greater(t, fresh, 100)
}
