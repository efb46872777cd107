package limiter

import (
	"hash/maphash"
	"math"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

const (
	accountShardCount = 32
	// demandTimeConstant is the time constant of the exponential decay of an
	// account's demand.
	demandTimeConstant = 5 * time.Second
	// concurrencyRetryAfter is the Retry-After of a refusal for too many
	// running requests.
	concurrencyRetryAfter = time.Second
	// accountRetention is how long the state of an account without requests is
	// kept.
	accountRetention = 10 * time.Minute
	// admissionsPerSweep is the number of admissions at a shard from one sweep
	// to the next.
	admissionsPerSweep = 4096
)

// accountState is the use that an account makes of its contract's limits at
// this daemon. A token bucket enforces the rate.
type accountState struct {
	share    float64
	shareSet bool
	// bucketLevel is the number of requests that may be admitted at once now.
	bucketLevel float64
	running     int
	// hasLimits is true when the contract limits the rate or the concurrency.
	hasLimits bool
	lastSeen  time.Time
	// recentArrivals is the number of requests, admitted or not, that decays with
	// demandTimeConstant.
	recentArrivals float64
}

type accountShard struct {
	mu       sync.Mutex
	accounts map[contractor.Account]*accountState
	admitted int
}

// accountTable holds the accounts in shards, each with a lock of its own.
type accountTable struct {
	seed   maphash.Seed
	shards [accountShardCount]accountShard
}

func (s *accountTable) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].accounts = make(map[contractor.Account]*accountState)
	}
}

func (s *accountTable) shard(account contractor.Account) *accountShard {
	return &s.shards[maphash.String(s.seed, string(account))%accountShardCount]
}

// admit counts a request against the rate and the concurrency limit of its
// contract.
func (s *accountTable) admit(now time.Time, r *Request, share func(contractor.Account) float64) *refuser.Refusal {
	shard := s.shard(r.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sweep(now)
	a := shard.accounts[r.Account]
	if a == nil {
		a = &accountState{share: 1}
		shard.accounts[r.Account] = a
	}
	if !a.shareSet && share != nil {
		a.share = share(r.Account)
	}
	a.refill(now, r.Rate)
	a.recentArrivals++
	a.hasLimits = r.Rate != (contractor.Rate{})
	if limit := a.concurrencyLimit(r.Rate); limit > 0 && a.running >= limit {
		return refuser.New(refuser.ConcurrencyLimited, "admit").WithRetryAfter(concurrencyRetryAfter).
			WithDetail("%d requests of the account run here, its share is %d", a.running, limit)
	}
	if r.Rate.Requests > 0 {
		if a.bucketLevel < 1 {
			return a.rateLimited(r.Rate)
		}
		a.bucketLevel--
	}
	a.running++
	return nil
}

func (a *accountState) rateLimited(rate contractor.Rate) *refuser.Refusal {
	perSecond := rate.Requests * a.share
	wait := time.Minute
	if perSecond > 0 {
		wait = min(wait, time.Duration((1-a.bucketLevel)/perSecond*float64(time.Second)))
	}
	return refuser.New(refuser.RateLimited, "admit").WithRetryAfter(wait).
		WithDetail("the contract allows %g requests per second", rate.Requests)
}

// refill adds to the bucket what the rate allows for the time since the last
// request and decays the demand over the same time.
func (a *accountState) refill(now time.Time, rate contractor.Rate) {
	burst := float64(rate.Burst)
	if burst <= 0 {
		burst = math.Ceil(rate.Requests)
	}
	burst *= a.share
	if a.lastSeen.IsZero() {
		a.lastSeen = now
		a.bucketLevel = max(burst, 1)
		return
	}
	elapsed := now.Sub(a.lastSeen)
	if elapsed <= 0 {
		return
	}
	a.lastSeen = now
	a.bucketLevel = min(a.bucketLevel+rate.Requests*a.share*elapsed.Seconds(), max(burst, 1))
	a.recentArrivals *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
}

// concurrencyLimit returns this daemon's share of the contract's concurrency
// limit, at least one. Zero means that the contract has no such limit.
func (a *accountState) concurrencyLimit(rate contractor.Rate) int {
	if rate.Concurrent == 0 {
		return 0
	}
	return max(int(math.Round(float64(rate.Concurrent)*a.share)), 1)
}

func (s *accountTable) release(account contractor.Account) {
	shard := s.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if a := shard.accounts[account]; a != nil && a.running > 0 {
		a.running--
	}
}

func (s *accountTable) setShare(now time.Time, account contractor.Account, share float64) {
	shard := s.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a := shard.accounts[account]
	if a == nil {
		a = &accountState{lastSeen: now}
		shard.accounts[account] = a
	}
	a.share, a.shareSet = min(max(share, 0), 1), true
}

func (s *accountTable) demand(now time.Time, account contractor.Account) float64 {
	shard := s.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a := shard.accounts[account]
	if a == nil {
		return 0
	}
	return a.demand(now)
}

func (a *accountState) demand(now time.Time) float64 {
	decay := math.Exp(-now.Sub(a.lastSeen).Seconds() / demandTimeConstant.Seconds())
	return a.recentArrivals * decay / demandTimeConstant.Seconds()
}

// demands returns the demand of each account that has limits and sent a request
// to this daemon within demandTimeConstant.
func (s *accountTable) demands(now time.Time) []Demand {
	var list []Demand
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name, a := range shard.accounts {
			if a.hasLimits && now.Sub(a.lastSeen) < demandTimeConstant {
				list = append(list, Demand{name, a.demand(now)})
			}
		}
		shard.mu.Unlock()
	}
	return list
}

// sweep removes idle accounts once in admissionsPerSweep calls.
func (s *accountShard) sweep(now time.Time) {
	s.admitted++
	if s.admitted%admissionsPerSweep != 0 {
		return
	}
	for name, a := range s.accounts {
		if a.running == 0 && now.Sub(a.lastSeen) > accountRetention {
			delete(s.accounts, name)
		}
	}
}
