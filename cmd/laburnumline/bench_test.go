package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests per second at one daemon that runs as a process, with callers in parallel.
func BenchmarkDaemon(b *testing.B) {
	program := filepath.Join(b.TempDir(), "laburnumline")
	output, err := exec.CommandContext(b.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(b, err, string(output))
	f := newProcessFixture(b, 3, 0)
	f.program = program
	f.store.PutAsOperator("op/config", []byte(`{"version":2,"routes":[
 {"name":"again","hostname":"a.example","prefix":"/again/","routeType":"idempotent","timeoutMs":20000,"backend":"model","attempts":1}],
 "backends":[{"name":"model","healthPath":"/healthz","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1"],"prepaid":100000000000}]}`))
	process := f.start()
	require.Eventually(b, func() bool {
		status, _, err := f.send(b.Context(), "0", "/again/", time.Second)
		return err == nil && status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
	var sent, refused atomic.Int64
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			status, _, err := f.send(b.Context(), fmt.Sprint("r", sent.Add(1)), "/again/", 5*time.Second)
			if err != nil || status != http.StatusOK {
				refused.Add(1)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(sent.Load())/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(refused.Load()), "refused")
	require.NoError(b, process.Process.Kill())
}
