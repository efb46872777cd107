package forwarder

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"laburnumline/framer"
)

// The connection of an upstream that crashes may end like that of one that has finished. Only
// the content of a response shows then that it is truncated. It must not reach the caller as
// a complete one, and it is retried or resumed where the route allows it.
func TestTruncatedContentIsIncomplete(t *testing.T) {
	stream := func(framing framer.Framing, body string) fakeResponse {
		return fakeResponse{status: 200, header: eventStreamHeader, body: body, framing: framing}
	}
	document := func(body string) fakeResponse {
		return fakeResponse{status: 200, header: http.Header{"Content-Type": {"application/json"}}, body: body, framing: framer.ConnectionClose}
	}
	events := sseEvent("1") + sseEvent("2")
	tests := []struct {
		name, path string
		responses  []fakeResponse
		status     int
		aborted    bool
		body       string // empty: not checked
	}{
		{"stream ends inside an event", "/stream/", []fakeResponse{stream(framer.ConnectionClose, events+"id: 3\nda")}, 200, true, events},
		{"stream ends before the blank line", "/stream/", []fakeResponse{stream(framer.ConnectionClose, events+"id: 3\ndata: x\n")}, 200, true, events},
		{"chunked stream ends inside an event", "/stream/", []fakeResponse{stream(framer.Chunked, events+"id: 3\nda")}, 200, true, events},
		{"stream without an event", "/stream/", []fakeResponse{stream(framer.ConnectionClose, "")}, 502, false, ""},
		{"stream ends inside its first event", "/stream/", []fakeResponse{stream(framer.ConnectionClose, "id: 1\nda")}, 502, false, ""},
		{"stream that may be resumed", "/resume/", []fakeResponse{stream(framer.ConnectionClose, events+"id: 3\nda"), stream(framer.ConnectionClose, sseEvent("3"))}, 200, false, events + sseEvent("3")},
		{"stream that may be resumed, without an event", "/resume/", []fakeResponse{stream(framer.ConnectionClose, ""), stream(framer.Chunked, events)}, 200, false, events},
		{"document, executed once", "/once/", []fakeResponse{document(`{"order":`)}, 502, false, ""},
		{"document, retried", "/again/", []fakeResponse{document(`{"order":`), document(`{"order":7}`)}, 200, false, `{"order":7}`},
		{"buffered stream", "/again/", []fakeResponse{{status: 201, header: eventStreamHeader, body: events + "id: 3", framing: framer.ConnectionClose}, stream(framer.Length, events)}, 200, false, events},

		{"complete stream", "/stream/", []fakeResponse{stream(framer.ConnectionClose, events)}, 200, false, events},
		{"complete stream and a comment", "/stream/", []fakeResponse{stream(framer.ConnectionClose, events+": end\n")}, 200, false, events + ": end\n"},
		{"complete stream with carriage returns", "/stream/", []fakeResponse{stream(framer.ConnectionClose, "id: 1\r\ndata: x\r\n\r\n")}, 200, false, "id: 1\r\ndata: x\r\n\r\n"},
		{"complete stream without events", "/stream/", []fakeResponse{stream(framer.Length, "")}, 200, false, ""},
		{"complete document", "/once/", []fakeResponse{document(`{"order":7}` + "\n")}, 200, false, `{"order":7}` + "\n"},
		{"other content", "/once/", []fakeResponse{{status: 200, body: "half?", framing: framer.ConnectionClose}}, 200, false, "half?"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeUpstreams(t, tt.responses...).serve(t.Context(), tt.path, "")
				require.Equal(t, tt.aborted, w.aborted)
				require.Equal(t, tt.status, w.Code)
				if tt.body != "" {
					require.Equal(t, tt.body, w.Body.String())
				}
			})
		})
	}
}
