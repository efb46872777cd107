package balancer

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/registrar"
	"laburnumline/throttler"
)

// Guards against second sends that take a permission from a limited, paused, cold or brittle upstream, test an ejected
// one, or go to one without room, and against refused second sends that delay callers by a longer Retry-After.
func TestSecondSendLeavesOutRestrictedUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		restrict func(b *Balancer, l *throttler.Throttler, u *registrar.Upstream)
	}{
		{"limit", func(_ *Balancer, l *throttler.Throttler, u *registrar.Upstream) {
			l.Record(u.LimitID(), throttler.Response{SentAt: now, ReceivedAt: now, Limit: throttler.Limit{Stated: true, Rate: 100}})
		}},
		{"pause", func(_ *Balancer, l *throttler.Throttler, u *registrar.Upstream) {
			l.Record(u.LimitID(), throttler.Response{SentAt: now, ReceivedAt: now, Pause: time.Minute})
		}},
		{"cold", func(_ *Balancer, l *throttler.Throttler, u *registrar.Upstream) {
			l.KeepCold(now, u.ThrottlerStart(), now)
		}},
		{"brittle", func(_ *Balancer, l *throttler.Throttler, u *registrar.Upstream) {
			l.Record(u.LimitID(), throttler.Response{
				SentAt: now, ReceivedAt: now, Service: string(u.Service), Rejections: throttler.Rejections{Stated: true, PerSecond: 100},
			})
		}},
		{"ejected", func(b *Balancer, _ *throttler.Throttler, u *registrar.Upstream) {
			b.state(u).recordOutcome(now.Add(-time.Hour), Unreachable) // a trial is due
		}},
		{"full", func(b *Balancer, _ *throttler.Throttler, u *registrar.Upstream) {
			b.state(u).fullUntil = now.Add(time.Second)
			b.services[u.Service].fullUntil = now.Add(time.Second) // as a rejection sets both
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := throttler.New(throttler.Config{
				Warmup: func(string) throttler.Warmup {
					return throttler.Warmup{Duration: 3 * time.Second, Rate: 100, MaxPerSecond: 155}
				},
			})
			b := New(Config{Limits: limits, Random: func() float64 { return 0.5 }})
			q := prompt(7)
			q.Candidates = upstreams(2)
			first, ok := b.Choose(now, q)
			require.True(t, ok)
			q.Second, q.Exclude = true, []registrar.Name{first.Upstream.Name}
			second, ok := b.Choose(now, q)
			require.True(t, ok)
			b.End(now, &second, Result{Outcome: Abandoned})
			other := &q.Candidates[slices.IndexFunc(q.Candidates, func(u registrar.Upstream) bool { return u.Name != first.Upstream.Name })]
			tt.restrict(b, limits, other)
			for range 3 {
				_, ok = b.Choose(now, q)
				require.False(t, ok)
			}
			require.Zero(t, b.services[first.Upstream.Service].returnsAt, "a refused second send moves no Retry-After")
			require.Equal(t, 1, b.state(&first.Upstream).inFlight)
			require.Zero(t, b.state(other).inFlight)
		})
	}
}

// Guards against a slow upstream that looks fast, because its slow requests are cancelled before their first byte.
func TestOvertakenRequestsShowASlowUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, overtaken := range []bool{false, true} {
		b := New(Config{})
		q := prompt(7)
		q.Candidates = upstreams(1)
		q.Streamed = true
		for range 30 {
			c, _ := b.Choose(now, q)
			now = now.Add(c.FirstByte * 4)
			b.End(now, &c, Result{Outcome: Abandoned, Overtaken: overtaken})
			now = now.Add(time.Second)
		}
		require.Equal(t, overtaken, b.state(&q.Candidates[0]).speed.usual > unevenFactor)
	}
}
