package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/refuser"
)

// memoryStore is a store of one process. It implements what Registry uses.
type memoryStore struct {
	persister.Store
	entries  map[string]persister.Entry
	revision contractor.Revision
	away     bool
	// lost makes commits take effect without an answer.
	lost bool
}

func (s *memoryStore) Get(_ context.Context, key string) (persister.Entry, error) {
	if s.away {
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
	if s.away {
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
	if s.lost {
		return 0, persister.ErrUnknown
	}
	return s.revision, nil
}

// daemons returns registries of several daemons before one store. They do not
// hear one another, as in a partition between them.
func daemons(n int) ([]*Registry, *memoryStore, *time.Time) {
	store := &memoryStore{entries: make(map[string]persister.Entry)}
	now := start
	list := make([]*Registry, n)
	for i := range list {
		list[i] = &Registry{Store: store, Local: New(Config{}), Incarnation: fmt.Sprint("vm-", i)}
		list[i].Now = func() time.Time { return now }
	}
	return list, store, &now
}

func refused(t *testing.T, err error) {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
}

// send runs a request at a daemon as the conductor does and returns whether it
// ran and whether that was alone.
func send(t *testing.T, r *Registry, d Digest, upstream string, crash bool) (ran, alone bool) {
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
			refused(t, err)
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

func TestGuiltyRequestCrashesThreeUpstreams(t *testing.T) {
	list, _, now := daemons(8)
	lost := 0
	for i := range 40 {
		r := list[i%len(list)]
		require.NoError(t, r.Load(t.Context()))
		if ran, _ := send(t, r, digest(1), fmt.Sprint("runner-", i), true); ran {
			lost++
		}
		*now = now.Add(2 * time.Minute)
	}
	require.Equal(t, 3, lost, "the third ran alone, so the quarantine does not end")
}

func TestDaemonsThatHearNothingAddAtMostOneEach(t *testing.T) {
	list, _, _ := daemons(8)
	lost := 0
	for round := range 5 {
		for i, r := range list {
			if ran, _ := send(t, r, digest(1), fmt.Sprint("runner-", round, i), true); ran {
				lost++
			}
		}
	}
	require.LessOrEqual(t, lost, len(list))
}

func TestInnocentIsAcquitted(t *testing.T) {
	list, _, now := daemons(2)
	innocent := digest(2)
	send(t, list[0], innocent, "runner-1", true)
	ran, alone := send(t, list[0], innocent, "runner-2", false)
	require.True(t, ran)
	require.False(t, alone, "after one victim it only runs apart from suspects")
	require.Equal(t, Clear, list[0].Local.Check(*now, innocent))
	send(t, list[0], innocent, "runner-3", true)
	ran, alone = send(t, list[0], innocent, "runner-4", false)
	require.True(t, ran)
	require.True(t, alone)
	require.Equal(t, Suspect, list[0].Local.Check(*now, innocent), "blamed twice within Memory")
	*now = now.Add(defaultMemory + time.Second)
	require.Equal(t, Clear, list[0].Local.Check(*now, innocent))
}

func TestSuspectRunsOnceAtATime(t *testing.T) {
	list, _, now := daemons(2)
	send(t, list[0], digest(1), "runner-1", true)
	require.NoError(t, list[1].Load(t.Context()))
	_, err := list[0].Permit(t.Context(), digest(1))
	require.NoError(t, err)
	_, err = list[1].Permit(t.Context(), digest(1))
	refused(t, err)
	// The holder dies: its run counts as a crash.
	*now = now.Add(defaultLongest + time.Second)
	permit, err := list[1].Permit(t.Context(), digest(1))
	require.NoError(t, err)
	require.True(t, permit.Exclusive)
	require.NoError(t, permit.End(t.Context(), "runner-2", true))
	require.Equal(t, Quarantined, list[1].Local.Check(*now, digest(1)))
}

func TestNoPermitWithoutTheStore(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*memoryStore)
	}{
		{"store is away", func(s *memoryStore) { s.away = true }},
		{"answer is lost", func(s *memoryStore) { s.lost = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, store, _ := daemons(1)
			send(t, list[0], digest(1), "runner-1", true)
			tt.fault(store)
			_, err := list[0].Permit(t.Context(), digest(1))
			refused(t, err)
		})
	}
}

func TestUnsentRunIsNotCharged(t *testing.T) {
	list, _, now := daemons(1)
	send(t, list[0], digest(1), "runner-1", true)
	for range 5 {
		permit, err := list[0].Permit(t.Context(), digest(1))
		require.NoError(t, err)
		require.NoError(t, permit.End(t.Context(), "", false))
	}
	require.Equal(t, Suspect, list[0].Local.Check(*now, digest(1)))
}

func TestLiftEndsQuarantine(t *testing.T) {
	list, _, now := daemons(2)
	for i := range 3 {
		send(t, list[0], digest(1), fmt.Sprint("runner-", i), true)
	}
	require.NoError(t, list[1].Load(t.Context()))
	require.Equal(t, Quarantined, list[1].Local.Check(*now, digest(1)))
	require.NoError(t, list[0].Lift(t.Context(), digest(1)))
	require.NoError(t, list[1].Load(t.Context()))
	require.Equal(t, Clear, list[1].Local.Check(*now, digest(1)))
}
