package checker

// entrySteps adds the steps of a request at its entry daemon.
func (p *stepper) entrySteps(r int) {
	q := p.state.Requests[r]
	e := int(entryDaemonOf[r])
	switch q.Phase {
	case PhaseNew:
		p.accept(r, e)
	case PhaseReserved:
		s := p.state
		s.Requests[r].Phase = PhaseDispatched
		s.Requests[r].Used = maxCost
		p.addStep(s, "dispatch %d", r)
	case PhaseDispatched:
		for used := int8(1); used <= maxCost; used++ {
			s := p.state
			s.Requests[r].Phase = PhaseDone
			s.Requests[r].Used = used
			p.addStep(s, "end %d with %d", r, used)
		}
	case PhaseDone:
		p.settle(r, e)
	}
}

// accept adds the steps in which an entry daemon receives an offer: it accepts the
// offer, or refuses it if the keeper has been replaced, or the offer is lost.
func (p *stepper) accept(r, e int) {
	offer := p.state.Offers[r]
	if !offer.Present {
		return
	}
	s := p.state
	if offer.Epoch < s.Daemons[e].MinEpoch {
		s.Requests[r].Phase = PhaseRefused
		p.addStep(s, "refuse %d", r)
		return
	}
	s.Requests[r].Phase = PhaseReserved
	s.Requests[r].Epoch = offer.Epoch
	p.addStep(s, "accept %d", r)
	lost := p.state
	lost.Requests[r].Phase = PhaseRefused
	p.addStep(lost, "offer %d lost", r)
}

// settle adds the steps in which an entry daemon sends the used tokens to a keeper of
// its zone. The entry daemon may send them again until they are billed.
func (p *stepper) settle(r, e int) {
	if p.state.Billed[p.state.key(r)] != absent {
		s := p.state
		s.Requests[r].Phase = PhaseSettled
		p.addStep(s, "billed %d", r)
	}
	for d := range p.state.Daemons {
		k := p.state.Daemons[d].Keeper
		if zoneOf[d] != zoneOf[e] || k.Epoch == 0 || p.state.Daemons[d].Dead || k.Unflushed[r] != absent {
			continue
		}
		s := p.state
		s.Daemons[d].Keeper.settle(r, s.Requests[r].Used)
		p.addStep(s, "settle %d at %d", r, d)
	}
}

// settle replaces a reservation by an unflushed line. A line without a reservation, or
// with one of the previous epoch, is late.
func (k *Keeper) settle(r int, used int8) {
	bit := int8(1) << r
	if k.Reserved[r] == 0 || k.Inherited&bit != 0 {
		k.Late |= bit
	}
	k.Reserved[r] = 0
	k.Settled |= bit
	k.Inherited &^= bit
	k.Unflushed[r] = used
}
