package apportioner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
)

// currentLineage returns the lineage of the incarnation that runs.
func (d *daemon) currentLineage() lineageID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownLineage()
}

// isSeen reports whether the daemon knows that it is seen.
func (d *daemon) isSeen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.seen
}

// An incarnation that started from a row of a copy, or from none, counted as the one that had been known by the VM's
// name, so what that one had spent was granted again.
func TestLineageEndsWithARestore(t *testing.T) {
	tests := []struct {
		name     string
		restored bool
		added    bool // after the copy
		kept     bool
	}{
		{name: "killed", kept: true},
		{name: "killed, restored", restored: true},
		{name: "added, killed, restored", restored: true, added: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2, 900_000)
				defer f.stopAll()
				time.Sleep(6 * time.Second)
				content := f.store.Copy()
				if tt.added {
					f.add()
					time.Sleep(4 * time.Second)
				}
				d := f.daemons[len(f.daemons)-1]
				first := d.currentLineage()
				d.stop()
				if tt.restored {
					f.store.SetFaults(emulator.StoreFaults{Outage: true})
					time.Sleep(time.Second)
					f.store.Restore(content)
					f.store.SetFaults(emulator.StoreFaults{})
				}
				f.launch(d)
				time.Sleep(10 * time.Second)
				require.Equal(t, tt.kept, d.currentLineage() == first)
				p, err := decode[pool](poolKey, f.store.Peek(poolKey).Value)
				require.NoError(t, err)
				require.True(t, p.hasMember(d.currentLineage()))
				require.Equal(t, tt.kept, p.Settled || !tt.restored)
				if tt.restored {
					require.Contains(t, p.Unconfirmed, first.key())
				}
			})
		})
	}
}

// Daemons of an earlier version drop the lineages of members when they write the pool. Those that must confirm stay, and
// a daemon whose lineage was dropped still confirms its own.
func TestOlderDaemonsKeepUnconfirmedLineages(t *testing.T) {
	type olderMember struct {
		Round int64 `cbor:"round"`
		Era   int64 `cbor:"era,omitempty"`
	}
	type olderPool struct {
		Accounts    map[contractor.Account]sums `cbor:"accounts"`
		Members     map[string]olderMember      `cbor:"members"`
		Era         int64                       `cbor:"era,omitempty"`
		Unconfirmed map[string]int64            `cbor:"unconfirmed"`
	}
	written := poolOf(500, 0)
	written.Era = 1
	written.Members["edge-1"] = member{Round: 1, Era: 1, Lineage: 7}
	written.Unconfirmed = map[string]int64{"edge-1/7": 1, "edge-2/9": 1}
	value, err := cbor.Marshal(written)
	require.NoError(t, err)
	older, err := decode[olderPool](poolKey, value)
	require.NoError(t, err)
	value, err = cbor.Marshal(older)
	require.NoError(t, err)
	read, err := decode[pool](poolKey, value)
	require.NoError(t, err)
	require.Equal(t, written.Unconfirmed, read.Unconfirmed)

	a := New(Config{Name: "edge-1"})
	a.state.storeEra, a.state.era, a.state.lineage = 1, 1, 7
	a.state.earlierLineages = map[string]int64{"edge-1/7": 1, "edge-3/5": 1, "edge-1": 1}
	a.updateEra(&read)
	require.Equal(t, map[string]int64{"edge-2/9": 1, "edge-3/5": 1}, read.Unconfirmed)
}

// A response that was on its way when the restore became known shows the last pool of before. Its members were forgotten, and
// a change that was planned from it could replace the pool of the copy.
func TestResponseOfBeforeARestoreIsNotTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 900_000)
		defer f.stopAll()
		time.Sleep(6 * time.Second)
		content, d := f.store.Copy(), f.daemons[0]
		f.add()
		time.Sleep(2 * time.Second)
		for _, x := range f.daemons {
			x.stop()
		}
		time.Sleep(time.Second)
		added, late := f.daemons[2].currentLineage().key(), f.store.Peek(poolKey)
		f.store.Restore(content)
		require.NoError(t, d.adopt(f.store.Peek(rowPrefix+d.name)))
		require.False(t, d.isCurrent(), "the pool is of before")
		require.NoError(t, d.adopt(late))
		require.False(t, d.isCurrent(), "the pool is of before")
		d.RunRound(t.Context())
		p, err := decode[pool](poolKey, f.store.Peek(poolKey).Value)
		require.NoError(t, err)
		require.Equal(t, int64(1), p.Era)
		require.Contains(t, p.Unconfirmed, added)
		require.NotContains(t, p.Members, "edge-2")
	})
}

// A daemon that no other one knew spent what it had drawn, and after a restore nobody withheld for it.
func TestDaemonDrawsNothingUntilItIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 1_200_000)
		defer f.stopAll()
		time.Sleep(6 * time.Second)
		others := f.daemons
		for _, d := range others {
			require.Positive(t, d.held(), "a starting fleet draws")
			d.link.partitioned.Store(true)
		}
		time.Sleep(2 * time.Second)
		f.add()
		f.add()
		added := f.daemons[3:]
		time.Sleep(4 * time.Second)
		for _, d := range added {
			require.Zero(t, d.held(), "known only to one that is as new")
		}
		for _, d := range others {
			d.link.partitioned.Store(false)
		}
		time.Sleep(10 * time.Second)
		for _, d := range added {
			require.Positive(t, d.held())
		}
		for _, d := range append(others, added[1]) {
			d.link.partitioned.Store(true)
		}
		time.Sleep(2 * time.Second)
		added[0].stop()
		f.launch(added[0])
		time.Sleep(2 * time.Second)
		require.True(t, added[0].isSeen(), "the members have its lineage")
	})
}

// A relay merges changes that were planned before a daemon registered. Such a change does not show that its daemon knows the new one.
func TestMergedWriteCountsOnlyIfItsDaemonKnewTheUnseenMember(t *testing.T) {
	tests := []struct {
		name  string
		known bool
		round int64
	}{
		{name: "planned before", round: 1},
		{name: "planned after", known: true, round: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			base, theirs := poolOf(0, 0, "edge-1"), poolOf(0, 0, "edge-1")
			theirs.Members["edge-2"] = member{Round: 1, Lineage: 5, Unseen: true}
			if tt.known {
				base = theirs.clone()
			}
			mine := base.clone()
			mine.Members["edge-1"] = member{Round: 2}
			require.NoError(t, theirs.merge(&base, &mine))
			require.Equal(t, tt.round, theirs.Members["edge-1"].Round)
		})
	}
}

// After a start of all daemons from the rows of a copy none has been seen, and none could draw what is topped up.
func TestDaemonsAreSeenAfterAStartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 600_000)
		defer f.stopAll()
		time.Sleep(6 * time.Second)
		content := f.store.Copy()
		for _, d := range f.daemons {
			d.stop()
		}
		f.store.Restore(content)
		for _, d := range f.daemons {
			f.launch(d)
		}
		time.Sleep(5 * time.Second)
		for _, d := range f.daemons {
			require.Zero(t, d.held(), d.name)
			d.SetPrepaidLimits(map[contractor.Account]contractor.Tokens{testAccount: 2 * f.prepaid})
		}
		time.Sleep(5 * time.Second)
		for _, d := range f.daemons {
			require.Positive(t, d.held(), d.name)
		}
	})
}
