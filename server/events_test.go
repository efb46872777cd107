package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
)

// discarder is a ResponseWriter that counts writes and flushes.
type discarder struct {
	header  http.Header
	writes  int
	flushes int
}

func (d *discarder) Header() http.Header { return d.header }
func (d *discarder) WriteHeader(int)     {}
func (d *discarder) Flush()              { d.flushes++ }
func (d *discarder) Write(p []byte) (int, error) {
	d.writes++
	return len(p), nil
}

func testLimit(w http.ResponseWriter) *writeLimit {
	return newWriteLimit(w, &http.Request{ProtoMajor: 1}, time.Hour)
}

func TestChunksThatArriveTogetherAreFlushedTogether(t *testing.T) {
	d := &discarder{header: make(http.Header)}
	e := newEventWriter(d, testLimit(d))
	defer e.release()
	for range 9 {
		require.NoError(t, e.WriteChunk(conductor.Chunk{Data: []byte("{}"), More: true}))
	}
	require.Zero(t, d.flushes)
	require.NoError(t, e.WriteChunk(conductor.Chunk{Data: []byte("{}")}))
	require.Equal(t, 1, d.writes)
	require.Equal(t, 1, d.flushes)
	require.NoError(t, e.WriteChunk(conductor.Chunk{Data: make([]byte, maxBuffered), More: true}))
	require.Equal(t, 2, d.flushes)
}

func TestChunkAllocatesNothing(t *testing.T) {
	d := &discarder{header: make(http.Header)}
	e := newEventWriter(d, testLimit(d))
	defer e.release()
	chunk := conductor.Chunk{Data: make([]byte, 200)}
	require.NoError(t, e.WriteChunk(chunk))
	require.Zero(t, testing.AllocsPerRun(1000, func() { _ = e.WriteChunk(chunk) }))
}
