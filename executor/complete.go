package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"time"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/limiter"
	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/reserver"
	"laburnumline/retrier"
	"laburnumline/router"
	"laburnumline/sleeper"
)

// overSharePriority is added to the priority of accounts that use more than
// their share. It exceeds the priorities that callers can give.
const overSharePriority = 10

// errCallerGone marks a stream that ended because the caller stopped reading.
var errCallerGone = errors.New("caller is gone")

// completion is the state of one engine call.
type completion struct {
	request     *conductor.Completion
	sink        conductor.Sink
	query       router.Query
	digest      quarantiner.Digest
	reservation reserver.Reservation
	maxOutput   contractor.Tokens
	// passed is the number of output tokens that the caller has received.
	passed  contractor.Tokens
	usage   conductor.Usage
	started time.Time
	// admitted is 1 when the account uses less than its share, else 0.
	admitted int
	load     limiter.Outcome
	// sent is true once an upstream may have executed the request.
	sent    bool
	attempt int
}

// Complete runs one engine call and passes its chunks to the sink in order.
// Whoever answers the caller counts the refusal.
func (x *Executor) Complete(ctx context.Context, request *conductor.Completion, sink conductor.Sink) (conductor.Usage, error) {
	budget, err := x.budget(request.Identity, contractor.KindEngine, request.Model)
	if err != nil {
		return conductor.Usage{}, err
	}
	c := &completion{request: request, sink: sink, digest: quarantiner.DigestOf(request.Body), started: time.Now()}
	if err := x.checkQuarantine(c); err != nil {
		return conductor.Usage{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	admission, err := x.config.Limits.Admit(ctx, ticket(request.Identity, request.Model, len(request.Body), request.Deadline))
	if err != nil {
		return conductor.Usage{}, err
	}
	defer func() { admission.Release(c.load) }()
	c.admitted = admission.Priority
	if err := x.reserve(ctx, c, budget); err != nil {
		return conductor.Usage{}, err
	}
	err = x.runAttempts(ctx, c)
	x.config.Budgets.Settle(c.reservation, c.billed())
	return c.usage, err
}

func ticket(id conductor.Identity, target string, size int, deadline time.Time) limiter.Ticket {
	return limiter.Ticket{
		Account:  id.Contract.Account,
		Weight:   max(id.Contract.Weight, 1),
		Rate:     id.Contract.Rate,
		Target:   target,
		Bytes:    size,
		Deadline: deadline,
	}
}

func (x *Executor) checkQuarantine(c *completion) error {
	verdict := x.config.Quarantine.Check(c.started, c.digest)
	if verdict == quarantiner.Quarantined {
		return refuser.New(refuser.Quarantined, "quarantine").WithDetail("this request has crashed the upstreams that ran it")
	}
	return nil
}

func (x *Executor) reserve(ctx context.Context, c *completion, budget contractor.BudgetID) error {
	r := c.request
	least := r.MaxOutput
	if r.LeastOutput > 0 {
		least = min(r.LeastOutput, r.MaxOutput)
	}
	reservation, err := x.config.Budgets.Reserve(ctx, reserver.Request{
		Key:      billingKey(r.Key, r.KeyGiven, r.Body),
		KeyGiven: r.KeyGiven,
		Budget:   budget,
		Want:     r.PromptTokens + r.MaxOutput,
		Least:    r.PromptTokens + least,
	})
	if err != nil {
		return err
	}
	c.reservation = reservation
	c.maxOutput = reservation.Amount - r.PromptTokens
	return nil
}

// billingKey returns the key under which a repeatable request is billed. A key
// that the caller sends again with another body is another request, so that
// nobody gets several answers for the price of one.
func billingKey(key contractor.RequestKey, given bool, body []byte) contractor.RequestKey {
	if !given {
		return key
	}
	hash := sha256.New()
	hash.Write(key[:])
	hash.Write(body)
	return contractor.RequestKey(hash.Sum(nil)[:len(key)])
}

// billed returns the tokens that the caller received, within the reservation.
func (c *completion) billed() contractor.Tokens {
	output := max(c.usage.OutputTokens, c.passed)
	if output == 0 {
		return 0
	}
	return min(c.usage.PromptTokens+output, c.reservation.Amount)
}

func (x *Executor) runAttempts(ctx context.Context, c *completion) error {
	account := c.request.Identity.Contract.Account
	x.config.Retries.RecordFirstAttempt(account, c.request.Model)
	if err := x.config.Budgets.BeginDispatch(c.reservation); err != nil {
		return err
	}
	for c.attempt = 1; ; c.attempt++ {
		err := x.runAttempt(ctx, c)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return c.refuse(endReason(ctx), "stream", err)
		}
		var failure *dispatcher.Failure
		if !errors.As(err, &failure) {
			return c.truthful(err)
		}
		decision := x.config.Retries.Decide(time.Now(), account, c.request.Model, c.attempt, c.request.Deadline, retryFailure(failure))
		if !decision.Retry {
			return c.giveUp(decision, failure)
		}
		if err := sleeper.Sleep(ctx, decision.Delay); err != nil {
			return c.refuse(endReason(ctx), "retry", err)
		}
	}
}

// runAttempt sends the request to one upstream, from the first token that the
// caller has not received yet.
func (x *Executor) runAttempt(ctx context.Context, c *completion) error {
	permit, err := x.permit(ctx, c)
	if err != nil {
		return err
	}
	c.query = router.Query{
		Kind:         contractor.KindEngine,
		Target:       c.request.Model,
		Zone:         x.config.Zone,
		Prefix:       c.request.Prefix,
		PromptTokens: c.request.PromptTokens,
		MaxOutput:    c.maxOutput,
		Priority:     c.admitted,
		Exclude:      c.query.Exclude,
		Exclusive:    permit != nil && permit.Exclusive,
		AntiAffinity: permit != nil && !permit.Exclusive,
	}
	if running, ok := x.config.Quarantine.RunningAt(c.digest); ok {
		c.query.Pin = running
	}
	choice, err := x.config.Routes.Choose(time.Now(), c.query)
	if err != nil {
		x.endPermit(permit, "", false)
		return err
	}
	name := choice.Upstream.Name
	x.config.Quarantine.Begin(time.Now(), c.digest, name)
	firstToken, err := x.stream(ctx, c, choice.Upstream)
	x.config.Quarantine.End(time.Now(), c.digest, name, blamed(err))
	x.reportCrash(c, permit, blamed(err))
	x.endPermit(permit, name, blamed(err))
	x.config.Routes.Finish(time.Now(), name, c.query, outcome(ctx, err), firstToken)
	c.load = limiter.Outcome{FirstToken: firstToken, Overloaded: overloaded(err)}
	if err != nil {
		c.query.Exclude = append(c.query.Exclude, name)
	}
	return err
}

// permit asks for the right to run a suspected request. It returns nil for a
// request that may run beside others.
func (x *Executor) permit(ctx context.Context, c *completion) (*quarantiner.Permit, error) {
	switch x.config.Quarantine.Check(time.Now(), c.digest) {
	case quarantiner.Quarantined:
		return nil, c.refuse(refuser.Quarantined, "quarantine", nil)
	case quarantiner.Suspect:
		permit, err := x.config.Permits.Permit(ctx, c.digest)
		if err != nil {
			return nil, c.truthful(err)
		}
		return permit, nil
	}
	return nil, nil
}

// reportCrash makes the store know of a crash outside a permit before the
// request can run again.
func (x *Executor) reportCrash(c *completion, permit *quarantiner.Permit, crashed bool) {
	if !crashed || permit != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.config.StoreTimeout)
	defer cancel()
	if err := x.config.Permits.Report(ctx, c.digest); err != nil {
		x.config.Recorder.Count("crash.report_not_stored", 1)
	}
}

func (x *Executor) endPermit(permit *quarantiner.Permit, upstream string, crashed bool) {
	if permit == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), x.config.StoreTimeout)
	defer cancel()
	if err := permit.End(ctx, upstream, crashed); err != nil {
		x.config.Recorder.Count("permit.end_not_stored", 1)
	}
}

// stream passes the chunks of one attempt on and returns the time to its first token.
func (x *Executor) stream(ctx context.Context, c *completion, u contractor.Upstream) (time.Duration, error) {
	begin := time.Now()
	stream, err := x.config.Upstreams.Engine(ctx, dispatcher.EngineCall{
		Upstream:     u,
		Key:          c.request.Key,
		Attempt:      c.attempt,
		Body:         c.request.Body,
		PromptTokens: c.request.PromptTokens,
		MaxOutput:    c.maxOutput,
		Offset:       c.passed,
		Priority:     c.enginePriority(),
	})
	if err != nil {
		c.sent = c.sent || !notSent(err)
		return 0, err
	}
	c.sent = true
	defer func() {
		c.usage.PromptTokens = stream.Usage().PromptTokens
		_ = stream.Close()
	}()
	var firstToken time.Duration
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			c.usage = stream.Usage()
			return firstToken, nil
		}
		if err != nil {
			return firstToken, err
		}
		if firstToken == 0 {
			firstToken = time.Since(begin)
		}
		if err := c.pass(chunk); err != nil {
			return firstToken, err
		}
	}
}

// enginePriority returns the priority for the engine, where lower values run
// first. A caller's own priorities count among the requests of accounts that
// use as much of their share.
func (c *completion) enginePriority() int {
	if c.admitted > 0 {
		return c.request.Priority
	}
	return c.request.Priority + overSharePriority
}

func (c *completion) pass(chunk conductor.Chunk) error {
	if err := c.sink.Chunk(chunk); err != nil {
		return errors.Join(errCallerGone, err)
	}
	c.passed = max(c.passed, chunk.Offset+chunk.Tokens)
	return nil
}

func (c *completion) giveUp(d retrier.Decision, f *dispatcher.Failure) error {
	reason := refuser.UpstreamFailed
	if c.passed > 0 {
		reason = refuser.StreamBroken
	}
	if d.Reason == retrier.BudgetExhausted {
		reason = refuser.RetryBudgetExhausted
	}
	return c.refuse(reason, "dispatch", f).WithPeer(f.Upstream).WithRetryAfter(time.Second)
}

func (c *completion) refuse(reason refuser.Reason, step string, err error) *refuser.Refusal {
	r := refuser.New(reason, step).WithCause(err)
	if c.sent {
		r.WithPossibleExecution()
	}
	return r
}

// truthful corrects what a refusal says of an earlier attempt.
func (c *completion) truthful(err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && c.sent {
		return refusal.WithPossibleExecution()
	}
	return err
}
