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
			if tt.daemons <= 7 {
				t.Parallel()
			}
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

// All daemons that know the version of a stream die together while several versions serve. The store has the records up to their
// last rounds, so most of the streams have to go on when their callers resume them, and those without a record must not be
// joined to another version, whatever has happened to the store.
func TestStreamsContinueAfterAllDaemonsDied(t *testing.T) {
	const second = time.Second
	kill := func(at time.Duration, survivors int) versionStep {
		return versionStep{at, func(f *versionFleet) { f.crashDaemons(len(f.daemons) - survivors) }}
	}
	restore := func(copied, restored time.Duration) versionStep {
		return versionStep{copied, func(f *versionFleet) {
			old := f.store.Copy()
			time.AfterFunc(restored-copied, func() { f.store.Restore(old) })
		}}
	}
	versions := func(n int) func(int, time.Duration) string {
		return func(i int, _ time.Duration) string { return fmt.Sprint("v", i%n) }
	}
	// From a time on, a third of the upstreams have another version.
	joining := func(at time.Duration) func(int, time.Duration) string {
		return func(i int, age time.Duration) string {
			if i%3 == 0 && age >= at {
				return "v2"
			}
			return "v1"
		}
	}
	// The steps leave the share of streams that go on open if few is true: their records cannot be had.
	tests := []struct {
		few      bool
		scenario versionScenario
	}{
		{false, versionScenario{name: "two versions", softwareOf: versions(2), steps: []versionStep{kill(6*second, 0)}}},
		{false, versionScenario{name: "three versions, twice", softwareOf: versions(3), steps: []versionStep{kill(5*second, 0), kill(8*second, 0)}}},
		{false, versionScenario{name: "one survivor", softwareOf: versions(2), steps: []versionStep{kill(6*second, 1)}}},
		{false, versionScenario{name: "a second version joins a moment later", softwareOf: joining(6300 * time.Millisecond), steps: []versionStep{kill(6*second, 0)}}},
		{false, versionScenario{name: "store unavailable when they are back", softwareOf: versions(2), steps: append(outage(6*second, 7*second), kill(6*second, 0))}},
		{true, versionScenario{name: "store unavailable before", softwareOf: versions(2), steps: append(outage(1*second, 6200*time.Millisecond), kill(6*second, 0))}},
		{true, versionScenario{name: "store restored from an older copy", softwareOf: versions(2), steps: []versionStep{restore(2*second, 6100*time.Millisecond), kill(6*second, 0)}}},
		{false, versionScenario{name: "store restored before", softwareOf: versions(2), steps: []versionStep{restore(2*second, 3*second), kill(6*second, 0)}}},
	}
	for _, tt := range tests {
		tt.scenario.upstreams, tt.scenario.rate, tt.scenario.callersOnly, tt.scenario.messageDelay = 18, 60, true, 5*time.Millisecond
		tt.scenario.duration, tt.scenario.eventInterval, tt.scenario.callerDelay = 11*second, 250*time.Millisecond, 800*time.Millisecond
		for _, daemons := range []int{7, 65} {
			s := tt.scenario
			s.daemons = daemons
			t.Run(fmt.Sprint(s.name, ", ", daemons), func(t *testing.T) {
				// Large fleets run one after the other, because of the memory that the race detector needs.
				seeds := uint64(1)
				if daemons <= 7 {
					t.Parallel()
					seeds = 2
				}
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) {
						f := newVersionFleet(t, s, seed)
						f.play()
						t.Logf("seed %d: %d joined, %d torn, begun %d of %d, %d of %d streams continued", seed, f.joined, f.torn, f.begun, f.begun+f.notBegun, f.continuedStreams, f.resumedStreams)
						require.Zero(t, f.joined)
						require.Zero(t, f.torn)
						require.GreaterOrEqual(t, f.resumedStreams, 12)
						if !tt.few {
							require.GreaterOrEqual(t, float64(f.continuedStreams)/float64(f.resumedStreams), float64(f.begun)/float64(f.begun+f.notBegun)/2)
						}
					})
				}
			})
		}
	}
}
