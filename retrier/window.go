package retrier

import "time"

// windowSlots is the number of slots in which a window is counted.
const windowSlots = 10

// window counts the first attempts and the retries at a target in the last Config.Window.
//
// It has one slot more than the window: the current one is not complete. Retries count in all of them and
// first attempts only in the newest windowSlots, so that neither allows more than an exact window would.
type window struct {
	slots  [windowSlots + 1]slot
	newest int64
	// begin is when the first slot began. Differences to it come from the monotonic clock.
	begin time.Time
}

type slot struct{ first, retries int }

// advance makes the slot of a time the newest. Slots that it passes are cleared.
func (w *window) advance(now time.Time, width time.Duration) *slot {
	if w.begin.IsZero() {
		w.begin = now
	}
	n := int64(now.Sub(w.begin) / (width / windowSlots))
	if n > w.newest {
		for i := max(w.newest+1, n-windowSlots); i <= n; i++ {
			w.slots[i%int64(len(w.slots))] = slot{}
		}
		w.newest = n
	}
	return &w.slots[w.newest%int64(len(w.slots))]
}

// sum returns the first attempts and the retries that count.
func (w *window) sum() (first, retries int) {
	oldest := (w.newest + 1) % int64(len(w.slots))
	for i := range w.slots {
		retries += w.slots[i].retries
		if int64(i) != oldest {
			first += w.slots[i].first
		}
	}
	return first, retries
}
