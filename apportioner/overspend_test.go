package apportioner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
)

func TestLateWriteDoesNotGiveTokensTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3_000_000)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.store.SetFaults(emulator.StoreFaults{LateCommits: 0.5, LateBy: 3 * time.Second})
		for i := range 200 {
			_ = f.use(f.daemons[i%3], 20_000, 20_000) // refusals are not the matter here
			time.Sleep(100 * time.Millisecond)
		}
		f.store.SetFaults(emulator.StoreFaults{})
		time.Sleep(10 * time.Second)
		for _, d := range f.daemons {
			f.drain(d, 1000)
		}
		require.LessOrEqual(t, f.spent, f.prepaid)
	})
}

func TestRowThatIsReadDoesNotRaiseAShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(5 * time.Second)
		d := f.daemons[0]
		d.stop()
		time.Sleep(time.Second)
		row, pool := f.store.Peek(rowPrefix+d.name), f.store.Peek(poolKey)
		f.store.SetFaults(emulator.StoreFaults{LateCommits: 1, LateBy: 3 * time.Second})
		d.SetPrepaidLimits(map[contractor.Account]contractor.Tokens{testAccount: 100_000})
		time.Sleep(dealInterval)
		d.RunRound(t.Context())
		require.Less(t, d.held(), contractor.Tokens(100_001))
		require.NoError(t, d.adopt(row, pool))
		require.Less(t, d.held(), contractor.Tokens(100_001))
	})
}

func TestNothingIsOverspent(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, rand.New(rand.NewPCG(seed, 7)), nil, nil) })
		})
	}
}

func TestNothingIsOverspentWithLoans(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playFaults(t, rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8)), nil)
			})
		})
	}
}

func TestNothingIsOverspentThroughARelay(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				playFaults(t, rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9)))
			})
		})
	}
}

func playFaults(t *testing.T, random, loans, relay *rand.Rand) {
	f := newLendingFleet(5, 4_000_000, loans)
	defer f.stopAll()
	if relay != nil {
		defer f.relayed(relay)()
	}
	time.Sleep(3 * time.Second)
	for range 400 {
		d := f.daemons[random.IntN(len(f.daemons))]
		switch random.IntN(30) {
		case 0:
			d.link.cut.Store(!d.link.cut.Load())
		case 1:
			for _, d := range f.daemons {
				d.link.cut.Store(true)
			}
		case 2, 3:
			for _, d := range f.daemons {
				d.link.cut.Store(false)
			}
		case 4:
			d.stop()
			time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
			d.boots += random.IntN(2)
			f.launch(d)
		case 5:
			f.store.SetFaults(emulator.StoreFaults{LateCommits: 0.4, LateBy: 4 * time.Second, LoseAnswers: 0.2})
		case 6:
			f.store.SetFaults(emulator.StoreFaults{Outage: true, PauseLeases: random.IntN(2) == 0})
		case 7, 8:
			f.store.SetFaults(emulator.StoreFaults{})
		}
		size := contractor.Tokens(1000 + random.IntN(30_000))
		_ = f.use(d, size, size-contractor.Tokens(random.IntN(500))) // refusals are allowed
		require.LessOrEqual(t, f.spent, f.prepaid)
		time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
	}
	f.store.SetFaults(emulator.StoreFaults{})
	for _, d := range f.daemons {
		d.link.cut.Store(false)
	}
	time.Sleep(25 * time.Second)
	for range 20 {
		for _, d := range f.daemons {
			f.drain(d, 500)
		}
		time.Sleep(time.Second)
	}
	require.LessOrEqual(t, f.spent, f.prepaid)
}
