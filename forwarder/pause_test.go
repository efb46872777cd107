package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/throttler"
)

// rejectingUpstreams are upstreams of which some reject every request, with a Retry-After.
type rejectingUpstreams struct {
	*fakeUpstreams
	rejecting  int // the first ones of the list
	retryAfter time.Duration
	notRun     bool // the response states that the request has not run

	mu       sync.Mutex
	arrivals map[netip.AddrPort][]time.Time
}

func (u *rejectingUpstreams) Send(_ context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	u.mu.Lock()
	u.arrivals[address] = append(u.arrivals[address], time.Now())
	u.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	response := &connector.Response{
		Status: 200, Header: http.Header{}, Body: strings.NewReader("ok"), Length: -1, Metadata: connector.Metadata{ID: call.ID, Signed: true},
	}
	for _, rejecting := range u.list[:u.rejecting] {
		if rejecting.Address == address {
			response.Status, response.Body = http.StatusServiceUnavailable, io.NopCloser(strings.NewReader("busy"))
			response.Metadata.NotRun, response.Metadata.RetryAfter = u.notRun, u.retryAfter
		}
	}
	return response, nil
}

// An upstream that rejects a request with a Retry-After must get no request from this daemon until
// then, also if all others are ejected.
func TestRejectingUpstreamIsPaused(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		rejecting int
		notRun    bool
		refused   bool
	}{
		{"one of four", "/once/", 1, true, false},
		{"most", "/again/", 3, true, false},
		{"all", "/once/", 4, true, true},
		{"one of four, may have run", "/again/", 1, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &rejectingUpstreams{
					fakeUpstreams: newFakeUpstreams(t), rejecting: tt.rejecting, notRun: tt.notRun, retryAfter: 6 * time.Second, arrivals: make(map[netip.AddrPort][]time.Time),
				}
				limits := throttler.New(throttler.Config{})
				config := u.forwarder().config
				config.Sender, config.Limits, config.Balancer = u, limits, balancer.New(balancer.Config{Limits: limits})
				f := New(config)
				refused := 0
				for i := range 600 {
					w := httptest.NewRecorder()
					f.Serve(t.Context(), w, &Request{
						ID: fmt.Sprint(i), Method: "POST", Host: "a.example", Path: tt.path, Target: tt.path, Header: http.Header{}, Key: "key",
						Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
					})
					if w.Code == http.StatusServiceUnavailable {
						refused++
						require.NotEmpty(t, w.Header().Get("Retry-After"))
					}
					time.Sleep(20 * time.Millisecond)
				}
				reached := 0
				for _, upstream := range u.list[:tt.rejecting] {
					arrivals := u.arrivals[upstream.Address]
					reached += len(arrivals)
					for i := 1; i < len(arrivals); i++ {
						require.GreaterOrEqual(t, arrivals[i].Sub(arrivals[i-1]), 6*time.Second, upstream.Name)
					}
				}
				require.Positive(t, reached)
				require.Equal(t, tt.refused, refused > 300, "%d refused", refused)
			})
		})
	}
}
