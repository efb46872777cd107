package launcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
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

// partitionMode is what happens to connections between a daemon and the upstreams.
type partitionMode int32

const (
	connected partitionMode = iota
	// hangs: nothing arrives any more, and new connections get no answer.
	hangs
	// resets: connections are reset, and new ones too.
	resets
	// refusesNew: connections live on, and new ones are refused.
	refusesNew
)

// upstreamLink is the network between one daemon and the upstreams, or the store.
type upstreamLink struct {
	mode atomic.Int32
	mu   sync.Mutex
	open map[*partitionedConn]bool
}

// hangTimeout is how long a connection to a silent peer lasts, as the daemon's own dialer sets it.
const hangTimeout = 400 * time.Millisecond

func (l *upstreamLink) set(m partitionMode) {
	l.mode.Store(int32(m))
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if m == resets {
			c.Conn.Close()
		}
	}
}

func (l *upstreamLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch partitionMode(l.mode.Load()) {
	case hangs:
		ctx, cancel := context.WithTimeout(ctx, hangTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case resets, refusesNew:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &partitionedConn{Conn: conn, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	return c, nil
}

// partitionedConn is a connection that ends with a time-out when it is used while its link hangs.
type partitionedConn struct {
	net.Conn
	link *upstreamLink
}

var errUnacknowledged = errors.New("connection timed out")

func (c *partitionedConn) Write(b []byte) (int, error) {
	if partitionMode(c.link.mode.Load()) == hangs {
		return len(b), nil // the bytes are sent, but do not arrive
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	if partitionMode(c.link.mode.Load()) == hangs {
		time.Sleep(hangTimeout)
		return 0, errUnacknowledged
	}
	return c.Conn.Read(b)
}

func (c *partitionedConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.open, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// partitionFleet is a fleet of daemons on loopback addresses.
type partitionFleet struct {
	fixture
	block      string
	links      []*upstreamLink
	storeLinks []*upstreamLink
	upstreams  []*emulator.Runner
}

const fleetFrontPort, fleetReadyPort, fleetInternalPort = 18100, 18101, 18110

func newPartitionFleet(t *testing.T, daemons int) *partitionFleet {
	t.Helper()
	f := &partitionFleet{fixture: fixture{t: t, store: emulator.NewStore(emulator.StoreConfig{})}, block: reserveBlock(t)}
	f.configure(1, "")
	for i := range 3 {
		f.start(fmt.Sprint("i-desk-", i), "desk", emulator.RunnerConfig{})
		f.start(fmt.Sprint("i-model-", i), "model", emulator.RunnerConfig{Events: 6})
	}
	server := httptest.NewServer(f.store.PlatformHandler())
	t.Cleanup(server.Close)
	f.storeAddress = server.Listener.Addr().String()
	for i := range daemons {
		f.links = append(f.links, &upstreamLink{open: make(map[*partitionedConn]bool)})
		f.storeLinks = append(f.storeLinks, &upstreamLink{open: make(map[*partitionedConn]bool)})
		f.startMember(i)
	}
	for i := range daemons {
		require.Eventually(t, func() bool { return f.served(i, "/drafts/start") && f.served(i, "/plain/start") }, time.Minute, 20*time.Millisecond)
	}
	return f
}

func (f *partitionFleet) start(name, service string, c emulator.RunnerConfig) {
	c.Name = name
	r := emulator.NewRunner(c)
	f.upstreams = append(f.upstreams, r)
	f.addUpstream(name, service, r)
}

// reserveBlock returns a block of loopback addresses that no other run uses.
func reserveBlock(t *testing.T) string {
	t.Helper()
	for a := range 200 {
		block := fmt.Sprintf("127.50.%d", a+1)
		if l, err := net.Listen("tcp", block+".250:18100"); err == nil {
			t.Cleanup(func() { l.Close() })
			return block
		}
	}
	t.Fatal("no loopback addresses are free")
	return ""
}

func (f *partitionFleet) address(i int, port uint16) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.%d:%d", f.block, i+1, port))
}

func (f *partitionFleet) startMember(i int) {
	store := platform.NewStore(platform.StoreConfig{
		Address: f.storeAddress, Dial: f.storeLinks[i].dial,
		CallTimeout: 5 * time.Second, PollTimeout: func() time.Duration { return 200 * time.Millisecond },
	})
	daemon := launcher.New(launcher.Config{
		Settings: launcher.Settings{
			Name: fmt.Sprint("edge-", i), Zone: "z", FrontendAddress: f.address(i, fleetFrontPort), ReadinessAddress: f.address(i, fleetReadyPort),
			InternalAddress: f.address(i, fleetInternalPort), LastInternalPort: fleetInternalPort + 9, RetryRatio: 0.2, GracePeriod: 8 * time.Second,
		},
		Adapter: platform.Adapter(store), DialUpstream: f.links[i].dial, Recorder: recorder.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// served reports whether the first try of a request at a daemon is served with its whole response.
func (f *partitionFleet) served(i int, path string) bool {
	want := "done " + path
	if strings.HasPrefix(path, "/drafts/") {
		want = emulator.RunnerStream(6)
	}
	response, body, err := f.send(i, path)
	return err == nil && response.StatusCode == http.StatusOK && body == want && response.Header.Get("Runner-Signature") != ""
}

// send sends the first try of a request to a daemon and returns the response and its body.
func (f *partitionFleet) send(i int, path string) (*http.Response, string, error) {
	request, err := http.NewRequest("POST", fmt.Sprintf("http://%s%s", f.address(i, fleetFrontPort), path), strings.NewReader("body"))
	require.NoError(f.t, err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", fmt.Sprintf("%x", f.attempts.Add(1)))
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer k1")
	if strings.HasPrefix(path, "/drafts/") {
		request.Header.Set("Token-Usage", "100,50")
		request.Header.Set("Prompt-Prefix", "aa:60,bb:40")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// servedOf returns how many of n first tries at a daemon are served, half of them plain requests and
// half streams.
func (f *partitionFleet) servedOf(n, i int) int {
	count := 0
	for k := range n {
		if f.served(i, []string{"/plain/x", "/drafts/x"}[k%2]) {
			count++
		}
	}
	return count
}

// requireSingleExecutions checks that no request has run twice, and all that ran are of the callers.
func (f *partitionFleet) requireSingleExecutions() {
	f.t.Helper()
	runs := make(map[string]int)
	for _, u := range f.upstreams {
		for _, e := range u.Executions() {
			runs[e.ID]++
			require.Equal(f.t, "t1", e.Account)
			require.Equal(f.t, "body", e.Body)
			require.LessOrEqual(f.t, runs[e.ID], 1, e.ID)
		}
	}
}

// Some daemons, also most of a zone, may be partitioned from all upstreams while callers, the store and
// the other daemons reach them. Their callers have to be served as well as the others', through daemons
// that reach the upstreams.
func TestPartitionedDaemonsServeTheirCallers(t *testing.T) {
	tests := []struct {
		name        string
		daemons     int
		mode        partitionMode
		partitioned []int
	}{
		{"one hangs", 3, hangs, []int{0}},
		{"one is reset", 3, resets, []int{0}},
		{"new connections are refused", 3, refusesNew, []int{0}},
		{"all but one hang", 4, hangs, []int{0, 1, 2}},
		{"all but one are reset", 4, resets, []int{0, 1, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionFleet(t, tt.daemons)
			for round := range 2 {
				for _, i := range tt.partitioned {
					f.links[i].set(tt.mode)
				}
				for _, i := range tt.partitioned {
					require.Eventually(t, func() bool { return f.servedOf(4, i) == 4 }, 20*time.Second, 50*time.Millisecond, "round %d, daemon %d", round, i)
				}
				for _, i := range tt.partitioned {
					require.Equal(t, 30, f.servedOf(30, i), "round %d, daemon %d", round, i)
				}
				for _, i := range tt.partitioned {
					f.links[i].set(connected)
				}
				for i := range tt.daemons {
					require.Eventually(t, func() bool { return f.servedOf(4, i) == 4 }, 20*time.Second, 50*time.Millisecond)
				}
			}
			f.requireSingleExecutions()
		})
	}
}

// Guards against a change of the configuration that a daemon has accepted and that a request misses, because another
// daemon, which serves the request for it, does not know the change: that one is partitioned from the store.
func TestRequestIsNotServedByAnOlderConfiguration(t *testing.T) {
	t.Parallel()
	const added = `,{"name":"added","hostname":"a.example","prefix":"/added/","routeType":"non_idempotent","timeoutMs":5000,"backend":"desk","attempts":1}`
	f := newPartitionFleet(t, 3)
	f.storeLinks[1].set(resets)
	f.links[0].set(resets)
	require.Eventually(t, func() bool { return f.servedOf(4, 0) == 4 }, 20*time.Second, 50*time.Millisecond)
	f.configure(2, added)
	require.Eventually(t, func() bool { return f.served(0, "/added/x") }, 20*time.Second, 10*time.Millisecond)
	for range 40 {
		require.True(t, f.served(0, "/added/x"))
	}
	response, _, err := f.send(1, "/added/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, response.StatusCode, "the daemon that is partitioned from the store knows the change")

	f.storeLinks[2].set(resets)
	f.configure(3, added+strings.ReplaceAll(added, "added", "later"))
	require.Eventually(t, func() bool {
		response, _, err = f.send(0, "/later/x")
		return err == nil && response.StatusCode != http.StatusNotFound
	}, 20*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "no daemon with this configuration reaches an upstream")
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	f.requireSingleExecutions()
}
