// Package forwarder carries a request from its caller to an upstream and the answer back.
//
// A request passes the same steps each time: route and key, body, balance, and then
// attempts at upstreams until one answers. What may be repeated follows from the
// route. A request that runs at most once is sent again only when nothing was
// written or the upstream said that it did not run. A stream that may be resumed
// goes on at the event after the last one that was passed on whole.
//
// Each request has exactly one end: the whole answer of an upstream, a refusal that
// says truthfully that nothing ran (503 with the time to come back, 402, 4xx), a
// 502 or 504 that promises nothing, or an answer that visibly breaks off.
//
//	f := forwarder.New(forwarder.Config{Tables: holder, Upstreams: registrar, ...})
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
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/director"
	"laburnumline/placer"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/retrier"
)

// Request is a call of a caller.
type Request struct {
	// ID identifies this attempt of the caller. Upstreams repeat it in their answers.
	ID     string
	Method string
	Host   string
	// Path decides the route; Target is path and query as they were sent.
	Path   string
	Target string
	// Header holds what is passed on.
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, or -1 when it is not known before its end.
	Length int64
	// Key is the caller's key, or empty.
	Key string
	// Wait is how long the caller waits. Zero means that it did not say.
	Wait    time.Duration
	Arrived time.Time
	// Prompt and MaxOutput are the tokens of an engine call.
	Prompt, MaxOutput contractor.Tokens
	Parts             []placer.Part
	// ResumeAfter is the last event that the caller has of a stream.
	ResumeAfter string
}

// Marks are what the daemon says to an upstream about a request.
type Marks struct {
	Left        time.Duration
	Upstream    registrar.Name
	Account     contractor.Account
	Priority    int
	ResumeAfter string
}

// Tables has the configuration in force.
type Tables interface {
	Table() *director.Table
}

// Upstreams lists the upstreams of a service.
type Upstreams interface {
	Of(service director.ServiceName) []registrar.Upstream
}

// Budgets sets a request's tokens apart.
type Budgets interface {
	Reserve(ctx context.Context, account contractor.Account, most contractor.Tokens) (*apportioner.Reservation, error)
}

// Placer chooses upstreams.
type Placer interface {
	Choose(now time.Time, q placer.Query) (placer.Choice, bool)
	ResponseStarted(c *placer.Choice)
	End(now time.Time, c *placer.Choice, r placer.Result)
}

// Sender sends calls to upstreams.
type Sender interface {
	Send(ctx context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error)
}

// Retries decides about further attempts.
type Retries interface {
	Begin(account contractor.Account, target string)
	Decide(now time.Time, account contractor.Account, target string, attempt int, deadline time.Time, f retrier.Failure) retrier.Decision
}

// Config holds the parts that a Forwarder uses.
type Config struct {
	Tables    Tables
	Upstreams Upstreams
	Budgets   Budgets
	Placer    Placer
	Sender    Sender
	Retries   Retries
	Suspects  Suspects
	// Probe opens a connection to an upstream and closes it.
	Probe func(ctx context.Context, address netip.AddrPort) error
	// Mark writes the marks into the headers of a call.
	Mark func(h http.Header, m Marks)
	// Random returns numbers from 0 to below 1.
	Random   func() float64
	Recorder *recorder.Recorder
}

const (
	// unknownWait bounds requests whose caller and route state no time.
	unknownWait = 30 * time.Second
	// retrySoon is when a caller comes back that found no upstream: upstreams
	// appear and recover within about a second.
	retrySoon = 500 * time.Millisecond
	// retryFull is when a caller comes back to a service whose upstreams are full.
	retryFull = 300 * time.Millisecond
	// maxNotRun is the number of further sends after an upstream said that it did
	// not run the request, besides the attempts of the route.
	maxNotRun = 2
	// maxAnswer bounds an answer that is read whole before it is passed on, in bytes.
	maxAnswer = 8 << 20
)

// Forwarder carries requests. It is safe for concurrent use.
type Forwarder struct {
	config Config
	// reserving is how long requests wait for tokens, answering until the first part of
	// an answer goes to the caller, serving until it is whole; all in nanoseconds since
	// the request arrived, but for the first.
	reserving, answering, serving metrics.Histogram
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	return &Forwarder{
		config:    c,
		reserving: c.Recorder.Histogram("request.reserving"),
		answering: c.Recorder.Histogram("request.answering"),
		serving:   c.Recorder.Histogram("request.serving"),
	}
}

// Serve carries one request and writes its end to w. It panics with
// http.ErrAbortHandler when an answer breaks off after a part was written.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	x := &exchange{forwarder: f, request: r, writer: w}
	if refusal := x.prepare(ctx); refusal != nil {
		x.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline, errDeadline)
	defer cancel()
	if refusal := x.reserve(ctx); refusal != nil {
		x.refuse(refusal)
		return
	}
	defer x.settle()
	if refusal := x.quarantined(); refusal != nil {
		x.refuse(refusal)
		return
	}
	if refusal := x.run(ctx); refusal != nil {
		x.refuse(refusal)
		return
	}
	f.serving.Update(int64(time.Since(r.Arrived)))
}

// refused counts and logs a refusal.
func (x *exchange) refused(refusal *refuser.Refusal) {
	rec := x.forwarder.config.Recorder
	rec.CountRefusal(refusal.Reason)
	rec.Event(recorder.RequestRefused, "id", x.request.ID, "reason", refusal.Reason, "ran", refusal.Ran,
		"route", x.routeName(), "account", x.accountName(), "attempts", x.sends, "age", time.Since(x.request.Arrived),
		"retry_after", refusal.RetryAfter, "version", x.version, "detail", refusal.Detail, "err", refusal.Err)
}
