package persister_test

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/persister"
)

// Guards against malformed answers of the service that are taken for whole ones.
func TestMalformedAnswersFailTheCall(t *testing.T) {
	for _, tt := range emulator.FaultyAnswers("Content-Type: application/json\r\n", `{"ID":"7","TTL":"9"}`) {
		t.Run(tt.Name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			g := gateway(t, persister.GatewayConfig{Endpoints: []netip.AddrPort{p.Address()}})
			_, err = g.Get(t.Context(), "a")
			require.ErrorIs(t, err, persister.ErrUnavailable)
			_, err = g.GrantLease(t.Context(), 9)
			require.ErrorIs(t, err, persister.ErrUnknown, "it may have been granted")
		})
	}
}
