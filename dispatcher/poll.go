package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/contractor"
)

// maxReportBytes is the maximum size of an upstream's response to a small
// request.
const maxReportBytes = 1 << 20

// LoadReport is the load of an upstream as it was when the upstream measured
// it.
type LoadReport struct {
	// Running is the number of calls that the upstream executes.
	Running int
	// Queued is the number of calls that wait at the upstream.
	Queued int
	// Slots is the number of calls that can run at once. Zero means unknown.
	Slots int
	// Age is the time from the measurement to the report.
	Age time.Duration
	// At is the time of the measurement by the dispatcher's clock.
	At time.Time
}

type loadResponse struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Slots   int   `json:"slots"`
	AgeMS   int64 `json:"age_ms"`
}

// CacheEvent lists the prompt blocks that an engine's prefix cache stored and
// evicted. A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

type cacheEventsResponse struct {
	Events []CacheEvent `json:"events"`
}

// Action is the change that an order requests.
type Action string

// The actions of orders.
const (
	LoadModel   Action = "load_model"
	LoadAdapter Action = "load_adapter"
	LoadVersion Action = "load_version"
	UnloadModel Action = "unload_model"
	ChangeRole  Action = "change_role"
)

// Order tells an engine to change what it serves.
type Order struct {
	Action Action `json:"action"`
	// Target is the model, adapter or role.
	Target  string `json:"target"`
	Version string `json:"version,omitempty"`
	// Fence is the fencing token. A fenced engine rejects tokens lower than the
	// highest it has seen.
	Fence uint64 `json:"fence"`
}

// FetchLoad requests the load of an upstream.
func (d *Dispatcher) FetchLoad(ctx context.Context, u contractor.Upstream) (LoadReport, error) {
	sentAt := time.Now()
	var body loadResponse
	if err := d.callJSON(ctx, u, http.MethodGet, "/load", nil, &body); err != nil {
		return LoadReport{}, err
	}
	if body.Running < 0 || body.Queued < 0 || body.AgeMS < 0 {
		return LoadReport{}, &Failure{Phase: PartialResponse, Upstream: u.Name, Step: "load", Err: errors.Errorf("negative value in %+v", body)}
	}
	age := time.Duration(body.AgeMS) * time.Millisecond
	return LoadReport{Running: body.Running, Queued: body.Queued, Slots: body.Slots, Age: age, At: sentAt.Add(-age)}, nil
}

// FetchCacheEvents requests an engine's cache events after a sequence number.
func (d *Dispatcher) FetchCacheEvents(ctx context.Context, u contractor.Upstream, after uint64) ([]CacheEvent, error) {
	var body cacheEventsResponse
	path := "/cache_events?after=" + strconv.FormatUint(after, 10)
	if err := d.callJSON(ctx, u, http.MethodGet, path, nil, &body); err != nil {
		return nil, err
	}
	return body.Events, nil
}

// SendOrder sends an order to an engine. If the engine rejects the fencing
// token, the Status of the *Failure is 409.
func (d *Dispatcher) SendOrder(ctx context.Context, u contractor.Upstream, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return &Failure{Upstream: u.Name, Step: "build", Err: err}
	}
	return d.callJSON(ctx, u, http.MethodPost, "/orders", raw, nil)
}

// callJSON sends one small request and decodes the response into out unless out
// is nil.
func (d *Dispatcher) callJSON(ctx context.Context, u contractor.Upstream, method, path string, body []byte, out any) error {
	req, err := newRequest(ctx, method, strings.TrimSuffix(u.URL, "/")+path, body)
	if err != nil {
		return &Failure{Upstream: u.Name, Step: "build", Err: err}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := d.send(d.transportFor(method == http.MethodPost), req, u.Name)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	failure := &Failure{Phase: PartialResponse, Status: resp.StatusCode, Upstream: u.Name, Step: path}
	if err != nil {
		failure.Crashed = closedByPeer(err)
		failure.Err = err
		return failure
	}
	if resp.StatusCode/100 != 2 {
		failure.Err = errors.Wrapf(ErrStatus, "%.200s", bytes.TrimSpace(raw))
		return failure
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		failure.Err = err
		return failure
	}
	return nil
}
