package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/refuser"
)

// The headers between callers and the server.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Request-Timeout"
	HeaderLeastOutput    = "X-Least-Output"
	HeaderRequestID      = "X-Request-Id"
	HeaderReplayed       = "Idempotency-Replayed"
)

const (
	maxIdempotencyKey = 255 // characters
	shortestDeadline  = time.Millisecond
	// stoppingRetry is the time after which another daemon can be asked.
	stoppingRetry = time.Second
)

// request is one checked request of a caller.
type request struct {
	http     *http.Request
	writer   http.ResponseWriter
	identity conductor.Identity
	key      contractor.RequestKey
	keyGiven bool
	deadline time.Time
	limit    *writeLimit
	body     []byte
}

// handler answers one request or returns the error to refuse it with.
type handler func(ctx context.Context, r *request) error

// refusalWriter writes a refusal as the whole answer.
type refusalWriter func(w http.ResponseWriter, r *refuser.Refusal)

// engine serves a path whose refusals have the form of OpenAI-compatible errors.
func (s *Server) engine(h handler) http.HandlerFunc { return s.serve(h, writeEngineError) }

// plain serves a path whose refusals are problem details.
func (s *Server) plain(h handler) http.HandlerFunc { return s.serve(h, writeProblem) }

func (s *Server) serve(h handler, write refusalWriter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		// A kept connection still has the deadline of the request before.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		err := s.admit(w, r, h)
		if err == nil {
			return
		}
		refusal := refusalOf(r.Context(), err)
		s.config.Recorder.CountRefusal(refusal.Reason)
		write(w, refusal)
	}
}

func (s *Server) admit(w http.ResponseWriter, r *http.Request, h handler) error {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		return refuser.New(refuser.Stopping, "admit").WithRetryAfter(stoppingRetry).WithDetail("the daemon is stopping")
	}
	deadline, err := s.deadline(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	identity, err := s.authenticate(ctx, r)
	if err != nil {
		return err
	}
	request := &request{http: r, writer: w, identity: identity, deadline: deadline}
	request.limit = newWriteLimit(w, r, s.config.WriteTimeout)
	if err := request.name(); err != nil {
		return err
	}
	if err := s.readBody(request); err != nil {
		return err
	}
	return h(ctx, request)
}

func (s *Server) deadline(r *http.Request) (time.Time, error) {
	now := time.Now()
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return now.Add(s.config.DefaultDeadline), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout < shortestDeadline || timeout > s.config.LongestDeadline {
		return now, badField(HeaderTimeout, text, "a duration such as 30s, from %s to %s", shortestDeadline, s.config.LongestDeadline)
	}
	return now.Add(timeout), nil
}

func (s *Server) authenticate(ctx context.Context, r *http.Request) (conductor.Identity, error) {
	scheme, bearer, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	bearer = strings.TrimSpace(bearer)
	if !strings.EqualFold(scheme, "Bearer") || bearer == "" {
		return conductor.Identity{}, refuser.New(refuser.Unauthorized, "authenticate").
			WithDetail("header Authorization is missing or not of the form: Bearer KEY")
	}
	return s.config.Conductor.Authenticate(ctx, bearer)
}

// name derives the request's key from the caller's Idempotency-Key.
func (r *request) name() error {
	given := r.http.Header.Values(HeaderIdempotencyKey)
	name := ""
	switch len(given) {
	case 0:
		name = uuid.NewString()
	case 1:
		name = given[0]
		r.keyGiven = true
		if !printable(name) {
			return badField(HeaderIdempotencyKey, name, "1 to %d printable ASCII characters", maxIdempotencyKey)
		}
	default:
		return badField(HeaderIdempotencyKey, strings.Join(given, ", "), "a single value")
	}
	r.key = contractor.NewRequestKey(r.account(), name)
	r.writer.Header().Set(HeaderIdempotencyKey, name)
	r.writer.Header().Set(HeaderRequestID, r.key.String())
	return nil
}

func (r *request) account() contractor.Account {
	if r.identity.Contract == nil {
		return ""
	}
	return r.identity.Contract.Account
}

func printable(text string) bool {
	if text == "" || len(text) > maxIdempotencyKey {
		return false
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

func (s *Server) readBody(r *request) error {
	limit := s.config.MaxBody
	if r.http.ContentLength > limit {
		return tooLarge(limit)
	}
	control := http.NewResponseController(r.writer)
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	var buf bytes.Buffer
	if r.http.ContentLength > 0 {
		buf.Grow(int(r.http.ContentLength) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(io.LimitReader(r.http.Body, limit+1))
	if err != nil {
		return refuser.New(refuser.BadRequest, "read").WithCause(err).WithDetail("the body did not arrive whole")
	}
	if int64(buf.Len()) > limit {
		return tooLarge(limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	r.body = buf.Bytes()
	return nil
}

func tooLarge(limit int64) error {
	return refuser.New(refuser.TooLarge, "read").WithDetail("the body exceeds the limit of %d bytes", limit)
}

// refusalOf returns the refusal for an error, which may also be one that is no
// refusal: then it is not known whether the request ran.
func refusalOf(ctx context.Context, err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	reason := refuser.Internal
	switch {
	case ctx.Err() != nil, errors.Is(err, context.Canceled):
		reason = refuser.Cancelled
	case errors.Is(err, context.DeadlineExceeded):
		reason = refuser.DeadlineExceeded
	}
	return refuser.New(reason, "serve").WithPossibleExecution().WithCause(err)
}
