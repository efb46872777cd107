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
)

// admission is a fake of an Admitter that admits some requests.
type admission struct {
	left, inProgress, unread int
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
