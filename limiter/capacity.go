package limiter

import "time"

const (
	// decreaseFactor scales the limit when the target is slow or overloaded.
	decreaseFactor = 0.9
	// increaseFactor scales the limit when the target meets its objective.
	increaseFactor = 1.04
	// minUtilization is the fraction of the limit that must have been used for
	// an increase.
	minUtilization = 0.8
	// maxLateFraction is the largest fraction of late first tokens without a
	// decrease.
	maxLateFraction = 0.1
	// maxOverloadedFraction is the largest fraction of overloaded requests
	// without a decrease. It is higher than maxLateFraction, because one of
	// several upstreams may refuse all its requests.
	maxOverloadedFraction = 0.4
	// lateFactor is the multiple of the baseline above which a first token is
	// late.
	lateFactor = 2
	// evaluationPeriod is the minimum time over which requests are evaluated.
	evaluationPeriod = time.Second
	// minSamples is the minimum number of requests that an evaluation needs.
	minSamples = 8
)

// adaptiveCapacity is a concurrency limit with multiplicative increase and
// decrease. Once per evaluation period it looks at the requests that ended. It
// decreases the limit when too many first tokens were late or too many requests
// met an overloaded upstream. Otherwise it increases the limit, provided that
// the limit was used.
//
// A first token is late when its time exceeds both the objective and a multiple
// of the baseline, which is the usual time without congestion. The baseline is
// updated while at least half of the limit is unused or the limit is at its
// minimum. Without a baseline, a model with long prompts would always be late
// and its limit would stay at the minimum.
type adaptiveCapacity struct {
	limit float64
	// baseline is the moving average of the time to the first token without
	// congestion.
	baseline    time.Duration
	periodStart time.Time
	samples     int
	late        int
	overloaded  int
	peakRunning int
	// firstTokenSum is the sum of the times to the first token.
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

// updateBaseline averages the times to the first token into the baseline if
// there was no congestion.
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
	if float64(c.peakRunning) >= c.limit*minUtilization {
		c.limit = min(c.limit*increaseFactor, float64(config.MaxCapacity))
	}
}
