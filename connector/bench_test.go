package connector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// The path of an answer, from a call on a kept connection to the end of the body.
func BenchmarkSend(b *testing.B) {
	const fields = "Runner-Signature: s\r\nRunner-Load: 1,2,3\r\nContent-Type: application/json\r\nKeep-Alive: timeout=60\r\nX-One: 1\r\nX-Two: 2\r\n"
	for _, bodyBytes := range []int{0, 64 << 10} {
		b.Run(fmt.Sprintf("body of %d KB", bodyBytes>>10), func(b *testing.B) {
			upstream := startUpstream(b, func(_ int, c net.Conn) {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					q, err := readRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+q.Header.Get("Id")+"\r\n"+fields+"Content-Length: 4\r\n\r\ndone")
				}
			})
			pool := newPool()
			defer pool.CloseExcept(nil)
			body := make([]byte, bodyBytes)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				id := fmt.Sprint(n)
				call := &Call{ID: id, Method: http.MethodPost, Host: "a.example", Target: "/x", Header: http.Header{"Id": {id}}, Body: body}
				response, err := pool.Send(b.Context(), upstream.address(), call)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(b, err)
				response.Close()
			}
		})
	}
}
