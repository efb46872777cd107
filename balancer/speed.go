package balancer

import (
	"math"
	"time"
)

// Factors on a time are relative: 2 means that work takes twice as long. Those of a service relate
// to the constants prefillTokensPerSecond and requestCost, those of an upstream to its service.
const (
	// fixedTime is the part of a time to first byte that does not depend on the load: connection,
	// one step of the engine, and the first token.
	fixedTime = 8 * time.Millisecond
	// The factors of a service stay within these limits, whatever is observed.
	minServiceFactor, maxServiceFactor = 0.1, 8.0
	// minFactor and maxFactor limit the factor of an upstream. Upstreams are up to 1.6 times as
	// fast as usual, and at times 5 times slower.
	minFactor, maxFactor = 0.4, 8.0
	// serviceGain is the fraction of an error by which one observation corrects the factors of a
	// service. It begins at firstServiceGain, so that the first few observations suffice.
	firstServiceGain, serviceGain = 0.3, 0.04
	// usualGain is the same for the learned factor of an upstream, once there are several
	// observations. maxUsualStep limits the error in the logarithm, so that a passing slowdown
	// changes it little.
	usualGain, maxUsualStep = 0.08, 0.5
	// recentGain is the same for the recent factor.
	recentGain = 0.5
	// usualTolerance and recentTolerance are the deviations that are not used. They are due to the
	// uncertain contents of caches, and must not move requests away from their cached parts.
	usualTolerance, recentTolerance = 1.15, 1.5
	// unevenFactor is the learned factor from which an upstream is logged as slower or faster.
	unevenFactor = 1.3
	// recentLifetime is the time in which the recent factor fades. Slowdowns last about 600 ms.
	recentLifetime = 800 * time.Millisecond
	// weightTime is the predicted time at which an observation has half its weight. Shorter ones
	// consist mostly of times that do not depend on the upstream's speed.
	weightTime = 40 * time.Millisecond
	// reportTolerance is the slowdown from which a report is compared with the observations, and
	// reportGain the weight of one comparison.
	reportTolerance, reportGain = 1.3, 0.2
	// overdueFactor is how many times its predicted time, and overdueTime how much beyond that, a
	// request waits before it counts as a sign that the upstream is slow.
	overdueFactor, overdueTime = 2.0, 60 * time.Millisecond
)

// work is what has to be done before the first byte of a response, at the constant rates.
type work struct {
	prefill  time.Duration // of the request and of those ahead of it
	requests time.Duration // delay by the requests in flight
}

// serviceSpeed holds the factors of a service. All upstreams contribute, so that a daemon that
// sees few requests learns them soon.
type serviceSpeed struct {
	prefill, request float64
	observations     int
	observedAt       time.Time
	mix              priorityMix
	demand           demand
	// duration is the mean duration of a request. returnsAt is when there is room for all callers
	// that were refused.
	duration  time.Duration
	returnsAt time.Time
	// fullUntil is when no upstream counts as full any more.
	fullUntil time.Time
	// meanTokens is the mean of prompt and maximum output of a request.
	meanTokens float64
}

// predict returns the time that the work takes at a usual upstream of the service.
func (v *serviceSpeed) predict(w work) time.Duration {
	return fixedTime + time.Duration(v.prefill*float64(w.prefill)+v.request*float64(w.requests))
}

// learn corrects both factors by a normalized gradient step. Outliers count as three times the
// predicted time.
func (v *serviceSpeed) learn(w work, took time.Duration) {
	predicted := v.predict(w)
	failed := min(took-predicted, 2*predicted).Seconds()
	prefill, requests := w.prefill.Seconds(), w.requests.Seconds()
	norm := prefill*prefill + requests*requests
	if norm < 1e-6 { // less than a millisecond of work tells nothing
		return
	}
	gain := max(firstServiceGain/(1+float64(v.observations)/4), serviceGain) * failed / norm
	v.prefill = clamp(v.prefill+gain*prefill, minServiceFactor, maxServiceFactor)
	v.request = clamp(v.request+gain*requests, minServiceFactor, maxServiceFactor)
	v.observations++
}

// showsWork reports whether times to first byte are known to depend on the work. They do not if upstreams
// begin to respond before they have processed the prompt, and then say nothing about an upstream's speed.
func (v *serviceSpeed) showsWork() bool {
	return v.observations >= minObservations && v.prefill > 2*minServiceFactor
}

// upstreamSpeed holds how fast one upstream is relative to its service. What it usually is and what
// it is now are kept apart, so that a passing slowdown has no lasting effect.
type upstreamSpeed struct {
	// even is true while nothing has been learned or reported that makes the factor differ from 1.
	even bool
	// uneven is true if the factor was beyond unevenFactor and has not been 1 since.
	uneven bool
	// usual is the learned factor as it is used. It is 1 within the tolerance.
	usual float64
	// recent is what the last observations were beyond the learned and the reported factor, at
	// least 1.
	recent float64
	// reported is the slowdown that the upstream reported. It is used until reportedUntil.
	reported      float64
	reportedUntil time.Time
	// withReport and withoutReport are the mean errors of predictions with and without the
	// report. A report that makes them worse is not used.
	withReport, withoutReport float64
	recentAt                  time.Time
	usualLog                  float64 // logarithm of the learned factor
	observations              float64 // weighted
}

func newUpstreamSpeed() upstreamSpeed { return upstreamSpeed{usual: 1, recent: 1, even: true} }

// report records a slowdown that the upstream reported. Zero means that it reported none.
func (p *upstreamSpeed) report(now time.Time, slowdown float64) {
	if slowdown > 0 {
		p.even = false
		p.reported, p.reportedUntil = clamp(slowdown, minFactor, maxFactor), now.Add(loadLifetime)
	}
}

// slowdown returns the reported slowdown, or 1 if it is not known now.
func (p *upstreamSpeed) slowdown(now time.Time) float64 {
	if now.After(p.reportedUntil) {
		return 1
	}
	return p.reported
}

// trusted reports whether the reports have not made predictions worse.
func (p *upstreamSpeed) trusted() bool { return p.withReport <= p.withoutReport+0.05 }

// recentFactor returns the recent factor, which fades to 1.
func (p *upstreamSpeed) recentFactor(now time.Time) float64 {
	rest := 1 - float64(now.Sub(p.recentAt))/float64(recentLifetime)
	if rest <= 0 {
		return 1
	}
	return 1 + (p.recent-1)*min(rest, 1)
}

// factor returns how long work takes at the upstream now, relative to its service.
func (p *upstreamSpeed) factor(now time.Time) float64 {
	current := 1.0
	if p.recent >= recentTolerance {
		if current = p.recentFactor(now); current < recentTolerance {
			current = 1
		}
	}
	if p.trusted() {
		current *= p.slowdown(now)
	}
	return clamp(p.usual*current, minFactor, maxFactor)
}

// learn records the time to first byte of a request for which the service predicts a time. slowdown
// is the larger one of those reported before and after, because a slowdown that begins or ends in
// between affects the request.
func (p *upstreamSpeed) learn(now time.Time, predicted, took time.Duration, slowdown float64) {
	weight := float64(predicted) / float64(predicted+weightTime)
	ratio := clamp(float64(took)/float64(predicted), 1/maxFactor, maxFactor)
	if slowdown > reportTolerance || slowdown < 1/reportTolerance {
		plain := math.Log(ratio) - p.usualLog
		p.withReport += reportGain * weight * (math.Abs(plain-math.Log(slowdown)) - p.withReport)
		p.withoutReport += reportGain * weight * (math.Abs(plain) - p.withoutReport)
	}
	explained := p.trusted() && slowdown > reportTolerance
	if p.trusted() {
		ratio /= slowdown
	}
	if !explained {
		p.learnUsual(ratio, weight)
	}
	current := p.recentFactor(now)
	p.recent = clamp(current+recentGain*weight*(ratio/math.Exp(p.usualLog)-current), 1, maxFactor)
	p.recentAt = now
	p.even = p.usual == 1 && p.recent < recentTolerance && now.After(p.reportedUntil)
}

// learnUsual corrects the learned factor. It is not called for the time of a reported slowdown, which
// tells little about the usual speed.
func (p *upstreamSpeed) learnUsual(ratio, weight float64) {
	p.observations += weight
	step := clamp(math.Log(ratio)-p.usualLog, -maxUsualStep, maxUsualStep)
	p.usualLog += max(1/(p.observations+3), usualGain) * weight * step
	p.usual = 1
	if math.Abs(p.usualLog) > math.Log(usualTolerance) {
		p.usual = math.Exp(p.usualLog * p.observations / (p.observations + 2))
	}
}

// changed reports whether the upstream has become uneven or ceased to be so since the last call.
func (p *upstreamSpeed) changed() bool {
	uneven := p.uneven && p.usual != 1 || p.usual > unevenFactor || p.usual < 1/unevenFactor
	changed := uneven != p.uneven
	p.uneven = uneven
	return changed
}

// overdue returns the factor that the longest wait of a request for its first byte shows, or 1 if it
// shows no slowdown.
func overdue(waited, predicted time.Duration) float64 {
	if predicted <= 0 || waited < time.Duration(overdueFactor*float64(predicted))+overdueTime {
		return 1
	}
	return min(float64(waited)/float64(predicted), maxFactor)
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }
