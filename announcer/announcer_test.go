package announcer

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
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

func (p *part) Merge(_ time.Time, records []quarantiner.Record) {
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
	a.Share([]quarantiner.Record{{Digest: quarantiner.Digest{1}, CrashedUpstreams: []string{"i-7"}}})
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
	require.Equal(t, []string{"i-7"}, other.suspects[0].CrashedUpstreams)
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

// Whatever a daemon has to tell arrives whole: a datagram that is longer than what is read
// of it would be lost, with all the loads in it.
func TestLongNoticesAreSplit(t *testing.T) {
	a := &Announcer{config: Config{From: 1 << 31}, sequence: 1 << 40}
	all := Notice{From: 1 << 31, Revisions: []contractor.Revision{1 << 50, 1 << 50}}
	for i := range maxLoads {
		all.Loads = append(all.Loads, Load{Upstream: 1<<31 + uint32(i), Reading: 70_000, InFlight: 500})
	}
	for i := range maxPlaced {
		all.Placed = append(all.Placed, Placement{Upstream: 1<<31 + uint32(i), Part: 1<<63 + uint64(i)})
	}
	for i := range maxSuspects {
		all.Suspects = append(all.Suspects, quarantiner.Record{
			Digest: quarantiner.Digest{byte(i), 255}, CrashedUpstreams: []string{"i-0123456789abcdef", "i-1123456789abcdef", "i-2123456789abcdef"},
			Version: 1 << 40, LastCrash: 1 << 40,
		})
	}
	texts, err := a.encode(all)
	require.NoError(t, err)
	require.Greater(t, len(texts), 1)
	var got Notice
	sequence := uint64(0)
	for _, text := range texts {
		require.LessOrEqual(t, len(text), maxNotice)
		var n Notice
		require.NoError(t, cbor.Unmarshal(text, &n))
		require.Greater(t, n.Sequence, sequence)
		sequence = n.Sequence
		require.Equal(t, all.Revisions, n.Revisions)
		got.Loads = append(got.Loads, n.Loads...)
		got.Placed = append(got.Placed, n.Placed...)
		got.Suspects = append(got.Suspects, n.Suspects...)
	}
	require.Equal(t, all.Loads, got.Loads)
	require.Equal(t, all.Placed, got.Placed)
	require.Equal(t, all.Suspects, got.Suspects)

	_, err = a.encode(Notice{Suspects: []quarantiner.Record{{CrashedUpstreams: []string{strings.Repeat("x", maxNotice)}}}})
	require.Error(t, err)
	one := Notice{Loads: all.Loads[:3]}
	texts, err = a.encode(one)
	require.NoError(t, err)
	require.Len(t, texts, 1)
}
