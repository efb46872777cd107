package stage

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// TokensPerEvent is the number of tokens in each event of a stream.
const TokensPerEvent = 3

// Run is a run of a request by a runner.
type Run struct {
	ID, Tenant, Runner, ResumeAfter string
	// From is the address of the machine, without its port.
	From string
	At   time.Time
}

// Runner is a runner of one service.
type Runner struct {
	ID, Service, Version, Zone, Address string
	// EventInterval is the time between two events of a stream. WorkTime is how long a plain request takes.
	EventInterval, WorkTime time.Duration

	stage    *Stage
	server   *http.Server
	sequence atomic.Int64
	leaving  atomic.Bool
	ended    atomic.Bool

	mu   sync.Mutex
	runs []Run
}

// AddRunner starts a runner and registers it.
func (s *Stage) AddRunner(service, version string, eventInterval, workTime time.Duration) (*Runner, error) {
	i := len(s.Runners)
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", s.network, 100+i))
	if err != nil {
		return nil, err
	}
	r := &Runner{
		ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: service, Version: version, Zone: zones[i%len(zones)],
		Address: l.Addr().String(), EventInterval: eventInterval, WorkTime: workTime, stage: s,
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }() // returns when close closes the server
	s.Runners = append(s.Runners, r)
	born := time.Now().UnixMilli()
	s.Store.Register("servers/"+r.ID, func() []byte {
		phase := "ready"
		if r.leaving.Load() {
			phase = "draining"
		}
		text, err := json.Marshal(object{
			"backend": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "batchSlots": 64,
			"phase": phase, "warmupLeftMs": 0, "seq": r.sequence.Add(1), "born": born,
		})
		if err != nil {
			panic(err) // the types above can be encoded
		}
		return text
	}, func() bool { return !r.ended.Load() })
	return r, nil
}

func (r *Runner) close() {
	r.ended.Store(true)
	_ = r.server.Close()
}

// Leave lets the runner say in all answers that it leaves, and report that it drains as soon as the store accepts it. It
// serves until the end of the run.
func (r *Runner) Leave() {
	r.leaving.Store(true)
	r.stage.Log("%s leaves", r.ID)
	go func() {
		r.stage.Store.Write("servers/" + r.ID)
		r.stage.Log("the store has accepted that %s drains", r.ID)
	}()
}

// Runs returns the runs so far.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP runs a request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return // the sender has closed the connection
	}
	id, h := request.Header.Get("Attempt-Id"), w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Runner-Id", r.ID)
	h.Set("Keep-Alive", "timeout=10")
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if request.URL.Path == "/healthz" {
		return
	}
	if expected := request.Header.Get("Expected-Runner"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, _, _ := net.SplitHostPort(request.RemoteAddr) // empty if it has no port
	r.mu.Lock()
	r.runs = append(r.runs, Run{
		ID: id, Tenant: request.Header.Get("Tenant"), Runner: r.ID, ResumeAfter: request.Header.Get("Last-Event-Id"), From: from, At: time.Now(),
	})
	r.mu.Unlock()
	r.stage.Log("run %s of %s at %s (%s) from %s after %q", id, request.Header.Get("Tenant"), r.ID, r.Version, from, request.Header.Get("Last-Event-Id"))
	h.Set("Runner-Signature", "signed."+r.ID+"."+id)
	if r.Service == Desk {
		time.Sleep(r.WorkTime)
		_, _ = io.WriteString(w, "done "+id) // an error means that the sender has closed the connection
		return
	}
	r.stream(w, request)
}

// stream sends events until the output is complete. The output is the maximum that the request names.
func (r *Runner) stream(w http.ResponseWriter, request *http.Request) {
	_, output, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // without a number it starts at the first event
	w.Header().Set("Content-Type", "text/event-stream")
	for i := after + 1; i <= tokens/TokensPerEvent; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, r.Version, r.ID, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write reports an error
		select {
		case <-time.After(r.EventInterval):
		case <-request.Context().Done():
			return
		}
	}
}
