package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/admitter"
	"laburnumline/delegator"
	"laburnumline/resolver"
)

// admission is a fake of an Admitter that admits some requests.
type admission struct {
	left, inProgress, unread int
	growth                   int64 // bytes that it still admits
	last                     admitter.Request
}

func (a *admission) Admit(_ time.Time, r *admitter.Request) admitter.Decision {
	a.last = *r
	if a.left == 0 {
		return admitter.Decision{RetryAfter: 700 * time.Millisecond}
	}
	a.left--
	a.inProgress++
	a.unread++
	return admitter.Decision{Admitted: true}
}

func (a *admission) Grow(_ time.Time, _ *admitter.Request, n int64) admitter.Decision {
	a.growth -= n
	return admitter.Decision{Admitted: a.growth >= 0, RetryAfter: 700 * time.Millisecond}
}

func (a *admission) BodyRead(time.Time, *admitter.Request) { a.unread-- }
func (a *admission) Done(time.Time, *admitter.Request)     { a.inProgress-- }

// unreadBody fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a refused request was read")
	return 0, io.EOF
}

// Guards against a refusal after the body was read, one that claims that the request may have run, one that keeps
// the connection, and against requests that occupy the daemon after their end.
func TestOverloadedDaemonRefusesOrDeclines(t *testing.T) {
	upstreams := newFakeUpstreams(t, fakeResponse{status: http.StatusOK, body: "x"})
	a := &admission{left: 1}
	f := upstreams.forwarder()
	f.config.Admission = a
	request := Request{
		ID: "7", Method: "POST", Host: "a.example", Path: "/again/1", Target: "/again/1", Header: http.Header{}, Key: "key",
		Body: strings.NewReader("body"), Length: 4, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
	}
	f.Serve(t.Context(), httptest.NewRecorder(), &request)
	require.Len(t, upstreams.calls, 1)
	require.Zero(t, a.inProgress)
	require.Zero(t, a.unread)

	refused := request
	refused.Body, refused.Length, refused.ReceivedAt = unreadBody{t}, 1000, time.Now()
	w := httptest.NewRecorder()
	f.Serve(t.Context(), w, &refused)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "0.700", w.Header().Get("Retry-After"))
	require.Equal(t, "close", w.Header().Get("Connection"))
	require.Equal(t, int64(1000), a.last.Length)
	require.Positive(t, a.last.TimeLeft)

	delegated := refused
	delegated.Delegated = true
	w = httptest.NewRecorder()
	delegator.Decline(w)
	declined := w.Header().Clone()
	w = httptest.NewRecorder()
	f.Serve(t.Context(), w, &delegated)
	require.Equal(t, declined, w.Header())
	require.Len(t, upstreams.calls, 1)
	require.Zero(t, a.inProgress)
}

// Guards against bodies in chunks that fill the memory of a daemon, although each is within the limit: admission knows
// their length only as they are read.
func TestBodyOfUnknownLengthIsAdmittedAsItIsRead(t *testing.T) {
	const limit = 4 << 20
	tests := []struct {
		name           string
		growth, length int64
		status         int
		most           int64 // bytes that are read
	}{
		{"short", 0, admittedBodyBytes - 1, http.StatusOK, admittedBodyBytes},
		{"admitted", 2 * limit, limit - 1, http.StatusOK, limit},
		{"not admitted", 0, limit - 1, http.StatusServiceUnavailable, admittedBodyBytes},
		{"admitted in part", 4 * bodyStepBytes, limit - 1, http.StatusServiceUnavailable, admittedBodyBytes + 2*bodyStepBytes},
		{"longer than allowed", 4 * limit, 2 * limit, http.StatusRequestEntityTooLarge, limit + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			upstreams := newFakeUpstreams(t, fakeResponse{status: http.StatusOK, body: "x"})
			table, err := resolver.NewTable(resolver.Document{
				Version: 1, Services: []resolver.Service{{Name: "drafts"}}, Limits: resolver.Limits{BodyBytes: limit},
				Routes: []resolver.Route{{Name: "again", Host: "a.example", Prefix: "/again/", Repeatability: resolver.Repeatable, Attempts: 1, TrafficSplit: []resolver.WeightedService{{Service: "drafts", Weight: 1}}}},
			})
			require.NoError(t, err)
			upstreams.table = table
			a := &admission{left: 1, growth: tt.growth}
			f := upstreams.forwarder()
			f.config.Admission = a
			body := &repeated{text: "a", left: 1 << 40}
			w := httptest.NewRecorder()
			f.Serve(t.Context(), w, &Request{
				ID: "7", Method: "POST", Host: "a.example", Path: "/again/1", Target: "/again/1", Header: http.Header{},
				Body: io.LimitReader(body, tt.length), Length: -1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
			})
			require.Equal(t, tt.status, w.Code)
			require.LessOrEqual(t, body.read.Load(), tt.most)
			if tt.status == http.StatusServiceUnavailable {
				require.Equal(t, "0.700", w.Header().Get("Retry-After"))
				require.Equal(t, "close", w.Header().Get("Connection"))
				require.Empty(t, upstreams.calls)
			}
			require.Zero(t, a.inProgress)
		})
	}
}
