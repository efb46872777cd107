package allocator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"laburnumline/contractor"
)

const (
	// storeLatency, zoneLatency and localLatency are one-way latencies to the store, to
	// another zone and within a zone.
	storeLatency = 1500 * time.Microsecond
	zoneLatency  = 4 * time.Millisecond
	localLatency = 300 * time.Microsecond
	// deathDetection is the time after which a zone's daemons detect a death.
	deathDetection = time.Second
	// vmListDelay is the time after which the VM list no longer contains a dead VM.
	vmListDelay = 30 * time.Second
	// lastFraction is the end of the balance for which refusals are counted separately.
	lastFraction = 0.01
	// minUsedFraction and maxUsedFraction limit the fraction of the maximum cost that a
	// request uses.
	minUsedFraction, maxUsedFraction = 0.1, 0.6
	meanUsedTokens                   = 620
)

// interval is a part of a scenario's time.
type interval struct{ from, to time.Duration }

func (i interval) contains(d time.Duration) bool { return d >= i.from && d < i.to }

// scenario describes the requests and the faults.
type scenario struct {
	name     string
	zones    int
	accounts int
	budgets  int
	// requestsPerSecond is the rate in all zones and accounts together.
	requestsPerSecond float64
	// skew is the ratio of the demand in zone 0 to that in each other zone.
	skew         float64
	prepaid      contractor.Tokens
	length       time.Duration
	warmup       time.Duration
	topUpAt      time.Duration
	topUp        contractor.Tokens
	partition    interval // the isolated zone reaches neither other zones nor the store
	isolatedZone int
	storeOutage  interval
	deathAt      time.Duration
	daemons      int
	fleetWrites  float64
}

// tokensUsedIn returns how many tokens the requests use on average in a time.
func (s scenario) tokensUsedIn(d time.Duration) contractor.Tokens {
	return contractor.Tokens(s.requestsPerSecond * meanUsedTokens * d.Seconds())
}

// scenarios returns the scenarios for a number of zones. scale shortens them.
func scenarios(zones int, scale float64) []scenario {
	length := func(d time.Duration) time.Duration { return time.Duration(float64(d) * scale) }
	base := scenario{zones: zones, accounts: 1, budgets: 1, requestsPerSecond: 20, skew: 1, length: length(30 * time.Minute), daemons: 3, fleetWrites: 100}
	var all []scenario
	add := func(name string, change func(s *scenario)) {
		s := base
		change(&s)
		s.name = fmt.Sprintf("%s/zones=%d", name, zones)
		all = append(all, s)
	}
	add("ample", func(s *scenario) { s.prepaid = s.tokensUsedIn(10 * s.length) })
	add("near the end", func(s *scenario) { s.prepaid = s.tokensUsedIn(s.length) * 9 / 10 })
	add("skewed", func(s *scenario) { s.skew = 10; s.prepaid = s.tokensUsedIn(s.length) * 9 / 10 })
	for isolated, name := range []string{"partition of the busy zone", "partition of a quiet zone"} {
		add(name, func(s *scenario) {
			s.requestsPerSecond, s.skew, s.isolatedZone, s.length = 4, 10, isolated, length(80*time.Minute)
			s.partition = interval{length(10 * time.Minute), length(70 * time.Minute)}
			s.prepaid, s.topUp, s.topUpAt = s.tokensUsedIn(s.length*11/10), s.tokensUsedIn(s.length/2), length(40*time.Minute)
		})
	}
	add("store away", func(s *scenario) {
		s.skew, s.prepaid = 10, s.tokensUsedIn(s.length*12/10)
		s.storeOutage = interval{length(10 * time.Minute), length(20 * time.Minute)}
	})
	add("keeper death", func(s *scenario) { s.prepaid = s.tokensUsedIn(2 * s.length); s.deathAt = s.length / 2 })
	return all
}

// request is one request of a caller.
type request struct {
	number   int
	at       time.Duration
	zone     int
	daemon   int
	account  int
	budget   int
	maxCost  contractor.Tokens
	used     contractor.Tokens
	duration time.Duration
	held     bool
}

// generateRequests returns the requests of a scenario, which depend on the seed alone.
func generateRequests(s scenario, seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 2))
	outputs := []contractor.Tokens{256, 512, 1024, 2048}
	var all []request
	for at := time.Duration(0); at < s.length; at += time.Duration(random.ExpFloat64() / s.requestsPerSecond * float64(time.Second)) {
		prompt := contractor.Tokens(math.Min(400*math.Exp(random.NormFloat64()), 16_000))
		r := request{number: len(all), at: at, daemon: random.IntN(s.daemons), account: random.IntN(s.accounts), budget: random.IntN(s.budgets)}
		if random.Float64()*(s.skew+float64(s.zones-1)) >= s.skew {
			r.zone = 1 + random.IntN(s.zones-1)
		}
		r.maxCost = prompt + outputs[random.IntN(len(outputs))]
		r.used = contractor.Tokens(float64(r.maxCost) * (minUsedFraction + random.Float64()*(maxUsedFraction-minUsedFraction)))
		r.duration = time.Duration((1 + 4*random.ExpFloat64()) * float64(time.Second))
		all = append(all, r)
	}
	return all
}

// system is a strategy under test. It decides which requests may run.
type system interface {
	// reserve reports whether the request may run. Its maximum cost is then reserved.
	reserve(p *process, r *request) bool
	settle(p *process, r *request)
	topUp(amount contractor.Tokens)
	// kill ends the daemon of zone 0 that is the budget's keeper.
	kill()
	writes() int
	unaccounted() contractor.Tokens
}

// phase counts requests: those before the last fraction of the balance, or those in it.
type phase struct{ served, refused, falselyRefused int }

func (p phase) falseRefusalPercent() float64 {
	if p.served+p.falselyRefused == 0 {
		return 0
	}
	return 100 * float64(p.falselyRefused) / float64(p.served+p.falselyRefused)
}

// simulation knows the actual spending and reservations, which no daemon knows.
type simulation struct {
	*simulator
	scenario  scenario
	start     time.Time
	prepaid   contractor.Tokens
	spent     contractor.Tokens
	reserved  contractor.Tokens
	overspend contractor.Tokens
	// stranded is the largest part of the balance, in percent, that was free when a
	// request was refused, or that was unaccounted at the end.
	stranded    float64
	phases      [2]phase
	duringFault phase // in all zones
	// recoveryTime is the time from the death of the keeper to the next reservation in
	// zone 0.
	recoveryTime time.Duration
	slowest      time.Duration
	// steadyWrites is the number of store writes after the warm-up.
	steadyWrites int
	// entryDied reports whether the entry of a request has died and never settles it.
	entryDied func(r *request) bool
}

func (sim *simulation) elapsed() time.Duration { return sim.now.Sub(sim.start) }

func (sim *simulation) hold(r *request) {
	if !r.held {
		r.held = true
		sim.reserved += r.maxCost
	}
}

func (sim *simulation) release(r *request) {
	if r.held {
		r.held = false
		sim.reserved -= r.maxCost
	}
}

func (sim *simulation) connected(a, b int) bool {
	return a == b || !sim.scenario.partition.contains(sim.elapsed()) || (a != sim.scenario.isolatedZone && b != sim.scenario.isolatedZone)
}

func (sim *simulation) storeReachable(zone int) bool {
	d := sim.elapsed()
	return !sim.scenario.storeOutage.contains(d) && (zone != sim.scenario.isolatedZone || !sim.scenario.partition.contains(d))
}

// runRequest takes one request from its arrival to its end.
func (sim *simulation) runRequest(p *process, s system, r *request) {
	last := 0
	if float64(sim.prepaid-sim.spent) <= lastFraction*float64(sim.prepaid) {
		last = 1
	}
	fault := sim.scenario.partition.contains(r.at) || sim.scenario.storeOutage.contains(r.at)
	reserved := s.reserve(p, r)
	sim.slowest = max(sim.slowest, sim.elapsed()-r.at)
	if sim.scenario.deathAt > 0 && r.zone == 0 && reserved && sim.elapsed() > sim.scenario.deathAt && sim.recoveryTime == 0 {
		sim.recoveryTime = sim.elapsed() - sim.scenario.deathAt
	}
	free := sim.prepaid - sim.spent - sim.reserved
	for _, ph := range []*phase{&sim.phases[last], &sim.duringFault} {
		if ph == &sim.duringFault && !fault {
			continue
		}
		ph.count(reserved, free >= r.maxCost)
	}
	if !reserved {
		sim.stranded = max(sim.stranded, 100*float64(free)/float64(sim.prepaid))
		return
	}
	p.sleep(r.duration)
	sim.spent += r.used
	sim.overspend = max(sim.overspend, sim.spent-sim.prepaid)
	if !sim.entryDied(r) {
		sim.release(r)
		s.settle(p, r)
	}
}

func (p *phase) count(reserved, covered bool) {
	switch {
	case reserved:
		p.served++
	case covered:
		p.falselyRefused++
		p.refused++
	default:
		p.refused++
	}
}

// simulate runs a scenario on a system.
func simulate(s scenario, seed uint64, build func(sim *simulation, end time.Time) system) (*simulation, system) {
	sim := &simulation{simulator: newSimulator(seed), scenario: s, prepaid: s.prepaid, entryDied: func(*request) bool { return false }}
	sim.start = sim.now
	sys := build(sim, sim.start.Add(s.length+10*time.Second))
	requests := generateRequests(s, seed)
	for i := range requests {
		r := &requests[i]
		sim.after(r.at, func() { sim.startRequest(r, sys) })
	}
	if s.topUp > 0 {
		sim.after(s.topUpAt, func() { sim.prepaid += s.topUp; sys.topUp(s.topUp) })
	}
	if s.deathAt > 0 {
		sim.after(s.deathAt, sys.kill)
	}
	sim.after(s.warmup, func() { sim.steadyWrites = -sys.writes() })
	sim.after(s.length, func() { sim.steadyWrites += sys.writes() })
	sim.run()
	sim.stranded = max(sim.stranded, 100*float64(sys.unaccounted())/float64(sim.prepaid))
	return sim, sys
}

func (sim *simulation) startRequest(r *request, s system) {
	sim.simulator.start(func(p *process) { sim.runRequest(p, s, r) })
}

func (sim *simulation) writesPerSecond() float64 {
	return float64(sim.steadyWrites) / (sim.scenario.length - sim.scenario.warmup).Seconds()
}
