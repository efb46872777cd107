package apportioner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
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
		a.Round(ctx)
		a.wait(ctx, begun, a.interval())
	}
}

// wait waits for the next round: until the interval has passed, until a request
// waits for tokens, or until open parts are nearly used up.
func (a *Apportioner) wait(ctx context.Context, begun time.Time, interval time.Duration) {
	a.mu.Lock()
	shortest, soon := a.paced(kickInterval), a.paced(openInterval)
	a.mu.Unlock()
	if !pause(ctx, shortest-a.config.Now().Sub(begun)) {
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

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Round settles what was spent and deals the shares anew.
func (a *Apportioner) Round(ctx context.Context) {
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
	a.Round(ctx)
}

func (a *Apportioner) tries(ctx context.Context) error {
	for try := range maxTries {
		if err := a.refresh(ctx); err != nil {
			return err
		}
		if err := a.forgetSilent(ctx); err != nil {
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
		if !pause(ctx, rand.N(time.Duration(try+1)*2*conflictPause)) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("round: %w in %d transactions", persister.ErrConflict, maxTries)
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
		a.mu.Lock()
		ttl := a.leaseTime(before)
		a.mu.Unlock()
		elapsed := a.config.Now().Sub(time.UnixMilli(old.Stamp)).Abs()
		if lock.Revision > 0 && elapsed < ttl+clockTolerance {
			break
		}
	}
	a.mu.Lock()
	a.rounds.before = before
	a.mu.Unlock()
	return nil
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
			a.sight()
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
		r.replaced = true
		return errReplaced
	}
	r.known = true
	if r.row.Incarnation != a.config.Incarnation {
		return nil
	}
	// A write whose outcome is unknown may still take effect and give tokens back,
	// so only an acknowledged write raises what may be spent.
	for name, h := range r.row.Accounts {
		a.account(name).lower(h)
	}
	return nil
}

// sight notes which daemons have made rounds.
func (a *Apportioner) sight() {
	r, now := &a.rounds, a.config.Now()
	for name, m := range r.pool.Members {
		if s, ok := r.members[name]; !ok || s.round != m.Round {
			r.members[name] = sighting{round: m.Round, at: now}
		}
	}
	for name := range r.members {
		if _, ok := r.pool.Members[name]; !ok {
			delete(r.members, name)
		}
	}
}

// proposal is a change of the row and, when it deals, of the pool.
type proposal struct {
	deals  bool
	pool   pool
	row    row
	joined bool
	lost   contractor.Tokens
	txn    persister.Txn
}

// propose plans a round. What is given back is not spent from here on.
func (a *Apportioner) propose() (*proposal, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := &a.rounds, a.config.Now()
	p := &proposal{row: r.row.clone(), deals: a.dealDue(now)}
	if r.row.Incarnation != a.config.Incarnation {
		a.planTakeOver(p)
	} else {
		if p.deals {
			p.pool = r.pool.clone()
			a.planMembers(p)
		}
		a.planAccounts(p, now)
	}
	p.row.Stamp = now.UnixMilli()
	if err := p.encode(a.config.Name, r); err != nil {
		return nil, err
	}
	for name, h := range p.row.Accounts {
		a.account(name).lower(h)
	}
	r.known = false
	return p, nil
}

// planTakeOver begins this run's row with the grants of the run before. It is written
// without the pool, so that a fleet that starts at once does not wait for itself.
func (a *Apportioner) planTakeOver(p *proposal) {
	p.deals, p.joined = false, true
	p.lost = p.row.takeOver(a.config.Incarnation, a.rounds.before)
}

// dealDue reports whether the next round changes the pool: from time to time, and
// when a share is used up.
func (a *Apportioner) dealDue(now time.Time) bool {
	r := &a.rounds
	since := now.Sub(r.dealtAt)
	if a.bounds == nil {
		return false // what accounts have prepaid is not known yet
	}
	if r.leaving || r.dealtAt.IsZero() {
		return true
	}
	if since >= max(dealInterval, time.Duration(len(r.pool.Members))*dealPerMember) {
		return true
	}
	if since < a.paced(urgentDeal) {
		return false
	}
	for _, s := range a.accounts {
		if s.needed > 0 && s.needed > s.granted-s.spent-s.reserved {
			return true
		}
	}
	return false
}

// planMembers counts the round in the pool.
func (a *Apportioner) planMembers(p *proposal) {
	r := &a.rounds
	r.number++
	if r.leaving {
		delete(p.pool.Members, a.config.Name)
	} else {
		p.pool.Members[a.config.Name] = member{Round: r.number, Address: a.config.Address.String()}
	}
}

// lower follows a holding down, never up.
func (s *account) lower(h holding) {
	s.granted = min(s.granted, h.Granted)
	for i := range s.limits {
		s.limits[i] = min(s.limits[i], h.Limits[i])
	}
}

// planAccounts plans each account: what was spent, what is open, and when the round
// deals what is granted.
func (a *Apportioner) planAccounts(p *proposal, now time.Time) {
	for name, s := range a.accounts {
		next := p.row.Accounts[name]
		next.Spent = s.spent
		q := position{
			holding: next, reserved: s.reserved, needed: s.needed, rate: s.demandNow(now),
			// An account that lost its bound has none here, and gives its share back.
			prepaid: a.bounds[name], members: len(p.pool.Members), dealt: a.config.Dealt, leaving: a.rounds.leaving,
			fullness: a.fullness(name), locked: a.leaseTime(stageOpen),
		}
		if p.deals {
			next.Demand = float32(q.rate)
			if a.rounds.leaving {
				next.Demand = 0
			}
			q.Demand = next.Demand
			p.pool.apply(&p.row, name, next)
			next = p.row.Accounts[name]
			next.Granted = q.grant(p.pool.sums(name))
			q.Granted = next.Granted
		}
		next.Limits = q.limits()
		if p.deals {
			p.pool.apply(&p.row, name, next)
		} else {
			p.row.Accounts[name] = next
		}
	}
}

// fullness is the part of an account's balance that is not spent, as far as is known.
func (a *Apportioner) fullness(name contractor.Account) float64 {
	prepaid := a.bounds[name]
	if prepaid <= 0 {
		return 0
	}
	return max(1-float64(a.rounds.pool.sums(name).Spent)/float64(prepaid), 0)
}

func (p *proposal) encode(name string, r *roundState) error {
	own, err := cbor.Marshal(p.row)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	p.txn.Compares = []persister.Compare{{Key: rowPrefix + name, Revision: r.rowRevision}}
	p.txn.Puts = []persister.Put{{Key: rowPrefix + name, Value: own}}
	if !p.deals {
		return nil
	}
	shared, err := cbor.Marshal(p.pool)
	if err != nil {
		return fmt.Errorf("encode pool: %w", err)
	}
	p.txn.Compares = append(p.txn.Compares, persister.Compare{Key: poolKey, Revision: r.poolRevision})
	p.txn.Puts = append(p.txn.Puts, persister.Put{Key: poolKey, Value: shared})
	return nil
}

// commit writes a proposal. After an uncertain outcome the next round reads the
// store again, and its own write then excludes that this one takes effect late.
func (a *Apportioner) commit(ctx context.Context, p *proposal) error {
	if err := a.lease(ctx, p); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := a.config.Store.Commit(ctx, p.txn)
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) && len(conflict.Entries) == len(p.txn.Compares) {
		if adopted := a.adopt(conflict.Entries...); adopted != nil {
			return adopted
		}
		return err
	}
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.rounds
	r.row, r.rowRevision = p.row, revision
	if p.deals {
		r.pool, r.poolRevision, r.dealtAt = p.pool, revision, a.config.Now()
	}
	r.known, r.joined = true, true
	for name, h := range p.row.Accounts {
		s := a.account(name)
		s.granted, s.limits = h.Granted, h.Limits
		if p.joined {
			s.spent += h.Spent
		}
	}
	a.sight()
	if p.joined {
		a.config.Recorder.Event(recorder.ShareTaken, "vm", a.config.Name, "stage", r.before, "revision", revision)
		a.kick()
	}
	if p.lost > 0 {
		a.config.Recorder.Event(recorder.SharesLost, "vm", a.config.Name, "tokens", p.lost)
	}
	return nil
}

// lease puts the keys of the stages whose leases have grown old into a proposal,
// each under a new lease. A renewal could take effect late and prolong the key's
// life; a new lease cannot, because its time runs from before its answer.
func (a *Apportioner) lease(ctx context.Context, p *proposal) error {
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
		now := a.config.Now()
		a.rounds.leasedAt[i], a.rounds.lockedUntil[i] = now, now.Add(ttl+leaseMargin)
		a.mu.Unlock()
		p.txn.Puts = append(p.txn.Puts, persister.Put{
			Key: a.lockKey(a.config.Incarnation, i), Value: []byte(t.name), Lease: id,
		})
	}
	return nil
}

func (a *Apportioner) grantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.config.Store.GrantLease(ctx, ttl)
}

// forgetSilent takes daemons out of the pool that have made no round for long.
func (a *Apportioner) forgetSilent(ctx context.Context) error {
	a.mu.Lock()
	names := silent(a.rounds.members, a.config.Now())
	a.mu.Unlock()
	for _, name := range names {
		if name == a.config.Name {
			continue
		}
		if err := a.forget(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (a *Apportioner) forget(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := a.config.Store.Get(ctx, rowPrefix+name)
	if err != nil {
		return err
	}
	theirs, err := decode[row](entry.Key, entry.Value)
	if err != nil {
		return err
	}
	a.mu.Lock()
	p := a.rounds.pool.clone()
	revision := a.rounds.poolRevision
	a.mu.Unlock()
	theirs = theirs.clone()
	p.forget(name, &theirs)
	shared, err := cbor.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode pool: %w", err)
	}
	own, err := cbor.Marshal(theirs)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	a.mu.Lock()
	a.rounds.known = false
	a.mu.Unlock()
	_, err = a.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: poolKey, Revision: revision}, {Key: rowPrefix + name, Revision: entry.Revision}},
		Puts:     []persister.Put{{Key: poolKey, Value: shared}, {Key: rowPrefix + name, Value: own}},
	})
	if err != nil && !errors.Is(err, persister.ErrConflict) {
		return err
	}
	return a.refresh(ctx)
}
