package timekeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against readings of one boot that are not comparable or run backwards.
func TestReadIsMonotonic(t *testing.T) {
	first, err := Read()
	require.NoError(t, err)
	second, err := Read()
	require.NoError(t, err)
	elapsed, ok := Elapsed(first, second)
	require.True(t, ok)
	require.GreaterOrEqual(t, elapsed, time.Duration(0))
	require.Positive(t, first.SinceBoot)
}

// Readings of different boots must not be comparable, even if the boot ID is the same, as after a
// restored snapshot. Only the time of day then shows that the clock has restarted.
func TestElapsed(t *testing.T) {
	at := func(boot string, since, wall time.Duration) Reading {
		return Reading{BootID: boot, SinceBoot: since, WallTime: int64(wall)}
	}
	tests := []struct {
		name           string
		earlier, later Reading
		want           time.Duration
		ok             bool
	}{
		{name: "same boot", earlier: at("a", 10*time.Second, time.Hour), later: at("a", 12*time.Second, time.Hour+2*time.Second), want: 2 * time.Second, ok: true},
		{name: "time of day corrected slowly", earlier: at("a", 0, 0), later: at("a", 10*time.Second, 9900*time.Millisecond), want: 10 * time.Second, ok: true},
		{name: "time of day jumped back", earlier: at("a", 0, 0), later: at("a", 10*time.Second, 8*time.Second)},
		{name: "time of day jumped ahead", earlier: at("a", 0, 0), later: at("a", 10*time.Second, 12*time.Second)},
		{name: "clock restarted under the same boot ID", earlier: at("a", time.Hour, 0), later: at("a", time.Second, time.Second)},
		{name: "clock restarted under the same boot ID with a later reading", earlier: at("a", time.Second, 0), later: at("a", time.Hour, time.Second)},
		{name: "another boot", earlier: at("a", 0, 0), later: at("b", time.Second, time.Second)},
		{name: "boot IDs unknown", earlier: at("", 0, 0), later: at("", time.Second, time.Second)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			elapsed, ok := Elapsed(tt.earlier, tt.later)
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.want, elapsed)
		})
	}
}
