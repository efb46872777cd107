package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"laburnumline/emulator"
)

const (
	// eventsPerStream and eventInterval are those of the runners' streams.
	eventsPerStream = 57
	eventInterval   = 120 * time.Millisecond
)

// arrival is a request that a runner runs.
type arrival struct {
	id   string
	sent string // address of the machine that sent it
	at   time.Time
}

// runner is a stand-in of a model runner: it streams events, each with the version of its software.
type runner struct {
	world                       *world
	name, service, software     string
	zone, address               string
	born                        int64
	server                      *http.Server
	mu                          sync.Mutex
	phase                       string
	sequence                    int
	arrivals                    []arrival
	stopBeats                   chan struct{}
	once                        sync.Once
	leaving                     bool
	beatsPaused, entryWithdrawn bool
}

// startRunner starts a runner and registers it.
func (w *world) startRunner(name, software, zone string) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		world: w, name: name, service: modelService, software: software, zone: zone, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), phase: "ready", stopBeats: make(chan struct{}),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(listener) }() // returns when close closes the server
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	r.beat()
	go r.keepBeating()
	return r, nil
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.beatsPaused || r.entryWithdrawn {
		return
	}
	r.world.store.PutAsOperator("servers/"+r.name, r.entry())
}

// entry returns the next entry. The lock is held.
func (r *runner) entry() []byte {
	r.sequence++
	return fmt.Appendf(nil, `{"backend":%q,"address":%q,"zone":%q,"version":%q,"batchSlots":64,"phase":%q,"warmupLeftMs":0,"seq":%d,"born":%d}`,
		r.service, r.address, r.zone, r.software, r.phase, r.sequence, r.born)
}

func (r *runner) keepBeating() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopBeats:
			return
		case <-ticker.C:
			r.beat()
		}
	}
}

func (r *runner) close() {
	r.once.Do(func() {
		close(r.stopBeats)
		_ = r.server.Close()
	})
}

// serve runs one request.
func (r *runner) serve(w http.ResponseWriter, request *http.Request) {
	h := w.Header()
	h.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	if request.URL.Path == "/healthz" {
		h.Set("Runner-Id", r.name)
		return
	}
	if expected := request.Header.Get("Expected-Runner"); expected != "" && expected != r.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the sender has disconnected
	}
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: request.Header.Get("Attempt-Id"), sent: from, at: time.Now()})
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	r.world.logf("runner %s (%s) runs %s after event %q", r.name, r.software, request.Header.Get("Attempt-Id"), request.Header.Get("Last-Event-Id"))
	h.Set("Runner-Signature", "signed by "+r.name)
	r.stream(request.Context(), w, request)
}

// stream sends the events after the one in the Last-Event-Id header.
func (r *runner) stream(ctx context.Context, w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // zero without the header
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for i := after + 1; i <= eventsPerStream; i++ {
		if _, err := io.WriteString(w, emulator.RunnerEvent(i, r.software)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write reports a client that has disconnected
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
