package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/platform"
	"laburnumline/soaker"
)

// commandVariable makes the test binary run the command instead of its tests.
const commandVariable = "LABURNUMLINE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// processFixture is an emulated store and upstream, and the settings of a daemon that runs as a process of its own.
type processFixture struct {
	t        testing.TB
	store    *emulator.Store
	ip       string
	settings string
	program  string // the default is that of the test
	log      safeBuffer
}

// safeBuffer collects the output of a process.
type safeBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func newProcessFixture(t testing.TB, events int, interval time.Duration) *processFixture {
	t.Helper()
	f := &processFixture{
		t: t, store: emulator.NewStore(emulator.StoreConfig{}),
		ip:       fmt.Sprintf("127.%d.%d.%d", 130+rand.N(100), rand.N(250), 1+rand.N(250)),
		settings: filepath.Join(t.TempDir(), "settings.toml"),
	}
	f.store.PutAsOperator("op/config", []byte(`{"version":1,"routes":[
 {"name":"drafts","hostname":"a.example","prefix":"/drafts/","routeType":"streaming","timeoutMs":20000,"backend":"model","attempts":1}],
 "backends":[{"name":"model","healthPath":"/healthz","maxConnections":100,"backendEngine":{"batchSlots":64,"kvCapacity":400000,"interval":3}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"],"prepaid":1000000}]}`))
	upstream := emulator.NewRunner(emulator.RunnerConfig{Name: "i-model", Events: events, EventInterval: interval})
	url, err := upstream.Serve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	f.store.PutAsOperator("servers/i-model", fmt.Appendf(nil,
		`{"backend":"model","address":%q,"zone":"z","version":"v1","batchSlots":8,"phase":"ready","warmupLeftMs":0,"seq":1}`, strings.TrimPrefix(url, "http://")))
	server := httptest.NewServer(f.store.PlatformHandler())
	t.Cleanup(server.Close)
	text := fmt.Sprintf("nodeName = \"edge-1\"\nipAddress = %[1]q\nzone = \"z\"\ninternalPorts = [18010, 18020]\n"+
		"[bind]\nfrontend = \"%[1]s:18000\"\nready = \"%[1]s:18001\"\n[limits]\nmemoryLimitMb = 134\n[ruleParams]\ngraceS = 20\nretryRatio = 1\nretryWindowS = 2\n"+
		"[platform]\naddress = %[2]q\n", f.ip, server.Listener.Addr())
	require.NoError(t, os.WriteFile(f.settings, []byte(text), 0o600))
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.log.String())
		}
	})
	return f
}

// command returns the process of the daemon, which is not started yet.
func (f *processFixture) command(args ...string) *exec.Cmd {
	f.t.Helper()
	process := exec.Command(cmp.Or(f.program, os.Args[0]), append([]string{"launch"}, args...)...)
	process.Env = append(os.Environ(), commandVariable+"=1", platform.SettingsVariable+"="+f.settings)
	process.Stdout, process.Stderr = &f.log, &f.log
	f.t.Cleanup(func() {
		if process.Process != nil && process.ProcessState == nil {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	})
	return process
}

// start starts the daemon and waits until it is ready.
func (f *processFixture) start(args ...string) *exec.Cmd {
	f.t.Helper()
	process := f.command(args...)
	require.NoError(f.t, process.Start())
	f.awaitReady()
	return process
}

func (f *processFixture) awaitReady() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		response, err := http.Get("http://" + f.ip + ":18001/api/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, time.Minute, 5*time.Millisecond)
}

// do sends a request.
func (f *processFixture) do(ctx context.Context, id, path string, deadline time.Duration) (*http.Response, error) {
	return f.upload(ctx, id, path, "body", deadline)
}

// upload sends a request with a body.
func (f *processFixture) upload(ctx context.Context, id, path, body string, deadline time.Duration) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.ip+":18000"+path+"1", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "a.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Authorization": "Bearer k1", "Token-Usage": "100,50"} {
		request.Header.Set(name, value)
	}
	return http.DefaultClient.Do(request)
}

// send sends a request and returns its status and whole body.
func (f *processFixture) send(ctx context.Context, id, path string, deadline time.Duration) (int, string, error) {
	response, err := f.do(ctx, id, path, deadline)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// openStream sends a request for a stream and returns when its first event has arrived.
func (f *processFixture) openStream(id string) *bufio.Reader {
	f.t.Helper()
	response, err := f.do(f.t.Context(), id, "/drafts/", 20*time.Second)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { response.Body.Close() })
	require.Equal(f.t, http.StatusOK, response.StatusCode)
	body := bufio.NewReader(response.Body)
	_, err = body.Peek(1)
	require.NoError(f.t, err)
	return body
}

// Guards against SIGHUP that ends a daemon while it completes its requests after SIGTERM: its handler was removed when
// the planned stop began, and the default action of SIGHUP ends the process.
func TestHangupDuringPlannedStopEndsNoRequest(t *testing.T) {
	t.Parallel()
	const events = 12
	f := newProcessFixture(t, events, 100*time.Millisecond)
	process := f.start()
	body := f.openStream("1")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP} {
		require.NoError(t, process.Process.Signal(s))
		time.Sleep(50 * time.Millisecond)
	}
	rest, err := io.ReadAll(body)
	require.NoError(t, err, "the stream was cut off")
	require.Equal(t, events, strings.Count("\n"+string(rest), "\nid:"))
	for range 20 { // while the daemon returns its shares and exits
		_ = process.Process.Signal(syscall.SIGHUP) // fails once the process has ended
		time.Sleep(10 * time.Millisecond)
	}
	require.NoError(t, process.Wait())
	require.Contains(t, f.log.String(), "daemon_stopped")
}

// Guards against commands of operators that a lost terminal does not end, and against daemons that it ends.
func TestHangupEndsCommandsThatAreNoDaemons(t *testing.T) {
	tests := []struct {
		command command
		daemon  bool
	}{{&launchCommand{}, true}, {&serveCommand{}, true}, {&soakCommand{}, false}, {&statusCommand{}, false}}
	for _, tt := range tests {
		_, daemon := tt.command.(daemonCommand)
		require.Equal(t, tt.daemon, daemon, "%T", tt.command)
	}
	hangup := make(chan os.Signal, 1)
	e := &environment{ctx: t.Context(), hangup: hangup}
	stopOnHangup(e)
	require.NoError(t, e.ctx.Err())
	hangup <- syscall.SIGHUP
	<-e.ctx.Done()
}

// Guards against SIGHUP that ends a daemon between the start of its process and the first instruction of main, or
// while it reads its settings.
func TestHangupAtStartEndsNoDaemon(t *testing.T) {
	t.Parallel()
	f := newProcessFixture(t, 1, time.Millisecond)
	for _, delay := range []time.Duration{0, 200 * time.Microsecond, 500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond} {
		process := f.command()
		require.NoError(t, process.Start())
		require.True(t, soaker.AwaitStart(process.Process.Pid, syscall.SIGHUP))
		time.Sleep(delay)
		for range 5 {
			require.NoError(t, process.Process.Signal(syscall.SIGHUP))
		}
		f.awaitReady()
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		require.NoError(t, process.Wait(), "SIGHUP %v after the start", delay)
	}
}

// Guards against a daemon that ends with SIGPIPE at the next line of its log, because the reader of the log has gone.
func TestDaemonOutlivesReaderOfItsLog(t *testing.T) {
	t.Parallel()
	const events = 10
	f := newProcessFixture(t, events, 50*time.Millisecond)
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	process := f.command()
	process.Stdout, process.Stderr = writer, writer
	require.NoError(t, process.Start())
	require.NoError(t, writer.Close())
	f.awaitReady()
	body := f.openStream("1")
	require.NoError(t, reader.Close())
	for range 5 {
		require.NoError(t, process.Process.Signal(syscall.SIGHUP)) // logged
		time.Sleep(20 * time.Millisecond)
	}
	rest, err := io.ReadAll(body)
	require.NoError(t, err, "the stream was cut off")
	require.Equal(t, events, strings.Count("\n"+string(rest), "\nid:"))
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	require.NoError(t, process.Wait())
}

// Guards against a daemon that ends because a port is in use when it starts: by the process before it, by a connection, or
// for good by another process, which has the port of the metrics or those for calls between daemons.
func TestDaemonWaitsForItsPorts(t *testing.T) {
	t.Parallel()
	f := newProcessFixture(t, 3, time.Millisecond)
	occupy := func(port int) net.Listener {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.ip, port))
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		return l
	}
	front, ready, metrics := occupy(18000), occupy(18001), occupy(18002)
	for port := 18010; port <= 18013; port++ {
		occupy(port)
		conn, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", f.ip, port))
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	inUse := func(part string) func() bool {
		return func() bool { return strings.Contains(f.log.String(), `"address_in_use" event=6010 part="`+part) }
	}
	process := f.command("--metrics", "18002")
	require.NoError(t, process.Start())
	for _, part := range []string{"metrics", "relay", "announcements", "transfers", "streams", "delegation", "readiness"} {
		require.Eventually(t, inUse(part), time.Minute, time.Millisecond, part)
	}
	require.NoError(t, ready.Close())
	require.Eventually(t, inUse("frontend"), time.Minute, time.Millisecond)
	response, err := http.Get("http://" + f.ip + ":18001/api/readyz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "ready, although callers cannot connect")
	require.NoError(t, front.Close())
	f.awaitReady()
	body := f.openStream("1")
	_, err = io.ReadAll(body)
	require.NoError(t, err)
	require.NoError(t, metrics.Close())
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + f.ip + ":18002/metrics")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	}, time.Minute, 10*time.Millisecond)
	require.NoError(t, process.Process.Signal(syscall.SIGTERM))
	require.NoError(t, process.Wait())
}

// Guards against a daemon that ends because its settings file is being written when it starts. A file that stays invalid
// is an error that names it.
func TestDaemonWaitsForSettingsThatAreBeingWritten(t *testing.T) {
	t.Parallel()
	f := newProcessFixture(t, 1, time.Millisecond)
	text, err := os.ReadFile(f.settings)
	require.NoError(t, err)
	for _, written := range [][]byte{nil, text[:len(text)/3], text[:len(text)-20]} {
		require.NoError(t, os.WriteFile(f.settings, written, 0o600))
		skipped := strings.Count(f.log.String(), "settings_skipped")
		process := f.command()
		require.NoError(t, process.Start())
		require.Eventually(t, func() bool { return strings.Count(f.log.String(), "settings_skipped") > skipped }, time.Minute, time.Millisecond)
		require.NoError(t, os.WriteFile(f.settings, text, 0o600))
		f.awaitReady()
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		require.NoError(t, process.Wait())
	}
	require.NoError(t, os.WriteFile(f.settings, text[:len(text)/3], 0o600))
	r := runCommand(t, "", "launch", "--settings", f.settings)
	require.Equal(t, exitUsage, r.code)
	require.Contains(t, r.stderr, f.settings)
}
