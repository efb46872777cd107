package framer_test

import (
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/framer"
)

// Guards against a reader of net/http that is handed a malformed response.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	for _, tt := range emulator.StatusFaults("", "done") {
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
			require.True(t, errors.Is(err, framer.ErrMalformedHead), "%v", err)
		})
	}
}
