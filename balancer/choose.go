package balancer

import (
	"iter"
	"slices"
	"time"

	"laburnumline/announcer"
	"laburnumline/registrar"
	"laburnumline/throttler"
)

// candidate is an upstream that may be chosen for a query.
type candidate struct {
	upstream *registrar.Upstream
	state    *upstreamState
	requests float64
	weight   uint64
	// staleLimit is true if a request has to show whether the upstream still has a limit.
	staleLimit bool
}

// Choose returns the upstream for a request and counts the request there until End. It
// reports false if no upstream is left; RetryAfter of the choice is then set if their request
// limits are the reason.
func (b *Balancer) Choose(now time.Time, q Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.candidates(now, q)
	if len(candidates) == 0 {
		return Choice{RetryAfter: b.config.Limits.RetryAfter(now, b.limitIDs(q))}, false
	}
	if i := slices.IndexFunc(candidates, func(c candidate) bool { return c.staleLimit }); i >= 0 {
		candidates = candidates[i : i+1]
	}
	var best *candidate
	var prefill time.Duration
	if q.Engine {
		best, prefill = lowestCost(now, candidates, q)
	} else {
		best = b.fewestRequests(candidates)
	}
	b.config.Limits.Take(now, best.state.limitID)
	b.begin(now, best.state, q, prefill)
	return Choice{Upstream: *best.upstream, prefill: prefill}, true
}

// begin counts a request at an upstream.
func (b *Balancer) begin(now time.Time, s *upstreamState, q Query, prefill time.Duration) {
	s.inFlight++
	s.pending++
	s.prefill += prefill
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
func (b *Balancer) candidates(now time.Time, q Query) []candidate {
	var available, ejected []candidate
	for i := range q.Candidates {
		u := &q.Candidates[i]
		if slices.Contains(q.Exclude, u.Name) {
			continue
		}
		s := b.state(u)
		if !b.config.Limits.Allows(now, s.limitID) {
			continue
		}
		requests := s.requests(now)
		freeSlots := max(u.Slots-int(requests), 0)
		if limit := b.config.Limits.MaxPending(now, string(u.Service), len(q.Candidates), s.limitID, freeSlots); limit != 0 && (s.pending >= limit || requests >= float64(u.Slots)) {
			continue
		}
		c := candidate{upstream: u, state: s, requests: requests, staleLimit: b.config.Limits.IsStale(now, s.limitID)}
		if s.isEjected(now) {
			c.staleLimit = false
			ejected = append(ejected, c)
		} else {
			available = append(available, c)
		}
	}
	if len(ejected) > len(available) && len(q.Candidates) > 3 {
		return append(available, ejected...)
	}
	if len(available) == 0 {
		return ejected
	}
	return available
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

// requests returns the number of requests at the upstream: those of all daemons, or those
// that the upstream reported recently if they are more.
func (s *upstreamState) requests(now time.Time) float64 {
	_, othersInFlight := s.othersLoad(now)
	inFlight := float64(s.inFlight + othersInFlight)
	return max(inFlight, float64(s.reported.requests(now)))
}

// lowestCost returns the upstream at which the request has the lowest cost, and the prefill
// time there.
func lowestCost(now time.Time, candidates []candidate, q Query) (*candidate, time.Duration) {
	key := affinityKey(q.Parts)
	preferred := 0
	for i := range candidates {
		candidates[i].weight = rendezvousWeight(key, candidates[i].state.hash)
		if candidates[i].weight > candidates[preferred].weight {
			preferred = i
		}
	}
	best, lowest, bestPrefill := 0, time.Duration(0), time.Duration(0)
	for i := range candidates {
		s := candidates[i].state
		prefill := prefillTime(s.uncachedTokens(now, q, i == preferred))
		othersPrefill, _ := s.othersLoad(now)
		cost := prefillWeight*prefill + s.prefill + othersPrefill + time.Duration(candidates[i].requests*float64(requestCost))
		if i == 0 || cost < lowest || cost == lowest && candidates[i].weight > candidates[best].weight {
			best, lowest, bestPrefill = i, cost, prefill
		}
	}
	return &candidates[best], bestPrefill
}

// uncachedTokens returns how many tokens of a prompt need prefill at the upstream: all that
// follow the first uncached part, which is included. At the preferred upstream, half of each
// part that is not known to be cached counts as cached.
func (s *upstreamState) uncachedTokens(now time.Time, q Query, preferred bool) int64 {
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
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
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
		requests := c.requests
		if c.upstream.Zone != b.config.Zone {
			requests += crossZonePenalty
		}
		if i == 0 || requests < cost {
			best, cost = c, requests
		}
	}
	return best
}

// ResponseStarted records that the response has started, which means that prefill is
// complete.
func (b *Balancer) ResponseStarted(c *Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stateOf(c); s != nil && !c.started {
		s.prefill = max(s.prefill-c.prefill, 0)
		s.pending = max(s.pending-1, 0)
	}
	c.started = true
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
	b.ResponseStarted(c)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(c)
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	s.reported.record(now, r.Load)
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
	for name, s := range b.states {
		if !listed(name) {
			delete(b.states, name)
			delete(b.byHash, uint32(s.hash))
		}
	}
}
