package administrator_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/administrator"
	"laburnumline/emulator"
)

// Guards against malformed answers that the operators' client takes for whole ones, such as a change that is in force.
func TestMalformedAnswersAreLost(t *testing.T) {
	for _, tt := range emulator.FaultyAnswers("Content-Type: application/json\r\n", `{"account":"a"}`) {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			c := administrator.NewClient("http://"+p.Address().String(), "key")
			defer c.HTTP.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond) // within the wait before the second try
			defer cancel()
			_, err = c.Contract(ctx, "a")
			require.Error(t, err)
		})
	}
}
