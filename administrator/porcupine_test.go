package administrator_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

// topUpInput is a top-up by the number of its id, or a read when it is negative.
type topUpInput struct {
	id     int
	amount contractor.Tokens
}

type topUpOutput struct {
	prepaid contractor.Tokens
	unknown bool
}

// topUpState is the sequential state of one budget.
type topUpState struct {
	prepaid contractor.Tokens
	// applied has one bit per id, at most 16.
	applied uint16
}

var topUpModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{topUpState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(topUpState), input.(topUpInput), output.(topUpOutput)
		if in.id < 0 {
			if s.prepaid == out.prepaid {
				return []any{s}
			}
			return nil
		}
		next := s
		if s.applied&(1<<in.id) == 0 {
			next.prepaid += in.amount
			next.applied |= 1 << in.id
		}
		switch {
		case out.unknown:
			return []any{s, next}
		case s.applied != next.applied && next.prepaid != out.prepaid:
			return nil
		}
		return []any{next}
	},
}

// topUpWorld runs operators who top one budget up and read it.
type topUpWorld struct {
	store *emulator.Store
	clock atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
}

func (w *topUpWorld) record(client int, in topUpInput, run func() topUpOutput) {
	called := w.clock.Add(1)
	out := run()
	returned := w.clock.Add(1)
	if out.unknown {
		// It may still take effect at any time.
		returned = math.MaxInt64
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
}

func (w *topUpWorld) operator(ctx context.Context, t *testing.T, client int, random *rand.Rand) {
	for range 12 {
		if random.IntN(3) == 0 {
			w.record(client, topUpInput{id: -1}, func() topUpOutput {
				ledger, _, err := biller.LoadLedger(ctx, w.store, "loft-7")
				require.NoError(t, err)
				return topUpOutput{prepaid: ledger.Balance("quotes").Prepaid}
			})
			continue
		}
		id := random.IntN(16)
		in := topUpInput{id: id, amount: contractor.Tokens(1 + id)}
		w.record(client, in, func() topUpOutput {
			receipt, err := biller.TopUp(ctx, w.store, "loft-7", "quotes", biller.TopUpID(fmt.Sprint(id)), in.amount)
			if errors.Is(err, persister.ErrUnknown) || errors.Is(err, persister.ErrConflict) {
				return topUpOutput{unknown: true}
			}
			require.NoError(t, err)
			return topUpOutput{prepaid: receipt.Prepaid}
		})
	}
}

func TestTopUpsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		w := &topUpWorld{store: emulator.NewStore(emulator.StoreConfig{Seed: seed})}
		c := loft()
		c.Budgets[0].Prepaid = 0
		_, err := biller.OpenLedger(t.Context(), w.store, c)
		require.NoError(t, err)
		w.store.SetFaults(emulator.StoreFaults{LoseResponses: 0.3, LoseRequests: 0.2})
		var group sync.WaitGroup
		for client := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			group.Go(func() { w.operator(t.Context(), t, client, random) })
		}
		group.Wait()
		model := topUpModel.ToModel()
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, w.history, time.Minute), "seed %d", seed)
	}
}
