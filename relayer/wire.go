package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"laburnumline/combiner"
	"laburnumline/contractor"
	"laburnumline/persister"
)

// Path is the URL path prefix of the relay's endpoints.
const Path = "/relay/"

const (
	commitPath = Path + "commit"
	leasePath  = Path + "lease"
	pollPath   = Path + "poll"
	// maxMessage limits a message in bytes. A transaction holds a row and the pool; a feed
	// holds at most 1 MB of changes.
	maxMessage = 4 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 16 << 10
)

// failure is the encoding of an error of the store. Kind is 1 plus an index of errorKinds, or 0
// for no error.
type failure struct {
	Kind    int               `cbor:"kind,omitempty"`
	Text    string            `cbor:"text,omitempty"`
	Entries []persister.Entry `cbor:"entries,omitempty"` // of a conflict
}

// errorKinds are the errors that callers distinguish. Their order is part of the protocol.
var errorKinds = [...]error{
	persister.ErrConflict, persister.ErrUnavailable, persister.ErrUnknown,
	persister.ErrThrottled, persister.ErrCompacted, persister.ErrInvalid, combiner.ErrRevisionTooOld, persister.ErrRestored,
}

func failureOf(err error) failure {
	if err == nil {
		return failure{}
	}
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) {
		return failure{Kind: 1, Entries: conflict.Entries}
	}
	for i, kind := range errorKinds {
		if errors.Is(err, kind) {
			return failure{Kind: i + 1, Text: err.Error()}
		}
	}
	// After any other error it is unknown whether the call took effect.
	return failureOf(fmt.Errorf("%w: %w", persister.ErrUnknown, err))
}

func (f failure) err() error {
	switch {
	case f.Kind <= 0:
		return nil
	case len(f.Entries) > 0:
		return &persister.ConflictError{Entries: f.Entries}
	case f.Kind > len(errorKinds):
		return fmt.Errorf("%w: relay returned unknown error kind %d", persister.ErrUnknown, f.Kind)
	}
	return fmt.Errorf("relay: %w: %s", errorKinds[f.Kind-1], f.Text)
}

type (
	commitResponse struct {
		Failure  failure             `cbor:"failure"`
		Revision contractor.Revision `cbor:"revision"`
		Merged   []persister.Entry   `cbor:"merged,omitempty"`
	}
	leaseResponse struct {
		Failure failure           `cbor:"failure"`
		ID      persister.LeaseID `cbor:"id"`
	}
	pollRequest struct {
		Prefix string              `cbor:"prefix"`
		After  contractor.Revision `cbor:"after"`
	}
	pollResponse struct {
		Failure failure         `cbor:"failure"`
		Batch   persister.Batch `cbor:"batch"`
	}
)

// call sends a request to a relay and returns its response. If there is no valid response, the
// error is ErrUnknown; a request that cannot be encoded gives ErrInvalid.
func call[Response any](ctx context.Context, s *Store, relay netip.AddrPort, path string, timeout time.Duration, request any) (Response, error) {
	var response Response
	body, err := encode(request)
	if err != nil {
		return response, fmt.Errorf("%w: %w", persister.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+relay.String()+path, bytes.NewReader(body))
	if err != nil {
		return response, fmt.Errorf("%w: %w", persister.ErrInvalid, err)
	}
	httpResponse, err := s.client.Do(httpRequest)
	if err != nil {
		return response, fmt.Errorf("call relay %s: %w: %w", relay, persister.ErrUnknown, err)
	}
	defer httpResponse.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxMessage))
	if err == nil && httpResponse.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", httpResponse.StatusCode)
	}
	if err == nil {
		err = decode(responseBody, &response)
	}
	if err != nil {
		return response, fmt.Errorf("read response of relay %s: %w: %w", relay, persister.ErrUnknown, err)
	}
	return response, nil
}

// Handler serves the calls of other daemons to this relay.
func Handler(c *combiner.Combiner) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+commitPath, endpoint(func(ctx context.Context, txn persister.Txn) commitResponse {
		revision, merged, err := c.Commit(ctx, txn)
		return commitResponse{failureOf(err), revision, merged}
	}))
	mux.Handle("POST "+leasePath, endpoint(func(ctx context.Context, ttl time.Duration) leaseResponse {
		id, err := c.GrantLease(ctx, ttl)
		return leaseResponse{failureOf(err), id}
	}))
	mux.Handle("POST "+pollPath, endpoint(func(ctx context.Context, request pollRequest) pollResponse {
		batch, err := c.Poll(ctx, request.Prefix, request.After, pollWait)
		return pollResponse{failureOf(err), batch}
	}))
	return mux
}

// endpoint returns a handler that decodes a request, calls serve and encodes the response.
func endpoint[Request, Response any](serve func(ctx context.Context, request Request) Response) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Request
		requestBody, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err == nil {
			err = decode(requestBody, &request)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		responseBody, err := encode(serve(r.Context(), request))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// If the write fails, the caller has gone; it repeats the call at the store.
		_, _ = w.Write(responseBody)
	})
}
