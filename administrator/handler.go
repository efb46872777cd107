package administrator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"laburnumline/contractor"
)

// request is one authorized request.
type request struct {
	*http.Request
	operator Operator
	body     []byte
	// operation identifies a change. It is the Idempotency-Key, or random without one.
	operation string
	// hasIdempotencyKey is true if the operator sent an Idempotency-Key.
	hasIdempotencyKey bool
}

func (r *request) parameter(name string) string { return chi.URLParam(r.Request, name) }

// fingerprint returns a digest of the request. It shows whether an operation id is
// used again for a different request.
func (r *request) fingerprint() string {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+r.URL.Path+"\x00"+r.Header.Get("If-Match")+"\x00")
	_, _ = h.Write(r.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// response is the result of a successful handler.
type response struct {
	status   int
	revision contractor.Revision
	location string
	// body is encoded as JSON unless write is set.
	body  any
	write func(w http.ResponseWriter)
}

type handler func(ctx context.Context, r *request) (response, error)

// Handler returns the HTTP handler of the API.
func (a *Administrator) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.NotFound(func(w http.ResponseWriter, r *http.Request) {
		a.writeProblem(w, notFound("there is no %s", r.URL.Path))
	})
	mux.Route("/v1", func(v chi.Router) {
		a.routeContracts(v)
		a.routeUpstreams(v)
		v.Get("/claims", a.serve(Viewer, a.listClaims))
		v.Get("/claims/{account}/{key}", a.serve(Viewer, a.showClaim))
		v.Post("/claims/{account}/{key}/resolution", a.serve(Editor, a.resolveClaim))
		v.Delete("/quarantine/{digest}", a.serve(Editor, a.liftQuarantine))
		v.Get("/status", a.serve(Viewer, a.fleetStatus))
		v.Get("/changes/{section}/{revision}", a.serve(Viewer, a.changeStatus))
	})
	return mux
}

func (a *Administrator) routeContracts(v chi.Router) {
	v.Get("/contracts", a.serve(Viewer, a.listContracts))
	v.Post("/contracts", a.serve(Editor, a.createContract))
	v.Get("/contracts/{account}", a.serve(Viewer, a.getContract))
	v.Put("/contracts/{account}", a.serve(Editor, a.amendContract))
	v.Delete("/contracts/{account}", a.serve(Editor, a.retireContract))
	v.Get("/contracts/{account}/history", a.serve(Viewer, a.contractHistory))
	v.Get("/contracts/{account}/bills", a.serve(Viewer, a.exportBills))
	v.Post("/contracts/{account}/budgets/{budget}/topups", a.serve(Editor, a.topUp))
	v.Post("/contracts/{account}/budgets/{budget}/release", a.serve(Editor, a.release))
}

func (a *Administrator) routeUpstreams(v chi.Router) {
	v.Get("/upstreams", a.serve(Viewer, a.listUpstreams))
	v.Post("/upstreams", a.serve(Editor, a.joinUpstream))
	v.Get("/upstreams/{name}", a.serve(Viewer, a.getUpstream))
	v.Put("/upstreams/{name}", a.serve(Editor, a.amendUpstream))
	v.Post("/upstreams/{name}/leave", a.serve(Editor, a.leaveUpstream))
	v.Delete("/upstreams/{name}", a.serve(Editor, a.removeUpstream))
	v.Get("/upstreams/{name}/history", a.serve(Viewer, a.upstreamHistory))
}

// serve returns an HTTP handler that authorizes the request for a role, calls h and
// writes its response or problem.
func (a *Administrator) serve(role Role, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, raw *http.Request) {
		r, err := a.authorize(w, raw, role)
		if err != nil {
			a.writeProblem(w, err)
			return
		}
		resp, err := h(raw.Context(), r)
		if err != nil {
			p := problemOf(err)
			if raw.Method != http.MethodGet {
				p.Operation = r.operation
			}
			a.writeProblem(w, p)
			return
		}
		a.config.Recorder.Count("admin.answered", 1)
		resp.send(w)
	}
}

func (r response) send(w http.ResponseWriter) {
	if r.write != nil {
		r.write(w)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.revision != 0 {
		h.Set("ETag", etag(r.revision))
	}
	if r.location != "" {
		h.Set("Location", r.location)
	}
	if r.status == 0 {
		r.status = http.StatusOK
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(r.body)
}

// authorize authenticates the operator by the bearer key, checks the role and reads
// the body.
func (a *Administrator) authorize(w http.ResponseWriter, raw *http.Request, role Role) (*request, error) {
	bearer, found := strings.CutPrefix(raw.Header.Get("Authorization"), "Bearer ")
	operator, known := (*a.operators.Load())[contractor.HashKey(bearer)]
	if !found || !known {
		w.Header().Set("WWW-Authenticate", "Bearer")
		return nil, newProblem(problemUnauthorized, http.StatusUnauthorized, "the operator's key is missing or not known")
	}
	if operator.Role < role {
		return nil, newProblem(problemForbidden, http.StatusForbidden, "operator %q is a %s, this needs the role %s", operator.Name, operator.Role, role)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, raw.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	r := &request{Request: raw, operator: operator, body: body, operation: raw.Header.Get("Idempotency-Key")}
	if r.operation == "" {
		r.operation = uuid.NewString()
		return r, nil
	}
	r.hasIdempotencyKey = true
	if !contractor.ValidName(r.operation) {
		return nil, contractor.FieldErrors{{Field: "Idempotency-Key", Value: r.operation, Allowed: "1 to 64 characters of a-z, 0-9, '-', '.' and '_'"}}
	}
	return r, nil
}

// decode decodes the JSON body. An unknown field is an error.
func decode[T any](r *request) (*T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(r.body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return nil, bodyError(err)
	}
	if decoder.More() {
		return nil, newProblem(problemBadRequest, http.StatusBadRequest, "the body has more than one JSON value")
	}
	return &value, nil
}

func bodyError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return contractor.FieldErrors{{Field: typeErr.Field, Value: typeErr.Value, Allowed: typeErr.Type.String()}}
	}
	return newProblem(problemBadRequest, http.StatusBadRequest, "the body is not the expected JSON: %v", err)
}

// expectedRevision returns the revision in If-Match. If the header is missing and
// optional is true, it returns zero, which means any revision.
func (r *request) expectedRevision(optional bool) (contractor.Revision, error) {
	header := r.Header.Get("If-Match")
	if header == "" && optional {
		return 0, nil
	}
	if header == "" {
		return 0, newProblem(problemRevisionRequired, http.StatusPreconditionRequired, "If-Match with the revision that you saw is required")
	}
	revision, err := strconv.ParseInt(strings.Trim(strings.TrimPrefix(header, "W/"), `"`), 10, 64)
	if err != nil || revision <= 0 {
		return 0, contractor.FieldErrors{{Field: "If-Match", Value: header, Allowed: "the ETag of an earlier answer"}}
	}
	return contractor.Revision(revision), nil
}

// page returns the paging parameters of a list.
func (r *request) page() (after string, limit int, err error) {
	limit = defaultPageSize
	if text := r.URL.Query().Get("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPageSize {
			return "", 0, contractor.FieldErrors{{Field: "limit", Value: text, Allowed: "1 to 1000"}}
		}
	}
	return r.URL.Query().Get("after"), limit, nil
}
