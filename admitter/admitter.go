// Package admitter decides whether an overloaded daemon takes another request.
//
// VMs are small and differ, and callers are distributed over daemons by a hash, so a daemon may
// receive several times its share. Without a limit it then accepts requests that it cannot
// finish in time. An Admitter refuses some of them as soon as their headers are known, before
// their bodies have used the link and the memory.
//
// It distinguishes two kinds of resources. The link and the CPU are used at a rate. When one has
// been saturated for longer than a short peak, requests are admitted at a limited rate, which is
// adjusted until the utilization is at its target; the rest of the link is for the store and for
// other daemons. Descriptors, memory and the bytes of requests in progress are occupied: requests
// are admitted up to a fraction of the limit. A resource whose limit is unknown is not considered.
//
// Requests of accounts that use more than their fair share are refused first, then the least
// urgent ones.
//
//	a := admitter.New(admitter.Config{Limits: limits, Random: rand.Float64})
//	a.Tick(now) // each SampleInterval
//	a.Observe(now, sample)
//	d := a.Admit(now, &request)
//	if d.Admitted {
//		defer func() { a.Done(time.Now(), &request) }()
//		...
//	}
package admitter

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

const (
	// SampleInterval is the time between two calls of Observe.
	SampleInterval = 50 * time.Millisecond

	// linkLimit is the utilization from which on a link is saturated, linkTarget the one to which
	// admissions are limited. Payload fills at most about 0.8 of the bandwidth, so an eighth of it
	// is reserved for the store and for other daemons.
	linkLimit  = 0.74
	linkTarget = 0.68
	// tickDelayLimit is the delay of a timer from which on the CPU is saturated. A VM with 0.144 cores
	// may be suspended for 86 ms of each 100 ms although it has little to do.
	tickDelayLimit = 100 * time.Millisecond
	// strainDelay is the delay of a timer from which on connections may fail because of the CPU. Dials and probes
	// have 300 ms and more.
	strainDelay = 250 * time.Millisecond
	// linkPeakTime and cpuPeakTime are how long a resource has to be saturated before the rate of admissions
	// is limited. A peak of 0.3 s at three times the rate of the link saturates it for 1.7 s, but no caller
	// abandons a request then; maxBacklog bounds longer ones.
	linkPeakTime = 2 * time.Second
	cpuPeakTime  = 400 * time.Millisecond
	// releaseTime is how long a resource has to be far below its target before admissions are
	// no longer limited.
	releaseTime  = time.Second
	releaseRatio = 0.8

	// The rate of admissions follows the inverse of the load with this exponent, per SampleInterval. The
	// load is known up to 8 intervals late; a larger exponent makes the rate oscillate.
	rateExponent = 0.15
	maxDecrease  = 0.9
	maxIncrease  = 1.02
	// maxAdjustTime limits the effect of one sample that is late.
	maxAdjustTime = 500 * time.Millisecond
	// minRateFraction is the lowest rate, as a fraction of the one at which the limit began. What refused
	// callers have sent uses the link as well, and would otherwise exclude all requests.
	minRateFraction = 0.25

	// maxBacklog is how long the link may need for the bodies that were admitted and have not been read while
	// it is saturated, at linkTarget. It bounds what arrives before the rate is limited. Callers abandon a request
	// that has not been read after a second or waitFraction of their time. The least urgent requests, and those of accounts over their fair share, get
	// fractions of it.
	maxBacklog     = time.Second
	minBacklog     = 500 * time.Millisecond // so that two long bodies do not exclude requests with short deadlines
	urgencyBacklog = 0.3
	shareBacklog   = 0.85
	// maxBodyBacklog is how much of the backlog one body may be. A long one shares the link with others.
	maxBodyBacklog = 200 * time.Millisecond

	// burstTime is the capacity of the token bucket, maxDebtTime how far a long request may overdraw it.
	burstTime   = 250 * time.Millisecond
	maxDebtTime = 500 * time.Millisecond
	// Fractions of the bucket that have to be left for the least urgent requests, and for those of an
	// account over its fair share.
	urgencyReserve = 0.55
	shareReserve   = 0.4

	// Fractions of a limit up to which the most and the least urgent requests occupy it. Accounts over
	// their fair share stay further below.
	maxOccupied        = 0.95
	urgencyOccupied    = 0.15
	shareOccupied      = 0.1
	lowestOccupied     = maxOccupied - urgencyOccupied - shareOccupied
	inProgressFraction = 0.35

	// RequestBytes is what a request occupies besides its body: goroutine, buffers and headers.
	RequestBytes = 32 << 10
	// requestDescriptors is the number of connections of a request.
	requestDescriptors = 2
	// requestCost is the cost of a request besides its body, in bytes on the link.
	requestCost = 2 << 10
	// maxLength is what a body counts at most. The limit of the configuration, which is lower, is checked later.
	maxLength = 16 << 20
	// unknownLength is assumed for bodies without a stated length. What they occupy beyond that is added by Grow.
	unknownLength = 64 << 10

	// minCPURateFraction is the same for the CPU, of which a refusal uses little.
	minCPURateFraction = 0.1
	// minRequestsPerCore is the number of requests per second and core that are always admitted. With fewer,
	// something else uses the CPU, such as the start of the daemon.
	minRequestsPerCore = 50
	// While admitted bodies need more than drainBacklog on the link, or the CPU is saturated, requests are
	// admitted at drainFraction of what it can do.
	drainBacklog  = 200 * time.Millisecond
	drainFraction = 0.85
	// minDrainFraction is the lowest such fraction, for long queues for the CPU.
	minDrainFraction = 0.5
	// minCompletedFraction is the lowest rate at which the limit begins, as a fraction of what was admitted.
	// Long streams have admissions long before they complete.
	minCompletedFraction = 0.1
	// minLinkFraction is the part of the link that requests get whatever else uses it.
	minLinkFraction = 0.25

	// rateDecay and shareDecay are the time constants of the rates of all requests and of accounts.
	rateDecay  = 500 * time.Millisecond
	shareDecay = 2 * time.Second
	// baseDecay is that of the rate at which the limit for the link begins. Requests with large responses are
	// too rare for rateDecay.
	baseDecay = 5 * time.Second
	// maintenanceInterval is the time between two updates of the fair share of a daemon that is not overloaded.
	maintenanceInterval = time.Second

	leastUrgent = 9

	// Refused callers return spread over retryAfter x minSpread to maxSpread, and later the larger the part of
	// the requests that is refused.
	retryAfter    = 400 * time.Millisecond
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	maxExcess     = 8
	minSpread     = 0.75
	maxSpread     = 1.5
	// waitFraction is the part of a caller's remaining time after which it abandons a request that has not been
	// read, and after which it may retry at the latest.
	waitFraction = 1.0 / 3
)

// Resource is what a daemon can lack.
type Resource uint8

// The resources of a daemon.
const (
	Link Resource = iota
	CPU
	Descriptors
	Memory
	InProgress
	resourceCount
)

// String returns the name in events and counters.
func (r Resource) String() string {
	return [...]string{"link", "cpu", "descriptors", "memory", "in_progress", "none"}[min(r, resourceCount)]
}

// Limits are the limits of a VM. A zero value means that a limit is unknown.
type Limits struct {
	LinkBytesPerSecond float64
	Cores              float64
	// Descriptors is the number of file descriptors for connections.
	Descriptors int
	Memory      int64
}

// Sample is what a daemon uses.
type Sample struct {
	// Link is the fraction of the bandwidth in use, in the busier direction, over the sliding window of
	// package gauger, RecentLink over a shorter one.
	Link, RecentLink float64
	// TickDelay is by how much the timer of this sample was late.
	TickDelay   time.Duration
	Descriptors int
	Memory      int64
}

// Request is what is known about a request from its headers.
type Request struct {
	Account contractor.Account
	// Priority is 0 for the most urgent requests, 9 for the least urgent ones.
	Priority int
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// TimeLeft is how long the caller waits. Zero means unknown.
	TimeLeft time.Duration

	unread int64 // bytes of the body that are still to be read
	grown  int64 // bytes that it occupies beyond length
}

func (r *Request) length() int64 {
	if r.Length < 0 {
		return unknownLength
	}
	return min(r.Length, maxLength)
}

func (r *Request) cost() float64 { return requestCost + float64(r.length()) }

// urgency returns 0 for the most urgent requests and 1 for the least urgent ones.
func (r *Request) urgency() float64 {
	return float64(min(max(r.Priority, 0), leastUrgent)) / leastUrgent
}

// Decision is whether a request is admitted. If not, Resource is what the daemon lacks, and the caller
// may retry after RetryAfter.
type Decision struct {
	Admitted   bool
	Resource   Resource
	RetryAfter time.Duration
}

// Config holds what an Admitter needs.
type Config struct {
	Limits Limits
	// Random returns numbers from 0 to below 1.
	Random   func() float64
	Recorder *recorder.Recorder
}

// Admitter decides about requests. It is safe for concurrent use.
type Admitter struct {
	config  Config
	refused [resourceCount]metrics.Counter
	// lastStrain is when the CPU or the descriptors were last saturated, or nil. It keeps the monotonic reading:
	// after a clock that was set back, the strain would last for as long.
	lastStrain atomic.Pointer[time.Time]
	// limiting is true while the rate is limited.
	limiting atomic.Bool

	mu         sync.Mutex
	limiter    limiter
	shares     shares
	occupied   [resourceCount]float64 // fractions of limits
	overloaded [resourceCount]bool
	inProgress int64     // bytes
	unread     int64     // bytes of bodies of admitted requests
	tickedAt   time.Time // zero if Observe has followed
	recentLink float64
	linkRate   float64 // bytes per second that the link carries for bodies
	read       decayed // bytes of bodies
}

// New returns an Admitter that admits everything until Observe shows an overload.
func New(c Config) *Admitter {
	a := &Admitter{config: c, shares: shares{usage: make(map[contractor.Account]*decayed)}}
	for r := range resourceCount {
		a.refused[r] = c.Recorder.Counter("admitter.refused." + r.String())
	}
	return a
}

// Admit decides about a request. Done has to be called once an admitted request has ended.
func (a *Admitter) Admit(now time.Time, r *Request) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.offer(now, r)
	if !a.limiter.active && a.config.Limits.Cores > 0 && !a.tickedAt.IsZero() && now.Sub(a.tickedAt) >= cpuPeakTime {
		a.limiter.beginCPU(now, a.config.Limits.Cores)
	}
	lacking := a.lacking(now, r)
	if lacking != resourceCount {
		a.refused[lacking].Inc(1)
		return Decision{Resource: lacking, RetryAfter: a.retryAfter(now, r)}
	}
	a.limiter.take(now, r)
	a.shares.add(now, r)
	a.occupy(r)
	r.unread = min(r.length(), int64(maxBodyBacklog.Seconds()*linkTarget*a.config.Limits.LinkBytesPerSecond))
	a.unread += r.unread
	return Decision{Admitted: true, Resource: resourceCount}
}

// occupy adds what an admitted request will occupy. The next sample corrects it.
func (a *Admitter) occupy(r *Request) {
	bytes := RequestBytes + r.length()
	a.inProgress += bytes
	if n := a.config.Limits.Descriptors; n > 0 {
		a.occupied[Descriptors] += requestDescriptors / float64(n)
	}
	if n := a.config.Limits.Memory; n > 0 {
		a.occupied[Memory] += float64(bytes) / float64(n)
	}
}

// lacking returns the resource that is lacking for a request, or resourceCount.
func (a *Admitter) lacking(now time.Time, r *Request) Resource {
	if a.config.Limits.Memory > 0 {
		a.occupied[InProgress] = float64(a.inProgress+r.length()) / (inProgressFraction * float64(a.config.Limits.Memory))
	}
	most := lowestOccupied
	checked := false
	for resource := Descriptors; resource < resourceCount; resource++ {
		if a.occupied[resource] < lowestOccupied {
			continue
		}
		if !checked {
			checked = true
			most = maxOccupied - urgencyOccupied*r.urgency()
			most -= shareOccupied * a.shares.excess(now, r.Account)
		}
		// A request that exceeds the limit by itself is admitted by an idle daemon.
		if a.occupied[resource] >= most && (resource != InProgress || a.inProgress > 0) {
			return resource
		}
	}
	if a.backlogged(now, r) {
		return Link
	}
	if !a.limiter.active {
		return resourceCount
	}
	reserve := urgencyReserve * r.urgency()
	reserve += (1 - reserve) * shareReserve * a.shares.excess(now, r.Account)
	if a.limiter.filled(now) < reserve {
		return a.limiter.resource
	}
	return resourceCount
}

// Grow admits n more bytes of a request whose length was unknown.
func (a *Admitter) Grow(now time.Time, r *Request, n int64) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit := a.config.Limits.Memory; limit > 0 {
		alone := a.inProgress == RequestBytes+r.length()+r.grown // then it is admitted, as by Admit
		if !alone && float64(a.inProgress+n) > maxOccupied*inProgressFraction*float64(limit) {
			a.refused[InProgress].Inc(1)
			return Decision{Resource: InProgress, RetryAfter: a.retryAfter(now, r)}
		}
		a.occupied[Memory] += float64(n) / float64(limit) // the next sample corrects it
	}
	a.inProgress += n
	r.grown += n
	return Decision{Admitted: true, Resource: resourceCount}
}

// backlogged reports whether a saturated link has too much to carry before the body of a request.
func (a *Admitter) backlogged(now time.Time, r *Request) bool {
	rate := linkTarget * a.config.Limits.LinkBytesPerSecond
	switch {
	case a.limiter.active && a.limiter.resource == Link:
		rate = a.linkRate
	case a.recentLink < linkLimit:
		return false
	}
	backlog := float64(a.unread) / rate
	allowed := maxBacklog.Seconds()
	if r.TimeLeft > 0 {
		allowed = min(allowed, max(r.TimeLeft.Seconds()*waitFraction, minBacklog.Seconds()))
	}
	allowed *= (1 - urgencyBacklog*r.urgency())
	if backlog <= allowed*shareBacklog {
		return false
	}
	return backlog > allowed*(1-(1-shareBacklog)*a.shares.excess(now, r.Account))
}

// retryAfter returns when a refused caller may retry.
func (a *Admitter) retryAfter(now time.Time, r *Request) time.Duration {
	spread := minSpread + (maxSpread-minSpread)*a.config.Random()
	longest := float64(maxRetryAfter)
	if r.TimeLeft > 0 {
		longest = min(longest, float64(r.TimeLeft)*waitFraction)
	}
	// The longest time is spread as well.
	d := min(float64(retryAfter)*a.limiter.excess(now), longest/maxSpread) * spread
	return max(time.Duration(d), minRetryAfter)
}

// BodyRead records that the body of an admitted request has been read, or will not be.
func (a *Admitter) BodyRead(now time.Time, r *Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.read.add(now, rateDecay, float64(r.length()))
	a.unread -= r.unread
	r.unread = 0
}

// Done records that an admitted request has ended.
func (a *Admitter) Done(now time.Time, r *Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.completed.add(now, rateDecay, r.cost())
	a.inProgress -= RequestBytes + r.length() + r.grown
	r.grown = 0
	a.unread -= r.unread
	r.unread = 0
}

// Strained reports whether the CPU or the descriptors were saturated within the given time, and whether
// admissions are limited.
func (a *Admitter) Strained(now time.Time, within time.Duration) (strained, limiting bool) {
	last := a.lastStrain.Load()
	return last != nil && now.Sub(*last) < within, a.limiting.Load()
}

// Tick records that the timer of the next sample has fired. If Observe does not follow, because other goroutines
// run before it, the CPU is saturated.
func (a *Admitter) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tickedAt = now
}

// Observe takes a sample of what the daemon uses.
func (a *Admitter) Observe(now time.Time, s Sample) {
	l := a.config.Limits
	var loads [2]float64 // 1 is the limit
	if l.LinkBytesPerSecond > 0 {
		loads[Link] = s.Link / linkLimit
	}
	if l.Cores > 0 {
		loads[CPU] = float64(s.TickDelay) / float64(tickDelayLimit)
	}
	a.mu.Lock()
	a.tickedAt = time.Time{}
	if l.Descriptors > 0 {
		a.occupied[Descriptors] = float64(s.Descriptors) / float64(l.Descriptors)
	}
	if l.Memory > 0 {
		a.occupied[Memory] = float64(s.Memory) / float64(l.Memory)
		a.occupied[InProgress] = float64(a.inProgress) / (inProgressFraction * float64(l.Memory))
	}
	if l.Cores > 0 && s.TickDelay >= strainDelay || a.occupied[Descriptors] >= maxOccupied {
		strainedAt := now // a copy, so that now stays on the stack
		a.lastStrain.Store(&strainedAt)
	}
	a.recentLink = s.RecentLink
	if l.LinkBytesPerSecond <= 0 {
		a.recentLink = 0
	}
	others := max(s.Link*l.LinkBytesPerSecond-a.read.value(now, rateDecay)/rateDecay.Seconds(), 0)
	a.linkRate = max(linkTarget*l.LinkBytesPerSecond-others, minLinkFraction*l.LinkBytesPerSecond)
	a.limiter.observe(now, loads, s.TickDelay, l.Cores, a.linkRate, float64(a.unread))
	a.limiting.Store(a.limiter.active)
	changed := a.updateOverloaded()
	a.shares.observe(now, slices.Contains(a.overloaded[:], true))
	a.mu.Unlock()
	for _, c := range changed {
		a.config.Recorder.Event(recorder.DaemonOverloaded, "resource", c.resource, "overloaded", c.overloaded, "link", s.Link,
			"tick_delay", s.TickDelay, "descriptors", s.Descriptors, "memory", s.Memory, "in_progress", c.inProgress, "rate", int64(c.rate))
	}
}

// change is a change of what the daemon lacks.
type change struct {
	resource   Resource
	overloaded bool
	inProgress int64
	rate       float64
}

// updateOverloaded returns what has changed since its last call. An occupied resource counts as overloaded from
// where the least urgent requests are refused to where all are admitted.
func (a *Admitter) updateOverloaded() []change {
	var changed []change
	for r := range resourceCount {
		overloaded := a.limiter.active && a.limiter.resource == r
		if r >= Descriptors {
			overloaded = a.occupied[r] >= maxOccupied-urgencyOccupied || a.overloaded[r] && a.occupied[r] >= lowestOccupied
		}
		if overloaded != a.overloaded[r] {
			a.overloaded[r] = overloaded
			changed = append(changed, change{r, overloaded, a.inProgress, a.limiter.rate})
		}
	}
	return changed
}

// decayed is a sum whose terms decay exponentially.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time.
func (d *decayed) value(now time.Time, constant time.Duration) float64 {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-float64(elapsed)/float64(constant))
}

func (d *decayed) add(now time.Time, constant time.Duration, n float64) {
	d.sum = d.value(now, constant) + n
	if now.After(d.at) {
		d.at = now
	}
}
