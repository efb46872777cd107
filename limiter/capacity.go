package limiter

import "time"

const (
	// decrease is the factor of the number of places when the target is too slow.
	decrease = 0.9
	// increase is the factor when the target keeps to its time.
	increase = 1.04
	// utilised is the part of the places that must be in use for an increase.
	utilised = 0.8
	// tolerated is the part of first tokens that may be late.
	tolerated = 0.1
	// toleratedRefusals is the part of requests that upstreams may refuse. It is
	// larger, because one of several upstreams may refuse everything.
	toleratedRefusals = 0.4
	// lateFactor is the multiple of the usual time from which a first token is late.
	lateFactor = 2
	// window is the time over which first tokens are judged.
	window = time.Second
	// minSamples is the number of first tokens that a judgement needs.
	minSamples = 8
)

// capacity adapts the number of places. Once a window it judges the first tokens
// of the requests that ended: when too many were late the places shrink by a
// part, otherwise they grow, provided that they were used.
//
// A first token is late when it takes longer than the configured time and also
// much longer than without congestion. The latter is learned while half of the
// places are free or only the fewest are left. Without it, a model with long
// prompts would always be late and never get more than the fewest places.
type capacity struct {
	places float64
	// usual is the mean time to the first token without congestion.
	usual   time.Duration
	began   time.Time
	samples int
	late    int
	refused int
	peak    int
	// sum is the total of the times to the first token.
	sum time.Duration
}

func (c *capacity) adapt(now time.Time, running int, o Outcome, config *Config) {
	c.peak = max(c.peak, running)
	switch {
	case o.Overloaded:
		c.refused++
		c.samples++
	case o.TimeToFirstToken > 0:
		c.samples++
		c.sum += o.TimeToFirstToken
		if o.TimeToFirstToken > max(config.FirstTokenObjective, lateFactor*c.usual) {
			c.late++
		}
	}
	if c.began.IsZero() {
		c.began = now
	}
	if c.samples < minSamples || now.Sub(c.began) < window {
		return
	}
	c.learn(config)
	c.judge(config)
	*c = capacity{places: c.places, usual: c.usual, began: now}
}

// learn notes the time to the first token when there was no congestion.
func (c *capacity) learn(config *Config) {
	answered := c.samples - c.refused
	free := float64(c.peak) < c.places/2 || c.places <= float64(config.MinCapacity)
	if answered == 0 || !free {
		return
	}
	c.usual += (c.sum/time.Duration(answered) - c.usual) / 4
}

func (c *capacity) judge(config *Config) {
	samples := float64(c.samples)
	if float64(c.late) > tolerated*samples || float64(c.refused) > toleratedRefusals*samples {
		c.places = max(c.places*decrease, float64(config.MinCapacity))
		return
	}
	if float64(c.peak) >= c.places*utilised {
		c.places = min(c.places*increase, float64(config.MaxCapacity))
	}
}
