package server_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/server"
)

// Guards against malformed answers of services that reach callers. The caller is told that the request may have run.
func TestMalformedServiceResponsesReachNoCaller(t *testing.T) {
	for _, tt := range emulator.FaultyAnswers("Content-Type: application/json\r\n", `{"net":1}`) {
		t.Run(tt.Name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			f := newFixture(t, emulator.EngineConfig{}, server.Config{})
			f.service.URL = "http://" + p.Address().String()
			r := f.send(t, "POST", "/v1/services/order-desk/orders", `{}`)
			require.Equal(t, http.StatusConflict, r.status, r.body)
			require.Contains(t, r.body, `"ran":"unknown"`)
			require.Equal(t, 1, p.Requests())
		})
	}
}
