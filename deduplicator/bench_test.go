package deduplicator_test

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
)

// BenchmarkClaim measures the first execution of a non-idempotent call and a retry.
func BenchmarkClaim(b *testing.B) {
	s := emulator.NewStore(emulator.StoreConfig{KeepRevisions: 1000})
	d := newDaemon(b, s, "a", nil)
	var n uint64
	for _, name := range []string{"first", "retry"} {
		b.Run(name, func(b *testing.B) {
			before := s.Counts()
			calls := 0
			for b.Loop() {
				calls++
				if name == "first" {
					n++
				}
				var k contractor.RequestKey
				binary.BigEndian.PutUint64(k[:], n)
				result, err := d.Claim(b.Context(), "loft-7", k, fingerprint1)
				require.NoError(b, err)
				if result.Claim != nil {
					require.NoError(b, d.Complete(b.Context(), result.Claim, response))
				}
			}
			now := s.Counts()
			b.ReportMetric(float64(now.Writes-before.Writes)/float64(calls), "writes/call")
			b.ReportMetric(float64(now.Reads-before.Reads)/float64(calls), "reads/call")
		})
	}
}
