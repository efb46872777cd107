package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// ClaimInfo is a claim as shown to operators.
type ClaimInfo struct {
	Account  contractor.Account `json:"account"`
	Key      string             `json:"key"`
	State    State              `json:"state"`
	VM       contractor.VM      `json:"vm"`
	Started  time.Time          `json:"started"`
	Ended    time.Time          `json:"ended,omitzero"`
	Status   int                `json:"status,omitempty"`
	Operator string             `json:"operator,omitempty"`
	// ClaimID identifies the claim, since its key may be freed and claimed again.
	ClaimID string `json:"claim"`
}

// Resolution is an operator's decision about an unknown outcome.
type Resolution struct {
	Operator string
	// ClaimID is the claim that the operator saw. Empty means any.
	ClaimID string
	// Executed is true if the call took effect. Otherwise the key is freed, and a
	// retry may execute the call.
	Executed bool
	// Response is what later retries get if the call took effect. Nil means a
	// short note.
	Response *conductor.Response
}

// List returns up to limit claims of an account in the order of their keys,
// starting behind the key after, and whether there are more. Empty after means the
// first page. An empty account lists all accounts; then after has the form
// ACCOUNT/KEY.
func (d *Deduplicator) List(ctx context.Context, account contractor.Account, after string, limit int) ([]ClaimInfo, bool, error) {
	prefix := claimPrefix
	if account != "" {
		prefix += string(account) + "/"
	}
	from := ""
	if after != "" {
		from = prefix + after
	}
	page, err := d.config.Store.Range(ctx, prefix, from, limit)
	if err != nil {
		return nil, false, fmt.Errorf("list claims: %w", err)
	}
	all := make([]ClaimInfo, 0, len(page.Entries))
	for _, e := range page.Entries {
		info, err := claimInfo(e)
		if err != nil {
			return nil, false, err
		}
		all = append(all, info)
	}
	return all, page.More, nil
}

// Show returns one claim.
func (d *Deduplicator) Show(ctx context.Context, account contractor.Account, key contractor.RequestKey) (ClaimInfo, error) {
	k := claimKey{account, key}
	entry, err := d.config.Store.Get(ctx, k.storeKey())
	if err != nil {
		return ClaimInfo{}, fmt.Errorf("show %s: %w", k.storeKey(), err)
	}
	if entry.Revision == 0 {
		return ClaimInfo{}, fmt.Errorf("show %s: %w", k.storeKey(), ErrNotFound)
	}
	return claimInfo(entry)
}

func claimInfo(e persister.Entry) (ClaimInfo, error) {
	r, err := decode(e.Key, e.Value)
	if err != nil {
		return ClaimInfo{}, err
	}
	account, key, _ := strings.Cut(strings.TrimPrefix(e.Key, claimPrefix), "/")
	info := ClaimInfo{
		Account:  contractor.Account(account),
		Key:      key,
		State:    r.State,
		VM:       r.VM,
		Started:  time.UnixMilli(r.StartedMS).UTC(),
		Operator: r.Operator,
		ClaimID:  r.ClaimID.String(),
	}
	if r.EndedMS != 0 {
		info.Ended = time.UnixMilli(r.EndedMS).UTC()
	}
	if r.Response != nil {
		info.Status = r.Response.Status
	}
	return info, nil
}

// Resolve stores an operator's decision about a call whose outcome is unknown, or
// whose daemon is gone. If two operators decide concurrently, one of them gets
// ErrNotUnknown or ErrNotFound.
func (d *Deduplicator) Resolve(ctx context.Context, account contractor.Account, key contractor.RequestKey, r Resolution) error {
	k := claimKey{account, key}
	found, entry, err := d.load(ctx, k)
	if err != nil {
		return fmt.Errorf("resolve %s: %w", k.storeKey(), err)
	}
	switch {
	case entry.Revision == 0:
		return fmt.Errorf("resolve %s: %w", k.storeKey(), ErrNotFound)
	case r.ClaimID != "" && found.ClaimID.String() != r.ClaimID:
		return fmt.Errorf("resolve %s: %w: the key was claimed again", k.storeKey(), ErrNotUnknown)
	case r.Executed && found.State == Answered && found.Operator != "" && found.Operator == r.Operator && r.ClaimID != "":
		// The same decision is repeated, after its response was lost.
		return nil
	case found.State == Answered, found.State == Running && !d.claimantGone(&found):
		return fmt.Errorf("resolve %s: %w: it is %s", k.storeKey(), ErrNotUnknown, found.State)
	}
	err = d.writeResolution(ctx, k, found, entry.Revision, r)
	if errors.Is(err, persister.ErrConflict) {
		return fmt.Errorf("resolve %s: %w: it has just changed", k.storeKey(), ErrNotUnknown)
	}
	if err != nil {
		return fmt.Errorf("resolve %s: %w", k.storeKey(), err)
	}
	d.config.Recorder.Event(recorder.ClaimResolved, "account", account, "key", key.String(), "ran", r.Executed, "operator", r.Operator)
	return nil
}

func (d *Deduplicator) writeResolution(ctx context.Context, k claimKey, found record, expected contractor.Revision, r Resolution) error {
	if !r.Executed {
		return d.remove(ctx, k, expected)
	}
	response := r.Response
	if response == nil {
		response = &conductor.Response{
			Status: http.StatusOK,
			Header: http.Header{"Content-Type": {"application/json"}},
			Body:   []byte(`{"note":"the call has run once; its answer was lost"}`),
		}
	}
	resolved := found.withEnd(Answered, newStoredResponse(response, d.config.MaxResponseBody), time.Now())
	resolved.Operator = r.Operator
	raw, err := resolved.encode()
	if err != nil {
		return err
	}
	_, err = d.put(ctx, d.responseLeases, persister.Compare{Key: k.storeKey(), Revision: expected}, raw)
	return err
}
