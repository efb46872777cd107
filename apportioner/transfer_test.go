package apportioner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
)

// A killed daemon must not spend tokens again that it transferred to another one. That would
// happen if the next incarnation started from the row of the last round, which lacks the transfer.
func TestTransferMovesTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		granter, receiver := f.daemons[0], f.daemons[1]
		granterHeld, receiverHeld := granter.held(), receiver.held()
		const tokens = 100_000 // more than the open part: the granter needs a round first
		require.Equal(t, contractor.Tokens(tokens), granter.GrantTransfer(t.Context(), testAccount, tokens))
		receiver.CreditTransfer(testAccount, tokens)
		require.Equal(t, granterHeld-tokens, granter.held())
		require.Equal(t, receiverHeld+tokens, receiver.held())

		granter.stop()
		time.Sleep(time.Second)
		f.launch(granter)
		time.Sleep(time.Second)
		require.True(t, granter.Joined())
		require.LessOrEqual(t, granter.held()+receiver.held(), f.prepaid)
		time.Sleep(10 * time.Second)
		for range 10 {
			for _, d := range f.daemons {
				f.drain(d, 1000)
			}
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, f.spent, f.prepaid)
		require.Greater(t, float64(f.spent), 0.9*float64(f.prepaid), "no transferred tokens are lost")
	})
}

// A transfer grants at most the tokens that are unlocked in the current stage. More would be
// spent twice: after a restart, the next incarnation counts on the locked tokens.
func TestTransferIsLimitedToAvailableTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		for range 10 { // demand that the open part covers
			require.NoError(t, f.spend(d, 2000, 2000))
			time.Sleep(time.Second)
		}
		require.Zero(t, d.GrantTransfer(t.Context(), "unknown", 1))
		require.Zero(t, d.GrantTransfer(t.Context(), testAccount, -1))
		d.link.partitioned.Store(true)
		time.Sleep(2 * time.Second)
		held := d.held()
		granted := d.GrantTransfer(t.Context(), testAccount, held)
		require.Positive(t, granted)
		require.Less(t, granted, held, "the rest is locked while the store is unreachable")
		require.Equal(t, held-granted, d.held())
		require.Zero(t, d.GrantTransfer(t.Context(), testAccount, held))
		d.link.partitioned.Store(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, d.held(), d.GrantTransfer(t.Context(), testAccount, 2*f.prepaid))
		require.Zero(t, d.held())
	})
}

// A balance that would give each daemon less than a request needs is held by a few daemons, in
// shares that cover a request. Divided among all, it could serve none.
func TestSmallBalanceIsAllocatedToFewDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, 9*minShare/2)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		for range 3 { // some demand at every daemon
			for _, d := range f.daemons {
				_ = f.spend(d, 100, 100) // refusals are expected
			}
			time.Sleep(5 * time.Second)
		}
		holders := 0
		for _, d := range f.daemons {
			if d.held() >= 2*minShare {
				holders++
			}
		}
		require.Equal(t, 1, holders)
		peers := f.daemons[0].TransferPeers(testAccount)
		require.Len(t, peers, 0, "no daemon of this test has an address")
	})
}

// A balance that gives each daemon minShare has all daemons as holders, a smaller one only those
// that can get holderShareTokens. Daemons that rank members differently would disagree about
// the holders.
func TestHolderCountAndRank(t *testing.T) {
	enough := 5 * minShare / maxEvenFraction // for five daemons
	tests := []struct {
		allocated float64
		members   int
		holders   int
	}{
		{allocated: 0, members: 5, holders: 1},
		{allocated: enough, members: 5, holders: 5},
		{allocated: enough - 1, members: 5, holders: 1},
		{allocated: 90 * minShare, members: 91, holders: 18},
	}
	for _, tt := range tests {
		require.Equal(t, tt.holders, holderCount(tt.allocated, tt.members))
	}
	members := map[string]member{"edge-1": {}, "edge-2": {}, "edge-3": {}}
	require.Equal(t, rankMembers("loft-7", members), rankMembers("loft-7", members))
	require.ElementsMatch(t, []string{"edge-1", "edge-2", "edge-3"}, rankMembers("loft-7", members))
}

// During a partition, a daemon of a large fleet can serve a long request of each account while the
// balance is ample, even without previous demand. The open part shrinks with the balance, because
// a killed daemon loses it.
func TestOpenPartCoversALongRequest(t *testing.T) {
	tests := []struct {
		members         int
		held            contractor.Tokens
		unspentFraction float64
		open            contractor.Tokens
	}{
		{members: 91, held: 100_000, unspentFraction: 1, open: longRequestTokens},
		{members: 91, held: 100_000, unspentFraction: 0.5, open: longRequestTokens / 16},
		{members: 91, held: 12_000, unspentFraction: 1, open: 12_000},
		{members: 91, held: 0, unspentFraction: 1, open: 0},
		{members: 7, held: 1_000_000, unspentFraction: 1, open: 0}, // without demand
	}
	for _, tt := range tests {
		q := accountPlan{holding: holding{Granted: tt.held}, members: tt.members, unspentFraction: tt.unspentFraction, longRequest: longRequestTokens}
		require.Equal(t, tt.open, q.limits()[stageOpen], "%+v", tt)
	}
}

// When requests wait at all daemons of a large fleet, all daemons rebalance at once and conflict.
// After repeated conflicts a daemon settles only its own row and rebalances later. Without that,
// 60 daemons had about 300 conflicts here.
func TestLargeFleetRebalancesWithFewConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(60, 60_000_000)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.store.SetFaults(emulator.StoreFaults{Delay: 10 * time.Millisecond})
		time.Sleep(time.Second)
		_, before := f.writes()
		for _, d := range f.daemons {
			d.mu.Lock()
			d.state.rebalancedAt = d.state.rebalancedAt.Add(-time.Minute)
			d.mu.Unlock()
			d.requestRound()
		}
		time.Sleep(2 * time.Second)
		_, after := f.writes()
		t.Logf("%d conflicts", after-before)
		require.Less(t, after-before, int64(3*len(f.daemons)))
	})
}

// writes returns how many transactions the daemons have sent and how many of them conflicted.
func (f *fleet) writes() (commits, conflicts int64) {
	for _, d := range f.daemons {
		commits += d.link.commits.Load()
		conflicts += d.link.conflicts.Load()
	}
	return commits, conflicts
}

// A silent daemon is removed by exactly one other daemon. If all tried, their transactions would
// conflict.
func TestSilentDaemonIsRemovedByOneOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, 6_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		f.daemons[5].stop()
		time.Sleep(memberTimeout + 10*time.Second)
		writes := int64(0)
		for _, d := range f.daemons {
			writes += d.link.foreignRowWrites.Load()
		}
		require.Equal(t, int64(1), writes)
		require.Equal(t, 5, f.daemons[0].MemberCount())
	})
}

// The open part follows the largest request that the daemon has seen. With a fixed size for long
// requests, a killed daemon would lose too much where all requests are short.
func TestLongRequestCostFollowsObservedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 10_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		require.Equal(t, contractor.Tokens(longRequestTokens), d.longRequestCost())
		for i := range minObservedRequests {
			require.NoError(t, f.spend(d, contractor.Tokens(100+i), 100))
		}
		require.Equal(t, contractor.Tokens(100+minObservedRequests-1), d.longRequestCost())
		require.NoError(t, f.spend(d, 2*longRequestTokens, 100))
		require.Equal(t, contractor.Tokens(longRequestTokens), d.longRequestCost())
	})
}

// Guards against a daemon that takes the shares of all others of a large fleet: when the traffic
// begins, the sum of the demands holds little more than its own.
func TestFirstDemandDoesNotDrawTheWholeBalance(t *testing.T) {
	const prepaid = 100_000_000
	tests := []struct {
		members int
		atMost  contractor.Tokens
	}{
		{members: 7, atMost: prepaid},
		{members: 295, atMost: 2 * maxDemandWeight * prepaid / 295},
	}
	for _, tt := range tests {
		q := accountPlan{
			holding: holding{Demand: 1000}, prepaid: prepaid, members: tt.members, holder: true,
			allocatedFraction: defaultAllocatedFraction, longRequest: longRequestTokens,
		}
		require.LessOrEqual(t, q.target(sums{Demand: 1000}), tt.atMost, "%+v", tt)
	}
}

// Guards against leases that each daemon gets for itself, because the daemons count different
// members while a fleet changes: the relay shares only leases of the same TTL.
func TestLeaseTTLsOfAFleetAreFew(t *testing.T) {
	ttls := make(map[time.Duration]bool)
	for members := 280; members <= 300; members++ {
		a := New(Config{Name: "edge-1"})
		a.state.pool.Members = make(map[string]member)
		for i := range members {
			a.state.pool.Members[fmt.Sprint("edge-", i)] = member{}
		}
		for i := range stages {
			ttls[a.leaseTTL(i)] = true
		}
	}
	require.Len(t, ttls, len(stages))
}

// Guards against rounds that cannot unlock anything. In a large fleet a share is about one request
// and open as a whole, so nearly each request would cause such a round.
func TestRoundsFollowOnlyWhereTheyUnlockTokens(t *testing.T) {
	tests := []struct {
		granted, open, cost contractor.Tokens
		unlocks             bool
	}{
		{granted: 20_000, open: 20_000, cost: 17_000},
		{granted: 60_000, open: 20_000, cost: 17_000},
		{granted: 60_000, open: 10_000, cost: 17_000, unlocks: true},
		{granted: 10_000, open: 10_000, cost: 17_000},
	}
	for _, tt := range tests {
		a := New(Config{Name: "edge-1"})
		s := &account{granted: tt.granted}
		s.limits[stageOpen] = tt.open
		require.Equal(t, tt.unlocks, a.unlocksSoon(s, tt.cost), "%+v", tt)
	}
}

// Guards against daemons of a starting fleet that all register in the empty pool at once: each of
// their transactions would conflict with those of all others.
func TestDaemonsOfAStartingFleetRegisterOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(60, 60_000_000)
		defer f.stopAll()
		f.store.SetFaults(emulator.StoreFaults{Delay: 4 * time.Millisecond})
		time.Sleep(registerSpread + 500*time.Millisecond)
		commits, conflicts := f.writes()
		t.Logf("%d commits, %d conflicts", commits, conflicts)
		require.Less(t, conflicts, int64(maxTries*len(f.daemons)), "the tries of one round each")
		time.Sleep(10 * time.Second)
		for _, d := range f.daemons {
			require.True(t, d.Registered(), d.name)
		}
	})
}
