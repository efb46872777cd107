package allocator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	testify "github.com/stretchr/testify/require"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// openSection makes a the keeper of its zone.
func openSection(t testing.TB, a *Allocator, now time.Time, l biller.Ledger) biller.Ledger {
	l, _, err := l.OpenSection(biller.Section{Zone: a.config.Zone, VM: a.config.Self.VM, Incarnation: 1})
	testify.NoError(t, err)
	a.Open(now, &l, 1)
	return l
}

// flushPlan writes one plan into a ledger.
func flushPlan(t testing.TB, a *Allocator, now time.Time, l biller.Ledger) biller.Ledger {
	plan, ok := a.Plan(now, l.Account, 7)
	testify.True(t, ok)
	next, _, err := plan.Apply(now, l, func(contractor.RequestKey) (biller.Line, bool) { return biller.Line{}, false })
	testify.NoError(t, err)
	plan.MarkStarted(now)
	a.Flushed(plan.Started(), now, plan, &next, 2)
	return next
}

// newRequest returns a request for a reservation of an entry.
func newRequest(entry contractor.VM, id uint64, amount, minAmount contractor.Tokens) Request {
	ref := reserver.Ref{Entry: reserver.DaemonID{VM: entry, Incarnation: 1}, ID: id}
	return Request{Account: testAccount, MinAmount: minAmount, Record: reserver.Record{Ref: ref, Key: contractor.RequestKey{byte(id)}, Budget: "quotes", Amount: amount}}
}

// keeperWithGrant returns a keeper with a grant and the ledger that contains it.
func keeperWithGrant(t testing.TB, now time.Time, amount contractor.Tokens) (*Allocator, biller.Ledger) {
	var l biller.Ledger
	l, _, err := l.AddBudgets(&contractor.Contract{Account: testAccount, Budgets: []contractor.Budget{{Name: "quotes", Prepaid: 1000}}})
	testify.NoError(t, err)
	a := New(Config{Zone: "z1", Self: reserver.DaemonID{VM: "vm-a", Incarnation: 1}, Term: time.Minute})
	l = openSection(t, a, now, l)
	a.AddDemand(testBudget, amount)
	l = flushPlan(t, a, now, l)
	a.AddDemand(testBudget, -amount)
	return a, l
}

// Guards against refusing a request that could run with less than it asked for, and
// against approving less than its minimum.
func TestReserveTakesLessDownToMinAmount(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		amount, minAmount, reserved contractor.Tokens
		outcome                     Outcome
	}{
		{100, 100, 100, Approved},
		{300, 100, 200, Approved},
		{300, 201, 0, Insufficient},
	} {
		a, _ := keeperWithGrant(t, now, 200)
		response := a.Reserve(now, newRequest("vm-b", 1, c.amount, c.minAmount))
		testify.Equal(t, c.outcome, response.Outcome)
		testify.Equal(t, c.reserved, response.Amount)
	}
}

// reserveAfterTerm pauses a keeper for longer than its term. Meanwhile another zone
// reclaims its grant, an operator releases it, and the other zone is granted
// everything. The function returns what the paused keeper still reserves afterwards.
func reserveAfterTerm(t *testing.T, f faults) contractor.Tokens {
	now := time.Unix(1_700_000_000, 0)
	paused, l := keeperWithGrant(t, now, 600)
	paused.faults = f
	other := New(Config{Zone: "z2", Self: reserver.DaemonID{VM: "vm-z", Incarnation: 1}, Term: time.Minute})
	l = openSection(t, other, now, l)
	l = flushPlan(t, other, now, l)
	now = now.Add(time.Hour)
	l = flushPlan(t, other, now, l)
	testify.Equal(t, contractor.Tokens(600), l.Balance("quotes").Unaccounted)
	l = flushPlan(t, other, now, l)
	l, err := l.ReleaseUnaccounted("quotes", 600)
	testify.NoError(t, err)
	other.AddDemand(testBudget, 1000)
	l = flushPlan(t, other, now, l)
	testify.Equal(t, contractor.Tokens(1000), l.Grant("z2", "quotes"))
	return paused.Reserve(now, newRequest("vm-b", 1, 500, 500)).Amount
}

// Guards against overspending by a keeper that was paused, for example with its VM, and
// does not know that its grants went to another zone.
func TestPausedKeeperReservesNothingAfterItsTerm(t *testing.T) {
	testify.Zero(t, reserveAfterTerm(t, faults{}))
	testify.Positive(t, reserveAfterTerm(t, faults{skipTerm: true}), "the injected fault is not detected")
}

// spendInBothZones transfers the whole grant of one zone to another. It returns what
// both zones reserve together before either writes the ledger.
func spendInBothZones(t *testing.T) contractor.Tokens {
	now := time.Unix(1_700_000_000, 0)
	sender, l := keeperWithGrant(t, now, 600)
	receiver := New(Config{Zone: "z2", Self: reserver.DaemonID{VM: "vm-z", Incarnation: 1}})
	openSection(t, receiver, now, l)
	transfer := biller.Transfer{ID: biller.TransferID{1}, Budget: "quotes", To: "z2", Amount: 600}
	var ok bool
	transfer.ToEpoch, ok = receiver.RequestTransfer(now, testAccount, transfer.ID)
	testify.True(t, ok)
	sent := sender.GrantTransfer(now, testAccount, transfer, 600)
	transfer.From, transfer.Amount, transfer.Epoch = "z1", sent.Amount, sent.Epoch
	testify.True(t, receiver.CreditTransfer(now, testAccount, transfer))
	testify.False(t, receiver.CreditTransfer(now, testAccount, transfer), "credited twice")
	testify.Equal(t, Duplicate, sender.GrantTransfer(now, testAccount, transfer, 600).Outcome, "sent twice")
	return sender.Reserve(now, newRequest("vm-b", 1, 600, 1)).Amount + receiver.Reserve(now, newRequest("vm-z", 1, 600, 1)).Amount
}

// Guards against spending a transferred amount in both zones: the sender keeps it, or a
// repeated message credits or sends it twice.
func TestTransferDebitsSenderBeforeCredit(t *testing.T) {
	testify.Equal(t, contractor.Tokens(600), spendInBothZones(t))
}

// Guards against a TestTransferDebitsSenderBeforeCredit that cannot fail: with a sender
// that does not subtract the amount, both zones together must have more than the grant.
func TestTransferWithoutDebitIsDetected(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	sender, _ := keeperWithGrant(t, now, 600)
	sender.faults = faults{skipDebit: true}
	transfer := biller.Transfer{ID: biller.TransferID{1}, Budget: "quotes", To: "z2", ToEpoch: 1, Amount: 600}
	sent := sender.GrantTransfer(now, testAccount, transfer, 600).Amount
	kept := sender.Reserve(now, newRequest("vm-b", 1, 600, 1)).Amount
	testify.Greater(t, sent+kept, contractor.Tokens(600), "the injected fault is not detected")
}

// Guards against lost reservations that stay reserved, or end before their request can
// have ended. A reservation is lost when its entry is gone and never settles it.
func TestLostReservationFollowsPolicy(t *testing.T) {
	for _, c := range []struct {
		lost    LostPolicy
		settled contractor.Tokens
	}{{ChargeLost, 150}, {ReleaseLost, 0}} {
		now := time.Unix(1_700_000_000, 0)
		a, l := keeperWithGrant(t, now, 200)
		a.config.LostPolicy = c.lost
		testify.Equal(t, Approved, a.Reserve(now, newRequest("vm-b", 1, 150, 150)).Outcome)
		lifetime := a.withDrift(a.config.DispatchWindow + a.config.LongestRequest)
		a.Due(now.Add(lifetime - time.Millisecond))
		testify.Equal(t, contractor.Tokens(50), a.Free(testBudget))
		a.Due(now.Add(lifetime))
		l = flushPlan(t, a, now.Add(lifetime), l)
		testify.Equal(t, c.settled, l.Balance("quotes").Settled)
	}
}

// Guards against exceeding the store's write limit when many accounts are in use.
func TestFlushIntervalLimitsWritesOfFleet(t *testing.T) {
	const pairs, daemons, fleetWrites = 2100 * 8, 400, DefaultWritesPerSecond
	interval := FlushInterval(pairs/daemons, fleetWrites/daemons, DefaultMinFlushInterval)
	testify.InDelta(t, fleetWrites, pairs/interval.Seconds(), 1)
	testify.Equal(t, DefaultMinFlushInterval, FlushInterval(10, fleetWrites/8, DefaultMinFlushInterval))
}

// BenchmarkReserve measures a reservation with its settlement among 10,000 budgets, and
// the memory of a budget.
func BenchmarkReserve(b *testing.B) {
	const budgets = 10_000
	now := time.Unix(1_700_000_000, 0)
	var c contractor.Contract
	c.Account = testAccount
	for i := range budgets {
		c.Budgets = append(c.Budgets, contractor.Budget{Name: contractor.BudgetName(fmt.Sprintf("budget-%05d", i)), Prepaid: 1 << 40})
	}
	var l biller.Ledger
	l, _, err := l.AddBudgets(&c)
	testify.NoError(b, err)
	a := New(Config{Zone: "z1", Self: reserver.DaemonID{VM: "vm-a", Incarnation: 1}})
	before := heapBytes()
	l = openSection(b, a, now, l)
	perBudget := float64(heapBytes()-before) / budgets
	for _, budget := range c.Budgets {
		a.AddDemand(contractor.BudgetID{Account: testAccount, Name: budget.Name}, 1<<30)
	}
	l = flushPlan(b, a, now, l)
	request := newRequest("vm-b", 0, 100, 100)
	records := make([]reserver.Record, 1)
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		request.Record.Ref.ID = uint64(i + 1)
		request.Record.Budget = c.Budgets[i%budgets].Name
		if a.Reserve(now, request).Outcome != Approved {
			b.Fatal("not approved")
		}
		records[0] = request.Record
		records[0].Epoch, records[0].Settled = 1, true
		a.Settle(now, testAccount, records)
	}
	b.ReportMetric(perBudget, "bytes_per_budget")
	runtime.KeepAlive(l)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
