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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/apportioner"
	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/framer"
	"laburnumline/pinner"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/retrier"
	"laburnumline/throttler"
)

// fakeResponse is how a fake upstream responds to one call.
type fakeResponse struct {
	err         error // instead of a response
	status      int
	header      http.Header
	body        string
	truncated   bool // the body ends with an error
	hang        bool // until the context ends
	notExecuted bool
	unsigned    bool
	framing     framer.Framing
}

// fakeUpstreams is a Sender that returns responses in order and repeats the last one. It
// also implements the other dependencies of a Forwarder.
type fakeUpstreams struct {
	responses      []fakeResponse
	calls          []*connector.Call
	sentTo         []netip.AddrPort
	reserveRefusal *refuser.Refusal
	table          *resolver.Table
	list           []registrar.Upstream
	evacuated      []registrar.Upstream
	quarantine     *quarantiner.Quarantiner
	probeFails     bool // upstreams accept no connections
	rec            *recorder.Recorder
}

func (s *fakeUpstreams) Send(ctx context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	s.calls = append(s.calls, call)
	s.sentTo = append(s.sentTo, address)
	r := s.responses[0]
	if len(s.responses) > 1 {
		s.responses = s.responses[1:]
	}
	if r.hang {
		<-ctx.Done()
		return nil, &connector.CallError{Written: true, Step: "read response", Err: context.Cause(ctx)}
	}
	if r.err != nil {
		return nil, r.err
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.truncated {
		body = io.MultiReader(body, errorReader{})
	}
	h := r.header
	if h == nil {
		h = http.Header{}
	}
	return &connector.Response{
		Status: r.status, Header: h, Body: body, Length: -1, Framing: r.framing,
		Metadata: connector.Metadata{ID: call.ID, Signed: !r.unsigned, NotRun: r.notExecuted},
	}, nil
}

var errConnectionReset = errors.New("connection reset")

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errConnectionReset }

func (s *fakeUpstreams) Table() *resolver.Table { return s.table }

func (s *fakeUpstreams) Of(resolver.ServiceName) []registrar.Upstream { return s.list }

func (s *fakeUpstreams) EvacuatedOf(resolver.ServiceName) []registrar.Upstream { return s.evacuated }

func (s *fakeUpstreams) MarkLeaving(*registrar.Upstream) {}

func (s *fakeUpstreams) SoftwareVersions(resolver.ServiceName) ([]string, bool) {
	return []string{""}, true
}

func (s *fakeUpstreams) WithRecordedSoftware(_ resolver.ServiceName, list []registrar.Upstream) []registrar.Upstream {
	return list
}

func (s *fakeUpstreams) Reserve(context.Context, contractor.Account, contractor.Tokens) (*apportioner.Reservation, error) {
	if s.reserveRefusal != nil {
		return nil, s.reserveRefusal
	}
	return nil, nil
}

var failureAfterWrite = &connector.CallError{Written: true, Step: "read response", Err: errConnectionReset}
var failureBeforeWrite = &connector.CallError{ConnectFailed: true, Step: "connect", Err: errConnectionReset}

var eventStreamHeader = http.Header{"Content-Type": {"text/event-stream"}, "Signature": {"first"}}

func newFakeUpstreams(t testing.TB, responses ...fakeResponse) *fakeUpstreams {
	t.Helper()
	split := []resolver.WeightedService{{Service: "drafts", Weight: 1}}
	table, err := resolver.NewTable(resolver.Document{
		Version:  1,
		Services: []resolver.Service{{Name: "drafts", Engine: true, TokensPerEvent: 3}},
		Routes: []resolver.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Repeatability: resolver.Once, Timeout: 10 * time.Second, Attempts: 1, TrafficSplit: split},
			{Name: "again", Host: "a.example", Prefix: "/again/", Repeatability: resolver.Repeatable, Timeout: 10 * time.Second, Attempts: 2, TrafficSplit: split},
			{Name: "stream", Host: "a.example", Prefix: "/stream/", Repeatability: resolver.Stream, Timeout: 10 * time.Second, Attempts: 1, TrafficSplit: split},
			{Name: "resume", Host: "a.example", Prefix: "/resume/", Repeatability: resolver.Stream, Resumable: true, Timeout: 10 * time.Second, Attempts: 3, TrafficSplit: split},
		},
		Accounts: []resolver.Account{{Name: "loft-7", Keys: []string{"key"}, HasPrepaid: true, Prepaid: 1000}},
		Limits:   resolver.Limits{BodyBytes: 10},
	})
	require.NoError(t, err)
	s := &fakeUpstreams{responses: responses, table: table, quarantine: quarantiner.New(quarantiner.Config{MaxCrashes: 3, SuspicionPeriod: time.Minute})}
	for i := range byte(4) {
		s.list = append(s.list, registrar.Upstream{
			Name: registrar.Name([]byte{'i', '0' + i}), Service: "drafts",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 80),
		})
	}
	return s
}

// onlyPinner returns the pinner of a daemon without peers.
func onlyPinner() *pinner.Pinner {
	return pinner.New(pinner.Config{Peers: func() []netip.AddrPort { return nil }})
}

func (s *fakeUpstreams) forwarder() *Forwarder {
	return New(Config{
		Tables: s, Upstreams: s, Budgets: s, Balancer: balancer.New(balancer.Config{}), Limits: throttler.New(throttler.Config{}), Streams: onlyPinner(), Sender: s, Recorder: s.rec,
		Retries: retrier.New(retrier.Config{TargetRatio: 10, AccountRatio: 10, Burst: 10}), Random: func() float64 { return 0 }, Quarantine: s.quarantine,
		Probe: func(context.Context, netip.AddrPort) error {
			if s.probeFails {
				return errConnectionReset
			}
			return nil
		},
		SetMetadata: func(h http.Header, m Metadata) {
			h.Set("Upstream", string(m.Upstream))
			h.Set("Account", string(m.Account))
			h.Set("Last", m.ResumeAfter)
		},
	})
}

// callerResponse is what the caller receives.
type callerResponse struct {
	*httptest.ResponseRecorder
	aborted bool
}

func (s *fakeUpstreams) serve(ctx context.Context, path, body string) callerResponse {
	return serveWith(ctx, s.forwarder(), path, body)
}

// serveWith serves a request with a forwarder.
func serveWith(ctx context.Context, f *Forwarder, path, body string) callerResponse {
	w := callerResponse{ResponseRecorder: httptest.NewRecorder()}
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			} else if cause != nil {
				w.aborted = true
			}
		}()
		f.Serve(ctx, w, &Request{
			ID: "7", Method: "POST", Host: "a.example", Path: path, Target: path, Header: http.Header{}, Key: "key",
			Body: strings.NewReader(body), Length: int64(len(body)), CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
			PromptTokens: 100, MaxOutputTokens: 50,
		})
	}()
	return w
}

// A request that may be executed at most once must not be resent after an upstream may have
// executed it. Other requests are retried at another upstream.
func TestRequestIsResentOnlyWhenAllowed(t *testing.T) {
	success := fakeResponse{status: 200, body: "ok"}
	serverError := fakeResponse{status: 500, body: "engine failed"}
	tests := []struct {
		name      string
		path      string
		responses []fakeResponse
		sends     int
		status    int
	}{
		{"once: connection refused", "/once/", []fakeResponse{{err: failureBeforeWrite}, success}, 2, 200},
		{"once: reported as not executed", "/once/", []fakeResponse{{status: 503, notExecuted: true}, success}, 2, 200},
		{"once: another upstream has the address", "/once/", []fakeResponse{{status: 421}, success}, 2, 200},
		{"once: connection lost", "/once/", []fakeResponse{{err: failureAfterWrite}, success}, 1, 502},
		{"once: server error", "/once/", []fakeResponse{serverError, success}, 1, 500},
		{"once: truncated response", "/once/", []fakeResponse{{status: 200, body: "o", truncated: true}, success}, 1, 502},
		{"once: 503 without report may have been executed", "/once/", []fakeResponse{{status: 503}, success}, 1, 503},
		{"again: connection lost", "/again/", []fakeResponse{{err: failureAfterWrite}, success}, 2, 200},
		{"again: truncated response", "/again/", []fakeResponse{{status: 200, body: "o", truncated: true}, success}, 2, 200},
		{"again: server error twice", "/again/", []fakeResponse{serverError, serverError, success}, 2, 500},
		{"again: no signature", "/again/", []fakeResponse{{status: 200, body: "x", unsigned: true}, success}, 2, 200},
		{"again: content-encoded", "/again/", []fakeResponse{{status: 200, body: "x", header: http.Header{"Content-Encoding": {"gzip"}}}, success}, 2, 200},
		{"stream: connection lost before the first event", "/stream/", []fakeResponse{{err: failureAfterWrite}, success}, 1, 502},
		{"resume: connection lost before the first event", "/resume/", []fakeResponse{{err: failureAfterWrite}, success}, 2, 200},
		{"again: never executed", "/again/", []fakeResponse{{status: 503, notExecuted: true}}, 4, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeUpstreams(t, tt.responses...)
				w := s.serve(t.Context(), tt.path, "")
				require.Equal(t, tt.status, w.Code)
				require.LessOrEqual(t, len(s.calls), tt.sends)
				if tt.status == 200 {
					require.Len(t, s.calls, tt.sends)
				}
				for i := range s.sentTo {
					require.NotContains(t, s.sentTo[:i], s.sentTo[i], "the request was sent to one upstream twice")
				}
			})
		})
	}
}

// Retry-After invites the caller to retry. Sent with a refusal of a request that an
// upstream may have executed, it would cause a second execution.
func TestRetryAfterOnlyWhenNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t, fakeResponse{status: 503, notExecuted: true})
		w := s.serve(t.Context(), "/once/", "")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		s = newFakeUpstreams(t, fakeResponse{err: failureAfterWrite})
		w = s.serve(t.Context(), "/once/", "")
		require.Equal(t, http.StatusBadGateway, w.Code)
		require.Empty(t, w.Header().Get("Retry-After"), "the request may have been executed")
	})
}

// A request without a route, a valid key or tokens, or with too long a body, must not
// reach an upstream.
func TestRefusedWithoutSending(t *testing.T) {
	tests := []struct {
		name, path, body, key string
		refusal               *refuser.Refusal
		status                int
	}{
		{name: "no route", path: "/other", key: "key", status: 404},
		{name: "unknown key", path: "/once/", key: "x", status: 401},
		{name: "long body", path: "/once/", key: "key", body: "12345678901", status: 413},
		{name: "budget exhausted", path: "/once/", key: "key", refusal: refuser.New(refuser.BudgetExhausted, "reserve"), status: 402},
		{name: "budget unreachable", path: "/once/", key: "key", refusal: refuser.New(refuser.BudgetUnreachable, "reserve"), status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFakeUpstreams(t, fakeResponse{status: 200, body: "ok"})
			s.reserveRefusal = tt.refusal
			w := httptest.NewRecorder()
			s.forwarder().Serve(t.Context(), w, &Request{
				ID: "7", Method: "POST", Host: "a.example", Path: tt.path, Target: tt.path, Header: http.Header{},
				Key: tt.key, Body: strings.NewReader(tt.body), Length: -1, ReceivedAt: time.Now(), PromptTokens: 1,
			})
			require.Equal(t, tt.status, w.Code)
			require.Empty(t, s.calls)
		})
	}
}

// An upstream's 4xx response belongs to the caller: status, body and signature are
// forwarded unchanged. Headers of the connection to the upstream are not.
func TestResponseIsForwardedWithoutHopByHopHeaders(t *testing.T) {
	h := http.Header{"Signature": {"s"}, "Other": {"a", "b"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}}
	s := newFakeUpstreams(t, fakeResponse{status: 404, body: "its own 404", header: h})
	w := s.serve(t.Context(), "/once/", "")
	require.Equal(t, 404, w.Code)
	require.Equal(t, "its own 404", w.Body.String())
	require.Equal(t, "s", w.Header().Get("Signature"))
	require.Equal(t, []string{"a", "b"}, w.Header().Values("Other"))
	require.Empty(t, w.Header().Get("X-Hop"))
	require.Empty(t, w.Header().Get("Keep-Alive"))
}

func sseEvent(id string) string { return "id: " + id + "\ndata: x\n\n" }

// The connection to an upstream breaks in the middle of an event. The caller must get each
// event once and complete, and the headers only once.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t,
			fakeResponse{status: 200, header: eventStreamHeader, body: sseEvent("1") + sseEvent("2") + "id: 3\nda", truncated: true},
			fakeResponse{status: 200, header: http.Header{"Content-Type": {"text/event-stream"}, "Signature": {"second"}}, body: sseEvent("3") + sseEvent("4")},
		)
		w := s.serve(t.Context(), "/resume/", "")
		require.False(t, w.aborted)
		require.Equal(t, sseEvent("1")+sseEvent("2")+sseEvent("3")+sseEvent("4"), w.Body.String())
		require.Equal(t, "first", w.Header().Get("Signature"), "the response keeps the headers of the first upstream")
		require.Equal(t, "2", s.calls[1].Header.Get("Last"))
	})
}

// A stream that breaks and cannot be resumed must not end like a complete one: the caller
// could not tell that events are missing.
func TestIncompleteStreamAbortsConnection(t *testing.T) {
	tests := []struct {
		name, path string
		responses  []fakeResponse
	}{
		{"stream is not resumable", "/stream/", []fakeResponse{{status: 200, header: eventStreamHeader, body: sseEvent("1"), truncated: true}}},
		{"second response is not a stream", "/resume/", []fakeResponse{
			{status: 200, header: eventStreamHeader, body: sseEvent("1"), truncated: true}, {status: 200, body: "plain"},
		}},
		{"stream breaks on every attempt", "/resume/", []fakeResponse{{status: 200, header: eventStreamHeader, body: sseEvent("1"), truncated: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeUpstreams(t, tt.responses...).serve(t.Context(), tt.path, "")
				require.True(t, w.aborted)
			})
		})
	}
}

// An upstream accepts a request and never responds. The request ends at its deadline, which
// is the shorter of the caller's and the route's timeout.
func TestDeadlineEndsHangingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t, fakeResponse{hang: true})
		start := time.Now()
		w := s.serve(t.Context(), "/again/", "")
		require.Equal(t, http.StatusGatewayTimeout, w.Code)
		require.Equal(t, 5*time.Second, time.Since(start), "the caller's timeout is shorter than the route's")
	})
}

// A caller disconnects while an upstream executes its request. The call must be cancelled
// at once and not retried.
func TestCallerDisconnectCancelsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t, fakeResponse{hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		s.serve(ctx, "/again/", "")
		require.Equal(t, time.Second, time.Since(start))
		require.Len(t, s.calls, 1, "the request was resent")
	})
}

// A request that crashes every upstream it reaches would take down the whole service if
// its caller kept retrying.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t, fakeResponse{err: failureAfterWrite})
		s.probeFails = true
		for range 3 {
			require.Equal(t, http.StatusBadGateway, s.serve(t.Context(), "/once/", "poison").Code)
			synctest.Wait()
		}
		w := s.serve(t.Context(), "/once/", "poison")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Len(t, s.calls, 3)
		s.responses = []fakeResponse{{status: 200, body: "ok"}}
		require.Equal(t, 200, s.serve(t.Context(), "/once/", "other").Code)
	})
}

// A network fault breaks connections to upstreams that are up. Requests must not be
// suspected of a crash then.
func TestLostConnectionToLiveUpstreamIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t, fakeResponse{err: failureAfterWrite})
		for range 5 {
			s.serve(t.Context(), "/once/", "innocent")
			synctest.Wait()
		}
		require.True(t, s.quarantine.Empty())
	})
}

// Every request counts in the time to reserve tokens, refused ones too; only served
// requests count in the other two.
func TestRequestTimesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeUpstreams(t, fakeResponse{status: 200, body: "ok"})
		s.rec = recorder.New()
		require.Equal(t, http.StatusOK, s.serve(t.Context(), "/once/", "x").Code)
		s.reserveRefusal = refuser.New(refuser.BudgetUnreachable, "reserve")
		require.Equal(t, http.StatusServiceUnavailable, s.serve(t.Context(), "/once/", "x").Code)
		counts := make(map[string]float64)
		for _, sample := range s.rec.Samples() {
			counts[sample.Name] = sample.Value
		}
		require.Equal(t, 2.0, counts["request.reserving.count"])
		require.Equal(t, 1.0, counts["request.answering.count"])
		require.Equal(t, 1.0, counts["request.serving.count"])
	})
}
