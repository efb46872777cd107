package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumline/contractor"
	"laburnumline/router"
)

// baseline is a standard load-balancing policy without knowledge of prefixes. It
// receives the same delayed reports as the router.
type baseline struct {
	kind      string
	random    *rand.Rand
	next      int
	reported  []int
	observed  []time.Time
	sentSince [][]time.Time
	inFlight  []int
}

func newBaseline(kind string) func(int, uint64) policy {
	return func(runners int, seed uint64) policy {
		b := &baseline{kind: kind, random: rand.New(rand.NewPCG(seed, 2))}
		b.next = b.random.IntN(runners)
		b.reported, b.inFlight = make([]int, runners), make([]int, runners)
		b.observed, b.sentSince = make([]time.Time, runners), make([][]time.Time, runners)
		return b
	}
}

func (b *baseline) choose(now time.Time, _ router.Query) int {
	choice := 0
	switch b.kind {
	case "random":
		choice = b.random.IntN(len(b.reported))
	case "round_robin":
		b.next++
		choice = b.next % len(b.reported)
	case "least_requests":
		choice = b.least(func(i int) int { return b.reported[i] + len(b.sentSince[i]) })
	case "least_in_flight":
		choice = b.least(func(i int) int { return b.inFlight[i] })
	}
	b.sentSince[choice] = append(b.sentSince[choice], now)
	b.inFlight[choice]++
	return choice
}

// least returns a runner with the lowest load, a random one if several are equal.
func (b *baseline) least(load func(int) int) int {
	best, ties := 0, 0
	for i := range b.reported {
		switch {
		case ties == 0 || load(i) < load(best):
			best, ties = i, 1
		case load(i) == load(best):
			ties++
			if b.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (b *baseline) finish(_ time.Time, j *job) { b.inFlight[j.runner]-- }

func (b *baseline) report(now time.Time, i, running, queued int, age time.Duration) {
	b.reported[i] = running + queued
	observedAt := now.Add(-age)
	for len(b.sentSince[i]) > 0 && !b.sentSince[i][0].After(observedAt) {
		b.sentSince[i] = b.sentSince[i][1:]
	}
}

func (b *baseline) cache(time.Time, router.CacheEvent) {}

// routerPolicy is the policy that uses the router.
type routerPolicy struct {
	router *router.Router
	index  map[string]int
}

func newRouterPolicy(runners int, seed uint64) policy {
	return newRouterPolicyWith(router.Config{})(runners, seed)
}

func newRouterPolicyWith(c router.Config) func(int, uint64) policy {
	return func(runners int, seed uint64) policy {
		c := c
		c.Zone, c.Seed = "a", seed
		p := &routerPolicy{router: router.New(c), index: make(map[string]int)}
		p.router.SetUpstreams(epoch, announced(runners))
		for i := range runners {
			p.index[runnerName(i)] = i
		}
		return p
	}
}

func announced(n int) []contractor.Upstream {
	list := make([]contractor.Upstream, n)
	for i := range list {
		list[i] = contractor.Upstream{Name: runnerName(i), Zone: "a", Models: []string{"quote-model"}}
	}
	return list
}

func (p *routerPolicy) choose(now time.Time, q router.Query) int {
	choice, err := p.router.Choose(now, q)
	if err != nil {
		panic(err)
	}
	return p.index[choice.Upstream.Name]
}

func (p *routerPolicy) finish(now time.Time, j *job) {
	p.router.Finish(now, runnerName(j.runner), j.query, router.Succeeded, seconds(j.firstTokenAt-j.sentAt))
}

func (p *routerPolicy) report(now time.Time, i, running, queued int, age time.Duration) {
	p.router.ApplyLoadReport(now, router.LoadReport{Upstream: runnerName(i), Running: running, Queued: queued, ReceivedAt: now, Age: age})
}

func (p *routerPolicy) cache(now time.Time, e router.CacheEvent) { p.router.ApplyCacheEvent(now, e) }

const (
	benchRunners = 20
	benchDaemons = 7
	benchWarmup  = 40.0  // seconds
	benchEnd     = 160.0 // seconds
	benchSeed    = 11
)

// capacityOf returns the rate per second that saturated runners complete under round-robin.
func capacityOf(groups int) float64 {
	f := newFleet(benchSeed, benchRunners, benchDaemons, newBaseline("round_robin"))
	return f.measure(newWorkload(groups), 400, benchWarmup, benchEnd).rate
}

// BenchmarkRouting compares the time to the first token of several policies, at
// fractions of the capacity that round-robin reaches.
func BenchmarkRouting(b *testing.B) {
	kinds := []struct {
		name   string
		policy func(int, uint64) policy
	}{
		{"random", newBaseline("random")},
		{"round_robin", newBaseline("round_robin")},
		{"least_requests", newBaseline("least_requests")},
		{"least_in_flight", newBaseline("least_in_flight")},
		{"router", newRouterPolicy},
	}
	cases := []struct {
		groups  int
		load    float64
		daemons int
		slow    int
	}{
		{200, 0.8, benchDaemons, 0},
		{0, 0.8, benchDaemons, 0},
		{200, 0.95, benchDaemons, 0},
		{200, 0.8, 1, 0},
		{200, 0.7, benchDaemons, 2},
		{0, 0.7, benchDaemons, 2},
	}
	for _, c := range cases {
		rate := c.load * capacityOf(c.groups)
		for _, k := range kinds {
			name := fmt.Sprintf("groups=%d/load=%g/daemons=%d/slow=%d/%s", c.groups, c.load, c.daemons, c.slow, k.name)
			b.Run(name, func(b *testing.B) { benchmarkPolicy(b, k.policy, c.groups, c.daemons, c.slow, rate) })
		}
	}
}

func benchmarkPolicy(b *testing.B, policy func(int, uint64) policy, groups, daemons, slow int, rate float64) {
	var p95, p50, hitPercent, spread, load float64
	for i := range b.N {
		f := newFleet(benchSeed+uint64(i), benchRunners, daemons, policy)
		for _, r := range f.runners[:slow] {
			r.speed = 0.5
		}
		r := f.measure(newWorkload(groups), rate, benchWarmup, benchEnd)
		p95 += percentile(r.firstTokens, 0.95) * 1000
		p50 += percentile(r.firstTokens, 0.5) * 1000
		hitPercent += 100 * float64(r.cached) / float64(r.prompt)
		spread += r.spread()
		load += r.load()
	}
	n := float64(b.N)
	b.ReportMetric(p95/n, "ttft_p95_ms")
	b.ReportMetric(p50/n, "ttft_p50_ms")
	b.ReportMetric(hitPercent/n, "cache_hit_pct")
	b.ReportMetric(spread/n, "load_spread")
	b.ReportMetric(load/n, "mean_load")
	b.ReportMetric(rate, "offered_per_s")
}

// BenchmarkChoose measures one choice.
func BenchmarkChoose(b *testing.B) {
	for _, runners := range []int{20, 4700} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) { benchmarkChoose(b, runners) })
	}
}

func benchmarkChoose(b *testing.B, runners int) {
	const batch = 1024
	r := router.New(router.Config{Zone: "a"})
	r.SetUpstreams(epoch, announced(runners))
	w, random := newWorkload(200), rand.New(rand.NewPCG(1, 1))
	queries, chosen := make([]router.Query, batch), make([]string, batch)
	for i := range queries {
		queries[i] = w.next(random).query
	}
	at := epoch
	b.ReportAllocs()
	for i := range b.N {
		k := i % batch
		if k == 0 {
			b.StopTimer()
			for j, name := range chosen {
				r.Finish(at, name, queries[j], router.Succeeded, time.Second)
			}
			for j := range runners {
				r.ApplyLoadReport(at, router.LoadReport{Upstream: runnerName(j), Running: j % 20, ReceivedAt: at})
			}
			b.StartTimer()
		}
		at = at.Add(time.Millisecond)
		choice, err := r.Choose(at, queries[k])
		if err != nil {
			b.Fatal(err)
		}
		chosen[k] = choice.Upstream.Name
	}
}
