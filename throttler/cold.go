package throttler

import (
	"math"
	"net/netip"
	"time"

	"laburnumline/recorder"
)

// Warmup describes the cold upstreams of a service. An upstream is cold for some time after its start
// and crashes when it gets many more requests than it tolerates in that time. The zero value means that
// the upstreams are never cold.
type Warmup struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// Rate is the number of requests per second that a cold upstream tolerates.
	Rate float64
	// MaxPerSecond is the number of requests that it may get in any second from all daemons together.
	MaxPerSecond float64
}

func (w Warmup) enabled() bool { return w.Duration > 0 && w.Rate > 0 }

// WarmupStatement is what an upstream states about how much longer it is cold. The zero value means that
// it states nothing.
type WarmupStatement struct {
	Stated bool
	// Left is zero for a warm upstream.
	Left time.Duration
	// Unreadable is true if the statement cannot be read. It changes nothing.
	Unreadable bool
}

// Start describes one start of an upstream.
type Start struct {
	ID                ID
	Upstream, Service string
	Address           netip.AddrPort
}

const (
	// coldWindow is the time between the sends of requests that an upstream may get within one second.
	// It includes the time to open a connection, up to 400 ms.
	coldWindow = 1500 * time.Millisecond
	// coldOwnerFraction is the fraction of the requests that an upstream may get in a second that are
	// left to owners, each of which may send one at any time. The rest covers the permissions.
	coldOwnerFraction = 2.0 / 3
	// coldExcessProbability is that of more permissions within coldWindow than the owners leave room for.
	coldExcessProbability = 1e-6
	// coldPermissionPeriods is how many periods of a permission a coldWindow overlaps in the mean.
	coldPermissionPeriods = 2.5
	// membersSettleTime is how long a daemon sends nothing to cold upstreams after it found itself alone
	// or the fleet grown by more than a quarter. While a fleet starts, its first daemons know few others
	// and overestimate their share; each round of shares takes about a second.
	membersSettleTime = 2 * time.Second
	// suspicionTime is how long after an upstream was found unreachable a warm-up of zero in its entry
	// may still have been written before. Later ones show that it has not restarted.
	suspicionTime = time.Second
	// maxUnreached is the number of upstreams that one call of Unreached returns, unreachedInterval the
	// time until it returns an upstream again. Probes are cheap, but all upstreams may be unreachable.
	maxUnreached      = 8
	unreachedInterval = 500 * time.Millisecond
)

// coldState is what is known about an upstream that is or may be cold.
type coldState struct {
	start  Start
	warmup Warmup
	// statedUntil, keptUntil and reachedUntil are the ends of the cold time as the upstream states it,
	// after the return of its zone, and after it was reached again.
	statedUntil, keptUntil, reachedUntil time.Time
	// unreachable is true from when the upstream was found unreachable, at unreachableAt, until it is
	// reached again. It may have restarted.
	unreachable             bool
	unreachableAt, probedAt time.Time
	share                   share
	// cause is why it counts as cold, logged is true once that was logged.
	cause  string
	logged bool
}

func (c *coldState) isCold(now time.Time) bool {
	return c.warmup.enabled() && (c.unreachable || now.Before(c.statedUntil) || now.Before(c.keptUntil) || now.Before(c.reachedUntil))
}

// coldFilter is a set of hashes of IDs. It spares most of the look-ups of upstreams that are not cold, which
// each choice makes for all upstreams.
type coldFilter [16]uint64

func (f *coldFilter) add(id ID) { f[(id>>6)%16] |= 1 << (id % 64) }

func (f *coldFilter) mayHave(id ID) bool { return f[(id>>6)%16]&(1<<(id%64)) != 0 }

// RecordWarmup records what the entry or a response of an upstream states.
func (t *Throttler) RecordWarmup(now time.Time, s Start, w WarmupStatement) {
	if w.Unreadable {
		t.config.Recorder.Count("throttler.warmup_unreadable", 1)
	}
	if !w.Stated || w.Unreadable || w.Left <= 0 && t.restricted.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.Left > 0 {
		t.coldOf(now, s, "stated").statedUntil = now.Add(w.Left)
		return
	}
	c := t.cold[s.ID]
	if c == nil {
		return
	}
	c.statedUntil = now
	if now.Sub(c.unreachableAt) >= suspicionTime {
		c.unreachable, c.reachedUntil = false, now
	}
}

// KeepCold treats an upstream as cold until the warm-up time of its service after a zone has returned from
// an evacuation.
func (t *Throttler) KeepCold(now time.Time, s Start, returnedAt time.Time) {
	until := returnedAt.Add(t.config.Warmup(s.Service).Duration)
	if !now.Before(until) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.coldOf(now, s, "zone returned"); until.After(c.keptUntil) {
		c.keptUntil = until
	}
}

// MarkUnreachable records that no connection to an upstream can be opened. It counts as cold until it has
// been reached again for the warm-up time of its service, or its entry shows that it is warm.
func (t *Throttler) MarkUnreachable(now time.Time, s Start) {
	if !t.config.Warmup(s.Service).enabled() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.coldOf(now, s, "unreachable")
	c.unreachable, c.unreachableAt = true, now
}

// MarkReached records that an upstream has accepted a connection.
func (t *Throttler) MarkReached(now time.Time, id ID) {
	if t.restricted.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.cold[id]; c != nil && c.unreachable {
		c.unreachable, c.reachedUntil = false, now.Add(c.warmup.Duration)
	}
}

// Unreached returns some of the upstreams that were found unreachable and not reached again, each at most
// once in unreachedInterval.
func (t *Throttler) Unreached(now time.Time) []Start {
	if t.restricted.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var starts []Start
	for _, c := range t.cold { // in random order
		if c.unreachable && len(starts) < maxUnreached && now.Sub(c.probedAt) >= unreachedInterval {
			c.probedAt = now
			starts = append(starts, c.start)
		}
	}
	return starts
}

// ExpireCold forgets upstreams that are no longer cold, and follows the members of the fleet, so that earlier
// growth does not count when an upstream turns cold. It has to be called several times per second once there is
// a configuration.
func (t *Throttler) ExpireCold(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadMembers(now)
	for id, c := range t.cold {
		c.warmup = t.config.Warmup(c.start.Service)
		t.logCold(c)
		if !c.isCold(now) {
			t.dropCold(id, c)
		}
	}
}

// retainCold forgets upstreams that are no longer listed, except those in evacuated zones or with entries
// that are missing for a moment, whose cold time ends by itself. The lock is held.
func (t *Throttler) retainCold(now time.Time, listed map[ID]bool) {
	for id, c := range t.cold {
		if !listed[id] && c.unreachable && now.Sub(c.unreachableAt) > unlistedRetention {
			t.dropCold(id, c)
		}
	}
}

// coldOf returns the state of an upstream, which is added if there is none. The lock is held.
func (t *Throttler) coldOf(now time.Time, s Start, cause string) *coldState {
	c := t.cold[s.ID]
	if c != nil {
		if !c.isCold(now) {
			c.share = share{}
		}
		return c
	}
	c = &coldState{start: s, warmup: t.config.Warmup(s.Service), cause: cause}
	t.cold[s.ID] = c
	t.coldFilter.add(s.ID)
	t.restricted.Add(1)
	t.logCold(c)
	return c
}

// logCold logs once that an upstream counts as cold. Without a configuration it is not known whether it does.
func (t *Throttler) logCold(c *coldState) {
	if c.logged || !c.warmup.enabled() {
		return
	}
	c.logged = true
	t.config.Recorder.Event(recorder.UpstreamCold, "upstream", c.start.Upstream, "service", c.start.Service, "cold", true, "cause", c.cause)
}

func (t *Throttler) dropCold(id ID, c *coldState) {
	delete(t.cold, id)
	t.coldFilter = coldFilter{}
	for other := range t.cold {
		t.coldFilter.add(other)
	}
	t.restricted.Add(-1)
	if c.logged {
		t.config.Recorder.Event(recorder.UpstreamCold, "upstream", c.start.Upstream, "service", c.start.Service, "cold", false)
	}
}

// IsCold reports whether an upstream counts as cold.
func (t *Throttler) IsCold(now time.Time, id ID) bool {
	if t.restricted.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cold[id]
	return c != nil && c.isCold(now)
}

// coldState returns the state of an upstream if it is cold, else nil. The lock is held.
func (t *Throttler) coldState(now time.Time, id ID) *coldState {
	if !t.coldFilter.mayHave(id) {
		return nil
	}
	c := t.cold[id]
	if c == nil {
		return nil
	}
	if c.share.computedAt.IsZero() || now.Sub(c.share.computedAt) > shareLifetime {
		c.warmup = t.config.Warmup(c.start.Service)
	}
	if !c.isCold(now) {
		return nil
	}
	return c
}

// hasColdShare reports whether the share of this daemon allows a request to a cold upstream. The lock is
// held.
func (t *Throttler) hasColdShare(now time.Time, id ID, c *coldState) bool {
	if !t.loadMembers(now) || !t.config.MembersCurrent(now) || now.Before(t.members.unsettledUntil) {
		return false
	}
	if c.share.computedAt.IsZero() || now.Sub(c.share.computedAt) > shareLifetime {
		t.computeColdShare(now, id, c)
	}
	if c.share.owner {
		return c.share.refill(now) >= 1
	}
	return c.share.drawPermission(now, t.config.Random)
}

// coldPlan is how a fleet divides what a cold upstream may get.
type coldPlan struct {
	owners int
	// ownerRate is the rate of each owner in requests per second. Each may save up one request.
	ownerRate float64
	// permissions is the mean number of permissions that the other daemons together draw in
	// permissionDuration.
	permissions float64
}

// planCold divides what a cold upstream may get in any second, so that owners that all send at once, and the
// permissions that may come together, stay within it. Times are those of the sends, hence coldWindow.
func planCold(w Warmup, fleet int) coldPlan {
	room := math.Floor(w.MaxPerSecond)
	if room < 1 {
		return coldPlan{owners: fleet}
	}
	owners := min(max(int(room*coldOwnerFraction), 1), fleet)
	if fleet <= int(room) {
		owners = fleet
	}
	p := coldPlan{owners: owners}
	spare := room - float64(owners)
	rate := w.Rate
	if fleet == owners {
		spare = 0
	} else {
		rate *= ownerFraction
	}
	// An owner that sends at rate q, and may have saved one request, sends at most 1+floor(q*coldWindow).
	sendsPerOwner := math.Floor((room - spare) / float64(owners))
	p.ownerRate = min(rate/float64(owners), 0.99*sendsPerOwner/coldWindow.Seconds())
	if spare > 0 {
		// The probability of more than k events of a Poisson process with the mean m is below m^(k+1)/(k+1)!.
		mean := math.Pow(coldExcessProbability*math.Gamma(spare+2), 1/(spare+1))
		p.permissions = min(mean/coldPermissionPeriods, (1-ownerFraction)*w.Rate)
	}
	return p
}

// computeColdShare computes the share of this daemon in what a cold upstream may get. The first request of
// an owner comes at a random time, so that owners do not all send when the cold time begins. The lock is held.
func (t *Throttler) computeColdShare(now time.Time, id ID, c *coldState) {
	fleet := len(t.members.others) + 1
	p := planCold(c.warmup, fleet)
	owner := t.isOwner(id, p.owners)
	s := &c.share
	switch {
	case s.computedAt.IsZero():
		*s = share{filledAt: now, tokens: t.config.Random()}
	case owner != s.owner:
		*s = share{filledAt: now}
	}
	s.computedAt, s.owner, s.rate, s.burst = now, owner, p.ownerRate, 1
	if others := fleet - p.owners; others > 0 {
		s.permission = min(p.permissions/float64(others), 1)
	}
}
