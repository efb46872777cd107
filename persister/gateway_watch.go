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

// handlerError wraps an error of the caller's handler, which ends the watch.
type handlerError struct{ err error }

// Error returns the message of the handler's error.
func (e handlerError) Error() string { return e.err.Error() }

// Unwrap returns the handler's error.
func (e handlerError) Unwrap() error { return e.err }

// Watch calls handle for each batch of changes under prefix later than the
// revision after. When the connection is lost, it resumes at the last revision
// that it reached, so that no change is lost.
func (g *Gateway) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(Batch) error) error {
	backoff := initialBackoff
	for {
		reached, err := g.watch(ctx, prefix, after, handle)
		var failed handlerError
		switch {
		case ctx.Err() != nil:
			return fmt.Errorf("watch %q: %w", prefix, context.Cause(ctx))
		case errors.As(err, &failed):
			return fmt.Errorf("watch %q: %w", prefix, failed.err)
		case errors.Is(err, ErrCompacted), errors.Is(err, ErrInvalid):
			return fmt.Errorf("watch %q: %w", prefix, err)
		}
		if reached > after {
			backoff = initialBackoff
		}
		after = reached
		g.recorder.CountRetry("store_watch_lost")
		g.recorder.Event(recorder.StoreWatchLost, "prefix", prefix, "revision", int64(after), "err", err)
		if sleepErr := sleep(ctx, backoff/2+rand.N(backoff/2)); sleepErr != nil {
			return fmt.Errorf("watch %q: %w", prefix, sleepErr)
		}
		backoff = min(2*backoff, maxBackoff)
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
	if err := g.waitForRateLimit(ctx, g.reads); err != nil {
		return after, err
	}
	g.recorder.Count("store.watches", 1)
	// Only the first response must arrive within the timeout.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	openTimer := time.AfterFunc(g.timeout, cancel)
	defer openTimer.Stop()
	failovers := g.failovers.Load()
	response, err := g.post(ctx, failovers, "/v3/watch", body)
	if err != nil {
		return after, err
	}
	defer func() { _ = response.Body.Close() }()
	reached, err := receiveBatches(response.Body, after, handle, openTimer)
	g.failover(failovers, err)
	return reached, err
}

// receiveBatches passes the batches of one connection to handle until the
// connection ends, and returns the revision that it reached.
func receiveBatches(body io.Reader, after contractor.Revision, handle func(Batch) error, openTimer *time.Timer) (contractor.Revision, error) {
	message := &io.LimitedReader{R: body}
	decoder := json.NewDecoder(message)
	for {
		message.N = maxResponseBytes // of the next batch; its end is that of the connection
		var response wireStream[wireWatchResponse]
		if err := decoder.Decode(&response); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return after, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		openTimer.Stop()
		switch {
		case response.Error != nil:
			return after, fmt.Errorf("%w: %s", ErrUnavailable, response.Error.Message)
		case response.Result.CompactRevision != 0:
			return after, ErrCompacted
		case response.Result.Canceled:
			return after, fmt.Errorf("%w: the service ended the watch", ErrUnavailable)
		case response.Result.Created:
			continue
		}
		batch := response.Result.batch(after)
		if batch.Revision <= after {
			continue
		}
		if err := handle(batch); err != nil {
			return after, handlerError{err}
		}
		after = batch.Revision
	}
}

// batch returns the changes after a revision. The revision in the header can be
// later than the last change in the response, so it is used only if there are no
// changes.
func (r *wireWatchResponse) batch(after contractor.Revision) Batch {
	if len(r.Events) == 0 {
		return Batch{Revision: contractor.Revision(r.Header.Revision)}
	}
	var batch Batch
	for i := range r.Events {
		change := Change{Entry: r.Events[i].KV.entry(), Deleted: r.Events[i].Type == "DELETE"}
		if change.Entry.Revision <= after {
			continue
		}
		batch.Changes = append(batch.Changes, change)
		batch.Revision = max(batch.Revision, change.Entry.Revision)
	}
	return batch
}
