package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/connector"
	"laburnumline/framer"
)

// repeated is a body that repeats a text for some bytes, waits, and then fails.
type repeated struct {
	text  string
	left  int64
	wait  chan struct{} // nil means that it does not wait
	read  atomic.Int64
	begin int
}

func (r *repeated) Read(b []byte) (int, error) {
	if r.left <= 0 {
		if r.wait != nil {
			<-r.wait
		}
		return 0, io.ErrUnexpectedEOF
	}
	for i := range b {
		b[i] = r.text[r.begin]
		r.begin = (r.begin + 1) % len(r.text)
	}
	r.left -= int64(len(b))
	r.read.Add(int64(len(b)))
	return len(b), nil
}

// Guards against a stream whose bytes have no end of an event, or no event. The daemon kept all of them, and searched all
// of them again at each read, until the deadline of the request.
func TestEndlessEventBreaksTheStream(t *testing.T) {
	tests := []struct {
		name, body string
		most       int64 // bytes
		err        error
	}{
		{"event", "data: aaaaaaaaa", maxEventBytes, errEventTooLong},
		{"lines of an event", "data: a\n", maxEventBytes, errEventTooLong},
		{"comments", ": a\n", maxEventBytes, errEventTooLong},
		{"comments with blank lines", ": a\n\n", maxFillerBytes, errNoEvents},
		{"blank lines", "\r\n", maxFillerBytes, errNoEvents},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, memory := range []int64{0, 4 << 20, 1} {
				body := &repeated{text: tt.body, left: 16 << 20}
				x, f := streamExchange(t)
				f.memory.limit = memory
				failed := x.forwardStream(&connector.Response{Status: http.StatusOK, Length: -1, Framing: framer.Chunked, Header: eventStreamHeader, Body: body})
				require.NotNil(t, failed)
				want := tt.err
				if memory == 1 && want == errEventTooLong {
					want = errEventMemory
				}
				require.ErrorIs(t, failed.err, want)
				require.LessOrEqual(t, body.read.Load(), tt.most+streamBufferBytes)
				require.Zero(t, f.memory.used.Load())
			}
		})
	}
}

func streamExchange(t *testing.T) (*exchange, *Forwarder) {
	t.Helper()
	upstreams := newFakeUpstreams(t)
	f := upstreams.forwarder()
	route, ok := upstreams.table.Route("a.example", "/stream/1")
	require.True(t, ok)
	w := httptest.NewRecorder()
	return &exchange{forwarder: f, request: &Request{ID: "1"}, writer: w, route: route, pinned: true, served: true, continued: true}, f
}

// Guards against a search that misses the end of an event which two reads divide, or events that follow a long one.
func TestEventsAreFoundAcrossReads(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("a", 3*freeResponseBytes) + "\n\n"
	for _, stream := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", "id: 1\r\rid: 2\r\r", ": ping\n\n: ping\n\nid: 1\ndata: a\n\n", long + long,
	} {
		for _, size := range []int{1, 2, 3, 5, 7, 4096} {
			if size < 100 && len(stream) > 1000 {
				continue
			}
			m := &memory{}
			b, got := eventBuffer{memory: m}, strings.Builder{}
			for from := 0; from < len(stream); from += size {
				require.NoError(t, b.add([]byte(stream[from:min(from+size, len(stream))])))
				events, err := b.complete()
				require.NoError(t, err)
				require.Equal(t, len(events), framer.CompleteEvents(events), "events end with a blank line")
				got.Write(events)
				b.remove(len(events))
			}
			require.Equal(t, stream, got.String(), "size %d", size)
			require.Empty(t, b.data)
			require.Zero(t, m.used.Load())
		}
	}
}
