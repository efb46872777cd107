package balancer

const (
	// urgentReserve is the fraction of an upstream's memory that requests leave free for more urgent
	// ones, if the service has any.
	urgentReserve = 0.05
	// tokensGain is the weight of one request in the mean of the tokens.
	tokensGain = 0.05
)

// memory is what one request needs of an upstream's memory, and what it may use.
type memory struct {
	// need is the prompt and the maximum output. usable is zero if the size is unknown.
	need, usable int64
	// mean is the mean need of a request of the service.
	mean float64
}

// newMemory returns the memory for a query of a service.
func newMemory(q *Query, service *serviceSpeed, moreUrgent float64) memory {
	m := memory{need: q.Tokens + q.MaxOutput, usable: q.Memory, mean: service.meanTokens}
	if moreUrgent > 0 {
		m.usable -= int64(urgentReserve * float64(q.Memory))
	}
	return m
}

// fits reports whether a request fits beside what is committed: the tokens of this daemon's requests,
// and the mean for each of the others. Notices of other daemons have no tokens, and old daemons would
// reject them if they had.
func (m *memory) fits(own int64, others float64) bool {
	return m.usable <= 0 || float64(own+m.need)+max(others, 0)*m.mean <= float64(m.usable)
}

// recordTokens corrects the mean tokens of a request.
func (v *serviceSpeed) recordTokens(tokens int64) {
	if v.meanTokens == 0 {
		v.meanTokens = float64(tokens)
		return
	}
	v.meanTokens += tokensGain * (float64(tokens) - v.meanTokens)
}
