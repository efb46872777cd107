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

// maxTries is the number of transactions that one round tries when others change
// the pool at the same time.
const maxTries = 6

// errReplaced means that a later run of this daemon has taken the row over.
var errReplaced = errors.New("a later run of this daemon has taken its shares over")

// Run makes rounds until ctx ends.
func (a *Apportioner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := a.config.Now()
		a.RunRound(ctx)
		if !a.Joined() {
			// An error shows that ctx has ended, which the loop looks at.
			_ = sleeper.Sleep(ctx, joinPause)
			continue
		}
		a.wait(ctx, begun, a.interval())
	}
}

// wait waits for the next round: until the interval has passed, until a request
// waits for tokens, or until open parts are nearly used up.
func (a *Apportioner) wait(ctx context.Context, begun time.Time, interval time.Duration) {
	a.mu.Lock()
	shortest, soon := a.paced(kickInterval), a.paced(openInterval)
	a.mu.Unlock()
	if sleeper.Sleep(ctx, shortest-a.config.Now().Sub(begun)) != nil {
		return
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	opening := a.opening
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-a.kicked:
			return
		case <-opening:
			opening = nil
			timer.Reset(max(soon-a.config.Now().Sub(begun), 0))
		}
	}
}

func (a *Apportioner) interval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	mean := a.paced(roundInterval)
	return mean*3/4 + rand.N(mean/2)
}

// RunRound settles what was spent and deals the shares anew.
func (a *Apportioner) RunRound(ctx context.Context) {
	a.mu.Lock()
	a.rounds.asked = a.config.Now()
	a.mu.Unlock()
	err := a.tries(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.rounds
	r.asked = time.Time{}
	if err != nil && !r.failing {
		a.config.Recorder.Event(recorder.SharesUnreachable, "round", r.number, "err", err)
	}
	r.failing = err != nil && !errors.Is(err, persister.ErrConflict)
	close(a.served)
	a.served = make(chan struct{})
}

// Leave gives back all that is not reserved, and leaves the pool's members.
func (a *Apportioner) Leave(ctx context.Context) {
	a.mu.Lock()
	a.rounds.leaving = true
	a.mu.Unlock()
	a.RunRound(ctx)
}

func (a *Apportioner) tries(ctx context.Context) error {
	for try := range maxTries {
		if err := a.refresh(ctx); err != nil {
			return err
		}
		if err := a.forgetSilent(ctx); err != nil {
			return err
		}
		if err := a.lease(ctx); err != nil {
			return err
		}
		p, err := a.propose()
		if err != nil {
			return err
		}
		err = a.commit(ctx, p)
		if !errors.Is(err, persister.ErrConflict) {
			return err
		}
		if p.deals && try > 0 {
			a.yieldDeal()
		}
		if sleeper.Sleep(ctx, rand.N(time.Duration(try+1)*2*conflictPause)) != nil {
			return ctx.Err()
		}
	}
	return fmt.Errorf("round: %w in %d transactions", persister.ErrConflict, maxTries)
}

// yieldDeal puts the deal off in a large fleet, so that the round settles the daemon's own
// row only. The first conflict is no sign of a crowd: it brings the pool's current state.
func (a *Apportioner) yieldDeal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := len(a.rounds.pool.Members)
	if members <= smallFleet || a.rounds.leaving {
		return
	}
	mean := time.Duration(members) * crowdPerMember
	a.rounds.dealAfter = a.config.Now().Add(mean/2 + rand.N(mean))
}

// refresh reads pool and row when what is known may be old.
func (a *Apportioner) refresh(ctx context.Context) error {
	a.mu.Lock()
	known := a.rounds.known
	a.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	mine, err := a.config.Store.Get(ctx, rowPrefix+a.config.Name)
	if err != nil {
		return err
	}
	shared, err := a.config.Store.Get(ctx, poolKey)
	if err != nil {
		return err
	}
	if err := a.adopt(mine, shared); err != nil {
		return err
	}
	return a.findLocks(ctx)
}

// adopt takes the store's state over.
func (a *Apportioner) adopt(entries ...persister.Entry) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.rounds
	for _, e := range entries {
		if e.Key == poolKey {
			p, err := decode[pool](e.Key, e.Value)
			if err != nil {
				return err
			}
			r.pool, r.poolRevision = p.clone(), e.Revision
			a.noteMembers()
			continue
		}
		if e.Key != rowPrefix+a.config.Name {
			continue
		}
		own, err := decode[row](e.Key, e.Value)
		if err != nil {
			return err
		}
		r.row, r.rowRevision = own.clone(), e.Revision
	}
	if r.joined && r.row.Incarnation != a.config.Incarnation {
		a.stopSpending()
		return errReplaced
	}
	r.known = true
	if r.row.Incarnation != a.config.Incarnation {
		return nil
	}
	// A write whose outcome is unknown may still take effect and give tokens back,
	// so only an acknowledged write raises what may be spent.
	if !r.joined {
		// The answer to the write that took the row over was lost. No other write of
		// this run is under way, so the row is as good as acknowledged.
		a.join()
		return nil
	}
	for name, h := range r.row.Accounts {
		a.account(name).lower(h)
	}
	return nil
}

// stopSpending leaves just what requests have reserved: a later run counts on the
// rest. The lock is held.
func (a *Apportioner) stopSpending() {
	for _, s := range a.accounts {
		s.granted = min(s.granted, s.spent+s.reserved)
	}
}

// join begins to spend from the row that this run has taken over. The lock is held.
func (a *Apportioner) join() {
	r := &a.rounds
	r.joined = true
	for name, h := range r.row.Accounts {
		s := a.account(name)
		s.granted, s.limits, s.spent = h.Granted, h.Limits, h.Spent
	}
	a.config.Recorder.Event(recorder.ShareTaken, "vm", a.config.Name, "stage", r.before, "revision", r.rowRevision)
	a.kick()
}

// noteMembers notes which daemons have made rounds.
func (a *Apportioner) noteMembers() {
	r, now := &a.rounds, a.config.Now()
	for name, m := range r.pool.Members {
		if s, ok := r.members[name]; !ok || s.round != m.Round {
			r.members[name] = memberRound{round: m.Round, at: now}
		}
	}
	for name := range r.members {
		if _, ok := r.pool.Members[name]; !ok {
			delete(r.members, name)
		}
	}
}

// commit writes a proposal. After an uncertain outcome the next round reads the
// store again, and its own write then excludes that this one takes effect late.
func (a *Apportioner) commit(ctx context.Context, p *proposal) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, merged, err := a.write(ctx, p.txn)
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) && len(conflict.Entries) == len(p.txn.Compares) {
		if adopted := a.adopt(conflict.Entries...); adopted != nil {
			return adopted
		}
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.rounds
	if !errors.Is(err, persister.ErrConflict) {
		r.locks = nil
	}
	if err != nil {
		return err
	}
	r.row, r.rowRevision = p.row, revision
	r.known = true
	if p.deals {
		r.pool, r.poolRevision, r.dealtAt = p.pool, revision, a.config.Now()
		r.known = a.takeMerged(merged)
	}
	if !r.joined {
		a.join()
	}
	for name, h := range p.row.Accounts {
		s := a.account(name)
		s.granted, s.limits = h.Granted, h.Limits
	}
	a.noteMembers()
	if p.lost > 0 {
		a.config.Recorder.Event(recorder.SharesLost, "vm", a.config.Name, "tokens", p.lost)
	}
	return nil
}
