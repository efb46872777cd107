package hedger

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

var start = time.Unix(1000, 0)

func fixed(u float64) func() float64 { return func() float64 { return u } }

var plain = Request{Service: "drafts", Route: "stream", Account: "loft-7", PromptTokens: 1000}

// trained returns a Hedger that has seen requests of an even service, most of them in the window that ends at now.
func trained(c Config, requests int) (h *Hedger, now time.Time) {
	h = New(c)
	for i := range requests {
		now = start.Add(time.Duration(i) * 9 * time.Second / time.Duration(requests))
		h.Begin(now, &plain)
		h.Observe(now, &plain, 100*time.Millisecond)
	}
	return h, now
}

func ample() State { return State{TimeLeft: 5 * time.Second, Executions: 1, Attempts: 3} }

// Guards against second sends before anything is learned, against quantiles that mix short and long prompts, and
// against a delay that lets requests use up the share that are not among the slowest.
func TestDelayFollowsTheQuantileOfTheSizeClass(t *testing.T) {
	h := New(Config{Share: 0.1, Quantile: 0.8, Random: fixed(0)})
	long := plain
	long.PromptTokens = 30000
	require.Zero(t, h.Begin(start, &plain))
	for i := range 1000 {
		h.Observe(start, &plain, time.Duration(i)*time.Millisecond)
		h.Observe(start, &long, 4*time.Duration(i)*time.Millisecond)
	}
	require.InEpsilon(t, 0.85, h.Begin(start, &plain).Seconds(), 0.1, "the quantile is at least 1 - 1.5 x share")
	require.InEpsilon(t, 3.4, h.Begin(start, &long).Seconds(), 0.1)
	require.Zero(t, h.Begin(start.Add(time.Hour), &plain), "the observations have lost their weight")
	for range 100 {
		h.Observe(start.Add(time.Hour), &plain, 50*time.Millisecond)
	}
	require.InEpsilon(t, 0.05, h.Begin(start.Add(time.Hour), &plain).Seconds(), 0.2)
	require.NotZero(t, h.Begin(start.Add(-time.Minute), &plain), "a clock that is set back loses nothing")
}

// Guards against second sends that the state of the request or of its service forbids.
func TestDecisionsByState(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *Hedger, now time.Time, s *State)
		want   Reason
	}{
		{"one slow request", func(*Hedger, time.Time, *State) {}, Allowed},
		{"attempts", func(_ *Hedger, _ time.Time, s *State) { s.Attempts = 1 }, AttemptsUsed},
		{"suspect", func(_ *Hedger, _ time.Time, s *State) { s.Suspected = true }, Suspected},
		{"deadline", func(_ *Hedger, _ time.Time, s *State) { s.TimeLeft = 120 * time.Millisecond }, DeadlineNear},
		{"all slow", func(h *Hedger, now time.Time, _ *State) {
			for range 200 {
				h.Decide(now, &plain, State{})
			}
		}, ServiceSlow},
		{"full", func(h *Hedger, now time.Time, _ *State) {
			for range 20 {
				h.RecordRejected(now, plain.Service)
			}
		}, ServiceFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, now := trained(Config{Share: 0.02, Quantile: 0.95, Random: fixed(0)}, 1000)
			s := ample()
			tt.change(h, now, &s)
			require.Equal(t, tt.want, h.Decide(now, &plain, s))
		})
	}
}

// Guards against second sends that continue after the service became slow, and that never resume.
func TestSecondSendsResumeAfterASlowTime(t *testing.T) {
	h, now := trained(Config{Share: 0.2, Quantile: 0.95, Random: fixed(0)}, 1000)
	allowed := 0
	for range 500 {
		now = now.Add(5 * time.Millisecond)
		h.Begin(now, &plain)
		if h.Decide(now, &plain, ample()) == Allowed {
			allowed++
		}
	}
	require.Less(t, allowed, 150, "the decision follows within three quarters of a second")
	for range 1500 {
		now = now.Add(10 * time.Millisecond)
		h.Begin(now, &plain)
	}
	require.Equal(t, Allowed, h.Decide(now, &plain, ample()))
}

// Guards against more second sends or prompt tokens than the share in any window.
func TestShareHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := New(Config{Share: 0.05, Quantile: 0.95, Random: random.Float64})
		h.services[plain.Service] = &lateness{at: start}
		type sample struct {
			at           time.Time
			tokens, sent float64
		}
		var samples []sample
		now := start
		for i := range 20000 {
			rate := 50 + 400*float64(i/2000%2) // the load varies
			now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			r := Request{Service: "drafts", Route: "stream", PromptTokens: random.Int64N(4000)}
			h.Begin(now, &r)
			h.Observe(now, &r, 100*time.Millisecond)
			s := sample{at: now, tokens: float64(r.PromptTokens)}
			if random.Float64() < 0.3 && h.Decide(now, &r, ample()) == Allowed {
				s.sent = 1
			}
			samples = append(samples, s)
		}
		total, from := 0.0, 0
		var requests, tokens, sends, sentTokens float64
		for _, s := range samples {
			requests, tokens, sends, sentTokens = requests+1, tokens+s.tokens, sends+s.sent, sentTokens+s.sent*s.tokens
			for ; s.at.Sub(samples[from].at) > Window; from++ {
				o := samples[from]
				requests, tokens, sends, sentTokens = requests-1, tokens-o.tokens, sends-o.sent, sentTokens-o.sent*o.tokens
			}
			total += s.sent
			if s.sent > 0 { // a window that ends with a send
				require.LessOrEqual(t, sends, 0.05*requests+1)
				require.LessOrEqual(t, sentTokens, 0.05*tokens+4000)
			}
		}
		require.Greater(t, total, 0.02*20000)
	}
}

// A small daemon is allowed less than one second send in a window. Guards against a fleet of such daemons that
// never sends twice, or that exceeds the share by one send of each.
func TestFleetOfSmallDaemonsKeepsTheShare(t *testing.T) {
	const daemons, share = 295, 0.02
	random := rand.New(rand.NewPCG(7, 7))
	var fleet [daemons]*Hedger
	for i := range fleet {
		fleet[i] = New(Config{Share: share, Quantile: 0.95, Random: random.Float64})
	}
	for window := range 6 {
		requests, sends := 0, 0
		for i := range 40 { // 4 requests a second
			now := start.Add(time.Duration(window)*Window + time.Duration(i)*Window/40)
			for _, h := range fleet {
				h.Begin(now, &plain)
				h.Observe(now, &plain, 100*time.Millisecond)
				requests++
				if i%5 == 0 && h.Decide(now, &plain, ample()) == Allowed {
					sends++
				}
			}
		}
		t.Logf("window %d: %d requests, %d second sends", window, requests, sends)
		require.LessOrEqual(t, float64(sends), 1.1*share*float64(requests))
		if window > 0 {
			require.Greater(t, float64(sends), 0.4*share*float64(requests))
		}
	}
}

// Guards against one account that uses up the second sends of all others.
func TestAccountsShareTheSecondSends(t *testing.T) {
	h, now := trained(Config{Share: 0.2, Quantile: 0.95, Random: fixed(0)}, 1000)
	for i := range 9 {
		r := plain
		r.Account = contractor.Account(fmt.Sprint(i))
		h.Begin(now, &r)
	}
	sends, last := 0, Allowed
	for ; sends < 200 && last == Allowed; sends++ {
		h.services[plain.Service].late = 0
		last = h.Decide(now, &plain, ample())
	}
	require.Equal(t, AccountShareUsed, last)
	require.LessOrEqual(t, sends, 42, "a fifth of 200")
	other := plain
	other.Account = "3"
	require.Equal(t, Allowed, h.Decide(now, &other, ample()))
}

// Guards against a send that was allowed but found no upstream, and stays counted.
func TestReturnedSendIsAllowedAgain(t *testing.T) {
	h, now := trained(Config{Share: 0.02, Quantile: 0.95, Random: fixed(0)}, 60)
	require.Equal(t, Allowed, h.Decide(now, &plain, ample()))
	require.Equal(t, ShareUsed, h.Decide(now, &plain, ample()))
	h.Return(now, &plain)
	require.Equal(t, Allowed, h.Decide(now, &plain, ample()))
}

// Guards against settings beyond their limits.
func TestLimitsOfSettings(t *testing.T) {
	for _, share := range []float64{0, 0.02, 0.2} {
		require.True(t, ShareValid(share))
	}
	for _, share := range []float64{-0.01, 0.21, math.NaN(), math.Inf(1)} {
		require.False(t, ShareValid(share))
	}
	for _, quantile := range []float64{0.5, 1, 0, math.NaN()} {
		require.False(t, QuantileValid(quantile))
	}
	require.True(t, QuantileValid(0.95))
	require.Nil(t, New(Config{}))
}

// event is a step of the simulation.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate returns the times to first byte of requests at 40 upstreams that are chosen at random. Each is five times
// slower for 600 ms at a time, a given fraction of the time. Upstreams have no queues.
func simulate(seed uint64, share, slowFraction float64) (times []time.Duration, requests, sends int) {
	const upstreams, duration, rate, spell = 40, 3 * time.Minute, 200.0, 600 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 3))
	h := New(Config{Share: share, Quantile: 0.95, Random: random.Float64})
	slow := func(upstream int, at time.Time) bool {
		return rand.New(rand.NewPCG(uint64(upstream), uint64(at.UnixNano()/int64(spell)))).Float64() < slowFraction
	}
	firstByte := func(upstream int, at time.Time) time.Duration {
		took := time.Duration(float64(60*time.Millisecond) * math.Exp(0.35*random.NormFloat64()))
		if slow(upstream, at) {
			took *= 5
		}
		return took
	}
	var queue events
	for at := start; at.Before(start.Add(duration)); at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
		queue = append(queue, event{at, func() {
			requests++
			first := random.IntN(upstreams)
			took, delay := firstByte(first, at), time.Duration(0)
			finish := func(took time.Duration) {
				times = append(times, took)
				if h != nil {
					heap.Push(&queue, event{at.Add(took), func() { h.Observe(at.Add(took), &plain, took) }})
				}
			}
			if h != nil {
				delay = h.Begin(at, &plain)
			}
			if delay == 0 || took <= delay {
				finish(took)
				return
			}
			heap.Push(&queue, event{at.Add(delay), func() {
				later := at.Add(delay)
				if h.Decide(later, &plain, ample()) == Allowed {
					sends++
					second := (first + 1 + random.IntN(upstreams-1)) % upstreams
					took = min(took, delay+firstByte(second, later))
				}
				finish(took)
			}})
		}})
	}
	heap.Init(&queue)
	for len(queue) > 0 {
		heap.Pop(&queue).(event).run()
	}
	return times, requests, sends
}

// Guards against a delay or limit with which second sends do not help the slowest requests, or exceed their share.
func TestSecondSendsShortenTheSlowestResponses(t *testing.T) {
	for _, slowFraction := range []float64{0.015, 0.03} {
		var sumWith, sumWithout time.Duration
		for seed := range uint64(3) {
			p99 := func(share float64) time.Duration {
				times, requests, sends := simulate(seed, share, slowFraction)
				slices.Sort(times)
				at := times[len(times)*99/100]
				t.Logf("slow %.1f%%, seed %d, share %.2f: %d requests, %d second sends, p50 %v p99 %v", 100*slowFraction, seed, share,
					requests, sends, times[len(times)/2].Round(time.Millisecond), at.Round(time.Millisecond))
				require.LessOrEqual(t, float64(sends), share*float64(requests)+1)
				return at
			}
			without, with := p99(0), p99(0.02)
			require.Less(t, float64(with), 0.8*float64(without))
			sumWith, sumWithout = sumWith+with, sumWithout+without
		}
		t.Logf("slow %.1f%%: mean p99 falls by %.1f%%", 100*slowFraction, 100*(1-float64(sumWith)/float64(sumWithout)))
	}
}

// The decision is made once for a slow request and must take less than 2 us.
func BenchmarkDecide(b *testing.B) {
	h, now := trained(Config{Share: 0.02, Quantile: 0.95}, 2000)
	s := ample()
	b.ReportAllocs()
	for b.Loop() {
		if h.Decide(now, &plain, s) == Allowed {
			h.Return(now, &plain)
		}
		h.services[plain.Service].late = 0 // the full decision is measured
	}
}

// Every request is counted and observed while second sends are on.
func BenchmarkBeginAndObserve(b *testing.B) {
	h, now := trained(Config{Share: 0.02, Quantile: 0.95}, 2000)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := now.Add(time.Duration(i) * time.Millisecond)
		h.Begin(at, &plain)
		h.Observe(at, &plain, 100*time.Millisecond)
	}
}
