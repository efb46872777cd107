package forwarder

import (
	"context"
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
	"laburnumline/hedger"
	"laburnumline/pinner"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/retrier"
)

// timedResponse is a response or error that an upstream gives some time after a send.
type timedResponse struct {
	fakeResponse
	after time.Duration
	// deaf upstreams respond although the call was cancelled.
	deaf bool
}

// hedgeTest is a forwarder that has learned responses after 100 ms, and upstreams that respond to the sends in order.
// It records the outcomes at the balancer.
type hedgeTest struct {
	*fakeUpstreams
	*balancer.Balancer
	forwarder *Forwarder
	hedger    *hedger.Hedger
	responses []timedResponse

	mu        sync.Mutex
	sentTo    []registrar.Name
	cancelled map[registrar.Name]time.Duration // since the start
	outcomes  map[registrar.Name]balancer.Outcome
	ends      int
	start     time.Time
}

func newHedgeTest(t *testing.T, responses ...timedResponse) *hedgeTest {
	h := &hedgeTest{
		fakeUpstreams: newFakeUpstreams(t), Balancer: balancer.New(balancer.Config{}), responses: responses,
		cancelled: make(map[registrar.Name]time.Duration), outcomes: make(map[registrar.Name]balancer.Outcome), start: time.Now(),
	}
	h.rec = recorder.New()
	h.hedger = trainedHedger(h.start, 0.1)
	h.forwarder = h.fakeUpstreams.forwarder()
	c := &h.forwarder.config
	c.Balancer, c.Sender, c.Hedger, c.Recorder = h, h, h.hedger, h.rec
	return h
}

// trainedHedger returns a hedger that has seen 400 requests with a first byte after 100 ms.
func trainedHedger(now time.Time, share float64) *hedger.Hedger {
	h := hedger.New(hedger.Config{Share: share, Quantile: 0.95, Random: func() float64 { return 0 }})
	for _, route := range []string{"again", "resume", "once", "stream"} {
		r := hedger.Request{Service: "drafts", Route: route, Account: "loft-7", PromptTokens: 100}
		for range 100 {
			h.Begin(now, &r)
			h.Observe(now, &r, 100*time.Millisecond)
		}
	}
	return h
}

func (h *hedgeTest) Send(ctx context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	name := registrar.Name(call.Header.Get("Upstream"))
	h.mu.Lock()
	r := h.responses[min(len(h.sentTo), len(h.responses)-1)]
	h.sentTo = append(h.sentTo, name)
	h.mu.Unlock()
	if r.deaf {
		time.Sleep(r.after)
	} else {
		select {
		case <-time.After(r.after):
		case <-ctx.Done():
			h.mu.Lock()
			h.cancelled[name] = time.Since(h.start)
			h.mu.Unlock()
			return nil, &connector.CallError{Written: true, Step: "read response", Peer: address, Err: context.Cause(ctx)}
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	var body io.Reader = strings.NewReader(r.body)
	if r.truncated {
		body = io.MultiReader(body, errorReader{})
	}
	header := r.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Signature", string(name))
	return &connector.Response{
		Status: r.status, Header: header, Body: body, Length: -1,
		Metadata: connector.Metadata{ID: call.ID, Signed: true, NotRun: r.notExecuted},
	}, nil
}

func (h *hedgeTest) End(now time.Time, c *balancer.Choice, r balancer.Result) {
	h.mu.Lock()
	h.outcomes[c.Upstream.Name] = r.Outcome
	h.ends++
	h.mu.Unlock()
	h.Balancer.End(now, c, r)
}

func (h *hedgeTest) request(path string) *Request {
	return &Request{
		ID: "7", Method: "POST", Host: "a.example", Path: path, Target: path, Header: http.Header{}, Key: "key",
		Body: strings.NewReader(""), CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(), PromptTokens: 100, MaxOutputTokens: 50,
	}
}

// serve serves a request. It returns the response and the time that it took, after all sends have ended.
func (h *hedgeTest) serve(ctx context.Context, r *Request) (w *httptest.ResponseRecorder, took time.Duration, aborted bool) {
	w = httptest.NewRecorder()
	func() {
		defer func() {
			if cause := recover(); cause != nil {
				aborted = cause == http.ErrAbortHandler
			}
		}()
		h.forwarder.Serve(ctx, w, r)
	}()
	took = time.Since(h.start)
	length := w.Body.Len()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	if w.Body.Len() != length {
		panic("a cancelled send has written to the caller")
	}
	return w, took, aborted
}

func (h *hedgeTest) counter(name string) int64 { return h.rec.Counter(name).Count() }

func streamAfter(after time.Duration) timedResponse {
	return timedResponse{after: after, fakeResponse: fakeResponse{
		status: 200, header: http.Header{"Content-Type": {"text/event-stream"}}, body: sseEvent("1") + sseEvent("2"),
	}}
}

func bodyAfter(after time.Duration) timedResponse {
	return timedResponse{after: after, fakeResponse: fakeResponse{status: 200, body: "ok"}}
}

func failureAfter(after time.Duration) timedResponse {
	return timedResponse{after: after, fakeResponse: fakeResponse{err: failureAfterWrite}}
}

func deaf(r timedResponse) timedResponse { r.deaf = true; return r }

// Guards against responses that are mixed from two upstreams, are late although one of them is fast, or blame the
// upstream whose send was cancelled.
func TestSecondSend(t *testing.T) {
	const ms = time.Millisecond
	broken := streamAfter(200 * ms)
	broken.body, broken.truncated = ": comment\n\n", true
	rejected := timedResponse{after: 200 * ms, fakeResponse: fakeResponse{status: 503, notExecuted: true}}
	tests := []struct {
		name      string
		path      string
		responses []timedResponse
		status    int
		sends     int
		winner    int // index of the send
		outcomes  []balancer.Outcome
		before    time.Duration
		counters  map[string]int64
	}{
		{"fast upstream", "/resume/", []timedResponse{streamAfter(50 * ms)}, 200, 1, 0, []balancer.Outcome{balancer.Served}, 60 * ms, map[string]int64{"hedger.sent": 0}},
		{"one slow upstream, stream", "/resume/", []timedResponse{streamAfter(3000 * ms), streamAfter(50 * ms)}, 200, 2, 1,
			[]balancer.Outcome{balancer.Abandoned, balancer.Served}, 200 * ms, map[string]int64{"hedger.sent": 1, "hedger.won": 1, "hedger.lost_tokens": 100}},
		{"one slow upstream, complete response", "/again/", []timedResponse{bodyAfter(3000 * ms), bodyAfter(50 * ms)}, 200, 2, 1,
			[]balancer.Outcome{balancer.Abandoned, balancer.Served}, 200 * ms, map[string]int64{"hedger.sent": 1, "hedger.won": 1}},
		{"all slow", "/resume/", []timedResponse{streamAfter(1000 * ms), streamAfter(3000 * ms)}, 200, 2, 0,
			[]balancer.Outcome{balancer.Served, balancer.Abandoned}, 1001 * ms, map[string]int64{"hedger.sent": 1, "hedger.lost": 1, "hedger.lost_tokens": 100}},
		{"cancellation lost", "/resume/", []timedResponse{deaf(streamAfter(3000 * ms)), streamAfter(50 * ms)}, 200, 2, 1,
			[]balancer.Outcome{balancer.Abandoned, balancer.Served}, 200 * ms, nil},
		{"first fails, second continues", "/resume/", []timedResponse{failureAfter(200 * ms), streamAfter(200 * ms)}, 200, 2, 1,
			[]balancer.Outcome{balancer.Failed, balancer.Served}, 400 * ms, nil},
		{"first stream breaks before its first event", "/resume/", []timedResponse{broken, streamAfter(200 * ms)}, 200, 2, 1,
			[]balancer.Outcome{balancer.Failed, balancer.Served}, 400 * ms, nil},
		{"second rejects, first continues", "/resume/", []timedResponse{streamAfter(600 * ms), rejected}, 200, 2, 0,
			[]balancer.Outcome{balancer.Served, balancer.Full}, 601 * ms, nil},
		{"both fail, third attempt", "/resume/", []timedResponse{failureAfter(200 * ms), failureAfter(200 * ms), streamAfter(50 * ms)}, 200, 3, 2,
			[]balancer.Outcome{balancer.Failed, balancer.Failed, balancer.Served}, 500 * ms, nil},
		{"both fail, attempts used", "/again/", []timedResponse{failureAfter(200 * ms), failureAfter(200 * ms), bodyAfter(50 * ms)}, 502, 2, -1,
			[]balancer.Outcome{balancer.Failed, balancer.Failed}, 500 * ms, nil},
		{"not repeatable", "/once/", []timedResponse{bodyAfter(1000 * ms)}, 200, 1, 0, []balancer.Outcome{balancer.Served}, 1001 * ms, map[string]int64{"hedger.sent": 0}},
		{"one attempt", "/stream/", []timedResponse{streamAfter(1000 * ms)}, 200, 1, 0, []balancer.Outcome{balancer.Served}, 1001 * ms, map[string]int64{"hedger.sent": 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHedgeTest(t, tt.responses...)
				h.probeFails = tt.status == 200 && tt.responses[0].err == nil // a lost connection would look like a crash
				w, took, aborted := h.serve(t.Context(), h.request(tt.path))
				require.False(t, aborted)
				require.Equal(t, tt.status, w.Code)
				require.Len(t, h.sentTo, tt.sends)
				require.LessOrEqual(t, took, tt.before)
				for i, name := range h.sentTo {
					require.NotContains(t, h.sentTo[:i], name)
					require.Equal(t, tt.outcomes[i], h.outcomes[name], "send %d", i)
					if tt.outcomes[i] == balancer.Abandoned && !tt.responses[i].deaf {
						require.Equal(t, took, h.cancelled[name], "the loser is cancelled at once")
					}
				}
				require.Equal(t, tt.sends, h.ends, "each send ends once at the balancer")
				if tt.winner >= 0 {
					require.Equal(t, tt.responses[tt.winner].body, w.Body.String())
					require.Equal(t, string(h.sentTo[tt.winner]), w.Header().Get("Signature"))
				}
				for name, value := range tt.counters {
					require.Equal(t, value, h.counter(name), name)
				}
				if tt.name != "first stream breaks before its first event" {
					require.True(t, h.quarantine.Empty(), "a cancelled send is no evidence of a crash")
				}
			})
		})
	}
}

// Guards against two responses in one, and against a send that is never ended, if both upstreams respond in the same
// instant.
func TestBothSendsRespondAtOnce(t *testing.T) {
	for range 20 { // the order of the goroutines varies
		synctest.Test(t, func(t *testing.T) {
			delay := newHedgeTest(t).hedger.Begin(time.Now(), &hedger.Request{Service: "drafts", Route: "resume", PromptTokens: 100})
			h := newHedgeTest(t, streamAfter(delay+50*time.Millisecond), streamAfter(50*time.Millisecond))
			w, _, _ := h.serve(t.Context(), h.request("/resume/"))
			require.Equal(t, sseEvent("1")+sseEvent("2"), w.Body.String())
			require.Len(t, h.sentTo, 2)
			require.Equal(t, 2, h.ends)
			winner := registrar.Name(w.Header().Get("Signature"))
			for _, name := range h.sentTo {
				require.Equal(t, name == winner, h.outcomes[name] == balancer.Served)
			}
			require.EqualValues(t, 1, h.counter("hedger.won")+h.counter("hedger.lost"))
		})
	}
}

// Guards against sends that go on, or that count as failures of their upstreams, after the daemon was stopped or the
// caller has left.
func TestStopBetweenBothSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHedgeTest(t, streamAfter(3*time.Second))
		h.probeFails = true
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, took, _ := h.serve(ctx, h.request("/resume/"))
		require.Equal(t, 300*time.Millisecond, took)
		require.Len(t, h.sentTo, 2)
		for _, name := range h.sentTo {
			require.Equal(t, balancer.Abandoned, h.outcomes[name])
			require.Equal(t, 300*time.Millisecond, h.cancelled[name])
		}
		require.True(t, h.quarantine.Empty())
	})
}

// Guards against a second send that budgets or the state of the request forbid.
func TestSecondSendIsRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *hedgeTest, r *Request)
		reason string // empty if nothing is decided
	}{
		{"share used", func(h *hedgeTest, _ *Request) {
			h.forwarder.config.Hedger = trainedHedger(h.start, 0.001)
		}, "share_used"},
		{"retries used", func(h *hedgeTest, _ *Request) {
			h.forwarder.config.Retries = retrier.New(retrier.Config{TargetRatio: 0.1, AccountRatio: 0.1})
		}, "retries_used"},
		{"no other upstream", func(h *hedgeTest, _ *Request) { h.list = h.list[:1] }, "no_upstream"},
		{"suspected", func(h *hedgeTest, r *Request) {
			r.Body, r.Length = strings.NewReader("x"), 1
			digest := (&exchange{request: r, body: []byte("x")}).digest()
			h.quarantine.Begin(h.start, digest, "i9")
			h.quarantine.End(h.start, digest, "i9", true)
		}, "suspected"},
		{"delegated", func(_ *hedgeTest, r *Request) { r.Delegated = true }, ""},
		{"resumed", func(_ *hedgeTest, r *Request) { r.ResumeAfter = "1" }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHedgeTest(t, streamAfter(time.Second))
				r := h.request("/resume/")
				tt.change(h, r)
				w, _, _ := h.serve(t.Context(), r)
				require.Equal(t, 200, w.Code)
				require.Len(t, h.sentTo, 1)
				require.Zero(t, h.counter("hedger.sent"))
				if tt.reason != "" {
					require.EqualValues(t, 1, h.counter("hedger.refused."+tt.reason))
				}
			})
		})
	}
}

// Guards against a stream that is pinned to the software version of the upstream whose send was cancelled, and against a
// broken stream that is resumed beyond the attempts of its route: the cancelled send counts as one.
func TestStreamIsPinnedToTheWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		winner := streamAfter(50 * time.Millisecond)
		winner.truncated = true
		h := newHedgeTest(t, streamAfter(3*time.Second), winner, failureAfter(time.Millisecond))
		for i := range h.list {
			h.list[i].Software = string(h.list[i].Name)
		}
		_, _, aborted := h.serve(t.Context(), h.request("/resume/"))
		require.True(t, aborted)
		require.LessOrEqual(t, len(h.sentTo), 3)
		software, known := h.forwarder.config.Streams.Lookup(t.Context(), pinner.StreamOf("7"), false)
		require.True(t, known)
		require.Equal(t, string(h.sentTo[1]), software)
	})
}

// Guards against a prompt that is suspected after its own second send was cancelled.
func TestPartsOfCancelledSendAreNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHedgeTest(t, streamAfter(3*time.Second), streamAfter(50*time.Millisecond))
		h.probeFails = true
		r := h.request("/resume/")
		r.PromptParts = []balancer.Part{{ID: 1, Tokens: 50}, {ID: 2, Tokens: 50}}
		h.serve(t.Context(), r)
		require.Len(t, h.sentTo, 2)
		_, verdict := h.quarantine.CheckParts(time.Now(), []quarantiner.Digest{quarantiner.PartDigest(1)})
		require.Equal(t, quarantiner.Clear, verdict)
	})
}

// The path of a request must cost the same as before when second sends are off.
func BenchmarkServe(b *testing.B) {
	for _, share := range []float64{0, 0.02} {
		name := "off"
		if share > 0 {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			s := newFakeUpstreams(b, fakeResponse{status: 200, body: "ok"})
			f := s.forwarder()
			f.config.Hedger = hedger.New(hedger.Config{Share: share, Quantile: 0.95})
			b.ReportAllocs()
			for b.Loop() {
				s.calls, s.sentTo = s.calls[:0], s.sentTo[:0]
				f.Serve(b.Context(), httptest.NewRecorder(), &Request{
					ID: "7", Method: "POST", Host: "a.example", Path: "/again/", Target: "/again/", Header: http.Header{}, Key: "key",
					Body: strings.NewReader(""), CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(), PromptTokens: 100, MaxOutputTokens: 50,
				})
			}
		})
	}
}
