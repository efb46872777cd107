package registrar

import (
	"maps"
	"slices"
	"time"

	"laburnumline/recorder"
	"laburnumline/resolver"
)

const (
	// leavingRetention is how long it is remembered that an upstream leaves. Its entry may disappear
	// and come back in that time, when the store was away or was restored from an older copy.
	leavingRetention = time.Hour
	// otherStartRetention applies instead to another start than the one in the list when the
	// upstream stated that it leaves. Clocks differ by seconds, so the order of the two is uncertain.
	otherStartRetention = time.Minute
	// removalRetention is how long it is remembered that an entry was deleted, and what it said. Copies from which a
	// store is restored are some seconds old.
	removalRetention = time.Minute
	// maxWriteDelay is how late a write may take effect whose answer was lost: six seconds, and some for the
	// way of the change to this daemon.
	maxWriteDelay = 7 * time.Second
)

// departure records that an upstream leaves.
type departure struct {
	since time.Time
	// startedAtMs is the start that the list had. An entry that says itself that its upstream
	// leaves is of that start. A response may be of a later one that the list did not have yet.
	startedAtMs int64
	stated      bool // in a response
	// settled is true once otherStartRetention has passed.
	settled bool
}

// includes reports whether an upstream that is listed with a start is one that leaves. One that started
// after the departure has started anew.
func (d departure) includes(startedAtMs int64, now time.Time) bool {
	switch {
	case d.since.IsZero() || now.Sub(d.since) > leavingRetention:
		return false
	case startedAtMs <= d.startedAtMs:
		return true
	case !d.stated || d.settled:
		return false
	}
	return startedAtMs <= d.since.UnixMilli()
}

// removal records that the entry of an upstream was deleted while the store was available.
type removal struct {
	since       time.Time
	startedAtMs int64
	// hiddenUntil is set when the entry is back: in a list of all entries, as in a store that was
	// restored, or by a write that may be one from before the removal. By then the entry has expired unless its upstream
	// renews it. sequence is that of the entry that is back.
	hiddenUntil time.Time
	sequence    int64
}

// statement identifies what an upstream has written.
type statement struct {
	service               resolver.ServiceName
	startedAtMs, sequence int64
	// seenAt is when the entry was seen, startSeenAt when the first one of its start was.
	seenAt, startSeenAt time.Time
	// earlier is the last entry of an earlier start that came after this one.
	earlier *statement
}

// precedes reports whether one statement was written before another one. Those for different services are not of one upstream.
func (s statement) precedes(other statement) bool {
	if s.service != other.service {
		return false
	}
	if s.startedAtMs == other.startedAtMs {
		return s.sequence < other.sequence
	}
	return s.startedAtMs != 0 && s.startedAtMs < other.startedAtMs
}

// isOlder reports whether an upstream wrote an entry before the latest one that was seen under its key, and else records it as
// the latest. A write whose answer was lost may take effect seconds later, after newer ones. An earlier start that comes later
// than that, or that goes on writing, is that of an upstream whose clock was set back. The lock is held.
func (r *Registrar) isOlder(key string, u *Upstream) bool {
	now := r.config.Now()
	written := statement{service: u.Service, startedAtMs: u.StartedAtMs, sequence: u.Sequence, seenAt: now, startSeenAt: now}
	latest, ok := r.latest[key]
	sameStart := ok && written.startedAtMs == latest.startedAtMs
	if sameStart {
		written.startSeenAt = latest.startSeenAt
	}
	if !ok || !written.precedes(latest) || !sameStart && now.Sub(latest.startSeenAt) > maxWriteDelay {
		r.latest[key] = written
		return false
	}
	if sameStart {
		return true
	}
	if e := latest.earlier; e != nil && e.startedAtMs == written.startedAtMs && e.precedes(written) {
		r.latest[key] = written
		return false
	}
	latest.earlier = &written
	r.latest[key] = latest
	return true
}

// MarkLeaving removes an upstream that has stated in a response that it leaves from the list of Of,
// until it starts anew. Its entry may be of an earlier time.
func (r *Registrar) MarkLeaving(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaves(u) && r.leaving[u.Name].stated {
		return
	}
	r.recordDeparture(u, true)
	r.config.Recorder.Event(recorder.UpstreamLeaving, "upstream", u.Name, "service", u.Service, "started", u.StartedAtMs)
	r.publish()
}

// recordDeparture records that an upstream leaves, unless that is known. A statement of the upstream counts besides its entry, which a
// later entry may revoke. The lock is held.
func (r *Registrar) recordDeparture(u *Upstream, stated bool) {
	now := r.config.Now()
	maps.DeleteFunc(r.leaving, func(_ Name, d departure) bool { return now.Sub(d.since) > leavingRetention })
	known := r.leaving[u.Name]
	if !r.leaves(u) || stated && !known.stated {
		r.leaving[u.Name] = departure{since: now, startedAtMs: max(u.StartedAtMs, known.startedAtMs), stated: stated}
	}
}

// leaves reports whether an upstream is known to leave. The lock is held.
func (r *Registrar) leaves(u *Upstream) bool {
	return r.leaving[u.Name].includes(u.StartedAtMs, r.config.Now())
}

// recordRemoval records that the entry of an upstream was deleted. The lock is held.
func (r *Registrar) recordRemoval(u *Upstream) {
	now := r.config.Now()
	maps.DeleteFunc(r.removed, func(_ Name, m removal) bool { return now.Sub(m.since) > removalRetention })
	r.removed[u.Name] = removal{since: now, startedAtMs: u.StartedAtMs}
}

// recordRenewal records that an upstream has written its entry. One that is ready no longer drains.
// The lock is held.
func (r *Registrar) recordRenewal(u *Upstream) {
	if r.mayPrecedeRemoval(u) {
		r.hide(u)
		return
	}
	delete(r.removed, u.Name)
	if !u.Draining && !r.leaving[u.Name].stated {
		delete(r.leaving, u.Name)
	}
}

// mayPrecedeRemoval reports whether an entry that is back soon after its removal may have been written before that, and took effect
// late. The next write of the upstream shows that it is back. An entry without a sequence number, or one without which its
// service would have no upstream, counts as written after the removal. The lock is held.
func (r *Registrar) mayPrecedeRemoval(u *Upstream) bool {
	removed, ok := r.removed[u.Name]
	if !ok || u.Sequence == 0 || u.StartedAtMs > removed.startedAtMs || r.config.Now().Sub(removed.since) > maxWriteDelay {
		return false
	}
	if !removed.hiddenUntil.IsZero() && u.Sequence > removed.sequence {
		return false
	}
	return slices.ContainsFunc(r.Of(u.Service), func(other Upstream) bool { return other.Name != u.Name })
}

// hide keeps the entry of a removed upstream from the list for failureWindow, if it is of the same start.
// The lock is held.
func (r *Registrar) hide(u *Upstream) {
	removed, ok := r.removed[u.Name]
	if !ok || u.StartedAtMs > removed.startedAtMs {
		delete(r.removed, u.Name)
		return
	}
	if removed.hiddenUntil.IsZero() {
		removed.hiddenUntil = r.config.Now().Add(failureWindow)
	}
	removed.sequence = max(removed.sequence, u.Sequence)
	r.removed[u.Name] = removed
}

// hidden reports whether an upstream is kept from the list. The lock is held.
func (r *Registrar) hidden(u *Upstream) bool { return !r.removed[u.Name].hiddenUntil.IsZero() }

// endRetention ends the hiding of entries that are still there after failureWindow, and the retention of
// statements for other starts. It reports whether there were any. The lock is held.
func (r *Registrar) endRetention() bool {
	before, now := len(r.removed), r.config.Now()
	maps.DeleteFunc(r.removed, func(_ Name, m removal) bool { return !m.hiddenUntil.IsZero() && !now.Before(m.hiddenUntil) })
	changed := len(r.removed) < before
	maps.DeleteFunc(r.latest, func(key string, s statement) bool {
		return r.entries[key] == nil && now.Sub(s.seenAt) > removalRetention
	})
	for name, d := range r.leaving {
		if !d.settled && now.Sub(d.since) > otherStartRetention {
			d.settled, changed = true, true
			r.leaving[name] = d
		}
	}
	return changed
}
