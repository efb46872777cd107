package follower

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/sleeper"
)

// mirror is a handler that keeps what it is told.
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

func start(store persister.Store) (*Follower, *mirror, context.CancelFunc) {
	m := &mirror{}
	f := New(Config{Store: store, Prefix: "op/", Handler: m})
	ctx, cancel := context.WithCancel(context.Background())
	go f.Run(ctx)
	return f, m, cancel
}

func TestFollowsAllPagesAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		for i := range pageSize + 7 {
			store.PutOperator("op/"+strconv.Itoa(1000+i), []byte("old"))
		}
		f, m, stop := start(store)
		defer stop()
		time.Sleep(time.Second)
		require.True(t, f.Loaded())
		require.Len(t, m.keys, pageSize+7)
		store.PutOperator("op/1000", []byte("new"))
		store.RemoveOperator("op/1001")
		time.Sleep(time.Second)
		require.Equal(t, "new", m.get("op/1000"))
		require.Equal(t, "", m.get("op/1001"))
	})
}

func TestReadsAgainWhenTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutOperator("op/config", []byte("1"))
		_, m, stop := start(store)
		defer stop()
		time.Sleep(time.Second)
		store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		store.PutOperator("op/config", []byte("2"))
		store.Compact(store.Revision())
		store.SetFaults(emulator.StoreFaults{})
		time.Sleep(time.Second)
		require.Equal(t, "2", m.get("op/config"))
		require.Equal(t, 2, m.resets)
	})
}

func TestNotesGapsAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.SetFaults(emulator.StoreFaults{Outage: true})
		f, m, stop := start(store)
		defer stop()
		time.Sleep(5 * time.Second)
		require.False(t, f.Loaded())
		require.Less(t, time.Since(f.LastFailure()), time.Second)
		store.PutOperator("op/config", []byte("1"))
		store.SetFaults(emulator.StoreFaults{})
		time.Sleep(2 * time.Second)
		require.Equal(t, "1", m.get("op/config"))
		require.Less(t, f.Age(time.Now()), 2*time.Second)
	})
}

// A store that is about to discard its history tells a waiting watch nothing.
func TestWatchIsAskedAgainAfterNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutOperator("op/config", []byte("1"))
		f, m, stop := start(&silentStore{Store: store})
		defer stop()
		time.Sleep(time.Second)
		store.PutOperator("op/config", []byte("2"))
		time.Sleep(time.Second)
		require.Equal(t, "1", m.get("op/config"), "the watch hears nothing")
		store.Compact(store.Revision())
		f.NotifyRevision(f.AppliedRevision())
		time.Sleep(time.Second)
		require.Equal(t, "1", m.get("op/config"), "no news")
		f.NotifyRevision(store.Revision())
		time.Sleep(time.Second)
		require.Equal(t, "2", m.get("op/config"))
		require.Zero(t, f.LastFailure(), "an own restart is no gap")
	})
}

// silentStore is a store whose first watch hears nothing until it is cancelled.
type silentStore struct {
	persister.Store
	heard bool
}

func (d *silentStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	if !d.heard {
		d.heard = true
		<-ctx.Done()
		return ctx.Err()
	}
	return d.Store.Watch(ctx, prefix, after, handle)
}

// An answer that takes long is not asked for again and again, however often others
// tell of the change.
func TestNewsDoesNotInterruptASlowAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		store.PutOperator("op/config", []byte("1"))
		f, m, stop := start(&slowStore{Store: store})
		defer stop()
		time.Sleep(5 * time.Second)
		store.PutOperator("op/config", []byte("2"))
		for range 60 {
			f.NotifyRevision(store.Revision())
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, "2", m.get("op/config"))
	})
}

// slowStore takes its time to tell a change.
type slowStore struct{ persister.Store }

func (s *slowStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	return s.Store.Watch(ctx, prefix, after, func(b persister.Batch) error {
		if err := sleeper.Sleep(ctx, time.Second); err != nil {
			return err
		}
		return handle(b)
	})
}

// groupHandler counts the groups of changes that arrive together.
type groupHandler struct {
	mirror
	groups int
	last   time.Time
}

func (h *groupHandler) Apply(c persister.Change) {
	if time.Since(h.last) > 0 {
		h.groups++
	}
	h.last = time.Now()
	h.mirror.Apply(c)
}

// Upstreams that start one by one would answer every daemon's watch once each.
func TestChangesAreCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore(emulator.StoreConfig{})
		h := &groupHandler{}
		f := New(Config{
			Store: store, Prefix: "op/", Handler: h, BatchDelay: func() time.Duration { return 500 * time.Millisecond },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.Run(ctx)
		time.Sleep(time.Second)
		for i := range 20 {
			store.PutOperator("op/"+strconv.Itoa(i), []byte("new"))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Equal(t, "new", h.get("op/19"))
		require.LessOrEqual(t, h.groups, 5)
	})
}
