package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/connector"
)

// rawUpstreams serve connections that each bring the next of some byte sequences and end.
type rawUpstreams struct {
	answers  []string // the last one is repeated
	requests int
}

func (u *rawUpstreams) dial(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	answer := u.answers[min(u.requests, len(u.answers)-1)]
	u.requests++
	go func() {
		defer remote.Close()
		if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
			_, _ = io.WriteString(remote, answer) // an error means that the daemon has closed the connection
		}
	}()
	return local, nil
}

// An upstream may stop in the middle of the head of a response and close its connection, at any byte. The caller must
// neither get a success with an empty or short body, nor a stream that ends as if it were complete.
func TestResponseWithoutWholeHeadIsNoResponse(t *testing.T) {
	const (
		plain      = "Id: 7\r\nSignature: s\r\nContent-Type: text/plain\r\n"
		stream     = "Id: 7\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
		foreign    = "HTTP/1.1 200 OK\r\nId: 6\r\nSignature: s\r\nContent-Length: 4\r\n\r\nlate"
		soundPlain = "HTTP/1.1 200 OK\r\n" + plain + "Content-Length: 4\r\n\r\ndone"
	)
	events := sseEvent("1") + sseEvent("2") + sseEvent("3")
	broken := "HTTP/1.1 200 OK\r\n" + stream + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(sseEvent("1")), sseEvent("1"))
	soundStream := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", stream, len(body), body)
	}
	heads := func(fields string) []string {
		return []string{
			"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 40\r\n\r\n",
			"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
			"HTTP/1.0 200 OK\r\n" + fields + "Connection: close\r\n\r\n",
			strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 40\r\n\r\n", "\r\n", "\n"),
			"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 40\r\n\r\n",
		}
	}
	tests := []struct {
		name, path string
		heads      []string
		before     []string // earlier responses
		after      string   // later response, or empty if all are cut
		status     int
		aborted    bool
		body       string
		requests   int
	}{
		{"executed once", "/once/", heads(plain), nil, soundPlain, 502, false, "", 1},
		{"retried", "/again/", heads(plain), nil, soundPlain, 200, false, "done", 2},
		{"never whole", "/again/", heads(plain), nil, "", 502, false, "", 2},
		{"stream, executed once", "/stream/", heads(stream), nil, soundStream(events), 502, false, "", 1},
		{"stream, retried", "/resume/", heads(stream), nil, soundStream(events), 200, false, events, 2},
		{"stream, never whole", "/resume/", heads(stream), nil, "", 502, false, "", 3},
		{"resumed stream", "/resume/", heads(stream), []string{broken}, soundStream(sseEvent("2") + sseEvent("3")), 200, false, events, 3},
		{"resumed stream, never whole", "/resume/", heads(stream), []string{broken}, "", 200, true, sseEvent("1"), 3},
	}
	for _, tt := range tests {
		for _, hedged := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, second sends %t", tt.name, hedged), func(t *testing.T) {
				t.Parallel()
				for _, head := range tt.heads {
					for _, late := range []string{"", foreign} {
						for n := range len(head) {
							synctest.Test(t, func(t *testing.T) {
								u := &rawUpstreams{answers: append(append([]string{}, tt.before...), late+head[:n])}
								if tt.after != "" {
									u.answers = append(u.answers, tt.after)
								}
								w := u.serve(t, tt.path, hedged)
								require.Equal(t, tt.status, w.Code, "%q", head[:n])
								require.Equal(t, tt.aborted, w.aborted, "%q", head[:n])
								if tt.status == http.StatusOK {
									require.Equal(t, tt.body, w.Body.String(), "%q", head[:n])
								}
								require.Equal(t, tt.requests, u.requests, "%q", head[:n])
							})
						}
					}
				}
			})
		}
	}
}

// serve serves a request with upstreams at the other ends of real connections.
func (u *rawUpstreams) serve(t *testing.T, path string, hedged bool) callerResponse {
	s := newFakeUpstreams(t)
	f := s.forwarder()
	f.config.Sender = connector.New(connector.Config{Dial: u.dial, ReadMetadata: func(h http.Header) connector.Metadata {
		return connector.Metadata{ID: h.Get("Id"), Signed: h.Get("Signature") != ""}
	}})
	if hedged {
		f.config.Hedger = trainedHedger(time.Now(), 0.1)
	}
	return serveWith(t.Context(), f, path, "")
}
