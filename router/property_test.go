package router

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumline/contractor"
)

// TestChosenUpstreamsAreEligible guards against choices of closed, excluded or
// anti-affine upstreams and against wrong counts of requests in flight, which can
// arise when announcements, VM list changes, reports and outcomes come in any order.
func TestChosenUpstreamsAreEligible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 20, 60}).Draw(t, "size")
		r := New(Config{Seed: rapid.Uint64Range(1, 1000).Draw(t, "seed")})
		list, gone, now := engines(size), map[contractor.VM]bool{}, start
		r.SetUpstreams(now, list)
		running := make(map[string][]Query)
		pick := func() int { return rapid.IntRange(0, size-1).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				q := Query{Target: "quote-model", PromptTokens: 640, Prefix: promptDigests(uint64(pick()), 1, 5, 10)}
				q.Exclude = []string{list[pick()].Name}
				q.AntiAffinity = rapid.Bool().Draw(t, "apart")
				choice, err := r.Choose(now, q)
				if err != nil {
					return
				}
				require.False(t, choice.Upstream.Leaving)
				require.False(t, gone[choice.Upstream.VM])
				require.NotContains(t, q.Exclude, choice.Upstream.Name)
				for _, other := range running[choice.Upstream.Name] {
					require.False(t, q.AntiAffinity && other.AntiAffinity)
				}
				running[choice.Upstream.Name] = append(running[choice.Upstream.Name], q)
			},
			"finish": func(t *rapid.T) {
				name := list[pick()].Name
				if len(running[name]) == 0 {
					return
				}
				o := Outcome(rapid.IntRange(0, int(Abandoned)).Draw(t, "outcome"))
				r.Finish(now, name, running[name][0], o, time.Second)
				running[name] = running[name][1:]
			},
			"report": func(t *rapid.T) {
				load := rapid.IntRange(0, 40).Draw(t, "load")
				r.ApplyLoadReport(now, LoadReport{Upstream: list[pick()].Name, Running: load, Queued: load / 4, ReceivedAt: now, Age: time.Second})
			},
			"announce": func(*rapid.T) {
				i := pick()
				list[i].Leaving = !list[i].Leaving
				r.SetUpstreams(now, list)
			},
			"vms": func(*rapid.T) {
				vm := list[pick()].VM
				gone[vm] = !gone[vm]
				r.SetUnavailableVMs(gone)
			},
			"": func(t *rapid.T) {
				now = now.Add(100 * time.Millisecond)
				for _, s := range r.Snapshot(now) {
					require.Equal(t, len(running[s.Upstream.Name]), s.InFlight)
				}
			},
		})
	})
}

// TestConcurrentUseKeepsInFlightCounts guards against counts that do not return to
// zero when choices race with changes of the set of upstreams.
func TestConcurrentUseKeepsInFlightCounts(t *testing.T) {
	r := newRouter(40)
	var group sync.WaitGroup
	for g := range 8 {
		group.Go(func() {
			for i := range 300 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				q := Query{Target: "quote-model", PromptTokens: 640, Prefix: promptDigests(uint64(i%7), uint64(g), 5, 10)}
				choice, err := r.Choose(now, q)
				if err != nil {
					continue
				}
				r.ApplyLoadReport(now, LoadReport{Upstream: choice.Upstream.Name, Running: i % 30, ReceivedAt: now})
				r.ApplyCacheEvent(now, CacheEvent{Upstream: choice.Upstream.Name, Sequence: uint64(i + 1), Evicted: q.Prefix[:2]})
				if i%50 == 0 {
					r.SetUpstreams(now, engines(30+i%20))
				}
				r.Finish(now, choice.Upstream.Name, q, Succeeded, time.Second)
			}
		})
	}
	group.Wait()
	for _, s := range r.Snapshot(start) {
		require.Zero(t, s.InFlight)
	}
}

// BenchmarkSize measures the memory and the time of an update of the set of
// upstreams, for 4700 upstreams with two models each and a full prefix table.
func BenchmarkSize(b *testing.B) {
	list := engines(4700)
	for i := range list {
		list[i].Models = []string{fmt.Sprint("model-", i%30), fmt.Sprint("model-", (i+1)%30)}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := New(Config{})
	r.SetUpstreams(start, list)
	for i := range 20000 {
		_, _ = r.Choose(start, Query{Target: fmt.Sprint("model-", i%30), PromptTokens: 2560, Prefix: promptDigests(uint64(i), 1, 40, 40)})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for range b.N {
		r.SetUpstreams(start, list)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
}
