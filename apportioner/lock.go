package apportioner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/timekeeper"
)

// lockKey is the key of a stage of one run.
func (a *Apportioner) lockKey(run contractor.Incarnation, stage int) string {
	return fmt.Sprintf("%s%s/%x/%s", lockPrefix, a.config.Name, uint64(run), stages[stage].name)
}

// stays returns how long this run stays in each stage at the least. A stage without a
// lease yet lasts at least as long as one that begins now. The lock is held.
func (a *Apportioner) stays(now time.Time) [len(stages)]time.Duration {
	var stays [len(stages)]time.Duration
	for i, s := range stages {
		stays[i] = s.lease
		if !a.rounds.leasedAt[i].IsZero() {
			stays[i] = a.rounds.lockedUntil[i].Sub(now)
		}
	}
	return stays
}

// lastStage returns the stage in which the run of a row was at the most when this run
// started, by the clock that both share. It reports false when they share none.
func (a *Apportioner) lastStage(old row) (int, bool) {
	passed, ok := timekeeper.Elapsed(old.Written, a.started)
	if !ok {
		return len(stages), false
	}
	for i, stay := range old.Stay {
		if passed < stay {
			return i, true
		}
	}
	return len(stages), true
}

// findLocks looks, before this run has a row, in which stage an earlier run was at
// the most when it ended. What was once seen holds: that run had ended before.
func (a *Apportioner) findLocks(ctx context.Context) error {
	a.mu.Lock()
	old := a.rounds.row
	if a.rounds.predecessor != old.Incarnation {
		a.rounds.predecessor, a.rounds.before = old.Incarnation, len(stages)
	}
	last, known := a.lastStage(old)
	a.rounds.before = min(a.rounds.before, last)
	least := a.rounds.before
	a.mu.Unlock()
	if known || old.Incarnation == 0 || old.Incarnation == a.config.Incarnation {
		return nil
	}
	for i := range least {
		lock, err := a.config.Store.Get(ctx, a.lockKey(old.Incarnation, i))
		if err != nil {
			return err
		}
		if lock.Revision > 0 && a.config.Now().Before(time.UnixMilli(old.Unlocks[i])) {
			a.mu.Lock()
			a.rounds.before = i
			a.mu.Unlock()
			return nil
		}
	}
	return nil
}

// lease gets new leases, side by side, for the stages whose leases have grown old.
// Their keys are written with the next transaction. A renewal could take effect late
// and prolong the key's life; a new lease cannot, because its time runs from before
// its answer.
//
// A run takes its row over without them, and stays in the first stage until it has them.
func (a *Apportioner) lease(ctx context.Context) error {
	if !a.Joined() {
		return nil
	}
	var calls errgroup.Group
	for i := range stages {
		calls.Go(func() error { return a.leaseStage(ctx, i) })
	}
	return calls.Wait()
}

func (a *Apportioner) leaseStage(ctx context.Context, stage int) error {
	a.mu.Lock()
	due := a.config.Now().Sub(a.rounds.leasedAt[stage]) >= a.paced(stages[stage].renewal)
	ttl := a.leaseTime(stage)
	a.mu.Unlock()
	if !due {
		return nil
	}
	id, err := a.grantLease(ctx, ttl)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := &a.rounds, a.config.Now()
	r.leasedAt[stage], r.lockedUntil[stage] = now, now.Add(ttl+leaseMargin)
	lock := persister.Put{
		Key: a.lockKey(a.config.Incarnation, stage), Value: []byte(stages[stage].name), Lease: id,
	}
	r.locks = slices.DeleteFunc(r.locks, func(p persister.Put) bool { return p.Key == lock.Key })
	r.locks = append(r.locks, lock)
	return nil
}

func (a *Apportioner) grantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.config.Store.GrantLease(ctx, ttl)
}
