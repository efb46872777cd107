package apportioner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
)

// A loan moves tokens from one share to another: the lender has them no more, not even
// after it was killed before its next round.
func TestLoanMovesTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		lender, borrower := f.daemons[0], f.daemons[1]
		lenderHeld, borrowerHeld := lender.held(), borrower.held()
		const tokens = 100_000 // beyond the open part, so the lender makes a round first
		require.Equal(t, contractor.Tokens(tokens), lender.GrantTransfer(t.Context(), testAccount, tokens))
		borrower.CreditTransfer(testAccount, tokens)
		require.Equal(t, lenderHeld-tokens, lender.held())
		require.Equal(t, borrowerHeld+tokens, borrower.held())

		lender.stop()
		time.Sleep(time.Second)
		f.launch(lender)
		time.Sleep(time.Second)
		require.True(t, lender.Joined())
		require.LessOrEqual(t, lender.held()+borrower.held(), f.prepaid)
		time.Sleep(10 * time.Second)
		for range 10 {
			for _, d := range f.daemons {
				f.drain(d, 1000)
			}
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, f.spent, f.prepaid)
		require.Greater(t, float64(f.spent), 0.9*float64(f.prepaid), "nothing of the loan is lost")
	})
}

func TestNothingIsLentThatIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		for range 10 { // demand, which the open part covers
			require.NoError(t, f.use(d, 2000, 2000))
			time.Sleep(time.Second)
		}
		require.Zero(t, d.GrantTransfer(t.Context(), "unknown", 1))
		require.Zero(t, d.GrantTransfer(t.Context(), testAccount, -1))
		d.link.cut.Store(true)
		time.Sleep(2 * time.Second)
		held := d.held()
		lent := d.GrantTransfer(t.Context(), testAccount, held)
		require.Positive(t, lent)
		require.Less(t, lent, held, "the rest is locked while the store is away")
		require.Equal(t, held-lent, d.held())
		require.Zero(t, d.GrantTransfer(t.Context(), testAccount, held))
		d.link.cut.Store(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, d.held(), d.GrantTransfer(t.Context(), testAccount, 2*f.prepaid))
		require.Zero(t, d.held())
	})
}

// A balance that gives every daemon less than a request is held by few of them, in
// parts that are of use.
func TestSmallBalanceIsHeldByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9, 9*leastShare/2)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		for range 3 { // a little demand everywhere
			for _, d := range f.daemons {
				_ = f.use(d, 100, 100) // refusals are not the matter here
			}
			time.Sleep(5 * time.Second)
		}
		holding := 0
		for _, d := range f.daemons {
			if d.held() >= 2*leastShare {
				holding++
			}
		}
		require.Equal(t, 1, holding)
		first := f.daemons[0].TransferPeers(testAccount)
		require.Len(t, first, 0, "no daemon of this test has an address")
	})
}

func TestHolders(t *testing.T) {
	enough := 5 * leastShare / mostEven // for five daemons
	tests := []struct {
		dealt   float64
		members int
		holders int
	}{
		{dealt: 0, members: 5, holders: 1},
		{dealt: enough, members: 5, holders: 5},
		{dealt: enough - 1, members: 5, holders: 1},
		{dealt: 90 * leastShare, members: 91, holders: 18},
	}
	for _, tt := range tests {
		require.Equal(t, tt.holders, holders(tt.dealt, tt.members))
	}
	members := map[string]member{"edge-1": {}, "edge-2": {}, "edge-3": {}}
	require.Equal(t, rank("loft-7", members), rank("loft-7", members))
	require.ElementsMatch(t, []string{"edge-1", "edge-2", "edge-3"}, rank("loft-7", members))
}

// In a cut a daemon of a large fleet can serve a long request of each account at once while the balance is
// ample, whatever its demand was. The less is left, the less a killed daemon may lose.
func TestOpenPartCoversALongRequest(t *testing.T) {
	tests := []struct {
		members  int
		held     contractor.Tokens
		fullness float64
		open     contractor.Tokens
	}{
		{members: 91, held: 100_000, fullness: 1, open: longRequest},
		{members: 91, held: 100_000, fullness: 0.5, open: longRequest / 4},
		{members: 91, held: 12_000, fullness: 1, open: 12_000},
		{members: 91, held: 0, fullness: 1, open: 0},
		{members: 7, held: 1_000_000, fullness: 1, open: 0}, // without demand
	}
	for _, tt := range tests {
		q := position{holding: holding{Granted: tt.held}, members: tt.members, fullness: tt.fullness, long: longRequest}
		require.Equal(t, tt.open, q.limits()[stageOpen], "%+v", tt)
	}
}

// When requests wait at all daemons of a large fleet, all deal at once. One that others
// have come before settles its own row and deals later: without that, 60 daemons met some 300
// conflicts here.
func TestLargeFleetDealsWithoutACrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(60, 60_000_000)
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		f.store.SetFaults(emulator.StoreFaults{Delay: 10 * time.Millisecond})
		time.Sleep(time.Second)
		_, before := f.writes()
		for _, d := range f.daemons {
			d.mu.Lock()
			d.rounds.dealtAt = d.rounds.dealtAt.Add(-time.Minute)
			d.mu.Unlock()
			d.kick()
		}
		time.Sleep(2 * time.Second)
		_, after := f.writes()
		t.Logf("%d conflicts", after-before)
		require.Less(t, after-before, int64(3*len(f.daemons)))
	})
}

// writes returns how many transactions the daemons have sent, and how many of them met
// a conflict.
func (f *fleet) writes() (commits, conflicts int64) {
	for _, d := range f.daemons {
		commits += d.link.commits.Load()
		conflicts += d.link.conflicts.Load()
	}
	return commits, conflicts
}

// A daemon that has gone silent is taken out by one other, not by all.
func TestOneDaemonForgetsASilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, 6_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		f.daemons[5].stop()
		time.Sleep(memberTimeout + 10*time.Second)
		writes := int64(0)
		for _, d := range f.daemons {
			writes += d.link.rows.Load()
		}
		require.Equal(t, int64(1), writes)
		require.Equal(t, 5, f.daemons[0].MemberCount())
	})
}

// Where all requests are short, a daemon that is killed loses no more than some of them.
func TestLongRequestFollowsWhatIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 10_000_000)
		defer f.stopAll()
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		require.Equal(t, contractor.Tokens(longRequest), d.longRequest())
		for i := range enoughRequests {
			require.NoError(t, f.use(d, contractor.Tokens(100+i), 100))
		}
		require.Equal(t, contractor.Tokens(100+enoughRequests-1), d.longRequest())
		require.NoError(t, f.use(d, 2*longRequest, 100))
		require.Equal(t, contractor.Tokens(longRequest), d.longRequest())
	})
}
