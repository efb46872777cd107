package forwarder

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/framer"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/retrier"
	"laburnumline/sleeper"
	"laburnumline/throttler"
)

// failure describes an attempt that did not complete the request.
type failure struct {
	retrier.Failure
	err error
	// connectionLost is true when the connection failed after the request was sent.
	connectionLost bool
	// reason is the refusal reason if no further attempt is made.
	reason refuser.Reason
	// outcome is reported to the balancer.
	outcome balancer.Outcome
}

// runAttempts makes attempts until one completes the request. If none does, it returns
// the refusal for the caller.
func (x *exchange) runAttempts(ctx context.Context) *refuser.Refusal {
	f := x.forwarder.config
	target := string(x.service.Name)
	if !x.counted {
		x.counted = true
		f.Retries.RecordFirstAttempt(time.Now(), x.accountName(), target)
	}
	x.beginHedge()
	for attempt := 1; ; attempt++ {
		if attempt > 1 && x.unreachable() {
			return x.finalRefusal(noUpstream()) // Serve delegates the request
		}
		if refusal := x.refuseStopping(); refusal != nil {
			return x.finalRefusal(refusal)
		}
		if refusal := x.checkQuarantine(ctx); refusal != nil {
			return x.finalRefusal(refusal)
		}
		now := time.Now()
		choice, ok := f.Balancer.Choose(now, x.query())
		if !ok {
			if refusal := x.refuseUnpermitted(); refusal != nil {
				return x.finalRefusal(refusal)
			}
			return x.finalRefusal(notChosen(&choice))
		}
		var failed *failure
		if x.hedge != nil && attempt == 1 {
			failed = x.hedgedAttempt(ctx, choice)
			choice.Upstream = x.upstream // that of the second send, if it was the last one
			attempt += x.hedge.sends - 1
		} else {
			failed = x.attempt(ctx, choice)
		}
		if failed == nil {
			return nil
		}
		x.recordFailedAttempt(choice.Upstream.Name, attempt, now, failed)
		if ctx.Err() != nil {
			return x.contextRefusal(ctx, choice)
		}
		refusal := refuser.New(failed.reason, "forward").WithPeer(string(choice.Upstream.Name)).WithCause(failed.err)
		if !x.attemptsRemain(failed) || errors.Is(failed.err, errNotAssigned) {
			return x.finalRefusal(refusal.WithRetryAfter(x.retryAfter(failed)))
		}
		decision := f.Retries.Decide(time.Now(), x.accountName(), target, attempt, x.deadline, failed.Failure)
		if !decision.Retry {
			return x.finalRefusal(refusal.WithRetryAfter(x.retryAfter(failed)))
		}
		x.retriesGranted++
		x.tried = append(x.tried, choice.Upstream.Name)
		if decision.Resume {
			f.Recorder.Event(recorder.StreamResumed, "id", x.request.ID, "after", x.lastEventID, "from", choice.Upstream.Name, "software", choice.Upstream.Software)
		}
		if sleeper.Sleep(ctx, decision.Delay) != nil {
			return x.contextRefusal(ctx, choice)
		}
	}
}

// useRetry records that a request which may have reached an upstream is sent to another one, by an attempt of this
// daemon or by its delegation. Each such send needs a retry from the budget.
func (x *exchange) useRetry(by string) {
	if x.retriesGranted > 0 {
		x.retriesGranted--
		return
	}
	x.forwarder.config.Recorder.Event(recorder.RetryUnbudgeted, "id", x.request.ID, "service", x.service.Name, "by", by, "sends", x.sends)
}

// recordFailedAttempt logs that an attempt has failed.
func (x *exchange) recordFailedAttempt(upstream registrar.Name, attempt int, sentAt time.Time, failed *failure) {
	x.forwarder.config.Recorder.Event(recorder.AttemptFailed, "id", x.request.ID, "upstream", upstream,
		"service", x.service.Name, "attempt", attempt, "phase", failed.Phase, "outcome", failed.outcome,
		"took", time.Since(sentAt), "left", time.Until(x.deadline), "err", failed.err)
}

// noUpstream returns the refusal of a request whose service this daemon does not reach.
func noUpstream() *refuser.Refusal {
	return refuser.New(refuser.NoUpstream, "choose").WithRetryAfter(unavailableRetryAfter)
}

// notChosen returns the refusal of a request for which no upstream was chosen.
func notChosen(c *balancer.Choice) *refuser.Refusal {
	reason := refuser.NoUpstream
	switch c.Reason {
	case balancer.Limited:
		reason = refuser.UpstreamLimited
	case balancer.AllFull, balancer.OverShare:
		reason = refuser.QueueFull
	case balancer.TooLate:
		reason = refuser.DeadlineUnmeetable
	}
	return refuser.New(reason, "choose").WithRetryAfter(c.RetryAfter).WithDetail("%s", c.Reason)
}

// retryAfter returns the Retry-After of a request whose attempt has failed.
func (x *exchange) retryAfter(failed *failure) time.Duration {
	if failed.reason != refuser.QueueFull {
		return overloadRetryAfter
	}
	return x.forwarder.config.Balancer.RetryAfter(time.Now(), x.query())
}

// attemptsRemain reports whether the route allows another attempt. After a send that was
// certainly not executed, it allows up to maxNotExecutedSends sends beyond the route's
// attempts.
func (x *exchange) attemptsRemain(failed *failure) bool {
	if failed.Phase == retrier.NotSent {
		return x.sends < x.route.Attempts+maxNotExecutedSends && x.executions < x.route.Attempts
	}
	return x.executions < x.route.Attempts
}

// finalRefusal marks the refusal as possibly executed if an upstream may have executed
// the request.
func (x *exchange) finalRefusal(refusal *refuser.Refusal) *refuser.Refusal {
	if x.executions > 0 {
		return refusal.WithPossibleExecution()
	}
	return refusal
}

// contextRefusal returns the refusal for a caller that disconnected, a deadline that passed or a
// daemon that stops.
func (x *exchange) contextRefusal(ctx context.Context, choice balancer.Choice) *refuser.Refusal {
	refusal := refuser.New(refuser.Cancelled, "forward")
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		refusal = refuser.New(refuser.DeadlineExceeded, "forward")
	case errors.Is(cause, ErrStopping):
		refusal = refuser.New(refuser.Stopping, "forward").WithRetryAfter(stoppingRetryAfter)
	}
	return x.finalRefusal(refusal.WithPeer(string(choice.Upstream.Name)).WithCause(context.Cause(ctx)))
}

func (x *exchange) query() balancer.Query {
	return balancer.Query{
		Candidates: x.candidates(),
		Parts:      x.request.PromptParts,
		Engine:     x.service.Engine,
		Tokens:     int64(x.request.PromptTokens),
		MaxOutput:  int64(x.request.MaxOutputTokens),
		Memory:     x.service.CacheTokens,
		Priority:   x.priority(),
		TimeLeft:   max(time.Until(x.deadline), time.Millisecond),
		Account:    x.accountName(),
		Started:    x.responseStarted,
		Streamed:   x.route.Repeatability == resolver.Stream,
		Exclude:    x.tried,
	}
}

// reply is the response or the error of a send.
type reply struct {
	sentAt, receivedAt time.Time
	response           *connector.Response
	err                error
}

// attempt sends the request to one upstream. It returns nil when the response was
// forwarded to the caller.
func (x *exchange) attempt(ctx context.Context, choice balancer.Choice) *failure {
	r := reply{sentAt: time.Now()}
	if r.err = x.assignSoftware(ctx, &choice.Upstream); r.err == nil {
		r.response, r.err = x.forwarder.config.Sender.Send(ctx, choice.Upstream.Address, x.upstreamCall(choice))
	}
	r.receivedAt = time.Now()
	return x.conclude(ctx, &choice, r)
}

// conclude forwards the response of a send to the caller and returns nil, or returns why it does not complete
// the request.
func (x *exchange) conclude(ctx context.Context, choice *balancer.Choice, r reply) *failure {
	f := x.forwarder.config
	result := balancer.Result{Outcome: balancer.Served}
	eventsBefore := x.eventCount
	x.firstOutput, x.served = time.Time{}, false
	x.upstream, x.attemptEvents, x.continued = choice.Upstream, 0, false
	x.permitUpstream = choice.Upstream.Name
	sendsBefore := x.sends
	var failed *failure
	if r.err != nil {
		failed = x.sendFailure(r.err)
		if failed.outcome == balancer.Unreachable && ctx.Err() == nil {
			x.recordUnreachable(&choice.Upstream, r.sentAt, r.err)
		}
	} else {
		x.forwarder.recordHeader(&choice.Upstream, r, x.sends > 0)
		f.Balancer.ResponseStarted(r.receivedAt, choice, startOf(r.response))
		failed = x.handleResponse(r.response)
		r.response.Close()
	}
	if sendsBefore > 0 && x.sends > sendsBefore {
		x.useRetry("attempt")
	}
	if failed != nil {
		if (failed.connectionLost || failed.outcome == balancer.Unreachable) && ctx.Err() == nil && f.Reachability != nil {
			f.Reachability.ReportFailure(string(x.service.Name), choice.Upstream.Address)
		}
		if failed.connectionLost && ctx.Err() == nil {
			x.reportCrash(choice.Upstream, x.eventCount-eventsBefore)
		}
		result.Outcome = failed.outcome
		if ctx.Err() != nil {
			result.Outcome = balancer.Abandoned
		}
	}
	if failed != nil && failed.Phase == retrier.NotSent {
		x.permitUpstream = ""
	}
	if f.Hedger != nil && result.Outcome == balancer.Full {
		f.Hedger.RecordRejected(time.Now(), x.service.Name)
	}
	f.Balancer.End(time.Now(), choice, result)
	return failed
}

// startOf describes the beginning of a response for the balancer.
func startOf(response *connector.Response) balancer.Start {
	return balancer.Start{Load: response.Metadata.Load, FirstByte: !response.Metadata.NotRun && isStream(response)}
}

// recordHeader records which requests the upstream of a response still accepts. retry is true if it was not the
// first send of the request.
func (f *Forwarder) recordHeader(u *registrar.Upstream, p reply, retry bool) {
	response := p.response
	r := throttler.Response{
		Upstream: string(u.Name), SentAt: p.sentAt, ReceivedAt: p.receivedAt, Retry: retry, Limit: response.Metadata.RequestLimit,
	}
	r.Service, r.Rejections = string(u.Service), response.Metadata.Rejections
	r.Address, r.Warmup, r.Misdirected = u.Address, response.Metadata.Warmup, response.Status == http.StatusMisdirectedRequest
	if response.Status == http.StatusServiceUnavailable {
		r.Rejected = response.Metadata.NotRun
		r.Pause = response.Metadata.RetryAfter
	}
	f.config.Limits.Record(u.LimitID(), r)
	if response.Metadata.Leaving {
		f.config.Upstreams.MarkLeaving(u)
	}
}

// recordUnreachable records that an upstream accepts no connection. It may be cold when it does again.
func (x *exchange) recordUnreachable(u *registrar.Upstream, sentAt time.Time, err error) {
	x.forwarder.config.Limits.Record(u.LimitID(), throttler.Response{
		Upstream: string(u.Name), Service: string(u.Service), Address: u.Address, SentAt: sentAt, ReceivedAt: time.Now(), Unreachable: true,
		Refused: errors.Is(err, syscall.ECONNREFUSED),
	})
}

func (x *exchange) upstreamCall(choice balancer.Choice) *connector.Call {
	header := x.request.Header.Clone()
	resumeAfter := x.lastEventID
	if resumeAfter == "" {
		resumeAfter = x.request.ResumeAfter
	}
	x.forwarder.config.SetMetadata(header, Metadata{
		TimeRemaining: max(time.Until(x.deadline), time.Millisecond),
		Upstream:      choice.Upstream.Name,
		Account:       x.accountName(),
		Priority:      x.priority(),
		ResumeAfter:   resumeAfter,
	})
	return &connector.Call{
		ID: x.request.ID, Method: x.request.Method, Host: x.request.Host, Target: x.request.Target,
		Header: header, Body: x.body,
	}
}

// sendFailure classifies the error of a call that got no response.
func (x *exchange) sendFailure(err error) *failure {
	failed := &failure{err: err, reason: refuser.UpstreamFailed, outcome: balancer.Failed}
	failed.Repeatable, failed.Resumable = x.route.AllowsReexecution(), x.route.Resumable
	if errors.Is(err, errNotAssigned) {
		failed.Phase, failed.reason, failed.outcome = retrier.NotSent, refuser.NoUpstream, balancer.Abandoned
		return failed
	}
	failed.UpstreamDown = true
	var sendErr *connector.CallError
	if errors.As(err, &sendErr) && !sendErr.Written {
		failed.Phase = retrier.NotSent
		failed.reason = refuser.NoUpstream
		if sendErr.ConnectFailed {
			failed.outcome = balancer.Unreachable
		}
		return failed
	}
	x.sends++
	x.executions++
	failed.connectionLost = true
	failed.Phase = retrier.NoResponse
	if x.responseStarted {
		failed.Phase = retrier.Partial
	}
	return failed
}

// handleResponse forwards a response to the caller, or returns why it does not complete
// the request.
func (x *exchange) handleResponse(response *connector.Response) *failure {
	x.sends++
	switch {
	case response.Metadata.NotRun || response.Status == http.StatusMisdirectedRequest:
		return x.notExecuted(response)
	case response.Status >= http.StatusInternalServerError:
		x.executions++
		return x.serverError(response)
	case response.Status < http.StatusMultipleChoices && (!response.Metadata.Signed || response.Header.Get("Content-Encoding") != ""):
		x.executions++
		return x.responseFailure(errUnsigned)
	}
	x.executions++
	if isStream(response) {
		return x.forwardStream(response)
	}
	if x.responseStarted {
		return x.responseFailure(errNotStream)
	}
	return x.forwardBuffered(response)
}

var (
	errUnsigned    = errors.New("successful response is unsigned or content-encoded")
	errNotStream   = errors.New("response to a resumed request is not an event stream")
	errNotExecuted = errors.New("upstream did not execute the request")
)

func (x *exchange) notExecuted(response *connector.Response) *failure {
	failed := &failure{err: errNotExecuted, reason: refuser.QueueFull, outcome: balancer.Full}
	failed.Phase, failed.Overloaded = retrier.NotSent, true
	if x.responseStarted {
		failed.Phase = retrier.Partial
		failed.Resumable = x.route.Resumable
	}
	if response.Status == http.StatusMisdirectedRequest {
		failed.outcome, failed.reason, failed.Overloaded = balancer.Misdirected, refuser.NoUpstream, false
	}
	drain(response)
	return failed
}

// serverError stores an upstream's signed 5xx response. It is forwarded to the caller if
// the request may not be executed again or no other attempt succeeds.
func (x *exchange) serverError(response *connector.Response) *failure {
	failed := x.responseFailure(errors.New("upstream responded with " + http.StatusText(response.Status)))
	if x.responseStarted {
		return failed
	}
	buffered, err := x.forwarder.readResponse(response)
	if err != nil {
		buffered.release()
		failed.err = err
		return failed
	}
	if response.Metadata.Signed {
		x.serverErrorResponse.release()
		x.serverErrorResponse = buffered
		return failed
	}
	buffered.release()
	return failed
}

// responseFailure classifies a response that is incomplete or invalid.
func (x *exchange) responseFailure(err error) *failure {
	failed := &failure{err: err, reason: refuser.UpstreamFailed, outcome: balancer.Failed}
	failed.Phase, failed.Repeatable, failed.Resumable = retrier.NoResponse, x.route.AllowsReexecution(), x.route.Resumable
	if x.responseStarted {
		failed.Phase, failed.reason = retrier.Partial, refuser.StreamBroken
	}
	return failed
}

// isStream reports whether a response is an event stream, which is forwarded event by
// event.
func isStream(response *connector.Response) bool {
	if response.Status != http.StatusOK {
		return false
	}
	return framer.IsEventStream(response.Header)
}
