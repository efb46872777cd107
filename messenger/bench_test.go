package messenger

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapAndStackBytes returns the memory of heap and stacks after a garbage collection.
func heapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkSlopeCall measures one call at a time between two daemons. Both run in
// one process, so the processor time includes both ends.
func BenchmarkSlopeCall(b *testing.B) {
	for _, size := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			f := newFleet(b)
			from, to := f.start("vm-a", nil), f.start("vm-b", nil)
			value := strings.Repeat("x", size)
			_, err := echo(from, to.Self(), value)
			require.NoError(b, err)
			traffic, used := from.Traffic(), processorTime(b)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := echo(from, to.Self(), value); err != nil {
					b.Fatal(err)
				}
			}
			calls := float64(b.N)
			b.ReportMetric(float64((processorTime(b)-used).Microseconds())/calls, "cpu-µs/call")
			after := from.Traffic()
			packets := float64(after.PacketsSent + after.PacketsReceived - traffic.PacketsSent - traffic.PacketsReceived)
			wire := float64(after.BytesSent+after.BytesReceived-traffic.BytesSent-traffic.BytesReceived) + packets*headerBytes
			b.ReportMetric(packets/calls, "packets/call")
			b.ReportMetric(wire/calls, "wire-B/call")
		})
	}
}

// BenchmarkSlopeParallelCall measures concurrent calls on one connection.
func BenchmarkSlopeParallelCall(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFleet(b)
			from, to := f.start("vm-a", nil), f.start("vm-b", nil)
			value := strings.Repeat("x", 256)
			_, err := echo(from, to.Self(), value)
			require.NoError(b, err)
			used := processorTime(b)
			var running sync.WaitGroup
			b.ResetTimer()
			for range callers {
				running.Go(func() {
					for range b.N / callers {
						_, _ = echo(from, to.Self(), value)
					}
				})
			}
			running.Wait()
			b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(b.N), "cpu-µs/call")
		})
	}
}

// BenchmarkSlopeConnection measures the cost of opening and holding connections to
// peers. Both ends run in one process; the figures are for one end.
func BenchmarkSlopeConnection(b *testing.B) {
	for _, peers := range []int{8, 100, 400} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				measureConnections(b, peers)
			}
		})
	}
}

func measureConnections(b *testing.B, peers int) {
	f := newFleet(b)
	longIdleTimeout := func(c *QUICConfig) { c.IdleTimeout = time.Minute }
	hub := f.start("hub", longIdleTimeout)
	var others []*QUIC
	for i := range peers {
		others = append(others, f.start(contractor.VM(fmt.Sprintf("vm-%03d", i)), longIdleTimeout))
	}
	memory, used, goroutines := heapAndStackBytes(), processorTime(b), runtime.NumGoroutine()
	for _, o := range others {
		if _, err := echo(hub, o.Self(), "hi"); err != nil {
			b.Fatal(err)
		}
	}
	ends := float64(2 * peers)
	traffic := hub.Traffic()
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/ends, "cpu-µs/dial")
	b.ReportMetric(float64(traffic.BytesSent+traffic.BytesReceived)/float64(peers), "wire-B/dial")
	b.ReportMetric((heapAndStackBytes()-memory)/ends, "held-B/conn")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/ends, "goroutines/conn")
	used = processorTime(b)
	const idle = 2 * time.Second
	time.Sleep(idle)
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/ends/idle.Seconds(), "idle-cpu-µs/conn/s")
	for _, o := range append(others, hub) {
		require.NoError(b, o.Close())
	}
}

func ExampleCall() {
	type greeting struct {
		Name string `cbor:"1,keyasint"`
	}
	const methodGreet Method = 7
	var loopback Loopback
	mux := &Mux{}
	Handle(mux, methodGreet, func(_ context.Context, from Peer, g *greeting) (*greeting, error) {
		return &greeting{Name: g.Name + " from " + string(from.VM)}, nil
	})
	loopback.Attach("entry-2", mux)
	caller := loopback.Caller(Peer{VM: "entry-1"})
	to := Peer{VM: "entry-2", Address: netip.MustParseAddrPort("10.0.0.12:7443")}
	response, err := Call[greeting, greeting](context.Background(), caller, to, methodGreet, &greeting{Name: "hello"})
	fmt.Println(response.Name, err)
	// Output: hello from entry-1 <nil>
}
