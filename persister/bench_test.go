package persister_test

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

// BenchmarkGateway measures calls over HTTP on the loopback interface. The
// processor time includes the emulated service.
func BenchmarkGateway(b *testing.B) {
	s := emulator.NewStore(emulator.StoreConfig{KeepRevisions: 1000})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	g, err := persister.NewGateway(persister.GatewayConfig{
		Endpoints: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
	})
	require.NoError(b, err)
	defer g.Close()
	value := strings.Repeat("x", 1000)
	var revision contractor.Revision
	calls := []struct {
		name string
		call func() error
	}{
		{"commit", func() (err error) {
			revision, err = g.Commit(b.Context(), compareAndPut("a", value, revision))
			return err
		}},
		{"get", func() error {
			_, err := g.Get(b.Context(), "a")
			return err
		}},
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			startTime, n := processorTime(b), 0
			for b.Loop() {
				n++
				require.NoError(b, c.call())
			}
			b.ReportMetric(float64((processorTime(b)-startTime).Microseconds())/float64(n), "cpu-us/call")
		})
	}
}

func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
