package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumline/emulator"
)

const (
	// eventInterval is the time between two events.
	eventInterval = 120 * time.Millisecond
	// crashPart is the prompt part with which a request crashes each runner that begins to write an answer on it. The runner is
	// back after crashTime.
	crashPart = "dead0001"
	crashTime = 3 * time.Second
	// reportDelay is the time between the last beat of a runner that is ready and its report that it is draining.
	reportDelay = 300 * time.Millisecond
)

// arrival is a request that a runner runs.
type arrival struct {
	id string
	at time.Time
}

// runner is a stand-in of a model runner: it streams events, each with the version of its software.
type runner struct {
	world                   *world
	name, service, software string
	zone, address           string
	born                    int64
	server                  *http.Server
	stopBeats               chan struct{}
	once                    sync.Once

	mu       sync.Mutex
	phase    string // "ready" or "draining"
	sequence int    // of the last beat
	down     bool
	crashes  []time.Time
	arrivals []arrival
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
	r.listen(listener)
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	r.beat()
	go r.keepBeating()
	return r, nil
}

// listen serves requests that arrive at a listener.
func (r *runner) listen(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }() // returns when the server is closed
}

// crash ends the runner: its connections are closed and new ones refused. It is back after a time under its id, as a new start.
func (r *runner) crash() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	r.crashes = append(r.crashes, time.Now())
	server := r.server
	r.mu.Unlock()
	r.world.logf("runner %s crashes", r.name)
	_ = server.Close() // closes all connections
	time.AfterFunc(crashTime, func() {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			r.world.logf("runner %s stays down: %v", r.name, err)
			return
		}
		r.mu.Lock()
		r.down, r.born, r.sequence = false, time.Now().UnixMilli(), 0
		r.mu.Unlock()
		r.listen(listener)
		r.beat()
	})
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.world.store.PutAsOperator("servers/"+r.name, r.entry())
}

// leave reports that the runner leaves. Its beat before that gets no answer from the store: it takes effect late, or at once if
// late is zero. From the report on, all answers say that the runner leaves. It goes on to beat and to serve.
func (r *runner) leave(late time.Duration) {
	r.mu.Lock()
	unanswered := r.entry()
	r.mu.Unlock()
	time.AfterFunc(late, func() {
		r.world.logf("a beat of runner %s takes effect in the store: %s", r.name, unanswered)
		r.world.store.PutAsOperator("servers/"+r.name, unanswered)
	})
	time.Sleep(reportDelay)
	r.mu.Lock()
	r.phase = "draining"
	r.mu.Unlock()
	r.beat()
	r.world.logf("the store has accepted that runner %s is draining", r.name)
}

// leaves reports whether the runner leaves, as the store has accepted.
func (r *runner) leaves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase == "draining"
}

// entry returns the next entry. The lock is held.
func (r *runner) entry() []byte {
	r.sequence++
	return fmt.Appendf(nil, `{"backend":%q,"address":%q,"zone":%q,"version":%q,"batchSlots":64,"phase":%q,"warmupLeftMs":0,"seq":%d,"born":%d}`,
		r.service, r.address, r.zone, r.software, r.phase, r.sequence, r.born)
}

// keepBeating writes the entry in the interval of heartbeats, which begin at a random time.
func (r *runner) keepBeating() {
	time.Sleep(rand.N(heartbeat))
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
		r.mu.Lock()
		r.down = true
		server := r.server
		r.mu.Unlock()
		_ = server.Close()
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
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: request.Header.Get("Attempt-Id"), at: time.Now()})
	r.mu.Unlock()
	r.world.logf("runner %s (%s) runs %s after event %q", r.name, r.software, request.Header.Get("Attempt-Id"), request.Header.Get("Last-Event-Id"))
	h.Set("Runner-Signature", r.name)
	select {
	case <-time.After(r.world.load.firstToken):
	case <-request.Context().Done():
		return
	}
	if strings.Contains(request.Header.Get("Prompt-Prefix"), crashPart+":") {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	if r.leaves() {
		h.Set("Server-Leaving", "1")
	}
	r.stream(request.Context(), w, request)
}

// stream sends the events after the one in the Last-Event-Id header.
func (r *runner) stream(ctx context.Context, w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // zero without the header
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	for i := after + 1; i <= r.world.load.events; i++ {
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
