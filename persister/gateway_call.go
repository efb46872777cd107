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
	response, err := read[wireRangeResponse](ctx, g, "/v3/kv/range", wireRange{Key: []byte(key)})
	if err != nil {
		return Entry{}, fmt.Errorf("get %q: %w", key, err)
	}
	if len(response.KVs) == 0 {
		return Entry{Key: key}, nil
	}
	return response.KVs[0].entry(), nil
}

// Range reads up to limit keys under prefix, starting after the key after.
func (g *Gateway) Range(ctx context.Context, prefix, after string, limit int) (Page, error) {
	from := prefix
	if after != "" && after >= prefix {
		from = after + "\x00"
	}
	request := wireRange{Key: []byte(from), RangeEnd: prefixEnd(prefix), Limit: int64(limit)}
	response, err := read[wireRangeResponse](ctx, g, "/v3/kv/range", request)
	if err != nil {
		return Page{}, fmt.Errorf("range %q: %w", prefix, err)
	}
	page := Page{Revision: contractor.Revision(response.Header.Revision), More: response.More}
	for i := range response.KVs {
		page.Entries = append(page.Entries, response.KVs[i].entry())
	}
	return page, nil
}

// GrantLease creates a lease that expires after ttl unless it is renewed. The
// service counts in whole seconds, so ttl is rounded up.
func (g *Gateway) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	response, err := write[wireLease](ctx, g, "/v3/lease/grant", wireLease{TTL: seconds})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	return LeaseID(response.ID), nil
}

// KeepAlive renews a lease once and returns its remaining time. An expired
// lease has a remaining time of zero and no error.
func (g *Gateway) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	response, err := write[wireStream[wireLease]](ctx, g, "/v3/lease/keepalive", wireLease{ID: int64(lease)})
	if err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", lease, err)
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// read makes a call that changes nothing. It tries every endpoint once.
func read[Resp any](ctx context.Context, g *Gateway, path string, request any) (*Resp, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var lastErr error
	for range g.baseURLs {
		response, err := attempt[Resp](ctx, g, g.reads, "store.reads", path, body)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return response, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, fmt.Errorf("%w: %v", ErrUnavailable, lastErr)
}

// write makes a call that may change something. It tries the next endpoint only
// if the call has certainly taken no effect.
func write[Resp any](ctx context.Context, g *Gateway, path string, request any) (*Resp, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var lastErr error
	for range g.baseURLs {
		response, err := attempt[Resp](ctx, g, g.writes, "store.writes", path, body)
		if !errors.Is(err, ErrUnavailable) {
			return response, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

// attempt makes one call at the current endpoint. Its error is ErrUnavailable
// or ErrThrottled when the call certainly took no effect, ErrInvalid when the
// service refused it, and otherwise ErrUnknown.
func attempt[Resp any](ctx context.Context, g *Gateway, limit *rate.Limiter, counter, path string, body []byte) (*Resp, error) {
	if err := g.waitForRateLimit(ctx, limit); err != nil {
		return nil, err
	}
	g.recorder.Count(counter, 1)
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	failovers := g.failovers.Load()
	response, err := g.post(ctx, failovers, path, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var decoded Resp
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&decoded); err != nil {
		g.failover(failovers, err)
		return nil, fmt.Errorf("%w: decode the answer of %s: %w", ErrUnknown, g.baseURL(failovers), err)
	}
	return &decoded, nil
}

func (g *Gateway) baseURL(failovers uint64) string {
	return g.baseURLs[failovers%uint64(len(g.baseURLs))]
}

// failover directs later calls to the next endpoint, unless another call has
// already done so.
func (g *Gateway) failover(failovers uint64, cause error) {
	if len(g.baseURLs) < 2 || !g.failovers.CompareAndSwap(failovers, failovers+1) {
		return
	}
	g.recorder.CountRetry("store_failover")
	g.recorder.Event(recorder.StoreEndpointFailed, "peer", g.baseURL(failovers), "next", g.baseURL(failovers+1), "err", cause)
}

// post sends one request and returns the response if its status is 200.
func (g *Gateway) post(ctx context.Context, failovers uint64, path string, body []byte) (*http.Response, error) {
	// A request that got no connection cannot have reached the service.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	baseURL := g.baseURL(failovers)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := g.client.Do(request)
	if err != nil {
		g.failover(failovers, err)
		if connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	err = responseError(baseURL, response)
	if !errors.Is(err, ErrInvalid) && !errors.Is(err, ErrThrottled) {
		g.failover(failovers, err)
	}
	return nil, err
}

// responseError returns the error for a response whose status is not 200.
func responseError(baseURL string, response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var body wireError
	_ = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&body)
	kind := ErrUnknown
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		kind = ErrThrottled
	case response.StatusCode == http.StatusBadRequest, response.StatusCode == http.StatusNotFound:
		kind = ErrInvalid
	case strings.HasSuffix(body.Message, "no leader"):
		kind = ErrUnavailable
	}
	return fmt.Errorf("%w: %s answered status %d: %s", kind, baseURL, response.StatusCode, body.Message)
}
