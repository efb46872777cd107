package balancer

import "time"

// Figure is one number of a load report. The zero value is a figure that was not reported.
type Figure struct {
	value int
	known bool
}

// NewFigure returns a figure that was reported.
func NewFigure(value int) Figure { return Figure{value: value, known: true} }

// Load is the load that an upstream reported in a response. Each figure may be missing.
type Load struct {
	// Running and Waiting count the requests in execution and in the queue, Slots those that the
	// upstream can execute at a time.
	Running, Waiting, Slots Figure
	// Slowdown is how long work takes at the upstream now, relative to its usual time. Zero means
	// that it was not reported.
	Slowdown float64
}

// loadLifetime is how long a reported figure is used. Reports are several hundred
// milliseconds old when they arrive.
const loadLifetime = time.Second

// report holds the latest figures that an upstream has reported.
type report struct {
	running, waiting, slots timedFigure
}

// timedFigure is a figure and the time until which it is used.
type timedFigure struct {
	value int
	until time.Time
}

func (f *timedFigure) set(now time.Time, figure Figure) {
	if figure.known {
		f.value, f.until = figure.value, now.Add(loadLifetime)
	}
}

// fresh returns the value, or zero if it is older than loadLifetime.
func (f *timedFigure) fresh(now time.Time) int {
	if now.After(f.until) {
		return 0
	}
	return f.value
}

// record replaces the figures that a report contains. The others keep their values and ages.
func (r *report) record(now time.Time, l Load) {
	r.running.set(now, l.Running)
	r.waiting.set(now, l.Waiting)
	r.slots.set(now, l.Slots)
}

// recordFull records that the upstream had no capacity: as many requests as it has slots wait.
func (r *report) recordFull(now time.Time) {
	r.waiting.set(now, NewFigure(max(r.waiting.value, r.slots.value)))
	r.running.until = now.Add(loadLifetime)
}

// requests returns how many requests the upstream has according to its fresh figures.
func (r *report) requests(now time.Time) int { return r.running.fresh(now) + r.waiting.fresh(now) }
