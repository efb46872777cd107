package balancer

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
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
	for range 8 {
		b.Choose(now, Query{Engine: true, Priority: 9, Tokens: 20_000, Candidates: []registrar.Upstream{preferred.Upstream}})
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
	for _, kind := range []string{"own", "announced", "reported"} {
		t.Run(kind, func(t *testing.T) {
			b := New(Config{})
			preferred, _ := b.Choose(now, q)
			only := q
			only.Candidates = []registrar.Upstream{preferred.Upstream}
			switch kind {
			case "own":
				for range 4 {
					c, _ := b.Choose(now, only)
					b.ResponseStarted(now, &c, Start{})
				}
			case "announced":
				hash := uint32(b.states[preferred.Upstream.Name].hash)
				b.Receive(now, &announcer.Notice{From: 1, Loads: []announcer.Load{{Upstream: hash, InFlight: 4}}})
			case "reported":
				b.ResponseStarted(now, &preferred, Start{Load: Load{Running: NewFigure(5)}})
			}
			c, ok := b.Choose(now, q)
			require.True(t, ok)
			require.NotEqual(t, preferred.Upstream.Name, c.Upstream.Name)
			_, ok = b.Choose(now, only)
			require.True(t, ok, "the estimate alone refuses nothing")
		})
	}
}

// When all upstreams have just rejected requests, further attempts only delay the refusal. The state
// must pass by itself, as nothing else shows that there is room again.
func TestFullServiceRefusesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	q := prompt(7)
	q.TimeLeft = 3 * time.Second
	for i := range q.Candidates {
		one := q
		one.Candidates = q.Candidates[i : i+1]
		c, ok := b.Choose(now, one)
		require.True(t, ok)
		b.End(now, &c, Result{Outcome: Full})
		_, ok = b.Choose(now, q)
		require.Equal(t, i < len(q.Candidates)-1, ok, "another one may have room")
	}
	c, ok := b.Choose(now, q)
	require.False(t, ok)
	require.Equal(t, AllFull, c.Reason)
	require.LessOrEqual(t, c.RetryAfter, time.Second)
	q.Exclude = []registrar.Name{"i-0", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"}
	c, _ = b.Choose(now, q)
	require.Equal(t, AllFull, c.Reason, "all were tried")
	q.Exclude, q.Started = nil, true
	_, ok = b.Choose(now, q)
	require.True(t, ok, "a response that has begun is not broken off")
	q.Started = false
	_, ok = b.Choose(now.Add(maxFull), q)
	require.True(t, ok)
}

// A wrong prediction must not refuse all requests of a service for ever, and congestion refuses only
// what exceeds the share of an account.
func TestAdmission(t *testing.T) {
	late := admission{firstByte: 2 * time.Second, busy: true, timeLeft: time.Second, reliable: true, upstreams: 9}
	tests := []struct {
		name   string
		change func(a *admission)
		reason Reason
		want   bool
	}{
		{"too late", func(*admission) {}, TooLate, true},
		{"an upstream is idle", func(a *admission) { a.busy = false }, 0, false},
		{"no recent observations", func(a *admission) { a.reliable = false }, 0, false},
		{"no deadline", func(a *admission) { a.timeLeft = 0 }, 0, false},
		{"in time", func(a *admission) { a.timeLeft = 3 * time.Second }, 0, false},
		{"soon, over its share", func(a *admission) { a.timeLeft, a.excess, a.random = 3*time.Second, 0.5, 0.4 }, OverShare, true},
		{"within its share by chance", func(a *admission) { a.timeLeft, a.excess, a.random = 3*time.Second, 0.5, 0.6 }, 0, false},
		{"over its share, not congested", func(a *admission) { a.timeLeft, a.excess = 30*time.Second, 0.5 }, 0, false},
		{"half of the upstreams full", func(a *admission) { a.timeLeft, a.excess, a.full = 30*time.Second, 0.5, 5 }, OverShare, true},
		{"all full", func(a *admission) { a.timeLeft, a.full = 30*time.Second, 9 }, AllFull, true},
	}
	for _, tt := range tests {
		a := late
		tt.change(&a)
		reason, refused := a.refuse()
		require.Equal(t, tt.want, refused, tt.name)
		if refused {
			require.Equal(t, tt.reason, reason, tt.name)
		}
	}
}

// Callers that are told the same time return together, and one that is told more than a third of its
// time has too few attempts.
func TestRetryAfterIsSpreadWithinItsLimits(t *testing.T) {
	ms := time.Millisecond
	for _, tt := range []struct{ wait, left, low, high time.Duration }{
		{400 * ms, 10_000 * ms, 300 * ms, 600 * ms},
		{1 * ms, 10_000 * ms, 100 * ms, 150 * ms},
		{20_000 * ms, 60_000 * ms, 3750 * ms, 5000 * ms},
		{20_000 * ms, 3000 * ms, 750 * ms, 1000 * ms},
		{20_000 * ms, 60 * ms, 100 * ms, 150 * ms},
		{400 * ms, 0, 300 * ms, 600 * ms},
	} {
		require.Equal(t, tt.low, retryAfter(tt.wait, tt.left, 0).Round(ms), "%v", tt)
		require.Equal(t, tt.high, retryAfter(tt.wait, tt.left, 1).Round(ms), "%v", tt)
	}
}

// Guards against speeds and wait of an upstream before its restart that count afterwards.
func TestRestartResetsLearnedSpeed(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	q := prompt(7)
	q.Candidates, q.Streamed = q.Candidates[:1], true
	for range 30 {
		c, _ := b.Choose(now, q)
		now = now.Add(3 * c.FirstByte)
		b.ResponseStarted(now, &c, Start{Load: Load{Slowdown: 4}, FirstByte: true})
		b.End(now, &c, Result{})
	}
	require.Greater(t, b.states["i-0"].factor(now), 1.5)
	q.Candidates[0].StartedAtMs = 5
	b.Choose(now, q)
	require.Equal(t, 1.0, b.states["i-0"].factor(now))
}

// Daemons of different versions must prefer the same upstreams.
func TestRendezvousWeightIsXXH64(t *testing.T) {
	for i := range uint64(100) {
		key, upstream := i*0x9e3779b97f4a7c15, ^i*0xc2b2ae3d27d4eb4f
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:8], key)
		binary.LittleEndian.PutUint64(b[8:], upstream)
		require.Equal(t, xxhash.Sum64(b[:]), rendezvousWeight(key, upstream))
	}
}

// Guards against speeds that are learned from latencies of the network, where upstreams respond before
// they have processed the prompt.
func TestResponsesBeforeTheirPromptTeachNothing(t *testing.T) {
	now, random := time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	b := New(Config{})
	for range 500 {
		q := prompt(random.Uint64N(50))
		c, ok := b.Choose(now, q)
		require.True(t, ok)
		delay := 3 * time.Millisecond
		if c.Upstream.Name == "i-3" {
			delay = 12 * time.Millisecond
		}
		b.ResponseStarted(now.Add(delay), &c, Start{FirstByte: true})
		now = now.Add(20 * time.Millisecond)
		b.End(now, &c, Result{})
	}
	require.InDelta(t, 1, b.states["i-3"].speed.usual, 0.01)
}

// Guards against requests that count for ever at an upstream that has restarted: a request that holds the list
// from before asks when to retry, after one with the new list was sent.
func TestOldListDoesNotHideRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{})
	before, after := prompt(7), prompt(7)
	after.Candidates = slices.Clone(after.Candidates)
	for i := range after.Candidates {
		after.Candidates[i].StartedAtMs++
	}
	c, _ := b.Choose(now, after)
	b.End(now, &c, Result{})
	b.RetryAfter(now, before)
	for range 3 {
		c, _ := b.Choose(now, after)
		b.End(now, &c, Result{})
	}
	for i, s := range b.statesOf(after.Candidates) {
		require.Zero(t, s.inFlight, "upstream %d", i)
	}
}

// Guards against refusals because the upstream whose limit should be rechecked has just rejected a request,
// although others have room.
func TestRecheckedUpstreamWithoutRoomRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := throttler.New(throttler.Config{})
	b := New(Config{Limits: limits})
	q := prompt(7)
	limited := &q.Candidates[2]
	limits.Record(limited.LimitID(), throttler.Response{SentAt: now, ReceivedAt: now, Limit: throttler.Limit{Stated: true, Rate: 100}})
	limits.Allows(now.Add(3*time.Second), limited.LimitID()) // computes the share, which is full 3 s later
	now = now.Add(6 * time.Second)
	c, ok := b.Choose(now, q)
	require.True(t, ok)
	require.Equal(t, limited.Name, c.Upstream.Name)
	b.End(now, &c, Result{Outcome: Full})
	now = now.Add(15 * time.Millisecond)
	c, ok = b.Choose(now, q)
	require.True(t, ok)
	require.NotEqual(t, limited.Name, c.Upstream.Name)
}
