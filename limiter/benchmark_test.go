package limiter

import (
	"context"
	"fmt"
	"testing"

	"laburnumline/contractor"
)

// BenchmarkAdmit measures one admission and its release with few and with many
// accounts.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{10, 2100} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			l := New(Config{})
			requests := make([]Request, accounts)
			for i := range requests {
				account := contractor.Account(fmt.Sprint("loft-", i))
				requests[i] = Request{Account: account, Target: "m", Rate: contractor.Rate{Requests: 1e9}}
			}
			b.ReportAllocs()
			for i := range b.N {
				a, err := l.Admit(context.Background(), requests[i%accounts])
				if err != nil {
					b.Fatal(err)
				}
				a.Release(Outcome{})
			}
		})
	}
}
