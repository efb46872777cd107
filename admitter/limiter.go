package admitter

import (
	"math"
	"time"
)

// limiter limits the rate of admissions while the link or the CPU is saturated. The caller holds the lock.
type limiter struct {
	// saturatedSince is since when a resource has been saturated, or zero.
	saturatedSince [2]time.Time
	// active is true while the rate is limited, because of resource.
	active   bool
	resource Resource
	// rate is in units of cost per second; it is at least minRate.
	rate, minRate float64
	// tokens is the content of the token bucket, filledAt when it was last filled.
	tokens   float64
	filledAt time.Time
	// lastLoaded is when a resource was last not far below its target.
	lastLoaded time.Time

	adjustedAt time.Time

	// Sums of costs, and of requests.
	offered, admitted, completed, base, arrivals decayed
}

func (l *limiter) offer(now time.Time, r *Request) {
	l.offered.add(now, rateDecay, r.cost())
	l.arrivals.add(now, rateDecay, 1)
}

func (l *limiter) take(now time.Time, r *Request) {
	l.admitted.add(now, rateDecay, r.cost())
	l.base.add(now, baseDecay, r.cost())
	if l.active {
		l.fill(now)
		l.tokens = max(l.tokens-r.cost(), -l.rate*maxDebtTime.Seconds())
	}
}

// excess returns how many times more is offered than admitted.
func (l *limiter) excess(now time.Time) float64 {
	admitted := l.admitted.value(now, rateDecay)
	if admitted <= 0 {
		return maxExcess
	}
	return min(max(l.offered.value(now, rateDecay)/admitted, 1), maxExcess)
}

// filled returns the content of the bucket as a fraction of its capacity. It is negative while the bucket is
// overdrawn.
func (l *limiter) filled(now time.Time) float64 {
	l.fill(now)
	return l.tokens / (l.rate * burstTime.Seconds())
}

func (l *limiter) fill(now time.Time) {
	elapsed := now.Sub(l.filledAt)
	if elapsed <= 0 {
		return
	}
	l.tokens = min(l.tokens+l.rate*elapsed.Seconds(), l.rate*burstTime.Seconds())
	l.filledAt = now
}

// observe takes the loads of link and CPU, where 1 is the limit, and adjusts the rate. linkRate is the bandwidth
// for requests, unread the bytes of admitted bodies that have not been read.
func (l *limiter) observe(now time.Time, loads [2]float64, tickDelay time.Duration, cores, linkRate, unread float64) {
	saturated := resourceCount
	for r, load := range loads {
		switch {
		case load < resetRatios[r]:
			l.saturatedSince[r] = time.Time{}
		case load < 1:
		case l.saturatedSince[r].IsZero():
			l.saturatedSince[r] = now
			if Resource(r) == CPU {
				l.saturatedSince[r] = now.Add(-tickDelay)
			}
		case now.Sub(l.saturatedSince[r]) >= peakTimes[r]:
			saturated = Resource(r)
		}
	}
	load := max(loads[Link]*linkLimit/linkTarget, loads[CPU])
	switch {
	case l.active && l.resource == Link && unread > linkRate*drainBacklog.Seconds():
		// The load says nothing while the link carries what was admitted before.
		l.fill(now)
		l.rate, l.lastLoaded, l.adjustedAt = linkRate*drainFraction, now, now
	case l.active:
		l.adjust(now, load)
	case saturated == Link:
		base := max(l.admitted.value(now, rateDecay)/rateDecay.Seconds(), l.base.value(now, baseDecay)/baseDecay.Seconds(), requestCost)
		l.begin(now, Link, min(base, linkRate), minRateFraction*min(base, linkRate))
	case saturated == CPU:
		l.beginCPU(now, cores)
	}
}

// peakTimes has the peak times of link and CPU, resetRatios the loads below which a peak has ended. The delay of
// single timers varies much.
var (
	peakTimes   = [...]time.Duration{linkPeakTime, cpuPeakTime}
	resetRatios = [...]float64{1, 0.5}
)

// beginCPU starts to limit the rate at what was completed lately, unless there are too few requests to saturate
// the CPU.
func (l *limiter) beginCPU(now time.Time, cores float64) {
	arrivals := l.arrivals.value(now, rateDecay) / rateDecay.Seconds()
	least := minRequestsPerCore * cores
	if arrivals <= least {
		return
	}
	minRate := least * l.offered.value(now, rateDecay) / l.arrivals.value(now, rateDecay)
	admitted := l.admitted.value(now, rateDecay) / rateDecay.Seconds()
	completed := l.completed.value(now, rateDecay) / rateDecay.Seconds()
	rate := min(admitted, max(completed, minCompletedFraction*admitted))
	l.begin(now, CPU, max(rate, minRate), max(minCPURateFraction*rate, minRate))
}

// begin starts to limit the rate.
func (l *limiter) begin(now time.Time, resource Resource, rate, minRate float64) {
	l.active, l.resource = true, resource
	l.rate, l.minRate = rate, minRate
	l.tokens, l.filledAt, l.lastLoaded, l.adjustedAt = 0, now, now, now
}

// adjust follows the load, where 1 is the target. The limit ends when the load stays far below it although all that
// is offered can be admitted. A saturated CPU is given somewhat less than it has completed lately.
func (l *limiter) adjust(now time.Time, load float64) {
	l.fill(now)
	if load >= releaseRatio || l.offered.value(now, rateDecay) > l.rate*rateDecay.Seconds() {
		l.lastLoaded = now
	}
	if now.Sub(l.lastLoaded) >= releaseTime {
		l.active = false
		return
	}
	if l.resource == CPU && load >= 1 {
		fraction := max(min(1/math.Sqrt(load), drainFraction), minDrainFraction)
		l.rate = max(min(l.rate, l.completed.value(now, rateDecay)/rateDecay.Seconds()*fraction), l.minRate)
		l.adjustedAt = now
		return
	}
	factor := maxIncrease
	if load > 0 {
		factor = min(max(math.Pow(load, -rateExponent), maxDecrease), maxIncrease)
	}
	intervals := min(now.Sub(l.adjustedAt), maxAdjustTime).Seconds() / SampleInterval.Seconds()
	l.adjustedAt = now
	l.rate = max(l.rate*math.Pow(factor, intervals), l.minRate)
}
