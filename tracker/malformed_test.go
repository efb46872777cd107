package tracker_test

import (
	"net/http"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/framer"
	"laburnumline/tracker"
)

// Guards against malformed answers that are taken for the list of VMs.
func TestMalformedListsAreErrors(t *testing.T) {
	for _, tt := range emulator.FaultyAnswers("ETag: \"1\"\r\n", `{"vms":[{"vm":"a","zone":"z","address":"10.0.0.1","state":"live"}]}`) {
		t.Run(tt.Name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			client := framer.NewClient(0)
			defer client.CloseIdleConnections()
			l := &tracker.HTTPLister{URL: &url.URL{Scheme: "http", Host: p.Address().String()}, Client: client, Port: 7443}
			_, err = l.List(t.Context())
			require.Error(t, err)
		})
	}
}
