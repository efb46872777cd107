// Package balancer chooses the upstream that executes a request.
//
// Inference engines cache the prompts that they have processed (prefix caching), and the
// prefill of a long prompt costs more than anything else. A request should therefore go to
// an upstream that probably has the parts of its prompt cached. A prompt part is one
// identified segment of a prompt's prefix. Rendezvous hashing of the last part that a
// prompt shares with other requests ranks the upstreams, in the same order on every daemon
// and without communication. The first one is the preferred upstream of the part. Another
// one is chosen if the preferred upstream is so busy that waiting there costs more than
// prefill elsewhere:
//
//	cost = load of the upstream + weighted prefill time of the parts that are not cached there
//
// A part counts as cached at the upstreams to which daemons have recently sent it; daemons
// announce this to each other (package announcer). Of any other part, half counts as cached
// at the preferred upstream. The load consists of the requests and prefill that all daemons
// have in flight at the upstream and of the load that the upstream reported, as a time.
// Cost and predicted time to first byte are multiplied by how slow the upstream is relative to its
// service, as learned from responses and as reported. Work that is less urgent than the request does not
// count, and upstreams whose memory the request may exceed are left out while another has room.
// Requests to plain services, which have no engine, go to the upstream with the fewest
// requests, with a preference for the own availability zone.
//
// Upstreams that state a request limit (package throttler) get no request that would exceed
// it, even if all others are ejected.
//
// Brittle upstreams, which fail when they have to reject many requests, get only requests for which
// they have a slot, and few at a time that they have not accepted yet.
//
// A request is refused at once if all upstreams have just rejected others, or if its response cannot
// begin before its deadline. docs/design/upstream-choice.md describes the rules.
//
// Upstreams that fail are ejected for a time that doubles with each consecutive failure. If
// more than half of a service would be ejected, all its upstreams are used again, because a
// fault that all of them show must not leave the service without upstreams.
//
//	b := balancer.New(balancer.Config{Zone: "gulf-south-a"})
//	choice, ok := b.Choose(now, balancer.Query{Candidates: list, Parts: parts})
//	...
//	b.ResponseStarted(now, &choice, balancer.Start{FirstByte: true})
//	...
//	b.End(now, &choice, balancer.Result{Outcome: balancer.Served})
package balancer

import (
	"fmt"
	"iter"
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"laburnumline/announcer"
	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/throttler"
)

// Part is a prompt part. Requests with a common prefix share parts.
type Part struct {
	ID     uint64
	Tokens int64
}

// Query describes a request that needs an upstream.
type Query struct {
	// Candidates are the upstreams of the service.
	Candidates []registrar.Upstream
	// Parts are the parts of the prompt in order. The last one is specific to the request.
	Parts []Part
	// Engine is true for services whose load is counted in tokens.
	Engine bool
	// Tokens is the length of the prompt.
	Tokens int64
	// MaxOutput is the maximum number of output tokens, and Memory how many tokens an upstream holds, or
	// zero if that is unknown.
	MaxOutput, Memory int64
	// Priority is from 0 to 9. Upstreams process requests with a lower number first.
	Priority int
	// TimeLeft is the time until the deadline of the caller, or zero if there is none.
	TimeLeft time.Duration
	// Account is the client account, or empty.
	Account contractor.Account
	// Started is true if a part of the response has been delivered. The request is then not refused
	// while an upstream is left, because that would break the response.
	Started bool
	// Streamed is true if the response is expected to begin when the prompt has been processed. A
	// long wait for it then shows that the upstream is slow.
	Streamed bool
	// Exclude holds the upstreams that were already tried for the request.
	Exclude []registrar.Name
	// Second is true for a second send of a request that is in flight at an excluded upstream. It gets no
	// upstream that is restricted or ejected or has no room, and its refusal has no Retry-After.
	Second bool
}

// Outcome is how a request ended at an upstream.
type Outcome uint8

const (
	// Served means that a complete response was received.
	Served Outcome = iota
	// Full means that the upstream had no capacity and did not execute the request.
	Full
	// Failed means that the upstream failed the request or broke off the response.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misdirected means that another upstream has the address now.
	Misdirected
	// Abandoned means that the caller or the daemon cancelled the request.
	Abandoned
)

// String returns the name for logs.
func (o Outcome) String() string {
	names := [...]string{"served", "full", "failed", "unreachable", "misdirected", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Result is the result of a request at an upstream.
type Result struct {
	Outcome Outcome
	// Overtaken is true for an Abandoned request that another upstream has answered first. The time to its
	// first byte would have been longer than it has waited.
	Overtaken bool
}

// Start describes the beginning of an upstream's response.
type Start struct {
	// Load is the load that the upstream reported in the response.
	Load Load
	// FirstByte is true if the response begins when the prompt has been processed. That is
	// not so for rejections, and for responses that are sent only when they are complete.
	FirstByte bool
}

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream registrar.Upstream
	// FirstByte is the predicted time to the first byte of the response. It is zero for plain
	// services.
	FirstByte time.Duration
	// chosenAt, work and slowdown are what the prediction began with.
	id       uint64
	chosenAt time.Time
	work     work
	slowdown float64
	// prefill is the prefill time of the prompt parts that are not cached at the upstream. It counts
	// there under the priority, and tokens count as committed.
	prefill  time.Duration
	priority int
	tokens   int64
	// started is true once the response has started.
	started bool
	// Reason and RetryAfter are set if no upstream was chosen: why, and the expected time until one
	// accepts the request.
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// prefillTokensPerSecond is the assumed prefill rate of an engine. The platform's engines
	// process 54,600 tokens per second, and fewer while they generate streams.
	prefillTokensPerSecond = 45_000.0
	// prefillWeight is the cost of prefill relative to waiting for the same time. Prefill
	// delays all requests at the upstream, and the cached copy displaces other parts.
	prefillWeight = 5
	// requestCost is the delay that one request at an upstream causes for the next one,
	// apart from its prefill.
	requestCost = 12 * time.Millisecond
	// partLifetime is how long a part counts as cached after it was sent to an upstream.
	// Engines evict parts when their memory is full.
	partLifetime = 30 * time.Second
	// maxParts limits the parts that are recorded for one upstream.
	maxParts = 512
	// minEjection doubles with each consecutive failure up to maxEjection. A crashed
	// upstream is back after a few seconds.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// failuresToEject is the number of consecutive failed requests after which an upstream
	// is ejected. Healthy upstreams fail single requests.
	failuresToEject = 2
)

// Limits keeps the request limits that upstreams state.
type Limits interface {
	Allows(now time.Time, id throttler.ID) bool
	Take(now time.Time, id throttler.ID) bool
	IsStale(now time.Time, id throttler.ID) bool
	RetryAfter(now time.Time, ids iter.Seq[throttler.ID]) time.Duration
	// MaxPending limits the requests of this daemon that an upstream has not accepted yet. Zero means
	// no limit, a negative number that this daemon sends it none.
	MaxPending(now time.Time, service string, upstreams int, id throttler.ID, freeSlots int) int
	// IsRestricted reports whether an upstream has a limit or a pause, is cold or brittle.
	IsRestricted(now time.Time, service string, id throttler.ID) bool
	// Snapshot returns a copy, for Explain.
	Snapshot() *throttler.Throttler
}

// Config holds what a Balancer needs.
type Config struct {
	Zone string // availability zone of the daemon
	// Limits may be nil, in which case no upstream states a limit.
	Limits   Limits
	Recorder *recorder.Recorder
	// Random returns numbers from 0 to below 1. Nil means rand.Float64.
	Random func() float64
}

// Balancer holds the state of all upstreams as one daemon knows it. It is safe for concurrent
// use.
type Balancer struct {
	config Config

	mu                sync.Mutex
	states            map[registrar.Name]*upstreamState
	byHash            map[uint32]*upstreamState
	pendingPlacements []announcer.Placement
	services          map[resolver.ServiceName]*serviceSpeed
	views             map[resolver.ServiceName]view
	// available and ejected are buffers of candidates.
	available, ejected []candidate
	lastID             uint64
	// memoryAvoided counts choices in which an upstream was left out because its memory would have
	// been exceeded, memoryExceeded those in which that was so at all upstreams.
	memoryAvoided, memoryExceeded metrics.Counter
	// slowAvoided counts requests that would have gone elsewhere if all upstreams were equally fast.
	slowAvoided metrics.Counter
}

// view has the states of a list of upstreams, which saves looking them up for each request.
type view struct {
	list   []registrar.Upstream
	states []*upstreamState
}

// upstreamState is the state of one upstream.
type upstreamState struct {
	// The fields up to waiting are read for each request, which takes longest where memory is slow.
	hash        uint64
	limitID     throttler.ID
	startedAtMs int64
	inFlight    int
	// pending is the number of requests whose response has not started.
	pending int
	// prefill is the prefill time of the requests whose response has not started.
	prefill time.Duration
	// committed is the prompt and maximum output of the requests in flight, in tokens.
	committed int64
	// others holds the load of other daemons by their incarnation. othersPrefill and
	// othersInFlight are its sums, and none of it expires before othersExpire.
	others         map[uint32]remoteLoad
	othersPrefill  time.Duration
	othersInFlight int
	othersExpire   time.Time
	// ejectedUntil is the end of the ejection. It is zero after a served request.
	ejectedUntil time.Time
	// trial is true while one request tests an upstream that was ejected. It keeps other
	// requests away.
	trial    bool
	reported report
	speed    upstreamSpeed
	// parts holds the time at which each part was last sent to the upstream.
	parts map[uint64]time.Time
	// waiting has the requests whose response has not started, oldest first.
	waiting []waitingRequest

	// prefillBy is prefill by priority.
	prefillBy byPriority
	// fullUntil is how long the upstream counts as full after it has rejected a request.
	fullUntil time.Time
	failures  int // consecutive, since the last served request
	// announced is true if the last notice contained requests in flight at the upstream.
	announced bool
}

// waitingRequest is a request whose response has not started.
type waitingRequest struct {
	id       uint64
	chosenAt time.Time
	// predicted is the predicted time to its first byte, or zero if its response is not streamed.
	predicted time.Duration
}

// New returns a Balancer without state.
func New(c Config) *Balancer {
	if c.Limits == nil {
		c.Limits = throttler.New(throttler.Config{})
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &Balancer{
		config: c, states: make(map[registrar.Name]*upstreamState), byHash: make(map[uint32]*upstreamState),
		services: make(map[resolver.ServiceName]*serviceSpeed), views: make(map[resolver.ServiceName]view),
		slowAvoided:    c.Recorder.Counter("balancer.slow_avoided"),
		memoryAvoided:  c.Recorder.Counter("balancer.memory_avoided"),
		memoryExceeded: c.Recorder.Counter("balancer.memory_exceeded"),
	}
}

func (b *Balancer) state(u *registrar.Upstream) *upstreamState {
	s := b.states[u.Name]
	if s == nil || s.startedAtMs != u.StartedAtMs {
		if s != nil {
			delete(b.views, u.Service) // a view with the old state would count requests that never end there
		}
		s = &upstreamState{
			hash: xxhash.Sum64String(string(u.Name)), startedAtMs: u.StartedAtMs, limitID: u.LimitID(),
			parts: make(map[uint64]time.Time), others: make(map[uint32]remoteLoad), speed: newUpstreamSpeed(),
		}
		b.states[u.Name] = s
		b.byHash[uint32(s.hash)] = s
	}
	return s
}

// service returns what is learned about the service of a query.
func (b *Balancer) service(q *Query) *serviceSpeed {
	name := q.Candidates[0].Service
	v := b.services[name]
	if v == nil {
		v = &serviceSpeed{prefill: 1, request: 1}
		b.services[name] = v
	}
	return v
}

// statesOf returns the states of a list of upstreams. They are kept for the next call with the same
// list, which is that of the registrar and is not changed while it is used. Callers check that a
// state is of the upstream's present incarnation.
func (b *Balancer) statesOf(list []registrar.Upstream) []*upstreamState {
	name := list[0].Service
	known := b.views[name]
	if len(known.list) == len(list) && &known.list[0] == &list[0] {
		return known.states
	}
	states := make([]*upstreamState, len(list))
	for i := range list {
		states[i] = b.state(&list[i])
	}
	b.views[name] = view{list: list, states: states}
	return states
}

// affinityKey returns the key for rendezvous hashing: the ID of the last shared part, or of
// the only part.
func affinityKey(parts []Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	return parts[max(len(parts)-2, 0)].ID
}

// The primes of XXH64.
const (
	xxPrime1 = 11400714785074694791
	xxPrime2 = 14029467366897019727
	xxPrime3 = 1609587929392839161
	xxPrime4 = 9650029242287828579
	xxPrime5 = 2870177450012600261
)

// rendezvousWeight returns the weight of an upstream for a key. The upstream with the
// highest weight is the preferred one. It is XXH64 of both numbers in little-endian order, written
// out because it is computed for each upstream and request. All daemons have to use the same function.
func rendezvousWeight(key, upstream uint64) uint64 {
	h := uint64(xxPrime5 + 16)
	for _, v := range [...]uint64{key, upstream} {
		h ^= bits.RotateLeft64(v*xxPrime2, 31) * xxPrime1
		h = bits.RotateLeft64(h, 27)*xxPrime1 + xxPrime4
	}
	h ^= h >> 33
	h *= xxPrime2
	h ^= h >> 29
	h *= xxPrime3
	return h ^ h>>32
}
