package administrator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/administrator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

// The index of keys, the ledger and the history follow each change of a contract. A key
// that is left in the index after its removal would be accepted, and a retired contract
// could be amended or created again.
func TestContractIsCreatedAmendedAndRetired(t *testing.T) {
	f := newFixture(t)
	ctx := t.Context()
	created, err := f.CreateContract(ctx, newContract("a", "b"))
	require.NoError(t, err)
	require.Equal(t, int64(created.Revision), f.watcher.invalidated.Load())
	require.Equal(t, "loft-7", f.accountOf("a"))

	amended := newContract("b", "c")
	amended.Weight = 5
	amended.Budgets = append(amended.Budgets, contractor.Budget{Name: "orders", Services: []string{"order-desk"}, Prepaid: 50})
	second, err := f.AmendContract(ctx, amended, created.Revision)
	require.NoError(t, err)
	require.Empty(t, f.accountOf("a"))
	require.Equal(t, "loft-7", f.accountOf("c"))

	shown, err := f.Contract(ctx, "loft-7")
	require.NoError(t, err)
	require.Equal(t, second.Revision, shown.Revision)
	require.Equal(t, *amended, shown.Contract)
	require.Equal(t, []administrator.Balance{
		{Budget: "orders", Prepaid: 50, Free: 50},
		{Budget: "quotes", Prepaid: 1000, Free: 1000},
	}, shown.Balances)

	_, err = f.RetireContract(ctx, "loft-7", second.Revision)
	require.NoError(t, err)
	_, err = f.AmendContract(ctx, amended, f.store.Peek("contract/loft-7").Revision)
	require.Equal(t, "retired", problemOf(t, err).Type)
	_, err = f.CreateContract(ctx, newContract())
	require.True(t, problemOf(t, err).Contract.Contract.Retired)

	history, err := f.ContractHistory(ctx, "loft-7", 10)
	require.NoError(t, err)
	var actions []string
	for _, e := range history.Entries {
		require.Equal(t, "alba", e.Operator)
		actions = append(actions, e.Action+": "+e.Detail)
	}
	require.Equal(t, []string{"retire: retired", "amend: keys, budgets, weight", "create: "}, actions)
}

// Guards against pages that skip or repeat contracts, or a list that does not end.
func TestContractsAreListedInPages(t *testing.T) {
	f := newFixture(t)
	for i := range 5 {
		c := newContract()
		c.Account = contractor.Account(fmt.Sprint("loft-", i))
		_, err := f.CreateContract(t.Context(), c)
		require.NoError(t, err)
	}
	var all []contractor.Account
	after := ""
	for range 3 {
		page, err := f.client("viewer-key").Contracts(t.Context(), after, 2)
		require.NoError(t, err)
		for _, c := range page.Contracts {
			all = append(all, c.Contract.Account)
		}
		after = page.Next
	}
	require.Empty(t, after)
	require.Equal(t, []contractor.Account{"loft-0", "loft-1", "loft-2", "loft-3", "loft-4"}, all)
}

// Each kind of invalid request gets its own problem, which names the invalid field.
// Nothing is written to the store before the whole request has been checked.
func TestInvalidRequestsAreRefusedWithoutAChange(t *testing.T) {
	f := newFixture(t)
	created, err := f.CreateContract(t.Context(), newContract("a"))
	require.NoError(t, err)
	before := f.store.Revision()
	same := fmt.Sprintf(`{"keys":[{"hash":%q},{"hash":%q}],"budgets":[{"name":"q","models":["m"]}]}`, contractor.HashKey("x"), strings.ToUpper(string(contractor.HashKey("x"))))
	taken := fmt.Sprintf(`{"account":"loft-8","keys":[{"hash":%q}],"budgets":[{"name":"q","models":["m"]}]}`, contractor.HashKey("a"))
	match := fmt.Sprintf(`"%d"`, created.Revision)
	tests := []struct {
		method, path, body string
		header             []string
		status             int
		kind               string
		field              string
	}{
		{"POST", "/v1/contracts", `{"account":"Loft 7","budgets":[]}`, nil, 400, "invalid", "account"},
		{"POST", "/v1/contracts", `{"account":"a","weigth":1}`, nil, 400, "bad_request", ""},
		{"POST", "/v1/contracts", `{"account":"a","weight":"1"}`, nil, 400, "invalid", "weight"},
		{"POST", "/v1/contracts", `{`, nil, 400, "bad_request", ""},
		{"POST", "/v1/contracts", taken, nil, 409, "key_taken", ""},
		{"POST", "/v1/contracts", taken, []string{"Idempotency-Key", "a/b"}, 400, "invalid", "Idempotency-Key"},
		{"POST", "/v1/contracts", strings.Repeat(" ", 3<<20), nil, 413, "bad_request", ""},
		{"PUT", "/v1/contracts/loft-7", same, []string{"If-Match", match}, 400, "invalid", "keys[1].hash"},
		{"PUT", "/v1/contracts/loft-7", taken, []string{"If-Match", match}, 400, "invalid", "account"},
		{"PUT", "/v1/contracts/loft-9", strings.ReplaceAll(taken, "loft-8", "loft-9"), []string{"If-Match", match}, 404, "not_found", ""},
		{"DELETE", "/v1/contracts/loft-7", "", nil, 428, "revision_required", ""},
		{"DELETE", "/v1/contracts/loft-7", "", []string{"If-Match", "x"}, 400, "invalid", "If-Match"},
		{"DELETE", "/v1/contracts/loft-7", "", []string{"If-Match", `"1"`}, 412, "changed", ""},
		{"GET", "/v1/contracts?limit=0", "", nil, 400, "invalid", "limit"},
		{"GET", "/v1/contracts/loft-8", "", nil, 404, "not_found", ""},
		{"GET", "/v1/nothing", "", nil, 404, "not_found", ""},
		{"GET", "/v1/contracts/loft-7/bills?from=today", "", nil, 400, "invalid", "from"},
		{"GET", "/v1/changes/key/4", "", nil, 400, "invalid", "section"},
		{"POST", "/v1/contracts/loft-7/budgets/quotes/topups", `{"tokens":-1}`, nil, 400, "invalid", "tokens"},
		{"POST", "/v1/contracts/loft-7/budgets/none/topups", `{"tokens":1}`, nil, 404, "not_found", ""},
		{"POST", "/v1/contracts/loft-7/budgets/quotes/release", `{"tokens":1}`, nil, 422, "not_covered", ""},
		{"POST", "/v1/upstreams", `{"name":"e1","kind":"motor"}`, nil, 400, "bad_request", ""},
		{"POST", "/v1/upstreams", `{"name":"e1","kind":"engine","url":"http://host"}`, nil, 400, "invalid", "zone"},
		{"POST", "/v1/upstreams/e1/leave", "", nil, 404, "not_found", ""},
		{"POST", "/v1/claims/loft-7/12/resolution", `{"ran":true}`, nil, 400, "invalid", "key"},
		{"GET", "/v1/status", "", []string{"Authorization", "Bearer wrong"}, 401, "unauthorized", ""},
		{"DELETE", "/v1/contracts/loft-7", "", []string{"Authorization", "Bearer viewer-key"}, 403, "forbidden", ""},
	}
	for _, tt := range tests {
		status, p := f.send(tt.method, tt.path, tt.body, tt.header...)
		require.Equal(t, tt.status, status, "%s %s: %s", tt.method, tt.path, p.Detail)
		require.Equal(t, tt.kind, p.Type, "%s %s: %s", tt.method, tt.path, p.Detail)
		require.Equal(t, administrator.NotChanged, p.Outcome)
		if tt.field != "" {
			require.Equal(t, tt.field, p.Fields[0].Field)
		}
	}
	require.Equal(t, before, f.store.Revision())
}

// Guards against lost updates: operators who amend the same revision of a contract
// concurrently must not overwrite each other. One is accepted, the others get a conflict.
func TestConcurrentAmendmentsAcceptOne(t *testing.T) {
	f := newFixture(t)
	created, err := f.CreateContract(t.Context(), newContract("a"))
	require.NoError(t, err)
	var won atomic.Int64
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			c := newContract("a")
			c.Weight = i + 1
			state, err := f.client("editor-key").AmendContract(t.Context(), c, created.Revision)
			if err == nil {
				won.Add(int64(state.Contract.Weight))
				return
			}
			p := problemOf(t, err)
			if p.Status != http.StatusPreconditionFailed || p.Contract.Revision <= created.Revision {
				t.Errorf("unexpected problem %v", p)
			}
		})
	}
	group.Wait()
	shown, err := f.Contract(t.Context(), "loft-7")
	require.NoError(t, err)
	require.Equal(t, int64(shown.Contract.Weight), won.Load())
}

// If the store is unavailable, nothing was changed and the problem says so. If the store
// does not respond to a write, the write may still take effect, so the outcome must be
// reported as unknown.
func TestUnavailableStoreReportsTheOutcome(t *testing.T) {
	f := newFixture(t)
	body := `{"account":"loft-7","budgets":[{"name":"q","models":["m"]}]}`
	for _, fault := range []emulator.StoreFaults{{Outage: true}, {LoseRequests: 1}} {
		f.store.SetFaults(fault)
		status, p := f.send("POST", "/v1/contracts", body)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, fault.Outage, p.Outcome == administrator.NotChanged)
		require.Empty(t, f.store.Keys("contract/"))
	}
}

// Guards against a change that is made twice: the write takes effect, its response is
// lost, and the operator retries with the operation id of the problem. The same id with a
// different request is refused.
func TestRetryWithOperationIDAfterLostResponse(t *testing.T) {
	f := newFixture(t)
	body := `{"account":"loft-7","budgets":[{"name":"q","models":["m"]}]}`
	f.store.SetFaults(emulator.StoreFaults{LoseResponses: 1})
	status, p := f.send("POST", "/v1/contracts", body)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, administrator.OutcomeUnknown, p.Outcome)
	f.store.SetFaults(emulator.StoreFaults{})
	before := f.store.Revision()
	for range 2 {
		status, _ = f.send("POST", "/v1/contracts", body, "Idempotency-Key", p.Operation)
		require.Equal(t, http.StatusCreated, status)
	}
	require.Equal(t, before, f.store.Revision())
	status, p = f.send("POST", "/v1/contracts", strings.Replace(body, "q", "r", 1), "Idempotency-Key", p.Operation)
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Equal(t, "idempotency_key_reused", p.Type)
}

// Guards against a change that is made twice because the retry goes to another daemon,
// which has no memory of the first request. Concurrent requests with the same operation
// id at two daemons make one change too.
func TestRetryAtAnotherDaemonIsRecognised(t *testing.T) {
	f := newFixture(t)
	other := f.secondDaemon()
	body := `{"account":"loft-7","budgets":[{"name":"q","models":["m"]}]}`
	f.store.SetFaults(emulator.StoreFaults{LoseResponses: 1})
	_, p := f.send("POST", "/v1/contracts", body, "Idempotency-Key", "op-1")
	require.Equal(t, administrator.OutcomeUnknown, p.Outcome)
	f.store.SetFaults(emulator.StoreFaults{})
	before := f.store.Revision()
	status, _ := other.send("POST", "/v1/contracts", body, "Idempotency-Key", "op-1")
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, before, f.store.Revision())
	// Concurrent requests for the same operation at both daemons make one change.
	var group sync.WaitGroup
	match := fmt.Sprint(f.store.Peek("contract/loft-7").Revision)
	for _, target := range []*fixture{f, other, f, other} {
		group.Go(func() {
			status, p := target.send("PUT", "/v1/contracts/loft-7", body, "If-Match", match, "Idempotency-Key", "op-2")
			if status != http.StatusOK {
				t.Errorf("status %d: %v", status, p)
			}
		})
	}
	group.Wait()
	require.Equal(t, before+1, f.store.Revision())
}

// With random loss of requests to the store and of its responses, retries of the client
// and of the administrator must not apply a change or a top-up twice, nor lose one.
func TestLostMessagesNeverRepeatAChange(t *testing.T) {
	f := newFixture(t)
	state, err := f.CreateContract(t.Context(), newContract("a"))
	require.NoError(t, err)
	f.store.SetFaults(emulator.StoreFaults{LoseResponses: 0.3, LoseRequests: 0.2})
	for i := range 30 {
		c := newContract("a", fmt.Sprint("key-", i))
		c.Weight = i + 1
		state, err = f.AmendContract(t.Context(), c, state.Revision)
		require.NoError(t, err)
		_, err = f.TopUpBudget(t.Context(), "loft-7", "quotes", administrator.TopUpRequest{Tokens: 10})
		require.NoError(t, err)
	}
	f.store.SetFaults(emulator.StoreFaults{})
	require.Len(t, f.store.Keys("history/contract/loft-7/"), 31)
	shown, err := f.Contract(t.Context(), "loft-7")
	require.NoError(t, err)
	require.Equal(t, 30, shown.Contract.Weight)
	require.Equal(t, contractor.Tokens(1300), shown.Balances[0].Prepaid)
	require.Equal(t, "loft-7", f.accountOf("key-29"))
	require.Empty(t, f.accountOf("key-28"))
}

// A change that adds a budget writes the ledger too, so it conflicts with concurrent
// writes of the ledger, here top-ups. The operator must not see these conflicts, and no
// top-up may be lost.
func TestContractIsAmendedWhileTheLedgerChanges(t *testing.T) {
	f := newFixture(t)
	state, err := f.CreateContract(t.Context(), newContract())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var topUps sync.WaitGroup
	topUps.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			_, err := biller.TopUp(context.WithoutCancel(ctx), f.store, "loft-7", "quotes", biller.TopUpID(fmt.Sprint(i)), 1)
			if err != nil && !errors.Is(err, persister.ErrConflict) {
				t.Error(err)
			}
			time.Sleep(time.Millisecond)
		}
	})
	for i := range 20 {
		c := state.Contract
		c.Budgets = append(c.Budgets, contractor.Budget{Name: contractor.BudgetName(fmt.Sprint("b", i)), Models: []string{"m"}})
		state, err = f.AmendContract(t.Context(), &c, state.Revision)
		require.NoError(t, err)
	}
	cancel()
	topUps.Wait()
	shown, err := f.Contract(t.Context(), "loft-7")
	require.NoError(t, err)
	require.Len(t, shown.Balances, 21)
	require.Equal(t, int(shown.Balances[20].Prepaid), 1000+len(f.store.Keys("topup/")))
}

// A contract may have more keys than one transaction of the store can write. Guards
// against a change that the store then refuses.
func TestKeysBeyondOneTransactionAreIndexed(t *testing.T) {
	f := newFixture(t)
	var bearers []string
	for i := range 250 {
		bearers = append(bearers, fmt.Sprint("key-", i))
	}
	created, err := f.CreateContract(t.Context(), newContract(bearers...))
	require.NoError(t, err)
	require.Len(t, f.store.Keys("keyhash/"), 250)
	_, err = f.AmendContract(t.Context(), newContract(bearers[200:]...), created.Revision)
	require.NoError(t, err)
	require.Equal(t, "loft-7", f.accountOf("key-249"))
}
