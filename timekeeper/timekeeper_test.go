package timekeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadNeverGoesBack(t *testing.T) {
	first, err := Read()
	require.NoError(t, err)
	second, err := Read()
	require.NoError(t, err)
	passed, ok := Elapsed(first, second)
	require.True(t, ok)
	require.GreaterOrEqual(t, passed, time.Duration(0))
	require.Positive(t, first.SinceBoot)
}

func TestBetween(t *testing.T) {
	at := func(boot string, since, wall time.Duration) Reading {
		return Reading{BootID: boot, SinceBoot: since, WallTime: int64(wall)}
	}
	tests := []struct {
		name           string
		earlier, later Reading
		want           time.Duration
		ok             bool
	}{
		{name: "one boot", earlier: at("a", 10*time.Second, time.Hour), later: at("a", 12*time.Second, time.Hour+2*time.Second), want: 2 * time.Second, ok: true},
		{name: "time of day that is corrected", earlier: at("a", 0, 0), later: at("a", 10*time.Second, 9900*time.Millisecond), want: 10 * time.Second, ok: true},
		{name: "time of day that jumped back", earlier: at("a", 0, 0), later: at("a", 10*time.Second, 8*time.Second)},
		{name: "time of day that jumped ahead", earlier: at("a", 0, 0), later: at("a", 10*time.Second, 12*time.Second)},
		{name: "clock that began anew under the same name", earlier: at("a", time.Hour, 0), later: at("a", time.Second, time.Second)},
		{name: "clock that began anew further on", earlier: at("a", time.Second, 0), later: at("a", time.Hour, time.Second)},
		{name: "another boot", earlier: at("a", 0, 0), later: at("b", time.Second, time.Second)},
		{name: "boots not known", earlier: at("", 0, 0), later: at("", time.Second, time.Second)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			passed, ok := Elapsed(tt.earlier, tt.later)
			require.Equal(t, tt.ok, ok)
			require.Equal(t, tt.want, passed)
		})
	}
}
