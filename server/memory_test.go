package server_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/server"
)

// callMany makes calls with short streams over 10 connections.
func callMany(t testing.TB, address string, calls int) {
	const callers = 10
	var wait sync.WaitGroup
	for i := range callers {
		c := newFastCaller(t, address)
		wait.Go(func() {
			defer c.conn.Close()
			for n := range calls / callers {
				if _, err := c.call(fmt.Sprintf("%d-%d", i, n), "", 8, nil); err != nil {
					t.Errorf("call %d: %v", n, err)
					return
				}
			}
		})
	}
	wait.Wait()
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// newWarmDaemon starts a daemon and makes 500 calls, so that later calls find its pools and
// connections in place.
func newWarmDaemon(t testing.TB) *daemon {
	engine := newFastEngine(t, 8, 1, nil)
	d := serveUpstream(t, contractor.Upstream{Name: "engine-1", URL: "http://" + engine.address()}, server.Config{})
	callMany(t, d.address, 500)
	return d
}

// Guards against memory and goroutines that are kept after a call has ended.
func TestCallsLeaveNoMemoryBehind(t *testing.T) {
	const calls, bytesPerCall = 5000, 64
	d := newWarmDaemon(t)
	before, goroutines := heapBytes(), runtime.NumGoroutine()
	callMany(t, d.address, calls)
	grown := heapBytes() - before
	require.Less(t, grown, int64(calls*bytesPerCall))
	require.Less(t, runtime.NumGoroutine(), goroutines+calls/10)
}

// BenchmarkMemory makes 100,000 calls in each iteration and reports by how much the heap
// grows during each half of them. Run it with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	const half = 50_000
	d := newWarmDaemon(b)
	for b.Loop() {
		start := heapBytes()
		callMany(b, d.address, half)
		middle := heapBytes()
		callMany(b, d.address, half)
		b.ReportMetric(float64(start), "heap_B")
		b.ReportMetric(float64(middle-start), "grown_first_half_B")
		b.ReportMetric(float64(heapBytes()-middle), "grown_second_half_B")
	}
}

// BenchmarkOpenStream holds streams open in the middle of their responses and reports the
// memory that one stream takes in the daemon: the total less that of the same streams
// without a daemon. Run it with -benchtime 1x.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	credits := new(sync.Map)
	engine := newFastEngine(b, 2, 1, credits)
	d := serveUpstream(b, contractor.Upstream{Name: "engine-1", URL: "http://" + engine.address()}, server.Config{})
	for b.Loop() {
		direct := openStreams(b, engine.address(), streams, credits)
		via := openStreams(b, d.address, streams, credits)
		b.ReportMetric(float64(via-direct)/streams, "daemon_B/stream")
		b.ReportMetric(float64(direct)/streams, "harness_B/stream")
	}
}

// openStreams returns the memory in bytes that streams take while they are open.
func openStreams(b *testing.B, address string, streams int, credits *sync.Map) int64 {
	before := heapAndStackBytes()
	var wait sync.WaitGroup
	all := make([]chan struct{}, streams)
	for i := range all {
		name := fmt.Sprintf("%s-%d", address, i)
		key := contractor.NewRequestKey("loft-7", name).String()
		all[i] = make(chan struct{}, 2)
		all[i] <- struct{}{}
		credits.Store(key, all[i])
		c := newFastCaller(b, address)
		started := make(chan struct{})
		wait.Go(func() {
			defer c.conn.Close()
			c.started = started
			if _, err := c.call(name, key+"-1", 2, nil); err != nil {
				b.Error(err)
			}
		})
		<-started
	}
	open := heapAndStackBytes() - before
	for _, credit := range all {
		credit <- struct{}{}
	}
	wait.Wait()
	return open
}

// heapAndStackBytes returns the memory in use by heap and stacks.
func heapAndStackBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
