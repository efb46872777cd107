package launcher

import (
	"sync/atomic"
	"time"

	"laburnumline/delegator"
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
	// aftermath is how long after saturation failed connections are still due to it: connectTimeout
	// and a few round trips through queues that drain.
	aftermath = 800 * time.Millisecond
)

// linkSaturation detects that callers send more than the VM's network link carries. The daemon
// then reports that it is not ready, and new connections go to other daemons. Nothing else slows
// the callers down: a request that is refused has been transferred over the link as well.
type linkSaturation struct {
	saturated atomic.Bool
	// lastUnsaturated is when the utilization was last below saturatedUtilization,
	// lastNotRecovered when it was last at or above recoveredUtilization.
	lastUnsaturated, lastNotRecovered time.Time
	// lastPeak is when the utilization was last at or above saturatedUtilization, in nanoseconds since
	// 1970, or zero.
	lastPeak atomic.Int64
}

// linkMeter measures the fraction of the link's bandwidth that is in use in each direction.
type linkMeter interface{ Utilization() (in, out float64) }

// update records the utilization of the link. It is called a few times a second.
func (s *linkSaturation) update(now time.Time, meter linkMeter) {
	in, out := meter.Utilization()
	utilization := max(in, out)
	if utilization >= saturatedUtilization {
		s.lastPeak.Store(now.UnixNano())
	}
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

// load returns the load of the daemon as package delegator distinguishes it. The link counts as saturated only
// until the aftermath of its last peak, which is before the daemon is ready again.
func (s *linkSaturation) load(now time.Time, meter linkMeter) delegator.Load {
	if in, out := meter.Utilization(); max(in, out) >= saturatedUtilization {
		s.lastPeak.Store(now.UnixNano())
	}
	switch peak := s.lastPeak.Load(); {
	case peak == 0 || now.UnixNano()-peak >= int64(aftermath):
		return delegator.Usual
	case s.saturated.Load():
		return delegator.Saturated
	}
	return delegator.Peak
}
