package administrator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"laburnumline/administrator"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/emulator"
)

// BenchmarkInForceOn8Daemons measures the time from the acceptance of a change until it
// is in force on 8 daemons. They are connected by QUIC on loopback, with a delay of 5 ms
// in each direction.
func BenchmarkInForceOn8Daemons(b *testing.B) {
	f := newRealFleet(b, 8, 5*time.Millisecond)
	state, err := f.client.CreateContract(b.Context(), newContract("a"))
	require.NoError(b, err)
	accepted := hdrhistogram.New(1, 10_000_000, 3)
	inForce := hdrhistogram.New(1, 10_000_000, 3)
	i := 0
	for b.Loop() {
		i++
		c := newContract("a")
		c.Weight = 1 + i%100
		start := time.Now()
		state, err = f.client.AmendContract(b.Context(), c, state.Revision)
		require.NoError(b, err)
		_ = accepted.RecordValue(time.Since(start).Microseconds())
		_ = inForce.RecordValue(f.waitInForce(state.Revision).Microseconds())
	}
	b.ReportMetric(float64(accepted.ValueAtQuantile(50))/1000, "ms-accepted-p50")
	b.ReportMetric(float64(inForce.ValueAtQuantile(50))/1000, "ms-in-force-p50")
	b.ReportMetric(float64(inForce.Max())/1000, "ms-in-force-max")
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSlopeAmend measures the cost of one change of a contract with different
// numbers of budgets.
func BenchmarkSlopeAmend(b *testing.B) {
	for _, budgets := range []int{1, 16, 157} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			store := emulator.NewStore(emulator.StoreConfig{KeepRevisions: 1000})
			claims, err := deduplicator.New(deduplicator.Config{Store: store, VM: "vm-0", Incarnation: 1})
			require.NoError(b, err)
			admin, err := administrator.New(administrator.Config{Store: store, Watcher: &fakeWatcher{}, Claims: claims, Operators: operators})
			require.NoError(b, err)
			handler := admin.Handler()
			c := newContract("a")
			for i := range budgets - 1 {
				c.Budgets = append(c.Budgets, contractor.Budget{
					Name: contractor.BudgetName(fmt.Sprint("budget-", i)), Members: []contractor.Member{"member"}, Models: []string{"quote-model"},
				})
			}
			revision := amend(b, handler, http.MethodPost, "/v1/contracts", c, 0)
			before, began := store.Counts(), cpuTime(b)
			n := 0
			for b.Loop() {
				n++
				c.Weight = 1 + n%100
				revision = amend(b, handler, http.MethodPut, "/v1/contracts/loft-7", c, revision)
			}
			now := store.Counts()
			b.ReportMetric(float64((cpuTime(b)-began).Microseconds())/float64(n), "cpu-us/change")
			b.ReportMetric(float64(now.Reads-before.Reads)/float64(n), "reads/change")
			b.ReportMetric(float64(now.Writes+now.Leases-before.Writes-before.Leases)/float64(n), "writes/change")
			b.ReportMetric(float64(len(store.Peek("contract/loft-7").Value)), "bytes/contract")
			b.ReportMetric(float64(historySize(store)), "bytes/history")
		})
	}
}

func historySize(s *emulator.Store) int {
	return len(s.Peek(s.Keys("history/contract/loft-7/")[0]).Value)
}

func amend(b *testing.B, h http.Handler, method, path string, c *contractor.Contract, seen contractor.Revision) contractor.Revision {
	raw, err := json.Marshal(c)
	require.NoError(b, err)
	r := httptest.NewRequest(method, path, bytes.NewReader(raw))
	r.Header.Set("Authorization", "Bearer editor-key")
	if seen != 0 {
		r.Header.Set("If-Match", strconv.FormatInt(int64(seen), 10))
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	require.Less(b, w.Code, 300, w.Body.String())
	var state administrator.ContractState
	require.NoError(b, json.Unmarshal(w.Body.Bytes(), &state))
	return state.Revision
}
