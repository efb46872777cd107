package apportioner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

// maxTries is the number of transactions that one round tries when other daemons change the
// pool at the same time.
const maxTries = 6

// maxReads is how often a round reads row and pool, if the store is restored in between.
const maxReads = 2

// errReplaced means that a later incarnation of this daemon has taken over its row.
var errReplaced = errors.New("a later incarnation of this daemon has taken over its shares")

// Run executes rounds until ctx ends.
func (a *Apportioner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := a.config.Now()
		a.RunRound(ctx)
		if !a.Joined() {
			// An error means that ctx has ended, which the loop checks.
			_ = sleeper.Sleep(ctx, joinRetryInterval)
			continue
		}
		a.waitForRound(ctx, started, a.nextInterval())
	}
}

// waitForRound returns when the next round is due: when the interval has passed, when a request
// waits for tokens, or soon after an open part is nearly used up.
func (a *Apportioner) waitForRound(ctx context.Context, started time.Time, interval time.Duration) {
	a.mu.Lock()
	soonInterval := a.scaleToFleet(unlockRoundInterval)
	a.mu.Unlock()
	if sleeper.Sleep(ctx, minRoundInterval-a.config.Now().Sub(started)) != nil {
		return
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	roundSoon := a.roundSoon
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-a.roundNow:
			return
		case <-roundSoon:
			roundSoon = nil
			timer.Reset(max(soonInterval-a.config.Now().Sub(started), 0))
		}
	}
}

func (a *Apportioner) nextInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean := a.scaleToFleet(roundInterval)
	return mean*3/4 + rand.N(mean/2)
}

// RunRound settles what was spent and, when due, rebalances the shares.
func (a *Apportioner) RunRound(ctx context.Context) {
	a.mu.Lock()
	a.state.roundStarted = a.config.Now()
	a.mu.Unlock()
	err := a.attemptRound(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.state
	state.roundStarted = time.Time{}
	if err != nil && !state.failing {
		a.config.Recorder.Event(recorder.SharesUnreachable, "round", state.roundNumber, "err", err)
	}
	state.failing = err != nil && !errors.Is(err, persister.ErrConflict)
	close(a.roundDone)
	a.roundDone = make(chan struct{})
}

// Leave returns all tokens that are not reserved and removes the daemon from the pool's members.
func (a *Apportioner) Leave(ctx context.Context) {
	a.mu.Lock()
	a.state.leaving = true
	a.mu.Unlock()
	a.RunRound(ctx)
}

func (a *Apportioner) attemptRound(ctx context.Context) error {
	for try := range maxTries {
		if err := a.refresh(ctx); err != nil {
			return err
		}
		if err := a.removeSilentMembers(ctx); err != nil {
			return err
		}
		if err := a.renewLeases(ctx); err != nil {
			return err
		}
		p, err := a.propose(a.attach())
		if err != nil {
			return err
		}
		err = a.commit(ctx, p)
		if err == nil && p.confirms {
			continue // the round itself follows
		}
		if !errors.Is(err, persister.ErrConflict) {
			return err
		}
		if p.rebalances && try > 0 {
			a.postponeRebalance()
		}
		if sleeper.Sleep(ctx, rand.N(a.maxConflictWait(try))) != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("round: %w in %d transactions", persister.ErrConflict, maxTries)
}

// maxConflictWait is the longest wait after a conflict. The daemons of a starting fleet all
// register in the pool at once, before they know the relay that merges their changes. Each waits
// longer the more daemons it sees there.
func (a *Apportioner) maxConflictWait(try int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := time.Duration(try+1) * 2 * conflictBackoff
	if a.state.rebalancedAt.IsZero() && !a.hasRelay() {
		wait += time.Duration(len(a.state.pool.Members)) * registerBackoffPerMember
	}
	return wait
}

// postponeRebalance makes a daemon of a large fleet wait before it rebalances again. Until then
// its rounds settle only its own row. A single conflict does not postpone: its response carries
// the current state of the pool, and the next attempt can succeed.
func (a *Apportioner) postponeRebalance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := len(a.state.pool.Members)
	if members <= smallFleetSize || a.state.leaving {
		return
	}
	mean := time.Duration(members) * rebalanceBackoffPerMember
	a.state.rebalanceAfter = a.config.Now().Add(mean/2 + rand.N(mean))
}

// refresh reads row and pool when the known ones may be outdated. If the store is restored meanwhile, it reads them again.
func (a *Apportioner) refresh(ctx context.Context) error {
	for range maxReads {
		if a.isCurrent() {
			return nil
		}
		if err := a.read(ctx); err != nil {
			return err
		}
	}
	if !a.isCurrent() {
		return fmt.Errorf("read row and pool: %w", persister.ErrRestored)
	}
	return nil
}

func (a *Apportioner) isCurrent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.current
}

// read reads row and pool.
func (a *Apportioner) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rowEntry, err := a.config.Store.Get(ctx, rowPrefix+a.config.Name)
	if err != nil {
		return err
	}
	poolEntry, err := a.config.Store.Get(ctx, poolKey)
	if err != nil {
		return err
	}
	if err := a.adopt(rowEntry, poolEntry); err != nil {
		return err
	}
	return a.findPredecessorStage(ctx)
}

// adopt replaces the known row and pool by entries read from the store.
func (a *Apportioner) adopt(entries ...persister.Entry) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.state
	a.observeEra(entries)
	for _, e := range entries {
		if e.Key == poolKey {
			p, err := decode[pool](e.Key, e.Value)
			if err != nil {
				return err
			}
			previous, previousRevision := state.pool.Members, state.poolRevision
			state.pool, state.poolRevision = p.clone(), e.Revision
			a.trackDepartures(previous, previousRevision)
			a.trackMemberRounds()
			if a.ofEarlierEra(e.Revision) {
				a.rememberPool() // the response was on its way when the restore became known
			}
			continue
		}
		if e.Key != rowPrefix+a.config.Name {
			continue
		}
		own, err := decode[row](e.Key, e.Value)
		if err != nil {
			return err
		}
		state.row, state.rowRevision = own.clone(), e.Revision
	}
	if state.joined && state.row.Incarnation != a.config.Incarnation && state.row.Era >= state.storeEra {
		a.stopSpending()
		return errReplaced
	}
	// A response may have only one of them. Planned from the other one of before a restore, a change would replace what the
	// copy says, if the store has given out the number of its revision again.
	state.current = !a.ofEarlierEra(state.rowRevision) && !a.ofEarlierEra(state.poolRevision)
	if state.row.Incarnation != a.config.Incarnation {
		return nil
	}
	if state.joined && state.row.Era < state.storeEra {
		return nil // a copy, over which this daemon writes what it holds
	}
	// A write whose outcome is unknown may still take effect and return tokens. Only an
	// acknowledged write raises what may be spent.
	if !state.joined {
		// The response to the write that took over the row was lost. This incarnation has no
		// other write in flight, so the row counts as acknowledged.
		a.join()
		return nil
	}
	if a.unconfirmed() {
		a.recordConfirmation() // the response to its write was lost
	}
	for name, h := range state.row.Accounts {
		a.account(name).lowerTo(h)
	}
	return nil
}

// stopSpending keeps only what requests have reserved, because the later incarnation counts on
// the rest. The lock is held.
func (a *Apportioner) stopSpending() {
	for _, s := range a.accounts {
		s.granted = min(s.granted, s.spent+s.reserved)
	}
}

// join starts spending from the row that this incarnation has taken over. The lock is held.
func (a *Apportioner) join() {
	state := &a.state
	state.joined, state.era, state.lineage = true, state.row.Era, state.row.Lineage
	if len(state.pool.Members) == 0 {
		state.registerAfter = a.config.Now().Add(rand.N(registerSpread))
	}
	for name, h := range state.row.Accounts {
		s := a.account(name)
		s.granted, s.limits, s.spent = h.Granted, h.Limits, h.Spent
	}
	a.config.Recorder.Event(recorder.ShareTaken, "vm", a.config.Name, "stage", state.predecessorStage, "revision", state.rowRevision, "lineage", state.lineage)
	a.requestRound()
}

// trackMemberRounds records which members' round numbers have advanced.
func (a *Apportioner) trackMemberRounds() {
	state, now := &a.state, a.config.Now()
	for name, m := range state.pool.Members {
		if s, ok := state.memberRounds[name]; !ok || s.round != m.Round {
			state.memberRounds[name] = memberRound{round: m.Round, seenAt: now}
		}
	}
	for name := range state.memberRounds {
		if _, ok := state.pool.Members[name]; !ok {
			delete(state.memberRounds, name)
		}
	}
}

// commit writes a proposal. If the outcome is unknown, the next round reads the store again. Its
// own write then prevents this one from taking effect later.
func (a *Apportioner) commit(ctx context.Context, p *proposal) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, merged, err := a.write(ctx, p.txn)
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) && len(conflict.Entries) == len(p.txn.Compares) {
		if adoptErr := a.adopt(conflict.Entries...); adoptErr != nil {
			return adoptErr
		}
		return err
	}
	if err == nil && p.attached.Written != nil {
		p.attached.Written()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.state
	if !errors.Is(err, persister.ErrConflict) {
		state.pendingLeaseKeys = nil
	}
	if err != nil {
		return err
	}
	state.row, state.rowRevision = p.row, revision
	state.current = persister.EraOf(revision) <= state.storeEra
	if p.rebalances {
		previous, previousRevision := state.pool.Members, state.poolRevision
		state.pool, state.poolRevision, state.rebalancedAt = p.pool, revision, a.config.Now()
		state.current = a.adoptMergedPool(merged) && state.current
		state.earlierLineages = nil // the pool has them
		a.trackDepartures(previous, previousRevision)
	}
	if !state.joined {
		a.join()
	}
	if p.confirms {
		a.recordConfirmation()
	}
	for name, h := range p.row.Accounts {
		s := a.account(name)
		s.granted, s.limits = h.Granted, h.Limits
	}
	a.trackMemberRounds()
	if p.lostTokens > 0 {
		a.config.Recorder.Event(recorder.SharesLost, "vm", a.config.Name, "tokens", p.lostTokens)
	}
	return nil
}
