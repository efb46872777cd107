package launcher

import (
	"sync/atomic"
	"time"
)

const (
	// fullLink and calmLink are the parts of the link, counted without headers, from which
	// on it is full, and below which it has room again. Bodies fill at most about 0.8 of it.
	fullLink = 0.74
	calmLink = 0.5
	// fullTime and calmTime are how long that has to last. The platform asks once a second
	// and sends connections elsewhere after two misses.
	fullTime = time.Second
	calmTime = 2 * time.Second
)

// crowd follows whether callers send more than the VM's link carries. New connections then
// have to go to other daemons, because nothing else slows the callers down: what they send
// fills the link also when it is refused.
type crowd struct {
	full atomic.Bool
	// roomAt is when the link was last not full, and busyAt when it was last not calm.
	roomAt, busyAt time.Time
}

// link says which part of the VM's network link is in use in each direction.
type link interface{ Utilization() (in, out float64) }

// update is called a few times a second.
func (c *crowd) update(now time.Time, l link) {
	in, out := l.Utilization()
	use := max(in, out)
	if use < fullLink || c.roomAt.IsZero() {
		c.roomAt = now
	}
	if use >= calmLink || c.busyAt.IsZero() {
		c.busyAt = now
	}
	if now.Sub(c.roomAt) >= fullTime {
		c.full.Store(true)
	}
	if now.Sub(c.busyAt) >= calmTime {
		c.full.Store(false)
	}
}
