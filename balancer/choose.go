package balancer

import (
	"iter"
	"slices"
	"time"

	"laburnumline/announcer"
	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/throttler"
)

// candidate is an upstream that may be chosen for a query.
type candidate struct {
	upstream *registrar.Upstream
	state    *upstreamState
	// requests is the number of requests at the upstream: those of all daemons, or those that the
	// upstream reported recently if they are more. othersPrefill is the prefill time of those of other
	// daemons, ahead that of those of all daemons that are at least as urgent.
	requests             float64
	othersPrefill, ahead time.Duration
	weight               uint64
	// full is true if the upstream has just rejected a request, or this one would exceed its memory.
	full bool
	// staleLimit is true if a request has to show whether the upstream still has a limit.
	staleLimit bool
}

// decision is what Choose decides before it counts the request at an upstream.
type decision struct {
	// candidates is valid until the next decision.
	candidates []candidate
	// best is nil if there is no candidate.
	best       *candidate
	prediction prediction
	service    *serviceSpeed
	admission  admission
	// noRoom is true if no candidate has room for the request, and reason says why. The request is then refused,
	// unless its response has begun.
	reason          Reason
	noRoom, refused bool
}

// Choose returns the upstream for a request and counts the request there until End. It
// reports false if the request is refused; the choice then has the reason and a Retry-After.
func (b *Balancer) Choose(now time.Time, q Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Priority = min(max(q.Priority, 0), priorities-1)
	d := b.decide(now, &q)
	if q.Second && (d.best == nil || d.noRoom || d.best.full) {
		return Choice{Reason: d.reason}, false
	}
	if d.best == nil {
		return b.noCandidates(now, &q), false
	}
	if d.refused {
		return b.refusal(now, &q, d.reason, d.admission.firstByte), false
	}
	best, p := d.best, d.prediction
	b.config.Limits.Take(now, best.state.limitID)
	if q.Engine {
		d.service.mix.add(q.Priority, q.Tokens)
		d.service.recordTokens(q.Tokens + q.MaxOutput)
	}
	b.lastID++
	c := Choice{
		Upstream: *best.upstream, FirstByte: p.firstByte, id: b.lastID, chosenAt: now, work: p.work,
		slowdown: best.state.speed.slowdown(now), prefill: p.prefill, priority: q.Priority, tokens: q.Tokens + q.MaxOutput,
	}
	b.begin(now, best.state, &q, &c)
	return c, true
}

// decide selects the upstream, or decides that the request is refused. It records the demand of the account,
// counts, and prunes what has expired; Explain calls it for a copy. The lock is held.
func (b *Balancer) decide(now time.Time, q *Query) decision {
	candidates := b.candidates(now, q)
	if len(candidates) == 0 {
		return decision{}
	}
	service := b.service(q)
	if len(q.Exclude) == 0 { // a retry is not another demand
		service.demand.add(now, q.Account, q.Tokens+q.MaxOutput+1)
	}
	rechecked := candidates
	if i := slices.IndexFunc(candidates, func(c candidate) bool { return c.staleLimit }); i >= 0 {
		rechecked = candidates[i : i+1]
	}
	d := decision{candidates: candidates, service: service}
	d.best, d.prediction, d.admission = b.best(now, rechecked, q, service)
	d.reason, d.noRoom = d.admission.refuse()
	if d.noRoom && len(rechecked) < len(candidates) {
		// The upstream whose limit should be rechecked has no room, but others may have.
		d.best, d.prediction, d.admission = b.best(now, candidates, q, service)
		d.reason, d.noRoom = d.admission.refuse()
	}
	d.refused = d.noRoom && !q.Started
	return d
}

// best returns the best candidate, what is predicted there, and what decides whether the request is refused.
// The lock is held.
func (b *Balancer) best(now time.Time, candidates []candidate, q *Query, service *serviceSpeed) (*candidate, prediction, admission) {
	a := admission{
		timeLeft: q.TimeLeft, reliable: service.reliable(now), upstreams: len(candidates),
		busy: true, random: b.config.Random(),
	}
	if !now.After(service.fullUntil) {
		a.full = countFull(now, candidates)
	}
	if len(q.Exclude) == 0 { // a retry was admitted before
		a.excess = service.demand.excess(now, q.Account)
	}
	if !q.Engine {
		return b.fewestRequests(candidates), prediction{}, a
	}
	best, p := b.lowestCost(now, candidates, q, service, &a)
	return best, p, a
}

// begin counts a request at an upstream.
func (b *Balancer) begin(now time.Time, s *upstreamState, q *Query, c *Choice) {
	s.inFlight++
	s.pending++
	s.prefill += c.prefill
	s.prefillBy[c.priority] += c.prefill
	s.committed += c.tokens
	waiting := waitingRequest{id: c.id, chosenAt: now}
	if q.Streamed {
		waiting.predicted = c.FirstByte
	}
	s.waiting = append(s.waiting, waiting)
	if !s.ejectedUntil.IsZero() {
		s.trial = true
	}
	for _, part := range sharedParts(q.Parts) {
		s.addPart(now, part.ID)
		if len(b.pendingPlacements) < maxPendingPlacements {
			b.pendingPlacements = append(b.pendingPlacements, announcer.Placement{Upstream: uint32(s.hash), Part: part.ID})
		}
	}
}

// pruneParts deletes the parts older than partLifetime, and all of them if more than half of
// maxParts remain.
func (s *upstreamState) pruneParts(now time.Time) {
	for id, sentAt := range s.parts {
		if now.Sub(sentAt) > partLifetime {
			delete(s.parts, id)
		}
	}
	if len(s.parts) > maxParts/2 {
		clear(s.parts)
	}
}

// sharedParts returns the parts of a prompt that other requests may have too: all but the
// last one.
func sharedParts(parts []Part) []Part { return parts[:max(len(parts)-1, 0)] }

// candidates returns the upstreams that may be chosen. Those whose request limits or pauses forbid
// it are left out. Ejected ones are included only if there are no others, or if more than half of
// more than three upstreams are ejected.
func (b *Balancer) candidates(now time.Time, q *Query) []candidate {
	if len(q.Candidates) == 0 {
		return nil
	}
	available, ejected := b.available[:0], b.ejected[:0]
	states := b.statesOf(q.Candidates)
	for i := range q.Candidates {
		u := &q.Candidates[i]
		s := states[i]
		if s.startedAtMs != u.StartedAtMs {
			s = b.state(u)
			states[i] = s
		}
		available = append(available, candidate{upstream: u, state: s})
		last := len(available) - 1
		exclusion := b.assess(now, q, &available[last])
		if exclusion == NotExcluded {
			continue
		}
		if exclusion == Ejected {
			ejected = append(ejected, available[last])
		}
		available = available[:last]
	}
	b.available, b.ejected = available, ejected // keep what append has allocated
	if len(ejected) > len(available) && len(q.Candidates) > 3 {
		return append(available, ejected...)
	}
	if len(available) == 0 {
		return ejected
	}
	return available
}

// assess sets the load of a candidate, and reports why it is left out. One that is ejected may still be needed.
func (b *Balancer) assess(now time.Time, q *Query, c *candidate) Exclusion {
	u, s := c.upstream, c.state
	if slices.Contains(q.Exclude, u.Name) {
		return Tried
	}
	if q.Second && (!s.ejectedUntil.IsZero() || b.config.Limits.IsRestricted(now, string(u.Service), s.limitID)) {
		return OverLimit
	}
	if !b.config.Limits.Allows(now, s.limitID) {
		return OverLimit
	}
	c.setLoad(now)
	freeSlots := max(u.Slots-int(c.requests), 0)
	if limit := b.config.Limits.MaxPending(now, string(u.Service), len(q.Candidates), s.limitID, freeSlots); limit != 0 && (s.pending >= limit || c.requests >= float64(u.Slots)) {
		return Brittle
	}
	if s.isEjected(now) {
		return Ejected
	}
	c.staleLimit = b.config.Limits.IsStale(now, s.limitID)
	return NotExcluded
}

// setLoad sets the requests at the upstream and the prefill time of other daemons.
func (c *candidate) setLoad(now time.Time) {
	s := c.state
	othersPrefill, othersInFlight := s.othersLoad(now)
	c.othersPrefill, c.requests = othersPrefill, max(float64(s.inFlight+othersInFlight), float64(s.reported.requests(now)))
}

// limitIDs returns the IDs of the request limits of all candidates of a query.
func (b *Balancer) limitIDs(q Query) iter.Seq[throttler.ID] {
	return func(yield func(throttler.ID) bool) {
		for i := range q.Candidates {
			if !yield(b.state(&q.Candidates[i]).limitID) {
				return
			}
		}
	}
}

func (s *upstreamState) isEjected(now time.Time) bool {
	return !s.ejectedUntil.IsZero() && (now.Before(s.ejectedUntil) || s.trial)
}

// countFull counts the candidates that have just rejected a request.
func countFull(now time.Time, candidates []candidate) int {
	full := 0
	for i := range candidates {
		if now.Before(candidates[i].state.fullUntil) {
			full++
		}
	}
	return full
}

// lowestCost returns the upstream at which the request has the lowest cost, and what is predicted
// there. An upstream at which the response begins before the caller gives up is preferred to those at which it does not.
func (b *Balancer) lowestCost(now time.Time, candidates []candidate, q *Query, service *serviceSpeed, a *admission) (*candidate, prediction) {
	asUrgent, moreUrgent := service.mix.share(q.Priority)
	preferred, full := b.survey(now, candidates, q, service, a, asUrgent, moreUrgent)
	best, even, soonest := -1, -1, -1
	var lowest, evenLowest time.Duration
	var bestFirstByte time.Duration
	for i := range candidates {
		c := &candidates[i]
		if c.full && full < len(candidates) {
			continue
		}
		cost, evenCost, firstByte := c.estimate(now, q, service, i == preferred)
		if best < 0 || cost < lowest || cost == lowest && c.weight > candidates[best].weight {
			best, lowest, bestFirstByte = i, cost, firstByte
		}
		if even < 0 || evenCost < evenLowest || evenCost == evenLowest && c.weight > candidates[even].weight {
			even, evenLowest = i, evenCost
		}
		if soonest < 0 || firstByte < a.firstByte {
			soonest, a.firstByte = i, firstByte
		}
	}
	if q.TimeLeft > 0 && a.reliable && bestFirstByte > q.TimeLeft && a.firstByte <= q.TimeLeft {
		best = soonest
	}
	if even != best {
		b.slowAvoided.Inc(1)
	}
	return &candidates[best], candidates[best].predict(now, q, service, best == preferred)
}

// survey fills in what the cost of the candidates depends on. It returns the preferred one and the
// number of those that are full.
func (b *Balancer) survey(now time.Time, candidates []candidate, q *Query, service *serviceSpeed, a *admission, asUrgent, moreUrgent float64) (preferred, full int) {
	key := affinityKey(q.Parts)
	needed, exceeded := newMemory(q, service, moreUrgent), 0
	for i := range candidates {
		c := &candidates[i]
		s := c.state
		c.setAhead(q, asUrgent)
		if c.requests == 0 {
			a.busy = false
		}
		c.full = a.full > 0 && now.Before(s.fullUntil)
		if !needed.fits(s.committed, c.requests-float64(s.inFlight)) {
			exceeded++
			c.full = true
		}
		if c.full {
			full++
		}
		if waiting := c.requests - float64(c.upstream.Slots); waiting > 0 {
			c.requests -= (1 - asUrgent) * waiting // those wait behind this one
		}
		c.weight = rendezvousWeight(key, s.hash)
		if c.weight > candidates[preferred].weight {
			preferred = i
		}
	}
	b.countExceeded(exceeded, len(candidates))
	a.preferred = preferred
	return preferred, full
}

// setAhead sets the prefill time of the requests that are processed before the request.
func (c *candidate) setAhead(q *Query, asUrgent float64) {
	c.ahead = time.Duration(asUrgent * float64(c.othersPrefill))
	if c.state.prefill > 0 {
		c.ahead += c.state.prefillBy.upTo(q.Priority)
	}
}

// countExceeded counts a choice in which the request did not fit into the memory of some upstreams.
func (b *Balancer) countExceeded(exceeded, all int) {
	switch {
	case exceeded == all:
		b.memoryExceeded.Inc(1)
	case exceeded > 0:
		b.memoryAvoided.Inc(1)
	}
}

// uncachedTokens returns how many tokens of a prompt need prefill at the upstream: all that
// follow the first uncached part, which is included. At the preferred upstream, half of each
// part that is not known to be cached counts as cached.
func (s *upstreamState) uncachedTokens(now time.Time, q *Query, preferred bool) int64 {
	uncached := q.Tokens
	for _, part := range sharedParts(q.Parts) {
		sentAt, sent := s.parts[part.ID]
		switch {
		case sent && now.Sub(sentAt) <= partLifetime:
			uncached -= part.Tokens
		case preferred:
			uncached -= part.Tokens / 2
		default:
			return max(uncached, 0)
		}
	}
	return max(uncached, 0)
}

func prefillTime(tokens int64) time.Duration {
	return time.Duration(float64(tokens) * (float64(time.Second) / prefillTokensPerSecond))
}

// crossZonePenalty is the cost of a request to another zone, as a number of requests at an
// upstream. Traffic between zones is charged, but an idle upstream in another zone is better
// than a busy one in the own zone.
const crossZonePenalty = 2

// fewestRequests returns the upstream with the fewest requests, including the penalty for
// other zones.
func (b *Balancer) fewestRequests(candidates []candidate) *candidate {
	best, cost := &candidates[0], 0.0
	for i := range candidates {
		c := &candidates[i]
		if requests := b.plainCost(c); i == 0 || requests < cost {
			best, cost = c, requests
		}
	}
	return best
}

// plainCost returns the number of requests at an upstream, including the penalty for another zone.
func (b *Balancer) plainCost(c *candidate) float64 {
	if c.upstream.Zone != b.config.Zone {
		return c.requests + crossZonePenalty
	}
	return c.requests
}

// ResponseStarted records that the response has started, which means that prefill is
// complete.
func (b *Balancer) ResponseStarted(now time.Time, c *Choice, r Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stateOf(c); s != nil && !c.started {
		s.endWait(c)
		s.reported.record(now, r.Load)
		if service := b.services[c.Upstream.Service]; r.FirstByte && service != nil && c.FirstByte > 0 {
			slowdown := c.slowdown
			if r.Load.Slowdown > 0 {
				slowdown = clamp(max(slowdown, r.Load.Slowdown), minFactor, maxFactor)
			}
			b.observe(now, service, s, c, slowdown)
		}
		s.speed.report(now, r.Load.Slowdown)
	}
	c.started = true
}

// observe learns from the time to the first byte of a request.
func (b *Balancer) observe(now time.Time, service *serviceSpeed, s *upstreamState, c *Choice, slowdown float64) {
	p := &s.speed
	trusted := p.trusted()
	took := max(now.Sub(c.chosenAt), time.Millisecond)
	corrected := took
	if trusted {
		corrected = time.Duration(float64(took) / slowdown)
	}
	service.learn(c.work, corrected)
	service.observedAt = now
	if service.showsWork() {
		p.learn(now, service.predict(c.work), took, slowdown)
	}
	if p.changed() {
		b.config.Recorder.Event(recorder.UpstreamSpeed, "upstream", c.Upstream.Name, "service", c.Upstream.Service, "factor", p.usual)
	}
	if trusted != p.trusted() {
		b.config.Recorder.Event(recorder.ReportDistrusted, "upstream", c.Upstream.Name, "service", c.Upstream.Service, "trusted", p.trusted())
	}
}

// learnOvertaken learns from a request that was cancelled before its first byte, if it has waited for longer than
// predicted. Otherwise an upstream whose slow requests are all answered by others first would not be found slow.
func (s *upstreamState) learnOvertaken(now time.Time, service *serviceSpeed, c *Choice) {
	if waited := now.Sub(c.chosenAt); waited > c.FirstByte {
		s.speed.learn(now, service.predict(c.work), waited, c.slowdown)
	}
}

// endWait removes a request from those whose response has not started.
func (s *upstreamState) endWait(c *Choice) {
	s.prefill = max(s.prefill-c.prefill, 0)
	s.prefillBy[c.priority] = max(s.prefillBy[c.priority]-c.prefill, 0)
	s.pending = max(s.pending-1, 0)
	for i := range s.waiting {
		if s.waiting[i].id == c.id {
			s.waiting = slices.Delete(s.waiting, i, i+1)
			return
		}
	}
}

// stateOf returns the state of the chosen upstream, or nil if it was removed or the upstream
// has restarted.
func (b *Balancer) stateOf(c *Choice) *upstreamState {
	s := b.states[c.Upstream.Name]
	if s == nil || s.startedAtMs != c.Upstream.StartedAtMs {
		return nil
	}
	return s
}

// End records the result of a request at the chosen upstream.
func (b *Balancer) End(now time.Time, c *Choice, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(c)
	if s == nil {
		return
	}
	if !c.started {
		s.endWait(c)
		c.started = true
		if service := b.services[c.Upstream.Service]; r.Overtaken && service != nil && c.FirstByte > 0 {
			s.learnOvertaken(now, service, c)
		}
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.committed = max(s.committed-c.tokens, 0)
	if service := b.services[c.Upstream.Service]; service != nil {
		switch r.Outcome {
		case Served:
			service.recordDuration(now.Sub(c.chosenAt))
			s.fullUntil = time.Time{} // a slot is free now
		case Full:
			s.fullUntil = now.Add(min(max(service.slotTime(c.Upstream.Slots), minFull), maxFull))
			service.fullUntil = now.Add(maxFull)
		default: // says nothing about the capacity
		}
	}
	s.recordOutcome(now, r.Outcome)
}

// recordOutcome updates the ejection state and the reported load. Unreachable and
// Misdirected eject the upstream at once, Failed does after failuresToEject. Full raises the
// reported number of waiting requests to the number of slots.
func (s *upstreamState) recordOutcome(now time.Time, o Outcome) {
	switch o {
	case Served:
		s.failures, s.ejectedUntil, s.trial = 0, time.Time{}, false
	case Full:
		s.trial = false
		s.reported.recordFull(now)
	case Abandoned:
		s.trial = false
	case Failed, Unreachable, Misdirected:
		s.trial = false
		s.failures++
		if o == Failed && s.failures < failuresToEject {
			return
		}
		shift := min(s.failures-1, 5)
		s.ejectedUntil = now.Add(min(minEjection<<shift, maxEjection))
	}
}

// RemoveUnlisted deletes the state of upstreams that are no longer listed.
func (b *Balancer) RemoveUnlisted(listed func(registrar.Name) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.views)
	for name, s := range b.states {
		if !listed(name) {
			delete(b.states, name)
			delete(b.byHash, uint32(s.hash))
		}
	}
}
