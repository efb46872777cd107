package framer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The head of another response must be found wherever a truncated stream ends, and the data of a stream that
// describes HTTP must not be taken for one.
func TestForeignHead(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\n"
	tests := []struct {
		name, events string
		offset       int
	}{
		{"none", event + event, -1},
		{"first", head, 0},
		{"after an event", event + head, len(event)},
		{"before an event", event + head + event, len(event)},
		{"behind a part of a field name", event + "id: 2\nda" + head, len(event)},
		{"behind a part of the data", event + "id: 2\ndata: b" + head, len(event)},
		{"without headers", event + "HTTP/1.0 200\r\n\r\n", len(event)},
		{"in the data, other fields follow", "data: HTTP/1.1 200 OK\ndata: Content-Type: text/plain\nid: 2\n\n", -1},
		{"in the data, the event ends", "id: 2\ndata: answer with HTTP/1.1 200 OK\n\n" + event, -1},
		{"in the data, a field with a hyphen follows", "data: HTTP/1.1 200 OK\nweight-versions: 3\n\n", -1},
		{"in a comment", ": HTTP/1.1 200 OK\n\n", -1},
		{"other versions in the data", "data: HTTP/2 200\n\ndata: HTTP/1.1\n\n", -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.offset, ForeignHead([]byte(tt.events)))
		})
	}
}
