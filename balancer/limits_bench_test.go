package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"laburnumline/balancer"
	"laburnumline/persister"
	"laburnumline/registrar"
	"laburnumline/throttler"
)

// benchmarkChoose chooses among 140 upstreams, of which 20 state a request limit.
func benchmarkChoose(b *testing.B, r *registrar.Registrar, limits *throttler.Throttler) {
	now := time.Now()
	for _, u := range r.Of("model")[:20] {
		limits.Record(u.LimitID(), throttler.Response{SentAt: now, ReceivedAt: now, Limit: throttler.Limit{Stated: true, Rate: 5}})
	}
	balance := balancer.New(balancer.Config{Limits: limits})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		candidates := r.Of("model")
		if len(candidates) != 140 {
			b.Fatal(len(candidates))
		}
		parts := [3]balancer.Part{{ID: uint64(i % 50), Tokens: 4000}, {ID: uint64(i % 500), Tokens: 2000}, {ID: uint64(i), Tokens: 500}}
		choice, ok := balance.Choose(now, balancer.Query{Candidates: candidates, Parts: parts[:], Engine: true, Tokens: 6500})
		if ok {
			balance.End(now, &choice, balancer.Result{})
		}
	}
}

// listed returns upstreams in the zones a, b and c.
func listed(c registrar.Config, n int) *registrar.Registrar {
	c.Decode = func(key string, value []byte) (registrar.Upstream, error) {
		return registrar.Upstream{
			Name: registrar.Name(key), Service: "model", Zone: string(value), Slots: 64, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}, nil
	}
	r := registrar.New(c)
	var entries []persister.Entry
	for i := range n {
		entries = append(entries, persister.Entry{Key: fmt.Sprintf("i-%d", i), Value: []byte{byte('a' + i%3)}, Revision: 1})
	}
	r.Reset(entries)
	return r
}

func fleetMembers() ([]netip.AddrPort, bool) {
	var others []netip.AddrPort
	for i := range byte(64) {
		others = append(others, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, i}), 7000))
	}
	return others, true
}

// BenchmarkChooseAmongLimited is the cost of a choice among upstreams with request limits.
func BenchmarkChooseAmongLimited(b *testing.B) {
	benchmarkChoose(b, listed(registrar.Config{}, 140), throttler.New(throttler.Config{Members: fleetMembers}))
}

// BenchmarkChooseAmongCold is that cost while a zone is evacuated and 40 of the remaining upstreams are cold.
func BenchmarkChooseAmongCold(b *testing.B) {
	limits := throttler.New(throttler.Config{Members: fleetMembers, Warmup: func(string) throttler.Warmup {
		return throttler.Warmup{Duration: time.Hour, Rate: 6.7, MaxPerSecond: 15}
	}})
	r := listed(registrar.Config{Evacuated: func(zone string) bool { return zone == "a" }}, 210)
	for _, u := range r.Of("model")[:40] {
		limits.RecordWarmup(time.Now(), u.ThrottlerStart(), throttler.WarmupStatement{Stated: true, Left: 1000 * time.Hour})
	}
	benchmarkChoose(b, r, limits)
}
