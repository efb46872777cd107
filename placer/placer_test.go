package placer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/announcer"
	"laburnumline/registrar"
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

func TestRequestsGoWhereTheirPartLies(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := New(Config{Zone: "zone-0"}), New(Config{Zone: "zone-1"})
	for part := range uint64(50) {
		first, ok := one.Choose(now, prompt(part))
		require.True(t, ok)
		one.End(now, &first, Result{})
		second, _ := other.Choose(now, prompt(part))
		other.End(now, &second, Result{})
		require.Equal(t, first.Upstream.Name, second.Upstream.Name, "without a message both daemons take the home")
	}
}

func TestBusyHomeIsLeftForAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{})
	first, _ := p.Choose(now, prompt(7))
	used := map[registrar.Name]int{first.Upstream.Name: 1}
	for range 200 {
		c, _ := p.Choose(now, prompt(7))
		used[c.Upstream.Name]++
	}
	require.Greater(t, len(used), 1, "a hot part is read at more upstreams")
}

func TestNoticesOfOthersCount(t *testing.T) {
	now := time.Unix(1000, 0)
	one, other := New(Config{}), New(Config{})
	home, _ := one.Choose(now, prompt(7))
	other.Choose(now, Query{Candidates: upstreams(9), Engine: true})
	hash := uint32(one.nodes[home.Upstream.Name].hash)
	other.Hear(now, &announcer.Notice{From: 1, Loads: []announcer.Load{{Upstream: hash, Reading: 5000, InFlight: 40}}})
	away, _ := other.Choose(now, prompt(7))
	require.NotEqual(t, home.Upstream.Name, away.Upstream.Name, "the home is busy for others")

	_, placed := one.Collect(10, 10)
	require.Len(t, placed, 1)
	third := New(Config{})
	third.Choose(now, Query{Candidates: upstreams(9), Engine: true})
	elsewhere := uint32(third.nodes["i-3"].hash)
	third.Hear(now, &announcer.Notice{From: 2, Placed: []announcer.Placement{{Upstream: elsewhere, Part: 99}}})
	known, _ := third.Choose(now, prompt(99))
	require.Equal(t, registrar.Name("i-3"), known.Upstream.Name, "another daemon has sent the part there")
}

func TestNoticeIsForgottenWithItsSender(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{})
	home, _ := p.Choose(now, prompt(7))
	p.End(now, &home, Result{})
	hash := uint32(p.nodes[home.Upstream.Name].hash)
	p.Hear(now, &announcer.Notice{From: 1, Loads: []announcer.Load{{Upstream: hash, Reading: 60_000, InFlight: 1}}})
	later := now.Add(noticeMemory + time.Second)
	again, _ := p.Choose(later, prompt(7))
	require.Equal(t, home.Upstream.Name, again.Upstream.Name)
}

func TestFailingUpstreamIsLeftOutForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{})
	q := Query{Candidates: upstreams(3)}
	for range failuresToEject {
		c, _ := p.Choose(now, Query{Candidates: q.Candidates[:1]})
		p.End(now, &c, Result{Outcome: Failed})
	}
	for range 20 {
		c, ok := p.Choose(now, q)
		require.True(t, ok)
		require.NotEqual(t, registrar.Name("i-0"), c.Upstream.Name)
		p.End(now, &c, Result{})
	}
	later := now.Add(longestEjection)
	c, _ := p.Choose(later, Query{Candidates: q.Candidates[:1]})
	require.Equal(t, registrar.Name("i-0"), c.Upstream.Name, "one request tries it again")
	second, _ := p.Choose(later, q)
	require.NotEqual(t, registrar.Name("i-0"), second.Upstream.Name, "but only one")
	p.End(later, &c, Result{Outcome: Served})
}

func TestAllAreUsedWhenMostAreLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{})
	list := upstreams(4)
	for i := range 3 {
		c, _ := p.Choose(now, Query{Candidates: list[i : i+1]})
		p.End(now, &c, Result{Outcome: Unreachable})
	}
	used := map[registrar.Name]bool{}
	for range 40 {
		c, ok := p.Choose(now, Query{Candidates: list})
		require.True(t, ok)
		used[c.Upstream.Name] = true
	}
	require.Len(t, used, 4, "a fault that most show does not empty the service")
}

func TestPlainServicesPreferTheirZone(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Zone: "zone-1"})
	q := Query{Candidates: upstreams(3)}
	c, _ := p.Choose(now, q)
	require.Equal(t, "zone-1", c.Upstream.Zone)
	zones := map[string]int{}
	for range 9 {
		c, _ := p.Choose(now, q)
		zones[c.Upstream.Zone]++
	}
	require.Len(t, zones, 3, "and leave it when it is busy")
}

func TestSkippedUpstreamsAreNotChosen(t *testing.T) {
	p := New(Config{})
	q := Query{Candidates: upstreams(2), Skip: []registrar.Name{"i-0"}}
	c, ok := p.Choose(time.Unix(1000, 0), q)
	require.True(t, ok)
	require.Equal(t, registrar.Name("i-1"), c.Upstream.Name)
	q.Skip = append(q.Skip, "i-1")
	_, ok = p.Choose(time.Unix(1000, 0), q)
	require.False(t, ok)
}

func TestRestartedUpstreamIsAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{})
	list := upstreams(1)
	old, _ := p.Choose(now, Query{Candidates: list})
	list[0].StartedAtMs = 5
	fresh, _ := p.Choose(now, Query{Candidates: list})
	p.End(now, &old, Result{Outcome: Unreachable})
	require.Equal(t, 1, p.nodes["i-0"].inFlight, "the end of the old run does not count")
	p.End(now, &fresh, Result{})
	require.Zero(t, p.nodes["i-0"].inFlight)
}
