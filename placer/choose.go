package placer

import (
	"slices"
	"time"

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
	key := affinity(q.Parts)
	if q.Engine && key != 0 {
		best = pickByPart(list, key)
	} else {
		best = p.pickByWork(list)
	}
	best.node.inFlight++
	if !best.node.ejectedUntil.IsZero() {
		best.node.trial = true
	}
	return Choice{Upstream: *best.upstream, key: key, tokens: q.Tokens}, true
}

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
	own := float64(n.inFlight)
	if n.loadAt.IsZero() || now.Sub(n.loadAt) > loadMemory {
		return own
	}
	return max(own, float64(n.load.Running+n.load.Waiting))
}

// pickByPart takes the better of the upstreams to which the part belongs, unless
// they have much more work than the mean.
func pickByPart(list []candidate, key uint64) *candidate {
	total := 0.0
	for i := range list {
		list[i].weight = rendezvous(key, list[i].node.hash)
		total += list[i].work
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	bound := hotFactor*total/float64(len(list)) + hotSlack
	home := list[:min(replicas, len(list))]
	best := least(home)
	if best.work <= bound {
		return best
	}
	for i := range list {
		if list[i].work <= bound {
			return &list[i]
		}
	}
	return least(list)
}

// least returns the candidate with the least work; the first among equals.
func least(list []candidate) *candidate {
	best := &list[0]
	for i := range list {
		if list[i].work < best.work {
			best = &list[i]
		}
	}
	return best
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

// End notes how a chosen request ended.
func (p *Placer) End(now time.Time, c Choice, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.nodes[c.Upstream.Name]
	if n == nil || n.born != c.Upstream.Born {
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
	for name := range p.nodes {
		if !listed(name) {
			delete(p.nodes, name)
		}
	}
}
