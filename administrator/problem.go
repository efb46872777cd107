package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/persister"
)

// Outcome is the effect of a request that failed.
type Outcome string

const (
	// NotChanged means that nothing was changed.
	NotChanged Outcome = "not_changed"
	// OutcomeUnknown means that the change may have been made. The operator finds out
	// by a retry with the operation id as Idempotency-Key.
	OutcomeUnknown Outcome = "unknown"
)

// Problem is the error response to a request, in the format of RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Operation is the operation id of a change. It is empty for reads and for requests
	// that were not authorized.
	Operation string `json:"operation,omitempty"`
	// Fields lists every invalid field of the request.
	Fields contractor.FieldErrors `json:"fields,omitempty"`
	// Contract or Upstream is the current state after a conflict.
	Contract *ContractState `json:"contract,omitempty"`
	Upstream *UpstreamState `json:"upstream,omitempty"`
}

// Error returns the title and the detail.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// Values of Problem.Type.
const (
	problemBadRequest       = "bad_request"
	problemInvalid          = "invalid"
	problemUnauthorized     = "unauthorized"
	problemForbidden        = "forbidden"
	problemNotFound         = "not_found"
	problemExists           = "exists"
	problemChanged          = "changed"
	problemRevisionRequired = "revision_required"
	problemRetired          = "retired"
	problemKeyTaken         = "key_taken"
	problemKeyReused        = "idempotency_key_reused"
	problemZoneBehind       = "zone_behind"
	problemNotCovered       = "not_covered"
	problemNotUnknown       = "not_unknown"
	problemStoreUnavailable = "store_unavailable"
	problemStoreUnknown     = "store_outcome_unknown"
	problemNotLeaving       = "not_leaving"
	problemInternal         = "internal"
)

// ProblemTypes returns every type of problem.
func ProblemTypes() []string {
	return []string{
		problemBadRequest, problemInvalid, problemUnauthorized, problemForbidden, problemNotFound,
		problemExists, problemChanged, problemRevisionRequired, problemRetired, problemKeyTaken,
		problemKeyReused, problemZoneBehind, problemNotCovered, problemNotUnknown, problemStoreUnavailable, problemStoreUnknown,
		problemNotLeaving, problemInternal,
	}
}

func newProblem(problemType string, status int, format string, args ...any) *Problem {
	return &Problem{
		Type:    problemType,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: NotChanged,
	}
}

func notFound(format string, args ...any) *Problem {
	return newProblem(problemNotFound, http.StatusNotFound, format, args...)
}

// problemOf converts an error to a Problem.
func problemOf(err error) *Problem {
	var p *Problem
	var fields contractor.FieldErrors
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &fields):
		p := newProblem(problemInvalid, http.StatusBadRequest, "%v", err)
		p.Fields = fields
		return p
	case errors.As(err, &tooLarge):
		return newProblem(problemBadRequest, http.StatusRequestEntityTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, persister.ErrUnknown):
		p := newProblem(problemStoreUnknown, http.StatusServiceUnavailable, "the store's answer was lost: %v", err)
		p.Outcome = OutcomeUnknown
		return p
	case errors.Is(err, persister.ErrUnavailable), errors.Is(err, persister.ErrThrottled):
		return newProblem(problemStoreUnavailable, http.StatusServiceUnavailable, "%v", err)
	case errors.Is(err, persister.ErrConflict):
		return newProblem(problemChanged, http.StatusConflict, "others change the same values all the time: %v", err)
	case errors.Is(err, persister.ErrInvalid):
		return newProblem(problemInvalid, http.StatusBadRequest, "%v", err)
	}
	return domainProblem(err)
}

// domainProblem converts errors of packages biller and deduplicator. Any other error is
// an internal one.
func domainProblem(err error) *Problem {
	switch {
	case errors.Is(err, biller.ErrNoLedger), errors.Is(err, biller.ErrNoBudget):
		return notFound("%v", err)
	case errors.Is(err, biller.ErrNotCovered), errors.Is(err, biller.ErrAmount):
		return newProblem(problemNotCovered, http.StatusUnprocessableEntity, "%v", err)
	case errors.Is(err, biller.ErrBehind):
		return newProblem(problemZoneBehind, http.StatusConflict, "%v", err)
	case errors.Is(err, biller.ErrTopUpReused):
		return newProblem(problemKeyReused, http.StatusUnprocessableEntity, "%v", err)
	case errors.Is(err, deduplicator.ErrNotFound):
		return notFound("%v", err)
	case errors.Is(err, deduplicator.ErrNotUnknown):
		return newProblem(problemNotUnknown, http.StatusConflict, "%v", err)
	}
	return newProblem(problemInternal, http.StatusInternalServerError, "%v", err)
}

// etag returns the entity tag for a revision.
func etag(revision contractor.Revision) string {
	return strconv.Quote(strconv.FormatInt(int64(revision), 10))
}

func (a *Administrator) writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	a.config.Recorder.Count("admin.refused."+p.Type, 1)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	switch {
	case p.Contract != nil:
		h.Set("ETag", etag(p.Contract.Revision))
	case p.Upstream != nil:
		h.Set("ETag", etag(p.Upstream.Revision))
	}
	if p.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
