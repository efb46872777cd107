package biller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

// BenchmarkPage reports the stored size of a bill line.
func BenchmarkPage(b *testing.B) {
	const lines = 1000
	page := &Page{}
	for i := range lines {
		page.Lines = append(page.Lines, Line{
			Key:           contractor.NewRequestKey("loft-7", string(rune(i))),
			Budget:        "drafts",
			Tokens:        contractor.Tokens(500 + i),
			At:            time.Unix(int64(1_800_000_000+i), 0),
			Zone:          "gulf-south-a",
			Entry:         "entry-17",
			KeyFromCaller: i%2 == 0,
		})
	}
	size := 0
	for b.Loop() {
		value, err := EncodePage(page)
		require.NoError(b, err)
		size = len(value)
	}
	b.ReportMetric(float64(size)/lines, "bytes_per_line")
}
