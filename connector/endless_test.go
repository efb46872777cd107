package connector

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessBytes is what an upstream in these tests sends at most. It exceeds the buffers of the sockets.
const endlessBytes = 64 << 20

// writeEndlessly writes the start and then repeats the rest until the other side closes the connection or endlessBytes
// are written. It returns the number of bytes.
func writeEndlessly(w io.Writer, start, rest string) int64 {
	written, err := io.WriteString(w, start)
	block := strings.Repeat(rest, 64<<10/len(rest))
	for n := 0; err == nil && written < endlessBytes; written += n {
		n, err = io.WriteString(w, block)
	}
	return int64(written)
}

// Guards against a faulty upstream whose response header has no end: the daemon kept all of it and was killed for
// its memory, with the requests of other callers. What precedes the header of the call's response has to end as well.
func TestEndlessHeadFailsTheCall(t *testing.T) {
	tests := []struct{ name, start, rest string }{
		{"status line", "HTTP/1.1 200 ", "a"},
		{"no line end", "", "a"},
		{"blank lines", "", "\r\n"},
		{"one header", "HTTP/1.1 200 OK\r\nId: 1\r\nX-Long: ", "a"},
		{"header name", "HTTP/1.1 200 OK\r\nId: 1\r\n", "a"},
		{"many headers", "HTTP/1.1 200 OK\r\nId: 1\r\n", "X-More: a\r\n"},
		{"continued header", "HTTP/1.1 200 OK\r\nId: 1\r\nX-Long: a\r\n", " a\r\n"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"},
		{"body of a skipped response", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", "a"},
		{"after a skipped response", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			p := startUpstream(t, func(_ int, c net.Conn) {
				defer close(ended)
				defer c.Close()
				if _, err := readRequest(bufio.NewReader(c)); err == nil {
					written.Store(writeEndlessly(c, tt.start, tt.rest))
				}
			})
			_, err := newPool().Send(t.Context(), p.address(), newCall("1"))
			var failed *CallError
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Written, "the upstream may have run the request")
			<-ended
			require.Less(t, written.Load(), int64(endlessBytes), "the connection is closed before the end")
		})
	}
}

// Guards against a limit that a connection in use again has partly used up, and against one that counts bodies.
func TestHeadLimitIsPerCall(t *testing.T) {
	header := "X-Long: " + strings.Repeat("a", maxHeadBytes/2) + "\r\n"
	body := strings.Repeat("b", 4*maxHeadBytes)
	p := startUpstream(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			q, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+q.Header.Get("Id")+"\r\nContent-Length: 262144\r\n"+header+"\r\n"+body)
		}
	})
	pool := newPool()
	for _, id := range []string{"1", "2", "3", "4"} {
		response, err := pool.Send(t.Context(), p.address(), newCall(id))
		require.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, body, string(got))
		response.Close()
	}
	require.Equal(t, 1, p.connections())
}
