package biller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func testContract(budgets ...contractor.Budget) *contractor.Contract {
	return &contractor.Contract{Account: "loft-7", Budgets: budgets}
}

// newTestLedger returns a ledger with one budget of 1000 tokens and sections of two zones.
func newTestLedger(t require.TestingT) Ledger {
	var l Ledger
	l, changed, err := l.AddBudgets(testContract(contractor.Budget{Name: "quotes", Prepaid: 1000}))
	require.NoError(t, err)
	require.True(t, changed)
	for _, zone := range []contractor.Zone{"a", "b"} {
		l, _, err = l.OpenSection(Section{Zone: zone, VM: "vm-1", Incarnation: 1})
		require.NoError(t, err)
	}
	return l
}

func neverBilled(contractor.RequestKey) (Line, bool) { return Line{}, false }

func key(n int) contractor.RequestKey { return contractor.RequestKey{byte(n), byte(n >> 8)} }

func ExampleLedger_Flush() {
	var l Ledger
	l, _, _ = l.AddBudgets(&contractor.Contract{
		Account: "loft-7",
		Budgets: []contractor.Budget{{Name: "quotes", Prepaid: 1000}},
	})
	l, _, _ = l.OpenSection(Section{Zone: "gulf-south-1", VM: "vm-1"})
	l, _ = l.AddGrants("gulf-south-1", []BudgetAmount{{Budget: "quotes", Amount: 300}})
	line := Line{Key: contractor.NewRequestKey("loft-7", "order-1"), Budget: "quotes", Tokens: 120}
	l, written, _ := l.Flush("gulf-south-1", []Line{line, line}, func(contractor.RequestKey) (Line, bool) { return Line{}, false })
	fmt.Println(len(written), l.Balance("quotes").Settled, l.Grant("gulf-south-1", "quotes"))
	// Output: 1 120 180
}

// Guards against a request being billed twice, as when its settlement reaches two zones, and
// against a lost correction: the actual use arrives after the whole reservation was charged.
func TestFlushBillsEachKeyOnce(t *testing.T) {
	confirmed := Line{Key: key(1), Budget: "quotes", Tokens: 100}
	unconfirmed := Line{Key: key(1), Budget: "quotes", Tokens: 300, Unconfirmed: true}
	for _, c := range []struct {
		name    string
		prior   *Line
		line    Line
		settled contractor.Tokens
		lines   int
	}{
		{"first", nil, confirmed, 100, 1},
		{"second settlement", &confirmed, confirmed, 0, 0},
		{"unconfirmed after actual use", &confirmed, unconfirmed, 0, 0},
		{"unconfirmed twice", &unconfirmed, unconfirmed, 0, 0},
		{"actual use after unconfirmed", &unconfirmed, confirmed, -200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLedger(t)
			l, err := l.AddGrants("a", []BudgetAmount{{"quotes", 800}})
			require.NoError(t, err)
			if c.prior != nil {
				l, _, err = l.Flush("a", []Line{*c.prior}, neverBilled)
				require.NoError(t, err)
			}
			before := l.Balance("quotes").Settled
			next, written, err := l.Flush("a", []Line{c.line}, func(contractor.RequestKey) (Line, bool) {
				if c.prior == nil {
					return Line{}, false
				}
				return *c.prior, true
			})
			require.NoError(t, err)
			require.Len(t, written, c.lines)
			require.Equal(t, c.settled, next.Balance("quotes").Settled-before)
			require.Equal(t, before, l.Balance("quotes").Settled, "Flush has changed its receiver")
		})
	}
}

// Guards against charging a line to the wrong balance: a late line that reduces the grant, on
// which other reservations rely, or use beyond all balances that breaks the invariant.
func TestFlushChargesSourcesInOrder(t *testing.T) {
	for _, c := range []struct {
		name                      string
		grant, unaccounted, other contractor.Tokens
		line                      Line
		charged, absorbed         contractor.Tokens
		unaccountedAfter          contractor.Tokens
	}{
		{"from the grant", 300, 0, 700, Line{Tokens: 200}, 200, 0, 0},
		{"late line from unaccounted", 0, 300, 700, Line{Tokens: 200, Late: true}, 200, 0, 100},
		{"late line is not charged to the grant", 300, 100, 600, Line{Tokens: 200, Late: true}, 100, 100, 0},
		{"beyond the grant from unaccounted", 100, 100, 800, Line{Tokens: 200}, 200, 0, 0},
		{"beyond the grant from the free balance", 100, 0, 500, Line{Tokens: 200}, 200, 0, 0},
		{"absorbed", 100, 0, 900, Line{Tokens: 200}, 100, 100, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLedger(t)
			l, err := l.AddGrants("a", []BudgetAmount{{"quotes", c.grant + c.unaccounted}})
			require.NoError(t, err)
			l, err = l.AddGrants("b", []BudgetAmount{{"quotes", c.other}})
			require.NoError(t, err)
			l, err = l.MoveToUnaccounted("a", []BudgetAmount{{"quotes", c.unaccounted}})
			require.NoError(t, err)
			c.line.Key, c.line.Budget = key(1), "quotes"
			next, written, err := l.Flush("a", []Line{c.line}, neverBilled)
			require.NoError(t, err)
			require.Equal(t, c.charged, written[0].Tokens)
			require.Equal(t, c.absorbed, written[0].Absorbed)
			require.Equal(t, c.unaccountedAfter, next.Balance("quotes").Unaccounted)
			require.Equal(t, c.charged, next.Balance("quotes").Settled)
		})
	}
}

// Guards against a transfer that counts twice, because the sending and the receiving zone both
// write it to the ledger.
func TestApplyTransferOnce(t *testing.T) {
	l := newTestLedger(t)
	l, err := l.AddGrants("a", []BudgetAmount{{"quotes", 500}})
	require.NoError(t, err)
	transfer := Transfer{ID: TransferID{1}, Budget: "quotes", From: "a", To: "b", Amount: 200, Epoch: 1, ToEpoch: 1}
	for range 2 {
		l, err = l.ApplyTransfer("a", transfer)
		require.NoError(t, err)
		require.Equal(t, contractor.Tokens(300), l.Grant("a", "quotes"))
		require.Equal(t, contractor.Tokens(200), l.Grant("b", "quotes"))
	}
	l, seen := l.AcknowledgeTransfers("a")
	require.Empty(t, seen)
	l, seen = l.AcknowledgeTransfers("b")
	require.Equal(t, []TransferID{{1}}, seen)
	require.False(t, l.IsApplied(TransferID{1}))
}

// Guards against writes of a keeper that does not know that it was replaced.
func TestRecordWriteRefusesReplacedKeeper(t *testing.T) {
	l := newTestLedger(t)
	_, err := l.RecordWrite(SectionWrite{Zone: "a", Epoch: 1, Operation: 7})
	require.NoError(t, err)
	l, section, err := l.OpenSection(Section{Zone: "a", VM: "vm-2", Incarnation: 1})
	require.NoError(t, err)
	require.Equal(t, contractor.Epoch(2), section.Epoch)
	require.Equal(t, []FormerKeeper{{VM: "vm-1", Incarnation: 1, Epoch: 1, Resolved: true}}, section.FormerKeepers)
	_, err = l.RecordWrite(SectionWrite{Zone: "a", Epoch: 1, Operation: 8})
	require.ErrorIs(t, err, ErrReplaced)
}

// Guards against a transition that breaks the invariant or settles another amount than the
// bill shows. The test applies random transitions in random order.
func TestRandomTransitionsKeepInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLedger(t)
		billed := make(map[contractor.RequestKey]Line)
		zone := rapid.SampledFrom([]contractor.Zone{"a", "b"})
		amount := rapid.Map(rapid.IntRange(0, 400), func(n int) contractor.Tokens { return contractor.Tokens(n) })
		step := func(next Ledger, err error) {
			if err == nil {
				l = next
			}
		}
		changes := func(t *rapid.T) (contractor.Zone, []BudgetAmount) {
			return zone.Draw(t, "zone"), []BudgetAmount{{"quotes", amount.Draw(t, "amount")}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant":       func(t *rapid.T) { z, c := changes(t); step(l.AddGrants(z, c)) },
			"return":      func(t *rapid.T) { z, c := changes(t); step(l.ReturnGrants(z, c)) },
			"unaccounted": func(t *rapid.T) { z, c := changes(t); step(l.MoveToUnaccounted(z, c)) },
			"top up":      func(t *rapid.T) { step(l.TopUp("quotes", amount.Draw(t, "amount"))) },
			"open": func(t *rapid.T) {
				next, _, err := l.OpenSection(Section{Zone: zone.Draw(t, "zone"), VM: "vm-3"})
				step(next, err)
			},
			"resolve": func(t *rapid.T) {
				z := zone.Draw(t, "zone")
				s, _ := l.Section(z)
				step(l.RecordWrite(SectionWrite{Zone: z, Epoch: s.Epoch, Resolved: true, Accounted: rapid.Bool().Draw(t, "trusted")}))
			},
			"reclaim": func(t *rapid.T) { step(l.Reclaim(zone.Draw(t, "zone"))) },
			"release": func(t *rapid.T) { step(l.ReleaseUnaccounted("quotes", amount.Draw(t, "amount"))) },
			"transfer": func(t *rapid.T) {
				id := TransferID{byte(rapid.IntRange(0, 5).Draw(t, "id"))}
				step(l.ApplyTransfer(zone.Draw(t, "writer"), Transfer{ID: id, Budget: "quotes", From: "a", To: "b", Amount: amount.Draw(t, "amount"), Epoch: contractor.Epoch(rapid.IntRange(1, 3).Draw(t, "epoch")), ToEpoch: contractor.Epoch(rapid.IntRange(1, 3).Draw(t, "to epoch"))}))
			},
			"flush": func(t *rapid.T) {
				line := Line{
					Key: key(rapid.IntRange(0, 20).Draw(t, "key")), Budget: "quotes", Tokens: amount.Draw(t, "amount"),
					Late: rapid.Bool().Draw(t, "late"), Unconfirmed: rapid.Bool().Draw(t, "unconfirmed"),
				}
				next, written, err := l.Flush(zone.Draw(t, "zone"), []Line{line}, func(k contractor.RequestKey) (Line, bool) {
					prior, ok := billed[k]
					return prior, ok
				})
				require.NoError(t, err)
				l = next
				for _, w := range written {
					billed[w.Key] = w
				}
			},
			"": func(t *rapid.T) {
				require.NoError(t, l.Check())
				var sum contractor.Tokens
				for _, line := range billed {
					sum += line.Tokens
				}
				require.Equal(t, sum, l.Balance("quotes").Settled, "the settled total is not the sum of the bill")
			},
		})
	})
}

// Guards against a top-up that counts twice: the store has committed it, but its response is
// lost, and TopUp or its caller repeats it.
func TestTopUpCountsOnceAfterLostResponse(t *testing.T) {
	ctx := context.Background()
	store := emulator.NewStore(emulator.StoreConfig{Seed: 1})
	_, err := OpenLedger(ctx, store, testContract(contractor.Budget{Name: "quotes", Prepaid: 100}))
	require.NoError(t, err)
	store.LoseNextResponses(1)
	receipt, err := TopUp(ctx, store, "loft-7", "quotes", "top-up-1", 50)
	require.NoError(t, err)
	require.True(t, receipt.Repeated)
	receipt, err = TopUp(ctx, store, "loft-7", "quotes", "top-up-1", 50)
	require.NoError(t, err)
	require.Equal(t, contractor.Tokens(150), receipt.Prepaid)
	_, err = TopUp(ctx, store, "loft-7", "quotes", "top-up-1", 60)
	require.ErrorIs(t, err, ErrTopUpReused)
	ledger, _, err := LoadLedger(ctx, store, "loft-7")
	require.NoError(t, err)
	require.Equal(t, contractor.Tokens(150), ledger.Balance("quotes").Prepaid)
}

// Guards against a contract change that resets the balances of existing budgets, and against
// top-ups that create a ledger or hide a store failure.
func TestOpenLedgerAddsBudgetsAndKeepsBalances(t *testing.T) {
	ctx := context.Background()
	store := emulator.NewStore(emulator.StoreConfig{})
	_, err := OpenLedger(ctx, store, testContract(contractor.Budget{Name: "quotes", Prepaid: 100}))
	require.NoError(t, err)
	_, err = TopUp(ctx, store, "loft-7", "quotes", "t1", 7)
	require.NoError(t, err)
	l, err := OpenLedger(ctx, store, testContract(contractor.Budget{Name: "orders", Prepaid: 5}, contractor.Budget{Name: "quotes", Prepaid: 900}))
	require.NoError(t, err)
	require.Equal(t, contractor.Tokens(5), l.Balance("orders").Prepaid)
	require.Equal(t, contractor.Tokens(107), l.Balance("quotes").Prepaid)
	_, err = TopUp(ctx, store, "nobody", "quotes", "t1", 7)
	require.ErrorIs(t, err, ErrNoLedger)
	store.SetFaults(emulator.StoreFaults{Outage: true})
	_, err = TopUp(ctx, store, "loft-7", "quotes", "t2", 7)
	require.ErrorIs(t, err, persister.ErrUnavailable)
}

// Guards against a bill that shows both an unconfirmed line and its replacement.
func TestReadLinesOmitsReplacedLines(t *testing.T) {
	ctx := context.Background()
	store := emulator.NewStore(emulator.StoreConfig{})
	pages := []Page{
		{Number: 1, Lines: []Line{{Key: key(1), Tokens: 300, At: start, Unconfirmed: true}, {Key: key(2), Tokens: 5, At: start}}},
		{Number: 2, Lines: []Line{{Key: key(1), Tokens: 90, Refund: 300, Replaces: true, At: start.Add(time.Minute)}}},
		{Number: 3, Lines: []Line{{Key: key(3), Tokens: 1, At: start.Add(time.Hour)}}},
	}
	for _, p := range pages {
		value, err := EncodePage(&p)
		require.NoError(t, err)
		_, err = store.Commit(ctx, persister.Txn{Puts: []persister.Put{{Key: PageKey("loft-7", p.Number), Value: value}}})
		require.NoError(t, err)
	}
	lines, err := ReadLines(ctx, store, "loft-7", start, start.Add(time.Hour))
	require.NoError(t, err)
	require.Equal(t, []Line{pages[0].Lines[1], pages[1].Lines[0]}, lines)
	require.True(t, errors.Is(&Error{Err: ErrReplaced}, ErrReplaced))
}
