package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Some daemons die while one version serves, and a second one joins before the callers resume their streams. The daemons that
// are left have to know the version of these streams, which only the dead ones could have told them: otherwise two versions are
// possible and every stream is refused.
func TestStreamsOfDeadDaemonsContinueWhenAVersionJoins(t *testing.T) {
	tests := []struct {
		daemons, dead int
		joinsAfter    time.Duration
	}{
		{daemons: 7, dead: 1, joinsAfter: 100 * time.Millisecond},
		{daemons: 7, dead: 1, joinsAfter: 500 * time.Millisecond},
		{daemons: 7, dead: 2, joinsAfter: 100 * time.Millisecond},
		{daemons: 65, dead: 13, joinsAfter: 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.dead, " of ", tt.daemons, ", ", tt.joinsAfter), func(t *testing.T) {
			t.Parallel()
			const lossAt = 63 * time.Second // a history that was just written is uncertain for a minute
			scenario := versionScenario{
				daemons: tt.daemons, upstreams: 18, rate: 400, callersOnly: true, messageDelay: 5 * time.Millisecond,
				idle: lossAt - time.Second, duration: lossAt + 2*time.Second, callerDelay: 800 * time.Millisecond,
				softwareOf: func(i int, age time.Duration) string {
					if i%6 == 0 && age >= lossAt+tt.joinsAfter {
						return "v2"
					}
					return "v1"
				},
				steps: []versionStep{killSome(lossAt, tt.dead)},
			}
			for seed := range uint64(2) {
				synctest.Test(t, func(t *testing.T) {
					f := newVersionFleet(t, scenario, seed)
					f.play()
					t.Logf("seed %d: %d joined, %d torn, begun %d of %d, %d of %d streams continued", seed, f.joined, f.torn, f.begun, f.begun+f.notBegun, f.continuedStreams, f.resumedStreams)
					require.Zero(t, f.joined)
					require.Zero(t, f.torn)
					require.GreaterOrEqual(t, f.resumedStreams, 12)
					require.GreaterOrEqual(t, float64(f.continuedStreams)/float64(f.resumedStreams), float64(f.begun)/float64(f.begun+f.notBegun)/2)
				})
			}
		})
	}
}
