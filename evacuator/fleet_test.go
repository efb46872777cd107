package evacuator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/balancer"
	"laburnumline/contractor"
	"laburnumline/evacuator"
	"laburnumline/persister"
	"laburnumline/registrar"
	"laburnumline/throttler"
)

const (
	evacuationBound = 5 * time.Second // evacuationMs
	maxSkew         = 6 * time.Second // maxSkewMs
	heartbeat       = 1200 * time.Millisecond
	maxWatchDelay   = 1500 * time.Millisecond
	fleetStep       = 20 * time.Millisecond
	fleetUpstreams  = 24
)

// simulatedDaemon is the path from the store's changes to the choice of an upstream.
type simulatedDaemon struct {
	evacuator *evacuator.Evacuator
	registrar *registrar.Registrar
	throttler *throttler.Throttler
	balancer  *balancer.Balancer
	pending   []pendingChange
	// disconnectedUntil is the end of a time without contact to the store.
	disconnectedUntil time.Time
}

type pendingChange struct {
	at     time.Time
	change persister.Change
}

// simulation is a fleet that an operator evacuates a zone of. Its upstreams are cold when the zone returns.
type simulation struct {
	now      time.Time
	random   *rand.Rand
	daemons  []*simulatedDaemon
	revision contractor.Revision
	warmup   throttler.Warmup
	sends    map[registrar.Name][]time.Time
}

func newSimulation(daemons int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 3)), sends: make(map[registrar.Name][]time.Time),
		warmup: throttler.Warmup{Duration: 3 * time.Second, Rate: 6.7, MaxPerSecond: 6.7*1.5 + 5},
	}
	var members []netip.AddrPort
	for i := range daemons {
		members = append(members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
	}
	for i := range daemons {
		s.daemons = append(s.daemons, s.newDaemon(members[i], slices.Concat(members[:i], members[i+1:])))
	}
	return s
}

func (s *simulation) newDaemon(self netip.AddrPort, others []netip.AddrPort) *simulatedDaemon {
	d, now := &simulatedDaemon{}, func() time.Time { return s.now }
	d.throttler = throttler.New(throttler.Config{
		Self: self, Members: func() ([]netip.AddrPort, bool) { return others, true }, Random: s.random.Float64,
		Warmup: func(string) throttler.Warmup { return s.warmup },
	})
	d.evacuator = evacuator.New(evacuator.Config{
		Prefix: "op/evacuate/", Now: now, Changed: func() { d.registrar.Refresh() },
		Decode: func(key string, _ []byte) (string, error) { return strings.TrimPrefix(key, "op/evacuate/"), nil },
		Returning: func(zone string, at time.Time) {
			for _, u := range d.registrar.InZone(zone) {
				d.throttler.KeepCold(at, u.ThrottlerStart(), at)
			}
		},
	})
	d.registrar = registrar.New(registrar.Config{
		Now: now, Evacuated: d.evacuator.Evacuated,
		Decode: func(key string, value []byte) (registrar.Upstream, error) {
			zone, warmup, _ := strings.Cut(string(value), " ")
			left, err := time.ParseDuration(warmup)
			return registrar.Upstream{Name: registrar.Name(key), Service: "model", Zone: zone, Slots: 64, Warmup: left}, err
		},
		Renewed: func(u *registrar.Upstream, w throttler.WarmupStatement) {
			d.throttler.RecordWarmup(s.now, u.ThrottlerStart(), w)
		},
	})
	d.balancer = balancer.New(balancer.Config{Limits: d.throttler})
	return d
}

// write changes a key of the store; each daemon learns of it after a delay of its own.
func (s *simulation) write(key, value string, deleted bool) {
	s.revision++
	c := persister.Change{Entry: persister.Entry{Key: key, Value: []byte(value), Revision: s.revision}, Deleted: deleted}
	for _, d := range s.daemons {
		at := s.now.Add(time.Duration(s.random.Int64N(int64(maxWatchDelay))))
		if at.Before(d.disconnectedUntil) {
			at = d.disconnectedUntil
		}
		if n := len(d.pending); n > 0 && at.Before(d.pending[n-1].at) {
			at = d.pending[n-1].at // watches keep the order
		}
		d.pending = append(d.pending, pendingChange{at, c})
	}
}

// run advances the time. Entries are renewed with what is left of the warm-up of zone a.
func (s *simulation) run(length time.Duration, requestsPerSecond float64, coldUntil time.Time) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(fleetStep) {
		if s.now.UnixMilli()%heartbeat.Milliseconds() < fleetStep.Milliseconds() {
			for i := range fleetUpstreams {
				zone, left := string(rune('a'+i%3)), time.Duration(0)
				if zone == "a" {
					left = max(coldUntil.Sub(s.now), 0)
				}
				s.write(fmt.Sprintf("servers/i-%d", i), zone+" "+left.String(), false)
			}
		}
		for _, d := range s.daemons {
			s.step(d, requestsPerSecond/float64(len(s.daemons))*fleetStep.Seconds())
		}
	}
}

func (s *simulation) step(d *simulatedDaemon, requests float64) {
	for len(d.pending) > 0 && !s.now.Before(d.pending[0].at) {
		d.evacuator.Apply(d.pending[0].change)
		if strings.HasPrefix(d.pending[0].change.Entry.Key, "servers/") {
			d.registrar.Apply(d.pending[0].change)
		}
		d.pending = d.pending[1:]
	}
	for ; requests > s.random.Float64(); requests-- {
		parts := []balancer.Part{{ID: s.random.Uint64(), Tokens: 50}, {ID: s.random.Uint64(), Tokens: 50}}
		choice, ok := d.balancer.Choose(s.now, balancer.Query{Candidates: d.registrar.Of("model"), Parts: parts, Engine: true, Tokens: 100})
		if ok {
			d.balancer.End(s.now, &choice, balancer.Result{})
			arrival := s.now.Add(time.Duration(s.random.Int64N(int64(400 * time.Millisecond))))
			s.sends[choice.Upstream.Name] = append(s.sends[choice.Upstream.Name], arrival)
		}
	}
}

// inZone returns the arrivals at each upstream of zone a between two times, sorted.
func (s *simulation) inZone(from, to time.Time) (all int, most int) {
	for i := 0; i < fleetUpstreams; i += 3 {
		var times []time.Time
		for _, at := range s.sends[registrar.Name(fmt.Sprintf("servers/i-%d", i))] {
			if !at.Before(from) && at.Before(to) {
				times = append(times, at)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		all += len(times)
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return all, most
}

// Guards against a fleet that still sends to an evacuated zone when the bound has passed, also from daemons that
// had no contact with the store, and against a zone whose cold upstreams crash when it returns: all
// daemons learn of it within a second or so, and none knows what the others send.
func TestFleetObeysEvacuation(t *testing.T) {
	for _, daemons := range []int{7, 65, 295} {
		for seed := range uint64(min(max(130/daemons, 1), 3)) { // large fleets take seconds
			t.Run(fmt.Sprintf("%d daemons, seed %d", daemons, seed), func(t *testing.T) {
				s := newSimulation(daemons, seed)
				const load = 600 // requests per second; 25 at each upstream
				s.run(5*time.Second, load, time.Time{})
				for i := 0; i < daemons; i += 10 {
					s.daemons[i].disconnectedUntil = s.now.Add(maxSkew)
				}
				s.write("op/evacuate/a", "{}", false)
				acknowledged := s.now
				s.run(evacuationBound+maxSkew, load, time.Time{})
				before, _ := s.inZone(acknowledged.Add(-time.Second), acknowledged)
				require.Greater(t, before, 100)
				bound, violations := acknowledged.Add(evacuationBound+maxSkew), 0
				connected, _ := s.inZone(acknowledged.Add(evacuationBound), bound)
				s.run(3*time.Second, load, time.Time{})
				violations, _ = s.inZone(bound, s.now.Add(time.Second))
				require.Zero(t, violations)
				require.Less(t, connected, load, "only the daemons without contact still send there")
				// The upstreams have just restarted under their names when the operator ends the evacuation.
				returned := s.now
				s.write("op/evacuate/a", "", true)
				s.run(4*time.Second, load, returned.Add(3*time.Second))
				all, most := s.inZone(returned, returned.Add(3*time.Second))
				require.LessOrEqual(t, float64(most), s.warmup.MaxPerSecond)
				require.Positive(t, all, "a cold zone is of some use")
				s.run(5*time.Second, load, time.Time{})
				after, _ := s.inZone(s.now.Add(-time.Second), s.now)
				require.Greater(t, after, 100, "the zone is used again")
			})
		}
	}
}
