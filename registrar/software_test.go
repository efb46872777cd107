package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

func newSoftwareRegistrar(now *time.Time) *Registrar {
	return New(Config{
		Now: func() time.Time { return *now },
		Decode: func(key string, value []byte) (Upstream, error) {
			return Upstream{Name: Name(key), Service: "drafts", Software: string(value)}, nil
		},
	})
}

func change(key, software string) persister.Change {
	return persister.Change{Entry: persister.Entry{Key: key, Value: []byte(software)}, Deleted: software == ""}
}

// A version whose upstreams are gone still has streams that callers resume. While it counts, its
// service must not be taken for one with a single version.
func TestVersionCountsAfterItsLastUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	r.Apply(change("a", "v1"))
	versions, complete := r.SoftwareVersions("drafts")
	require.Equal(t, []string{"v1"}, versions)
	require.False(t, complete, "the versions before the start are not known")
	now = now.Add(SoftwareRetention)
	_, complete = r.SoftwareVersions("drafts")
	require.True(t, complete)
	r.Apply(change("b", "v2"))
	r.Apply(change("a", ""))
	now = now.Add(SoftwareRetention - time.Millisecond)
	r.Apply(change("c", "v2"))
	versions, _ = r.SoftwareVersions("drafts")
	require.Equal(t, []string{"v1", "v2"}, versions)
	now = now.Add(time.Millisecond)
	versions, _ = r.SoftwareVersions("drafts")
	require.Equal(t, []string{"v2"}, versions)
	r.Apply(change("c", "v2"))
	require.Len(t, r.SoftwareHistory()["drafts"], 1, "versions are forgotten")
	versions, _ = r.SoftwareVersions("other")
	require.Empty(t, versions)
}

// A daemon that starts gets to know the versions before its start from the store.
func TestStoredVersionsAreMerged(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	r.Apply(change("b", "v2"))
	r.MergeSoftware(SoftwareHistory{"drafts": {
		"v0": now.Add(-SoftwareRetention).UnixMilli(), "v1": 0, "v1.1": now.Add(-time.Second).UnixMilli(), "v2": now.Add(-time.Second).UnixMilli(),
	}})
	versions, complete := r.SoftwareVersions("drafts")
	require.Equal(t, []string{"v1", "v1.1", "v2"}, versions)
	require.True(t, complete)
	require.Zero(t, r.SoftwareHistory()["drafts"]["v2"], "listed")
	r.Apply(change("a", "v1"))
	require.Zero(t, r.SoftwareHistory()["drafts"]["v1"], "listed again")
}

// The whole fleet dies right after a version has disappeared. The daemons that start know from the
// store that streams of it may be resumed. Daemons that see the same change write it once.
func TestHistoryOutlivesTheFleet(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	one, other := newSoftwareRegistrar(&now), newSoftwareRegistrar(&now)
	oneStore := &SoftwareStore{Store: store, Registrar: one, Timeout: time.Second}
	otherStore := &SoftwareStore{Store: store, Registrar: other, Timeout: time.Second}
	save := func() contractor.Revision {
		require.NoError(t, oneStore.Save(t.Context()))
		now = now.Add(time.Millisecond)
		require.NoError(t, otherStore.Save(t.Context()))
		return store.Peek(softwareKey).Revision
	}
	apply := func(c persister.Change) {
		one.Apply(c)
		now = now.Add(time.Millisecond)
		other.Apply(c)
	}
	apply(change("a", "v1"))
	first := save()
	apply(change("b", "v1"))
	require.Equal(t, first, save(), "no version has changed")
	apply(change("b", "v2"))
	apply(change("a", ""))
	second := save()
	require.Greater(t, second, first)

	now = now.Add(5 * time.Second)
	started := newSoftwareRegistrar(&now)
	started.Apply(change("b", "v2"))
	require.NoError(t, (&SoftwareStore{Store: store, Registrar: started, Timeout: time.Second}).Load(t.Context()))
	versions, complete := started.SoftwareVersions("drafts")
	require.Equal(t, []string{"v1", "v2"}, versions)
	require.True(t, complete)

	now = now.Add(SoftwareRetention)
	apply(change("c", "v2"))
	save()
	started = newSoftwareRegistrar(&now)
	started.Apply(change("b", "v2"))
	require.NoError(t, (&SoftwareStore{Store: store, Registrar: started, Timeout: time.Second}).Load(t.Context()))
	versions, _ = started.SoftwareVersions("drafts")
	require.Equal(t, []string{"v2"}, versions)
}

// A store that is restored from an older copy has lost a version that the daemons have stored.
func TestHistoryIsStoredAgainAfterARestore(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	s := &SoftwareStore{Store: store, Registrar: r, Timeout: time.Second}
	content := store.Copy()
	r.Apply(change("a", "v1"))
	require.NoError(t, s.Save(t.Context()))
	store.Restore(content)
	s.Forget()
	require.NoError(t, s.Save(t.Context()))
	require.NotZero(t, store.Peek(softwareKey).Revision)
}

// Without the store nothing is known about the time before the start.
func TestHistoryIsIncompleteWithoutStore(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	s := &SoftwareStore{Store: store, Registrar: r, Timeout: time.Second}
	store.SetFaults(emulator.StoreFaults{Outage: true})
	require.Error(t, s.Load(t.Context()))
	_, complete := r.SoftwareVersions("drafts")
	require.False(t, complete)
	store.SetFaults(emulator.StoreFaults{})
	require.NoError(t, s.Load(t.Context()))
	_, complete = r.SoftwareVersions("drafts")
	require.True(t, complete)
}
