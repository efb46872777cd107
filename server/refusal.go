package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"laburnumline/refuser"
)

// fieldError is the cause of a refusal for an invalid field of the request.
type fieldError struct {
	field string
	value string
}

// Error returns the field and its value.
func (e *fieldError) Error() string { return fmt.Sprintf("%s is %q", e.field, e.value) }

// headerShouldRetry tells OpenAI-compatible clients whether to retry a refused request
// automatically. They retry without the Idempotency-Key, so the retry is a new request.
// The header is therefore true only if the refused request was not executed.
const headerShouldRetry = "X-Should-Retry"

// maxShownValueBytes is the length to which a refusal truncates the invalid value.
const maxShownValueBytes = 200

// invalidField returns a refusal that names the field, its value and what is allowed.
func invalidField(field, value, allowed string, args ...any) *refuser.Refusal {
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes] + "..."
	}
	cause := &fieldError{field: field, value: value}
	detail := fmt.Sprintf("%s, allowed: %s", cause, fmt.Sprintf(allowed, args...))
	return refuser.New(refuser.BadRequest, "check").WithDetail("%s", detail).WithCause(cause)
}

// openAIError is a refusal in the format of OpenAI API errors.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}

type openAIErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Param is the name of the invalid field, or null.
	Param        *string `json:"param"`
	Ran          string  `json:"ran"`
	Reason       string  `json:"reason"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

func newOpenAIError(r *refuser.Refusal) openAIError {
	body := openAIErrorBody{
		Message:      refusalMessage(r),
		Type:         openAIErrorType(r.Reason),
		Code:         r.Reason.String(),
		Ran:          r.Execution.String(),
		Reason:       r.Reason.String(),
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}
	if field := invalidFieldName(r); field != "" {
		body.Param = &field
	}
	return openAIError{Error: body}
}

func invalidFieldName(r *refuser.Refusal) string {
	if cause, ok := r.Err.(*fieldError); ok {
		return cause.field
	}
	return ""
}

// refusalMessage returns the explanation for the caller. It does not reveal the internal
// cause.
func refusalMessage(r *refuser.Refusal) string {
	if r.Detail != "" {
		return r.Detail
	}
	return fmt.Sprintf("the request was refused: %s", r.Reason)
}

func openAIErrorType(reason refuser.Reason) string {
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

func writeOpenAIError(w http.ResponseWriter, r *refuser.Refusal) {
	writeRefusal(w, r.Reason.Status(), r, "application/json", newOpenAIError(r))
}

// problemDetails is a refusal in the format of RFC 9457.
type problemDetails struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	Reason       string `json:"reason"`
	Ran          string `json:"ran"`
	Field        string `json:"field,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func writeProblemDetails(w http.ResponseWriter, r *refuser.Refusal) {
	writeProblemWithStatus(w, r.Reason.Status(), r)
}

func writeProblemWithStatus(w http.ResponseWriter, status int, r *refuser.Refusal) {
	writeRefusal(w, status, r, "application/problem+json", problemDetails{
		Type:         "about:blank",
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       refusalMessage(r),
		Reason:       r.Reason.String(),
		Ran:          r.Execution.String(),
		Field:        invalidFieldName(r),
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
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(r.RetryAfter), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	h.Set(headerShouldRetry, strconv.FormatBool(r.RetryAfter > 0 && r.Execution == refuser.NotExecuted))
	if r.Reason == refuser.Unauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }
