package apportioner

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

func poolOf(granted, spent contractor.Tokens, members ...string) pool {
	p := (&pool{}).clone()
	p.Accounts[testAccount] = sums{Granted: granted, Spent: spent, Prepaid: 1000}
	for _, m := range members {
		p.Members[m] = member{Round: 1}
	}
	return p
}

// Merging must keep the changes of both daemons and reject grants beyond what is prepaid. A merge
// that overwrites the other value would lose grants, and more could be spent than is prepaid.
func TestMergeAppliesOwnChange(t *testing.T) {
	tests := []struct {
		name               string
		base, theirs, mine pool
		want               pool
		fails              bool
	}{
		{name: "both grant", base: poolOf(100, 10), theirs: poolOf(300, 10), mine: poolOf(200, 50), want: poolOf(400, 50)},
		{name: "one gives back", base: poolOf(500, 10), theirs: poolOf(900, 20), mine: poolOf(400, 30), want: poolOf(800, 40)},
		{name: "more than prepaid", base: poolOf(100, 0), theirs: poolOf(700, 0), mine: poolOf(500, 0), fails: true},
		{
			name: "members join and leave", base: poolOf(0, 0, "a", "b"), theirs: poolOf(0, 0, "a", "b", "c"),
			mine: poolOf(0, 0, "a", "d"), want: poolOf(0, 0, "a", "c", "d"),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var values [3][]byte
			for i, p := range []pool{tt.base, tt.theirs, tt.mine} {
				text, err := cbor.Marshal(p)
				require.NoError(t, err)
				values[i] = text
			}
			text, err := (&PoolMerger{}).Merge(poolKey, values[0], values[1], values[2])
			if tt.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			got, err := decode[pool](poolKey, text)
			require.NoError(t, err)
			require.Equal(t, tt.want, got)
		})
	}
}

// A value that cannot be decoded fails the merge and is not overwritten with an empty pool.
func TestMergeFailsOnUndecodablePool(t *testing.T) {
	_, err := (&PoolMerger{}).Merge(poolKey, nil, []byte{0xff}, nil)
	require.Error(t, err)
}

// Through a relay, the daemons of a large fleet rebalance at the same time without conflicts, and
// each gets its share at its first attempt.
func TestLargeFleetAllocatesThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(60, 60_000_000)
		for _, d := range f.daemons {
			d.stop()
		}
		time.Sleep(time.Second)
		defer f.startRelay(nil)()
		for _, d := range f.daemons {
			f.launch(d)
		}
		defer f.stopAll()
		time.Sleep(20 * time.Second)
		conflicts := int64(0)
		for _, d := range f.daemons {
			require.Positive(t, d.held(), d.name)
			conflicts += d.link.conflicts.Load()
		}
		p, err := decode[pool](poolKey, f.store.Peek(poolKey).Value)
		require.NoError(t, err)
		require.LessOrEqual(t, p.sums(testAccount).Granted, f.prepaid)
		require.Len(t, p.Members, 60)
		require.Zero(t, conflicts)
	})
}

// Guards against a relay on a slow link, which callers' prompts fill, and against relays in a
// small fleet, which makes few calls.
func TestRelaysHaveHighestLinkBandwidth(t *testing.T) {
	a := New(Config{Name: "edge-1"})
	require.Empty(t, a.Relays())
	a.state.pool = (&pool{}).clone()
	for i := range 40 {
		a.state.pool.Members[fmt.Sprint("edge-", i)] = member{Address: fmt.Sprintf("10.0.0.%d:7000", i%4), LinkBandwidth: float32(i % 4)}
	}
	relays := a.Relays()
	require.Len(t, relays, maxRelays)
	for _, r := range relays {
		require.Equal(t, netip.MustParseAddrPort("10.0.0.3:7000"), r)
	}
}

// A relay merges changes of the pool after a restore. One that was planned in the era before must not
// apply, and the first of an era must, or no daemon could confirm its row.
func TestMergeKeepsErasApart(t *testing.T) {
	poolIn := func(era int64, granted, withheld contractor.Tokens, unconfirmed ...string) pool {
		p := poolOf(granted, 0, "a", "b")
		p.Era = era
		p.Accounts[testAccount] = sums{Granted: granted, Prepaid: 1000, Withheld: withheld}
		for _, vm := range unconfirmed {
			p.Unconfirmed[vm] = era
		}
		return p
	}
	merge := func(base, theirs, mine pool) (pool, error) {
		encoder, err := cbor.CoreDetEncOptions().EncMode() // the same pool has the same value
		require.NoError(t, err)
		var values [3][]byte
		for i, p := range []pool{base, theirs, mine} {
			text, err := encoder.Marshal(p)
			require.NoError(t, err)
			values[i] = text
		}
		text, err := (&PoolMerger{}).Merge(poolKey, values[0], values[1], values[2])
		if err != nil {
			return pool{}, err
		}
		return decode[pool](poolKey, text)
	}
	copied, entered := poolIn(1, 600, 0), poolIn(2, 700, 300, "b")
	got, err := merge(copied, copied, entered)
	require.NoError(t, err)
	require.Equal(t, entered, got)
	_, err = merge(copied, entered, poolIn(1, 650, 0))
	require.Error(t, err, "planned in the era before")
	got, err = merge(entered, poolIn(2, 650, 300, "b"), poolIn(2, 900, 100))
	require.NoError(t, err, "b confirms 200 more than the copy says")
	require.Equal(t, poolIn(2, 850, 100), got)
	_, err = merge(entered, entered, poolIn(2, 750, 300, "b"))
	require.Error(t, err, "all that is unallocated is withheld")
}
