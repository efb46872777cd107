package allocator_test

import (
	"time"

	"laburnumline/contractor"
)

// baseline is the common part of the three simple strategies: a balance in the store,
// balances of the zones, and the rate of writes. After the death of a daemon they only
// lose the time until it is detected.
type baseline struct {
	*simulation
	balance      contractor.Tokens
	zoneBalances []contractor.Tokens
	fetching     []*sharedWrite
	commits      int
	// nextCommit is when the store can process another compare-and-swap of the balance.
	nextCommit time.Time
}

func newBaseline(sim *simulation) baseline {
	return baseline{simulation: sim, balance: sim.prepaid, zoneBalances: make([]contractor.Tokens, sim.scenario.zones), fetching: make([]*sharedWrite, sim.scenario.zones)}
}

func (b *baseline) writes() int                    { return b.commits }
func (b *baseline) unaccounted() contractor.Tokens { return 0 }
func (b *baseline) kill()                          {}
func (b *baseline) topUp(amount contractor.Tokens) { b.balance += amount }

// flushes counts one write of settlements per second and zone.
func (b *baseline) flushes(end time.Time) {
	for z := range b.zoneBalances {
		b.every(time.Second, end, func() {
			if b.simulation.storeReachable(z) {
				b.commits++
			}
		})
	}
}

// awaitFailover waits until the death of the keeper is detected.
func (b *baseline) awaitFailover(p *process, r *request) {
	d := b.elapsed() - b.scenario.deathAt
	if b.scenario.deathAt > 0 && r.zone == 0 && d >= 0 && d < deathDetection {
		p.sleep(deathDetection - d)
	}
}

// compareAndSwap reads the balance and changes it by one compare-and-swap. It reports
// false when the store is unavailable.
func (b *baseline) compareAndSwap(p *process, zone int, change func()) bool {
	p.sleep(p.jitter(2 * storeLatency))
	if !b.simulation.storeReachable(zone) {
		return false
	}
	if p.now.Before(b.nextCommit) {
		p.sleep(b.nextCommit.Sub(p.now))
	}
	b.nextCommit = p.now.Add(2 * storeLatency)
	b.commits++
	change()
	p.sleep(p.jitter(2 * storeLatency))
	return true
}

// equalSplit divides the balance and every top-up equally between the zones.
type equalSplit struct{ baseline }

func newEqualSplit(sim *simulation, end time.Time) system {
	s := &equalSplit{newBaseline(sim)}
	s.topUp(0)
	s.flushes(end)
	return s
}

func (s *equalSplit) topUp(amount contractor.Tokens) {
	each := (s.balance + amount) / contractor.Tokens(len(s.zoneBalances))
	s.balance = 0
	for z := range s.zoneBalances {
		if s.simulation.storeReachable(z) {
			s.zoneBalances[z] += each
			continue
		}
		s.after(s.scenario.partition.to-s.elapsed(), func() { s.zoneBalances[z] += each })
	}
}

func (s *equalSplit) reserve(p *process, r *request) bool {
	s.awaitFailover(p, r)
	p.sleep(2 * localLatency)
	return s.take(r)
}

func (b *baseline) take(r *request) bool {
	if b.zoneBalances[r.zone] < r.maxCost {
		return false
	}
	b.zoneBalances[r.zone] -= r.maxCost
	b.hold(r)
	return true
}

func (b *baseline) settle(_ *process, r *request) { b.zoneBalances[r.zone] += r.maxCost - r.used }

// swapPerRequest reserves and settles each request by a compare-and-swap of the
// balance.
type swapPerRequest struct{ baseline }

func newSwapPerRequest(sim *simulation, _ time.Time) system { return &swapPerRequest{newBaseline(sim)} }

func (s *swapPerRequest) reserve(p *process, r *request) bool {
	reserved := false
	s.compareAndSwap(p, r.zone, func() {
		if reserved = s.balance >= r.maxCost; reserved {
			s.balance -= r.maxCost
			s.hold(r)
		}
	})
	return reserved
}

func (s *swapPerRequest) settle(p *process, r *request) {
	for !s.compareAndSwap(p, r.zone, func() { s.balance += r.maxCost - r.used }) {
		p.sleep(time.Second)
	}
}

// fixedGrants fetches a grant of a fixed size when a zone has too little.
type fixedGrants struct {
	baseline
	size contractor.Tokens
}

const fixedGrantCount = 200 // grants in the whole balance

func newFixedGrants(sim *simulation, end time.Time) system {
	f := &fixedGrants{newBaseline(sim), sim.prepaid / fixedGrantCount}
	f.flushes(end)
	return f
}

func (f *fixedGrants) reserve(p *process, r *request) bool {
	f.awaitFailover(p, r)
	p.sleep(2 * localLatency)
	for !f.take(r) {
		if !f.fetch(p, r) {
			return f.take(r)
		}
	}
	return true
}

// fetch reports whether the zone has got a grant.
func (f *fixedGrants) fetch(p *process, r *request) bool {
	if pending := f.fetching[r.zone]; pending != nil {
		pending.wait(p)
		return pending.err == nil
	}
	own := &sharedWrite{err: errStoreUnavailable}
	f.fetching[r.zone] = own
	f.compareAndSwap(p, r.zone, func() {
		if amount := min(f.balance, f.size); amount > 0 {
			f.balance -= amount
			f.zoneBalances[r.zone] += amount
			own.err = nil
		}
	})
	f.fetching[r.zone] = nil
	own.fire()
	return own.err == nil
}
