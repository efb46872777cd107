package connector

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/framer"
)

// Guards against an upstream whose status is none of a response, or whose fields have names that net/http does not know: a
// call took each status below 200 for that of an interim response, and the body for the response that follows it; a length
// with a blank in its name was none.
func TestMalformedResponsesFailTheCall(t *testing.T) {
	for _, tt := range append(emulator.StatusFaults("Id: 1\r\n", "done"), emulator.FieldFaults("Id: 1\r\n", "done")...) {
		t.Run(tt.Name, func(t *testing.T) {
			p := startPeer(t, tt.PeerAnswer)
			response, err := newPool().Send(t.Context(), p.Address(), newCall("1"))
			if err == nil {
				body, _ := io.ReadAll(response.Body)
				response.Close()
				require.Failf(t, "taken for a response", "status %d, body %q", response.Status, body)
			}
			var failed *CallError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Written, "the upstream may have run the request")
			if !strings.Contains(err.Error(), "malformed MIME header") { // net/http refuses control bytes itself
				require.ErrorIs(t, err, framer.ErrMalformedHead)
			}
		})
	}
}

// Guards against refusing the response after interim ones, and statuses that are rare.
func TestValidStatusesAreResponses(t *testing.T) {
	tests := []struct {
		name, bytes string
		status      int
	}{
		{"continue", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ndone", 200},
		{"two interim responses", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ndone", 200},
		{"unknown interim response", "HTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ndone", 200},
		{"unknown success", "HTTP/1.1 299 Odd\r\nId: 1\r\nContent-Length: 4\r\n\r\ndone", 299},
		{"unknown server error", "HTTP/1.1 599 Odd\r\nId: 1\r\nContent-Length: 4\r\n\r\ndone", 599},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startPeer(t, emulator.PeerAnswer{Bytes: tt.bytes})
			response, err := newPool().Send(t.Context(), p.Address(), newCall("1"))
			require.NoError(t, err)
			defer response.Close()
			require.Equal(t, tt.status, response.Status)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "done", string(body))
		})
	}
}
