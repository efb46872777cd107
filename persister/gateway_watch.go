package persister

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

// errHandler marks an error of the caller's handler, which ends the watch.
type errHandler struct{ err error }

// Error returns the message of the handler's error.
func (e errHandler) Error() string { return e.err.Error() }

// Unwrap returns the handler's error.
func (e errHandler) Unwrap() error { return e.err }

// Watch calls handle for each batch of changes under prefix after a revision.
// It reconnects by revision as long as ctx lasts, so that no change is lost.
func (g *Gateway) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(Batch) error) error {
	wait := firstBackoff
	for {
		reached, err := g.watch(ctx, prefix, after, handle)
		var failed errHandler
		switch {
		case ctx.Err() != nil:
			return fmt.Errorf("watch %q: %w", prefix, context.Cause(ctx))
		case errors.As(err, &failed):
			return fmt.Errorf("watch %q: %w", prefix, failed.err)
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrInvalid):
			return fmt.Errorf("watch %q: %w", prefix, err)
		}
		if reached > after {
			wait = firstBackoff
		}
		after = reached
		g.recorder.CountRetry("store_watch_lost")
		g.recorder.Event(recorder.StoreWatchLost, "prefix", prefix, "revision", int64(after), "err", err)
		if serr := sleep(ctx, wait/2+rand.N(wait/2)); serr != nil {
			return fmt.Errorf("watch %q: %w", prefix, serr)
		}
		wait = min(2*wait, longestBackoff)
	}
}

// watch runs one connection and returns the revision that it reached.
func (g *Gateway) watch(ctx context.Context, prefix string, after contractor.Revision, handle func(Batch) error) (contractor.Revision, error) {
	request := wireWatch{Create: wireWatchCreate{
		Key:            []byte(prefix),
		RangeEnd:       prefixEnd(prefix),
		StartRevision:  int64(after) + 1,
		ProgressNotify: true,
	}}
	body, err := json.Marshal(request)
	if err != nil {
		return after, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := g.admit(ctx, g.reads); err != nil {
		return after, err
	}
	g.recorder.Count("store.watches", 1)
	// The first answer has to come within the timeout, later ones may take long.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(g.timeout, cancel)
	defer opening.Stop()
	current := g.current.Load()
	response, err := g.post(ctx, current, "/v3/watch", body)
	if err != nil {
		return after, err
	}
	defer func() { _ = response.Body.Close() }()
	reached, err := receive(json.NewDecoder(response.Body), after, handle, opening)
	g.failover(current, err)
	return reached, err
}

// receive passes the answers of one connection on until it ends.
func receive(decoder *json.Decoder, after contractor.Revision, handle func(Batch) error, opening *time.Timer) (contractor.Revision, error) {
	for {
		var answer wireStream[wireWatchAnswer]
		if err := decoder.Decode(&answer); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return after, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		opening.Stop()
		switch {
		case answer.Error != nil:
			return after, fmt.Errorf("%w: %s", ErrUnavailable, answer.Error.Message)
		case answer.Result.CompactRevision != 0:
			return after, ErrCompacted
		case answer.Result.Canceled:
			return after, fmt.Errorf("%w: the service ended the watch", ErrUnavailable)
		case answer.Result.Created:
			continue
		}
		batch := answer.Result.batch(after)
		if batch.Revision <= after {
			continue
		}
		if err := handle(batch); err != nil {
			return after, errHandler{err}
		}
		after = batch.Revision
	}
}

// batch returns the changes after a revision. With changes, the header may
// name a later revision than the changes reach, so it only counts without any.
func (a *wireWatchAnswer) batch(after contractor.Revision) Batch {
	if len(a.Events) == 0 {
		return Batch{Revision: contractor.Revision(a.Header.Revision)}
	}
	var batch Batch
	for i := range a.Events {
		change := Change{Entry: a.Events[i].KV.entry(), Deleted: a.Events[i].Type == "DELETE"}
		if change.Entry.Revision <= after {
			continue
		}
		batch.Changes = append(batch.Changes, change)
		batch.Revision = max(batch.Revision, change.Entry.Revision)
	}
	return batch
}
