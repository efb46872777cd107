package balancer

import "time"

// prediction is what a request is expected to take at an upstream.
type prediction struct {
	// cost is what the choice minimizes, evenCost what it would be if all upstreams were equally fast.
	cost, evenCost time.Duration
	// prefill is the prefill time of the request alone at the constant rate.
	prefill time.Duration
	// work precedes the first byte, which is expected after firstByte.
	work      work
	firstByte time.Duration
}

// predict returns what the request is expected to take at a candidate. While all upstreams are equally
// fast, the cost is that of the constant rates.
func (c *candidate) predict(now time.Time, q *Query, service *serviceSpeed, preferred bool) prediction {
	prefill := prefillTime(c.state.uncachedTokens(now, q, preferred))
	p := prediction{prefill: prefill, work: work{prefill: c.ahead + prefill, requests: time.Duration(c.requests * float64(requestCost))}}
	factor := c.state.factor(now)
	p.firstByte = time.Duration(factor * float64(service.predict(p.work)))
	p.evenCost = prefillWeight*prefill + c.ahead + p.work.requests
	p.cost = time.Duration(factor * float64(p.evenCost))
	return p
}

// factor returns how long work takes at the upstream now, relative to its service: as learned and
// reported, or as the longest wait of a request shows.
func (s *upstreamState) factor(now time.Time) float64 {
	factor := s.speed.factor(now)
	for i := range s.waiting {
		if oldest := &s.waiting[i]; oldest.predicted > 0 {
			return max(factor, overdue(now.Sub(oldest.chosenAt), oldest.predicted))
		}
	}
	return factor
}
