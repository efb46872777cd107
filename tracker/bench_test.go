package tracker

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/certifier"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

// processorTime returns the processor time used by the process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes in heap and stacks after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// fleet is a fixture of trackers in one process, usually connected by QUIC over the
// loopback interface.
type fleet struct {
	lister     *fakeLister
	trackers   []*Tracker
	transports []*messenger.QUIC
	running    sync.WaitGroup
	cancel     context.CancelFunc
}

func startFleet(b testing.TB, size, zones int) *fleet {
	f := &fleet{lister: &fakeLister{list: make(map[contractor.VM]ListedVM)}}
	authority, err := certifier.NewAuthority("fleet", time.Hour)
	require.NoError(b, err)
	pair, err := authority.Issue(certifier.Request{Lifetime: time.Hour})
	require.NoError(b, err)
	keys, err := certifier.NewCredentials(pair, authority.Certificate())
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range size {
		mux, rec := &messenger.Mux{}, recorder.New()
		q, err := messenger.NewQUIC(messenger.QUICConfig{
			Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Self: messenger.Peer{
				VM:          contractor.VM(fmt.Sprintf("vm-%03d", i)),
				Zone:        contractor.Zone(fmt.Sprintf("zone-%d", i%zones)),
				Incarnation: 1,
			},
			Keys:     keys,
			Mux:      mux,
			Recorder: rec,
		})
		require.NoError(b, err)
		self := q.Self()
		f.lister.set(ListedVM{VM: self.VM, Zone: self.Zone, Address: self.Address})
		f.transports = append(f.transports, q)
		f.trackers = append(f.trackers, New(Config{Self: self, Lister: f.lister, Caller: q, Mux: mux, Recorder: rec}))
	}
	for _, t := range f.trackers {
		f.running.Go(func() { _ = t.Run(ctx) })
		<-t.Ready()
	}
	return f
}

func (f *fleet) stop() {
	f.cancel()
	f.running.Wait()
	var closing sync.WaitGroup
	for _, q := range f.transports {
		closing.Go(func() { _ = q.Close() })
	}
	closing.Wait()
}

// converged reports whether all daemons know each other.
func (f *fleet) converged() bool {
	for _, t := range f.trackers {
		if len(t.Snapshot()) != len(f.trackers) {
			return false
		}
	}
	return true
}

func (f *fleet) traffic() (bytes, packets float64) {
	for _, q := range f.transports {
		t := q.Traffic()
		bytes += float64(t.BytesSent + t.BytesReceived)
		packets += float64(t.PacketsSent + t.PacketsReceived)
	}
	return bytes, packets
}

// BenchmarkMembership measures the processor time, traffic, connections and memory
// that membership costs an idle daemon. All daemons run in one process.
func BenchmarkMembership(b *testing.B) {
	for _, tt := range []struct{ daemons, zones int }{{8, 3}, {48, 8}, {96, 8}} {
		b.Run(fmt.Sprintf("daemons=%d", tt.daemons), func(b *testing.B) {
			for b.Loop() {
				measureMembership(b, tt.daemons, tt.zones)
			}
		})
	}
}

func measureMembership(b *testing.B, daemons, zones int) {
	before := memoryInUse()
	f := startFleet(b, daemons, zones)
	defer f.stop()
	started := time.Now()
	require.Eventually(b, f.converged, 2*time.Minute, 100*time.Millisecond)
	b.ReportMetric(time.Since(started).Seconds(), "settled-s")
	// Connections opened at the start are closed after 30 s without use.
	const idleWait, span = 45 * time.Second, 10 * time.Second
	time.Sleep(idleWait)
	processorUsed := processorTime(b)
	bytes, packets := f.traffic()
	time.Sleep(span)
	processorUsed = processorTime(b) - processorUsed
	bytesAfter, packetsAfter := f.traffic()
	n := float64(daemons)
	wire := bytesAfter - bytes + (packetsAfter-packets)*headerBytes
	b.ReportMetric(100*processorUsed.Seconds()/span.Seconds()/n, "cpu-%core/daemon")
	b.ReportMetric(wire/n/span.Seconds(), "wire-B/s/daemon")
	connections := 0
	for _, q := range f.transports {
		connections += q.Connections()
	}
	b.ReportMetric(float64(connections)/n, "connections/daemon")
	b.ReportMetric((memoryInUse()-before)/n/1e6, "held-MB/daemon")
}

// countingCaller counts the calls and bytes of a daemon.
type countingCaller struct {
	messenger.Caller
	calls, bytes *atomic.Int64
}

func (c countingCaller) Call(ctx context.Context, to messenger.Peer, method messenger.Method, request []byte) ([]byte, error) {
	response, err := c.Caller.Call(ctx, to, method, request)
	c.calls.Add(1)
	c.bytes.Add(int64(len(request) + len(response)))
	return response, err
}

// BenchmarkProbes measures the calls of an idle daemon, and its processor time without
// the transport.
func BenchmarkProbes(b *testing.B) {
	for _, daemons := range []int{8, 100, 400} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureProbes(b, daemons)
			}
		})
	}
}

func measureProbes(b *testing.B, daemons int) {
	before := memoryInUse()
	f := &fleet{lister: &fakeLister{list: make(map[contractor.VM]ListedVM)}}
	var loopback messenger.Loopback
	var calls, bytes atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	defer f.stop()
	for i := range daemons {
		p := newPeer(contractor.Zone(rune('a'+i%8)), i, 1)
		mux := &messenger.Mux{}
		caller := countingCaller{loopback.Caller(p), &calls, &bytes}
		t := New(Config{Self: p, Lister: f.lister, Caller: caller, Mux: mux})
		loopback.Attach(p.VM, mux)
		f.lister.set(ListedVM{VM: p.VM, Zone: p.Zone, Address: p.Address})
		f.trackers = append(f.trackers, t)
		f.running.Go(func() { _ = t.Run(ctx) })
		<-t.Ready()
	}
	require.Eventually(b, f.converged, 2*time.Minute, 100*time.Millisecond)
	const span = 10 * time.Second
	time.Sleep(2 * defaultPollPeriod)
	processorUsed, callsBefore, bytesBefore := processorTime(b), calls.Load(), bytes.Load()
	time.Sleep(span)
	processorUsed = processorTime(b) - processorUsed
	n := float64(daemons) * span.Seconds()
	b.ReportMetric(float64(calls.Load()-callsBefore)/n, "calls/s/daemon")
	b.ReportMetric(float64(bytes.Load()-bytesBefore)/n, "payload-B/s/daemon")
	b.ReportMetric(100*processorUsed.Seconds()/n, "cpu-%core/daemon")
	b.ReportMetric((memoryInUse()-before)/float64(daemons)/1e3, "held-KB/daemon")
}

// BenchmarkRound measures the decisions of one round, without messages.
func BenchmarkRound(b *testing.B) {
	for _, members := range []int{8, 100, 400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			v := fleetView(members)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(v.config.ProbePeriod)
				v.tick(now)
			}
		})
	}
}

// BenchmarkRecordChange measures the merge of one changed record and the rebuild of
// the directory.
func BenchmarkRecordChange(b *testing.B) {
	for _, members := range []int{8, 100, 400} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			v := fleetView(members)
			r := Record{Peer: newPeer("a", 1, 1)}
			b.ReportAllocs()
			for b.Loop() {
				r.Sequence++
				v.merge([]Record{r}, start)
				v.directory()
			}
		})
	}
}

// BenchmarkVMList measures decoding and applying a list, and reports its size with and
// without compression.
func BenchmarkVMList(b *testing.B) {
	for _, vms := range []int{50, 500, 5100} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			var text bytes.Buffer
			text.WriteString(`{"vms":[`)
			for i := range vms {
				fmt.Fprintf(&text, `{"vm":"runner-%05d","zone":"zone-%d","address":"10.%d.%d.%d:7443","state":"live"},`, i, i%8, i%8, i/250, i%250)
			}
			text.Truncate(text.Len() - 1)
			text.WriteString(`]}`)
			var compressed bytes.Buffer
			w := gzip.NewWriter(&compressed)
			_, err := w.Write(text.Bytes())
			require.NoError(b, err)
			require.NoError(b, w.Close())
			var l HTTPLister
			v := newTestView(1)
			b.ReportAllocs()
			for b.Loop() {
				list, err := l.decode(text.Bytes())
				require.NoError(b, err)
				v.applyList(list, start)
			}
			b.ReportMetric(float64(text.Len()), "list-B")
			b.ReportMetric(float64(compressed.Len()), "gzip-B")
		})
	}
}

// BenchmarkKeeper measures the selection of a keeper.
func BenchmarkKeeper(b *testing.B) {
	for _, members := range []int{3, 13, 50} {
		b.Run(fmt.Sprintf("zone=%d", members), func(b *testing.B) {
			z := newTestView(members).directory().zones["a"]
			b.ReportAllocs()
			for b.Loop() {
				z.keeper("client-account-7")
			}
		})
	}
}

// fleetView returns a view of this number of members in up to 8 zones.
func fleetView(members int) *view {
	v := newTestView(1)
	for i := 1; i < members; i++ {
		zone := contractor.Zone(rune('a' + i%8))
		v.merge([]Record{{Peer: newPeer(zone, i, 1)}}, start)
	}
	return v
}
