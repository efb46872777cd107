package server

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/conductor"
	"laburnumline/refuser"
)

const (
	eventBuffer = 4 << 10 // bytes
	// maxBuffered is the size at which events are written without waiting for
	// the last chunk that has arrived.
	maxBuffered = 32 << 10 // bytes
)

var eventBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, eventBuffer)
	return &b
}}

// errNoFlush means that the HTTP server cannot stream.
var errNoFlush = errors.New("response writer cannot flush")

// eventWriter is a sink that writes chunks as server-sent events. Chunks that
// arrived together are written and flushed together. It holds a buffer only
// between the first of them and the flush.
type eventWriter struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	limit   *writeLimit
	pooled  *[]byte
	buf     []byte
	started bool
	err     error
}

func newEventWriter(w http.ResponseWriter, limit *writeLimit) *eventWriter {
	e := &eventWriter{writer: w, limit: limit}
	flusher, ok := w.(http.Flusher)
	if !ok {
		e.err = errNoFlush
	}
	e.flusher = flusher
	return e
}

func (e *eventWriter) acquire() {
	if e.pooled == nil {
		e.pooled = eventBuffers.Get().(*[]byte)
		e.buf = (*e.pooled)[:0]
	}
}

func (e *eventWriter) release() {
	if e.pooled != nil {
		eventBuffers.Put(e.pooled)
		e.pooled, e.buf = nil, nil
	}
}

// WriteChunk writes one chunk. An error means that the caller is gone.
func (e *eventWriter) WriteChunk(c conductor.Chunk) error {
	e.event(c.Data)
	if c.More && len(e.buf) < maxBuffered {
		return e.err
	}
	return e.flush()
}

func (e *eventWriter) event(data []byte) {
	e.acquire()
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
}

func (e *eventWriter) flush() error {
	if e.err != nil {
		return e.err
	}
	if !e.started {
		e.start()
	}
	e.limit.begin()
	_, e.err = e.writer.Write(e.buf)
	e.release()
	if e.err == nil {
		e.flusher.Flush()
	}
	e.limit.end()
	return e.err
}

func (e *eventWriter) start() {
	e.started = true
	h := e.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	e.writer.WriteHeader(http.StatusOK)
}

// usageChunk is the chunk that ends a stream with include_usage.
type usageChunk struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usageBody  `json:"usage"`
}

// usage writes the usage that is billed.
func (e *eventWriter) usage(call *conductor.Completion, used conductor.Usage) {
	raw, err := marshal(usageChunk{
		ID:      call.Key.String(),
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   call.Model,
		Choices: []struct{}{},
		Usage:   usageOf(used),
	})
	if err != nil {
		e.err = err
		return
	}
	e.event(raw)
}

func (e *eventWriter) done() {
	e.event([]byte("[DONE]"))
	_ = e.flush()
}

// refuse ends a stream that has begun with a truthful error event.
func (e *eventWriter) refuse(r *refuser.Refusal) error {
	raw, err := json.Marshal(engineErrorOf(r))
	if err != nil {
		return nil
	}
	e.event(raw)
	_ = e.flush()
	return nil
}
