package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/balancer"
	"laburnumline/connector"
	"laburnumline/registrar"
	"laburnumline/retrier"
	"laburnumline/throttler"
)

const (
	brittleSlots = 6
	// brittleQueue is the number of requests that wait at an upstream while it is not brittle.
	brittleQueue    = 12
	brittleDowntime = 4 * time.Second
	brittleWork     = 60 * time.Millisecond
	// brittleFrom is when the upstreams state that they are brittle, brittleStable how long after it they
	// let none wait and fail when they have to reject too many, brittleUntil when they are no longer.
	brittleFrom   = 4 * time.Second
	brittleStable = 3 * time.Second
	brittleUntil  = 24 * time.Second
)

// brittleScenario is a fleet whose upstreams are brittle for a time.
type brittleScenario struct {
	name               string
	daemons, upstreams int
	rejections         int // that an upstream bears in a second
	// load is the load of the callers as a fraction of what the upstreams can execute.
	load float64
}

// brittleUpstream is an upstream that fails when it has to reject too many requests.
type brittleUpstream struct {
	inFlight, falls int
	rejectedAt      []time.Time
	downUntil       time.Time
}

// brittleFleet is a fleet of forwarders that do not hear of each other, in front of brittle upstreams.
type brittleFleet struct {
	*fakeUpstreams
	scenario   brittleScenario
	start      time.Time
	forwarders []*Forwarder

	mu             sync.Mutex
	upstreams      map[netip.AddrPort]*brittleUpstream
	served, offers int
}

func newBrittleFleet(t *testing.T, s brittleScenario) *brittleFleet {
	f := &brittleFleet{fakeUpstreams: newFakeUpstreams(t), scenario: s, start: time.Now(), upstreams: make(map[netip.AddrPort]*brittleUpstream)}
	f.list = nil
	for i := range s.upstreams {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		f.upstreams[address] = &brittleUpstream{}
		f.list = append(f.list, registrar.Upstream{Name: registrar.Name(fmt.Sprint("i-", i)), Service: "drafts", Address: address, Slots: brittleSlots})
	}
	for i := range s.daemons {
		var others []netip.AddrPort
		for j := range s.daemons {
			if j != i {
				others = append(others, brittleMember(j))
			}
		}
		limits := throttler.New(throttler.Config{Self: brittleMember(i), Members: func() ([]netip.AddrPort, bool) { return others, true }})
		f.forwarders = append(f.forwarders, New(Config{
			Tables: f, Upstreams: f, Budgets: f, Balancer: balancer.New(balancer.Config{Limits: limits}), Limits: limits, Streams: onlyPinner(),
			Sender: f, Quarantine: f.quarantine, Probe: func(context.Context, netip.AddrPort) error { return nil },
			Retries: retrier.New(retrier.Config{TargetRatio: 0.12, AccountRatio: 0.2}), Random: func() float64 { return 0 },
			SetMetadata: func(http.Header, Metadata) {},
		}))
	}
	return f
}

func brittleMember(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
}

// Send runs a request at an upstream, or rejects it.
func (f *brittleFleet) Send(_ context.Context, address netip.AddrPort, call *connector.Call) (*connector.Response, error) {
	age := time.Since(f.start)
	brittle := age >= brittleFrom && age < brittleUntil
	f.mu.Lock()
	u := f.upstreams[address]
	if time.Now().Before(u.downUntil) {
		f.mu.Unlock()
		return nil, &connector.CallError{ConnectFailed: true, Step: "connect", Peer: address, Err: errors.New("refused")}
	}
	response := &connector.Response{Status: 200, Header: http.Header{}, Length: -1, Body: strings.NewReader("ok"), Metadata: connector.Metadata{ID: call.ID, Signed: true}}
	if brittle {
		response.Metadata.Rejections = throttler.Rejections{Stated: true, PerSecond: f.scenario.rejections}
	}
	room := brittleSlots + brittleQueue
	if brittle && age >= brittleFrom+brittleStable {
		room = brittleSlots
	}
	m := &response.Metadata
	m.Load = balancer.Load{
		Running: balancer.NewFigure(min(u.inFlight, brittleSlots)), Waiting: balancer.NewFigure(max(u.inFlight-brittleSlots, 0)),
		Slots: balancer.NewFigure(brittleSlots),
	}
	if u.inFlight >= room {
		u.reject(brittle && age >= brittleFrom+brittleStable, f.scenario.rejections)
		f.mu.Unlock()
		response.Status, response.Metadata.NotRun, response.Metadata.Signed = http.StatusServiceUnavailable, true, false
		return response, nil
	}
	u.inFlight++
	wait := time.Duration(u.inFlight/brittleSlots) * brittleWork
	f.mu.Unlock()
	time.Sleep(brittleWork + wait)
	f.mu.Lock()
	u.inFlight--
	f.mu.Unlock()
	return response, nil
}

// reject counts a rejection, under which a brittle upstream may fail. The lock is held.
func (u *brittleUpstream) reject(brittle bool, most int) {
	now := time.Now()
	recent := u.rejectedAt[:0]
	for _, at := range u.rejectedAt {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	u.rejectedAt = append(recent, now)
	if brittle && len(u.rejectedAt) > most {
		u.falls++
		u.rejectedAt, u.downUntil = nil, now.Add(brittleDowntime)
	}
}

// call sends one request through a daemon.
func (f *brittleFleet) call(id int) {
	w := httptest.NewRecorder()
	f.forwarders[id%len(f.forwarders)].Serve(context.Background(), w, &Request{
		ID: fmt.Sprint(id), Method: "POST", Host: "a.example", Path: "/again/", Target: "/again/", Header: http.Header{}, Key: "key",
		Body: strings.NewReader("x"), Length: 1, CallerTimeout: 5 * time.Second, ReceivedAt: time.Now(),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers++
	if w.Code == http.StatusOK {
		f.served++
	}
}

// Brittle upstreams fail when they have to reject too many requests, and each failure moves its load to the
// others. In one such time the users allow as many failures as two and a tenth of the upstreams.
func TestBrittleUpstreamsAreNotOverrun(t *testing.T) {
	tests := []brittleScenario{
		{name: "one daemon", daemons: 1, upstreams: 18, rejections: 4, load: 1.5},
		{name: "seven daemons, busy", daemons: 7, upstreams: 18, rejections: 4, load: 0.8},
		{name: "seven daemons, overload", daemons: 7, upstreams: 18, rejections: 4, load: 1.5},
		{name: "few upstreams", daemons: 7, upstreams: 3, rejections: 5, load: 1.5},
		{name: "bear one rejection", daemons: 7, upstreams: 18, rejections: 1, load: 1.2},
		{name: "larger fleet", daemons: 24, upstreams: 24, rejections: 5, load: 1.2},
	}
	for _, s := range tests {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newBrittleFleet(t, s)
				random := rand.New(rand.NewPCG(1, 5))
				perSecond := s.load * float64(s.upstreams*brittleSlots) / brittleWork.Seconds()
				var calls sync.WaitGroup
				for id := 0; time.Since(f.start) < brittleUntil; id++ {
					n := random.IntN(len(f.forwarders)) + id - id%len(f.forwarders)
					calls.Go(func() { f.call(n) })
					time.Sleep(time.Duration(2 * random.Float64() / perSecond * float64(time.Second)))
				}
				calls.Wait()
				falls := 0
				for _, u := range f.upstreams {
					falls += u.falls
				}
				t.Logf("%d falls, %.2f of the requests served", falls, float64(f.served)/float64(f.offers))
				require.LessOrEqual(t, float64(falls), 2+0.1*float64(s.upstreams))
			})
		})
	}
}
