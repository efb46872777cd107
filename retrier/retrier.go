// Package retrier decides whether a failed attempt is retried.
//
// A request that was not sent can be retried at any upstream. A request that was sent
// and got no response may have been executed, and is retried only if it is repeatable.
// Once a part of the response has reached the caller, the request can only be resumed
// at the offset of the stream.
//
// Retries are limited by budgets. In each window, the retries at a target are at most a fraction
// of its first attempts, however many attempts fail. After crashes they may exceed it by an allowance,
// which the daemons of a fleet share, so that a rarely used target can retry; failures caused by
// overload do not use the allowance. Nothing is carried over to later windows: upstreams often fail for
// all daemons at once, which would then spend all that they have saved in the same seconds.
//
// Besides, each client account at a target has a budget, so that one account cannot use up the target's. A
// first attempt adds a fraction of a retry to it, which the account can save, and each retry takes one.
// It has a small reserve for retries after crashes.
//
//	r.RecordFirstAttempt(now, account, target)
//	...
//	d := r.Decide(now, account, target, 1, deadline, retrier.Failure{Phase: retrier.NoResponse, Repeatable: true})
//	if d.Retry {
//		time.Sleep(d.Delay)
//	}
package retrier

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

// Phase is how far an attempt got before it failed.
type Phase uint8

const (
	// NotSent means that the upstream did not receive or did not execute the request.
	NotSent Phase = iota
	// NoResponse means that the request was sent and no part of a response has reached
	// the caller.
	NoResponse
	// Partial means that a part of the response has reached the caller.
	Partial
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"not_sent", "no_answer", "partial"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// Failure describes a failed attempt.
type Failure struct {
	Phase Phase
	// UpstreamDown is true when the upstream crashed or could not be reached.
	UpstreamDown bool
	// Overloaded is true when the upstream rejected the attempt because of its load or
	// the attempt timed out.
	Overloaded bool
	// Repeatable is true when the request may be executed twice.
	Repeatable bool
	// Resumable is true when the response can resume at its offset at another upstream.
	Resumable bool
	// RetryAfter is the minimum delay that the upstream requested.
	RetryAfter time.Duration
}

// Reason is why a failed attempt is retried or not.
type Reason uint8

// The reasons. NotRepeatable and all after it are reasons not to retry.
const (
	RequestNotSent Reason = iota
	ResponseMissing
	StreamBroken
	NotRepeatable
	NotResumable
	AttemptsExhausted
	DeadlineNear
	BudgetExhausted
	reasonCount
)

var reasonNames = [reasonCount]string{
	"request_not_sent", "answer_missing", "stream_broken", "not_repeatable",
	"not_resumable", "attempts_used", "deadline_near", "budget_used",
}

// String returns the name used in metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Decision is the decision about a failed attempt.
type Decision struct {
	// Retry is true when the request is retried after Delay.
	Retry bool
	// Resume is true when the next attempt resumes at the offset of the stream.
	Resume bool
	Delay  time.Duration
	Reason Reason
}

// Config holds the settings of a Retrier. Zero values mean the defaults.
type Config struct {
	// Attempts is the maximum number of attempts of one request.
	Attempts int
	// TargetRatio is the number of retries that each first attempt allows at its target in a window.
	TargetRatio float64
	// Window is the span of time in which the retries at a target are limited.
	Window time.Duration
	// Allowance is the number of retries per window that all daemons together may make at a target
	// beyond TargetRatio.
	Allowance float64
	// StartedAt is when the daemon has started. It retries nothing in the first window: what ran on its VM before
	// may have used up the limit of that window. Zero means that nothing ran there.
	StartedAt time.Time
	// Members returns the number of daemons in the fleet. It reports false while that is not known; the
	// daemon then has no share of the allowance. Nil means that there are no others.
	Members func() (count int, known bool)
	// AccountRatio is the number of retries that each first attempt adds to the budget of
	// its account at the target.
	AccountRatio float64
	// Burst is the maximum number of retries that an account accumulates.
	Burst float64
	// BaseDelay is the mean delay before the first retry. The mean doubles with each attempt.
	BaseDelay time.Duration
	// MaxDelay is the maximum delay, not counting Failure.RetryAfter.
	MaxDelay time.Duration
	// MinAttemptTime is the minimum time that must remain for an attempt before the deadline.
	MinAttemptTime time.Duration
	// Random returns numbers from 0 to 1 for the jitter. Nil means math/rand/v2.
	Random func() float64
	// Recorder counts decisions. Nil discards them.
	Recorder *recorder.Recorder
}

const (
	defaultAttempts       = 3
	defaultTargetRatio    = 0.08
	defaultWindow         = 10 * time.Second
	minWindow             = 100 * time.Millisecond
	defaultAllowance      = 3
	defaultAccountRatio   = 0.2
	defaultBurst          = 10
	defaultBaseDelay      = 25 * time.Millisecond
	defaultMaxDelay       = 2 * time.Second
	defaultMinAttemptTime = 50 * time.Millisecond
	// reserveRetries is the size of an account's reserve for retries after crashes.
	reserveRetries = 3
	// reserveRefillInterval is the interval in which the reserve is refilled by one retry.
	reserveRefillInterval = 20 * time.Second
	shardCount            = 16
	// maxBudgetsPerShard limits the memory for budgets. A shard that is full drops all of
	// its budgets.
	maxBudgetsPerShard = 4096
	// maxTargets limits the memory for the budgets of targets in the same way.
	maxTargets = 4096
)

func (c Config) withDefaults() Config {
	if c.Attempts <= 0 {
		c.Attempts = defaultAttempts
	}
	if c.TargetRatio <= 0 {
		c.TargetRatio = defaultTargetRatio
	}
	if c.Window < minWindow {
		c.Window = defaultWindow
	}
	if c.Allowance <= 0 && c.Members == nil {
		c.Allowance = defaultAllowance
	}
	if c.AccountRatio <= 0 {
		c.AccountRatio = defaultAccountRatio
	}
	if c.Burst <= 0 {
		c.Burst = defaultBurst
	}
	if c.BaseDelay <= 0 {
		c.BaseDelay = defaultBaseDelay
	}
	if c.MaxDelay <= 0 {
		c.MaxDelay = defaultMaxDelay
	}
	if c.MinAttemptTime <= 0 {
		c.MinAttemptTime = defaultMinAttemptTime
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return c
}

// accountKey identifies the budget of an account at a target.
type accountKey struct {
	account contractor.Account
	target  string
}

// accountBudget is the token bucket of an account.
type accountBudget struct {
	retries         float64
	reserve         float64
	reserveRefilled time.Time
}

type shard struct {
	mu      sync.Mutex
	budgets map[accountKey]*accountBudget
}

// Retrier decides whether attempts are retried. It is safe for concurrent use.
type Retrier struct {
	config Config
	seed   maphash.Seed
	shards [shardCount]shard
	fleet  fleetSize

	mu      sync.RWMutex
	targets map[string]*targetBudget
}

// New returns a retrier. Its budgets are empty except for the reserves and the allowance.
func New(c Config) *Retrier {
	r := &Retrier{config: c.withDefaults(), seed: maphash.MakeSeed(), targets: make(map[string]*targetBudget)}
	for i := range r.shards {
		r.shards[i].budgets = make(map[accountKey]*accountBudget)
	}
	return r
}

// RecordFirstAttempt records the first attempt of a request, which adds to the budgets.
func (r *Retrier) RecordFirstAttempt(now time.Time, account contractor.Account, target string) {
	r.budgetOf(target).recordFirst(now, &r.config)
	r.updateAccount(accountKey{account, target}, func(b *accountBudget) {
		b.retries = min(b.retries+r.config.AccountRatio, r.config.Burst)
	})
}

// ObserveFleet samples the size of the fleet. It has to be called about once a second, also without requests.
func (r *Retrier) ObserveFleet(now time.Time) { r.fleet.sample(now, &r.config) }

// budgetOf returns the budget of a target.
func (r *Retrier) budgetOf(target string) *targetBudget {
	r.mu.RLock()
	b := r.targets[target]
	r.mu.RUnlock()
	if b != nil {
		return b
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if b = r.targets[target]; b != nil {
		return b
	}
	if len(r.targets) >= maxTargets {
		clear(r.targets)
	}
	b = &targetBudget{}
	r.targets[target] = b
	return b
}

func (r *Retrier) updateAccount(key accountKey, change func(*accountBudget)) {
	s := &r.shards[maphash.Comparable(r.seed, key)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[key]
	if b == nil {
		if len(s.budgets) >= maxBudgetsPerShard {
			clear(s.budgets)
		}
		b = &accountBudget{reserve: reserveRetries}
		s.budgets[key] = b
	}
	change(b)
}

// Decide decides whether a failed attempt is retried. The first attempt has the number 1.
// A decision to retry takes one retry from the budgets.
func (r *Retrier) Decide(now time.Time, account contractor.Account, target string, attempt int, deadline time.Time, f Failure) Decision {
	d := r.decide(now, account, target, attempt, deadline, f)
	if d.Retry {
		r.config.Recorder.CountRetry(d.Reason.String())
	} else {
		r.config.Recorder.Count("not_retried."+d.Reason.String(), 1)
	}
	if d.Retry || d.Reason == BudgetExhausted {
		r.budgetOf(target).recordDecision(now, target, d.Retry, &r.config)
	}
	return d
}

func (r *Retrier) decide(now time.Time, account contractor.Account, target string, attempt int, deadline time.Time, f Failure) Decision {
	reason, safe := checkSafety(f)
	if !safe {
		return Decision{Reason: reason}
	}
	if attempt >= r.config.Attempts {
		return Decision{Reason: AttemptsExhausted}
	}
	delay := r.delay(attempt, f)
	if !deadline.IsZero() && now.Add(delay+r.config.MinAttemptTime).After(deadline) {
		return Decision{Reason: DeadlineNear}
	}
	if !r.take(now, account, target, f) {
		return Decision{Reason: BudgetExhausted}
	}
	return Decision{Retry: true, Resume: f.Phase == Partial, Delay: delay, Reason: reason}
}

// checkSafety returns the reason to retry, or the reason why a retry is not safe.
func checkSafety(f Failure) (Reason, bool) {
	switch f.Phase {
	case NotSent:
		return RequestNotSent, true
	case NoResponse:
		if f.Repeatable {
			return ResponseMissing, true
		}
		return NotRepeatable, false
	}
	if f.Resumable {
		return StreamBroken, true
	}
	return NotResumable, false
}

// delay returns the backoff with full jitter: a random time from zero to twice the mean,
// added to the delay that the upstream requested.
func (r *Retrier) delay(attempt int, f Failure) time.Duration {
	mean := r.config.BaseDelay << min(max(attempt-1, 0), 10)
	jitter := time.Duration(2 * r.config.Random() * float64(mean))
	return f.RetryAfter + min(jitter, r.config.MaxDelay)
}

// take takes one retry from both the account's and the target's budget, or from neither.
func (r *Retrier) take(now time.Time, account contractor.Account, target string, f Failure) bool {
	if r.isFirstWindow(now) {
		return false
	}
	afterCrash := f.UpstreamDown && !f.Overloaded
	share := 0.0
	if afterCrash {
		share = r.fleet.share(now, &r.config)
	}
	t := r.budgetOf(target)
	if !t.take(now, &r.config, share, 0) {
		return false
	}
	taken := false
	r.updateAccount(accountKey{account, target}, func(b *accountBudget) { taken = b.take(now, afterCrash) })
	if !taken {
		t.giveBack(now, &r.config)
	}
	return taken
}

func (r *Retrier) isFirstWindow(now time.Time) bool {
	return !r.config.StartedAt.IsZero() && now.Sub(r.config.StartedAt) < r.config.Window
}

// TakeSecondSend takes one retry from the budgets for a second send of a request that has not failed. It leaves
// one to each budget, because retries of failed requests are needed more.
func (r *Retrier) TakeSecondSend(now time.Time, account contractor.Account, target string) bool {
	t := r.budgetOf(target)
	if r.isFirstWindow(now) || !t.take(now, &r.config, 0, 1) {
		return false
	}
	taken := false
	r.updateAccount(accountKey{account, target}, func(b *accountBudget) {
		if taken = b.retries >= 2; taken {
			b.retries--
		}
	})
	if !taken {
		t.giveBack(now, &r.config)
	}
	return taken
}

// ReturnSecondSend gives back what TakeSecondSend has taken for a send that was not made.
func (r *Retrier) ReturnSecondSend(now time.Time, account contractor.Account, target string) {
	r.budgetOf(target).giveBack(now, &r.config)
	r.updateAccount(accountKey{account, target}, func(b *accountBudget) { b.retries = min(b.retries+1, r.config.Burst) })
}

func (b *accountBudget) take(now time.Time, useReserve bool) bool {
	if b.retries >= 1 {
		b.retries--
		return true
	}
	if !useReserve {
		return false
	}
	if !b.reserveRefilled.IsZero() {
		b.reserve = min(b.reserve+now.Sub(b.reserveRefilled).Seconds()/reserveRefillInterval.Seconds(), reserveRetries)
	}
	b.reserveRefilled = now
	if b.reserve < 1 {
		return false
	}
	b.reserve--
	return true
}
