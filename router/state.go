package router

import (
	"cmp"
	"slices"
	"time"

	"laburnumline/contractor"
)

// State is the state of one upstream as shown to operators.
type State struct {
	Upstream contractor.Upstream `json:"upstream"`
	// Open is true when the upstream may get new requests.
	Open bool `json:"open"`
	// Ejected is true when the upstream gets no requests because of failures.
	Ejected bool `json:"ejected"`
	// InFlight is the number of requests of this daemon at the upstream.
	InFlight int `json:"in_flight"`
	// Running and Queued are the last reported load.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// ReportAge is the age of the reported load. It is negative if there is no report.
	ReportAge time.Duration `json:"report_age"`
	// FirstToken is a moving average of the time to the first token.
	FirstToken time.Duration `json:"first_token"`
}

// Snapshot returns the state of every upstream, sorted by name.
func (r *Router) Snapshot(now time.Time) []State {
	var list []State
	for _, n := range r.index.Load().byName {
		list = append(list, r.state(now, n))
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Upstream.Name, b.Upstream.Name) })
	return list
}

func (r *Router) state(now time.Time, n *node) State {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := State{
		Upstream:   *n.upstream.Load(),
		Open:       !n.closed.Load(),
		Ejected:    r.instant(now) < n.health.ejectedUntil(),
		InFlight:   int(n.inFlight.Load()),
		Running:    n.lastReport.Running,
		Queued:     n.lastReport.Queued,
		ReportAge:  -1,
		FirstToken: n.health.meanFirstToken,
	}
	if n.hasReport {
		s.ReportAge = time.Duration(int64(r.instant(now)) - n.observedAt.Load())
	}
	return s
}

// Drained reports whether this daemon has no request in flight at an upstream.
func (r *Router) Drained(upstream string) bool {
	n := r.node(upstream)
	return n == nil || n.idle()
}

func (n *node) idle() bool { return n.inFlight.Load() == 0 }
