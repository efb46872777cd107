package apportioner

import (
	"context"
	"math"
	"time"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

// account is this daemon's share of the balance of one client account, in tokens.
type account struct {
	// granted is what the store has granted to this incarnation, less what is being
	// returned. spent plus reserved never exceeds it.
	granted contractor.Tokens
	// limits is how much of the grant may be spent in each stage.
	limits   [len(stages)]contractor.Tokens
	spent    contractor.Tokens
	reserved contractor.Tokens
	// awaited is the sum of the maximum costs of the requests that wait for tokens.
	awaited contractor.Tokens
	// demand is the average of tokens requested per second, as of demandUpdated.
	demand        float64
	demandUpdated time.Time
}

// available returns what can be reserved in a stage. After the last stage the whole grant is
// unlocked.
func (s *account) available(stage int) contractor.Tokens {
	limit := s.granted
	if stage < len(s.limits) {
		limit = min(limit, s.limits[stage])
	}
	return limit - s.spent - s.reserved
}

// addDemand adds the tokens of a request to the average demand.
func (s *account) addDemand(now time.Time, tokens contractor.Tokens) {
	s.demand = s.currentDemand(now) + float64(tokens)/demandAveragingTime.Seconds()
	s.demandUpdated = now
}

func (s *account) currentDemand(now time.Time) float64 {
	if s.demandUpdated.IsZero() {
		return 0
	}
	return s.demand * s.decayFactor(now)
}

func (s *account) decayFactor(now time.Time) float64 {
	return math.Exp(-now.Sub(s.demandUpdated).Seconds() / demandAveragingTime.Seconds())
}

// Reservation is the part of a share that one request may spend. A nil Reservation, for an
// account without a limit, does nothing.
type Reservation struct {
	apportioner *Apportioner
	account     *account
	remaining   contractor.Tokens
}

// Spend spends a part of the reservation at once, and the daemon's next round settles it.
// Tokens beyond the rest of the reservation are not spent.
func (r *Reservation) Spend(used contractor.Tokens) {
	if r == nil {
		return
	}
	r.apportioner.mu.Lock()
	defer r.apportioner.mu.Unlock()
	used = min(max(used, 0), r.remaining)
	r.remaining -= used
	r.account.reserved -= used
	r.account.spent += used
}

// Release returns the rest of the reservation to the share. Later calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.apportioner.mu.Lock()
	defer r.apportioner.mu.Unlock()
	r.account.reserved -= r.remaining
	r.remaining = 0
}

// Reserve sets aside the maximum cost of a request. The error is a *refuser.Refusal, and the
// request has not run.
func (a *Apportioner) Reserve(ctx context.Context, name contractor.Account, maxCost contractor.Tokens) (*Reservation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, limited := a.prepaid[name]; !limited {
		return nil, nil
	}
	s := a.account(name)
	s.addDemand(a.config.Now(), maxCost)
	a.requestCount, a.largestRequest = a.requestCount+1, max(a.largestRequest, maxCost)
	if s.available(a.stage()) < maxCost {
		a.obtain(ctx, name, s, maxCost)
	}
	if s.available(a.stage()) < maxCost {
		return nil, a.refusal(name, s, maxCost)
	}
	return a.reserve(s, maxCost), nil
}

// longRequestCost is the cost of a long request as observed by this daemon. The lock is held.
func (a *Apportioner) longRequestCost() contractor.Tokens {
	if a.requestCount < minObservedRequests {
		return longRequestTokens
	}
	return min(a.largestRequest, longRequestTokens)
}

// obtain tries to get what a request lacks: from the locked part of the daemon's own grant,
// which a round unlocks, else from another daemon, else from the pool.
func (a *Apportioner) obtain(ctx context.Context, name contractor.Account, s *account, maxCost contractor.Tokens) {
	if a.storeUnreachable() || s.granted-s.spent-s.reserved-s.awaited < maxCost {
		a.requestTransfer(ctx, name, maxCost)
		if s.available(a.stage()) >= maxCost {
			return
		}
	}
	a.awaitRounds(ctx, s, maxCost, func() contractor.Tokens { return a.obtainable(name, s) })
}

// requestTransfer requests tokens from other daemons, with the lock released. It does nothing if
// the unspent balance of the account does not cover the request.
func (a *Apportioner) requestTransfer(ctx context.Context, name contractor.Account, maxCost contractor.Tokens) {
	if !a.mayTransfer(name, maxCost) {
		return
	}
	a.mu.Unlock()
	defer a.mu.Lock()
	a.config.RequestTransfer(ctx, name, maxCost)
}

func (a *Apportioner) reserve(s *account, maxCost contractor.Tokens) *Reservation {
	s.reserved += maxCost
	if a.unlocksSoon(s, maxCost) {
		signal(a.roundSoon)
	}
	return &Reservation{apportioner: a, account: s, remaining: maxCost}
}

// unlocksSoon reports whether the open part no longer covers such a cost and a round would unlock
// more. In a large fleet most shares are about one request and open as a whole; rounds for those
// would only load the relay.
func (a *Apportioner) unlocksSoon(s *account, cost contractor.Tokens) bool {
	return a.stage() == stageOpen && s.available(stageOpen) < min(cost, s.available(len(stages)))
}

// awaitRounds waits, with the lock released, for up to two rounds to bring what a request lacks.
// It stops after maxReserveWait, or when that much is no longer obtainable.
func (a *Apportioner) awaitRounds(ctx context.Context, s *account, maxCost contractor.Tokens, obtainable func() contractor.Tokens) {
	if a.storeUnreachable() || obtainable() < maxCost {
		return
	}
	s.awaited += maxCost
	defer func() { s.awaited -= maxCost }()
	timer := time.NewTimer(maxReserveWait)
	defer timer.Stop()
	for range 2 {
		roundDone := a.roundDone
		a.mu.Unlock()
		a.requestRound()
		expired := false
		select {
		case <-roundDone:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		a.mu.Lock()
		if expired || s.available(a.stage()) >= maxCost || a.storeUnreachable() || obtainable() < maxCost {
			return
		}
	}
}

// stage returns the current stage: the first one whose lease may still last or that had no
// lease yet. An incarnation whose row says that it is confined stays in the first stage.
func (a *Apportioner) stage() int {
	if a.state.row.Incarnation != a.config.Incarnation || a.state.row.Confined {
		return stageOpen
	}
	now := a.config.Now()
	for i := range stages {
		if a.state.leasedAt[i].IsZero() || now.Before(a.state.leaseExpiry[i]) {
			return i
		}
	}
	return len(stages)
}

// unlockDelay is the time until a later stage lets this daemon cover a request without the
// store. If no stage does, the caller can retry at another daemon.
func (a *Apportioner) unlockDelay(s *account, maxCost contractor.Tokens) time.Duration {
	for i := a.stage(); i < len(stages); i++ {
		if s.available(i+1) >= maxCost {
			return max(a.state.leaseExpiry[i].Sub(a.config.Now()), retryElsewhereDelay)
		}
	}
	return retryElsewhereDelay
}

// obtainable is the most that a round can bring now, besides what other requests have
// reserved or wait for. The known content of the pool limits it only for a short time after
// a rebalance, or while the account is nearly spent. Otherwise the pool may have changed,
// and the whole prepaid balance counts as obtainable.
func (a *Apportioner) obtainable(name contractor.Account, s *account) contractor.Tokens {
	if a.config.Now().Sub(a.state.rebalancedAt) >= a.urgentInterval() && !a.nearlySpent(name) {
		return a.prepaid[name]
	}
	inPool := max(a.prepaid[name]-a.state.pool.sums(name).Granted, 0)
	return s.granted - s.spent - s.reserved - s.awaited + inPool
}

// nearlySpent reports whether so little of a balance is left that a call to the store for
// each request is not worthwhile.
func (a *Apportioner) nearlySpent(name contractor.Account) bool {
	prepaid := a.prepaid[name]
	left := prepaid - a.state.pool.sums(name).Spent
	return left < min(2*minShare, contractor.Tokens(nearlySpentFraction*float64(prepaid)))
}

// storeUnreachable reports whether rounds fail or get no response, or none has succeeded yet.
func (a *Apportioner) storeUnreachable() bool {
	state := &a.state
	return !state.joined || state.failing || !state.roundStarted.IsZero() && a.config.Now().Sub(state.roundStarted) > roundStallTimeout
}

// refusal says why a request is not covered: the account has not enough left at all, or other
// daemons hold its tokens.
func (a *Apportioner) refusal(name contractor.Account, s *account, maxCost contractor.Tokens) *refuser.Refusal {
	if !a.state.joined {
		return refuser.New(refuser.BudgetUnreachable, "reserve").WithRetryAfter(retryRebalancedDelay).
			WithDetail("the shares of account %q are not known yet", name)
	}
	left := a.prepaid[name] - a.state.pool.sums(name).Spent
	if left < maxCost {
		return refuser.New(refuser.BudgetExhausted, "reserve").
			WithDetail("account %q has %d tokens left, the request may need %d", name, left, maxCost)
	}
	after := retryRebalancedDelay
	if a.storeUnreachable() {
		after = a.unlockDelay(s, maxCost)
	}
	return refuser.New(refuser.BudgetUnreachable, "reserve").WithRetryAfter(after).
		WithDetail("the share of account %q here is %d tokens, the request may need %d", name, s.available(a.stage()), maxCost)
}
