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

// Path is below which a relay answers.
const Path = "/relay/"

const (
	commitPath = Path + "commit"
	leasePath  = Path + "lease"
	pollPath   = Path + "poll"
	// maxMessage bounds a message in bytes: a transaction has a row and the pool, and a feed
	// has changes of at most 1 MB.
	maxMessage = 4 << 20
)

// failure is an error of the store on the wire. Kind is an index of kinds, from 1 on.
type failure struct {
	Kind    int               `cbor:"kind,omitempty"`
	Text    string            `cbor:"text,omitempty"`
	Entries []persister.Entry `cbor:"entries,omitempty"` // of a conflict
}

// kinds are the errors that callers tell apart.
var kinds = [...]error{
	persister.ErrConflict, persister.ErrUnavailable, persister.ErrUnknown,
	persister.ErrThrottled, persister.ErrCompacted, persister.ErrInvalid, combiner.ErrRevisionTooOld,
}

func failureOf(err error) failure {
	if err == nil {
		return failure{}
	}
	var conflict *persister.ConflictError
	if errors.As(err, &conflict) {
		return failure{Kind: 1, Entries: conflict.Entries}
	}
	for i, kind := range kinds {
		if errors.Is(err, kind) {
			return failure{Kind: i + 1, Text: err.Error()}
		}
	}
	// Whatever else went wrong, nobody knows whether the call took effect.
	return failureOf(fmt.Errorf("%w: %w", persister.ErrUnknown, err))
}

func (f failure) err() error {
	switch {
	case f.Kind <= 0:
		return nil
	case len(f.Entries) > 0:
		return &persister.ConflictError{Entries: f.Entries}
	case f.Kind > len(kinds):
		return fmt.Errorf("%w: the relay answers an error of kind %d", persister.ErrUnknown, f.Kind)
	}
	return fmt.Errorf("relay: %w: %s", kinds[f.Kind-1], f.Text)
}

type (
	commitAnswer struct {
		Failure  failure             `cbor:"failure"`
		Revision contractor.Revision `cbor:"revision"`
		Merged   []persister.Entry   `cbor:"merged,omitempty"`
	}
	leaseAnswer struct {
		Failure failure           `cbor:"failure"`
		ID      persister.LeaseID `cbor:"id"`
	}
	pollCall struct {
		Prefix string              `cbor:"prefix"`
		After  contractor.Revision `cbor:"after"`
	}
	pollAnswer struct {
		Failure failure         `cbor:"failure"`
		Batch   persister.Batch `cbor:"batch"`
	}
)

// call asks a relay. The error is ErrUnavailable when the question was not sent, else
// ErrUnknown.
func call[Answer any](ctx context.Context, s *Store, relay netip.AddrPort, path string, limit time.Duration, question any) (Answer, error) {
	var answer Answer
	body, err := encode(question)
	if err != nil {
		return answer, fmt.Errorf("%w: %w", persister.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+relay.String()+path, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("%w: %w", persister.ErrInvalid, err)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask relay %s: %w: %w", relay, persister.ErrUnknown, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxMessage))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	if err == nil {
		err = decode(text, &answer)
	}
	if err != nil {
		return answer, fmt.Errorf("answer of relay %s: %w: %w", relay, persister.ErrUnknown, err)
	}
	return answer, nil
}

// Handler answers for the relay.
func Handler(c *combiner.Combiner) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+commitPath, answer(func(ctx context.Context, txn persister.Txn) commitAnswer {
		revision, merged, err := c.Commit(ctx, txn)
		return commitAnswer{failureOf(err), revision, merged}
	}))
	mux.Handle("POST "+leasePath, answer(func(ctx context.Context, ttl time.Duration) leaseAnswer {
		id, err := c.GrantLease(ctx, ttl)
		return leaseAnswer{failureOf(err), id}
	}))
	mux.Handle("POST "+pollPath, answer(func(ctx context.Context, q pollCall) pollAnswer {
		batch, err := c.Poll(ctx, q.Prefix, q.After, pollTime)
		return pollAnswer{failureOf(err), batch}
	}))
	return mux
}

// answer decodes a question and encodes its answer.
func answer[Question, Answer any](serve func(ctx context.Context, q Question) Answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var question Question
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
		if err == nil {
			err = decode(body, &question)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		text, err := encode(serve(r.Context(), question))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// A caller that has gone asks the store itself.
		_, _ = w.Write(text)
	})
}
