package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/dispatcher"
	"laburnumline/sleeper"
)

const (
	defaultSlots       = 8
	defaultCacheBlocks = 4096
	defaultDownTime    = 500 * time.Millisecond
	defaultCrashMarker = "crash-the-engine"
	// bytesPerToken is the assumed size of a prompt token.
	bytesPerToken = 4
	maxEngineBody = 16 << 20 // bytes
)

// EngineConfig configures an Engine. Zero fields have defaults.
type EngineConfig struct {
	// Models are the models that the engine serves. Empty means every model.
	Models []string
	// Slots is the maximum number of calls that run concurrently.
	Slots int
	// TokenInterval is the time between two tokens of a call that runs alone.
	// It grows with the number of running calls, to nearly twice the value when
	// all slots are in use. Zero sends tokens without delay.
	TokenInterval time.Duration
	// PrefillInterval is the prefill time for each prompt block that is not in
	// the prefix cache.
	PrefillInterval time.Duration
	// OutputTokens is the length of the output. Zero derives it from the prompt.
	OutputTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// EventDelay is the time between a change of the cache and the publication of
	// its event.
	EventDelay time.Duration
	// DropEventEvery drops each cache event whose sequence number is a multiple of
	// it. Zero drops none.
	DropEventEvery uint64
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CrashMarker is the text in a request body that crashes the engine.
	CrashMarker string
	// DownTime is the time for which a crashed engine does not respond.
	DownTime time.Duration
	// Fenced makes the engine reject orders whose fencing number is lower than the
	// highest one that it has accepted.
	Fenced bool
}

func (c *EngineConfig) setDefaults() {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	if c.DownTime <= 0 {
		c.DownTime = defaultDownTime
	}
	if c.CrashMarker == "" {
		c.CrashMarker = defaultCrashMarker
	}
}

// EngineStats counts the calls of an engine since its start.
type EngineStats struct {
	Started      int
	Finished     int
	Cancelled    int
	Aborted      int
	Crashes      int
	Resumed      int
	OutputTokens int
	CachedBlocks int
}

// ChunkTransform returns the chunks that are sent in place of one chunk of a stream.
type ChunkTransform func(chunk string) []string

var errCrashed = errors.New("engine crashed")

// Engine is a fake model engine. Its output text depends only on the model and
// the messages, which lets a test check that a caller received its own output,
// and all of it.
type Engine struct {
	loopbackServer
	config EngineConfig
	router *http.ServeMux
	batch  batch
	cache  prefixCache
	orders orderHandler

	mu        sync.Mutex
	stats     EngineStats
	downUntil time.Time
	calls     map[*engineCall]context.CancelCauseFunc
	transform ChunkTransform
}

// NewEngine returns an engine.
func NewEngine(c EngineConfig) *Engine {
	c.setDefaults()
	e := &Engine{config: c, calls: make(map[*engineCall]context.CancelCauseFunc)}
	e.batch.init(c.Slots, c.LoadLag)
	e.cache.init(c)
	e.orders.init(c)
	e.router = http.NewServeMux()
	e.router.HandleFunc("POST /v1/chat/completions", e.complete)
	e.router.HandleFunc("GET /load", e.batch.serveLoad)
	e.router.HandleFunc("GET /cache_events", e.cache.serveEvents)
	e.router.HandleFunc("POST /orders", e.orders.serve)
	return e
}

// Serve starts the engine on a loopback address and returns its base URL.
func (e *Engine) Serve() (string, error) { return e.serve(e) }

// ServeHTTP closes the connection without a response while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.down() {
		panic(http.ErrAbortHandler)
	}
	e.router.ServeHTTP(w, r)
}

// Stats returns the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Running returns the number of calls in progress.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls)
}

// SetChunkTransform sets the transform that is applied to later chunks. Nil sends
// chunks unchanged.
func (e *Engine) SetChunkTransform(t ChunkTransform) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transform = t
}

// Crash aborts all running calls, clears the prefix cache and makes the engine
// unresponsive for DownTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.downUntil = time.Now().Add(e.config.DownTime)
	for _, cancel := range e.calls {
		cancel(errCrashed)
	}
	e.cache.clear()
}

func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// engineCall is one chat completion that the engine runs.
type engineCall struct {
	id           string
	model        string
	stream       bool
	promptTokens int
	blocks       []uint64
	text         text
	resumeOffset int
	priority     int
	crashes      bool
}

type engineRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	call, err := e.parse(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.serves(call.model) {
		http.Error(w, "model "+call.model+" is not loaded", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	e.begin(call, cancel)
	err = e.run(ctx, w, call)
	if e.end(ctx, call, err) {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) parse(r *http.Request) (*engineCall, error) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxEngineBody))
	if err != nil {
		return nil, err
	}
	var body engineRequest
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, err
	}
	resume, _ := strconv.Atoi(r.Header.Get(dispatcher.HeaderResumeOffset))
	messages := compactMessages(body.Messages)
	return &engineCall{
		id:           r.Header.Get(dispatcher.HeaderRequestID),
		model:        body.Model,
		stream:       body.Stream,
		promptTokens: (len(messages) + bytesPerToken - 1) / bytesPerToken,
		blocks:       dispatcher.PrefixDigests(body.Model, messages),
		text:         e.config.text(body.Model, messages, body.MaxTokens),
		resumeOffset: resume,
		priority:     body.Priority,
		crashes:      strings.Contains(string(raw), e.config.CrashMarker),
	}, nil
}

func (e *Engine) begin(call *engineCall, cancel context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Started++
	if call.resumeOffset > 0 {
		e.stats.Resumed++
	}
	e.calls[call] = cancel
}

// end counts how a call ended and reports whether to abort its connection.
func (e *Engine) end(ctx context.Context, call *engineCall, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.calls, call)
	if err == nil {
		e.stats.Finished++
		return false
	}
	if context.Cause(ctx) == errCrashed {
		e.stats.Aborted++
		return true
	}
	e.stats.Cancelled++
	return true
}

// run waits for a slot, then for the prefill time, and sends the output.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, call *engineCall) error {
	if err := e.batch.acquire(ctx, call.priority); err != nil {
		return err
	}
	defer e.batch.release()
	cached := e.cache.insert(call.blocks)
	e.mu.Lock()
	e.stats.CachedBlocks += cached
	e.mu.Unlock()
	uncached := len(call.blocks) - cached + 1
	if err := sleeper.Sleep(ctx, time.Duration(uncached)*e.config.PrefillInterval); err != nil {
		return err
	}
	if call.crashes {
		e.Crash()
		return context.Cause(ctx)
	}
	if !call.stream {
		return e.respond(ctx, w, call)
	}
	return e.stream(ctx, w, call, cached)
}
