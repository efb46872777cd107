// Package limiter is the admission control of a daemon: it admits requests,
// queues them, or refuses them before they consume anything.
//
// A request passes three checks. The rate and the concurrency limit of its
// contract come first. They hold for all zones together, and each daemon
// enforces its share of them; a RateDivider sets the shares. Then the request
// needs a slot at its target, which is a model or a plain service. The capacity
// of a target is the number of its slots, the requests that may run there at
// once. When no slot is free, the request waits in the queue of its client
// account.
//
// Free slots go to the accounts by weighted fair queueing, with the weights of
// their contracts. Queues are limited in length and bytes. A request that would
// start too late for its deadline is refused at once, while a retry elsewhere
// still helps. A third of the slots is reserved for accounts that use less than
// 1.5 times their fair share. A flood of requests from one account therefore
// does not delay the others.
//
// The capacity of a target adapts to the time to the first token. It grows
// while the target meets the configured objective and shrinks by a factor when
// it does not.
//
//	admission, err := l.Admit(ctx, limiter.Request{Account: account, Target: "quote-model"})
//	if err != nil {
//		return err // a *refuser.Refusal: the request was not executed
//	}
//	defer admission.Release(outcome)
package limiter

import (
	"context"
	"math"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
	"laburnumline/refuser"
)

// Request describes a request for admission.
type Request struct {
	Account contractor.Account
	// Weight is the account's weight in the division of the target's capacity.
	// Zero means 1.
	Weight int
	// Rate holds the contract's limits for all daemons together.
	Rate contractor.Rate
	// Target is the name of a model or a plain service.
	Target string
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Deadline is the latest time for the first token. Zero means no deadline.
	Deadline time.Time
	// FirstTokenEstimate is the expected time from admission to the first
	// token.
	FirstTokenEstimate time.Duration
	// Cost is the request's size relative to others. Zero means 1.
	Cost float64
}

func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

func (r *Request) cost() float64 {
	if r.Cost <= 0 {
		return 1
	}
	return r.Cost
}

// Outcome is the result of an admitted request as far as it shows the load of
// its target.
type Outcome struct {
	// TimeToFirstToken is zero when there was no token.
	TimeToFirstToken time.Duration
	// Overloaded is true when the upstream refused the request or timed out.
	Overloaded bool
}

// Config holds the settings of a Limiter. Zero values mean the defaults.
type Config struct {
	// FixedCapacity returns a fixed capacity for a target. When it is nil or
	// returns zero, the capacity adapts.
	FixedCapacity func(target string) int
	// InitialCapacity, MinCapacity and MaxCapacity limit an adaptive capacity.
	InitialCapacity int
	MinCapacity     int
	MaxCapacity     int
	// FirstTokenObjective is the time to the first token that a target should
	// not exceed.
	FirstTokenObjective time.Duration
	// MaxWait is the longest expected wait in a queue.
	MaxWait time.Duration
	// MaxQueueLength is the maximum number of waiting requests of one account
	// for one target.
	MaxQueueLength int
	// MaxQueueBytes is the maximum size of the waiting requests of one account
	// for one target.
	MaxQueueBytes int
	// MaxTotalQueueBytes is the maximum size of all waiting requests for one
	// target.
	MaxTotalQueueBytes int
	// Share returns this daemon's share of an account's limits, from 0 to 1. It
	// is used until SetShare sets a share. Nil means the whole.
	Share func(account contractor.Account) float64
	// Recorder counts refusals. Nil discards them.
	Recorder *recorder.Recorder
}

const (
	defaultInitialCapacity = 64
	defaultMinCapacity     = 8
	defaultMaxCapacity     = 4096
	defaultFirstToken      = 800 * time.Millisecond
	defaultMaxWait         = 2 * time.Second
	defaultQueueLength     = 256
	defaultQueueBytes      = 4 << 20 // bytes
	defaultTotalBytes      = 16 << 20
)

func (c Config) withDefaults() Config {
	if c.InitialCapacity <= 0 {
		c.InitialCapacity = defaultInitialCapacity
	}
	if c.MinCapacity <= 0 {
		c.MinCapacity = defaultMinCapacity
	}
	if c.MaxCapacity <= 0 {
		c.MaxCapacity = defaultMaxCapacity
	}
	if c.FirstTokenObjective <= 0 {
		c.FirstTokenObjective = defaultFirstToken
	}
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.MaxQueueLength <= 0 {
		c.MaxQueueLength = defaultQueueLength
	}
	if c.MaxQueueBytes <= 0 {
		c.MaxQueueBytes = defaultQueueBytes
	}
	if c.MaxTotalQueueBytes <= 0 {
		c.MaxTotalQueueBytes = defaultTotalBytes
	}
	return c
}

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	config   Config
	accounts accountTable
	targets  targetTable
}

// New returns a Limiter.
func New(c Config) *Limiter {
	l := &Limiter{config: c.withDefaults()}
	l.accounts.init()
	l.targets.init()
	return l
}

// SetShare sets this daemon's share of an account's limits, from 0 to 1.
func (l *Limiter) SetShare(account contractor.Account, share float64) {
	l.accounts.setShare(time.Now(), account, share)
}

// Demand returns the recent rate of an account's requests at this daemon per
// second, admitted or not. Daemons exchange it to divide rates; see
// RateDivider.
func (l *Limiter) Demand(account contractor.Account) float64 {
	return l.accounts.demand(time.Now(), account)
}

// Demand is the rate at which an account sends requests to this daemon.
type Demand struct {
	Account contractor.Account
	// Rate is in requests per second.
	Rate float64
}

func (l *Limiter) demands(now time.Time) []Demand { return l.accounts.demands(now) }

// Admission is a slot at a target. Release must be called once.
type Admission struct {
	// Priority is 1 when the account uses less than its fair share of the
	// target, else 0. Engines serve requests with priority 1 first.
	Priority int
	// Waited is the time spent in the queue.
	Waited time.Duration

	limiter *Limiter
	target  *TargetLimiter
	flow    *flow
	account contractor.Account
}

// Admit waits for a slot. Its errors are of type *refuser.Refusal, for requests
// that were not executed.
func (l *Limiter) Admit(ctx context.Context, r Request) (*Admission, error) {
	now := time.Now()
	if refusal := l.accounts.admit(now, &r, l.config.Share); refusal != nil {
		return nil, l.countRefusal(refusal)
	}
	a, err := l.waitForSlot(ctx, now, r)
	if err != nil {
		l.accounts.release(r.Account)
		return nil, l.countRefusal(err)
	}
	return a, nil
}

func (l *Limiter) waitForSlot(ctx context.Context, now time.Time, r Request) (*Admission, *refuser.Refusal) {
	t := l.targets.target(r.Target, &l.config)
	w, refusal := t.Submit(now, r)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := t.wait(ctx, w); refusal != nil {
		return nil, refusal
	}
	a := &Admission{Priority: w.priority, Waited: time.Since(now)}
	a.limiter, a.target, a.flow, a.account = l, t, w.flow, r.Account
	return a, nil
}

func (l *Limiter) countRefusal(refusal *refuser.Refusal) error {
	l.config.Recorder.Count("limiter."+refusal.Reason.String(), 1)
	return refusal
}

// Release frees the slot.
func (a *Admission) Release(outcome Outcome) {
	a.target.release(time.Now(), a.flow, outcome)
	a.limiter.accounts.release(a.account)
}

// DivideRate returns the share of a rate for each daemon in proportion to its
// demand. An evenFraction of the rate is divided evenly, so that an account
// whose requests arrive at another daemon is not refused there until the next
// exchange.
func DivideRate(demands []float64, evenFraction float64) []float64 {
	shares := make([]float64, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d
	}
	even := 1 / float64(max(len(demands), 1))
	for i, d := range demands {
		shares[i] = even
		if total > 0 && !math.IsInf(total, 0) {
			shares[i] = evenFraction*even + (1-evenFraction)*d/total
		}
	}
	return shares
}
