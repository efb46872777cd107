package soaker

import (
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// regressions are the seeds that ever broke a promise, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{seed: 1, cause: "none; the seed that is always played"},
}

func TestPromisesUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "laburnumline")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "laburnumline/cmd/laburnumline").CombinedOutput()
	require.NoError(t, err, string(output))
	for _, r := range regressions {
		report, err := Run(t.Context(), Config{Program: program, Seed: r.seed, Duration: 8 * time.Second, Folder: t.TempDir()})
		require.NoError(t, err)
		require.Empty(t, report.Violations, "%s (%s)", report, r.cause)
		require.Positive(t, report.Served)
		t.Log(report)
	}
}

func TestLedgerSeesBrokenPromises(t *testing.T) {
	tests := []struct {
		name      string
		status    int
		signature string
		body      string
		err       error
		broken    bool
	}{
		{name: "whole", status: 200, signature: "s", body: "done /plain/0000000000000001"},
		{name: "of another request", status: 200, signature: "s", body: "done /plain/0000000000000002", broken: true},
		{name: "not signed", status: 200, body: "done /plain/0000000000000001", broken: true},
		{name: "short without an error", status: 200, signature: "s", body: "done /pl", broken: true},
		{name: "broken off", status: 200, signature: "s", body: "done /pl", err: io.ErrUnexpectedEOF},
		{name: "refused", status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger()
			l.end(l.begin(request{path: "/plain/", key: firstKey}), tt.status, tt.signature, tt.body, tt.err)
			require.Equal(t, tt.broken, len(l.broken) > 0, l.broken)
		})
	}
}

func TestLedgerComparesRefusalsWithRuns(t *testing.T) {
	s, err := newSite()
	require.NoError(t, err)
	defer s.close()
	l := newLedger()
	a := l.begin(request{path: "/plain/", key: firstKey})
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/plain/x", http.NoBody)
	require.NoError(t, err)
	q.Header.Set("Attempt-Id", a.id)
	for range 2 {
		s.desks[0].ServeHTTP(discard{}, q)
	}
	l.end(a, http.StatusServiceUnavailable, "", "", nil)
	require.Len(t, l.judge(s).Violations, 2, "refused and ran, and ran twice")
}

func TestLedgerSeesOverspending(t *testing.T) {
	s, err := newSite()
	require.NoError(t, err)
	defer s.close()
	l := newLedger()
	a := l.begin(request{path: "/drafts/", key: firstKey})
	l.end(a, http.StatusOK, "s", whole(a.request, a.id), nil)
	l.compare(promptTokens+outputTokens, a.id)
	require.Empty(t, l.judge(s).Violations)
	l.compare(promptTokens+outputTokens-1, a.id)
	require.Len(t, l.judge(s).Violations, 1)
}

// discard is an http.ResponseWriter that keeps nothing.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func TestProxyWays(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy(l.Addr().String())
	require.NoError(t, err)
	defer p.close()
	echo := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	c, err := net.Dial("tcp", p.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, echo(c))
	p.set(waySlow)
	require.NoError(t, echo(c))

	p.set(waySilent)
	answered := make(chan error, 1)
	go func() { answered <- echo(c) }()
	p.set(wayOpen)
	require.NoError(t, <-answered, "what was held arrives")

	p.set(wayRefuse)
	require.Error(t, echo(c))
}

func TestRunsHaveAddressesOfTheirOwn(t *testing.T) {
	one, first, err := claim()
	require.NoError(t, err)
	defer first.Close()
	other, second, err := claim()
	require.NoError(t, err)
	defer second.Close()
	require.NotEqual(t, one, other)
}
