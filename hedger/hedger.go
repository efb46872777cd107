// Package hedger decides when a slow request is sent to a second upstream (hedged request).
//
// It learns the distribution of the time to first byte by service, route and size of the prompt. A
// request that waits for longer than a high quantile of it may be sent a second time, to another
// upstream; the first valid response is used. The extra work is limited to a share of the requests and of
// the prompt tokens of a window, and divided fairly among the accounts. No second send is made while the
// service as a whole is slow or rejects requests, because it would only add load then.
//
// The package does no I/O and takes the time as an argument.
//
//	h := hedger.New(hedger.Config{Share: 0.02, Quantile: 0.95})
//	delay := h.Begin(now, &r)
//	... // no first byte after delay
//	if h.Decide(now, &r, hedger.State{TimeLeft: left, Attempts: 3}) == hedger.Allowed {
//		... // send, or h.Return(now, &r) if no upstream is left
//	}
//	h.Observe(now, &r, took)
package hedger

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/resolver"
)

const (
	// MaxShare is the maximum share that operators can set.
	MaxShare = 0.2
	// DefaultQuantile is the quantile that applies unless another one is set.
	DefaultQuantile = 0.95

	// lateFactor is how many requests pass the delay for each one that the share allows. With 1, second sends
	// come late; with 2.5, the share is used up before the slowest requests pass the delay.
	lateFactor = 1.5
	// minDelay keeps requests of fast services from being sent twice because of the jitter of timers.
	minDelay = 5 * time.Millisecond
	// minObservations is the weight of observations from which a quantile is used. The 0.95 quantile
	// of fewer is the largest of them.
	minObservations = 20
	// latenessHalfLife is the time in which what is known about the lateness of a service falls by half.
	latenessHalfLife = time.Second
	// slowMargin is the fraction of late requests beyond the expected one from which the service as a
	// whole counts as slow. One slow upstream of four stays below it.
	slowMargin = 0.35
	// minLate is the weight of late requests below which a service does not count as slow.
	minLate = 4
	// fullFraction is the fraction of sends that were rejected for lack of capacity from which the service
	// counts as full.
	fullFraction = 0.05
	// deadlineMargin is what has to be left to the deadline beyond the median time to first byte.
	deadlineMargin = 50 * time.Millisecond
	// maxDistributions limits the memory: a distribution takes about 600 bytes. If there are more, all are
	// dropped.
	maxDistributions = 1024
	maxServices      = 256
	sizeClasses      = 10
)

// Reason says whether a second send is made, or why not.
type Reason uint8

const (
	// Allowed means that the second send is made and counted.
	Allowed Reason = iota
	// AttemptsUsed means that the route allows no further attempt.
	AttemptsUsed
	// Suspected means that the request may crash upstreams.
	Suspected
	// DeadlineNear means that a second response would probably be late.
	DeadlineNear
	// ServiceSlow means that too many requests of the service are late.
	ServiceSlow
	// ServiceFull means that upstreams of the service reject requests.
	ServiceFull
	// ShareUsed means that the share of requests or prompt tokens is used up.
	ShareUsed
	// AccountShareUsed means that the account has used its part of the share.
	AccountShareUsed
	// RetriesUsed means that the retry budget is used up. Package forwarder determines it.
	RetriesUsed
	// NoUpstream means that no other upstream may take the request. Package forwarder determines it.
	NoUpstream
	reasonCount
)

var reasonNames = [reasonCount]string{
	"allowed", "attempts_used", "suspected", "deadline_near", "service_slow", "service_full", "share_used", "account_share_used",
	"retries_used", "no_upstream",
}

// String returns the name used in metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Config holds the settings of a Hedger.
type Config struct {
	// Share is the maximum number of second sends as a fraction of the requests, and of their prompt
	// tokens as a fraction of all prompt tokens. Zero means that there are none.
	Share float64
	// Quantile is that of the time to first byte after which a request may be sent a second time.
	Quantile float64
	// Random returns numbers from 0 to below 1. Nil means math/rand/v2.
	Random   func() float64
	Recorder *recorder.Recorder
}

// ShareValid reports whether operators can set a share.
func ShareValid(share float64) bool { return share >= 0 && share <= MaxShare }

// QuantileValid reports whether operators can set a quantile.
func QuantileValid(quantile float64) bool { return quantile > 0.5 && quantile < 1 }

// Request describes a request.
type Request struct {
	Service      resolver.ServiceName
	Route        string
	Account      contractor.Account
	PromptTokens int64
}

// State is the state of a request when its delay has passed.
type State struct {
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Executions is the number of upstreams that may have executed the request, including the one
	// that it waits for. Attempts is the maximum of the route.
	Executions, Attempts int
	// Suspected is true if the request or a part of its prompt is suspected of crashing upstreams.
	Suspected bool
}

// key identifies a distribution. Times to first byte depend on the length of the prompt.
type key struct {
	service resolver.ServiceName
	route   string
	class   uint8
}

func keyOf(r *Request) key {
	return key{service: r.Service, route: r.Route, class: sizeClass(r.PromptTokens)}
}

// sizeClass returns the class of a prompt. Each has prompts of up to four times the length of the one before.
func sizeClass(tokens int64) uint8 {
	return uint8(min(bits.Len64(uint64(max(tokens, 0)))/2, sizeClasses-1))
}

// lateness holds decayed counts of the recent requests of a service.
type lateness struct {
	started, late, rejected float64
	at                      time.Time
	paused                  bool
}

func (l *lateness) decay(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(latenessHalfLife))
		l.started, l.late, l.rejected, l.at = l.started*factor, l.late*factor, l.rejected*factor, now
	}
}

// Hedger decides about second sends. It is safe for concurrent use.
type Hedger struct {
	config Config
	// quantile is that of the delay. It is at least 1 - lateFactor x Share: earlier second sends would use
	// the share up for requests that are not among the slowest.
	quantile float64

	mu            sync.Mutex
	distributions map[key]*distribution
	services      map[resolver.ServiceName]*lateness
	budget        budget
}

// New returns a Hedger that has learned nothing. It returns nil if the share is zero.
func New(c Config) *Hedger {
	if c.Share <= 0 {
		return nil
	}
	if c.Quantile <= 0 {
		c.Quantile = DefaultQuantile
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &Hedger{
		config: c, quantile: max(c.Quantile, 1-lateFactor*c.Share),
		distributions: make(map[key]*distribution), services: make(map[resolver.ServiceName]*lateness),
		budget: newBudget(),
	}
}

func (h *Hedger) service(now time.Time, name resolver.ServiceName) *lateness {
	l := h.services[name]
	if l == nil {
		if len(h.services) >= maxServices {
			clear(h.services)
		}
		l = &lateness{at: now}
		h.services[name] = l
	}
	l.decay(now)
	return l
}

// Begin counts a request. It returns the time after which a second send may be considered, or zero if too
// little is known.
func (h *Hedger) Begin(now time.Time, r *Request) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.addRequest(now, r, h.config.Random)
	h.service(now, r.Service).started++
	d := h.distributions[keyOf(r)]
	if d == nil || d.weight(now) < minObservations {
		return 0
	}
	return max(d.quantile(h.quantile), minDelay)
}

// Observe records the time to first byte of a request. If the request was cancelled because the second
// send was faster, that is how long it had waited: all that matters to a quantile is on which side
// of it an observation lies.
func (h *Hedger) Observe(now time.Time, r *Request, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := keyOf(r)
	d := h.distributions[k]
	if d == nil {
		if len(h.distributions) >= maxDistributions {
			clear(h.distributions)
		}
		d = &distribution{start: now}
		h.distributions[k] = d
	}
	d.add(now, took)
}

// RecordRejected records that an upstream rejected a request for lack of capacity.
func (h *Hedger) RecordRejected(now time.Time, service resolver.ServiceName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(now, service).rejected++
}

// Decide decides about a second send of a request for which Begin has returned a delay that has passed
// without a first byte. If it is allowed, it is counted.
func (h *Hedger) Decide(now time.Time, r *Request, s State) Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason := h.decide(now, r, s)
	if reason == Allowed {
		h.budget.addSend(r, 1)
	}
	return reason
}

func (h *Hedger) decide(now time.Time, r *Request, s State) Reason {
	service := h.service(now, r.Service)
	service.late++
	slow, full := h.isSlow(service), service.rejected > max(fullFraction*service.started, 1)
	h.recordPause(r.Service, service, slow, full)
	d := h.distributions[keyOf(r)]
	switch {
	case s.Suspected:
		return Suspected
	case s.Executions >= s.Attempts:
		return AttemptsUsed
	case slow:
		return ServiceSlow
	case full:
		return ServiceFull
	case d == nil || s.TimeLeft < d.quantile(0.5)+deadlineMargin:
		return DeadlineNear
	}
	return h.budget.check(now, r, h.config.Share, h.config.Random)
}

// isSlow reports whether the service as a whole is slow.
func (h *Hedger) isSlow(l *lateness) bool {
	return l.late >= minLate && l.late > (1-h.quantile+slowMargin)*l.started
}

// recordPause logs that second sends of a service are stopped or resumed.
func (h *Hedger) recordPause(name resolver.ServiceName, l *lateness, slow, full bool) {
	if paused := slow || full; paused != l.paused {
		l.paused = paused
		h.config.Recorder.Event(recorder.SecondSendsPaused, "service", name, "paused", paused, "slow", slow, "full", full)
	}
}

// Return takes back the count of a second send that Decide allowed and that was not made.
func (h *Hedger) Return(now time.Time, r *Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.advance(now, h.config.Random)
	h.budget.addSend(r, -1)
}
