package router

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func engines(n int) []contractor.Upstream {
	list := make([]contractor.Upstream, n)
	for i := range list {
		list[i] = contractor.Upstream{
			Name:   fmt.Sprintf("runner-%d", i),
			VM:     contractor.VM(fmt.Sprintf("vm-%d", i)),
			Zone:   "gulf-south-a",
			Models: []string{"quote-model"},
		}
	}
	return list
}

// promptDigests returns the digests of a prompt of n blocks, of which the first
// shared blocks are the same for all requests of a group.
func promptDigests(group, request uint64, shared, n int) []uint64 {
	list := make([]uint64, n)
	digest := group
	for i := range list {
		if i >= shared {
			digest += request
		}
		digest = mix(digest + 1)
		list[i] = digest
	}
	return list
}

func newRouter(n int) *Router {
	r := New(Config{Zone: "gulf-south-a"})
	r.SetUpstreams(start, engines(n))
	return r
}

func ExampleRouter() {
	r := New(Config{Zone: "gulf-south-a"})
	now := time.Now()
	r.SetUpstreams(now, []contractor.Upstream{
		{Name: "runner-1", Zone: "gulf-south-a", Models: []string{"quote-model"}},
	})
	query := Query{Target: "quote-model", PromptTokens: 900}
	choice, err := r.Choose(now, query)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(choice.Upstream.Name, r.Drained("runner-1"))
	r.Finish(now, choice.Upstream.Name, query, Succeeded, 200*time.Millisecond)
	fmt.Println(r.Drained("runner-1"))
	// Output:
	// runner-1 false
	// true
}

// TestChooseRefusesWithoutEligibleUpstream guards against refusals that do not say
// that the request was not executed.
func TestChooseRefusesWithoutEligibleUpstream(t *testing.T) {
	leaving := engines(1)
	leaving[0].Leaving = true
	tests := []struct {
		name  string
		list  []contractor.Upstream
		gone  map[contractor.VM]bool
		query Query
	}{
		{"no upstream", nil, nil, Query{Target: "quote-model"}},
		{"other model", engines(1), nil, Query{Target: "sahayi-model"}},
		{"other kind", engines(1), nil, Query{Kind: contractor.KindService, Target: "quote-model"}},
		{"announced as leaving", leaving, nil, Query{Target: "quote-model"}},
		{"VM is gone", engines(1), map[contractor.VM]bool{"vm-0": true}, Query{Target: "quote-model"}},
		{"already tried", engines(1), nil, Query{Target: "quote-model", Exclude: []string{"runner-0"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{})
			r.SetUpstreams(start, tt.list)
			r.SetUnavailableVMs(tt.gone)
			_, err := r.Choose(start, tt.query)
			var refusal *refuser.Refusal
			require.True(t, errors.As(err, &refusal))
			require.Equal(t, refuser.NoUpstream, refusal.Reason)
			require.Equal(t, refuser.NotExecuted, refusal.Execution)
		})
	}
}

// TestRemovedUpstreamIsKeptUntilDrained guards against an upstream that counts as
// drained, because it is no longer announced, while requests are in flight there.
func TestRemovedUpstreamIsKeptUntilDrained(t *testing.T) {
	r := newRouter(1)
	query := Query{Target: "quote-model"}
	_, err := r.Choose(start, query)
	require.NoError(t, err)
	r.SetUpstreams(start, nil)
	r.SetUnavailableVMs(nil)
	_, err = r.Choose(start, query)
	require.Error(t, err)
	require.False(t, r.Drained("runner-0"))
	r.Finish(start, "runner-0", query, Succeeded, time.Millisecond)
	require.True(t, r.Drained("runner-0"))
	r.SetUpstreams(start, nil)
	require.Empty(t, r.Snapshot(start))
}

// TestChoosePrefersUpstreamWithCachedPrefix guards against sending prompts that
// share a prefix to different upstreams, each of which would process it again.
func TestChoosePrefersUpstreamWithCachedPrefix(t *testing.T) {
	r := newRouter(20)
	first := Query{Target: "quote-model", PromptTokens: 3200, Prefix: promptDigests(1, 1, 40, 50)}
	choice, err := r.Choose(start, first)
	require.NoError(t, err)
	r.Finish(start, choice.Upstream.Name, first, Succeeded, time.Second)
	later := start.Add(5 * time.Second)
	second := Query{Target: "quote-model", PromptTokens: 3200, Prefix: promptDigests(1, 2, 40, 50)}
	again, err := r.Choose(later, second)
	require.NoError(t, err)
	require.Equal(t, choice.Upstream.Name, again.Upstream.Name)
	require.Greater(t, again.CachedTokens, contractor.Tokens(1900))
}

// TestCacheEventsDetermineCachedTokens guards against trust in cached prefixes
// after lost events, restarts and evictions.
func TestCacheEventsDetermineCachedTokens(t *testing.T) {
	prefix := promptDigests(1, 1, 40, 40)
	query := Query{Target: "quote-model", PromptTokens: 4000, Prefix: prefix}
	tests := []struct {
		name   string
		events []CacheEvent
		cached contractor.Tokens
	}{
		{"stored", []CacheEvent{{Sequence: 1, Stored: prefix}}, 4000},
		{"gap afterwards", []CacheEvent{{Sequence: 1, Stored: prefix}, {Sequence: 3}}, 3600},
		{"late event is no gap", []CacheEvent{{Sequence: 7, Stored: prefix}, {Sequence: 6}}, 4000},
		{"restart", []CacheEvent{{Sequence: 7, Stored: prefix}, {Sequence: 1}}, 0},
		{"evicted", []CacheEvent{{Sequence: 1, Stored: prefix}, {Sequence: 2, Evicted: prefix}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRouter(1)
			for _, e := range tt.events {
				e.Upstream = "runner-0"
				r.ApplyCacheEvent(start, e)
			}
			choice, err := r.Choose(start, query)
			require.NoError(t, err)
			require.Equal(t, tt.cached, choice.CachedTokens)
		})
	}
}

// TestEjectionsAreLimitedAndExpire guards against refusing every request when all
// upstreams fail, and against ejections that never end.
func TestEjectionsAreLimitedAndExpire(t *testing.T) {
	r := newRouter(5)
	query := Query{Target: "quote-model"}
	for _, u := range engines(2) {
		r.Finish(start, u.Name, query, Crashed, 0)
		r.Finish(start, u.Name, query, Crashed, 0)
	}
	for range 50 {
		choice, err := r.Choose(start, query)
		require.NoError(t, err)
		require.NotContains(t, []string{"runner-0", "runner-1"}, choice.Upstream.Name)
	}
	for i, u := range engines(5) {
		require.Equal(t, i < 2, r.Snapshot(start)[i].Ejected, u.Name)
		r.Finish(start, u.Name, query, Crashed, 0)
		r.Finish(start, u.Name, query, Crashed, 0)
	}
	_, err := r.Choose(start, query)
	require.NoError(t, err, "ejections must not empty the pool")
	require.False(t, r.Snapshot(start.Add(maxEjection))[0].Ejected)
	r.Finish(start.Add(maxEjection), "runner-0", query, Succeeded, time.Second)
	require.False(t, r.Snapshot(start)[0].Ejected)
}

// TestExclusiveRequestGetsIdleUpstream guards against running a request that may
// crash its upstream beside other requests.
func TestExclusiveRequestGetsIdleUpstream(t *testing.T) {
	r := newRouter(2)
	r.ApplyLoadReport(start, LoadReport{Upstream: "runner-0", Running: 1, ReceivedAt: start})
	exclusive := Query{Target: "quote-model", Exclusive: true}
	choice, err := r.Choose(start, exclusive)
	require.NoError(t, err)
	require.Equal(t, "runner-1", choice.Upstream.Name)
	_, err = r.Choose(start, exclusive)
	require.Error(t, err)
	for range 10 {
		choice, err = r.Choose(start, Query{Target: "quote-model"})
		require.NoError(t, err)
		require.Equal(t, "runner-0", choice.Upstream.Name)
	}
}

// TestLoadReportIncludesEarlierRequests guards against counting a request twice:
// once in the report of the upstream and once as started by this daemon.
func TestLoadReportIncludesEarlierRequests(t *testing.T) {
	r := newRouter(1)
	query := Query{Target: "quote-model", PromptTokens: 100}
	_, err := r.Choose(start, query)
	require.NoError(t, err)
	_, err = r.Choose(start.Add(2*time.Second), query)
	require.NoError(t, err)
	r.ApplyLoadReport(start, LoadReport{Upstream: "runner-0", Running: 5, ReceivedAt: start.Add(2 * time.Second), Age: time.Second})
	n := r.node("runner-0")
	require.EqualValues(t, 6, n.estimatedRequests(r.instant(start.Add(2*time.Second))))
	require.EqualValues(t, 2, n.estimatedRequests(r.instant(start.Add(time.Minute))), "a stale report is ignored")
}

// TestPinnedUpstreamIsChosenWhileOpen guards against ignoring Pin, and against
// choosing a pinned upstream whose VM is unavailable.
func TestPinnedUpstreamIsChosenWhileOpen(t *testing.T) {
	r := newRouter(20)
	query := Query{Target: "quote-model", Pin: "runner-7"}
	for range 5 {
		choice, err := r.Choose(start, query)
		require.NoError(t, err)
		require.Equal(t, "runner-7", choice.Upstream.Name)
	}
	r.SetUnavailableVMs(map[contractor.VM]bool{"vm-7": true})
	choice, err := r.Choose(start, query)
	require.NoError(t, err)
	require.NotEqual(t, "runner-7", choice.Upstream.Name)
}

// A stream that resumes must not go to an engine with another software version, however idle it is.
func TestResumedStreamKeepsItsSoftwareVersion(t *testing.T) {
	r := New(Config{Zone: "gulf-south-a"})
	list := engines(4)
	for i := range list {
		list[i].Software = fmt.Sprint("v", i%2)
	}
	r.SetUpstreams(start, list)
	q := Query{Target: "quote-model", Resume: true, Software: "v1"}
	for range 20 {
		c, err := r.Choose(start, q)
		require.NoError(t, err)
		require.Equal(t, "v1", c.Upstream.Software)
	}
	q.Software = ""
	_, err := r.Choose(start, q)
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, refuser.NoUpstream, refusal.Reason)
	q.Resume = false
	_, err = r.Choose(start, q)
	require.NoError(t, err)
}
