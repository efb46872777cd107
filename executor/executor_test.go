package executor

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/dispatcher"
	"laburnumline/limiter"
	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/reserver"
	"laburnumline/retrier"
	"laburnumline/router"
)

// fakeDependencies records the steps of one request and returns the results that the test
// sets. It implements all dependencies but the limiter, the retrier and the quarantiner.
type fakeDependencies struct {
	steps   []string
	settled []contractor.Tokens

	reserveErr, dispatchErr, claimErr error
	stored                            *conductor.Response
	// attempts are the outcomes of the attempts in order.
	attempts []fakeAttempt
	keys     []contractor.RequestKey
	offsets  []contractor.Tokens
	// software is the version of the next upstreams that are chosen, queries are the queries for
	// them.
	software []string
	queries  []router.Query
}

// fakeAttempt is the outcome of one attempt at an upstream.
type fakeAttempt struct {
	chunks []conductor.Chunk
	// startErr is returned before the first chunk, endErr after the last one.
	startErr, endErr error
}

func (f *fakeDependencies) recordStep(name string) { f.steps = append(f.steps, name) }

func (f *fakeDependencies) Reserve(_ context.Context, r reserver.Request) (reserver.Reservation, error) {
	f.recordStep("reserve")
	f.keys = append(f.keys, r.Key)
	return reserver.Reservation{Key: r.Key, Amount: r.Amount}, f.reserveErr
}

func (f *fakeDependencies) BeginDispatch(reserver.Reservation) error {
	f.recordStep("begin")
	return f.dispatchErr
}

func (f *fakeDependencies) Settle(_ reserver.Reservation, used contractor.Tokens) {
	f.recordStep("settle")
	f.settled = append(f.settled, used)
}

func (f *fakeDependencies) AccountOf(context.Context, contractor.KeyHash) (contractor.Account, error) {
	return "loft", nil
}

func (f *fakeDependencies) Contract(context.Context, contractor.Account) (*contractor.Contract, contractor.Revision, error) {
	return testContract(), 3, nil
}

func (f *fakeDependencies) Upstreams() []contractor.Upstream {
	return []contractor.Upstream{{Name: "desk-1", Kind: contractor.KindService, Service: "desk", Price: 7}}
}

func (f *fakeDependencies) Choose(_ time.Time, q router.Query) (router.Choice, error) {
	f.recordStep("choose")
	f.queries = append(f.queries, q)
	u := contractor.Upstream{Name: "upstream-1"}
	if len(f.software) > 0 {
		u.Software, f.software = f.software[0], f.software[1:]
	}
	return router.Choice{Upstream: u}, nil
}

func (f *fakeDependencies) Finish(time.Time, string, router.Query, router.Outcome, time.Duration) {
	f.recordStep("finish")
}

func (f *fakeDependencies) nextAttempt() fakeAttempt {
	f.recordStep("send")
	a := f.attempts[0]
	f.attempts = f.attempts[1:]
	return a
}

func (f *fakeDependencies) CallEngine(_ context.Context, call dispatcher.EngineCall) (dispatcher.Stream, error) {
	a := f.nextAttempt()
	f.offsets = append(f.offsets, call.ResumeOffset)
	if a.startErr != nil {
		return nil, a.startErr
	}
	return &fakeStream{attempt: a}, nil
}

func (f *fakeDependencies) CallService(context.Context, contractor.Upstream, *conductor.ServiceCall, int) (*conductor.Response, error) {
	a := f.nextAttempt()
	return &conductor.Response{Status: http.StatusOK}, a.startErr
}

type fakeStream struct{ attempt fakeAttempt }

func (s *fakeStream) Next() (conductor.Chunk, error) {
	if len(s.attempt.chunks) == 0 {
		if s.attempt.endErr != nil {
			return conductor.Chunk{}, s.attempt.endErr
		}
		return conductor.Chunk{}, io.EOF
	}
	c := s.attempt.chunks[0]
	s.attempt.chunks = s.attempt.chunks[1:]
	return c, nil
}

func (s *fakeStream) Usage() conductor.Usage {
	return conductor.Usage{PromptTokens: 10, OutputTokens: 5}
}
func (s *fakeStream) Close() error { return nil }

func (f *fakeDependencies) Claim(context.Context, contractor.Account, contractor.RequestKey, [16]byte) (deduplicator.Result, error) {
	f.recordStep("claim")
	return deduplicator.Result{Claim: &deduplicator.Claim{}, Response: f.stored}, f.claimErr
}

func (f *fakeDependencies) Complete(context.Context, *deduplicator.Claim, *conductor.Response) error {
	f.recordStep("store response")
	return nil
}

func (f *fakeDependencies) Release(context.Context, *deduplicator.Claim) error {
	f.recordStep("abandon")
	return nil
}

func (f *fakeDependencies) MarkUnknown(context.Context, *deduplicator.Claim) error {
	f.recordStep("unknown")
	return nil
}

func (f *fakeDependencies) Permit(context.Context, quarantiner.Digest, ...quarantiner.Digest) (*quarantiner.Permit, error) {
	return nil, refuser.New(refuser.Quarantined, "permit")
}

func (f *fakeDependencies) Report(context.Context, quarantiner.Digest) error { return nil }

func testContract() *contractor.Contract {
	return &contractor.Contract{
		Account: "loft",
		Budgets: []contractor.Budget{{Name: "all", Models: []string{"draft"}, Services: []string{"desk"}}},
	}
}

func newTestExecutor(f *fakeDependencies) *Executor {
	retries := retrier.New(retrier.Config{Attempts: 3, BaseDelay: time.Microsecond})
	for range 100 {
		retries.RecordFirstAttempt(time.Now(), "loft", "draft")
		retries.RecordFirstAttempt(time.Now(), "loft", "desk")
	}
	return New(Config{
		Contracts:  f,
		Budgets:    f,
		Limits:     limiter.New(limiter.Config{}),
		Routes:     f,
		Retries:    retries,
		Quarantine: quarantiner.New(quarantiner.Config{}),
		Permits:    f,
		Claims:     f,
		Upstreams:  f,
	})
}

// fakeSink records the offsets of chunks and returns err.
type fakeSink struct {
	offsets []contractor.Tokens
	err     error
}

func (s *fakeSink) WriteChunk(c conductor.Chunk) error {
	s.offsets = append(s.offsets, c.Offset)
	return s.err
}

func testCompletion() *conductor.Completion {
	return &conductor.Completion{
		Identity:     conductor.Identity{Contract: testContract()},
		Key:          contractor.RequestKey{1},
		Model:        "draft",
		Body:         []byte(`{"model":"draft"}`),
		PromptTokens: 40,
		MaxOutput:    100,
		Deadline:     time.Now().Add(time.Minute),
	}
}

func chunks(from, to contractor.Tokens) []conductor.Chunk {
	var list []conductor.Chunk
	for o := from; o < to; o++ {
		list = append(list, conductor.Chunk{Offset: o, Tokens: 1})
	}
	return list
}

func newFailure(phase dispatcher.Phase, crashed bool) error {
	return &dispatcher.Failure{Phase: phase, Crashed: crashed, Upstream: "upstream-1"}
}

// Guards against a reservation that is settled twice or not at all, and against a refusal that
// claims "not executed" after one of several attempts was sent to an upstream.
func TestCompleteSettlesOnceAndReportsExecution(t *testing.T) {
	exhausted := refuser.New(refuser.BudgetExhausted, "reserve")
	tests := []struct {
		name      string
		fake      fakeDependencies
		reason    refuser.Reason
		execution refuser.Execution
		ok        bool
		settled   []contractor.Tokens
		offsets   []contractor.Tokens
	}{
		{name: "whole response", ok: true, settled: []contractor.Tokens{15},
			fake: fakeDependencies{attempts: []fakeAttempt{{chunks: chunks(0, 5)}}}, offsets: []contractor.Tokens{0}},
		{name: "not reserved", fake: fakeDependencies{reserveErr: exhausted}, reason: refuser.BudgetExhausted, execution: refuser.NotExecuted},
		{name: "dispatch after the deadline", fake: fakeDependencies{dispatchErr: refuser.New(refuser.BudgetUnreachable, "dispatch")},
			reason: refuser.BudgetUnreachable, execution: refuser.NotExecuted, settled: []contractor.Tokens{0}},
		{name: "not sent, then whole response", ok: true, settled: []contractor.Tokens{15}, offsets: []contractor.Tokens{0, 0},
			fake: fakeDependencies{attempts: []fakeAttempt{{startErr: newFailure(dispatcher.NotSent, true)}, {chunks: chunks(0, 5)}}}},
		{name: "broken stream resumes at its offset", ok: true, settled: []contractor.Tokens{15}, offsets: []contractor.Tokens{0, 2},
			fake: fakeDependencies{attempts: []fakeAttempt{{chunks: chunks(0, 2), endErr: newFailure(dispatcher.PartialResponse, false)}, {chunks: chunks(2, 5)}}}},
		{name: "never sent", reason: refuser.UpstreamFailed, execution: refuser.NotExecuted, settled: []contractor.Tokens{0}, offsets: []contractor.Tokens{0, 0, 0},
			fake: fakeDependencies{attempts: slices.Repeat([]fakeAttempt{{startErr: newFailure(dispatcher.NotSent, false)}}, 3)}},
		{name: "sent once, no response", reason: refuser.UpstreamFailed, execution: refuser.PossiblyExecuted, settled: []contractor.Tokens{0}, offsets: []contractor.Tokens{0, 0, 0},
			fake: fakeDependencies{attempts: []fakeAttempt{{startErr: newFailure(dispatcher.NoResponse, false)}, {startErr: newFailure(dispatcher.NotSent, false)}, {startErr: newFailure(dispatcher.NotSent, false)}}}},
		{name: "only delivered tokens are billed", reason: refuser.StreamBroken, execution: refuser.PossiblyExecuted, settled: []contractor.Tokens{12}, offsets: []contractor.Tokens{0, 2, 2},
			fake: fakeDependencies{attempts: []fakeAttempt{{chunks: chunks(0, 2), endErr: newFailure(dispatcher.PartialResponse, false)}, {startErr: newFailure(dispatcher.NotSent, false)}, {startErr: newFailure(dispatcher.NotSent, false)}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := newTestExecutor(&test.fake).Complete(t.Context(), testCompletion(), &fakeSink{})
			require.Equal(t, test.settled, test.fake.settled)
			require.Equal(t, test.offsets, test.fake.offsets)
			if test.ok {
				require.NoError(t, err)
				return
			}
			var refusal *refuser.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.reason, refusal.Reason)
			require.Equal(t, test.execution, refusal.Execution)
		})
	}
}

// Guards against lost or repeated tokens when a broken stream resumes at another attempt.
func TestCompleteDeliversEachTokenOnce(t *testing.T) {
	f := &fakeDependencies{attempts: []fakeAttempt{{chunks: chunks(0, 3), endErr: newFailure(dispatcher.PartialResponse, false)}, {chunks: chunks(3, 6)}}}
	s := &fakeSink{}
	_, err := newTestExecutor(f).Complete(t.Context(), testCompletion(), s)
	require.NoError(t, err)
	require.Equal(t, []contractor.Tokens{0, 1, 2, 3, 4, 5}, s.offsets)
}

// A broken stream must resume at an engine with the software version that began it. An attempt
// that delivered nothing does not determine it.
func TestStreamResumesAtItsSoftwareVersion(t *testing.T) {
	f := &fakeDependencies{software: []string{"v1", "v2", "v2"}, attempts: []fakeAttempt{
		{startErr: newFailure(dispatcher.NotSent, true)},
		{chunks: chunks(0, 3), endErr: newFailure(dispatcher.PartialResponse, false)},
		{chunks: chunks(3, 6)},
	}}
	_, err := newTestExecutor(f).Complete(t.Context(), testCompletion(), &fakeSink{})
	require.NoError(t, err)
	require.Len(t, f.queries, 3)
	require.False(t, f.queries[1].Resume)
	require.True(t, f.queries[2].Resume)
	require.Equal(t, "v2", f.queries[2].Software)
}

// Guards against charging a caller for tokens that it did not receive: the sink fails at the
// first chunk, although the upstream has produced five tokens.
func TestDisconnectedCallerIsBilledForDeliveredTokens(t *testing.T) {
	f := &fakeDependencies{attempts: []fakeAttempt{{chunks: chunks(0, 5)}}}
	_, err := newTestExecutor(f).Complete(t.Context(), testCompletion(), &fakeSink{err: errors.New("closed")})
	var refusal *refuser.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, refuser.Cancelled, refusal.Reason)
	require.Equal(t, []contractor.Tokens{0}, f.settled)
}

// Guards against a caller that sends several bodies with one idempotency key and pays once.
func TestReusedKeyWithOtherBodyIsBilledAgain(t *testing.T) {
	f := &fakeDependencies{attempts: []fakeAttempt{{chunks: chunks(0, 1)}, {chunks: chunks(0, 1)}, {chunks: chunks(0, 1)}}}
	x := newTestExecutor(f)
	for _, body := range []string{"one", "one", "two"} {
		c := testCompletion()
		c.HasIdempotencyKey, c.Body = true, []byte(body)
		_, err := x.Complete(t.Context(), c, &fakeSink{})
		require.NoError(t, err)
	}
	require.Equal(t, f.keys[0], f.keys[1])
	require.NotEqual(t, f.keys[0], f.keys[2])
}

func testCall(method string) *conductor.ServiceCall {
	return &conductor.ServiceCall{
		Identity: conductor.Identity{Contract: testContract()},
		Service:  "desk",
		Method:   method,
		Path:     "/orders",
		Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against a second execution of a call that may not be repeated, after a lost response
// or with the key of a stored one, and against a claim that stays open after a refusal.
func TestCallExecutesNonRepeatableRequestOnce(t *testing.T) {
	tests := []struct {
		name      string
		method    string
		fake      fakeDependencies
		steps     []string
		settled   []contractor.Tokens
		reason    refuser.Reason
		execution refuser.Execution
		ok        bool
	}{
		{name: "answered", method: http.MethodPost, ok: true, settled: []contractor.Tokens{7},
			fake:  fakeDependencies{attempts: []fakeAttempt{{}}},
			steps: []string{"claim", "reserve", "begin", "choose", "send", "finish", "settle", "store response"}},
		{name: "stored response", method: http.MethodPost, ok: true,
			fake:  fakeDependencies{stored: &conductor.Response{Status: http.StatusOK}},
			steps: []string{"claim"}},
		{name: "claim refused", method: http.MethodPost, reason: refuser.ClaimUnavailable,
			fake:  fakeDependencies{claimErr: refuser.New(refuser.ClaimUnavailable, "claim")},
			steps: []string{"claim"}},
		{name: "exhausted budget releases the claim", method: http.MethodPost, reason: refuser.BudgetExhausted,
			fake:  fakeDependencies{reserveErr: refuser.New(refuser.BudgetExhausted, "reserve")},
			steps: []string{"claim", "reserve", "abandon"}},
		{name: "not sent, then sent to another upstream", method: http.MethodPost, ok: true, settled: []contractor.Tokens{7},
			fake:  fakeDependencies{attempts: []fakeAttempt{{startErr: newFailure(dispatcher.NotSent, false)}, {}}},
			steps: []string{"claim", "reserve", "begin", "choose", "send", "finish", "choose", "send", "finish", "settle", "store response"}},
		{name: "call with a lost response is not sent again", method: http.MethodPost, settled: []contractor.Tokens{7}, reason: refuser.OutcomeUnknown, execution: refuser.PossiblyExecuted,
			fake:  fakeDependencies{attempts: []fakeAttempt{{startErr: newFailure(dispatcher.NoResponse, true)}}},
			steps: []string{"claim", "reserve", "begin", "choose", "send", "finish", "settle", "unknown"}},
		{name: "idempotent method is sent again", method: http.MethodGet, ok: true, settled: []contractor.Tokens{7},
			fake:  fakeDependencies{attempts: []fakeAttempt{{startErr: newFailure(dispatcher.NoResponse, true)}, {}}},
			steps: []string{"reserve", "begin", "choose", "send", "finish", "choose", "send", "finish", "settle"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, err := newTestExecutor(&test.fake).Call(t.Context(), testCall(test.method))
			require.Equal(t, test.steps, test.fake.steps)
			require.Equal(t, test.settled, test.fake.settled)
			if test.ok {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.Status)
				return
			}
			var refusal *refuser.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.reason, refusal.Reason)
			require.Equal(t, test.execution, refusal.Execution)
		})
	}
}

// Guards against requests without a bearer key, and with a key that the account's contract no
// longer lists.
func TestAuthenticateRefusesMissingAndUnknownKeys(t *testing.T) {
	x := newTestExecutor(&fakeDependencies{})
	for _, bearer := range []string{"", "unknown"} {
		_, err := x.Authenticate(t.Context(), bearer)
		var refusal *refuser.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, refuser.Unauthorized, refusal.Reason)
	}
}
