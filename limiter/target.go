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
	targetShardCount = 16
	// overuseFactor is the multiple of its fair share at which an account may
	// no longer use the reserved slots.
	overuseFactor = 1.5
	// reservedDivisor makes a third of the slots reserved.
	reservedDivisor = 3
	// activeWindow is how long an account counts as competing after its last
	// request.
	activeWindow = 10 * time.Second
	// activeWeightMaxAge is how long the sum of the active weights is cached.
	activeWeightMaxAge = 100 * time.Millisecond
	// queueRetryAfter is the minimum Retry-After of a refusal by a full queue,
	// and the Retry-After of a request that would miss its deadline after its
	// wait.
	queueRetryAfter = time.Second
	// completionIntervalShift averages the time between two completions over
	// about 16 of them.
	completionIntervalShift = 4
	// dequeueIntervalShift averages the time between two dequeued requests of
	// an account over about eight of them.
	dequeueIntervalShift = 3
)

// Waiter is a request that was admitted or waits in a queue. The lock of its
// TargetLimiter guards it until done is closed.
type Waiter struct {
	request    Request
	flow       *flow
	done       chan struct{}
	enqueuedAt time.Time
	priority   int
	admitted   bool
	refusal    *refuser.Refusal
}

// flow is the queue of one account for one target, a flow of weighted fair
// queueing.
type flow struct {
	account  contractor.Account
	weight   float64
	queue    []*Waiter
	bytes    int
	running  int
	lastSeen time.Time
	// virtualTime is the service received (the sum of the costs) divided by the
	// weight. The flow with the lowest virtual time is served first.
	virtualTime float64
	// lastDequeued is when the head of the queue was last removed to be
	// admitted or refused. dequeueInterval is the average time between two
	// removals.
	lastDequeued    time.Time
	dequeueInterval time.Duration
	// heapIndex is the index in the heap of waiting flows, or -1.
	heapIndex int
}

// TargetLimiter limits the requests that run at one target and queues further
// ones per account. Its methods take the current time, which lets simulations
// run without a clock.
type TargetLimiter struct {
	mu       sync.Mutex
	config   *Config
	target   string
	capacity adaptiveCapacity
	running  int
	bytes    int
	flows    map[contractor.Account]*flow
	waiting  flowHeap
	// virtualTime is the virtual time of the last admitted flow before its
	// admission.
	virtualTime float64
	// cachedWeight is the sum of the weights of the competing accounts at
	// cachedWeightAt.
	cachedWeight       float64
	cachedWeightAt     time.Time
	lastCompletion     time.Time
	completionInterval time.Duration
}

// NewTargetLimiter returns a limiter without running or waiting requests.
func NewTargetLimiter(target string, c Config) *TargetLimiter {
	c = c.withDefaults()
	return newTargetLimiter(target, &c)
}

func newTargetLimiter(target string, c *Config) *TargetLimiter {
	t := &TargetLimiter{config: c, target: target, flows: make(map[contractor.Account]*flow)}
	t.capacity.limit = float64(c.InitialCapacity)
	return t
}

// Capacity returns the number of requests that may run at once.
func (t *TargetLimiter) Capacity() int {
	if t.config.FixedCapacity != nil {
		if fixed := t.config.FixedCapacity(t.target); fixed > 0 {
			return fixed
		}
	}
	return int(t.capacity.limit)
}

// Submit admits a request, queues it or refuses it. If Done of the waiter is
// nil, the request was admitted at once.
func (t *TargetLimiter) Submit(now time.Time, r Request) (*Waiter, *refuser.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flow(now, &r)
	w := &Waiter{request: r, flow: f, enqueuedAt: now}
	if len(f.queue) == 0 && t.canAdmit(now, f) {
		t.admit(now, w)
		return w, nil
	}
	if refusal := t.checkQueueLimits(now, f, &r); refusal != nil {
		return nil, refusal
	}
	w.done = make(chan struct{})
	f.queue = append(f.queue, w)
	f.bytes += r.Bytes
	t.bytes += r.Bytes
	if len(f.queue) == 1 {
		f.virtualTime = max(f.virtualTime, t.virtualTime)
		heap.Push(&t.waiting, f)
	}
	return w, nil
}

func (t *TargetLimiter) flow(now time.Time, r *Request) *flow {
	f := t.flows[r.Account]
	if f == nil {
		t.evictIdle(now)
		f = &flow{account: r.Account, heapIndex: -1, virtualTime: t.virtualTime}
		t.flows[r.Account] = f
		t.cachedWeight = 0
	}
	f.weight = r.weight()
	f.lastSeen = now
	return f
}

// evictIdle removes flows without running or waiting requests that are no
// longer active.
func (t *TargetLimiter) evictIdle(now time.Time) {
	for name, f := range t.flows {
		if f.running == 0 && len(f.queue) == 0 && now.Sub(f.lastSeen) > activeWindow {
			delete(t.flows, name)
		}
	}
}

// checkQueueLimits returns the refusal of a request that may not wait, or nil.
func (t *TargetLimiter) checkQueueLimits(now time.Time, f *flow, r *Request) *refuser.Refusal {
	wait := t.expectedWait(now, f)
	if len(f.queue) >= t.config.MaxQueueLength || len(f.queue) > 0 && wait > t.config.MaxWait {
		return refuser.New(refuser.QueueFull, "admit").WithRetryAfter(max(wait, queueRetryAfter)).
			WithDetail("%d requests of the account wait", len(f.queue))
	}
	if f.bytes+r.Bytes > t.config.MaxQueueBytes || t.bytes+r.Bytes > t.config.MaxTotalQueueBytes {
		return refuser.New(refuser.QueueFull, "admit").WithRetryAfter(max(wait, queueRetryAfter)).
			WithDetail("the waiting requests hold %d bytes", f.bytes)
	}
	if missesDeadline(now.Add(wait), r) {
		return refuser.New(refuser.DeadlineUnmeetable, "admit").WithRetryAfter(wait).
			WithDetail("the expected wait is %v", wait.Round(time.Millisecond))
	}
	return nil
}

// missesDeadline reports whether the first token of a request that starts at
// the given time is expected after its deadline.
func missesDeadline(start time.Time, r *Request) bool {
	return !r.Deadline.IsZero() && start.Add(r.FirstTokenEstimate).After(r.Deadline)
}

// expectedWait returns the expected time until a request at the end of a flow's
// queue is admitted. It follows from the flow's own dequeue interval if the flow
// was served recently, otherwise from the target's completion interval. In the
// latter case a flow below its fair share competes only with other flows below
// theirs, because these are served first.
func (t *TargetLimiter) expectedWait(now time.Time, f *flow) time.Duration {
	if f.dequeueInterval > 0 && now.Sub(f.lastDequeued) < activeWindow/2 {
		return time.Duration(len(f.queue)+1) * f.dequeueInterval
	}
	competingWeight := t.activeWeight(now)
	if t.belowFairShare(now, f) {
		competingWeight = f.weight
		for _, other := range t.waiting {
			if other != f && t.belowFairShare(now, other) {
				competingWeight += other.weight
			}
		}
	}
	return time.Duration(float64(len(f.queue)+1) * competingWeight / f.weight * float64(t.completionInterval))
}

// belowFairShare reports whether a flow uses fewer slots than its fair share.
func (t *TargetLimiter) belowFairShare(now time.Time, f *flow) bool {
	return float64(f.running) < t.fairShare(now, f)
}

// activeWeight returns the sum of the weights of the accounts that compete for
// slots. The sum is cached for activeWeightMaxAge.
func (t *TargetLimiter) activeWeight(now time.Time) float64 {
	if t.cachedWeight > 0 && now.Sub(t.cachedWeightAt) < activeWeightMaxAge {
		return t.cachedWeight
	}
	total := 0.0
	for _, f := range t.flows {
		if f.active(now) {
			total += f.weight
		}
	}
	t.cachedWeight, t.cachedWeightAt = max(total, 1), now
	return t.cachedWeight
}

func (f *flow) active(now time.Time) bool {
	return f.running > 0 || len(f.queue) > 0 || now.Sub(f.lastSeen) <= activeWindow
}

// fairShare returns the number of slots that a flow may use under competition.
func (t *TargetLimiter) fairShare(now time.Time, f *flow) float64 {
	return float64(t.Capacity()) * f.weight / t.activeWeight(now)
}

// canAdmit reports whether a request of a flow may be admitted now. A flow that
// uses overuseFactor times its fair share has to leave the reserved slots free.
func (t *TargetLimiter) canAdmit(now time.Time, f *flow) bool {
	capacity := t.Capacity()
	if t.running >= capacity {
		return false
	}
	fair := t.fairShare(now, f)
	if float64(f.running) < fair*overuseFactor || fair >= float64(capacity) {
		return true
	}
	return t.running < capacity-max(capacity/reservedDivisor, 1)
}

// admit assigns a slot to a waiter. The caller holds the lock.
func (t *TargetLimiter) admit(now time.Time, w *Waiter) {
	f := w.flow
	if t.belowFairShare(now, f) {
		w.priority = 1
	}
	f.virtualTime = max(f.virtualTime, t.virtualTime)
	t.virtualTime = f.virtualTime
	f.virtualTime += w.request.cost() / f.weight
	f.running++
	t.running++
	w.admitted = true
}

// Done returns a channel that is closed when the waiter is admitted or refused.
// It is nil for a request that was admitted at once.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Result returns the priority of an admitted request or its refusal. It may be
// called once Done is closed.
func (w *Waiter) Result() (priority int, refusal *refuser.Refusal) { return w.priority, w.refusal }

// Release frees the slot of an admitted request and admits waiting requests.
func (t *TargetLimiter) Release(now time.Time, w *Waiter, o Outcome) { t.release(now, w.flow, o) }

func (t *TargetLimiter) release(now time.Time, f *flow, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity.adapt(now, t.running, o, t.config)
	f.running--
	t.running--
	t.recordCompletion(now)
	t.admitWaiting(now)
}

// recordCompletion updates the average time between two completions while
// requests wait.
func (t *TargetLimiter) recordCompletion(now time.Time) {
	if len(t.waiting) > 0 && !t.lastCompletion.IsZero() {
		t.completionInterval += (now.Sub(t.lastCompletion) - t.completionInterval) >> completionIntervalShift
	}
	t.lastCompletion = now
}

// admitWaiting admits waiting requests as long as there are slots for them.
func (t *TargetLimiter) admitWaiting(now time.Time) {
	var skipped []*flow
	for len(t.waiting) > 0 && t.running < t.Capacity() {
		f := t.waiting[0]
		if !t.canAdmit(now, f) {
			heap.Pop(&t.waiting)
			skipped = append(skipped, f)
			continue
		}
		t.serveNext(now, f)
	}
	for _, f := range skipped {
		heap.Push(&t.waiting, f)
	}
}

// serveNext dequeues the first waiter of a flow and admits or refuses it.
func (t *TargetLimiter) serveNext(now time.Time, f *flow) {
	w := f.queue[0]
	t.remove(w)
	f.recordDequeue(now)
	if missesDeadline(now, &w.request) {
		w.refusal = refuser.New(refuser.DeadlineUnmeetable, "admit").WithRetryAfter(queueRetryAfter).
			WithDetail("the request waited %v", now.Sub(w.enqueuedAt).Round(time.Millisecond))
	} else {
		t.admit(now, w)
		if f.heapIndex >= 0 {
			heap.Fix(&t.waiting, f.heapIndex)
		}
	}
	close(w.done)
}

// recordDequeue updates the average time between two dequeued requests while
// more of them wait.
func (f *flow) recordDequeue(now time.Time) {
	if !f.lastDequeued.IsZero() && len(f.queue) > 0 && now.Sub(f.lastDequeued) < activeWindow/2 {
		f.dequeueInterval += (now.Sub(f.lastDequeued) - f.dequeueInterval) >> dequeueIntervalShift
	}
	f.lastDequeued = now
}

// remove removes a waiter from its queue and reports whether it was there.
func (t *TargetLimiter) remove(w *Waiter) bool {
	f := w.flow
	for i, other := range f.queue {
		if other != w {
			continue
		}
		f.queue = append(f.queue[:i], f.queue[i+1:]...)
		f.bytes -= w.request.Bytes
		t.bytes -= w.request.Bytes
		if len(f.queue) == 0 {
			heap.Remove(&t.waiting, f.heapIndex)
		}
		return true
	}
	return false
}

// wait blocks until the waiter is admitted or refused, its first token would
// miss the deadline, or ctx ends.
func (t *TargetLimiter) wait(ctx context.Context, w *Waiter) *refuser.Refusal {
	if w.done == nil {
		return nil
	}
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline) - w.request.FirstTokenEstimate)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.done:
		return w.refusal
	case <-expired:
		return t.Withdraw(w, refuser.New(refuser.DeadlineUnmeetable, "admit").WithRetryAfter(queueRetryAfter))
	case <-ctx.Done():
		return t.Withdraw(w, refuser.New(refuser.Cancelled, "admit").WithCause(ctx.Err()))
	}
}

// Withdraw removes a waiter from its queue and returns the given refusal. If
// the waiter was admitted or refused meanwhile, it returns that result instead.
func (t *TargetLimiter) Withdraw(w *Waiter, refusal *refuser.Refusal) *refuser.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remove(w) {
		return refusal
	}
	return w.refusal
}
