package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// While a version of the upstreams' software is new, some daemons are partitioned, suspended or have a stale list for some
// seconds. Streams of the new version break off, and their callers resume them at these daemons, which know the old version
// only and must not continue them there.
func TestStreamIsNotJoinedAtDaemonWithStaleList(t *testing.T) {
	const from, until = 4900 * time.Millisecond, 7700 * time.Millisecond
	isolated := func(how isolation) func(int, time.Duration) (isolation, time.Duration) {
		return func(i int, age time.Duration) (isolation, time.Duration) {
			if i%3 != 0 || age < from || age >= until {
				return connected, 0
			}
			return how, until - age
		}
	}
	wakesPartitioned := func(i int, age time.Duration) (isolation, time.Duration) {
		const wakes = until - 800*time.Millisecond
		how, left := isolated(suspended)(i, age)
		if how == suspended && age >= wakes {
			return partitionedAfterSuspension, left
		}
		return how, wakes - age
	}
	// Half of the upstreams are replaced by such of the version v2.
	release := func(i int, age time.Duration) string {
		if i%2 == 0 && age >= 5*time.Second {
			return "v2"
		}
		return "v1"
	}
	tests := []versionScenario{
		{name: "partitioned", isolated: isolated(partitioned)},
		{name: "list is stale", isolated: isolated(stale)},
		{name: "suspended", isolated: isolated(suspended)},
		{name: "suspended, then partitioned", isolated: wakesPartitioned},
		{name: "list is stale, others crash", isolated: isolated(stale), daemonCrashes: 4, restartInterval: 700 * time.Millisecond},
		{name: "suspended, others crash", isolated: isolated(suspended), daemonCrashes: 4, restartInterval: 700 * time.Millisecond},
		{name: "one version", isolated: isolated(partitioned), softwareOf: func(int, time.Duration) string { return "v1" }},
	}
	for _, tt := range tests {
		tt.upstreams, tt.rate, tt.callersOnly, tt.messageDelay, tt.duration = 18, 100, true, 5*time.Millisecond, 9*time.Second
		tt.upstreamCrashes, tt.crashInterval = 5, 400*time.Millisecond
		if tt.softwareOf == nil {
			tt.softwareOf = release
		}
		for _, daemons := range []int{7, 65} {
			tt := tt
			tt.daemons = daemons
			t.Run(fmt.Sprint(tt.name, ", ", daemons), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					synctest.Test(t, func(t *testing.T) {
						f := newVersionFleet(t, tt, seed)
						f.play()
						t.Logf("seed %d: %d joined, %d torn, %d complete, begun %d of %d, continued %d of %d", seed, f.joined, f.torn, f.complete, f.begun, f.begun+f.notBegun, f.continued, f.resumes)
						require.Zero(t, f.joined)
						require.Zero(t, f.torn)
					})
				}
			})
		}
	}
}
