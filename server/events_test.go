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

func (d *countingWriter) Header() http.Header { return d.header }
func (d *countingWriter) WriteHeader(int)     {}
func (d *countingWriter) Flush()              { d.flushes++ }
func (d *countingWriter) Write(p []byte) (int, error) {
	d.writes++
	return len(p), nil
}

func testDeadline(w http.ResponseWriter) *writeDeadline {
	return newWriteDeadline(w, &http.Request{ProtoMajor: 1}, time.Hour)
}

// Guards against one system call per chunk when many chunks arrive at once, and against
// a buffer that grows without limit while more chunks arrive.
func TestChunksThatArriveTogetherAreFlushedTogether(t *testing.T) {
	d := &countingWriter{header: make(http.Header)}
	e := newEventWriter(d, testDeadline(d))
	defer e.releaseBuffer()
	for range 9 {
		require.NoError(t, e.WriteChunk(conductor.Chunk{Data: []byte("{}"), More: true}))
	}
	require.Zero(t, d.flushes)
	require.NoError(t, e.WriteChunk(conductor.Chunk{Data: []byte("{}")}))
	require.Equal(t, 1, d.writes)
	require.Equal(t, 1, d.flushes)
	require.NoError(t, e.WriteChunk(conductor.Chunk{Data: make([]byte, maxBufferedBytes), More: true}))
	require.Equal(t, 2, d.flushes)
}

// Guards against allocations for each chunk, which would cost processor time in the
// garbage collector.
func TestWriteChunkDoesNotAllocate(t *testing.T) {
	d := &countingWriter{header: make(http.Header)}
	e := newEventWriter(d, testDeadline(d))
	defer e.releaseBuffer()
	chunk := conductor.Chunk{Data: make([]byte, 200)}
	require.NoError(t, e.WriteChunk(chunk))
	require.Zero(t, testing.AllocsPerRun(1000, func() { _ = e.WriteChunk(chunk) }))
}
