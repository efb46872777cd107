package apportioner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
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
		require.Equal(t, contractor.Tokens(tokens), lender.Lend(t.Context(), testAccount, tokens))
		borrower.Credit(testAccount, tokens)
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
		require.Zero(t, d.Lend(t.Context(), testAccount, d.held()+1))
		require.Zero(t, d.Lend(t.Context(), "unknown", 1))
		require.Zero(t, d.Lend(t.Context(), testAccount, -1))
		d.link.cut.Store(true)
		time.Sleep(2 * time.Second)
		held := d.held()
		require.Zero(t, d.Lend(t.Context(), testAccount, held), "the rest is locked while the store is away")
		require.Equal(t, held, d.held())
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
		first := f.daemons[0].Lenders(testAccount)
		require.Len(t, first, 0, "no daemon of this test has an address")
	})
}

func TestHolders(t *testing.T) {
	tests := []struct {
		dealt   float64
		members int
		holders int
	}{
		{dealt: 0, members: 5, holders: 1},
		{dealt: 5 * leastShare, members: 5, holders: 5},
		{dealt: 5*leastShare - 1, members: 5, holders: 1},
		{dealt: 90 * leastShare, members: 91, holders: 18},
	}
	for _, tt := range tests {
		require.Equal(t, tt.holders, holders(tt.dealt, tt.members))
	}
	members := map[string]member{"edge-1": {}, "edge-2": {}, "edge-3": {}}
	require.Equal(t, rank("loft-7", members), rank("loft-7", members))
	require.ElementsMatch(t, []string{"edge-1", "edge-2", "edge-3"}, rank("loft-7", members))
}
