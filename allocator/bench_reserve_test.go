package allocator_test

import (
	"runtime"
	"testing"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// BenchmarkReserveInManyAccounts measures a reservation with its cancellation at the
// keeper, and the memory of a budget that is not in use.
func BenchmarkReserveInManyAccounts(b *testing.B) {
	const accounts, budgets = 100, 157
	now := time.Unix(1_700_000_000, 0)
	before := heapBytes()
	keeper := allocator.New(allocator.Config{Zone: "zone-0", Self: reserver.DaemonID{VM: "vm-0", Incarnation: 1}})
	names := openAccounts(keeper, now, accounts, budgets)
	perBudget := float64(heapBytes()-before) / (accounts * budgets)
	entry := reserver.DaemonID{VM: "vm-1", Incarnation: 1}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		ref := reserver.Ref{Entry: entry, ID: uint64(i) + 1}
		record := reserver.Record{Ref: ref, Key: requestKey(i), Budget: names[i%budgets], Amount: 1000}
		account := accountName(i % accounts)
		if a := keeper.Reserve(now, allocator.Request{Account: account, Record: record, MinAmount: 1000}); a.Outcome != allocator.Approved {
			b.Fatal(a.Outcome)
		}
		keeper.Cancel(now, account, ref)
	}
	b.ReportMetric(perBudget, "bytes/budget")
	runtime.KeepAlive(keeper)
}

// openAccounts makes keeper the keeper of accounts with grants for all budgets.
func openAccounts(keeper *allocator.Allocator, now time.Time, accounts, budgets int) []contractor.BudgetName {
	var names []contractor.BudgetName
	var changes []biller.BudgetAmount
	for i := range budgets {
		names = append(names, budgetName(i))
		changes = append(changes, biller.BudgetAmount{Budget: names[i], Amount: 1_000_000})
	}
	for i := range accounts {
		contract := contractor.Contract{Account: accountName(i)}
		for _, name := range names {
			contract.Budgets = append(contract.Budgets, contractor.Budget{Name: name, Prepaid: 10_000_000})
		}
		l, _, err := new(biller.Ledger).AddBudgets(&contract)
		must(err)
		l, _, err = l.OpenSection(biller.Section{Zone: "zone-0", VM: "vm-0", Incarnation: 1, Operation: 1, Unwitnessed: true})
		must(err)
		l, err = l.AddGrants("zone-0", changes)
		must(err)
		keeper.Open(now, &l, 1)
	}
	return names
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
