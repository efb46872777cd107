package registrar

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/resolver"
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

// startedStore returns the store of a daemon that starts. Others have run before if member is true.
func startedStore(t *testing.T, store *emulator.Store, r *Registrar, member bool) *SoftwareStore {
	t.Helper()
	s := &SoftwareStore{Store: store, Registrar: r, Timeout: time.Second, Era: store.Era, MemberPrefix: "member/"}
	if member {
		_, err := store.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: "member/a"}}})
		require.NoError(t, err)
	}
	return s
}

// The history was lost although daemons have run, cannot be read, or is older than a restore of the store. Versions that
// it lacks may have begun streams, for all daemons that start within a minute. No daemon may take the next history
// that is stored for complete.
func TestLostHistoryIsIncomplete(t *testing.T) {
	tests := []struct {
		name string
		lose func(t *testing.T, store *emulator.Store)
	}{
		{"absent", func(t *testing.T, store *emulator.Store) {
			_, err := store.Commit(t.Context(), persister.Txn{Deletes: []string{softwareKey}})
			require.NoError(t, err)
		}},
		{"damaged", func(t *testing.T, store *emulator.Store) {
			_, err := store.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: softwareKey, Value: []byte{0xff}}}})
			require.NoError(t, err)
		}},
		{"restored", func(_ *testing.T, store *emulator.Store) { store.Restore(store.Copy()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := emulator.NewStore(emulator.StoreConfig{})
			now := time.Unix(1000, 0)
			first := newSoftwareRegistrar(&now)
			first.Apply(change("a", "v1"))
			require.NoError(t, startedStore(t, store, first, false).Load(t.Context()))
			_, complete := first.SoftwareVersions("drafts")
			require.True(t, complete, "no daemon had run before")
			tt.lose(t, store)
			for range 2 {
				started := newSoftwareRegistrar(&now)
				started.Apply(change("b", "v2"))
				s := startedStore(t, store, started, true)
				require.NoError(t, s.Load(t.Context()))
				_, complete = started.SoftwareVersions("drafts")
				require.False(t, complete)
				require.NoError(t, s.Save(t.Context()))
				now = now.Add(time.Second)
			}
			now = now.Add(SoftwareRetention)
			started := newSoftwareRegistrar(&now)
			started.Apply(change("b", "v2"))
			require.NoError(t, startedStore(t, store, started, true).Load(t.Context()))
			_, complete = started.SoftwareVersions("drafts")
			require.True(t, complete)
		})
	}
}

// Upstreams of a new fleet appear after its daemons. The daemon that created the history knows that no version
// was lost, the others do not. A fleet that is killed then must not refuse streams of a single version.
func TestFirstStartIsComplete(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	first, other := newSoftwareRegistrar(&now), newSoftwareRegistrar(&now)
	firstStore := startedStore(t, store, first, false)
	require.NoError(t, firstStore.Load(t.Context()))
	require.True(t, firstStore.Created())
	otherStore := startedStore(t, store, other, true)
	require.NoError(t, otherStore.Load(t.Context()))
	require.False(t, otherStore.Created())
	for _, r := range []*Registrar{first, other} {
		r.Apply(change("a", "v1"))
	}
	_, complete := other.SoftwareVersions("drafts")
	require.False(t, complete)
	require.NoError(t, otherStore.Save(t.Context()))
	require.NoError(t, firstStore.Save(t.Context()))
	started := newSoftwareRegistrar(&now)
	started.Apply(change("a", "v1"))
	require.NoError(t, startedStore(t, store, started, true).Load(t.Context()))
	versions, complete := started.SoftwareVersions("drafts")
	require.True(t, complete)
	require.Equal(t, []string{"v1"}, versions)
}

// A daemon whose list is older stores another change. What a daemon with a newer list has stored must stay.
func TestOlderListKeepsStoredVersions(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	newer, older := newSoftwareRegistrar(&now), newSoftwareRegistrar(&now)
	for _, r := range []*Registrar{newer, older} {
		r.Apply(change("a", "v1"))
		r.Apply(change("b", "v1.1"))
	}
	newerStore, olderStore := startedStore(t, store, newer, false), startedStore(t, store, older, false)
	listRevision := contractor.Revision(0)
	olderStore.ListRevision = func() contractor.Revision { return listRevision }
	require.NoError(t, newerStore.Load(t.Context()))
	require.NoError(t, olderStore.Load(t.Context()))
	newer.Apply(change("c", "v2"))
	require.NoError(t, newerStore.Save(t.Context()))
	older.Apply(change("b", ""))
	require.NoError(t, olderStore.Save(t.Context()))
	stored, err := newerStore.read(t.Context())
	require.NoError(t, err)
	require.Zero(t, stored.history["drafts"]["v2"], "listed")
	require.Contains(t, stored.history["drafts"], "v2")

	now, listRevision = now.Add(staleListDelay), stored.revision+1
	require.NoError(t, olderStore.Save(t.Context()))
	stored, err = newerStore.read(t.Context())
	require.NoError(t, err)
	require.NotZero(t, stored.history["drafts"]["v2"], "the list of the daemon is newer and does not have it")
	require.NotZero(t, stored.history["drafts"]["v1.1"])
}

// A version comes back for less time than a check takes, just before the first time at which it disappeared
// expires. A daemon that starts has to know it.
func TestVersionThatComesBackIsStoredWithItsLastTime(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	r.Apply(change("a", "v1"))
	r.Apply(change("b", "v2"))
	s := startedStore(t, store, r, false)
	require.NoError(t, s.Load(t.Context()))
	r.Apply(change("b", ""))
	require.NoError(t, s.Save(t.Context()))
	now = now.Add(SoftwareRetention - time.Second)
	r.Apply(change("b", "v2"))
	r.Apply(change("b", ""))
	require.NoError(t, s.Save(t.Context()))
	now = now.Add(5 * time.Second)
	started := newSoftwareRegistrar(&now)
	started.Apply(change("a", "v1"))
	require.NoError(t, startedStore(t, store, started, true).Load(t.Context()))
	versions, _ := started.SoftwareVersions("drafts")
	require.Equal(t, []string{"v1", "v2"}, versions)
}

// Streams begin only at stored versions while their upstreams are listed. Daemons that do not store changes learn of
// them by notices, or read them a second later. Without a change, nothing calls the store.
func TestNewStreamsBeginAtStoredVersions(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	writer, reader := newSoftwareRegistrar(&now), newSoftwareRegistrar(&now)
	writerStore, readerStore := startedStore(t, store, writer, false), startedStore(t, store, reader, false)
	apply := func(key, software string) {
		writer.Apply(change(key, software))
		reader.Apply(change(key, software))
	}
	usable := func(r *Registrar) (names []Name) {
		for _, u := range r.WithRecordedSoftware("drafts", r.Of("drafts")) {
			names = append(names, u.Name)
		}
		return names
	}
	apply("a", "v1")
	require.NoError(t, writerStore.Load(t.Context()))
	require.NoError(t, readerStore.Load(t.Context()))
	apply("b", "v2")
	require.Equal(t, []Name{"a"}, usable(writer))
	require.Equal(t, []Name{"a"}, usable(reader))
	noticed := false
	writerStore.Recorded = func(_ resolver.ServiceName, software string) { noticed = noticed || software == "v2" }
	readerStore.Noticed = func(_ resolver.ServiceName, software string) bool { return noticed && software == "v2" }
	require.NoError(t, readerStore.Refresh(t.Context()))
	require.NoError(t, writerStore.Save(t.Context()))
	require.Equal(t, []Name{"a", "b"}, usable(writer))
	require.NoError(t, readerStore.Refresh(t.Context()))
	require.Equal(t, []Name{"a", "b"}, usable(reader))

	apply("c", "v3")
	readerStore.Noticed = nil
	require.NoError(t, readerStore.Refresh(t.Context()))
	require.NoError(t, writerStore.Save(t.Context()))
	before := store.Counts()
	require.NoError(t, readerStore.Refresh(t.Context()))
	require.Equal(t, before, store.Counts())
	now = now.Add(firstReadDelay)
	require.NoError(t, readerStore.Refresh(t.Context()))
	require.Equal(t, []Name{"a", "b", "c"}, usable(reader))
	before = store.Counts()
	for range 100 {
		now = now.Add(time.Second)
		apply("a", "v1")
		require.NoError(t, writerStore.Save(t.Context()))
		require.NoError(t, readerStore.Refresh(t.Context()))
	}
	require.Equal(t, before, store.Counts(), "no change")
}

// A version is listed and nobody stores it. A daemon must not read the history several times per second meanwhile.
func TestReadsForAVersionThatNobodyStoresAreFew(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	s := startedStore(t, store, r, true)
	require.NoError(t, s.Load(t.Context()))
	r.Apply(change("a", "v1"))
	before := store.Counts().Reads
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		require.NoError(t, s.Refresh(t.Context()))
	}
	require.LessOrEqual(t, store.Counts().Reads-before, int64(3))
}

// During an upgrade, older daemons read a history with an era and unknown versions, and newer ones read one without. Older
// daemons know versions only; they must not take the era for one that counts.
func TestHistoryIsReadableByOlderDaemons(t *testing.T) {
	store := emulator.NewStore(emulator.StoreConfig{})
	now := time.Unix(1000, 0)
	r := newSoftwareRegistrar(&now)
	r.Apply(change("a", "v1"))
	s := startedStore(t, store, r, true)
	require.NoError(t, s.Load(t.Context()))
	require.NoError(t, s.Save(t.Context()))
	var versions map[string]map[string]int64
	require.NoError(t, cbor.Unmarshal(store.Peek(softwareKey).Value, &versions))
	require.Zero(t, versions["drafts"]["v1"])
	require.Len(t, versions["drafts"], 2, "a second version, so that unknown streams are refused")
	require.Less(t, versions[""]["era"], now.Add(-SoftwareRetention).UnixMilli(), "gone for long")

	value, err := cbor.Marshal(map[string]map[string]int64{"drafts": {"v1": 0, "v0": now.UnixMilli()}})
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: softwareKey, Value: value}}})
	require.NoError(t, err)
	started := newSoftwareRegistrar(&now)
	started.Apply(change("a", "v1"))
	require.NoError(t, startedStore(t, store, started, true).Load(t.Context()))
	known, complete := started.SoftwareVersions("drafts")
	require.True(t, complete)
	require.Equal(t, []string{"v0", "v1"}, known)
}
