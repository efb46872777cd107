package deduplicator_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/refuser"
)

var (
	key    = contractor.NewRequestKey("loft-7", "order-1")
	print1 = deduplicator.Fingerprint{1}
	answer = &conductor.Answer{Status: http.StatusCreated, Body: []byte("net 12")}
)

// ended lists the runs of daemons that are gone.
type ended map[contractor.VM]contractor.Incarnation

func (e ended) Gone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	return incarnation <= e[vm]
}

func daemon(t testing.TB, s *emulator.Store, vm contractor.VM, gone ended) *deduplicator.Deduplicator {
	d, err := deduplicator.New(deduplicator.Config{Store: s, VM: vm, Incarnation: 1, Liveness: gone, MaxAnswer: 100})
	require.NoError(t, err)
	return d
}

func claim(t testing.TB, d *deduplicator.Deduplicator) *deduplicator.Claim {
	result, err := d.Claim(t.Context(), "loft-7", key, print1)
	require.NoError(t, err)
	require.NotNil(t, result.Claim)
	return result.Claim
}

func refused(t testing.TB, d *deduplicator.Deduplicator, reason refuser.Reason, ran refuser.Execution) {
	result, err := d.Claim(t.Context(), "loft-7", key, print1)
	require.Nil(t, result.Claim)
	require.Nil(t, result.Answer)
	var refusal *refuser.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, reason.String(), refusal.Reason.String())
	require.Equal(t, ran, refusal.Execution)
}

func replayed(t testing.TB, d *deduplicator.Deduplicator) *conductor.Answer {
	result, err := d.Claim(t.Context(), "loft-7", key, print1)
	require.NoError(t, err)
	require.NotNil(t, result.Answer)
	require.True(t, result.Answer.Replayed)
	return result.Answer
}

func ExampleDeduplicator() {
	claims, err := deduplicator.New(deduplicator.Config{
		Store:       emulator.NewStore(emulator.StoreConfig{}),
		VM:          "entry-1",
		Incarnation: 1,
	})
	if err != nil {
		panic(err)
	}
	ctx := context.Background()
	for range 2 {
		result, err := claims.Claim(ctx, "loft-7", contractor.NewRequestKey("loft-7", "order-1"), deduplicator.Fingerprint{})
		if err != nil {
			panic(err)
		}
		if result.Answer != nil {
			fmt.Printf("stored: %s\n", result.Answer.Body)
			continue
		}
		fmt.Println("runs")
		if err := claims.Complete(ctx, result.Claim, &conductor.Answer{Status: 201, Body: []byte("net 12")}); err != nil {
			panic(err)
		}
	}
	// Output:
	// runs
	// stored: net 12
}

func TestClaimRunsOnceAtAllDaemons(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
	c := claim(t, a)
	refused(t, a, refuser.ClaimInProgress, refuser.PossiblyExecuted)
	refused(t, b, refuser.ClaimInProgress, refuser.PossiblyExecuted)
	require.NoError(t, a.Complete(t.Context(), c, answer))
	require.Equal(t, answer.Body, replayed(t, a).Body)
	require.Equal(t, answer.Status, replayed(t, b).Status)
	require.ErrorIs(t, a.Complete(t.Context(), c, answer), deduplicator.ErrNotFound)
}

func TestClaimRefusesAReusedKey(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
	claim(t, a)
	for _, d := range []*deduplicator.Deduplicator{a, b} {
		_, err := d.Claim(t.Context(), "loft-7", key, deduplicator.Fingerprint{2})
		var refusal *refuser.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, refuser.KeyReused, refusal.Reason)
	}
}

func TestClaimFreesTheKeyOfACallThatDidNotRun(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
	require.NoError(t, a.Abandon(t.Context(), claim(t, a)))
	require.NoError(t, b.Complete(t.Context(), claim(t, b), answer))
	replayed(t, a)
}

func TestClaimIsUnknownWhenItsDaemonIsGone(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	gone := ended{}
	a, b := daemon(t, s, "a", gone), daemon(t, s, "b", gone)
	c := claim(t, a)
	gone["a"] = 1
	refused(t, b, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
	delete(gone, "a")
	refused(t, b, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
	// The daemon was only paused and has the answer after all.
	require.NoError(t, a.Complete(t.Context(), c, answer))
	replayed(t, b)
}

func TestClaimSurvivesARestartOnTheSameVM(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	claim(t, daemon(t, s, "a", nil))
	again, err := deduplicator.New(deduplicator.Config{Store: s, VM: "a", Incarnation: 2})
	require.NoError(t, err)
	refused(t, again, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
}

func TestClaimWithTheStoreAway(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
	s.SetFaults(emulator.StoreFaults{Outage: true})
	refused(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
	s.SetFaults(emulator.StoreFaults{})
	c := claim(t, a)
	s.SetFaults(emulator.StoreFaults{Outage: true})
	require.ErrorIs(t, a.Complete(t.Context(), c, answer), deduplicator.ErrPending)
	replayed(t, a)
	require.Error(t, a.Flush(t.Context()))
	s.SetFaults(emulator.StoreFaults{})
	refused(t, b, refuser.ClaimInProgress, refuser.PossiblyExecuted)
	require.NoError(t, a.Flush(t.Context()))
	replayed(t, b)
}

func TestClaimWithLostAnswersAtEachStep(t *testing.T) {
	ctx := t.Context()
	end := map[string]func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error{
		"complete": func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error { return d.Complete(ctx, c, answer) },
		"abandon":  func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error { return d.Abandon(ctx, c) },
		"unknown":  func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error { return d.Unknown(ctx, c) },
	}
	tests := []struct {
		fault emulator.StoreFaults
		end   string
		check func(d *deduplicator.Deduplicator)
	}{
		{emulator.StoreFaults{LoseAnswers: 1}, "complete", func(d *deduplicator.Deduplicator) { replayed(t, d) }},
		{emulator.StoreFaults{LoseRequests: 1}, "complete", func(d *deduplicator.Deduplicator) { replayed(t, d) }},
		{emulator.StoreFaults{LoseAnswers: 1}, "abandon", func(d *deduplicator.Deduplicator) { claim(t, d) }},
		{emulator.StoreFaults{LoseRequests: 1}, "abandon", func(d *deduplicator.Deduplicator) { claim(t, d) }},
		{emulator.StoreFaults{LoseAnswers: 1}, "unknown", func(d *deduplicator.Deduplicator) { refused(t, d, refuser.OutcomeUnknown, refuser.PossiblyExecuted) }},
		{emulator.StoreFaults{LoseRequests: 1}, "unknown", func(d *deduplicator.Deduplicator) { refused(t, d, refuser.OutcomeUnknown, refuser.PossiblyExecuted) }},
	}
	for _, tt := range tests {
		s := emulator.NewStore(emulator.StoreConfig{})
		a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
		// The claim's own answer is lost: the call is not run, and another
		// daemon cannot know that before the first one has freed the key.
		s.SetFaults(tt.fault)
		refused(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
		s.SetFaults(emulator.StoreFaults{})
		if tt.fault.LoseAnswers > 0 {
			refused(t, b, refuser.ClaimInProgress, refuser.PossiblyExecuted)
		}
		c := claim(t, a)
		s.SetFaults(tt.fault)
		require.ErrorIs(t, end[tt.end](a, c), deduplicator.ErrPending)
		s.SetFaults(emulator.StoreFaults{})
		require.NoError(t, a.Flush(ctx))
		tt.check(b)
	}
}

func TestClaimIsFreedAfterALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore(emulator.StoreConfig{})
		a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		s.SetFaults(emulator.StoreFaults{LoseAnswers: 1})
		refused(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
		s.SetFaults(emulator.StoreFaults{Outage: true})
		time.Sleep(time.Hour)
		s.SetFaults(emulator.StoreFaults{})
		time.Sleep(11 * time.Second)
		require.NoError(t, b.Complete(t.Context(), claim(t, b), answer))
		replayed(t, a)
		cancel()
		synctest.Wait()
	})
}

func TestClaimsAndAnswersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore(emulator.StoreConfig{})
		a := daemon(t, s, "a", nil)
		require.NoError(t, a.Complete(t.Context(), claim(t, a), answer))
		time.Sleep(24 * time.Hour)
		replayed(t, a)
		time.Sleep(time.Hour + time.Second)
		require.NoError(t, a.Unknown(t.Context(), claim(t, a)))
		time.Sleep(30 * 24 * time.Hour)
		refused(t, a, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
		time.Sleep(time.Hour + time.Second) // at the hour itself the lease's end and the claim race
		claim(t, a)
		require.Equal(t, int64(6), s.Counts().Leases)
	})
}

func TestClaimKeepsOnlyANoteOfALargeAnswer(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a := daemon(t, s, "a", nil)
	large := &conductor.Answer{Status: 201, Header: http.Header{"Location": {"/orders/9"}}, Body: make([]byte, 101)}
	require.NoError(t, a.Complete(t.Context(), claim(t, a), large))
	again := replayed(t, a)
	require.Equal(t, 201, again.Status)
	require.Equal(t, "/orders/9", again.Header.Get("Location"))
	require.Contains(t, string(again.Body), "101 bytes")
}

func TestOperatorsResolveUnknownOutcomes(t *testing.T) {
	ctx := t.Context()
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := daemon(t, s, "a", nil), daemon(t, s, "b", nil)
	ran := deduplicator.Resolution{Operator: "asha", Ran: true}
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, ran), deduplicator.ErrNotFound)
	c := claim(t, a)
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, ran), deduplicator.ErrNotUnknown)
	require.NoError(t, a.Unknown(ctx, c))
	listed, more, err := b.List(ctx, "loft-7", "", 10)
	require.NoError(t, err)
	require.False(t, more)
	require.Equal(t, deduplicator.Unknown, listed[0].State)
	require.Equal(t, key.String(), listed[0].Key)
	other := ran
	other.Claim = "another claim"
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, other), deduplicator.ErrNotUnknown)
	require.NoError(t, b.Resolve(ctx, "loft-7", key, ran))
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, ran), deduplicator.ErrNotUnknown)
	ran.Claim = listed[0].Claim
	require.NoError(t, b.Resolve(ctx, "loft-7", key, ran))
	require.Equal(t, http.StatusOK, replayed(t, a).Status)
}

func TestOperatorFreesAKeyWhileTheDaemonHasTheAnswer(t *testing.T) {
	ctx := t.Context()
	gone := ended{}
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := daemon(t, s, "a", gone), daemon(t, s, "b", gone)
	c := claim(t, a)
	gone["a"] = 1
	require.NoError(t, b.Resolve(ctx, "loft-7", key, deduplicator.Resolution{Operator: "asha"}))
	require.NoError(t, a.Complete(ctx, c, answer))
	require.Equal(t, answer.Body, replayed(t, b).Body)
}

func TestAMalformedClaimDoesNotHoldUpOthers(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a := daemon(t, s, "a", nil)
	var claims []*deduplicator.Claim
	for i := range byte(20) {
		result, err := a.Claim(t.Context(), "loft-7", contractor.RequestKey{i}, print1)
		require.NoError(t, err)
		claims = append(claims, result.Claim)
	}
	malformed := "claim/loft-7/" + claims[7].Key().String()
	_, err := s.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: malformed, Value: []byte("?")}}})
	require.NoError(t, err)
	s.SetFaults(emulator.StoreFaults{Outage: true})
	for _, c := range claims {
		require.ErrorIs(t, a.Complete(t.Context(), c, answer), deduplicator.ErrPending)
	}
	s.SetFaults(emulator.StoreFaults{})
	require.Error(t, a.Flush(t.Context()))
	other := daemon(t, s, "b", nil)
	for i, c := range claims {
		result, err := other.Claim(t.Context(), "loft-7", c.Key(), print1)
		if i == 7 {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.NotNil(t, result.Answer)
	}
}

// hooked calls a function before a read of the store.
type hooked struct {
	*emulator.Store
	beforeGet func()
}

func (h *hooked) Get(ctx context.Context, key string) (persister.Entry, error) {
	if f := h.beforeGet; f != nil {
		h.beforeGet = nil
		f()
	}
	return h.Store.Get(ctx, key)
}

func TestRemovingAnOrphanLeavesARetryAlone(t *testing.T) {
	s := &hooked{Store: emulator.NewStore(emulator.StoreConfig{})}
	a, err := deduplicator.New(deduplicator.Config{Store: s, VM: "a", Incarnation: 1})
	require.NoError(t, err)
	s.SetFaults(emulator.StoreFaults{LoseRequests: 1})
	refused(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
	s.SetFaults(emulator.StoreFaults{})
	var c *deduplicator.Claim
	s.beforeGet = func() { c = claim(t, a) }
	require.NoError(t, a.Flush(t.Context()))
	refused(t, daemon(t, s.Store, "b", nil), refuser.ClaimInProgress, refuser.PossiblyExecuted)
	require.NoError(t, a.Complete(t.Context(), c, answer))
}
