// Package registrar is the service registry of a daemon: the list of upstreams.
//
// Upstreams register themselves with an entry in the store, which expires unless they
// renew it. An upstream whose entry is deleted is removed from the list, with one
// exception: while the store is unavailable, entries expire although their upstreams
// are alive, and the upstreams write them again soon after the store has recovered.
// Therefore an entry that disappears within failureWindow after a failed call to the
// store is kept until calls have succeeded for recoveryTime.
//
//	r := registrar.New(registrar.Config{Decode: decode})
//	for _, u := range r.Of("quote-model") { ... }
package registrar

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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
	// Warmup is how long the upstream still runs at reduced speed.
	Warmup time.Duration
	// StartedAtMs is the upstream's start in Unix milliseconds, or zero. It changes
	// when the upstream restarts under the same name.
	StartedAtMs int64
}

// LimitID returns the ID under which the request limit of the upstream is kept.
func (u *Upstream) LimitID() throttler.ID { return throttler.IDOf(string(u.Name), u.StartedAtMs) }

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
	// Decode reads an entry. Entries with an error are skipped.
	Decode func(key string, value []byte) (Upstream, error)
	// ListAge returns the time since the list was last confirmed. Nil means that it is current.
	ListAge func() time.Duration
	// LastFailure returns when a call to the store last failed, or the zero time.
	LastFailure func() time.Time
	Recorder    *recorder.Recorder
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

	available  atomic.Pointer[map[resolver.ServiceName][]Upstream]
	generation atomic.Int64
	software   atomic.Pointer[softwareView]
	createdAt  time.Time
	// softwareState is protected by mu.
	softwareState softwareState
}

type entry struct {
	upstream Upstream
	valid    bool
	// missingSince is when the entry disappeared from the store, or the zero time.
	missingSince time.Time
}

// New returns a Registrar without upstreams.
func New(c Config) *Registrar {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.LastFailure == nil {
		c.LastFailure = func() time.Time { return time.Time{} }
	}
	if c.ListAge == nil {
		c.ListAge = func() time.Duration { return 0 }
	}
	r := &Registrar{config: c, entries: make(map[string]*entry), leaving: make(map[Name]departure), removed: make(map[Name]removal), createdAt: c.Now()}
	r.software.Store(&softwareView{})
	r.publish()
	return r
}

// Of returns the upstreams of a service that accept new requests, sorted by name. Callers
// must not change the result.
func (r *Registrar) Of(service resolver.ServiceName) []Upstream {
	return (*r.available.Load())[service]
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
		r.put(e)
		if restored := r.entries[e.Key]; restored.valid {
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
		r.put(c.Entry)
		if written := r.entries[c.Entry.Key]; written.valid {
			r.recordRenewal(&written.upstream)
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

// put adds or replaces an entry. The lock is held.
func (r *Registrar) put(e persister.Entry) {
	upstream, err := r.config.Decode(e.Key, e.Value)
	if err != nil {
		r.config.Recorder.Event(recorder.EntrySkipped, "key", e.Key, "revision", e.Revision, "err", err)
		// The key stays in the list without an upstream. Its earlier value no longer applies.
		r.entries[e.Key] = &entry{}
		return
	}
	old := r.entries[e.Key]
	if old == nil || !old.valid || old.upstream.Draining != upstream.Draining {
		r.config.Recorder.Event(recorder.UpstreamListed, "upstream", upstream.Name, "service", upstream.Service,
			"address", upstream.Address, "software", upstream.Software, "draining", upstream.Draining, "revision", e.Revision)
	}
	r.entries[e.Key] = &entry{upstream: upstream, valid: true}
	if upstream.Draining {
		r.recordDeparture(&upstream, false)
	}
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
	available := make(map[resolver.ServiceName][]Upstream)
	for _, e := range r.entries {
		if e.valid && !e.upstream.Draining && !r.leaves(&e.upstream) && !r.hidden(&e.upstream) {
			available[e.upstream.Service] = append(available[e.upstream.Service], e.upstream)
		}
	}
	for _, list := range available {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	r.available.Store(&available)
	known := r.software.Load()
	r.updateSoftware(known.history, known.complete)
	r.generation.Add(1)
}
