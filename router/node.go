package router

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
	"laburnumline/throttler"
)

const (
	// maxReportAge is the age beyond which a load report is ignored.
	maxReportAge = 10 * time.Second
	// maxDeltas limits the starts and ends kept since the last report. At the
	// limit the older half is dropped. If a report then arrives that was observed
	// before a dropped start or end, the load does not include it.
	maxDeltas = 64
	// fullBatchQueue is the reported queue length that indicates a full batch.
	// Fewer requests may only be waiting for the current engine step to end.
	fullBatchQueue = 4
	// batchReserveDivisor reserves 1/8 of a batch for requests not yet reported.
	batchReserveDivisor = 8
	// meanShift weights a new value in a moving average by 1/8.
	meanShift = 3
)

// instant is a time in nanoseconds since Router.origin.
type instant int64

func (r *Router) instant(t time.Time) instant { return instant(t.Sub(r.origin)) }

func (r *Router) time(at instant) time.Time { return r.origin.Add(time.Duration(at)) }

// delta is the start (+1) or end (-1) of a request of this daemon.
type delta struct {
	at     instant
	change int32
}

// node is the state of one upstream. Choose reads the atomic fields without the
// lock: if another goroutine is changing them, the choice is no worse than one
// made just before the change.
type node struct {
	id       int32
	limitID  throttler.ID
	config   *Config
	upstream atomic.Pointer[contractor.Upstream]
	// closed is true when the upstream gets no new requests.
	closed atomic.Bool
	// removed is true when the upstream is no longer announced. Router.mu guards it.
	removed bool

	// requests is the number of running and queued requests of all daemons: the
	// last reported number, plus the deltas of this daemon since.
	requests atomic.Int64
	// inFlight is the number of requests of this daemon.
	inFlight atomic.Int64
	// restricted is true while exclusive or antiAffinity is above zero.
	restricted atomic.Bool
	// exclusive and antiAffinity count the requests of this daemon whose Query
	// has the field set.
	exclusive    atomic.Int64
	antiAffinity atomic.Int64
	// zone is the upstream's zone, as a position in index.zones.
	zone atomic.Int32
	// observedAt is the instant at which the reported load was observed.
	observedAt atomic.Int64
	// loadCost is the delay of a first token, in nanoseconds, caused by the other
	// requests at the upstream. It is valid while the report is fresh.
	loadCost atomic.Int64
	// queueEnd is the instant at which the reported queue should have entered the batch.
	queueEnd atomic.Int64
	// batchSize is the largest number of running requests that was reported
	// together with a queue. Zero means unknown.
	batchSize atomic.Int64
	// backlogEnd is the instant at which the prompts from this daemon should be processed.
	backlogEnd atomic.Int64
	lastStart  atomic.Int64
	// ejectedUntil is a copy of health.ejectedUntil.
	ejectedUntil atomic.Int64
	// cacheGeneration is increased when knowledge of the upstream's cache becomes
	// uncertain (by one) or is lost (by cacheLostGenerations).
	cacheGeneration atomic.Uint32

	mu           sync.Mutex
	lastReport   LoadReport
	hasReport    bool
	deltas       []delta
	lastSequence uint64
	health       health
}

// begin counts the start of a request whose prompt takes the time prefill. It
// returns false if the upstream may no longer run the request.
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

// admits reports whether q may run beside the requests that are known to be here.
func (n *node) admits(now instant, q *Query) bool {
	if !q.Exclusive && !n.restricted.Load() {
		return true
	}
	if n.exclusive.Load() > 0 || q.AntiAffinity && n.antiAffinity.Load() > 0 {
		return false
	}
	return !q.Exclusive || n.inFlight.Load() == 0 && n.estimatedRequests(now) == 0
}

// estimatedRequests returns the probable number of running and queued requests.
func (n *node) estimatedRequests(now instant) int64 {
	own := n.inFlight.Load()
	observedAt := n.observedAt.Load()
	if observedAt == 0 || int64(now)-observedAt > int64(maxReportAge) {
		return own
	}
	return max(n.requests.Load(), own)
}

// countRestrictions adds change to the counts of exclusive and anti-affinity requests.
func (n *node) countRestrictions(q *Query, change int64) {
	if q.Exclusive {
		n.exclusive.Store(max(n.exclusive.Load()+change, 0))
	}
	if q.AntiAffinity {
		n.antiAffinity.Store(max(n.antiAffinity.Load()+change, 0))
	}
	n.restricted.Store(n.exclusive.Load() > 0 || n.antiAffinity.Load() > 0)
}

// addDelta counts and keeps d. At the limit it drops the older half of the deltas.
func (n *node) addDelta(d delta) {
	n.requests.Add(int64(d.change))
	if len(n.deltas) == maxDeltas {
		n.deltas = append(n.deltas[:0], n.deltas[maxDeltas/2:]...)
	}
	n.deltas = append(n.deltas, d)
}

// finish counts the end of a request.
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

// applyReport replaces the load and discards the deltas that it already includes.
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

// computeLoadCost returns the delay of a first token caused by other requests.
func (n *node) computeLoadCost(now instant) time.Duration {
	requests := n.estimatedRequests(now)
	return n.batchWait(requests) + time.Duration(requests)*n.config.RunningCost +
		time.Duration(n.inFlight.Load())*n.config.InFlightCost
}

// currentLoadCost returns loadCost, recomputed if the report is stale.
func (n *node) currentLoadCost(now instant) time.Duration {
	if int64(now)-n.observedAt.Load() > int64(maxReportAge) {
		return n.computeLoadCost(now)
	}
	return time.Duration(n.loadCost.Load())
}

// batchWait returns the expected wait until the batch has a free slot, for a
// number of requests already there.
func (n *node) batchWait(requests int64) time.Duration {
	batchSize := n.batchSize.Load()
	if batchSize == 0 || requests < batchSize-batchSize/batchReserveDivisor {
		return 0
	}
	return time.Duration(requests-(batchSize-batchSize/batchReserveDivisor)+1) * n.config.TypicalRequestTime / time.Duration(batchSize)
}

// queueWait returns the expected wait of the last queued request, given that
// each request that ends frees a slot in the batch.
func queueWait(report LoadReport, typicalRequestTime time.Duration) time.Duration {
	return time.Duration(report.Queued) * typicalRequestTime / time.Duration(max(report.Running, 1))
}

// recordSequence records the sequence number of a cache event and reports whether
// events were missed. A restart at number one means that the cache was lost.
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
