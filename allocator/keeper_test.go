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

func open(t testing.TB, a *Allocator, now time.Time, l biller.Ledger) biller.Ledger {
	l, _, err := l.OpenSection(biller.Section{Zone: a.config.Zone, VM: a.config.Self.VM, Incarnation: 1})
	testify.NoError(t, err)
	a.Open(now, &l, 1)
	return l
}

// flush writes one plan into a ledger.
func flush(t testing.TB, a *Allocator, now time.Time, l biller.Ledger) biller.Ledger {
	plan, ok := a.Plan(now, l.Account, 7)
	testify.True(t, ok)
	next, _, err := plan.Apply(now, l, func(contractor.RequestKey) (biller.Line, bool) { return biller.Line{}, false })
	testify.NoError(t, err)
	plan.Begin(now)
	a.Flushed(plan.Started(), now, plan, &next, 2)
	return next
}

func ask(entry contractor.VM, id uint64, want, least contractor.Tokens) Ask {
	ref := reserver.Ref{Entry: reserver.DaemonID{VM: entry, Incarnation: 1}, ID: id}
	return Ask{Account: name, Least: least, Record: reserver.Record{Ref: ref, Key: contractor.RequestKey{byte(id)}, Budget: "quotes", Amount: want}}
}

// granted returns a keeper that holds an amount.
func granted(t testing.TB, now time.Time, amount contractor.Tokens) (*Allocator, biller.Ledger) {
	var l biller.Ledger
	l, _, err := l.AddBudgets(&contractor.Contract{Account: name, Budgets: []contractor.Budget{{Name: "quotes", Prepaid: 1000}}})
	testify.NoError(t, err)
	a := New(Config{Zone: "z1", Self: reserver.DaemonID{VM: "vm-a", Incarnation: 1}, Term: time.Minute})
	l = open(t, a, now, l)
	a.Wait(quotes, amount)
	l = flush(t, a, now, l)
	a.Wait(quotes, -amount)
	return a, l
}

func TestReserveShrinksToTheSmallestUsefulAmount(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		want, least, given contractor.Tokens
		outcome            Outcome
	}{
		{100, 100, 100, Given},
		{300, 100, 200, Given},
		{300, 201, 0, Short},
	} {
		a, _ := granted(t, now, 200)
		answer := a.Reserve(now, ask("vm-b", 1, c.want, c.least))
		testify.Equal(t, c.outcome, answer.Outcome)
		testify.Equal(t, c.given, answer.Amount)
	}
}

// wakeAfterRelease pauses a keeper beyond its term. Another zone reclaims its
// grant, an operator releases it, and the other zone spends everything. The
// function returns what the keeper still gives out when it wakes.
func wakeAfterRelease(t *testing.T, f faults) contractor.Tokens {
	now := time.Unix(1_700_000_000, 0)
	paused, l := granted(t, now, 600)
	paused.faults = f
	other := New(Config{Zone: "z2", Self: reserver.DaemonID{VM: "vm-z", Incarnation: 1}, Term: time.Minute})
	l = open(t, other, now, l)
	l = flush(t, other, now, l)
	now = now.Add(time.Hour)
	l = flush(t, other, now, l)
	testify.Equal(t, contractor.Tokens(600), l.Balance("quotes").Unaccounted)
	l = flush(t, other, now, l)
	l, err := l.ReleaseUnaccounted("quotes", 600)
	testify.NoError(t, err)
	other.Wait(quotes, 1000)
	l = flush(t, other, now, l)
	testify.Equal(t, contractor.Tokens(1000), l.Grant("z2", "quotes"))
	return paused.Reserve(now, ask("vm-b", 1, 500, 500)).Amount
}

func TestPausedKeeperStopsAtTheEndOfItsTerm(t *testing.T) {
	testify.Zero(t, wakeAfterRelease(t, faults{}))
	testify.Positive(t, wakeAfterRelease(t, faults{skipTerm: true}), "the seeded fault is not noticed")
}

// spendInBothZones hands the whole grant of one zone to another, and returns
// what both zones give out together before any of them writes the ledger.
func spendInBothZones(t *testing.T) contractor.Tokens {
	now := time.Unix(1_700_000_000, 0)
	sender, l := granted(t, now, 600)
	receiver := New(Config{Zone: "z2", Self: reserver.DaemonID{VM: "vm-z", Incarnation: 1}})
	open(t, receiver, now, l)
	transfer := biller.Transfer{ID: biller.TransferID{1}, Budget: "quotes", To: "z2", Amount: 600}
	var ok bool
	transfer.ToEpoch, ok = receiver.AskTransfer(now, name, transfer.ID)
	testify.True(t, ok)
	sent := sender.TransferOut(now, name, transfer, 600)
	transfer.From, transfer.Amount, transfer.Epoch = "z1", sent.Amount, sent.Epoch
	testify.True(t, receiver.TransferIn(now, name, transfer))
	testify.False(t, receiver.TransferIn(now, name, transfer), "credited twice")
	testify.Equal(t, Withdrawn, sender.TransferOut(now, name, transfer, 600).Outcome, "sent twice")
	return sender.Reserve(now, ask("vm-b", 1, 600, 1)).Amount + receiver.Reserve(now, ask("vm-z", 1, 600, 1)).Amount
}

func TestTransferSubtractsBeforeTheCredit(t *testing.T) {
	testify.Equal(t, contractor.Tokens(600), spendInBothZones(t))
}

func TestTransferThatCreditsFirstIsNoticed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	sender, _ := granted(t, now, 600)
	sender.faults = faults{creditFirst: true}
	transfer := biller.Transfer{ID: biller.TransferID{1}, Budget: "quotes", To: "z2", ToEpoch: 1, Amount: 600}
	sent := sender.TransferOut(now, name, transfer, 600).Amount
	kept := sender.Reserve(now, ask("vm-b", 1, 600, 1)).Amount
	testify.Greater(t, sent+kept, contractor.Tokens(600), "the seeded fault is not noticed")
}

func TestLostReservation(t *testing.T) {
	for _, c := range []struct {
		lost    Lost
		settled contractor.Tokens
	}{{LostCharge, 150}, {LostRelease, 0}} {
		now := time.Unix(1_700_000_000, 0)
		a, l := granted(t, now, 200)
		a.config.Lost = c.lost
		testify.Equal(t, Given, a.Reserve(now, ask("vm-b", 1, 150, 150)).Outcome)
		life := a.stretch(a.config.DispatchWindow + a.config.LongestRequest)
		a.Due(now.Add(life - time.Millisecond))
		testify.Equal(t, contractor.Tokens(50), a.Free(quotes))
		a.Due(now.Add(life))
		l = flush(t, a, now.Add(life), l)
		testify.Equal(t, c.settled, l.Balance("quotes").Settled)
	}
}

func TestFlushIntervalKeepsTheWritesOfTheFleet(t *testing.T) {
	const pairs, daemons, fleetWrites = 2100 * 8, 400, DefaultWrites
	interval := FlushInterval(pairs/daemons, fleetWrites/daemons, DefaultMinInterval)
	testify.InDelta(t, fleetWrites, pairs/interval.Seconds(), 1)
	testify.Equal(t, DefaultMinInterval, FlushInterval(10, fleetWrites/8, DefaultMinInterval))
}

func BenchmarkReserve(b *testing.B) {
	const budgets = 10_000
	now := time.Unix(1_700_000_000, 0)
	var c contractor.Contract
	c.Account = name
	for i := range budgets {
		c.Budgets = append(c.Budgets, contractor.Budget{Name: contractor.BudgetName(fmt.Sprintf("budget-%05d", i)), Prepaid: 1 << 40})
	}
	var l biller.Ledger
	l, _, err := l.AddBudgets(&c)
	testify.NoError(b, err)
	a := New(Config{Zone: "z1", Self: reserver.DaemonID{VM: "vm-a", Incarnation: 1}})
	before := heap()
	l = open(b, a, now, l)
	perBudget := float64(heap()-before) / budgets
	for _, budget := range c.Budgets {
		a.Wait(contractor.BudgetID{Account: name, Name: budget.Name}, 1<<30)
	}
	l = flush(b, a, now, l)
	one := ask("vm-b", 0, 100, 100)
	records := make([]reserver.Record, 1)
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		one.Record.Ref.ID = uint64(i + 1)
		one.Record.Budget = c.Budgets[i%budgets].Name
		if a.Reserve(now, one).Outcome != Given {
			b.Fatal("not given")
		}
		records[0] = one.Record
		records[0].Epoch, records[0].Settled = 1, true
		a.Settle(now, name, records)
	}
	b.ReportMetric(perBudget, "bytes_per_budget")
	runtime.KeepAlive(l)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
