package retrier

import (
	"sync"
	"time"

	"laburnumline/recorder"
)

// targetBudget is the budget of a target: in each window the retries are at most a fraction of the first attempts,
// and after crashes a share of the fleet's allowance more.
type targetBudget struct {
	mu     sync.Mutex
	window window
	// rounding is what is added before the limit is rounded down. It is drawn anew in each window, so that a
	// fraction of a retry is granted with its probability.
	rounding  float64
	roundedAt time.Time
	usage     usage
}

// usage counts the requests and retries at a target since the last event about it.
type usage struct {
	since                   time.Time
	first, granted, refused int
}

// usageInterval is the minimum time between two events about the retries at one target.
const usageInterval = time.Second

// recordFirst counts a first attempt.
func (b *targetBudget) recordFirst(now time.Time, c *Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.advance(now, c.Window).first++
	b.usage.first++
}

// take takes a retry if that leaves the window within its limit. spare is the number of retries that must remain.
func (b *targetBudget) take(now time.Time, c *Config, share float64, spare int) bool {
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
func (b *targetBudget) giveBack(now time.Time, c *Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.advance(now, c.Window).retries--
}

// recordDecision counts a retry that the budgets have granted or refused, and logs the usage once per usageInterval.
func (b *targetBudget) recordDecision(now time.Time, name string, granted bool, c *Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := &b.usage
	if granted {
		u.granted++
	} else {
		u.refused++
	}
	if now.Sub(u.since) < usageInterval {
		return
	}
	c.Recorder.Event(recorder.RetryBudgetUsed, "target", name, "first", u.first, "granted", u.granted, "refused", u.refused, "since", now.Sub(u.since))
	*u = usage{since: now}
}
