package checker

// entry adds the steps of a request at its entry daemon.
func (p *stepper) entry(r int) {
	q := p.state.Requests[r]
	e := int(entryOf[r])
	switch q.Phase {
	case PhaseNew:
		p.accept(r, e)
	case PhaseReserved:
		s := p.state
		s.Requests[r].Phase = PhaseDispatched
		s.Requests[r].Used = worst
		p.emit(s, "dispatch %d", r)
	case PhaseDispatched:
		for used := int8(1); used <= worst; used++ {
			s := p.state
			s.Requests[r].Phase = PhaseDone
			s.Requests[r].Used = used
			p.emit(s, "end %d with %d", r, used)
		}
	case PhaseDone:
		p.settle(r, e)
	}
}

// accept takes an offer, or refuses one of a replaced keeper.
func (p *stepper) accept(r, e int) {
	offer := p.state.Offers[r]
	if !offer.Present {
		return
	}
	s := p.state
	if offer.Epoch < s.Daemons[e].MinEpoch {
		s.Requests[r].Phase = PhaseRefused
		p.emit(s, "refuse %d", r)
		return
	}
	s.Requests[r].Phase = PhaseReserved
	s.Requests[r].Epoch = offer.Epoch
	p.emit(s, "accept %d", r)
	lost := p.state
	lost.Requests[r].Phase = PhaseRefused
	p.emit(lost, "offer %d lost", r)
}

// settle sends a record to a keeper of the zone; the entry keeps it until it is billed.
func (p *stepper) settle(r, e int) {
	if p.state.Billed[p.state.key(r)] != absent {
		s := p.state
		s.Requests[r].Phase = PhaseSettled
		p.emit(s, "billed %d", r)
	}
	for d := range p.state.Daemons {
		k := p.state.Daemons[d].Keeper
		if zoneOf[d] != zoneOf[e] || k.Epoch == 0 || p.state.Daemons[d].Dead || k.Unflushed[r] != absent {
			continue
		}
		s := p.state
		s.Daemons[d].Keeper.settle(r, s.Requests[r].Used)
		p.emit(s, "settle %d at %d", r, d)
	}
}

// settle replaces a reservation by a line. A line without a reservation, or with
// one of the previous epoch, is late.
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
