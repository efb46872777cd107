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
	key          = contractor.NewRequestKey("loft-7", "order-1")
	fingerprint1 = deduplicator.Fingerprint{1}
	response     = &conductor.Response{Status: http.StatusCreated, Body: []byte("net 12")}
)

// goneDaemons holds the last incarnation of each VM that is gone.
type goneDaemons map[contractor.VM]contractor.Incarnation

func (e goneDaemons) Gone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	return incarnation <= e[vm]
}

func newDaemon(t testing.TB, s *emulator.Store, vm contractor.VM, gone goneDaemons) *deduplicator.Deduplicator {
	d, err := deduplicator.New(deduplicator.Config{Store: s, VM: vm, Incarnation: 1, Liveness: gone, MaxResponseBody: 100})
	require.NoError(t, err)
	return d
}

func requireClaim(t testing.TB, d *deduplicator.Deduplicator) *deduplicator.Claim {
	result, err := d.Claim(t.Context(), "loft-7", key, fingerprint1)
	require.NoError(t, err)
	require.NotNil(t, result.Claim)
	return result.Claim
}

func requireRefusal(t testing.TB, d *deduplicator.Deduplicator, reason refuser.Reason, ran refuser.Execution) {
	result, err := d.Claim(t.Context(), "loft-7", key, fingerprint1)
	require.Nil(t, result.Claim)
	require.Nil(t, result.Response)
	var refusal *refuser.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, reason.String(), refusal.Reason.String())
	require.Equal(t, ran, refusal.Execution)
}

func requireReplay(t testing.TB, d *deduplicator.Deduplicator) *conductor.Response {
	result, err := d.Claim(t.Context(), "loft-7", key, fingerprint1)
	require.NoError(t, err)
	require.NotNil(t, result.Response)
	require.True(t, result.Response.Replayed)
	return result.Response
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
		if result.Response != nil {
			fmt.Printf("stored: %s\n", result.Response.Body)
			continue
		}
		fmt.Println("runs")
		if err := claims.Complete(ctx, result.Claim, &conductor.Response{Status: 201, Body: []byte("net 12")}); err != nil {
			panic(err)
		}
	}
	// Output:
	// runs
	// stored: net 12
}

// TestCallIsClaimedOnceAcrossDaemons guards against a second execution of a call
// that is retried through the same or another daemon.
func TestCallIsClaimedOnceAcrossDaemons(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
	c := requireClaim(t, a)
	requireRefusal(t, a, refuser.ClaimInProgress, refuser.PossiblyExecuted)
	requireRefusal(t, b, refuser.ClaimInProgress, refuser.PossiblyExecuted)
	require.NoError(t, a.Complete(t.Context(), c, response))
	require.Equal(t, response.Body, requireReplay(t, a).Body)
	require.Equal(t, response.Status, requireReplay(t, b).Status)
	require.ErrorIs(t, a.Complete(t.Context(), c, response), deduplicator.ErrNotFound)
}

// TestClaimRefusesKeyWithOtherFingerprint guards against replaying the response of
// one call to another call that uses the same request key.
func TestClaimRefusesKeyWithOtherFingerprint(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
	requireClaim(t, a)
	for _, d := range []*deduplicator.Deduplicator{a, b} {
		_, err := d.Claim(t.Context(), "loft-7", key, deduplicator.Fingerprint{2})
		var refusal *refuser.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, refuser.KeyReused, refusal.Reason)
	}
}

// TestReleaseFreesKey guards against a key that stays claimed after its call failed
// without being executed, so that retries are refused.
func TestReleaseFreesKey(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
	require.NoError(t, a.Release(t.Context(), requireClaim(t, a)))
	require.NoError(t, b.Complete(t.Context(), requireClaim(t, b), response))
	requireReplay(t, a)
}

// TestClaimIsUnknownWhenItsDaemonIsGone guards against a second execution after the
// daemon of a running call was declared gone, and against the loss of its response
// if it was only paused.
func TestClaimIsUnknownWhenItsDaemonIsGone(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	gone := goneDaemons{}
	a, b := newDaemon(t, s, "a", gone), newDaemon(t, s, "b", gone)
	c := requireClaim(t, a)
	gone["a"] = 1
	requireRefusal(t, b, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
	delete(gone, "a")
	requireRefusal(t, b, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
	// The daemon was only paused and still receives the response.
	require.NoError(t, a.Complete(t.Context(), c, response))
	requireReplay(t, b)
}

// TestClaimIsUnknownAfterRestartOnSameVM guards against a restarted daemon that
// treats a claim of its previous incarnation as its own and executes the call again.
func TestClaimIsUnknownAfterRestartOnSameVM(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	requireClaim(t, newDaemon(t, s, "a", nil))
	again, err := deduplicator.New(deduplicator.Config{Store: s, VM: "a", Incarnation: 2})
	require.NoError(t, err)
	requireRefusal(t, again, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
}

// TestClaimWhileStoreIsUnavailable guards against executing calls without a stored
// claim, and against losing a response that arrives during an outage of the store.
func TestClaimWhileStoreIsUnavailable(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
	s.SetFaults(emulator.StoreFaults{Outage: true})
	requireRefusal(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
	s.SetFaults(emulator.StoreFaults{})
	c := requireClaim(t, a)
	s.SetFaults(emulator.StoreFaults{Outage: true})
	require.ErrorIs(t, a.Complete(t.Context(), c, response), deduplicator.ErrPending)
	requireReplay(t, a)
	require.Error(t, a.Flush(t.Context()))
	s.SetFaults(emulator.StoreFaults{})
	requireRefusal(t, b, refuser.ClaimInProgress, refuser.PossiblyExecuted)
	require.NoError(t, a.Flush(t.Context()))
	requireReplay(t, b)
}

// TestClaimWithLostStoreMessages guards against keys that stay claimed and outcomes
// that are never stored, after a request to the store or its response was lost while
// a call was claimed or ended.
func TestClaimWithLostStoreMessages(t *testing.T) {
	ctx := t.Context()
	end := map[string]func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error{
		"complete": func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error { return d.Complete(ctx, c, response) },
		"abandon":  func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error { return d.Release(ctx, c) },
		"unknown":  func(d *deduplicator.Deduplicator, c *deduplicator.Claim) error { return d.MarkUnknown(ctx, c) },
	}
	tests := []struct {
		fault emulator.StoreFaults
		end   string
		check func(d *deduplicator.Deduplicator)
	}{
		{emulator.StoreFaults{LoseResponses: 1}, "complete", func(d *deduplicator.Deduplicator) { requireReplay(t, d) }},
		{emulator.StoreFaults{LoseRequests: 1}, "complete", func(d *deduplicator.Deduplicator) { requireReplay(t, d) }},
		{emulator.StoreFaults{LoseResponses: 1}, "abandon", func(d *deduplicator.Deduplicator) { requireClaim(t, d) }},
		{emulator.StoreFaults{LoseRequests: 1}, "abandon", func(d *deduplicator.Deduplicator) { requireClaim(t, d) }},
		{emulator.StoreFaults{LoseResponses: 1}, "unknown", func(d *deduplicator.Deduplicator) {
			requireRefusal(t, d, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
		}},
		{emulator.StoreFaults{LoseRequests: 1}, "unknown", func(d *deduplicator.Deduplicator) {
			requireRefusal(t, d, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
		}},
	}
	for _, tt := range tests {
		s := emulator.NewStore(emulator.StoreConfig{})
		a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
		// With a lost response the claim is stored but the call is not executed.
		// Another daemon cannot know this until the first one has freed the key.
		s.SetFaults(tt.fault)
		requireRefusal(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
		s.SetFaults(emulator.StoreFaults{})
		if tt.fault.LoseResponses > 0 {
			requireRefusal(t, b, refuser.ClaimInProgress, refuser.PossiblyExecuted)
		}
		c := requireClaim(t, a)
		s.SetFaults(tt.fault)
		require.ErrorIs(t, end[tt.end](a, c), deduplicator.ErrPending)
		s.SetFaults(emulator.StoreFaults{})
		require.NoError(t, a.Flush(ctx))
		tt.check(b)
	}
}

// TestOrphanedClaimIsRemovedAfterOutage guards against an orphaned claim that is no
// longer looked for after an outage of the store longer than the search time.
func TestOrphanedClaimIsRemovedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore(emulator.StoreConfig{})
		a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		s.SetFaults(emulator.StoreFaults{LoseResponses: 1})
		requireRefusal(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
		s.SetFaults(emulator.StoreFaults{Outage: true})
		time.Sleep(time.Hour)
		s.SetFaults(emulator.StoreFaults{})
		time.Sleep(11 * time.Second)
		require.NoError(t, b.Complete(t.Context(), requireClaim(t, b), response))
		requireReplay(t, a)
		cancel()
		synctest.Wait()
	})
}

// TestClaimsAndResponsesExpire guards against claims that expire before their
// retention time, or never, and against more leases than expected in the store.
func TestClaimsAndResponsesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore(emulator.StoreConfig{})
		a := newDaemon(t, s, "a", nil)
		require.NoError(t, a.Complete(t.Context(), requireClaim(t, a), response))
		time.Sleep(24 * time.Hour)
		requireReplay(t, a)
		time.Sleep(time.Hour + time.Second)
		require.NoError(t, a.MarkUnknown(t.Context(), requireClaim(t, a)))
		time.Sleep(30 * 24 * time.Hour)
		requireRefusal(t, a, refuser.OutcomeUnknown, refuser.PossiblyExecuted)
		time.Sleep(time.Hour + time.Second) // exactly one hour would race with the end of the lease
		requireClaim(t, a)
		require.Equal(t, int64(6), s.Counts().Leases)
	})
}

// TestBodyOfLargeResponseIsNotStored guards against store entries beyond the size
// limit, and against retries that do not learn the status of such a response.
func TestBodyOfLargeResponseIsNotStored(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a := newDaemon(t, s, "a", nil)
	large := &conductor.Response{Status: 201, Header: http.Header{"Location": {"/orders/9"}}, Body: make([]byte, 101)}
	require.NoError(t, a.Complete(t.Context(), requireClaim(t, a), large))
	again := requireReplay(t, a)
	require.Equal(t, 201, again.Status)
	require.Equal(t, "/orders/9", again.Header.Get("Location"))
	require.Contains(t, string(again.Body), "101 bytes")
}

// TestOperatorsResolveUnknownOutcomes guards against decisions about claims that do
// not exist, are not unknown or were claimed again, and against an error when an
// operator repeats a decision whose response was lost.
func TestOperatorsResolveUnknownOutcomes(t *testing.T) {
	ctx := t.Context()
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := newDaemon(t, s, "a", nil), newDaemon(t, s, "b", nil)
	executed := deduplicator.Resolution{Operator: "asha", Executed: true}
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, executed), deduplicator.ErrNotFound)
	c := requireClaim(t, a)
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, executed), deduplicator.ErrNotUnknown)
	require.NoError(t, a.MarkUnknown(ctx, c))
	listed, more, err := b.List(ctx, "loft-7", "", 10)
	require.NoError(t, err)
	require.False(t, more)
	require.Equal(t, deduplicator.Unknown, listed[0].State)
	require.Equal(t, key.String(), listed[0].Key)
	other := executed
	other.ClaimID = "another claim"
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, other), deduplicator.ErrNotUnknown)
	require.NoError(t, b.Resolve(ctx, "loft-7", key, executed))
	require.ErrorIs(t, b.Resolve(ctx, "loft-7", key, executed), deduplicator.ErrNotUnknown)
	executed.ClaimID = listed[0].ClaimID
	require.NoError(t, b.Resolve(ctx, "loft-7", key, executed))
	require.Equal(t, http.StatusOK, requireReplay(t, a).Status)
}

// TestResponseIsStoredAfterOperatorFreedKey guards against another execution when an
// operator frees the key of a paused daemon that receives the response afterwards.
func TestResponseIsStoredAfterOperatorFreedKey(t *testing.T) {
	ctx := t.Context()
	gone := goneDaemons{}
	s := emulator.NewStore(emulator.StoreConfig{})
	a, b := newDaemon(t, s, "a", gone), newDaemon(t, s, "b", gone)
	c := requireClaim(t, a)
	gone["a"] = 1
	require.NoError(t, b.Resolve(ctx, "loft-7", key, deduplicator.Resolution{Operator: "asha"}))
	require.NoError(t, a.Complete(ctx, c, response))
	require.Equal(t, response.Body, requireReplay(t, b).Body)
}

// TestMalformedClaimDoesNotBlockOthers guards against a flush that stops at a claim
// that cannot be decoded and leaves the other outcomes unstored.
func TestMalformedClaimDoesNotBlockOthers(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	a := newDaemon(t, s, "a", nil)
	var claims []*deduplicator.Claim
	for i := range byte(20) {
		result, err := a.Claim(t.Context(), "loft-7", contractor.RequestKey{i}, fingerprint1)
		require.NoError(t, err)
		claims = append(claims, result.Claim)
	}
	malformed := "claim/loft-7/" + claims[7].Key().String()
	_, err := s.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: malformed, Value: []byte("?")}}})
	require.NoError(t, err)
	s.SetFaults(emulator.StoreFaults{Outage: true})
	for _, c := range claims {
		require.ErrorIs(t, a.Complete(t.Context(), c, response), deduplicator.ErrPending)
	}
	s.SetFaults(emulator.StoreFaults{})
	require.Error(t, a.Flush(t.Context()))
	other := newDaemon(t, s, "b", nil)
	for i, c := range claims {
		result, err := other.Claim(t.Context(), "loft-7", c.Key(), fingerprint1)
		if i == 7 {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.NotNil(t, result.Response)
	}
}

// hookedStore calls a function before a read of the store.
type hookedStore struct {
	*emulator.Store
	beforeGet func()
}

func (h *hookedStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	if f := h.beforeGet; f != nil {
		h.beforeGet = nil
		f()
	}
	return h.Store.Get(ctx, key)
}

// TestRemovingOrphanKeepsClaimOfRetry guards against the removal of a live claim: a
// retry claims the key again while Flush reads the orphan from the store.
func TestRemovingOrphanKeepsClaimOfRetry(t *testing.T) {
	s := &hookedStore{Store: emulator.NewStore(emulator.StoreConfig{})}
	a, err := deduplicator.New(deduplicator.Config{Store: s, VM: "a", Incarnation: 1})
	require.NoError(t, err)
	s.SetFaults(emulator.StoreFaults{LoseRequests: 1})
	requireRefusal(t, a, refuser.ClaimUnavailable, refuser.NotExecuted)
	s.SetFaults(emulator.StoreFaults{})
	var c *deduplicator.Claim
	s.beforeGet = func() { c = requireClaim(t, a) }
	require.NoError(t, a.Flush(t.Context()))
	requireRefusal(t, newDaemon(t, s.Store, "b", nil), refuser.ClaimInProgress, refuser.PossiblyExecuted)
	require.NoError(t, a.Complete(t.Context(), c, response))
}
