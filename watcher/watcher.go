// Package watcher distributes the operators' configuration from the store to
// every daemon and caches it there.
//
// The configuration has three sections: contracts of client accounts,
// announcements of upstreams, and quarantined requests. Each section has the
// store's revision up to which a daemon has applied all changes.
//
// A relay is a daemon that watches the store on behalf of others. In each
// availability zone the daemons with the highest rendezvous hashes are relays.
// All daemons, relays too, send long polls to relays. The response holds the
// changes after the revision in the request, so a daemon that missed a change
// receives it with its next poll. When no relay of the zone is in contact with
// the store, a daemon polls relays of other zones, and finally reads the store
// itself.
//
// Updates of contracts carry only the account and the revision. A daemon loads a
// contract from a relay or the store when a request first needs it. The cache
// has two memory limits: one for compressed copies, which are small enough that
// a daemon can hold the contracts of all accounts, and one for decoded copies of
// the accounts in use. A copy is used only if it includes every change up to the
// revision that the daemon has applied, and is never replaced by an older one.
// Updates of upstreams and quarantined requests are small and carry the values.
//
// A daemon that reaches neither the store nor a relay uses its copies until
// StaleAfter has passed since its last contact. Then it follows StalePolicy: it
// refuses requests, because keys may have been retired and limits lowered, or it
// continues to serve.
//
//	w, err := watcher.New(watcher.Config{Store: store, Caller: caller, Mux: mux, Members: members})
//	...
//	go w.Run(ctx)
//	account, err := w.AccountOf(ctx, contractor.HashKey(bearer))
//	contract, revision, err := w.Contract(ctx, account)
package watcher

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/recorder"
)

const (
	defaultRelays            = 2
	defaultStaleAfter        = 10 * time.Minute
	defaultFreshnessLifetime = 20 * time.Second
	defaultPollWait          = 8 * time.Second
	defaultProbeInterval     = 4 * time.Second
	defaultRetryAfter        = 2 * time.Second
	defaultMaxBytes          = 8 << 20
	defaultMaxKeys           = 20_000
	defaultLookupsPerSecond  = 20
	// pollSlots is the number of relays that a daemon polls in parallel.
	pollSlots = 2
)

// StalePolicy selects what a daemon does with requests when it has had no
// contact for longer than Config.StaleAfter.
type StalePolicy uint8

const (
	// Refuse refuses requests: the contract may have retired keys or lower limits by now.
	Refuse StalePolicy = iota
	// Serve continues with the cached copies.
	Serve
)

// String returns "refuse" or "serve".
func (p StalePolicy) String() string {
	if p == Serve {
		return "serve"
	}
	return "refuse"
}

// UnmarshalText accepts "refuse" and "serve".
func (p *StalePolicy) UnmarshalText(text []byte) error {
	switch string(text) {
	case "refuse":
		*p = Refuse
	case "serve":
		*p = Serve
	default:
		return fmt.Errorf("stale policy %q is not refuse or serve", text)
	}
	return nil
}

// Members lists the live daemons.
type Members interface {
	Self() messenger.Peer
	// Zone returns the live daemons of a zone, with Self in its own zone.
	Zone(zone contractor.Zone) []messenger.Peer
	Zones() []contractor.Zone
	// Changed returns a channel that is closed at the next change of members.
	Changed() <-chan struct{}
}

// Config holds the settings of a Watcher.
type Config struct {
	Store   persister.Store
	Caller  messenger.Caller
	Mux     *messenger.Mux
	Members Members
	// RelaysPerZone is the number of daemons per zone that watch the store. Zero means 2.
	RelaysPerZone int
	// StaleAfter is how long copies are used without contact with the store or a
	// relay. Zero means 10 minutes.
	StaleAfter time.Duration
	// StalePolicy applies after StaleAfter.
	StalePolicy StalePolicy
	// FreshnessLifetime is how long after the last contact copies count as current.
	// Zero means 20 s. It must exceed the sum of PollWait and ProbeInterval.
	FreshnessLifetime time.Duration
	// PollWait is how long a relay keeps a poll open without a change. Zero means 8 s.
	PollWait time.Duration
	// ProbeInterval is how often a relay checks its contact with the store. Zero means 4 s.
	ProbeInterval time.Duration
	// MaxDecodedBytes limits the memory of decoded contracts. Zero means 8 MiB.
	MaxDecodedBytes int
	// MaxCompressedBytes limits the memory of compressed contracts. Zero means 8 MiB.
	MaxCompressedBytes int
	// MaxKeys limits the number of cached bearer keys. Zero means 20,000.
	MaxKeys int
	// LookupsPerSecond limits the rate of lookups of bearer keys that are not
	// cached. Zero means 20.
	LookupsPerSecond float64
	Recorder         *recorder.Recorder
}

// Watcher follows and caches the configuration in one daemon.
type Watcher struct {
	config             Config
	view               view
	contracts          *cache
	keys               *keyIndex
	lookupLimiter      *rate.Limiter
	backoffs           relayBackoffs
	announcedUpstreams upstreamSet
	cachedRelays       atomic.Pointer[relayList]

	// lastContact is when the view was last known to be current, and lastResponse
	// is when a relay last responded to a poll. Nil means never.
	lastContact  atomic.Pointer[time.Time]
	lastResponse atomic.Pointer[time.Time]

	// draining is closed by Drain. It ends open polls, which would delay a stop.
	draining  chan struct{}
	drainOnce sync.Once

	// callbackMu serializes the calls of the callbacks.
	callbackMu          sync.Mutex
	upstreamCallbacks   []func([]contractor.Upstream)
	quarantineCallbacks []func([]persister.Entry)
}

// New returns a Watcher and registers its handlers in the mux.
func New(c Config) (*Watcher, error) {
	if c.Store == nil || c.Caller == nil || c.Mux == nil || c.Members == nil {
		return nil, errors.New("watcher: store, caller, mux and members are needed")
	}
	c = c.withDefaults()
	if c.FreshnessLifetime <= c.PollWait+c.ProbeInterval {
		return nil, fmt.Errorf("watcher: freshness lifetime is %s, allowed: more than poll wait plus probe interval, %s", c.FreshnessLifetime, c.PollWait+c.ProbeInterval)
	}
	w := &Watcher{
		config:        c,
		contracts:     newCache(c.MaxDecodedBytes, c.MaxCompressedBytes),
		keys:          newKeyIndex(c.MaxKeys),
		lookupLimiter: rate.NewLimiter(rate.Limit(c.LookupsPerSecond), max(1, int(c.LookupsPerSecond))),
		draining:      make(chan struct{}),
	}
	w.view.init()
	messenger.Handle(c.Mux, MethodPoll, w.handlePoll)
	messenger.Handle(c.Mux, MethodFetch, w.handleFetch)
	messenger.Handle(c.Mux, MethodRevisions, w.handleRevisions)
	return w, nil
}

func (c Config) withDefaults() Config {
	setDefault(&c.RelaysPerZone, defaultRelays)
	setDefault(&c.StaleAfter, defaultStaleAfter)
	setDefault(&c.FreshnessLifetime, defaultFreshnessLifetime)
	setDefault(&c.PollWait, defaultPollWait)
	setDefault(&c.ProbeInterval, defaultProbeInterval)
	setDefault(&c.MaxDecodedBytes, defaultMaxBytes)
	setDefault(&c.MaxCompressedBytes, defaultMaxBytes)
	setDefault(&c.MaxKeys, defaultMaxKeys)
	setDefault(&c.LookupsPerSecond, defaultLookupsPerSecond)
	return c
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Run follows the configuration until ctx ends, and then calls Drain. It must be
// called only once.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, w.Drain)
	defer stop()
	group.Go(func() error { return w.runRelay(ctx) })
	group.Go(func() error { return w.runFallbackReads(ctx) })
	for slot := range pollSlots {
		group.Go(func() error { return w.runPolls(ctx, slot) })
	}
	return group.Wait()
}

// Drain ends the open polls of other daemons, and all later ones at once, with a
// response that makes these daemons poll other relays. A planned stop calls it
// before it waits for calls in flight.
func (w *Watcher) Drain() { w.drainOnce.Do(func() { close(w.draining) }) }

// infiniteAge is the age of a contact that never took place.
const infiniteAge = time.Duration(math.MaxInt64)

// recordContact records that the view was current at a time.
func (w *Watcher) recordContact(at time.Time) {
	for {
		last := w.lastContact.Load()
		if last != nil && !at.After(*last) {
			return
		}
		if w.lastContact.CompareAndSwap(last, &at) {
			return
		}
	}
}

// contactAge returns the time since the view was last known to be current.
func (w *Watcher) contactAge(now time.Time) time.Duration { return ageOf(w.lastContact.Load(), now) }

func ageOf(at *time.Time, now time.Time) time.Duration {
	if at == nil {
		return infiniteAge
	}
	return elapsed(*at, now)
}

// elapsed returns the time between two readings by the monotonic or the wall
// clock, whichever is longer. The monotonic clock may stop while a VM is paused.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)), 0)
}

// isFresh reports whether the last contact was within the freshness lifetime.
func (w *Watcher) isFresh(now time.Time) bool { return w.contactAge(now) <= w.config.FreshnessLifetime }
