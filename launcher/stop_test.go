package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// processListener closes all connections of a daemon when its process ends.
type processListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *processListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, conn)
	}
	return conn, err
}

func (l *processListener) endProcess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

// writeRequest writes a request to a connection.
func writeRequest(t *testing.T, conn net.Conn, id, path string, deadline time.Duration) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer k1\r\n"+
		"Token-Usage: 100,50\r\nPrompt-Prefix: aa:60,bb:40\r\nContent-Length: 4\r\n\r\nbody", path, id, deadline.Milliseconds())
	require.NoError(t, err)
}

// Guards against requests that a stopping daemon takes although it may end before them, and against requests that its
// end cuts off without an answer. A connection that was accepted just before the listener closed brings its first
// request late.
func TestStoppingDaemonAnswersAllRequests(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		deadline time.Duration
		late     bool // sent when the daemon accepts no connections any more
		want     int
		runs     bool
	}{
		{"late, may outlast the daemon", "/plain/1", 5 * time.Second, true, http.StatusServiceUnavailable, false},
		{"late stream, may outlast the daemon", "/drafts/1", 5 * time.Second, true, http.StatusServiceUnavailable, false},
		{"late, ends in time", "/plain/1", 300 * time.Millisecond, true, http.StatusGatewayTimeout, true},
		{"running, outlasts the daemon", "/plain/1", 5 * time.Second, false, http.StatusBadGateway, true},
		{"running stream without an event, outlasts the daemon", "/drafts/1", 5 * time.Second, false, http.StatusBadGateway, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newSlowFixture(t)
			conn, err := net.Dial("tcp", f.front.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			executions := func() int { return len(f.desk.Executions()) + len(f.model.Executions()) }
			if !tt.late {
				writeRequest(t, conn, "77", tt.path, tt.deadline)
				require.Eventually(t, func() bool { return executions() == 1 }, time.Minute, time.Millisecond)
			}
			f.stop()
			if tt.late {
				require.Eventually(t, func() bool {
					other, err := net.Dial("tcp", f.front.Addr().String())
					if err == nil {
						other.Close()
					}
					return err != nil
				}, time.Minute, 10*time.Millisecond)
				writeRequest(t, conn, "77", tt.path, tt.deadline)
			}
			require.NoError(t, <-f.ended)
			f.process.endProcess()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "the request was cut off without an answer")
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, tt.want, response.StatusCode, "%s", body)
			require.Equal(t, tt.runs, executions() > 0)
		})
	}
}

// newSlowFixture returns a fixture whose upstreams work longer on a request than the daemon's grace period.
func newSlowFixture(t *testing.T) *fixture {
	t.Helper()
	return startFixture(t, &fixture{
		desk:        emulator.NewRunner(emulator.RunnerConfig{Name: "i-desk", WorkTime: 20 * time.Second}),
		model:       emulator.NewRunner(emulator.RunnerConfig{Name: "i-model", Events: 6, WorkTime: 20 * time.Second}),
		gracePeriod: 3 * time.Second,
	})
}
