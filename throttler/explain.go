package throttler

import (
	"maps"
	"math"
	"time"
)

// Snapshot returns a copy of the throttler, for questions that must not change its state: it draws
// no permissions here, counts nothing and logs nothing. A request that needs a permission which is
// not drawn yet is not allowed by the copy, unless the permission is certain.
func (t *Throttler) Snapshot() *Throttler {
	t.mu.Lock()
	defer t.mu.Unlock()
	config := t.config
	config.Recorder, config.Changed = nil, func() {}
	config.Random = func() float64 { return math.Nextafter(1, 0) }
	c := &Throttler{
		config: config, limits: make(map[ID]*state, len(t.limits)), pauses: maps.Clone(t.pauses),
		cold: make(map[ID]*coldState, len(t.cold)), coldFilter: t.coldFilter, members: t.members,
		brittle: maps.Clone(t.brittle), brittleSenders: maps.Clone(t.brittleSenders),
	}
	for id, s := range t.limits {
		copied := *s
		c.limits[id] = &copied
	}
	for id, s := range t.cold {
		copied := *s
		c.cold[id] = &copied
	}
	c.restricted.Store(t.restricted.Load())
	c.brittleServices.Store(t.brittleServices.Load())
	return c
}

// Restriction is what restricts the requests of this daemon to an upstream.
type Restriction struct {
	// Pause is the rest of a pause, or zero.
	Pause time.Duration
	Limit Limit
	// Cold is true if the upstream counts as cold, ColdCause says why it first did.
	Cold      bool
	ColdCause string
	// Allowed is true if a request may be sent now. Otherwise Permission is the probability that a
	// daemon that is no owner of the limit draws a permission for the next one, or zero.
	Allowed    bool
	Permission float64
}

// Restriction describes what restricts an upstream. It may draw permissions and compute shares, and is
// therefore called for a Snapshot.
func (t *Throttler) Restriction(now time.Time, id ID) Restriction {
	r := Restriction{Allowed: t.Allows(now, id)}
	if t.restricted.Load() == 0 {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isPaused(now, id) {
		r.Pause = t.pauses[id].Sub(now)
	}
	permission := 1.0
	note := func(s *share) {
		if s.owner {
			permission = 0
		}
		permission = min(permission, s.permission)
	}
	if c := t.coldState(now, id); c != nil {
		r.Cold, r.ColdCause = true, c.cause
		note(&c.share)
	}
	if s := t.limits[id]; s != nil && s.limit.Stated {
		r.Limit = s.limit
		note(&s.share)
	}
	if !r.Allowed && r.Pause == 0 {
		r.Permission = permission
	}
	return r
}
