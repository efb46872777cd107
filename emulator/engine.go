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
	// bytesPerToken is the size of a token in prompts.
	bytesPerToken = 4
	maxEngineBody = 16 << 20 // bytes
)

// EngineConfig configures an Engine. Zero fields have defaults.
type EngineConfig struct {
	// Models are the models that the engine serves. Empty means every model.
	Models []string
	// Slots is the number of calls that run at once.
	Slots int
	// TokenInterval is the time between two tokens of a call that runs alone.
	// It doubles as the batch fills. Zero sends as fast as possible.
	TokenInterval time.Duration
	// PrefillInterval is the time for each block of the prompt that is not in
	// the prefix cache.
	PrefillInterval time.Duration
	// OutputTokens is the length of answers. Zero derives it from the prompt.
	OutputTokens int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// EventDelay is the time after which cache events are published.
	EventDelay time.Duration
	// DropEventEvery loses each event whose number is a multiple of it. Zero loses none.
	DropEventEvery uint64
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CrashMarker in a body crashes the engine.
	CrashMarker string
	// DownTime is the time for which a crashed engine answers nothing.
	DownTime time.Duration
	// Fenced makes the engine refuse orders with an old fencing number.
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

// EngineStats counts what an engine did.
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

// ChunkTransform changes the chunks of a stream before they are sent: it returns what
// is sent in place of a chunk.
type ChunkTransform func(chunk string) []string

var errCrashed = errors.New("engine crashed")

// Engine stands in for a model engine. The text of an answer depends only on
// the model and the messages, so that a test can tell a caller's own whole
// answer from any other.
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

// ServeHTTP answers nothing while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.down() {
		panic(http.ErrAbortHandler)
	}
	e.router.ServeHTTP(w, r)
}

// Stats returns what the engine did up to now.
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

// SetChunkTransform sets how chunks are changed from now on. Nil changes none.
func (e *Engine) SetChunkTransform(t ChunkTransform) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.transform = t
}

// Crash cuts all running streams and answers nothing for the down time.
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

// engineCall is one call that the engine runs.
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

// end counts how a call ended and reports whether its connection is cut.
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

// run waits for a slot, reads the prompt and sends the answer.
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
