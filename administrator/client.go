package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
)

const (
	clientTimeout   = 30 * time.Second
	clientTries     = 5
	clientBackoff   = 200 * time.Millisecond
	maxClientAnswer = 64 << 20 // bytes
)

// Client calls the administration API. It sends a change again, with the same
// Idempotency-Key, when the answer was lost or the store was away.
type Client struct {
	// HTTP may be replaced, for example to trust another certificate.
	HTTP *http.Client
	base string
	key  string
}

// NewClient returns a Client for the API at a base URL, with an operator's key.
func NewClient(base, key string) *Client {
	return &Client{HTTP: &http.Client{Timeout: clientTimeout}, base: base, key: key}
}

// call is one call of the API.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// seen is sent as If-Match, unless it is zero.
	seen contractor.Revision
}

// do makes a call and decodes its answer into out. Errors of the API are *Problem.
func (c *Client) do(ctx context.Context, k call, out any) error {
	operation := uuid.NewString()
	wait := clientBackoff
	var err error
	for try := range clientTries {
		if try > 0 {
			if serr := sleep(ctx, wait); serr != nil {
				return err
			}
			wait *= 2
		}
		err = c.try(ctx, k, operation, out)
		if err == nil || ctx.Err() != nil || !repeatable(err) {
			return err
		}
	}
	return err
}

// errLost means that no whole answer came.
var errLost = errors.New("no whole answer")

// repeatable reports whether sending a call again may help.
func repeatable(err error) bool {
	var p *Problem
	if errors.As(err, &p) {
		return p.Status == http.StatusServiceUnavailable
	}
	return errors.Is(err, errLost)
}

func (c *Client) try(ctx context.Context, k call, operation string, out any) error {
	raw, err := c.send(ctx, k, operation)
	if err != nil {
		return err
	}
	if text, ok := out.(*[]byte); ok {
		*text = raw
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode the answer of %s %s: %w", k.method, k.path, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, k call, operation string) ([]byte, error) {
	var body io.Reader
	if k.body != nil {
		raw, err := json.Marshal(k.body)
		if err != nil {
			return nil, fmt.Errorf("encode the request of %s %s: %w", k.method, k.path, err)
		}
		body = bytes.NewReader(raw)
	}
	target := c.base + "/v1" + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if k.method != http.MethodGet {
		request.Header.Set("Idempotency-Key", operation)
	}
	if k.seen != 0 {
		request.Header.Set("If-Match", etag(k.seen))
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errLost, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxClientAnswer))
	if err != nil {
		return nil, fmt.Errorf("%w of %s: %w", errLost, target, err)
	}
	if response.StatusCode < 300 {
		return raw, nil
	}
	p := &Problem{Status: response.StatusCode, Title: response.Status}
	if json.Unmarshal(raw, p) != nil {
		p.Detail = fmt.Sprintf("%s is not an administration API", c.base)
	}
	return nil, p
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func contractPath(account contractor.Account) string {
	return "/contracts/" + url.PathEscape(string(account))
}

func budgetPath(account contractor.Account, budget contractor.BudgetName) string {
	return contractPath(account) + "/budgets/" + url.PathEscape(string(budget))
}

func upstreamPath(name string) string { return "/upstreams/" + url.PathEscape(name) }

func pageQuery(after string, limit int) url.Values {
	query := url.Values{}
	if after != "" {
		query.Set("after", after)
	}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return query
}

// CreateContract creates a contract.
func (c *Client) CreateContract(ctx context.Context, contract *contractor.Contract) (*ContractState, error) {
	return get[ContractState](ctx, c, call{method: http.MethodPost, path: "/contracts", body: contract})
}

// AmendContract replaces a contract that was seen at a revision.
func (c *Client) AmendContract(ctx context.Context, contract *contractor.Contract, seen contractor.Revision) (*ContractState, error) {
	return get[ContractState](ctx, c, call{method: http.MethodPut, path: contractPath(contract.Account), body: contract, seen: seen})
}

// RetireContract ends a contract that was seen at a revision.
func (c *Client) RetireContract(ctx context.Context, account contractor.Account, seen contractor.Revision) (*ContractState, error) {
	return get[ContractState](ctx, c, call{method: http.MethodDelete, path: contractPath(account), seen: seen})
}

// Contract returns a contract with its balances.
func (c *Client) Contract(ctx context.Context, account contractor.Account) (*ContractState, error) {
	return get[ContractState](ctx, c, call{method: http.MethodGet, path: contractPath(account)})
}

// Contracts returns a page of contracts after an account.
func (c *Client) Contracts(ctx context.Context, after string, limit int) (*ContractPage, error) {
	return get[ContractPage](ctx, c, call{method: http.MethodGet, path: "/contracts", query: pageQuery(after, limit)})
}

// ContractHistory returns the newest changes of a contract.
func (c *Client) ContractHistory(ctx context.Context, account contractor.Account, limit int) (*History, error) {
	return get[History](ctx, c, call{method: http.MethodGet, path: contractPath(account) + "/history", query: pageQuery("", limit)})
}

// TopUpBudget raises the balance of a budget, once by id.
func (c *Client) TopUpBudget(ctx context.Context, account contractor.Account, budget contractor.BudgetName, t TopUp) (*biller.Receipt, error) {
	return get[biller.Receipt](ctx, c, call{method: http.MethodPost, path: budgetPath(account, budget) + "/topups", body: t})
}

// ReleaseUnaccounted makes a part of a budget's unaccounted total free again.
func (c *Client) ReleaseUnaccounted(ctx context.Context, account contractor.Account, budget contractor.BudgetName, r Release) (*Released, error) {
	return get[Released](ctx, c, call{method: http.MethodPost, path: budgetPath(account, budget) + "/release", body: r})
}

// Bill returns the bill of an account for a period. A zero time is no bound.
func (c *Client) Bill(ctx context.Context, account contractor.Account, from, to time.Time) (*Bill, error) {
	return get[Bill](ctx, c, call{method: http.MethodGet, path: contractPath(account) + "/bills", query: periodQuery(from, to)})
}

// BillCSV returns the bill of an account for a period as CSV.
func (c *Client) BillCSV(ctx context.Context, account contractor.Account, from, to time.Time) ([]byte, error) {
	query := periodQuery(from, to)
	query.Set("format", "csv")
	raw, err := get[[]byte](ctx, c, call{method: http.MethodGet, path: contractPath(account) + "/bills", query: query})
	if err != nil {
		return nil, err
	}
	return *raw, nil
}

func periodQuery(from, to time.Time) url.Values {
	query := url.Values{}
	if !from.IsZero() {
		query.Set("from", from.Format(time.RFC3339))
	}
	if !to.IsZero() {
		query.Set("to", to.Format(time.RFC3339))
	}
	return query
}

// JoinUpstream announces an upstream.
func (c *Client) JoinUpstream(ctx context.Context, u *contractor.Upstream) (*UpstreamState, error) {
	return get[UpstreamState](ctx, c, call{method: http.MethodPost, path: "/upstreams", body: u})
}

// AmendUpstream replaces an announcement that was seen at a revision.
func (c *Client) AmendUpstream(ctx context.Context, u *contractor.Upstream, seen contractor.Revision) (*UpstreamState, error) {
	return get[UpstreamState](ctx, c, call{method: http.MethodPut, path: upstreamPath(u.Name), body: u, seen: seen})
}

// LeaveUpstream announces that an upstream leaves. A zero revision means any.
func (c *Client) LeaveUpstream(ctx context.Context, name string, seen contractor.Revision) (*UpstreamState, error) {
	return get[UpstreamState](ctx, c, call{method: http.MethodPost, path: upstreamPath(name) + "/leave", seen: seen})
}

// RemoveUpstream removes the announcement of an upstream that has left.
func (c *Client) RemoveUpstream(ctx context.Context, name string, seen contractor.Revision) (*UpstreamState, error) {
	return get[UpstreamState](ctx, c, call{method: http.MethodDelete, path: upstreamPath(name), seen: seen})
}

// Upstream returns an announcement.
func (c *Client) Upstream(ctx context.Context, name string) (*UpstreamState, error) {
	return get[UpstreamState](ctx, c, call{method: http.MethodGet, path: upstreamPath(name)})
}

// Upstreams returns a page of announcements after a name.
func (c *Client) Upstreams(ctx context.Context, after string, limit int) (*UpstreamPage, error) {
	return get[UpstreamPage](ctx, c, call{method: http.MethodGet, path: "/upstreams", query: pageQuery(after, limit)})
}

// UpstreamHistory returns the newest changes of an announcement.
func (c *Client) UpstreamHistory(ctx context.Context, name string, limit int) (*History, error) {
	return get[History](ctx, c, call{method: http.MethodGet, path: upstreamPath(name) + "/history", query: pageQuery("", limit)})
}

// Claims returns a page of claims. An empty account means all, an empty state any.
func (c *Client) Claims(ctx context.Context, account contractor.Account, state, after string, limit int) (*ClaimPage, error) {
	query := pageQuery(after, limit)
	if account != "" {
		query.Set("account", string(account))
	}
	if state != "" {
		query.Set("state", state)
	}
	return get[ClaimPage](ctx, c, call{method: http.MethodGet, path: "/claims", query: query})
}

func claimPath(account contractor.Account, key string) string {
	return "/claims/" + url.PathEscape(string(account)) + "/" + url.PathEscape(key)
}

// Claim returns one claim.
func (c *Client) Claim(ctx context.Context, account contractor.Account, key string) (*deduplicator.ClaimInfo, error) {
	return get[deduplicator.ClaimInfo](ctx, c, call{method: http.MethodGet, path: claimPath(account, key)})
}

// ResolveClaim decides about a call whose outcome is unknown. Without a claim
// in r it decides about the one that is there now.
func (c *Client) ResolveClaim(ctx context.Context, account contractor.Account, key string, r Resolution) (*Resolved, error) {
	if r.Claim == "" {
		claim, err := c.Claim(ctx, account, key)
		if err != nil {
			return nil, err
		}
		r.Claim = claim.ClaimID
	}
	return get[Resolved](ctx, c, call{method: http.MethodPost, path: claimPath(account, key) + "/resolution", body: r})
}

// LiftQuarantine lets a request run again that crashed upstreams.
func (c *Client) LiftQuarantine(ctx context.Context, digest string) (*Lifted, error) {
	return get[Lifted](ctx, c, call{method: http.MethodDelete, path: "/quarantine/" + url.PathEscape(digest)})
}

// Status tells what is in force in all daemons.
func (c *Client) Status(ctx context.Context) (*FleetStatus, error) {
	return get[FleetStatus](ctx, c, call{method: http.MethodGet, path: "/status"})
}

// ChangeStatus tells where a change of section "contract" or "upstream" is in force.
func (c *Client) ChangeStatus(ctx context.Context, section string, revision contractor.Revision) (*ChangeStatus, error) {
	path := fmt.Sprintf("/changes/%s/%d", url.PathEscape(section), revision)
	return get[ChangeStatus](ctx, c, call{method: http.MethodGet, path: path})
}

func get[T any](ctx context.Context, c *Client, k call) (*T, error) {
	var out T
	if err := c.do(ctx, k, &out); err != nil {
		return nil, fmt.Errorf("%s %s: %w", k.method, k.path, err)
	}
	return &out, nil
}
