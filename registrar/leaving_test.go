package registrar

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/persister"
)

// leavingEntry is the value of an entry in these tests.
type leavingEntry struct {
	Start    int64
	Draining bool
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
		return Upstream{Name: Name(key), Service: "drafts", Address: netip.MustParseAddrPort("10.0.0.1:80"), Draining: e.Draining, StartedAtMs: e.Start}, err
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
