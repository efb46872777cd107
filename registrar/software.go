package registrar

import (
	"maps"
	"slices"
	"time"

	"laburnumline/resolver"
)

// SoftwareRetention is how long after its last upstream a software version may still have streams
// that callers resume. It exceeds their deadlines, and clocks that jump by some seconds.
const SoftwareRetention = time.Minute

// maxListAge is the age up to which a list counts as current. Watches of the store are answered
// at least every 1.5 s.
const maxListAge = 3 * time.Second

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
}

// SoftwareVersions returns the software versions of a service that may have begun streams which
// callers still resume, sorted. It reports false while there may be others: the list is older than
// maxListAge, or the daemon has started less than SoftwareRetention ago and MergeSoftware was not
// called.
func (r *Registrar) SoftwareVersions(service resolver.ServiceName) (versions []string, complete bool) {
	view, now := r.software.Load(), r.config.Now()
	for software, goneAtMs := range view.history[service] {
		if goneAtMs == 0 || now.Sub(time.UnixMilli(goneAtMs)) < SoftwareRetention {
			versions = append(versions, software)
		}
	}
	slices.Sort(versions)
	return versions, (view.complete || now.Sub(r.createdAt) >= SoftwareRetention) && r.config.ListAge() <= maxListAge
}

// SoftwareHistory returns the versions of all services, without those that are gone for longer
// than SoftwareRetention.
func (r *Registrar) SoftwareHistory() SoftwareHistory { return r.software.Load().history.Clone() }

// MergeSoftware adds what other daemons have stored about the versions before this one started.
func (r *Registrar) MergeSoftware(stored SoftwareHistory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	merged := r.software.Load().history.Clone()
	nowMs := r.config.Now().UnixMilli()
	for service, versions := range stored {
		for software, goneAtMs := range versions {
			if goneAtMs == 0 {
				goneAtMs = nowMs // updateSoftware corrects it if the version is listed
			}
			merged.add(service, software, goneAtMs)
		}
	}
	r.updateSoftware(merged, true)
}

// updateSoftware replaces the history by one with the versions of the entries. The lock is held.
func (r *Registrar) updateSoftware(history SoftwareHistory, complete bool) {
	listed := make(SoftwareHistory)
	for _, e := range r.entries {
		if e.valid {
			listed.add(e.upstream.Service, e.upstream.Software, 0)
		}
	}
	nowMs := r.config.Now().UnixMilli()
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
	r.software.Store(&softwareView{history: listed, complete: complete})
}
