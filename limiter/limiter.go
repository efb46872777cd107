// Package limiter admits requests, or refuses them before they cost anything.
//
// A request passes three checks. The rate and the concurrency of its contract
// come first: the contract's limits hold for all zones together, and each daemon
// enforces its share of them. Then the request needs one of the places that its
// target has. When none is free it waits in the queue of its client account.
//
// Accounts get free places in proportion to the weights of their contracts.
// Queues are bounded in length and bytes, and a request that would start too
// late for its deadline is refused at once, when a retry elsewhere still helps.
// Some places are kept from accounts that already use more than their share, so
// that the flood of one account does not hold up the others.
//
// The number of places follows the time to the first token: it grows while the
// target keeps to the configured time and shrinks by a part when it does not.
//
//	admission, err := l.Admit(ctx, limiter.Ticket{Account: account, Target: "quote-model"})
//	if err != nil {
//		return err // a *refuser.Refusal, not run
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

// Request describes a request that wants to be admitted.
type Request struct {
	Account contractor.Account
	// Weight is the account's share of places. Zero means 1.
	Weight int
	// Rate is the limit of the contract, all daemons together.
	Rate   contractor.Rate
	Target string
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Deadline is when the answer must have begun. Zero is never.
	Deadline time.Time
	// FirstTokenEstimate is the time from admission to the first token.
	FirstTokenEstimate time.Duration
	// Cost is the request's size compared to others. Zero means 1.
	Cost float64
}

func (r *Request) weight() float64 { return float64(max(r.Weight, 1)) }

func (r *Request) cost() float64 {
	if r.Cost <= 0 {
		return 1
	}
	return r.Cost
}

// Outcome says how an admitted request fared, as far as the load of its target
// is concerned.
type Outcome struct {
	// TimeToFirstToken is the time to the first token. Zero when there was none.
	TimeToFirstToken time.Duration
	// Overloaded is true when the upstream refused the request or timed out.
	Overloaded bool
}

// Config holds the settings of a Limiter. Zero values mean the defaults.
type Config struct {
	// FixedCapacity returns a fixed number of places of a target. Nil or a result of
	// zero means that the number adapts.
	FixedCapacity func(target string) int
	// InitialCapacity, MinCapacity and MaxCapacity bound an adapting number of places.
	InitialCapacity int
	MinCapacity     int
	MaxCapacity     int
	// FirstTokenObjective is the time to the first token that a target should keep to.
	FirstTokenObjective time.Duration
	// MaxWait is the longest expected wait in a queue.
	MaxWait time.Duration
	// MaxQueueLength bounds the waiting requests of one account for one target.
	MaxQueueLength int
	// MaxQueueBytes bounds the bytes of the waiting requests of one account for one target.
	MaxQueueBytes int
	// MaxTotalQueueBytes bounds the bytes of all waiting requests for one target.
	MaxTotalQueueBytes int
	// Share returns this daemon's share of an account's rate, from 0 to 1. A
	// share set by SetShare comes first. Nil means the whole rate.
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

// New returns a limiter that has admitted nothing.
func New(c Config) *Limiter {
	l := &Limiter{config: c.withDefaults()}
	l.accounts.init()
	l.targets.init()
	return l
}

// SetShare sets this daemon's share of an account's rate, from 0 to 1.
func (l *Limiter) SetShare(account contractor.Account, share float64) {
	l.accounts.setShare(time.Now(), account, share)
}

// Demand returns the recent rate of an account's requests at this daemon per
// second, admitted or not. Daemons exchange it to divide rates; see DivideRate.
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

// Admission is a place at a target. Release must be called once.
type Admission struct {
	// Priority is 1 when the account uses less than its share of the target,
	// else 0. Engines run higher priorities first.
	Priority int
	// Waited is the time spent in the queue.
	Waited time.Duration

	limiter *Limiter
	target  *TargetLimiter
	flow    *flow
	account contractor.Account
}

// Admit waits for a place. Its errors are *refuser.Refusal with Ran equal to No.
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

// Release gives the place back.
func (a *Admission) Release(outcome Outcome) {
	a.target.release(time.Now(), a.flow, outcome)
	a.limiter.accounts.release(a.account)
}

// DivideRate returns the share of a rate for each daemon, in proportion to demand.
// Every daemon gets at least floor divided by the number of daemons, so that an
// account that appears at another daemon is not refused until the next exchange.
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
