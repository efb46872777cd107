// Package router chooses the upstream that runs a request.
//
// A Router knows the announced upstreams, the VM list, the load that upstreams
// reported some time ago, the work that this daemon started and ended since,
// and which upstreams have probably cached which prompt prefixes. From these it
// estimates the time to the first token on each candidate:
//
//	backlog of prompt tokens + prompt tokens that are not cached + work beside it
//
// and chooses the one that this daemon used least recently among the candidates
// that are nearly as good as the best one. Many daemons see the same old reports,
// and if all of them chose the best upstream, it would be the worst a moment
// later. Taking turns spreads the work more evenly than chance does, and every
// daemon begins its turns in an order of its own.
//
// In a small pool every upstream is a candidate. In a large one the candidates
// are the upstreams known to hold the prefix, those that a hash ring assigns to
// it, and a random sample.
//
// Upstreams that fail are ejected for a while, up to a bounded share of their
// pool, so that a fault which all upstreams show does not empty the pool.
//
//	r := router.New(router.Config{Zone: "gulf-south-a"})
//	r.SetUpstreams(now, announced)
//	choice, err := r.Choose(now, router.Query{Target: "quote-model", Prefix: prefix})
//	...
//	r.Finish(now, choice.Upstream.Name, query, router.Succeeded, firstToken)
package router

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/refuser"
)

// Query describes the request that needs an upstream.
type Query struct {
	Kind contractor.Kind
	// Target is the model, adapter or version of an engine, or the plain service.
	Target string
	// Zone is the preferred zone. Empty means the zone of the daemon.
	Zone contractor.Zone
	// Prefix holds chained digests of the prompt's blocks, first block first.
	Prefix       []uint64
	PromptTokens contractor.Tokens
	MaxOutput    contractor.Tokens
	// Priority is above zero for requests that engines run before others.
	Priority int
	// Exclude names the upstreams that were already tried.
	Exclude []string
	// Pin names the upstream to choose if it can run the request. Empty is none.
	Pin string
	// Alone asks for an idle upstream that gets no other work of this daemon meanwhile.
	Alone bool
	// Apart asks for an upstream without another Apart query of this daemon.
	Apart bool
}

// Choice is the upstream that runs a request.
type Choice struct {
	Upstream contractor.Upstream
	// CachedTokens is the part of the prompt that the upstream has probably cached.
	CachedTokens contractor.Tokens
}

// Report is the load that an upstream published some time ago.
type Report struct {
	Upstream string
	// Running is the number of requests in the batch.
	Running int
	// Queued is the number of requests that wait for a place in the batch.
	Queued int
	// PendingTokens is the number of prompt tokens that are not processed yet.
	// Zero with a queue means that the upstream does not report it.
	PendingTokens contractor.Tokens
	// CachedTokens is the number of prompt tokens in the prefix cache.
	CachedTokens contractor.Tokens
	// At is the time of receipt.
	At time.Time
	// Age is how long before At the load was observed.
	Age time.Duration
}

// CacheEvent says which prompt blocks an upstream cached and evicted.
type CacheEvent struct {
	Upstream string
	// Sequence counts the events of one run of an upstream from one. Zero means unknown.
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
}

// Outcome says how the work at an upstream ended.
type Outcome uint8

const (
	// Succeeded means that the whole answer arrived.
	Succeeded Outcome = iota
	// Failed means that the upstream answered with an error of its own.
	Failed
	// Crashed means that the connection broke or could not be made.
	Crashed
	// TimedOut means that no answer arrived in time.
	TimedOut
	// Overloaded means that the upstream refused the work because of its load.
	Overloaded
	// Abandoned means that the caller gave up. It says nothing about the upstream.
	Abandoned
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [...]string{"succeeded", "failed", "crashed", "timed_out", "overloaded", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Config holds the settings of a Router. Zero values mean the defaults.
type Config struct {
	// Zone is the zone of the daemon.
	Zone contractor.Zone
	// Seed makes the choices reproducible. Zero means 1.
	Seed uint64
	// PrefillRate is the number of prompt tokens that an engine processes per second.
	PrefillRate float64
	// RunningCost is the delay of a first token for each request in the batch.
	RunningCost time.Duration
	// OwnCost is the delay of a first token for each request of this daemon at
	// the upstream. It needs no report, so it tells slow upstreams at once.
	OwnCost time.Duration
	// TypicalRun is the time that a request stays in the batch of an engine.
	TypicalRun time.Duration
	// ZoneCost is added for an upstream in another zone.
	ZoneCost time.Duration
	// Spread is the range of estimates above the best one that count as equal to it.
	Spread time.Duration
	// MaxEjected is the largest share of a pool that is ejected at a time.
	MaxEjected float64
	// MaxDigests bounds the prefix blocks that are remembered.
	MaxDigests int
	// Recorder counts ejections and refusals. Nil discards them.
	Recorder *recorder.Recorder
}

// originAge puts the origin of instants long before any time that is passed in,
// so that a zero instant is always in the past.
const originAge = 50 * 365 * 24 * time.Hour

const (
	defaultPrefillRate = 8000 // prompt tokens per second
	defaultRunningCost = 500 * time.Microsecond
	defaultOwnCost     = 6 * time.Millisecond
	defaultTypicalRun  = 2 * time.Second
	defaultZoneCost    = 15 * time.Millisecond
	defaultSpread      = 20 * time.Millisecond
	defaultMaxEjected  = 0.4
	defaultMaxDigests  = 1 << 16
)

func (c Config) withDefaults() Config {
	if c.Seed == 0 {
		c.Seed = 1
	}
	if c.PrefillRate <= 0 {
		c.PrefillRate = defaultPrefillRate
	}
	if c.RunningCost <= 0 {
		c.RunningCost = defaultRunningCost
	}
	if c.OwnCost <= 0 {
		c.OwnCost = defaultOwnCost
	}
	if c.TypicalRun <= 0 {
		c.TypicalRun = defaultTypicalRun
	}
	if c.ZoneCost <= 0 {
		c.ZoneCost = defaultZoneCost
	}
	if c.Spread <= 0 {
		c.Spread = defaultSpread
	}
	if c.MaxEjected <= 0 || c.MaxEjected > 1 {
		c.MaxEjected = defaultMaxEjected
	}
	if c.MaxDigests <= 0 {
		c.MaxDigests = defaultMaxDigests
	}
	return c
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	config   Config
	index    atomic.Pointer[index]
	prefixes *prefixTable
	random   random
	// origin is the time that instants count from.
	origin time.Time
	// prefillTime is the time in nanoseconds for one prompt token.
	prefillTime float64

	// mu guards the set of upstreams, not their state.
	mu     sync.Mutex
	nodes  map[string]*node
	gone   map[contractor.VM]bool
	nextID int32
}

// New returns a router without upstreams.
func New(c Config) *Router {
	c = c.withDefaults()
	r := &Router{
		config:   c,
		origin:   time.Now().Add(-originAge),
		prefixes: newPrefixTable(c.MaxDigests),
		nodes:    make(map[string]*node),
	}
	r.prefillTime = float64(time.Second) / c.PrefillRate
	r.random.state.Store(c.Seed)
	r.index.Store(&index{})
	return r
}

// Choose returns the upstream that should run a request and counts the request
// as work in flight there. The caller ends the work with Finish.
func (r *Router) Choose(now time.Time, q Query) (Choice, error) {
	index := r.index.Load()
	pool := index.pool(q.Kind, q.Target)
	if pool == nil {
		return Choice{}, r.refuse(q, "no upstream serves it")
	}
	if q.Zone == "" {
		q.Zone = r.config.Zone
	}
	c := candidates{zone: index.zone(q.Zone)}
	at := r.instant(now)
	if q.Pin == "" || !pool.pin(index.byName[q.Pin], &q, &c) {
		r.collect(pool, &q, &c)
	}
	r.score(at, pool, &q, &c)
	for {
		x := r.pick(&c)
		if x == nil {
			return Choice{}, r.refuse(q, "every upstream is excluded, leaving, ejected or busy")
		}
		if !x.node.begin(at, &q, x.prefill) {
			x.estimate = never
			c.findBest()
			continue
		}
		r.prefixes.store(q.Prefix, x.level, x.node)
		cached := contractor.Tokens(float64(q.PromptTokens) * x.cached)
		return Choice{Upstream: *x.node.upstream.Load(), CachedTokens: cached}, nil
	}
}

func (r *Router) refuse(q Query, detail string) error {
	r.config.Recorder.Count("router.no_upstream", 1)
	refusal := refuser.New(refuser.NoUpstream, "choose").WithRetryAfter(time.Second)
	return refusal.WithDetail("%s %q: %s", q.Kind, q.Target, detail)
}

// Finish ends work that Choose started. The time to the first token is zero
// when there was none.
func (r *Router) Finish(now time.Time, upstream string, q Query, o Outcome, firstToken time.Duration) {
	n := r.node(upstream)
	if n == nil {
		return
	}
	event := n.finish(r.instant(now), &q, o, firstToken)
	if event == healthUnchanged {
		return
	}
	code := recorder.UpstreamEjected
	if event == healthRecovered {
		code = recorder.UpstreamRecovered
	}
	r.config.Recorder.Event(code, "upstream", upstream, "outcome", o)
}

// Report takes in the load of an upstream.
func (r *Router) Report(now time.Time, report Report) {
	n := r.node(report.Upstream)
	if n == nil {
		return
	}
	if report.At.IsZero() {
		report.At = now
	}
	n.report(report, r.instant(report.At.Add(-report.Age)))
}

// Cache takes in a cache event. A gap in the sequence makes what was known of
// the upstream's cache doubtful; a restart makes it worthless.
func (r *Router) Cache(_ time.Time, e CacheEvent) {
	n := r.node(e.Upstream)
	if n == nil {
		return
	}
	if n.sequenceGap(e.Sequence) {
		r.config.Recorder.Count("router.cache_event_gap", 1)
	}
	r.prefixes.apply(e, n)
}

func (r *Router) node(name string) *node {
	if n := r.index.Load().byName[name]; n != nil {
		return n
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[name]
}

// random is a generator of random numbers for concurrent use.
type random struct{ state atomic.Uint64 }

func (r *random) next() uint64 { return mix(r.state.Add(0x9e3779b97f4a7c15)) }

// below returns a number from 0 to n-1.
func (r *random) below(n int) int { return int((r.next() >> 32) * uint64(n) >> 32) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
