package registrar

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/resolver"
	"laburnumline/throttler"
)

// leavingEntry is the value of an entry in these tests.
type leavingEntry struct {
	Start    int64
	Draining bool
	Sequence int64
	// Service is "drafts" if it is empty.
	Service string
}

// leavingList is a list of upstreams with one entry that a store may lose and bring back.
type leavingList struct {
	*Registrar
	clock *clock
}

func newLeavingList() leavingList {
	c := &clock{now: time.Unix(1000, 0)}
	decode := func(key string, value []byte) (Upstream, error) {
		var e leavingEntry
		err := json.Unmarshal(value, &e)
		return Upstream{
			Name: Name(key), Service: resolver.ServiceName(cmp.Or(e.Service, "drafts")), Address: netip.MustParseAddrPort("10.0.0.1:80"),
			Draining: e.Draining, StartedAtMs: e.Start, Sequence: e.Sequence,
		}, err
	}
	return leavingList{clock: c, Registrar: New(Config{
		Decode: decode, Now: func() time.Time { return c.now }, LastFailure: func() time.Time { return c.lastFailure },
	})}
}

func leavingEntryOf(t *testing.T, e leavingEntry) persister.Entry {
	t.Helper()
	value, err := json.Marshal(e)
	require.NoError(t, err)
	return persister.Entry{Key: "a", Value: value, Revision: 1}
}

// An upstream that leaves gets no request, whatever its entry says. The entry may be older than the
// statement, because the store was away or was restored from an older copy, and it may be of another start.
func TestLeavingOutlivesEntries(t *testing.T) {
	// Starts before and after the statement that the upstream leaves, at 1,000 s.
	const early, late, restarted = 900_000, 999_000, 1_010_000
	put := func(t *testing.T, l leavingList, e leavingEntry) {
		l.Apply(persister.Change{Entry: leavingEntryOf(t, e)})
	}
	remove := func(l leavingList) { l.Apply(persister.Change{Entry: persister.Entry{Key: "a"}, Deleted: true}) }
	state := func(l leavingList) { l.MarkLeaving(&l.Of("drafts")[0]) }
	tests := []struct {
		name   string
		change func(t *testing.T, l leavingList)
		listed bool
	}{
		{"stated, same entry again", func(t *testing.T, l leavingList) { state(l); put(t, l, leavingEntry{Start: early}) }, false},
		{"stated by a start that the list does not have yet", func(t *testing.T, l leavingList) { state(l); put(t, l, leavingEntry{Start: late}) }, false},
		{"stated, then the start becomes known", func(t *testing.T, l leavingList) {
			put(t, l, leavingEntry{})
			state(l)
			put(t, l, leavingEntry{Start: early})
		}, false},
		{"stated, then an entry without a start", func(t *testing.T, l leavingList) { state(l); put(t, l, leavingEntry{}) }, false},
		{"stated, then an entry of an earlier start", func(t *testing.T, l leavingList) {
			put(t, l, leavingEntry{Start: late})
			state(l)
			put(t, l, leavingEntry{Start: early})
		}, false},
		{"stated, restarted", func(t *testing.T, l leavingList) { state(l); put(t, l, leavingEntry{Start: restarted}) }, true},
		{"draining, then restored", func(t *testing.T, l leavingList) {
			put(t, l, leavingEntry{Start: early, Draining: true})
			l.Reset([]persister.Entry{leavingEntryOf(t, leavingEntry{Start: early})})
		}, false},
		{"draining, then written as ready", func(t *testing.T, l leavingList) {
			put(t, l, leavingEntry{Start: early, Draining: true})
			put(t, l, leavingEntry{Start: early})
		}, true},
		{"stated by a start that the list does not have, long ago", func(t *testing.T, l leavingList) {
			state(l)
			put(t, l, leavingEntry{Start: late})
			l.clock.now = l.clock.now.Add(otherStartRetention + time.Millisecond)
			l.Expire()
		}, true},
		{"draining, restarted", func(t *testing.T, l leavingList) {
			put(t, l, leavingEntry{Start: early, Draining: true})
			put(t, l, leavingEntry{Start: restarted})
		}, true},
		{"draining, then removed and restored", func(t *testing.T, l leavingList) {
			put(t, l, leavingEntry{Start: early, Draining: true})
			remove(l)
			l.Reset([]persister.Entry{leavingEntryOf(t, leavingEntry{Start: early})})
		}, false},
		{"removed, then restored", func(t *testing.T, l leavingList) {
			remove(l)
			l.Reset([]persister.Entry{leavingEntryOf(t, leavingEntry{Start: early})})
		}, false},
		{"removed, then written again", func(t *testing.T, l leavingList) {
			remove(l)
			l.Reset([]persister.Entry{leavingEntryOf(t, leavingEntry{Start: early})})
			put(t, l, leavingEntry{Start: early})
		}, true},
		{"expired while the store was away, then back", func(t *testing.T, l leavingList) {
			l.clock.lastFailure = l.clock.now
			l.Reset(nil)
			l.clock.now = l.clock.now.Add(2 * time.Second)
			l.Expire()
			put(t, l, leavingEntry{Start: early})
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLeavingList()
			l.Reset([]persister.Entry{leavingEntryOf(t, leavingEntry{Start: early})})
			require.Len(t, l.Of("drafts"), 1)
			tt.change(t, l)
			require.Equal(t, tt.listed, len(l.Of("drafts")) == 1)
		})
	}
}

// An entry that was removed and comes back with a restored store belongs to an upstream that has left,
// and expires, or to one that renews it and stays.
func TestRestoredEntryOfRemovedUpstreamIsUsedOnceRenewed(t *testing.T) {
	l := newLeavingList()
	entries := []persister.Entry{leavingEntryOf(t, leavingEntry{Start: 1})}
	l.Reset(entries)
	l.Apply(persister.Change{Entry: entries[0], Deleted: true})
	l.Reset(entries)
	l.clock.now = l.clock.now.Add(failureWindow - time.Millisecond)
	l.Expire()
	require.Empty(t, l.Of("drafts"))
	l.clock.now = l.clock.now.Add(time.Millisecond)
	l.Expire()
	require.Len(t, l.Of("drafts"), 1)
}

// A write of an upstream whose answer was lost may take effect seconds later, after newer writes. It must not undo what these
// said, nor what the upstream stated in a response: the upstream would get requests although it leaves.
func TestLateEntryDoesNotUndoANewerOne(t *testing.T) {
	const start, earlier = 900_000, 800_000
	put := func(t *testing.T, l leavingList, e leavingEntry) {
		l.Apply(persister.Change{Entry: leavingEntryOf(t, e)})
	}
	ready := func(sequence int64) leavingEntry { return leavingEntry{Start: start, Sequence: sequence} }
	draining := func(sequence int64) leavingEntry {
		return leavingEntry{Start: start, Sequence: sequence, Draining: true}
	}
	remove := func(l leavingList) { l.Apply(persister.Change{Entry: persister.Entry{Key: "a"}, Deleted: true}) }
	wait := func(l leavingList, d time.Duration) {
		l.clock.now = l.clock.now.Add(d)
		l.Expire()
	}
	tests := []struct {
		name   string
		change func(t *testing.T, l leavingList, u *Upstream)
		listed bool
	}{
		{"ready after draining", func(t *testing.T, l leavingList, _ *Upstream) { put(t, l, draining(7)); put(t, l, ready(6)) }, false},
		{"ready again after draining", func(t *testing.T, l leavingList, _ *Upstream) { put(t, l, draining(7)); put(t, l, ready(8)) }, true},
		{"draining, stated, then ready", func(t *testing.T, l leavingList, u *Upstream) {
			put(t, l, draining(7))
			l.MarkLeaving(u)
			put(t, l, ready(8))
		}, false},
		{"draining, stated, then ready without a sequence number", func(t *testing.T, l leavingList, u *Upstream) {
			put(t, l, leavingEntry{Start: start, Draining: true})
			l.MarkLeaving(u)
			put(t, l, leavingEntry{Start: start})
		}, false},
		{"draining, a damaged entry, then ready", func(t *testing.T, l leavingList, _ *Upstream) {
			put(t, l, draining(7))
			l.Apply(persister.Change{Entry: persister.Entry{Key: "a", Value: []byte("{")}})
			put(t, l, ready(6))
		}, false},
		{"draining, then ready in a list that is behind", func(t *testing.T, l leavingList, _ *Upstream) {
			put(t, l, draining(7))
			l.Reset([]persister.Entry{leavingEntryOf(t, ready(6)), otherEntry(t)})
		}, false},
		{"draining, removed, then ready", func(t *testing.T, l leavingList, _ *Upstream) {
			put(t, l, draining(7))
			remove(l)
			put(t, l, ready(6))
			wait(l, failureWindow)
		}, false},
		{"removed, then ready", func(t *testing.T, l leavingList, _ *Upstream) {
			remove(l)
			put(t, l, ready(6))
			wait(l, failureWindow-time.Millisecond)
		}, false},
		{"removed, then ready twice", func(t *testing.T, l leavingList, _ *Upstream) {
			remove(l)
			put(t, l, ready(6))
			put(t, l, ready(7))
		}, true},
		{"removed, then ready and still there", func(t *testing.T, l leavingList, _ *Upstream) {
			remove(l)
			put(t, l, ready(6))
			wait(l, failureWindow)
		}, true},
		{"removed, ready long after that", func(t *testing.T, l leavingList, _ *Upstream) {
			remove(l)
			wait(l, maxWriteDelay+time.Millisecond)
			put(t, l, ready(6))
		}, true},
		{"removed, ready, and the only upstream", func(t *testing.T, l leavingList, _ *Upstream) {
			l.Apply(persister.Change{Entry: persister.Entry{Key: "b"}, Deleted: true})
			remove(l)
			put(t, l, ready(6))
		}, true},
		{"draining of an earlier start", func(t *testing.T, l leavingList, _ *Upstream) {
			put(t, l, leavingEntry{Start: earlier, Sequence: 90, Draining: true})
		}, true},
		{"an earlier start that goes on, after a step of its clock", func(t *testing.T, l leavingList, _ *Upstream) {
			put(t, l, leavingEntry{Start: earlier, Sequence: 1, Draining: true})
			put(t, l, leavingEntry{Start: earlier, Sequence: 2, Draining: true})
		}, false},
		{"an earlier start long after the later one, after a step of its clock", func(t *testing.T, l leavingList, _ *Upstream) {
			wait(l, maxWriteDelay+time.Millisecond)
			put(t, l, leavingEntry{Start: earlier, Sequence: 1, Draining: true})
		}, false},
		{"another writer's entry with a high number", func(t *testing.T, l leavingList, _ *Upstream) {
			put(t, l, leavingEntry{Start: start, Sequence: 1000, Service: "other"})
			put(t, l, ready(6))
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLeavingList()
			l.Reset([]persister.Entry{leavingEntryOf(t, ready(5)), otherEntry(t)})
			listed := func() bool {
				return slices.ContainsFunc(l.Of("drafts"), func(u Upstream) bool { return u.Name == "a" })
			}
			require.True(t, listed())
			tt.change(t, l, &l.Of("drafts")[0])
			require.Equal(t, tt.listed, listed())
		})
	}
}

// otherEntry is the entry of another upstream of the service.
func otherEntry(t *testing.T) persister.Entry {
	e := leavingEntryOf(t, leavingEntry{Start: 1, Sequence: 1})
	e.Key = "b"
	return e
}

// A late entry must not state an earlier warm-up again.
func TestLateEntryDoesNotRenewTheWarmup(t *testing.T) {
	var renewed []int64
	l := newLeavingList()
	l.Registrar.config.Renewed = func(u *Upstream, _ throttler.WarmupStatement) { renewed = append(renewed, u.Sequence) }
	for i, sequence := range []int64{1, 3, 2, 4} {
		e := leavingEntryOf(t, leavingEntry{Start: 1, Sequence: sequence})
		e.Revision = contractor.Revision(i + 1)
		l.Apply(persister.Change{Entry: e})
	}
	require.Equal(t, []int64{1, 3, 4}, renewed)
}
