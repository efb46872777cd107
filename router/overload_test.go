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
	patience     = 5.0 // seconds that a caller waits for the first token
	engineQueue  = 32  // requests that wait at a runner before it refuses more
	sweepPeriod  = 0.1
	overloadWarm = 60.0
	overloadEnd  = 150.0
)

// call is one request of a client account on its way through a daemon.
type call struct {
	job      *job
	account  contractor.Account
	ticket   limiter.Ticket
	waiter   *limiter.Waiter
	attempts int
}

// front is the admission, the retries and the router of each daemon.
type front struct {
	*fleet
	gates    []*limiter.Gate
	retriers []*retrier.Retrier
	waiting  [][]*call
	guarded  bool
	// faults is the part of the attempts that upstreams answer with an error.
	faults float64

	started, attempts, good int
	refused                 map[contractor.Account]int
	first                   map[contractor.Account][]float64
}

func newFront(seed uint64, guarded bool) *front {
	x := &front{fleet: newFleet(seed, benchRunners, benchDaemons, newRouted), guarded: guarded}
	x.refused = make(map[contractor.Account]int)
	x.first = make(map[contractor.Account][]float64)
	x.waiting = make([][]*call, benchDaemons)
	for range benchDaemons {
		x.gates = append(x.gates, limiter.NewGate("quote-model", limiter.Config{}))
		x.retriers = append(x.retriers, retrier.New(retrier.Config{Random: x.random.Float64}))
	}
	x.at(sweepPeriod, x.sweep)
	return x
}

// sweep takes out those who waited too long.
func (x *front) sweep(at float64) {
	for d := range x.waiting {
		for _, c := range x.waiting[d] {
			if clock(at).After(c.ticket.Deadline) {
				x.gates[d].Leave(c.waiter, refuser.New(refuser.DeadlineUnmeetable, "admit"))
			}
		}
		x.settle(at, d)
	}
	x.at(at+sweepPeriod, x.sweep)
}

// settle starts or refuses the calls whose wait has ended.
func (x *front) settle(at float64, d int) {
	waiting := x.waiting[d]
	x.waiting[d] = nil
	for _, c := range waiting {
		select {
		case <-c.waiter.Done():
			x.enter(at, c)
		default:
			if clock(at).After(c.ticket.Deadline) {
				x.refuse(at, c)
				continue
			}
			x.waiting[d] = append(x.waiting[d], c)
		}
	}
}

func (x *front) refuse(at float64, c *call) {
	if at >= overloadWarm {
		x.refused[c.account]++
	}
}

func (x *front) arrive(at float64, j *job, account contractor.Account) {
	c := &call{job: j, account: account}
	c.ticket = limiter.Ticket{Account: account, Target: "quote-model", Deadline: clock(at + patience)}
	c.ticket.Estimate = 300 * time.Millisecond
	if !x.guarded {
		x.attempt(at, c)
		return
	}
	w, refusal := x.gates[j.daemon].Offer(clock(at), c.ticket)
	if refusal != nil {
		x.refuse(at, c)
		return
	}
	c.waiter = w
	if w.Done() == nil {
		x.enter(at, c)
		return
	}
	x.waiting[j.daemon] = append(x.waiting[j.daemon], c)
}

func (x *front) enter(at float64, c *call) {
	priority, refusal := c.waiter.Result()
	if refusal != nil {
		x.refuse(at, c)
		return
	}
	c.job.query.Priority = priority
	x.attempt(at, c)
}

// attempt sends a call to a runner, which may refuse it.
func (x *front) attempt(at float64, c *call) {
	j := c.job
	c.attempts++
	if at >= overloadWarm {
		x.attempts++
	}
	if c.attempts == 1 {
		if at >= overloadWarm {
			x.started++
		}
		x.retriers[j.daemon].RecordFirstAttempt(c.account, "quote-model")
	}
	j.sent = at
	j.runner = x.policies[j.daemon].choose(clock(at), j.query)
	if len(x.runners[j.runner].queue) >= engineQueue {
		x.fail(at, c, true)
		return
	}
	if x.random.Float64() < x.faults {
		x.fail(at, c, false)
		return
	}
	j.done = func(at float64, _ *job) { x.finish(at, c) }
	x.runners[j.runner].submit(at, j)
}

// fail ends an attempt that a runner refused because of its load or answered
// with an error.
func (x *front) fail(at float64, c *call, overloaded bool) {
	j, outcome := c.job, router.Failed
	if overloaded {
		outcome = router.Overloaded
	}
	p := x.policies[j.daemon].(*routed)
	p.router.Finish(clock(at), runnerName(j.runner), j.query, outcome, 0)
	f := retrier.Failure{Phase: retrier.NotSent, Overloaded: overloaded, Repeatable: true}
	d := x.decide(at, c, f)
	if d.Retry {
		x.at(at+d.Delay.Seconds(), func(at float64) { x.attempt(at, c) })
		return
	}
	x.refuse(at, c)
	x.release(at, c, limiter.Outcome{Overloaded: overloaded})
}

// decide retries up to three times at once when the daemon is not guarded.
func (x *front) decide(at float64, c *call, f retrier.Failure) retrier.Decision {
	if !x.guarded {
		return retrier.Decision{Retry: c.attempts < 4}
	}
	return x.retriers[c.job.daemon].Decide(clock(at), c.account, "quote-model", c.attempts, c.ticket.Deadline, f)
}

func (x *front) finish(at float64, c *call) {
	j := c.job
	x.policies[j.daemon].finish(clock(at), j)
	if j.arrived >= overloadWarm {
		x.first[c.account] = append(x.first[c.account], j.first-j.arrived)
	}
	if at >= overloadWarm && j.first-j.arrived <= patience {
		x.good++
	}
	x.release(at, c, limiter.Outcome{FirstToken: seconds(j.first - j.sent)})
}

func (x *front) release(at float64, c *call, o limiter.Outcome) {
	if !x.guarded {
		return
	}
	x.gates[c.job.daemon].Release(clock(at), c.waiter, o)
	x.settle(at, c.job.daemon)
}

func (x *front) goodput() float64 { return float64(x.good) / (overloadEnd - overloadWarm) }

func (x *front) amplification() float64 { return float64(x.attempts) / float64(x.started) }

// overloadCapacity is the largest rate of answers in time under any offered load.
func overloadCapacity() float64 {
	best := 0.0
	for _, rate := range []float64{100, 120, 240, 480} {
		best = max(best, tenAccounts(benchSeed, true, rate, 0).goodput())
	}
	return best
}

// tenAccounts offers requests of ten accounts alike.
func tenAccounts(seed uint64, guarded bool, rate, faults float64) *front {
	x := newFront(seed, guarded)
	x.faults = faults
	x.offer(newWorkload(200), rate, func(at float64, j *job) {
		x.arrive(at, j, contractor.Account(fmt.Sprint("loft-", x.random.IntN(10))))
	})
	x.run(overloadEnd)
	return x
}

// BenchmarkOverload offers multiples of the capacity by ten accounts alike, with
// and without the limiter and the retry budgets.
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
	var good, amplification, p95 float64
	for i := range b.N {
		x := tenAccounts(benchSeed+uint64(i), guarded, multiple*capacity, faults)
		good += 100 * x.goodput() / capacity
		amplification += x.amplification()
		var all []float64
		for _, list := range x.first {
			all = append(all, list...)
		}
		p95 += percentile(all, 0.95) * 1000
	}
	n := float64(b.N)
	b.ReportMetric(good/n, "goodput_pct")
	b.ReportMetric(amplification/n, "amplification")
	b.ReportMetric(p95/n, "ttft_p95_ms")
	b.ReportMetric(capacity, "capacity_per_s")
}

// BenchmarkOverloadFlood compares the first tokens of five accounts that use 60%
// of the capacity with and without the flood of a sixth account.
func BenchmarkOverloadFlood(b *testing.B) {
	capacity := overloadCapacity()
	for _, guarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("guarded=%t", guarded), func(b *testing.B) {
			var p50, p95, base, share, refused float64
			for i := range b.N {
				calm, _, _ := floodRun(benchSeed+uint64(i), guarded, capacity, 0)
				flood, good, lost := floodRun(benchSeed+uint64(i), guarded, capacity, 4)
				refused += 100 * lost
				p50 += percentile(flood, 0.5) / percentile(calm, 0.5)
				p95 += percentile(flood, 0.95) / percentile(calm, 0.95)
				base += percentile(calm, 0.95) * 1000
				share += 100 * good / capacity
			}
			n := float64(b.N)
			b.ReportMetric(p50/n, "fairness_ratio_p50")
			b.ReportMetric(p95/n, "fairness_ratio")
			b.ReportMetric(base/n, "calm_p95_ms")
			b.ReportMetric(share/n, "goodput_pct")
			b.ReportMetric(refused/n, "refused_pct")
		})
	}
}

// floodRun returns the first-token times of the five accounts, the goodput of
// all and the part of the five accounts' requests that was refused.
func floodRun(seed uint64, guarded bool, capacity, flood float64) (first []float64, goodput, refused float64) {
	x := newFront(seed, guarded)
	x.offer(newWorkload(200), 0.6*capacity, func(at float64, j *job) {
		x.arrive(at, j, contractor.Account(fmt.Sprint("loft-", x.random.IntN(5))))
	})
	if flood > 0 {
		w := newWorkload(200)
		w.sequence = 1 << 30
		x.offer(w, flood*capacity, func(at float64, j *job) { x.arrive(at, j, "flood") })
	}
	x.run(overloadEnd)
	lost := 0
	for account, list := range x.first {
		if account == "flood" {
			continue
		}
		first = append(first, list...)
		lost += x.refused[account]
	}
	return first, x.goodput(), float64(lost) / float64(lost+len(first))
}

func percentile(list []float64, p float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	slices.Sort(list)
	return list[int(p*float64(len(list)-1))]
}
