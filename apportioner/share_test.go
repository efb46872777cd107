package apportioner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

// About 90 % of a balance is allocated to daemons, and nearly all of it can be spent. Tokens that
// stay with daemons without demand would be lost to the account.
func TestBalanceIsAllocatedAndCanBeSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, 10_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		held := contractor.Tokens(0)
		for _, d := range f.daemons {
			held += d.held()
		}
		require.InDelta(t, 9_000_000, float64(held), 1_000_000)
		for range 400 {
			for _, d := range f.daemons {
				f.drain(d, 3000)
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.LessOrEqual(t, f.spent, f.prepaid)
		require.Greater(t, float64(f.spent), 0.97*float64(f.prepaid))
	})
}

// A caller must not be told that its balance is exhausted when the daemon only cannot reach the
// store, because another daemon can still serve the request.
func TestRefusalReasonTellsExhaustedFromUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 100_000)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		err := f.spend(f.daemons[0], 200_000, 0)
		require.Equal(t, refuser.BudgetExhausted, reasonOf(t, err))
		f.daemons[0].link.partitioned.Store(true)
		time.Sleep(2 * time.Second)
		err = f.spend(f.daemons[0], 99_000, 0)
		require.Equal(t, refuser.BudgetUnreachable, reasonOf(t, err))
	})
}

// During a partition from the store, daemons serve the usual demand from their shares. Requests
// are refused only if the next stage is not unlocked yet.
func TestSharesCoverAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 9_000_000)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		for range 20 {
			time.Sleep(time.Second)
			for _, d := range f.daemons {
				require.NoError(t, f.spend(d, 10_000, 10_000))
			}
		}
		for _, d := range f.daemons {
			d.link.partitioned.Store(true)
		}
		refused := 0
		for range 9 {
			time.Sleep(time.Second)
			for _, d := range f.daemons {
				if f.spend(d, 10_000, 10_000) != nil {
					refused++
				}
			}
		}
		require.LessOrEqual(t, refused, 6, "of 27 requests, those before the next stage is unlocked")
		require.LessOrEqual(t, f.spent, f.prepaid)
	})
}

// A daemon whose share is used up gets more from the pool and the other daemons' shares. Without
// that, the requests at one daemon could spend only its part of the balance.
func TestUsedUpShareIsRefilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		got := f.drain(f.daemons[0], 5000)
		time.Sleep(3 * time.Second)
		got += f.drain(f.daemons[0], 5000)
		require.Greater(t, got, contractor.Tokens(300_000), "more than a quarter of the balance")
	})
}

// When an operator lowers what an account has prepaid, the daemons return their excess shares.
// If they kept them, the account would spend more than the new limit.
func TestLoweredPrepaidLimitIsEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 3_000_000)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		require.NoError(t, f.spend(f.daemons[0], 100_000, 100_000))
		f.prepaid = 200_000
		for _, d := range f.daemons {
			d.SetPrepaidLimits(map[contractor.Account]contractor.Tokens{testAccount: f.prepaid})
		}
		time.Sleep(8 * time.Second)
		for _, d := range f.daemons {
			f.drain(d, 1000)
		}
		require.LessOrEqual(t, f.spent, f.prepaid)
	})
}

// A daemon that stops returns its share, and the others can spend it. Otherwise each regular
// restart or removal of a VM would lock tokens.
func TestLeavingDaemonReturnsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		leaving := f.daemons[1]
		leaving.stop()
		time.Sleep(time.Second)
		leaving.Leave(t.Context())
		require.Zero(t, leaving.held())
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, f.daemons[0].MemberCount())
		require.Greater(t, f.daemons[0].held(), contractor.Tokens(850_000))
	})
}

// A daemon joins before it has read the configuration. If it took the missing limits as zero, it
// would return its whole share at each start.
func TestShareIsKeptUntilPrepaidLimitsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(5 * time.Second)
		d := f.daemons[0]
		d.stop()
		time.Sleep(100 * time.Millisecond)
		next := New(Config{Store: d.link, Name: d.name, Incarnation: 77})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go next.Run(ctx)
		time.Sleep(5 * time.Second)
		require.Greater(t, heldBy(next), contractor.Tokens(700_000), "the share is kept until the prepaid limits are known")
	})
}

// A silent daemon is removed from the members but may only be partitioned, and can still spend its
// share. Its grant must not go to other daemons.
func TestSilentDaemonIsRemovedButKeepsItsGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		gone := f.daemons[1]
		gone.stop()
		time.Sleep(memberTimeout + 10*time.Second)
		require.Equal(t, 1, f.daemons[0].MemberCount())
		require.Positive(t, gone.held())
		for range 50 {
			f.drain(f.daemons[0], 1000)
			time.Sleep(200 * time.Millisecond)
		}
		require.LessOrEqual(t, f.spent+gone.held(), f.prepaid, "the daemon may only be partitioned")
	})
}
