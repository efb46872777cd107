// Package refuser defines the typed refusals that callers receive.
//
// A Refusal states why a request got no response, whether an upstream may have executed
// it, and when the caller may retry. A refusal with Execution equal to NotExecuted is a
// guarantee that no upstream has executed the request.
//
//	return refuser.New(refuser.BudgetExhausted, "reserve").WithRetryAfter(2 * time.Second)
package refuser

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Execution states whether an upstream may have executed a refused request.
type Execution uint8

const (
	// NotExecuted means that no upstream executed the request.
	NotExecuted Execution = iota
	// PossiblyExecuted means that an upstream may have executed the request.
	PossiblyExecuted
)

// String returns "no" or "unknown".
func (e Execution) String() string {
	if e == NotExecuted {
		return "no"
	}
	return "unknown"
}

// Reason is the reason for a refusal.
type Reason uint8

// The reasons for refusals. docs/API.md lists them for callers.
const (
	Internal Reason = iota
	BadRequest
	TooLarge
	Unauthorized
	NotCovered
	Retired
	ContractUnavailable
	ContractStale
	BudgetExhausted
	BudgetUnreachable
	RateLimited
	ConcurrencyLimited
	QueueFull
	DeadlineUnmeetable
	NoUpstream
	UpstreamFailed
	RetryBudgetExhausted
	Quarantined
	ClaimInProgress
	OutcomeUnknown
	ClaimUnavailable
	KeyReused
	Stopping
	StreamBroken
	Cancelled
	DeadlineExceeded
	NoRoute
	SlowRequest
	UpstreamLimited
	SoftwareUnknown
	Evacuated
	Overloaded
	reasonCount
)

type reasonInfo struct {
	name   string
	status int
}

var reasonInfos = [reasonCount]reasonInfo{
	Internal:             {"internal", http.StatusInternalServerError},
	BadRequest:           {"bad_request", http.StatusBadRequest},
	TooLarge:             {"too_large", http.StatusRequestEntityTooLarge},
	Unauthorized:         {"unauthorized", http.StatusUnauthorized},
	NotCovered:           {"not_covered", http.StatusForbidden},
	Retired:              {"retired", http.StatusForbidden},
	ContractUnavailable:  {"contract_unavailable", http.StatusServiceUnavailable},
	ContractStale:        {"contract_stale", http.StatusServiceUnavailable},
	BudgetExhausted:      {"budget_exhausted", http.StatusPaymentRequired},
	BudgetUnreachable:    {"budget_unreachable", http.StatusServiceUnavailable},
	RateLimited:          {"rate_limited", http.StatusTooManyRequests},
	ConcurrencyLimited:   {"concurrency_limited", http.StatusTooManyRequests},
	QueueFull:            {"queue_full", http.StatusServiceUnavailable},
	DeadlineUnmeetable:   {"deadline_unmeetable", http.StatusServiceUnavailable},
	NoUpstream:           {"no_upstream", http.StatusServiceUnavailable},
	UpstreamFailed:       {"upstream_failed", http.StatusBadGateway},
	RetryBudgetExhausted: {"retry_budget_exhausted", http.StatusServiceUnavailable},
	Quarantined:          {"quarantined", http.StatusUnprocessableEntity},
	ClaimInProgress:      {"claim_in_progress", http.StatusConflict},
	OutcomeUnknown:       {"outcome_unknown", http.StatusConflict},
	ClaimUnavailable:     {"claim_unavailable", http.StatusServiceUnavailable},
	KeyReused:            {"key_reused", http.StatusUnprocessableEntity},
	Stopping:             {"stopping", http.StatusServiceUnavailable},
	StreamBroken:         {"stream_broken", http.StatusBadGateway},
	Cancelled:            {"cancelled", 499},
	DeadlineExceeded:     {"deadline_exceeded", http.StatusGatewayTimeout},
	NoRoute:              {"no_route", http.StatusNotFound},
	SlowRequest:          {"slow_request", http.StatusRequestTimeout},
	UpstreamLimited:      {"upstream_limited", http.StatusServiceUnavailable},
	SoftwareUnknown:      {"software_unknown", http.StatusServiceUnavailable},
	Evacuated:            {"evacuated", http.StatusServiceUnavailable},
	Overloaded:           {"overloaded", http.StatusServiceUnavailable},
}

// String returns the name used in responses and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonInfos[r].name
}

// Status returns the HTTP status of the reason.
func (r Reason) Status() int {
	if r >= reasonCount {
		return http.StatusInternalServerError
	}
	return reasonInfos[r].status
}

// Reasons returns every reason.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Refusal is the error of a request that gets no complete response.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// RetryAfter is the time after which the caller may retry. Zero means that the same
	// request will be refused again.
	RetryAfter time.Duration
	// Step is the processing step at which the request was refused.
	Step string
	// Peer is the daemon, upstream or store address involved. It may be empty.
	Peer string
	// Detail is an explanation for the caller.
	Detail string
	// Err is the underlying error. It may be nil.
	Err error
}

// New returns a refusal of a request that no upstream has executed.
func New(reason Reason, step string) *Refusal {
	return &Refusal{Reason: reason, Step: step}
}

// WithRetryAfter sets the time after which the caller may retry. It returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// WithDetail sets the explanation for the caller. It returns r.
func (r *Refusal) WithDetail(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)
	return r
}

// WithPeer sets the daemon, upstream or store address involved. It returns r.
func (r *Refusal) WithPeer(peer string) *Refusal {
	r.Peer = peer
	return r
}

// WithCause sets the underlying error. It returns r.
func (r *Refusal) WithCause(err error) *Refusal {
	r.Err = err
	return r
}

// WithPossibleExecution sets Execution to PossiblyExecuted. It returns r.
func (r *Refusal) WithPossibleExecution() *Refusal {
	r.Execution = PossiblyExecuted
	return r
}

// Error returns reason, step, peer, detail and cause.
func (r *Refusal) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: refused: %s (ran: %s)", r.Step, r.Reason, r.Execution)
	if r.Peer != "" {
		fmt.Fprintf(&b, " at %s", r.Peer)
	}
	if r.Detail != "" {
		fmt.Fprintf(&b, ": %s", r.Detail)
	}
	if r.Err != nil {
		fmt.Fprintf(&b, ": %v", r.Err)
	}
	return b.String()
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Err }
