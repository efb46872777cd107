package delegator

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// peer serves delegated requests and returns its address and the number of those that it got.
func peer(t *testing.T, serve func(w http.ResponseWriter, request *Request)) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	var requests atomic.Int64
	server := httptest.NewServer(Handler(func(w http.ResponseWriter, _ *http.Request, request *Request) {
		requests.Add(1)
		serve(w, request)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).AddrPort(), &requests
}

func decline(w http.ResponseWriter, _ *Request) { Decline(w) }

func interrupt(http.ResponseWriter, *Request) { panic(http.ErrAbortHandler) }

func clientOf(peers ...netip.AddrPort) *Client {
	return NewClient(ClientConfig{Peers: func() []netip.AddrPort { return append([]netip.AddrPort(nil), peers...) }})
}

// A request has to arrive as its caller sent it: the other daemon authorizes, routes and charges it.
func TestRequestArrivesUnchanged(t *testing.T) {
	sent := &Request{
		ID: "9c41", Method: "POST", Host: "a.example", Target: "/drafts/1?x=%2F", Header: http.Header{"X-A": {"1", "2"}}, Key: "k1", Version: 7,
		TimeRemaining: time.Second, PromptTokens: 100, MaxOutputTokens: 50, Parts: []Part{{ID: 1 << 63, Tokens: 60}}, ResumeAfter: "7", Resumes: "9c40", Executions: 1,
		Body: []byte("\x00body"),
	}
	var got *Request
	address, _ := peer(t, func(w http.ResponseWriter, r *Request) {
		got = r
		w.Header().Set("X-Upstream", "i-1")
		_, _ = io.WriteString(w, "done")
	})
	response, err := clientOf(address).Send(t.Context(), sent)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "done", string(body))
	require.Equal(t, "i-1", response.Header.Get("X-Upstream"))
	require.Equal(t, sent, got)
}

// A daemon that cannot run a request must not end it: another one may. One that may have run it must.
func TestRequestGoesToDaemonsUntilOneMayHaveRunIt(t *testing.T) {
	served, servedRequests := peer(t, func(w http.ResponseWriter, _ *Request) { w.WriteHeader(http.StatusTeapot) })
	declining, declinedRequests := peer(t, decline)
	interrupting, _ := peer(t, interrupt)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	down := unused.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, unused.Close())
	tests := []struct {
		name  string
		peers []netip.AddrPort
		want  error
	}{
		{"one declines, one is down", []netip.AddrPort{declining, down, served}, nil},
		{"all decline or are down", []netip.AddrPort{declining, down}, ErrDeclined},
		{"no other daemons", nil, ErrDeclined},
		{"may have run", []netip.AddrPort{interrupting}, ErrInterrupted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := clientOf(tt.peers...)
			for range 8 {
				response, err := c.Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Minute, Body: []byte("x")})
				require.ErrorIs(t, err, tt.want)
				if tt.want == nil {
					response.Body.Close()
					require.Equal(t, http.StatusTeapot, response.StatusCode)
				}
			}
		})
	}
	require.Equal(t, int64(8), servedRequests.Load())
	require.LessOrEqual(t, declinedRequests.Load(), int64(1+8), "a daemon that has declined is tried last for a while")
}

// An upstream may send a header of the name with which daemons decline. Its request has run, and must not be
// sent to another daemon.
func TestOnlyDaemonsDecline(t *testing.T) {
	address, requests := peer(t, func(w http.ResponseWriter, _ *Request) {
		w.Header().Set(declinedHeader, "1")
		_, _ = io.WriteString(w, "done")
	})
	response, err := clientOf(address).Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Minute})
	require.NoError(t, err)
	response.Body.Close()
	require.Empty(t, response.Header.Get(declinedHeader))
	require.Equal(t, int64(1), requests.Load())
}

// A malformed request must not run, and must not end the caller's: another daemon may understand it.
func TestMalformedRequestIsDeclined(t *testing.T) {
	address, requests := peer(t, decline)
	for _, length := range []string{"", "-1", "3", "1000000000"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+address.String()+path, http.NoBody)
		require.NoError(t, err)
		r.Header.Set(headLengthHeader, length)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		require.NotEmpty(t, response.Header.Get(declinedHeader), length)
	}
	require.Zero(t, requests.Load())
}

var errDown = errors.New("down")

// monitorOf returns a monitor of upstreams, the first up of which are up and the others down.
func monitorOf(count int, up *atomic.Int64) (*Monitor, []netip.AddrPort) {
	var upstreams []netip.AddrPort
	for i := range count {
		upstreams = append(upstreams, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80))
	}
	return NewMonitor(MonitorConfig{
		Upstreams: func(string) []netip.AddrPort { return upstreams },
		Probe: func(_ context.Context, address netip.AddrPort) error {
			if int64(address.Addr().As4()[3]) < up.Load() {
				return nil
			}
			return errDown
		},
	}), upstreams
}

// A crash of one upstream, or of some, is no partition: the others serve. While none is reachable the
// service is not, and it is again as soon as one is.
func TestServiceIsUnreachableWhileNoUpstreamIs(t *testing.T) {
	tests := []struct {
		name      string
		count     int
		up        int64
		failed    []int
		reachable bool
	}{
		{"one failed, all down", 5, 0, []int{1, 1, 1}, true},
		{"two failed, all down", 5, 0, []int{1, 2}, false},
		{"two failed, others up", 5, 4, []int{3, 4}, true},
		{"the only one is down", 1, 0, []int{0}, false},
		{"the only one is up again", 1, 1, []int{0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var up atomic.Int64
				up.Store(tt.up)
				m, upstreams := monitorOf(tt.count, &up)
				defer m.Close()
				for _, i := range tt.failed {
					m.ReportFailure("drafts", upstreams[i])
				}
				time.Sleep(probeTimeout)
				require.Equal(t, tt.reachable, m.Reachable("drafts"))
				require.True(t, m.Reachable("other"))
				time.Sleep(time.Minute)
				require.Equal(t, tt.reachable, m.Reachable("drafts"))
				up.Store(int64(tt.count))
				time.Sleep(probeInterval + time.Millisecond)
				require.True(t, m.Reachable("drafts"))
			})
		})
	}
}

// Connections of an overloaded daemon fail although no upstream is gone. Guards against a daemon that takes its
// own saturation for a partition, delegates through a saturated link, stays in that state when the load has
// ended, or misses a real partition.
func TestOwnSaturationIsNoPartition(t *testing.T) {
	type phase struct {
		load      Load
		up        int64
		reachable bool
	}
	tests := []struct {
		name   string
		phases []phase
	}{
		{"all dials time out until the load ends", []phase{{Peak, 0, true}, {Saturated, 0, true}, {Usual, 5, true}}},
		{"partition during saturation", []phase{{Saturated, 0, true}, {Peak, 0, true}, {Usual, 0, false}, {Usual, 5, true}}},
		{"saturation during a partition", []phase{{Usual, 0, false}, {Saturated, 0, true}, {Usual, 0, false}}},
		{"partition ends during saturation", []phase{{Usual, 0, false}, {Saturated, 0, true}, {Saturated, 5, true}, {Usual, 5, true}}},
		{"short peak during a partition", []phase{{Usual, 0, false}, {Peak, 0, false}, {Usual, 0, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var up, load atomic.Int64
				m, upstreams := monitorOf(5, &up)
				defer m.Close()
				m.config.OwnLoad = func() Load { return Load(load.Load()) }
				for i, p := range tt.phases {
					load.Store(int64(p.load))
					up.Store(p.up)
					if p.up == 0 {
						m.ReportFailure("drafts", upstreams[1])
						m.ReportFailure("drafts", upstreams[2])
					}
					time.Sleep(2 * time.Second)
					require.Equal(t, p.reachable, m.Reachable("drafts"), "phase %d", i)
				}
			})
		})
	}
}

// If a few of many upstreams are reachable, the service must not change its state with each group of
// probes: requests would go to the others again and again.
func TestPartlyReachableServiceStaysUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var up atomic.Int64
		m, upstreams := monitorOf(40, &up)
		defer m.Close()
		m.ReportFailure("drafts", upstreams[3])
		m.ReportFailure("drafts", upstreams[4])
		time.Sleep(probeTimeout)
		up.Store(1)
		partly := false
		for range 1000 {
			time.Sleep(probeInterval)
			require.False(t, m.Reachable("drafts"))
			partly = partly || m.PartlyReachable("drafts")
		}
		require.True(t, partly)
	})
}

// Two failures far apart are those of single upstreams.
func TestOldFailuresAreNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var up atomic.Int64
		m, upstreams := monitorOf(5, &up)
		defer m.Close()
		m.ReportFailure("drafts", upstreams[0])
		time.Sleep(suspicionTime + time.Millisecond)
		m.ReportFailure("drafts", upstreams[1])
		time.Sleep(probeTimeout)
		require.True(t, m.Reachable("drafts"))
	})
}

// Whether an upstream has crashed shows only if another one of its service is reachable.
func TestOthersReachable(t *testing.T) {
	tests := []struct {
		name      string
		count     int
		up        int64
		except    int
		reachable bool
	}{
		{"all down", 5, 0, 4, false},
		{"all others up", 5, 4, 4, true},
		{"only this one is up", 5, 1, 0, false},
		{"no others", 1, 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var up atomic.Int64
			up.Store(tt.up)
			m, upstreams := monitorOf(tt.count, &up)
			defer m.Close()
			require.Equal(t, tt.reachable, m.OthersReachable("drafts", upstreams[tt.except]))
		})
	}
}

// The upstream's response to a delegated request may be a redirect. The daemon must not follow it.
func TestRedirectIsReturned(t *testing.T) {
	other, followed := peer(t, decline)
	address, _ := peer(t, func(w http.ResponseWriter, _ *Request) {
		w.Header().Set("Location", "http://"+other.String()+"/elsewhere")
		w.WriteHeader(http.StatusSeeOther)
	})
	response, err := clientOf(address).Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Second})
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusSeeOther, response.StatusCode)
	require.Zero(t, followed.Load())
}

// Another daemon may end in the middle of the head of its response, at any byte. Its response is then lost, and the request
// may have run.
func TestResponseWithoutWholeHeadIsLost(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		for n := range len(head) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return // the test has ended
				}
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, _ = io.Copy(io.Discard, request.Body) // an error means that the client has closed the connection
					_, _ = io.WriteString(conn, head[:n])
				}
			}()
			_, err = clientOf(listener.Addr().(*net.TCPAddr).AddrPort()).Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Minute, Body: []byte("body")})
			require.ErrorIs(t, err, ErrInterrupted, "%q", head[:n])
			listener.Close()
		}
	}
}

// Guards against a refusal of a daemon of an earlier release, which does not compare versions and may have an older
// configuration. The answer of an upstream is returned, whatever its status.
func TestDenialByUnknownConfigurationIsDeclined(t *testing.T) {
	respond := func(status int, h http.Header) netip.AddrPort {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			for name := range h {
				w.Header().Set(name, h.Get(name))
			}
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().(*net.TCPAddr).AddrPort()
	}
	tests := []struct {
		name   string
		status int
		header http.Header
		want   error
	}{
		{"unknown key", http.StatusUnauthorized, nil, ErrDeclined},
		{"unknown route", http.StatusNotFound, nil, ErrDeclined},
		{"body too long", http.StatusRequestEntityTooLarge, nil, ErrDeclined},
		{"answer of an upstream", http.StatusNotFound, http.Header{"Signature": {"s"}}, nil},
		{"prepaid tokens are spent", http.StatusPaymentRequired, nil, nil},
		{"current release", http.StatusUnauthorized, http.Header{checkedHeader: {"1"}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := clientOf(respond(tt.status, tt.header))
			client.config.Signed = func(h http.Header) bool { return h.Get("Signature") != "" }
			response, err := client.Send(t.Context(), &Request{ID: "1", TimeRemaining: time.Minute})
			if tt.want != nil {
				require.ErrorIs(t, err, tt.want)
				return
			}
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, tt.status, response.StatusCode)
			require.Empty(t, response.Header.Get(checkedHeader))
		})
	}
}
