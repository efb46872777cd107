package router

import (
	"math"
	"slices"
	"time"
)

const (
	// maxCandidates is the largest pool size at which every upstream is a candidate.
	maxCandidates = 32
	// sampleSize is the number of random candidates drawn from a larger pool.
	sampleSize = 12
	// confidencePerGap is the factor by which each gap in an upstream's cache
	// events reduces the weight of the prefixes recorded before the gap.
	confidencePerGap = 0.9
	// priorityWaitDivisor divides the estimated wait of a request with priority.
	priorityWaitDivisor = 4
)

// ineligible is the estimate of an upstream that must not run the request.
const ineligible = time.Duration(math.MaxInt64)

// recheckEstimate is the estimate of an upstream that must run the next request. It is lower than
// all others.
const recheckEstimate = -time.Hour

// candidate is an upstream considered for a request.
type candidate struct {
	node *node
	// cachedFraction is the fraction of the prompt that is probably cached.
	cachedFraction float64
	// cachedBlocks is the number of leading prompt blocks that are probably cached.
	cachedBlocks int
	prefill      time.Duration
	// estimate is the estimated time to the first token, or ineligible.
	estimate  time.Duration
	lastStart int64
	ejected   bool
}

// candidates holds the candidates of one choice in a fixed-size array, which
// avoids a heap allocation.
type candidates struct {
	list  [maxCandidates]candidate
	count int
	// zone is the preferred zone, as a position in index.zones.
	zone int32
	// best is the lowest estimate.
	best time.Duration
}

// add returns the candidate for n, adding it if needed, or nil when c is full.
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

// collectCandidates fills c: with the whole pool if it is small, otherwise with
// upstreams that have the prefix cached, those that the hash ring assigns to it,
// and a random sample.
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

// markCached sets how much of the prompt each candidate probably has cached. In
// a large pool it also adds the upstreams that it finds, and leaves space for
// those from the hash ring and the random sample.
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

// confidence returns the weight of a cached prefix that was recorded a number of
// gaps ago.
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

// score estimates the time to the first token on each candidate and marks those
// that must not run the request as ineligible. If more candidates are ejected
// than MaxEjectedFraction allows, the ejections are ignored: a fault that
// affects all upstreams must not leave the pool empty.
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

// findBest recomputes the lowest estimate.
func (c *candidates) findBest() {
	c.best = ineligible
	for i := range c.count {
		c.best = min(c.best, c.list[i].estimate)
	}
}

// estimate computes the estimated time to the first token on one candidate.
func (r *Router) estimate(now instant, q *Query, c *candidates, x *candidate) {
	n := x.node
	if !r.admits(now, q, n) {
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
	if !x.ejected && r.config.Limits.IsStale(r.time(now), n.limitID) {
		x.estimate = recheckEstimate // the response shows whether the limit still applies
	}
}

// admits reports whether an upstream may run a request.
func (r *Router) admits(now instant, q *Query, n *node) bool {
	if q.Resume && n.upstream.Load().Software != q.Software {
		return false
	}
	return !n.closed.Load() && n.admits(now, q) && !n.nameIn(q.Exclude) && r.config.Limits.Allows(r.time(now), n.limitID)
}

// collectAdmitting replaces the candidates by upstreams that admit the request, from a random
// position in the pool. The sample of a large pool may have had none.
func (r *Router) collectAdmitting(now instant, p *pool, q *Query, c *candidates) {
	if len(p.nodes) <= maxCandidates || q.Pin != "" {
		return
	}
	*c = candidates{zone: c.zone}
	first := r.random.intN(len(p.nodes))
	for i := range p.nodes {
		if n := p.nodes[(first+i)%len(p.nodes)]; r.admits(now, q, n) && c.add(n) == nil {
			return
		}
	}
}

// nameIn reports whether names contains the name of the upstream.
func (n *node) nameIn(names []string) bool {
	return len(names) > 0 && slices.Contains(names, n.upstream.Load().Name)
}

// pick returns the least recently used candidate among those whose estimate is
// within EstimateTolerance of the lowest, or nil if none is eligible.
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
