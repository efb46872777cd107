package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/framer"
)

// HeaderIdempotencyKey carries the request's key to plain services.
const HeaderIdempotencyKey = "Idempotency-Key"

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// CallService makes one attempt to call a plain service. A response with any
// status is a success; the error is a *Failure. A call to an upstream whose
// calls are not repeatable uses a new connection.
func (d *Dispatcher) CallService(ctx context.Context, u contractor.Upstream, call *conductor.ServiceCall, attempt int) (*conductor.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	id := attemptID(call.Key, attempt)
	req, err := serviceRequest(ctx, u, call, id)
	if err != nil {
		return nil, &Failure{Upstream: u.Name, Step: "build", Err: err}
	}
	var stallTimer watchdog
	stallTimer.start(d.config.StallTimeout, cancel)
	defer stallTimer.stop()
	sentAt := time.Now()
	resp, err := d.send(d.transportFor(!u.Repeatable), req, u.Name)
	if err != nil {
		return nil, err
	}
	d.recordLimit(resp, id, u.Name, sentAt, attempt)
	defer resp.Body.Close()
	return d.readServiceResponse(ctx, resp, u.Name, id)
}

func serviceRequest(ctx context.Context, u contractor.Upstream, call *conductor.ServiceCall, id string) (*http.Request, error) {
	url := strings.TrimSuffix(u.URL, "/") + "/" + strings.TrimPrefix(call.Path, "/")
	req, err := newRequest(ctx, call.Method, url, call.Body)
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Del("Authorization")
	req.Header.Set(HeaderIdempotencyKey, call.Key.String())
	req.Header.Set(HeaderRequestID, id)
	return req, nil
}

func (d *Dispatcher) readServiceResponse(ctx context.Context, resp *http.Response, upstream, id string) (*conductor.Response, error) {
	failure := &Failure{Phase: PartialResponse, Status: resp.StatusCode, Upstream: upstream, Step: "answer"}
	responseID := resp.Header.Get(HeaderRequestID)
	if responseID != "" && responseID != id {
		d.config.Recorder.Count("dropped.crossed", 1)
		failure.Phase = NoResponse
		failure.Err = errors.Wrapf(ErrIDMismatch, "%s is %.80q", HeaderRequestID, responseID)
		return nil, failure
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, d.config.MaxResponseBytes+1))
	if err == nil && int64(len(body)) <= d.config.MaxResponseBytes {
		err = framer.Check(framer.Of(resp), resp.Header, body)
	}
	if err != nil {
		failure.Err = err
		failure.Crashed = closedByPeer(err) || errors.Is(err, framer.ErrTruncated)
		if cause := context.Cause(ctx); cause != nil {
			failure.Err = cause
			failure.Crashed = false
		}
		return nil, failure
	}
	if int64(len(body)) > d.config.MaxResponseBytes {
		d.config.Recorder.Count("broken.size", 1)
		failure.Err = errors.Wrapf(ErrTooLong, "more than %d bytes", d.config.MaxResponseBytes)
		return nil, failure
	}
	header := resp.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del(HeaderRequestID)
	return &conductor.Response{Status: resp.StatusCode, Header: header, Body: body}, nil
}

func removeHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
