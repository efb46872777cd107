package registrar

import (
	"maps"
	"time"

	"laburnumline/recorder"
)

const (
	// leavingRetention is how long it is remembered that an upstream leaves. Its entry may disappear
	// and come back in that time, when the store was away or was restored from an older copy.
	leavingRetention = time.Hour
	// otherStartRetention applies instead to another start than the one in the list when the
	// upstream stated that it leaves. Clocks differ by seconds, so the order of the two is uncertain.
	otherStartRetention = time.Minute
	// removalRetention is how long it is remembered that an entry was deleted. Copies from which a
	// store is restored are some seconds old.
	removalRetention = time.Minute
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
	// hiddenUntil is set when the entry is back in a list of all entries, as in a store that was
	// restored. By then the entry has expired unless its upstream renews it.
	hiddenUntil time.Time
}

// MarkLeaving removes an upstream that has stated in a response that it leaves from the list of Of,
// until it starts anew. Its entry may be of an earlier time.
func (r *Registrar) MarkLeaving(u *Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaves(u) {
		return
	}
	r.recordDeparture(u, true)
	r.config.Recorder.Event(recorder.UpstreamLeaving, "upstream", u.Name, "service", u.Service, "started", u.StartedAtMs)
	r.publish()
}

// recordDeparture records that an upstream leaves, unless that is known. The lock is held.
func (r *Registrar) recordDeparture(u *Upstream, stated bool) {
	now := r.config.Now()
	maps.DeleteFunc(r.leaving, func(_ Name, d departure) bool { return now.Sub(d.since) > leavingRetention })
	if !r.leaves(u) {
		r.leaving[u.Name] = departure{since: now, startedAtMs: u.StartedAtMs, stated: stated}
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
	delete(r.removed, u.Name)
	if !u.Draining && !r.leaving[u.Name].stated {
		delete(r.leaving, u.Name)
	}
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
		r.removed[u.Name] = removed
	}
}

// hidden reports whether an upstream is kept from the list. The lock is held.
func (r *Registrar) hidden(u *Upstream) bool { return !r.removed[u.Name].hiddenUntil.IsZero() }

// endRetention ends the hiding of entries that are still there after failureWindow, and the retention of
// statements for other starts. It reports whether there were any. The lock is held.
func (r *Registrar) endRetention() bool {
	before, now := len(r.removed), r.config.Now()
	maps.DeleteFunc(r.removed, func(_ Name, m removal) bool { return !m.hiddenUntil.IsZero() && !now.Before(m.hiddenUntil) })
	changed := len(r.removed) < before
	for name, d := range r.leaving {
		if !d.settled && now.Sub(d.since) > otherStartRetention {
			d.settled, changed = true, true
			r.leaving[name] = d
		}
	}
	return changed
}
