package launcher

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/resolver"
)

// frontendFixture is a frontend on a loopback address, whose limits a test changes.
type frontendFixture struct {
	t        *testing.T
	frontend *frontend
	address  string
	limits   atomic.Pointer[resolver.Limits]
	release  chan struct{} // ends requests of /wait
	waiting  chan struct{} // receives one value for each of them
}

func newFrontendFixture(t *testing.T, limits resolver.Limits) *frontendFixture {
	t.Helper()
	f := &frontendFixture{t: t, release: make(chan struct{}), waiting: make(chan struct{}, 1)}
	f.limits.Store(&limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			_, _ = io.WriteString(w, "begin ")
			_ = http.NewResponseController(w).Flush()
			f.waiting <- struct{}{}
			<-f.release
		}
		_, _ = io.WriteString(w, "done")
	})
	f.frontend = newFrontend(frontendConfig{
		Listener: listener, Limits: func() resolver.Limits { return *f.limits.Load() },
		NewServer: func(l resolver.Limits) *http.Server {
			return &http.Server{Handler: handler, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
		},
	})
	t.Cleanup(func() { _ = f.frontend.shutDown(t.Context()) })
	return f
}

func (f *frontendFixture) set(l resolver.Limits) {
	f.limits.Store(&l)
	f.frontend.update()
}

// dial opens a connection.
func (f *frontendFixture) dial() (net.Conn, *bufio.Reader) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

// request sends a request with a header of some bytes on a connection and returns the status and the body.
func (f *frontendFixture) request(conn net.Conn, r *bufio.Reader, headerBytes int) (int, string) {
	f.t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("a", headerBytes)+"\r\n\r\n")
	require.NoError(f.t, err)
	response, err := http.ReadResponse(r, nil)
	require.NoError(f.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, string(body)
}

// Guards against limits of connections that a running daemon keeps from its start: callers that stay within the limits
// in force were denied with 431. A configuration may raise and lower them, and may come after the frontend is open.
func TestFrontendFollowsLimits(t *testing.T) {
	atStart := resolver.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	raised := resolver.Limits{HeaderBytes: 64 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	f := newFrontendFixture(t, atStart)
	idle, reader := f.dial()
	for _, tt := range []struct {
		limits resolver.Limits
		status int // of a request with a header of 30,000 bytes
	}{{atStart, 431}, {raised, 200}, {atStart, 431}, {raised, 200}} {
		changed := tt.limits != f.frontend.limits
		f.set(tt.limits)
		if changed {
			_, err := reader.ReadByte()
			require.ErrorIs(t, err, io.EOF, "an idle connection keeps its limits")
			idle, reader = f.dial()
		}
		conn, long := f.dial()
		status, _ := f.request(conn, long, 30_000)
		require.Equal(t, tt.status, status)
		status, _ = f.request(idle, reader, 10)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, tt.limits.HeaderTimeout, f.frontend.current.ReadHeaderTimeout)
		require.Equal(t, tt.limits.IdleTimeout, f.frontend.current.IdleTimeout)
	}
}

// Guards against open connections that a change of other parts of the configuration closes.
func TestFrontendKeepsConnectionsUnderTheSameLimits(t *testing.T) {
	limits := resolver.Limits{HeaderBytes: 16 << 10, BodyBytes: 1000, IdleTimeout: time.Minute}
	f := newFrontendFixture(t, limits)
	conn, reader := f.dial()
	for n := range int64(3) {
		limits.BodyBytes += n
		f.set(limits)
		status, body := f.request(conn, reader, 10)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "done", body)
	}
}

// Guards against requests in flight that a change of the limits, or a stop after it, cuts off.
func TestFrontendCompletesRequestsOfEarlierLimits(t *testing.T) {
	f := newFrontendFixture(t, resolver.Limits{HeaderBytes: 16 << 10, IdleTimeout: time.Minute})
	conn, reader := f.dial()
	_, err := io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-f.waiting
	f.set(resolver.Limits{HeaderBytes: 32 << 10, IdleTimeout: time.Minute})
	stopped := make(chan error, 1)
	go func() { stopped <- f.frontend.shutDown(context.Background()) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", f.address)
		if err == nil {
			conn.Close()
		}
		return err != nil
	}, time.Minute, time.Millisecond)
	require.Empty(t, stopped, "a request is in flight")
	close(f.release)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "begin done", string(body))
	require.NoError(t, <-stopped)
	require.True(t, errors.Is(f.frontend.config.Listener.Close(), net.ErrClosed))
}

// Guards against servers and connections that a storm of changes leaves behind. Idle connections end, whatever the number of
// changes, and the last server alone stays.
func TestFrontendKeepsNothingOfEarlierLimits(t *testing.T) {
	const changes, connections = 200, 20
	limits := resolver.Limits{IdleTimeout: time.Minute}
	f := newFrontendFixture(t, limits)
	goroutines := runtime.NumGoroutine()
	for range changes {
		var idle []*bufio.Reader
		for range connections {
			conn, reader := f.dial()
			status, _ := f.request(conn, reader, 10)
			require.Equal(t, http.StatusOK, status)
			idle = append(idle, reader)
		}
		limits.IdleTimeout++
		f.set(limits)
		for _, reader := range idle {
			_, err := reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
	}
	require.Eventually(t, func() bool {
		f.frontend.mu.Lock()
		defer f.frontend.mu.Unlock()
		return len(f.frontend.retired) == 0 && f.frontend.current.open.Load() == 0
	}, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= goroutines }, time.Minute, time.Millisecond)
}

// BenchmarkFrontendRequests measures requests on kept connections.
func BenchmarkFrontendRequests(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	f := newFrontend(frontendConfig{
		Listener: listener, Limits: func() resolver.Limits { return resolver.Limits{IdleTimeout: time.Minute} },
		NewServer: func(l resolver.Limits) *http.Server {
			return &http.Server{IdleTimeout: l.IdleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
		},
	})
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(b, err)
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for p.Next() {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(b, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(b, err)
			require.NoError(b, response.Body.Close())
		}
	})
	require.NoError(b, f.shutDown(context.Background()))
}
