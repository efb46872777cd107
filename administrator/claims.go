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

// ClaimPage is one page of the list of claims.
type ClaimPage struct {
	Claims []deduplicator.ClaimInfo `json:"claims"`
	// Next is the value of after for the next page. It is empty on the last page.
	Next string `json:"next,omitempty"`
}

// Resolution is an operator's decision about a call whose outcome is unknown.
type Resolution struct {
	// Claim is the claim that the operator saw in the list.
	Claim string `json:"claim"`
	// Executed is true when the call took effect.
	Executed bool `json:"ran"`
	// Status, ContentType and Body are the response to later retries. If the status
	// is zero, retries get a short note that the call took effect.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// ResolutionResult is the outcome of a Resolution.
type ResolutionResult struct {
	Account  contractor.Account `json:"account"`
	Key      string             `json:"key"`
	Executed bool               `json:"ran"`
}

func (a *Administrator) listClaims(ctx context.Context, r *request) (response, error) {
	after, limit, err := r.page()
	if err != nil {
		return response{}, err
	}
	query := r.URL.Query()
	account := contractor.Account(query.Get("account"))
	state := query.Get("state")
	infos, more, err := a.config.Claims.List(ctx, account, after, limit)
	if err != nil {
		return response{}, err
	}
	page := ClaimPage{Claims: make([]deduplicator.ClaimInfo, 0, len(infos))}
	for _, l := range infos {
		if state == "" || l.State.String() == state {
			page.Claims = append(page.Claims, l)
		}
	}
	if more {
		last := infos[len(infos)-1]
		page.Next = last.Key
		if account == "" {
			page.Next = string(last.Account) + "/" + last.Key
		}
	}
	return response{body: page}, nil
}

// requestKey parses the request key in the path.
func (r *request) requestKey() (contractor.RequestKey, error) {
	raw, err := hex.DecodeString(r.parameter("key"))
	if err != nil || len(raw) != len(contractor.RequestKey{}) {
		return contractor.RequestKey{}, contractor.FieldErrors{{Field: "key", Value: r.parameter("key"), Allowed: "32 hexadecimal digits"}}
	}
	return contractor.RequestKey(raw), nil
}

func (a *Administrator) showClaim(ctx context.Context, r *request) (response, error) {
	key, err := r.requestKey()
	if err != nil {
		return response{}, err
	}
	claim, err := a.config.Claims.Show(ctx, contractor.Account(r.parameter("account")), key)
	if err != nil {
		return response{}, err
	}
	return response{body: claim}, nil
}

func (a *Administrator) resolveClaim(ctx context.Context, r *request) (response, error) {
	decision, err := decode[Resolution](r)
	if err != nil {
		return response{}, err
	}
	key, err := r.requestKey()
	if err != nil {
		return response{}, err
	}
	account := contractor.Account(r.parameter("account"))
	if decision.Claim == "" {
		return response{}, contractor.FieldErrors{{Field: "claim", Allowed: "the claim that the list of claims shows"}}
	}
	resolution := deduplicator.Resolution{Operator: r.operator.Name, ClaimID: decision.Claim, Executed: decision.Executed}
	if decision.Status != 0 {
		if decision.Status < 200 || decision.Status > 599 {
			return response{}, contractor.FieldErrors{{Field: "status", Value: strconv.Itoa(decision.Status), Allowed: "200 to 599"}}
		}
		resolution.Response = &conductor.Response{
			Status: decision.Status,
			Header: http.Header{"Content-Type": {decision.ContentType}},
			Body:   []byte(decision.Body),
		}
	}
	if err := a.config.Claims.Resolve(ctx, account, key, resolution); err != nil {
		return response{}, err
	}
	return response{body: ResolutionResult{Account: account, Key: key.String(), Executed: decision.Executed}}, nil
}

// LiftResult is the outcome of lifting the quarantine of a request.
type LiftResult struct {
	Digest string `json:"digest"`
}

func (a *Administrator) liftQuarantine(ctx context.Context, r *request) (response, error) {
	if a.config.Quarantine == nil {
		return response{}, notFound("this daemon keeps no quarantine")
	}
	digest, err := quarantiner.ParseDigest(r.parameter("digest"))
	if err != nil {
		return response{}, contractor.FieldErrors{{Field: "digest", Value: r.parameter("digest"), Allowed: "32 hexadecimal digits"}}
	}
	if err := a.config.Quarantine.Lift(ctx, digest); err != nil {
		return response{}, err
	}
	a.config.Recorder.Event(recorder.QuarantineLifted, "operator", r.operator.Name, "digest", digest.String())
	return response{body: LiftResult{digest.String()}}, nil
}
