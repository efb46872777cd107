package observer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/messenger"
	"laburnumline/observer"
	"laburnumline/router"
)

// fakeMembers lists the daemons of one zone.
type fakeMembers struct {
	self  messenger.Peer
	peers []messenger.Peer
}

func (f fakeMembers) Self() messenger.Peer                  { return f.self }
func (f fakeMembers) Zone(contractor.Zone) []messenger.Peer { return f.peers }

// fakeSource counts the polls of each upstream.
type fakeSource struct {
	mu    sync.Mutex
	polls map[string]int
}

func (s *fakeSource) FetchLoad(_ context.Context, u contractor.Upstream) (dispatcher.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polls[u.Name]++
	return dispatcher.LoadReport{Running: 3}, nil
}

func (s *fakeSource) FetchCacheEvents(_ context.Context, _ contractor.Upstream, after uint64) ([]dispatcher.CacheEvent, error) {
	return []dispatcher.CacheEvent{{Sequence: after + 1, Stored: []uint64{after}}}, nil
}

// fakeSink records the reported upstreams.
type fakeSink struct {
	mu       sync.Mutex
	reported map[string]int
	events   int
}

func (s *fakeSink) ApplyLoadReport(_ time.Time, r router.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported[r.Upstream] = r.Running
}

func (s *fakeSink) ApplyCacheEvent(time.Time, router.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events++
}

// Guards against polling an upstream from several daemons of a zone, and against a
// daemon that does not receive the reports of the others.
func TestEachUpstreamIsPolledOnceAndReportedToAllDaemons(t *testing.T) {
	const daemons, engines = 4, 24
	var upstreams []contractor.Upstream
	for i := range engines {
		upstreams = append(upstreams, contractor.Upstream{Name: fmt.Sprintf("engine-%d", i), Zone: "a"})
	}
	var peers []messenger.Peer
	for i := range daemons {
		peers = append(peers, messenger.Peer{VM: contractor.VM(fmt.Sprintf("vm-%d", i)), Zone: "a"})
	}
	source := &fakeSource{polls: make(map[string]int)}
	loopback := &messenger.Loopback{}
	var observers []*observer.Observer
	var sinks []*fakeSink
	for _, p := range peers {
		mux := &messenger.Mux{}
		loopback.Attach(p.VM, mux)
		sink := &fakeSink{reported: make(map[string]int)}
		sinks = append(sinks, sink)
		observers = append(observers, observer.New(observer.Config{
			Source:    source,
			Sink:      sink,
			Members:   fakeMembers{self: p, peers: peers},
			Caller:    loopback.Caller(p),
			Mux:       mux,
			Upstreams: func() []contractor.Upstream { return upstreams },
		}))
	}
	for _, o := range observers {
		o.PollOnce(t.Context())
	}
	for _, u := range upstreams {
		require.Equal(t, 1, source.polls[u.Name], u.Name)
	}
	for _, s := range sinks {
		require.Len(t, s.reported, engines)
		require.Equal(t, engines, s.events)
	}
}
