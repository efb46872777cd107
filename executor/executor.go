// Package executor runs one request from admission to settlement.
//
// The steps have a fixed order. The request is admitted under the account's
// limits. A call that may not be repeated is claimed, so that it runs at most
// once. The maximum cost in tokens is reserved. Only then is the request
// dispatched to an upstream. Afterwards the reservation is settled exactly once,
// with the actual use. A refusal says that the request was not executed only if
// it was sent to no upstream.
//
// An Executor has no state of its own. The interfaces in its Config perform the
// steps.
//
//	x := executor.New(executor.Config{Contracts: watcher, Budgets: treasurer, ...})
//	usage, err := x.Complete(ctx, &completion, sink)
package executor

import (
	"context"
	"time"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/dispatcher"
	"laburnumline/limiter"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/reserver"
	"laburnumline/retrier"
	"laburnumline/router"
)

// Contracts returns cached contracts and upstreams.
type Contracts interface {
	AccountOf(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error)
	Contract(ctx context.Context, account contractor.Account) (*contractor.Contract, contractor.Revision, error)
	Upstreams() []contractor.Upstream
}

// Budgets reserves and settles tokens.
type Budgets interface {
	Reserve(ctx context.Context, r reserver.Request) (reserver.Reservation, error)
	BeginDispatch(r reserver.Reservation) error
	Settle(r reserver.Reservation, used contractor.Tokens)
}

// Limits admits requests.
type Limits interface {
	Admit(ctx context.Context, r limiter.Request) (*limiter.Admission, error)
}

// Routes chooses upstreams.
type Routes interface {
	Choose(now time.Time, q router.Query) (router.Choice, error)
	Finish(now time.Time, upstream string, q router.Query, o router.Outcome, firstToken time.Duration)
}

// Retries decides whether a failed attempt is retried.
type Retries interface {
	RecordFirstAttempt(now time.Time, account contractor.Account, target string)
	Decide(now time.Time, account contractor.Account, target string, attempt int, deadline time.Time, f retrier.Failure) retrier.Decision
}

// Quarantine identifies requests and prompt prefixes that crash upstreams.
type Quarantine interface {
	Check(now time.Time, d quarantiner.Digest) quarantiner.Verdict
	// RunningAt returns the upstream at which a request with the digest is in flight.
	// Others with the digest are sent there too, so that they cannot crash a second
	// upstream.
	RunningAt(d quarantiner.Digest) (string, bool)
	Begin(now time.Time, d quarantiner.Digest, upstream string)
	End(now time.Time, d quarantiner.Digest, upstream string, crashed bool)
	CheckParts(now time.Time, parts []quarantiner.Digest) (quarantiner.Digest, quarantiner.Verdict)
	PartsCrashed(now time.Time, parts []quarantiner.Digest, upstream string)
	PartsServed(now time.Time, parts []quarantiner.Digest)
}

// Permits issues the fleet's permits to run requests suspected of crashing upstreams, and
// records crashes in the store.
type Permits interface {
	Permit(ctx context.Context, d quarantiner.Digest, parts ...quarantiner.Digest) (*quarantiner.Permit, error)
	Report(ctx context.Context, d quarantiner.Digest) error
}

// Claims ensures that a call that may not be repeated runs at most once.
type Claims interface {
	Claim(ctx context.Context, account contractor.Account, key contractor.RequestKey, fingerprint [16]byte) (deduplicator.Result, error)
	Complete(ctx context.Context, claim *deduplicator.Claim, response *conductor.Response) error
	Release(ctx context.Context, claim *deduplicator.Claim) error
	MarkUnknown(ctx context.Context, claim *deduplicator.Claim) error
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	CallEngine(ctx context.Context, call dispatcher.EngineCall) (dispatcher.Stream, error)
	CallService(ctx context.Context, u contractor.Upstream, call *conductor.ServiceCall, attempt int) (*conductor.Response, error)
}

// Config holds the dependencies of an Executor. All but Recorder are required.
type Config struct {
	Zone       contractor.Zone
	Contracts  Contracts
	Budgets    Budgets
	Limits     Limits
	Routes     Routes
	Retries    Retries
	Quarantine Quarantine
	Permits    Permits
	Claims     Claims
	Upstreams  Upstreams
	Recorder   *recorder.Recorder
	// StoreTimeout is the timeout of each write that ends a claim or a permit or reports a
	// crash. Zero means 5 s.
	StoreTimeout time.Duration
}

const defaultStoreTimeout = 5 * time.Second

// Executor runs requests. It is safe for concurrent use.
type Executor struct {
	config Config
}

// New returns an Executor.
func New(c Config) *Executor {
	if c.StoreTimeout == 0 {
		c.StoreTimeout = defaultStoreTimeout
	}
	return &Executor{config: c}
}
