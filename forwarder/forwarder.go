// Package forwarder is the reverse proxy: it forwards a request from a caller to an
// upstream and the upstream's response to the caller.
//
// It finds the route of a request, authorizes the caller's key, reads the body, reserves
// tokens in the budget of the client account, and then makes attempts at upstreams until
// one succeeds. The route determines whether a request may be executed again. A request
// that may be executed at most once is resent only if nothing was written to the upstream
// or the upstream reported that it did not execute the request. A resumable event stream
// resumes at another upstream after the last event that was forwarded completely.
//
// Each request ends in exactly one of these ways:
//   - the complete response of an upstream,
//   - a refusal that guarantees that no upstream executed the request (503 with
//     Retry-After, 402 or another 4xx),
//   - a 502 or 504, after which the request may have been executed,
//   - a connection that is aborted in the middle of the response.
//
// Usage:
//
//	f := forwarder.New(forwarder.Config{Tables: tables, Upstreams: registrar, ...})
//	f.Serve(ctx, w, request)
package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumline/apportioner"
	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/delegator"
	"laburnumline/hedger"
	"laburnumline/pinner"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/retrier"
	"laburnumline/throttler"
)

// Request is a request of a caller.
type Request struct {
	// ID identifies this attempt of the caller. Upstreams return it in their responses.
	ID     string
	Method string
	Host   string
	// Path selects the route; Target is path and query as the caller sent them.
	Path   string
	Target string
	// Header holds the headers that are forwarded.
	Header http.Header
	Body   io.Reader
	// Length is the length of the body in bytes, or -1 if it is not known in advance.
	Length int64
	// Key is the caller's key, or empty.
	Key string
	// CallerTimeout is how long the caller waits. Zero means that the caller did not state it.
	CallerTimeout time.Duration
	ReceivedAt    time.Time
	// PromptTokens and MaxOutputTokens are set for requests to model engines.
	PromptTokens, MaxOutputTokens contractor.Tokens
	PromptParts                   []balancer.Part
	// ResumeAfter is the id of the last event of a stream that the caller has received.
	ResumeAfter string
	// Resumes is the ID of the caller's attempt that received the first event of that stream.
	Resumes string
	// Delegated is true if another daemon has sent the request, after Executions upstreams may have run it.
	Delegated  bool
	Executions int
	// Counted is true if that daemon has counted it as a first attempt.
	Counted bool
}

// Metadata is what the daemon sends to an upstream about a request, in its headers.
type Metadata struct {
	TimeRemaining time.Duration
	Upstream      registrar.Name
	Account       contractor.Account
	Priority      int
	ResumeAfter   string
}

// Tables returns the configuration in force.
type Tables interface {
	Table() *resolver.Table
}

// Upstreams lists the upstreams of a service.
type Upstreams interface {
	Of(service resolver.ServiceName) []registrar.Upstream
	// EvacuatedOf lists those that are left out because their zones are evacuated.
	EvacuatedOf(service resolver.ServiceName) []registrar.Upstream
	// MarkLeaving records that an upstream has stated that it leaves.
	MarkLeaving(u *registrar.Upstream)
	// SoftwareVersions returns the versions that may have begun streams which callers still
	// resume. It reports false while there may be others.
	SoftwareVersions(service resolver.ServiceName) (versions []string, complete bool)
	// WithRecordedSoftware returns the upstreams of a list at which new streams may begin while they serve.
	WithRecordedSoftware(service resolver.ServiceName, list []registrar.Upstream) []registrar.Upstream
}

// Streams records the software versions that began event streams, for all daemons.
type Streams interface {
	Assign(ctx context.Context, s pinner.Stream, software string) error
	Withdraw(ctx context.Context, s pinner.Stream, several bool) error
	Pin(s pinner.Stream, software string, several bool)
	Lookup(ctx context.Context, s pinner.Stream, several bool) (software string, ok bool)
}

// Budgets reserves tokens for requests.
type Budgets interface {
	Reserve(ctx context.Context, account contractor.Account, maxCost contractor.Tokens) (*apportioner.Reservation, error)
}

// Balancer chooses upstreams.
type Balancer interface {
	Choose(now time.Time, q balancer.Query) (balancer.Choice, bool)
	ResponseStarted(now time.Time, c *balancer.Choice, s balancer.Start)
	End(now time.Time, c *balancer.Choice, r balancer.Result)
	// RetryAfter returns the predicted time until upstreams that have rejected a request have room.
	RetryAfter(now time.Time, q balancer.Query) time.Duration
}

// Sender sends calls to upstreams.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error)
}

// Retries decides whether a failed attempt is retried.
type Retries interface {
	RecordFirstAttempt(now time.Time, account contractor.Account, target string)
	Decide(now time.Time, account contractor.Account, target string, attempt int, deadline time.Time, f retrier.Failure) retrier.Decision
	// TakeSecondSend takes a second send of a request in flight from the budget, ReturnSecondSend gives it back.
	TakeSecondSend(now time.Time, account contractor.Account, target string) bool
	ReturnSecondSend(now time.Time, account contractor.Account, target string)
}

// Reachability knows which services this daemon reaches.
type Reachability interface {
	Reachable(service string) bool
	// PartlyReachable reports whether a service that is not reachable has upstreams that are.
	PartlyReachable(service string) bool
	// OthersReachable reports whether another upstream of the service accepts a connection now, or
	// there is no other.
	OthersReachable(service string, except netip.AddrPort) bool
	// ReportFailure records that a connection to an upstream has failed.
	ReportFailure(service string, address netip.AddrPort)
}

// Delegate sends requests to other daemons.
type Delegate interface {
	Send(ctx context.Context, r *delegator.Request) (*http.Response, error)
}

// Limits records the request limits that upstreams state.
type Limits interface {
	Record(id throttler.ID, r throttler.Response)
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	Tables     Tables
	Upstreams  Upstreams
	Budgets    Budgets
	Balancer   Balancer
	Limits     Limits
	Streams    Streams
	Sender     Sender
	Retries    Retries
	Quarantine Quarantine
	Permits    Permits
	// Hedger may be nil, in which case no request in flight is sent to a second upstream.
	Hedger *hedger.Hedger
	// Admission may be nil, in which case all requests are admitted.
	Admission Admission
	// Reachability and Delegate may be nil, in which case the daemon sends all requests itself.
	Reachability Reachability
	Delegate     Delegate
	// Software may be nil, in which case the list of Upstreams is always up to date.
	Software SoftwareChecker
	// Lifetime may be nil, in which case the daemon does not stop.
	Lifetime Lifetime
	// ResponseMemory limits the bytes of responses that are buffered beyond the first ones of each. Zero
	// means no limit.
	ResponseMemory int64
	// Probe opens a connection to an upstream and closes it.
	Probe func(ctx context.Context, address netip.AddrPort) error
	// RegionOf returns the region of a zone, or an empty name. Nil means that no region is known.
	RegionOf func(zone string) string
	// SetMetadata writes the metadata into the headers of a call.
	SetMetadata func(h http.Header, m Metadata)
	// Random returns numbers from 0 to below 1.
	Random   func() float64
	Recorder *recorder.Recorder
}

const (
	// defaultTimeout applies to requests whose caller states no timeout.
	defaultTimeout = 30 * time.Second
	// unavailableRetryAfter is the Retry-After when no upstream or configuration is
	// available. Upstreams appear and recover within about a second.
	unavailableRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After when all upstreams of a service are in evacuated zones.
	evacuatedRetryAfter = time.Second
	// overloadRetryAfter is the Retry-After when the last attempt failed for another reason than
	// full upstreams, for which package balancer predicts it.
	overloadRetryAfter = 300 * time.Millisecond
	// maxNotExecutedSends is the number of sends beyond the attempts of the route that
	// are allowed after upstreams reported that they did not execute the request.
	maxNotExecutedSends = 2
	// maxResponseBytes limits a response that is buffered before it is forwarded, and the
	// body of a request if the configuration sets no limit.
	maxResponseBytes = 8 << 20
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	config Config
	memory memory
	// Durations in nanoseconds: reserving is the time to reserve tokens, answering the
	// time from the arrival of a request to the first part of its response, serving the
	// time from its arrival to the end of its response.
	reserving, answering, serving metrics.Histogram
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	if c.RegionOf == nil {
		c.RegionOf = func(string) string { return "" }
	}
	return &Forwarder{
		memory:    memory{limit: c.ResponseMemory},
		config:    c,
		reserving: c.Recorder.Histogram("request.reserving"),
		answering: c.Recorder.Histogram("request.answering"),
		serving:   c.Recorder.Histogram("request.serving"),
	}
}

// Serve forwards one request and writes the response or the refusal to w. It panics with
// http.ErrAbortHandler if the response fails after a part of it was written.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{forwarder: f, request: r, writer: w, sends: r.Executions, executions: r.Executions, counted: r.Counted}
	if r.Executions > 0 {
		x.retriesGranted = 1 // by the daemon that has delegated the request
	}
	defer x.endAdmission()
	defer func() { x.serverErrorResponse.release() }()
	if refusal := x.prepare(ctx); refusal != nil {
		if refusal.Reason == refuser.Overloaded {
			x.refuseOverloaded(refusal)
			return
		}
		x.writeRefusal(refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	if x.unreachable() && x.serveElsewhere(ctx) {
		return
	}
	if refusal := x.findSoftware(ctx); refusal != nil {
		x.writeRefusal(refusal)
		return
	}
	if refusal := x.reserve(ctx); refusal != nil {
		x.writeRefusal(refusal)
		return
	}
	defer x.settle()
	defer x.endPermit()
	refusal := x.runAttempts(ctx)
	if refusal != nil && x.mayBeServedElsewhere(refusal) && x.serveElsewhere(ctx) {
		return
	}
	if refusal != nil {
		x.writeRefusal(refusal)
		return
	}
	f.serving.Update(int64(time.Since(r.ReceivedAt)))
}

// recordRefusal counts and logs a refusal.
func (x *exchange) recordRefusal(refusal *refuser.Refusal) {
	rec := x.forwarder.config.Recorder
	rec.CountRefusal(refusal.Reason)
	rec.Event(recorder.RequestRefused, "id", x.request.ID, "resumes", x.request.Resumes, "reason", refusal.Reason, "ran", refusal.Execution,
		"route", x.routeName(), "account", x.accountName(), "attempts", x.sends, "age", time.Since(x.request.ReceivedAt),
		"retry_after", refusal.RetryAfter, "version", x.version, "detail", refusal.Detail, "err", refusal.Err)
}
