// Package pinner pins event streams to the software version of their upstreams.
//
// Upstreams of several software versions may serve one service side by side, and the events
// of two versions do not fit together. A stream that broke off may therefore continue at
// upstreams of the version that began it only. A caller may resume its stream at
// another daemon than the one that began it, and that one may have died with the stream.
//
// Each daemon records the versions of the streams that it begins, and sends each record to a few
// other daemons, because it may lose power at any moment. While a service has several versions, a
// record goes at once to the replicas of its stream, which rendezvous hashing determines. While
// it has one, records are collected for replicationInterval and go to the replicas of the daemon. A
// daemon that does not know a stream asks the replicas of the stream, then, if several versions are possible, all
// other daemons, and last the Archive, which outlives all of them. Records and questions are single datagrams: a lost record leaves
// other copies, and a stream that nobody knows must not continue.
//
//	p := pinner.New(pinner.Config{Self: address, Peers: peers, Send: send})
//	go p.Run(ctx)
//	err := p.Assign(ctx, pinner.StreamOf(attemptID), "v1.2") // before the request is sent
//	p.Pin(pinner.StreamOf(attemptID), "v1.2", true)          // at the first event
//	software, ok := p.Lookup(ctx, pinner.StreamOf(attemptID), true) // at another daemon
package pinner

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/recorder"
	"laburnumline/resolver"
)

// Stream identifies a stream: it is the digest of the caller's attempt that received the first
// event.
type Stream [16]byte

// StreamOf returns the stream that an attempt has begun.
func StreamOf(attempt string) Stream {
	sum := sha256.Sum256([]byte(attempt))
	return Stream(sum[:16])
}

const (
	// replicas is the number of daemons that get a copy of each record.
	replicas = 3
	// replicationInterval is the time for which records are collected while a service has one version.
	// A daemon that dies takes the records of that time with it.
	replicationInterval = 100 * time.Millisecond
	// Retention is the minimum time for which a record is kept. Callers resume a stream within
	// their deadline, which is shorter.
	Retention = time.Minute
	// maxRecords limits the records of one generation, about 64 bytes each. Two generations are
	// kept.
	maxRecords = 1 << 16
	// recentAge is how long ago the streams began that are copied when a service gets a second
	// version.
	recentAge = 15 * time.Second
)

// Archive keeps records where the end of daemons does not lose them; see package archivist.
type Archive interface {
	Assign(ctx context.Context, s Stream, software string) error
	Begin(s Stream)
	Withdraw(ctx context.Context, s Stream, wait bool) error
	Find(ctx context.Context, s Stream) (software string, ok bool, err error)
}

// Config holds what a Pinner needs.
type Config struct {
	// Self is the address of this daemon, in the form of Peers.
	Self netip.AddrPort
	// Peers returns the addresses of the other daemons.
	Peers func() []netip.AddrPort
	// Send sends a datagram. Delivery need not be reliable.
	Send func(to netip.AddrPort, datagram []byte)
	// Archive may be nil.
	Archive Archive
	// Now returns the current time. Nil means time.Now.
	Now      func() time.Time
	Recorder *recorder.Recorder
}

// record is what is known about a stream.
type record struct {
	software string
	begunAt  time.Time // zero in the copy of another daemon
}

// Pinner records the versions of streams. It is safe for concurrent use.
type Pinner struct {
	config Config

	mu sync.Mutex
	// recent and older are the records of the last two generations.
	recent, older map[Stream]record
	rotatedAt     time.Time
	// unsent are the records that wait for the next call of replicate.
	unsent       []copied
	questions    map[uint64]*question
	lastQuestion uint64
}

// New returns a Pinner without records.
func New(c Config) *Pinner {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Pinner{
		config: c, recent: make(map[Stream]record), older: make(map[Stream]record), rotatedAt: c.Now(),
		questions: make(map[uint64]*question),
	}
}

// Run sends copies of records to other daemons until ctx ends.
func (p *Pinner) Run(ctx context.Context) {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.replicate()
		}
	}
}

// Assign announces that the request for a stream is sent to an upstream of a version. After an error it must not be sent.
func (p *Pinner) Assign(ctx context.Context, s Stream, software string) error {
	if p.config.Archive == nil {
		return nil
	}
	return p.config.Archive.Assign(ctx, s, software)
}

// Withdraw announces that the request for a stream is sent to another daemon, which may choose another version. While the service has
// several, it must not be sent after an error.
func (p *Pinner) Withdraw(ctx context.Context, s Stream, several bool) error {
	if p.config.Archive == nil {
		return nil
	}
	return p.config.Archive.Withdraw(ctx, s, several)
}

// Pin records the version of the first event of a stream. If the service has several versions, another daemon may be asked for it at any
// moment, so copies are sent at once. Otherwise Run sends them.
func (p *Pinner) Pin(s Stream, software string, several bool) {
	p.store(s, record{software: software, begunAt: p.config.Now()})
	if p.config.Archive != nil {
		p.config.Archive.Begin(s)
	}
	c := copied{Stream: s, Software: software}
	if !several {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.unsent) < maxRecords {
			p.unsent = append(p.unsent, c)
		}
		return
	}
	for _, peer := range p.replicasOf(s) {
		if peer != p.config.Self {
			p.send(peer, &message{Records: []copied{c}})
		}
	}
}

// replicate sends copies of the collected records to the replicas of this daemon.
func (p *Pinner) replicate() {
	p.mu.Lock()
	records := p.unsent
	p.unsent = nil
	p.mu.Unlock()
	if len(records) == 0 {
		return
	}
	own := StreamOf(p.config.Self.String())
	peers := slices.DeleteFunc(p.membersFor(own), func(a netip.AddrPort) bool { return a == p.config.Self })
	for _, peer := range peers[:min(len(peers), replicas)] {
		p.sendRecords(peer, records)
	}
}

// sendRecords sends copies of records in as few datagrams as possible.
func (p *Pinner) sendRecords(peer netip.AddrPort, records []copied) {
	for chunk := range slices.Chunk(records, maxCopied) {
		p.send(peer, &message{Records: chunk})
	}
}

// ReplicateRecent sends copies of the recent records to their replicas. It is called when a service
// gets a second version.
func (p *Pinner) ReplicateRecent() {
	now := p.config.Now()
	var own []copied
	p.mu.Lock()
	for _, generation := range []map[Stream]record{p.older, p.recent} {
		for s, r := range generation {
			if !r.begunAt.IsZero() && now.Sub(r.begunAt) <= recentAge {
				own = append(own, copied{Stream: s, Software: r.software})
			}
		}
	}
	p.mu.Unlock()
	byPeer := make(map[netip.AddrPort][]copied)
	for _, c := range own {
		for _, peer := range p.replicasOf(c.Stream) {
			byPeer[peer] = append(byPeer[peer], c)
		}
	}
	delete(byPeer, p.config.Self)
	for peer, list := range byPeer {
		p.sendRecords(peer, list)
	}
}

// Announce sends a notice to all other daemons that a software version of a service is stored. A notice
// is a record of a stream that no attempt begins, so older daemons keep it without effect.
func (p *Pinner) Announce(service resolver.ServiceName, software string) {
	notice := &message{Records: []copied{{Stream: noticeOf(service, software), Software: software}}}
	for _, peer := range p.config.Peers() {
		p.send(peer, notice)
	}
}

// Announced reports whether a notice about a software version of a service has arrived within Retention.
func (p *Pinner) Announced(service resolver.ServiceName, software string) bool {
	known, ok := p.known(noticeOf(service, software))
	return ok && known == software
}

// noticeOf returns the stream of a notice. IDs of attempts are header values, which have no zero byte.
func noticeOf(service resolver.ServiceName, software string) Stream {
	return StreamOf("software\x00" + string(service) + "\x00" + software)
}

func (p *Pinner) store(s Stream, r record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	if now.Sub(p.rotatedAt) >= Retention || len(p.recent) >= maxRecords {
		p.older, p.recent, p.rotatedAt = p.recent, make(map[Stream]record), now
	}
	p.recent[s] = r
}

// known returns the version of a stream that this daemon knows.
func (p *Pinner) known(s Stream) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.recent[s]
	if !ok {
		r, ok = p.older[s]
	}
	return r.software, ok
}

// Lookup returns the version of a stream, or false if no daemon that answers knows it. In a large
// fleet it asks the replicas of the stream, and the other daemons and the archive only if its service has several versions.
func (p *Pinner) Lookup(ctx context.Context, s Stream, several bool) (software string, ok bool) {
	if software, ok := p.known(s); ok {
		return software, true
	}
	peers := p.config.Peers()
	first := slices.DeleteFunc(p.replicasOf(s), func(a netip.AddrPort) bool { return a == p.config.Self })
	if len(peers) <= maxFirstPeers {
		first = peers
	}
	software, ok = p.ask(ctx, s, first)
	if ok || !several {
		return software, ok
	}
	rest := slices.DeleteFunc(slices.Clone(peers), func(a netip.AddrPort) bool { return slices.Contains(first, a) })
	if software, ok = p.ask(ctx, s, rest); ok {
		return software, true
	}
	return p.findArchived(ctx, s)
}

// findArchived looks a stream up in the archive. What is found is kept here, for the next daemon that asks.
func (p *Pinner) findArchived(ctx context.Context, s Stream) (software string, ok bool) {
	if p.config.Archive == nil {
		return "", false
	}
	software, ok, err := p.config.Archive.Find(ctx, s)
	if err != nil {
		p.config.Recorder.Event(recorder.StreamArchiveFailed, "step", "find", "err", err)
	}
	if ok {
		p.store(s, record{software: software})
		p.config.Recorder.Event(recorder.StreamRecovered, "software", software)
	}
	return software, ok
}

// replicasOf returns the daemons that keep copies of a stream's record, which may include this one.
func (p *Pinner) replicasOf(s Stream) []netip.AddrPort {
	members := p.membersFor(s)
	return members[:min(len(members), replicas)]
}

// membersFor returns all daemons in the order in which rendezvous hashing prefers them for a stream.
func (p *Pinner) membersFor(s Stream) []netip.AddrPort {
	members := append(slices.Clone(p.config.Peers()), p.config.Self)
	weights := make(map[netip.AddrPort]uint64, len(members))
	for _, m := range members {
		weights[m] = rendezvousWeight(s, m)
	}
	slices.SortFunc(members, func(a, b netip.AddrPort) int { return cmp.Compare(weights[b], weights[a]) })
	return members
}

func rendezvousWeight(s Stream, member netip.AddrPort) uint64 {
	var b [34]byte
	copy(b[:16], s[:])
	address := member.Addr().As16()
	copy(b[16:32], address[:])
	binary.LittleEndian.PutUint16(b[32:], member.Port())
	return xxhash.Sum64(b[:])
}
