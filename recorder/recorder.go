// Package recorder counts what happens in a daemon and logs numbered events.
//
// Every event has a number in the catalogue, so that operators can search and
// alarm on it; docs/EVENTS.md lists them. Each event is counted; of one kind only
// some are logged per second. A nil *Recorder discards everything.
//
// Counters have names with dots: refused.REASON, retried.REASON, event.NAME, and
// AREA.NAME for the rest. Those of refusals and events exist from the start. Code
// that counts often keeps the Counter. Handler shows all values to operators.
//
//	rec := recorder.New()
//	rec.Refused(refuser.BudgetExhausted)
//	rec.Event(recorder.KeeperTakeover, "account", account, "epoch", epoch)
//
// The catalogue has one file per area, catalogue_AREA.go, with the typed
// constants of the area and one call that declares their names:
//
//	const WatchLost Code = 3001
//
//	var _ = declare(areaNames{WatchLost: "watch_lost"})
//
// Ranges: 1000 budgets and billing, 2000 requests and upstreams, 3000
// configuration and administration, 4000 store, 5000 messages and membership,
// 6000 daemon.
package recorder

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"laburnumline/refuser"
)

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 1028
	// sampleDecay weights a histogram to the last minutes.
	sampleDecay = 0.015

	suppressedEvents = "events_suppressed"
)

// Recorder holds the counters of one daemon.
type Recorder struct {
	registry   metrics.Registry
	refusals   []metrics.Counter // by reason
	events     map[Code]*eventKind
	suppressed metrics.Counter
}

// New returns a recorder with a registry of its own.
func New() *Recorder {
	r := &Recorder{registry: metrics.NewRegistry(), events: make(map[Code]*eventKind)}
	for _, reason := range refuser.Reasons() {
		r.refusals = append(r.refusals, r.Counter("refused."+reason.String()))
	}
	for code, name := range codeNames {
		r.events[code] = &eventKind{counter: r.Counter("event." + name)}
	}
	r.suppressed = r.Counter(suppressedEvents)
	return r
}

// Registry returns the counters. A nil recorder has an empty registry.
func (r *Recorder) Registry() metrics.Registry {
	if r == nil {
		return metrics.NewRegistry()
	}
	return r.registry
}

// Counter returns the counter of a name, for callers that count often and keep
// it. A nil recorder returns a counter that discards everything.
func (r *Recorder) Counter(name string) metrics.Counter {
	if r == nil {
		return metrics.NilCounter{}
	}
	return metrics.GetOrRegisterCounter(name, r.registry)
}

// Histogram returns the histogram of a name, for callers that add often and keep
// it. A nil recorder returns a histogram that discards everything.
func (r *Recorder) Histogram(name string) metrics.Histogram {
	if r == nil {
		return metrics.NilHistogram{}
	}
	return r.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
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

// ObserveDuration adds a duration to a histogram of nanoseconds.
func (r *Recorder) ObserveDuration(name string, d time.Duration) { r.Histogram(name).Update(int64(d)) }

// CountRefusal counts one refusal.
func (r *Recorder) CountRefusal(reason refuser.Reason) {
	if r == nil || int(reason) >= len(r.refusals) {
		return
	}
	r.refusals[reason].Inc(1)
}

// CountRetry counts one retry for a reason.
func (r *Recorder) CountRetry(reason string) { r.Count("retried."+reason, 1) }

// Event logs a numbered event with pairs of keys and values. A code that is not
// in the catalogue panics.
func (r *Recorder) Event(code Code, pairs ...any) {
	if r == nil {
		return
	}
	kind, ok := r.events[code]
	if !ok {
		panic(code.String() + " is not in the catalogue of events")
	}
	kind.counter.Inc(1)
	if !kind.admit(time.Now()) {
		r.suppressed.Inc(1)
		return
	}
	klog.InfoS(code.String(), append([]any{"event", int(code)}, pairs...)...)
}
