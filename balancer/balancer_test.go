package balancer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/announcer"
	"laburnumline/registrar"
	"laburnumline/throttler"
)

func upstreams(n int) []registrar.Upstream {
	list := make([]registrar.Upstream, n)
	for i := range list {
		list[i] = registrar.Upstream{
			Name: registrar.Name(fmt.Sprintf("i-%d", i)), Zone: fmt.Sprintf("zone-%d", i%3), Slots: 64,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
	}
	return list
}

func prompt(shared uint64) Query {
	return Query{
		Candidates: upstreams(9), Engine: true, Tokens: 17_000,
		Parts: []Part{{ID: shared, Tokens: 13_000}, {ID: shared + 1_000_000, Tokens: 4000}},
	}
}

// Guards against daemons that prefer different upstreams for the same prompt part, which
// would then be processed and cached several times.
func TestRequestsWithSamePartGoToSameUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := New(Config{Zone: "zone-0"}), New(Config{Zone: "zone-1"})
	for part := range uint64(50) {
		first, ok := one.Choose(now, prompt(part))
		require.True(t, ok)
		one.End(now, &first, Result{})
		second, _ := other.Choose(now, prompt(part))
		other.End(now, &second, Result{})
		require.Equal(t, first.Upstream.Name, second.Upstream.Name, "both daemons choose the preferred upstream without communication")
	}
}

// Guards against overload of one upstream by requests that all share one prompt part.
func TestBusyPreferredUpstreamIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	first, _ := b.Choose(now, prompt(7))
	used := map[registrar.Name]int{first.Upstream.Name: 1}
	for range 200 {
		c, _ := b.Choose(now, prompt(7))
		used[c.Upstream.Name]++
	}
	require.Greater(t, len(used), 1, "a frequently used part is cached at several upstreams")
}

// Guards against daemons that overload an upstream together because each counts only its own
// requests, and against prefill of a part that another daemon's requests have left cached.
func TestNoticesOfOtherDaemonsInfluenceChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := New(Config{}), New(Config{})
	preferred, _ := one.Choose(now, prompt(7))
	other.Choose(now, Query{Candidates: upstreams(9), Engine: true})
	hash := uint32(one.states[preferred.Upstream.Name].hash)
	other.Receive(now, &announcer.Notice{From: 1, Loads: []announcer.Load{{Upstream: hash, Reading: 5000, InFlight: 40}}})
	chosen, _ := other.Choose(now, prompt(7))
	require.NotEqual(t, preferred.Upstream.Name, chosen.Upstream.Name, "the preferred upstream is busy with requests of others")

	_, placed := one.Collect(10, 10)
	require.Len(t, placed, 1)
	third := New(Config{})
	third.Choose(now, Query{Candidates: upstreams(9), Engine: true})
	elsewhere := uint32(third.states["i-3"].hash)
	third.Receive(now, &announcer.Notice{From: 2, Placed: []announcer.Placement{{Upstream: elsewhere, Part: 99}}})
	known, _ := third.Choose(now, prompt(99))
	require.Equal(t, registrar.Name("i-3"), known.Upstream.Name, "another daemon has sent the part to this upstream")
}

// Guards against load that counts forever because the daemon that announced it has stopped.
func TestNoticesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	preferred, _ := b.Choose(now, prompt(7))
	b.End(now, &preferred, Result{})
	hash := uint32(b.states[preferred.Upstream.Name].hash)
	b.Receive(now, &announcer.Notice{From: 1, Loads: []announcer.Load{{Upstream: hash, Reading: 60_000, InFlight: 1}}})
	later := now.Add(noticeLifetime + time.Second)
	again, _ := b.Choose(later, prompt(7))
	require.Equal(t, preferred.Upstream.Name, again.Upstream.Name)
}

// Guards against requests that keep failing at a faulty upstream, and against many requests
// at once at an upstream whose ejection has ended but that may still be faulty.
func TestFailingUpstreamIsEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	q := Query{Candidates: upstreams(3)}
	for range failuresToEject {
		c, _ := b.Choose(now, Query{Candidates: q.Candidates[:1]})
		b.End(now, &c, Result{Outcome: Failed})
	}
	for range 20 {
		c, ok := b.Choose(now, q)
		require.True(t, ok)
		require.NotEqual(t, registrar.Name("i-0"), c.Upstream.Name)
		b.End(now, &c, Result{})
	}
	later := now.Add(maxEjection)
	c, _ := b.Choose(later, Query{Candidates: q.Candidates[:1]})
	require.Equal(t, registrar.Name("i-0"), c.Upstream.Name, "one request tests the ejected upstream")
	second, _ := b.Choose(later, q)
	require.NotEqual(t, registrar.Name("i-0"), second.Upstream.Name, "only one request tests the ejected upstream")
	b.End(later, &c, Result{Outcome: Served})
}

// Guards against a service without upstreams, or with an overloaded one, when a common fault
// ejects most of them.
func TestAllUpstreamsAreUsedIfMostAreEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	list := upstreams(4)
	for i := range 3 {
		c, _ := b.Choose(now, Query{Candidates: list[i : i+1]})
		b.End(now, &c, Result{Outcome: Unreachable})
	}
	used := map[registrar.Name]bool{}
	for range 40 {
		c, ok := b.Choose(now, Query{Candidates: list})
		require.True(t, ok)
		used[c.Upstream.Name] = true
	}
	require.Len(t, used, 4, "all upstreams are used if most are ejected")
}

// Guards against needless traffic between zones, and against overload of the own zone.
func TestPlainServicesPreferLocalZone(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{Zone: "zone-1"})
	q := Query{Candidates: upstreams(3)}
	c, _ := b.Choose(now, q)
	require.Equal(t, "zone-1", c.Upstream.Zone)
	zones := map[string]int{}
	for range 9 {
		c, _ := b.Choose(now, q)
		zones[c.Upstream.Zone]++
	}
	require.Len(t, zones, 3, "other zones are used if the own zone is busy")
}

// Guards against a retry at an upstream that was already tried.
func TestExcludedUpstreamsAreNotChosen(t *testing.T) {
	b := New(Config{})
	q := Query{Candidates: upstreams(2), Exclude: []registrar.Name{"i-0"}}
	c, ok := b.Choose(time.Unix(1000, 0), q)
	require.True(t, ok)
	require.Equal(t, registrar.Name("i-1"), c.Upstream.Name)
	q.Exclude = append(q.Exclude, "i-1")
	_, ok = b.Choose(time.Unix(1000, 0), q)
	require.False(t, ok)
}

// Guards against results of requests to an upstream before its restart that change the state
// after the restart: counts would become wrong and the new process could be ejected.
func TestResultsOfRestartedUpstreamAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	list := upstreams(1)
	old, _ := b.Choose(now, Query{Candidates: list})
	list[0].StartedAtMs = 5
	fresh, _ := b.Choose(now, Query{Candidates: list})
	b.End(now, &old, Result{Outcome: Unreachable})
	require.Equal(t, 1, b.states["i-0"].inFlight, "the result from before the restart is ignored")
	b.End(now, &fresh, Result{})
	require.Zero(t, b.states["i-0"].inFlight)
}

// A fault of all other upstreams, or a crowded one, must not send more requests to an upstream
// than its limit allows, and the refusal says when one of the service accepts another.
func TestLimitHoldsThoughOthersAreEjected(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := throttler.New(throttler.Config{})
	b := New(Config{Limits: limits})
	list := upstreams(5)
	for i := range list[1:] {
		c, _ := b.Choose(now, Query{Candidates: list[i+1 : i+2]})
		b.End(now, &c, Result{Outcome: Unreachable})
	}
	stated := throttler.Response{SentAt: now, ReceivedAt: now, Limit: throttler.Limit{Stated: true, Rate: 0.5}}
	limits.Record(list[0].LimitID(), stated)
	c, ok := b.Choose(now, Query{Candidates: list})
	require.True(t, ok)
	require.NotEqual(t, list[0].Name, c.Upstream.Name)
	c, ok = b.Choose(now, Query{Candidates: list[:1]})
	require.False(t, ok)
	require.Equal(t, 2*time.Second, c.RetryAfter)
	later := now.Add(2500 * time.Millisecond)
	_, ok = b.Choose(later, Query{Candidates: list[:1]})
	require.True(t, ok)
	_, ok = b.Choose(later, Query{Candidates: list[:1]})
	require.False(t, ok)
}

// Only a response shows that a limit has ended. An upstream whose cached parts are elsewhere by
// then gets a request all the same.
func TestStaleLimitIsRechecked(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := throttler.New(throttler.Config{})
	b := New(Config{Limits: limits})
	q := prompt(7)
	preferred, _ := b.Choose(now, q)
	other := slices.IndexFunc(q.Candidates, func(u registrar.Upstream) bool { return u.Name != preferred.Upstream.Name })
	limits.Record(q.Candidates[other].LimitID(), throttler.Response{SentAt: now, ReceivedAt: now, Limit: throttler.Limit{Stated: true, Rate: 1}})
	c, _ := b.Choose(now.Add(3*time.Second), q)
	require.Equal(t, preferred.Upstream.Name, c.Upstream.Name)
	c, _ = b.Choose(now.Add(6*time.Second), q)
	require.Equal(t, q.Candidates[other].Name, c.Upstream.Name)
}

// Guards against urgent requests that avoid the upstream with their cached parts because of a queue
// that they pass.
func TestUrgentRequestsPassTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	q := prompt(7)
	preferred, _ := b.Choose(now, q)
	b.End(now, &preferred, Result{})
	queue := Query{Engine: true, Priority: 9, Tokens: 20_000, Candidates: slices.DeleteFunc(slices.Clone(q.Candidates), func(u registrar.Upstream) bool {
		return u.Name != preferred.Upstream.Name
	})}
	for range 8 {
		b.Choose(now, queue)
	}
	c, _ := b.Choose(now, q)
	require.Equal(t, preferred.Upstream.Name, c.Upstream.Name)
	q.Priority = 9
	c, _ = b.Choose(now, q)
	require.NotEqual(t, preferred.Upstream.Name, c.Upstream.Name, "it waits behind the others")
}

// An upstream crashes when it holds more tokens than its memory. It gets no request that may exceed
// it while another has room, whether its requests are of this daemon, announced or reported.
func TestMemoryIsNotExceeded(t *testing.T) {
	now := time.Unix(1000, 0)
	q := prompt(7)
	q.MaxOutput, q.Memory = 3000, 100_000
	fill := []struct {
		name string
		fill func(b *Balancer, preferred Choice)
	}{
		{"own", func(b *Balancer, preferred Choice) {
			only := q
			only.Candidates = slices.DeleteFunc(slices.Clone(q.Candidates), func(u registrar.Upstream) bool { return u.Name != preferred.Upstream.Name })
			for range 4 {
				c, _ := b.Choose(now, only)
				b.ResponseStarted(now, &c, Start{})
			}
		}},
		{"announced", func(b *Balancer, preferred Choice) {
			hash := uint32(b.states[preferred.Upstream.Name].hash)
			b.Receive(now, &announcer.Notice{From: 1, Loads: []announcer.Load{{Upstream: hash, InFlight: 4}}})
		}},
		{"reported", func(b *Balancer, preferred Choice) {
			b.ResponseStarted(now, &preferred, Start{Load: Load{Running: NewFigure(5)}})
		}},
	}
	for _, tt := range fill {
		t.Run(tt.name, func(t *testing.T) {
			b := New(Config{})
			preferred, _ := b.Choose(now, q)
			tt.fill(b, preferred)
			c, ok := b.Choose(now, q)
			require.True(t, ok)
			require.NotEqual(t, preferred.Upstream.Name, c.Upstream.Name)
			only := q
			only.Candidates = []registrar.Upstream{preferred.Upstream}
			_, ok = b.Choose(now, only)
			require.True(t, ok, "the estimate alone refuses nothing")
		})
	}
}
