package registrar

import (
	"maps"
	"slices"
	"time"

	"laburnumline/recorder"
	"laburnumline/resolver"
)

// SoftwareRetention is how long after its last upstream a software version may still have streams
// that callers resume. It exceeds their deadlines, and clocks that jump by some seconds.
const SoftwareRetention = time.Minute

// maxListAge is the age up to which a list counts as current. Watches of the store are answered
// at least every 1.5 s.
const maxListAge = 3 * time.Second

// unknownSoftware stands in a history for versions that may have begun streams before they were
// stored. It has a time like a version that is gone, so daemons that do not know it refuse streams
// of which nobody knows the version as well.
const unknownSoftware = "\x00unknown"

// SoftwareHistory holds the software versions of each service and since when, in Unix
// milliseconds, none of its upstreams is listed any more. Zero means that some are.
type SoftwareHistory map[resolver.ServiceName]map[string]int64

// Clone returns a deep copy.
func (h SoftwareHistory) Clone() SoftwareHistory {
	c := make(SoftwareHistory, len(h))
	for service, versions := range h {
		c[service] = maps.Clone(versions)
	}
	return c
}

// Equal reports whether both have the same content.
func (h SoftwareHistory) Equal(other SoftwareHistory) bool {
	return maps.EqualFunc(h, other, maps.Equal)
}

// add adds a version, which is listed if goneAtMs is zero. The later time counts.
func (h SoftwareHistory) add(service resolver.ServiceName, software string, goneAtMs int64) {
	if h[service] == nil {
		h[service] = make(map[string]int64)
	}
	if old, ok := h[service][software]; !ok || goneAtMs == 0 || old != 0 && goneAtMs > old {
		h[service][software] = goneAtMs
	}
}

// softwareView is what is known about the software versions of all services. It is immutable.
type softwareView struct {
	history SoftwareHistory
	// complete is true if the history has the versions before the start of the daemon.
	complete bool
	// unrecorded has the listed versions that are not known to be stored.
	unrecorded SoftwareHistory
	// recorded has the versions that are known to be stored.
	recorded SoftwareHistory
}

// softwareState is what updateSoftware derives a view from, besides the entries.
type softwareState struct {
	// loadedAtMs is when the stored history was merged, or zero.
	loadedAtMs int64
	// covers has the services that the stored history had then. Versions of other services may
	// have begun streams before, unless coversAll is true: no daemon had run.
	covers    map[resolver.ServiceName]bool
	coversAll bool
	recorded  SoftwareHistory
}

// SoftwareVersions returns the software versions of a service that may have begun streams which
// callers still resume, sorted. It reports false while there may be others: the list is older than
// maxListAge, the daemon has started less than SoftwareRetention ago and has not loaded the stored history,
// or that history may lack versions of the service.
func (r *Registrar) SoftwareVersions(service resolver.ServiceName) (versions []string, complete bool) {
	view, now := r.software.Load(), r.config.Now()
	complete = (view.complete || now.Sub(r.createdAt) >= SoftwareRetention) && r.config.ListAge() <= maxListAge
	for software, goneAtMs := range view.history[service] {
		switch {
		case goneAtMs != 0 && now.Sub(time.UnixMilli(goneAtMs)) >= SoftwareRetention:
		case software == unknownSoftware:
			complete = false
		default:
			versions = append(versions, software)
		}
	}
	slices.Sort(versions)
	return versions, complete
}

// WithRecordedSoftware returns the upstreams of a list whose version is known to be stored. New streams
// begin there as long as they serve, so that a fleet that dies as a whole knows each version that
// has begun streams. It returns the list itself if all versions are stored.
func (r *Registrar) WithRecordedSoftware(service resolver.ServiceName, list []Upstream) []Upstream {
	view := r.software.Load()
	if len(view.unrecorded[service]) == 0 {
		return list
	}
	nowMs := r.config.Now().UnixMilli()
	return slices.DeleteFunc(slices.Clone(list), func(u Upstream) bool { return !view.recorded.records(service, u.Software, nowMs) })
}

// records reports whether a stored history keeps a version for as long as callers resume streams that
// begin now.
func (h SoftwareHistory) records(service resolver.ServiceName, software string, nowMs int64) bool {
	goneAtMs, ok := h[service][software]
	return ok && (goneAtMs == 0 || nowMs-goneAtMs < SoftwareRetention.Milliseconds()/2)
}

// SoftwareHistory returns the versions of all services, without those that are gone for longer
// than SoftwareRetention.
func (r *Registrar) SoftwareHistory() SoftwareHistory { return r.software.Load().history.Clone() }

// UnrecordedSoftware reports whether a version is listed that is not known to be stored.
func (r *Registrar) UnrecordedSoftware() bool { return len(r.software.Load().unrecorded) > 0 }

// MergeSoftware adds what other daemons have stored about the versions before this one started. Services
// that the stored history does not contain may have had any version.
func (r *Registrar) MergeSoftware(stored SoftwareHistory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	covers := make(map[resolver.ServiceName]bool, len(stored))
	for service := range stored {
		covers[service] = true
	}
	r.loadSoftware(stored, covers)
}

// MergeUncertainSoftware adds a stored history that may lack versions of any service: it is absent
// although daemons have run, unreadable, or from before a restore of the store.
func (r *Registrar) MergeUncertainSoftware(stored SoftwareHistory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadSoftware(stored, make(map[resolver.ServiceName]bool))
}

// StartSoftware records that no daemon has run before: no version has begun a stream.
func (r *Registrar) StartSoftware() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.softwareState.coversAll = true
	r.loadSoftware(nil, nil)
}

// loadSoftware merges the stored history for the first time. The lock is held.
func (r *Registrar) loadSoftware(stored SoftwareHistory, covers map[resolver.ServiceName]bool) {
	state, now := &r.softwareState, r.config.Now()
	state.loadedAtMs, state.covers, state.recorded = now.UnixMilli(), covers, stored.Clone()
	if now.Sub(r.createdAt) >= SoftwareRetention {
		state.coversAll = true // this daemon has seen all versions that count
	}
	merged := r.software.Load().history.Clone()
	merged.merge(stored, state.loadedAtMs)
	r.updateSoftware(merged, true)
}

// merge adds the versions of a stored history. Those that it has as listed are gone since nowMs at the latest;
// updateSoftware corrects this for those that are listed. No version is gone later than now by the own clock.
func (h SoftwareHistory) merge(stored SoftwareHistory, nowMs int64) {
	for service, versions := range stored {
		for software, goneAtMs := range versions {
			if goneAtMs == 0 || goneAtMs > nowMs {
				goneAtMs = nowMs
			}
			h.add(service, software, goneAtMs)
		}
	}
}

// adoptSoftware merges a stored history that another daemon may have written since, and returns the
// result. Of a service that either of the two knows completely, no version is unknown.
func (r *Registrar) adoptSoftware(stored SoftwareHistory) SoftwareHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.software.Load()
	own, additional := view.history.Clone(), stored.Clone()
	for service, versions := range additional {
		_, uncertain := versions[unknownSoftware]
		_, ownUncertain := own[service][unknownSoftware]
		if !uncertain && r.softwareState.covers != nil {
			r.softwareState.covers[service] = true
		}
		switch {
		case uncertain && len(own[service]) > 0 && !ownUncertain:
			delete(versions, unknownSoftware)
		case ownUncertain && !uncertain:
			delete(own[service], unknownSoftware)
		}
	}
	own.merge(additional, r.config.Now().UnixMilli())
	r.updateSoftware(own, view.complete)
	return r.software.Load().history.Clone()
}

// addRecordedSoftware records that more listed versions are stored, for which stored reports true.
func (r *Registrar) addRecordedSoftware(stored func(service resolver.ServiceName, software string) bool) {
	view := r.software.Load()
	recorded := view.recorded.Clone()
	for service, versions := range view.unrecorded {
		for software := range versions {
			if stored(service, software) {
				recorded.add(service, software, 0)
			}
		}
	}
	if !recorded.Equal(view.recorded) {
		r.setRecordedSoftware(recorded)
	}
}

// setRecordedSoftware records what is stored.
func (r *Registrar) setRecordedSoftware(stored SoftwareHistory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.softwareState.recorded = stored.Clone()
	view := r.software.Load()
	r.updateSoftware(view.history, view.complete)
}

// updateSoftware replaces the history by one with the versions of the entries. The lock is held.
func (r *Registrar) updateSoftware(history SoftwareHistory, complete bool) {
	listed, state := make(SoftwareHistory), &r.softwareState
	unrecorded := make(SoftwareHistory)
	nowMs := r.config.Now().UnixMilli()
	for _, e := range r.entries {
		if e.valid {
			listed.add(e.upstream.Service, e.upstream.Software, 0)
		}
	}
	for service, versions := range listed {
		for software := range versions {
			if !state.recorded.records(service, software, nowMs) {
				unrecorded.add(service, software, 0)
			}
		}
	}
	for service, versions := range history {
		for software, goneAtMs := range versions {
			if goneAtMs == 0 {
				goneAtMs = nowMs
			}
			if nowMs-goneAtMs < SoftwareRetention.Milliseconds() {
				listed.add(service, software, goneAtMs)
			}
		}
	}
	if complete && !state.coversAll {
		for service := range listed {
			r.coverSoftware(listed, service, nowMs)
		}
	}
	for service, versions := range r.software.Load().unrecorded {
		for software := range versions {
			if state.recorded.records(service, software, nowMs) {
				r.config.Recorder.Event(recorder.SoftwareRecorded, "service", service, "software", software)
			}
		}
	}
	r.software.Store(&softwareView{history: listed, complete: complete, unrecorded: unrecorded, recorded: state.recorded})
}

// coverSoftware adds unknown versions to a service of which the stored history had none when it was merged. It
// does so once for each service. The lock is held.
func (r *Registrar) coverSoftware(history SoftwareHistory, service resolver.ServiceName, nowMs int64) {
	state := &r.softwareState
	if state.covers[service] {
		return
	}
	state.covers[service] = true
	if nowMs-state.loadedAtMs < SoftwareRetention.Milliseconds() {
		history.add(service, unknownSoftware, state.loadedAtMs)
		r.config.Recorder.Event(recorder.SoftwareUncertain, "service", service, "versions", len(history[service])-1)
	}
}
