package launcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against watches that all daemons of a large fleet make at each change: hundreds of
// upstreams register one by one when a fleet starts, and a daemon that has not registered yet
// neither knows the relay nor how many daemons there are.
func TestCoalesceDelay(t *testing.T) {
	tests := []struct {
		members    int
		registered bool
		delay      time.Duration
	}{
		{members: 1, delay: maxCoalesceDelay},
		{members: 7, registered: true, delay: 77 * time.Millisecond},
		{members: 295, registered: true, delay: maxCoalesceDelay},
	}
	for _, tt := range tests {
		require.Equal(t, tt.delay, coalesceDelay(tt.members, tt.registered), "%+v", tt)
	}
}
