package dispatcher_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
)

// callPeer calls a service that answers each request in the same way.
func callPeer(t testing.TB, d *dispatcher.Dispatcher, p *emulator.Peer, bodyBytes int) (*conductor.Response, error) {
	t.Helper()
	u := contractor.Upstream{Name: "desk-1", URL: "http://" + p.Address().String()}
	call := &conductor.ServiceCall{Key: key, Method: http.MethodPost, Path: "/a", Body: make([]byte, bodyBytes)}
	return d.CallService(context.Background(), u, call, 1)
}

func startPeer(t testing.TB, answer emulator.PeerAnswer) *emulator.Peer {
	t.Helper()
	p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return answer })
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

// longUpload is still being written when an early answer arrives.
const longUpload = 4 << 20

// Guards against a cut answer that is taken for a whole one because the writer of the request was told of the reset, so
// that the reader of the answer saw an orderly end.
func TestResetDuringUploadCutsTheServiceResponse(t *testing.T) {
	const rounds = 20
	tests := []struct {
		name  string
		delay time.Duration
		end   emulator.PeerEnd
	}{
		{"reset at once", 0, emulator.PeerResets},
		{"reset after 1 ms", time.Millisecond, emulator.PeerResets},
		{"reset after 10 ms", 10 * time.Millisecond, emulator.PeerResets},
		{"closed with unread bytes", 0, emulator.PeerClosesUnread},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := dispatcher.New(dispatcher.Config{})
			defer d.Close()
			p := startPeer(t, emulator.PeerAnswer{Bytes: "HTTP/1.1 200 OK\r\n\r\nhalf", Early: true, Delay: tt.delay, End: tt.end})
			whole := 0
			for range rounds {
				if _, err := callPeer(t, d, p, longUpload); err == nil {
					whole++
				} else {
					require.NotEqual(t, dispatcher.NotSent, requireFailure(t, err).Phase)
				}
			}
			require.Zero(t, whole, "cut answers taken for whole")
		})
	}
}

// Guards against refusing a whole answer that arrives before the end of the upload.
func TestServiceResponseBeforeTheEndOfTheUploadIsWhole(t *testing.T) {
	const rounds = 10
	tests := []struct {
		name, bytes string
		end         emulator.PeerEnd
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", emulator.PeerCloses},
		{"last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", emulator.PeerCloses},
		{"orderly end", "HTTP/1.1 200 OK\r\n\r\ndone", emulator.PeerCloses},
		{"orderly end, the upload is not read", "HTTP/1.1 200 OK\r\n\r\ndone", emulator.PeerClosesAndStalls},
		{"interim answers, then an orderly end", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\ndone", emulator.PeerCloses},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := dispatcher.New(dispatcher.Config{})
			defer d.Close()
			p := startPeer(t, emulator.PeerAnswer{Bytes: tt.bytes, Early: true, End: tt.end})
			for range rounds {
				response, err := callPeer(t, d, p, longUpload)
				require.NoError(t, err)
				require.Equal(t, "done", string(response.Body))
			}
		})
	}
}
