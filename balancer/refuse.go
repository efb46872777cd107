package balancer

import (
	"fmt"
	"time"
)

// Reason says why no upstream was chosen.
type Reason uint8

const (
	// Unavailable means that no upstream is left.
	Unavailable Reason = iota
	// Limited means that request limits or pauses forbid all upstreams.
	Limited
	// AllFull means that all upstreams have just rejected requests for lack of capacity.
	AllFull
	// TooLate means that the response cannot begin anywhere before the deadline.
	TooLate
	// OverShare means that upstreams are congested and the account asks for more than its share.
	OverShare
)

// String returns the name for logs and counters.
func (r Reason) String() string {
	names := [...]string{"unavailable", "limited", "all_full", "too_late", "over_share"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

const (
	// lateFraction is the fraction of the time left within which the first byte has to be expected. In an
	// overload the queues grow until it just is, and the rest is for errors of the prediction and
	// for the output.
	lateFraction = 0.9
	// minObservations and observationLifetime limit refusals to services whose predictions are
	// based on recent responses: otherwise a wrong prediction could refuse all requests for ever.
	minObservations     = 20
	observationLifetime = 2 * time.Second
	// congestedTime is the fraction of the time left from which a predicted time to first byte
	// shows congestion, congestedFull the fraction of upstreams that have just rejected requests.
	congestedTime, congestedFull = 0.6, 0.5
	// defaultDuration is the duration of a request of which none is known.
	defaultDuration = time.Second
	// durationGain is the weight of one request in the mean duration.
	durationGain = 0.1
	// minFull and maxFull limit how long an upstream that has rejected a request counts as full.
	minFull, maxFull = 20 * time.Millisecond, 250 * time.Millisecond

	// minRetryAfter and maxRetryAfter limit a Retry-After. It is at most a third of the time left, so
	// that the caller has further attempts.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 5 * time.Second
	retryFraction                = 3
	// minSpread and maxSpread are the factors between which a Retry-After varies, so that callers
	// do not return together.
	minSpread, maxSpread = 0.75, 1.5
	// unavailableWait is the wait for upstreams when none is left. They appear and recover within
	// about a second.
	unavailableWait = 500 * time.Millisecond
)

// recordDuration corrects the mean duration of a request from its choice to its end.
func (v *serviceSpeed) recordDuration(d time.Duration) {
	if v.duration == 0 {
		v.duration = d
		return
	}
	v.duration += time.Duration(durationGain * float64(d-v.duration))
}

// meanDuration returns the mean duration of a request.
func (v *serviceSpeed) meanDuration() time.Duration {
	if v.duration <= 0 {
		return defaultDuration
	}
	return v.duration
}

// slotTime returns the mean time until one of the busy slots of an upstream is free.
func (v *serviceSpeed) slotTime(slots int) time.Duration {
	return v.meanDuration() / time.Duration(max(slots, 1))
}

// reliable reports whether predictions for the service are based on recent responses.
func (v *serviceSpeed) reliable(now time.Time) bool {
	return v.observations >= minObservations && now.Sub(v.observedAt) <= observationLifetime
}

// admission is what decides whether a request is refused.
type admission struct {
	// firstByte is the lowest predicted time to first byte at any upstream, busy whether all have
	// requests in flight. An idle upstream shows whether a prediction is wrong.
	firstByte time.Duration
	busy      bool
	timeLeft  time.Duration
	reliable  bool
	// full is the number of upstreams that have just rejected requests, upstreams that of all.
	full, upstreams int
	// preferred is the index of the preferred upstream.
	preferred int
	// excess is the fraction of the account's demand beyond its share, random from 0 to below 1.
	excess, random float64
}

// refuse reports whether a request is refused and why.
func (a *admission) refuse() (Reason, bool) {
	late := a.reliable && a.busy && a.timeLeft > 0
	switch {
	case a.full == a.upstreams:
		return AllFull, true
	case late && float64(a.firstByte) > lateFraction*float64(a.timeLeft):
		return TooLate, true
	}
	return OverShare, a.random < a.overShare()
}

// overShare returns the probability of a refusal because upstreams are congested and the account asks for
// more than its share.
func (a *admission) overShare() float64 {
	late := a.reliable && a.busy && a.timeLeft > 0
	congested := late && float64(a.firstByte) > congestedTime*float64(a.timeLeft) || float64(a.full) >= congestedFull*float64(a.upstreams)
	if !congested || a.upstreams == 0 {
		return 0
	}
	return a.excess
}

// waitForRoom returns the time until there is room for the request and for those that have been
// refused before. inFlight is the number of requests of this daemon, which tells its share of the
// slots that become free.
func (v *serviceSpeed) waitForRoom(now time.Time, room time.Duration, inFlight int) time.Duration {
	if v.returnsAt.Before(now) {
		v.returnsAt = now
	}
	v.returnsAt = v.returnsAt.Add(v.meanDuration() / time.Duration(max(inFlight, 1)))
	if latest := now.Add(maxRetryAfter); v.returnsAt.After(latest) {
		v.returnsAt = latest
	}
	return max(room, v.returnsAt.Sub(now))
}

// retryAfter returns the Retry-After for a predicted wait. Where a limit cuts the spread, it is spread
// on the other side of the limit, because callers that are told the limit itself would return together.
func retryAfter(wait, timeLeft time.Duration, random float64) time.Duration {
	latest := maxRetryAfter
	if timeLeft > 0 {
		latest = min(latest, timeLeft/retryFraction)
	}
	low, high := minSpread*float64(wait), maxSpread*float64(wait)
	if high > float64(latest) {
		low, high = min(low, minSpread*float64(latest)), float64(latest)
	}
	if low < float64(minRetryAfter) {
		low, high = float64(minRetryAfter), max(high, maxSpread*float64(minRetryAfter))
	}
	return time.Duration(low + (high-low)*random)
}

// RetryAfter returns the predicted time until there is room for a request that upstreams have rejected
// for lack of capacity.
func (b *Balancer) RetryAfter(now time.Time, q Query) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryAfter(now, &q, AllFull, 0)
}

// retryAfter returns the Retry-After of a refusal. firstByte is the predicted time of a request that is
// too late. The lock is held.
func (b *Balancer) retryAfter(now time.Time, q *Query, reason Reason, firstByte time.Duration) time.Duration {
	random := b.config.Random()
	if reason == Unavailable || len(q.Candidates) == 0 {
		return retryAfter(unavailableWait, q.TimeLeft, random)
	}
	service, inFlight, slots := b.service(q), 0, 1
	for i := range q.Candidates {
		inFlight += b.state(&q.Candidates[i]).inFlight
		slots = max(slots, q.Candidates[i].Slots)
	}
	room := service.slotTime(slots)
	if reason == TooLate {
		room = firstByte - q.TimeLeft // the queue has to become shorter by that
	}
	return retryAfter(service.waitForRoom(now, room, inFlight), q.TimeLeft, random)
}

// refusal returns the choice of a request that is refused, and counts it. The lock is held.
func (b *Balancer) refusal(now time.Time, q *Query, reason Reason, firstByte time.Duration) Choice {
	b.config.Recorder.Count("balancer.refused."+reason.String(), 1)
	return Choice{Reason: reason, RetryAfter: b.retryAfter(now, q, reason, firstByte)}
}

// noCandidates returns the choice of a request for which no upstream may be chosen. The lock is held.
func (b *Balancer) noCandidates(now time.Time, q *Query) Choice {
	if wait := b.config.Limits.RetryAfter(now, b.limitIDs(*q)); wait > 0 {
		b.config.Recorder.Count("balancer.refused."+Limited.String(), 1)
		return Choice{Reason: Limited, RetryAfter: wait}
	}
	for i := range q.Candidates {
		if !now.Before(b.state(&q.Candidates[i]).fullUntil) {
			return b.refusal(now, q, Unavailable, 0)
		}
	}
	if len(q.Candidates) == 0 {
		return b.refusal(now, q, Unavailable, 0)
	}
	return b.refusal(now, q, AllFull, 0)
}
