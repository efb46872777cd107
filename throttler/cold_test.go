package throttler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	warmupDuration  = 3 * time.Second
	warmupOvershoot = 1.5
	warmupAllowance = 5
)

// coldFleet returns daemons that send no notices to each other, and what their service tolerates.
func coldFleet(daemons int, rate float64) ([]*Throttler, Warmup) {
	w := Warmup{Duration: warmupDuration, Rate: rate, MaxPerSecond: warmupOvershoot*rate + warmupAllowance}
	var addresses []netip.AddrPort
	for i := range daemons {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
	}
	var fleet []*Throttler
	for i := range daemons {
		others := slices.Concat(addresses[:i], addresses[i+1:])
		random := rand.New(rand.NewPCG(uint64(i), 1))
		fleet = append(fleet, New(Config{
			Self: addresses[i], Random: random.Float64, Warmup: func(string) Warmup { return w },
			Members: func() ([]netip.AddrPort, bool) { return others, true },
		}))
	}
	return fleet, w
}

// maxInSecond returns the largest number of sorted times within one second.
func maxInSecond(times []time.Time) int {
	most := 0
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) >= time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

// arrivals lets all daemons send whenever they may, for a time, and returns when the requests arrive: up to
// 400 ms later.
func arrivals(fleet []*Throttler, from time.Time, length time.Duration, id ID) []time.Time {
	random := rand.New(rand.NewPCG(7, 7))
	var times []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(20 * time.Millisecond) {
		for _, d := range fleet {
			if d.Allows(now, id) && d.Take(now, id) {
				times = append(times, now.Add(time.Duration(random.Int64N(int64(400*time.Millisecond)))))
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// Guards against a cold upstream that crashes because the shares of daemons that always have requests add up
// to more than it tolerates in some second, and against one that gets next to nothing and stays useless.
func TestFleetKeepsLimitOfColdUpstreams(t *testing.T) {
	for _, daemons := range []int{1, 7, 65, 295} {
		for _, rate := range []float64{6.7, 0.4, 40} {
			t.Run(fmt.Sprintf("%d daemons, rate %v", daemons, rate), func(t *testing.T) {
				fleet, w := coldFleet(daemons, rate)
				total, phases := 0, 1200/max(daemons, 60)
				start := time.Unix(1000, 0)
				for phase := range phases {
					id := ID(phase)
					for _, d := range fleet {
						d.Allows(start, id) // the fleet is known before the upstream is cold
						d.Allows(start.Add(membersSettleTime), id)
					}
					now := start.Add(2 * membersSettleTime)
					for i, d := range fleet {
						seen := now.Add(time.Duration(i) * time.Millisecond)
						d.RecordWarmup(seen, Start{ID: id}, WarmupStatement{Stated: true, Left: w.Duration})
					}
					times := arrivals(fleet, now.Add(300*time.Millisecond), 2600*time.Millisecond, id)
					require.LessOrEqual(t, float64(maxInSecond(times)), w.MaxPerSecond)
					total += len(times)
					start = now.Add(10 * time.Second)
				}
				require.Greater(t, float64(total), 0.4*rate*2.6*float64(phases))
			})
		}
	}
}

// Guards against a limit that is in force too late or does not end, and against requests that were saved up
// while the upstream was warm.
func TestWarmUpstreamTurnsColdAndWarm(t *testing.T) {
	fleet, w := coldFleet(7, 6.7)
	now, start := time.Unix(1000, 0), Start{ID: 1, Upstream: "i-1"}
	for _, d := range fleet {
		require.True(t, d.Allows(now, 1))
		d.RecordWarmup(now, start, WarmupStatement{Stated: true})
		require.Zero(t, d.restricted.Load(), "a warm upstream costs nothing")
		d.RecordWarmup(now, start, WarmupStatement{Stated: true, Left: w.Duration})
		require.True(t, d.IsCold(now, 1))
	}
	require.LessOrEqual(t, float64(maxInSecond(arrivals(fleet, now, w.Duration, 1))), w.MaxPerSecond)
	for _, d := range fleet {
		require.True(t, d.Allows(now.Add(w.Duration), 1), "warm again")
		d.ExpireCold(now.Add(w.Duration))
		require.Zero(t, d.restricted.Load())
	}
}

// Guards against an upstream that counts as warm too early: an unreadable statement must change nothing, one
// of zero ends what was stated but not the time after its zone's return.
func TestColdStatements(t *testing.T) {
	fleet, w := coldFleet(1, 6.7)
	d, now, start := fleet[0], time.Unix(1000, 0), Start{ID: 1}
	d.RecordWarmup(now, start, WarmupStatement{Stated: true, Left: time.Second})
	d.RecordWarmup(now, start, WarmupStatement{Stated: true, Unreadable: true})
	require.True(t, d.IsCold(now, 1))
	d.RecordWarmup(now, start, WarmupStatement{Stated: true})
	require.False(t, d.IsCold(now, 1))
	d.KeepCold(now, start, now.Add(-time.Second))
	d.RecordWarmup(now, start, WarmupStatement{Stated: true})
	require.True(t, d.IsCold(now.Add(w.Duration-1100*time.Millisecond), 1))
	require.False(t, d.IsCold(now.Add(w.Duration-time.Second), 1))
	d.KeepCold(now, Start{ID: 2}, now.Add(-time.Minute))
	require.False(t, d.IsCold(now, 2), "the zone returned long ago")
}

// Guards against requests at full rate to an upstream that has restarted while this daemon had no contact with
// the store, and against a limit on one that was only unreachable from here.
func TestUnreachableUpstreamCountsAsCold(t *testing.T) {
	fleet, w := coldFleet(1, 6.7)
	d, now, start := fleet[0], time.Unix(1000, 0), Start{ID: 1}
	d.Record(1, Response{ReceivedAt: now, Unreachable: true})
	require.Len(t, d.Unreached(now), 1)
	require.Empty(t, d.Unreached(now.Add(100*time.Millisecond)), "probed a moment ago")
	later := now.Add(10 * time.Second)
	require.True(t, d.IsCold(later, 1))
	d.Record(1, Response{ReceivedAt: later, Misdirected: true})
	require.Len(t, d.Unreached(later), 1, "another upstream has answered")
	d.MarkReached(later, 1)
	require.Empty(t, d.Unreached(later.Add(time.Second)))
	require.True(t, d.IsCold(later.Add(w.Duration-1), 1))
	require.False(t, d.IsCold(later.Add(w.Duration), 1))

	d.MarkUnreachable(later, start)
	d.RecordWarmup(later.Add(suspicionTime/2), start, WarmupStatement{Stated: true})
	require.True(t, d.IsCold(later.Add(suspicionTime/2), 1), "the entry may be older")
	d.RecordWarmup(later.Add(suspicionTime), start, WarmupStatement{Stated: true})
	require.False(t, d.IsCold(later.Add(suspicionTime), 1))
}

// Guards against upstreams that count as cold because this daemon was overloaded or partitioned from all of
// them, and against one that has restarted in that time and does not.
func TestTimeoutsOfImpairedDaemonAreIgnored(t *testing.T) {
	fleet, _ := coldFleet(1, 6.7)
	d, now, impaired := fleet[0], time.Unix(1000, 0), true
	d.config.SuspectUnreachable = func(string) bool { return !impaired }
	d.Record(1, Response{ReceivedAt: now, Unreachable: true})
	require.False(t, d.IsCold(now, 1))
	d.Record(1, Response{ReceivedAt: now, Unreachable: true, Refused: true})
	require.True(t, d.IsCold(now, 1), "its host was reached")
	impaired = false
	d.Record(2, Response{ReceivedAt: now, Unreachable: true})
	require.True(t, d.IsCold(now, 2))
}

// Guards against shares that add up to too much because daemons know different members: those of a fleet that
// starts know few others, and one without contact to the store may have been removed by the others.
func TestUncertainMembersSendNothingToColdUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	var others []netip.AddrPort
	known, current := true, true
	d := New(Config{
		Members: func() ([]netip.AddrPort, bool) { return others, known }, MembersCurrent: func(time.Time) bool { return current },
		Warmup: func(string) Warmup { return Warmup{Duration: time.Hour, Rate: 50, MaxPerSecond: 80} },
	})
	d.RecordWarmup(now, Start{ID: 1}, WarmupStatement{Stated: true, Left: time.Hour})
	allowed := func() int { return len(arrivals([]*Throttler{d}, now, time.Second, 1)) }
	require.Zero(t, allowed(), "it may only not know the others yet")
	now = now.Add(3 * time.Second)
	require.Positive(t, allowed())
	others = append(others, netip.MustParseAddrPort("10.0.0.2:7000"))
	now = now.Add(2 * time.Second)
	require.Zero(t, allowed(), "the fleet has doubled")
	now = now.Add(3 * time.Second)
	require.Positive(t, allowed())
	current = false
	now = now.Add(2 * time.Second)
	require.Zero(t, allowed())
	current = true
	others = append(others, netip.MustParseAddrPort("10.0.0.3:7000"))
	d.ExpireCold(now.Add(2 * time.Second))
	now = now.Add(5 * time.Second)
	require.Positive(t, allowed(), "the growth was seen before")
	known = false
	now = now.Add(2 * time.Second)
	require.Zero(t, allowed())
}
