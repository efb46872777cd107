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

// site is a store, two upstreams and one daemon on loopback addresses.
type site struct {
	t        *testing.T
	store    *emulator.Store
	desk     *emulator.Runner
	model    *emulator.Runner
	front    net.Listener
	ready    net.Listener
	stop     context.CancelFunc
	ended    chan error
	attempts atomic.Int64
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func portOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		t: t, store: emulator.NewStore(emulator.StoreConfig{}), ended: make(chan error, 1),
		desk:  emulator.NewRunner(emulator.RunnerConfig{Name: "i-desk"}),
		model: emulator.NewRunner(emulator.RunnerConfig{Name: "i-model", Events: 6}),
		front: listenLoopback(t), ready: listenLoopback(t),
	}
	s.configure(1, "")
	s.announce("i-desk", "desk", s.desk)
	s.announce("i-model", "model", s.model)
	server := httptest.NewServer(s.store.PlatformHandler())
	t.Cleanup(server.Close)
	store := platform.NewStore(platform.StoreConfig{
		Address: server.Listener.Addr().String(), CallTimeout: 5 * time.Second,
		PollTimeout: func() time.Duration { return 200 * time.Millisecond },
	})
	listeners := map[netip.AddrPort]net.Listener{portOf(s.front): s.front, portOf(s.ready): s.ready}
	daemon := launcher.New(launcher.Config{
		Settings: launcher.Settings{
			Name: "edge-1", Zone: "z", FrontendAddress: portOf(s.front), ReadinessAddress: portOf(s.ready), RetryRatio: 10, GracePeriod: time.Minute,
		},
		Adapter:  platform.Adapter(store),
		Listen:   func(a netip.AddrPort) (net.Listener, error) { return listeners[a], nil },
		Recorder: recorder.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.ended <- daemon.Run(ctx) }()
	t.Cleanup(cancel)
	require.Eventually(t, s.isReady, time.Minute, 10*time.Millisecond)
	return s
}

func (s *site) configure(version int, route string) {
	s.store.PutOperator("op/config", fmt.Appendf(nil, configurationText, version, route))
}

func (s *site) announce(name, service string, r *emulator.Runner) {
	s.t.Helper()
	url, err := r.Serve()
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = r.Close() })
	s.store.PutOperator("servers/"+name, fmt.Appendf(nil,
		`{"backend":%q,"address":%q,"zone":"z","version":"v1","batchSlots":8,"phase":"ready","warmupLeftMs":0,"seq":1}`,
		service, strings.TrimPrefix(url, "http://")))
}

func (s *site) isReady() bool {
	r, err := http.Get("http://" + s.ready.Addr().String() + "/api/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// call sends one request and returns its status and body.
func (s *site) call(path, key string) (int, string, error) {
	q, err := http.NewRequest("POST", "http://"+s.front.Addr().String()+path, strings.NewReader("body"))
	require.NoError(s.t, err)
	q.Host = "a.example"
	q.Header.Set("Attempt-Id", strconv.FormatInt(s.attempts.Add(1), 16))
	q.Header.Set("Deadline-Ms", "8000")
	q.Header.Set("Authorization", "Bearer "+key)
	if strings.HasPrefix(path, "/drafts/") {
		q.Header.Set("Model-Id", "m")
		q.Header.Set("Token-Usage", "100,50")
		q.Header.Set("Prompt-Prefix", "aa:60,bb:40")
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

func (s *site) require(path, key string, status int, body string) {
	s.t.Helper()
	got, text, err := s.call(path, key)
	require.NoError(s.t, err)
	require.Equal(s.t, status, got)
	if body != "" {
		require.Equal(s.t, body, text)
	}
}

func TestServesTheWholePath(t *testing.T) {
	s := newSite(t)
	s.require("/plain/1", "k1", 200, "done /plain/1")
	s.require("/drafts/1", "k1", 200, emulator.RunnerStream(6))
	s.require("/plain/1", "unknown", 401, "")
	s.require("/nowhere/", "k1", 404, "")
	require.Equal(t, "t1", s.desk.Runs()[0].Account)
	require.Equal(t, "body", s.desk.Runs()[0].Body)
}

func TestFaultsOfUpstreams(t *testing.T) {
	s := newSite(t)
	s.model.Inject(emulator.RunnerTorn)
	announced := emulator.NewRunner(emulator.RunnerConfig{Name: "i-second", Events: 6})
	s.announce("i-second", "model", announced)
	require.Eventually(t, func() bool {
		s.call("/drafts/x", "k1") //nolint:errcheck // the answer is not the matter here
		return len(announced.Runs()) > 0 || len(s.model.Runs()) > 30
	}, time.Minute, time.Millisecond)
	s.require("/drafts/2", "k1", 200, emulator.RunnerStream(6))
	s.desk.Inject(emulator.RunnerLost)
	before := len(s.desk.Runs())
	s.require("/plain/2", "k1", 502, "")
	require.Len(t, s.desk.Runs(), before+1, "it may have run, so it is not sent again")
}

func TestConfigurationIsFollowed(t *testing.T) {
	s := newSite(t)
	s.require("/new/1", "k1", 404, "")
	s.configure(2, `,{"name":"new","hostname":"a.example","prefix":"/new/","routeType":"idempotent","timeoutMs":5000,"backend":"desk","attempts":1}`)
	require.Eventually(t, func() bool {
		status, _, err := s.call("/new/1", "k1")
		return err == nil && status == 200
	}, time.Minute, 10*time.Millisecond)
	s.store.PutOperator("op/config", []byte("torn"))
	s.configure(1, "")
	time.Sleep(300 * time.Millisecond)
	s.require("/new/1", "k1", 200, "done /new/1")
}

func TestPlannedStopFinishesWhatIsUnderWay(t *testing.T) {
	s := newSite(t)
	slow := emulator.NewRunner(emulator.RunnerConfig{Name: "i-slow", Events: 10, Gap: 50 * time.Millisecond})
	s.store.RemoveOperator("servers/i-model")
	s.announce("i-slow", "model", slow)
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, 1)
	require.Eventually(t, func() bool {
		go func() {
			status, body, err := s.call("/drafts/1", "k1")
			results <- result{status, body, err}
		}()
		for range 500 {
			if len(slow.Runs()) > 0 {
				return true
			}
			time.Sleep(time.Millisecond)
		}
		<-results
		return false
	}, time.Minute, time.Millisecond)
	s.stop()
	require.Eventually(t, func() bool { return !s.isReady() }, time.Minute, 10*time.Millisecond)
	got := <-results
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, emulator.RunnerStream(10), got.body)
	require.NoError(t, <-s.ended)
}

func TestSlowBodyIsRefusedAtTheDeadline(t *testing.T) {
	s := newSite(t)
	body, writer := io.Pipe()
	defer writer.Close()
	q, err := http.NewRequest("POST", "http://"+s.front.Addr().String()+"/plain/1", body)
	require.NoError(t, err)
	q.Host = "a.example"
	q.Header.Set("Attempt-Id", "77")
	q.Header.Set("Deadline-Ms", "200")
	q.Header.Set("Authorization", "Bearer k1")
	go func() { _, _ = io.WriteString(writer, "half") }() // the rest never comes
	r, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer r.Body.Close()
	require.Equal(t, http.StatusRequestTimeout, r.StatusCode)
	require.Empty(t, s.desk.Runs())
}
