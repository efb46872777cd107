package balancer

import "time"

const (
	// priorities is the number of priorities; 0 is the most urgent.
	priorities = 10
	// mixDecay is the factor by which each request reduces the weight of the earlier ones. The mix is
	// that of about the last 100 requests.
	mixDecay = 0.98
)

// byPriority holds a prefill time for each priority.
type byPriority [priorities]time.Duration

// upTo returns the prefill time of requests that are at least as urgent.
func (b *byPriority) upTo(priority int) time.Duration {
	sum := time.Duration(0)
	for _, d := range b[:priority+1] {
		sum += d
	}
	return sum
}

// priorityMix is how the work of a service is distributed among the priorities, according to the
// requests of this daemon. Other daemons announce only sums, and their mix is taken to be the same.
type priorityMix struct {
	weights [priorities]float64
	total   float64
}

// add records the tokens of a request.
func (m *priorityMix) add(priority int, tokens int64) {
	for i := range m.weights {
		m.weights[i] *= mixDecay
	}
	weight := float64(max(tokens, 1))
	m.weights[priority] += weight
	m.total = m.total*mixDecay + weight
}

// share returns the fraction of the work that is at least as urgent, and the fraction that is more
// urgent. Without requests, all work is taken to be as urgent.
func (m *priorityMix) share(priority int) (asUrgent, moreUrgent float64) {
	if m.total <= 0 {
		return 1, 0
	}
	for _, w := range m.weights[:priority] {
		moreUrgent += w
	}
	asUrgent = (moreUrgent + m.weights[priority]) / m.total
	return min(asUrgent, 1), min(moreUrgent/m.total, 1)
}
