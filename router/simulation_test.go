package router_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumline/contractor"
	"laburnumline/router"
)

// A queueing model of a fleet for the benchmarks: runners with continuous batching
// and prefix caches, daemons that receive load reports with a delay, and Poisson
// arrivals. Times are seconds since the start, and durations are in seconds.

const (
	blockTokens   = 64
	maxBatch      = 32
	chunkTokens   = 512 // maximum of prompt tokens per step, for 75 ms between tokens
	stepBase      = 0.012
	stepDecode    = 0.00025
	stepPrefill   = 0.0001
	cacheBlocks   = 1500
	reportPeriod  = 0.25
	reportAge     = 1.0
	eventPeriod   = 0.2
	maxEventDelay = 0.5
	eventLoss     = 0.02
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func clock(at float64) time.Time { return epoch.Add(time.Duration(at * float64(time.Second))) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// job is one request in the model.
type job struct {
	query        router.Query
	daemon       int
	runner       int
	output       int
	arrivedAt    float64
	sentAt       float64
	firstTokenAt float64
	prefill      int
	cached       int
	decoded      int
	done         func(at float64, j *job)
}

type event struct {
	at  float64
	run func(at float64)
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// simulation runs events in the order of their times.
type simulation struct {
	random *rand.Rand
	events eventHeap
	now    float64
}

func (w *simulation) schedule(t float64, run func(at float64)) { heap.Push(&w.events, event{t, run}) }

func (w *simulation) run(until float64) {
	for len(w.events) > 0 && w.events[0].at < until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run(e.at)
	}
}

// cache is the prefix cache of a runner, with least-recently-used eviction.
type cache struct {
	order   *list.List
	blocks  map[uint64]*list.Element
	stored  []uint64
	evicted []uint64
}

func (c *cache) match(prefix []uint64) int {
	for i, digest := range prefix {
		e, ok := c.blocks[digest]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(prefix)
}

func (c *cache) add(prefix []uint64) {
	for _, digest := range slices.Backward(prefix) {
		if e, ok := c.blocks[digest]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[digest] = c.order.PushFront(digest)
		c.stored = append(c.stored, digest)
	}
	for c.order.Len() > cacheBlocks {
		digest := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, digest)
		c.evicted = append(c.evicted, digest)
	}
}

// runner models an engine.
type runner struct {
	simulation *simulation
	queue      []*job
	batch      []*job
	cache      cache
	stepping   bool
	speed      float64
}

func newRunner(w *simulation) *runner {
	return &runner{simulation: w, speed: 1, cache: cache{order: list.New(), blocks: map[uint64]*list.Element{}}}
}

func (r *runner) submit(at float64, j *job) {
	r.queue = append(r.queue, j)
	slices.SortStableFunc(r.queue, func(a, b *job) int { return b.query.Priority - a.query.Priority })
	if !r.stepping {
		r.step(at)
	}
}

// step starts one engine step, which processes up to chunkTokens prompt tokens and
// generates one token for each request whose prompt is processed.
func (r *runner) step(at float64) {
	for len(r.batch) < maxBatch && len(r.queue) > 0 {
		r.startPrefill(r.queue[0])
		r.queue = r.queue[1:]
	}
	if len(r.batch) == 0 {
		r.stepping = false
		return
	}
	r.stepping = true
	slices.SortStableFunc(r.batch, func(a, b *job) int { return b.query.Priority - a.query.Priority })
	budget, decoding := chunkTokens, 0
	for _, j := range r.batch {
		if j.prefill == 0 {
			decoding++
			continue
		}
		part := min(budget, j.prefill)
		j.prefill -= part
		budget -= part
	}
	took := (stepBase + stepDecode*float64(decoding) + stepPrefill*float64(chunkTokens-budget)) / r.speed
	r.simulation.schedule(at+took, r.finish)
}

func (r *runner) startPrefill(j *job) {
	prompt := int(j.query.PromptTokens)
	j.cached = min(r.cache.match(j.query.Prefix)*blockTokens, prompt-1)
	j.prefill = prompt - j.cached
	r.batch = append(r.batch, j)
}

func (r *runner) finish(at float64) {
	kept := r.batch[:0]
	for _, j := range r.batch {
		if j.prefill > 0 {
			kept = append(kept, j)
			continue
		}
		if j.decoded == 0 {
			j.firstTokenAt = at
			r.cache.add(j.query.Prefix)
		}
		j.decoded++
		if j.decoded < j.output {
			kept = append(kept, j)
			continue
		}
		j.done(at, j)
	}
	r.batch = kept
	r.step(at)
}

// policy chooses runners at one daemon.
type policy interface {
	choose(now time.Time, q router.Query) int
	finish(now time.Time, j *job)
	report(now time.Time, runner, running, queued int, age time.Duration)
	cache(now time.Time, e router.CacheEvent)
}

// fleet is a set of runners and the policies of the daemons that send to them.
type fleet struct {
	*simulation
	runners  []*runner
	policies []policy
}

func newFleet(seed uint64, runners, daemons int, makePolicy func(runners int, seed uint64) policy) *fleet {
	f := &fleet{simulation: &simulation{random: rand.New(rand.NewPCG(seed, 1))}}
	for range runners {
		f.runners = append(f.runners, newRunner(f.simulation))
	}
	for d := range daemons {
		f.policies = append(f.policies, makePolicy(runners, seed*1000+uint64(d)+1))
	}
	for i := range f.runners {
		f.schedule(f.random.Float64()*reportPeriod, func(at float64) { f.publishLoad(at, i) })
		f.schedule(f.random.Float64()*eventPeriod, func(at float64) { f.publishCache(at, i, 1) })
	}
	return f
}

func (f *fleet) publishLoad(at float64, i int) {
	running, queued := len(f.runners[i].batch), len(f.runners[i].queue)
	f.schedule(at+reportAge, func(at float64) {
		for _, p := range f.policies {
			p.report(clock(at), i, running, queued, seconds(reportAge))
		}
	})
	f.schedule(at+reportPeriod, func(at float64) { f.publishLoad(at, i) })
}

func (f *fleet) publishCache(at float64, i int, sequence uint64) {
	c := &f.runners[i].cache
	e := router.CacheEvent{Upstream: runnerName(i), Sequence: sequence, Stored: c.stored, Evicted: c.evicted}
	c.stored, c.evicted = nil, nil
	for _, p := range f.policies {
		if f.random.Float64() < eventLoss {
			continue
		}
		f.schedule(at+f.random.Float64()*maxEventDelay, func(at float64) { p.cache(clock(at), e) })
	}
	f.schedule(at+eventPeriod, func(at float64) { f.publishCache(at, i, sequence+1) })
}

func (f *fleet) send(at float64, j *job) {
	j.sentAt = at
	j.runner = f.policies[j.daemon].choose(clock(at), j.query)
	f.runners[j.runner].submit(at, j)
}

// workload generates requests.
type workload struct {
	// groups is the number of shared prefixes. Zero means that none are shared.
	groups   int
	weights  []float64
	sequence uint64
}

func newWorkload(groups int) *workload {
	w := &workload{groups: groups}
	total := 0.0
	for i := range groups {
		total += 1 / float64(i+1)
		w.weights = append(w.weights, total)
	}
	return w
}

func (w *workload) next(r *rand.Rand) *job {
	w.sequence++
	shared, unique := 0, 5+r.IntN(25)
	seed := w.sequence << 20
	if w.groups > 0 {
		group, _ := slices.BinarySearch(w.weights, r.Float64()*w.weights[w.groups-1])
		seed = uint64(group) + 1
		shared, unique = 24+group*7%25, 2+r.IntN(7)
	}
	prefix := make([]uint64, shared+unique)
	digest := seed
	for i := range prefix {
		if i == shared {
			digest += w.sequence << 32
		}
		digest = (digest + 1) * 0x9e3779b97f4a7c15
		digest ^= digest >> 29
		prefix[i] = digest
	}
	tokens := contractor.Tokens(len(prefix)*blockTokens + r.IntN(blockTokens))
	output := 1 + int(r.ExpFloat64()*150)
	return &job{
		output: output,
		query:  router.Query{Target: "quote-model", Prefix: prefix, PromptTokens: tokens, MaxOutput: 1024},
	}
}

// offer generates requests at random times with a mean rate per second.
func (f *fleet) offer(w *workload, rate float64, begin func(at float64, j *job)) {
	var arrive func(at float64)
	arrive = func(at float64) {
		j := w.next(f.random)
		j.arrivedAt, j.daemon = at, f.random.IntN(len(f.policies))
		begin(at, j)
		f.schedule(at+f.random.ExpFloat64()/rate, arrive)
	}
	f.schedule(0, arrive)
}

// result holds the measurements of one simulation.
type result struct {
	firstTokens []float64
	cached      int
	prompt      int
	// loads holds samples of the mean and the largest load of the runners.
	loads []loadSample
	rate  float64
}

type loadSample struct{ mean, largest float64 }

// spread returns the load of the busiest runner divided by the mean load, averaged
// over time.
func (r *result) spread() float64 {
	mean, largest := 0.0, 0.0
	for _, l := range r.loads {
		mean += l.mean
		largest += l.largest
	}
	return largest / mean
}

func (r *result) load() float64 {
	mean := 0.0
	for _, l := range r.loads {
		mean += l.mean
	}
	return mean / float64(len(r.loads))
}

func (f *fleet) sample(at float64, res *result) {
	l := loadSample{}
	for _, r := range f.runners {
		load := float64(len(r.batch) + len(r.queue))
		l.mean += load / float64(len(f.runners))
		l.largest = max(l.largest, load)
	}
	res.loads = append(res.loads, l)
	f.schedule(at+0.1, func(at float64) { f.sample(at, res) })
}

func (f *fleet) measure(w *workload, rate, warmup, end float64) result {
	var res result
	finished := 0
	f.offer(w, rate, func(at float64, j *job) {
		j.done = func(at float64, j *job) {
			f.policies[j.daemon].finish(clock(at), j)
			if at >= warmup {
				finished++
			}
			if j.arrivedAt >= warmup {
				res.firstTokens = append(res.firstTokens, j.firstTokenAt-j.arrivedAt)
				res.cached += j.cached
				res.prompt += int(j.query.PromptTokens)
			}
		}
		f.send(at, j)
	})
	f.schedule(warmup, func(at float64) { f.sample(at, &res) })
	f.run(end)
	res.rate = float64(finished) / (end - warmup)
	return res
}

func runnerName(i int) string { return fmt.Sprintf("runner-%d", i) }
