package watcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/messenger"
	"laburnumline/watcher"
)

// countingCaller counts calls between daemons and their bytes.
type countingCaller struct {
	messenger.Caller
	messages *atomic.Int64
	bytes    *atomic.Int64
}

func (c countingCaller) Call(ctx context.Context, to messenger.Peer, method messenger.Method, request []byte) ([]byte, error) {
	response, err := c.Caller.Call(ctx, to, method, request)
	c.messages.Add(1)
	c.bytes.Add(int64(len(request) + len(response)))
	return response, err
}

func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runFleet runs body on a fleet in synthetic time. The timer of b would report
// synthetic time, so the benchmarks read processor time from the system.
func runFleet(b *testing.B, c watcher.Config, perZone []int, body func(f *fleet)) {
	inBubble := func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, c, perZone...)
			defer f.stop()
			time.Sleep(time.Second)
			body(f)
		})
	}
	all := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: inBubble}}) {
		b.Fatal("the benchmark failed")
	}
}

// costs holds the costs of a fleet since its start.
type costs struct {
	processor       time.Duration
	messages, bytes int64
	counts          emulator.StoreCounts
}

func (f *fleet) currentCosts() costs {
	return costs{processorTime(f.t), f.messages.Load(), f.bytes.Load(), f.store.Counts()}
}

// BenchmarkSlopeIdle measures the cost of the watchers of one zone while nothing
// changes, over ten minutes of synthetic time.
func BenchmarkSlopeIdle(b *testing.B) {
	for _, n := range []int{13, 25, 50} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				runFleet(b, watcher.Config{}, []int{n}, func(f *fleet) {
					const period = 10 * time.Minute
					before := f.currentCosts()
					time.Sleep(period)
					f.report(b, before, float64(n)*period.Seconds(), "daemon-s")
					b.ReportMetric(float64(f.store.Counts().WatchesOpen), "watches")
				})
			}
		})
	}
}

// BenchmarkSlopeChange measures the cost of one change in one zone: of an
// upstream, whose update carries the value, and of a contract that every daemon
// uses.
func BenchmarkSlopeChange(b *testing.B) {
	for _, n := range []int{13, 25, 50} {
		for _, s := range []watcher.Section{watcher.Upstreams, watcher.Contracts} {
			b.Run(fmt.Sprintf("%s/daemons=%d", s, n), func(b *testing.B) {
				for b.Loop() {
					runFleet(b, watcher.Config{}, []int{n}, func(f *fleet) { f.measureChanges(b, s, n) })
				}
			})
		}
	}
}

func (f *fleet) measureChanges(b *testing.B, s watcher.Section, n int) {
	const changes = 200
	before := f.currentCosts()
	for i := range changes {
		if s == watcher.Upstreams {
			f.putUpstream(engine(i % 20))
		} else {
			f.put(contractOf("loft-7", i))
		}
		time.Sleep(20 * time.Millisecond)
		for _, d := range f.daemons {
			if s == watcher.Contracts {
				c, _, err := d.Contract(context.Background(), "loft-7")
				require.NoError(b, err)
				require.Equal(b, i, c.Weight)
			}
			require.Equal(b, f.store.Revision(), d.AppliedRevision(s))
		}
	}
	f.report(b, before, float64(n)*changes, "change/daemon")
}

// report reports the costs since before, divided by a quantity.
func (f *fleet) report(b *testing.B, before costs, quantity float64, unit string) {
	now := f.currentCosts()
	b.ReportMetric(float64((now.processor-before.processor).Nanoseconds())/quantity, "cpu-ns/"+unit)
	b.ReportMetric(float64(now.messages-before.messages)/quantity, "messages/"+unit)
	b.ReportMetric(float64(now.bytes-before.bytes)/quantity, "bytes/"+unit)
	b.ReportMetric(float64(now.counts.Reads-before.counts.Reads)/quantity, "reads/"+unit)
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSlopeFleet measures the load on the store and the time until every
// daemon has applied a change, with a one-way delay of 5 ms. Changes arrive at a
// rate of 22,000 a day; every daemon uses 30 of 300 accounts.
func BenchmarkSlopeFleet(b *testing.B) {
	for _, zones := range [][]int{{3, 3, 2}, {13, 13, 13, 13, 12, 12, 12, 12}, {50, 50, 50, 50, 50, 50, 50, 50}} {
		n := 0
		for _, z := range zones {
			n += z
		}
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				runFleet(b, watcher.Config{}, zones, func(f *fleet) { f.measureFleet(b, n) })
			}
		})
	}
}

func (f *fleet) measureFleet(b *testing.B, n int) {
	const (
		accounts = 300
		used     = 30
		changes  = 40
		every    = 86400 * time.Second / 22000
	)
	for i := range accounts {
		f.put(contractOf(contractor.Account(fmt.Sprint("account-", i)), 0))
	}
	use := func() {
		for i, d := range f.daemons {
			for k := range used {
				_, _, err := d.Contract(context.Background(), contractor.Account(fmt.Sprint("account-", (i*7+k)%accounts)))
				require.NoError(b, err)
			}
		}
	}
	use()
	before := f.currentCosts()
	start := time.Now()
	var longest time.Duration
	for i := range changes {
		longest = max(longest, f.waitApplied(watcher.Contracts, f.put(contractOf(contractor.Account(fmt.Sprint("account-", i*7%accounts)), i))))
		use()
		time.Sleep(every)
	}
	period := time.Since(start).Seconds()
	now := f.currentCosts()
	f.report(b, before, float64(n)*period, "daemon-s")
	b.ReportMetric(float64(now.counts.Reads-before.counts.Reads)/period, "store-reads/s")
	b.ReportMetric(float64(now.counts.WatchesOpen), "watches")
	b.ReportMetric(float64(longest.Milliseconds()), "ms-in-force")
}

// BenchmarkSlopeContract measures the memory of one cached contract and the time
// of a lookup by the number of budgets, with decoded ("ready") and with only
// compressed copies.
func BenchmarkSlopeContract(b *testing.B) {
	for _, budgets := range []int{1, 16, 157} {
		for _, form := range []string{"ready", "compressed"} {
			b.Run(fmt.Sprintf("%s/budgets=%d", form, budgets), func(b *testing.B) {
				c := watcher.Config{MaxDecodedBytes: 1 << 30, MaxCompressedBytes: 1 << 30}
				if form == "compressed" {
					c.MaxDecodedBytes = 1
				}
				for b.Loop() {
					runFleet(b, c, []int{1}, func(f *fleet) { f.measureContracts(b, budgets) })
				}
			})
		}
	}
}

func (f *fleet) measureContracts(b *testing.B, budgets int) {
	const count, repeats = 500, 20_000
	accounts := make([]contractor.Account, count)
	for i := range count {
		accounts[i] = contractor.Account(fmt.Sprint("account-", i))
		f.put(largeContract(accounts[i], budgets))
	}
	before := heapBytes()
	for _, account := range accounts {
		_, _, err := f.daemons[0].Contract(context.Background(), account)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(heapBytes()-before)/count, "heap-bytes/contract")
	b.ReportMetric(float64(f.daemons[0].ContractBytes())/count, "counted-bytes/contract")
	began := processorTime(b)
	for i := range repeats {
		_, _, _ = f.daemons[0].Contract(context.Background(), accounts[i%count])
	}
	b.ReportMetric(float64((processorTime(b)-began).Nanoseconds())/repeats, "cpu-ns/lookup")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSlopeUpstream measures the memory of one announcement and the processor
// time of one change by the number of announcements.
func BenchmarkSlopeUpstream(b *testing.B) {
	for _, count := range []int{1175, 2350, 4700} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			runFleet(b, watcher.Config{}, []int{1}, func(f *fleet) {
				for i := range count {
					f.putUpstream(engine(i))
				}
				time.Sleep(time.Second)
				require.Len(b, f.daemons[0].Upstreams(), count)
				before := heapBytes()
				f.daemons = append(f.daemons, f.start(messenger.Peer{VM: "another", Zone: "zone-0", Incarnation: 1}))
				time.Sleep(time.Second)
				require.Len(b, f.daemons[1].Upstreams(), count)
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "heap-bytes/upstream")
				const changes = 200
				began := processorTime(b)
				for i := range changes {
					f.putUpstream(engine(i % count))
					time.Sleep(20 * time.Millisecond)
				}
				b.ReportMetric(float64((processorTime(b)-began).Nanoseconds())/changes/2, "cpu-ns/change/daemon")
				b.ReportMetric(0, "ns/op")
			})
		})
	}
}

func largeContract(account contractor.Account, budgets int) contractor.Contract {
	c := contractOf(account, 1, string(account))
	c.Budgets = nil
	random := rand.New(rand.NewPCG(uint64(len(account)), uint64(budgets)))
	for range budgets {
		member := fmt.Sprintf("member-%08d", random.IntN(1e8))
		c.Budgets = append(c.Budgets, contractor.Budget{
			Name:    contractor.BudgetName(member + "-quotes"),
			Members: []contractor.Member{contractor.Member(member)},
			Models:  []string{"quote-model"},
			Prepaid: contractor.Tokens(random.IntN(1e7)),
		})
	}
	return c
}

func engine(i int) contractor.Upstream {
	return contractor.Upstream{
		Name:   fmt.Sprint("engine-", i),
		URL:    "http://10.0.0.1:9000",
		Zone:   "zone-0",
		VM:     contractor.VM(fmt.Sprint("engine-vm-", i)),
		Models: []string{"quote-model"},
	}
}

func heapBytes() int64 {
	// A sync.Pool keeps its objects over one collection; the second frees them.
	runtime.GC()
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
