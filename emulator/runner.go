package emulator

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/sleeper"
)

// RunnerFault is the fault that a Runner injects into one request.
type RunnerFault uint8

const (
	// RunnerNoFault runs the request and responds.
	RunnerNoFault RunnerFault = iota
	// RunnerFull rejects the request with status 503 and the Not-Executed header.
	RunnerFull
	// RunnerMisdirected responds with status 421: the address belongs to another
	// upstream. The request does not run.
	RunnerMisdirected
	// RunnerLoseResponse runs the request and closes the connection without a response.
	RunnerLoseResponse
	// RunnerTruncate runs the request and closes the connection in the middle of the
	// response.
	RunnerTruncate
	// RunnerFail runs the request and responds with status 500.
	RunnerFail
	// RunnerUnframed runs the request and sends the response with neither a length nor
	// chunks; it ends with its connection.
	RunnerUnframed
	// RunnerTruncateUnframed is RunnerUnframed and RunnerTruncate. The connection of a plain
	// response is reset, because nothing else shows that it is truncated.
	RunnerTruncateUnframed
	// RunnerCutHead runs the request and closes the connection in the middle of the head of the
	// response, at a byte that depends on the request.
	RunnerCutHead
)

// RunnerExecution is one execution of a request by a Runner.
type RunnerExecution struct {
	ID, Path, Account, Body, LastEventID string
	// Crash is true if the request crashed the runner.
	Crash bool
	At    time.Time
}

// RunnerArrival is a request that reached a Runner.
type RunnerArrival struct {
	ID string
	At time.Time
}

// RunnerConfig describes a Runner.
type RunnerConfig struct {
	// Name is compared with the Expected-Runner header of requests that have one.
	Name string
	// Events is the number of events of a stream. Zero sends plain responses.
	Events int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// WorkTime is the time from the arrival of a request to the start of its response.
	WorkTime time.Duration
	// CrashPart is the ID of a prompt part. The runner crashes when it starts to answer a
	// request with that part, and is back after CrashDowntime. Empty means no part.
	CrashPart     string
	CrashDowntime time.Duration
	// Software is the version of the runner's software, which its events name. Empty means that
	// they name none.
	Software string
}

// Runner is a fake upstream with the HTTP protocol of the users' platform.
type Runner struct {
	loopbackServer
	config RunnerConfig

	mu         sync.Mutex
	faults     []RunnerFault
	executions []RunnerExecution
	arrivals   []RunnerArrival
	// limit is the request limit that responses state, or negative.
	limit float64
	// coldUntil is the end of the warm-up. A cold runner crashes when maxCold requests arrive within one
	// second, and counts that in overloads.
	coldUntil time.Time
	maxCold   int
	overloads int
}

// NewRunner returns a runner. Serve starts it.
func NewRunner(c RunnerConfig) *Runner { return &Runner{config: c, limit: -1} }

// Serve starts the runner on a loopback address, which it returns.
func (r *Runner) Serve() (string, error) { return r.serve(r) }

// Inject assigns one fault to each of the next requests, in order.
func (r *Runner) Inject(faults ...RunnerFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, faults...)
}

// SetRequestLimit sets the limit that responses state, in requests per second from all daemons. The
// runner does not enforce it. A negative limit states none.
func (r *Runner) SetRequestLimit(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = rate
}

// SetWarmup makes the runner cold for a time, as after a start. It crashes, and is back after CrashDowntime,
// when more than maxPerSecond requests arrive within one second of it.
func (r *Runner) SetWarmup(left time.Duration, maxPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil, r.maxCold = time.Now().Add(left), maxPerSecond
}

// Overloads returns how often the runner crashed because it was cold.
func (r *Runner) Overloads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overloads
}

// overloaded reports whether the last arrival was too many for a cold runner.
func (r *Runner) overloaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.arrivals)
	if !time.Now().Before(r.coldUntil) || n <= r.maxCold || r.arrivals[n-1].At.Sub(r.arrivals[n-1-r.maxCold].At) >= time.Second {
		return false
	}
	r.overloads++
	return true
}

// Arrivals returns all requests since the start, also those that were rejected.
func (r *Runner) Arrivals() []RunnerArrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// arrive records a request and writes the headers of all responses.
func (r *Runner) arrive(h http.Header, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, RunnerArrival{ID: request.Header.Get("Attempt-Id"), At: time.Now()})
	h.Set("Attempt-Id", request.Header.Get("Attempt-Id"))
	if left := time.Until(r.coldUntil); left > 0 {
		h.Set("Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	if r.limit >= 0 {
		h.Set("Server-Limit", strconv.FormatFloat(r.limit, 'g', -1, 64))
	}
}

// Executions returns the executions since the start.
func (r *Runner) Executions() []RunnerExecution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RunnerExecution(nil), r.executions...)
}

// Crashes returns the times of the executions that crashed the runner, in order.
func (r *Runner) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var times []time.Time
	for _, e := range r.executions {
		if e.Crash {
			times = append(times, e.At)
		}
	}
	return times
}

func (r *Runner) nextFault() RunnerFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.faults) == 0 {
		return RunnerNoFault
	}
	next := r.faults[0]
	r.faults = r.faults[1:]
	return next
}

// ServeHTTP runs one request, unless a fault rejects it.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the client has disconnected
	}
	h := w.Header()
	r.arrive(h, request)
	if r.overloaded() {
		r.crash(w)
	}
	fault := r.nextFault()
	if expected := request.Header.Get("Expected-Runner"); expected != "" && expected != r.config.Name {
		fault = RunnerMisdirected
	}
	switch fault {
	case RunnerFull:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case RunnerMisdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.executions = append(r.executions, RunnerExecution{
		ID: request.Header.Get("Attempt-Id"), Path: request.URL.Path, Account: request.Header.Get("Tenant"),
		Body: string(body), LastEventID: request.Header.Get("Last-Event-Id"), Crash: r.crashesOn(request), At: time.Now(),
	})
	r.mu.Unlock()
	h.Set("Runner-Signature", "signed by "+r.config.Name)
	if r.crashesOn(request) {
		r.crash(w)
	}
	if sleeper.Sleep(request.Context(), r.config.WorkTime) != nil {
		return // the client has disconnected
	}
	r.respond(w, request, fault)
}

func (r *Runner) crashesOn(request *http.Request) bool {
	return r.config.CrashPart != "" && strings.Contains(request.Header.Get("Prompt-Prefix"), r.config.CrashPart+":")
}

// crash sends the header of the response, closes all connections and refuses new ones for
// CrashDowntime.
func (r *Runner) crash(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush() // an error means that the client has disconnected
	if r.Close() == nil {
		time.AfterFunc(r.config.CrashDowntime, func() {
			// An error means that the address is taken: the runner stays down.
			_, _ = r.Serve()
		})
	}
	panic(http.ErrAbortHandler)
}

func (r *Runner) respond(w http.ResponseWriter, request *http.Request, fault RunnerFault) {
	switch {
	case fault == RunnerUnframed, fault == RunnerTruncateUnframed:
		r.respondUnframed(w, request, fault == RunnerTruncateUnframed)
	case fault == RunnerLoseResponse:
		panic(http.ErrAbortHandler)
	case fault == RunnerCutHead:
		r.cutHead(w, request)
	case fault == RunnerFail:
		w.WriteHeader(http.StatusInternalServerError)
	case r.config.Events > 0:
		r.stream(w, request, fault)
	case fault == RunnerTruncate:
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half") // the connection is closed in any case
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, "done "+request.URL.Path) // an error means that the client has disconnected
	}
}

// stream sends the events after the one in the Last-Event-Id header. A truncated
// stream ends in the middle of an event.
func (r *Runner) stream(w http.ResponseWriter, request *http.Request, fault RunnerFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	after := resumeAfter(request)
	for i := after + 1; i <= r.config.Events; i++ {
		text := RunnerEvent(i, r.config.Software)
		if fault == RunnerTruncate && i == after+(r.config.Events-after+1)/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write reports a client that has disconnected
		if sleeper.Sleep(request.Context(), r.config.EventInterval) != nil {
			return
		}
	}
}

// respondUnframed writes a response that ends with its connection.
func (r *Runner) respondUnframed(w http.ResponseWriter, request *http.Request, truncate bool) {
	header := w.Header().Clone()
	body, plain := "done "+request.URL.Path, r.config.Events == 0
	if !plain {
		header.Set("Content-Type", "text/event-stream")
		body = strings.TrimPrefix(VersionedStream(r.config.Events, r.config.Software), VersionedStream(resumeAfter(request), r.config.Software))
	}
	if truncate {
		body = body[:truncatedLength(body)]
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok && truncate && plain {
		_ = tcp.SetLinger(0) // without it the connection is not reset, and the test that needs it fails
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&head) // writing to a bytes.Buffer does not fail
	// An error means that the client has disconnected.
	_, _ = io.WriteString(conn, head.String()+"\r\n"+body)
}

// cutHead writes a part of the head of a response that has a length.
func (r *Runner) cutHead(w http.ResponseWriter, request *http.Request) {
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head) // writing to a bytes.Buffer does not fail
	head.WriteString("Content-Type: text/event-stream\r\nContent-Length: 100\r\n\r\n")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	length := int(xxhash.Sum64String(request.Header.Get("Attempt-Id")) % uint64(head.Len()))
	// An error means that the client has disconnected.
	_, _ = conn.Write(head.Bytes()[:length])
}

// truncatedLength returns a length of about half of the body that is not the end of an event.
func truncatedLength(body string) int {
	n := len(body) / 2
	for n > 0 && strings.HasSuffix(body[:n], "\n\n") {
		n--
	}
	return n
}

// resumeAfter returns the number of the event after which the stream starts.
func resumeAfter(request *http.Request) int {
	after := 0
	// Without a number in the header the stream starts at the first event.
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &after)
	return after
}

// RunnerEvent returns the i-th event of a stream from a runner with a version of its software, which
// may be empty.
func RunnerEvent(i int, software string) string {
	if software != "" {
		return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, software)
	}
	return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
}

// RunnerStream returns the whole stream of a runner with this number of events and no version.
func RunnerStream(events int) string { return VersionedStream(events, "") }

// VersionedStream returns the whole stream of a runner with this number of events and a version of
// its software, which may be empty.
func VersionedStream(events int, software string) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(RunnerEvent(i, software))
	}
	return b.String()
}
