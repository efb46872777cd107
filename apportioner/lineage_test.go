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
