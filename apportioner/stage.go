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

// leaseKey is the store key for a stage of one incarnation.
func (a *Apportioner) leaseKey(incarnation contractor.Incarnation, stage int) string {
	return fmt.Sprintf("%s%s/%x/%s", leasePrefix, a.config.Name, uint64(incarnation), stages[stage].name)
}

// minStays returns the shortest time until this incarnation leaves each stage. A stage
// without a lease yet lasts at least as long as one that begins now. The lock is held.
func (a *Apportioner) minStays(now time.Time) [len(stages)]time.Duration {
	var stays [len(stages)]time.Duration
	for i, s := range stages {
		stays[i] = s.leaseTTL
		if !a.state.leasedAt[i].IsZero() {
			stays[i] = a.state.leaseExpiry[i].Sub(now)
		}
	}
	return stays
}

// latestStage returns the latest stage that the incarnation which wrote a row can have reached
// when this one started, by the clock since boot. It reports false when the clock does not tell.
func (a *Apportioner) latestStage(old row) (int, bool) {
	elapsed, ok := timekeeper.Elapsed(old.WrittenAt, a.startReading)
	if !ok {
		return len(stages), false
	}
	return old.stageAfter(elapsed), true
}

// stageAfter returns the latest stage that the incarnation which wrote a row can have reached after a time.
func (r *row) stageAfter(elapsed time.Duration) int {
	for i, minStay := range r.MinStay {
		if elapsed < minStay {
			return i
		}
	}
	return len(stages)
}

// earliestStage returns the stage from which on keys show how far the incarnation which wrote a row got. If the VM has not
// rebooted, the time of day has been set meanwhile, so that it does not bound leases that the store has paused, but the clock
// since boot shows the stage.
func (a *Apportioner) earliestStage(old row) int {
	elapsed, ok := timekeeper.PossiblyElapsed(old.WrittenAt, a.startReading)
	if !ok {
		return stageOpen
	}
	return old.stageAfter(elapsed)
}

// findPredecessorStage finds, before this incarnation has a row, the latest stage that the
// earlier incarnation can have reached. Results of earlier calls stay valid, because that
// incarnation had already ended.
func (a *Apportioner) findPredecessorStage(ctx context.Context) error {
	a.mu.Lock()
	old := a.state.row
	if a.state.predecessor != old.Incarnation {
		a.state.predecessor, a.state.predecessorStage = old.Incarnation, len(stages)
	}
	byClock, known := a.latestStage(old)
	a.state.predecessorStage = min(a.state.predecessorStage, byClock)
	if old.Confined {
		a.state.predecessorStage, known = stageOpen, true
	}
	earliest, latest := a.earliestStage(old), a.state.predecessorStage
	a.mu.Unlock()
	if known || old.Incarnation == 0 || old.Incarnation == a.config.Incarnation {
		return nil
	}
	for i := earliest; i < latest; i++ {
		entry, err := a.config.Store.Get(ctx, a.leaseKey(old.Incarnation, i))
		if err != nil {
			return err
		}
		if entry.Revision > 0 && a.config.Now().Before(time.UnixMilli(old.LeaseExpiryMillis[i])) {
			a.mu.Lock()
			a.state.predecessorStage = i
			a.mu.Unlock()
			return nil
		}
	}
	return nil
}

// renewLeases gets new leases, in parallel, for the stages whose leases have reached their
// renewInterval. The next transaction writes their keys. Extending a lease could take effect
// late and prolong the life of its key. A new lease cannot, because its TTL starts before the
// response.
//
// An incarnation takes over its row and rebalances without leases, and stays in the first stage
// until it has them: only from then on does it know the relay, whose leases the daemons share.
func (a *Apportioner) renewLeases(ctx context.Context) error {
	a.mu.Lock()
	rebalanced := !a.state.rebalancedAt.IsZero()
	a.mu.Unlock()
	if !rebalanced {
		return nil
	}
	var calls errgroup.Group
	for i := range stages {
		calls.Go(func() error { return a.renewStageLease(ctx, i) })
	}
	return calls.Wait()
}

func (a *Apportioner) renewStageLease(ctx context.Context, stage int) error {
	a.mu.Lock()
	due := a.config.Now().Sub(a.state.leasedAt[stage]) >= a.scaleToFleet(stages[stage].renewInterval)
	ttl := a.leaseTTL(stage)
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
	state, now := &a.state, a.config.Now()
	state.leasedAt[stage], state.leaseExpiry[stage] = now, now.Add(ttl+leaseExpiryMargin)
	put := persister.Put{
		Key: a.leaseKey(a.config.Incarnation, stage), Value: []byte(stages[stage].name), Lease: id,
	}
	state.pendingLeaseKeys = slices.DeleteFunc(state.pendingLeaseKeys, func(p persister.Put) bool { return p.Key == put.Key })
	state.pendingLeaseKeys = append(state.pendingLeaseKeys, put)
	return nil
}

func (a *Apportioner) grantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.config.Store.GrantLease(ctx, ttl)
}
