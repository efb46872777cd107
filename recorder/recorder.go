// Package recorder collects the metrics of a daemon and logs its events.
//
// An event is a structured log entry with a number and a name from the catalogue, so
// that operators can search for it and alert on it; docs/EVENTS.md describes them all.
// Every event is counted, but only some per second of each number are logged. A nil
// *Recorder discards everything.
//
// Metrics have names with dots: refused.REASON, retried.REASON, event.NAME, and
// AREA.NAME for the rest. The counters of refusals and events exist from the start, so
// that they are shown before they first count. Code that counts often keeps the Counter.
// Handler serves all metrics to operators.
//
//	rec := recorder.New()
//	rec.CountRefusal(refuser.BudgetExhausted)
//	rec.Event(recorder.KeeperTakeover, "account", account, "epoch", epoch)
//
// The catalogue has one file per area, catalogue_AREA.go, with the constants of the
// area and one call of declare with their names:
//
//	const StoreWatchLost Code = 4003
//
//	var _ = declare(eventNames{StoreWatchLost: "store_watch_lost"})
//
// The numbers begin at 1000 for budgets and billing, 2000 for requests and upstreams,
// 3000 for claims, configuration and administration, 4000 for the store, 5000 for
// messages and membership, and 6000 for the daemon.
package recorder

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"laburnumline/refuser"
)

const (
	// reservoirSize is the number of values that a histogram samples.
	reservoirSize = 1028
	// reservoirDecay is the factor of exponential decay, which weights a histogram towards
	// the last minutes.
	reservoirDecay = 0.015

	suppressedCounter = "events_suppressed"
)

// Recorder holds the metrics of one daemon.
type Recorder struct {
	registry   metrics.Registry
	refusals   []metrics.Counter // by reason
	events     map[Code]*eventLimiter
	suppressed metrics.Counter
}

// New returns a recorder with a registry of its own.
func New() *Recorder {
	r := &Recorder{registry: metrics.NewRegistry(), events: make(map[Code]*eventLimiter)}
	for _, reason := range refuser.Reasons() {
		r.refusals = append(r.refusals, r.Counter("refused."+reason.String()))
	}
	for code, name := range codeNames {
		r.events[code] = &eventLimiter{counter: r.Counter("event." + name)}
	}
	r.suppressed = r.Counter(suppressedCounter)
	return r
}

// Registry returns the metrics. A nil recorder has an empty registry.
func (r *Recorder) Registry() metrics.Registry {
	if r == nil {
		return metrics.NewRegistry()
	}
	return r.registry
}

// Counter returns the counter with a name, for callers that count often and keep
// it. A nil recorder returns a counter that discards everything.
func (r *Recorder) Counter(name string) metrics.Counter {
	if r == nil {
		return metrics.NilCounter{}
	}
	return metrics.GetOrRegisterCounter(name, r.registry)
}

// Histogram returns the histogram with a name, for callers that add often and keep
// it. A nil recorder returns a histogram that discards everything.
func (r *Recorder) Histogram(name string) metrics.Histogram {
	if r == nil {
		return metrics.NilHistogram{}
	}
	return r.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirDecay))
}

// Count adds n to a counter.
func (r *Recorder) Count(name string, n int64) { r.Counter(name).Inc(n) }

// SetGauge sets a gauge.
func (r *Recorder) SetGauge(name string, value int64) {
	if r == nil {
		return
	}
	metrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// ObserveDuration adds a duration, in nanoseconds, to a histogram.
func (r *Recorder) ObserveDuration(name string, d time.Duration) { r.Histogram(name).Update(int64(d)) }

// CountRefusal counts one refusal under its reason.
func (r *Recorder) CountRefusal(reason refuser.Reason) {
	if r == nil || int(reason) >= len(r.refusals) {
		return
	}
	r.refusals[reason].Inc(1)
}

// CountRetry counts one retry under its reason.
func (r *Recorder) CountRetry(reason string) { r.Count("retried."+reason, 1) }

// Event counts an event and logs it with alternating keys and values, unless too many of
// its code have been logged in this second. It panics if the code is not in the catalogue.
func (r *Recorder) Event(code Code, keysAndValues ...any) {
	if r == nil {
		return
	}
	event, ok := r.events[code]
	if !ok {
		panic(code.String() + " is not in the catalogue of events")
	}
	event.counter.Inc(1)
	if !event.allow(time.Now()) {
		r.suppressed.Inc(1)
		return
	}
	klog.InfoS(code.String(), append([]any{"event", int(code)}, keysAndValues...)...)
}
