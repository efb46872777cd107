package apportioner

import (
	"context"
	"fmt"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// lockKey is the key of a stage of one run.
func (a *Apportioner) lockKey(run contractor.Incarnation, stage int) string {
	return fmt.Sprintf("%s%s/%x/%s", lockPrefix, a.config.Name, uint64(run), stages[stage].name)
}

// findLocks looks, before this run has a row, in which stage an earlier run was at
// the most when it ended.
func (a *Apportioner) findLocks(ctx context.Context) error {
	a.mu.Lock()
	old := a.rounds.row
	a.mu.Unlock()
	if old.Incarnation == 0 || old.Incarnation == a.config.Incarnation {
		return nil
	}
	before := 0
	for ; before < len(stages); before++ {
		lock, err := a.config.Store.Get(ctx, a.lockKey(old.Incarnation, before))
		if err != nil {
			return err
		}
		unlocks := time.UnixMilli(old.Unlocks[before])
		if lock.Revision > 0 && a.config.Now().Before(unlocks) {
			break
		}
	}
	a.mu.Lock()
	a.rounds.before = before
	a.mu.Unlock()
	return nil
}

// lease gets new leases for the stages whose leases have grown old. Their keys are
// written with the next transaction. A renewal could take effect late and prolong
// the key's life; a new lease cannot, because its time runs from before its answer.
func (a *Apportioner) lease(ctx context.Context) error {
	for i, t := range stages {
		a.mu.Lock()
		due := a.config.Now().Sub(a.rounds.leasedAt[i]) >= t.renewal
		ttl := a.leaseTime(i)
		a.mu.Unlock()
		if !due {
			continue
		}
		id, err := a.grantLease(ctx, ttl)
		if err != nil {
			return err
		}
		a.mu.Lock()
		r, now := &a.rounds, a.config.Now()
		r.leasedAt[i], r.lockedUntil[i] = now, now.Add(ttl+leaseMargin)
		r.locks = append(r.locks, persister.Put{
			Key: a.lockKey(a.config.Incarnation, i), Value: []byte(t.name), Lease: id,
		})
		a.mu.Unlock()
	}
	return nil
}

func (a *Apportioner) grantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.config.Store.GrantLease(ctx, ttl)
}
