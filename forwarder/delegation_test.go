package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/delegator"
	"laburnumline/retrier"
)

// otherDaemon is a fake of a delegate: it returns a response, or the error.
type otherDaemon struct {
	response func() *http.Response
	err      error
	requests []*delegator.Request
}

func (o *otherDaemon) Send(_ context.Context, r *delegator.Request) (*http.Response, error) {
	o.requests = append(o.requests, r)
	if o.err != nil {
		return nil, o.err
	}
	return o.response(), nil
}

// reachability is a fake of a monitor, to which a service is unreachable after some failures.
type reachability struct {
	failuresLeft int
	partly       bool
}

func (r *reachability) Reachable(string) bool                       { return r.failuresLeft > 0 }
func (r *reachability) OthersReachable(string, netip.AddrPort) bool { return r.partly }
func (r *reachability) PartlyReachable(string) bool                 { return r.partly }
func (r *reachability) ReportFailure(string, netip.AddrPort)        { r.failuresLeft-- }

// unreachableUpstreams accept no connection, or lose the response.
type unreachableUpstreams struct {
	written bool
	sends   int
}

func (u *unreachableUpstreams) Send(_ context.Context, address netip.AddrPort, _ *connector.Call) (*connector.Response, error) {
	u.sends++
	return nil, &connector.CallError{Written: u.written, ConnectFailed: !u.written, Step: "connect", Peer: address, Err: errors.New("timed out")}
}

func respondWith(status int, header http.Header, body io.Reader) func() *http.Response {
	return func() *http.Response {
		return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(body), ContentLength: -1, TransferEncoding: []string{"chunked"}}
	}
}

// A daemon that reaches no upstream has its requests served by another one. What that one answers reaches
// the caller as it is, what it may have run is not sent again, and a response that breaks off does not
// look complete.
func TestRequestIsServedByAnotherDaemon(t *testing.T) {
	signed := http.Header{"Runner-Signature": {"s"}}
	stream := http.Header{"Runner-Signature": {"s"}, "Content-Type": {"text/event-stream"}}
	events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := []struct {
		name         string
		path         string
		failures     int  // until the service counts as unreachable
		written      bool // the upstreams lose the response
		delegated    bool
		declined     bool
		partly       bool
		executions   int // at the daemon that has delegated the request
		other        otherDaemon
		status       int
		body         string
		aborted      bool
		sent, direct int
	}{
		{name: "served", path: "/once/", other: otherDaemon{response: respondWith(200, signed, strings.NewReader("done"))}, status: 200, body: "done", sent: 1},
		{name: "found on the way", path: "/once/", failures: 2, other: otherDaemon{response: respondWith(200, signed, strings.NewReader("done"))}, status: 200, body: "done", sent: 1, direct: 2},
		{name: "stream", path: "/stream/", other: otherDaemon{response: respondWith(200, stream, strings.NewReader(events))}, status: 200, body: events, sent: 1},
		{name: "refused there", path: "/once/", other: otherDaemon{response: respondWith(402, nil, strings.NewReader("budget_exhausted\n"))}, status: 402, body: "budget_exhausted\n", sent: 1},
		{name: "none reaches the upstreams", path: "/once/", other: otherDaemon{err: delegator.ErrDeclined}, status: 503, sent: 1},
		{name: "none else takes it, some upstreams are reachable", path: "/once/", partly: true, other: otherDaemon{err: delegator.ErrDeclined}, status: 503, sent: 1, direct: 3},
		{name: "ran here, refused there", path: "/again/", failures: 1, written: true, other: otherDaemon{response: respondWith(503, http.Header{"Retry-After": {"1"}}, strings.NewReader("budget_unreachable\n"))}, status: 502, sent: 1, direct: 1},
		{name: "response is lost", path: "/once/", other: otherDaemon{err: delegator.ErrInterrupted}, status: 502, sent: 1},
		{name: "may have run here", path: "/once/", failures: 1, written: true, status: 502, direct: 1},
		{name: "stream breaks off", path: "/stream/", other: otherDaemon{response: respondWith(200, stream, io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2"), iotest.ErrReader(io.ErrUnexpectedEOF)))}, aborted: true, body: "id: 1\ndata: a\n\n", status: 200, sent: 1},
		{name: "body breaks off", path: "/once/", other: otherDaemon{response: respondWith(200, signed, io.MultiReader(strings.NewReader("do"), iotest.ErrReader(io.ErrUnexpectedEOF)))}, status: 502, sent: 1},
		{name: "delegated to this one", path: "/once/", delegated: true, status: 503, declined: true},
		{name: "delegated after an execution", path: "/again/", delegated: true, executions: 1, status: 503, declined: true},
		{name: "delegated, with one execution left", path: "/again/", delegated: true, executions: 1, failures: 100, written: true, status: 502, direct: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake := newFakeUpstreams(t)
			config := fake.forwarder().config
			upstreams := &unreachableUpstreams{written: tt.written}
			config.Sender, config.Delegate, config.Reachability = upstreams, &tt.other, &reachability{failuresLeft: tt.failures, partly: tt.partly}
			w := httptest.NewRecorder()
			serve := func() {
				New(config).Serve(t.Context(), w, &Request{
					ID: "1", Method: "POST", Host: "a.example", Path: tt.path, Target: tt.path, Header: http.Header{}, Key: "key",
					Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(), Delegated: tt.delegated, Executions: tt.executions,
				})
			}
			if tt.aborted {
				require.PanicsWithValue(t, http.ErrAbortHandler, serve)
			} else {
				serve()
			}
			require.Equal(t, tt.status, w.Code)
			if tt.body != "" {
				require.Equal(t, tt.body, w.Body.String())
			}
			require.False(t, tt.status == 502 && w.Header().Get("Retry-After") != "", "a time to come back promises that it has not run")
			require.Len(t, tt.other.requests, tt.sent)
			require.Equal(t, tt.direct, upstreams.sends)
			require.Equal(t, tt.declined, w.Header().Get("Declined") != "", "a daemon declines what was delegated to it, and nothing else")
		})
	}
}

// A daemon that is partitioned from the upstreams loses connections to all of them and can open none, as if
// they had crashed. The requests that ran there must not be blamed: other daemons would refuse them.
func TestPartitionFromUpstreamsIsNoCrash(t *testing.T) {
	for _, othersReachable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeUpstreams(t, fakeResponse{err: failureAfterWrite})
			s.probeFails = true
			f := s.forwarder()
			f.config.Reachability = &reachability{failuresLeft: 100, partly: othersReachable}
			for range 5 {
				f.Serve(t.Context(), httptest.NewRecorder(), &Request{
					ID: "1", Method: "POST", Host: "a.example", Path: "/once/", Target: "/once/", Header: http.Header{}, Key: "key",
					Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
				})
				synctest.Wait()
			}
			require.Equal(t, !othersReachable, s.quarantine.Empty())
		})
	}
}

// A daemon whose retry budget is used up must not send a request that has reached an upstream to another daemon: its upstream
// gets a repeat that nobody has counted, from each request in flight when a partition begins.
func TestDelegatedRepeatNeedsRetryBudget(t *testing.T) {
	tests := []struct {
		name    string
		written bool // the upstream may have received the request
		budget  bool
		sent    int
	}{
		{"reached an upstream, no budget", true, false, 0},
		{"reached an upstream, within the budget", true, true, 1},
		{"reached no upstream, no budget", false, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake := newFakeUpstreams(t)
			config := fake.forwarder().config
			other := &otherDaemon{response: respondWith(200, http.Header{"Runner-Signature": {"s"}}, strings.NewReader("done"))}
			config.Sender, config.Delegate, config.Reachability = &unreachableUpstreams{written: tt.written}, other, &reachability{failuresLeft: 1}
			if !tt.budget {
				config.Retries = retrier.New(retrier.Config{StartedAt: time.Now()}) // none in its first window
			}
			New(config).Serve(t.Context(), httptest.NewRecorder(), &Request{
				ID: "1", Method: "POST", Host: "a.example", Path: "/again/", Target: "/again/", Header: http.Header{}, Key: "key",
				Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
			})
			require.Len(t, other.requests, tt.sent)
		})
	}
}

// countedRetries counts the first attempts that a daemon records.
type countedRetries struct {
	*retrier.Retrier
	first int
}

func (c *countedRetries) RecordFirstAttempt(now time.Time, account contractor.Account, target string) {
	c.first++
	c.Retrier.RecordFirstAttempt(now, account, target)
}

// A request that two daemons count as a first attempt earns both of them a part of a retry. While many
// requests are delegated, the fleet would retry more than its operators allow.
func TestDelegatedRequestIsCountedOnce(t *testing.T) {
	for _, reachableAtFirst := range []bool{false, true} {
		first, second := &countedRetries{Retrier: retrier.New(retrier.Config{})}, &countedRetries{Retrier: retrier.New(retrier.Config{})}
		other := &otherDaemon{err: delegator.ErrDeclined}
		fake := newFakeUpstreams(t)
		config := fake.forwarder().config
		config.Retries, config.Delegate, config.Sender = first, other, &unreachableUpstreams{}
		failures := 0
		if reachableAtFirst {
			failures = 1
		}
		config.Reachability = &reachability{failuresLeft: failures}
		request := Request{
			ID: "1", Method: "POST", Host: "a.example", Path: "/once/", Target: "/once/", Header: http.Header{}, Key: "key",
			Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
		}
		New(config).Serve(t.Context(), httptest.NewRecorder(), &request)
		require.Len(t, other.requests, 1)

		config = fake.forwarder().config
		config.Retries, config.Sender = second, &unreachableUpstreams{}
		request.Body, request.Delegated, request.Counted = strings.NewReader("x"), true, other.requests[0].Counted
		New(config).Serve(t.Context(), httptest.NewRecorder(), &request)
		require.Equal(t, 1, first.first+second.first)
	}
}
