// Package registrar is the service registry of a daemon: the list of upstreams.
//
// Upstreams register themselves with an entry in the store, which expires unless they
// renew it. An upstream whose entry is deleted is removed from the list, with one
// exception: while the store is unavailable, entries expire although their upstreams
// are alive, and the upstreams write them again soon after the store has recovered.
// Therefore an entry that disappears within failureWindow after a failed call to the
// store is kept until calls have succeeded for recoveryTime.
//
// Upstreams in evacuated zones (package evacuator) are not in the list of Of, which all paths of
// requests use, but their software versions count.
//
//	r := registrar.New(registrar.Config{Decode: decode})
//	for _, u := range r.Of("quote-model") { ... }
package registrar

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/resolver"
	"laburnumline/throttler"
)

// Name identifies one upstream.
type Name string

// Upstream is the content of an entry.
type Upstream struct {
	Name    Name
	Service resolver.ServiceName
	Address netip.AddrPort
	Zone    string
	// Software is the version of the upstream's software. It may be empty.
	Software string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining upstreams get no new requests.
	Draining bool
	// Warmup is how much longer the upstream is cold, as of its entry.
	Warmup time.Duration
	// StartedAtMs is the upstream's start in Unix milliseconds, or zero. It changes
	// when the upstream restarts under the same name.
	StartedAtMs int64
	// Sequence increases with each entry that the upstream writes after its start. Zero means unknown.
	Sequence int64
}

// LimitID returns the ID under which the request limit of the upstream is kept.
func (u *Upstream) LimitID() throttler.ID { return throttler.IDOf(string(u.Name), u.StartedAtMs) }

// ErrWarmup is the error of an entry of which only the warm-up cannot be read.
var ErrWarmup = errors.New("warm-up is negative or unreadable")

// ThrottlerStart returns the start of the upstream for the throttler.
func (u *Upstream) ThrottlerStart() throttler.Start {
	return throttler.Start{ID: u.LimitID(), Upstream: string(u.Name), Service: string(u.Service), Address: u.Address}
}

const (
	// recoveryTime is how long the store may lack entries of live upstreams after it
	// has recovered, which the users give as about two seconds.
	recoveryTime = 1800 * time.Millisecond
	// failureWindow is how long after a failed call a deleted entry may still belong
	// to a live upstream: three heartbeats, after which the store deletes an entry.
	failureWindow = 3600 * time.Millisecond
)

// Config holds what a Registrar needs.
type Config struct {
	// Decode reads an entry. Entries with an error other than ErrWarmup are skipped.
	Decode func(key string, value []byte) (Upstream, error)
	// ListAge returns the time since the list was last confirmed. Nil means that it is current.
	ListAge func() time.Duration
	// LastFailure returns when a call to the store last failed, or the zero time.
	LastFailure func() time.Time
	// Evacuated reports whether the upstreams of a zone get no requests. Refresh has to be called when
	// that changes. Nil means that no zone is evacuated.
	Evacuated func(zone string) bool
	// Renewed is called with each entry that is new or was written again, before the upstream gets
	// requests because of it. It must not call the Registrar. Nil means that nobody needs to know.
	Renewed  func(u *Upstream, warmup throttler.WarmupStatement)
	Recorder *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Registrar keeps the list of upstreams. It implements replicator.Handler and is safe for
// concurrent use.
type Registrar struct {
	config Config

	mu      sync.Mutex
	entries map[string]*entry // by key
	leaving map[Name]departure
	removed map[Name]removal // while the store was available
	// latest has the latest entry that was seen under each key.
	latest map[string]statement

	available  atomic.Pointer[map[resolver.ServiceName][]Upstream]
	evacuated  atomic.Pointer[map[resolver.ServiceName][]Upstream]
	generation atomic.Int64
	software   atomic.Pointer[softwareView]
	createdAt  time.Time
	// softwareState is protected by mu.
	softwareState softwareState
}

type entry struct {
	upstream Upstream
	valid    bool
	revision contractor.Revision
	// missingSince is when the entry disappeared from the store, or the zero time.
	missingSince time.Time
}

// New returns a Registrar without upstreams.
func New(c Config) *Registrar {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Evacuated == nil {
		c.Evacuated = func(string) bool { return false }
	}
	if c.Renewed == nil {
		c.Renewed = func(*Upstream, throttler.WarmupStatement) {}
	}
	if c.LastFailure == nil {
		c.LastFailure = func() time.Time { return time.Time{} }
	}
	if c.ListAge == nil {
		c.ListAge = func() time.Duration { return 0 }
	}
	r := &Registrar{config: c, entries: make(map[string]*entry), leaving: make(map[Name]departure), removed: make(map[Name]removal), latest: make(map[string]statement), createdAt: c.Now()}
	r.software.Store(&softwareView{})
	r.publish()
	return r
}

// Of returns the upstreams of a service that accept new requests and are not in an evacuated zone,
// sorted by name. Callers must not change the result.
func (r *Registrar) Of(service resolver.ServiceName) []Upstream {
	return (*r.available.Load())[service]
}

// EvacuatedOf returns the upstreams of a service that would be in the list of Of if their zones were
// not evacuated. Callers must not change the result.
func (r *Registrar) EvacuatedOf(service resolver.ServiceName) []Upstream {
	return (*r.evacuated.Load())[service]
}

// InZone returns the upstreams of a zone in the list, including draining ones.
func (r *Registrar) InZone(zone string) []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Upstream
	for _, e := range r.entries {
		if e.valid && e.upstream.Zone == zone {
			all = append(all, e.upstream)
		}
	}
	return all
}

// Refresh applies a change of the evacuated zones.
func (r *Registrar) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish()
}

// Listed reports whether an upstream is in the list, even if it is draining.
func (r *Registrar) Listed(name Name) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.valid && e.upstream.Name == name {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all upstreams in the list, including draining ones.
func (r *Registrar) Addresses() map[netip.AddrPort]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[netip.AddrPort]bool, len(r.entries))
	for _, e := range r.entries {
		if e.valid {
			all[e.upstream.Address] = true
		}
	}
	return all
}

// LimitIDs returns the IDs under which the request limits of the upstreams in the list are kept,
// including draining ones.
func (r *Registrar) LimitIDs() map[throttler.ID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[throttler.ID]bool, len(r.entries))
	for _, e := range r.entries {
		if e.valid {
			all[e.upstream.LimitID()] = true
		}
	}
	return all
}

// Generation returns a number that increases with each update of the list.
func (r *Registrar) Generation() int64 { return r.generation.Load() }

// Reset replaces all entries.
func (r *Registrar) Reset(entries []persister.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
		known := r.entries[e.Key]
		r.put(e)
		if restored := r.entries[e.Key]; restored.valid && restored != known {
			r.hide(&restored.upstream)
		}
	}
	for key := range r.entries {
		if !seen[key] {
			r.markMissing(key)
		}
	}
	r.publish()
}

// Apply applies one change of an entry.
func (r *Registrar) Apply(c persister.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		r.markMissing(c.Entry.Key)
	} else {
		renewed := r.put(c.Entry)
		if written := r.entries[c.Entry.Key]; renewed {
			r.recordRenewal(&written.upstream)
		} else if written.valid && r.removed[written.upstream.Name].hiddenUntil.IsZero() {
			r.hide(&written.upstream)
		}
	}
	r.publish()
}

// Expire removes entries that are still missing when calls to the store have succeeded
// for recoveryTime. It has to be called several times per second.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, lastFailure := r.config.Now(), r.config.LastFailure()
	changed := r.endRetention()
	for key, e := range r.entries {
		if e.missingSince.IsZero() || now.Sub(lastFailure) < recoveryTime {
			continue
		}
		r.drop(key, e)
		changed = true
	}
	if changed {
		r.publish()
	}
}

// put adds or replaces an entry, unless it is valid and older than the known one. It reports whether the entry is the latest of its
// upstream. The lock is held.
func (r *Registrar) put(e persister.Entry) (latest bool) {
	upstream, err := r.config.Decode(e.Key, e.Value)
	warmup := throttler.WarmupStatement{Stated: true, Left: upstream.Warmup}
	if errors.Is(err, ErrWarmup) {
		r.config.Recorder.Event(recorder.WarmupSkipped, "key", e.Key, "revision", e.Revision, "err", err)
		warmup, err = throttler.WarmupStatement{}, nil
	}
	if err != nil {
		r.config.Recorder.Event(recorder.EntrySkipped, "key", e.Key, "revision", e.Revision, "err", err)
		// The key stays in the list without an upstream. Its earlier value no longer applies.
		r.entries[e.Key] = &entry{}
		return false
	}
	old := r.entries[e.Key]
	older := r.isOlder(e.Key, &upstream)
	if older && old != nil && old.valid {
		r.config.Recorder.Event(recorder.EntryOutdated, "upstream", upstream.Name, "revision", e.Revision,
			"sequence", upstream.Sequence, "started", upstream.StartedAtMs, "latest", r.latest[e.Key].sequence, "draining", upstream.Draining)
		return false
	}
	if old == nil || !old.valid || old.upstream.Draining != upstream.Draining {
		r.config.Recorder.Event(recorder.UpstreamListed, "upstream", upstream.Name, "service", upstream.Service,
			"address", upstream.Address, "software", upstream.Software, "draining", upstream.Draining, "revision", e.Revision)
	}
	r.entries[e.Key] = &entry{upstream: upstream, valid: true, revision: e.Revision}
	if old == nil || !old.valid || e.Revision > old.revision {
		r.config.Renewed(&upstream, warmup)
	}
	if upstream.Draining {
		r.recordDeparture(&upstream, false)
	}
	return !older
}

// markMissing handles an entry that is no longer in the store: it drops the entry, or
// keeps it for Expire within failureWindow after a failed call. The lock is held.
func (r *Registrar) markMissing(key string) {
	e := r.entries[key]
	if e == nil || !e.missingSince.IsZero() {
		return
	}
	now := r.config.Now()
	if now.Sub(r.config.LastFailure()) > failureWindow {
		if e.valid {
			r.recordRemoval(&e.upstream)
		}
		r.drop(key, e)
		return
	}
	e.missingSince = now
}

func (r *Registrar) drop(key string, e *entry) {
	delete(r.entries, key)
	if e.valid {
		r.config.Recorder.Event(recorder.UpstreamGone, "upstream", e.upstream.Name, "service", e.upstream.Service)
	}
}

// publish rebuilds the map of available upstreams, which Of reads without a lock.
func (r *Registrar) publish() {
	available, evacuated := make(map[resolver.ServiceName][]Upstream), make(map[resolver.ServiceName][]Upstream)
	for _, e := range r.entries {
		if e.valid && !e.upstream.Draining && !r.leaves(&e.upstream) && !r.hidden(&e.upstream) {
			lists := available
			if r.config.Evacuated(e.upstream.Zone) {
				lists = evacuated
			}
			lists[e.upstream.Service] = append(lists[e.upstream.Service], e.upstream)
		}
	}
	for _, list := range available {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	r.evacuated.Store(&evacuated)
	r.available.Store(&available)
	known := r.software.Load()
	r.updateSoftware(known.history, known.complete)
	r.generation.Add(1)
}
