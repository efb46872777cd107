package persister

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

// Get reads one key.
func (g *Gateway) Get(ctx context.Context, key string) (Entry, error) {
	answer, err := read[wireRangeAnswer](ctx, g, "/v3/kv/range", wireRange{Key: []byte(key)})
	if err != nil {
		return Entry{}, fmt.Errorf("get %q: %w", key, err)
	}
	if len(answer.KVs) == 0 {
		return Entry{Key: key}, nil
	}
	return answer.KVs[0].entry(), nil
}

// Range reads up to limit keys under prefix that sort after the key after.
func (g *Gateway) Range(ctx context.Context, prefix, after string, limit int) (Page, error) {
	from := prefix
	if after != "" && after >= prefix {
		from = after + "\x00"
	}
	request := wireRange{Key: []byte(from), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	answer, err := read[wireRangeAnswer](ctx, g, "/v3/kv/range", request)
	if err != nil {
		return Page{}, fmt.Errorf("range %q: %w", prefix, err)
	}
	page := Page{Revision: contractor.Revision(answer.Header.Revision), More: answer.More}
	for i := range answer.KVs {
		page.Entries = append(page.Entries, answer.KVs[i].entry())
	}
	return page, nil
}

// GrantLease creates a lease that ends after ttl without a renewal. The
// service counts in seconds; ttl is rounded up.
func (g *Gateway) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	answer, err := write[wireLease](ctx, g, "/v3/lease/grant", wireLease{TTL: seconds})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return LeaseID(answer.ID), nil
}

// KeepAlive renews a lease once and returns its remaining time. An expired
// lease has no time left and no error.
func (g *Gateway) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	answer, err := write[wireStream[wireLease]](ctx, g, "/v3/lease/keepalive", wireLease{ID: int64(lease)})
	if err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", lease, err)
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// read makes a call that changes nothing and tries every endpoint once.
func read[Resp any](ctx context.Context, g *Gateway, path string, request any) (*Resp, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var last error
	for range g.bases {
		answer, err := attempt[Resp](ctx, g, g.reads, "store.reads", path, body)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return answer, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, fmt.Errorf("%w: %v", ErrUnavailable, last)
}

// write makes a call that may change something. It tries further endpoints
// only while the call has certainly taken no effect.
func write[Resp any](ctx context.Context, g *Gateway, path string, request any) (*Resp, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var last error
	for range g.bases {
		answer, err := attempt[Resp](ctx, g, g.writes, "store.writes", path, body)
		if !errors.Is(err, ErrUnavailable) {
			return answer, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// attempt makes one call at the current endpoint. Its error is ErrUnavailable
// or ErrThrottled when the call certainly took no effect, ErrInvalid when the
// service refused it, and otherwise ErrUnknown.
func attempt[Resp any](ctx context.Context, g *Gateway, limit *rate.Limiter, counter, path string, body []byte) (*Resp, error) {
	if err := g.admit(ctx, limit); err != nil {
		return nil, err
	}
	g.recorder.Count(counter, 1)
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	current := g.current.Load()
	response, err := g.post(ctx, current, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer Resp
	if err := json.NewDecoder(io.LimitReader(response.Body, largestAnswerBytes)).Decode(&answer); err != nil {
		g.failover(current, err)
		return nil, fmt.Errorf("%w: decode the answer of %s: %w", ErrUnknown, g.base(current), err)
	}
	return &answer, nil
}

func (g *Gateway) base(current uint64) string { return g.bases[current%uint64(len(g.bases))] }

// failover moves later calls to the next endpoint, unless another call did so already.
func (g *Gateway) failover(current uint64, cause error) {
	if len(g.bases) < 2 || !g.current.CompareAndSwap(current, current+1) {
		return
	}
	g.recorder.CountRetry("store_failover")
	g.recorder.Event(recorder.StoreEndpointFailed, "peer", g.base(current), "next", g.base(current+1), "err", cause)
}

// post sends one request and returns a successful response.
func (g *Gateway) post(ctx context.Context, current uint64, path string, body []byte) (*http.Response, error) {
	// A call without a connection has certainly not reached the service.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	base := g.base(current)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		g.failover(current, err)
		if connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	err = refusal(base, response)
	if !errors.Is(err, ErrInvalid) && !errors.Is(err, ErrThrottled) {
		g.failover(current, err)
	}
	return nil, err
}

// refusal returns the error of a response that is not successful.
func refusal(base string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var answer wireError
	_ = json.NewDecoder(io.LimitReader(response.Body, largestAnswerBytes)).Decode(&answer)
	kind := ErrUnknown
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		kind = ErrThrottled
	case response.StatusCode == http.StatusBadRequest, response.StatusCode == http.StatusNotFound:
		kind = ErrInvalid
	case strings.HasSuffix(answer.Message, "no leader"):
		kind = ErrUnavailable
	}
	return fmt.Errorf("%w: %s answered status %d: %s", kind, base, response.StatusCode, answer.Message)
}
