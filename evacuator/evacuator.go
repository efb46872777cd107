// Package evacuator holds the set of availability zones that operators have evacuated.
//
// While a zone is evacuated, its upstreams get no requests. Operators evacuate a zone by writing a
// key to the store and end the evacuation by deleting it. The keys arrive like the configuration:
// all of them when the store is read, then one change at a time. While the store is unavailable,
// the last known set stays in force. After the store was restored from an older copy, a key may be
// missing until the operator has written it again. Its zone therefore stays evacuated for
// restoreHold more, unless the key is deleted.
//
// A key that cannot be read, or that names an unknown zone, changes nothing.
//
//	e := evacuator.New(evacuator.Config{Prefix: prefix, Decode: decode, Zones: zones})
//	if e.Evacuated("gulf-south-a") { ... }
package evacuator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/persister"
	"laburnumline/recorder"
)

// restoreHold is how long a zone stays evacuated when its key is missing from a store that was
// restored. What the operator wrote after the copy is written again within seconds; in the
// meantime, a zone that is used by mistake breaks a promise, one that is left out costs capacity.
const restoreHold = 5 * time.Second

// Config holds what an Evacuator needs.
type Config struct {
	// Prefix is that of the keys. Other keys are ignored.
	Prefix string
	// Decode returns the zone of a key.
	Decode func(key string, value []byte) (zone string, err error)
	// Zones has the known zones. If it is empty, all zones are accepted.
	Zones map[string]string
	// Era counts how often the store was restored from an older copy. Nil means never.
	Era func() int64
	// Returning is called before the upstreams of a zone are used again.
	Returning func(zone string, at time.Time)
	// Changed is called when a zone has been evacuated or has returned.
	Changed  func()
	Recorder *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Evacuator holds the evacuated zones. Evacuated and ReturnedAt are lock-free; all methods are safe
// for concurrent use.
type Evacuator struct {
	config Config
	view   atomic.Pointer[view]

	mu  sync.Mutex
	era int64
	// zones has the zone of each key. held has the end of the hold of keys that a restored store
	// lacks.
	zones map[string]string
	held  map[string]time.Time
}

// view is what readers see. It is immutable.
type view struct {
	evacuated  map[string]bool
	returnedAt map[string]time.Time
}

// New returns an Evacuator without evacuated zones.
func New(c Config) *Evacuator {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Era == nil {
		c.Era = func() int64 { return 0 }
	}
	if c.Returning == nil {
		c.Returning = func(string, time.Time) {}
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	e := &Evacuator{config: c, era: c.Era(), zones: make(map[string]string), held: make(map[string]time.Time)}
	e.view.Store(&view{})
	return e
}

// Evacuated reports whether nothing may be sent to the upstreams of a zone.
func (e *Evacuator) Evacuated(zone string) bool { return e.view.Load().evacuated[zone] }

// ReturnedAt returns when the last evacuation of a zone ended, or the zero time.
func (e *Evacuator) ReturnedAt(zone string) time.Time { return e.view.Load().returnedAt[zone] }

// Zones returns the evacuated zones, sorted.
func (e *Evacuator) Zones() []string { return slices.Sorted(maps.Keys(e.view.Load().evacuated)) }

// Reset replaces all keys.
func (e *Evacuator) Reset(entries []persister.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	era := e.config.Era()
	restored := era != e.era
	e.era = era
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, e.config.Prefix) {
			present[entry.Key] = true
			e.put(entry)
		}
	}
	now := e.config.Now()
	for key, zone := range e.zones {
		_, held := e.held[key]
		switch {
		case present[key]:
		case restored:
			e.held[key] = now.Add(restoreHold)
			e.config.Recorder.Event(recorder.EvacuationHeld, "zone", zone, "key", key, "era", era)
		case !held:
			delete(e.zones, key)
		}
	}
	e.publish()
}

// Apply applies one change of a key.
func (e *Evacuator) Apply(c persister.Change) {
	if !strings.HasPrefix(c.Entry.Key, e.config.Prefix) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Deleted {
		delete(e.zones, c.Entry.Key)
		delete(e.held, c.Entry.Key)
	} else {
		e.put(c.Entry)
	}
	e.publish()
}

// Expire returns zones whose keys a restored store has lacked for restoreHold. It has to be called
// several times per second.
func (e *Evacuator) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.held) == 0 {
		return
	}
	now := e.config.Now()
	for key, until := range e.held {
		if !now.Before(until) {
			delete(e.held, key)
			delete(e.zones, key)
		}
	}
	e.publish()
}

// put adds a key, unless it is invalid. The lock is held.
func (e *Evacuator) put(entry persister.Entry) {
	delete(e.held, entry.Key)
	zone, err := e.config.Decode(entry.Key, entry.Value)
	if err == nil && len(e.config.Zones) > 0 {
		if _, known := e.config.Zones[zone]; !known {
			err = fmt.Errorf("zone %q is unknown", zone)
		}
	}
	if err != nil {
		e.config.Recorder.Event(recorder.EvacuationSkipped, "key", entry.Key, "revision", entry.Revision, "err", err)
		return
	}
	e.zones[entry.Key] = zone
}

// publish replaces the view by one with the current zones. Zones that return are announced while
// they still count as evacuated, so that their upstreams are prepared before they get requests. The
// lock is held.
func (e *Evacuator) publish() {
	old := e.view.Load()
	next := &view{evacuated: make(map[string]bool, len(e.zones)), returnedAt: old.returnedAt}
	for _, zone := range e.zones {
		next.evacuated[zone] = true
	}
	if maps.Equal(old.evacuated, next.evacuated) {
		return
	}
	var returning []string
	for zone := range old.evacuated {
		if !next.evacuated[zone] {
			returning = append(returning, zone)
		}
	}
	for zone := range next.evacuated {
		if !old.evacuated[zone] {
			e.config.Recorder.Event(recorder.ZoneEvacuated, "zone", zone)
		}
	}
	if len(returning) > 0 {
		now := e.config.Now()
		next.returnedAt = make(map[string]time.Time, len(old.returnedAt)+len(returning))
		maps.Copy(next.returnedAt, old.returnedAt)
		for _, zone := range returning {
			next.returnedAt[zone] = now
		}
		e.view.Store(&view{evacuated: old.evacuated, returnedAt: next.returnedAt})
		for _, zone := range returning {
			e.config.Returning(zone, now)
			e.config.Recorder.Event(recorder.ZoneReturned, "zone", zone)
		}
	}
	e.view.Store(next)
	e.config.Changed()
}
