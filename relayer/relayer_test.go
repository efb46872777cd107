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

// fixture is a daemon's client of an emulated store, with relays.
type fixture struct {
	*Store
	emulated *emulator.Store
	direct   *countingStore
	relays   []netip.AddrPort
	now      time.Time
}

// countingStore counts the calls that a daemon makes directly, and can refuse commits.
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

func (s *countingStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	s.calls.Add(1)
	if s.refuse {
		return persister.Page{}, persister.ErrUnavailable
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	s.calls.Add(1)
	return s.Store.Watch(ctx, prefix, after, handle)
}

// newFixture returns a fixture whose relays are served by these handlers, in the order in which
// the daemon ranks them. A nil handler means a working relay.
func newFixture(t *testing.T, relays ...http.Handler) *fixture {
	f := &fixture{emulated: emulator.NewStore(emulator.StoreConfig{ReportConflicts: true, ProgressInterval: 10 * time.Millisecond}), now: time.Now()}
	f.direct = &countingStore{Store: f.emulated}
	for _, h := range relays {
		if h == nil {
			c := combiner.New(combiner.Config{Store: f.emulated, MaxOperations: 32, BatchDelay: time.Millisecond})
			t.Cleanup(c.Close)
			h = Handler(c)
		}
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		f.relays = append(f.relays, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	f.Store = New(Config{
		Direct: f.direct, Relays: func() []netip.AddrPort { return f.relays }, Recorder: recorder.New(),
		Now: func() time.Time { return f.now },
	})
	return f
}

func put(key string, revision contractor.Revision) persister.Txn {
	return persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: []byte("x")}},
	}
}

// failingRelay drops the connection without a response.
var failingRelay = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })

// Guards against calls that bypass a working relay, which would multiply the load of the store
// by the number of daemons.
func TestCallsGoThroughTheRelay(t *testing.T) {
	f := newFixture(t, nil)
	revision, err := f.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	require.Equal(t, f.emulated.Peek("row/1").Revision, revision)
	id, err := f.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	require.NotZero(t, id)
	batch, err := f.poll(t.Context(), "row/", 1)
	require.NoError(t, err)
	require.Len(t, batch.Changes, 1)
	require.Equal(t, f.emulated.Peek("row/1"), batch.Changes[0].Entry)
	require.Zero(t, f.direct.calls.Load())
}

// Guards against sending a transaction a second time although the relay has returned a
// conflict, and against losing the current entries of the conflict on the way.
func TestRelayConflictIsReturnedWithoutDirectCall(t *testing.T) {
	f := newFixture(t, nil)
	_, err := f.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, err = f.Commit(t.Context(), put("row/1", 0))
	var conflict *persister.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []persister.Entry{f.emulated.Peek("row/1")}, conflict.Entries)
	require.Zero(t, f.direct.calls.Load())
}

// Guards against waiting for a dead relay in every call, and against never using it again after
// it has recovered.
func TestFailedRelayIsSkippedUntilBackoffEnds(t *testing.T) {
	f := newFixture(t, failingRelay, nil)
	revision, err := f.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	require.EqualValues(t, 1, f.direct.calls.Load())
	_, err = f.Commit(t.Context(), put("row/1", revision))
	require.NoError(t, err)
	require.EqualValues(t, 1, f.direct.calls.Load(), "the second relay is used")
	selected, ok := f.selectRelay()
	require.True(t, ok)
	require.Equal(t, f.relays[1], selected)
	f.now = f.now.Add(initialBackoff)
	selected, _ = f.selectRelay()
	require.Equal(t, f.relays[0], selected)
}

// Guards against calls of a whole fleet to the store after a partition of all daemons from the
// store and from each other, while each skips the relay that it did not reach.
func TestPartitionEndsBackoffs(t *testing.T) {
	f := newFixture(t, nil)
	f.relays = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	f.emulated.SetFaults(emulator.StoreFaults{Outage: true})
	_, err := f.Commit(t.Context(), put("row/1", 0))
	require.Error(t, err)
	for range 3 {
		f.recordResult(f.relays[0], persister.ErrUnknown) // its backoff outlasts the pause of direct calls
	}
	f.emulated.SetFaults(emulator.StoreFaults{})
	f.now = f.now.Add(maxDirectPause)
	_, ok := f.selectRelay()
	require.False(t, ok)
	_, err = f.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, ok = f.selectRelay()
	require.True(t, ok, "the store was unreachable as well, so the relay was not at fault")
}

// Guards against a backoff that grows without limit during a long outage, and against one that
// outlasts the relay's next success.
func TestBackoffDoublesUpToMaximum(t *testing.T) {
	f := newFixture(t, failingRelay)
	for range 6 {
		require.False(t, f.recordResult(f.relays[0], persister.ErrUnknown))
	}
	require.Equal(t, maxBackoff, f.backoffs[f.relays[0]].delay)
	require.True(t, f.recordResult(f.relays[0], nil))
	require.Empty(t, f.backoffs)
}

// Guards against a transaction that takes effect twice. The relay commits it, but the response
// is lost, so the daemon sends it again and has to get a conflict with the current entry.
func TestLostCommitResponseIsRetriedDirectly(t *testing.T) {
	var inner http.Handler
	f := newFixture(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		inner.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	}))
	c := combiner.New(combiner.Config{Store: f.emulated, MaxOperations: 32, BatchDelay: time.Millisecond})
	t.Cleanup(c.Close)
	inner = Handler(c)
	_, err := f.Commit(t.Context(), put("row/1", 0))
	var conflict *persister.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []persister.Entry{f.emulated.Peek("row/1")}, conflict.Entries)
	require.Equal(t, "x", string(conflict.Entries[0].Value))
}

// Guards against a daemon that fails although a relay can reach the store and only its own
// connection is broken.
func TestCommitSucceedsThroughRelayWhenStoreIsUnavailable(t *testing.T) {
	f := newFixture(t, nil)
	f.direct.refuse = true
	_, err := f.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
}

// Guards against calls that fail while the daemon knows of no relay, such as after its start.
func TestCallsGoDirectlyWithoutRelays(t *testing.T) {
	f := newFixture(t)
	_, err := f.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, err = f.GrantLease(t.Context(), time.Minute)
	require.NoError(t, err)
	batch, err := f.poll(t.Context(), "row/", 1)
	require.NoError(t, err)
	require.Len(t, batch.Changes, 1)
	require.EqualValues(t, 3, f.direct.calls.Load())
}

// Guards against lost changes when a watch starts at a revision before the relay's feed. The
// relay cannot report those changes, so the watch has to get them from the store.
func TestWatchReceivesChangesOlderThanRelayFeed(t *testing.T) {
	f := newFixture(t, nil)
	revision, err := f.emulated.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	_, err = f.poll(t.Context(), "row/", revision) // starts the relay's feed at this revision
	require.NoError(t, err)
	_, err = f.emulated.Commit(t.Context(), put("row/2", 0))
	require.NoError(t, err)
	seen := map[string]bool{}
	err = f.Watch(t.Context(), "row/", revision-1, func(b persister.Batch) error {
		for _, change := range b.Changes {
			seen[change.Entry.Key] = true
		}
		if len(seen) == 2 {
			return errOneBatch
		}
		return nil
	})
	require.ErrorIs(t, err, errOneBatch)
	require.NotZero(t, f.direct.calls.Load())
}

// Guards against a poll that stays at a failed relay until its timeout. When another call finds
// that the relay has failed, the waiting poll has to move to the store at once.
func TestWaitingPollMovesToStoreWhenRelayFails(t *testing.T) {
	polling := make(chan struct{})
	f := newFixture(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // otherwise the server does not detect that the client has gone
		close(polling)
		<-request.Context().Done()
	}))
	_, err := f.emulated.Commit(t.Context(), put("row/1", 0))
	require.NoError(t, err)
	polled := make(chan persister.Batch)
	go func() {
		batch, err := f.poll(t.Context(), "row/", 1)
		if err == nil {
			polled <- batch
		}
	}()
	<-polling
	require.False(t, f.recordResult(f.relays[0], persister.ErrUnavailable))
	require.Len(t, (<-polled).Changes, 1)
}

// Guards against errors that callers cannot distinguish after they have passed through a relay,
// and against treating an unknown error as certain to have had no effect.
func TestErrorKindsSurviveEncoding(t *testing.T) {
	for _, kind := range errorKinds {
		got := failureOf(fmt.Errorf("step: %w", kind)).err()
		require.ErrorIs(t, got, kind)
	}
	require.NoError(t, failureOf(nil).err())
	require.ErrorIs(t, failureOf(errors.New("other")).err(), persister.ErrUnknown)
	require.ErrorIs(t, failure{Kind: len(errorKinds) + 1}.err(), persister.ErrUnknown)
}

// Guards against passing the zero value of a request to the store when its body is empty.
func TestMalformedRequestIsRejected(t *testing.T) {
	c := combiner.New(combiner.Config{Store: emulator.NewStore(emulator.StoreConfig{}), MaxOperations: 32})
	defer c.Close()
	for _, path := range []string{commitPath, leasePath, pollPath} {
		w := httptest.NewRecorder()
		Handler(c).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, http.NoBody))
		require.Equal(t, http.StatusBadRequest, w.Code)
	}
}

// Guards against content that changes in the round trip, and against long messages that are sent
// uncompressed.
func TestLongMessagesAreCompressed(t *testing.T) {
	for _, size := range []int{0, 10, compressionThreshold, 100_000} {
		want := persister.Entry{Key: "op/config", Value: make([]byte, size), Revision: 7}
		message, err := encode(want)
		require.NoError(t, err)
		require.Less(t, len(message), 2*compressionThreshold)
		var got persister.Entry
		require.NoError(t, decode(message, &got))
		require.Equal(t, want, got)
	}
}

// Guards against accepting messages that are empty, of an unknown format or damaged.
func TestMalformedMessagesAreErrors(t *testing.T) {
	var e persister.Entry
	for _, message := range [][]byte{nil, {9}, {formatPlain, 0xff}, {formatDeflate, 0xff, 0xff}} {
		require.Error(t, decode(message, &e))
	}
}

// pauseDirect makes the store refuse this daemon until its direct calls are paused.
func (f *fixture) pauseDirect(t *testing.T) {
	f.direct.refuse = true
	for range 3 {
		_, err := f.Range(t.Context(), "row/", "", 0)
		require.ErrorIs(t, err, persister.ErrUnavailable)
		f.now = f.now.Add(directFailureTime)
	}
	f.now = f.now.Add(-directFailureTime)
	require.True(t, f.directPaused())
}

// Each call of a daemon is charged for. While the store did not respond, every call of every daemon was
// sent to it after all relays had failed, several a second.
func TestDirectCallsArePausedWhileTheStoreFails(t *testing.T) {
	f := newFixture(t, failingRelay)
	f.direct.refuse = true
	failFor := func(duration time.Duration) int64 {
		before := f.direct.calls.Load()
		for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
			_, err := f.Commit(t.Context(), put("row/1", 0))
			require.Error(t, err)
			_, err = f.Range(t.Context(), "row/", "", 0)
			require.ErrorIs(t, err, persister.ErrUnavailable)
		}
		return f.direct.calls.Load() - before
	}
	require.EqualValues(t, 20, failFor(directFailureTime), "a short failure pauses nothing")
	calls := failFor(3 * time.Second)
	require.LessOrEqual(t, calls, int64(7), "3 s with pauses of at least 500 ms, and the first call")
	require.GreaterOrEqual(t, calls, int64(3), "the end of the failure has to be noticed")
	f.direct.refuse = false
	f.now = f.now.Add(maxDirectPause)
	_, err := f.Range(t.Context(), "row/", "", 0)
	require.NoError(t, err)
	_, err = f.Range(t.Context(), "row/", "", 0)
	require.NoError(t, err, "one success ends the pause")
}

// A transaction that a relay may have committed must not count as not executed because the direct call
// was not sent.
func TestPausedDirectCallKeepsTheOutcomeAtTheRelay(t *testing.T) {
	f := newFixture(t, failingRelay)
	f.pauseDirect(t)
	_, err := f.Commit(t.Context(), put("row/1", 0))
	require.ErrorIs(t, err, persister.ErrUnknown)
}

// A daemon that the store refuses learned no change of configuration, because its watch began with a call
// to the store.
func TestRefusedDaemonWatchesThroughTheRelay(t *testing.T) {
	f := newFixture(t, nil)
	f.pauseDirect(t)
	calls := f.direct.calls.Load()
	f.emulated.PutAsOperator("row/1", []byte("x"))
	err := f.Watch(t.Context(), "row/", 1, func(b persister.Batch) error {
		require.Len(t, b.Changes, 1)
		return errOneBatch
	})
	require.ErrorIs(t, err, errOneBatch)
	require.Equal(t, calls, f.direct.calls.Load())
}

// A fleet without relays depends on its own calls and does not pause them.
func TestFleetWithoutRelaysDoesNotPause(t *testing.T) {
	f := newFixture(t)
	f.direct.refuse = true
	for range 5 {
		_, err := f.Commit(t.Context(), put("row/1", 0))
		require.ErrorIs(t, err, persister.ErrUnavailable)
	}
	require.EqualValues(t, 5, f.direct.calls.Load())
}
