package launcher

import (
	"sync/atomic"
	"time"
)

const (
	// saturatedUse and calmLink are the parts of the link, counted without headers, from which
	// on it is full, and below which it has room again. Bodies fill at most about 0.8 of it.
	saturatedUse = 0.74
	recoveredUse = 0.5
	// saturationTime and calmTime are how long that has to last. The platform asks once a second
	// and sends connections elsewhere after two misses.
	saturationTime = time.Second
	recoveryTime   = 2 * time.Second
)

// linkSaturation follows whether callers send more than the VM's link carries. New connections then
// have to go to other daemons, because nothing else slows the callers down: what they send
// fills the link also when it is refused.
type linkSaturation struct {
	saturated atomic.Bool
	// lastUnsaturated is when the link was last not full, and lastNotRecovered when it was last not calm.
	lastUnsaturated, lastNotRecovered time.Time
}

// linkMeter says which part of the VM's network linkMeter is in use in each direction.
type linkMeter interface{ Use() (in, out float64) }

// update is called a few times a second.
func (s *linkSaturation) update(now time.Time, meter linkMeter) {
	in, out := meter.Use()
	use := max(in, out)
	if use < saturatedUse || s.lastUnsaturated.IsZero() {
		s.lastUnsaturated = now
	}
	if use >= recoveredUse || s.lastNotRecovered.IsZero() {
		s.lastNotRecovered = now
	}
	if now.Sub(s.lastUnsaturated) >= saturationTime {
		s.saturated.Store(true)
	}
	if now.Sub(s.lastNotRecovered) >= recoveryTime {
		s.saturated.Store(false)
	}
}
