package registrar

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/persister"
)

// slowStore is a store whose reads take 10 ms.
type slowStore struct {
	*emulator.Store
	reads int
	err   error
}

func (s *slowStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	s.reads++
	entry, err := s.Store.Get(ctx, key)
	time.Sleep(10 * time.Millisecond)
	return entry, errors.Join(err, s.err)
}

// A read that began before a request arrived may lack the version that began the stream which the request resumes. Requests
// that arrive while a read is in flight share the next one.
func TestHistoryIsReadAfterTheRequestArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		store := &slowStore{Store: emulator.NewStore(emulator.StoreConfig{})}
		r := newSoftwareRegistrar(&now)
		c := &SoftwareChecker{Store: &SoftwareStore{Store: store, Registrar: r, Timeout: time.Second}}
		require.ErrorIs(t, c.Check(t.Context(), now), errUncertainHistory, "nothing is stored")

		other := newSoftwareRegistrar(&now)
		other.Apply(change("servers/a", "v1"))
		require.NoError(t, (&SoftwareStore{Store: store.Store, Registrar: other, Timeout: time.Second, MemberPrefix: "member/"}).Load(t.Context()))
		start, before := time.Now(), store.reads
		results := make(chan time.Duration, 3)
		check := func() {
			require.NoError(t, c.Check(t.Context(), time.Now()))
			results <- time.Since(start)
		}
		go check()
		time.Sleep(5 * time.Millisecond)
		other.Apply(change("servers/b", "v2"))
		require.NoError(t, (&SoftwareStore{Store: store.Store, Registrar: other, Timeout: time.Second}).Save(t.Context()))
		go check()
		go check()
		require.Equal(t, 10*time.Millisecond, <-results)
		require.Equal(t, 20*time.Millisecond, <-results)
		require.Equal(t, 20*time.Millisecond, <-results)
		require.Equal(t, before+2, store.reads)
		versions, _ := r.SoftwareVersions("drafts")
		require.Equal(t, []string{"v1", "v2"}, versions)

		require.NoError(t, c.Check(t.Context(), start), "it was read since")
		require.Equal(t, before+2, store.reads)
		store.err = errors.New("store away")
		require.ErrorIs(t, c.Check(t.Context(), time.Now()), store.err)
	})
}
