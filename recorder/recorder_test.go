package recorder

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"laburnumline/refuser"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// captureLog returns the text that f logs.
func captureLog(f func()) string {
	var b bytes.Buffer
	klog.LogToStderr(false)
	klog.SetOutput(&b)
	defer klog.LogToStderr(true)
	f()
	klog.Flush()
	return b.String()
}

// Packages are used without a recorder in tests, and must not panic then.
func TestNilRecorderDiscardsEverything(t *testing.T) {
	var r *Recorder
	r.Count("a", 1)
	r.SetGauge("a", 1)
	r.ObserveDuration("a", 1)
	r.CountRefusal(refuser.Internal)
	r.CountRetry("x")
	r.Event(DaemonStarted)
	r.Counter("a").Inc(1)
	require.Empty(t, r.Samples())
}

// An event that repeats without end must not flood the log, but its counter has to show how
// often it occurred, and the counter of suppressed events what the log lacks.
func TestEventsAreAllCountedButLogsAreRateLimited(t *testing.T) {
	r := New()
	const events = 100
	text := captureLog(func() {
		for range events {
			r.Event(DaemonStarted, "vm", "vm-1")
		}
	})
	lines := strings.Count(text, `"daemon_started" event=6001 vm="vm-1"`)
	require.Positive(t, lines)
	require.Less(t, lines, events)
	require.EqualValues(t, events, r.Counter("event.daemon_started").Count())
	require.EqualValues(t, events-lines, r.Counter(suppressedCounter).Count())
	require.Panics(t, func() { r.Event(9998) })
	text = captureLog(func() { r.HTTPErrorLog("callers").Print("bad handshake") })
	require.Contains(t, text, `"http_server_error" event=6101 listener="callers" message="bad handshake"`)

	var limiter eventLimiter
	now := time.Unix(5, 0)
	for range maxLoggedPerSecond {
		require.True(t, limiter.allow(now))
	}
	require.False(t, limiter.allow(now))
	require.True(t, limiter.allow(now.Add(time.Second)))
}

// Monitoring reads the plain text or the JSON form. Both have to hold the same metrics, also
// those that are still zero.
func TestHandlerReturnsAllMetrics(t *testing.T) {
	r := New()
	r.CountRefusal(refuser.QueueFull)
	r.CountRetry("connect")
	r.SetGauge("memory.bytes", 5)
	r.ObserveDuration("call", 2*time.Second)
	get := func(accept string) string {
		request := httptest.NewRequest(http.MethodGet, "/metrics", nil)
		request.Header.Set("Accept", accept)
		response := httptest.NewRecorder()
		r.Handler().ServeHTTP(response, request)
		require.Equal(t, http.StatusOK, response.Code)
		return response.Body.String()
	}
	plain := get("*/*")
	for _, line := range []string{"refused.queue_full 1", "refused.internal 0", "retried.connect 1", "memory.bytes 5", "call.count 1", "call.p95 2000000000", "event.daemon_started 0"} {
		require.Contains(t, "\n"+plain, "\n"+line+"\n")
	}
	var values map[string]float64
	require.NoError(t, json.Unmarshal([]byte(get("application/json")), &values))
	require.Equal(t, 1.0, values["refused.queue_full"])
	require.Len(t, values, strings.Count(plain, "\n"))
}

// An event that is added, renamed or removed in the code alone would leave docs/EVENTS.md, by
// which operators look up events, wrong or incomplete.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$`)
	listed := make(map[Code]string)
	for _, columns := range row.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(columns[1])
		require.NoError(t, err)
		require.NotContains(t, listed, Code(number), "listed twice")
		require.NotEmpty(t, strings.TrimSpace(columns[3]), columns[2])
		require.NotEmpty(t, strings.TrimSpace(columns[4]), columns[2])
		listed[Code(number)] = columns[2]
	}
	require.Equal(t, Codes(), listed)
}

// A package that calls a log package itself would log without an event number, a counter and a
// rate limit.
func TestNoOtherPackageLogsDirectly(t *testing.T) {
	mayLog := []string{filepath.Join("..", "recorder"), filepath.Join("..", "cmd")}
	files := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		for _, dir := range mayLog {
			if strings.HasPrefix(path, dir+string(filepath.Separator)) {
				return nil
			}
		}
		files++
		source, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		require.Empty(t, logCalls(source), path)
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, files, 10)
}

// logCalls returns the functions and types of log packages that a file uses. log.New and
// log.Logger are left out, because an http.Server needs a logger for its errors.
func logCalls(source *ast.File) []string {
	packages := make(map[string]bool)
	for _, i := range source.Imports {
		switch i.Path.Value {
		case `"k8s.io/klog/v2"`, `"log/slog"`, `"log"`:
			name := strings.TrimSuffix(strings.Trim(i.Path.Value, `"`), "/v2")
			packages[path.Base(name)] = true
			if i.Name != nil {
				packages[i.Name.Name] = true
			}
		}
	}
	var calls []string
	ast.Inspect(source, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, ok := selector.X.(*ast.Ident)
		if !ok || !packages[name.Name] {
			return true
		}
		if use := name.Name + "." + selector.Sel.Name; use != "log.New" && use != "log.Logger" {
			calls = append(calls, use)
		}
		return true
	})
	return calls
}

// If logCalls missed a log package or an import under another name, the test above would pass
// for packages that log directly.
func TestLogCallsFindsCallsOfEveryLogPackage(t *testing.T) {
	for _, tt := range []struct {
		imported, call string
		found          []string
	}{
		{`"log"`, `log.Println()`, []string{"log.Println"}},
		{`"log"`, `log.New(nil, "", 0)`, nil},
		{`"log/slog"`, `slog.Info("")`, []string{"slog.Info"}},
		{`"k8s.io/klog/v2"`, `klog.Info()`, []string{"klog.Info"}},
		{`k "k8s.io/klog/v2"`, `k.Info()`, []string{"k.Info"}},
	} {
		text := "package p\nimport " + tt.imported + "\nfunc f() { " + tt.call + " }\n"
		source, err := parser.ParseFile(token.NewFileSet(), "p.go", text, parser.SkipObjectResolution)
		require.NoError(t, err)
		require.Equal(t, tt.found, logCalls(source), tt.call)
	}
}

func BenchmarkRefused(b *testing.B) {
	r := New()
	b.ReportAllocs()
	for b.Loop() {
		r.CountRefusal(refuser.QueueFull)
	}
}
