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

// overSharePriority is added to the engine priority of requests of accounts that use
// more than their share. It exceeds every priority that a caller can set.
const overSharePriority = 10

// errCallerDisconnected marks the error of a stream whose sink failed because the caller
// disconnected.
var errCallerDisconnected = errors.New("caller disconnected")

// completion is the state of one engine call.
type completion struct {
	request *conductor.Completion
	sink    conductor.Sink
	query   router.Query
	digest  quarantiner.Digest
	// parts are the digests of the prefixes of the prompt that other requests may share.
	parts       []quarantiner.Digest
	reservation reserver.Reservation
	maxOutput   contractor.Tokens
	// delivered is the number of output tokens that the caller has received.
	delivered contractor.Tokens
	// software is the version of the engine that delivered the first of them.
	software string
	usage    conductor.Usage
	started  time.Time
	// admissionPriority is 1 if the account uses less than its share, otherwise 0.
	admissionPriority int
	// admissionOutcome is the result of the last attempt for the limiter.
	admissionOutcome limiter.Outcome
	// served is true once the current attempt has shown that it does not crash its upstream.
	served bool
	// sent is true once an upstream may have executed the request.
	sent    bool
	attempt int
}

// Complete runs one engine call and passes its chunks to the sink in order. It does not
// count refusals; the code that responds to the caller does.
func (x *Executor) Complete(ctx context.Context, request *conductor.Completion, sink conductor.Sink) (conductor.Usage, error) {
	budget, err := x.budgetFor(request.Identity, contractor.KindEngine, request.Model)
	if err != nil {
		return conductor.Usage{}, err
	}
	c := &completion{
		request: request, sink: sink, digest: quarantiner.DigestOf(request.Body), parts: sharedParts(request.PrefixDigests), started: time.Now(),
	}
	if err := x.checkQuarantine(c); err != nil {
		return conductor.Usage{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	admission, err := x.config.Limits.Admit(ctx, admissionRequest(request.Identity, request.Model, len(request.Body), request.Deadline))
	if err != nil {
		return conductor.Usage{}, err
	}
	defer func() { admission.Release(c.admissionOutcome) }()
	c.admissionPriority = admission.Priority
	if err := x.reserve(ctx, c, budget); err != nil {
		return conductor.Usage{}, err
	}
	err = x.runAttempts(ctx, c)
	x.config.Budgets.Settle(c.reservation, c.billedTokens())
	return c.usage, err
}

func admissionRequest(id conductor.Identity, target string, size int, deadline time.Time) limiter.Request {
	return limiter.Request{
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
	if _, verdict := x.config.Quarantine.CheckParts(c.started, c.parts); verdict == quarantiner.Quarantined {
		return refuser.New(refuser.Quarantined, "quarantine").WithDetail("requests with this beginning of the prompt have crashed the upstreams that ran them")
	}
	return nil
}

func (x *Executor) reserve(ctx context.Context, c *completion, budget contractor.BudgetID) error {
	r := c.request
	minOutput := r.MaxOutput
	if r.MinOutput > 0 {
		minOutput = min(r.MinOutput, r.MaxOutput)
	}
	reservation, err := x.config.Budgets.Reserve(ctx, reserver.Request{
		Key:           billingKey(r.Key, r.HasIdempotencyKey, r.Body),
		KeyFromCaller: r.HasIdempotencyKey,
		Budget:        budget,
		Amount:        r.PromptTokens + r.MaxOutput,
		MinAmount:     r.PromptTokens + minOutput,
	})
	if err != nil {
		return err
	}
	c.reservation = reservation
	c.maxOutput = reservation.Amount - r.PromptTokens
	return nil
}

// billingKey returns the key under which a repeatable request is billed. It depends on
// the body when the caller set the key, because requests with the same key are billed
// once: otherwise a caller could send several bodies for the price of one.
func billingKey(key contractor.RequestKey, keyFromCaller bool, body []byte) contractor.RequestKey {
	if !keyFromCaller {
		return key
	}
	hash := sha256.New()
	hash.Write(key[:])
	hash.Write(body)
	return contractor.RequestKey(hash.Sum(nil)[:len(key)])
}

// billedTokens returns the prompt tokens and the output tokens that the caller received,
// at most the reserved amount. Without output, nothing is billed.
func (c *completion) billedTokens() contractor.Tokens {
	output := max(c.usage.OutputTokens, c.delivered)
	if output == 0 {
		return 0
	}
	return min(c.usage.PromptTokens+output, c.reservation.Amount)
}

func (x *Executor) runAttempts(ctx context.Context, c *completion) error {
	account := c.request.Identity.Contract.Account
	x.config.Retries.RecordFirstAttempt(time.Now(), account, c.request.Model)
	if err := x.config.Budgets.BeginDispatch(c.reservation); err != nil {
		return err
	}
	for c.attempt = 1; ; c.attempt++ {
		err := x.runAttempt(ctx, c)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) {
			return c.newRefusal(cancelReason(ctx), "stream", err)
		}
		var failure *dispatcher.Failure
		if !errors.As(err, &failure) {
			return c.withExecution(err)
		}
		decision := x.config.Retries.Decide(time.Now(), account, c.request.Model, c.attempt, c.request.Deadline, retryFailure(failure))
		if !decision.Retry {
			return c.failureRefusal(decision, failure)
		}
		if err := sleeper.Sleep(ctx, decision.Delay); err != nil {
			return c.newRefusal(cancelReason(ctx), "retry", err)
		}
	}
}

// permits are the permits of one attempt: for the request, and for a prefix of its prompt.
type permits struct {
	request, part *quarantiner.Permit
}

// runAttempt sends the request to one upstream. The stream starts at the first token
// that the caller has not received.
func (x *Executor) runAttempt(ctx context.Context, c *completion) error {
	p, err := x.requestPermits(ctx, c)
	if err != nil {
		return err
	}
	c.query = router.Query{
		Kind:         contractor.KindEngine,
		Target:       c.request.Model,
		Zone:         x.config.Zone,
		Prefix:       c.request.PrefixDigests,
		PromptTokens: c.request.PromptTokens,
		MaxOutput:    c.maxOutput,
		Priority:     c.admissionPriority,
		Resume:       c.delivered > 0,
		Software:     c.software,
		Exclude:      c.query.Exclude,
		Exclusive:    p.request != nil && p.request.Exclusive,
		AntiAffinity: p.request != nil && !p.request.Exclusive,
	}
	if running, ok := x.config.Quarantine.RunningAt(c.digest); ok {
		c.query.Pin = running
	}
	choice, err := x.config.Routes.Choose(time.Now(), c.query)
	if err != nil {
		x.endPermits(p, "", false)
		return err
	}
	name := choice.Upstream.Name
	x.config.Quarantine.Begin(time.Now(), c.digest, name)
	firstToken, err := x.stream(ctx, c, choice.Upstream)
	crashed := crashedWithRequest(err)
	x.config.Quarantine.End(time.Now(), c.digest, name, crashed)
	if crashed && !c.served {
		x.config.Quarantine.PartsCrashed(time.Now(), c.parts, name)
	}
	x.reportCrash(c, p.request, crashed)
	x.endPermits(p, name, crashed)
	x.config.Routes.Finish(time.Now(), name, c.query, routeOutcome(ctx, err), firstToken)
	c.admissionOutcome = limiter.Outcome{TimeToFirstToken: firstToken, Overloaded: overloaded(err)}
	if err != nil {
		c.query.Exclude = append(c.query.Exclude, name)
	}
	return err
}

// requestPermits obtains the permits to run a suspected request. It refuses a quarantined
// one.
func (x *Executor) requestPermits(ctx context.Context, c *completion) (permits, error) {
	now := time.Now()
	part, verdict := x.config.Quarantine.CheckParts(now, c.parts)
	partPermit, err := x.requestPermit(ctx, c, part, verdict)
	if err != nil {
		return permits{}, err
	}
	requestPermit, err := x.requestPermit(ctx, c, c.digest, x.config.Quarantine.Check(now, c.digest))
	if err != nil {
		x.endPermit(partPermit, "", false)
		return permits{}, err
	}
	return permits{request: requestPermit, part: partPermit}, nil
}

// requestPermit returns nil if no permit is needed.
func (x *Executor) requestPermit(ctx context.Context, c *completion, d quarantiner.Digest, v quarantiner.Verdict) (*quarantiner.Permit, error) {
	switch v {
	case quarantiner.Quarantined:
		return nil, c.newRefusal(refuser.Quarantined, "quarantine", nil)
	case quarantiner.Suspect:
		permit, err := x.config.Permits.Permit(ctx, d, c.parts...)
		if err != nil {
			return nil, c.withExecution(err)
		}
		return permit, nil
	}
	return nil, nil
}

func (x *Executor) endPermits(p permits, upstream string, crashed bool) {
	x.endPermit(p.request, upstream, crashed)
	x.endPermit(p.part, upstream, crashed)
}

// reportCrash records in the store that the request crashed an upstream, unless it ran
// with a permit; endPermit records the crash then. It runs before the next attempt, so that
// every daemon knows of the crash by then.
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

// stream passes the chunks of one attempt to the sink and returns the time to the first
// token.
func (x *Executor) stream(ctx context.Context, c *completion, u contractor.Upstream) (time.Duration, error) {
	start := time.Now()
	c.served = false
	stream, err := x.config.Upstreams.CallEngine(ctx, dispatcher.EngineCall{
		Upstream:     u,
		Key:          c.request.Key,
		Attempt:      c.attempt,
		Body:         c.request.Body,
		PromptTokens: c.request.PromptTokens,
		MaxOutput:    c.maxOutput,
		ResumeOffset: c.delivered,
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
			x.recordServed(c)
			return firstToken, nil
		}
		if err != nil {
			return firstToken, err
		}
		if firstToken == 0 {
			firstToken = time.Since(start)
		}
		if time.Since(start)-firstToken >= quarantiner.OutputTime {
			x.recordServed(c)
		}
		if c.delivered == 0 {
			c.software = u.Software
		}
		if err := c.deliver(chunk); err != nil {
			return firstToken, err
		}
	}
}

// recordServed records that the current attempt does not crash its upstream.
func (x *Executor) recordServed(c *completion) {
	if !c.served {
		c.served = true
		x.config.Quarantine.PartsServed(time.Now(), c.parts)
	}
}

// maxPrefixParts limits the prefixes of a prompt that are watched for crashes: 16 KiB of text.
const maxPrefixParts = 64

// sharedParts returns the digests of the prefixes of a prompt, without the whole prompt.
func sharedParts(prefixDigests []uint64) []quarantiner.Digest {
	n := min(max(len(prefixDigests)-1, 0), maxPrefixParts)
	parts := make([]quarantiner.Digest, n)
	for i, id := range prefixDigests[:n] {
		parts[i] = quarantiner.PartDigest(id)
	}
	return parts
}

// enginePriority returns the priority for the engine, which runs lower values first. The
// caller's priority orders requests only among accounts below their share, or among those
// above it.
func (c *completion) enginePriority() int {
	if c.admissionPriority > 0 {
		return c.request.Priority
	}
	return c.request.Priority + overSharePriority
}

func (c *completion) deliver(chunk conductor.Chunk) error {
	if err := c.sink.WriteChunk(chunk); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	c.delivered = max(c.delivered, chunk.Offset+chunk.Tokens)
	return nil
}

// failureRefusal returns the refusal of a request whose failed attempt is not retried.
func (c *completion) failureRefusal(d retrier.Decision, f *dispatcher.Failure) error {
	reason := refuser.UpstreamFailed
	if c.delivered > 0 {
		reason = refuser.StreamBroken
	}
	if d.Reason == retrier.BudgetExhausted {
		reason = refuser.RetryBudgetExhausted
	}
	return c.newRefusal(reason, "dispatch", f).WithPeer(f.Upstream).WithRetryAfter(time.Second)
}

func (c *completion) newRefusal(reason refuser.Reason, step string, err error) *refuser.Refusal {
	r := refuser.New(reason, step).WithCause(err)
	if c.sent {
		r.WithPossibleExecution()
	}
	return r
}

// withExecution makes a refusal say that the request may have been executed if an
// earlier attempt was sent to an upstream.
func (c *completion) withExecution(err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && c.sent {
		return refusal.WithPossibleExecution()
	}
	return err
}
