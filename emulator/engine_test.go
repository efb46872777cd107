package emulator_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
)

const prompt = `[{"role":"user","content":"Which twine?"}]`

// engineFixture is an engine with a dispatcher that calls it.
type engineFixture struct {
	*emulator.Engine
	dispatcher *dispatcher.Dispatcher
	upstream   contractor.Upstream
}

func serveEngine(t *testing.T, c emulator.EngineConfig) *engineFixture {
	f := &engineFixture{Engine: emulator.NewEngine(c), dispatcher: dispatcher.New(dispatcher.Config{})}
	url, err := f.Serve()
	require.NoError(t, err)
	f.upstream = contractor.Upstream{Name: "engine-1", URL: url}
	t.Cleanup(func() {
		f.dispatcher.Close()
		require.NoError(t, f.Close())
	})
	return f
}

// callEngine reads a stream to its end and returns the number of chunks and the
// error that ended it.
func (f *engineFixture) callEngine(key, messages string, priority int) (int, error) {
	s, err := f.dispatcher.CallEngine(context.Background(), dispatcher.EngineCall{
		Upstream: f.upstream, Key: contractor.NewRequestKey("a", key), Attempt: 1, Priority: priority,
		Body: []byte(`{"model":"m","stream":true,"messages":` + messages + `}`),
	})
	if err != nil {
		return 0, err
	}
	defer s.Close()
	for n := 0; ; n++ {
		if _, err := s.Next(); err != nil {
			return n, err
		}
	}
}

// Tests that rely on the crash marker are void if a crash leaves other calls running
// or if the engine responds before its down time has passed.
func TestCrashMarkerAbortsAllStreams(t *testing.T) {
	f := serveEngine(t, emulator.EngineConfig{TokenInterval: time.Millisecond, OutputTokens: 100_000, DownTime: time.Hour})
	otherErr := make(chan error)
	go func() {
		_, err := f.callEngine("innocent", prompt, 0)
		otherErr <- err
	}()
	require.Eventually(t, func() bool { return f.Running() == 1 }, 10*time.Second, time.Millisecond)
	_, err := f.callEngine("guilty", `[{"role":"user","content":"crash-the-engine"}]`, 0)
	var failure *dispatcher.Failure
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Crashed)
	require.ErrorAs(t, <-otherErr, &failure)
	require.True(t, failure.Crashed)
	_, err = f.callEngine("later", prompt, 0)
	require.ErrorAs(t, err, &failure)
	require.Equal(t, dispatcher.NoResponse, failure.Phase)
	require.Equal(t, 1, f.Stats().Crashes)
	require.Equal(t, 2, f.Stats().Aborted)
}

// The engine must publish evictions and leave gaps in the event numbers where it
// drops events; without them nothing tests how a router handles lost cache events.
func TestPrefixCacheDropsEvents(t *testing.T) {
	f := serveEngine(t, emulator.EngineConfig{CacheBlocks: 4, DropEventEvery: 2})
	long := func(first string) string { return `[{"role":"user","content":"` + strings.Repeat(first, 1024) + `"}]` }
	for _, first := range []string{"a", "a", "b", "c"} {
		_, err := f.callEngine(first, long(first), 0)
		require.Equal(t, io.EOF, err)
	}
	require.Equal(t, 4, f.Stats().CachedBlocks)
	events, err := f.dispatcher.FetchCacheEvents(context.Background(), f.upstream, 0)
	require.NoError(t, err)
	require.Len(t, events, 2)
	require.EqualValues(t, 1, events[0].Sequence)
	require.Equal(t, dispatcher.PrefixDigests("m", []byte(long("a"))), events[0].Stored)
	require.EqualValues(t, 3, events[1].Sequence)
	require.Len(t, events[1].Evicted, 4)
}

// Guards against waiting calls that are admitted by arrival alone, and against load
// reports that are fresher than the configured lag.
func TestSlotsFollowPriorityAndLoadLags(t *testing.T) {
	f := serveEngine(t, emulator.EngineConfig{Slots: 1, TokenInterval: 20 * time.Millisecond, OutputTokens: 5, LoadLag: time.Hour})
	var mu sync.Mutex
	var order []string
	var wait sync.WaitGroup
	for i, call := range []struct {
		name     string
		priority int
	}{{"first", 5}, {"low", 9}, {"high", 1}} {
		wait.Go(func() {
			_, err := f.callEngine(call.name, prompt, call.priority)
			mu.Lock()
			defer mu.Unlock()
			order = append(order, call.name)
			if err != io.EOF {
				t.Error(err)
			}
		})
		require.Eventually(t, func() bool { return f.Stats().Started == i+1 }, 10*time.Second, time.Millisecond)
	}
	wait.Wait()
	require.Equal(t, []string{"first", "high", "low"}, order)
	load, err := f.dispatcher.FetchLoad(context.Background(), f.upstream)
	require.NoError(t, err)
	require.Zero(t, load.Running)
	require.Equal(t, time.Hour, load.Age)
}

// An engine without fencing must execute an order with a lower fencing number than
// the one before, which models engines that cannot detect stale orders. A call for an
// unloaded model must fail with status 404.
func TestUnfencedEngineAcceptsOldOrders(t *testing.T) {
	f := serveEngine(t, emulator.EngineConfig{Models: []string{"m"}})
	for _, fence := range []uint64{5, 4} {
		err := f.dispatcher.SendOrder(context.Background(), f.upstream, dispatcher.Order{Action: dispatcher.LoadModel, Target: "m2", Fence: fence})
		require.NoError(t, err)
	}
	require.Len(t, f.Orders(), 2)
	require.NoError(t, f.dispatcher.SendOrder(context.Background(), f.upstream, dispatcher.Order{Action: dispatcher.UnloadModel, Target: "m"}))
	_, err := f.callEngine("a", prompt, 0)
	var failure *dispatcher.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, http.StatusNotFound, failure.Status)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
