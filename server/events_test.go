package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
)

// countingWriter is a ResponseWriter that counts writes and flushes.
type countingWriter struct {
	header  http.Header
	writes  int
	flushes int
}

func (w *countingWriter) Header() http.Header { return w.header }
func (w *countingWriter) WriteHeader(int)     {}
func (w *countingWriter) Flush()              { w.flushes++ }
func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return len(p), nil
}

func testDeadline(w http.ResponseWriter) *writeDeadline {
	return newWriteDeadline(w, &http.Request{ProtoMajor: 1}, time.Hour)
}

// Guards against one system call per chunk when many chunks arrive at once, and against
// a buffer that grows without limit while more chunks arrive.
func TestChunksThatArriveTogetherAreFlushedTogether(t *testing.T) {
	w := &countingWriter{header: make(http.Header)}
	e := newEventWriter(w, testDeadline(w))
	defer e.releaseBuffer()
	for range 9 {
		require.NoError(t, e.WriteChunk(conductor.Chunk{Data: []byte("{}"), More: true}))
	}
	require.Zero(t, w.flushes)
	require.NoError(t, e.WriteChunk(conductor.Chunk{Data: []byte("{}")}))
	require.Equal(t, 1, w.writes)
	require.Equal(t, 1, w.flushes)
	require.NoError(t, e.WriteChunk(conductor.Chunk{Data: make([]byte, maxBufferedBytes), More: true}))
	require.Equal(t, 2, w.flushes)
}

// Guards against allocations for each chunk, which would cost processor time in the
// garbage collector.
func TestWriteChunkDoesNotAllocate(t *testing.T) {
	w := &countingWriter{header: make(http.Header)}
	e := newEventWriter(w, testDeadline(w))
	defer e.releaseBuffer()
	chunk := conductor.Chunk{Data: make([]byte, 200)}
	require.NoError(t, e.WriteChunk(chunk))
	require.Zero(t, testing.AllocsPerRun(1000, func() { _ = e.WriteChunk(chunk) }))
}
