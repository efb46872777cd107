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

// A write whose outcome is unknown can take effect seconds later. Tokens must not be granted to
// two daemons when an old row or pool takes effect after a newer one was read.
func TestLateWriteDoesNotGrantTokensTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3_000_000)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.store.SetFaults(emulator.StoreFaults{LateCommits: 0.5, LateCommitDelay: 3 * time.Second})
		for i := range 200 {
			_ = f.spend(f.daemons[i%3], 20_000, 20_000) // refusals are expected
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

// A daemon lowers its share before a write that returns tokens. While that write is in flight, a
// read still shows the old row, and adopting its grant would let the daemon spend returned tokens.
func TestReadingAnOldRowDoesNotRaiseShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(5 * time.Second)
		d := f.daemons[0]
		d.stop()
		time.Sleep(time.Second)
		row, pool := f.store.Peek(rowPrefix+d.name), f.store.Peek(poolKey)
		f.store.SetFaults(emulator.StoreFaults{LateCommits: 1, LateCommitDelay: 3 * time.Second})
		d.SetPrepaidLimits(map[contractor.Account]contractor.Tokens{testAccount: 100_000})
		time.Sleep(rebalanceInterval)
		d.RunRound(t.Context())
		require.Less(t, d.held(), contractor.Tokens(100_001))
		require.NoError(t, d.adopt(row, pool))
		require.Less(t, d.held(), contractor.Tokens(100_001))
	})
}

// Under random partitions, restarts, lost and late commits and outages of the store, the daemons
// together never spend more than is prepaid.
func TestNothingIsOverspent(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSpendingUnderFaults(t, rand.New(rand.NewPCG(seed, 7)), nil, nil) })
		})
	}
}

// As TestNothingIsOverspent, with transfers between daemons whose responses can be lost or late.
func TestNothingIsOverspentWithTransfers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkSpendingUnderFaults(t, rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8)), nil)
			})
		})
	}
}

// As TestNothingIsOverspentWithTransfers, with a relay that merges some of the commits and loses
// some responses.
func TestNothingIsOverspentThroughRelay(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkSpendingUnderFaults(t, rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9)))
			})
		})
	}
}

// checkSpendingUnderFaults spends at random daemons while faults occur. It then ends all faults and
// spends the rest of the balance. The spent tokens are checked after each request.
func checkSpendingUnderFaults(t *testing.T, random, transfers, relay *rand.Rand) {
	f := newTransferFleet(5, 4_000_000, transfers)
	defer f.stopAll()
	if relay != nil {
		defer f.startRelay(relay)()
	}
	time.Sleep(3 * time.Second)
	for range 400 {
		d := f.daemons[random.IntN(len(f.daemons))]
		switch random.IntN(30) {
		case 0:
			d.link.partitioned.Store(!d.link.partitioned.Load())
		case 1:
			for _, d := range f.daemons {
				d.link.partitioned.Store(true)
			}
		case 2, 3:
			for _, d := range f.daemons {
				d.link.partitioned.Store(false)
			}
		case 4:
			d.stop()
			time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
			d.reboots += random.IntN(2)
			f.launch(d)
		case 5:
			f.store.SetFaults(emulator.StoreFaults{LateCommits: 0.4, LateCommitDelay: 4 * time.Second, LoseResponses: 0.2})
		case 6:
			f.store.SetFaults(emulator.StoreFaults{Outage: true, PauseLeases: random.IntN(2) == 0})
		case 7, 8:
			f.store.SetFaults(emulator.StoreFaults{})
		}
		size := contractor.Tokens(1000 + random.IntN(30_000))
		_ = f.spend(d, size, size-contractor.Tokens(random.IntN(500))) // refusals are allowed
		require.LessOrEqual(t, f.spent, f.prepaid)
		time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
	}
	f.store.SetFaults(emulator.StoreFaults{})
	for _, d := range f.daemons {
		d.link.partitioned.Store(false)
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
