package limiter

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

const (
	gateShardCount = 16
	// floodFactor is the multiple of its share from which an account leaves the
	// reserved places to others.
	floodFactor = 1.5
	// reservedPart is the part of the places that is reserved.
	reservedPart = 3
	// activeWindow is how long an account counts as competing after its last request.
	activeWindow = 10 * time.Second
	// activeRefresh is how long the sum of the weights is kept.
	activeRefresh = 100 * time.Millisecond
	// queueRetry is the advice to a caller whose account's queue is full.
	queueRetry = time.Second
	// intervalShift averages the time between two ends over about 16 ends.
	intervalShift = 4
	// flowIntervalShift averages the time between two services of an account over
	// about eight of them.
	flowIntervalShift = 3
)

// Waiter is a request that was admitted or waits in a queue. The gate's lock guards it until done is closed.
type Waiter struct {
	ticket   Ticket
	flow     *flow
	done     chan struct{}
	since    time.Time
	priority int
	granted  bool
	refusal  *refuser.Refusal
}

// flow is the queue of one account for one target.
type flow struct {
	account contractor.Account
	weight  float64
	queue   []*Waiter
	bytes   int
	running int
	seen    time.Time
	// virtual is the amount of service received, divided by the weight.
	virtual float64
	// served is when the first of the queue was served last, interval the time
	// between two of these.
	served   time.Time
	interval time.Duration
	// position is the place in the heap, or -1.
	position int
}

// Gate hands out the places of one target. Its methods take the time, so that
// the decisions can be run without a clock.
type Gate struct {
	mu       sync.Mutex
	config   *Config
	target   string
	capacity capacity
	running  int
	bytes    int
	flows    map[contractor.Account]*flow
	waiting  flowHeap
	// virtual is the service that the last admitted flow had received.
	virtual float64
	// active is the sum of the weights of the competing accounts at activeAt.
	active   float64
	activeAt time.Time
	lastEnd  time.Time
	interval time.Duration
}

// NewGate returns a gate without work.
func NewGate(target string, c Config) *Gate {
	c = c.withDefaults()
	return newGate(target, &c)
}

func newGate(target string, c *Config) *Gate {
	g := &Gate{config: c, target: target, flows: make(map[contractor.Account]*flow)}
	g.capacity.places = float64(c.InitialCapacity)
	return g
}

// Places returns the number of requests that may run at once.
func (g *Gate) Places() int {
	if g.config.Capacity != nil {
		if fixed := g.config.Capacity(g.target); fixed > 0 {
			return fixed
		}
	}
	return int(g.capacity.places)
}

// Offer admits a request, queues it or refuses it. A waiter without Done was
// admitted at once.
func (g *Gate) Offer(now time.Time, t Ticket) (*Waiter, *refuser.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.flow(now, &t)
	w := &Waiter{ticket: t, flow: f, since: now}
	if len(f.queue) == 0 && g.admissible(now, f) {
		g.admit(now, w)
		return w, nil
	}
	if refusal := g.refusal(now, f, &t); refusal != nil {
		return nil, refusal
	}
	w.done = make(chan struct{})
	f.queue = append(f.queue, w)
	f.bytes += t.Bytes
	g.bytes += t.Bytes
	if len(f.queue) == 1 {
		f.virtual = max(f.virtual, g.virtual)
		heap.Push(&g.waiting, f)
	}
	return w, nil
}

func (g *Gate) flow(now time.Time, t *Ticket) *flow {
	f := g.flows[t.Account]
	if f == nil {
		g.forget(now)
		f = &flow{account: t.Account, position: -1, virtual: g.virtual}
		g.flows[t.Account] = f
		g.active = 0
	}
	f.weight = t.weight()
	f.seen = now
	return f
}

// forget drops the flows that neither wait nor run and are no longer active.
func (g *Gate) forget(now time.Time) {
	for name, f := range g.flows {
		if f.running == 0 && len(f.queue) == 0 && now.Sub(f.seen) > activeWindow {
			delete(g.flows, name)
		}
	}
}

// refusal says why a request may not wait, or returns nil.
func (g *Gate) refusal(now time.Time, f *flow, t *Ticket) *refuser.Refusal {
	wait := g.expectedWait(now, f)
	if len(f.queue) >= g.config.QueueLength || len(f.queue) > 0 && wait > g.config.MaxWait {
		return refuser.New(refuser.QueueFull, "admit").WithRetryAfter(max(wait, queueRetry)).
			WithDetail("%d requests of the account wait", len(f.queue))
	}
	if f.bytes+t.Bytes > g.config.QueueBytes || g.bytes+t.Bytes > g.config.TotalBytes {
		return refuser.New(refuser.QueueFull, "admit").WithRetryAfter(max(wait, queueRetry)).
			WithDetail("the waiting requests hold %d bytes", f.bytes)
	}
	if late(now.Add(wait), t) {
		return refuser.New(refuser.DeadlineUnmeetable, "admit").WithRetryAfter(wait).
			WithDetail("the expected wait is %v", wait.Round(time.Millisecond))
	}
	return nil
}

// late reports whether a request that starts at a time misses its deadline.
func late(start time.Time, t *Ticket) bool {
	return !t.Deadline.IsZero() && start.Add(t.Estimate).After(t.Deadline)
}

// expectedWait is the time until a request at the end of a flow's queue starts.
// A flow below its share competes only with others below theirs, because these
// get free places first.
func (g *Gate) expectedWait(now time.Time, f *flow) time.Duration {
	if f.interval > 0 && now.Sub(f.served) < activeWindow/2 {
		return time.Duration(len(f.queue)+1) * f.interval
	}
	competing := g.activeWeight(now)
	if g.below(now, f) {
		competing = f.weight
		for _, other := range g.waiting {
			if other != f && g.below(now, other) {
				competing += other.weight
			}
		}
	}
	return time.Duration(float64(len(f.queue)+1) * competing / f.weight * float64(g.interval))
}

// below reports whether a flow uses less than its share.
func (g *Gate) below(now time.Time, f *flow) bool {
	return float64(f.running) < g.fairShare(now, f)
}

// activeWeight sums the weights of the accounts that compete for places. The
// sum is kept for a moment.
func (g *Gate) activeWeight(now time.Time) float64 {
	if g.active > 0 && now.Sub(g.activeAt) < activeRefresh {
		return g.active
	}
	total := 0.0
	for _, f := range g.flows {
		if f.active(now) {
			total += f.weight
		}
	}
	g.active, g.activeAt = max(total, 1), now
	return g.active
}

func (f *flow) active(now time.Time) bool {
	return f.running > 0 || len(f.queue) > 0 || now.Sub(f.seen) <= activeWindow
}

// fairShare is the number of places that a flow may use in competition.
func (g *Gate) fairShare(now time.Time, f *flow) float64 {
	return float64(g.Places()) * f.weight / g.activeWeight(now)
}

// admissible reports whether a flow may take a place now.
func (g *Gate) admissible(now time.Time, f *flow) bool {
	places := g.Places()
	if g.running >= places {
		return false
	}
	fair := g.fairShare(now, f)
	if float64(f.running) < fair*floodFactor || fair >= float64(places) {
		return true
	}
	return g.running < places-max(places/reservedPart, 1)
}

// admit gives a place to a waiter. The caller holds the lock.
func (g *Gate) admit(now time.Time, w *Waiter) {
	f := w.flow
	if g.below(now, f) {
		w.priority = 1
	}
	f.virtual = max(f.virtual, g.virtual)
	g.virtual = f.virtual
	f.virtual += w.ticket.cost() / f.weight
	f.running++
	g.running++
	w.granted = true
}

// Done is closed when a waiter is admitted or refused. It is nil for a request
// that was admitted at once.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Result returns the priority of an admitted request or its refusal. It may be
// called once Done is closed.
func (w *Waiter) Result() (priority int, refusal *refuser.Refusal) { return w.priority, w.refusal }

// Release takes the place of an admitted request back and admits those who wait.
func (g *Gate) Release(now time.Time, w *Waiter, o Outcome) { g.release(now, w.flow, o) }

func (g *Gate) release(now time.Time, f *flow, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity.adapt(now, g.running, o, g.config)
	f.running--
	g.running--
	g.noteEnd(now)
	g.dispatch(now)
}

// noteEnd measures the time between two ends while requests wait.
func (g *Gate) noteEnd(now time.Time) {
	if len(g.waiting) > 0 && !g.lastEnd.IsZero() {
		g.interval += (now.Sub(g.lastEnd) - g.interval) >> intervalShift
	}
	g.lastEnd = now
}

// dispatch admits waiters as long as there are places for them.
func (g *Gate) dispatch(now time.Time) {
	var skipped []*flow
	for len(g.waiting) > 0 && g.running < g.Places() {
		f := g.waiting[0]
		if !g.admissible(now, f) {
			heap.Pop(&g.waiting)
			skipped = append(skipped, f)
			continue
		}
		g.serve(now, f)
	}
	for _, f := range skipped {
		heap.Push(&g.waiting, f)
	}
}

// serve admits or refuses the first waiter of a flow.
func (g *Gate) serve(now time.Time, f *flow) {
	w := f.queue[0]
	g.remove(w)
	f.noteServed(now)
	if late(now, &w.ticket) {
		w.refusal = refuser.New(refuser.DeadlineUnmeetable, "admit").WithRetryAfter(queueRetry).
			WithDetail("the request waited %v", now.Sub(w.since).Round(time.Millisecond))
	} else {
		g.admit(now, w)
		if f.position >= 0 {
			heap.Fix(&g.waiting, f.position)
		}
	}
	close(w.done)
}

// noteServed measures the time between two services while requests wait.
func (f *flow) noteServed(now time.Time) {
	if !f.served.IsZero() && len(f.queue) > 0 && now.Sub(f.served) < activeWindow/2 {
		f.interval += (now.Sub(f.served) - f.interval) >> flowIntervalShift
	}
	f.served = now
}

// remove takes a waiter out of its queue.
func (g *Gate) remove(w *Waiter) bool {
	f := w.flow
	for i, other := range f.queue {
		if other != w {
			continue
		}
		f.queue = append(f.queue[:i], f.queue[i+1:]...)
		f.bytes -= w.ticket.Bytes
		g.bytes -= w.ticket.Bytes
		if len(f.queue) == 0 {
			heap.Remove(&g.waiting, f.position)
		}
		return true
	}
	return false
}

// wait blocks until the waiter is admitted or refused, its deadline passes or
// the caller gives up.
func (g *Gate) wait(ctx context.Context, w *Waiter) *refuser.Refusal {
	if w.done == nil {
		return nil
	}
	var expired <-chan time.Time
	if !w.ticket.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.ticket.Deadline) - w.ticket.Estimate)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.done:
		return w.refusal
	case <-expired:
		return g.Leave(w, refuser.New(refuser.DeadlineUnmeetable, "admit").WithRetryAfter(queueRetry))
	case <-ctx.Done():
		return g.Leave(w, refuser.New(refuser.Cancelled, "admit").WithCause(ctx.Err()))
	}
}

// Leave takes a waiter out of its queue, unless it was admitted or refused
// meanwhile, and returns its refusal.
func (g *Gate) Leave(w *Waiter, refusal *refuser.Refusal) *refuser.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.remove(w) {
		return refusal
	}
	return w.refusal
}
