package throttler

import "time"

// announcementsPerLimit is the number of notices that carry a limit after it was stated, because
// notices may be lost.
const announcementsPerLimit = 3

// endedRetention is how long the end of a limit is kept, so that older reports do not revive it.
const endedRetention = time.Minute

// Report tells other daemons what an upstream has stated to this one.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Upstream ID
	Stated   bool
	Rate     float64 // requests per second
	AgeMs    uint32  // milliseconds since the limit was stated or had ended
}

// Collect returns reports for the next notice, at most maxReports.
func (t *Throttler) Collect(now time.Time, maxReports int) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for id, s := range t.limits {
		if s.announcements == 0 {
			if !s.limit.Stated && now.Sub(s.statedAt) > endedRetention {
				delete(t.limits, id)
			}
			continue
		}
		if len(reports) == maxReports {
			break
		}
		s.announcements--
		reports = append(reports, Report{Upstream: id, Stated: s.limit.Stated, Rate: s.limit.Rate, AgeMs: uint32(now.Sub(s.statedAt).Milliseconds())})
	}
	return reports
}

// Merge records the reports of another daemon. Those that are older than what is known are
// ignored.
func (t *Throttler) Merge(now time.Time, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		statedAt := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		s := t.limits[r.Upstream]
		if s == nil {
			s = &state{}
			t.limits[r.Upstream] = s
		}
		if statedAt.After(s.statedAt) {
			t.set(s, Limit{Stated: r.Stated, Rate: r.Rate}, statedAt)
			s.announcements = 0 // the sender announces it
		}
	}
}
