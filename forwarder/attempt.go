package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"laburnumline/connector"
	"laburnumline/placer"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/retrier"
	"laburnumline/sleeper"
)

// failure is an attempt that did not end the request.
type failure struct {
	retrier.Failure
	err error
	// broken is true when the upstream broke off while it had the request.
	broken bool
	// reason is that of the refusal if there is no further attempt.
	reason refuser.Reason
	// learnt is what the placer hears about the upstream.
	learnt placer.Outcome
}

// run makes attempts until one ends the request. It returns why none did.
func (x *exchange) run(ctx context.Context) *refuser.Refusal {
	f := x.forwarder.config
	target := string(x.service.Name)
	f.Retries.Begin(x.accountName(), target)
	for attempt := 1; ; attempt++ {
		now := time.Now()
		choice, ok := f.Placer.Choose(now, x.query())
		if !ok {
			return x.ended(refuser.New(refuser.NoUpstream, "choose").After(retrySoon))
		}
		failed := x.attempt(ctx, choice)
		if failed == nil {
			return nil
		}
		f.Recorder.Event(recorder.AttemptFailed, "id", x.request.ID, "upstream", choice.Upstream.Name,
			"service", x.service.Name, "attempt", attempt, "phase", failed.Phase, "outcome", failed.learnt,
			"took", time.Since(now), "left", time.Until(x.deadline), "err", failed.err)
		if ctx.Err() != nil {
			return x.stopped(ctx, choice)
		}
		refusal := refuser.New(failed.reason, "forward").At(string(choice.Upstream.Name)).Because(failed.err).After(retryFull)
		if !x.mayGoOn(failed) {
			return x.ended(refusal)
		}
		decision := f.Retries.Decide(time.Now(), x.accountName(), target, attempt, x.deadline, failed.Failure)
		if !decision.Retry {
			return x.ended(refusal)
		}
		x.tried = append(x.tried, choice.Upstream.Name)
		if decision.Resume {
			f.Recorder.Event(recorder.StreamResumed, "id", x.request.ID, "after", x.lastEvent, "from", choice.Upstream.Name)
		}
		if sleeper.Sleep(ctx, decision.Delay) != nil {
			return x.stopped(ctx, choice)
		}
	}
}

// mayGoOn reports whether the route allows one more upstream.
func (x *exchange) mayGoOn(failed *failure) bool {
	if failed.Phase == retrier.NotSent {
		return x.sends < x.route.Attempts+maxNotRun && x.runs < x.route.Attempts
	}
	return x.runs < x.route.Attempts
}

// ended makes a refusal truthful: after a run nothing is promised.
func (x *exchange) ended(refusal *refuser.Refusal) *refuser.Refusal {
	if x.runs > 0 {
		return refusal.MayHaveRun()
	}
	return refusal
}

// stopped is the refusal after the caller left or the deadline passed.
func (x *exchange) stopped(ctx context.Context, choice placer.Choice) *refuser.Refusal {
	reason := refuser.Cancelled
	if errors.Is(context.Cause(ctx), errDeadline) {
		reason = refuser.DeadlineExceeded
	}
	return x.ended(refuser.New(reason, "forward").At(string(choice.Upstream.Name)).Because(context.Cause(ctx)))
}

func (x *exchange) query() placer.Query {
	return placer.Query{
		Candidates: x.forwarder.config.Upstreams.Of(x.service.Name),
		Parts:      x.request.Parts,
		Engine:     x.service.Engine,
		Tokens:     int64(x.request.Prompt),
		Exclude:    x.tried,
	}
}

// attempt sends the request to one upstream. It returns nil when the request has
// its answer.
func (x *exchange) attempt(ctx context.Context, choice placer.Choice) *failure {
	f := x.forwarder.config
	result := placer.Result{Outcome: placer.Served}
	answer, err := f.Sender.Send(ctx, choice.Upstream.Address, x.call(choice))
	var failed *failure
	if err != nil {
		failed = x.sendFailure(err)
	} else {
		if answer.Metadata.HasLoad {
			result.Load = &placer.Load{Running: answer.Metadata.Running, Waiting: answer.Metadata.Waiting, Slots: answer.Metadata.Slots}
		}
		f.Placer.ResponseStarted(&choice)
		failed = x.answer(answer)
		answer.Close()
	}
	if failed != nil {
		if failed.broken && ctx.Err() == nil {
			x.suspect(choice.Upstream.Name, choice.Upstream.Address)
		}
		result.Outcome = failed.learnt
		if ctx.Err() != nil {
			result.Outcome = placer.Abandoned
		}
	}
	f.Placer.End(time.Now(), &choice, result)
	return failed
}

func (x *exchange) call(choice placer.Choice) *connector.Call {
	h := x.request.Header.Clone()
	resume := x.lastEvent
	if resume == "" {
		resume = x.request.ResumeAfter
	}
	x.forwarder.config.Mark(h, Marks{
		Left:        max(time.Until(x.deadline), time.Millisecond),
		Upstream:    choice.Upstream.Name,
		Account:     x.accountName(),
		Priority:    x.priority(),
		ResumeAfter: resume,
	})
	return &connector.Call{
		ID: x.request.ID, Method: x.request.Method, Host: x.request.Host, Target: x.request.Target,
		Header: h, Body: x.body,
	}
}

// sendFailure classifies a call without an answer.
func (x *exchange) sendFailure(err error) *failure {
	failed := &failure{err: err, reason: refuser.UpstreamFailed, learnt: placer.Failed}
	failed.Repeatable, failed.Resumable = x.route.MayRunAgain(), x.route.Resumable
	failed.Crashed = true
	var sending *connector.CallError
	if errors.As(err, &sending) && !sending.Written {
		failed.Phase = retrier.NotSent
		failed.reason = refuser.NoUpstream
		if sending.ConnectFailed {
			failed.learnt = placer.Unreachable
		}
		return failed
	}
	x.sends++
	x.runs++
	failed.broken = true
	failed.Phase = retrier.NoAnswer
	if x.begun {
		failed.Phase = retrier.Partial
	}
	return failed
}

// answer passes an answer on, or says why it does not end the request.
func (x *exchange) answer(a *connector.Response) *failure {
	x.sends++
	switch {
	case a.Metadata.NotRun || a.Status == http.StatusMisdirectedRequest:
		return x.notRun(a)
	case a.Status >= http.StatusInternalServerError:
		x.runs++
		return x.upstreamFailure(a)
	case a.Status < http.StatusMultipleChoices && (!a.Metadata.Signed || a.Header.Get("Content-Encoding") != ""):
		x.runs++
		return x.broken(errUnsigned)
	}
	x.runs++
	if x.streams(a) {
		return x.passStream(a)
	}
	if x.begun {
		return x.broken(errNotStream)
	}
	return x.passPlain(a)
}

var (
	errUnsigned  = errors.New("a success without the upstream's signature, or encoded")
	errNotStream = errors.New("a stream was to go on and another answer came")
	errNotRun    = errors.New("the upstream did not run the request")
)

func (x *exchange) notRun(a *connector.Response) *failure {
	failed := &failure{err: errNotRun, reason: refuser.QueueFull, learnt: placer.Full}
	failed.Phase, failed.Overloaded = retrier.NotSent, true
	if x.begun {
		failed.Phase = retrier.Partial
		failed.Resumable = x.route.Resumable
	}
	if a.Status == http.StatusMisdirectedRequest {
		failed.learnt, failed.reason, failed.Overloaded = placer.Misdirected, refuser.NoUpstream, false
	}
	drain(a)
	return failed
}

// upstreamFailure keeps the failure of an upstream, which is passed on when the
// request may not be repeated or no other attempt succeeds.
func (x *exchange) upstreamFailure(a *connector.Response) *failure {
	failed := x.broken(errors.New("the upstream answered " + http.StatusText(a.Status)))
	if x.begun {
		return failed
	}
	kept, err := readPlain(a)
	if err != nil {
		failed.err = err
		return failed
	}
	if a.Metadata.Signed {
		x.kept = kept
	}
	return failed
}

// broken is the failure of an answer that is not whole.
func (x *exchange) broken(err error) *failure {
	failed := &failure{err: err, reason: refuser.UpstreamFailed, learnt: placer.Failed}
	failed.Phase, failed.Repeatable, failed.Resumable = retrier.NoAnswer, x.route.MayRunAgain(), x.route.Resumable
	if x.begun {
		failed.Phase, failed.reason = retrier.Partial, refuser.StreamBroken
	}
	return failed
}

// streams reports whether an answer is passed on event by event.
func (x *exchange) streams(a *connector.Response) bool {
	if a.Status != http.StatusOK {
		return false
	}
	return slices.ContainsFunc(a.Header.Values("Content-Type"), isEventStream)
}
