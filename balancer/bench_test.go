package balancer

import (
	"fmt"
	"testing"
	"time"

	"laburnumline/announcer"
)

// The choice runs under one lock for each request of a daemon. Its time must stay below 15 us with
// 140 upstreams, and its allocations must not grow with their number.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{140, 320} {
		for _, daemons := range []int{0, 60} {
			b.Run(fmt.Sprintf("upstreams=%d/daemons=%d", count, daemons), func(b *testing.B) {
				now := time.Unix(1000, 0)
				balancer := New(Config{})
				q := prompt(7)
				q.Candidates = upstreams(count)
				balancer.Choose(now, q)
				for from := range daemons {
					n := announcer.Notice{From: uint32(from + 1)}
					for _, s := range balancer.states {
						n.Loads = append(n.Loads, announcer.Load{Upstream: uint32(s.hash), Reading: 5, InFlight: 1})
					}
					balancer.Receive(now, &n)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					q.Parts[0].ID = uint64(i % 97)
					c, _ := balancer.Choose(now, q)
					balancer.End(now, &c, Result{})
				}
			})
		}
	}
}
