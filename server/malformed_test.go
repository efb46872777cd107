package server_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/server"
)

// malformed returns the answers of faulty services that no caller may get.
func malformed(fields, body string) []emulator.NamedAnswer {
	return append(emulator.StatusFaults(fields, body), emulator.FieldFaults(fields, body)...)
}

// Guards against malformed answers of services that reach callers. The caller is told that the request may have run.
func TestMalformedServiceResponsesReachNoCaller(t *testing.T) {
	for _, tt := range malformed("Content-Type: text/plain\r\n", "done") {
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
