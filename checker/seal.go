package checker

// takeover raises the epoch and makes a daemon the keeper of its zone.
func (p *stepper) takeover(d, zone int) {
	s := p.state
	if s.Sections[zone].Epoch >= 2 {
		return
	}
	s.Sections[zone].Epoch++
	s.Sections[zone].KeeperDaemon = int8(d)
	k := emptyKeeper()
	k.Epoch = s.Sections[zone].Epoch
	k.Sealing = true
	s.Sections[zone].HeldGrant += s.Sections[zone].Grant
	s.Sections[zone].Grant = 0
	s.Daemons[d].Keeper = k
	p.emit(s, "takeover by %d", d)
}

// seal collects one daemon's answer, or ends the seal when all have answered.
func (p *stepper) seal(d, zone int) {
	k := p.state.Daemons[d].Keeper
	if !k.Sealing {
		return
	}
	old := predecessor(zone)
	if p.config.Fault == FaultNoSeal {
		p.endSeal(d, zone, true)
		return
	}
	complete, trusted := true, true
	for other := range p.state.Daemons {
		if int(zoneOf[other]) != zone || other == old || k.Sealed&(1<<other) != 0 {
			continue
		}
		if p.state.Daemons[other].Dead {
			trusted = false
			continue
		}
		complete = false
		p.sealReply(d, other)
	}
	if complete {
		p.endSeal(d, zone, trusted)
	}
}

// predecessor returns the first keeper of a zone.
func predecessor(zone int) int {
	if zone == 0 {
		return 0
	}
	return 3
}

// sealReply raises a daemon's floor and takes over the records it has.
func (p *stepper) sealReply(d, other int) {
	s := p.state
	k := &s.Daemons[d].Keeper
	if p.config.Fault != FaultNoEpoch {
		s.Daemons[other].MinEpoch = k.Epoch
	}
	k.Sealed |= 1 << other
	for r, q := range s.Requests {
		if s.Offers[r].Epoch >= k.Epoch || k.Settled&(1<<r) != 0 {
			continue
		}
		if s.Daemons[other].Witnessed[r] != absent && k.Unflushed[r] == absent {
			k.Reserved[r] = s.Daemons[other].Witnessed[r]
			k.Inherited |= 1 << r
		}
		if int(entryOf[r]) != other {
			continue
		}
		switch q.Phase {
		case PhaseReserved, PhaseDispatched:
			if k.Reserved[r] == 0 {
				k.Reserved[r] = worst
				k.Inherited |= 1 << r
			}
		case PhaseDone:
			if k.Reserved[r] == 0 && k.Unflushed[r] == absent {
				k.Unflushed[r] = q.Used
				k.Late |= 1 << r
			}
		}
	}
	k.TransferSent = max(k.TransferSent, s.Daemons[other].WitnessedTransfer)
	p.emit(s, "seal of %d by %d", other, d)
}

// endSeal frees the rest of the held grant, or sets it aside when a record may be lost.
func (p *stepper) endSeal(d, zone int, trusted bool) {
	s := p.state
	k := &s.Daemons[d].Keeper
	section := &s.Sections[zone]
	if k.TransferSent > 0 && !s.TransferApplied {
		s.applyTransfer()
	}
	s.dropBilled(k)
	keep := section.HeldGrant
	if !trusted {
		keep = min(keep, k.known())
	}
	s.Unaccounted += section.HeldGrant - keep
	section.Grant += keep
	section.HeldGrant = 0
	k.Granted = section.Grant
	k.Sealing = false
	k.Inherited = 0
	k.Late = 0
	p.emit(s, "seal ends at %d", d)
}

// dropBilled forgets what the keeper learned of requests whose key is billed, as
// it finds when it reads the ledger for the write that ends the seal. Nothing is
// charged for them any more.
func (s *State) dropBilled(k *Keeper) {
	for r := range k.Unflushed {
		bit := int8(1) << r
		if s.Billed[s.key(r)] == absent {
			continue
		}
		if k.Late&bit != 0 {
			k.Unflushed[r] = absent
			k.Late &^= bit
		}
		if k.Inherited&bit != 0 {
			k.Reserved[r] = 0
			k.Inherited &^= bit
			k.Settled |= bit
		}
	}
}
