package assembler

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"laburnumline/administrator"
	"laburnumline/configurer"
	"laburnumline/router"
)

const (
	operatorsHeaderTimeout = 10 * time.Second
	operatorsHeaderBytes   = 64 << 10
)

// openOperators creates the HTTP server for operators and opens its listener.
func (d *Daemon) openOperators() error {
	var err error
	d.administrator, err = administrator.New(administrator.Config{
		Store:      d.store,
		Watcher:    d.watcher,
		Claims:     d.deduplicator,
		Quarantine: d.registry,
		Operators:  convertOperators(d.settings.Operators.Operators),
		Recorder:   d.recorder,
	})
	if err != nil {
		return errors.Wrap(err, "open operators' interface")
	}
	tlsConfig, err := d.serverTLS("operators", d.settings.TLS.OperatorsCertificate, d.settings.TLS.OperatorsKey)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", d.settings.Listen.Operators.String())
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	d.operatorsListener = listener
	if tlsConfig != nil {
		d.operatorsListener = tls.NewListener(listener, tlsConfig)
	}
	d.operatorsServer = &http.Server{Handler: d.operatorsHandler(), ReadHeaderTimeout: operatorsHeaderTimeout, MaxHeaderBytes: operatorsHeaderBytes, ErrorLog: d.recorder.HTTPErrorLog("operators")}
	return nil
}

func convertOperators(settings []configurer.Operator) []administrator.Operator {
	list := make([]administrator.Operator, 0, len(settings))
	for _, o := range settings {
		role := administrator.Viewer
		if o.Role == configurer.Editor {
			role = administrator.Editor
		}
		list = append(list, administrator.Operator{Name: o.Name, Role: role, Hash: o.Hash})
	}
	return list
}

// operatorsHandler returns the HTTP handler for operators: the administration API,
// metrics, health, readiness and the state of the daemon.
func (d *Daemon) operatorsHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.lifetime.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Get("/daemon", d.serveDaemon)
	mux.Handle("/metrics", d.recorder.Handler())
	mux.Mount("/", d.administrator.Handler())
	return mux
}

// State is the state of a daemon, as /daemon reports it to operators.
type State struct {
	VM               string            `json:"vm"`
	Zone             string            `json:"zone"`
	Incarnation      uint64            `json:"incarnation"`
	Ready            bool              `json:"ready"`
	Running          int64             `json:"running_requests"`
	StoreUnavailable bool              `json:"store_away"`
	Members          []MemberState     `json:"members"`
	Upstreams        []router.State    `json:"upstreams,omitempty"`
	Budgets          []json.RawMessage `json:"budgets,omitempty"`
}

// MemberState is the state of one daemon of the fleet, as this one sees it.
type MemberState struct {
	VM        string        `json:"vm"`
	Zone      string        `json:"zone"`
	State     string        `json:"state"`
	RoundTrip time.Duration `json:"round_trip_ns"`
}

// State returns the state of the daemon, with its view of the fleet.
func (d *Daemon) State() State {
	budgets := d.treasurer.Status()
	s := State{
		VM:               string(d.self.VM),
		Zone:             string(d.self.Zone),
		Incarnation:      uint64(d.self.Incarnation),
		Ready:            d.lifetime.ready.Load(),
		Running:          d.server.Running(),
		StoreUnavailable: budgets.StoreUnavailable,
		Upstreams:        d.router.Snapshot(time.Now()),
	}
	for _, m := range d.tracker.Snapshot() {
		s.Members = append(s.Members, MemberState{
			VM:        string(m.Peer.VM),
			Zone:      string(m.Peer.Zone),
			State:     m.State.String(),
			RoundTrip: m.RoundTrip,
		})
	}
	for _, k := range budgets.KeeperAccounts {
		if text, err := json.Marshal(k); err == nil {
			s.Budgets = append(s.Budgets, text)
		}
	}
	return s
}

func (d *Daemon) serveDaemon(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.State())
}
