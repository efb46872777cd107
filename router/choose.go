package router

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCandidates is the size up to which every upstream of a pool is a candidate.
	maxCandidates = 32
	// sampleSize is the number of random candidates in a large pool.
	sampleSize = 12
	// confidencePerGap is the part of a known prefix that still counts after one gap.
	confidencePerGap = 0.9
	// priorityWaitDivisor divides the wait of a request with priority.
	priorityWaitDivisor = 4
)

// ineligible is the estimate of an upstream that may not run a request.
const ineligible = time.Duration(math.MaxInt64)

// candidate is an upstream that may run a request.
type candidate struct {
	node *node
	// cachedFraction is the part of the prompt that is probably cachedFraction, from 0 to 1.
	cachedFraction float64
	// cachedBlocks is the number of prompt blocks that are known to be cached.
	cachedBlocks int
	prefill      time.Duration
	// estimate is the time to the first token, or never when the upstream may
	// not run the request.
	estimate  time.Duration
	lastStart int64
	ejected   bool
}

// candidates holds the candidates of one choice without an allocation.
type candidates struct {
	list  [maxCandidates]candidate
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

// collectCandidates fills c with the upstreams worth a closer look.
func (r *Router) collectCandidates(p *pool, q *Query, c *candidates) {
	scanAll := len(p.nodes) <= maxCandidates
	if scanAll {
		for i, n := range p.nodes {
			c.list[i].node = n
		}
		c.count = len(p.nodes)
	}
	r.markCached(p, q, c, scanAll)
	if scanAll {
		return
	}
	if len(q.Prefix) > 0 {
		p.visitAssigned(q.Prefix[0], func(n *node) { c.add(n) })
	}
	for range sampleSize {
		c.add(p.nodes[r.random.intN(len(p.nodes))])
	}
}

// markCached notes which upstreams hold how much of the prompt. In a large
// pool it adds those that are found, up to the room that the sample leaves.
func (r *Router) markCached(p *pool, q *Query, c *candidates, scanAll bool) {
	const maxCachedCandidates = maxCandidates - sampleSize - ringCandidates
	r.prefixes.find(q.Prefix, func(blocks int, l location) {
		at := p.position(l.id)
		if at < 0 {
			return
		}
		var found *candidate
		switch {
		case scanAll:
			found = &c.list[at]
		case c.count < maxCachedCandidates:
			found = c.add(p.nodes[at])
		}
		if found == nil {
			return
		}
		gaps := found.node.cacheGeneration.Load() - l.cacheGeneration
		cached := confidence(gaps) * float64(blocks) / float64(len(q.Prefix))
		if cached > found.cachedFraction {
			found.cachedFraction, found.cachedBlocks = cached, blocks
		}
	})
}

func confidence(gaps uint32) float64 {
	if gaps >= cacheLostGenerations {
		return 0
	}
	weight := 1.0
	for range gaps {
		weight *= confidencePerGap
	}
	return weight
}

// score estimates the time to the first token on each candidate and excludes
// those that may not run the request. Ejected ones are excluded up to the
// permitted share, so that a fault of all upstreams does not empty the pool.
func (r *Router) score(now instant, p *pool, q *Query, c *candidates) {
	ejected := 0
	c.best = ineligible
	for i := range c.count {
		x := &c.list[i]
		r.estimate(now, q, c, x)
		if x.ejected {
			ejected++
		}
		c.best = min(c.best, x.estimate)
	}
	maxEjected := int(float64(c.count) * r.config.MaxEjectedFraction)
	if maxEjected == 0 && len(p.nodes) > 1 {
		maxEjected = 1
	}
	if ejected == 0 || ejected > maxEjected {
		return
	}
	for i := range c.count {
		if c.list[i].ejected {
			c.list[i].estimate = ineligible
		}
	}
	c.findBest()
}

// findBest finds the lowest estimate anew.
func (c *candidates) findBest() {
	c.best = ineligible
	for i := range c.count {
		c.best = min(c.best, c.list[i].estimate)
	}
}

// estimate fills in one candidate.
func (r *Router) estimate(now instant, q *Query, c *candidates, x *candidate) {
	n := x.node
	if n.closed.Load() || !n.admits(now, q) || n.nameIn(q.Exclude) {
		x.estimate = ineligible
		return
	}
	x.ejected = int64(now) < n.ejectedUntil.Load()
	x.lastStart = n.lastStart.Load()
	x.prefill = time.Duration(float64(q.PromptTokens) * (1 - x.cachedFraction) * r.prefillTime)
	wait := max(n.backlogEnd.Load()-int64(now), 0) + max(n.queueEnd.Load()-int64(now), 0)
	if q.Priority > 0 {
		wait /= priorityWaitDivisor
	}
	x.estimate = time.Duration(wait) + x.prefill + n.currentLoadCost(now)
	if n.zone.Load() != c.zone {
		x.estimate += r.config.CrossZoneCost
	}
}

// nameIn reports whether the upstream is one of some.
func (n *node) nameIn(names []string) bool {
	return len(names) > 0 && slices.Contains(names, n.upstream.Load().Name)
}

// pick returns the candidate that this daemon used least recently among those
// nearly as good as the best one, or nil when none is left.
func (r *Router) pick(c *candidates) *candidate {
	if c.best == ineligible {
		return nil
	}
	maxEstimate := c.best + r.config.EstimateTolerance
	var picked *candidate
	for i := range c.count {
		x := &c.list[i]
		if x.estimate > maxEstimate {
			continue
		}
		if picked == nil || x.lastStart < picked.lastStart {
			picked = x
		}
	}
	return picked
}
