package launcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const headStart, headRest = "GET /sec", "ond HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against requests that run and get no answer: a server that drains closed connections that net/http counts as idle,
// which it does until it has read the head of a request.
func TestDrainingServerAnswersWhatItHasBegunToRead(t *testing.T) {
	tests := []struct {
		name string
		// during and before are sent while the first request runs, and after its response.
		during, before string
		after          string // sent once the server drains
		answered       bool
	}{
		{name: "idle"},
		{name: "one byte", before: "G", after: headStart[1:] + headRest, answered: true},
		{name: "part of the head", before: headStart, after: headRest, answered: true},
		{name: "first byte while the last request runs", during: "G", after: headStart[1:] + headRest, answered: true},
		{name: "first byte while the last request runs, more before", during: "G", before: headStart[1:], after: headRest, answered: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			listener := &handoffListener{connections: make(chan net.Conn), closed: make(chan struct{})}
			server := newDrainableServer(&http.Server{IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					<-release
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})}, listener)
			go server.Serve(server.connectionListener()) // ends with shutDown
			// A write to a pipe returns once the other side has read it.
			conn, accepted := net.Pipe()
			require.True(t, listener.offer(accepted))
			reader := bufio.NewReader(conn)
			send := func(text string) {
				_, err := io.WriteString(conn, text)
				require.NoError(t, err)
			}
			send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
			send(tt.during)
			close(release)
			requireAnswer(t, reader, "/first", false)
			send(tt.before)
			server.drainConnections()
			stopped := make(chan error, 1)
			go func() { stopped <- server.shutDown(context.Background()) }()
			if tt.answered {
				send(tt.after)
				requireAnswer(t, reader, "/second", true)
			}
			_, err := reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.NoError(t, <-stopped)
		})
	}
}

// requireAnswer reads a response, and checks whether it says that the connection closes.
func requireAnswer(t *testing.T, r *bufio.Reader, body string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(text))
	require.Equal(t, closes, response.Close)
}

// A wait for a request is ended while its first byte arrives. Either the byte was not read, or the request can be read
// completely: the deadline that was to end the wait must not stay.
func TestEndedWaitLosesNoByte(t *testing.T) {
	const rounds = 2000
	served := 0
	for range rounds {
		caller, accepted := net.Pipe()
		c := newRequestConn(accepted, time.Now().Add(-newConnectionTime))
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(caller, "GET")
			written <- err
		}()
		drained := make(chan error, 1)
		go func() { drained <- c.drain() }()
		var request [3]byte
		_, err := c.Read(request[:1])
		require.NoError(t, <-drained)
		if err == nil {
			_, err = io.ReadFull(c, request[1:])
			require.NoError(t, err)
			require.Equal(t, "GET", string(request[:]))
			served++
		}
		require.NoError(t, c.Close())
		require.Equal(t, err == nil, <-written == nil)
	}
	t.Logf("%d of %d requests arrived before the end of the wait", served, rounds)
}
