package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/framer"
	"laburnumline/retrier"
)

// Guards against errors of upstreams in the middle of a stream: a stream has begun and breaks off, and the next upstream
// responds with an error, or with bytes that begin another response. Its text must not reach the caller, and a stream
// that no upstream continues must not look complete.
func TestErrorOfNextUpstreamStaysOutOfStream(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull\n\n"
	stream := func(body string, truncated bool, f framer.Framing) fakeResponse {
		return fakeResponse{status: 200, header: eventStreamHeader, body: body, truncated: truncated, framing: f}
	}
	text := http.Header{"Content-Type": {"text/plain"}}
	broken := stream(event1+"id: 2\nda", true, framer.Chunked)
	tests := []struct {
		name  string
		first fakeResponse
		next  fakeResponse
	}{
		{"signed 500", broken, fakeResponse{status: 500, header: text, body: "boom\n\n"}},
		{"unsigned 502", broken, fakeResponse{status: 502, header: text, body: "boom\n\n", unsigned: true}},
		{"not executed 503", broken, fakeResponse{status: 503, header: text, body: "full\n\n", notExecuted: true}},
		{"executed 503", broken, fakeResponse{status: 503, header: text, body: "full\n\n"}},
		{"not executed 429", broken, fakeResponse{status: 429, header: text, body: "full\n\n", notExecuted: true}},
		{"misdirected", broken, fakeResponse{status: 421, header: text, body: "other\n\n", notExecuted: true}},
		{"signed 404", broken, fakeResponse{status: 404, header: text, body: "gone\n\n"}},
		{"error typed as a stream", broken, fakeResponse{status: 400, header: eventStreamHeader, body: "data: bad\n\n"}},
		{"redirect", broken, fakeResponse{status: 302, header: text, body: "there\n\n"}},
		{"200 with another type", broken, fakeResponse{status: 200, header: http.Header{"Content-Type": {"application/json"}}, body: `{"error":1}` + "\n\n"}},
		{"no content", broken, fakeResponse{status: 204, header: text}},
		{"unsigned stream", broken, fakeResponse{status: 200, header: eventStreamHeader, body: event2, unsigned: true}},
		{"stream that is a head", broken, stream(head, false, framer.ConnectionClose)},
		{"stream that is a head, in chunks", broken, stream(head, false, framer.Chunked)},
		{"head after the events, until the connection closes", stream(event1+head, false, framer.ConnectionClose), fakeResponse{status: 500, header: text, body: "boom\n\n"}},
		{"head after an unfinished event", stream(event1+"id: 2\nda"+head, false, framer.ConnectionClose), fakeResponse{status: 500, header: text, body: "boom\n\n"}},
		{"beginning of a head", stream(event1+"HTTP/1.1 50", false, framer.ConnectionClose), fakeResponse{status: 500, header: text, body: "boom\n\n"}},
	}
	for _, tt := range tests {
		for _, continued := range []bool{false, true} {
			name := tt.name + ", nobody continues"
			responses := []fakeResponse{tt.first, tt.next}
			if continued {
				name = tt.name + ", the third continues"
				responses = append(responses, stream(event2, false, framer.Chunked))
			}
			t.Run(name, func(t *testing.T) {
				fake := newFakeUpstreams(t, responses...)
				config := fake.forwarder().config
				config.Retries = retrier.New(retrier.Config{TargetRatio: 10, AccountRatio: 10, Burst: 10, Attempts: 4})
				w := httptest.NewRecorder()
				serve := func() {
					New(config).Serve(t.Context(), w, &Request{
						ID: "1", Method: "POST", Host: "a.example", Path: "/resume/", Target: "/resume/", Header: http.Header{}, Key: "key",
						Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
					})
				}
				if continued {
					serve()
					require.Equal(t, event1+event2, w.Body.String())
					return
				}
				require.PanicsWithValue(t, http.ErrAbortHandler, serve, "the stream must not look complete")
				require.Equal(t, event1, w.Body.String())
			})
		}
	}
}
