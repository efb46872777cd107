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
	"laburnumline/framer"
)

const (
	clientTimeout        = 30 * time.Second
	maxClientAttempts    = 5
	initialClientBackoff = 200 * time.Millisecond
	maxResponseBytes     = 64 << 20
)

// Client calls the administration API. It retries a call, a change with the same
// Idempotency-Key, if the response was lost or the store was unavailable.
type Client struct {
	// HTTP sends the requests. It may be replaced, for example to trust another
	// certificate.
	HTTP *http.Client
	base string
	key  string
}

// NewClient returns a Client for the API at a base URL, with an operator's key.
func NewClient(base, key string) *Client {
	return &Client{HTTP: framer.NewClient(clientTimeout), base: base, key: key}
}

// apiCall describes one call of the API.
type apiCall struct {
	method string
	path   string
	query  url.Values
	body   any
	// expected is sent as If-Match unless it is zero.
	expected contractor.Revision
}

// do makes a call, with retries, and decodes the response into out. An error response
// of the API is returned as a *Problem.
func (c *Client) do(ctx context.Context, call apiCall, out any) error {
	operation := uuid.NewString()
	backoff := initialClientBackoff
	var err error
	for attempt := range maxClientAttempts {
		if attempt > 0 {
			if sleepErr := sleep(ctx, backoff); sleepErr != nil {
				return err
			}
			backoff *= 2
		}
		err = c.attempt(ctx, call, operation, out)
		if err == nil || ctx.Err() != nil || !retryable(err) {
			return err
		}
	}
	return err
}

// errResponseLost means that no complete response was received.
var errResponseLost = errors.New("no whole answer")

// retryable reports whether a retry of a call may succeed.
func retryable(err error) bool {
	var p *Problem
	if errors.As(err, &p) {
		return p.Status == http.StatusServiceUnavailable
	}
	return errors.Is(err, errResponseLost)
}

func (c *Client) attempt(ctx context.Context, call apiCall, operation string, out any) error {
	raw, err := c.send(ctx, call, operation)
	if err != nil {
		return err
	}
	if rawOut, ok := out.(*[]byte); ok {
		*rawOut = raw
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode the answer of %s %s: %w", call.method, call.path, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, call apiCall, operation string) ([]byte, error) {
	var body io.Reader
	if call.body != nil {
		raw, err := json.Marshal(call.body)
		if err != nil {
			return nil, fmt.Errorf("encode the request of %s %s: %w", call.method, call.path, err)
		}
		body = bytes.NewReader(raw)
	}
	target := c.base + "/v1" + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if call.method != http.MethodGet {
		request.Header.Set("Idempotency-Key", operation)
	}
	if call.expected != 0 {
		request.Header.Set("If-Match", etag(call.expected))
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errResponseLost, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w of %s: %w", errResponseLost, target, err)
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
	return invoke[ContractState](ctx, c, apiCall{method: http.MethodPost, path: "/contracts", body: contract})
}

// AmendContract replaces a contract that was seen at a revision.
func (c *Client) AmendContract(ctx context.Context, contract *contractor.Contract, expected contractor.Revision) (*ContractState, error) {
	return invoke[ContractState](ctx, c, apiCall{method: http.MethodPut, path: contractPath(contract.Account), body: contract, expected: expected})
}

// RetireContract ends a contract that was seen at a revision. It stays as a tombstone.
func (c *Client) RetireContract(ctx context.Context, account contractor.Account, expected contractor.Revision) (*ContractState, error) {
	return invoke[ContractState](ctx, c, apiCall{method: http.MethodDelete, path: contractPath(account), expected: expected})
}

// Contract returns a contract with its balances.
func (c *Client) Contract(ctx context.Context, account contractor.Account) (*ContractState, error) {
	return invoke[ContractState](ctx, c, apiCall{method: http.MethodGet, path: contractPath(account)})
}

// Contracts returns the page of contracts that follows an account.
func (c *Client) Contracts(ctx context.Context, after string, limit int) (*ContractPage, error) {
	return invoke[ContractPage](ctx, c, apiCall{method: http.MethodGet, path: "/contracts", query: pageQuery(after, limit)})
}

// ContractHistory returns the newest changes of a contract.
func (c *Client) ContractHistory(ctx context.Context, account contractor.Account, limit int) (*History, error) {
	return invoke[History](ctx, c, apiCall{method: http.MethodGet, path: contractPath(account) + "/history", query: pageQuery("", limit)})
}

// TopUpBudget raises the prepaid amount of a budget, once per ID.
func (c *Client) TopUpBudget(ctx context.Context, account contractor.Account, budget contractor.BudgetName, t TopUpRequest) (*biller.Receipt, error) {
	return invoke[biller.Receipt](ctx, c, apiCall{method: http.MethodPost, path: budgetPath(account, budget) + "/topups", body: t})
}

// ReleaseUnaccounted moves a part of a budget's unaccounted amount to its free balance.
func (c *Client) ReleaseUnaccounted(ctx context.Context, account contractor.Account, budget contractor.BudgetName, r ReleaseRequest) (*ReleaseResult, error) {
	return invoke[ReleaseResult](ctx, c, apiCall{method: http.MethodPost, path: budgetPath(account, budget) + "/release", body: r})
}

// Bill returns the bill of an account for a period. A zero from or to is left to the
// server, which uses the earliest record or the current time.
func (c *Client) Bill(ctx context.Context, account contractor.Account, from, to time.Time) (*Bill, error) {
	return invoke[Bill](ctx, c, apiCall{method: http.MethodGet, path: contractPath(account) + "/bills", query: periodQuery(from, to)})
}

// BillCSV returns the bill of an account for a period as CSV.
func (c *Client) BillCSV(ctx context.Context, account contractor.Account, from, to time.Time) ([]byte, error) {
	query := periodQuery(from, to)
	query.Set("format", "csv")
	raw, err := invoke[[]byte](ctx, c, apiCall{method: http.MethodGet, path: contractPath(account) + "/bills", query: query})
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
	return invoke[UpstreamState](ctx, c, apiCall{method: http.MethodPost, path: "/upstreams", body: u})
}

// AmendUpstream replaces an announcement that was seen at a revision.
func (c *Client) AmendUpstream(ctx context.Context, u *contractor.Upstream, expected contractor.Revision) (*UpstreamState, error) {
	return invoke[UpstreamState](ctx, c, apiCall{method: http.MethodPut, path: upstreamPath(u.Name), body: u, expected: expected})
}

// LeaveUpstream announces that an upstream is leaving, so that it gets no new work. A
// zero revision means any.
func (c *Client) LeaveUpstream(ctx context.Context, name string, expected contractor.Revision) (*UpstreamState, error) {
	return invoke[UpstreamState](ctx, c, apiCall{method: http.MethodPost, path: upstreamPath(name) + "/leave", expected: expected})
}

// RemoveUpstream removes the announcement of a leaving upstream. A zero revision means
// any.
func (c *Client) RemoveUpstream(ctx context.Context, name string, expected contractor.Revision) (*UpstreamState, error) {
	return invoke[UpstreamState](ctx, c, apiCall{method: http.MethodDelete, path: upstreamPath(name), expected: expected})
}

// Upstream returns the announcement of an upstream.
func (c *Client) Upstream(ctx context.Context, name string) (*UpstreamState, error) {
	return invoke[UpstreamState](ctx, c, apiCall{method: http.MethodGet, path: upstreamPath(name)})
}

// Upstreams returns the page of announcements that follows a name.
func (c *Client) Upstreams(ctx context.Context, after string, limit int) (*UpstreamPage, error) {
	return invoke[UpstreamPage](ctx, c, apiCall{method: http.MethodGet, path: "/upstreams", query: pageQuery(after, limit)})
}

// UpstreamHistory returns the newest changes of an announcement.
func (c *Client) UpstreamHistory(ctx context.Context, name string, limit int) (*History, error) {
	return invoke[History](ctx, c, apiCall{method: http.MethodGet, path: upstreamPath(name) + "/history", query: pageQuery("", limit)})
}

// Claims returns the page of claims that follows a claim. An empty account means all
// accounts, an empty state any state.
func (c *Client) Claims(ctx context.Context, account contractor.Account, state, after string, limit int) (*ClaimPage, error) {
	query := pageQuery(after, limit)
	if account != "" {
		query.Set("account", string(account))
	}
	if state != "" {
		query.Set("state", state)
	}
	return invoke[ClaimPage](ctx, c, apiCall{method: http.MethodGet, path: "/claims", query: query})
}

func claimPath(account contractor.Account, key string) string {
	return "/claims/" + url.PathEscape(string(account)) + "/" + url.PathEscape(key)
}

// Claim returns one claim.
func (c *Client) Claim(ctx context.Context, account contractor.Account, key string) (*deduplicator.ClaimInfo, error) {
	return invoke[deduplicator.ClaimInfo](ctx, c, apiCall{method: http.MethodGet, path: claimPath(account, key)})
}

// ResolveClaim resolves a claim whose outcome is unknown. If r names no claim, it
// resolves the current claim on the key.
func (c *Client) ResolveClaim(ctx context.Context, account contractor.Account, key string, r Resolution) (*ResolutionResult, error) {
	if r.Claim == "" {
		claim, err := c.Claim(ctx, account, key)
		if err != nil {
			return nil, err
		}
		r.Claim = claim.ClaimID
	}
	return invoke[ResolutionResult](ctx, c, apiCall{method: http.MethodPost, path: claimPath(account, key) + "/resolution", body: r})
}

// LiftQuarantine allows a quarantined request to be executed again.
func (c *Client) LiftQuarantine(ctx context.Context, digest string) (*LiftResult, error) {
	return invoke[LiftResult](ctx, c, apiCall{method: http.MethodDelete, path: "/quarantine/" + url.PathEscape(digest)})
}

// Status returns the revisions that the daemons have applied.
func (c *Client) Status(ctx context.Context) (*FleetStatus, error) {
	return invoke[FleetStatus](ctx, c, apiCall{method: http.MethodGet, path: "/status"})
}

// ChangeStatus returns which daemons have applied a change of section "contract" or
// "upstream".
func (c *Client) ChangeStatus(ctx context.Context, section string, revision contractor.Revision) (*ChangeStatus, error) {
	path := fmt.Sprintf("/changes/%s/%d", url.PathEscape(section), revision)
	return invoke[ChangeStatus](ctx, c, apiCall{method: http.MethodGet, path: path})
}

func invoke[T any](ctx context.Context, c *Client, call apiCall) (*T, error) {
	var out T
	if err := c.do(ctx, call, &out); err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, call.path, err)
	}
	return &out, nil
}
