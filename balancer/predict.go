package balancer

import "time"

// prediction is what a request is expected to take at an upstream.
type prediction struct {
	// prefill is the prefill time of the request alone at the constant rate.
	prefill time.Duration
	// work precedes the first byte, which is expected after firstByte.
	work      work
	firstByte time.Duration
}

// predict returns what the request is expected to take at a candidate.
func (c *candidate) predict(now time.Time, q *Query, service *serviceSpeed, preferred bool) prediction {
	p := prediction{prefill: prefillTime(c.state.uncachedTokens(now, q, preferred))}
	p.work = work{prefill: c.ahead + p.prefill, requests: time.Duration(c.requests * float64(requestCost))}
	p.firstByte = time.Duration(c.state.factor(now) * float64(service.predict(p.work)))
	return p
}

// estimate returns the cost of the request at a candidate, what it would be if all upstreams were equally
// fast, and the predicted time to first byte. While all upstreams are equally fast, the cost is that of
// the constant rates.
func (c *candidate) estimate(now time.Time, q *Query, service *serviceSpeed, preferred bool) (cost, evenCost, firstByte time.Duration) {
	prefill := prefillTime(c.state.uncachedTokens(now, q, preferred))
	w := work{prefill: c.ahead + prefill, requests: time.Duration(c.requests * float64(requestCost))}
	evenCost = w.prefill + (prefillWeight-1)*prefill + w.requests
	cost, firstByte = evenCost, service.predict(w)
	if factor := c.state.factor(now); factor != 1 {
		cost, firstByte = time.Duration(factor*float64(cost)), time.Duration(factor*float64(firstByte))
	}
	return cost, evenCost, firstByte
}

// factor returns how long work takes at the upstream now, relative to its service: as learned and
// reported, or as the longest wait of a request shows.
func (s *upstreamState) factor(now time.Time) float64 {
	factor := 1.0
	if !s.speed.even {
		factor = s.speed.factor(now)
	}
	for i := range s.waiting {
		if oldest := &s.waiting[i]; oldest.predicted > 0 {
			return max(factor, overdue(now.Sub(oldest.chosenAt), oldest.predicted))
		}
	}
	return factor
}
