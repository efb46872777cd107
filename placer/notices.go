package placer

import (
	"time"

	"laburnumline/announcer"
)

const (
	// noticeMemory is how long the work of another daemon counts after its last
	// notice. Notices come every 100 ms, in a fleet of 91 daemons every 900 ms.
	noticeMemory = 2 * time.Second
	// maxUnsent bounds the placements that wait for the next notice.
	maxUnsent = 256
)

// foreign is the work that another daemon has at an upstream.
type foreign struct {
	reading  time.Duration
	inFlight int
	at       time.Time
}

// Collect returns the work of this daemon at upstreams where it has changed or goes
// on, and the parts that it has sent since the last call.
func (p *Placer) Collect(loads, placed int) ([]announcer.Load, []announcer.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var own []announcer.Load
	for _, n := range p.nodes {
		if n.inFlight == 0 && !n.told || len(own) >= loads {
			continue
		}
		n.told = n.inFlight > 0
		own = append(own, announcer.Load{
			Upstream: uint32(n.hash), Reading: uint32(n.reading.Milliseconds()), InFlight: uint32(n.inFlight),
		})
	}
	count := min(len(p.unsent), placed)
	sent := p.unsent[:count:count]
	p.unsent = p.unsent[count:]
	return own, sent
}

// Receive takes the notice of another daemon.
func (p *Placer) Receive(now time.Time, notice *announcer.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range notice.Loads {
		n := p.byHash[l.Upstream]
		if n == nil {
			continue
		}
		if l.InFlight == 0 {
			delete(n.others, notice.From)
			continue
		}
		n.others[notice.From] = foreign{
			reading: time.Duration(l.Reading) * time.Millisecond, inFlight: int(l.InFlight), at: now,
		}
	}
	for _, placed := range notice.Placed {
		if n := p.byHash[placed.Upstream]; n != nil {
			n.remember(now, placed.Part)
		}
	}
}

// elsewhere returns the work that other daemons have at the upstream.
func (n *node) elsewhere(now time.Time) (time.Duration, int) {
	reading, inFlight := time.Duration(0), 0
	for from, f := range n.others {
		if now.Sub(f.at) > noticeMemory {
			delete(n.others, from)
			continue
		}
		reading += f.reading
		inFlight += f.inFlight
	}
	return reading, inFlight
}

// remember notes that a part was sent to the upstream.
func (n *node) remember(now time.Time, part uint64) {
	if len(n.parts) >= maxParts {
		n.forgetParts(now)
	}
	n.parts[part] = now
}
