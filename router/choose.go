package router

import (
	"math"
	"slices"
	"time"
)

const (
	// maxScan is the size up to which every upstream of a pool is a candidate.
	maxScan = 32
	// sampleSize is the number of random candidates in a large pool.
	sampleSize = 12
	// doubt is the part of a known prefix that still counts after one gap.
	doubt = 0.9
	// priorityRelief divides the wait of a request with priority.
	priorityRelief = 4
)

// never is the estimate of an upstream that may not run a request.
const never = time.Duration(math.MaxInt64)

// candidate is an upstream that may run a request.
type candidate struct {
	node *node
	// cached is the part of the prompt that is probably cached, from 0 to 1.
	cached float64
	// level is the number of prompt blocks that are known to be cached.
	level   int
	prefill time.Duration
	// estimate is the time to the first token, or never when the upstream may
	// not run the request.
	estimate  time.Duration
	lastStart int64
	ejected   bool
}

// candidates holds the candidates of one choice without an allocation.
type candidates struct {
	list  [maxScan]candidate
	count int
	// zone is the number of the preferred zone.
	zone int32
	// best is the lowest estimate.
	best time.Duration
}

// add returns the candidate for n, or nil when there is no room.
func (c *candidates) add(n *node) *candidate {
	for i := range c.count {
		if c.list[i].node == n {
			return &c.list[i]
		}
	}
	if c.count == len(c.list) {
		return nil
	}
	c.list[c.count].node = n
	c.count++
	return &c.list[c.count-1]
}

// collect fills c with the upstreams worth a closer look.
func (r *Router) collect(p *pool, q *Query, c *candidates) {
	small := len(p.nodes) <= maxScan
	if small {
		for i, n := range p.nodes {
			c.list[i].node = n
		}
		c.count = len(p.nodes)
	}
	r.markHolders(p, q, c, small)
	if small {
		return
	}
	if len(q.Prefix) > 0 {
		p.assigned(q.Prefix[0], func(n *node) { c.add(n) })
	}
	for range sampleSize {
		c.add(p.nodes[r.random.below(len(p.nodes))])
	}
}

// markHolders notes which upstreams hold how much of the prompt. In a large
// pool it adds those that are found, up to the room that the sample leaves.
func (r *Router) markHolders(p *pool, q *Query, c *candidates, small bool) {
	const room = maxScan - sampleSize - ringCandidates
	r.prefixes.find(q.Prefix, func(level int, h holder) {
		at := p.position(h.id)
		if at < 0 {
			return
		}
		var found *candidate
		switch {
		case small:
			found = &c.list[at]
		case c.count < room:
			found = c.add(p.nodes[at])
		}
		if found == nil {
			return
		}
		gaps := found.node.generation.Load() - h.generation
		cached := confidence(gaps) * float64(level) / float64(len(q.Prefix))
		if cached > found.cached {
			found.cached, found.level = cached, level
		}
	})
}

func confidence(gaps uint32) float64 {
	if gaps >= lostGenerations {
		return 0
	}
	weight := 1.0
	for range gaps {
		weight *= doubt
	}
	return weight
}

// score estimates the time to the first token on each candidate and excludes
// those that may not run the request. Ejected ones are excluded up to the
// permitted share, so that a fault of all upstreams does not empty the pool.
func (r *Router) score(now instant, p *pool, q *Query, c *candidates) {
	ejected := 0
	c.best = never
	for i := range c.count {
		x := &c.list[i]
		r.estimate(now, q, c, x)
		if x.ejected {
			ejected++
		}
		c.best = min(c.best, x.estimate)
	}
	allowed := int(float64(c.count) * r.config.MaxEjectedFraction)
	if allowed == 0 && len(p.nodes) > 1 {
		allowed = 1
	}
	if ejected == 0 || ejected > allowed {
		return
	}
	for i := range c.count {
		if c.list[i].ejected {
			c.list[i].estimate = never
		}
	}
	c.findBest()
}

// findBest finds the lowest estimate anew.
func (c *candidates) findBest() {
	c.best = never
	for i := range c.count {
		c.best = min(c.best, c.list[i].estimate)
	}
}

// estimate fills in one candidate.
func (r *Router) estimate(now instant, q *Query, c *candidates, x *candidate) {
	n := x.node
	if n.closed.Load() || !n.fits(now, q) || n.named(q.Exclude) {
		x.estimate = never
		return
	}
	x.ejected = int64(now) < n.ejectedUntil.Load()
	x.lastStart = n.lastStart.Load()
	x.prefill = time.Duration(float64(q.PromptTokens) * (1 - x.cached) * r.prefillTime)
	wait := max(n.backlogEnd.Load()-int64(now), 0) + max(n.queueEnd.Load()-int64(now), 0)
	if q.Priority > 0 {
		wait /= priorityRelief
	}
	x.estimate = time.Duration(wait) + x.prefill + n.currentCost(now)
	if n.zone.Load() != c.zone {
		x.estimate += r.config.CrossZoneCost
	}
}

// named reports whether the upstream is one of some.
func (n *node) named(names []string) bool {
	return len(names) > 0 && slices.Contains(names, n.upstream.Load().Name)
}

// pick returns the candidate that this daemon used least recently among those
// nearly as good as the best one, or nil when none is left.
func (r *Router) pick(c *candidates) *candidate {
	if c.best == never {
		return nil
	}
	limit := c.best + r.config.EstimateTolerance
	var picked *candidate
	for i := range c.count {
		x := &c.list[i]
		if x.estimate > limit {
			continue
		}
		if picked == nil || x.lastStart < picked.lastStart {
			picked = x
		}
	}
	return picked
}
