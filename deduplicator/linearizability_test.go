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

type operationInput struct {
	action string // claim, complete or abandon (Release)
	key    int
	// call is the number of the call whose claim is completed or abandoned.
	call int
}

type operationOutput struct {
	// claimedBy is the number of the call that got the claim, or zero.
	claimedBy int
	// replayOf is the number of the call whose response was replayed, or zero.
	replayOf int
}

// keyState is zero for a free key, -call for a claimed one and call for one whose
// response is stored.
type keyState int

// model is the sequential behaviour of one key. Refusals are allowed in any state,
// since they guarantee nothing about later calls.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, o := range history {
			byKey[o.Input.(operationInput).key] = append(byKey[o.Input.(operationInput).key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState(0) },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyState), input.(operationInput), output.(operationOutput)
		switch {
		case in.action == "complete":
			return s == keyState(-in.call), keyState(in.call)
		case in.action == "abandon":
			return s == keyState(-in.call), keyState(0)
		case out.claimedBy != 0:
			return s == 0, keyState(-out.claimedBy)
		case out.replayOf != 0:
			return s == keyState(out.replayOf), s
		}
		return true, s
	},
}

// fixture runs clients against daemons that restart and whose store loses requests
// and responses, and records the history.
type fixture struct {
	store *emulator.Store
	clock atomic.Int64
	calls atomic.Int64

	mu           sync.Mutex
	history      []porcupine.Operation
	incarnations map[contractor.VM]contractor.Incarnation
	daemons      map[contractor.VM]*deduplicator.Deduplicator
}

func (f *fixture) Gone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return incarnation < f.incarnations[vm]
}

func (f *fixture) restart(t *testing.T, vm contractor.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[vm]++
	d, err := deduplicator.New(deduplicator.Config{Store: f.store, VM: vm, Incarnation: f.incarnations[vm], Liveness: f})
	require.NoError(t, err)
	f.daemons[vm] = d
}

func (f *fixture) currentDaemon(vm contractor.VM) *deduplicator.Deduplicator {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[vm]
}

func (f *fixture) record(client int, in operationInput, run func() operationOutput) {
	called := f.clock.Add(1)
	out := run()
	returned := f.clock.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
}

var vms = []contractor.VM{"a", "b", "c"}

// runClient makes calls with a few keys through random daemons and ends those that
// it may execute.
func (f *fixture) runClient(t *testing.T, id int, random *rand.Rand) {
	ctx := t.Context()
	for range 20 {
		k := random.IntN(3)
		vm := vms[random.IntN(len(vms))]
		d := f.currentDaemon(vm)
		var held *deduplicator.Claim
		call := int(f.calls.Add(1))
		f.record(id, operationInput{action: "claim", key: k}, func() operationOutput {
			result, err := d.Claim(ctx, "loft-7", contractor.RequestKey{byte(k)}, fingerprint1)
			if err != nil {
				return operationOutput{}
			}
			held = result.Claim
			if held != nil {
				return operationOutput{claimedBy: call}
			}
			return operationOutput{replayOf: result.Response.Status}
		})
		if held == nil {
			_ = d.Flush(ctx)
			continue
		}
		f.endCall(ctx, t, id, d, held, operationInput{key: k, call: call}, random, vm)
	}
}

func (f *fixture) endCall(ctx context.Context, t *testing.T, id int, d *deduplicator.Deduplicator, c *deduplicator.Claim, in operationInput, random *rand.Rand, vm contractor.VM) {
	switch random.IntN(8) {
	case 0:
		f.restart(t, vm)
	case 1:
		require.NoError(t, ignorePending(d.MarkUnknown(ctx, c)))
	case 2, 3, 4, 5:
		in.action = "abandon"
		f.record(id, in, func() operationOutput {
			require.NoError(t, ignorePending(d.Release(ctx, c)))
			return operationOutput{}
		})
	default:
		in.action = "complete"
		f.record(id, in, func() operationOutput {
			require.NoError(t, ignorePending(d.Complete(ctx, c, &conductor.Response{Status: in.call})))
			return operationOutput{}
		})
	}
}

func ignorePending(err error) error {
	if errors.Is(err, deduplicator.ErrPending) {
		return nil
	}
	return err
}

// TestClaimsAreLinearizable guards against two executions of one call and lost
// responses, which races of daemons, restarts and lost store messages could cause.
func TestClaimsAreLinearizable(t *testing.T) {
	claims := 0
	for seed := range uint64(30) {
		f := &fixture{
			store:        emulator.NewStore(emulator.StoreConfig{Seed: seed}),
			incarnations: make(map[contractor.VM]contractor.Incarnation),
			daemons:      make(map[contractor.VM]*deduplicator.Deduplicator),
		}
		for _, vm := range vms {
			f.restart(t, vm)
		}
		f.store.SetFaults(emulator.StoreFaults{LoseResponses: 0.15, LoseRequests: 0.1})
		var clients sync.WaitGroup
		for id := range 6 {
			random := rand.New(rand.NewPCG(seed, uint64(id)))
			clients.Go(func() { f.runClient(t, id, random) })
		}
		clients.Wait()
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, f.history, time.Minute), "seed %d", seed)
		for _, o := range f.history {
			if o.Output.(operationOutput).claimedBy != 0 {
				claims++
			}
		}
	}
	require.Greater(t, claims, 100)
}
