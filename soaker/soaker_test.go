package soaker

import (
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// regressions lists the seeds with which a guarantee was once violated, and the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{seed: 1, cause: "none; this seed is always run"},
	{seed: 102, cause: "truncated streams with neither a length nor chunks passed for complete; a request that had run was refused as not run when a part of its prompt was quarantined"},
	{seed: 104, cause: "as seed 102"},
	{seed: 105, cause: "as seed 102; and the emulated upstream ignored where a stream resumes"},
	{seed: 7016, cause: "as seed 7125"},
	{seed: 7114, cause: "as seed 7125"},
	{seed: 7125, cause: "a request that had run was delegated, and the other daemon's refusal as not run was passed on"},
}

// Guards against daemons that violate a guarantee while processes are killed, connections are
// interrupted and the store and the upstreams fail, or that do not recover from it.
func TestPromisesHoldUnderFaults(t *testing.T) {
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

// Guards against daemons that end requests, or themselves, while they are stopped and started and their settings files
// change. Signals come in series, at any moment from the start of a process to its end.
func TestPlannedWorkEndsNoRequest(t *testing.T) {
	program := filepath.Join(t.TempDir(), "laburnumline")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "laburnumline/cmd/laburnumline").CombinedOutput()
	require.NoError(t, err, string(output))
	report, err := Run(t.Context(), Config{Program: program, Seed: 1, Duration: 8 * time.Second, Folder: t.TempDir(), Planned: true})
	require.NoError(t, err)
	require.Empty(t, report.Violations, report)
	require.Positive(t, report.Served)
}

// Guards against a checker that misses a process that ended by itself, or one that failed when it was stopped.
func TestEndsOfProcesses(t *testing.T) {
	tests := []struct {
		name             string
		killed, stopping bool
		command          string
		violated         bool
	}{
		{"killed", true, false, "kill -KILL $$", false},
		{"stopped", false, true, "exit 0", false},
		{"stopped at its start", false, true, "kill -TERM $$", false},
		{"terminated by another", false, false, "kill -TERM $$", true},
		{"failed while it stopped", false, true, "exit 1", true},
		{"hangup while it stopped", false, true, "kill -HUP $$", true},
		{"ended by itself", false, false, "exit 0", true},
		{"ended by a signal", false, false, "kill -HUP $$", true},
	}
	for _, tt := range tests {
		process := exec.Command("sh", "-c", tt.command)
		_ = process.Run() // its state is examined
		require.Equal(t, tt.violated, endedByItself(process.ProcessState, tt.killed, tt.stopping), tt.name)
	}
}

// Guards against a checker that misses a request that ran and whose connection ended without a whole answer.
func TestHistoryReportsLostRequests(t *testing.T) {
	f, err := newFixture(eventInterval)
	require.NoError(t, err)
	defer f.close()
	h := newHistory()
	for _, runs := range []bool{false, true} {
		a := h.begin(request{path: "/plain/", key: firstKey})
		h.recordCut(a)
		if runs {
			httpRequest, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/plain/x", http.NoBody)
			require.NoError(t, err)
			httpRequest.Header.Set("Attempt-Id", a.id)
			f.deskUpstreams[0].ServeHTTP(discardResponse{}, httpRequest)
		}
	}
	require.Empty(t, h.check(f).Violations, "kills and partitions cut requests")
	h.planned = true
	require.Len(t, h.check(f).Violations, 1)
}

// Guards against a checker that accepts a successful response that is unsigned, incomplete or that
// of another request, or that reports a refusal or a broken connection as a violation.
func TestHistoryReportsInvalidResponses(t *testing.T) {
	tests := []struct {
		name      string
		status    int
		signature string
		body      string
		err       error
		violated  bool
	}{
		{name: "whole", status: 200, signature: "s", body: "done /plain/0000000000000001"},
		{name: "of another request", status: 200, signature: "s", body: "done /plain/0000000000000002", violated: true},
		{name: "not signed", status: 200, body: "done /plain/0000000000000001", violated: true},
		{name: "incomplete without an error", status: 200, signature: "s", body: "done /pl", violated: true},
		{name: "connection lost", status: 200, signature: "s", body: "done /pl", err: io.ErrUnexpectedEOF},
		{name: "refused", status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHistory()
			h.finish(h.begin(request{path: "/plain/", key: firstKey}), tt.status, tt.signature, tt.body, tt.err)
			require.Equal(t, tt.violated, len(h.violations) > 0, h.violations)
		})
	}
}

// Guards against a checker that accepts a stream with events of two software versions.
func TestHistoryReportsJoinedVersions(t *testing.T) {
	first, second := emulator.VersionedStream(eventsPerResponse, firstSoftware), emulator.VersionedStream(eventsPerResponse, secondSoftware)
	half := emulator.VersionedStream(eventsPerResponse/2, firstSoftware)
	tests := []struct {
		name, received, body string
		violated             bool
	}{
		{"one version", "", second, false},
		{"resumed by the caller", half, strings.TrimPrefix(first, half), false},
		{"resumed at another version", "", half + second[len(half):], true},
		{"resumed by the caller at another version", half, second[len(half):], true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHistory()
			h.finish(h.begin(request{path: "/drafts/", key: firstKey, received: tt.received}), http.StatusOK, "s", tt.body, nil)
			require.Equal(t, tt.violated, len(h.violations) > 0, h.violations)
		})
	}
}

// Guards against a checker that misses a non-idempotent request that was executed twice, or one
// that was executed although its response stated that it never would be.
func TestHistoryReportsExecutionAfterRefusalAndRepeatedExecution(t *testing.T) {
	f, err := newFixture(eventInterval)
	require.NoError(t, err)
	defer f.close()
	h := newHistory()
	a := h.begin(request{path: "/plain/", key: firstKey})
	httpRequest, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/plain/x", http.NoBody)
	require.NoError(t, err)
	httpRequest.Header.Set("Attempt-Id", a.id)
	for range 2 {
		f.deskUpstreams[0].ServeHTTP(discardResponse{}, httpRequest)
	}
	h.finish(a, http.StatusServiceUnavailable, "", "", nil)
	require.Len(t, h.check(f).Violations, 2, "executed after a refusal, and executed twice")
}

// Guards against a checker that misses one token used beyond the prepaid ones, or that reports an
// account that has used exactly what it has prepaid.
func TestHistoryReportsOverspending(t *testing.T) {
	f, err := newFixture(eventInterval)
	require.NoError(t, err)
	defer f.close()
	h := newHistory()
	a := h.begin(request{path: "/drafts/", key: firstKey})
	h.finish(a, http.StatusOK, "s", completeResponses(a.request, a.id)[0], nil)
	h.checkPrepaid(promptTokens+outputTokens, a.id)
	require.Empty(t, h.check(f).Violations)
	h.checkPrepaid(promptTokens+outputTokens-1, a.id)
	require.Len(t, h.check(f).Violations, 1)
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// Guards against a proxy that injects no fault: one that lets data through in modeReset, or that
// drops the data that it held in modeHold.
func TestProxyModes(t *testing.T) {
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
	p.setMode(modeDelay)
	require.NoError(t, echo(c))

	p.setMode(modeHold)
	echoed := make(chan error, 1)
	go func() { echoed <- echo(c) }()
	p.setMode(modeForward)
	require.NoError(t, <-echoed, "held data is forwarded")

	p.setMode(modeReset)
	require.Error(t, echo(c))
}

// Guards against two runs at the same time whose daemons use the same addresses and respond to
// each other's callers.
func TestConcurrentRunsReserveDifferentAddresses(t *testing.T) {
	firstBlock, firstReservation, err := reserveAddresses()
	require.NoError(t, err)
	defer firstReservation.Close()
	secondBlock, secondReservation, err := reserveAddresses()
	require.NoError(t, err)
	defer secondReservation.Close()
	require.NotEqual(t, firstBlock, secondBlock)
}
