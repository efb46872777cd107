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

// Responses overtake each other. One without a limit, or with a higher one, must not end the
// limit if its request was sent before the limit was stated; a lower limit always counts.
func TestLateResponseDoesNotEndLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name           string
		sent, received float64
		limit, want    Limit
	}{
		{"none, sent before", 0.9, 1.2, Limit{}, Limit{true, 2}},
		{"none, sent after", 1.1, 1.2, Limit{}, Limit{}},
		{"higher, sent before", 0.9, 1.2, Limit{true, 3}, Limit{true, 2}},
		{"higher, sent after", 1.1, 1.2, Limit{true, 3}, Limit{true, 3}},
		{"lower, sent before", 0.9, 1.2, Limit{true, 1}, Limit{true, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := New(Config{})
			limits.Record(1, Response{SentAt: at(0.5), ReceivedAt: at(1), Limit: Limit{true, 2}})
			limits.Record(1, Response{SentAt: at(tt.sent), ReceivedAt: at(tt.received), Limit: tt.limit})
			require.Equal(t, tt.want, limits.LimitOf(1))
			require.Equal(t, Limit{}, limits.LimitOf(2))
		})
	}
}

// An upstream that has restarted under its name has stated no limit yet.
func TestRestartedUpstreamHasAnotherID(t *testing.T) {
	require.NotEqual(t, IDOf("i-7", 1), IDOf("i-7", 2))
	require.Equal(t, IDOf("i-7", 1), IDOf("i-7", 1))
}

func fleetOf(t *testing.T, daemons int) []*Throttler {
	t.Helper()
	var addresses []netip.AddrPort
	for i := range daemons {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
	}
	var fleet []*Throttler
	for i := range daemons {
		others := slices.Concat(addresses[:i], addresses[i+1:])
		random := rand.New(rand.NewPCG(uint64(i), 1))
		fleet = append(fleet, New(Config{
			Self: addresses[i], Members: func() ([]netip.AddrPort, bool) { return others, true }, Random: random.Float64,
		}))
	}
	return fleet
}

// Daemons whose shares have not been used for a long time must not use them all at once, and
// shares of daemons that always have requests must not exceed the limit.
func TestSharesOfFleetKeepLimit(t *testing.T) {
	tests := []struct {
		daemons int
		rate    float64
	}{{1, 1}, {7, 0.3}, {7, 1.1}, {7, 1.9}, {7, 5}, {7, 40}, {295, 1}, {295, 30}, {295, 1000}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d daemons, %v", tt.daemons, tt.rate), func(t *testing.T) {
			fleet, now := fleetOf(t, tt.daemons), time.Unix(1000, 0)
			for _, d := range fleet {
				d.Record(1, Response{SentAt: now, ReceivedAt: now, Limit: Limit{Stated: true, Rate: tt.rate}})
				d.Allows(now, 1)
			}
			for _, idle := range []time.Duration{time.Minute, 0, time.Hour, time.Second} {
				now = now.Add(idle)
				taken := 0
				for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
					for _, d := range fleet {
						if d.Take(now, 1) {
							taken++
						}
					}
				}
				require.LessOrEqual(t, float64(taken), 1.5*4*tt.rate+5)
				require.GreaterOrEqual(t, float64(taken), 0.5*4*tt.rate-2)
			}
		})
	}
}

// The store may turn away a part of the daemons for long, while upstreams and callers reach them. The others no longer count
// them as members, but they go on with the shares that they had.
func TestSharesOfSplitFleetKeepLimit(t *testing.T) {
	const rate = 40
	for _, daemons := range []int{7, 64, 295} {
		for _, part := range []float64{0.34, 0.5, 0.7} {
			t.Run(fmt.Sprintf("%d daemons, %v turned away", daemons, part), func(t *testing.T) {
				var addresses []netip.AddrPort
				for i := range daemons {
					addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
				}
				away := int(part * float64(daemons))
				now := time.Unix(1000, 0)
				var fleet []*Throttler
				for i, self := range addresses {
					members := addresses
					if i >= away {
						members = addresses[away:]
					}
					others := slices.DeleteFunc(slices.Clone(members), func(a netip.AddrPort) bool { return a == self })
					d := New(Config{Self: self, Members: func() ([]netip.AddrPort, bool) { return others, true }})
					d.Record(1, Response{SentAt: now, ReceivedAt: now, Limit: Limit{Stated: true, Rate: rate}})
					d.Allows(now, 1)
					fleet = append(fleet, d)
				}
				now = now.Add(time.Minute)
				taken := 0
				for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
					for _, d := range fleet {
						if d.Take(now, 1) {
							taken++
						}
					}
				}
				require.LessOrEqual(t, float64(taken), 1.5*4*rate+5)
			})
		}
	}
}

// A daemon that does not know the fleet cannot know its share.
func TestUnknownFleetAllowsNothing(t *testing.T) {
	now, known := time.Unix(1000, 0), false
	d := New(Config{Members: func() ([]netip.AddrPort, bool) { return nil, known }})
	require.True(t, d.Allows(now, 1), "no limit")
	d.Record(1, Response{SentAt: now, ReceivedAt: now, Limit: Limit{Stated: true, Rate: 5}})
	now = now.Add(10 * time.Second)
	require.False(t, d.Allows(now, 1))
	known, now = true, now.Add(2*time.Second)
	d.Allows(now, 1)
	require.True(t, d.Allows(now.Add(time.Second), 1))
}

// A report that arrives late must neither revive a limit that has ended nor end a newer one.
func TestOldReportsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	limit := Limit{Stated: true, Rate: 2}
	one, other := New(Config{}), New(Config{})
	one.Record(1, Response{SentAt: now, ReceivedAt: now, Limit: limit})
	early := one.Collect(now, 10)
	require.Len(t, early, 1)
	other.Merge(now, early)
	require.Equal(t, limit, other.LimitOf(1))
	now = now.Add(time.Second)
	other.Record(1, Response{SentAt: now, ReceivedAt: now})
	other.Merge(now, one.Collect(now, 10))
	require.Equal(t, Limit{}, other.LimitOf(1), "the report is older than the end")
	one.Merge(now, other.Collect(now, 10))
	require.Equal(t, Limit{}, one.LimitOf(1))
	later := now.Add(2 * endedRetention)
	one.Collect(later, 10)
	require.Empty(t, one.limits, "ended limits are forgotten")
}

// The limit of an upstream must not be forgotten while its entry is missing for a moment, as after an
// outage of the store, and must not keep memory when it is gone.
func TestLimitsOutliveMissingEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(Config{})
	for id := range ID(3) {
		d.Record(id, Response{SentAt: now, ReceivedAt: now, Limit: Limit{Stated: true}, Pause: time.Minute})
	}
	d.Retain(now, map[ID]bool{1: true})
	d.Retain(now.Add(30*time.Second), map[ID]bool{1: true, 2: true})
	require.Len(t, d.limits, 3)
	later := now.Add(unlistedRetention)
	d.Retain(later, map[ID]bool{1: true})
	require.Len(t, d.limits, 2, "2 was listed again")
	d.Retain(later.Add(unlistedRetention), map[ID]bool{1: true})
	require.Len(t, d.limits, 1)
	require.Empty(t, d.pauses)
	require.Equal(t, int64(1), d.restricted.Load())
}

// A pause that cannot be read, or of many years, must not keep requests away for ever.
func TestParsePause(t *testing.T) {
	tests := []struct {
		text  string
		pause time.Duration
	}{{"1.5", 1500 * time.Millisecond}, {" 2 ", 2 * time.Second}, {"1e30", maxPause}, {"-1", 0}, {"", 0}, {"NaN", 0}, {"soon", 0}, {"Fri, 31 Dec 1999 23:59:59 GMT", 0}}
	for _, tt := range tests {
		require.Equal(t, tt.pause, ParsePause(tt.text), tt.text)
	}
}

// A shorter pause that is stated later must not end a longer one, and pauses end.
func TestPauseEndsWithTheLatestTime(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(Config{})
	d.Record(1, Response{ReceivedAt: now, Pause: 5 * time.Second})
	d.Record(1, Response{ReceivedAt: now.Add(time.Second), Pause: time.Second})
	require.False(t, d.Allows(now.Add(4999*time.Millisecond), 1))
	require.Equal(t, 2*time.Second, d.RetryAfter(now.Add(3*time.Second), slices.Values([]ID{1, 2})))
	require.True(t, d.Allows(now.Add(5*time.Second), 1))
	require.Zero(t, d.restricted.Load())
}
