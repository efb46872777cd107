package placer

import (
	"slices"
	"time"

	"laburnumline/announcer"
	"laburnumline/registrar"
)

// candidate is an upstream that a query may go to.
type candidate struct {
	upstream *registrar.Upstream
	node     *node
	work     float64
	weight   uint64
}

// Choose returns the upstream for a request and counts the request there until
// End. It reports false when no upstream is left.
func (p *Placer) Choose(now time.Time, q Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.candidates(now, q)
	if len(list) == 0 {
		return Choice{}, false
	}
	var best *candidate
	var reading time.Duration
	if q.Engine {
		best, reading = pickByCost(now, list, q)
	} else {
		best = p.pickByWork(list)
	}
	p.begin(now, best.node, q, reading)
	return Choice{Upstream: *best.upstream, reading: reading}, true
}

// begin counts a request at an upstream.
func (p *Placer) begin(now time.Time, n *node, q Query, reading time.Duration) {
	n.inFlight++
	n.reading += reading
	if !n.ejectedUntil.IsZero() {
		n.trial = true
	}
	for _, part := range shared(q.Parts) {
		n.remember(now, part.ID)
		if len(p.unsent) < maxUnsent {
			p.unsent = append(p.unsent, announcer.Placement{Upstream: uint32(n.hash), Part: part.ID})
		}
	}
}

// forgetParts drops the parts that count no more, or all when there are too many.
func (n *node) forgetParts(now time.Time) {
	for id, at := range n.parts {
		if now.Sub(at) > partMemory {
			delete(n.parts, id)
		}
	}
	if len(n.parts) > maxParts/2 {
		clear(n.parts)
	}
}

// shared returns the parts of a prompt that other requests may have too.
func shared(parts []Part) []Part { return parts[:max(len(parts)-1, 0)] }

// candidates returns the upstreams that may get the request: those that are not
// left out, or all when more than half would be.
func (p *Placer) candidates(now time.Time, q Query) []candidate {
	var sound, left []candidate
	for i := range q.Candidates {
		u := &q.Candidates[i]
		if slices.Contains(q.Skip, u.Name) {
			continue
		}
		n := p.node(u)
		c := candidate{upstream: u, node: n, work: n.work(now)}
		if n.ejected(now) {
			left = append(left, c)
		} else {
			sound = append(sound, c)
		}
	}
	if len(left) > len(sound) && len(q.Candidates) > 3 {
		return append(sound, left...)
	}
	if len(sound) == 0 {
		return left
	}
	return sound
}

func (n *node) ejected(now time.Time) bool {
	return !n.ejectedUntil.IsZero() && (now.Before(n.ejectedUntil) || n.trial)
}

// work is the number of requests at the upstream, as far as it is known here.
func (n *node) work(now time.Time) float64 {
	_, elsewhere := n.elsewhere(now)
	own := float64(n.inFlight + elsewhere)
	if n.loadAt.IsZero() || now.Sub(n.loadAt) > loadMemory {
		return own
	}
	return max(own, float64(n.load.Running+n.load.Waiting))
}

// pickByCost takes the upstream at which the request costs least, and returns the
// time to read there what does not lie there.
func pickByCost(now time.Time, list []candidate, q Query) (*candidate, time.Duration) {
	key := affinity(q.Parts)
	home := 0
	for i := range list {
		list[i].weight = rendezvous(key, list[i].node.hash)
		if list[i].weight > list[home].weight {
			home = i
		}
	}
	best, least, reading := 0, time.Duration(0), time.Duration(0)
	for i := range list {
		n := list[i].node
		cold := readingTime(n.missing(now, q, i == home))
		elsewhere, _ := n.elsewhere(now)
		cost := readWeight*cold + n.reading + elsewhere + time.Duration(list[i].work*float64(requestWork))
		if i == 0 || cost < least || cost == least && list[i].weight > list[best].weight {
			best, least, reading = i, cost, cold
		}
	}
	return &list[best], reading
}

// missing returns how many tokens of a prompt have to be read at an upstream: all
// from the first part on that does not lie there, or at its home half of them.
func (n *node) missing(now time.Time, q Query, home bool) int64 {
	tokens := q.Tokens
	for _, part := range shared(q.Parts) {
		at, sent := n.parts[part.ID]
		switch {
		case sent && now.Sub(at) <= partMemory:
			tokens -= part.Tokens
		case home:
			tokens -= part.Tokens / 2
		default:
			return max(tokens, 0)
		}
	}
	return max(tokens, 0)
}

func readingTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Second))
}

// crossZone is what a request to another zone costs, counted in requests that wait
// at an upstream of the own zone: bytes between zones are priced, and an empty
// upstream elsewhere is better than a busy one here.
const crossZone = 2

// pickByWork takes the upstream with the least work for its slots.
func (p *Placer) pickByWork(list []candidate) *candidate {
	best, cost := &list[0], 0.0
	for i := range list {
		c := &list[i]
		own := c.work
		if c.upstream.Zone != p.config.Zone {
			own += crossZone
		}
		if i == 0 || own < cost {
			best, cost = c, own
		}
	}
	return best
}

// Answered notes that the first part of an answer has come, so that its prompt is read.
func (p *Placer) Answered(c *Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.chosen(c); n != nil && !c.read {
		n.reading = max(n.reading-c.reading, 0)
	}
	c.read = true
}

// chosen returns the state of a chosen upstream, or nil when it has been forgotten.
func (p *Placer) chosen(c *Choice) *node {
	n := p.nodes[c.Upstream.Name]
	if n == nil || n.born != c.Upstream.StartedAtMs {
		return nil
	}
	return n
}

// End notes how a chosen request ended.
func (p *Placer) End(now time.Time, c *Choice, r Result) {
	p.Answered(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.chosen(c)
	if n == nil {
		return
	}
	n.inFlight = max(n.inFlight-1, 0)
	if r.Load != nil {
		n.load, n.loadAt = *r.Load, now
	}
	n.learn(now, r.Outcome)
}

func (n *node) learn(now time.Time, o Outcome) {
	switch o {
	case Served:
		n.failures, n.ejectedUntil, n.trial = 0, time.Time{}, false
	case Full:
		n.trial = false
		n.loadAt = now
		n.load.Waiting = max(n.load.Waiting, n.load.Slots)
	case Abandoned:
		n.trial = false
	case Failed, Unreachable, Misdirected:
		n.trial = false
		n.failures++
		if o == Failed && n.failures < failuresToEject {
			return
		}
		shift := min(n.failures-1, 5)
		n.ejectedUntil = now.Add(min(firstEjection<<shift, longestEjection))
	}
}

// Keep forgets upstreams that are not listed any more.
func (p *Placer) Keep(listed func(registrar.Name) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range p.nodes {
		if !listed(name) {
			delete(p.nodes, name)
			delete(p.byHash, uint32(n.hash))
		}
	}
}
