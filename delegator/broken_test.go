package delegator

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// Guards against broken answers in place of another daemon's that are passed on as whole ones.
func TestBrokenResponseOfAnotherDaemonIsLost(t *testing.T) {
	const rounds = 20
	tests := []struct {
		name   string
		answer emulator.PeerAnswer
	}{
		{"reset during the upload", emulator.PeerAnswer{Bytes: "HTTP/1.1 200 OK\r\n\r\nhalf", Early: true, Delay: time.Millisecond, End: emulator.PeerResets}},
		{"closed with unread bytes", emulator.PeerAnswer{Bytes: "HTTP/1.1 200 OK\r\n\r\nhalf", Early: true, End: emulator.PeerClosesUnread}},
	}
	for _, tt := range append(emulator.StatusFaults(checkedHeader+": 1\r\n", "done"), emulator.FieldFaults(checkedHeader+": 1\r\n", "done")...) {
		tests = append(tests, struct {
			name   string
			answer emulator.PeerAnswer
		}{tt.Name, tt.PeerAnswer})
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.answer })
			require.NoError(t, err)
			defer p.Close()
			whole := 0
			for range rounds {
				response, err := clientOf(p.Address()).Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Minute, Body: make([]byte, 4<<20)})
				if err != nil {
					require.ErrorIs(t, err, ErrInterrupted, "it may have run")
					continue
				}
				if _, err := io.ReadAll(response.Body); err == nil {
					whole++
				}
				response.Body.Close()
			}
			require.Zero(t, whole, "broken answers taken for whole")
		})
	}
}
