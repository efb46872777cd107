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
		for _, load := range []string{"idle", "60 daemons", "reports"} {
			b.Run(fmt.Sprintf("upstreams=%d/%s", count, load), func(b *testing.B) {
				now := time.Unix(1000, 0)
				balancer := New(Config{})
				q := prompt(7)
				q.Candidates = upstreams(count)
				balancer.Choose(now, q)
				for from := range uint32(60) {
					n := announcer.Notice{From: from + 1}
					for _, s := range balancer.states {
						n.Loads = append(n.Loads, announcer.Load{Upstream: uint32(s.hash), Reading: 5, InFlight: 1})
					}
					if load != "idle" {
						balancer.Receive(now, &n)
					}
				}
				for _, s := range balancer.states {
					if load == "reports" {
						s.reported.record(now, Load{Running: NewFigure(3), Waiting: NewFigure(1)})
						s.speed.report(now, 1.1)
						q.Memory, q.TimeLeft, q.Account = 400_000, 5*time.Second, "a"
					}
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
