package limiter

import "time"

const (
	// decreaseFactor is the factor of the number of places when the target is too slow.
	decreaseFactor = 0.9
	// increaseFactor is the factor when the target keeps to its time.
	increaseFactor = 1.04
	// minUtilisation is the part of the places that must be in use for an increase.
	minUtilisation = 0.8
	// maxLateFraction is the part of first tokens that may be late.
	maxLateFraction = 0.1
	// maxOverloadedFraction is the part of requests that upstreams may refuse. It is
	// larger, because one of several upstreams may refuse everything.
	maxOverloadedFraction = 0.4
	// lateFactor is the multiple of the usual time from which a first token is late.
	lateFactor = 2
	// evaluationPeriod is the time over which first tokens are judged.
	evaluationPeriod = time.Second
	// minSamples is the number of first tokens that a judgement needs.
	minSamples = 8
)

// adaptiveCapacity adapts the number of places. Once a window it judges the first tokens
// of the requests that ended: when too many were late the places shrink by a
// part, otherwise they grow, provided that they were used.
//
// A first token is late when it takes longer than the configured time and also
// much longer than without congestion. The latter is learned while half of the
// places are free or only the fewest are left. Without it, a model with long
// prompts would always be late and never get more than the fewest places.
type adaptiveCapacity struct {
	limit float64
	// baseline is the mean time to the first token without congestion.
	baseline    time.Duration
	periodStart time.Time
	samples     int
	late        int
	overloaded  int
	peakRunning int
	// firstTokenSum is the total of the times to the first token.
	firstTokenSum time.Duration
}

func (c *adaptiveCapacity) adapt(now time.Time, running int, o Outcome, config *Config) {
	c.peakRunning = max(c.peakRunning, running)
	switch {
	case o.Overloaded:
		c.overloaded++
		c.samples++
	case o.TimeToFirstToken > 0:
		c.samples++
		c.firstTokenSum += o.TimeToFirstToken
		if o.TimeToFirstToken > max(config.FirstTokenObjective, lateFactor*c.baseline) {
			c.late++
		}
	}
	if c.periodStart.IsZero() {
		c.periodStart = now
	}
	if c.samples < minSamples || now.Sub(c.periodStart) < evaluationPeriod {
		return
	}
	c.updateBaseline(config)
	c.adjust(config)
	*c = adaptiveCapacity{limit: c.limit, baseline: c.baseline, periodStart: now}
}

// updateBaseline notes the time to the first token when there was no congestion.
func (c *adaptiveCapacity) updateBaseline(config *Config) {
	measured := c.samples - c.overloaded
	uncongested := float64(c.peakRunning) < c.limit/2 || c.limit <= float64(config.MinCapacity)
	if measured == 0 || !uncongested {
		return
	}
	c.baseline += (c.firstTokenSum/time.Duration(measured) - c.baseline) / 4
}

func (c *adaptiveCapacity) adjust(config *Config) {
	samples := float64(c.samples)
	if float64(c.late) > maxLateFraction*samples || float64(c.overloaded) > maxOverloadedFraction*samples {
		c.limit = max(c.limit*decreaseFactor, float64(config.MinCapacity))
		return
	}
	if float64(c.peakRunning) >= c.limit*minUtilisation {
		c.limit = min(c.limit*increaseFactor, float64(config.MaxCapacity))
	}
}
