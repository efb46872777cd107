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
	// demandWindow is the time constant of the measured demand.
	demandWindow = 5 * time.Second
	// concurrencyRetry is the advice to a caller with too many running requests.
	concurrencyRetry = time.Second
	// idleAccount is the time after which an account without requests is forgotten.
	idleAccount = 10 * time.Minute
	// sweepEvery is the number of admissions of a shard between two sweeps.
	sweepEvery = 4096
)

// accountState is what an account has used of its contract's limits here.
type accountState struct {
	share    float64
	shareSet bool
	// level is the number of requests that may come at once now.
	level   float64
	running int
	// limits is true when the contract has a limit of requests.
	limits   bool
	seen     time.Time
	arrivals float64
}

type accountShard struct {
	mu       sync.Mutex
	accounts map[contractor.Account]*accountState
	admitted int
}

// accountShards holds the accounts, each shard under its own lock.
type accountShards struct {
	seed   maphash.Seed
	shards [accountShardCount]accountShard
}

func (s *accountShards) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].accounts = make(map[contractor.Account]*accountState)
	}
}

func (s *accountShards) shard(account contractor.Account) *accountShard {
	return &s.shards[maphash.String(s.seed, string(account))%accountShardCount]
}

// admit takes a request from the rate and from the concurrency of a contract.
func (s *accountShards) admit(now time.Time, t *Ticket, share func(contractor.Account) float64) *refuser.Refusal {
	shard := s.shard(t.Account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sweep(now)
	a := shard.accounts[t.Account]
	if a == nil {
		a = &accountState{share: 1}
		shard.accounts[t.Account] = a
	}
	if !a.shareSet && share != nil {
		a.share = share(t.Account)
	}
	a.refill(now, t.Rate)
	a.arrivals++
	a.limits = t.Rate != (contractor.Rate{})
	if limit := a.concurrent(t.Rate); limit > 0 && a.running >= limit {
		return refuser.New(refuser.ConcurrencyLimited, "admit").WithRetryAfter(concurrencyRetry).
			WithDetail("%d requests of the account run here, its share is %d", a.running, limit)
	}
	if t.Rate.Requests > 0 {
		if a.level < 1 {
			return a.limited(t.Rate)
		}
		a.level--
	}
	a.running++
	return nil
}

func (a *accountState) limited(rate contractor.Rate) *refuser.Refusal {
	perSecond := rate.Requests * a.share
	wait := time.Minute
	if perSecond > 0 {
		wait = min(wait, time.Duration((1-a.level)/perSecond*float64(time.Second)))
	}
	return refuser.New(refuser.RateLimited, "admit").WithRetryAfter(wait).
		WithDetail("the contract allows %g requests per second", rate.Requests)
}

// refill adds what the rate allows since the last request and decays the demand.
func (a *accountState) refill(now time.Time, rate contractor.Rate) {
	burst := float64(rate.Burst)
	if burst <= 0 {
		burst = math.Ceil(rate.Requests)
	}
	burst *= a.share
	if a.seen.IsZero() {
		a.seen = now
		a.level = max(burst, 1)
		return
	}
	passed := now.Sub(a.seen)
	if passed <= 0 {
		return
	}
	a.seen = now
	a.level = min(a.level+rate.Requests*a.share*passed.Seconds(), max(burst, 1))
	a.arrivals *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
}

// concurrent returns the share of the contract's concurrency, at least one.
func (a *accountState) concurrent(rate contractor.Rate) int {
	if rate.Concurrent == 0 {
		return 0
	}
	return max(int(math.Round(float64(rate.Concurrent)*a.share)), 1)
}

func (s *accountShards) release(account contractor.Account) {
	shard := s.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if a := shard.accounts[account]; a != nil && a.running > 0 {
		a.running--
	}
}

func (s *accountShards) setShare(now time.Time, account contractor.Account, share float64) {
	shard := s.shard(account)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a := shard.accounts[account]
	if a == nil {
		a = &accountState{seen: now}
		shard.accounts[account] = a
	}
	a.share, a.shareSet = min(max(share, 0), 1), true
}

func (s *accountShards) demand(now time.Time, account contractor.Account) float64 {
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
	decay := math.Exp(-now.Sub(a.seen).Seconds() / demandWindow.Seconds())
	return a.arrivals * decay / demandWindow.Seconds()
}

// demands returns the demand of every account with a limit that was here lately.
func (s *accountShards) demands(now time.Time) []Demand {
	var list []Demand
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for name, a := range shard.accounts {
			if a.limits && now.Sub(a.seen) < demandWindow {
				list = append(list, Demand{name, a.demand(now)})
			}
		}
		shard.mu.Unlock()
	}
	return list
}

// sweep forgets idle accounts now and then.
func (s *accountShard) sweep(now time.Time) {
	s.admitted++
	if s.admitted%sweepEvery != 0 {
		return
	}
	for name, a := range s.accounts {
		if a.running == 0 && now.Sub(a.seen) > idleAccount {
			delete(s.accounts, name)
		}
	}
}
