package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/refuser"
)

// memoryStore is an in-memory store with the methods that Registry uses.
type memoryStore struct {
	persister.Store
	entries     map[string]persister.Entry
	revision    contractor.Revision
	unavailable bool
	// availableFrom is the time before which the store is unavailable.
	availableFrom time.Time
	// loseResponses makes commits take effect but return ErrUnknown.
	loseResponses bool
}

func (s *memoryStore) Get(_ context.Context, key string) (persister.Entry, error) {
	if s.unavailable || time.Now().Before(s.availableFrom) {
		return persister.Entry{}, persister.ErrUnavailable
	}
	return s.entries[key], nil
}

func (s *memoryStore) Range(context.Context, string, string, int) (persister.Page, error) {
	page := persister.Page{Revision: s.revision}
	for _, e := range s.entries {
		page.Entries = append(page.Entries, e)
	}
	return page, nil
}

func (s *memoryStore) Commit(_ context.Context, txn persister.Txn) (contractor.Revision, error) {
	if s.unavailable {
		return 0, persister.ErrUnavailable
	}
	for _, c := range txn.Compares {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, persister.ErrConflict
		}
	}
	s.revision++
	for _, p := range txn.Puts {
		s.entries[p.Key] = persister.Entry{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range txn.Deletes {
		delete(s.entries, key)
	}
	if s.loseResponses {
		return 0, persister.ErrUnknown
	}
	return s.revision, nil
}

// newRegistries returns the registries of n daemons that share one store. The daemons do
// not communicate with each other, as in a network partition.
func newRegistries(n int) ([]*Registry, *memoryStore, *time.Time) {
	store := &memoryStore{entries: make(map[string]persister.Entry)}
	now := start
	list := make([]*Registry, n)
	for i := range list {
		list[i] = &Registry{Store: store, Local: New(Config{}), Incarnation: fmt.Sprint("vm-", i)}
		list[i].Now = func() time.Time { return now }
	}
	return list, store, &now
}

func requireNotExecuted(t *testing.T, err error) {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
}

// execute executes a request at a daemon as the executor does. It returns whether the
// request was executed and whether it had to be executed exclusively.
func execute(t *testing.T, r *Registry, d Digest, upstream string, crash bool) (executed, exclusive bool) {
	t.Helper()
	verdict := r.Local.Check(r.now(), d)
	if verdict == Quarantined {
		return false, false
	}
	var permit *Permit
	if verdict == Suspect {
		var err error
		permit, err = r.Permit(t.Context(), d)
		if err != nil {
			requireNotExecuted(t, err)
			return false, false
		}
	}
	r.Local.Begin(r.now(), d, upstream)
	r.Local.End(r.now(), d, upstream, crash)
	if permit != nil {
		require.NoError(t, permit.End(t.Context(), upstream, crash))
		return true, permit.Exclusive
	}
	if crash {
		require.NoError(t, r.Report(t.Context(), d))
	}
	return true, false
}

// A request that crashes every upstream is retried at one daemon after the other. Without
// the quarantine it would crash the whole fleet's upstreams.
func TestCrashingRequestStopsAfterThreeUpstreams(t *testing.T) {
	list, _, now := newRegistries(8)
	crashed := 0
	for i := range 40 {
		r := list[i%len(list)]
		require.NoError(t, r.Load(t.Context()))
		if executed, _ := execute(t, r, digest(1), fmt.Sprint("runner-", i), true); executed {
			crashed++
		}
		*now = now.Add(2 * time.Minute)
	}
	require.Equal(t, 3, crashed, "the third execution was exclusive, so the quarantine does not expire")
}

// Daemons in a network partition do not learn of each other's crashes. Each may crash one
// upstream; it then needs a permit from the store, which has the crashes of the others.
func TestPartitionedDaemonsLoseAtMostOneUpstreamEach(t *testing.T) {
	list, _, _ := newRegistries(8)
	crashed := 0
	for round := range 5 {
		for i, r := range list {
			if executed, _ := execute(t, r, digest(1), fmt.Sprint("runner-", round, i), true); executed {
				crashed++
			}
		}
	}
	require.LessOrEqual(t, crashed, len(list))
}

// A harmless request that was in flight at a crash must not stay a suspect. It is cleared
// after one success, and after two crashes only when SuspicionPeriod has passed.
func TestSuspectIsClearedAfterSuccess(t *testing.T) {
	list, _, now := newRegistries(2)
	harmless := digest(2)
	execute(t, list[0], harmless, "runner-1", true)
	executed, exclusive := execute(t, list[0], harmless, "runner-2", false)
	require.True(t, executed)
	require.False(t, exclusive, "after one crash the request is only kept apart from suspects")
	require.Equal(t, Clear, list[0].Local.Check(*now, harmless))
	execute(t, list[0], harmless, "runner-3", true)
	executed, exclusive = execute(t, list[0], harmless, "runner-4", false)
	require.True(t, executed)
	require.True(t, exclusive)
	require.Equal(t, Suspect, list[0].Local.Check(*now, harmless), "two crashes within SuspicionPeriod")
	*now = now.Add(defaultSuspicionPeriod + time.Second)
	require.Equal(t, Clear, list[0].Local.Check(*now, harmless))
}

// If two daemons executed a suspect at the same time, it could crash two upstreams. A permit
// whose holder dies must expire and count as a crash.
func TestOnePermitPerSuspect(t *testing.T) {
	list, _, now := newRegistries(2)
	execute(t, list[0], digest(1), "runner-1", true)
	require.NoError(t, list[1].Load(t.Context()))
	_, err := list[0].Permit(t.Context(), digest(1))
	require.NoError(t, err)
	_, err = list[1].Permit(t.Context(), digest(1))
	requireNotExecuted(t, err)
	// The permit expires, as when its holder dies, and its execution counts as a crash.
	*now = now.Add(defaultPermitTimeout + time.Second)
	permit, err := list[1].Permit(t.Context(), digest(1))
	require.NoError(t, err)
	require.True(t, permit.Exclusive)
	require.NoError(t, permit.End(t.Context(), "runner-2", true))
	require.Equal(t, Quarantined, list[1].Local.Check(*now, digest(1)))
}

// Without a commit in the store, other daemons do not know that a suspect is executed. A
// suspect must be refused then.
func TestNoPermitWithoutTheStore(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*memoryStore)
	}{
		{"store unavailable", func(s *memoryStore) { s.unavailable = true }},
		{"response lost", func(s *memoryStore) { s.loseResponses = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, store, _ := newRegistries(1)
			execute(t, list[0], digest(1), "runner-1", true)
			tt.fault(store)
			_, err := list[0].Permit(t.Context(), digest(1))
			requireNotExecuted(t, err)
		})
	}
}

// Permits of requests that were never sent must not add up to a quarantine.
func TestUnsentRequestIsNotCharged(t *testing.T) {
	list, _, now := newRegistries(1)
	execute(t, list[0], digest(1), "runner-1", true)
	for range 5 {
		permit, err := list[0].Permit(t.Context(), digest(1))
		require.NoError(t, err)
		require.NoError(t, permit.End(t.Context(), "", false))
	}
	require.Equal(t, Suspect, list[0].Local.Check(*now, digest(1)))
}

// A daemon that knows three crashes must accept the lift from the store and not merge its
// own crashes back.
func TestLiftEndsQuarantine(t *testing.T) {
	list, _, now := newRegistries(2)
	for i := range 3 {
		execute(t, list[0], digest(1), fmt.Sprint("runner-", i), true)
	}
	require.NoError(t, list[1].Load(t.Context()))
	require.Equal(t, Quarantined, list[1].Local.Check(*now, digest(1)))
	require.NoError(t, list[0].Lift(t.Context(), digest(1)))
	require.NoError(t, list[1].Load(t.Context()))
	require.Equal(t, Clear, list[1].Local.Check(*now, digest(1)))
}

// A quarantine that is not stored is lost when all daemons restart, also if the store was
// unavailable at its time. One that is old must not stay in the store for ever.
func TestQuarantineIsPersistedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registries, store, now := newRegistries(2)
		for i := range 3 {
			registries[0].Local.PartsCrashed(*now, []Digest{PartDigest(1)}, fmt.Sprint("i-", i))
		}
		store.availableFrom = time.Now().Add(10 * time.Second)
		registries[0].Persist(t.Context(), PartDigest(1))
		require.NoError(t, registries[1].Load(t.Context()))
		require.Len(t, store.entries, 1)
		record, _ := registries[1].Local.Record(PartDigest(1))
		require.Len(t, record.CrashedUpstreams, 3)
		*now = now.Add(recordLifetime + time.Hour)
		require.NoError(t, registries[1].Load(t.Context()))
		require.Empty(t, store.entries)
	})
}
