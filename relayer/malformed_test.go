package relayer

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/persister"
)

// Guards against malformed answers in place of a relay's that are taken for whole ones. The call may have taken effect.
func TestMalformedAnswersOfRelayFailTheCall(t *testing.T) {
	lease, err := encode(leaseResponse{ID: 7})
	require.NoError(t, err)
	for _, tt := range emulator.FaultyAnswers("Content-Type: application/cbor\r\n", string(lease)) {
		t.Run(tt.Name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			f := newFixture(t)
			f.relays = []netip.AddrPort{p.Address()}
			_, err = call[leaseResponse](t.Context(), f.Store, p.Address(), leasePath, responseTimeout, nil)
			require.ErrorIs(t, err, persister.ErrUnknown)
		})
	}
}
