package allocator

import (
	"sync/atomic"
	"time"

	"laburnumline/contractor"
)

// pacing spreads the flushes of all accounts over the writes that the daemon may do.
type pacing struct {
	interval       atomic.Int64
	writesPer1000s atomic.Int64
}

func (p *pacing) setWritesPerSecond(perSecond float64) {
	p.writesPer1000s.Store(int64(perSecond * 1000))
}

// SetWritesPerSecond sets the maximum number of flushes per second of the daemon.
func (a *Allocator) SetWritesPerSecond(perSecond float64) { a.pacing.setWritesPerSecond(perSecond) }

// Interval returns the current time between two flushes of an account.
func (a *Allocator) Interval() time.Duration {
	return max(a.config.MinFlushInterval, time.Duration(a.pacing.interval.Load()))
}

// FlushInterval returns the time between two flushes of an account, for a daemon that
// serves a number of accounts with a limit of writes per second.
func FlushInterval(accounts int, writesPerSecond float64, minInterval time.Duration) time.Duration {
	if writesPerSecond <= 0 {
		return minInterval
	}
	return max(minInterval, time.Duration(float64(accounts)/writesPerSecond*float64(time.Second)))
}

// Due returns the accounts whose next flush is due. It also settles lost reservations
// and adjusts the flush interval.
func (a *Allocator) Due(now time.Time) []contractor.Account {
	interval := a.Interval()
	var due []contractor.Account
	active := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name, acc := range s.accounts {
			a.expire(now, acc)
			if a.dirty(acc) {
				active++
			}
			if a.due(now, acc, interval) {
				due = append(due, name)
			}
		}
		s.forgetFormerEpochs(now, a.withDrift(a.config.Term))
		s.mu.Unlock()
	}
	writesPerSecond := float64(a.pacing.writesPer1000s.Load()) / 1000
	a.pacing.interval.Store(int64(FlushInterval(active, writesPerSecond, a.config.MinFlushInterval)))
	return due
}

func (a *Allocator) due(now time.Time, acc *account, interval time.Duration) bool {
	sinceFlush := now.Sub(acc.flushedAt)
	switch {
	case acc.plan != nil:
		return sinceFlush >= a.config.MinFlushInterval
	case len(acc.settled) >= a.config.MaxLines:
		return true
	case now.Sub(acc.writtenAt) >= a.config.Term/writesPerTerm:
		return sinceFlush >= a.config.MinFlushInterval
	case a.dirty(acc):
		return sinceFlush >= interval
	}
	return false
}

// dirty reports whether the keeper has changes that the ledger does not contain.
func (a *Allocator) dirty(acc *account) bool {
	if len(acc.settled)+len(acc.received)+len(acc.sent) > 0 {
		return true
	}
	if acc.sealing == nil && !acc.resolved {
		return true
	}
	for i := range acc.budgets {
		b := &acc.budgets[i]
		if b.consumed != 0 || b.rate > 0 || a.surplus(b) > 0 {
			return true
		}
	}
	return false
}
