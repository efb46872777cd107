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
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/director"
	"laburnumline/placer"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/retrier"
)

// reply is what a fake upstream does with one call.
type reply struct {
	err    error // instead of an answer
	status int
	header http.Header
	body   string
	broken bool // the body ends with an error
	hang   bool // until the context ends
	notRun bool
	forged bool // no signature
}

// script is a Sender that plays replies in order, and the parts around it.
type script struct {
	replies []reply
	calls   []*connector.Call
	sentTo  []netip.AddrPort
	refusal *refuser.Refusal
	table   *director.Table
	list    []registrar.Upstream
	suspect *quarantiner.Quarantiner
	dead    bool // upstreams take no connections
	rec     *recorder.Recorder
}

func (s *script) Send(ctx context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	s.calls = append(s.calls, call)
	s.sentTo = append(s.sentTo, address)
	r := s.replies[0]
	if len(s.replies) > 1 {
		s.replies = s.replies[1:]
	}
	if r.hang {
		<-ctx.Done()
		return nil, &connector.CallError{Written: true, Step: "read answer", Err: context.Cause(ctx)}
	}
	if r.err != nil {
		return nil, r.err
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.broken {
		body = io.MultiReader(body, errorReader{})
	}
	h := r.header
	if h == nil {
		h = http.Header{}
	}
	return &connector.Response{
		Status: r.status, Header: h, Body: body, Length: -1,
		Metadata: connector.Metadata{ID: call.ID, Signed: !r.forged, NotRun: r.notRun},
	}, nil
}

var errTorn = errors.New("connection reset")

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errTorn }

func (s *script) Table() *director.Table { return s.table }

func (s *script) Of(director.ServiceName) []registrar.Upstream { return s.list }

func (s *script) Reserve(context.Context, contractor.Account, contractor.Tokens) (*apportioner.Reservation, error) {
	if s.refusal != nil {
		return nil, s.refusal
	}
	return nil, nil
}

var written = &connector.CallError{Written: true, Step: "read answer", Err: errTorn}
var unwritten = &connector.CallError{ConnectFailed: true, Step: "connect", Err: errTorn}

var eventStream = http.Header{"Content-Type": {"text/event-stream"}, "Signature": {"first"}}

func newScript(t *testing.T, replies ...reply) *script {
	t.Helper()
	share := []director.Share{{Service: "drafts", Weight: 1}}
	table, err := director.NewTable(director.Document{
		Version:  1,
		Services: []director.Service{{Name: "drafts", Engine: true, TokensPerEvent: 3}},
		Routes: []director.Route{
			{Name: "once", Host: "a.example", Prefix: "/once/", Repetition: director.Once, Timeout: 10 * time.Second, Attempts: 1, Shares: share},
			{Name: "again", Host: "a.example", Prefix: "/again/", Repetition: director.Repeatable, Timeout: 10 * time.Second, Attempts: 2, Shares: share},
			{Name: "stream", Host: "a.example", Prefix: "/stream/", Repetition: director.Stream, Timeout: 10 * time.Second, Attempts: 1, Shares: share},
			{Name: "resume", Host: "a.example", Prefix: "/resume/", Repetition: director.Stream, Resumable: true, Timeout: 10 * time.Second, Attempts: 3, Shares: share},
		},
		Accounts: []director.Account{{Name: "loft-7", Keys: []string{"key"}, HasPrepaid: true, Prepaid: 1000}},
		Limits:   director.Limits{BodyBytes: 10},
	})
	require.NoError(t, err)
	s := &script{replies: replies, table: table, suspect: quarantiner.New(quarantiner.Config{MaxVictims: 3, Memory: time.Minute})}
	for i := range byte(4) {
		s.list = append(s.list, registrar.Upstream{
			Name: registrar.Name([]byte{'i', '0' + i}), Service: "drafts",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 80),
		})
	}
	return s
}

func (s *script) forwarder() *Forwarder {
	return New(Config{
		Tables: s, Upstreams: s, Budgets: s, Placer: placer.New(placer.Config{}), Sender: s, Recorder: s.rec,
		Retries: retrier.New(retrier.Config{TargetRatio: 10, AccountRatio: 10, Burst: 10}), Random: func() float64 { return 0 }, Suspects: s.suspect,
		Probe: func(context.Context, netip.AddrPort) error {
			if s.dead {
				return errTorn
			}
			return nil
		},
		Mark: func(h http.Header, m Marks) {
			h.Set("Upstream", string(m.Upstream))
			h.Set("Account", string(m.Account))
			h.Set("Last", m.ResumeAfter)
		},
	})
}

// result is what the caller gets.
type result struct {
	*httptest.ResponseRecorder
	aborted bool
}

func (s *script) serve(ctx context.Context, path, body string) result {
	w := result{ResponseRecorder: httptest.NewRecorder()}
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			} else if cause != nil {
				w.aborted = true
			}
		}()
		s.forwarder().Serve(ctx, w, &Request{
			ID: "7", Method: "POST", Host: "a.example", Path: path, Target: path, Header: http.Header{}, Key: "key",
			Body: strings.NewReader(body), Length: int64(len(body)), Wait: 5 * time.Second, Arrived: time.Now(),
			Prompt: 100, MaxOutput: 50,
		})
	}()
	return w
}

func TestWhatMayBeSentAgain(t *testing.T) {
	good := reply{status: 200, body: "ok"}
	failed := reply{status: 500, body: "runner failed"}
	tests := []struct {
		name    string
		path    string
		replies []reply
		sends   int
		status  int
	}{
		{"once: connection refused", "/once/", []reply{{err: unwritten}, good}, 2, 200},
		{"once: said not to have run", "/once/", []reply{{status: 503, notRun: true}, good}, 2, 200},
		{"once: another upstream has the address", "/once/", []reply{{status: 421}, good}, 2, 200},
		{"once: broken off", "/once/", []reply{{err: written}, good}, 1, 502},
		{"once: failed by the upstream", "/once/", []reply{failed, good}, 1, 500},
		{"once: torn answer", "/once/", []reply{{status: 200, body: "o", broken: true}, good}, 1, 502},
		{"once: 503 that does not say so may have run", "/once/", []reply{{status: 503}, good}, 1, 503},
		{"again: broken off", "/again/", []reply{{err: written}, good}, 2, 200},
		{"again: torn answer", "/again/", []reply{{status: 200, body: "o", broken: true}, good}, 2, 200},
		{"again: failed twice", "/again/", []reply{failed, failed, good}, 2, 500},
		{"again: no signature", "/again/", []reply{{status: 200, body: "x", forged: true}, good}, 2, 200},
		{"again: encoded", "/again/", []reply{{status: 200, body: "x", header: http.Header{"Content-Encoding": {"gzip"}}}, good}, 2, 200},
		{"stream: broken off before its first event", "/stream/", []reply{{err: written}, good}, 1, 502},
		{"resume: broken off before its first event", "/resume/", []reply{{err: written}, good}, 2, 200},
		{"again: never run", "/again/", []reply{{status: 503, notRun: true}}, 4, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScript(t, tt.replies...)
				w := s.serve(t.Context(), tt.path, "")
				require.Equal(t, tt.status, w.Code)
				require.LessOrEqual(t, len(s.calls), tt.sends)
				if tt.status == 200 {
					require.Len(t, s.calls, tt.sends)
				}
				for i := range s.sentTo {
					require.NotContains(t, s.sentTo[:i], s.sentTo[i], "not to the same upstream twice")
				}
			})
		})
	}
}

func TestRefusalsOfWhatDidNotRunSayWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t, reply{status: 503, notRun: true})
		w := s.serve(t.Context(), "/once/", "")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		s = newScript(t, reply{err: written})
		w = s.serve(t.Context(), "/once/", "")
		require.Equal(t, http.StatusBadGateway, w.Code)
		require.Empty(t, w.Header().Get("Retry-After"), "it may have run, so nothing is promised")
	})
}

func TestRefusedBeforeAnUpstreamIsAsked(t *testing.T) {
	tests := []struct {
		name, path, body, key string
		refusal               *refuser.Refusal
		status                int
	}{
		{name: "no route", path: "/other", key: "key", status: 404},
		{name: "unknown key", path: "/once/", key: "x", status: 401},
		{name: "long body", path: "/once/", key: "key", body: "12345678901", status: 413},
		{name: "no tokens left", path: "/once/", key: "key", refusal: refuser.New(refuser.BudgetExhausted, "reserve"), status: 402},
		{name: "tokens elsewhere", path: "/once/", key: "key", refusal: refuser.New(refuser.BudgetUnreachable, "reserve"), status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScript(t, reply{status: 200, body: "ok"})
			s.refusal = tt.refusal
			w := httptest.NewRecorder()
			s.forwarder().Serve(t.Context(), w, &Request{
				ID: "7", Method: "POST", Host: "a.example", Path: tt.path, Target: tt.path, Header: http.Header{},
				Key: tt.key, Body: strings.NewReader(tt.body), Length: -1, Arrived: time.Now(), Prompt: 1,
			})
			require.Equal(t, tt.status, w.Code)
			require.Empty(t, s.calls)
		})
	}
}

func TestUpstreamsAnswerIsPassedOnUnchanged(t *testing.T) {
	h := http.Header{"Signature": {"s"}, "Other": {"a", "b"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}}
	s := newScript(t, reply{status: 404, body: "its own 404", header: h})
	w := s.serve(t.Context(), "/once/", "")
	require.Equal(t, 404, w.Code)
	require.Equal(t, "its own 404", w.Body.String())
	require.Equal(t, "s", w.Header().Get("Signature"))
	require.Equal(t, []string{"a", "b"}, w.Header().Values("Other"))
	require.Empty(t, w.Header().Get("X-Hop"))
	require.Empty(t, w.Header().Get("Keep-Alive"))
}

func event(id string) string { return "id: " + id + "\ndata: x\n\n" }

func TestStreamResumesAfterItsLastWholeEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t,
			reply{status: 200, header: eventStream, body: event("1") + event("2") + "id: 3\nda", broken: true},
			reply{status: 200, header: http.Header{"Content-Type": {"text/event-stream"}, "Signature": {"second"}}, body: event("3") + event("4")},
		)
		w := s.serve(t.Context(), "/resume/", "")
		require.False(t, w.aborted)
		require.Equal(t, event("1")+event("2")+event("3")+event("4"), w.Body.String())
		require.Equal(t, "first", w.Header().Get("Signature"), "the answer keeps the head of its first upstream")
		require.Equal(t, "2", s.calls[1].Header.Get("Last"))
	})
}

func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	tests := []struct {
		name, path string
		replies    []reply
	}{
		{"a stream that may not go on", "/stream/", []reply{{status: 200, header: eventStream, body: event("1"), broken: true}}},
		{"a stream that goes on as something else", "/resume/", []reply{
			{status: 200, header: eventStream, body: event("1"), broken: true}, {status: 200, body: "plain"},
		}},
		{"a stream that breaks each time", "/resume/", []reply{{status: 200, header: eventStream, body: event("1"), broken: true}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newScript(t, tt.replies...).serve(t.Context(), tt.path, "")
				require.True(t, w.aborted)
			})
		})
	}
}

func TestRouteTimeoutEndsARequestAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t, reply{hang: true})
		begun := time.Now()
		w := s.serve(t.Context(), "/again/", "")
		require.Equal(t, http.StatusGatewayTimeout, w.Code)
		require.Equal(t, 5*time.Second, time.Since(begun), "the caller's own time is shorter than the route's")
	})
}

func TestCallerThatLeavesEndsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t, reply{hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun := time.Now()
		s.serve(ctx, "/again/", "")
		require.Equal(t, time.Second, time.Since(begun))
		require.Len(t, s.calls, 1, "and is not sent again")
	})
}

func TestRequestThatCrashesThreeUpstreamsIsKeptFromMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t, reply{err: written})
		s.dead = true
		for range 3 {
			require.Equal(t, http.StatusBadGateway, s.serve(t.Context(), "/once/", "poison").Code)
			synctest.Wait()
		}
		w := s.serve(t.Context(), "/once/", "poison")
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
		require.NotEmpty(t, w.Header().Get("Retry-After"))
		require.Len(t, s.calls, 3)
		s.replies = []reply{{status: 200, body: "ok"}}
		require.Equal(t, 200, s.serve(t.Context(), "/once/", "other").Code)
	})
}

func TestBrokenAnswersOfLivingUpstreamsBlameNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t, reply{err: written})
		for range 5 {
			s.serve(t.Context(), "/once/", "innocent")
			synctest.Wait()
		}
		require.True(t, s.suspect.Empty())
	})
}

// Operators see how long requests wait, until the first part of their answer and until
// they are served.
func TestTimesOfRequestsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScript(t, reply{status: 200, body: "ok"})
		s.rec = recorder.New()
		require.Equal(t, http.StatusOK, s.serve(t.Context(), "/once/", "x").Code)
		s.refusal = refuser.New(refuser.BudgetUnreachable, "reserve")
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
