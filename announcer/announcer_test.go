package announcer

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/quarantiner"
	"laburnumline/throttler"
)

// fakeDaemon is the Source, Sink and Suspects of an announcer and records what arrives.
type fakeDaemon struct {
	mu        sync.Mutex
	loads     []Load
	placed    []Placement
	received  []Notice
	suspects  []quarantiner.Record
	revisions []contractor.Revision
	// limits are announced, learntLimits have arrived.
	limits, learntLimits []throttler.Report
}

func (p *fakeDaemon) Collect(int, int) ([]Load, []Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads, p.placed
}

func (p *fakeDaemon) Receive(_ time.Time, n *Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = append(p.received, *n)
}

func (p *fakeDaemon) Revisions() []contractor.Revision { return []contractor.Revision{7, 9} }

func (p *fakeDaemon) Merge(_ time.Time, records []quarantiner.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspects = append(p.suspects, records...)
}

// revisionTracker is the Revisions of an announcer. It records what Learn receives in the
// fakeDaemon.
type revisionTracker struct{ *fakeDaemon }

func (c revisionTracker) Learn(revisions []contractor.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions = revisions
}

// limitTracker is the Limits of an announcer. It records what Merge receives in the fakeDaemon.
type limitTracker struct{ *fakeDaemon }

func (c limitTracker) Collect(time.Time, int) []throttler.Report { return c.limits }

func (c limitTracker) Merge(_ time.Time, reports []throttler.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learntLimits = reports
}

// freeAddress returns a free loopback address.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func startAnnouncer(t *testing.T, incarnation uint32, own, peer netip.AddrPort, p *fakeDaemon) *Announcer {
	t.Helper()
	a, err := New(Config{
		Address: own, Peers: func() []netip.AddrPort { return []netip.AddrPort{peer} }, Incarnation: incarnation,
		Source: p, Sink: p, Suspects: p, Limits: limitTracker{p}, Revisions: revisionTracker{p},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return a
}

// Guards against content of a notice that is lost on the way to another daemon.
func TestNoticesReachOtherDaemons(t *testing.T) {
	here, there := freeAddress(t), freeAddress(t)
	sender := &fakeDaemon{loads: []Load{{Upstream: 5, Reading: 300, InFlight: 2}}, placed: []Placement{{Upstream: 5, Part: 1 << 60}}, limits: []throttler.Report{{Upstream: 5, Stated: true, Rate: 1.1, AgeMs: 20}}}
	receiver := &fakeDaemon{}
	a := startAnnouncer(t, 1, here, there, sender)
	startAnnouncer(t, 2, there, here, receiver)
	a.AnnounceSuspects([]quarantiner.Record{{Digest: quarantiner.Digest{1}, CrashedUpstreams: []string{"i-7"}}})
	require.Eventually(t, func() bool {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		return len(receiver.received) > 0 && len(receiver.suspects) > 0 && len(receiver.revisions) > 0
	}, time.Minute, time.Millisecond)
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	require.Equal(t, sender.loads, receiver.received[0].Loads)
	require.Equal(t, sender.placed, receiver.received[0].Placed)
	require.Equal(t, uint32(1), receiver.received[0].From)
	require.Equal(t, []string{"i-7"}, receiver.suspects[0].CrashedUpstreams)
	require.Equal(t, []contractor.Revision{7, 9}, receiver.revisions)
	require.Equal(t, sender.limits, receiver.learntLimits)
}

// Guards against stale state from duplicated or reordered datagrams, and against a daemon
// that counts its own load twice.
func TestOldAndOwnNoticesAreIgnored(t *testing.T) {
	a := &Announcer{config: Config{Incarnation: 1}, lastSequence: make(map[uint32]uint64)}
	require.True(t, a.accept(&Notice{From: 2, Sequence: 5}))
	require.False(t, a.accept(&Notice{From: 2, Sequence: 5}), "twice")
	require.False(t, a.accept(&Notice{From: 2, Sequence: 4}), "overtaken")
	require.True(t, a.accept(&Notice{From: 2, Sequence: 6}))
	require.False(t, a.accept(&Notice{From: 1, Sequence: 9}), "its own")
}

// In a large fleet the next notice is seconds away. A suspect with several crashes must not wait
// for it, and a single crash must not cost a notice to each daemon.
func TestUrgentSuspectsAreAnnouncedEarly(t *testing.T) {
	tests := []struct {
		name    string
		crashes []string
		want    time.Duration // of the second notice
	}{
		{"one crash", []string{"i-1"}, minInterval + 3*time.Second},
		{"two crashes", []string{"i-1", "i-2"}, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &Announcer{urgent: make(chan struct{}, 1)}
				start, times := time.Now(), []time.Duration(nil)
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				time.AfterFunc(2*time.Second-minInterval, func() {
					a.AnnounceSuspects([]quarantiner.Record{{CrashedUpstreams: tt.crashes}})
				})
				a.schedule(ctx, func() time.Duration { times = append(times, time.Since(start)); return 3 * time.Second })
				require.Len(t, times, 2)
				require.Equal(t, tt.want, times[1])
			})
		})
	}
}

// After the crash of many upstreams, records of sound parts fill several notices. Those with
// several crashes must not wait for them, nor what clears a sound part: until it arrives, further
// crashes count for it. Only the latest record of a suspect is announced.
func TestUrgentSuspectsAreAnnouncedFirst(t *testing.T) {
	a := &Announcer{}
	for i := range byte(2 * maxSuspects) {
		a.AnnounceSuspects([]quarantiner.Record{{Digest: quarantiner.Digest{i}, CrashedUpstreams: []string{"i-1"}}})
	}
	worst := quarantiner.Record{Digest: quarantiner.Digest{3}, CrashedUpstreams: []string{"i-1", "i-2"}}
	sound := quarantiner.Record{Digest: quarantiner.Digest{4}, Lifts: 1}
	a.AnnounceSuspects([]quarantiner.Record{sound})
	a.AnnounceSuspects([]quarantiner.Record{worst})
	first := a.nextSuspects()
	require.Len(t, first, maxSuspects)
	require.Equal(t, []quarantiner.Record{worst, sound}, first[:2])
	require.Len(t, a.pendingSuspects, 2*maxSuspects)
}

// Guards against a suspect that stays unknown elsewhere because one datagram was lost.
func TestSuspectsAreAnnouncedSeveralTimes(t *testing.T) {
	a := &Announcer{}
	a.AnnounceSuspects([]quarantiner.Record{{Digest: quarantiner.Digest{1}}})
	for range announcementsPerSuspect {
		require.Len(t, a.nextSuspects(), 1)
	}
	require.Empty(t, a.nextSuspects())
}

// Guards against notices that exceed the receive buffer: such a datagram would be truncated
// and lost with all its loads.
func TestLongNoticesAreSplit(t *testing.T) {
	a := &Announcer{config: Config{Incarnation: 1 << 31}, sequence: 1 << 40}
	all := Notice{From: 1 << 31, Revisions: []contractor.Revision{1 << 50, 1 << 50}}
	for i := range maxLoads {
		all.Loads = append(all.Loads, Load{Upstream: 1<<31 + uint32(i), Reading: 70_000, InFlight: 500})
	}
	for i := range maxPlacements {
		all.Placed = append(all.Placed, Placement{Upstream: 1<<31 + uint32(i), Part: 1<<63 + uint64(i)})
	}
	for i := range maxSuspects {
		all.Suspects = append(all.Suspects, quarantiner.Record{
			Digest: quarantiner.Digest{byte(i), 255}, CrashedUpstreams: []string{"i-0123456789abcdef", "i-1123456789abcdef", "i-2123456789abcdef"},
			Version: 1 << 40, LastCrash: 1 << 40,
		})
	}
	datagrams, err := a.encode(all)
	require.NoError(t, err)
	require.Greater(t, len(datagrams), 1)
	var got Notice
	sequence := uint64(0)
	for _, datagram := range datagrams {
		require.LessOrEqual(t, len(datagram), maxNoticeBytes)
		var n Notice
		require.NoError(t, cbor.Unmarshal(datagram, &n))
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

	_, err = a.encode(Notice{Suspects: []quarantiner.Record{{CrashedUpstreams: []string{strings.Repeat("x", maxNoticeBytes)}}}})
	require.Error(t, err)
	short := Notice{Loads: all.Loads[:3]}
	datagrams, err = a.encode(short)
	require.NoError(t, err)
	require.Len(t, datagrams, 1)
}
