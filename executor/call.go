package executor

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"time"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/dispatcher"
	"laburnumline/limiter"
	"laburnumline/refuser"
	"laburnumline/reserver"
	"laburnumline/router"
	"laburnumline/sleeper"
)

// Call runs one call of a plain service and returns its whole response.
func (x *Executor) Call(ctx context.Context, call *conductor.ServiceCall) (*conductor.Response, error) {
	budget, err := x.budgetFor(call.Identity, contractor.KindService, call.Service)
	if err != nil {
		return nil, err
	}
	terms, ok := x.serviceTerms(call.Service)
	if !ok {
		return nil, refuser.New(refuser.NoUpstream, "contract").WithRetryAfter(time.Second).
			WithDetail("no upstream serves %q at present", call.Service)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	admission, err := x.config.Limits.Admit(ctx, admissionRequest(call.Identity, call.Service, len(call.Body), call.Deadline))
	if err != nil {
		return nil, err
	}
	defer admission.Release(limiter.Outcome{})
	if terms.repeatable || idempotent(call.Method) {
		return x.callRepeatable(ctx, call, budget, terms)
	}
	return x.callUnderClaim(ctx, call, budget, terms)
}

// serviceTerms holds the terms that apply to all replicas of a service.
type serviceTerms struct {
	price      contractor.Tokens
	repeatable bool
}

// serviceTerms returns the terms of a service: the highest price of its replicas, and
// repeatable only if all of them are.
func (x *Executor) serviceTerms(service string) (serviceTerms, bool) {
	terms := serviceTerms{repeatable: true}
	found := false
	for _, u := range x.config.Contracts.Upstreams() {
		if u.Kind != contractor.KindService || u.Service != service {
			continue
		}
		found = true
		terms.price = max(terms.price, u.Price)
		terms.repeatable = terms.repeatable && u.Repeatable
	}
	return terms, found
}

// idempotent reports whether RFC 9110 defines a method as idempotent.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (x *Executor) reserveCall(ctx context.Context, call *conductor.ServiceCall, key contractor.RequestKey, budget contractor.BudgetID, price contractor.Tokens) (reserver.Reservation, error) {
	return x.config.Budgets.Reserve(ctx, reserver.Request{
		Key:           key,
		KeyFromCaller: call.HasIdempotencyKey,
		Budget:        budget,
		Amount:        price,
		MinAmount:     price,
	})
}

func (x *Executor) callRepeatable(ctx context.Context, call *conductor.ServiceCall, budget contractor.BudgetID, terms serviceTerms) (*conductor.Response, error) {
	key := billingKey(call.Key, call.HasIdempotencyKey, requestBytes(call))
	reservation, err := x.reserveCall(ctx, call, key, budget, terms.price)
	if err != nil {
		return nil, err
	}
	response, err := x.runCallAttempts(ctx, call, reservation, true)
	if err != nil {
		x.config.Budgets.Settle(reservation, 0)
		return nil, err
	}
	x.config.Budgets.Settle(reservation, terms.price)
	return response, nil
}

// callUnderClaim runs a call that may not be repeated. The claim of its request key
// prevents a second execution; a stored response is returned without one.
func (x *Executor) callUnderClaim(ctx context.Context, call *conductor.ServiceCall, budget contractor.BudgetID, terms serviceTerms) (*conductor.Response, error) {
	account := call.Identity.Contract.Account
	result, err := x.config.Claims.Claim(ctx, account, call.Key, fingerprint(call))
	if err != nil {
		return nil, err
	}
	if result.Response != nil {
		return replay(result.Response), nil
	}
	reservation, err := x.reserveCall(ctx, call, call.Key, budget, terms.price)
	if err != nil {
		x.releaseClaim(result.Claim)
		return nil, err
	}
	response, err := x.runCallAttempts(ctx, call, reservation, false)
	if err == nil {
		x.config.Budgets.Settle(reservation, terms.price)
		x.storeResponse(result.Claim, response)
		return response, nil
	}
	return nil, x.endFailedCall(result.Claim, reservation, terms.price, err)
}

// endFailedCall ends the claim of a call without a response. A call that may have been
// executed is billed, because its effect may exist.
func (x *Executor) endFailedCall(claim *deduplicator.Claim, reservation reserver.Reservation, price contractor.Tokens, err error) error {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && refusal.Execution == refuser.NotExecuted {
		x.config.Budgets.Settle(reservation, 0)
		x.releaseClaim(claim)
		return err
	}
	x.config.Budgets.Settle(reservation, price)
	ctx, cancel := context.WithTimeout(context.Background(), x.config.StoreTimeout)
	defer cancel()
	if err := x.config.Claims.MarkUnknown(ctx, claim); err != nil {
		x.config.Recorder.Count("claim.unknown_not_stored", 1)
	}
	return err
}

func (x *Executor) releaseClaim(claim *deduplicator.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), x.config.StoreTimeout)
	defer cancel()
	if err := x.config.Claims.Release(ctx, claim); err != nil {
		x.config.Recorder.Count("claim.abandon_not_stored", 1)
	}
}

func (x *Executor) storeResponse(claim *deduplicator.Claim, response *conductor.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), x.config.StoreTimeout)
	defer cancel()
	if err := x.config.Claims.Complete(ctx, claim, response); err != nil {
		x.config.Recorder.Count("claim.answer_not_stored", 1)
	}
}

func replay(stored *conductor.Response) *conductor.Response {
	response := *stored
	response.Replayed = true
	return &response
}

// runCallAttempts sends the call until an upstream responds or no retry is permitted.
func (x *Executor) runCallAttempts(ctx context.Context, call *conductor.ServiceCall, reservation reserver.Reservation, repeatable bool) (*conductor.Response, error) {
	account := call.Identity.Contract.Account
	query := router.Query{Kind: contractor.KindService, Target: call.Service, Zone: x.config.Zone}
	x.config.Retries.RecordFirstAttempt(time.Now(), account, call.Service)
	if err := x.config.Budgets.BeginDispatch(reservation); err != nil {
		return nil, err
	}
	sent := false
	for attempt := 1; ; attempt++ {
		choice, err := x.config.Routes.Choose(time.Now(), query)
		if err != nil {
			return nil, callRefusal(err, sent)
		}
		response, err := x.config.Upstreams.CallService(ctx, choice.Upstream, call, attempt)
		x.config.Routes.Finish(time.Now(), choice.Upstream.Name, query, routeOutcome(ctx, err), 0)
		if err == nil {
			return response, nil
		}
		sent = sent || !notSent(err)
		query.Exclude = append(query.Exclude, choice.Upstream.Name)
		if err := x.awaitRetry(ctx, call, attempt, repeatable, sent, err); err != nil {
			return nil, err
		}
	}
}

// awaitRetry decides whether a failed attempt is retried. It returns nil after the
// backoff, or the refusal of the call.
func (x *Executor) awaitRetry(ctx context.Context, call *conductor.ServiceCall, attempt int, repeatable, sent bool, cause error) error {
	var failure *dispatcher.Failure
	if !errors.As(cause, &failure) {
		return callRefusal(cause, sent)
	}
	f := retryFailure(failure)
	f.Repeatable = repeatable
	f.Resumable = false
	decision := x.config.Retries.Decide(time.Now(), call.Identity.Contract.Account, call.Service, attempt, call.Deadline, f)
	if !decision.Retry || ctx.Err() != nil {
		reason := refuser.UpstreamFailed
		if sent && !repeatable {
			reason = refuser.OutcomeUnknown
		}
		return callRefusal(refuser.New(reason, "dispatch").WithPeer(failure.Upstream).WithRetryAfter(time.Second).WithCause(failure), sent)
	}
	if err := sleeper.Sleep(ctx, decision.Delay); err != nil {
		return callRefusal(refuser.New(cancelReason(ctx), "retry").WithCause(err), sent)
	}
	return nil
}

// callRefusal returns err as a refusal. If sent is true, the refusal says that the call
// may have been executed.
func callRefusal(err error, sent bool) error {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = refuser.New(refuser.Internal, "dispatch").WithCause(err)
	}
	if sent {
		return refusal.WithPossibleExecution()
	}
	return refusal
}

func requestBytes(call *conductor.ServiceCall) []byte {
	buffer := make([]byte, 0, len(call.Method)+len(call.Path)+len(call.Body)+2)
	buffer = append(buffer, call.Method...)
	buffer = append(buffer, 0)
	buffer = append(buffer, call.Path...)
	buffer = append(buffer, 0)
	return append(buffer, call.Body...)
}

func fingerprint(call *conductor.ServiceCall) [16]byte {
	sum := sha256.Sum256(requestBytes(call))
	return [16]byte(sum[:16])
}
