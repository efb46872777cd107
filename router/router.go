// Package router chooses the upstream that runs a request.
//
// For each upstream, a Router knows whether its VM takes new requests, the last
// reported load, the requests that this daemon started and ended there since, and
// the prompt prefixes that it has probably cached. From these it estimates the
// time to the first token on each candidate, as the sum of
//
//   - the wait for prompts and requests that are queued there already
//   - the processing time of the prompt tokens that are not cached
//   - the delay caused by the other requests in the batch
//   - a fixed cost if the upstream is in another zone
//
// Among the candidates with nearly the lowest estimate, it chooses the one that
// this daemon used least recently. All daemons see the same outdated reports: if
// each of them chose the lowest estimate, they would all overload the same
// upstream. Rotation distributes requests more evenly than a random choice, and
// each daemon starts with its own random order.
//
// A pool is the set of upstreams that serve one target. In a small pool every
// upstream is a candidate. In a large one the candidates are the upstreams known
// to have the prefix cached, those that a hash ring assigns to the prefix, and a
// random sample.
//
// Upstreams that fail are ejected: they get no requests for a limited time. If
// more than a configured fraction of the candidates is ejected, the ejections are
// ignored, so a fault that affects all upstreams does not empty the pool.
//
//	r := router.New(router.Config{Zone: "gulf-south-a"})
//	r.SetUpstreams(now, announced)
//	choice, err := r.Choose(now, router.Query{Target: "quote-model", Prefix: prefix})
//	...
//	r.Finish(now, choice.Upstream.Name, query, router.Succeeded, firstToken)
package router

import (
	"fmt"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/throttler"
)

// Query describes a request that needs an upstream.
type Query struct {
	Kind contractor.Kind
	// Target is the model, adapter or version of an engine, or the plain service.
	Target string
	// Zone is the preferred zone. Empty means the zone of the daemon.
	Zone contractor.Zone
	// Prefix holds the digests of the prompt's blocks in order. Each digest also
	// covers all blocks before it.
	Prefix       []uint64
	PromptTokens contractor.Tokens
	MaxOutput    contractor.Tokens
	// Priority is above zero for requests that engines schedule before others.
	Priority int
	// Resume requires an upstream with the version Software.
	Resume   bool
	Software string
	// Exclude names the upstreams that were already tried.
	Exclude []string
	// Pin names an upstream. If that one is open, serves the target and is not in
	// Exclude, it is the only candidate. Empty means no preference.
	Pin string
	// Exclusive requires an idle upstream, to which this daemon sends no other
	// request at the same time.
	Exclusive bool
	// AntiAffinity requires an upstream at which this daemon has no other
	// AntiAffinity request in flight.
	AntiAffinity bool
}

// Choice is the upstream that runs a request.
type Choice struct {
	Upstream contractor.Upstream
	// CachedTokens is the number of prompt tokens that the upstream has probably cached.
	CachedTokens contractor.Tokens
}

// LoadReport is the load that an upstream published.
type LoadReport struct {
	Upstream string
	// Running is the number of requests in the batch.
	Running int
	// Queued is the number of requests that wait for a slot in the batch.
	Queued int
	// PendingTokens is the number of prompt tokens that are not processed yet.
	// If it is zero although there is a queue, the upstream does not report it.
	PendingTokens contractor.Tokens
	// CachedTokens is the number of prompt tokens in the prefix cache.
	CachedTokens contractor.Tokens
	// ReceivedAt is the time at which this daemon received the report. Zero means now.
	ReceivedAt time.Time
	// Age is the time from the observation of the load to ReceivedAt.
	Age time.Duration
}

// CacheEvent names the prompt blocks that an upstream has cached and evicted.
type CacheEvent struct {
	Upstream string
	// Sequence numbers the events since the upstream started, from one. Zero
	// means unknown.
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
}

// Outcome is how a request ended at an upstream.
type Outcome uint8

const (
	// Succeeded means that the complete response arrived.
	Succeeded Outcome = iota
	// Failed means that the upstream returned an error.
	Failed
	// Crashed means that the connection broke or could not be made.
	Crashed
	// TimedOut means that the response did not arrive before the deadline.
	TimedOut
	// Overloaded means that the upstream refused the request because of its load.
	Overloaded
	// Abandoned means that the caller cancelled the request. It does not affect
	// the upstream's health.
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
	// Seed initialises the random numbers and makes the choices reproducible. Zero
	// means 1.
	Seed uint64
	// PrefillRate is the number of prompt tokens that an engine processes per second.
	PrefillRate float64
	// RunningCost is the delay of a first token per request in the batch.
	RunningCost time.Duration
	// InFlightCost is the additional delay per request of this daemon at the
	// upstream. Requests accumulate at a slow upstream, so it detects one before
	// the next load report.
	InFlightCost time.Duration
	// TypicalRequestTime is the time that a request stays in the batch of an engine.
	TypicalRequestTime time.Duration
	// CrossZoneCost is added to the estimate of an upstream in another zone.
	CrossZoneCost time.Duration
	// EstimateTolerance is the difference up to which an estimate counts as equal
	// to the lowest one.
	EstimateTolerance time.Duration
	// MaxEjectedFraction is the largest fraction of the candidates that is excluded
	// because of ejections. One may always be, if the pool has more than one.
	MaxEjectedFraction float64
	// MaxDigests limits the number of prefix blocks kept in memory.
	MaxDigests int
	// Limits keeps the request limits that upstreams state. Nil means that they state none.
	Limits Limits
	// Recorder counts ejections and refusals. Nil discards them.
	Recorder *recorder.Recorder
}

// Limits keeps the request limits that upstreams state.
type Limits interface {
	Allows(now time.Time, id throttler.ID) bool
	Take(now time.Time, id throttler.ID) bool
	IsStale(now time.Time, id throttler.ID) bool
	RetryAfter(now time.Time, ids iter.Seq[throttler.ID]) time.Duration
}

// originAge is the age of Router.origin when the router is created. It is longer
// than that of any time passed in, so a zero instant is always in the past.
const originAge = 50 * 365 * 24 * time.Hour

const (
	defaultPrefillRate        = 8000 // prompt tokens per second
	defaultRunningCost        = 500 * time.Microsecond
	defaultInFlightCost       = 6 * time.Millisecond
	defaultTypicalRequestTime = 2 * time.Second
	defaultCrossZoneCost      = 15 * time.Millisecond
	defaultEstimateTolerance  = 20 * time.Millisecond
	defaultMaxEjectedFraction = 0.4
	defaultMaxDigests         = 1 << 16
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
	if c.InFlightCost <= 0 {
		c.InFlightCost = defaultInFlightCost
	}
	if c.TypicalRequestTime <= 0 {
		c.TypicalRequestTime = defaultTypicalRequestTime
	}
	if c.CrossZoneCost <= 0 {
		c.CrossZoneCost = defaultCrossZoneCost
	}
	if c.EstimateTolerance <= 0 {
		c.EstimateTolerance = defaultEstimateTolerance
	}
	if c.MaxEjectedFraction <= 0 || c.MaxEjectedFraction > 1 {
		c.MaxEjectedFraction = defaultMaxEjectedFraction
	}
	if c.MaxDigests <= 0 {
		c.MaxDigests = defaultMaxDigests
	}
	if c.Limits == nil {
		c.Limits = throttler.New(throttler.Config{})
	}
	return c
}

// Router chooses upstreams. It is safe for concurrent use.
type Router struct {
	config   Config
	index    atomic.Pointer[index]
	prefixes *prefixTable
	random   random
	// origin is the time of instant zero.
	origin time.Time
	// prefillTime is the processing time of one prompt token in nanoseconds.
	prefillTime float64

	// mu guards the set of upstreams, not their state.
	mu             sync.Mutex
	nodes          map[string]*node
	unavailableVMs map[contractor.VM]bool
	nextID         int32
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
// as in flight there until the caller calls Finish.
func (r *Router) Choose(now time.Time, q Query) (Choice, error) {
	index := r.index.Load()
	pool := index.pool(q.Kind, q.Target)
	if pool == nil {
		return Choice{}, r.refuse(now, q, nil)
	}
	if q.Zone == "" {
		q.Zone = r.config.Zone
	}
	c := candidates{zone: index.zone(q.Zone)}
	at := r.instant(now)
	if q.Pin == "" || !pool.pin(index.byName[q.Pin], &q, &c) {
		r.collectCandidates(pool, &q, &c)
	}
	r.score(at, pool, &q, &c)
	if c.best == ineligible {
		r.collectAdmitting(at, pool, &q, &c)
		r.score(at, pool, &q, &c)
	}
	for {
		x := r.pick(&c)
		if x == nil {
			return Choice{}, r.refuse(now, q, pool)
		}
		if !r.config.Limits.Take(now, x.node.limitID) || !x.node.begin(at, &q, x.prefill) {
			x.estimate = ineligible
			c.findBest()
			continue
		}
		r.prefixes.store(q.Prefix, x.cachedBlocks, x.node)
		cached := contractor.Tokens(float64(q.PromptTokens) * x.cachedFraction)
		return Choice{Upstream: *x.node.upstream.Load(), CachedTokens: cached}, nil
	}
}

// refuse returns the refusal of a request that no upstream of the pool may run. The pool is nil if
// no upstream serves the target.
func (r *Router) refuse(now time.Time, q Query, p *pool) error {
	r.config.Recorder.Count("router.no_upstream", 1)
	if p == nil {
		return refuser.New(refuser.NoUpstream, "choose").WithRetryAfter(time.Second).WithDetail("%s %q: no upstream serves it", q.Kind, q.Target)
	}
	if retryAfter := r.config.Limits.RetryAfter(now, p.limitIDs()); retryAfter > 0 {
		return refuser.New(refuser.UpstreamLimited, "choose").WithRetryAfter(retryAfter).WithDetail("%s %q: no upstream accepts more requests", q.Kind, q.Target)
	}
	return refuser.New(refuser.NoUpstream, "choose").WithRetryAfter(time.Second).
		WithDetail("%s %q: every upstream is excluded, leaving, ejected or busy", q.Kind, q.Target)
}

// Finish records the end of a request that Choose placed. firstToken is the time
// to the first token, or zero if there was none.
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

// ApplyLoadReport updates the load of an upstream.
func (r *Router) ApplyLoadReport(now time.Time, report LoadReport) {
	n := r.node(report.Upstream)
	if n == nil {
		return
	}
	if report.ReceivedAt.IsZero() {
		report.ReceivedAt = now
	}
	n.applyReport(report, r.instant(report.ReceivedAt.Add(-report.Age)))
}

// ApplyCacheEvent updates what is known about the cache of an upstream. A gap in
// the sequence numbers reduces the confidence in earlier events; a restart of the
// upstream invalidates them.
func (r *Router) ApplyCacheEvent(_ time.Time, e CacheEvent) {
	n := r.node(e.Upstream)
	if n == nil {
		return
	}
	if n.recordSequence(e.Sequence) {
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

// random is a random number generator that is safe for concurrent use.
type random struct{ state atomic.Uint64 }

func (r *random) next() uint64 { return mix(r.state.Add(0x9e3779b97f4a7c15)) }

// intN returns a random number from 0 to n-1.
func (r *random) intN(n int) int { return int((r.next() >> 32) * uint64(n) >> 32) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
