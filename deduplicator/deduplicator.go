// Package deduplicator makes calls that may not be repeated run at most once.
//
// Before such a call is dispatched, a claim on its request key is created in
// the store by compare-and-swap. The claim names the daemon that runs the call.
// Afterwards it holds the answer, so that a retry through any daemon gets the
// stored answer and never runs again. While nobody can tell whether the call
// has run, the claim says so, until an operator resolves it. Without the store
// no call is claimed, and none is run.
//
//	result, err := claims.Claim(ctx, account, key, fingerprint)
//	if err != nil {
//		return err // a *refuser.Refusal
//	}
//	if result.Answer != nil {
//		return deliver(result.Answer)
//	}
//	answer, err := dispatch(ctx)
//	...
//	return claims.Complete(ctx, result.Claim, answer)
//
// What becomes of a claim, by who knows what:
//
//	the call certainly did not run        Abandon frees the key
//	the answer is complete                Complete stores it
//	the connection broke after dispatch   Unknown says so
//	the daemon that ran it is gone        the next retry finds that out and says unknown
//
// When the store is away at the end of a call, the daemon keeps what it knows
// and writes it when the store is back. Claims and answers are attached to
// leases that nobody renews, so the store itself removes them when their time
// is over, without a call.
package deduplicator

import (
	"errors"
	"sync"
	"time"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

const (
	defaultKeepAnswers = 24 * time.Hour
	defaultKeepClaims  = 30 * 24 * time.Hour
	defaultMaxAnswer   = 64 << 10 // bytes
	defaultRetryAfter  = 2 * time.Second
	defaultFlushEvery  = time.Second
	shardCount         = 16
)

var (
	// ErrPending means that the store does not hold the end of a call yet. The
	// daemon keeps it and goes on trying.
	ErrPending = errors.New("claim: the end of the call is not stored yet")
	// ErrSuperseded means that the claim now belongs to somebody else: an
	// operator has resolved it meanwhile.
	ErrSuperseded = errors.New("claim: resolved by an operator meanwhile")
	// ErrNotUnknown means that an operator wants to resolve a claim whose
	// outcome is not unknown.
	ErrNotUnknown = errors.New("claim: outcome is not unknown")
	// ErrNotFound means that there is no claim on the request key.
	ErrNotFound = errors.New("claim: not found")
)

// Liveness tells which daemons are gone for certain.
type Liveness interface {
	// Gone reports whether a run of a daemon has ended and cannot act any more.
	Gone(vm contractor.VM, incarnation contractor.Incarnation) bool
}

// Config holds the settings of a Deduplicator.
type Config struct {
	Store persister.Store
	// VM and Incarnation identify this run of the daemon.
	VM          contractor.VM
	Incarnation contractor.Incarnation
	// Liveness may be nil; then only earlier runs on the same VM are gone.
	Liveness Liveness
	// KeepAnswers is how long a stored answer is kept. Zero means 24 h.
	KeepAnswers time.Duration
	// KeepClaims is how long a claim without an answer is kept. Zero means 30 days.
	KeepClaims time.Duration
	// MaxAnswer is the largest body that is stored, in bytes. Of a larger
	// answer only status and header are kept. Zero means 64 KiB.
	MaxAnswer int
	// RetryAfter is what refused callers are told to wait. Zero means 2 s.
	RetryAfter time.Duration
	// FlushEvery is the time between two tries to store the ends of calls.
	// Zero means 1 s.
	FlushEvery time.Duration
	Recorder   *recorder.Recorder
}

// Deduplicator holds the claims of one daemon.
type Deduplicator struct {
	config  Config
	answers *persister.Leaseholder
	claims  *persister.Leaseholder
	shards  [shardCount]shard
}

// shard holds the claims of this daemon that the store may not show as ended yet.
type shard struct {
	mu   sync.Mutex
	open map[name]*open
}

// name identifies a claim.
type name struct {
	account contractor.Account
	key     contractor.RequestKey
}

func (n name) path() string { return claimPrefix + string(n.account) + "/" + n.key.String() }

// Claim is the right to run one call once.
type Claim struct {
	name     name
	record   record
	revision contractor.Revision
}

// Key returns the request key of the call.
func (c *Claim) Key() contractor.RequestKey { return c.name.key }

// Result of a claim has either Claim, to run the call, or the stored Answer.
type Result struct {
	Claim  *Claim
	Answer *conductor.Response
}

// New returns a Deduplicator. Run has to be called for it to store what it
// could not store at once.
func New(c Config) (*Deduplicator, error) {
	if c.Store == nil || c.VM == "" || c.Incarnation == 0 {
		return nil, errors.New("deduplicator: store, VM and incarnation are needed")
	}
	c.KeepAnswers = orDefault(c.KeepAnswers, defaultKeepAnswers)
	c.KeepClaims = orDefault(c.KeepClaims, defaultKeepClaims)
	c.RetryAfter = orDefault(c.RetryAfter, defaultRetryAfter)
	c.FlushEvery = orDefault(c.FlushEvery, defaultFlushEvery)
	if c.MaxAnswer <= 0 {
		c.MaxAnswer = defaultMaxAnswer
	}
	d := &Deduplicator{
		config:  c,
		answers: persister.NewLeaseholder(c.Store, c.KeepAnswers),
		claims:  persister.NewLeaseholder(c.Store, c.KeepClaims),
	}
	for i := range d.shards {
		d.shards[i].open = make(map[name]*open)
	}
	return d, nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func (d *Deduplicator) shard(n name) *shard { return &d.shards[n.key[0]%shardCount] }

// gone reports whether the run of a daemon that made a claim is over.
func (d *Deduplicator) gone(r *record) bool {
	if r.VM == d.config.VM {
		return r.Incarnation != d.config.Incarnation
	}
	return d.config.Liveness != nil && d.config.Liveness.Gone(r.VM, r.Incarnation)
}
