package hedger

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets in which times differ by a factor of 2. The quantile is
	// exact to about 9%.
	bucketsPerDoubling = 4
	// bucketCount covers times from 1 ms to 65 s.
	bucketCount = 16 * bucketsPerDoubling
	// distributionHalfLife is the time in which the weight of an observation falls by half. It is longer
	// than slowdowns of single upstreams, and short enough for changes of the load.
	distributionHalfLife = 30 * time.Second
	// maxScale limits the weight of a new observation before all are scaled down.
	maxScale = 1 << 20
)

// distribution is a histogram of times with logarithmic buckets, in which older observations have less
// weight. Instead of the old weights falling, those of new observations rise with the time since start.
type distribution struct {
	buckets [bucketCount]float32
	total   float64
	start   time.Time
}

func (d *distribution) scale(now time.Time) float64 {
	return math.Exp2(max(float64(now.Sub(d.start)), 0) / float64(distributionHalfLife))
}

// weight returns the weight of all observations. A new one has the weight 1.
func (d *distribution) weight(now time.Time) float64 { return d.total / d.scale(now) }

func (d *distribution) add(now time.Time, took time.Duration) {
	scale := d.scale(now)
	if scale > maxScale {
		d.total = 0
		for i := range d.buckets {
			d.buckets[i] = float32(float64(d.buckets[i]) / scale)
			d.total += float64(d.buckets[i])
		}
		d.start, scale = now, 1
	}
	d.buckets[bucketOf(took)] += float32(scale)
	d.total += scale
}

func bucketOf(took time.Duration) int {
	milliseconds := float64(took) / float64(time.Millisecond)
	if milliseconds <= 1 {
		return 0
	}
	return min(int(bucketsPerDoubling*math.Log2(milliseconds)), bucketCount-1)
}

// quantile returns the time that a fraction of the observations does not exceed, interpolated in its bucket.
func (d *distribution) quantile(fraction float64) time.Duration {
	rest := fraction * d.total
	for i, weight := range d.buckets {
		w := float64(weight)
		if w > 0 && rest <= w {
			return time.Duration(math.Exp2((float64(i)+rest/w)/bucketsPerDoubling) * float64(time.Millisecond))
		}
		rest -= w
	}
	return time.Duration(math.Exp2(bucketCount/bucketsPerDoubling)) * time.Millisecond
}
