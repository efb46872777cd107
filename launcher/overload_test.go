package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendHeaders opens a connection and sends the headers of a request with a body of some length.
func (f *fixture) sendHeaders(length int) net.Conn {
	conn, err := net.Dial("tcp", f.front.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = fmt.Fprintf(conn, "POST /plain/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %d\r\nDeadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n", f.attempts.Add(1), length)
	require.NoError(f.t, err)
	return conn
}

// A refused caller has to get its response before it has sent its body, whether it then sends nothing, the rest or
// goes on for longer than the server reads, and its connection has to be closed.
func TestOverloadedDaemonRefusesBeforeTheBody(t *testing.T) {
	f := newFixture(t)
	f.descriptors = 1
	f.restartDaemon()
	held := f.sendHeaders(1) // occupies the descriptor, but sends no body
	require.Eventually(t, func() bool {
		status, _, err := f.call("/plain/1", "k1")
		return err == nil && status == http.StatusServiceUnavailable
	}, time.Minute, 20*time.Millisecond)
	before := len(f.desk.Executions())
	for _, length := range []int{10, 90_000, 50_000_000} {
		for _, sends := range []bool{false, true} {
			conn := f.sendHeaders(length)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if sends {
					_, _ = conn.Write(make([]byte, length)) // fails when the connection is closed
				}
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "length %d", length)
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, "overloaded\n", string(text))
			require.True(t, response.Close)
			wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Positive(t, wait)
			conn.Close()
			<-ended
		}
	}
	require.Len(t, f.desk.Executions(), before)
	held.Close()
}
