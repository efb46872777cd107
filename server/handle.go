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

// Request and response headers of the callers' interface.
const (
	// HeaderIdempotencyKey names a request, so that a retry with the same name is
	// recognized. Responses repeat it, or hold the name that the server generated.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the longest duration of a request, for example 30s.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderMinOutput is the smallest max_tokens that the caller accepts if its budget
	// does not cover the requested one.
	HeaderMinOutput = "X-Least-Output"
	// HeaderRequestID is the request key, which the server derives from the client
	// account and the idempotency key.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed is true on a stored response of an earlier call.
	HeaderReplayed = "Idempotency-Replayed"
)

const (
	maxIdempotencyKeyBytes = 255
	minTimeout             = time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that a stopping daemon refuses.
	// The retry reaches another daemon.
	stoppingRetryAfter = time.Second
)

// request is an authenticated request with its headers checked and its body read.
type request struct {
	http              *http.Request
	writer            http.ResponseWriter
	identity          conductor.Identity
	key               contractor.RequestKey
	hasIdempotencyKey bool
	deadline          time.Time
	writeDeadline     *writeDeadline
	body              []byte
}

// handler writes the response of a request, or returns the error with which the server
// refuses it.
type handler func(ctx context.Context, r *request) error

// refusalWriter writes a refusal as the complete HTTP response.
type refusalWriter func(w http.ResponseWriter, r *refuser.Refusal)

// engineHandler serves a path whose refusals have the format of OpenAI API errors.
func (s *Server) engineHandler(h handler) http.HandlerFunc { return s.serve(h, writeOpenAIError) }

// serviceHandler serves a path whose refusals are RFC 9457 problem details.
func (s *Server) serviceHandler(h handler) http.HandlerFunc { return s.serve(h, writeProblemDetails) }

func (s *Server) serve(h handler, write refusalWriter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		// A reused connection still has the write deadline of its previous request.
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
		return refuser.New(refuser.Stopping, "admit").WithRetryAfter(stoppingRetryAfter).WithDetail("the daemon is stopping")
	}
	deadline, err := s.requestDeadline(r)
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
	request.writeDeadline = newWriteDeadline(w, r, s.config.WriteTimeout)
	if err := request.setKey(); err != nil {
		return err
	}
	if err := s.readBody(request); err != nil {
		return err
	}
	return h(ctx, request)
}

func (s *Server) requestDeadline(r *http.Request) (time.Time, error) {
	now := time.Now()
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return now.Add(s.config.DefaultTimeout), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout < minTimeout || timeout > s.config.MaxTimeout {
		return now, invalidField(HeaderTimeout, text, "a duration such as 30s, from %s to %s", minTimeout, s.config.MaxTimeout)
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

// setKey derives the request key from the caller's Idempotency-Key, or from a random one
// if the caller sent none, and reports both in the response headers.
func (r *request) setKey() error {
	values := r.http.Header.Values(HeaderIdempotencyKey)
	idempotencyKey := ""
	switch len(values) {
	case 0:
		idempotencyKey = uuid.NewString()
	case 1:
		idempotencyKey = values[0]
		r.hasIdempotencyKey = true
		if !validIdempotencyKey(idempotencyKey) {
			return invalidField(HeaderIdempotencyKey, idempotencyKey, "1 to %d printable ASCII characters", maxIdempotencyKeyBytes)
		}
	default:
		return invalidField(HeaderIdempotencyKey, strings.Join(values, ", "), "a single value")
	}
	r.key = contractor.NewRequestKey(r.account(), idempotencyKey)
	r.writer.Header().Set(HeaderIdempotencyKey, idempotencyKey)
	r.writer.Header().Set(HeaderRequestID, r.key.String())
	return nil
}

func (r *request) account() contractor.Account {
	if r.identity.Contract == nil {
		return ""
	}
	return r.identity.Contract.Account
}

func validIdempotencyKey(text string) bool {
	if text == "" || len(text) > maxIdempotencyKeyBytes {
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
	limit := s.config.MaxBodyBytes
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

// refusalOf returns err as a refusal. Any other error becomes a refusal that says that
// the request may have been executed.
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
