package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tokensPerEvent is that of the site's engines.
	tokensPerEvent = 3
	engineSlots    = 64
	plainSlots     = 6
	signature      = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// run is one execution of a request by a runner.
type run struct {
	id     string
	runner string
	at     time.Time
	// sound is false if the runner answered with bytes that are no answer.
	sound bool
}

// runner is a stand-in of a runner that follows the users' protocol. It behaves soundly unless its fault
// says otherwise.
type runner struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	// version is that of the runner's software. Empty means v1.
	version string
	engine  bool
	address string
	server  *http.Server
	born    time.Time

	// work is the time until an answer, or until the first event of a stream. gap is that between events.
	work, gap time.Duration
	// fault, if set, may answer a request in another way, and reports whether it did.
	fault func(r *runner, w http.ResponseWriter, request *http.Request) bool

	active  atomic.Int64
	leaving atomic.Bool
	// unlisted keeps the runner from writing its entry.
	unlisted atomic.Bool
	seq      int64

	mu   sync.Mutex
	runs []run
}

// addRunner starts a runner and its check-ins.
func (f *fleet) addRunner(r *runner) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.startRunner(r, l)
	return nil
}

// startRunner starts a runner at a listener.
func (f *fleet) startRunner(r *runner, l net.Listener) {
	r.fleet, r.address, r.born = f, l.Addr().String(), time.Now()
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, IdleTimeout: 5 * time.Second}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	go func() { _ = r.server.Serve(l) }() // ends with close
	go r.checkIn()
}

func (r *runner) close() { _ = r.server.Close() }

// checkIn writes the runner's entry to the store about every heartbeat.
func (r *runner) checkIn() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if !r.unlisted.Load() {
			r.writeEntry()
		}
		select {
		case <-r.fleet.done:
			return
		case <-ticker.C:
		}
	}
}

func (r *runner) writeEntry() {
	phase := "ready"
	if r.leaving.Load() {
		phase = "draining"
	}
	slots := plainSlots
	if r.engine {
		slots = engineSlots
	}
	seq := atomic.AddInt64(&r.seq, 1)
	entry, err := json.Marshal(map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": cmp.Or(r.version, "v1"), "batchSlots": slots, "phase": phase,
		"warmupLeftMs": 0, "phaseKind": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}},
		"seq": seq, "born": r.born.UnixMilli(),
	})
	if err == nil {
		r.fleet.store.PutAsOperator("servers/"+r.id, entry)
	}
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	h := w.Header()
	h.Set("Runner-Id", r.id)
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if request.URL.Path == "/healthz" {
		if r.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := request.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if expected := request.Header.Get("Expected-Runner"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.fault != nil && r.fault(r, w, request) {
		return
	}
	r.recordRun(id, true)
	h.Set("Runner-Signature", signature)
	h.Set("Runner-Load", fmt.Sprintf("%d,0,%d", r.active.Load(), engineSlots))
	if !sleepFor(request, r.work) {
		return
	}
	if !r.engine {
		h.Set("Content-Type", "text/plain")
		_, _ = fmt.Fprint(w, strings.Repeat("x", 800)) // fails if the daemon has gone
		return
	}
	r.stream(w, request)
}

// stream answers with the events that the request asks for, from the one after Last-Event-Id on.
func (r *runner) stream(w http.ResponseWriter, request *http.Request) {
	_, output := tokenUsage(request.Header.Get("Token-Usage"))
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // absent: from the first
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	for event := last + 1; event <= output/tokensPerEvent; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", event, request.Header.Get("Attempt-Id"), event); err != nil {
			return
		}
		if control.Flush() != nil || !sleepFor(request, r.gap) {
			return
		}
	}
}

func (r *runner) recordRun(id string, sound bool) {
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, runner: r.id, at: time.Now(), sound: sound})
	r.mu.Unlock()
	if !sound {
		r.fleet.journal.printf("%s runs %s, and its answer has no end", r.id, id)
	}
}

// runsOf returns the runs of all runners by the id of the request.
func (f *fleet) runsOf() map[string][]run {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string][]run)
	for _, r := range f.runners {
		r.mu.Lock()
		for _, one := range r.runs {
			all[one.id] = append(all[one.id], one)
		}
		r.mu.Unlock()
	}
	return all
}

// sleepFor waits, and reports false if the request is cancelled meanwhile.
func sleepFor(request *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// tokenUsage reads "PROMPT,OUTPUT".
func tokenUsage(value string) (prompt, output int) {
	first, second, _ := strings.Cut(value, ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}
