package tracker

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

// Guards against failures that only the real transport shows: a daemon whose QUIC
// transport is closed has to be removed, and a leaving one is no longer a keeper.
func TestTrackersOverQUIC(t *testing.T) {
	f := startFleet(t, 3, 1)
	defer f.stop()
	require.Eventually(t, f.converged, 20*time.Second, 10*time.Millisecond)
	stopped := f.transports[2]
	require.NoError(t, stopped.Close())
	bothSeeTwo := func() bool {
		for _, tracker := range f.trackers[:2] {
			if len(tracker.Zone("zone-0")) != 2 {
				return false
			}
		}
		return true
	}
	require.Eventually(t, bothSeeTwo, 20*time.Second, 10*time.Millisecond)
	require.False(t, f.trackers[0].Gone(stopped.Self().VM, 1))
	f.trackers[1].Leave(context.Background())
	require.Eventually(t, func() bool {
		keeper, ok := f.trackers[0].Keeper("zone-0", "loft-7")
		return ok && keeper.VM == contractor.VM("vm-000")
	}, 20*time.Second, 10*time.Millisecond)
}
