// Package announcer sends the current load of each daemon to all other daemons.
//
// Many daemons send requests to the same upstreams, and each daemon sees only its own
// requests. Several times a second, every daemon therefore sends the others a small
// datagram, a notice: how much work it has at which upstream, and which prompt parts it has
// sent where. A prompt part is one identified segment of a prompt's prefix. A notice also
// carries suspects, which are requests that have crashed upstreams (package quarantiner),
// request limits of upstreams (package throttler), and the store revisions that the daemon
// knows.
//
// Notices are hints: they improve decisions, but correctness does not depend on them. Each
// replaces the one before, which makes a lost notice harmless. They are sent over plain UDP
// because delivery need not be reliable, and a QUIC connection to each daemon would cost a
// handshake of 10 ms.
//
//	a, err := announcer.New(announcer.Config{Address: address, Peers: peers, Source: p, Sink: p})
//	go a.Run(ctx)
package announcer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/throttler"
)

const (
	// minInterval is the time between two notices in a small fleet. It is short compared
	// with the prefill of a long prompt, which takes about 300 ms.
	minInterval = 100 * time.Millisecond
	// intervalPerPeer lengthens the interval in a large fleet. A daemon sends at most about
	// 100 datagrams per second.
	intervalPerPeer = 10 * time.Millisecond
	// maxNoticeBytes is the maximum size of a datagram. It fits into one IP packet.
	maxNoticeBytes = 1400
	// maxPlacements and maxLoads limit the content of one notice. Each fills about one
	// datagram.
	maxPlacements = 48
	maxLoads      = 64
	// maxLimits limits the request limits in one notice to half a datagram.
	maxLimits = 24
)

// Load is the work of one daemon at one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's name
	Reading  uint32   // prefill time of the prompts in flight, in milliseconds
	InFlight uint32   // requests in flight
}

// Placement is a prompt part that was sent to an upstream.
type Placement struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's name
	Part     uint64   // ID of the prompt part
}

// Notice is the message of one daemon to the others.
type Notice struct {
	_ struct{} `cbor:",toarray"`
	// From identifies the incarnation of the sender.
	From uint32
	// Sequence increases with each notice of an incarnation.
	Sequence uint64
	Loads    []Load
	Placed   []Placement
	// Suspects are requests that have crashed upstreams.
	Suspects []quarantiner.Record
	// Limits are the request limits that upstreams have stated to the daemon.
	Limits []throttler.Report
	// Revisions are the latest store revisions of the key prefixes that the daemon
	// follows, in an order that is the same on all daemons.
	Revisions []contractor.Revision
}

// Source returns the loads and placements that are new since the last call.
type Source interface {
	Collect(maxLoads, maxPlacements int) ([]Load, []Placement)
}

// Revisions provides the latest store revisions that this daemon knows, and learns those
// of other daemons.
type Revisions interface {
	Revisions() []contractor.Revision
	Learn(revisions []contractor.Revision)
}

// Suspects receives records of requests that have crashed upstreams.
type Suspects interface {
	Merge(now time.Time, records []quarantiner.Record)
}

// Limits provides the request limits that upstreams have stated to this daemon, and learns
// those that they have stated to others.
type Limits interface {
	Collect(now time.Time, maxReports int) []throttler.Report
	Merge(now time.Time, reports []throttler.Report)
}

// Sink receives the notices of other daemons.
type Sink interface {
	Receive(now time.Time, n *Notice)
}

// Config holds what an Announcer needs.
type Config struct {
	// Address is the local UDP address for notices.
	Address netip.AddrPort
	// Peers returns the addresses of the other daemons.
	Peers func() []netip.AddrPort
	// Incarnation identifies this start of the daemon.
	Incarnation uint32
	Source      Source
	Sink        Sink
	Suspects    Suspects
	Limits      Limits
	Revisions   Revisions
	Recorder    *recorder.Recorder
}

// Announcer sends and receives notices.
type Announcer struct {
	config   Config
	conn     *net.UDPConn
	sequence uint64
	// urgent has a value when the next notice must not wait for its time.
	urgent chan struct{}
	// mu guards pendingSuspects, the suspects that are still to be announced.
	mu              sync.Mutex
	pendingSuspects []pendingSuspect

	lastSequence map[uint32]uint64 // latest sequence by sender
}

// pendingSuspect is a suspect that is announced several times because notices may be lost.
type pendingSuspect struct {
	record    quarantiner.Record
	remaining int // announcements still to be sent
}

const (
	announcementsPerSuspect = 5
	// maxSuspects limits the suspects in one notice. They fill less than a datagram.
	maxSuspects = 8
	// maxPendingSuspects limits the suspects that wait for announcement.
	maxPendingSuspects = 64
	// urgentCrashes is the number of crashes from which a suspect is announced within
	// minInterval also in a large fleet, because further crashes may follow at once.
	urgentCrashes = 2
)

// AnnounceSuspects adds suspects to the next notices. A record replaces an earlier one of the
// same suspect. They are sent in the order of their urgency, and the last ones beyond
// maxPendingSuspects are dropped.
func (a *Announcer) AnnounceSuspects(records []quarantiner.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		a.pendingSuspects = slices.DeleteFunc(a.pendingSuspects, func(p pendingSuspect) bool { return p.record.Digest == r.Digest })
		a.pendingSuspects = append(a.pendingSuspects, pendingSuspect{r, announcementsPerSuspect})
	}
	slices.SortStableFunc(a.pendingSuspects, func(x, y pendingSuspect) int {
		return cmp.Compare(urgency(&y.record), urgency(&x.record))
	})
	a.pendingSuspects = a.pendingSuspects[:min(len(a.pendingSuspects), maxPendingSuspects)]
	if slices.ContainsFunc(records, func(r quarantiner.Record) bool { return urgency(&r) == severalCrashes }) {
		a.Hasten()
	}
}

// Hasten makes the announcer send the next notice within minInterval.
func (a *Announcer) Hasten() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// The urgencies of suspects, the least first.
const (
	oneCrash = iota
	// cleared suspects precede those with one crash: after the crash of many upstreams these are
	// many, and what clears a sound one must arrive before further crashes count for it.
	cleared
	severalCrashes
)

func urgency(r *quarantiner.Record) int {
	switch {
	case len(r.CrashedUpstreams) >= urgentCrashes:
		return severalCrashes
	case len(r.CrashedUpstreams) == 0:
		return cleared
	}
	return oneCrash
}

// nextSuspects returns the suspects for the next notice.
func (a *Announcer) nextSuspects() []quarantiner.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	var records []quarantiner.Record
	for i := range a.pendingSuspects {
		if len(records) == maxSuspects {
			break
		}
		records = append(records, a.pendingSuspects[i].record)
		a.pendingSuspects[i].remaining--
	}
	a.pendingSuspects = slices.DeleteFunc(a.pendingSuspects, func(r pendingSuspect) bool { return r.remaining <= 0 })
	return records
}

// maxSenders limits the senders in lastSequence. A restarted daemon counts as a new sender.
const maxSenders = 4096

// New opens the UDP socket.
func New(c Config) (*Announcer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for notices on %s: %w", c.Address, err)
	}
	return &Announcer{config: c, conn: conn, urgent: make(chan struct{}, 1), lastSequence: make(map[uint32]uint64)}, nil
}

// Run sends and receives notices until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { a.conn.Close() })
	defer stop()
	go a.receive()
	a.schedule(ctx, func() time.Duration {
		peers := a.config.Peers()
		a.send(peers)
		return Interval(len(peers))
	})
}

// schedule calls send until ctx ends: after the interval that its last call returned, or within
// minInterval if a suspect is urgent.
func (a *Announcer) schedule(ctx context.Context, send func() time.Duration) {
	next := time.Now().Add(minInterval)
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.urgent:
			timer.Reset(min(minInterval, time.Until(next)))
		case <-timer.C:
			interval := send()
			next = time.Now().Add(interval)
			timer.Reset(interval)
		}
	}
}

// Interval returns the time between two notices in a fleet with this number of other daemons.
func Interval(peers int) time.Duration {
	return max(minInterval, time.Duration(peers)*intervalPerPeer)
}

func (a *Announcer) send(peers []netip.AddrPort) {
	loads, placements := a.config.Source.Collect(maxLoads, maxPlacements)
	suspects, limits := a.nextSuspects(), a.config.Limits.Collect(time.Now(), maxLimits)
	if len(peers) == 0 || len(loads)+len(placements)+len(suspects)+len(limits) == 0 {
		return
	}
	datagrams, err := a.encode(Notice{
		From: a.config.Incarnation, Loads: loads, Placed: placements, Suspects: suspects, Limits: limits, Revisions: a.config.Revisions.Revisions(),
	})
	if err != nil {
		a.config.Recorder.Event(recorder.NoticeFailed, "step", "encode", "err", err)
		return
	}
	for _, datagram := range datagrams {
		for _, peer := range peers {
			if _, err := a.conn.WriteToUDPAddrPort(datagram, peer); err != nil {
				a.config.Recorder.Count("announcer.not_sent", 1)
			}
		}
	}
}

// encode returns a notice as one datagram, or as several if it is too long for one.
func (a *Announcer) encode(n Notice) ([][]byte, error) {
	a.sequence++
	n.Sequence = a.sequence
	datagram, err := cbor.Marshal(n)
	if err != nil {
		return nil, err
	}
	if len(datagram) <= maxNoticeBytes {
		return [][]byte{datagram}, nil
	}
	if len(n.Loads) <= 1 && len(n.Placed) <= 1 && len(n.Suspects) <= 1 && len(n.Limits) <= 1 {
		return nil, fmt.Errorf("a notice of %d bytes cannot be split", len(datagram))
	}
	first, second := n, n
	first.Loads, second.Loads = halves(n.Loads)
	first.Placed, second.Placed = halves(n.Placed)
	first.Suspects, second.Suspects = halves(n.Suspects)
	first.Limits, second.Limits = halves(n.Limits)
	datagrams, err := a.encode(first)
	if err != nil {
		return nil, err
	}
	rest, err := a.encode(second)
	return append(datagrams, rest...), err
}

func halves[T any](list []T) (first, second []T) {
	middle := len(list) / 2
	return list[:middle], list[middle:]
}

// receive reads notices until the socket is closed.
func (a *Announcer) receive() {
	buffer := make([]byte, maxNoticeBytes)
	for {
		n, _, err := a.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var notice Notice
		if err := cbor.Unmarshal(buffer[:n], &notice); err != nil {
			a.config.Recorder.Event(recorder.NoticeFailed, "step", "decode", "err", err)
			continue
		}
		if a.accept(&notice) {
			a.config.Sink.Receive(time.Now(), &notice)
			a.config.Revisions.Learn(notice.Revisions)
			if len(notice.Limits) > 0 {
				a.config.Limits.Merge(time.Now(), notice.Limits)
			}
			if len(notice.Suspects) > 0 {
				a.config.Suspects.Merge(time.Now(), notice.Suspects)
			}
		}
	}
}

// accept records the sequence of a notice. It reports whether the notice comes from another
// daemon and is newer than all earlier ones from there.
func (a *Announcer) accept(n *Notice) bool {
	if n.From == a.config.Incarnation || n.Sequence <= a.lastSequence[n.From] {
		return false
	}
	if len(a.lastSequence) >= maxSenders {
		clear(a.lastSequence)
	}
	a.lastSequence[n.From] = n.Sequence
	return true
}
