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

	"laburnumline/admitter"
	"laburnumline/apportioner"
	"laburnumline/contractor"
	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
)

var errDeadline = errors.New("request deadline exceeded")

// exchange is the state of one request in flight.
type exchange struct {
	forwarder *Forwarder
	request   *Request
	writer    http.ResponseWriter

	version int64
	// bodyLimit is the maximum length of the body according to the configuration.
	bodyLimit int64
	route     *resolver.Route
	account   *resolver.Account
	service   *resolver.Service
	body      []byte
	deadline  time.Time

	// admitted is what the request occupies of the daemon, or nil.
	admitted    *admitter.Request
	reservation *apportioner.Reservation
	// sends counts attempts that reached an upstream, executions those in which the
	// upstream may have executed the request.
	sends, executions int
	// counted is true once the request is counted as a first attempt.
	counted bool
	// retriesGranted counts the retries from the budget that have not reached an upstream.
	retriesGranted int
	tried          []registrar.Name
	// permit allows the request although a part of its prompt is suspected of crashing
	// upstreams. permitUpstream is the upstream that may have executed it last.
	// permitsRequest is true if the permit is for the whole request.
	permit         *quarantiner.Permit
	permitUpstream registrar.Name
	permitsRequest bool
	// firstOutput is the time of the first output of the current attempt. served is true once
	// the attempt has shown that the request does not crash its upstream.
	firstOutput time.Time
	served      bool
	// responseStarted is true once a part of a response has been written to the caller.
	responseStarted bool
	lastEventID     string
	eventCount      int64
	// software is the version of the upstreams' software that began the stream, once softwareKnown
	// is true. What two versions write does not fit together.
	software      string
	softwareKnown bool
	// pinned is true once the version is recorded for other attempts of the caller.
	pinned bool
	// assigned is the version of the upstream to which the request for a stream was last sent, if isAssigned is true.
	assigned   string
	isAssigned bool
	// unassignable is true if upstreams of two versions may begin the stream, so that it is assigned to neither.
	unassignable bool
	// declined is true once no other daemon has taken the request.
	declined bool
	// upstream is that of the current attempt, and attemptEvents counts the events from it.
	upstream      registrar.Upstream
	attemptEvents int64
	// continued is true once these follow events of an earlier attempt.
	continued bool
	// hedge is set if the first attempt may be sent to a second upstream.
	hedge *hedge
	// serverErrorResponse is the last signed 5xx response of an upstream. It is forwarded
	// if no other attempt succeeds.
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

// prepare finds the route, client account and service, and reads the body if the daemon is not overloaded.
func (x *exchange) prepare(ctx context.Context) *refuser.Refusal {
	if refusal := x.resolve(); refusal != nil {
		return refusal
	}
	if refusal := x.admit(); refusal != nil {
		return refusal
	}
	refusal := x.readBody(ctx, x.bodyLimit)
	if x.admitted != nil {
		x.forwarder.config.Admission.BodyRead(time.Now(), x.admitted)
	}
	return refusal
}

// resolve finds the route, client account and service, and refuses a request that no upstream may run.
func (x *exchange) resolve() *refuser.Refusal {
	r := x.request
	table := x.forwarder.config.Tables.Table()
	if table == nil {
		return refuser.New(refuser.ContractUnavailable, "route").WithRetryAfter(unavailableRetryAfter).WithDetail("no configuration is known yet")
	}
	x.version, x.bodyLimit = table.Version(), table.Limits().BodyBytes
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
		return refuser.New(refuser.NoUpstream, "route").WithRetryAfter(unavailableRetryAfter).WithDetail("route %q selects a service that is not configured", route.Name)
	}
	x.setDeadline()
	if refusal := x.refuseStopping(); refusal != nil {
		return refusal
	}
	return x.refuseUnpermitted()
}

func (x *exchange) authorize(table *resolver.Table) *refuser.Refusal {
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

// readInto reads the body until the deadline, and at most one byte beyond the limit.
func (x *exchange) readInto(b *bytes.Buffer, limit int64) error {
	if x.request.Length == 0 {
		return nil
	}
	control := http.NewResponseController(x.writer)
	// Only writers in tests do not support deadlines; their bodies do not block.
	_ = control.SetReadDeadline(x.deadline)
	body := x.request.Body
	if x.admitted != nil && x.request.Length < 0 {
		body = &admittedBody{exchange: x, body: body, admitted: admittedBodyBytes}
	}
	_, err := b.ReadFrom(io.LimitReader(body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	return err
}

func bodyRefusal(ctx context.Context, err error) *refuser.Refusal {
	if refusal := (*refuser.Refusal)(nil); errors.As(err, &refusal) {
		return refusal
	}
	reason := refuser.BadRequest
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // checked first, as it also ends ctx
		reason = refuser.SlowRequest
	case ctx.Err() != nil:
		reason = refuser.Cancelled
	}
	return refuser.New(reason, "read request").WithCause(err)
}

// reserve reserves the maximum cost of the request in its account's budget.
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

// startResponse records that the response has started and charges the prompt. The prompt
// is charged once, however many upstreams executed the request. A request without a
// response is not charged.
func (x *exchange) startResponse() {
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	x.forwarder.answering.Update(int64(time.Since(x.request.ReceivedAt)))
	x.reservation.Spend(x.request.PromptTokens)
}

// settle charges the output that was forwarded and releases the rest of the reservation.
func (x *exchange) settle() {
	x.reservation.Spend(contractor.Tokens(x.eventCount * max(x.service.TokensPerEvent, 1)))
	x.reservation.Release()
}

func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// writeRefusal ends a request that got no complete response. It aborts the connection if
// a part of a response was written, forwards a stored 5xx response if there is one, and
// otherwise writes the refusal.
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
	if refusal.Reason == refuser.Quarantined {
		status = http.StatusServiceUnavailable // retryable, as the quarantine can end
	}
	if refusal.Execution == refuser.PossiblyExecuted && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway
	}
	h := x.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 && status != http.StatusBadGateway {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	text := refusal.Reason.String() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.writer.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = io.WriteString(x.writer, text)
}
