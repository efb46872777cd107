package watcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumline/contractor"
)

// Guards against views that go back to an older revision or end with values other
// than the store's. Daemons receive updates from each other in any order, with
// gaps in the log, repetitions and late responses.
func TestViewRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source view
		source.init()
		views := make([]view, 3)
		for i := range views {
			views[i].init()
		}
		var late []Update
		for revision := contractor.Revision(1); revision < 60; revision++ {
			c := Change{Revision: revision, Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Value: []byte{byte(revision)}}
			c.Deleted = rapid.IntRange(0, 4).Draw(t, "deleted") == 0
			source.apply(Update{Section: Upstreams, To: revision, Changes: []Change{c}})
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				source.sections[Upstreams].logStart = revision
				source.sections[Upstreams].log = nil
			}
			to := &views[rapid.IntRange(0, 2).Draw(t, "to")]
			from := rapid.SampledFrom([]*view{&source, &views[0], &views[1]}).Draw(t, "from")
			updates, _ := from.updatesSince(to.applied())
			late = append(late, updates...)
			for _, u := range updates {
				receive(t, to, u)
			}
			if len(late) > 0 && rapid.Bool().Draw(t, "repeat") {
				u := late[rapid.IntRange(0, len(late)-1).Draw(t, "late")]
				if u.Reset || to.applied()[Upstreams] >= u.To {
					receive(t, to, u)
				}
			}
		}
		for i := range views {
			updates, _ := source.updatesSince(views[i].applied())
			for _, u := range updates {
				receive(t, &views[i], u)
			}
			require.Equal(t, source.currentChanges(Upstreams), views[i].currentChanges(Upstreams))
		}
	})
}

func receive(t *rapid.T, v *view, u Update) {
	before := v.applied()[u.Section]
	v.apply(u)
	if after := v.applied()[u.Section]; after < before {
		t.Fatalf("revision of the view decreased from %d to %d", before, after)
	}
}

// Guards against updates with missing changes: a reader behind the start of the
// log has to receive a reset, and one within the log only the later changes.
func TestViewResetsReadersBehindItsLog(t *testing.T) {
	var v view
	v.init()
	for revision := contractor.Revision(1); revision <= 3*maxLogChanges; revision++ {
		v.apply(Update{Section: Contracts, To: revision, Changes: []Change{{Revision: revision, Name: "loft-7"}}})
	}
	tests := []struct {
		after contractor.Revision
		reset bool
		count int
	}{
		{0, true, 0},
		{3*maxLogChanges - 10, false, 10},
	}
	for _, tt := range tests {
		updates, _ := v.updatesSince(Revisions{Contracts: tt.after})
		require.Len(t, updates, 1)
		require.Equal(t, tt.reset, updates[0].Reset)
		require.Len(t, updates[0].Changes, tt.count)
	}
	updates, _ := v.updatesSince(Revisions{Contracts: 3 * maxLogChanges})
	require.Empty(t, updates)
}

// Guards against copies that look fresh after a pause of the VM, during which the
// monotonic clock may stand still, and against negative ages.
func TestElapsedTakesTheLargerClock(t *testing.T) {
	monotonic := time.Now()
	wall := monotonic.Round(0)
	tests := []struct {
		from, to time.Time
		want     time.Duration
	}{
		{monotonic, monotonic.Add(time.Minute), time.Minute},
		{monotonic, wall.Add(time.Hour), time.Hour},
		{monotonic, monotonic.Add(-time.Minute), 0},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, elapsed(tt.from, tt.to))
	}
}
