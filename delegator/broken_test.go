package delegator

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// sendToPeer sends a request with a body of some bytes to a peer that answers in place of another daemon. It reports whether
// a whole response arrived.
func sendToPeer(t *testing.T, p *emulator.Peer, bodyBytes int) bool {
	t.Helper()
	response, err := clientOf(p.Address()).Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Minute, Body: make([]byte, bodyBytes)})
	if err != nil {
		require.ErrorIs(t, err, ErrInterrupted, "it may have run")
		return false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err == nil
}

// Guards against a cut response of another daemon that is passed on as a whole one.
func TestResetDuringUploadCutsTheResponseOfAnotherDaemon(t *testing.T) {
	const rounds = 20
	tests := []struct {
		name   string
		answer emulator.PeerAnswer
	}{
		{"reset after 1 ms", emulator.PeerAnswer{Bytes: "HTTP/1.1 200 OK\r\n\r\nhalf", Early: true, Delay: time.Millisecond, End: emulator.PeerResets}},
		{"closed with unread bytes", emulator.PeerAnswer{Bytes: "HTTP/1.1 200 OK\r\n\r\nhalf", Early: true, End: emulator.PeerClosesUnread}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.answer })
			require.NoError(t, err)
			defer p.Close()
			for range rounds {
				require.False(t, sendToPeer(t, p, 4<<20), "taken for whole")
			}
		})
	}
}

// Guards against malformed responses in place of another daemon's that are passed on.
func TestBrokenResponseOfAnotherDaemonIsLost(t *testing.T) {
	for _, tt := range append(emulator.StatusFaults(checkedHeader+": 1\r\n", "done"), emulator.FieldFaults(checkedHeader+": 1\r\n", "done")...) {
		t.Run(tt.Name, func(t *testing.T) {
			p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return tt.PeerAnswer })
			require.NoError(t, err)
			defer p.Close()
			require.False(t, sendToPeer(t, p, 4), "taken for whole")
		})
	}
}
