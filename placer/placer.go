// Package placer chooses the upstream that runs a request.
//
// Engines keep the prompts that they have read, and reading a long prompt again
// costs more than all else. So a request goes where the parts of its prompt
// probably lie: a rendezvous hash of the last part that it shares with other
// requests names a short list of upstreams, the same on every daemon without a
// message. Of these the one with the least work is taken; when it has much more
// than the others of its service, the part is hot, and the next of the hash serves
// too. Requests without shared parts go to the upstream with the least work, and
// to one of the own zone among equals.
//
// Upstreams that fail are left out for a while. The while doubles with each failure
// in a row; at most half of a service is left out, so that a fault that all show does
// not empty it.
//
//	p := placer.New(placer.Config{Zone: "gulf-south-a"})
//	choice, ok := p.Choose(now, placer.Query{Candidates: list, Parts: parts})
//	...
//	p.End(now, choice, placer.Result{Outcome: placer.Served, FirstByte: d})
package placer

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// First is the time to the first byte of the answer, or zero.
	First time.Duration
	// Load is nil when the upstream did not tell it.
	Load *Load
}

// Choice is the upstream for a request.
type Choice struct {
	Upstream registrar.Upstream
	tokens   int64
	key      uint64
}

const (
	// hotFactor and hotSlack: the upstreams of a part are passed over when they
	// have more than hotFactor times the mean work and hotSlack requests more. The
	// figures are those of the forwarder in the users' first measurements.
	hotFactor = 2
	hotSlack  = 3
	// replicas is the number of upstreams that serve a shared part in calm times.
	replicas = 2
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

	mu    sync.Mutex
	nodes map[registrar.Name]*node
}

// node is the state of one upstream.
type node struct {
	hash     uint64
	born     int64
	inFlight int
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
	return &Placer{config: c, nodes: make(map[registrar.Name]*node)}
}

func (p *Placer) node(u *registrar.Upstream) *node {
	n := p.nodes[u.Name]
	if n == nil || n.born != u.Born {
		n = &node{hash: xxhash.Sum64String(string(u.Name)), born: u.Born}
		p.nodes[u.Name] = n
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
