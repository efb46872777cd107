package launcher

import (
	"sync/atomic"
	"time"
)

const (
	// saturatedUtilization is the utilization from which on the link counts as saturated,
	// recoveredUtilization the one below which it counts as recovered. Both exclude protocol
	// headers: payload fills at most about 0.8 of the bandwidth.
	saturatedUtilization = 0.74
	recoveredUtilization = 0.5
	// saturationTime and recoveryTime are how long the utilization has to stay beyond its
	// threshold. The platform checks readiness once a second and sends new connections to other
	// daemons after two failed checks.
	saturationTime = time.Second
	recoveryTime   = 2 * time.Second
)

// linkSaturation detects that callers send more than the VM's network link carries. The daemon
// then reports that it is not ready, and new connections go to other daemons. Nothing else slows
// the callers down: a request that is refused has been transferred over the link as well.
type linkSaturation struct {
	saturated atomic.Bool
	// lastUnsaturated is when the utilization was last below saturatedUtilization,
	// lastNotRecovered when it was last at or above recoveredUtilization.
	lastUnsaturated, lastNotRecovered time.Time
}

// linkMeter measures the fraction of the link's bandwidth that is in use in each direction.
type linkMeter interface{ Utilization() (in, out float64) }

// update records the utilization of the link. It is called a few times a second.
func (s *linkSaturation) update(now time.Time, meter linkMeter) {
	in, out := meter.Utilization()
	utilization := max(in, out)
	if utilization < saturatedUtilization || s.lastUnsaturated.IsZero() {
		s.lastUnsaturated = now
	}
	if utilization >= recoveredUtilization || s.lastNotRecovered.IsZero() {
		s.lastNotRecovered = now
	}
	if now.Sub(s.lastUnsaturated) >= saturationTime {
		s.saturated.Store(true)
	}
	if now.Sub(s.lastNotRecovered) >= recoveryTime {
		s.saturated.Store(false)
	}
}
