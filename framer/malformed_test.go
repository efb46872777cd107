package framer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/framer"
)

// Guards against a reader of net/http that is handed a malformed response.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	for _, tt := range append(emulator.StatusFaults("", "done"), emulator.FieldFaults("", "done")...) {
		t.Run(tt.Name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			client := framer.NewClient(0)
			defer client.CloseIdleConnections()
			response, err := client.Get("http://" + p.Address().String())
			if err == nil {
				body, _ := io.ReadAll(response.Body)
				response.Body.Close()
				require.Failf(t, "taken for a response", "status %d, body %q", response.StatusCode, body)
			}
			require.Error(t, err)
			if !strings.Contains(err.Error(), "malformed MIME header") { // net/http refuses control bytes itself
				require.ErrorIs(t, err, framer.ErrMalformedHead)
			}
		})
	}
}

// Guards against refusing names and values that are rare.
func TestValidHeadsAreResponses(t *testing.T) {
	for _, line := range []string{"x_odd.1: a", "!#$%&'*+-.^_`|~9zZ: a", "X-Odd:a", "X-Odd:", "X-Odd: \ta b\t", "X-Odd: a(b)\xe9", "x-odd: a\r\nX-ODD: b"} {
		p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer {
			return emulator.PeerAnswer{Bytes: "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\ndone", End: emulator.PeerCloses}
		})
		require.NoError(t, err)
		client := framer.NewClient(0)
		response, err := client.Get("http://" + p.Address().String())
		require.NoError(t, err, line)
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		require.NoError(t, err)
		require.Equal(t, "done", string(body))
		client.CloseIdleConnections()
		require.NoError(t, p.Close())
	}
}
