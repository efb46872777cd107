package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/launcher"
	"laburnumline/platform"
	"laburnumline/recorder"
)

const configurationText = `{"version":%d,"routes":[
 {"name":"plain","hostname":"a.example","prefix":"/plain/","routeType":"non_idempotent","timeoutMs":5000,"backend":"desk","attempts":1},
 {"name":"drafts","hostname":"a.example","prefix":"/drafts/","routeType":"streaming","timeoutMs":9000,"backend":"model","attempts":3,"resumable":true}%s],
 "backends":[{"name":"desk","healthPath":"/healthz","maxConnections":100},
  {"name":"model","healthPath":"/healthz","maxConnections":100,"backendEngine":{"batchSlots":64,"kvCapacity":400000,"interval":3}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"],"prepaid":1000000}]}`

// fixture is an emulated store, two emulated upstreams and one daemon, on loopback
// addresses.
type fixture struct {
	t        *testing.T
	store    *emulator.Store
	desk     *emulator.Runner
	model    *emulator.Runner
	front    net.Listener
	ready    net.Listener
	stop     context.CancelFunc
	ended    chan error
	attempts atomic.Int64

	storeAddress string
	descriptors  int // limit of the daemon that is started next
	gracePeriod  time.Duration
	process      *processListener
	metrics      net.Listener // of the daemon that is started next, or nil
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return startFixture(t, &fixture{
		desk:        emulator.NewRunner(emulator.RunnerConfig{Name: "i-desk"}),
		model:       emulator.NewRunner(emulator.RunnerConfig{Name: "i-model", Events: 6}),
		gracePeriod: time.Minute,
	})
}

// startFixture starts a fixture with the given upstreams.
func startFixture(t *testing.T, f *fixture) *fixture {
	t.Helper()
	f.t, f.store, f.ended = t, emulator.NewStore(emulator.StoreConfig{}), make(chan error, 1)
	f.front, f.ready = listenLoopback(t), listenLoopback(t)
	f.configure(1, "")
	f.addUpstream("i-desk", "desk", f.desk)
	f.addUpstream("i-model", "model", f.model)
	server := httptest.NewServer(f.store.PlatformHandler())
	t.Cleanup(server.Close)
	f.storeAddress = server.Listener.Addr().String()
	f.startDaemon()
	return f
}

// startDaemon starts a daemon and waits until it is ready.
func (f *fixture) startDaemon() {
	f.t.Helper()
	store := platform.NewStore(platform.StoreConfig{
		Address: f.storeAddress, CallTimeout: 5 * time.Second,
		PollTimeout: func() time.Duration { return 200 * time.Millisecond },
	})
	f.process = &processListener{Listener: f.front}
	listeners := map[netip.AddrPort]net.Listener{addressOf(f.front): f.process, addressOf(f.ready): f.ready}
	metrics := netip.AddrPort{}
	if f.metrics != nil {
		metrics = addressOf(f.metrics)
		listeners[metrics] = f.metrics
	}
	daemon := launcher.New(launcher.Config{
		MetricsAddress: metrics,
		Settings: launcher.Settings{
			Name: "edge-1", Zone: "z", FrontendAddress: addressOf(f.front), ReadinessAddress: addressOf(f.ready), RetryRatio: 10, GracePeriod: f.gracePeriod,
			Descriptors:     f.descriptors,
			WarmupOvershoot: 1.5, WarmupAllowance: 5,
		},
		Adapter:  platform.Adapter(store),
		Listen:   func(a netip.AddrPort) (net.Listener, error) { return listeners[a], nil },
		Recorder: recorder.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.ended <- daemon.Run(ctx) }()
	f.t.Cleanup(cancel)
	require.Eventually(f.t, f.isReady, time.Minute, 10*time.Millisecond)
}

// restartDaemon stops the daemon and starts another one on the same VM.
func (f *fixture) restartDaemon() {
	f.t.Helper()
	f.stop()
	require.NoError(f.t, <-f.ended)
	f.front, f.ready = listenLoopback(f.t), listenLoopback(f.t)
	f.startDaemon()
}

func (f *fixture) configure(version int, route string) {
	f.store.PutAsOperator("op/config", fmt.Appendf(nil, configurationText, version, route))
}

func (f *fixture) addUpstream(name, service string, r *emulator.Runner) {
	f.t.Helper()
	f.addUpstreamVersion(name, service, "v1", r)
}

func (f *fixture) addUpstreamVersion(name, service, software string, r *emulator.Runner) {
	f.t.Helper()
	url, err := r.Serve()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = r.Close() })
	f.store.PutAsOperator("servers/"+name, fmt.Appendf(nil,
		`{"backend":%q,"address":%q,"zone":"z","version":%q,"batchSlots":8,"phase":"ready","warmupLeftMs":0,"seq":1}`,
		service, strings.TrimPrefix(url, "http://"), software))
}

func (f *fixture) isReady() bool {
	response, err := http.Get("http://" + f.ready.Addr().String() + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call sends one request and returns its status and body.
func (f *fixture) call(path, key string) (int, string, error) { return f.resume(path, key, "", 0) }

// resume is call for a stream that an attempt began, after an event. An empty attempt means a new request.
func (f *fixture) resume(path, key, attempt string, event int) (int, string, error) {
	request, err := http.NewRequest("POST", "http://"+f.front.Addr().String()+path, strings.NewReader("body"))
	require.NoError(f.t, err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", strconv.FormatInt(f.attempts.Add(1), 16))
	request.Header.Set("Deadline-Ms", "8000")
	request.Header.Set("Authorization", "Bearer "+key)
	if attempt != "" {
		request.Header.Set("Resumes", attempt)
		request.Header.Set("Last-Event-Id", strconv.Itoa(event))
	}
	if strings.HasPrefix(path, "/drafts/") {
		request.Header.Set("Model-Id", "m")
		request.Header.Set("Token-Usage", "100,50")
		request.Header.Set("Prompt-Prefix", "aa:60,bb:40")
	}
	if strings.HasPrefix(path, "/drafts/crash") {
		request.Header.Set("Prompt-Prefix", "aa:50,dead:10,"+strconv.FormatInt(f.attempts.Load(), 16)+":40")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// callHTTP10 requests a stream by HTTP/1.0 and returns all that the daemon sends.
func (f *fixture) callHTTP10() ([]byte, error) {
	conn, err := net.Dial("tcp", f.front.Addr().String())
	require.NoError(f.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /drafts/1 HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: 77\r\n"+
		"Authorization: Bearer k1\r\nToken-Usage: 100,50\r\nPrompt-Prefix: aa:60,bb:40\r\n\r\n")
	require.NoError(f.t, err)
	return io.ReadAll(conn)
}

func (f *fixture) require(path, key string, status int, body string) {
	f.t.Helper()
	got, text, err := f.call(path, key)
	require.NoError(f.t, err)
	require.Equal(f.t, status, got)
	if body != "" {
		require.Equal(f.t, body, text)
	}
}

// A daemon whose parts New connects wrongly would pass the tests of each part, but answer
// requests with a wrong status, body or account.
func TestDaemonRoutesAuthenticatesAndForwards(t *testing.T) {
	f := newFixture(t)
	f.require("/plain/1", "k1", 200, "done /plain/1")
	f.require("/drafts/1", "k1", 200, emulator.RunnerStream(6))
	f.require("/plain/1", "unknown", 401, "")
	f.require("/nowhere/", "k1", 404, "")
	require.Equal(t, "t1", f.desk.Executions()[0].Account)
	require.Equal(t, "body", f.desk.Executions()[0].Body)
}

// A resumable stream that breaks off at one upstream has to resume at another. A request that
// is not idempotent, and whose response is lost, must not run a second time.
func TestUpstreamFaultIsRetriedOnlyWhereTheRouteAllows(t *testing.T) {
	f := newFixture(t)
	f.model.Inject(emulator.RunnerTruncate)
	second := emulator.NewRunner(emulator.RunnerConfig{Name: "i-second", Events: 6})
	f.addUpstream("i-second", "model", second)
	require.Eventually(t, func() bool {
		f.call("/drafts/x", "k1") //nolint:errcheck // only the executions at the upstreams matter
		return len(second.Executions()) > 0 || len(f.model.Executions()) > 30
	}, time.Minute, time.Millisecond)
	f.require("/drafts/2", "k1", 200, emulator.RunnerStream(6))
	f.desk.Inject(emulator.RunnerLoseResponse)
	before := len(f.desk.Executions())
	f.require("/plain/2", "k1", 502, "")
	require.Len(t, f.desk.Executions(), before+1, "a request that may have run is not sent again")
}

// An upstream crashes while it sends a stream that has neither a length nor chunks. The end
// of the connection must not pass for the end of the stream.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	f := newFixture(t)
	f.model.Inject(emulator.RunnerUnframed)
	f.require("/drafts/1", "k1", 200, emulator.RunnerStream(6))
	f.model.Inject(emulator.RunnerTruncateUnframed)
	_, body, err := f.call("/drafts/2", "k1")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, emulator.RunnerStream(strings.Count(body, "id: ")), body, "only complete events are forwarded")
}

// A response to a caller of HTTP/1.0 ends with its connection. A stream that breaks off must
// reset the connection, or the caller would take it for complete.
func TestBrokenStreamResetsConnectionOfHTTP10(t *testing.T) {
	f := newFixture(t)
	f.model.Inject(emulator.RunnerTruncate)
	response, err := f.callHTTP10()
	require.ErrorIs(t, err, syscall.ECONNRESET, "%s", response)
}

// A complete response to a caller of HTTP/1.0 must arrive whole, without a reset.
func TestCompleteStreamEndsConnectionOfHTTP10(t *testing.T) {
	f := newFixture(t)
	response, err := f.callHTTP10()
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(string(response), emulator.RunnerStream(6)), "%s", response)
}

// crashUpstream sends requests that crash the upstream until one is refused as quarantined. It
// returns a function that sends another one and reports whether it is refused.
func (f *fixture) crashUpstream(path func() string) func() bool {
	f.t.Helper()
	f.store.RemoveAsOperator("servers/i-model")
	f.model = emulator.NewRunner(emulator.RunnerConfig{Name: "i-crash", Events: 6, CrashPart: "dead", CrashDowntime: 100 * time.Millisecond})
	f.addUpstream("i-crash", "model", f.model)
	refused := func() bool {
		f.call("/drafts/sound", "k1")      //nolint:errcheck // it shares a part and may meet the crash
		_, body, _ := f.call(path(), "k1") // an error means that the stream broke off
		return strings.Contains(body, "quarantined")
	}
	require.Eventually(f.t, refused, 30*time.Second, 300*time.Millisecond)
	return refused
}

// Requests that are all different but share a prompt part crash the upstream. The daemon has
// to refuse them, and to go on serving others.
func TestRequestsWithACrashingPartAreRefused(t *testing.T) {
	f := newFixture(t)
	refused := f.crashUpstream(func() string { return fmt.Sprint("/drafts/crash-", f.attempts.Load()) })
	require.Eventually(t, func() bool {
		status, body, err := f.call("/drafts/sound", "k1") // until the upstream is up again
		return err == nil && status == 200 && body == emulator.RunnerStream(6)
	}, 30*time.Second, 50*time.Millisecond)
	require.True(t, refused())
}

// A quarantine has to outlive the daemon, or each restart would cost further upstreams.
func TestQuarantineOutlivesTheDaemon(t *testing.T) {
	f := newFixture(t)
	refused := f.crashUpstream(func() string { return "/drafts/crash" })
	f.restartDaemon()
	crashes := len(f.model.Crashes())
	for range 5 {
		require.True(t, refused())
	}
	require.Len(t, f.model.Crashes(), crashes)
}

// A store that is restored from an older copy has lost a quarantine. A fleet that restarts then must not let
// the part crash upstreams again.
func TestQuarantineOutlivesARestoredStore(t *testing.T) {
	f := newFixture(t)
	content := f.store.Copy()
	refused := f.crashUpstream(func() string { return "/drafts/crash" })
	require.Eventually(t, func() bool { return len(f.store.Keys("quarantine/")) > 0 }, time.Minute, 10*time.Millisecond)
	f.store.Restore(content)
	require.Eventually(t, func() bool { return len(f.store.Keys("quarantine/")) > 0 }, 20*time.Second, 10*time.Millisecond)
	f.restartDaemon()
	crashes := len(f.model.Crashes())
	// For 5 s after a restore the pool grants nothing, and the daemon that stopped has returned its share: a request
	// may be refused for lack of tokens before the quarantine is checked. One that is not quarantined would crash.
	for range 5 {
		require.Eventually(t, refused, 20*time.Second, 50*time.Millisecond)
	}
	require.Len(t, f.model.Crashes(), crashes)
}

// A new version of the configuration takes effect while the daemon runs. A malformed or an
// older one in the store must not displace it.
func TestConfigurationChangesTakeEffectAndBadOnesAreSkipped(t *testing.T) {
	f := newFixture(t)
	f.require("/new/1", "k1", 404, "")
	f.configure(2, `,{"name":"new","hostname":"a.example","prefix":"/new/","routeType":"idempotent","timeoutMs":5000,"backend":"desk","attempts":1}`)
	require.Eventually(t, func() bool {
		status, _, err := f.call("/new/1", "k1")
		return err == nil && status == 200
	}, time.Minute, 10*time.Millisecond)
	f.store.PutAsOperator("op/config", []byte("torn"))
	f.configure(1, "")
	time.Sleep(300 * time.Millisecond)
	f.require("/new/1", "k1", 200, "done /new/1")
}

// A stop must not break off a stream that is being sent: it arrives whole, while the
// readiness check already fails.
func TestStopCompletesRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	slow := emulator.NewRunner(emulator.RunnerConfig{Name: "i-slow", Events: 10, EventInterval: 50 * time.Millisecond})
	f.store.RemoveAsOperator("servers/i-model")
	f.addUpstream("i-slow", "model", slow)
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, 1)
	require.Eventually(t, func() bool {
		go func() {
			status, body, err := f.call("/drafts/1", "k1")
			results <- result{status, body, err}
		}()
		for range 500 {
			if len(slow.Executions()) > 0 {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		<-results
		return false
	}, time.Minute, time.Millisecond)
	f.stop()
	require.Eventually(t, func() bool { return !f.isReady() }, time.Minute, 10*time.Millisecond)
	got := <-results
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, emulator.RunnerStream(10), got.body)
	require.NoError(t, <-f.ended)
}

// A caller that sends only a part of its body must not hold the request beyond its deadline,
// and no upstream may receive that part.
func TestIncompleteBodyIsRefusedAtTheDeadline(t *testing.T) {
	f := newFixture(t)
	body, writer := io.Pipe()
	defer writer.Close()
	request, err := http.NewRequest("POST", "http://"+f.front.Addr().String()+"/plain/1", body)
	require.NoError(t, err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", "77")
	request.Header.Set("Deadline-Ms", "200")
	request.Header.Set("Authorization", "Bearer k1")
	go func() { _, _ = io.WriteString(writer, "half") }() // the rest is never sent
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Empty(t, f.desk.Executions())
}

// Guards against limits of callers' headers that a running daemon takes from the configuration of its start only.
func TestChangedHeaderLimitTakesEffect(t *testing.T) {
	f := newFixture(t)
	status := func() int {
		request, err := http.NewRequest("GET", "http://"+f.front.Addr().String()+"/plain/1", http.NoBody)
		require.NoError(t, err)
		request.Host = "a.example"
		request.Header.Set("Attempt-Id", fmt.Sprint(f.attempts.Add(1)))
		request.Header.Set("Authorization", "Bearer k1")
		request.Header.Set("X-Long", strings.Repeat("a", 30_000))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		response.Body.Close()
		return response.StatusCode
	}
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status())
	for version, limit := range []int{65536, 16384, 65536} {
		text := fmt.Sprintf(configurationText, version+2, "")
		f.store.PutAsOperator("op/config", []byte(strings.Replace(text, `"maxHeaderBytes":16384`, fmt.Sprintf(`"maxHeaderBytes":%d`, limit), 1)))
		want := http.StatusOK
		if limit < 30_000 {
			want = http.StatusRequestHeaderFieldsTooLarge
		}
		require.Eventually(t, func() bool { return status() == want }, 20*time.Second, 10*time.Millisecond)
	}
}
