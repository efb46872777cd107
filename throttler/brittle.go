package throttler

import (
	"time"

	"laburnumline/recorder"
)

const (
	// brittleRetention is how long the upstreams of a service count as brittle after one of them has
	// stated it. They state it in all responses.
	brittleRetention = 4 * time.Second
	// brittleSafety is the factor by which the rejections that this daemon risks stay below its part of
	// what a brittle upstream bears.
	brittleSafety = 2
	// minBrittlePause and maxBrittlePause limit the pause of a brittle upstream that has rejected a
	// request.
	minBrittlePause = 500 * time.Millisecond
	maxBrittlePause = 30 * time.Second
	// maxBrittleSenders is the size of a fleet up to which all daemons send to each brittle upstream. In a
	// larger one each daemon has about brittleChoices upstreams to choose from.
	maxBrittleSenders = 16
	brittleChoices    = 2
)

// Rejections is what an upstream states about the rejections that it bears. The zero value means
// that it states nothing.
type Rejections struct {
	Stated bool
	// PerSecond is the number of requests that it can reject in a second. It fails when it has to
	// reject more.
	PerSecond int
}

// brittleness is what is known about a service whose upstreams are brittle.
type brittleness struct {
	perSecond int
	statedAt  time.Time
	upstreams int // of the service
}

// recordBrittle records whether the upstreams of a service are brittle, and pauses one that has rejected a
// request, for so long that the daemons together stay below the rejections that it bears.
func (t *Throttler) recordBrittle(id ID, r Response) {
	if !r.Rejections.Stated && t.brittleServices.Load() == 0 {
		return
	}
	t.mu.Lock()
	b, known := t.brittle[r.Service]
	if r.Rejections.Stated {
		if !known {
			t.brittleServices.Add(1)
		}
		if !known || b.perSecond != r.Rejections.PerSecond {
			t.config.Recorder.Event(recorder.ServiceBrittle, "service", r.Service, "upstream", r.Upstream, "rejections", r.Rejections.PerSecond)
		}
		b.perSecond, b.statedAt, known = r.Rejections.PerSecond, r.ReceivedAt, true
		t.brittle[r.Service] = b
	}
	t.mu.Unlock()
	if known && r.Rejected {
		t.pause(id, Response{Upstream: r.Upstream, ReceivedAt: r.ReceivedAt, Pause: t.brittlePause(r.ReceivedAt, b)})
	}
}

// brittlePause returns how long a daemon pauses a brittle upstream that has rejected a request.
func (t *Throttler) brittlePause(now time.Time, b brittleness) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadMembers(now)
	pause := time.Duration(brittleSafety * float64(b.senders(len(t.members.others)+1)) / float64(max(b.perSecond, 1)) * float64(time.Second))
	return min(max(pause, minBrittlePause), maxBrittlePause)
}

// senders returns how many daemons of a fleet send requests to an upstream while it is brittle: all of a
// small one, else so few that all their pending requests may be rejected, but so many that each daemon has
// some upstreams.
func (b brittleness) senders(members int) int {
	if members <= maxBrittleSenders {
		return members
	}
	return min(max(b.perSecond/brittleSafety, 1, (brittleChoices*members+b.upstreams-1)/max(b.upstreams, 1)), members)
}

// MaxPending returns how many requests that an upstream has neither accepted nor rejected this daemon may have
// there at a time, because all of them may be rejected in the same second: its part of the free slots, or of
// the rejections that the upstream bears. Zero means that there is no limit, and a negative number that other
// daemons send to this upstream. The service has the given number of upstreams.
func (t *Throttler) MaxPending(now time.Time, service string, upstreams int, id ID, freeSlots int) int {
	if t.brittleServices.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b, known := t.brittle[service]
	if !known {
		return 0
	}
	if now.Sub(b.statedAt) > brittleRetention {
		delete(t.brittle, service)
		t.brittleServices.Add(-1)
		return 0
	}
	if b.upstreams != upstreams {
		b.upstreams = upstreams
		t.brittle[service] = b
	}
	t.loadMembers(now)
	members := len(t.members.others) + 1
	senders := b.senders(members)
	if !t.isBrittleSender(now, id, senders, members) {
		return -1
	}
	return max(b.perSecond/(brittleSafety*senders), freeSlots/(brittleSafety*senders), 1)
}

// brittleSender caches whether this daemon is among the senders of an upstream.
type brittleSender struct {
	sender     bool
	computedAt time.Time
}

// isBrittleSender reports whether this daemon is among the senders of an upstream by rendezvous hashing. The
// lock is held.
func (t *Throttler) isBrittleSender(now time.Time, id ID, senders, members int) bool {
	if senders >= members {
		return true
	}
	s, ok := t.brittleSenders[id]
	if !ok || now.Sub(s.computedAt) > shareLifetime {
		s = brittleSender{sender: t.isOwner(id, senders), computedAt: now}
		t.brittleSenders[id] = s
	}
	return s.sender
}
