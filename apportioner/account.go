package apportioner

import (
	"context"
	"math"
	"time"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

// account is the share of one account at this daemon, in tokens.
type account struct {
	// granted is what the store has granted to this run, less what is being given
	// back. Spent and reserved never exceed it together.
	granted contractor.Tokens
	// limits are up to where granted is spent in each stage.
	limits   [len(stages)]contractor.Tokens
	spent    contractor.Tokens
	reserved contractor.Tokens
	// needed is what waiting requests lack.
	needed contractor.Tokens
	// demand is the average of tokens asked for per second, as of demandAt.
	demand   float64
	demandAt time.Time
}

// free returns what can be reserved in a stage; after the last one it is the rest of
// the grant.
func (s *account) free(stage int) contractor.Tokens {
	limit := s.granted
	if stage < len(s.limits) {
		limit = min(limit, s.limits[stage])
	}
	return limit - s.spent - s.reserved
}

// noteDemand adds a request to the demand.
func (s *account) noteDemand(now time.Time, tokens contractor.Tokens) {
	s.demand = s.demandNow(now) + float64(tokens)/demandTime.Seconds()
	s.demandAt = now
}

func (s *account) demandNow(now time.Time) float64 {
	if s.demandAt.IsZero() {
		return 0
	}
	return s.demand * s.decay(now)
}

func (s *account) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(s.demandAt).Seconds() / demandTime.Seconds())
}

// Reservation is a part of a share that one request may spend. A nil Reservation,
// of an account without a bound, does nothing.
type Reservation struct {
	apportioner *Apportioner
	account     *account
	left        contractor.Tokens
}

// Spend spends a part of the reservation at once, so that the daemon's next round
// settles it. More than is left is not spent.
func (r *Reservation) Spend(used contractor.Tokens) {
	if r == nil {
		return
	}
	r.apportioner.mu.Lock()
	defer r.apportioner.mu.Unlock()
	used = min(max(used, 0), r.left)
	r.left -= used
	r.account.reserved -= used
	r.account.spent += used
}

// Release frees what is left of the reservation. Later calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.apportioner.mu.Lock()
	defer r.apportioner.mu.Unlock()
	r.account.reserved -= r.left
	r.left = 0
}

// Reserve sets the most that a request can use apart. The error is a
// *refuser.Refusal of a request that did not run.
func (a *Apportioner) Reserve(ctx context.Context, name contractor.Account, most contractor.Tokens) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, bounded := a.bounds[name]; !bounded {
		return nil, nil
	}
	s := a.account(name)
	s.noteDemand(a.config.Now(), most)
	a.requests, a.longest = a.requests+1, max(a.longest, most)
	if s.free(a.stage()) < most {
		a.obtain(ctx, name, s, most)
	}
	if s.free(a.stage()) < most {
		return nil, a.refusal(name, s, most)
	}
	return a.reserve(s, most), nil
}

// longRequest is what a long request needs, as far as this daemon knows. The lock is held.
func (a *Apportioner) longRequest() contractor.Tokens {
	if a.requests < enoughRequests {
		return longRequest
	}
	return min(a.longest, longRequest)
}

// obtain tries to get what a request lacks: from the locked part of the daemon's own
// grant, which a round opens, else from another daemon, else from the pool.
func (a *Apportioner) obtain(ctx context.Context, name contractor.Account, s *account, most contractor.Tokens) {
	if a.unreachable() || s.granted-s.spent-s.reserved-s.needed < most {
		a.borrow(ctx, name, most)
		if s.free(a.stage()) >= most {
			return
		}
	}
	a.await(ctx, s, most, func() contractor.Tokens { return a.obtainable(name, s) })
}

// borrow asks other daemons, with the lock released, unless the account has as good as
// nothing left at all.
func (a *Apportioner) borrow(ctx context.Context, name contractor.Account, most contractor.Tokens) {
	if a.config.RequestTransfer == nil || !a.rounds.joined || a.bounds[name]-a.rounds.pool.sums(name).Spent < most {
		return
	}
	a.mu.Unlock()
	defer a.mu.Lock()
	a.config.RequestTransfer(ctx, name, most)
}

func (a *Apportioner) reserve(s *account, most contractor.Tokens) *Reservation {
	s.reserved += most
	if a.stage() == stageOpen && s.free(stageOpen) < most {
		signal(a.opening) // the open part is nearly used up
	}
	return &Reservation{apportioner: a, account: s, left: most}
}

// await waits, with the lock released, for rounds that bring what a request lacks, as
// long as that much can be obtained.
func (a *Apportioner) await(ctx context.Context, s *account, most contractor.Tokens, obtainable func() contractor.Tokens) {
	if a.unreachable() || obtainable() < most {
		return
	}
	s.needed += most
	defer func() { s.needed -= most }()
	timer := time.NewTimer(reserveWait)
	defer timer.Stop()
	for range 2 {
		served := a.served
		a.mu.Unlock()
		a.kick()
		expired := false
		select {
		case <-served:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		a.mu.Lock()
		if expired || s.free(a.stage()) >= most || a.unreachable() || obtainable() < most {
			return
		}
	}
}

// stage returns the stage at this time: the first one of which a lease may last, or of
// which there was none yet.
func (a *Apportioner) stage() int {
	now := a.config.Now()
	for i := range stages {
		if a.rounds.leasedAt[i].IsZero() || now.Before(a.rounds.lockedUntil[i]) {
			return i
		}
	}
	return len(stages)
}

// unlocksAfter is the time until this daemon can cover a request without the store,
// or until another one may, when this one never can.
func (a *Apportioner) unlocksAfter(s *account, most contractor.Tokens) time.Duration {
	for i := a.stage(); i < len(stages); i++ {
		if s.free(i+1) >= most {
			return max(a.rounds.lockedUntil[i].Sub(a.config.Now()), retryElsewhere)
		}
	}
	return retryElsewhere
}

// obtainable is the most that a round can bring now, besides what other requests
// have reserved or wait for. What the pool has is not known for long, unless the
// account is as good as used up.
func (a *Apportioner) obtainable(name contractor.Account, s *account) contractor.Tokens {
	if a.config.Now().Sub(a.rounds.dealtAt) >= a.paced(urgentDeal) && !a.nearlySpent(name) {
		return a.bounds[name]
	}
	inPool := max(a.bounds[name]-a.rounds.pool.sums(name).Granted, 0)
	return s.granted - s.spent - s.reserved - s.needed + inPool
}

// nearlySpent reports whether so little of a balance is left that asking the pool
// for it is not worth a call for each request.
func (a *Apportioner) nearlySpent(name contractor.Account) bool {
	prepaid := a.bounds[name]
	left := prepaid - a.rounds.pool.sums(name).Spent
	return left < min(2*leastShare, contractor.Tokens(nearlySpentShare*float64(prepaid)))
}

// unreachable reports whether rounds fail or get no answer.
func (a *Apportioner) unreachable() bool {
	r := &a.rounds
	return !r.joined || r.failing || !r.asked.IsZero() && a.config.Now().Sub(r.asked) > silenceToFail
}

// refusal says why a request is not covered: the account has not enough left at
// all, or another daemon holds it.
func (a *Apportioner) refusal(name contractor.Account, s *account, most contractor.Tokens) *refuser.Refusal {
	if !a.rounds.joined {
		return refuser.New(refuser.BudgetUnreachable, "reserve").WithRetryAfter(retryDealt).
			WithDetail("the shares of account %q are not known yet", name)
	}
	left := a.bounds[name] - a.rounds.pool.sums(name).Spent
	if left < most {
		return refuser.New(refuser.BudgetExhausted, "reserve").
			WithDetail("account %q has %d tokens left, the request may need %d", name, left, most)
	}
	after := retryDealt
	if a.unreachable() {
		after = a.unlocksAfter(s, most)
	}
	return refuser.New(refuser.BudgetUnreachable, "reserve").WithRetryAfter(after).
		WithDetail("the share of account %q here is %d tokens, the request may need %d", name, s.free(a.stage()), most)
}
