package launcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/retrier"
)

// The users' rule for retries: in any span of retryTestWindow a service gets at most retryTestRatio times the requests
// for it, and an allowance, in attempts beyond the first of each request. The requests count in that span, the
// one before it or the one half a window before it, whichever has most.
const (
	retryTestRatio  = 0.2
	retryTestWindow = 10 * time.Second
	retryTestStep   = 100 * time.Millisecond
)

// retryScenario is a fleet whose attempts all fail in some spans of time.
type retryScenario struct {
	name      string
	daemons   int
	allowance float64
	// rate is the number of requests per second of all callers.
	rate func(at time.Duration) float64
	// popular is the fraction of the requests that reach the first eighth of the daemons.
	popular  float64
	failing  []span
	failure  retrier.Failure
	restarts []time.Duration // of all daemons at once
	rolling  time.Duration   // between restarts of single daemons, if not zero
	// oneKnown is how long after its start a daemon knows no other one.
	oneKnown time.Duration
	// members returns how many daemons the i-th one knows, and whether it knows them. Nil means all.
	members func(i int, at time.Duration) (count int, registered bool)
}

type span struct{ from, until time.Duration }

const retryTestDuration = 80 * time.Second

// retryFleet counts requests and retries in steps of retryTestStep.
type retryFleet struct {
	scenario          retryScenario
	start             time.Time
	now               time.Duration
	random            *rand.Rand
	retriers          []*retrier.Retrier
	startedAt         []time.Duration
	requests, retries []float64
}

func newRetryFleet(s retryScenario, seed uint64) *retryFleet {
	steps := int(retryTestDuration / retryTestStep)
	f := &retryFleet{
		scenario: s, start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 38)), retriers: make([]*retrier.Retrier, s.daemons),
		startedAt: make([]time.Duration, s.daemons), requests: make([]float64, steps), retries: make([]float64, steps),
	}
	for i := range f.retriers {
		f.restart(i)
	}
	return f
}

// restart replaces a daemon by one that knows nothing of earlier retries.
func (f *retryFleet) restart(i int) {
	f.startedAt[i] = f.now
	members := func() (int, bool) {
		if f.now-f.startedAt[i] < f.scenario.oneKnown {
			return 1, true
		}
		if f.scenario.members != nil {
			return f.scenario.members(i, f.now)
		}
		return len(f.retriers), true
	}
	settings := Settings{RetryRatio: retryTestRatio, RetryWindow: retryTestWindow, RetryAllowance: f.scenario.allowance}
	f.retriers[i] = retrier.New(settings.retryConfig(f.start.Add(f.now), members, nil))
}

// run plays the scenario. Callers start when the fleet has run for a window.
func (f *retryFleet) run() {
	for step := range f.requests {
		before := f.now
		f.now = time.Duration(step) * retryTestStep
		for _, at := range f.scenario.restarts {
			if before < at && at <= f.now {
				for i := range f.retriers {
					f.restart(i)
				}
			}
		}
		if r := f.scenario.rolling; r > 0 && before/r != f.now/r {
			f.restart(int(f.now/r) % len(f.retriers))
		}
		for _, r := range f.retriers {
			r.ObserveFleet(f.start.Add(f.now))
		}
		if f.now < retryTestWindow {
			continue
		}
		due := f.scenario.rate(f.now) * retryTestStep.Seconds()
		for range int(due + f.random.Float64()) {
			f.send(step)
		}
	}
}

// send sends one request, and retries as often as the daemon decides.
func (f *retryFleet) send(step int) {
	i := f.random.IntN(len(f.retriers))
	if f.random.Float64() < f.scenario.popular {
		i = f.random.IntN(max(len(f.retriers)/8, 1))
	}
	account := contractor.Account(fmt.Sprint("account-", f.random.IntN(24)))
	now := f.start.Add(f.now)
	f.requests[step]++
	f.retriers[i].RecordFirstAttempt(now, account, "drafts")
	if !f.isFailing() {
		return
	}
	for attempt := 1; f.retriers[i].Decide(now, account, "drafts", attempt, time.Time{}, f.scenario.failure).Retry; attempt++ {
		f.retries[step]++
	}
}

func (f *retryFleet) isFailing() bool {
	return slices.ContainsFunc(f.scenario.failing, func(s span) bool { return f.now >= s.from && f.now < s.until })
}

// worst returns the window in which most retries exceed what is allowed.
func (f *retryFleet) worst() (at time.Duration, retries, allowed float64) {
	width := int(retryTestWindow / retryTestStep)
	sum := func(counts []float64, from int) float64 {
		total := 0.0
		for _, c := range counts[max(from, 0):max(min(from+width, len(counts)), 0)] {
			total += c
		}
		return total
	}
	allowed = 1e9
	for from := range f.requests {
		most := max(sum(f.requests, from), sum(f.requests, from-width), sum(f.requests, from-width/2))
		limit, made := retryTestRatio*most+f.scenario.allowance, sum(f.retries, from)
		if made-limit > retries-allowed {
			at, retries, allowed = time.Duration(from)*retryTestStep, made, limit
		}
	}
	return at, retries, allowed
}

func steadyRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Guards against a fleet that retries more than its operators allow for all daemons together. Each daemon saves up
// retries while attempts succeed; when the upstreams of a service fail or reject requests all at once, the
// daemons spend them in the same seconds, and there are more of them the larger the fleet is.
func TestFleetRetriesStayWithinAllowance(t *testing.T) {
	rejected := retrier.Failure{Phase: retrier.NotSent, Overloaded: true}
	crashed := retrier.Failure{Phase: retrier.NoResponse, UpstreamDown: true, Repeatable: true}
	broken := retrier.Failure{Phase: retrier.Partial, Resumable: true}
	once := []span{{40 * time.Second, 52 * time.Second}}
	series := []span{{20 * time.Second, 24 * time.Second}, {29 * time.Second, 31 * time.Second}, {36 * time.Second, 70 * time.Second}}
	falling := func(at time.Duration) float64 {
		if at > 38*time.Second {
			return 60
		}
		return 350
	}
	// A third of the daemons no longer reach the store from 15 s on. The others remove them from the members 20 s later.
	partitioned := func(daemons int) func(int, time.Duration) (int, bool) {
		return func(i int, at time.Duration) (int, bool) {
			if i%3 == 0 || at < 35*time.Second {
				return daemons, true
			}
			return daemons * 2 / 3, true
		}
	}
	later := []span{{46 * time.Second, 60 * time.Second}}
	scenarios := []retryScenario{
		{name: "8 daemons, rejected", daemons: 8, allowance: 56, rate: steadyRate(120), failing: once, failure: rejected},
		{name: "8 daemons, crashed", daemons: 8, allowance: 56, rate: steadyRate(120), failing: once, failure: crashed},
		{name: "64 daemons, rejected", daemons: 64, allowance: 168, rate: steadyRate(350), failing: once, failure: rejected},
		{name: "64 daemons, crashed", daemons: 64, allowance: 168, rate: steadyRate(350), failing: once, failure: crashed},
		{name: "64 daemons, streams broken", daemons: 64, allowance: 168, rate: steadyRate(350), failing: series, failure: broken},
		{name: "64 daemons, load falls", daemons: 64, allowance: 168, rate: falling, failing: once, failure: crashed},
		{name: "64 daemons, uneven load", daemons: 64, allowance: 168, rate: steadyRate(350), popular: 0.5, failing: series, failure: crashed},
		{name: "64 daemons, all restart", daemons: 64, allowance: 168, rate: steadyRate(350), failing: once, failure: crashed,
			restarts: []time.Duration{42 * time.Second, 45 * time.Second, 48 * time.Second}},
		{name: "64 daemons, restart in turn", daemons: 64, allowance: 168, rate: steadyRate(350), failing: series, failure: crashed, rolling: 200 * time.Millisecond},
		{name: "64 daemons, others not known at first", daemons: 64, allowance: 168, rate: steadyRate(350), failing: once, failure: crashed,
			restarts: []time.Duration{30 * time.Second}, oneKnown: 25 * time.Second},
		{name: "78 daemons, a third partitioned from the store", daemons: 78, allowance: 196, rate: steadyRate(60), failing: later, failure: crashed, members: partitioned(78)},
		{name: "295 daemons, a third partitioned from the store", daemons: 295, allowance: 630, rate: steadyRate(160), failing: later, failure: crashed, members: partitioned(295)},
		{name: "91 daemons, crashed", daemons: 91, allowance: 222, rate: steadyRate(350), failing: once, failure: crashed},
		{name: "295 daemons, crashed", daemons: 295, allowance: 630, rate: steadyRate(1200), failing: once, failure: crashed},
		{name: "295 daemons, rejected", daemons: 295, allowance: 630, rate: steadyRate(300), failing: series, failure: rejected},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := newRetryFleet(s, seed)
				f.run()
				at, retries, allowed := f.worst()
				require.LessOrEqual(t, retries, allowed, "seed %d: retries in %s from %s", seed, retryTestWindow, at)
			}
		})
	}
}
