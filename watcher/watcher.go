// Package watcher keeps the operators' configuration in every daemon.
//
// In each availability zone the few daemons with the highest rendezvous hash
// are relays: they watch the store. All daemons, relays too, hold long polls at
// relays, which answer with the changes after the revision that the caller has.
// A daemon that missed something therefore gets it with its next poll, whatever
// the reason was. When no relay of the zone has contact with the store, relays
// of other zones are polled, and in the end the store itself is read.
//
// A change of a contract travels as a key and a revision. Contracts are loaded
// when they are first needed, from a relay or the store. They are kept within two
// memory bounds: compressed ones, so that a daemon can hold the contracts of all
// accounts, and decompressed ones of the accounts in use. A copy is used only while it is known to include every change
// up to the revision that the daemon has applied, and a copy is never replaced
// by an older one. Announcements of upstreams and quarantined requests are small
// and travel whole.
//
// A daemon that is cut off from the store and from all relays keeps serving
// from its copies for a time, StaleAfter. What it does then is a setting:
// refuse, when retired keys and lowered limits matter more, or serve.
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
	// pollSlots is the number of relays that a daemon polls at a time.
	pollSlots = 2
)

// StalePolicy says what a daemon does when its copies may be too old.
type StalePolicy uint8

const (
	// Refuse refuses requests, so that no retired key or lowered limit is overlooked.
	Refuse StalePolicy = iota
	// Serve goes on with the last known copies.
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

// Members knows the live daemons.
type Members interface {
	Self() messenger.Peer
	// Zone returns the live daemons of a zone, with Self in its own zone.
	Zone(zone contractor.Zone) []messenger.Peer
	Zones() []contractor.Zone
	// Changed returns a channel that is closed at the next change.
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
	// StaleAfter is how long copies are used without contact. Zero means 10 minutes.
	StaleAfter time.Duration
	// StalePolicy says what happens after that.
	StalePolicy StalePolicy
	// FreshnessLifetime is how long after the last contact copies count as current.
	// Zero means 20 s. It must exceed Hold and ProbeEvery together.
	FreshnessLifetime time.Duration
	// PollWait is how long a relay lets a poll wait for a change. Zero means 8 s.
	PollWait time.Duration
	// ProbeInterval is how often a relay checks its contact with the store. Zero means 4 s.
	ProbeInterval time.Duration
	// MaxDecodedBytes bounds the memory of contracts that are ready for use. Zero means 8 MiB.
	MaxDecodedBytes int
	// MaxCompressedBytes bounds the memory of compressed contracts. Zero means 8 MiB.
	MaxCompressedBytes int
	// MaxKeys bounds the number of bearer keys that are remembered. Zero means 20,000.
	MaxKeys int
	// LookupsPerSecond bounds how often unknown bearer keys are looked up. Zero means 20.
	LookupsPerSecond float64
	Recorder         *recorder.Recorder
}

// Watcher holds the configuration of one daemon.
type Watcher struct {
	config             Config
	view               view
	contracts          *cache
	keys               *keyIndex
	lookupLimiter      *rate.Limiter
	backoffs           relayBackoffs
	announcedUpstreams upstreamSet
	cachedRelays       atomic.Pointer[relayList]

	// lastContact is when the view was last known to be current, and heard is when a
	// relay last answered. Nil means never.
	lastContact  atomic.Pointer[time.Time]
	lastResponse atomic.Pointer[time.Time]

	// draining is closed by Drain, so that held polls do not delay a stop.
	draining  chan struct{}
	drainOnce sync.Once

	// callbackMu serialises the callbacks.
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
		return nil, fmt.Errorf("watcher: fresh-for is %s, allowed: more than hold and probe-every together, %s", c.FreshnessLifetime, c.PollWait+c.ProbeInterval)
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

// Run follows the configuration until ctx ends. It is called once; afterwards
// polls of other daemons are answered at once and send them to other relays.
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

// Drain answers the held polls of other daemons and sends them to other relays.
// A planned stop calls it before it waits for running calls.
func (w *Watcher) Drain() { w.drainOnce.Do(func() { close(w.draining) }) }

// infiniteAge is the age of what never was.
const infiniteAge = time.Duration(math.MaxInt64)

// recordContact notes that the view was current at a time.
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

// elapsed returns the larger of what the monotonic and the wall clock say. The
// monotonic clock may stand still while a VM is paused.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)), 0)
}

// isFresh reports whether the view is current as far as can be known.
func (w *Watcher) isFresh(now time.Time) bool { return w.contactAge(now) <= w.config.FreshnessLifetime }
