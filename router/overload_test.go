package router_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"laburnumline/contractor"
	"laburnumline/limiter"
	"laburnumline/refuser"
	"laburnumline/retrier"
	"laburnumline/router"
)

const (
	firstTokenTimeout = 5.0   // seconds that a caller waits for the first token
	maxEngineQueue    = 32    // queued requests at which a runner refuses more
	expiryPeriod      = 0.1   // seconds
	overloadWarmup    = 60.0  // seconds
	overloadEnd       = 150.0 // seconds
)

// call is one request of a client account at a daemon.
type call struct {
	job              *job
	account          contractor.Account
	admissionRequest limiter.Request
	waiter           *limiter.Waiter
	attempts         int
}

// overloadFixture simulates a fleet whose daemons have admission control, retries
// and a router.
type overloadFixture struct {
	*fleet
	limiters []*limiter.TargetLimiter
	retriers []*retrier.Retrier
	waiting  [][]*call
	// guarded turns on admission control and retry budgets.
	guarded bool
	// faultRate is the fraction of attempts to which upstreams respond with an error.
	faultRate float64

	started, attempts, inTime int
	refused                   map[contractor.Account]int
	firstTokens               map[contractor.Account][]float64
}

func newOverloadFixture(seed uint64, guarded bool) *overloadFixture {
	x := &overloadFixture{fleet: newFleet(seed, benchRunners, benchDaemons, newRouterPolicy), guarded: guarded}
	x.refused = make(map[contractor.Account]int)
	x.firstTokens = make(map[contractor.Account][]float64)
	x.waiting = make([][]*call, benchDaemons)
	for range benchDaemons {
		x.limiters = append(x.limiters, limiter.NewTargetLimiter("quote-model", limiter.Config{}))
		x.retriers = append(x.retriers, retrier.New(retrier.Config{Random: x.random.Float64}))
	}
	x.schedule(expiryPeriod, x.expire)
	return x
}

// expire removes the calls whose deadline has passed from the queues.
func (x *overloadFixture) expire(at float64) {
	for d := range x.waiting {
		for _, c := range x.waiting[d] {
			if clock(at).After(c.admissionRequest.Deadline) {
				x.limiters[d].Withdraw(c.waiter, refuser.New(refuser.DeadlineUnmeetable, "admit"))
			}
		}
		x.processWaiting(at, d)
	}
	x.schedule(at+expiryPeriod, x.expire)
}

// processWaiting starts or refuses the calls that no longer wait for admission.
func (x *overloadFixture) processWaiting(at float64, d int) {
	waiting := x.waiting[d]
	x.waiting[d] = nil
	for _, c := range waiting {
		select {
		case <-c.waiter.Done():
			x.admitted(at, c)
		default:
			if clock(at).After(c.admissionRequest.Deadline) {
				x.refuse(at, c)
				continue
			}
			x.waiting[d] = append(x.waiting[d], c)
		}
	}
}

func (x *overloadFixture) refuse(at float64, c *call) {
	if at >= overloadWarmup {
		x.refused[c.account]++
	}
}

func (x *overloadFixture) arrive(at float64, j *job, account contractor.Account) {
	c := &call{job: j, account: account}
	c.admissionRequest = limiter.Request{Account: account, Target: "quote-model", Deadline: clock(at + firstTokenTimeout)}
	c.admissionRequest.FirstTokenEstimate = 300 * time.Millisecond
	if !x.guarded {
		x.attempt(at, c)
		return
	}
	w, refusal := x.limiters[j.daemon].Submit(clock(at), c.admissionRequest)
	if refusal != nil {
		x.refuse(at, c)
		return
	}
	c.waiter = w
	if w.Done() == nil {
		x.admitted(at, c)
		return
	}
	x.waiting[j.daemon] = append(x.waiting[j.daemon], c)
}

func (x *overloadFixture) admitted(at float64, c *call) {
	priority, refusal := c.waiter.Result()
	if refusal != nil {
		x.refuse(at, c)
		return
	}
	c.job.query.Priority = priority
	x.attempt(at, c)
}

// attempt sends a call to a runner, which may refuse it.
func (x *overloadFixture) attempt(at float64, c *call) {
	j := c.job
	c.attempts++
	if at >= overloadWarmup {
		x.attempts++
	}
	if c.attempts == 1 {
		if at >= overloadWarmup {
			x.started++
		}
		x.retriers[j.daemon].RecordFirstAttempt(clock(at), c.account, "quote-model")
	}
	j.sentAt = at
	j.runner = x.policies[j.daemon].choose(clock(at), j.query)
	if len(x.runners[j.runner].queue) >= maxEngineQueue {
		x.fail(at, c, true)
		return
	}
	if x.random.Float64() < x.faultRate {
		x.fail(at, c, false)
		return
	}
	j.done = func(at float64, _ *job) { x.finish(at, c) }
	x.runners[j.runner].submit(at, j)
}

// fail ends an attempt that a runner refused because of overload, or to which it
// responded with an error. It retries the call or ends it.
func (x *overloadFixture) fail(at float64, c *call, overloaded bool) {
	j, outcome := c.job, router.Failed
	if overloaded {
		outcome = router.Overloaded
	}
	p := x.policies[j.daemon].(*routerPolicy)
	p.router.Finish(clock(at), runnerName(j.runner), j.query, outcome, 0)
	f := retrier.Failure{Phase: retrier.NotSent, Overloaded: overloaded, Repeatable: true}
	d := x.decide(at, c, f)
	if d.Retry {
		x.schedule(at+d.Delay.Seconds(), func(at float64) { x.attempt(at, c) })
		return
	}
	x.refuse(at, c)
	x.release(at, c, limiter.Outcome{Overloaded: overloaded})
}

// decide returns whether to retry. Without the guards, a call is retried up to
// three times without delay.
func (x *overloadFixture) decide(at float64, c *call, f retrier.Failure) retrier.Decision {
	if !x.guarded {
		return retrier.Decision{Retry: c.attempts < 4}
	}
	return x.retriers[c.job.daemon].Decide(clock(at), c.account, "quote-model", c.attempts, c.admissionRequest.Deadline, f)
}

func (x *overloadFixture) finish(at float64, c *call) {
	j := c.job
	x.policies[j.daemon].finish(clock(at), j)
	if j.arrivedAt >= overloadWarmup {
		x.firstTokens[c.account] = append(x.firstTokens[c.account], j.firstTokenAt-j.arrivedAt)
	}
	if at >= overloadWarmup && j.firstTokenAt-j.arrivedAt <= firstTokenTimeout {
		x.inTime++
	}
	x.release(at, c, limiter.Outcome{TimeToFirstToken: seconds(j.firstTokenAt - j.sentAt)})
}

func (x *overloadFixture) release(at float64, c *call, o limiter.Outcome) {
	if !x.guarded {
		return
	}
	x.limiters[c.job.daemon].Release(clock(at), c.waiter, o)
	x.processWaiting(at, c.job.daemon)
}

func (x *overloadFixture) goodput() float64 {
	return float64(x.inTime) / (overloadEnd - overloadWarmup)
}

func (x *overloadFixture) amplification() float64 { return float64(x.attempts) / float64(x.started) }

// overloadCapacity is the highest goodput (responses per second whose first token
// is in time) at any offered load.
func overloadCapacity() float64 {
	best := 0.0
	for _, rate := range []float64{100, 120, 240, 480} {
		best = max(best, runTenAccounts(benchSeed, true, rate, 0).goodput())
	}
	return best
}

// runTenAccounts simulates ten accounts with equal request rates.
func runTenAccounts(seed uint64, guarded bool, rate, faultRate float64) *overloadFixture {
	x := newOverloadFixture(seed, guarded)
	x.faultRate = faultRate
	x.offer(newWorkload(200), rate, func(at float64, j *job) {
		x.arrive(at, j, contractor.Account(fmt.Sprint("loft-", x.random.IntN(10))))
	})
	x.run(overloadEnd)
	return x
}

// BenchmarkOverload offers multiples of the capacity from ten accounts with equal
// rates, with and without the limiter and the retry budgets.
func BenchmarkOverload(b *testing.B) {
	capacity := overloadCapacity()
	for _, guarded := range []bool{false, true} {
		for _, multiple := range []float64{1, 2, 4} {
			for _, faults := range []float64{0, 0.3} {
				name := fmt.Sprintf("guarded=%t/load=%g/faults=%g", guarded, multiple, faults)
				b.Run(name, func(b *testing.B) { benchmarkOverload(b, guarded, capacity, multiple, faults) })
			}
		}
	}
}

func benchmarkOverload(b *testing.B, guarded bool, capacity, multiple, faults float64) {
	var goodput, amplification, p95 float64
	for i := range b.N {
		x := runTenAccounts(benchSeed+uint64(i), guarded, multiple*capacity, faults)
		goodput += 100 * x.goodput() / capacity
		amplification += x.amplification()
		var all []float64
		for _, list := range x.firstTokens {
			all = append(all, list...)
		}
		p95 += percentile(all, 0.95) * 1000
	}
	n := float64(b.N)
	b.ReportMetric(goodput/n, "goodput_pct")
	b.ReportMetric(amplification/n, "amplification")
	b.ReportMetric(p95/n, "ttft_p95_ms")
	b.ReportMetric(capacity, "capacity_per_s")
}

// BenchmarkOverloadFlood compares the first-token times of five accounts that use
// 60% of the capacity, with and without a sixth account that offers four times
// the capacity.
func BenchmarkOverloadFlood(b *testing.B) {
	capacity := overloadCapacity()
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%t", guarded), func(b *testing.B) {
			var p50, p95, baselineP95, goodputPercent, refused float64
			for i := range b.N {
				withoutFlood, _, _ := runFlood(benchSeed+uint64(i), guarded, capacity, 0)
				withFlood, goodput, refusedFraction := runFlood(benchSeed+uint64(i), guarded, capacity, 4)
				refused += 100 * refusedFraction
				p50 += percentile(withFlood, 0.5) / percentile(withoutFlood, 0.5)
				p95 += percentile(withFlood, 0.95) / percentile(withoutFlood, 0.95)
				baselineP95 += percentile(withoutFlood, 0.95) * 1000
				goodputPercent += 100 * goodput / capacity
			}
			n := float64(b.N)
			b.ReportMetric(p50/n, "fairness_ratio_p50")
			b.ReportMetric(p95/n, "fairness_ratio")
			b.ReportMetric(baselineP95/n, "calm_p95_ms")
			b.ReportMetric(goodputPercent/n, "goodput_pct")
			b.ReportMetric(refused/n, "refused_pct")
		})
	}
}

// runFlood returns the first-token times of the five accounts, the goodput of all
// accounts, and the fraction of the five accounts' requests that was refused.
func runFlood(seed uint64, guarded bool, capacity, flood float64) (first []float64, goodput, refused float64) {
	x := newOverloadFixture(seed, guarded)
	x.offer(newWorkload(200), 0.6*capacity, func(at float64, j *job) {
		x.arrive(at, j, contractor.Account(fmt.Sprint("loft-", x.random.IntN(5))))
	})
	if flood > 0 {
		w := newWorkload(200)
		w.sequence = 1 << 30
		x.offer(w, flood*capacity, func(at float64, j *job) { x.arrive(at, j, "flood") })
	}
	x.run(overloadEnd)
	refusedCount := 0
	for account, list := range x.firstTokens {
		if account == "flood" {
			continue
		}
		first = append(first, list...)
		refusedCount += x.refused[account]
	}
	return first, x.goodput(), float64(refusedCount) / float64(refusedCount+len(first))
}

func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))]
}
