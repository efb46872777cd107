package balancer

import (
	"maps"
	"time"

	"laburnumline/registrar"
	"laburnumline/resolver"
	"laburnumline/throttler"
)

// Explanation says which upstream Choose would choose now, and why.
type Explanation struct {
	// Choice is the result of Choose, and Chosen whether an upstream was chosen. Random decisions are
	// replaced by their mean: a Retry-After is the middle of its range.
	Choice     Choice
	Chosen     bool
	Candidates []CandidateExplanation
	// RefusalProbability is the probability of a refusal because the account asks for more than its
	// share. Choice is what follows otherwise.
	RefusalProbability float64
}

// CandidateExplanation is what the choice knows of one upstream.
type CandidateExplanation struct {
	Upstream  registrar.Upstream
	Exclusion Exclusion
	// CachedTokens is how much of the prompt counts as cached, and Preferred whether the upstream is the
	// first by rendezvous hashing.
	CachedTokens int64
	Preferred    bool
	// Prefill is the prefill time of the rest, Ahead that of the requests that are processed before, both
	// at the constant rate. Requests is the number of requests at the upstream that count.
	Prefill, Ahead time.Duration
	Requests       float64
	// Learned, Reported and Factor are how long work takes, relative to the service: as usually observed,
	// as reported (1 if it is not known), and as used.
	Learned, Reported, Factor float64
	// Committed is the prompts and maximum outputs of this daemon's requests in flight, in tokens.
	Committed int64
	// FirstByte is the predicted time to the first byte, Cost what is compared. For plain services, both are
	// zero, and PlainCost is the number of requests and the penalty for another zone.
	FirstByte, Cost time.Duration
	PlainCost       float64
	EjectedFor      time.Duration
	Restriction     throttler.Restriction
}

// Exclusion says why an upstream is left out of the choice.
type Exclusion string

// The exclusions. NotExcluded means that the upstream takes part.
const (
	NotExcluded   Exclusion = ""
	Tried         Exclusion = "tried"          // the request has failed there
	Paused        Exclusion = "pause"          // it has asked for a pause
	ColdLimited   Exclusion = "cold"           // it is cold, and this daemon's share allows no request now
	OverLimit     Exclusion = "limit"          // the share of its request limit allows no request now
	Brittle       Exclusion = "brittle"        // it has no slot for a request that it has not accepted
	Ejected       Exclusion = "ejected"        // it has failed, or is tested by one request
	JustFull      Exclusion = "full"           // it has just rejected a request
	OutOfMemory   Exclusion = "memory"         // the request may exceed its memory
	LimitRecheck  Exclusion = "limit recheck"  // the request tests another upstream with an old limit
	EvacuatedZone Exclusion = "evacuated zone" // its zone is evacuated; set by package forwarder
	OutsideHome   Exclusion = "home"           // its region is not permitted; set by package forwarder
	OtherSoftware Exclusion = "software"       // its version is excluded; set by package forwarder
)

// Explain says which upstream Choose would choose for a query now. It runs the code of Choose on a copy of
// the state and changes nothing.
func (b *Balancer) Explain(now time.Time, q Query) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.copyFor(&q)
	limits := c.config.Limits.Snapshot()
	c.config.Limits = limits
	q.Priority = min(max(q.Priority, 0), priorities-1)
	d := c.decide(now, &q)
	e := Explanation{Chosen: d.best != nil && !d.refused, RefusalProbability: d.admission.overShare()}
	switch {
	case e.Chosen:
		e.Choice = Choice{Upstream: *d.best.upstream, FirstByte: d.prediction.firstByte}
	case d.best == nil:
		e.Choice = c.noCandidates(now, &q)
	default:
		e.Choice = c.refusal(now, &q, d.reason, d.admission.firstByte)
	}
	inChoice := make(map[registrar.Name]int, len(d.candidates))
	for i := range d.candidates {
		inChoice[d.candidates[i].upstream.Name] = i
	}
	for i := range q.Candidates {
		u := &q.Candidates[i]
		s := c.state(u)
		x := CandidateExplanation{Upstream: *u, Restriction: limits.Restriction(now, s.limitID), EjectedFor: max(s.ejectedUntil.Sub(now), 0)}
		if s.ejectedUntil.IsZero() {
			x.EjectedFor = 0
		}
		considered := candidate{upstream: u, state: s}
		exclusion := c.assess(now, &q, &considered)
		if j, in := inChoice[u.Name]; in {
			considered, exclusion = d.candidates[j], d.exclusionOf(now, &d.candidates[j])
			x.Preferred = q.Engine && j == d.admission.preferred
		} else {
			considered.setLoad(now)
			if exclusion == NotExcluded {
				exclusion = LimitRecheck
			}
		}
		x.Exclusion = x.refine(exclusion)
		c.describe(now, &q, &considered, &x)
		e.Candidates = append(e.Candidates, x)
	}
	return e
}

// exclusionOf says why a candidate of a decision cannot be chosen. If none has room, that excludes a candidate
// only if all have just rejected requests.
func (d *decision) exclusionOf(now time.Time, c *candidate) Exclusion {
	justFull := now.Before(c.state.fullUntil)
	if d.refused && d.reason == AllFull && justFull {
		return JustFull
	}
	others := false
	for i := range d.candidates {
		others = others || !d.candidates[i].full
	}
	switch {
	case !c.full || !others:
		return NotExcluded
	case d.admission.full > 0 && justFull:
		return JustFull
	}
	return OutOfMemory
}

// refine tells apart what forbids requests to an upstream that is not among the candidates.
func (x *CandidateExplanation) refine(e Exclusion) Exclusion {
	switch {
	case e != OverLimit:
		return e
	case x.Restriction.Pause > 0:
		return Paused
	case x.Restriction.Cold:
		return ColdLimited
	}
	return OverLimit
}

// describe fills in the terms of the cost.
func (b *Balancer) describe(now time.Time, q *Query, c *candidate, x *CandidateExplanation) {
	s := c.state
	x.Requests, x.Committed = c.requests, s.committed
	x.Learned, x.Reported, x.Factor = s.speed.usual, s.speed.slowdown(now), s.factor(now)
	if !q.Engine {
		x.PlainCost = b.plainCost(c)
		return
	}
	service := b.service(q)
	asUrgent, _ := service.mix.share(q.Priority)
	c.setAhead(q, asUrgent) // not set for upstreams that are no candidates
	x.Ahead = c.ahead
	x.CachedTokens = q.Tokens - s.uncachedTokens(now, q, x.Preferred)
	x.Prefill = prefillTime(q.Tokens - x.CachedTokens)
	x.Cost, _, x.FirstByte = c.estimate(now, q, service, x.Preferred)
}

// copyFor returns a balancer with copies of the states that a query needs. Maps and slices that a decision
// only reads are shared. The lock is held until the copy is no longer used.
func (b *Balancer) copyFor(q *Query) *Balancer {
	c := New(Config{Zone: b.config.Zone, Limits: b.config.Limits, Random: func() float64 { return 0.5 }})
	for i := range q.Candidates {
		u := &q.Candidates[i]
		s := b.states[u.Name]
		if s == nil || s.startedAtMs != u.StartedAtMs {
			continue
		}
		copied := *s
		copied.others = maps.Clone(s.others)
		c.states[u.Name] = &copied
	}
	if len(q.Candidates) > 0 {
		name := q.Candidates[0].Service
		if v := b.services[name]; v != nil {
			copied := *v
			copied.demand.accounts = maps.Clone(v.demand.accounts)
			c.services = map[resolver.ServiceName]*serviceSpeed{name: &copied}
		}
	}
	return c
}

// PartCached reports whether a prompt part counts as cached at an upstream of a service.
func (b *Balancer) PartCached(now time.Time, list []registrar.Upstream, id uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range list {
		s := b.states[list[i].Name]
		if s == nil || s.startedAtMs != list[i].StartedAtMs {
			continue
		}
		if sentAt, sent := s.parts[id]; sent && now.Sub(sentAt) <= partLifetime {
			return true
		}
	}
	return false
}
