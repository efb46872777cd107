package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/registrar"
	"laburnumline/throttler"
)

// explainFixture returns a balancer of which each upstream is left out for another reason.
func explainFixture(now time.Time) (*Balancer, Query) {
	limits := throttler.New(throttler.Config{
		Random: rand.New(rand.NewPCG(1, 2)).Float64,
		Warmup: func(string) throttler.Warmup {
			return throttler.Warmup{Duration: time.Minute, Rate: 6.7, MaxPerSecond: 15}
		},
	})
	b := New(Config{Zone: "zone-0", Limits: limits, Random: rand.New(rand.NewPCG(3, 4)).Float64})
	q := prompt(7)
	q.Memory, q.MaxOutput, q.Account, q.TimeLeft = 400_000, 500, "a", 5*time.Second
	b.Choose(now, q)
	list := q.Candidates
	limits.Record(list[0].LimitID(), throttler.Response{Upstream: "i-0", SentAt: now, ReceivedAt: now, Pause: time.Second})
	limits.Record(list[1].LimitID(), throttler.Response{Upstream: "i-1", SentAt: now, ReceivedAt: now, Limit: throttler.Limit{Stated: true}})
	limits.RecordWarmup(now, list[2].ThrottlerStart(), throttler.WarmupStatement{Stated: true, Left: time.Minute})
	b.state(&list[3]).recordOutcome(now, Unreachable)
	b.state(&list[4]).fullUntil = now.Add(time.Second)
	b.service(&q).fullUntil = now.Add(time.Second)
	b.state(&list[5]).committed = 399_000
	q.Exclude = []registrar.Name{"i-6"}
	return b, q
}

// Guards against an upstream that is left out without or with another reason, and against an explanation
// that names another upstream than the choice.
func TestExplainNamesReasons(t *testing.T) {
	now := time.Unix(1000, 0)
	b, q := explainFixture(now)
	e := b.Explain(now, q)
	want := []Exclusion{Paused, OverLimit, ColdLimited, Ejected, JustFull, OutOfMemory, Tried, NotExcluded, NotExcluded}
	for i, x := range e.Candidates {
		require.Equal(t, want[i], x.Exclusion, x.Upstream.Name)
		require.Positive(t, x.FirstByte)
		require.GreaterOrEqual(t, x.Cost, x.Prefill)
	}
	require.Equal(t, time.Second, e.Candidates[0].Restriction.Pause)
	require.Equal(t, minEjection, e.Candidates[3].EjectedFor)
	c, ok := b.Choose(now, q)
	require.True(t, ok && e.Chosen)
	require.Equal(t, c.Upstream, e.Choice.Upstream)
	require.Equal(t, c.FirstByte, e.Choice.FirstByte)

	q.Exclude = nil
	q.Candidates = q.Candidates[:1]
	e = b.Explain(now, q)
	require.False(t, e.Chosen)
	require.Equal(t, Limited, e.Choice.Reason)
	require.Equal(t, time.Second, e.Choice.RetryAfter)
}

// Guards against an explanation that draws a permission, takes from a limit, or changes what later choices
// depend on.
func TestExplainChangesNothing(t *testing.T) {
	run := func(explain bool) []Choice {
		now := time.Unix(1000, 0)
		b, q := explainFixture(now)
		var choices []Choice
		for range 40 {
			if explain {
				for range 100 {
					b.Explain(now, q)
				}
			}
			c, _ := b.Choose(now, q)
			choices = append(choices, c)
			now = now.Add(150 * time.Millisecond)
			q.Parts[0].ID++
			q.Exclude = nil
		}
		return choices
	}
	require.Equal(t, run(false), run(true))
}

// An explanation holds the lock of the choice. Its time must stay far below 50 ms with 320 upstreams.
func BenchmarkExplain(b *testing.B) {
	now := time.Unix(1000, 0)
	balancer, q := explainFixture(now)
	q.Candidates = upstreams(320)
	balancer.Choose(now, q)
	b.ReportAllocs()
	for b.Loop() {
		balancer.Explain(now, q)
	}
}
