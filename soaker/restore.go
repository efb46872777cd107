package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumline/emulator"
	"laburnumline/sleeper"
)

const (
	// meanRestoreInterval is the mean time between two restores of the store, after the time that
	// the copy is old.
	meanRestoreInterval = 3 * time.Second
	maxCopyAge          = 4 * time.Second
	restoreOutage       = 500 * time.Millisecond
)

// restoreStore restores the store from older copies, again and again until ctx ends. The operator and
// the upstreams write their entries again afterwards. It has a random source of its own, so that the
// seeds of earlier failures repeat the other faults.
func (s *soak) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 4000))
	for sleeper.Sleep(ctx, time.Duration(random.Int64N(int64(2*meanRestoreInterval)))) == nil {
		content := s.fixture.store.Copy()
		if sleeper.Sleep(ctx, time.Duration(random.Int64N(int64(maxCopyAge)))) != nil {
			return
		}
		s.setStoreFaults(emulator.StoreFaults{Outage: true})
		_ = sleeper.Sleep(ctx, time.Duration(random.Int64N(int64(restoreOutage)))) // the store has to come back in any case
		s.fixture.restoreStore(content)
		s.setStoreFaults(emulator.StoreFaults{})
		s.logf("the store is restored")
	}
}

// restoreStore restores the content of the store, and writes what the operator and the upstreams
// had written.
func (f *fixture) restoreStore(content *emulator.StoreCopy) {
	written := make(map[string][]byte)
	for _, prefix := range []string{"op/", "servers/"} {
		for _, key := range f.store.Keys(prefix) {
			written[key] = f.store.Peek(key).Value
		}
	}
	f.store.Restore(content)
	for key, value := range written {
		f.store.PutAsOperator(key, value)
	}
}
