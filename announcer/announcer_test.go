package announcer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/quarantiner"
)

// part is all that an announcer talks to in one daemon.
type part struct {
	mu       sync.Mutex
	loads    []Load
	placed   []Placement
	heard    []Notice
	suspects []quarantiner.Record
	learned  []contractor.Revision
}

func (p *part) Collect(int, int) ([]Load, []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads, p.placed
}

func (p *part) Hear(_ time.Time, n *Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = append(p.heard, *n)
}

func (p *part) Revisions() []contractor.Revision { return []contractor.Revision{7, 9} }

func (p *part) Learn(_ time.Time, records []quarantiner.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects = append(p.suspects, records...)
}

// changes is the part of a daemon that learns of changes in the store.
type changes struct{ *part }

func (c changes) Learn(revisions []contractor.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned = revisions
}

// address returns a free loopback address.
func address(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func start(t *testing.T, from uint32, own, peer netip.AddrPort, p *part) *Announcer {
	t.Helper()
	a, err := New(Config{
		Address: own, Peers: func() []netip.AddrPort { return []netip.AddrPort{peer} }, From: from,
		Source: p, Sink: p, Suspects: p, Changes: changes{p},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return a
}

func TestNoticesReachOtherDaemons(t *testing.T) {
	here, there := address(t), address(t)
	one := &part{loads: []Load{{Upstream: 5, Reading: 300, InFlight: 2}}, placed: []Placement{{Upstream: 5, Part: 1 << 60}}}
	other := &part{}
	a := start(t, 1, here, there, one)
	start(t, 2, there, here, other)
	a.Share([]quarantiner.Record{{Digest: quarantiner.Digest{1}, Victims: []string{"i-7"}}})
	require.Eventually(t, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return len(other.heard) > 0 && len(other.suspects) > 0 && len(other.learned) > 0
	}, time.Minute, time.Millisecond)
	other.mu.Lock()
	defer other.mu.Unlock()
	require.Equal(t, one.loads, other.heard[0].Loads)
	require.Equal(t, one.placed, other.heard[0].Placed)
	require.Equal(t, uint32(1), other.heard[0].From)
	require.Equal(t, []string{"i-7"}, other.suspects[0].Victims)
	require.Equal(t, []contractor.Revision{7, 9}, other.learned)
}

func TestOldAndOwnNoticesDoNotCount(t *testing.T) {
	a := &Announcer{config: Config{From: 1}, seen: make(map[uint32]uint64)}
	require.True(t, a.fresh(&Notice{From: 2, Sequence: 5}))
	require.False(t, a.fresh(&Notice{From: 2, Sequence: 5}), "twice")
	require.False(t, a.fresh(&Notice{From: 2, Sequence: 4}), "overtaken")
	require.True(t, a.fresh(&Notice{From: 2, Sequence: 6}))
	require.False(t, a.fresh(&Notice{From: 1, Sequence: 9}), "its own")
}

func TestRecordsAreToldSeveralTimes(t *testing.T) {
	a := &Announcer{}
	a.Share([]quarantiner.Record{{Digest: quarantiner.Digest{1}}})
	for range repeats {
		require.Len(t, a.suspects(), 1)
	}
	require.Empty(t, a.suspects())
}
