package connector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream that writes an earlier refusal once more on a kept connection, where the response to the next
// call is due. Taken for that response, it would promise that a request has not run which the upstream is running.
func TestRepeatedRefusalIsNotTakenForALaterResponse(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	}
	const answerDelay = 20 * time.Millisecond
	tests := []struct {
		name        string
		first, next string // IDs of two calls
		// whileIdle is true if the refusal is repeated before the next call, otherwise it follows that.
		whileIdle   bool
		repetitions int
		connections int
	}{
		{"before the next call", "1", "2", true, 1, 2},
		{"after the next call", "1", "2", false, 1, 1},
		{"several times", "1", "2", false, maxStaleResponses, 1},
		{"the same request again", "1", "1", false, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			repeated := make(chan struct{})
			executed := make(chan string, 2)
			p := startUpstream(t, func(_ int, c net.Conn) {
				r := bufio.NewReader(c)
				refused := ""
				for {
					q, err := readRequest(r)
					if err != nil {
						return
					}
					id := q.Header.Get("Id")
					if len(executed) == 0 && refused == "" && q.URL.Path == "/refused" {
						refused = refusal(id)
						_, _ = io.WriteString(c, refused)
						if tt.whileIdle {
							_, _ = io.WriteString(c, refused)
						}
						close(repeated)
						continue
					}
					executed <- id
					for range tt.repetitions {
						if !tt.whileIdle {
							_, _ = io.WriteString(c, refused)
						}
					}
					time.Sleep(answerDelay)
					_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\ndone", id))
				}
			})
			pool := New(Config{Dial: Dialer(time.Second, time.Second), ReadMetadata: func(h http.Header) Metadata {
				return Metadata{ID: h.Get("Id"), NotRun: h.Get("Not-Executed") != ""}
			}})
			call := newCall(tt.first)
			call.Target = "/refused"
			response, err := pool.Send(t.Context(), p.address(), call)
			require.NoError(t, err)
			require.True(t, response.Metadata.NotRun)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			response.Close()
			<-repeated

			response, err = pool.Send(t.Context(), p.address(), newCall(tt.next))
			require.NoError(t, err)
			defer response.Close()
			require.False(t, response.Metadata.NotRun, "the upstream runs it")
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "done", string(body))
			require.Equal(t, tt.next, <-executed)
			require.Empty(t, executed, "it has run once")
			require.Equal(t, tt.connections, p.connections())
		})
	}
}
