package launcher

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumline/balancer"
	"laburnumline/forwarder"
	"laburnumline/refuser"
)

// ExplainReport is the response of GET /explain. Times are in milliseconds.
type ExplainReport struct {
	ConfigurationVersion int64             `json:"configurationVersion"`
	Route                string            `json:"route,omitempty"`
	Service              string            `json:"service,omitempty"`
	Account              string            `json:"account,omitempty"`
	Share                *ShareReport      `json:"share,omitempty"`
	Quarantine           string            `json:"quarantine"`
	EvacuatedZones       []string          `json:"evacuatedZones,omitempty"`
	OtherDaemon          bool              `json:"otherDaemon,omitempty"`
	UncachedParts        []int             `json:"uncachedParts,omitempty"`
	Candidates           []CandidateReport `json:"candidates"`
	Chosen               string            `json:"chosen,omitempty"`
	FirstByteMs          float64           `json:"firstByteMs,omitempty"`
	RefusalProbability   float64           `json:"refusalProbability,omitempty"`
	Refusal              *ExplainedRefusal `json:"refusal,omitempty"`
}

// ShareReport is the account's share of its balance at the daemon, in tokens.
type ShareReport struct {
	Limited                                            bool
	Prepaid, Left, Granted, Spent, Reserved, Available int64
	Stage                                              int
	Fits, Waits                                        bool
	// Otherwise is how the request is refused if what it waits for does not arrive.
	Otherwise *ExplainedRefusal `json:",omitempty"`
}

// CandidateReport is one upstream with the terms of its cost.
type CandidateReport struct {
	Upstream, Zone, Software       string
	Excluded                       string `json:",omitempty"`
	CachedTokens, CommittedTokens  int64
	Preferred                      bool
	PrefillMs, AheadMs, Requests   float64
	Learned, Reported, Factor      float64
	FirstByteMs, CostMs, PlainCost float64
	EjectedForMs, PauseMs          float64 `json:",omitempty"`
	Limited                        bool    `json:",omitempty"`
	LimitPerSecond, Permission     float64 `json:",omitempty"`
	Cold                           string  `json:",omitempty"`
}

// ExplainedRefusal is how the request would be refused.
type ExplainedRefusal struct {
	Reason       string
	Detail       string  `json:",omitempty"`
	RetryAfterMs float64 `json:",omitempty"`
}

// metricsHandler serves the metrics and, to callers on this VM, explanations.
func (d *Daemon) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/explain", d.serveExplain)
	router.Mount("/", d.config.Recorder.Handler())
	return router
}

// isLocal reports whether a request comes from a loopback address or the address that it arrived at. The
// metrics address has no other authorization.
func isLocal(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	address := from.Addr().Unmap()
	if address.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	own, err := netip.ParseAddrPort(local.String())
	return err == nil && own.Addr().Unmap() == address
}

func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	if !isLocal(r) {
		http.Error(w, "explanations are given on this VM only", http.StatusForbidden)
		return
	}
	now := time.Now()
	request, err := d.explainRequest(now, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	explained, err := d.forwarder.Explain(now, request, forwarder.Explainers{Balancer: d.balancer, Budgets: d.shares, Quarantine: d.quarantiner})
	var unknown *forwarder.UnknownError
	if errors.As(err, &unknown) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	report := newExplainReport(explained)
	report.EvacuatedZones = d.evacuator.Zones()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report) // an error means that the caller has disconnected
}

// explainRequest reads the request that is to be explained. Its key is in a header, so that it stands in no URL.
func (d *Daemon) explainRequest(now time.Time, r *http.Request) (*forwarder.Request, error) {
	query := r.URL.Query()
	if query.Has("key") {
		return nil, errors.New("the key belongs into the header Authorization")
	}
	request := &forwarder.Request{
		Host: query.Get("host"), Path: query.Get("path"), Key: strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "), ReceivedAt: now,
	}
	var err error
	if value := query.Get("parts"); value != "" {
		if request.PromptParts, err = d.config.Adapter.ParsePromptParts(value); err != nil {
			return nil, &forwarder.UnknownError{Input: "prompt", Detail: err.Error()}
		}
	}
	if value := query.Get("tokens"); value != "" {
		if request.PromptTokens, request.MaxOutputTokens, err = d.config.Adapter.ParseTokenUsage(value); err != nil {
			return nil, &forwarder.UnknownError{Input: "prompt", Detail: err.Error()}
		}
	}
	return request, nil
}

func milliseconds(t time.Duration) float64 { return float64(t.Microseconds()) / 1000 }

func newExplainReport(e *forwarder.Explanation) *ExplainReport {
	report := &ExplainReport{
		ConfigurationVersion: e.Version, Quarantine: e.Quarantine.String(), OtherDaemon: e.Unreachable,
		UncachedParts: e.UncachedParts, RefusalProbability: e.Choice.RefusalProbability,
	}
	if e.Route != nil {
		report.Route = e.Route.Name
	}
	if e.Service != nil {
		report.Service = string(e.Service.Name)
	}
	if e.Account != nil {
		report.Account = string(e.Account.Name)
	}
	if s := e.Share; s != nil {
		report.Share = &ShareReport{
			Limited: s.Limited, Prepaid: int64(s.Prepaid), Left: int64(s.Left), Granted: int64(s.Granted), Spent: int64(s.Spent),
			Reserved: int64(s.Reserved), Available: int64(s.Available), Stage: s.Stage, Fits: s.Fits, Waits: s.Waits,
			Otherwise: newExplainedRefusal(s.Refusal),
		}
	}
	for i := range e.Choice.Candidates {
		report.Candidates = append(report.Candidates, newCandidateReport(&e.Choice.Candidates[i]))
	}
	if e.Choice.Chosen {
		report.Chosen, report.FirstByteMs = string(e.Choice.Choice.Upstream.Name), milliseconds(e.Choice.Choice.FirstByte)
	}
	report.Refusal = newExplainedRefusal(e.Refusal)
	return report
}

func newExplainedRefusal(r *refuser.Refusal) *ExplainedRefusal {
	if r == nil {
		return nil
	}
	return &ExplainedRefusal{Reason: r.Reason.String(), Detail: r.Detail, RetryAfterMs: milliseconds(r.RetryAfter)}
}

func newCandidateReport(c *balancer.CandidateExplanation) CandidateReport {
	report := CandidateReport{
		Upstream: string(c.Upstream.Name), Zone: c.Upstream.Zone, Software: c.Upstream.Software, Excluded: string(c.Exclusion),
		CachedTokens: c.CachedTokens, CommittedTokens: c.Committed, Preferred: c.Preferred,
		PrefillMs: milliseconds(c.Prefill), AheadMs: milliseconds(c.Ahead), Requests: c.Requests,
		Learned: c.Learned, Reported: c.Reported, Factor: c.Factor,
		FirstByteMs: milliseconds(c.FirstByte), CostMs: milliseconds(c.Cost), PlainCost: c.PlainCost,
		EjectedForMs: milliseconds(c.EjectedFor), PauseMs: milliseconds(c.Restriction.Pause),
		Limited: c.Restriction.Limit.Stated, LimitPerSecond: c.Restriction.Limit.Rate, Permission: c.Restriction.Permission,
	}
	if c.Restriction.Cold {
		report.Cold = c.Restriction.ColdCause
	}
	return report
}
