package checker

// takeover adds the step in which a daemon raises the epoch and becomes the keeper of
// its zone. The grant is held until the seal ends. Each zone has at most one takeover.
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
	p.addStep(s, "takeover by %d", d)
}

// seal adds the steps that collect one daemon's response to the seal, and the step
// that ends the seal when all live daemons have responded. The former keeper and dead
// daemons do not respond.
func (p *stepper) seal(d, zone int) {
	k := p.state.Daemons[d].Keeper
	if !k.Sealing {
		return
	}
	former := firstKeeper(zone)
	if p.config.Fault == FaultNoSeal {
		p.endSeal(d, zone, true)
		return
	}
	complete, allResponded := true, true
	for other := range p.state.Daemons {
		if int(zoneOf[other]) != zone || other == former || k.Sealed&(1<<other) != 0 {
			continue
		}
		if p.state.Daemons[other].Dead {
			allResponded = false
			continue
		}
		complete = false
		p.sealResponse(d, other)
	}
	if complete {
		p.endSeal(d, zone, allResponded)
	}
}

// firstKeeper returns the keeper of a zone in the initial state.
func firstKeeper(zone int) int {
	if zone == 0 {
		return 0
	}
	return 3
}

// sealResponse adds the step in which a daemon rejects earlier epochs from then on and
// the new keeper takes over the records that the daemon has.
func (p *stepper) sealResponse(d, other int) {
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
		if int(entryDaemonOf[r]) != other {
			continue
		}
		switch q.Phase {
		case PhaseReserved, PhaseDispatched:
			if k.Reserved[r] == 0 {
				k.Reserved[r] = maxCost
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
	p.addStep(s, "seal of %d by %d", other, d)
}

// endSeal adds the step that returns the held grant to the grant. Unless all daemons
// responded, a record may be lost: then only the recorded part is returned and the
// rest becomes unaccounted.
func (p *stepper) endSeal(d, zone int, allResponded bool) {
	s := p.state
	k := &s.Daemons[d].Keeper
	section := &s.Sections[zone]
	if k.TransferSent > 0 && !s.TransferApplied {
		s.applyTransfer()
	}
	s.dropBilled(k)
	keep := section.HeldGrant
	if !allResponded {
		keep = min(keep, k.recorded())
	}
	s.Unaccounted += section.HeldGrant - keep
	section.Grant += keep
	section.HeldGrant = 0
	k.Granted = section.Grant
	k.Sealing = false
	k.Inherited = 0
	k.Late = 0
	p.addStep(s, "seal ends at %d", d)
}

// dropBilled drops the keeper's late lines and inherited reservations of requests
// whose key is billed already. The keeper reads the bill in the ledger for the write
// that ends the seal; these requests are not charged again.
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
