package soaker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"laburnumline/emulator"
)

const (
	host     = "a.example"
	firstKey = "key-1"
	// prepaid is so little that accounts run out during a run.
	prepaid = 150_000
	// promptTokens and outputTokens are what a draft needs, of which an event has eventTokens.
	promptTokens = 400
	events       = 30
	eventTokens  = 3
	outputTokens = events * eventTokens
	upstreams    = 2 // of each service
	// topUp is what an account prepays when the configuration changes.
	topUp = 5_000
)

// site is the stand-ins: the store with its operator, and the upstreams.
type site struct {
	store   *emulator.Store
	server  *http.Server
	address string
	desks   []*emulator.Runner
	models  []*emulator.Runner

	mu      sync.Mutex
	version int
	keys    []string
	prepaid int
}

func newSite() (*site, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{
		store: emulator.NewStore(emulator.StoreConfig{}), address: l.Addr().String(), prepaid: prepaid, keys: []string{firstKey},
	}
	s.server = &http.Server{Handler: s.store.PlatformHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with close
	s.configure()
	for i := range upstreams {
		desk := emulator.NewRunner(emulator.RunnerConfig{Name: fmt.Sprint("desk-", i)})
		model := emulator.NewRunner(emulator.RunnerConfig{Name: fmt.Sprint("model-", i), Events: events, EventInterval: 2 * time.Millisecond})
		if err := s.announce(fmt.Sprint("desk-", i), "desk", desk); err != nil {
			return nil, err
		}
		if err := s.announce(fmt.Sprint("model-", i), "model", model); err != nil {
			return nil, err
		}
		s.desks, s.models = append(s.desks, desk), append(s.models, model)
	}
	return s, nil
}

func (s *site) close() {
	_ = s.server.Close()
	for _, r := range append(s.desks, s.models...) {
		_ = r.Close() // the run is over
	}
}

func (s *site) announce(name, service string, r *emulator.Runner) error {
	url, err := r.Serve()
	if err != nil {
		return err
	}
	s.store.PutAsOperator("servers/"+name, fmt.Appendf(nil,
		`{"backend":%q,"address":%q,"zone":"z","version":"v1","batchSlots":64,"phase":"ready","warmupLeftMs":0,"seq":1}`,
		service, strings.TrimPrefix(url, "http://")))
	return nil
}

// newKey adds a key to the configuration and returns it.
func (s *site) newKey() string {
	s.mu.Lock()
	key := fmt.Sprint("key-", len(s.keys)+1)
	s.keys = append(s.keys, key)
	s.mu.Unlock()
	s.configure()
	return key
}

// raise raises what the account has prepaid.
func (s *site) raise() {
	s.mu.Lock()
	s.prepaid += topUp
	s.mu.Unlock()
	s.configure()
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	type object = map[string]any
	text, err := json.Marshal(object{
		"version": s.version,
		"routes": []object{
			{"name": "plain", "hostname": host, "prefix": "/plain/", "routeType": "non_idempotent", "timeoutMs": 3000, "backend": "desk", "attempts": 2},
			{"name": "drafts", "hostname": host, "prefix": "/drafts/", "routeType": "streaming", "timeoutMs": 6000, "backend": "model", "attempts": 3, "resumable": true},
		},
		"backends": []object{
			{"name": "desk", "healthPath": "/healthz", "maxConnections": 1000},
			{"name": "model", "healthPath": "/healthz", "maxConnections": 1000, "backendEngine": object{"batchSlots": 64, "kvCapacity": 400_000, "interval": eventTokens}},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants": []object{{"name": "account", "apiKeys": s.keys, "prepaid": s.prepaid}},
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	s.store.PutAsOperator("op/config", text)
}

// prepaidNow returns what the account has prepaid by now.
func (s *site) prepaidNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prepaid
}
