package retrier

import (
	"sync"
	"time"

	"laburnumline/recorder"
)

// usageInterval is the minimum time between two events about the retries at one target.
const usageInterval = time.Second

// usage counts the requests and retries at one target since the last event.
type usage struct {
	since                   time.Time
	first, granted, refused int
}

// usageLog logs how the budgets of targets are used. Its zero value is ready to use.
type usageLog struct {
	mu      sync.Mutex
	targets map[string]*usage
}

// of returns the usage of a target. The lock is held.
func (l *usageLog) of(target string) *usage {
	u := l.targets[target]
	if u == nil {
		if l.targets == nil {
			l.targets = make(map[string]*usage)
		}
		u = &usage{}
		l.targets[target] = u
	}
	return u
}

// countFirst counts a first attempt.
func (l *usageLog) countFirst(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(target).first++
}

// countRetry counts a retry that the budgets grant or refuse, and logs the usage once per usageInterval.
func (l *usageLog) countRetry(now time.Time, target string, granted bool, rec *recorder.Recorder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.of(target)
	if granted {
		u.granted++
	} else {
		u.refused++
	}
	if now.Sub(u.since) < usageInterval {
		return
	}
	rec.Event(recorder.RetryBudgetUsed, "target", target, "first", u.first, "granted", u.granted, "refused", u.refused, "since", now.Sub(u.since))
	*u = usage{since: now}
}
