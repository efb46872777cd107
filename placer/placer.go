// Package placer chooses the upstream that runs a request.
//
// Engines keep the prompts that they have read, and reading a long prompt again
// costs more than all else. So a request goes where the parts of its prompt
// probably lie: a rendezvous hash of the last part that it shares with other
// requests gives every upstream a rank, the same on every daemon without a message.
// The first is the home of the part. Another upstream is taken when the home has so
// much more work that reading the prompt there costs less than waiting:
//
//	cost = work of the upstream + weighted time to read the parts that do not lie there
//
// A part lies where daemons sent it of late, as they tell each other; of a part that
// nobody has told of, half is taken to lie at its home. Work is what the daemons
// have under way and what the upstream said of its load, in units of time.
// Requests to plain services go to the upstream with the least work, and to one of
// the own zone among equals.
//
// Upstreams that fail are left out for a while. The while doubles with each failure
// in a row; at most half of a service is left out, so that a fault that all show does
// not empty it.
//
//	p := placer.New(placer.Config{Zone: "gulf-south-a"})
//	choice, ok := p.Choose(now, placer.Query{Candidates: list, Parts: parts})
//	...
//	p.Answered(&choice)
//	...
//	p.End(now, &choice, placer.Result{Outcome: placer.Served})
package placer

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/announcer"
	"laburnumline/registrar"
)

// Part is a piece of a prompt, which requests may share.
type Part struct {
	ID     uint64
	Tokens int64
}

// Query describes a request that needs an upstream.
type Query struct {
	// Candidates are the upstreams of the service.
	Candidates []registrar.Upstream
	// Parts are the parts of the prompt in order. The last one is the request's own.
	Parts []Part
	// Engine is true for services whose work is counted in tokens.
	Engine bool
	// Tokens is the length of the prompt.
	Tokens int64
	// Skip holds upstreams that had the request already.
	Skip []registrar.Name
}

// Outcome is how a request ended at an upstream.
type Outcome uint8

const (
	// Served means that a whole answer came.
	Served Outcome = iota
	// Full means that the upstream did not run the request for want of room.
	Full
	// Failed means that the upstream failed the request or broke off.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misdirected means that another upstream has the address now.
	Misdirected
	// Abandoned means that the caller or the daemon broke the request off.
	Abandoned
)

// String returns the name that logs show.
func (o Outcome) String() string {
	names := [...]string{"served", "full", "failed", "unreachable", "misdirected", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// Load is what an upstream said of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Result is what was learnt from a request.
type Result struct {
	Outcome Outcome
	// Load is nil when the upstream did not tell it.
	Load *Load
}

// Choice is the upstream for a request.
type Choice struct {
	Upstream registrar.Upstream
	// reading is the time to read what does not lie at the upstream.
	reading time.Duration
	// read is set when the first part of the answer has come.
	read bool
}

const (
	// readRate is how many prompt tokens an engine reads in a second. Engines of the
	// users read 54,600, and less beside streams.
	readRate = 45_000.0
	// readWeight is how much dearer reading is than waiting as long: it delays all
	// requests at the upstream, and a copy takes memory from other parts.
	readWeight = 5
	// requestWork is what one request at an upstream costs the next one, beside its
	// prompt.
	requestWork = 12 * time.Millisecond
	// partMemory is how long a part that was sent to an upstream counts as lying there.
	// Parts yield when the memory of the engine is full.
	partMemory = 30 * time.Second
	// maxParts bounds the parts that are remembered for one upstream.
	maxParts = 512
	// firstEjection doubles with each failure in a row up to longestEjection. A
	// crashed upstream is back after some seconds.
	firstEjection   = 300 * time.Millisecond
	longestEjection = 4 * time.Second
	// failuresToEject is the number of failures in a row that eject. Upstreams fail
	// single requests while they are sound.
	failuresToEject = 2
	// loadMemory is how long a reported load counts. Reports are some hundred
	// milliseconds old when they arrive.
	loadMemory = time.Second
)

// Config holds what a Placer needs.
type Config struct {
	Zone string
}

// Placer keeps what one daemon knows about upstreams. It is safe for concurrent use.
type Placer struct {
	config Config

	mu     sync.Mutex
	nodes  map[registrar.Name]*node
	byHash map[uint32]*node
	unsent []announcer.Placement
}

// node is the state of one upstream.
type node struct {
	hash     uint64
	born     int64
	inFlight int
	// reading is the time to read the prompts that were sent and not answered yet.
	reading time.Duration
	// parts is when parts were last sent here.
	parts map[uint64]time.Time
	// others is the work of other daemons, by their run.
	others map[uint32]foreign
	// told is true when the last notice named work here.
	told     bool
	load     Load
	loadAt   time.Time
	failures int
	// ejectedUntil is when the upstream may get requests again.
	ejectedUntil time.Time
	// trial is true while one request tries an upstream that was ejected.
	trial bool
}

// New returns a placer that knows nothing.
func New(c Config) *Placer {
	return &Placer{config: c, nodes: make(map[registrar.Name]*node), byHash: make(map[uint32]*node)}
}

func (p *Placer) node(u *registrar.Upstream) *node {
	n := p.nodes[u.Name]
	if n == nil || n.born != u.StartedAtMs {
		n = &node{
			hash: xxhash.Sum64String(string(u.Name)), born: u.StartedAtMs,
			parts: make(map[uint64]time.Time), others: make(map[uint32]foreign),
		}
		p.nodes[u.Name] = n
		p.byHash[uint32(n.hash)] = n
	}
	return n
}

// affinity returns the hash key of a prompt: its last shared part, or the only one.
func affinity(parts []Part) uint64 {
	if len(parts) == 0 {
		return 0
	}
	return parts[max(len(parts)-2, 0)].ID
}

// rendezvous returns the weight of an upstream for a key.
func rendezvous(key, upstream uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], upstream)
	return xxhash.Sum64(b[:])
}
