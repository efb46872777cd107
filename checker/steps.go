package checker

import "fmt"

// stepper collects the successors of one state.
type stepper struct {
	config Config
	state  State
	next   []Step
}

func successors(c Config, s State) []Step {
	p := &stepper{config: c, state: s}
	for d := range s.Daemons {
		if s.Daemons[d].Dead {
			continue
		}
		p.keeperSteps(d)
		p.crash(d)
	}
	for r := range s.Requests {
		if !s.Daemons[entryDaemonOf[r]].Dead {
			p.entrySteps(r)
		}
	}
	p.operatorSteps()
	return p.next
}

func (p *stepper) addStep(s State, format string, args ...any) {
	p.next = append(p.next, Step{Name: fmt.Sprintf(format, args...), State: s})
}

// keeperSteps adds the steps of a daemon as the keeper of its zone, or its takeover.
func (p *stepper) keeperSteps(d int) {
	zone := int(zoneOf[d])
	k := p.state.Daemons[d].Keeper
	if k.Epoch == 0 {
		p.takeover(d, zone)
		return
	}
	if p.state.Sections[zone].Epoch == k.Epoch {
		p.grant(d, zone)
		p.flush(d, zone)
	}
	for r := range p.state.Requests {
		if int(zoneOf[entryDaemonOf[r]]) == zone {
			p.reserve(d, r)
		}
	}
	p.seal(d, zone)
	p.transfer(d)
	if !k.TermExpired {
		s := p.state
		s.Daemons[d].Keeper.TermExpired = true
		p.addStep(s, "term of %d passes", d)
	}
}

// grant adds the step that moves maxCost from the balance to the zone's grant. It
// requires that the term has not expired.
func (p *stepper) grant(d, zone int) {
	if p.state.balance() < maxCost || p.state.Daemons[d].Keeper.TermExpired {
		return
	}
	s := p.state
	s.Sections[zone].Grant += maxCost
	s.Daemons[d].Keeper.Granted += maxCost
	p.addStep(s, "grant to %d", d)
}

// reserve adds the steps that reserve a request's maximum cost and send an offer. If
// the keeper is the entry daemon itself, another daemon of the zone must witness the
// reservation.
func (p *stepper) reserve(d, r int) {
	s := p.state
	k := &s.Daemons[d].Keeper
	if s.Requests[r].Phase != PhaseNew || s.Offers[r].Present || k.Reserved[r] != 0 || k.Unflushed[r] != absent {
		return
	}
	if k.TermExpired && p.config.Fault != FaultNoDeadline {
		return
	}
	if k.free() < maxCost {
		return
	}
	k.Reserved[r] = maxCost
	s.Offers[r] = Offer{Present: true, Epoch: k.Epoch}
	isEntryDaemon := int(entryDaemonOf[r]) == d
	if !isEntryDaemon || p.config.Fault == FaultNoWitness || aloneInZone(d) {
		p.addStep(s, "reserve %d at %d", r, d)
		return
	}
	for w := range s.Daemons {
		if w != d && !s.Daemons[w].Dead && zoneOf[w] == zoneOf[d] && s.Daemons[w].MinEpoch <= k.Epoch {
			t := s
			t.Daemons[w].Witnessed[r] = maxCost
			p.addStep(t, "reserve %d at %d, witness %d", r, d, w)
		}
	}
}

// aloneInZone reports whether a daemon is the only one in its zone.
func aloneInZone(d int) bool {
	for other := range zoneOf {
		if other != d && zoneOf[other] == zoneOf[d] {
			return false
		}
	}
	return true
}

// transfer adds the steps that transfer unreserved tokens from the first zone to the
// second by a message between daemons, without the store.
func (p *stepper) transfer(d int) {
	k := p.state.Daemons[d].Keeper
	if zoneOf[d] == 0 && !p.state.TransferStarted && !k.TermExpired && !k.Sealing && k.free() >= maxCost {
		p.sendTransfer(d)
	}
	if d == 3 && p.state.Transfer > 0 && !k.TransferReceived {
		s := p.state
		s.Daemons[d].Keeper.Granted += s.Transfer
		s.Daemons[d].Keeper.TransferReceived = true
		p.addStep(s, "transfer arrives")
	}
}

func (p *stepper) sendTransfer(d int) {
	for w := range p.state.Daemons {
		if w == d || p.state.Daemons[w].Dead || zoneOf[w] != zoneOf[d] || p.state.Daemons[w].MinEpoch > p.state.Daemons[d].Keeper.Epoch {
			continue
		}
		s := p.state
		s.Daemons[w].WitnessedTransfer = maxCost
		s.TransferStarted = true
		s.Transfer = maxCost
		s.TransferEpoch = p.state.Daemons[d].Keeper.Epoch
		if p.config.Fault != FaultCreditFirst {
			s.Daemons[d].Keeper.TransferSent = maxCost
			s.Daemons[d].Keeper.Granted -= maxCost
		}
		p.addStep(s, "transfer from %d, witness %d", d, w)
	}
}

// crash adds the step in which a daemon stops and does not restart.
func (p *stepper) crash(d int) {
	if p.state.Crashes == 0 {
		return
	}
	s := p.state
	s.Crashes--
	s.Daemons[d].Dead = true
	p.addStep(s, "crash of %d", d)
}

// operatorSteps adds the reclaim of the first zone's grant after its terms have
// expired, and an operator's release of the unaccounted tokens.
func (p *stepper) operatorSteps() {
	if p.allTermsExpired() && p.state.Sections[0].Grant > 0 && !p.state.TransferStarted {
		s := p.state
		s.Unaccounted += s.Sections[0].Grant + s.Sections[0].HeldGrant
		s.Sections[0].Grant = 0
		s.Sections[0].HeldGrant = 0
		p.addStep(s, "reclaim from zone 0")
	}
	if p.state.Unaccounted > 0 && !p.state.UnaccountedReleased && p.nothingInFlight() {
		s := p.state
		s.Unaccounted = 0
		s.UnaccountedReleased = true
		p.addStep(s, "operator releases")
	}
}

// allTermsExpired reports whether the term has expired at every keeper that the first
// zone has had, and whether the current keeper has no reservation or line against its
// grant. The other zones wait for the term after the last write of the section. A
// takeover is such a write: the wait restarts and covers the terms of all former
// keepers.
func (p *stepper) allTermsExpired() bool {
	holder := p.state.Sections[0].KeeperDaemon
	k := p.state.Daemons[holder].Keeper
	if k.free() != k.Granted {
		return false
	}
	for d := range p.state.Daemons {
		k := p.state.Daemons[d].Keeper
		if zoneOf[d] == 0 && k.Epoch > 0 && !k.TermExpired {
			return false
		}
	}
	return true
}

// nothingInFlight reports whether every request of the first zone is refused, billed or
// without an offer, and whether the ledger has applied the transfer. Operators wait for
// the dispatch deadline of every offer and for the longest request; an offer that can
// still be accepted therefore counts as in flight. The other zone must have written its
// section since then, and that write applies the transfers that it has received.
func (p *stepper) nothingInFlight() bool {
	if p.state.TransferStarted && !p.state.TransferApplied {
		return false
	}
	for r, q := range p.state.Requests {
		open := q.Phase == PhaseReserved || q.Phase == PhaseDispatched || q.Phase == PhaseDone
		open = open || (q.Phase == PhaseNew && p.state.Offers[r].Present)
		if zoneOf[entryDaemonOf[r]] == 0 && open && p.state.Billed[p.state.key(r)] == absent {
			return false
		}
	}
	return true
}
