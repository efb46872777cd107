package router

import "time"

const (
	// ejectionThreshold is the number of consecutive failures that ejects an upstream.
	ejectionThreshold = 3
	// crashWeight is the number of failures that one crash counts as.
	crashWeight  = 2
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// maxEjectionShift limits how often the ejection time is doubled.
	maxEjectionShift = 6
	// probeTimeout is the time after which another probe may start although the
	// last one has not ended.
	probeTimeout = 10 * time.Second
)

// healthEvent is a change of an upstream's health.
type healthEvent uint8

const (
	healthUnchanged healthEvent = iota
	healthEjected
	healthRecovered
)

// health detects a failing upstream by the outcomes of its requests.
//
// Consecutive failures eject the upstream: it gets no requests for the ejection
// time. Then one request at a time is sent as a probe until one succeeds. A
// failed probe ejects the upstream again for twice the time.
type health struct {
	failures       int
	ejections      int
	ejectionEnd    instant
	probeDeadline  instant
	meanFirstToken time.Duration
}

// ejectedUntil is the end of the ejection or of the current probe. Until then
// the upstream should get no requests. It is zero if there is neither.
func (h *health) ejectedUntil() instant { return max(h.ejectionEnd, h.probeDeadline) }

// begin records the start of a request, which is a probe if an ejection has
// ended, and returns ejectedUntil.
func (h *health) begin(now instant) instant {
	if h.ejections > 0 && now >= h.ejectedUntil() {
		h.probeDeadline = now + instant(probeTimeout)
	}
	return h.ejectedUntil()
}

// record applies the outcome of a request. Overloaded and Abandoned say nothing
// about the upstream's health and only end a probe.
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
