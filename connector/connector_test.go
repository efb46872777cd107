package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeUpstream is an upstream that responds as a test specifies.
type fakeUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	accepted int
}

// startUpstream calls serve for each connection, with the number of the connection.
func startUpstream(t testing.TB, serve func(n int, c net.Conn)) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &fakeUpstream{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.accepted++
			n := p.accepted
			p.mu.Unlock()
			go serve(n, c)
		}
	}()
	return p
}

func (p *fakeUpstream) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *fakeUpstream) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// readRequest reads one request and discards its body.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool() *Pool {
	return New(Config{
		Dial:         Dialer(time.Second, silenceTimeout),
		ReadMetadata: func(h http.Header) Metadata { return Metadata{ID: h.Get("Id")} },
	})
}

func newCall(id string) *Call {
	return &Call{ID: id, Method: "GET", Host: "a.example", Target: "/x", Header: http.Header{"Id": {id}}}
}

// Guards against a response that is delivered to the wrong call because bytes of an earlier
// exchange were left on a reused connection.
func TestConnectionIsReusedOnlyWithoutLeftoverBytes(t *testing.T) {
	tests := []struct {
		name        string
		response    string
		connections int
	}{
		{"complete response", responseText("1", "ok"), 1},
		{"bytes after the response", responseText("1", "ok") + "more", 2},
		{"second response", responseText("1", "ok") + responseText("1", "ok"), 2},
		{"close", strings.Replace(responseText("1", "ok"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startUpstream(t, func(_ int, c net.Conn) {
				r := bufio.NewReader(c)
				for {
					q, err := readRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, strings.ReplaceAll(tt.response, "Id: 1", "Id: "+q.Header.Get("Id")))
				}
			})
			pool := newPool()
			for _, id := range []string{"1", "2"} {
				response, err := pool.Send(t.Context(), p.address(), newCall(id))
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, "ok", string(body))
				response.Close()
			}
			require.Equal(t, tt.connections, p.connections())
		})
	}
}

// Guards against a response to an earlier call that is taken for that of the current call.
func TestResponsesToEarlierCallsAreSkipped(t *testing.T) {
	p := startUpstream(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText("old", "no")+responseText("", "no")+responseText("2", "yes"))
	})
	response, err := newPool().Send(t.Context(), p.address(), newCall("2"))
	require.NoError(t, err)
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "yes", string(body))
}

// Guards against a request that is executed twice because the error of the first attempt
// says that the upstream cannot have received it.
func TestCallErrorTellsWhetherRequestWasWritten(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unused := closed.Addr().(*net.TCPAddr).AddrPort()
	closed.Close()
	respondWith := func(text string) netip.AddrPort {
		return startUpstream(t, func(_ int, c net.Conn) {
			if _, err := readRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			c.Close()
		}).address()
	}
	tests := []struct {
		name          string
		address       netip.AddrPort
		written       bool
		connectFailed bool
	}{
		{"nobody listens", unused, false, true},
		{"closed without a response", respondWith(""), true, false},
		{"bytes that are not a response", respondWith("garbage\r\n\r\n"), true, false},
		{"response to another call", respondWith(responseText("other", "no")), true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newPool().Send(t.Context(), tt.address, newCall("1"))
			var failure *CallError
			require.True(t, errors.As(err, &failure), "%v", err)
			require.Equal(t, tt.written, failure.Written)
			require.Equal(t, tt.connectFailed, failure.ConnectFailed)
			require.Equal(t, tt.address, failure.Peer)
		})
	}
}

// Guards against a truncated body that is passed on as a complete one when the upstream
// closes the connection too early.
func TestTruncatedBodyIsAnError(t *testing.T) {
	tests := []struct{ name, text string }{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf"},
		{"chunks without end", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startUpstream(t, func(_ int, c net.Conn) {
				if _, err := readRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, tt.text)
				}
				c.Close()
			})
			response, err := newPool().Send(t.Context(), p.address(), newCall("1"))
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			response.Close()
		})
	}
}

// Guards against a truncated body that is passed on as a complete one when the connection is
// reset: without length and chunks, only a regular close marks the end of the body.
func TestResetOfUnframedBodyIsAnError(t *testing.T) {
	p := startUpstream(t, func(_ int, c net.Conn) {
		if _, err := readRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
		}
		time.Sleep(50 * time.Millisecond) // the reset must not overtake the bytes
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	response, err := newPool().Send(t.Context(), p.address(), newCall("1"))
	require.NoError(t, err)
	defer response.Close()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
}

// Guards against a next request that the upstream reads as the rest of an unread body.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	p := startUpstream(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText("1", "early"))
		// The body is not read. Bytes of another request must not arrive in its place.
	})
	pool := newPool()
	call := newCall("1")
	call.Method, call.Body = "POST", bytes.Repeat([]byte("x"), 32<<20)
	response, err := pool.Send(t.Context(), p.address(), call)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "early", string(body))
	response.Close()
	require.Nil(t, pool.takeIdle(p.address()), "the connection is not reused")
}

// Guards against a second response, which arrives after the body of the first one was read,
// that is taken for the response to the next call with the same ID.
func TestIdleConnectionWithPendingInputIsNotUsed(t *testing.T) {
	late := make(chan struct{})
	p := startUpstream(t, func(n int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText("1", "ok"))
			if n == 1 {
				_, _ = io.WriteString(c, responseText("1", "late"))
				close(late)
			}
		}
	})
	pool := newPool()
	response, err := pool.Send(t.Context(), p.address(), newCall("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	<-late
	response.Close()
	second, err := pool.Send(t.Context(), p.address(), newCall("1"))
	require.NoError(t, err)
	body, err := io.ReadAll(second.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	second.Close()
	require.Equal(t, 2, p.connections())
}

// Guards against calls that continue after the caller has disconnected.
func TestCancelledContextAbortsCall(t *testing.T) {
	gone := make(chan struct{})
	p := startUpstream(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = r.ReadByte() // returns when the pool closes the connection
		close(gone)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("caller disconnected")
	time.AfterFunc(20*time.Millisecond, func() { cancel(cause) })
	_, err := newPool().Send(ctx, p.address(), newCall("1"))
	require.ErrorIs(t, err, cause)
	<-gone
}

// Guards against calls that fail because the upstream closes an idle connection as it is
// reused.
func TestExpiredIdleConnectionsAreClosed(t *testing.T) {
	p := startUpstream(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			text := strings.Replace(responseText("1", "ok"), "\r\n\r\n", "\r\nKeep-Alive: timeout=2\r\n\r\n", 1)
			_, _ = io.WriteString(c, text)
		}
	})
	pool := newPool()
	response, err := pool.Send(t.Context(), p.address(), newCall("1"))
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Close()
	pool.CloseExpired(time.Now())
	require.Len(t, pool.idle[p.address()], 1)
	pool.CloseExpired(time.Now().Add(1500 * time.Millisecond))
	require.Empty(t, pool.idle[p.address()], "expired before the upstream closes it")
}

// Guards against one daemon that occupies the connections an upstream accepts.
func TestMaxIdleLimitsConnections(t *testing.T) {
	p := startUpstream(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText("1", "ok"))
		}
	})
	pool := newPool()
	pool.SetMaxIdle(0)
	var responses []*Response
	for range 3 {
		response, err := pool.Send(t.Context(), p.address(), newCall("1"))
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.NoError(t, err)
		responses = append(responses, response)
	}
	for _, response := range responses {
		response.Close()
	}
	require.Len(t, pool.idle[p.address()], 1)
}

// Guards against calls that hang because the peer has become unreachable. This cannot be
// simulated on loopback. The test reads the socket options by which the kernel ends such a
// connection.
func TestDialerSetsTimeoutsForSilentPeer(t *testing.T) {
	p := startUpstream(t, func(int, net.Conn) {})
	conn, err := Dialer(time.Second, 1500*time.Millisecond)(t.Context(), "tcp", p.address().String())
	require.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) int {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), level, name)
		}))
		require.NoError(t, err)
		return value
	}
	require.Equal(t, 1500, option(syscall.IPPROTO_TCP, tcpUserTimeout), "unacknowledged bytes, in ms")
	require.Equal(t, 1, option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
	require.Equal(t, 2, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT))
	require.Equal(t, 1, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), "in s")
	require.Equal(t, 1, option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), "in s")
}
