// Package deduplicator executes non-idempotent calls at most once.
//
// Before such a call is dispatched, a claim on its request key is created in the
// store by compare-and-swap. The claim names the daemon that executes the call.
// Afterwards it holds the response, which a retry through any daemon gets instead
// of a second execution. If it is not known whether the call was executed, the
// state of the claim is Unknown, and retries are refused until an operator
// resolves it. While the store is unavailable, no call is claimed or executed.
//
//	result, err := claims.Claim(ctx, account, key, fingerprint)
//	if err != nil {
//		return err // a *refuser.Refusal
//	}
//	if result.Response != nil {
//		return deliver(result.Response)
//	}
//	response, err := dispatch(ctx)
//	...
//	return claims.Complete(ctx, result.Claim, response)
//
// How a claim ends:
//
//	the call was certainly not executed   Release frees the key
//	the response is complete              Complete stores it
//	the connection broke after dispatch   MarkUnknown stores the state Unknown
//	the executing daemon is gone          the next retry stores the state Unknown
//
// If the store is unavailable when a call ends, the daemon keeps the outcome in
// memory and writes it when the store is reachable again. Claims and responses are
// attached to leases that are never renewed, so the store removes them, without a
// call, when their retention time is over.
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
	defaultResponseRetention = 24 * time.Hour
	defaultClaimRetention    = 30 * 24 * time.Hour
	defaultMaxResponseBody   = 64 << 10 // bytes
	defaultRetryAfter        = 2 * time.Second
	defaultFlushInterval     = time.Second
	shardCount               = 16
)

var (
	// ErrPending means that the outcome of a call could not be stored yet. The
	// daemon keeps it and retries.
	ErrPending = errors.New("claim: the outcome of the call is not stored yet")
	// ErrSuperseded means that an operator has resolved the claim meanwhile, and
	// that the outcome known to this daemon is not stored.
	ErrSuperseded = errors.New("claim: resolved by an operator meanwhile")
	// ErrNotUnknown means that a claim cannot be resolved because its outcome is
	// not unknown.
	ErrNotUnknown = errors.New("claim: outcome is not unknown")
	// ErrNotFound means that there is no claim on the request key.
	ErrNotFound = errors.New("claim: not found")
)

// Liveness reports which daemons have certainly stopped.
type Liveness interface {
	// Gone reports whether an incarnation of a daemon has ended and can no longer act.
	Gone(vm contractor.VM, incarnation contractor.Incarnation) bool
}

// Config holds the settings of a Deduplicator.
type Config struct {
	Store persister.Store
	// VM and Incarnation identify this start of the daemon.
	VM          contractor.VM
	Incarnation contractor.Incarnation
	// Liveness may be nil. Then only earlier incarnations on the same VM are
	// known to be gone.
	Liveness Liveness
	// ResponseRetention is how long a stored response is kept. Zero means 24 h.
	ResponseRetention time.Duration
	// ClaimRetention is how long a claim without a response is kept. Zero means 30 days.
	ClaimRetention time.Duration
	// MaxResponseBody is the largest response body that is stored, in bytes. For a
	// larger one only status and header are kept. Zero means 64 KiB.
	MaxResponseBody int
	// RetryAfter is the wait suggested to refused callers. Zero means 2 s.
	RetryAfter time.Duration
	// FlushInterval is the time between two attempts to store outcomes that could
	// not be stored yet. Zero means 1 s.
	FlushInterval time.Duration
	Recorder      *recorder.Recorder
}

// Deduplicator claims calls for one daemon and stores their responses.
type Deduplicator struct {
	config         Config
	responseLeases *persister.LeaseCache
	claimLeases    *persister.LeaseCache
	shards         [shardCount]shard
}

// shard holds a part of this daemon's claims whose end the store may not have yet.
type shard struct {
	mu     sync.Mutex
	claims map[claimKey]*localClaim
}

// claimKey identifies a claim.
type claimKey struct {
	account    contractor.Account
	requestKey contractor.RequestKey
}

func (k claimKey) storeKey() string {
	return claimPrefix + string(k.account) + "/" + k.requestKey.String()
}

// Claim is the permission to execute one call once.
type Claim struct {
	key      claimKey
	record   record
	revision contractor.Revision
}

// Key returns the request key of the call.
func (c *Claim) Key() contractor.RequestKey { return c.key.requestKey }

// Result has either Claim, with which the call may be executed, or the stored
// Response of an earlier execution.
type Result struct {
	Claim    *Claim
	Response *conductor.Response
}

// New returns a Deduplicator. Run has to be called, since it stores the outcomes
// that could not be stored at once.
func New(c Config) (*Deduplicator, error) {
	if c.Store == nil || c.VM == "" || c.Incarnation == 0 {
		return nil, errors.New("deduplicator: store, VM and incarnation are needed")
	}
	c.ResponseRetention = orDefault(c.ResponseRetention, defaultResponseRetention)
	c.ClaimRetention = orDefault(c.ClaimRetention, defaultClaimRetention)
	c.RetryAfter = orDefault(c.RetryAfter, defaultRetryAfter)
	c.FlushInterval = orDefault(c.FlushInterval, defaultFlushInterval)
	if c.MaxResponseBody <= 0 {
		c.MaxResponseBody = defaultMaxResponseBody
	}
	d := &Deduplicator{
		config:         c,
		responseLeases: persister.NewLeaseCache(c.Store, c.ResponseRetention),
		claimLeases:    persister.NewLeaseCache(c.Store, c.ClaimRetention),
	}
	for i := range d.shards {
		d.shards[i].claims = make(map[claimKey]*localClaim)
	}
	return d, nil
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func (d *Deduplicator) shard(k claimKey) *shard { return &d.shards[k.requestKey[0]%shardCount] }

// claimantGone reports whether the daemon that made a claim has certainly stopped.
func (d *Deduplicator) claimantGone(r *record) bool {
	if r.VM == d.config.VM {
		return r.Incarnation != d.config.Incarnation
	}
	return d.config.Liveness != nil && d.config.Liveness.Gone(r.VM, r.Incarnation)
}
