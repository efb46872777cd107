package administrator

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
)

// ClaimPage is a part of the list of claims.
type ClaimPage struct {
	Claims []deduplicator.ClaimInfo `json:"claims"`
	// Next is the value of after for the next page. Empty means the end.
	Next string `json:"next,omitempty"`
}

// Resolution decides about a call whose outcome is unknown.
type Resolution struct {
	// Claim is the claim that the operator saw in the list.
	Claim string `json:"claim"`
	// Ran is true when the call took effect.
	Ran bool `json:"ran"`
	// Status, ContentType and Body are what later retries get. A zero status
	// means a short note.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// Resolved is the outcome of a Resolution.
type Resolved struct {
	Account contractor.Account `json:"account"`
	Key     string             `json:"key"`
	Ran     bool               `json:"ran"`
}

func (a *Administrator) listClaims(ctx context.Context, r *request) (reply, error) {
	after, limit, err := r.page()
	if err != nil {
		return reply{}, err
	}
	query := r.URL.Query()
	account := contractor.Account(query.Get("account"))
	state := query.Get("state")
	listed, more, err := a.config.Claims.List(ctx, account, after, limit)
	if err != nil {
		return reply{}, err
	}
	page := ClaimPage{Claims: make([]deduplicator.ClaimInfo, 0, len(listed))}
	for _, l := range listed {
		if state == "" || l.State.String() == state {
			page.Claims = append(page.Claims, l)
		}
	}
	if more {
		last := listed[len(listed)-1]
		page.Next = last.Key
		if account == "" {
			page.Next = string(last.Account) + "/" + last.Key
		}
	}
	return reply{body: page}, nil
}

// requestKey returns the key of a request in the path.
func (r *request) requestKey() (contractor.RequestKey, error) {
	raw, err := hex.DecodeString(r.parameter("key"))
	if err != nil || len(raw) != len(contractor.RequestKey{}) {
		return contractor.RequestKey{}, contractor.FieldErrors{{Field: "key", Value: r.parameter("key"), Allowed: "32 hexadecimal digits"}}
	}
	return contractor.RequestKey(raw), nil
}

func (a *Administrator) showClaim(ctx context.Context, r *request) (reply, error) {
	key, err := r.requestKey()
	if err != nil {
		return reply{}, err
	}
	claim, err := a.config.Claims.Show(ctx, contractor.Account(r.parameter("account")), key)
	if err != nil {
		return reply{}, err
	}
	return reply{body: claim}, nil
}

func (a *Administrator) resolveClaim(ctx context.Context, r *request) (reply, error) {
	decision, err := decode[Resolution](r)
	if err != nil {
		return reply{}, err
	}
	key, err := r.requestKey()
	if err != nil {
		return reply{}, err
	}
	account := contractor.Account(r.parameter("account"))
	if decision.Claim == "" {
		return reply{}, contractor.FieldErrors{{Field: "claim", Allowed: "the claim that the list of claims shows"}}
	}
	resolution := deduplicator.Resolution{Operator: r.operator.Name, ClaimID: decision.Claim, Executed: decision.Ran}
	if decision.Status != 0 {
		if decision.Status < 200 || decision.Status > 599 {
			return reply{}, contractor.FieldErrors{{Field: "status", Value: strconv.Itoa(decision.Status), Allowed: "200 to 599"}}
		}
		resolution.Response = &conductor.Response{
			Status: decision.Status,
			Header: http.Header{"Content-Type": {decision.ContentType}},
			Body:   []byte(decision.Body),
		}
	}
	if err := a.config.Claims.Resolve(ctx, account, key, resolution); err != nil {
		return reply{}, err
	}
	return reply{body: Resolved{Account: account, Key: key.String(), Ran: decision.Ran}}, nil
}

// Lifted is the outcome of lifting a quarantine.
type Lifted struct {
	Digest string `json:"digest"`
}

func (a *Administrator) liftQuarantine(ctx context.Context, r *request) (reply, error) {
	if a.config.Quarantine == nil {
		return reply{}, notFound("this daemon keeps no quarantine")
	}
	digest, err := quarantiner.ParseDigest(r.parameter("digest"))
	if err != nil {
		return reply{}, contractor.FieldErrors{{Field: "digest", Value: r.parameter("digest"), Allowed: "32 hexadecimal digits"}}
	}
	if err := a.config.Quarantine.Lift(ctx, digest); err != nil {
		return reply{}, err
	}
	a.config.Recorder.Event(recorder.QuarantineLifted, "operator", r.operator.Name, "digest", digest.String())
	return reply{body: Lifted{digest.String()}}, nil
}
