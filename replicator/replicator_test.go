package replicator

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/sleeper"
)

// mirror is a Handler that keeps a copy of the keys and counts resets.
type mirror struct {
	mu     sync.Mutex
	keys   map[string]string
	resets int
}

func (m *mirror) Reset(entries []persister.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys = make(map[string]string)
	m.resets++
	for _, e := range entries {
		m.keys[e.Key] = string(e.Value)
	}
}

func (m *mirror) Apply(c persister.Change) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Deleted {
		delete(m.keys, c.Entry.Key)
		return
	}
	m.keys[c.Entry.Key] = string(c.Entry.Value)
}

func (m *mirror) get(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.keys[key]
}

func startReplicator(store persister.Store) (*Replicator, *mirror, context.CancelFunc) {
	m := &mirror{}
	r := New(Config{Store: store, Prefix: "op/", Handler: m})
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	return r, m, cancel
}

// Guards against a copy that lacks keys beyond the first page, or changes and deletions after the
// initial read.
func TestFollowsAllPagesAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		for i := range pageSize + 7 {
			store.PutAsOperator("op/"+strconv.Itoa(1000+i), []byte("old"))
		}
		r, m, stop := startReplicator(store)
		defer stop()
		time.Sleep(time.Second)
		require.True(t, r.Loaded())
		require.Len(t, m.keys, pageSize+7)
		store.PutAsOperator("op/1000", []byte("new"))
		store.RemoveAsOperator("op/1001")
		time.Sleep(time.Second)
		require.Equal(t, "new", m.get("op/1000"))
		require.Equal(t, "", m.get("op/1001"))
	})
}

// Guards against a replicator that is stuck or misses changes when the store has compacted the
// history after the revision that the watch has reached.
func TestReloadsWhenHistoryIsCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutAsOperator("op/config", []byte("1"))
		_, m, stop := startReplicator(store)
		defer stop()
		time.Sleep(time.Second)
		store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		store.PutAsOperator("op/config", []byte("2"))
		store.Compact(store.Revision())
		store.SetFaults(emulator.StoreFaults{})
		time.Sleep(time.Second)
		require.Equal(t, "2", m.get("op/config"))
		require.Equal(t, 2, m.resets)
	})
}

// Guards against a replicator that does not report an outage of the store, or that does not load
// the keys soon after the outage.
func TestRecordsFailuresAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.SetFaults(emulator.StoreFaults{Outage: true})
		r, m, stop := startReplicator(store)
		defer stop()
		time.Sleep(5 * time.Second)
		require.False(t, r.Loaded())
		require.Less(t, time.Since(r.LastFailure()), time.Second)
		store.PutAsOperator("op/config", []byte("1"))
		store.SetFaults(emulator.StoreFaults{})
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", m.get("op/config"))
		require.Less(t, r.Age(time.Now()), 2*time.Second)
	})
}

// Guards against a copy that stays outdated while the watch gets no response, as happens when the
// store compacts its history. The watch has to restart when another daemon reports a newer revision.
func TestNotificationRestartsSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutAsOperator("op/config", []byte("1"))
		r, m, stop := startReplicator(&silentStore{Store: store})
		defer stop()
		time.Sleep(time.Second)
		store.PutAsOperator("op/config", []byte("2"))
		time.Sleep(time.Second)
		require.Equal(t, "1", m.get("op/config"), "the watch gets no response")
		store.Compact(store.Revision())
		r.NotifyRevision(r.AppliedRevision())
		time.Sleep(time.Second)
		require.Equal(t, "1", m.get("op/config"), "the revision is already known")
		r.NotifyRevision(store.Revision())
		time.Sleep(time.Second)
		require.Equal(t, "2", m.get("op/config"))
		require.Zero(t, r.LastFailure(), "a restart is not recorded as a failure")
	})
}

// silentStore is a store whose first watch gets no response until it is cancelled.
type silentStore struct {
	persister.Store
	watched bool
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	if !s.watched {
		s.watched = true
		<-ctx.Done()
		return ctx.Err()
	}
	return s.Store.Watch(ctx, prefix, after, handle)
}

// Guards against notifications that restart the watch so often that a slow response never arrives.
func TestNotificationsDoNotInterruptSlowResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutAsOperator("op/config", []byte("1"))
		r, m, stop := startReplicator(&slowStore{Store: store})
		defer stop()
		time.Sleep(5 * time.Second)
		store.PutAsOperator("op/config", []byte("2"))
		for range 60 {
			r.NotifyRevision(store.Revision())
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, "2", m.get("op/config"))
	})
}

// slowStore delays each batch of changes by 1 s.
type slowStore struct{ persister.Store }

func (s *slowStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	return s.Store.Watch(ctx, prefix, after, func(b persister.Batch) error {
		if err := sleeper.Sleep(ctx, time.Second); err != nil {
			return err
		}
		return handle(b)
	})
}

// batchCounter counts the batches of changes that arrive at the same time.
type batchCounter struct {
	mirror
	batches int
	last    time.Time
}

func (h *batchCounter) Apply(c persister.Change) {
	if time.Since(h.last) > 0 {
		h.batches++
	}
	h.last = time.Now()
	h.mirror.Apply(c)
}

// Guards against a response to every daemon's watch for each single change, as when many upstreams
// start one after another.
func TestChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		h := &batchCounter{}
		r := New(Config{
			Store: store, Prefix: "op/", Handler: h, BatchDelay: func() time.Duration { return 500 * time.Millisecond },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(time.Second)
		for i := range 20 {
			store.PutAsOperator("op/"+strconv.Itoa(i), []byte("new"))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, "new", h.get("op/19"))
		require.LessOrEqual(t, h.batches, 5)
	})
}

// largeStore takes 800 ms to send each value, in changes and in entries.
type largeStore struct{ persister.Store }

const valueTime = 800 * time.Millisecond

func (s *largeStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	return s.Store.Watch(ctx, prefix, after, func(b persister.Batch) error {
		if err := sleeper.Sleep(ctx, time.Duration(len(b.Changes))*valueTime); err != nil {
			return err
		}
		return handle(b)
	})
}

func (s *largeStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	page, err := s.Store.Range(ctx, prefix, after, limit)
	if err != nil {
		return page, err
	}
	return page, sleeper.Sleep(ctx, time.Duration(len(page.Entries))*valueTime)
}

// After an outage the changes of a large value take long to arrive, and notifications of daemons that
// have them already restart the watch again and again. Only the newest value matters.
func TestNewestValueIsReadAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutAsOperator("op/config", []byte("1"))
		m := &mirror{}
		r := New(Config{Store: &largeStore{Store: store}, Prefix: "op/", Handler: m, ReloadWhenBehind: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(3 * time.Second)
		store.SetFaults(emulator.StoreFaults{Outage: true})
		for i := 2; i <= 7; i++ {
			time.Sleep(time.Second)
			store.PutAsOperator("op/config", []byte(strconv.Itoa(i)))
		}
		store.SetFaults(emulator.StoreFaults{})
		for range 25 {
			r.NotifyRevision(store.Revision())
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, "7", m.get("op/config"))
		store.PutAsOperator("op/config", []byte("8"))
		time.Sleep(2 * time.Second)
		require.Equal(t, "8", m.get("op/config"), "changes are watched again")
	})
}

// A store that is restored from an older copy gives the revisions since out again. A watch that went
// on from such a revision would keep what was lost and miss what was written instead.
func TestReloadsWhenStoreIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutAsOperator("op/kept", []byte("1"))
		r, m, stop := startReplicator(store)
		defer stop()
		time.Sleep(time.Second)
		content := store.Copy()
		store.PutAsOperator("op/lost", []byte("1"))
		time.Sleep(time.Second)
		require.Equal(t, "1", m.get("op/lost"))
		store.Restore(content)
		store.PutAsOperator("op/new", []byte("1"))
		time.Sleep(time.Second)
		require.Equal(t, []string{"1", "1", ""}, []string{m.get("op/kept"), m.get("op/new"), m.get("op/lost")})
		require.NotZero(t, r.LastFailure(), "the copy may lack entries whose writers are alive")
	})
}

// unreadableStore answers watches, as a relay does, and refuses to read keys.
type unreadableStore struct {
	persister.Store
	refuse atomic.Bool
}

func (s *unreadableStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if s.refuse.Load() {
		return persister.Page{}, persister.ErrUnavailable
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

// A daemon that the store refuses has to follow the configuration through a relay. It used to read all
// keys after the first failure, which only the store itself can answer.
func TestWatchContinuesThroughTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutAsOperator("op/config", []byte("1"))
		refusing := &unreadableStore{Store: store}
		m := &mirror{}
		r := New(Config{Store: refusing, Prefix: "op/", Handler: m, ReloadWhenBehind: true, HasRelay: func() bool { return true }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.Run(ctx)
		time.Sleep(time.Second)
		refusing.refuse.Store(true)
		store.SetFaults(emulator.StoreFaults{Outage: true})
		time.Sleep(2 * time.Second)
		store.SetFaults(emulator.StoreFaults{})
		store.PutAsOperator("op/config", []byte("2"))
		time.Sleep(2 * time.Second)
		require.Equal(t, "2", m.get("op/config"))
	})
}
