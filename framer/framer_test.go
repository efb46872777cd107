package framer

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A body that ends with its connection must not be mistaken for one that marks its end.
func TestFramingOfResponses(t *testing.T) {
	tests := []struct {
		name, head string
		framing    Framing
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Length},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Length},
		{"status without a body", "HTTP/1.1 204 No Content\r\n\r\n", Length},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Chunked},
		{"neither", "HTTP/1.1 200 OK\r\n\r\nok", ConnectionClose},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", ConnectionClose},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tt.head)), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, tt.framing, Of(response))
		})
	}
}

// A truncated event must neither be forwarded nor pass for the end of a stream.
func TestEndOfEvents(t *testing.T) {
	tests := []struct {
		name, stream string
		complete     int
		inside       bool
	}{
		{"empty", "", 0, false},
		{"event", "id: 1\ndata: x\n\n", 15, false},
		{"carriage returns", "id: 1\rdata: x\r\r", 15, false},
		{"both", "id: 1\r\ndata: x\r\n\r\n", 18, false},
		{"second event without its blank line", "data: x\n\ndata: y\n", 9, true},
		{"second event without its data", "data: x\n\nid: 2", 9, true},
		{"blank lines after the event", "data: x\n\n\n\r\n", 12, false},
		{"comment after the event", "data: x\n\n: ping\n", 9, false},
		{"truncated comment", "data: x\n\n: pi", 9, false},
		{"event after a comment", "data: x\n\n: ping\nda", 9, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			complete := CompleteEvents([]byte(tt.stream))
			require.Equal(t, tt.complete, complete)
			require.Equal(t, tt.inside, EndsInsideEvent([]byte(tt.stream)[complete:]))
		})
	}
}
