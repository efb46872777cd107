package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/contractor"
)

// The headers between the dispatcher and an upstream.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderRequestLimit is the number of requests per second that an overloaded upstream accepts
	// from all daemons together.
	HeaderRequestLimit = "X-Request-Limit"
)

const (
	completionsPath = "/v1/chat/completions"
	// maxErrorBodyBytes is the maximum size of the part of an error response
	// that is kept.
	maxErrorBodyBytes = 4 << 10
)

// EngineCall is one attempt to call a model engine.
type EngineCall struct {
	Upstream contractor.Upstream
	Key      contractor.RequestKey
	// Attempt distinguishes the attempts of one request.
	Attempt int
	// Body is the request as JSON. It asks for a stream with usage.
	Body []byte
	// PromptTokens is the upper bound of the prompt's size. It is charged
	// unless the engine reports less.
	PromptTokens contractor.Tokens
	// MaxOutput is the maximum number of output tokens of the whole response,
	// including those before ResumeOffset. It replaces max_tokens in the body.
	// Zero leaves the body unchanged.
	MaxOutput contractor.Tokens
	// ResumeOffset is the number of output tokens already delivered by earlier
	// attempts.
	ResumeOffset contractor.Tokens
	// Priority is sent to the engine when it is not zero. Lower values run
	// first.
	Priority int
	// NewConnection makes the call on a new connection.
	NewConnection bool
}

// CallEngine starts a call to an engine. The error is a *Failure.
func (d *Dispatcher) CallEngine(ctx context.Context, call EngineCall) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stream{dispatcher: d, call: call, cancel: cancel, ctx: ctx, nextOffset: call.ResumeOffset}
	s.id = []byte(attemptID(call.Key, call.Attempt))
	req, err := call.request(ctx, string(s.id))
	if err != nil {
		cancel(err)
		return nil, &Failure{Upstream: call.Upstream.Name, Step: "build", Err: err}
	}
	s.watchdog.start(d.config.StallTimeout, cancel)
	sentAt := time.Now()
	resp, err := d.send(d.transportFor(call.NewConnection), req, call.Upstream.Name)
	if err != nil {
		s.watchdog.stop()
		cancel(err)
		return nil, err
	}
	d.recordLimit(resp, string(s.id), call.Upstream.Name, sentAt, call.Attempt)
	s.watchdog.toggleWait()
	s.body = resp.Body
	s.lines.init(resp.Body, d.config.MaxChunkBytes)
	if err := s.checkHeader(resp); err != nil {
		s.err = err
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

func (c *EngineCall) request(ctx context.Context, id string) (*http.Request, error) {
	url := strings.TrimSuffix(c.Upstream.URL, "/") + completionsPath
	body, err := c.body()
	if err != nil {
		return nil, err
	}
	req, err := newRequest(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(HeaderRequestID, id)
	if c.ResumeOffset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.FormatInt(int64(c.ResumeOffset), 10))
	}
	return req, nil
}

// newRequest returns a request that the transport cannot retry, because its
// body is never nil and cannot be rewound.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	return req, nil
}

// body returns the request body with the maximum output and the priority.
func (c *EngineCall) body() ([]byte, error) {
	s := scanner{data: c.Body}
	if !s.consume('{') {
		return nil, errors.Errorf("body is not a JSON object: %.100q", c.Body)
	}
	insertAt, body := s.pos, c.Body
	if c.MaxOutput > 0 {
		body = setMember(body, insertAt, "max_tokens", int64(c.MaxOutput))
	}
	if c.Priority != 0 {
		body = setMember(body, insertAt, "priority", int64(c.Priority))
	}
	return body, nil
}

// setMember returns the object with a top-level member set. A missing member is
// inserted at insertAt.
func setMember(body []byte, insertAt int, name string, value int64) []byte {
	number := strconv.AppendInt(nil, value, 10)
	if start, end, ok := findMember(body, name); ok {
		return splice(body, start, end, number)
	}
	member := append(strconv.AppendQuote(nil, name), ':')
	member = append(member, number...)
	rest := scanner{data: body, pos: insertAt}
	if !rest.consume('}') {
		member = append(member, ',')
	}
	return splice(body, insertAt, insertAt, member)
}

// findMember returns the position of a top-level member's value.
func findMember(data []byte, name string) (start, end int, ok bool) {
	s := scanner{data: data}
	if !s.consume('{') {
		return 0, 0, false
	}
	for {
		key, value, ok := s.member()
		if !ok {
			return 0, 0, false
		}
		if string(key) == name {
			return s.pos - len(value), s.pos, true
		}
		if !s.consume(',') {
			return 0, 0, false
		}
	}
}

// splice returns data with the bytes from start to end replaced.
func splice(data []byte, start, end int, replacement []byte) []byte {
	if bytes.Equal(data[start:end], replacement) {
		return data
	}
	out := make([]byte, 0, len(data)+len(replacement))
	out = append(out, data[:start]...)
	out = append(out, replacement...)
	return append(out, data[end:]...)
}

// checkHeader returns a *Failure unless the header starts the response of this
// attempt.
func (s *stream) checkHeader(resp *http.Response) error {
	responseID := resp.Header.Get(HeaderRequestID)
	if responseID != "" && responseID != string(s.id) {
		s.count("dropped.crossed")
		return s.rejectResponse(resp, errors.Wrapf(ErrIDMismatch, "%s is %.80q", HeaderRequestID, responseID))
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return s.rejectResponse(resp, errors.Wrapf(ErrStatus, "%s", text))
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		s.count("broken.malformed")
		return s.rejectResponse(resp, errors.Wrapf(ErrMalformed, "content type %.80q", resp.Header.Get("Content-Type")))
	}
	if s.call.ResumeOffset == 0 {
		return nil
	}
	if resp.Header.Get(HeaderResumeOffset) != strconv.FormatInt(int64(s.call.ResumeOffset), 10) {
		s.count("broken.resume")
		return s.rejectResponse(resp, ErrNotResumed)
	}
	return nil
}

func (s *stream) rejectResponse(resp *http.Response, err error) error {
	return &Failure{Phase: NoResponse, Status: resp.StatusCode, Upstream: s.call.Upstream.Name, Step: "answer", Err: err}
}
