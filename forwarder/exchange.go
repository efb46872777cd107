package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"laburnumline/apportioner"
	"laburnumline/contractor"
	"laburnumline/director"
	"laburnumline/refuser"
	"laburnumline/registrar"
)

var errDeadline = errors.New("the deadline has passed")

// exchange is one request on its way.
type exchange struct {
	forwarder *Forwarder
	request   *Request
	writer    http.ResponseWriter

	version  int64
	route    *director.Route
	account  *director.Account
	service  *director.Service
	body     []byte
	deadline time.Time

	reservation *apportioner.Reservation
	// sends and executions count the upstreams that got the request and that may have run it.
	sends, executions int
	tried             []registrar.Name
	// responseStarted is true when a part of an answer was written to the caller.
	responseStarted bool
	lastEventID     string
	eventCount      int64
	// serverErrorResponse is a failure of an upstream that is passed on if no other answer comes.
	serverErrorResponse *bufferedResponse
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) accountName() contractor.Account {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// prepare finds route, account and service, and reads the body.
func (x *exchange) prepare(ctx context.Context) *refuser.Refusal {
	r := x.request
	table := x.forwarder.config.Tables.Table()
	if table == nil {
		return refuser.New(refuser.ContractUnavailable, "route").WithRetryAfter(unavailableRetryAfter).WithDetail("no configuration is known yet")
	}
	x.version = table.Version()
	route, ok := table.Route(r.Host, r.Path)
	if !ok {
		return refuser.New(refuser.NoRoute, "route").WithDetail("no route for host %q and path %q", r.Host, r.Path)
	}
	x.route = route
	if refusal := x.authorize(table); refusal != nil {
		return refusal
	}
	x.service, ok = table.Service(route.Pick(x.forwarder.config.Random()))
	if !ok {
		return refuser.New(refuser.NoUpstream, "route").WithRetryAfter(unavailableRetryAfter).WithDetail("route %q leads nowhere", route.Name)
	}
	x.setDeadline()
	return x.readBody(ctx, table.Limits().BodyBytes)
}

func (x *exchange) authorize(table *director.Table) *refuser.Refusal {
	if x.route.Anonymous || !table.HasAccounts() {
		return nil
	}
	account, ok := table.AccountOf(x.request.Key)
	if !ok {
		return refuser.New(refuser.Unauthorized, "authorize").WithDetail("the key is unknown")
	}
	x.account = account
	return nil
}

func (x *exchange) setDeadline() {
	timeout := x.request.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.request.ReceivedAt.Add(timeout)
}

func (x *exchange) readBody(ctx context.Context, limit int64) *refuser.Refusal {
	if limit <= 0 {
		limit = maxResponseBytes
	}
	tooLarge := func() *refuser.Refusal {
		return refuser.New(refuser.TooLarge, "read request").WithDetail("the body is longer than %d bytes", limit)
	}
	if x.request.Length > limit {
		return tooLarge()
	}
	var b bytes.Buffer
	if x.request.Length > 0 {
		b.Grow(int(x.request.Length) + bytes.MinRead)
	}
	if err := x.readInto(&b, limit); err != nil {
		return bodyRefusal(ctx, err)
	}
	if int64(b.Len()) > limit {
		return tooLarge()
	}
	x.body = b.Bytes()
	return nil
}

// readInto reads the body up to one byte beyond the limit, and until the deadline.
func (x *exchange) readInto(b *bytes.Buffer, limit int64) error {
	if x.request.Length == 0 {
		return nil
	}
	control := http.NewResponseController(x.writer)
	// A writer without deadlines is one of a test, whose body does not wait.
	_ = control.SetReadDeadline(x.deadline)
	_, err := b.ReadFrom(io.LimitReader(x.request.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	return err
}

func bodyRefusal(ctx context.Context, err error) *refuser.Refusal {
	reason := refuser.BadRequest
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // which also ends ctx
		reason = refuser.SlowRequest
	case ctx.Err() != nil:
		reason = refuser.Cancelled
	}
	return refuser.New(reason, "read request").WithCause(err)
}

// reserve sets the most that the request can use apart.
func (x *exchange) reserve(ctx context.Context) *refuser.Refusal {
	maxCost := x.request.PromptTokens + x.request.MaxOutputTokens
	if x.account == nil || !x.service.Engine || maxCost <= 0 {
		return nil
	}
	start := time.Now()
	reservation, err := x.forwarder.config.Budgets.Reserve(ctx, x.account.Name, maxCost)
	x.forwarder.reserving.Update(int64(time.Since(start)))
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if err != nil {
		return refuser.New(refuser.Internal, "reserve").WithCause(err)
	}
	x.reservation = reservation
	return nil
}

// startResponse notes that a part of an answer goes to the caller, and charges the prompt.
// It is charged once, however many upstreams ran the request; a request without any
// answer costs its caller nothing.
func (x *exchange) startResponse() {
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	x.forwarder.answering.Update(int64(time.Since(x.request.ReceivedAt)))
	x.reservation.Spend(x.request.PromptTokens)
}

// settle charges the output that was passed on and frees the rest.
func (x *exchange) settle() {
	x.reservation.Spend(contractor.Tokens(x.eventCount * max(x.service.TokensPerEvent, 1)))
	x.reservation.End()
}

func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// writeRefusal writes the end of a request that got no answer.
func (x *exchange) writeRefusal(refusal *refuser.Refusal) {
	x.recordRefusal(refusal)
	if x.responseStarted {
		panic(http.ErrAbortHandler)
	}
	if x.serverErrorResponse != nil && refusal.Reason != refuser.Cancelled {
		x.serverErrorResponse.write(x.writer)
		return
	}
	status := refusal.Reason.Status()
	if refusal.Execution == refuser.PossiblyExecuted && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway
	}
	if refusal.Reason == refuser.Quarantined {
		status = http.StatusServiceUnavailable // it ends, so the caller may come back
	}
	h := x.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 && status != http.StatusBadGateway {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := refusal.Reason.String() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.writer.WriteHeader(status)
	// An error means that the caller has gone.
	_, _ = io.WriteString(x.writer, text)
}
