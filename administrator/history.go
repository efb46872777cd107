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

// historyPage is the number of entries that one call to the store reads.
const historyPage = 500

// Entry is one accepted change in the history.
type Entry struct {
	Operation string    `json:"operation"`
	Operator  string    `json:"operator"`
	Action    string    `json:"action"`
	At        time.Time `json:"at"`
	// Revision is the store's revision of the change.
	Revision contractor.Revision `json:"revision,omitempty"`
	// Before is the revision that the change replaced. Zero means none.
	Before contractor.Revision `json:"before,omitempty"`
	// Detail says in words what was changed.
	Detail string `json:"detail,omitempty"`
	// Fingerprint is a digest of the operator's request.
	Fingerprint string `json:"fingerprint"`
}

// subject is what a history is about.
type subject struct {
	section string
	name    string
}

func (s subject) key() string     { return s.section + "/" + s.name }
func (s subject) history() string { return "history/" + s.key() + "/" }

func (a *Administrator) entry(r *request, action string, before contractor.Revision, detail string) *Entry {
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

// repeated returns the entry of an operation that was accepted before.
func (a *Administrator) repeated(ctx context.Context, r *request, s subject) (*Entry, error) {
	if !r.given {
		return nil, nil
	}
	return a.accepted(ctx, s, r.operation, r.fingerprint())
}

func (a *Administrator) accepted(ctx context.Context, s subject, operation, fingerprint string) (*Entry, error) {
	found, err := a.config.Store.Get(ctx, s.history()+operation)
	if err != nil || found.Revision == 0 {
		return nil, err
	}
	var e Entry
	if err := json.Unmarshal(found.Value, &e); err != nil {
		return nil, fmt.Errorf("decode %q: %w", found.Key, err)
	}
	if e.Fingerprint != fingerprint {
		return nil, problem(problemKeyReused, http.StatusUnprocessableEntity, "the Idempotency-Key %q was used for another request", operation)
	}
	e.Revision = found.Revision
	return &e, nil
}

// commit writes a change together with its entry in the history, which is the
// transaction's marker. It returns persister.ErrConflict only when the change
// has not been made and cannot be made any more by this transaction.
func (a *Administrator) commit(ctx context.Context, s subject, e *Entry, txn persister.Txn) (contractor.Revision, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("encode history: %w", err)
	}
	lease, err := a.history.Lease(ctx)
	if err != nil {
		return 0, err
	}
	txn.Marker = s.history() + e.Operation
	txn.Puts = append(txn.Puts, persister.Put{Key: txn.Marker, Value: value, Lease: lease})
	revision, err := a.send(ctx, txn)
	if errors.Is(err, persister.ErrInvalid) {
		a.history.Invalidate(lease)
	}
	if err != nil {
		return 0, err
	}
	a.audit(e, s.key(), revision)
	return revision, nil
}

// send commits a marked transaction. When the answer is lost it sends the
// transaction again: the marker keeps it from taking effect twice.
func (a *Administrator) send(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	revision, err := a.config.Store.Commit(ctx, txn)
	if !errors.Is(err, persister.ErrUnknown) {
		return revision, err
	}
	lost := err
	for range commitTries {
		a.config.Recorder.CountRetry("admin_answer_lost")
		revision, err = a.config.Store.Commit(ctx, txn)
		if err == nil {
			return revision, nil
		}
		if errors.Is(err, persister.ErrConflict) {
			return a.conclude(ctx, txn, lost)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, lost
}

// conclude finds out whether the first copy of a transaction took effect, after
// the second one met a conflict.
func (a *Administrator) conclude(ctx context.Context, txn persister.Txn, lost error) (contractor.Revision, error) {
	marker, err := a.config.Store.Get(ctx, txn.Marker)
	switch {
	case err != nil:
		return 0, lost
	case marker.Revision == 0:
		return 0, persister.ErrConflict
	}
	return marker.Revision, nil
}

// historyOf returns the newest entries of a subject, newest first.
func (a *Administrator) historyOf(ctx context.Context, s subject, limit int) ([]Entry, error) {
	var all []Entry
	after := ""
	for {
		page, err := a.config.Store.Range(ctx, s.history(), after, historyPage)
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

func (a *Administrator) serveHistory(ctx context.Context, r *request, s subject) (reply, error) {
	_, limit, err := r.page()
	if err != nil {
		return reply{}, err
	}
	entries, err := a.historyOf(ctx, s, limit)
	if err != nil {
		return reply{}, err
	}
	if len(entries) == 0 {
		return reply{}, notFound("%s has no history", s.key())
	}
	return reply{body: History{entries}}, nil
}
