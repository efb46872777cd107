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

// fake records the steps of one request and answers as the test wants.
type fake struct {
	steps   []string
	settled []contractor.Tokens

	reserveErr, dispatchErr, claimErr error
	stored                            *conductor.Answer
	// attempts are the outcomes of the attempts in order.
	attempts []attempt
	keys     []contractor.RequestKey
	offsets  []contractor.Tokens
}

// attempt is the outcome of one attempt at an upstream.
type attempt struct {
	chunks []conductor.Chunk
	// startErr fails the call before its first chunk, endErr after the last one.
	startErr, endErr error
}

func (f *fake) step(name string) { f.steps = append(f.steps, name) }

func (f *fake) Reserve(_ context.Context, r reserver.Request) (reserver.Reservation, error) {
	f.step("reserve")
	f.keys = append(f.keys, r.Key)
	return reserver.Reservation{Key: r.Key, Amount: r.Want}, f.reserveErr
}

func (f *fake) BeginDispatch(reserver.Reservation) error {
	f.step("begin")
	return f.dispatchErr
}

func (f *fake) Settle(_ reserver.Reservation, used contractor.Tokens) {
	f.step("settle")
	f.settled = append(f.settled, used)
}

func (f *fake) AccountOf(context.Context, contractor.KeyHash) (contractor.Account, error) {
	return "loft", nil
}

func (f *fake) Contract(context.Context, contractor.Account) (*contractor.Contract, contractor.Revision, error) {
	return testContract(), 3, nil
}

func (f *fake) Upstreams() []contractor.Upstream {
	return []contractor.Upstream{{Name: "desk-1", Kind: contractor.KindService, Service: "desk", Price: 7}}
}

func (f *fake) Choose(time.Time, router.Query) (router.Choice, error) {
	f.step("choose")
	return router.Choice{Upstream: contractor.Upstream{Name: "upstream-1"}}, nil
}

func (f *fake) Finish(time.Time, string, router.Query, router.Outcome, time.Duration) {
	f.step("finish")
}

func (f *fake) next() attempt {
	f.step("send")
	a := f.attempts[0]
	f.attempts = f.attempts[1:]
	return a
}

func (f *fake) Engine(_ context.Context, call dispatcher.EngineCall) (dispatcher.Stream, error) {
	a := f.next()
	f.offsets = append(f.offsets, call.Offset)
	if a.startErr != nil {
		return nil, a.startErr
	}
	return &fakeStream{attempt: a}, nil
}

func (f *fake) Service(context.Context, contractor.Upstream, *conductor.ServiceCall, int) (*conductor.Answer, error) {
	a := f.next()
	return &conductor.Answer{Status: http.StatusOK}, a.startErr
}

type fakeStream struct{ attempt attempt }

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

func (f *fake) Claim(context.Context, contractor.Account, contractor.RequestKey, [16]byte) (deduplicator.Result, error) {
	f.step("claim")
	return deduplicator.Result{Claim: &deduplicator.Claim{}, Response: f.stored}, f.claimErr
}

func (f *fake) Complete(context.Context, *deduplicator.Claim, *conductor.Answer) error {
	f.step("store answer")
	return nil
}

func (f *fake) Release(context.Context, *deduplicator.Claim) error {
	f.step("abandon")
	return nil
}

func (f *fake) MarkUnknown(context.Context, *deduplicator.Claim) error {
	f.step("unknown")
	return nil
}

func (f *fake) Permit(context.Context, quarantiner.Digest) (*quarantiner.Permit, error) {
	return nil, refuser.New(refuser.Quarantined, "permit")
}

func (f *fake) Report(context.Context, quarantiner.Digest) error { return nil }

func testContract() *contractor.Contract {
	return &contractor.Contract{
		Account: "loft",
		Budgets: []contractor.Budget{{Name: "all", Models: []string{"draft"}, Services: []string{"desk"}}},
	}
}

func newTestExecutor(f *fake) *Executor {
	retries := retrier.New(retrier.Config{Attempts: 3, BaseDelay: time.Microsecond})
	for range 100 {
		retries.RecordFirstAttempt("loft", "draft")
		retries.RecordFirstAttempt("loft", "desk")
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

// sink collects the offsets of chunks.
type sink struct {
	offsets []contractor.Tokens
	err     error
}

func (s *sink) Chunk(c conductor.Chunk) error {
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

func failure(phase dispatcher.Phase, crashed bool) error {
	return &dispatcher.Failure{Phase: phase, Crashed: crashed, Upstream: "upstream-1"}
}

func TestCompleteSettlesOnceAndTellsTheTruth(t *testing.T) {
	lost := refuser.New(refuser.BudgetExhausted, "reserve")
	tests := []struct {
		name    string
		fake    fake
		reason  refuser.Reason
		ran     refuser.Execution
		ok      bool
		settled []contractor.Tokens
		offsets []contractor.Tokens
	}{
		{name: "whole answer", ok: true, settled: []contractor.Tokens{15},
			fake: fake{attempts: []attempt{{chunks: chunks(0, 5)}}}, offsets: []contractor.Tokens{0}},
		{name: "not reserved", fake: fake{reserveErr: lost}, reason: refuser.BudgetExhausted, ran: refuser.NotExecuted},
		{name: "dispatch too late", fake: fake{dispatchErr: refuser.New(refuser.BudgetUnreachable, "dispatch")},
			reason: refuser.BudgetUnreachable, ran: refuser.NotExecuted, settled: []contractor.Tokens{0}},
		{name: "not sent, then whole", ok: true, settled: []contractor.Tokens{15}, offsets: []contractor.Tokens{0, 0},
			fake: fake{attempts: []attempt{{startErr: failure(dispatcher.NotSent, true)}, {chunks: chunks(0, 5)}}}},
		{name: "broken stream is resumed at its offset", ok: true, settled: []contractor.Tokens{15}, offsets: []contractor.Tokens{0, 2},
			fake: fake{attempts: []attempt{{chunks: chunks(0, 2), endErr: failure(dispatcher.Partial, false)}, {chunks: chunks(2, 5)}}}},
		{name: "never sent", reason: refuser.UpstreamFailed, ran: refuser.NotExecuted, settled: []contractor.Tokens{0}, offsets: []contractor.Tokens{0, 0, 0},
			fake: fake{attempts: slices.Repeat([]attempt{{startErr: failure(dispatcher.NotSent, false)}}, 3)}},
		{name: "sent once, no answer", reason: refuser.UpstreamFailed, ran: refuser.PossiblyExecuted, settled: []contractor.Tokens{0}, offsets: []contractor.Tokens{0, 0, 0},
			fake: fake{attempts: []attempt{{startErr: failure(dispatcher.NoAnswer, false)}, {startErr: failure(dispatcher.NotSent, false)}, {startErr: failure(dispatcher.NotSent, false)}}}},
		{name: "a part is billed as a part", reason: refuser.StreamBroken, ran: refuser.PossiblyExecuted, settled: []contractor.Tokens{12}, offsets: []contractor.Tokens{0, 2, 2},
			fake: fake{attempts: []attempt{{chunks: chunks(0, 2), endErr: failure(dispatcher.Partial, false)}, {startErr: failure(dispatcher.NotSent, false)}, {startErr: failure(dispatcher.NotSent, false)}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := newTestExecutor(&test.fake).Complete(t.Context(), testCompletion(), &sink{})
			require.Equal(t, test.settled, test.fake.settled)
			require.Equal(t, test.offsets, test.fake.offsets)
			if test.ok {
				require.NoError(t, err)
				return
			}
			var refusal *refuser.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.reason, refusal.Reason)
			require.Equal(t, test.ran, refusal.Execution)
		})
	}
}

func TestCompletePassesEachTokenOnce(t *testing.T) {
	f := &fake{attempts: []attempt{{chunks: chunks(0, 3), endErr: failure(dispatcher.Partial, false)}, {chunks: chunks(3, 6)}}}
	s := &sink{}
	_, err := newTestExecutor(f).Complete(t.Context(), testCompletion(), s)
	require.NoError(t, err)
	require.Equal(t, []contractor.Tokens{0, 1, 2, 3, 4, 5}, s.offsets)
}

func TestCallerThatGoesAwayIsBilledForWhatItGot(t *testing.T) {
	f := &fake{attempts: []attempt{{chunks: chunks(0, 5)}}}
	_, err := newTestExecutor(f).Complete(t.Context(), testCompletion(), &sink{err: errors.New("closed")})
	var refusal *refuser.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, refuser.Cancelled, refusal.Reason)
	require.Equal(t, []contractor.Tokens{0}, f.settled)
}

func TestKeySentAgainWithAnotherBodyIsBilledAgain(t *testing.T) {
	f := &fake{attempts: []attempt{{chunks: chunks(0, 1)}, {chunks: chunks(0, 1)}, {chunks: chunks(0, 1)}}}
	x := newTestExecutor(f)
	for _, body := range []string{"one", "one", "two"} {
		c := testCompletion()
		c.KeyGiven, c.Body = true, []byte(body)
		_, err := x.Complete(t.Context(), c, &sink{})
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

func TestCallThatMayNotBeRepeated(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		fake    fake
		steps   []string
		settled []contractor.Tokens
		reason  refuser.Reason
		ran     refuser.Execution
		ok      bool
	}{
		{name: "answered", method: http.MethodPost, ok: true, settled: []contractor.Tokens{7},
			fake:  fake{attempts: []attempt{{}}},
			steps: []string{"claim", "reserve", "begin", "choose", "send", "finish", "settle", "store answer"}},
		{name: "stored answer", method: http.MethodPost, ok: true,
			fake:  fake{stored: &conductor.Answer{Status: http.StatusOK}},
			steps: []string{"claim"}},
		{name: "claim refused", method: http.MethodPost, reason: refuser.ClaimUnavailable,
			fake:  fake{claimErr: refuser.New(refuser.ClaimUnavailable, "claim")},
			steps: []string{"claim"}},
		{name: "no budget frees the key", method: http.MethodPost, reason: refuser.BudgetExhausted,
			fake:  fake{reserveErr: refuser.New(refuser.BudgetExhausted, "reserve")},
			steps: []string{"claim", "reserve", "abandon"}},
		{name: "not sent runs elsewhere", method: http.MethodPost, ok: true, settled: []contractor.Tokens{7},
			fake:  fake{attempts: []attempt{{startErr: failure(dispatcher.NotSent, false)}, {}}},
			steps: []string{"claim", "reserve", "begin", "choose", "send", "finish", "choose", "send", "finish", "settle", "store answer"}},
		{name: "lost answer is never sent again", method: http.MethodPost, settled: []contractor.Tokens{7}, reason: refuser.OutcomeUnknown, ran: refuser.PossiblyExecuted,
			fake:  fake{attempts: []attempt{{startErr: failure(dispatcher.NoAnswer, true)}}},
			steps: []string{"claim", "reserve", "begin", "choose", "send", "finish", "settle", "unknown"}},
		{name: "idempotent method is sent again", method: http.MethodGet, ok: true, settled: []contractor.Tokens{7},
			fake:  fake{attempts: []attempt{{startErr: failure(dispatcher.NoAnswer, true)}, {}}},
			steps: []string{"reserve", "begin", "choose", "send", "finish", "choose", "send", "finish", "settle"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, err := newTestExecutor(&test.fake).Call(t.Context(), testCall(test.method))
			require.Equal(t, test.steps, test.fake.steps)
			require.Equal(t, test.settled, test.fake.settled)
			if test.ok {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, answer.Status)
				return
			}
			var refusal *refuser.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.reason, refusal.Reason)
			require.Equal(t, test.ran, refusal.Execution)
		})
	}
}

func TestAuthenticate(t *testing.T) {
	x := newTestExecutor(&fake{})
	for _, bearer := range []string{"", "unknown"} {
		_, err := x.Authenticate(t.Context(), bearer)
		var refusal *refuser.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, refuser.Unauthorized, refusal.Reason)
	}
}
