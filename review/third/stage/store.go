package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumline/emulator"
)

// Store is the platform's store: the project's own stand-in behind a switch that lets its answers stay away.
type Store struct {
	*emulator.Store
	Address string
	server  *http.Server

	mu      sync.Mutex
	away    bool
	leaves  chan struct{} // closed when the store goes away
	entries map[string]func() []byte
	version int
	config  []byte
}

func newStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Store: emulator.NewStore(emulator.StoreConfig{ReportConflicts: true}), Address: l.Addr().String(),
		entries: make(map[string]func() []byte), leaves: make(chan struct{}),
	}
	handler := s.PlatformHandler()
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAway() {
			<-r.Context().Done() // nothing is done, and no answer comes
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-s.awayChannel():
				cancel()
			case <-ctx.Done():
			}
		}()
		handler.ServeHTTP(&awayWriter{ResponseWriter: w, store: s, request: r}, r.WithContext(ctx))
	})}
	go func() { _ = s.server.Serve(l) }() // returns when close closes the server
	return s, nil
}

// awayWriter sends no answer while the store is away.
type awayWriter struct {
	http.ResponseWriter
	store   *Store
	request *http.Request
}

func (w *awayWriter) WriteHeader(status int) {
	if w.store.isAway() {
		<-w.request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *Store) close() { _ = s.server.Close() }

func (s *Store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// awayChannel returns a channel that is closed when the store goes away.
func (s *Store) awayChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaves
}

// GoAway lets the store answer nothing. Calls that arrive meanwhile are never done.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.leaves)
	s.leaves = make(chan struct{})
}

// ComeBack lets the store answer again.
func (s *Store) ComeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
}

// Rewrite writes again what the operator and the runners wrote, after a restore.
func (s *Store) Rewrite() {
	s.mu.Lock()
	config := s.config
	entries := make(map[string][]byte)
	for key, value := range s.entries {
		entries[key] = value()
	}
	s.mu.Unlock()
	s.PutAsOperator("op/config", config)
	for key, value := range entries {
		s.PutAsOperator(key, value)
	}
}

// Tenant is a tenant of the config with one key, which is its name.
type Tenant struct {
	Name    string
	Prepaid int
}

type object = map[string]any

// IdleTimeout is the limit of idle connections of clients in the config.
const IdleTimeout = 15 * time.Second

// Configure writes the next version of the config as the operator does.
func (s *Store) Configure(tenants []Tenant) { s.ConfigureIdle(tenants, IdleTimeout) }

// ConfigureIdle is Configure with another limit of idle connections of clients.
func (s *Store) ConfigureIdle(tenants []Tenant, idle time.Duration) {
	s.mu.Lock()
	s.version++
	var list []object
	for _, t := range tenants {
		list = append(list, object{"name": t.Name, "apiKeys": []string{t.Name}, "prepaid": t.Prepaid})
	}
	text, err := json.Marshal(object{
		"version": s.version,
		"routes": []object{
			{"name": "mesh-rev", "hostname": Host, "prefix": ModelPath, "routeType": "streaming", "timeoutMs": 6000, "targetLatencyMs": 600, "targetItlMs": 300,
				"priority": 0, "backend": Model, "attempts": 2, "resumable": true, "sessionAffinity": true},
			{"name": "rig-ask", "hostname": Host, "prefix": AskPath, "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 500, "targetItlMs": 300,
				"priority": 2, "backend": Model, "attempts": 1, "resumable": false, "sessionAffinity": true},
			{"name": "order-confirm", "hostname": Host, "prefix": DeskPath, "routeType": "non_idempotent", "timeoutMs": 600, "targetLatencyMs": 120,
				"priority": 2, "backend": Desk, "attempts": 1},
		},
		"backends": []object{
			{"name": Model, "healthPath": "/healthz", "maxConnections": 360, "backendEngine": object{"batchSlots": 64, "kvCapacity": 448621, "interval": TokensPerEvent}},
			{"name": Desk, "healthPath": "/healthz", "maxConnections": 100},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idle.Milliseconds()},
		"tenants": list,
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	s.config = text
	s.mu.Unlock()
	s.PutAsOperator("op/config", text)
}

// Register lets a runner write its entry, now and at each heartbeat while alive returns true.
func (s *Store) Register(key string, entry func() []byte, alive func() bool) {
	s.mu.Lock()
	s.entries[key] = entry
	s.mu.Unlock()
	s.PutAsOperator(key, entry())
	go func() {
		for time.Sleep(HeartbeatTime); alive(); time.Sleep(HeartbeatTime) {
			if !s.isAway() {
				s.PutAsOperator(key, entry())
			}
		}
	}()
}

// Write writes the entry of a runner as soon as the store accepts it.
func (s *Store) Write(key string) {
	for s.isAway() {
		time.Sleep(10 * time.Millisecond)
	}
	s.mu.Lock()
	entry := s.entries[key]
	s.mu.Unlock()
	s.PutAsOperator(key, entry())
}

// Unregister removes an entry.
func (s *Store) Unregister(key string) {
	s.mu.Lock()
	delete(s.entries, key)
	s.mu.Unlock()
	s.RemoveAsOperator(key)
}

// String names the store.
func (s *Store) String() string { return fmt.Sprintf("store at %s", s.Address) }
