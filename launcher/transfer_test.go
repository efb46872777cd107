package launcher

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// The second port exists only where the platform gives more than one internal port. A daemon
// must not listen on a port outside its range.
func TestTransferAddressUsesTheSecondInternalPort(t *testing.T) {
	tests := []struct {
		name     string
		settings Settings
		want     netip.AddrPort
	}{
		{name: "several ports", settings: Settings{InternalAddress: netip.MustParseAddrPort("10.1.0.40:7340"), LastInternalPort: 7355}, want: netip.MustParseAddrPort("10.1.0.40:7341")},
		{name: "one port", settings: Settings{InternalAddress: netip.MustParseAddrPort("10.1.0.40:7340"), LastInternalPort: 7340}},
		{name: "none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.settings.transferAddress())
		})
	}
}
