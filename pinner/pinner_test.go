package pinner

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// network connects the pinners of a fleet. Datagrams take 10 ms.
type network struct {
	pinners map[netip.AddrPort]*Pinner

	mu      sync.Mutex
	down    map[netip.AddrPort]bool
	sent    int
	longest int // bytes of the longest datagram
}

func newNetwork(daemons int) (*network, []*Pinner) {
	n := &network{pinners: make(map[netip.AddrPort]*Pinner), down: make(map[netip.AddrPort]bool)}
	var addresses []netip.AddrPort
	for i := range daemons {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7002))
	}
	var list []*Pinner
	for i, self := range addresses {
		others := append(append([]netip.AddrPort(nil), addresses[:i]...), addresses[i+1:]...)
		p := New(Config{Self: self, Peers: func() []netip.AddrPort { return others }, Send: func(to netip.AddrPort, datagram []byte) {
			n.count(datagram)
			time.AfterFunc(10*time.Millisecond, func() {
				if n.connects(self, to) {
					n.pinners[to].Receive(self, datagram)
				}
			})
		}})
		n.pinners[self] = p
		list = append(list, p)
	}
	return n, list
}

func (n *network) count(datagram []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	n.longest = max(n.longest, len(datagram))
}

// totals returns the number of datagrams and the size of the longest one.
func (n *network) totals() (sent, longest int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent, n.longest
}

func (n *network) connects(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.down[from] && !n.down[to]
}

func (n *network) crash(p *Pinner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[p.config.Self] = true
}

// The daemon that began a stream has died. Every other daemon must find the version at its
// replicas, and soon know that of a stream that nobody knows.
func TestVersionOutlivesItsDaemon(t *testing.T) {
	for _, daemons := range []int{2, 7, 295} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, fleet := newNetwork(daemons)
				fleet[0].Pin(StreamOf("a"), "v1.2", true)
				time.Sleep(20 * time.Millisecond)
				require.LessOrEqual(t, n.sent, replicas)
				n.crash(fleet[0])
				for _, p := range fleet[1:min(len(fleet), 20)] {
					software, ok := p.Lookup(t.Context(), StreamOf("a"), true)
					require.True(t, ok)
					require.Equal(t, "v1.2", software)
					start := time.Now()
					_, ok = p.Lookup(t.Context(), StreamOf("b"), true)
					require.False(t, ok)
					require.LessOrEqual(t, time.Since(start), 2*answerTimeout)
				}
				synctest.Wait()
			})
		})
	}
}

// A daemon loses power while its service has one version. Others must know the versions of its streams when they are asked,
// because a second version may join before that.
func TestRecordsOfASingleVersionOutliveTheirDaemon(t *testing.T) {
	for _, daemons := range []int{2, 7, 295} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, fleet := newNetwork(daemons)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go fleet[0].Run(ctx)
				const streams = 100
				for i := range streams {
					fleet[0].Pin(StreamOf(fmt.Sprint(i)), "v1.2", false)
				}
				time.Sleep(replicationInterval + 20*time.Millisecond)
				sent, longest := n.totals()
				require.LessOrEqual(t, sent, replicas*streams/maxCopied)
				require.LessOrEqual(t, longest, MaxMessageBytes)
				n.crash(fleet[0])
				for i := range streams {
					software, ok := fleet[1].Lookup(t.Context(), StreamOf(fmt.Sprint(i)), true)
					require.True(t, ok)
					require.Equal(t, "v1.2", software)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// In a large fleet that starts anew, callers resume many streams that nobody knows. While one version is
// possible, each question must not go to the whole fleet.
func TestUnknownStreamIsAskedOfReplicasOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, fleet := newNetwork(295)
		_, ok := fleet[0].Lookup(t.Context(), StreamOf("a"), false)
		require.False(t, ok)
		require.LessOrEqual(t, n.sent, 2*replicas)
		synctest.Wait()
	})
}

// When a service gets a second version, recent records are copied to the replicas of their streams, which are asked first.
func TestRecentRecordsAreReplicatedOnDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, fleet := newNetwork(7)
		fleet[0].Pin(StreamOf("old"), "v1", false)
		time.Sleep(recentAge + time.Second)
		for i := range 500 {
			fleet[0].Pin(StreamOf(fmt.Sprint(i)), strings.Repeat("v", maxSoftwareBytes), false)
		}
		require.Zero(t, n.sent)
		fleet[0].ReplicateRecent()
		time.Sleep(20 * time.Millisecond)
		require.LessOrEqual(t, n.longest, MaxMessageBytes)
		n.crash(fleet[0])
		for i := range 500 {
			_, ok := fleet[1].Lookup(t.Context(), StreamOf(fmt.Sprint(i)), true)
			require.True(t, ok)
		}
		_, ok := fleet[1].Lookup(t.Context(), StreamOf("old"), true)
		require.False(t, ok)
		synctest.Wait()
	})
}

// Records must not fill the memory, and must be kept for as long as callers resume streams.
func TestRecordsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Config{Now: func() time.Time { return now }, Peers: func() []netip.AddrPort { return nil }})
	for i := range 3 * maxRecords {
		p.Pin(StreamOf(fmt.Sprint(i)), "v1", false)
	}
	require.LessOrEqual(t, len(p.recent)+len(p.older), 2*maxRecords)
	p = New(Config{Now: func() time.Time { return now }, Peers: func() []netip.AddrPort { return nil }})
	p.Pin(StreamOf("a"), "v1", false)
	now = now.Add(Retention)
	p.Pin(StreamOf("b"), "v1", false)
	_, ok := p.Lookup(context.Background(), StreamOf("a"), true)
	require.True(t, ok)
	now = now.Add(Retention)
	p.Pin(StreamOf("c"), "v1", false)
	_, ok = p.Lookup(context.Background(), StreamOf("a"), true)
	require.False(t, ok)
}

// Datagrams that are damaged, late, repeated or from a stranger change nothing.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, fleet := newNetwork(3)
		stranger := netip.MustParseAddrPort("10.9.9.9:1")
		n.pinners[stranger] = fleet[2]
		fleet[0].Receive(stranger, []byte{0xff, 0x00})
		fleet[0].Receive(stranger, nil)
		q := &question{awaited: map[netip.AddrPort]bool{fleet[1].config.Self: true}, software: make(chan string, 1)}
		fleet[0].questions[1] = q
		answer := &message{Question: -1, Known: true, Software: "v1"}
		fleet[0].receiveAnswer(stranger, answer)
		require.Empty(t, q.software)
		fleet[0].receiveAnswer(fleet[1].config.Self, answer)
		fleet[0].receiveAnswer(fleet[1].config.Self, answer)
		require.Len(t, q.software, 1)
		synctest.Wait()
	})
}

// Notices that a version is stored reach the other daemons, and are not taken for another version's.
func TestNoticesOfStoredVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newNetwork(7)
		fleet[0].Announce("drafts", "v2")
		time.Sleep(20 * time.Millisecond)
		for _, p := range fleet[1:] {
			require.True(t, p.Announced("drafts", "v2"))
			require.False(t, p.Announced("drafts", "v1"))
			require.False(t, p.Announced("other", "v2"))
		}
		synctest.Wait()
	})
}
