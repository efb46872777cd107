package delegator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// suspectCount is the number of upstreams with failed connections that make a Monitor probe
	// others, suspicionTime the time in which they have to fail.
	suspectCount  = 2
	suspicionTime = 2 * time.Second
	// probeCount is the number of upstreams that are probed at a time, and probeTimeout limits a
	// probe, which takes a few round trips between zones.
	probeCount   = 3
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two groups of probes while a service is unreachable.
	probeInterval = 250 * time.Millisecond

	// ignoredCounter counts failures that are no evidence because the daemon itself was overloaded.
	ignoredCounter = "delegator.failures_ignored"
)

// Load is how busy the daemon itself is. Connections of an overloaded daemon fail although its network is
// sound.
type Load uint8

const (
	// Usual means that failed connections are those of upstreams or of the network to them.
	Usual Load = iota
	// Peak means that the daemon is overloaded or was a moment ago. Failures are no evidence.
	Peak
	// Saturated means that the daemon has been overloaded for some time. Nothing is delegated, because the
	// daemon cannot reach other daemons any better than upstreams.
	Saturated
)

// String returns the name that logs show.
func (l Load) String() string {
	names := [...]string{"usual", "peak", "saturated"}
	if int(l) < len(names) {
		return names[l]
	}
	return fmt.Sprintf("load(%d)", uint8(l))
}

// MonitorConfig holds what a Monitor needs.
type MonitorConfig struct {
	// Upstreams returns the addresses of a service's upstreams.
	Upstreams func(service string) []netip.AddrPort
	// Probe opens a connection to an upstream and closes it.
	Probe func(ctx context.Context, address netip.AddrPort) error
	// OwnLoad returns how busy this daemon is. It is called for each request. Nil means Usual.
	OwnLoad  func() Load
	Recorder *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Monitor finds out which services are reachable. It is safe for concurrent use.
type Monitor struct {
	config MonitorConfig
	ctx    context.Context // cancelled by Close
	stop   context.CancelFunc

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what is known about the upstreams of a service.
type serviceState struct {
	// failures has the upstreams to which a connection has failed, and when.
	failures map[netip.AddrPort]time.Time
	probing  bool
	// unreachable is true from a group of probes of which none succeeded to one of which most did.
	unreachable bool
	// partly is true if some of the last group of probes succeeded.
	partly bool
}

// NewMonitor returns a Monitor to which all services are reachable.
func NewMonitor(c MonitorConfig) *Monitor {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OwnLoad == nil {
		c.OwnLoad = func() Load { return Usual }
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Monitor{config: c, ctx: ctx, stop: stop, services: make(map[string]*serviceState)}
}

// Close ends the probes.
func (m *Monitor) Close() { m.stop() }

// Reachable reports whether the upstreams of a service are reachable, as far as known. All services count as
// reachable while the daemon is saturated.
func (m *Monitor) Reachable(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	return s == nil || !s.unreachable || m.config.OwnLoad() == Saturated
}

// PartlyReachable reports whether an upstream of a service that is not reachable has accepted the last
// connection.
func (m *Monitor) PartlyReachable(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	return s != nil && s.partly
}

// ReportFailure records that a connection to an upstream could not be opened or has fallen silent. If
// several have failed, it probes others in the background, until one accepts a connection. Failures of an
// overloaded daemon are ignored.
func (m *Monitor) ReportFailure(service string, address netip.AddrPort) {
	if m.config.OwnLoad() != Usual {
		m.config.Recorder.Count(ignoredCounter, 1)
		return
	}
	upstreams := m.config.Upstreams(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(service)
	now := m.config.Now()
	s.failures[address] = now
	for a, failedAt := range s.failures {
		if now.Sub(failedAt) > suspicionTime {
			delete(s.failures, a)
		}
	}
	if s.probing || len(s.failures) < min(suspectCount, len(upstreams)) {
		return
	}
	s.probing = true
	go m.probeUntilReachable(service, s)
}

func (m *Monitor) state(service string) *serviceState {
	s := m.services[service]
	if s == nil {
		s = &serviceState{failures: make(map[netip.AddrPort]time.Time)}
		m.services[service] = s
	}
	return s
}

// probeUntilReachable probes groups of upstreams until most of one accept a connection. If only the first
// group counted, a service of which a few upstreams are reachable would change its state at random. It also
// goes on while the daemon is overloaded, so that a partition at that time is found soon after.
func (m *Monitor) probeUntilReachable(service string, s *serviceState) {
	for {
		accepted, probed := m.probe(m.config.Upstreams(service))
		load := m.config.OwnLoad()
		m.mu.Lock()
		wasUnreachable := s.unreachable
		s.update(load, accepted, probed)
		probing, unreachable := s.probing, s.unreachable
		m.mu.Unlock()
		if unreachable != wasUnreachable {
			m.config.Recorder.Event(recorder.ServiceReachability, "service", service, "reachable", !unreachable, "own_load", load)
		}
		if !probing {
			return
		}
		if sleeper.Sleep(m.ctx, probeInterval) != nil {
			return
		}
	}
}

// update takes the results of a group of probes. Probing ends when they show that the service is reachable.
// Failed probes of an overloaded daemon show nothing. While it is saturated, what was known before is out of
// date as well.
func (s *serviceState) update(load Load, accepted, probed int) {
	// Without upstreams there is nothing that another daemon could reach instead.
	reachable := 2*accepted > probed || accepted > 0 && !s.unreachable || probed == 0
	switch {
	case reachable:
		s.unreachable, s.partly, s.probing = false, accepted > 0, false
		clear(s.failures)
	case load == Saturated:
		s.unreachable, s.partly = false, false
		clear(s.failures)
	case load == Usual:
		s.unreachable, s.partly = true, accepted > 0
	}
}

// OthersReachable reports whether one of probeCount random upstreams of a service accepts a connection, not
// counting the given one. It is true if there are no others.
func (m *Monitor) OthersReachable(service string, except netip.AddrPort) bool {
	others := slices.DeleteFunc(slices.Clone(m.config.Upstreams(service)), func(a netip.AddrPort) bool { return a == except })
	accepted, probed := m.probe(others)
	return accepted > 0 || probed == 0
}

// probe probes probeCount random upstreams, or all if there are fewer, and returns how many accept a
// connection.
func (m *Monitor) probe(upstreams []netip.AddrPort) (accepted, probed int) {
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	count := min(probeCount, len(upstreams))
	results := make(chan bool, count)
	for _, i := range rand.Perm(len(upstreams))[:count] {
		go func() { results <- m.config.Probe(ctx, upstreams[i]) == nil }()
	}
	for range count {
		if <-results {
			accepted++
		}
	}
	return accepted, count
}
