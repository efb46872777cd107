package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"laburnumline/contractor"
	"laburnumline/persister"
)

const upstreamSection = "upstream"

// UpstreamState is the announcement of an upstream with its revision in the store.
type UpstreamState struct {
	Upstream contractor.Upstream `json:"upstream"`
	Revision contractor.Revision `json:"revision"`
	// Operation is the id of the change that was just accepted.
	Operation string `json:"operation,omitempty"`
	// Repeated is true if the operation had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// UpstreamPage is one page of the list of upstreams.
type UpstreamPage struct {
	Upstreams []UpstreamState `json:"upstreams"`
	// Next is the value of after for the next page. It is empty on the last page.
	Next string `json:"next,omitempty"`
}

func upstreamSubject(name string) subject { return subject{upstreamSection, name} }

func (a *Administrator) readUpstream(ctx context.Context, name string) (UpstreamState, error) {
	found, err := a.config.Store.Get(ctx, upstreamSubject(name).key())
	if err != nil || found.Revision == 0 {
		return UpstreamState{}, err
	}
	return upstreamState(found)
}

func upstreamState(found persister.Entry) (UpstreamState, error) {
	state := UpstreamState{Revision: found.Revision}
	if err := json.Unmarshal(found.Value, &state.Upstream); err != nil {
		return UpstreamState{}, fmt.Errorf("decode %q: %w", found.Key, err)
	}
	return state, nil
}

func (a *Administrator) getUpstream(ctx context.Context, r *request) (response, error) {
	state, err := a.readUpstream(ctx, r.parameter("name"))
	if err != nil {
		return response{}, err
	}
	if state.Revision == 0 {
		return response{}, notFound("upstream %q is not announced", r.parameter("name"))
	}
	return response{revision: state.Revision, body: state}, nil
}

func (a *Administrator) listUpstreams(ctx context.Context, r *request) (response, error) {
	upstreams, next, err := listSection(ctx, a.config.Store, r, upstreamSection, upstreamState)
	return response{body: UpstreamPage{Upstreams: upstreams, Next: next}}, err
}

// upstreamChange is a change of an upstream's announcement that an operator requests.
type upstreamChange struct {
	action string
	name   string
	// create is true if there must be no announcement yet.
	create bool
	// expected is the revision that the operator saw. Zero means any.
	expected contractor.Revision
	// next returns the new announcement, or nil to remove it.
	next func(before *contractor.Upstream) (*contractor.Upstream, error)
}

func (a *Administrator) joinUpstream(ctx context.Context, r *request) (response, error) {
	u, err := decode[contractor.Upstream](r)
	if err != nil {
		return response{}, err
	}
	if err := u.Validate(); err != nil {
		return response{}, err
	}
	resp, err := a.changeUpstream(ctx, r, upstreamChange{action: "join", name: u.Name, create: true, next: replaceWith(u)})
	if err == nil {
		resp.status = http.StatusCreated
		resp.location = "/v1/upstreams/" + u.Name
	}
	return resp, err
}

func replaceWith(u *contractor.Upstream) func(*contractor.Upstream) (*contractor.Upstream, error) {
	return func(*contractor.Upstream) (*contractor.Upstream, error) { return u, nil }
}

func (a *Administrator) amendUpstream(ctx context.Context, r *request) (response, error) {
	u, err := decode[contractor.Upstream](r)
	if err != nil {
		return response{}, err
	}
	if u.Name == "" {
		u.Name = r.parameter("name")
	}
	if u.Name != r.parameter("name") {
		return response{}, contractor.FieldErrors{{Field: "name", Value: u.Name, Allowed: r.parameter("name")}}
	}
	if err := u.Validate(); err != nil {
		return response{}, err
	}
	expected, err := r.expectedRevision(false)
	if err != nil {
		return response{}, err
	}
	return a.changeUpstream(ctx, r, upstreamChange{action: "amend", name: u.Name, expected: expected, next: replaceWith(u)})
}

func (a *Administrator) leaveUpstream(ctx context.Context, r *request) (response, error) {
	expected, err := r.expectedRevision(true)
	if err != nil {
		return response{}, err
	}
	markLeaving := func(before *contractor.Upstream) (*contractor.Upstream, error) {
		leaving := *before
		leaving.Leaving = true
		return &leaving, nil
	}
	return a.changeUpstream(ctx, r, upstreamChange{action: "leave", name: r.parameter("name"), expected: expected, next: markLeaving})
}

func (a *Administrator) removeUpstream(ctx context.Context, r *request) (response, error) {
	expected, err := r.expectedRevision(true)
	if err != nil {
		return response{}, err
	}
	removeIfLeaving := func(before *contractor.Upstream) (*contractor.Upstream, error) {
		if !before.Leaving {
			return nil, newProblem(problemNotLeaving, http.StatusConflict, "upstream %q has to leave before it is removed", before.Name)
		}
		return nil, nil
	}
	return a.changeUpstream(ctx, r, upstreamChange{action: "remove", name: r.parameter("name"), expected: expected, next: removeIfLeaving})
}

func (a *Administrator) upstreamHistory(ctx context.Context, r *request) (response, error) {
	return a.serveHistory(ctx, r, upstreamSubject(r.parameter("name")))
}

// changeUpstream makes a change. If the operation was accepted before, it returns the
// current announcement and changes nothing.
func (a *Administrator) changeUpstream(ctx context.Context, r *request, change upstreamChange) (response, error) {
	s := upstreamSubject(change.name)
	earlier, err := a.findRepeated(ctx, r, s)
	var changeErr error
	for range maxCommitAttempts {
		if err != nil {
			return response{}, err
		}
		if earlier != nil {
			return a.repeatedUpstreamResponse(ctx, change.name, earlier)
		}
		if changeErr != nil && !errors.Is(changeErr, persister.ErrConflict) {
			return response{}, changeErr
		}
		var resp response
		resp, changeErr = a.attemptUpstreamChange(ctx, r, s, change)
		if !showsLaterChange(changeErr) {
			return resp, changeErr
		}
		a.config.Recorder.CountRetry("admin_conflict")
		earlier, err = a.findAccepted(ctx, s, r.operation, r.fingerprint())
	}
	if err != nil {
		return response{}, err
	}
	if earlier != nil {
		return a.repeatedUpstreamResponse(ctx, change.name, earlier)
	}
	return response{}, changeErr
}

func (a *Administrator) repeatedUpstreamResponse(ctx context.Context, name string, earlier *Entry) (response, error) {
	state, err := a.readUpstream(ctx, name)
	if err != nil {
		return response{}, err
	}
	state.Operation = earlier.Operation
	state.Repeated = true
	return response{revision: state.Revision, body: state}, nil
}

func (a *Administrator) attemptUpstreamChange(ctx context.Context, r *request, s subject, change upstreamChange) (response, error) {
	current, err := a.readUpstream(ctx, change.name)
	if err != nil {
		return response{}, err
	}
	if err := checkUpstreamChange(change, &current); err != nil {
		return response{}, err
	}
	next, err := change.next(&current.Upstream)
	if err != nil {
		return response{}, err
	}
	txn := persister.Txn{Compares: []persister.Compare{{Key: s.key(), Revision: current.Revision}}}
	state := UpstreamState{Upstream: current.Upstream, Operation: r.operation}
	if next == nil {
		txn.Deletes = []string{s.key()}
	} else {
		value, err := json.Marshal(next)
		if err != nil {
			return response{}, fmt.Errorf("encode upstream: %w", err)
		}
		txn.Puts = []persister.Put{{Key: s.key(), Value: value}}
		state.Upstream = *next
	}
	state.Revision, err = a.commit(ctx, s, a.newEntry(r, change.action, current.Revision, ""), txn)
	if err != nil {
		return response{}, err
	}
	return response{revision: state.Revision, body: state}, nil
}

// checkUpstreamChange returns the problem of a change that does not fit the current
// state, for example because its expected revision is outdated.
func checkUpstreamChange(change upstreamChange, current *UpstreamState) error {
	var p *Problem
	switch {
	case change.create && current.Revision != 0:
		p = newProblem(problemExists, http.StatusConflict, "upstream %q is announced already, at revision %d", change.name, current.Revision)
	case !change.create && current.Revision == 0:
		return notFound("upstream %q is not announced", change.name)
	case change.expected != 0 && change.expected != current.Revision:
		p = newProblem(problemChanged, http.StatusPreconditionFailed, "the upstream changed since revision %d, it is at revision %d", change.expected, current.Revision)
	default:
		return nil
	}
	p.Upstream = current
	return p
}
