// Package observer collects the load and cache reports of upstreams.
//
// Polling every upstream from every daemon would not scale. In each availability
// zone one daemon, the one with the highest rendezvous hash for the upstream,
// polls it and forwards the reports of a polling round to each other daemon of the
// zone in one message. The poll interval grows with the number of daemons in the
// zone, to limit the rate of the messages that a daemon sends and receives.
// Upstreams of other zones are polled in every fifth round.
//
// Cache events are only collected while the fleet has few engines. In a large fleet
// the router finds cached prefixes with its hash ring.
//
//	o := observer.New(observer.Config{Source: dispatcher, Sink: router, Upstreams: watcher.Upstreams, ...})
//	go o.Run(ctx)
package observer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/messenger"
	"laburnumline/recorder"
	"laburnumline/router"
)

// MethodReports forwards the reports of one polling round.
const MethodReports messenger.Method = 500

const (
	defaultPollInterval   = time.Second
	pollIntervalPerDaemon = 40 * time.Millisecond
	otherZoneRounds       = 5  // rounds from one poll of other zones to the next
	maxConcurrentCalls    = 16 // concurrent polls, and concurrent messages to daemons
	maxEnginesForEvents   = 64 // maximum number of engines for which cache events are collected
	callTimeout           = 500 * time.Millisecond
	maxForwardedAge       = 30 * time.Second // forwarded loads that are older are discarded
	pollErrorsCounter     = "observer.poll_errors"
	forwardLostCounter    = "observer.forward_lost"
)

// Source polls upstreams.
type Source interface {
	FetchLoad(ctx context.Context, u contractor.Upstream) (dispatcher.LoadReport, error)
	FetchCacheEvents(ctx context.Context, u contractor.Upstream, after uint64) ([]dispatcher.CacheEvent, error)
}

// Sink receives the reports.
type Sink interface {
	ApplyLoadReport(now time.Time, report router.LoadReport)
	ApplyCacheEvent(now time.Time, e router.CacheEvent)
}

// Members lists the live daemons.
type Members interface {
	Self() messenger.Peer
	Zone(zone contractor.Zone) []messenger.Peer
}

// Config configures an Observer.
type Config struct {
	Source    Source
	Sink      Sink
	Members   Members
	Caller    messenger.Caller
	Mux       *messenger.Mux
	Upstreams func() []contractor.Upstream
	// PollInterval is the time between two rounds in a zone with few daemons; see
	// pollIntervalPerDaemon. Zero means 1 s.
	PollInterval time.Duration
	Recorder     *recorder.Recorder
}

// UpstreamLoad is the load of one upstream in a message to another daemon.
type UpstreamLoad struct {
	Upstream string        `cbor:"1,keyasint"`
	Running  int           `cbor:"2,keyasint,omitempty"`
	Queued   int           `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
}

// UpstreamCacheEvents are the cache events of one engine in a message to another
// daemon.
type UpstreamCacheEvents struct {
	Upstream string                  `cbor:"1,keyasint"`
	Events   []dispatcher.CacheEvent `cbor:"2,keyasint"`
}

// Reports are the reports that a daemon collected in one round.
type Reports struct {
	Loads  []UpstreamLoad        `cbor:"1,keyasint,omitempty"`
	Events []UpstreamCacheEvents `cbor:"2,keyasint,omitempty"`
}

// ReportsResponse is the response to Reports.
type ReportsResponse struct{}

// Observer collects reports for one daemon.
type Observer struct {
	config Config
	round  int

	mu sync.Mutex
	// lastSequences holds the sequence number of the last cache event of each engine.
	lastSequences map[string]uint64
}

// New returns an Observer and registers its handler with the mux.
func New(c Config) *Observer {
	if c.PollInterval == 0 {
		c.PollInterval = defaultPollInterval
	}
	o := &Observer{config: c, lastSequences: make(map[string]uint64)}
	messenger.Handle(c.Mux, MethodReports, o.receive)
	return o
}

// Run polls in rounds until ctx ends.
func (o *Observer) Run(ctx context.Context) error {
	for {
		o.PollOnce(ctx)
		timer := time.NewTimer(o.pollInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (o *Observer) pollInterval() time.Duration {
	daemons := len(o.config.Members.Zone(o.config.Members.Self().Zone))
	return max(o.config.PollInterval, time.Duration(daemons)*pollIntervalPerDaemon)
}

// PollOnce runs one round: it polls the upstreams assigned to this daemon and
// forwards their reports.
func (o *Observer) PollOnce(ctx context.Context) {
	upstreams := o.config.Upstreams()
	assigned := o.assigned(upstreams)
	o.round++
	reports := o.poll(ctx, assigned, countEngines(upstreams) <= maxEnginesForEvents)
	o.apply(reports)
	o.forward(ctx, reports)
}

func countEngines(upstreams []contractor.Upstream) int {
	engines := 0
	for _, u := range upstreams {
		if u.Kind == contractor.KindEngine {
			engines++
		}
	}
	return engines
}

// assigned returns the upstreams that this daemon polls in this round.
func (o *Observer) assigned(upstreams []contractor.Upstream) []contractor.Upstream {
	self := o.config.Members.Self()
	peers := o.config.Members.Zone(self.Zone)
	var assigned []contractor.Upstream
	for _, u := range upstreams {
		if u.Zone != self.Zone && o.round%otherZoneRounds != 0 {
			continue
		}
		if isPoller(u.Name, peers, self) {
			assigned = append(assigned, u)
		}
	}
	return assigned
}

// isPoller reports whether self has the highest rendezvous hash for an upstream.
func isPoller(upstream string, peers []messenger.Peer, self messenger.Peer) bool {
	ownHash := rendezvousHash(upstream, self.VM)
	for _, p := range peers {
		if p.VM != self.VM && rendezvousHash(upstream, p.VM) > ownHash {
			return false
		}
	}
	return true
}

func rendezvousHash(upstream string, vm contractor.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(upstream)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

func (o *Observer) poll(ctx context.Context, upstreams []contractor.Upstream, withEvents bool) Reports {
	var mu sync.Mutex
	var reports Reports
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, u := range upstreams {
		group.Go(func() error {
			load, loaded := o.fetchLoad(ctx, u)
			events := o.fetchEvents(ctx, u, withEvents)
			mu.Lock()
			defer mu.Unlock()
			if loaded {
				reports.Loads = append(reports.Loads, load)
			}
			if len(events) > 0 {
				reports.Events = append(reports.Events, UpstreamCacheEvents{Upstream: u.Name, Events: events})
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func (o *Observer) fetchLoad(ctx context.Context, u contractor.Upstream) (UpstreamLoad, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := o.config.Source.FetchLoad(ctx, u)
	if err != nil {
		o.config.Recorder.Count(pollErrorsCounter, 1)
		return UpstreamLoad{}, false
	}
	return UpstreamLoad{Upstream: u.Name, Running: report.Running, Queued: report.Queued, Age: report.Age}, true
}

func (o *Observer) fetchEvents(ctx context.Context, u contractor.Upstream, wanted bool) []dispatcher.CacheEvent {
	if !wanted || u.Kind != contractor.KindEngine {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.mu.Lock()
	after := o.lastSequences[u.Name]
	o.mu.Unlock()
	events, err := o.config.Source.FetchCacheEvents(ctx, u, after)
	if err != nil {
		o.config.Recorder.Count(pollErrorsCounter, 1)
		return nil
	}
	return events
}

// apply gives reports to the sink.
func (o *Observer) apply(reports Reports) {
	now := time.Now()
	for _, l := range reports.Loads {
		o.config.Sink.ApplyLoadReport(now, router.LoadReport{
			Upstream:   l.Upstream,
			Running:    l.Running,
			Queued:     l.Queued,
			ReceivedAt: now,
			Age:        l.Age,
		})
	}
	for _, e := range reports.Events {
		o.applyEvents(now, e)
	}
}

func (o *Observer) applyEvents(now time.Time, e UpstreamCacheEvents) {
	for _, event := range e.Events {
		o.mu.Lock()
		o.lastSequences[e.Upstream] = event.Sequence
		o.mu.Unlock()
		o.config.Sink.ApplyCacheEvent(now, router.CacheEvent{
			Upstream: e.Upstream,
			Sequence: event.Sequence,
			Stored:   event.Stored,
			Evicted:  event.Evicted,
		})
	}
}

// forward sends the reports of a round to the other daemons of the zone.
func (o *Observer) forward(ctx context.Context, reports Reports) {
	if len(reports.Loads)+len(reports.Events) == 0 {
		return
	}
	self := o.config.Members.Self()
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, p := range o.config.Members.Zone(self.Zone) {
		if p.VM == self.VM {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if _, err := messenger.Call[Reports, ReportsResponse](ctx, o.config.Caller, p, MethodReports, &reports); err != nil {
				o.config.Recorder.Count(forwardLostCounter, 1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (o *Observer) receive(_ context.Context, _ messenger.Peer, reports *Reports) (*ReportsResponse, error) {
	valid := Reports{Events: reports.Events}
	for _, l := range reports.Loads {
		if l.Age >= 0 && l.Age <= maxForwardedAge {
			valid.Loads = append(valid.Loads, l)
		}
	}
	o.apply(valid)
	return &ReportsResponse{}, nil
}
