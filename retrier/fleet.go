package retrier

import (
	"sync"
	"time"
)

// fleetSize is the largest number of daemons that this one has known within fleetRetention.
type fleetSize struct {
	mu        sync.Mutex
	sampledAt time.Time
	peak      int
	peakAt    time.Time
}

const (
	// fleetSampleInterval is the minimum time between two samples of the fleet's size.
	fleetSampleInterval = time.Second
	// fleetRetention is how long a larger size of the fleet counts. Daemons that are partitioned from the
	// store are no longer known after seconds, but go on to use their shares of the allowance. Partitions
	// last up to an hour.
	fleetRetention = time.Hour
	// maxShare is the maximum share of the allowance of one daemon, which may know only few of the others.
	maxShare = 3
)

// sample updates the size.
func (f *fleetSize) sample(now time.Time, c *Config) {
	if c.Members == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.sampledAt) < fleetSampleInterval {
		return
	}
	f.sampledAt = now
	members, known := c.Members()
	if known && (members >= f.peak || now.Sub(f.peakAt) > fleetRetention) {
		f.peak, f.peakAt = members, now
	}
}

// share returns the daemon's share of the allowance, which is none while the fleet is not known.
func (f *fleetSize) share(now time.Time, c *Config) float64 {
	if c.Members == nil {
		return c.Allowance
	}
	f.sample(now, c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peak == 0 {
		return 0
	}
	return min(c.Allowance/float64(f.peak), maxShare)
}
