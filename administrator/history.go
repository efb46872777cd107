package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// historyPageSize is the number of entries that one call of the store reads.
const historyPageSize = 500

// Entry is the record of one accepted change in the history.
type Entry struct {
	Operation string    `json:"operation"`
	Operator  string    `json:"operator"`
	Action    string    `json:"action"`
	At        time.Time `json:"at"`
	// Revision is the store's revision of the change.
	Revision contractor.Revision `json:"revision,omitempty"`
	// Before is the revision that the change replaced. Zero means none.
	Before contractor.Revision `json:"before,omitempty"`
	// Detail describes the change, for example by the names of the changed fields.
	Detail string `json:"detail,omitempty"`
	// Fingerprint is a digest of the operator's request. A retry has the same one.
	Fingerprint string `json:"fingerprint"`
}

// subject is an object in the store whose changes are recorded in a history.
type subject struct {
	section string
	name    string
}

func (s subject) key() string           { return s.section + "/" + s.name }
func (s subject) historyPrefix() string { return "history/" + s.key() + "/" }

func (a *Administrator) newEntry(r *request, action string, before contractor.Revision, detail string) *Entry {
	return &Entry{
		Operation:   r.operation,
		Operator:    r.operator.Name,
		Action:      action,
		At:          time.Now().UTC(),
		Before:      before,
		Detail:      detail,
		Fingerprint: r.fingerprint(),
	}
}

// findRepeated returns the history entry of r's operation if it was accepted before,
// otherwise nil.
func (a *Administrator) findRepeated(ctx context.Context, r *request, s subject) (*Entry, error) {
	if !r.hasIdempotencyKey {
		return nil, nil
	}
	return a.findAccepted(ctx, s, r.operation, r.fingerprint())
}

func (a *Administrator) findAccepted(ctx context.Context, s subject, operation, fingerprint string) (*Entry, error) {
	found, err := a.config.Store.Get(ctx, s.historyPrefix()+operation)
	if err != nil || found.Revision == 0 {
		return nil, err
	}
	var e Entry
	if err := json.Unmarshal(found.Value, &e); err != nil {
		return nil, fmt.Errorf("decode %q: %w", found.Key, err)
	}
	if e.Fingerprint != fingerprint {
		return nil, newProblem(problemKeyReused, http.StatusUnprocessableEntity, "the Idempotency-Key %q was used for another request", operation)
	}
	e.Revision = found.Revision
	return &e, nil
}

// commit writes a change together with its entry in the history, which is the
// transaction's marker. It returns persister.ErrConflict only if the transaction has
// not taken effect and no copy of it in flight can take effect later.
func (a *Administrator) commit(ctx context.Context, s subject, e *Entry, txn persister.Txn) (contractor.Revision, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("encode history: %w", err)
	}
	lease, err := a.historyLeases.Lease(ctx)
	if err != nil {
		return 0, err
	}
	txn.Marker = s.historyPrefix() + e.Operation
	txn.Puts = append(txn.Puts, persister.Put{Key: txn.Marker, Value: value, Lease: lease})
	revision, err := a.commitMarked(ctx, txn)
	if errors.Is(err, persister.ErrInvalid) {
		a.historyLeases.Invalidate(lease)
	}
	if err != nil {
		return 0, err
	}
	a.audit(e, s.key(), revision)
	return revision, nil
}

// commitMarked commits a transaction with a marker. If the response is lost, it sends
// the transaction again; the marker prevents it from taking effect twice.
func (a *Administrator) commitMarked(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	revision, err := a.config.Store.Commit(ctx, txn)
	if !errors.Is(err, persister.ErrUnknown) {
		return revision, err
	}
	lostErr := err
	for range maxCommitAttempts {
		a.config.Recorder.CountRetry("admin_answer_lost")
		revision, err = a.config.Store.Commit(ctx, txn)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, persister.ErrConflict) {
			return a.resolveLostCommit(ctx, txn, lostErr)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, lostErr
}

// resolveLostCommit returns the outcome of a transaction whose first response was lost
// and whose repetition failed with a conflict. The transaction took effect if its marker
// exists.
func (a *Administrator) resolveLostCommit(ctx context.Context, txn persister.Txn, lostErr error) (contractor.Revision, error) {
	marker, err := a.config.Store.Get(ctx, txn.Marker)
	switch {
	case err != nil:
		return 0, lostErr
	case marker.Revision == 0:
		return 0, persister.ErrConflict
	}
	return marker.Revision, nil
}

// readHistory returns up to limit of the newest entries of a subject, newest first.
func (a *Administrator) readHistory(ctx context.Context, s subject, limit int) ([]Entry, error) {
	var all []Entry
	after := ""
	for {
		page, err := a.config.Store.Range(ctx, s.historyPrefix(), after, historyPageSize)
		if err != nil {
			return nil, err
		}
		for _, found := range page.Entries {
			var e Entry
			if err := json.Unmarshal(found.Value, &e); err != nil {
				return nil, fmt.Errorf("decode %q: %w", found.Key, err)
			}
			e.Revision = found.Revision
			all = append(all, e)
			after = found.Key
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
	}
	slices.SortFunc(all, func(x, y Entry) int { return int(y.Revision - x.Revision) })
	return all[:min(len(all), limit)], nil
}

// History is a list of changes, newest first.
type History struct {
	Entries []Entry `json:"entries"`
}

func (a *Administrator) serveHistory(ctx context.Context, r *request, s subject) (response, error) {
	_, limit, err := r.page()
	if err != nil {
		return response{}, err
	}
	entries, err := a.readHistory(ctx, s, limit)
	if err != nil {
		return response{}, err
	}
	if len(entries) == 0 {
		return response{}, notFound("%s has no history", s.key())
	}
	return response{body: History{entries}}, nil
}
