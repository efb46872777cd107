package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/registrar"
)

// engine simulates one upstream: it processes prompts one after the other, the most urgent first,
// keeps prompt parts cached, and generates output for several requests at a time.
type engine struct {
	speed float64
	// slowdown is how long work takes at a time, reported what the engine reports then. Nil means
	// that it is as usual, or that it reports nothing.
	slowdown, reported func(at time.Duration) float64
	maxWaiting         int
	waiting, running   []*simRequest
	cached             map[uint64]bool
}

// simRequest is a request in the simulation.
type simRequest struct {
	query   Query
	arrived time.Duration
	output  time.Duration // to generate, at usual speed
	choice  Choice
	left    float64 // tokens to process
	ends    time.Duration
	// firstByte is the time to first byte. It is zero for a request that was refused.
	firstByte time.Duration
	// limit is how long the caller waits. After a refusal it returns when it is told to.
	limit       time.Duration
	retryAfters []time.Duration
}

const simTokensPerMs = 45

func (e *engine) slow(at time.Duration) float64 {
	if e.slowdown == nil {
		return 1
	}
	return e.slowdown(at)
}

func (e *engine) load(at time.Duration) Load {
	l := Load{Running: NewFigure(len(e.running)), Waiting: NewFigure(len(e.waiting)), Slots: NewFigure(64)}
	if e.reported != nil {
		l.Slowdown = e.reported(at)
	}
	return l
}

// add queues a request behind those that are as urgent.
func (e *engine) add(r *simRequest) {
	r.left = float64(r.query.Tokens)
	for _, p := range r.query.Parts {
		if e.cached[p.ID] {
			r.left -= float64(p.Tokens)
		}
		e.cached[p.ID] = true
	}
	i := len(e.waiting)
	for i > 1 && e.waiting[i-1].query.Priority > r.query.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, r)
}

// step simulates one millisecond.
func (e *engine) step(b *Balancer, start time.Time, at time.Duration) {
	now := start.Add(at)
	budget := simTokensPerMs * e.speed / e.slow(at)
	for len(e.waiting) > 0 && len(e.running) < 64 && budget > 0 {
		r := e.waiting[0]
		done := min(budget, r.left)
		r.left -= done
		budget -= done
		if r.left > 0 {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		r.firstByte = at - r.arrived + time.Millisecond
		r.ends = at + time.Duration(float64(r.output)/e.speed)
		b.ResponseStarted(now, &r.choice, Start{Load: e.load(at), FirstByte: true})
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
		if at < r.ends {
			return false
		}
		b.End(now, &r.choice, Result{Outcome: Served})
		return true
	})
}

// simulate sends what arrive returns in each millisecond to engines that b chooses.
func simulate(b *Balancer, engines []*engine, length time.Duration, arrive func(at time.Duration, random *rand.Rand) []*simRequest) []*simRequest {
	start, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	list := upstreams(len(engines))
	byName := make(map[registrar.Name]*engine)
	for i, e := range engines {
		e.cached = make(map[uint64]bool)
		byName[list[i].Name] = e
	}
	var all []*simRequest
	returns := make(map[time.Duration][]*simRequest)
	for at := time.Duration(0); at < length; at += time.Millisecond {
		for _, e := range engines {
			e.step(b, start, at)
		}
		arrivals := arrive(at, random)
		for _, r := range arrivals {
			r.arrived, r.query.Candidates, r.query.Engine, r.query.Streamed = at, list, true, true
		}
		all = append(all, arrivals...)
		for _, r := range append(arrivals, returns[at]...) {
			if r.limit > 0 {
				r.query.TimeLeft = r.arrived + r.limit - at
			}
			if wait := r.send(b, byName, start, at); wait > 0 {
				r.retryAfters = append(r.retryAfters, wait)
				if back := (at + wait).Truncate(time.Millisecond); back < r.arrived+r.limit {
					returns[back] = append(returns[back], r)
				}
			}
		}
	}
	return all
}

// send tries up to three upstreams. It returns the Retry-After if the request is refused.
func (r *simRequest) send(b *Balancer, byName map[registrar.Name]*engine, start time.Time, at time.Duration) time.Duration {
	now, q := start.Add(at), r.query
	for range 3 {
		choice, ok := b.Choose(now, q)
		if !ok {
			return choice.RetryAfter
		}
		r.choice = choice
		e := byName[choice.Upstream.Name]
		if e.maxWaiting == 0 || len(e.waiting) < e.maxWaiting {
			e.add(r)
			return 0
		}
		b.ResponseStarted(now, &r.choice, Start{Load: e.load(at)})
		b.End(now, &r.choice, Result{Outcome: Full})
		q.Exclude = append(q.Exclude, choice.Upstream.Name)
	}
	return b.RetryAfter(now, q)
}

// mixed returns arrivals of rate requests per second with prompts of a few thousand tokens that share
// parts.
func mixed(rate float64) func(time.Duration, *rand.Rand) []*simRequest { return limited(rate, 0) }

// limited is like mixed with callers that wait for a limited time. They end at 30 s, so that all requests
// are decided in a longer simulation.
func limited(rate float64, limit time.Duration) func(time.Duration, *rand.Rand) []*simRequest {
	return func(at time.Duration, random *rand.Rand) []*simRequest {
		if random.Float64() >= rate/1000 || limit > 0 && at > 30*time.Second {
			return nil
		}
		r := simPrompt(random, 1+random.Int64N(6000))
		r.limit = limit
		return []*simRequest{r}
	}
}

func simPrompt(random *rand.Rand, own int64) *simRequest {
	shared := uint64(random.IntN(40))
	return &simRequest{
		query:  Query{Tokens: 2000 + own, Parts: []Part{{ID: shared, Tokens: 2000}, {ID: random.Uint64() | 1<<63, Tokens: own}}},
		output: time.Duration(200+random.IntN(600)) * time.Millisecond,
	}
}

// even returns nine engines of the same speed.
func even(maxWaiting int) []*engine {
	engines := make([]*engine, 9)
	for i := range engines {
		engines[i] = &engine{speed: 1, maxWaiting: maxWaiting}
	}
	return engines
}

// quantile returns a quantile of the times to first byte of requests that began after the first
// seconds, in which speeds are learned. Requests that are still waiting count as an hour.
func quantile(requests []*simRequest, q float64) time.Duration {
	var times []time.Duration
	for _, r := range requests {
		if r.arrived < 5*time.Second {
			continue
		}
		times = append(times, cmp.Or(r.firstByte, time.Hour))
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// Guards against slow upstreams that get as many requests as fast ones: with constant rates, the
// queues at the slow ones grow although the service as a whole has room.
func TestSlowUpstreamsGetLessWork(t *testing.T) {
	var engines []*engine
	for i := range 9 {
		engines = append(engines, &engine{speed: []float64{0.6, 1, 1.6}[i%3]})
	}
	all := simulate(New(Config{}), engines, 30*time.Second, mixed(95))
	t.Log(quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99))
	require.Less(t, quantile(all, 0.95), 200*time.Millisecond)
}

// Guards against noise in the learned speeds that moves requests away from their cached parts: even
// upstreams must be used as with constant rates.
func TestEvenUpstreamsAreUsedAsWithConstantRates(t *testing.T) {
	engines := even(0)
	for _, e := range engines {
		e.reported = func(time.Duration) float64 { return 1 }
	}
	rec := recorder.New()
	all := simulate(New(Config{Recorder: rec}), engines, 60*time.Second, mixed(60))
	share := float64(rec.Counter("balancer.slow_avoided").Count()) / float64(len(all))
	t.Log(share, quantile(all, 0.95))
	require.Less(t, share, 0.02)
}

// pulses returns a slowdown that lasts 600 ms in every period.
func pulses(factor float64, offset, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if (at+offset)%period < 600*time.Millisecond {
			return factor
		}
		return 1
	}
}

// Guards against requests that go to an upstream while it is slow, with and without its reports,
// and against reports that hide the slowdown.
func TestPassingSlowdownIsAvoided(t *testing.T) {
	for _, kind := range []string{"reported", "not reported", "false report"} {
		t.Run(kind, func(t *testing.T) {
			var engines []*engine
			for i := range 9 {
				slow := pulses(2.5+float64(i%3)*1.25, time.Duration(i)*700*time.Millisecond, 3*time.Second)
				reported := map[string]func(time.Duration) float64{"reported": slow, "false report": func(time.Duration) float64 { return 1 }}
				engines = append(engines, &engine{speed: 1, slowdown: slow, reported: reported[kind]})
			}
			all := simulate(New(Config{}), engines, 60*time.Second, mixed(65))
			sent := 0 // to engines that had been slow for a while
			for _, r := range all {
				i := slices.IndexFunc(r.query.Candidates, func(u registrar.Upstream) bool { return u.Name == r.choice.Upstream.Name })
				if e := engines[i]; e.slow(r.arrived) > 1 && e.slow(r.arrived-200*time.Millisecond) > 1 {
					sent++
				}
			}
			share := float64(sent) / float64(len(all))
			t.Log(share, quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99))
			require.Less(t, share, 0.06, "engines are slow beyond the first 200 ms in 0.133 of the time")
		})
	}
}

// An upstream that reports a healthy state although it is always slow must lose requests, and one
// that reports a slowdown although it is fast must not.
func TestFalseReportIsOutweighed(t *testing.T) {
	for _, tt := range []struct {
		name                string
		speed, report, want float64
	}{
		{"healthy report, slow responses", 1.0 / 3, 1, 3},
		{"slow report, usual responses", 1, 5, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			engines := []*engine{{speed: tt.speed, reported: func(time.Duration) float64 { return tt.report }}}
			for range 5 {
				engines = append(engines, &engine{speed: 1})
			}
			b := New(Config{})
			simulate(b, engines, 30*time.Second, mixed(40))
			got := b.states["i-0"].speed.factor(time.Unix(1000, 0).Add(30 * time.Second))
			require.InEpsilon(t, tt.want, got, 0.45, "the learned factor counts, not the reported one")
		})
	}
}

// A burst of least urgent requests must not make urgent ones late: upstreams process these first, so
// they lose by going away from their cached parts.
func TestUrgentRequestsAreServedBesideABurst(t *testing.T) {
	engines := even(0)
	urgent, other := mixed(40), mixed(200)
	all := simulate(New(Config{}), engines, 25*time.Second, func(at time.Duration, random *rand.Rand) []*simRequest {
		list := urgent(at, random)
		if at > 8*time.Second && at < 18*time.Second {
			for _, r := range other(at, random) {
				r.query.Priority = 9
				list = append(list, r)
			}
		}
		return list
	})
	first := slices.DeleteFunc(all, func(r *simRequest) bool { return r.query.Priority > 0 })
	t.Log(quantile(first, 0.5), quantile(first, 0.95), quantile(first, 0.99))
	require.Less(t, quantile(first, 0.99), 300*time.Millisecond)
}

// served returns the share of requests with a first byte within their limit.
func served(requests []*simRequest) float64 {
	count := 0.0
	for _, r := range requests {
		if r.firstByte > 0 && r.firstByte <= r.limit {
			count++
		}
	}
	return count / float64(len(requests))
}

// Callers of full upstreams must not return all together, nor more often than necessary. A constant
// Retry-After of 300 ms causes 20 refusals for each request that is not served here. A third of the time
// left, the maximum, causes about ten.
func TestRetryAfterFollowsTheState(t *testing.T) {
	engines := even(4)
	b := New(Config{Random: rand.New(rand.NewPCG(3, 4)).Float64})
	all := simulate(b, engines, 35*time.Second, limited(220, 4*time.Second))
	var waits []time.Duration
	for _, r := range all {
		waits = append(waits, r.retryAfters...)
	}
	slices.Sort(waits)
	unserved := (1 - served(all)) * float64(len(all))
	low, high := waits[len(waits)/20], waits[len(waits)*19/20]
	t.Log(served(all), len(all), len(waits), unserved, low, high)
	require.Greater(t, served(all), 0.5)
	require.Less(t, float64(len(waits))/unserved, 16.0, "refusals for each request that is not served")
	require.Greater(t, high, 3*low, "callers do not return together")
	require.GreaterOrEqual(t, waits[0], minRetryAfter)
}

// A request that cannot begin in time anywhere takes capacity from others without use.
func TestHopelessRequestsAreRefused(t *testing.T) {
	engines := even(0)
	all := simulate(New(Config{}), engines, 35*time.Second, limited(200, time.Second))
	t.Log(served(all))
	require.Greater(t, served(all), 0.7)
}

// One account that sends seven times its usual load must not displace the others.
func TestBusyAccountDoesNotDisplaceOthers(t *testing.T) {
	engines := even(4)
	usual, more := limited(90, 2*time.Second), limited(68, 2*time.Second)
	all := simulate(New(Config{Random: rand.New(rand.NewPCG(3, 4)).Float64}), engines, 35*time.Second, func(at time.Duration, random *rand.Rand) []*simRequest {
		list := usual(at, random)
		for _, r := range list {
			r.query.Account = contractor.Account(rune('a' + random.IntN(8)))
		}
		if at > 5*time.Second {
			for _, r := range more(at, random) {
				r.query.Account = "a"
				list = append(list, r)
			}
		}
		return list
	})
	byAccount := make(map[contractor.Account][]*simRequest)
	for _, r := range all {
		byAccount[r.query.Account] = append(byAccount[r.query.Account], r)
	}
	for name, list := range byAccount {
		t.Log(name, len(list), served(list))
		require.Greater(t, served(list), served(all)/2, name)
		if name != "a" {
			require.Greater(t, served(list), 0.87, name)
		}
	}
}
