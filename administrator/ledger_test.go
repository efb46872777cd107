package administrator_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/administrator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/watcher"
)

// Guards against a top-up that is credited twice, because operators send the same ID
// concurrently. The same ID with another amount is an error.
func TestTopUpIsCreditedOncePerID(t *testing.T) {
	f := newFixture(t)
	_, err := f.CreateContract(t.Context(), newContract())
	require.NoError(t, err)
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			_, err := f.client("editor-key").TopUpBudget(t.Context(), "loft-7", "quotes", administrator.TopUpRequest{ID: "invoice-9", Tokens: 10})
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	shown, err := f.Contract(t.Context(), "loft-7")
	require.NoError(t, err)
	require.Equal(t, contractor.Tokens(1010), shown.Balances[0].Prepaid)
	_, err = f.TopUpBudget(t.Context(), "loft-7", "quotes", administrator.TopUpRequest{ID: "invoice-9", Tokens: 11})
	require.Equal(t, http.StatusUnprocessableEntity, problemOf(t, err).Status)
}

// Guards against a retry that releases the amount again. The released tokens could then be
// spent although the amount is still unaccounted.
func TestReleaseIsAppliedOncePerIdempotencyKey(t *testing.T) {
	f := newFixture(t)
	ledger := biller.Ledger{Account: "loft-7", Budgets: []biller.Balance{{Name: "quotes", Prepaid: 1000, Unaccounted: 100}}}
	value, err := biller.EncodeLedger(&ledger)
	require.NoError(t, err)
	_, err = f.store.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: biller.LedgerKey("loft-7"), Value: value}}})
	require.NoError(t, err)
	for range 3 {
		status, _ := f.send("POST", "/v1/contracts/loft-7/budgets/quotes/release", `{"tokens":30}`, "Idempotency-Key", "release-1")
		require.Equal(t, http.StatusOK, status)
	}
	released, err := f.ReleaseUnaccounted(t.Context(), "loft-7", "quotes", administrator.ReleaseRequest{Tokens: 70})
	require.NoError(t, err)
	require.Zero(t, released.Balance.Unaccounted)
	require.Equal(t, contractor.Tokens(1000), released.Balance.Free)
}

// A bill contains only the lines of the period and marks unconfirmed ones. Its CSV has a
// fixed format.
func TestBillIsExportedForAPeriod(t *testing.T) {
	f := newFixture(t)
	at := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	page := biller.Page{Account: "loft-7", Number: 1, Lines: []biller.Line{
		{Key: contractor.RequestKey{1}, Budget: "quotes", Tokens: 40, At: at, Zone: "z1", Entry: "vm-1"},
		{Key: contractor.RequestKey{2}, Budget: "quotes", Tokens: 2, At: at.AddDate(0, 1, 0), Zone: "z1", Entry: "vm-1", Unconfirmed: true},
	}}
	value, err := biller.EncodePage(&page)
	require.NoError(t, err)
	_, err = f.store.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: biller.PageKey("loft-7", 1), Value: value}}})
	require.NoError(t, err)
	bill, err := f.Bill(t.Context(), "loft-7", time.Time{}, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))
	require.NoError(t, err)
	require.Equal(t, contractor.Tokens(42), bill.Tokens)
	require.Equal(t, "unconfirmed", bill.Lines[1].State)
	raw, err := f.BillCSV(t.Context(), "loft-7", at, at.AddDate(0, 0, 1))
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	require.Len(t, lines, 2)
	require.Equal(t, "01000000000000000000000000000000,quotes,40,2026-03-01T12:00:00Z,z1,vm-1,confirmed,0,0", lines[1])
}

// An upstream must be announced as leaving before it is removed. Guards against removal
// of an upstream that still gets requests, and against changes of an outdated revision.
func TestUpstreamJoinsLeavesAndIsRemoved(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	u := &contractor.Upstream{Name: "e1", Kind: contractor.KindEngine, URL: "http://127.0.0.1:9000", Zone: "z1", Models: []string{"m"}}
	joined, err := f.JoinUpstream(ctx, u)
	require.NoError(t, err)
	_, err = f.JoinUpstream(ctx, u)
	require.Equal(t, joined.Revision, problemOf(t, err).Upstream.Revision)
	_, err = f.RemoveUpstream(ctx, "e1", 0)
	require.Equal(t, "not_leaving", problemOf(t, err).Type)
	left, err := f.LeaveUpstream(ctx, "e1", joined.Revision)
	require.NoError(t, err)
	require.True(t, left.Upstream.Leaving)
	_, err = f.AmendUpstream(ctx, u, joined.Revision)
	require.Equal(t, http.StatusPreconditionFailed, problemOf(t, err).Status)
	page, err := f.Upstreams(ctx, "", 0)
	require.NoError(t, err)
	require.Len(t, page.Upstreams, 1)
	_, err = f.RemoveUpstream(ctx, "e1", left.Revision)
	require.NoError(t, err)
	_, err = f.Upstream(ctx, "e1")
	require.Equal(t, http.StatusNotFound, problemOf(t, err).Status)
	history, err := f.UpstreamHistory(ctx, "e1", 10)
	require.NoError(t, err)
	require.Len(t, history.Entries, 3)
}

// A retry of a resolution succeeds, a resolution of a different claim is refused. Otherwise
// an operator could decide about a later claim on the same key by mistake. Retries of the
// call then get the response from the resolution.
func TestClaimsAreListedAndResolved(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	key := contractor.NewRequestKey("loft-7", "order-1")
	result, err := f.claims.Claim(ctx, "loft-7", key, deduplicator.Fingerprint{})
	require.NoError(t, err)
	require.NoError(t, f.claims.MarkUnknown(ctx, result.Claim))
	page, err := f.Claims(ctx, "", "unknown", "", 10)
	require.NoError(t, err)
	require.Equal(t, key.String(), page.Claims[0].Key)
	resolution := administrator.Resolution{Claim: page.Claims[0].ClaimID, Executed: true, Status: 201, ContentType: "text/plain", Body: "order 9"}
	for range 2 {
		_, err = f.ResolveClaim(ctx, "loft-7", key.String(), resolution)
		require.NoError(t, err)
	}
	resolution.Claim = ""
	_, err = f.ResolveClaim(ctx, "loft-7", key.String(), resolution)
	require.NoError(t, err)
	_, err = f.Claim(ctx, "loft-8", key.String())
	require.Equal(t, http.StatusNotFound, problemOf(t, err).Status)
	resolution.Claim = "another"
	_, err = f.ResolveClaim(ctx, "loft-7", key.String(), resolution)
	require.Equal(t, "not_unknown", problemOf(t, err).Type)
	result, err = f.claims.Claim(ctx, "loft-7", key, deduplicator.Fingerprint{})
	require.NoError(t, err)
	require.Equal(t, "order 9", string(result.Response.Body))
}

// A daemon that does not respond must not count as one that has applied the change.
func TestChangeStatusListsDaemonsThatAreBehind(t *testing.T) {
	f := newFixture(t)
	newDaemonRevision := func(vm contractor.VM, reached bool, contracts, upstreams contractor.Revision) watcher.DaemonRevision {
		return watcher.DaemonRevision{Peer: messenger.Peer{VM: vm}, Reached: reached, Applied: watcher.Revisions{contracts, upstreams}}
	}
	f.watcher.daemons = []watcher.DaemonRevision{newDaemonRevision("a", true, 9, 5), newDaemonRevision("b", true, 7, 9), newDaemonRevision("c", false, 0, 0)}
	tests := []struct {
		section  string
		revision contractor.Revision
		want     string
	}{
		{"contract", 8, "in force on 1 of 3 daemons; waiting for b (at revision 7), c (no answer)"},
		{"contract", 7, "in force on 2 of 3 daemons; waiting for c (no answer)"},
		{"upstream", 9, "in force on 1 of 3 daemons; waiting for a (at revision 5), c (no answer)"},
	}
	for _, tt := range tests {
		s, err := f.ChangeStatus(t.Context(), tt.section, tt.revision)
		require.NoError(t, err)
		require.Equal(t, tt.want, s.Text)
	}
	fleet, err := f.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, 2, fleet.Reached)
}

// Guards against the release of an amount that a zone may still charge with a transfer it
// has not applied yet. An operator can force the release if the zone will never return.
func TestReleaseIsRefusedWhileAZoneIsBehind(t *testing.T) {
	f := newFixture(t)
	ledger := biller.Ledger{
		Account:  "loft-7",
		Budgets:  []biller.Balance{{Name: "quotes", Prepaid: 1000, Unaccounted: 100}},
		Sections: []biller.Section{{Zone: "z1", VM: "vm-1", Incarnation: 1, Epoch: 1, Behind: true}},
	}
	value, err := biller.EncodeLedger(&ledger)
	require.NoError(t, err)
	_, err = f.store.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: biller.LedgerKey("loft-7"), Value: value}}})
	require.NoError(t, err)
	_, err = f.ReleaseUnaccounted(t.Context(), "loft-7", "quotes", administrator.ReleaseRequest{Tokens: 70})
	require.Equal(t, http.StatusConflict, problemOf(t, err).Status)
	released, err := f.ReleaseUnaccounted(t.Context(), "loft-7", "quotes", administrator.ReleaseRequest{Tokens: 70, Force: true})
	require.NoError(t, err)
	require.Equal(t, contractor.Tokens(30), released.Balance.Unaccounted)
}
