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

// topUpInput is a top-up with the given number as its ID, or a read if id is negative.
type topUpInput struct {
	id     int
	amount contractor.Tokens
}

type topUpOutput struct {
	prepaid contractor.Tokens
	unknown bool
}

// topUpState is the state of one budget in the sequential model.
type topUpState struct {
	prepaid contractor.Tokens
	// applied has one bit per ID. There are 16 IDs.
	applied uint16
}

// topUpModel is the specification: an ID raises the balance once. A top-up with an unknown
// outcome may or may not have taken effect.
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

// topUpFixture runs concurrent operators who top up one budget and read its balance, and
// records their operations.
type topUpFixture struct {
	store *emulator.Store
	clock atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
}

func (f *topUpFixture) record(client int, in topUpInput, run func() topUpOutput) {
	called := f.clock.Add(1)
	out := run()
	returned := f.clock.Add(1)
	if out.unknown {
		// The top-up may take effect at any later time.
		returned = math.MaxInt64
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: called, Return: returned})
}

func (f *topUpFixture) runOperator(ctx context.Context, t *testing.T, client int, random *rand.Rand) {
	for range 12 {
		if random.IntN(3) == 0 {
			f.record(client, topUpInput{id: -1}, func() topUpOutput {
				ledger, _, err := biller.LoadLedger(ctx, f.store, "loft-7")
				require.NoError(t, err)
				return topUpOutput{prepaid: ledger.Balance("quotes").Prepaid}
			})
			continue
		}
		id := random.IntN(16)
		in := topUpInput{id: id, amount: contractor.Tokens(1 + id)}
		f.record(client, in, func() topUpOutput {
			receipt, err := biller.TopUp(ctx, f.store, "loft-7", "quotes", biller.TopUpID(fmt.Sprint(id)), in.amount)
			if errors.Is(err, persister.ErrUnknown) || errors.Is(err, persister.ErrConflict) {
				return topUpOutput{unknown: true}
			}
			require.NoError(t, err)
			return topUpOutput{prepaid: receipt.Prepaid}
		})
	}
}

// With lost requests and responses, concurrent top-ups and reads must behave as if they
// were executed one after another, and each ID must count once.
func TestTopUpsAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		f := &topUpFixture{store: emulator.NewStore(emulator.StoreConfig{Seed: seed})}
		c := newContract()
		c.Budgets[0].Prepaid = 0
		_, err := biller.OpenLedger(t.Context(), f.store, c)
		require.NoError(t, err)
		f.store.SetFaults(emulator.StoreFaults{LoseResponses: 0.3, LoseRequests: 0.2})
		var group sync.WaitGroup
		for client := range 4 {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			group.Go(func() { f.runOperator(t.Context(), t, client, random) })
		}
		group.Wait()
		model := topUpModel.ToModel()
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, f.history, time.Minute), "seed %d", seed)
	}
}
