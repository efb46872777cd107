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

// Listed is a claim as operators see it.
type Listed struct {
	Account  contractor.Account `json:"account"`
	Key      string             `json:"key"`
	State    State              `json:"state"`
	VM       contractor.VM      `json:"vm"`
	Started  time.Time          `json:"started"`
	Ended    time.Time          `json:"ended,omitzero"`
	Status   int                `json:"status,omitempty"`
	Operator string             `json:"operator,omitempty"`
	// Claim identifies the claim, as its key may be freed and claimed again.
	Claim string `json:"claim"`
}

// Resolution is an operator's decision about an unknown outcome.
type Resolution struct {
	Operator string
	// Claim is the claim that the operator saw. Empty means any.
	Claim string
	// Ran is true when the call took effect. Otherwise the key is freed and
	// the call may run.
	Ran bool
	// Answer is what later retries get when the call took effect. Nil means a
	// short note.
	Answer *conductor.Response
}

// List returns up to limit claims of an account that sort after the key
// after, which is empty for the first page. An empty account lists all
// accounts; then after has the form ACCOUNT/KEY.
func (d *Deduplicator) List(ctx context.Context, account contractor.Account, after string, limit int) ([]Listed, bool, error) {
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
	all := make([]Listed, 0, len(page.Entries))
	for _, e := range page.Entries {
		l, err := listed(e)
		if err != nil {
			return nil, false, err
		}
		all = append(all, l)
	}
	return all, page.More, nil
}

// Show returns one claim.
func (d *Deduplicator) Show(ctx context.Context, account contractor.Account, key contractor.RequestKey) (Listed, error) {
	n := name{account, key}
	entry, err := d.config.Store.Get(ctx, n.path())
	if err != nil {
		return Listed{}, fmt.Errorf("show %s: %w", n.path(), err)
	}
	if entry.Revision == 0 {
		return Listed{}, fmt.Errorf("show %s: %w", n.path(), ErrNotFound)
	}
	return listed(entry)
}

func listed(e persister.Entry) (Listed, error) {
	r, err := decode(e.Key, e.Value)
	if err != nil {
		return Listed{}, err
	}
	account, key, _ := strings.Cut(strings.TrimPrefix(e.Key, claimPrefix), "/")
	l := Listed{
		Account:  contractor.Account(account),
		Key:      key,
		State:    r.State,
		VM:       r.VM,
		Started:  time.UnixMilli(r.StartedMS).UTC(),
		Operator: r.Operator,
		Claim:    r.Claimed.String(),
	}
	if r.EndedMS != 0 {
		l.Ended = time.UnixMilli(r.EndedMS).UTC()
	}
	if r.Answer != nil {
		l.Status = r.Answer.Status
	}
	return l, nil
}

// Resolve writes an operator's decision about a call whose outcome is unknown,
// or whose daemon is gone. Of two operators who decide at once, one gets
// ErrNotUnknown or ErrNotFound.
func (d *Deduplicator) Resolve(ctx context.Context, account contractor.Account, key contractor.RequestKey, r Resolution) error {
	n := name{account, key}
	found, entry, err := d.load(ctx, n)
	if err != nil {
		return fmt.Errorf("resolve %s: %w", n.path(), err)
	}
	switch {
	case entry.Revision == 0:
		return fmt.Errorf("resolve %s: %w", n.path(), ErrNotFound)
	case r.Claim != "" && found.Claimed.String() != r.Claim:
		return fmt.Errorf("resolve %s: %w: the key was claimed again", n.path(), ErrNotUnknown)
	case r.Ran && found.State == Answered && found.Operator != "" && found.Operator == r.Operator && r.Claim != "":
		// The same decision again, after its answer was lost.
		return nil
	case found.State == Answered, found.State == Running && !d.gone(&found):
		return fmt.Errorf("resolve %s: %w: it is %s", n.path(), ErrNotUnknown, found.State)
	}
	err = d.resolve(ctx, n, found, entry.Revision, r)
	if errors.Is(err, persister.ErrConflict) {
		return fmt.Errorf("resolve %s: %w: it has just changed", n.path(), ErrNotUnknown)
	}
	if err != nil {
		return fmt.Errorf("resolve %s: %w", n.path(), err)
	}
	d.config.Recorder.Event(recorder.ClaimResolved, "account", account, "key", key.String(), "ran", r.Ran, "operator", r.Operator)
	return nil
}

func (d *Deduplicator) resolve(ctx context.Context, n name, found record, at contractor.Revision, r Resolution) error {
	if !r.Ran {
		return d.remove(ctx, n, at)
	}
	answer := r.Answer
	if answer == nil {
		answer = &conductor.Response{
			Status: http.StatusOK,
			Header: http.Header{"Content-Type": {"application/json"}},
			Body:   []byte(`{"note":"the call has run once; its answer was lost"}`),
		}
	}
	after := found.ended(Answered, stored(answer, d.config.MaxAnswer), time.Now())
	after.Operator = r.Operator
	raw, err := after.encode()
	if err != nil {
		return err
	}
	_, err = d.put(ctx, d.answers, persister.Compare{Key: n.path(), Revision: at}, raw)
	return err
}
