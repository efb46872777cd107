// Package announcer tells the daemons of a fleet what the others have under way.
//
// Many daemons send requests to the same upstreams, and each sees only its own. So
// every daemon sends the others a small datagram several times a second: how much
// work it has at which upstream, and which parts of prompts it has sent where. A
// notice replaces the one before it, so a lost one does no harm, and nothing is
// decided that would be wrong without it. That is why it goes over plain UDP: a QUIC
// connection to each daemon would cost a handshake of 10 ms for what may be lost.
//
//	a, err := announcer.New(announcer.Config{Address: address, Peers: peers, Source: p, Sink: p})
//	go a.Run(ctx)
package announcer

import (
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
)

const (
	// interval is the time between two notices of a small fleet. Reading a long
	// prompt takes some 300 ms.
	interval = 100 * time.Millisecond
	// perPeer bounds what a notice to each daemon costs in a large fleet: about a
	// hundred datagrams a second.
	perPeer = 10 * time.Millisecond
	// maxNotice is the largest datagram in bytes, which fits into one packet.
	maxNotice = 1400
	// maxPlaced and maxLoads bound what is told at once: about one datagram each.
	maxPlaced = 48
	maxLoads  = 64
)

// Load is the work of one daemon at one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's name
	Reading  uint32   // time to read the prompts under way, in milliseconds
	InFlight uint32   // requests under way
}

// Placement is a part of a prompt that was sent to an upstream.
type Placement struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32   // hash of the upstream's name
	Part     uint64   // id of the part
}

// Notice is what one daemon tells.
type Notice struct {
	_ struct{} `cbor:",toarray"`
	// From differs in each run of a daemon.
	From uint32
	// Sequence grows with each notice of a run.
	Sequence uint64
	Loads    []Load
	Placed   []Placement
	// Suspects are requests that have crashed upstreams.
	Suspects []quarantiner.Record
	// Revisions are the newest changes of the store's prefixes that the daemon
	// follows, in an order that all daemons share.
	Revisions []contractor.Revision
}

// Source says what this daemon has to tell since the last call.
type Source interface {
	Collect(loads, placed int) ([]Load, []Placement)
}

// Revisions tells and hears of the newest changes in the store.
type Revisions interface {
	Revisions() []contractor.Revision
	Learn(revisions []contractor.Revision)
}

// Suspects learns of requests that have crashed upstreams.
type Suspects interface {
	Merge(now time.Time, records []quarantiner.Record)
}

// Sink takes the notices of other daemons.
type Sink interface {
	Hear(now time.Time, n *Notice)
}

// Config holds what an Announcer needs.
type Config struct {
	// Address is where notices arrive.
	Address netip.AddrPort
	// Peers returns the addresses of the other daemons.
	Peers func() []netip.AddrPort
	// From differs in each run of a daemon.
	From     uint32
	Source   Source
	Sink     Sink
	Suspects Suspects
	Changes  Revisions
	Recorder *recorder.Recorder
}

// Announcer sends and receives notices.
type Announcer struct {
	config   Config
	conn     *net.UDPConn
	sequence uint64
	// pending are the records to tell and how often they were not told yet.
	mu      sync.Mutex
	pending []pendingRecord

	seen map[uint32]uint64 // newest sequence by sender
}

// pendingRecord is a record that is told several times, because notices are lost.
type pendingRecord struct {
	record quarantiner.Record
	left   int
}

const (
	// repeats is how often a record is told.
	repeats = 5
	// maxSuspects bounds the records that are told at once: less than half a datagram.
	maxSuspects = 4
	// maxPending bounds the records that wait.
	maxPending = 64
)

// Share tells the other daemons of records with the next notices.
func (a *Announcer) Share(records []quarantiner.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		if len(a.pending) < maxPending {
			a.pending = append(a.pending, pendingRecord{r, repeats})
		}
	}
}

// suspects returns the records of the next notice.
func (a *Announcer) suspects() []quarantiner.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	var records []quarantiner.Record
	for i := range a.pending {
		if len(records) == maxSuspects {
			break
		}
		records = append(records, a.pending[i].record)
		a.pending[i].left--
	}
	a.pending = slices.DeleteFunc(a.pending, func(r pendingRecord) bool { return r.left <= 0 })
	return records
}

// maxSenders bounds the senders that are remembered. Restarted daemons are new ones.
const maxSenders = 4096

// New opens the socket.
func New(c Config) (*Announcer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, fmt.Errorf("listen for notices on %s: %w", c.Address, err)
	}
	return &Announcer{config: c, conn: conn, seen: make(map[uint32]uint64)}, nil
}

// Run sends and receives until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { a.conn.Close() })
	defer stop()
	go a.receive()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := a.config.Peers()
		a.send(peers)
		timer.Reset(max(interval, time.Duration(len(peers))*perPeer))
	}
}

func (a *Announcer) send(peers []netip.AddrPort) {
	loads, placed := a.config.Source.Collect(maxLoads, maxPlaced)
	suspects := a.suspects()
	if len(peers) == 0 || len(loads)+len(placed)+len(suspects) == 0 {
		return
	}
	texts, err := a.encode(Notice{
		From: a.config.From, Loads: loads, Placed: placed, Suspects: suspects, Revisions: a.config.Changes.Revisions(),
	})
	if err != nil {
		a.config.Recorder.Event(recorder.NoticeFailed, "step", "encode", "err", err)
		return
	}
	for _, text := range texts {
		for _, peer := range peers {
			if _, err := a.conn.WriteToUDPAddrPort(text, peer); err != nil {
				a.config.Recorder.Count("announcer.not_sent", 1)
			}
		}
	}
}

// encode returns a notice as one datagram, or as several when it is too long for one.
func (a *Announcer) encode(n Notice) ([][]byte, error) {
	a.sequence++
	n.Sequence = a.sequence
	text, err := cbor.Marshal(n)
	if err != nil {
		return nil, err
	}
	if len(text) <= maxNotice {
		return [][]byte{text}, nil
	}
	if len(n.Loads) <= 1 && len(n.Placed) <= 1 && len(n.Suspects) <= 1 {
		return nil, fmt.Errorf("a notice of %d bytes cannot be split", len(text))
	}
	first, second := n, n
	first.Loads, second.Loads = halves(n.Loads)
	first.Placed, second.Placed = halves(n.Placed)
	first.Suspects, second.Suspects = halves(n.Suspects)
	texts, err := a.encode(first)
	if err != nil {
		return nil, err
	}
	more, err := a.encode(second)
	return append(texts, more...), err
}

func halves[T any](list []T) (first, second []T) {
	middle := len(list) / 2
	return list[:middle], list[middle:]
}

// receive reads notices until the socket is closed.
func (a *Announcer) receive() {
	buffer := make([]byte, maxNotice)
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
		if a.fresh(&notice) {
			a.config.Sink.Hear(time.Now(), &notice)
			a.config.Changes.Learn(notice.Revisions)
			if len(notice.Suspects) > 0 {
				a.config.Suspects.Merge(time.Now(), notice.Suspects)
			}
		}
	}
}

// fresh reports whether a notice is newer than all of its sender before.
func (a *Announcer) fresh(n *Notice) bool {
	if n.From == a.config.From || n.Sequence <= a.seen[n.From] {
		return false
	}
	if len(a.seen) >= maxSenders {
		clear(a.seen)
	}
	a.seen[n.From] = n.Sequence
	return true
}
