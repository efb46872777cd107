package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// use is a link in use.
type use float64

func (u use) Utilization() (in, out float64) { return float64(u), 0 }

// A burst does not turn callers away, and a link that has just had room does not take
// them back: they would fill it again at once.
func TestCrowdFollowsWhatLasts(t *testing.T) {
	steps := []struct {
		use  use
		time time.Duration
		full bool
	}{
		{use: 0.3, time: 5 * time.Second},
		{use: 0.8, time: 750 * time.Millisecond},
		{use: 0.6, time: 250 * time.Millisecond},
		{use: 0.8, time: 750 * time.Millisecond},
		{use: 0.8, time: 500 * time.Millisecond, full: true},
		{use: 0.6, time: 5 * time.Second, full: true},
		{use: 0.1, time: 1500 * time.Millisecond, full: true},
		{use: 0.6, time: 250 * time.Millisecond, full: true},
		{use: 0.1, time: 2500 * time.Millisecond},
	}
	var c crowd
	now := time.Unix(1_000_000, 0)
	for i, s := range steps {
		for range s.time / (250 * time.Millisecond) {
			now = now.Add(250 * time.Millisecond)
			c.update(now, s.use)
		}
		require.Equal(t, s.full, c.full.Load(), "step %d", i)
	}
}
