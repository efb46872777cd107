package router

import "time"

const (
	// ejectionThreshold is the number of failures in a row that eject an upstream.
	ejectionThreshold = 3
	// crashWeight is the number of failures that a crash counts for.
	crashWeight      = 2
	baseEjection     = time.Second
	maxEjection      = 30 * time.Second
	maxEjectionShift = 6
	// probeTimeout is the time after which a further probe may run.
	probeTimeout = 10 * time.Second
)

// healthEvent is a change of an upstream's health.
type healthEvent uint8

const (
	healthUnchanged healthEvent = iota
	healthEjected
	healthRecovered
)

// health judges an upstream by the outcomes of its work.
//
// Failures in a row eject it. When the ejection ends, one request at a time
// probes the upstream until one succeeds; a failure ejects it for twice as long.
type health struct {
	failures       int
	ejections      int
	ejectionEnd    instant
	probeDeadline  instant
	meanFirstToken time.Duration
}

// ejectedUntil is the time until which the upstream should get no work. It is
// zero when the upstream is not ejected.
func (h *health) ejectedUntil() instant { return max(h.ejectionEnd, h.probeDeadline) }

// begin notes that work starts, which is a probe after an ejection.
func (h *health) begin(now instant) instant {
	if h.ejections > 0 && now >= h.ejectedUntil() {
		h.probeDeadline = now + instant(probeTimeout)
	}
	return h.ejectedUntil()
}

func (h *health) record(now instant, o Outcome, firstToken time.Duration) healthEvent {
	switch o {
	case Succeeded:
		return h.succeed(firstToken)
	case Failed, TimedOut:
		return h.fail(now, 1)
	case Crashed:
		return h.fail(now, crashWeight)
	}
	h.probeDeadline = 0
	return healthUnchanged
}

func (h *health) succeed(firstToken time.Duration) healthEvent {
	h.meanFirstToken += (firstToken - h.meanFirstToken) / (1 << meanShift)
	recovered := h.ejections > 0
	h.failures, h.ejections, h.ejectionEnd, h.probeDeadline = 0, 0, 0, 0
	if recovered {
		return healthRecovered
	}
	return healthUnchanged
}

func (h *health) fail(now instant, weight int) healthEvent {
	h.failures += weight
	if h.failures < ejectionThreshold && h.ejections == 0 {
		return healthUnchanged
	}
	if now < h.ejectionEnd {
		return healthUnchanged
	}
	h.ejectionEnd = now + instant(min(baseEjection<<h.ejections, maxEjection))
	h.probeDeadline = 0
	h.ejections = min(h.ejections+1, maxEjectionShift)
	return healthEjected
}
