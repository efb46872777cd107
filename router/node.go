package router

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
)

const (
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 10 * time.Second
	// maxDeltas bounds the own starts and ends that are kept since a report.
	// Beyond it, a late report counts some of them a second time.
	maxDeltas = 64
	// fullBatchQueue is the number of queued requests that shows a full batch; fewer
	// may only wait for the end of a step.
	fullBatchQueue = 4
	// batchReserveDivisor is the part of a batch that is left to unseen work.
	batchReserveDivisor = 8
	// meanShift makes a mean one over about eight values.
	meanShift = 3
)

// instant is a time in nanoseconds since the router was made.
type instant int64

func (r *Router) instant(t time.Time) instant { return instant(t.Sub(r.origin)) }

// delta is an own start (+1) or end (-1) of work after a report.
type delta struct {
	at     instant
	change int32
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

	// requests is the number of requests running and queued, of all daemons as far
	// as known.
	requests atomic.Int64
	inFlight atomic.Int64
	// restricted is true while alone or apart is above zero.
	restricted   atomic.Bool
	exclusive    atomic.Int64
	antiAffinity atomic.Int64
	// zone is the number of the upstream's zone in the index.
	zone atomic.Int32
	// observedAt is the time of the load report.
	observedAt atomic.Int64
	// loadCost is the delay of a first token in nanoseconds by the work at the
	// upstream. It holds as long as the report is fresh.
	loadCost atomic.Int64
	// queueEnd is when what was queued in the report has entered the batch.
	queueEnd atomic.Int64
	// batchSize is the size of the batch when requests had to queue. Zero is unknown.
	batchSize atomic.Int64
	// backlogEnd is when the own prompts will be processed.
	backlogEnd atomic.Int64
	lastStart  atomic.Int64
	// ejectedUntil is the end of an ejection or of the wait for a probe.
	ejectedUntil atomic.Int64
	// cacheGeneration goes up when the upstream's cache becomes doubtful.
	cacheGeneration atomic.Uint32

	mu           sync.Mutex
	lastReport   LoadReport
	hasReport    bool
	deltas       []delta
	lastSequence uint64
	health       health
}

// begin counts the start of work that takes prefill to process its prompt. It
// returns false when the upstream may not get the work after all.
func (n *node) begin(now instant, q *Query, prefill time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed.Load() || !n.admits(now, q) {
		return false
	}
	n.inFlight.Add(1)
	n.countRestrictions(q, 1)
	n.addDelta(delta{at: now, change: 1})
	n.backlogEnd.Store(max(n.backlogEnd.Load(), int64(now)) + int64(prefill))
	n.lastStart.Store(int64(now))
	n.ejectedUntil.Store(int64(n.health.begin(now)))
	n.loadCost.Store(int64(n.computeLoadCost(now)))
	return true
}

// admits reports whether q may run beside the work that is known here.
func (n *node) admits(now instant, q *Query) bool {
	if !q.Exclusive && !n.restricted.Load() {
		return true
	}
	if n.exclusive.Load() > 0 || q.AntiAffinity && n.antiAffinity.Load() > 0 {
		return false
	}
	return !q.Exclusive || n.inFlight.Load() == 0 && n.estimatedRequests(now) == 0
}

// estimatedRequests returns the number of requests that probably run and wait.
func (n *node) estimatedRequests(now instant) int64 {
	own := n.inFlight.Load()
	observedAt := n.observedAt.Load()
	if observedAt == 0 || int64(now)-observedAt > int64(maxReportAge) {
		return own
	}
	return max(n.requests.Load(), own)
}

// countRestrictions counts the work beside which not all work may run.
func (n *node) countRestrictions(q *Query, change int64) {
	if q.Exclusive {
		n.exclusive.Store(max(n.exclusive.Load()+change, 0))
	}
	if q.AntiAffinity {
		n.antiAffinity.Store(max(n.antiAffinity.Load()+change, 0))
	}
	n.restricted.Store(n.exclusive.Load() > 0 || n.antiAffinity.Load() > 0)
}

func (n *node) addDelta(d delta) {
	n.requests.Add(int64(d.change))
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
	n.countRestrictions(q, -1)
	n.addDelta(delta{at: now, change: -1})
	if o == Crashed {
		n.cacheGeneration.Add(cacheLostGenerations)
	}
	n.loadCost.Store(int64(n.computeLoadCost(now)))
	event := n.health.record(now, o, firstToken)
	n.ejectedUntil.Store(int64(n.health.ejectedUntil()))
	return event
}

// applyReport replaces the load and forgets the own work that it includes.
func (n *node) applyReport(report LoadReport, observedAt instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasReport && int64(observedAt) < n.observedAt.Load() {
		return
	}
	n.lastReport, n.hasReport = report, true
	requests := int64(report.Running + report.Queued)
	kept := n.deltas[:0]
	for _, d := range n.deltas {
		if d.at > observedAt {
			kept = append(kept, d)
			requests += int64(d.change)
		}
	}
	n.deltas = kept
	n.requests.Store(requests)
	if report.Queued >= fullBatchQueue {
		n.batchSize.Store(max(n.batchSize.Load(), int64(report.Running)))
	}
	n.observedAt.Store(int64(observedAt))
	n.queueEnd.Store(int64(observedAt) + int64(queueWait(report, n.config.TypicalRequestTime)))
	n.loadCost.Store(int64(n.computeLoadCost(observedAt)))
}

// computeLoadCost is the delay of a first token by the work at the upstream.
func (n *node) computeLoadCost(now instant) time.Duration {
	requests := n.estimatedRequests(now)
	return n.batchWait(requests) + time.Duration(requests)*n.config.RunningCost +
		time.Duration(n.inFlight.Load())*n.config.InFlightCost
}

// currentLoadCost is the work cost, computed anew when the report is stale.
func (n *node) currentLoadCost(now instant) time.Duration {
	if int64(now)-n.observedAt.Load() > int64(maxReportAge) {
		return n.computeLoadCost(now)
	}
	return time.Duration(n.loadCost.Load())
}

// batchWait is the time until a batch has a place for one more request.
func (n *node) batchWait(requests int64) time.Duration {
	batchSize := n.batchSize.Load()
	if batchSize == 0 || requests < batchSize-batchSize/batchReserveDivisor {
		return 0
	}
	return time.Duration(requests-(batchSize-batchSize/batchReserveDivisor)+1) * n.config.TypicalRequestTime / time.Duration(batchSize)
}

// queueWait is the time that the last of a queue waits for its place in the
// batch, where a place becomes free whenever a request ends.
func queueWait(report LoadReport, typicalRequestTime time.Duration) time.Duration {
	return time.Duration(report.Queued) * typicalRequestTime / time.Duration(max(report.Running, 1))
}

// recordSequence notes the sequence of a cache event and reports a gap.
func (n *node) recordSequence(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.lastSequence
	switch {
	case last == 0 || sequence == last+1:
		n.lastSequence = sequence
		return false
	case sequence == 1:
		n.lastSequence = sequence
		n.cacheGeneration.Add(cacheLostGenerations)
		return true
	case sequence > last:
		n.lastSequence = sequence
		n.cacheGeneration.Add(1)
		return true
	}
	return false
}
