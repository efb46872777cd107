package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"laburnumline/refuser"
)

// fieldError names the field of a request that is not allowed to have its value.
type fieldError struct {
	field string
	value string
}

// Error returns the field and its value.
func (e *fieldError) Error() string { return fmt.Sprintf("%s is %q", e.field, e.value) }

// headerShouldRetry tells OpenAI-compatible clients whether to repeat a refused
// request by themselves. They repeat it without its Idempotency-Key, so that
// they are told to only where the request did not run.
const headerShouldRetry = "X-Should-Retry"

// maxShownValue is the part of a wrong value that a refusal repeats, in bytes.
const maxShownValue = 200

func badField(field, value, allowed string, args ...any) *refuser.Refusal {
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	cause := &fieldError{field: field, value: value}
	detail := fmt.Sprintf("%s, allowed: %s", cause, fmt.Sprintf(allowed, args...))
	return refuser.New(refuser.BadRequest, "check").WithDetail("%s", detail).WithCause(cause)
}

// engineError is an error in the form that OpenAI-compatible clients parse.
type engineError struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Param is the field that is wrong, or null.
	Param        *string `json:"param"`
	Ran          string  `json:"ran"`
	Reason       string  `json:"reason"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

func engineErrorOf(r *refuser.Refusal) engineError {
	body := errorBody{
		Message:      message(r),
		Type:         errorType(r.Reason),
		Code:         r.Reason.String(),
		Ran:          r.Execution.String(),
		Reason:       r.Reason.String(),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	if field := fieldOf(r); field != "" {
		body.Param = &field
	}
	return engineError{Error: body}
}

func fieldOf(r *refuser.Refusal) string {
	if cause, ok := r.Err.(*fieldError); ok {
		return cause.field
	}
	return ""
}

// message returns a sentence for the caller, without internal causes.
func message(r *refuser.Refusal) string {
	if r.Detail != "" {
		return r.Detail
	}
	return fmt.Sprintf("the request was refused: %s", r.Reason)
}

func errorType(reason refuser.Reason) string {
	switch status := reason.Status(); {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusPaymentRequired:
		return "insufficient_quota"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeEngineError(w http.ResponseWriter, r *refuser.Refusal) {
	writeRefusal(w, r.Reason.Status(), r, "application/json", engineErrorOf(r))
}

// problem is a refusal as RFC 9457 problem details.
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	Reason       string `json:"reason"`
	Ran          string `json:"ran"`
	Field        string `json:"field,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func writeProblem(w http.ResponseWriter, r *refuser.Refusal) {
	writeProblemStatus(w, r.Reason.Status(), r)
}

func writeProblemStatus(w http.ResponseWriter, status int, r *refuser.Refusal) {
	writeRefusal(w, status, r, "application/problem+json", problem{
		Type:         "about:blank",
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       message(r),
		Reason:       r.Reason.String(),
		Ran:          r.Execution.String(),
		Field:        fieldOf(r),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	})
}

func writeRefusal[T any](w http.ResponseWriter, status int, r *refuser.Refusal, contentType string, body T) {
	raw, err := json.Marshal(body)
	if err != nil {
		raw = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(r.RetryAfter), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	h.Set(headerShouldRetry, strconv.FormatBool(r.RetryAfter > 0 && r.Execution == refuser.NotExecuted))
	if r.Reason == refuser.Unauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func wholeSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }
