package router

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
)

const (
	// staleReport is the age from which a load report is ignored.
	staleReport = 10 * time.Second
	// maxDeltas bounds the own starts and ends that are kept since a report.
	// Beyond it, a late report counts some of them a second time.
	maxDeltas = 64
	// realQueue is the number of queued requests that shows a full batch; fewer
	// may only wait for the end of a step.
	realQueue = 4
	// batchMargin is the part of a batch that is left to unseen work.
	batchMargin = 8
	// averageShift makes a mean one over about eight values.
	averageShift = 3
)

// instant is a time in nanoseconds since the router was made.
type instant int64

func (r *Router) instant(t time.Time) instant { return instant(t.Sub(r.origin)) }

// delta is an own start (+1) or end (-1) of work after a report.
type delta struct {
	at   instant
	work int32
}

// node is the state of one upstream. Choices read the atomic fields without the
// lock; a choice that reads some of them just before a change is as good as one
// made just before it.
type node struct {
	id       int32
	config   *Config
	upstream atomic.Pointer[contractor.Upstream]
	// closed is true when the upstream gets no new work.
	closed atomic.Bool
	// removed is true when the announcement is gone. Router.mu guards it.
	removed bool

	// work is the number of requests running and queued, of all daemons as far
	// as known.
	work     atomic.Int64
	inFlight atomic.Int64
	// restricted is true while alone or apart is above zero.
	restricted atomic.Bool
	alone      atomic.Int64
	apart      atomic.Int64
	// zone is the number of the upstream's zone in the index.
	zone atomic.Int32
	// observed is the time of the load report.
	observed atomic.Int64
	// cost is the delay of a first token in nanoseconds by the work at the
	// upstream. It holds as long as the report is fresh.
	cost atomic.Int64
	// queueEnd is when what was queued in the report has entered the batch.
	queueEnd atomic.Int64
	// full is the size of the batch when requests had to queue. Zero is unknown.
	full atomic.Int64
	// backlogEnd is when the own prompts will be processed.
	backlogEnd atomic.Int64
	lastStart  atomic.Int64
	// ejectedUntil is the end of an ejection or of the wait for a probe.
	ejectedUntil atomic.Int64
	// generation goes up when the upstream's cache becomes doubtful.
	generation atomic.Uint32

	mu       sync.Mutex
	load     LoadReport
	reported bool
	deltas   []delta
	sequence uint64
	health   health
}

// begin counts the start of work that takes prefill to process its prompt. It
// returns false when the upstream may not get the work after all.
func (n *node) begin(now instant, q *Query, prefill time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed.Load() || !n.fits(now, q) {
		return false
	}
	n.inFlight.Add(1)
	n.restrict(q, 1)
	n.push(delta{at: now, work: 1})
	n.backlogEnd.Store(max(n.backlogEnd.Load(), int64(now)) + int64(prefill))
	n.lastStart.Store(int64(now))
	n.ejectedUntil.Store(int64(n.health.begin(now)))
	n.cost.Store(int64(n.workCost(now)))
	return true
}

// fits reports whether q may run beside the work that is known here.
func (n *node) fits(now instant, q *Query) bool {
	if !q.Exclusive && !n.restricted.Load() {
		return true
	}
	if n.alone.Load() > 0 || q.AntiAffinity && n.apart.Load() > 0 {
		return false
	}
	return !q.Exclusive || n.inFlight.Load() == 0 && n.busy(now) == 0
}

// busy returns the number of requests that probably run and wait.
func (n *node) busy(now instant) int64 {
	own := n.inFlight.Load()
	observed := n.observed.Load()
	if observed == 0 || int64(now)-observed > int64(staleReport) {
		return own
	}
	return max(n.work.Load(), own)
}

// restrict counts the work beside which not all work may run.
func (n *node) restrict(q *Query, change int64) {
	if q.Exclusive {
		n.alone.Store(max(n.alone.Load()+change, 0))
	}
	if q.AntiAffinity {
		n.apart.Store(max(n.apart.Load()+change, 0))
	}
	n.restricted.Store(n.alone.Load() > 0 || n.apart.Load() > 0)
}

func (n *node) push(d delta) {
	n.work.Add(int64(d.work))
	if len(n.deltas) == maxDeltas {
		n.deltas = append(n.deltas[:0], n.deltas[maxDeltas/2:]...)
	}
	n.deltas = append(n.deltas, d)
}

func (n *node) finish(now instant, q *Query, o Outcome, firstToken time.Duration) healthEvent {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inFlight.Load() > 0 {
		n.inFlight.Add(-1)
	}
	n.restrict(q, -1)
	n.push(delta{at: now, work: -1})
	if o == Crashed {
		n.generation.Add(lostGenerations)
	}
	n.cost.Store(int64(n.workCost(now)))
	event := n.health.record(now, o, firstToken)
	n.ejectedUntil.Store(int64(n.health.ejectedUntil()))
	return event
}

// report replaces the load and forgets the own work that it includes.
func (n *node) report(load LoadReport, observed instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reported && int64(observed) < n.observed.Load() {
		return
	}
	n.load, n.reported = load, true
	work := int64(load.Running + load.Queued)
	kept := n.deltas[:0]
	for _, d := range n.deltas {
		if d.at > observed {
			kept = append(kept, d)
			work += int64(d.work)
		}
	}
	n.deltas = kept
	n.work.Store(work)
	if load.Queued >= realQueue {
		n.full.Store(max(n.full.Load(), int64(load.Running)))
	}
	n.observed.Store(int64(observed))
	n.queueEnd.Store(int64(observed) + int64(queueTime(load, n.config.TypicalRequestTime)))
	n.cost.Store(int64(n.workCost(observed)))
}

// workCost is the delay of a first token by the work at the upstream.
func (n *node) workCost(now instant) time.Duration {
	busy := n.busy(now)
	return n.batchTime(busy) + time.Duration(busy)*n.config.RunningCost +
		time.Duration(n.inFlight.Load())*n.config.InFlightCost
}

// currentCost is the work cost, computed anew when the report is stale.
func (n *node) currentCost(now instant) time.Duration {
	if int64(now)-n.observed.Load() > int64(staleReport) {
		return n.workCost(now)
	}
	return time.Duration(n.cost.Load())
}

// batchTime is the time until a batch has a place for one more request.
func (n *node) batchTime(busy int64) time.Duration {
	full := n.full.Load()
	if full == 0 || busy < full-full/batchMargin {
		return 0
	}
	return time.Duration(busy-(full-full/batchMargin)+1) * n.config.TypicalRequestTime / time.Duration(full)
}

// queueTime is the time that the last of a queue waits for its place in the
// batch, where a place becomes free whenever a request ends.
func queueTime(load LoadReport, typicalRun time.Duration) time.Duration {
	return time.Duration(load.Queued) * typicalRun / time.Duration(max(load.Running, 1))
}

// sequenceGap notes the sequence of a cache event and reports a gap.
func (n *node) sequenceGap(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.sequence
	switch {
	case last == 0 || sequence == last+1:
		n.sequence = sequence
		return false
	case sequence == 1:
		n.sequence = sequence
		n.generation.Add(lostGenerations)
		return true
	case sequence > last:
		n.sequence = sequence
		n.generation.Add(1)
		return true
	}
	return false
}
