// Package registrar keeps the list of upstreams.
//
// Upstreams write their own entries into the store and renew them. An entry that
// is taken away names no upstream any more, with one exception: while the store is
// away entries expire though their upstreams live, and they are back shortly after
// the store is. So an entry that goes within Unsettled of a gap in the contact with
// the store is kept until the contact has lasted for Return, and then dropped.
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

	"laburnumline/director"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// Name identifies one upstream.
type Name string

// Upstream is what an entry says.
type Upstream struct {
	Name    Name
	Service director.ServiceName
	Address netip.AddrPort
	Zone    string
	// Slots is the number of requests that run at once.
	Slots int
	// Draining upstreams get no new requests.
	Draining bool
	// Warmup is how long the upstream stays slow.
	Warmup time.Duration
	// StartedAtMs is the time of the start in milliseconds since 1970, or zero. It
	// changes when an upstream starts again under its name.
	StartedAtMs int64
}

const (
	// returnTime is how long after its return the store may lack the entries of
	// living upstreams. The users' letter says about two seconds.
	returnTime = 1800 * time.Millisecond
	// unsettled is how long after a lapse of contact missing entries are doubted:
	// three heartbeats, after which the store drops an entry.
	unsettled = 3600 * time.Millisecond
)

// Config holds what a Registrar needs.
type Config struct {
	// Decode reads an entry. Entries with an error are skipped.
	Decode func(key string, value []byte) (Upstream, error)
	// LastFailure returns when the contact with the store was last missing, or the zero time.
	LastFailure func() time.Time
	Recorder    *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Registrar keeps the list. It is a follower.Handler and safe for concurrent use.
type Registrar struct {
	config Config

	mu      sync.Mutex
	entries map[string]*entry // by key

	view    atomic.Pointer[map[director.ServiceName][]Upstream]
	changed atomic.Int64
}

type entry struct {
	upstream Upstream
	usable   bool
	// missing is since when the entry is gone, or the zero time.
	missing time.Time
}

// New returns an empty list.
func New(c Config) *Registrar {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.LastFailure == nil {
		c.LastFailure = func() time.Time { return time.Time{} }
	}
	r := &Registrar{config: c, entries: make(map[string]*entry)}
	r.publish()
	return r
}

// Of returns the upstreams of a service that may get requests, by name. Callers do
// not change the result.
func (r *Registrar) Of(service director.ServiceName) []Upstream {
	return (*r.view.Load())[service]
}

// Listed reports whether an upstream has an entry, draining ones included.
func (r *Registrar) Listed(name Name) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.usable && e.upstream.Name == name {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all upstreams that have an entry.
func (r *Registrar) Addresses() map[netip.AddrPort]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[netip.AddrPort]bool, len(r.entries))
	for _, e := range r.entries {
		if e.usable {
			all[e.upstream.Address] = true
		}
	}
	return all
}

// Generation counts the changes of the list.
func (r *Registrar) Generation() int64 { return r.changed.Load() }

// Reset replaces all entries.
func (r *Registrar) Reset(entries []persister.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Key] = true
		r.put(e)
	}
	for key := range r.entries {
		if !seen[key] {
			r.miss(key)
		}
	}
	r.publish()
}

// Apply adds one change.
func (r *Registrar) Apply(c persister.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		r.miss(c.Entry.Key)
	} else {
		r.put(c.Entry)
	}
	r.publish()
}

// Expire drops entries that are still missing after the store's return. It is
// called several times a second.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, gap := r.config.Now(), r.config.LastFailure()
	dropped := false
	for key, e := range r.entries {
		if e.missing.IsZero() || now.Sub(gap) < returnTime {
			continue
		}
		r.drop(key, e)
		dropped = true
	}
	if dropped {
		r.publish()
	}
}

func (r *Registrar) put(e persister.Entry) {
	upstream, err := r.config.Decode(e.Key, e.Value)
	if err != nil {
		r.config.Recorder.Event(recorder.EntrySkipped, "key", e.Key, "revision", e.Revision, "err", err)
		// An unreadable entry names no upstream; what it replaced does not count any more.
		r.entries[e.Key] = &entry{}
		return
	}
	old := r.entries[e.Key]
	if old == nil || !old.usable || old.upstream.Draining != upstream.Draining {
		r.config.Recorder.Event(recorder.UpstreamListed, "upstream", upstream.Name, "service", upstream.Service,
			"address", upstream.Address, "draining", upstream.Draining, "revision", e.Revision)
	}
	r.entries[e.Key] = &entry{upstream: upstream, usable: true}
}

func (r *Registrar) miss(key string) {
	e := r.entries[key]
	if e == nil || !e.missing.IsZero() {
		return
	}
	now := r.config.Now()
	if now.Sub(r.config.LastFailure()) > unsettled {
		r.drop(key, e)
		return
	}
	e.missing = now
}

func (r *Registrar) drop(key string, e *entry) {
	delete(r.entries, key)
	if e.usable {
		r.config.Recorder.Event(recorder.UpstreamGone, "upstream", e.upstream.Name, "service", e.upstream.Service)
	}
}

// publish makes the view that readers use without a lock.
func (r *Registrar) publish() {
	view := make(map[director.ServiceName][]Upstream)
	for _, e := range r.entries {
		if e.usable && !e.upstream.Draining {
			view[e.upstream.Service] = append(view[e.upstream.Service], e.upstream)
		}
	}
	for _, list := range view {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
	r.view.Store(&view)
	r.changed.Add(1)
}
