package persister

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

// Commit writes a transaction and returns its revision.
//
// When the response is lost, Commit reads the transaction's marker, or its first
// write, and sends the transaction again only if it has not taken effect yet. The
// repeated transaction also compares the revision that was read, so the original
// and the repetition cannot both take effect. Without a marker, the first put
// must have a unique value, such as one with an operation ID; if another writer
// has changed that key in the meantime, the outcome stays unknown.
func (g *Gateway) Commit(ctx context.Context, txn Txn) (contractor.Revision, error) {
	if err := txn.Validate(); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, g.resolveTimeout)
	defer cancel()
	revision, err := g.sendTxn(ctx, txn, nil)
	for wait := initialBackoff; errors.Is(err, ErrUnknown); wait = min(2*wait, maxBackoff) {
		var resolved bool
		revision, resolved, err = g.resolve(ctx, txn, err)
		if resolved {
			break
		}
		if sleep(ctx, wait) != nil {
			break
		}
	}
	if errors.Is(err, ErrUnknown) {
		g.recorder.Event(recorder.StoreOutcomeUnknown, "key", probeKey(txn), "err", err)
	}
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return revision, nil
}

func (g *Gateway) sendTxn(ctx context.Context, txn Txn, guard *Compare) (contractor.Revision, error) {
	response, err := write[wireTxnResponse](ctx, g, "/v3/kv/txn", newWireTxn(txn, guard))
	if err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, ErrConflict
	}
	return contractor.Revision(response.Header.Revision), nil
}

// resolve tries once to determine the outcome of a transaction, and sends the
// transaction again if it has not taken effect. It returns false if another try
// may determine the outcome.
func (g *Gateway) resolve(ctx context.Context, txn Txn, cause error) (contractor.Revision, bool, error) {
	g.recorder.CountRetry("store_answer_lost")
	found, entry, err := g.readOutcome(ctx, txn)
	if err != nil {
		return 0, false, fmt.Errorf("%w, then: %v", cause, err)
	}
	if found != outcomeNotApplied {
		return resultOf(found, entry, cause)
	}
	revision, err := g.sendTxn(ctx, txn, &Compare{Key: entry.Key, Revision: entry.Revision})
	switch {
	case err == nil:
		return revision, true, nil
	case !errors.Is(err, ErrConflict):
		// The original may still take effect, whatever the outcome of the repetition.
		return 0, false, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	// The original may have taken effect between the read and the repetition.
	found, entry, err = g.readOutcome(ctx, txn)
	if err != nil {
		return 0, false, fmt.Errorf("%w, then: %v", cause, err)
	}
	if found == outcomeNotApplied {
		return 0, true, ErrConflict
	}
	return resultOf(found, entry, cause)
}

func resultOf(found outcome, entry Entry, cause error) (contractor.Revision, bool, error) {
	if found == outcomeApplied {
		return entry.Revision, true, nil
	}
	return 0, true, cause
}

func (g *Gateway) readOutcome(ctx context.Context, txn Txn) (outcome, Entry, error) {
	entry, err := g.Get(ctx, probeKey(txn))
	if err != nil {
		return outcomeUndecided, entry, err
	}
	return outcomeFrom(txn, entry), entry, nil
}

// outcome is the effect of a transaction as far as its probe key shows it.
type outcome uint8

const (
	// outcomeUndecided means that the key does not show the outcome, as another
	// writer may have changed it.
	outcomeUndecided outcome = iota
	// outcomeNotApplied means that the transaction has not taken effect so far.
	outcomeNotApplied
	// outcomeApplied means that the transaction has taken effect.
	outcomeApplied
)

// probeKey returns the key that shows whether a transaction has taken effect.
func probeKey(txn Txn) string {
	switch {
	case txn.Marker != "":
		return txn.Marker
	case len(txn.Puts) > 0:
		return txn.Puts[0].Key
	case len(txn.Deletes) > 0:
		return txn.Deletes[0]
	case len(txn.Compares) > 0:
		return txn.Compares[0].Key
	}
	return ""
}

// outcomeFrom derives the outcome of a transaction from the entry of its probe key.
func outcomeFrom(txn Txn, entry Entry) outcome {
	if txn.Marker != "" {
		if entry.Revision != 0 {
			return outcomeApplied
		}
		return outcomeNotApplied
	}
	comparedAt, compared := comparedRevision(txn, entry.Key)
	switch {
	case compared && entry.Revision == comparedAt, !compared && entry.Revision == 0 && len(txn.Puts) > 0:
		return outcomeNotApplied
	case !compared && len(txn.Puts)+len(txn.Deletes) > 1:
		return outcomeUndecided
	case len(txn.Puts) > 0 && bytes.Equal(entry.Value, txn.Puts[0].Value) && entry.Revision != 0:
		return outcomeApplied
	case len(txn.Puts) == 0 && len(txn.Deletes) == 1 && entry.Revision == 0:
		return outcomeApplied
	case len(txn.Puts) == 0 && len(txn.Deletes) == 1 && !compared:
		return outcomeNotApplied
	}
	return outcomeUndecided
}

func comparedRevision(txn Txn, key string) (contractor.Revision, bool) {
	for _, c := range txn.Compares {
		if c.Key == key {
			return c.Revision, true
		}
	}
	return 0, false
}
