package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/connector"
	"laburnumline/framer"
)

// zeros returns bytes without holding them.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// largeResponses is a Sender whose responses are larger than what is buffered for each caller.
type largeResponses struct {
	length  int64
	framing framer.Framing
	broken  bool
}

func (s *largeResponses) Send(_ context.Context, _ netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	r := &connector.Response{
		Status: http.StatusOK, Header: http.Header{}, Length: s.length, Framing: s.framing,
		Body: io.LimitReader(zeros{}, s.length), Metadata: connector.Metadata{ID: call.ID, Signed: true},
	}
	if s.framing != framer.Length {
		r.Length = -1
	}
	if s.broken {
		r.Body = io.MultiReader(io.LimitReader(zeros{}, s.length/2), errorReader{})
	}
	return r, nil
}

// slowCaller reads nothing until it is released.
type slowCaller struct {
	header   http.Header
	released chan struct{}
	received int64
}

func (c *slowCaller) Header() http.Header { return c.header }
func (c *slowCaller) WriteHeader(int)     {}
func (c *slowCaller) Write(b []byte) (int, error) {
	<-c.released
	c.received += int64(len(b))
	return len(b), nil
}

// Guards against a daemon that runs out of memory because callers read slowly, and against responses that these
// callers do not receive completely, or take for complete although they are not.
func TestSlowCallersOccupyLittleMemory(t *testing.T) {
	const callers, length, maxBytes = 200, 2 << 20, 70 << 20
	tests := []struct {
		name    string
		framing framer.Framing
		broken  bool
		limit   int64
	}{
		{"length", framer.Length, false, 11 << 20},
		{"chunked", framer.Chunked, false, 11 << 20},
		{"largest VM", framer.Length, false, 24 << 20},
		{"broken", framer.Length, true, 1}, // all are forwarded before they are complete
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				upstreams := newFakeUpstreams(t, fakeResponse{})
				f := upstreams.forwarder()
				f.config.Sender = &largeResponses{length: length, framing: tt.framing, broken: tt.broken}
				f.memory.limit = tt.limit
				before := liveHeap()
				released := make(chan struct{})
				var complete, aborted atomic.Int64
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						w := &slowCaller{header: http.Header{}, released: released}
						defer func() {
							if cause := recover(); cause != nil {
								aborted.Add(1)
							} else if w.received == length {
								complete.Add(1)
							}
						}()
						f.Serve(t.Context(), w, &Request{
							ID: "7", Method: "GET", Host: "a.example", Path: "/once/1", Target: "/once/1", Header: http.Header{}, Key: "key",
							Body: strings.NewReader(""), CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
						})
					})
				}
				synctest.Wait()
				held := liveHeap() - before
				t.Logf("%d slow callers occupy %d KB", callers, held>>10)
				require.Less(t, held, uint64(maxBytes))
				require.LessOrEqual(t, f.memory.used.Load(), tt.limit)
				close(released)
				wg.Wait()
				if tt.broken {
					require.Zero(t, complete.Load())
					require.Equal(t, int64(callers), aborted.Load())
				} else {
					require.Equal(t, int64(callers), complete.Load())
				}
				require.Zero(t, f.memory.used.Load())
			})
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// A body that ends with its connection looks complete wherever it breaks off, so it has to be read first.
func TestUnframedResponseIsReadWithoutMemory(t *testing.T) {
	upstreams := newFakeUpstreams(t, fakeResponse{})
	f := upstreams.forwarder()
	f.memory.limit = 1
	b, err := f.readResponse(&connector.Response{Status: http.StatusOK, Length: -1, Framing: framer.ConnectionClose, Body: io.LimitReader(zeros{}, 1<<20)})
	require.NoError(t, err)
	require.Len(t, b.body, 1<<20)
	_, err = f.readResponse(&connector.Response{Status: http.StatusOK, Length: -1, Framing: framer.ConnectionClose, Body: zeros{}})
	require.ErrorIs(t, err, errResponseTooLong)
	b, err = f.readResponse(&connector.Response{Status: http.StatusOK, Length: 1 << 20, Framing: framer.Length, Body: io.LimitReader(zeros{}, 1<<20)})
	require.True(t, errors.Is(err, errNoMemory))
	require.Len(t, b.body, freeResponseBytes)
}

// Guards against responses that end with their connection and are kept without a limit for all of them together.
func TestUnframedResponsesShareMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeUpstreams(t).forwarder()
		f.memory.limit = 4 * bufferStep
		wait := make(chan struct{})
		var held, failed atomic.Int64
		var responses sync.WaitGroup
		for range 20 {
			responses.Go(func() {
				body := &repeated{text: "a", left: 4 << 20, wait: wait}
				_, err := f.readResponse(&connector.Response{Status: http.StatusOK, Length: -1, Framing: framer.ConnectionClose, Header: http.Header{}, Body: body})
				if errors.Is(err, errNoMemoryToCheck) {
					failed.Add(1)
				} else {
					held.Add(body.read.Load())
				}
			})
		}
		synctest.Wait()
		require.Equal(t, int64(20-maxUnreserved), failed.Load(), "few of 20 responses are read without memory")
		close(wait)
		responses.Wait()
		require.Equal(t, int64(maxUnreserved*4<<20), held.Load())
		require.Zero(t, f.memory.used.Load())
		require.Zero(t, f.memory.unreserved.Load())
	})
}

// Guards against a response that a second send reads ahead as a whole, besides that of the first.
func TestReadAheadIsBounded(t *testing.T) {
	body := &repeated{text: "a", left: 1 << 20}
	r := &connector.Response{Status: http.StatusOK, Length: 1 << 20, Framing: framer.Length, Header: http.Header{}, Metadata: connector.Metadata{Signed: true}, Body: body}
	require.True(t, readAhead(r))
	require.LessOrEqual(t, body.read.Load(), int64(freeResponseBytes))
	whole, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	require.NoError(t, err)
	require.Len(t, whole, 1<<20)
}
