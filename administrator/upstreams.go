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

// UpstreamState is an announced upstream with its revision.
type UpstreamState struct {
	Upstream contractor.Upstream `json:"upstream"`
	Revision contractor.Revision `json:"revision"`
	// Operation is the id of the change that was just accepted.
	Operation string `json:"operation,omitempty"`
	// Repeated is true when the operation had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// UpstreamPage is a part of the list of upstreams.
type UpstreamPage struct {
	Upstreams []UpstreamState `json:"upstreams"`
	// Next is the value of after for the next page. Empty means the end.
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

func (a *Administrator) getUpstream(ctx context.Context, r *request) (reply, error) {
	state, err := a.readUpstream(ctx, r.parameter("name"))
	if err != nil {
		return reply{}, err
	}
	if state.Revision == 0 {
		return reply{}, notFound("upstream %q is not announced", r.parameter("name"))
	}
	return reply{revision: state.Revision, body: state}, nil
}

func (a *Administrator) listUpstreams(ctx context.Context, r *request) (reply, error) {
	upstreams, next, err := listSection(ctx, a.config.Store, r, upstreamSection, upstreamState)
	return reply{body: UpstreamPage{Upstreams: upstreams, Next: next}}, err
}

// upstreamChange is what an operator wants to do with an upstream. It returns
// the next state, or nil to remove the announcement.
type upstreamChange struct {
	action string
	name   string
	// create is true when there must be no announcement.
	create bool
	// seen is the revision that the operator saw. Zero means any.
	seen contractor.Revision
	next func(before *contractor.Upstream) (*contractor.Upstream, error)
}

func (a *Administrator) joinUpstream(ctx context.Context, r *request) (reply, error) {
	u, err := decode[contractor.Upstream](r)
	if err != nil {
		return reply{}, err
	}
	if err := u.Validate(); err != nil {
		return reply{}, err
	}
	answer, err := a.changeUpstream(ctx, r, upstreamChange{action: "join", name: u.Name, create: true, next: replaceBy(u)})
	if err == nil {
		answer.status = http.StatusCreated
		answer.location = "/v1/upstreams/" + u.Name
	}
	return answer, err
}

func replaceBy(u *contractor.Upstream) func(*contractor.Upstream) (*contractor.Upstream, error) {
	return func(*contractor.Upstream) (*contractor.Upstream, error) { return u, nil }
}

func (a *Administrator) amendUpstream(ctx context.Context, r *request) (reply, error) {
	u, err := decode[contractor.Upstream](r)
	if err != nil {
		return reply{}, err
	}
	if u.Name == "" {
		u.Name = r.parameter("name")
	}
	if u.Name != r.parameter("name") {
		return reply{}, contractor.FieldErrors{{Field: "name", Value: u.Name, Allowed: r.parameter("name")}}
	}
	if err := u.Validate(); err != nil {
		return reply{}, err
	}
	seen, err := r.seen(false)
	if err != nil {
		return reply{}, err
	}
	return a.changeUpstream(ctx, r, upstreamChange{action: "amend", name: u.Name, seen: seen, next: replaceBy(u)})
}

func (a *Administrator) leaveUpstream(ctx context.Context, r *request) (reply, error) {
	seen, err := r.seen(true)
	if err != nil {
		return reply{}, err
	}
	leave := func(before *contractor.Upstream) (*contractor.Upstream, error) {
		leaving := *before
		leaving.Leaving = true
		return &leaving, nil
	}
	return a.changeUpstream(ctx, r, upstreamChange{action: "leave", name: r.parameter("name"), seen: seen, next: leave})
}

func (a *Administrator) removeUpstream(ctx context.Context, r *request) (reply, error) {
	seen, err := r.seen(true)
	if err != nil {
		return reply{}, err
	}
	remove := func(before *contractor.Upstream) (*contractor.Upstream, error) {
		if !before.Leaving {
			return nil, problem(problemNotLeaving, http.StatusConflict, "upstream %q has to leave before it is removed", before.Name)
		}
		return nil, nil
	}
	return a.changeUpstream(ctx, r, upstreamChange{action: "remove", name: r.parameter("name"), seen: seen, next: remove})
}

func (a *Administrator) upstreamHistory(ctx context.Context, r *request) (reply, error) {
	return a.serveHistory(ctx, r, upstreamSubject(r.parameter("name")))
}

// changeUpstream makes a change or answers with the outcome that it had before.
func (a *Administrator) changeUpstream(ctx context.Context, r *request, change upstreamChange) (reply, error) {
	s := upstreamSubject(change.name)
	earlier, err := a.repeated(ctx, r, s)
	for range commitTries {
		if err != nil {
			return reply{}, err
		}
		if earlier != nil {
			return a.repeatedUpstream(ctx, change.name, earlier)
		}
		answer, err := a.tryUpstream(ctx, r, s, change)
		if !errors.Is(err, persister.ErrConflict) {
			return answer, err
		}
		a.config.Recorder.CountRetry("admin_conflict")
		earlier, err = a.accepted(ctx, s, r.operation, r.fingerprint())
		if err != nil {
			return reply{}, err
		}
	}
	return reply{}, persister.ErrConflict
}

func (a *Administrator) repeatedUpstream(ctx context.Context, name string, earlier *Entry) (reply, error) {
	state, err := a.readUpstream(ctx, name)
	if err != nil {
		return reply{}, err
	}
	state.Operation = earlier.Operation
	state.Repeated = true
	return reply{revision: state.Revision, body: state}, nil
}

func (a *Administrator) tryUpstream(ctx context.Context, r *request, s subject, change upstreamChange) (reply, error) {
	before, err := a.readUpstream(ctx, change.name)
	if err != nil {
		return reply{}, err
	}
	if err := announced(change, &before); err != nil {
		return reply{}, err
	}
	next, err := change.next(&before.Upstream)
	if err != nil {
		return reply{}, err
	}
	txn := persister.Txn{Compares: []persister.Compare{{Key: s.key(), Revision: before.Revision}}}
	state := UpstreamState{Upstream: before.Upstream, Operation: r.operation}
	if next == nil {
		txn.Deletes = []string{s.key()}
	} else {
		value, err := json.Marshal(next)
		if err != nil {
			return reply{}, fmt.Errorf("encode upstream: %w", err)
		}
		txn.Puts = []persister.Put{{Key: s.key(), Value: value}}
		state.Upstream = *next
	}
	state.Revision, err = a.commit(ctx, s, a.entry(r, change.action, before.Revision, ""), txn)
	if err != nil {
		return reply{}, err
	}
	return reply{revision: state.Revision, body: state}, nil
}

// announced compares what the operator saw with the current state.
func announced(change upstreamChange, before *UpstreamState) error {
	var p *Problem
	switch {
	case change.create && before.Revision != 0:
		p = problem(problemExists, http.StatusConflict, "upstream %q is announced already, at revision %d", change.name, before.Revision)
	case !change.create && before.Revision == 0:
		return notFound("upstream %q is not announced", change.name)
	case change.seen != 0 && change.seen != before.Revision:
		p = problem(problemChanged, http.StatusPreconditionFailed, "the upstream changed since revision %d, it is at revision %d", change.seen, before.Revision)
	default:
		return nil
	}
	p.Upstream = before
	return p
}
