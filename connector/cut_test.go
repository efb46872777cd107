package connector

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// startPeer starts an upstream that answers each request with the same bytes.
func startPeer(t testing.TB, answer emulator.PeerAnswer) *emulator.Peer {
	t.Helper()
	p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer { return answer })
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

// exchange sends a call with a body of some bytes, reads the body of the response after a while, and returns it.
func exchange(t testing.TB, p *emulator.Peer, bodyBytes int, readAfter time.Duration) (string, error) {
	t.Helper()
	call := newCall("1")
	call.Method, call.Body = http.MethodPost, make([]byte, bodyBytes)
	response, err := newPool().Send(t.Context(), p.Address(), call)
	if err != nil {
		return "", err
	}
	defer response.Close()
	time.Sleep(readAfter)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

const (
	// longUpload does not fit into the buffers of the sockets, so that it is still being written when the answer arrives.
	longUpload = 4 << 20
	// silenceTimeout is that of the connections of newPool.
	silenceTimeout = time.Second
	head           = "HTTP/1.1 200 OK\r\nId: 1\r\n"
)

// Guards against a cut answer that is taken for a whole one. A socket reports a reset once, to whichever of the writer of
// the request and the reader of the answer asks first; the other one sees an orderly end.
func TestResetDuringUploadCutsTheAnswer(t *testing.T) {
	const rounds = 20
	tests := []struct {
		name   string
		answer emulator.PeerAnswer
		upload int
	}{
		{"reset at once", emulator.PeerAnswer{Early: true, End: emulator.PeerResets}, longUpload},
		{"reset after 1 ms", emulator.PeerAnswer{Early: true, Delay: time.Millisecond, End: emulator.PeerResets}, longUpload},
		{"reset after 20 ms", emulator.PeerAnswer{Early: true, Delay: 20 * time.Millisecond, End: emulator.PeerResets}, longUpload},
		{"closed with unread bytes", emulator.PeerAnswer{Early: true, End: emulator.PeerClosesUnread}, longUpload},
		{"upload that fits into the sockets", emulator.PeerAnswer{Early: true, End: emulator.PeerResets}, 200 << 10},
		{"upload that is written inline", emulator.PeerAnswer{Early: true, End: emulator.PeerResets}, maxInlineBodyBytes},
		{"no upload", emulator.PeerAnswer{End: emulator.PeerResets}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, readAfter := range []time.Duration{0, 15 * time.Millisecond} {
				tt.answer.Bytes = head + "\r\nhalf"
				p := startPeer(t, tt.answer)
				whole := 0
				for range rounds {
					if body, err := exchange(t, p, tt.upload, readAfter); err == nil {
						require.Equal(t, "half", body)
						whole++
					}
				}
				require.Zero(t, whole, "cut answers taken for whole, read after %v", readAfter)
			}
		})
	}
}

// Guards against the same for a connection on which the upstream no longer reads: its time-out is reported once as well.
func TestTimeOutDuringUploadCutsTheAnswer(t *testing.T) {
	p := startPeer(t, emulator.PeerAnswer{Bytes: head + "\r\nhalf", Early: true, End: emulator.PeerStalls})
	for range 3 {
		_, err := exchange(t, p, longUpload, 0)
		require.ErrorIs(t, err, syscall.ETIMEDOUT)
	}
}

// Guards against refusing what is whole because the upload fails: the rest of the request does not matter once the length
// or the last chunk has arrived, or once the upstream has ended the connection in order. The end of the answer must not
// wait for an upstream that reads nothing more.
func TestAnswerBeforeTheEndOfTheUploadIsWhole(t *testing.T) {
	const rounds = 20
	tests := []struct {
		name, bytes string
		end         emulator.PeerEnd
	}{
		{"length, then reset", head + "Content-Length: 4\r\n\r\ndone", emulator.PeerResets},
		{"last chunk, then reset", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", emulator.PeerResets},
		{"orderly end", head + "\r\ndone", emulator.PeerCloses},
		{"orderly end, then reset", head + "\r\ndone", emulator.PeerClosesThenResets},
		{"orderly end, the upload is not read", head + "\r\ndone", emulator.PeerClosesAndStalls},
		{"length, the upload is not read", head + "Content-Length: 4\r\n\r\ndone", emulator.PeerClosesAndStalls},
		{"interim answers, then an orderly end", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "\r\ndone", emulator.PeerCloses},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, readAfter := range []time.Duration{0, 15 * time.Millisecond} {
				p := startPeer(t, emulator.PeerAnswer{Bytes: tt.bytes, Early: true, Delay: time.Millisecond, End: tt.end})
				for range rounds {
					body, err := exchange(t, p, longUpload, readAfter)
					require.NoError(t, err, "read after %v", readAfter)
					require.Equal(t, "done", body)
				}
			}
		})
	}
}

// Guards against refusing a whole answer that is read late: meanwhile the connection has timed out because the upstream,
// which has ended the answer in order, does not read the upload.
func TestTimeOutAfterTheEndOfTheAnswer(t *testing.T) {
	p := startPeer(t, emulator.PeerAnswer{Bytes: head + "\r\ndone", Early: true, End: emulator.PeerClosesAndStalls})
	body, err := exchange(t, p, longUpload, 4*silenceTimeout)
	require.NoError(t, err)
	require.Equal(t, "done", body)
}
