package retrier

import (
	"sync"
	"time"
)

// windowSlots is the number of slots in which a window is counted.
const windowSlots = 10

// window counts the first attempts and the retries at a target in the last Config.Window.
//
// It has one slot more than the window: the current one is not complete. Retries count in all of them and
// first attempts only in the newest windowSlots, so that neither allows more than an exact window would.
type window struct {
	slots  [windowSlots + 1]slot
	newest int64
	// begin is when the first slot began. Differences to it come from the monotonic clock.
	begin time.Time
}

type slot struct{ first, retries int }

// advance makes the slot of a time the newest. Slots that it passes are cleared.
func (w *window) advance(now time.Time, width time.Duration) *slot {
	if w.begin.IsZero() {
		w.begin = now
	}
	n := int64(now.Sub(w.begin) / (width / windowSlots))
	if n > w.newest {
		for i := max(w.newest+1, n-windowSlots); i <= n; i++ {
			w.slots[i%int64(len(w.slots))] = slot{}
		}
		w.newest = n
	}
	return &w.slots[w.newest%int64(len(w.slots))]
}

// sum returns the first attempts and the retries that count.
func (w *window) sum() (first, retries int) {
	oldest := (w.newest + 1) % int64(len(w.slots))
	for i := range w.slots {
		retries += w.slots[i].retries
		if int64(i) != oldest {
			first += w.slots[i].first
		}
	}
	return first, retries
}

// target is the budget of a target: in each window the retries are at most a fraction of the first attempts,
// and after crashes a share of the fleet's allowance more.
type target struct {
	mu     sync.Mutex
	window window
	// rounding is what is added before the limit is rounded down. It is drawn anew in each window, so that a
	// fraction of a retry is granted with its probability.
	rounding  float64
	roundedAt time.Time
}

// recordFirst counts a first attempt.
func (b *target) recordFirst(now time.Time, c *Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.advance(now, c.Window).first++
}

// take takes a retry if that leaves the window within its limit. spare is the number of retries that must remain.
func (b *target) take(now time.Time, c *Config, share float64, spare int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.window.advance(now, c.Window)
	if now.Sub(b.roundedAt) >= c.Window {
		b.rounding, b.roundedAt = c.Random(), now
	}
	first, retries := b.window.sum()
	if float64(retries+1+spare) > c.TargetRatio*float64(first)+share+b.rounding {
		return false
	}
	s.retries++
	return true
}

// giveBack returns a retry that was not made.
func (b *target) giveBack(now time.Time, c *Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.advance(now, c.Window).retries--
}

// fleetSize is the largest number of daemons that this one has known in the last Config.Window. Those that have
// ended since may have used their shares of the allowance.
type fleetSize struct {
	mu        sync.Mutex
	sampledAt time.Time
	peak      int
	peakAt    time.Time
}

const (
	// fleetSampleInterval is the minimum time between two samples of the fleet's size.
	fleetSampleInterval = time.Second
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
	if known && (members >= f.peak || now.Sub(f.peakAt) > c.Window) {
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
