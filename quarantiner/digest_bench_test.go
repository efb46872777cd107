package quarantiner

import (
	"fmt"
	"strings"
	"testing"
)

// The digest is computed for every request to an engine before it is sent.
func BenchmarkDigestOf(b *testing.B) {
	for _, size := range []int{1 << 10, 8 << 10, 64 << 10} {
		body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}],"stream":true}`, strings.Repeat("mesh and twine ", size/15))
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for range b.N {
				DigestOf(body)
			}
		})
	}
}
