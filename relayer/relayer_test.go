package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/combiner"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// rig is a store, a relay and a daemon that uses it.
type rig struct {
	*Store
	platform *emulator.Store
	direct   *countingStore
	relays   []netip.AddrPort
	now      time.Time
}

// countingStore counts the calls that a daemon makes itself, and can refuse them.
type countingStore struct {
	persister.Store
	calls  atomic.Int64
	refuse bool
}

func (s *countingStore) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	s.calls.Add(1)
	if s.refuse {
		return 0, persister.ErrUnavailable
	}
	return s.Store.Commit(ctx, txn)
}

func (s *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	s.calls.Add(1)
	return s.Store.GrantLease(ctx, ttl)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	s.calls.Add(1)
	return s.Store.Watch(ctx, prefix, after, handle)
}

func newRig(t *testing.T, relays ...http.Handler) *rig {
	r := &rig{platform: emulator.NewStore(emulator.StoreConfig{TellConflicts: true, Progress: 10 * time.Millisecond}), now: time.Now()}
	r.direct = &countingStore{Store: r.platform}
	for _, h := range relays {
		if h == nil {
			c := combiner.New(combiner.Config{Store: r.platform, MaxOperations: 32, BatchDelay: time.Millisecond})
			t.Cleanup(c.Close)
			h = Handler(c)
		}
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		r.relays = append(r.relays, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	r.Store = New(Config{
		Direct: r.direct, Relays: func() []netip.AddrPort { return r.relays }, Recorder: recorder.New(),
		Now: func() time.Time { return r.now },
	})
	return r
}

func put(key string, revision contractor.Revision) persister.Txn {
	return persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: []byte("x")}},
	}
}

// failing is a relay that does not answer.
var failing = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })

func TestCallsGoThroughTheRelay(t *testing.T) {
	r := newRig(t, nil)
	revision, err := r.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	require.Equal(t, r.platform.Peek("row/1").Revision, revision)
	id, err := r.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	require.NotZero(t, id)
	batch, err := r.poll(t.Context(), "row/", 1)
	require.NoError(t, err)
	require.Len(t, batch.Changes, 1)
	require.Equal(t, r.platform.Peek("row/1"), batch.Changes[0].Entry)
	require.Zero(t, r.direct.calls.Load())
}

func TestConflictOfTheRelayStands(t *testing.T) {
	r := newRig(t, nil)
	_, err := r.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, err = r.Commit(t.Context(), put("row/1", 0))
	var conflict *persister.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []persister.Entry{r.platform.Peek("row/1")}, conflict.Entries)
	require.Zero(t, r.direct.calls.Load())
}

func TestRelayThatFailsIsAvoided(t *testing.T) {
	r := newRig(t, failing, nil)
	revision, err := r.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	require.EqualValues(t, 1, r.direct.calls.Load())
	_, err = r.Commit(t.Context(), put("row/1", revision))
	require.NoError(t, err)
	require.EqualValues(t, 1, r.direct.calls.Load(), "the second relay was used")
	first, ok := r.relay()
	require.True(t, ok)
	require.Equal(t, r.relays[1], first)
	r.now = r.now.Add(firstAvoidance)
	first, _ = r.relay()
	require.Equal(t, r.relays[0], first)
}

func TestAvoidanceGrowsUpToABound(t *testing.T) {
	r := newRig(t, failing)
	for range 6 {
		require.False(t, r.final(r.relays[0], persister.ErrUnknown))
	}
	require.Equal(t, longestAvoidance, r.avoided[r.relays[0]].time)
	require.True(t, r.final(r.relays[0], nil))
	require.Empty(t, r.avoided)
}

// A relay may have committed a transaction whose answer is lost. Its daemon sends it once
// more, and hears what the key is now.
func TestAnswerOfTheRelayThatIsLost(t *testing.T) {
	var inner http.Handler
	r := newRig(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		inner.ServeHTTP(httptest.NewRecorder(), q)
		panic(http.ErrAbortHandler)
	}))
	c := combiner.New(combiner.Config{Store: r.platform, MaxOperations: 32, BatchDelay: time.Millisecond})
	t.Cleanup(c.Close)
	inner = Handler(c)
	_, err := r.Commit(t.Context(), put("row/1", 0))
	var conflict *persister.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []persister.Entry{r.platform.Peek("row/1")}, conflict.Entries)
	require.Equal(t, "x", string(conflict.Entries[0].Value))
}

func TestDaemonThatTheStoreRefusesUsesTheRelay(t *testing.T) {
	r := newRig(t, nil)
	r.direct.refuse = true
	_, err := r.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
}

func TestWithoutRelays(t *testing.T) {
	r := newRig(t)
	_, err := r.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, err = r.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	batch, err := r.poll(t.Context(), "row/", 1)
	require.NoError(t, err)
	require.Len(t, batch.Changes, 1)
	require.EqualValues(t, 3, r.direct.calls.Load())
}

func TestWatchGoesOnBehindTheRelay(t *testing.T) {
	r := newRig(t, nil)
	revision, err := r.platform.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, err = r.poll(t.Context(), "row/", revision) // the relay's feed begins here
	require.NoError(t, err)
	_, err = r.platform.Commit(t.Context(), put("row/2", 0))
	require.NoError(t, err)
	seen := map[string]bool{}
	err = r.Watch(t.Context(), "row/", revision-1, func(b persister.Batch) error {
		for _, change := range b.Changes {
			seen[change.Entry.Key] = true
		}
		if len(seen) == 2 {
			return errEnough
		}
		return nil
	})
	require.ErrorIs(t, err, errEnough)
	require.NotZero(t, r.direct.calls.Load())
}

// A poll waits at a relay that has lost the store. When another call shows so, the poll goes
// to the store at once.
func TestPollLeavesARelayThatFails(t *testing.T) {
	polling := make(chan struct{})
	r := newRig(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // else the end of the connection is not seen
		close(polling)
		<-q.Context().Done()
	}))
	_, err := r.platform.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	answered := make(chan persister.Batch)
	go func() {
		batch, err := r.poll(t.Context(), "row/", 1)
		if err == nil {
			answered <- batch
		}
	}()
	<-polling
	require.False(t, r.final(r.relays[0], persister.ErrUnavailable))
	require.Len(t, (<-answered).Changes, 1)
}

func TestErrorsCrossTheWire(t *testing.T) {
	for _, kind := range kinds {
		got := failureOf(fmt.Errorf("step: %w", kind)).err()
		require.ErrorIs(t, got, kind)
	}
	require.NoError(t, failureOf(nil).err())
	require.ErrorIs(t, failureOf(errors.New("other")).err(), persister.ErrUnknown)
	require.ErrorIs(t, failure{Kind: len(kinds) + 1}.err(), persister.ErrUnknown)
}

func TestMalformedQuestionIsRefused(t *testing.T) {
	c := combiner.New(combiner.Config{Store: emulator.NewStore(emulator.StoreConfig{}), MaxOperations: 32})
	defer c.Close()
	for _, path := range []string{commitPath, leasePath, pollPath} {
		w := httptest.NewRecorder()
		Handler(c).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, http.NoBody))
		require.Equal(t, http.StatusBadRequest, w.Code)
	}
}

func TestLongMessagesAreCompressed(t *testing.T) {
	for _, size := range []int{0, 10, packet, 100_000} {
		want := persister.Entry{Key: "op/config", Value: make([]byte, size), Revision: 7}
		text, err := encode(want)
		require.NoError(t, err)
		require.Less(t, len(text), 2*packet)
		var got persister.Entry
		require.NoError(t, decode(text, &got))
		require.Equal(t, want, got)
	}
}

func TestMalformedMessagesAreErrors(t *testing.T) {
	var e persister.Entry
	for _, text := range [][]byte{nil, {9}, {plain, 0xff}, {deflate, 0xff, 0xff}} {
		require.Error(t, decode(text, &e))
	}
}
