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
	initialBufferBytes = 4 << 10
	// maxBufferedBytes is the size from which buffered events are written even though
	// more chunks have already arrived.
	maxBufferedBytes = 32 << 10
)

var eventBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, initialBufferBytes)
	return &b
}}

// errCannotFlush means that the response writer does not support streaming.
var errCannotFlush = errors.New("response writer cannot flush")

// eventWriter is a conductor.Sink that writes chunks as server-sent events. It writes
// and flushes chunks that arrived together in one operation. It takes a buffer from the
// pool at the first of them and returns it after the write, so that a stream that waits
// for its next chunk holds no buffer.
type eventWriter struct {
	writer    http.ResponseWriter
	flusher   http.Flusher
	deadline  *writeDeadline
	pooledBuf *[]byte
	buf       []byte
	started   bool
	err       error
}

func newEventWriter(writer http.ResponseWriter, deadline *writeDeadline) *eventWriter {
	e := &eventWriter{writer: writer, deadline: deadline}
	flusher, ok := writer.(http.Flusher)
	if !ok {
		e.err = errCannotFlush
	}
	e.flusher = flusher
	return e
}

func (e *eventWriter) acquireBuffer() {
	if e.pooledBuf == nil {
		e.pooledBuf = eventBuffers.Get().(*[]byte)
		e.buf = (*e.pooledBuf)[:0]
	}
}

func (e *eventWriter) releaseBuffer() {
	if e.pooledBuf != nil {
		eventBuffers.Put(e.pooledBuf)
		e.pooledBuf, e.buf = nil, nil
	}
}

// WriteChunk writes one chunk, or buffers it when more chunks have already arrived. An
// error means that the caller has disconnected.
func (e *eventWriter) WriteChunk(c conductor.Chunk) error {
	e.appendEvent(c.Data)
	if c.More && len(e.buf) < maxBufferedBytes {
		return e.err
	}
	return e.flush()
}

func (e *eventWriter) appendEvent(data []byte) {
	e.acquireBuffer()
	e.buf = append(e.buf, "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
}

func (e *eventWriter) flush() error {
	if e.err != nil {
		return e.err
	}
	if !e.started {
		e.writeHeader()
	}
	e.deadline.set()
	_, e.err = e.writer.Write(e.buf)
	e.releaseBuffer()
	if e.err == nil {
		e.flusher.Flush()
	}
	e.deadline.clear()
	return e.err
}

func (e *eventWriter) writeHeader() {
	e.started = true
	h := e.writer.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Accel-Buffering", "no")
	e.writer.WriteHeader(http.StatusOK)
}

// usageChunk is the last chunk of a stream whose caller has set include_usage.
type usageChunk struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []struct{} `json:"choices"`
	Usage   usageBody  `json:"usage"`
}

// appendUsage buffers an event with the billed usage.
func (e *eventWriter) appendUsage(call *conductor.Completion, usage conductor.Usage) {
	raw, err := marshal(usageChunk{
		ID:      call.Key.String(),
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   call.Model,
		Choices: []struct{}{},
		Usage:   usageOf(usage),
	})
	if err != nil {
		e.err = err
		return
	}
	e.appendEvent(raw)
}

func (e *eventWriter) writeDone() {
	e.appendEvent([]byte("[DONE]"))
	_ = e.flush()
}

// writeRefusal ends a stream with an error event. The event says whether the request
// may have been executed.
func (e *eventWriter) writeRefusal(r *refuser.Refusal) error {
	raw, err := json.Marshal(newOpenAIError(r))
	if err != nil {
		return nil
	}
	e.appendEvent(raw)
	_ = e.flush()
	return nil
}
