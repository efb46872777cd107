package checker

// flush writes transfers and then the unflushed lines into the ledger, with or
// without a lost answer. The lines may spend what the transfer brought.
func (p *stepper) flush(d, zone int) {
	s := p.state
	k := &s.Daemons[d].Keeper
	changed := false
	if (k.TransferSent > 0 || k.TransferReceived) && !s.TransferApplied {
		s.applyTransfer()
		changed = true
	}
	for r := range k.Unflushed {
		if k.Unflushed[r] == absent {
			continue
		}
		changed = true
		s.bill(p.config.Fault, r, zone, k)
		k.Unflushed[r] = absent
		k.Late &^= 1 << r
	}
	if !changed {
		return
	}
	lost := s
	lost.Daemons[d].Keeper.Unflushed = p.state.Daemons[d].Keeper.Unflushed
	lost.Daemons[d].Keeper.Late = p.state.Daemons[d].Keeper.Late
	k.Granted = s.Sections[zone].Grant
	p.addStep(s, "flush by %d", d)
	p.addStep(lost, "flush by %d, answer lost", d)
}

// bill settles one line, unless its key has been billed. A late line is taken
// from the held grant or from what was set aside.
func (s *State) bill(fault Fault, r, zone int, k *Keeper) {
	key := s.key(r)
	used := k.Unflushed[r]
	if s.Billed[key] != absent {
		if fault != FaultNoDedup {
			return
		}
		s.BilledTwice = true
	}
	s.Billed[key] = used
	s.Settled += used
	section := &s.Sections[zone]
	source := &section.Grant
	if k.Late&(1<<r) != 0 {
		source = &section.HeldGrant
	}
	s.take(source, used)
}

// take lowers an amount of the ledger, and what was set aside by the rest.
func (s *State) take(source *int8, amount int8) {
	available := min(*source, amount)
	*source -= available
	s.Unaccounted -= amount - available
}

// applyTransfer moves the transfer in the ledger, on behalf of the sender or of
// the receiver. A transfer of an earlier epoch is part of the held grant.
func (s *State) applyTransfer() {
	section := &s.Sections[0]
	source := &section.Grant
	if s.TransferEpoch < section.Epoch {
		source = &section.HeldGrant
	}
	s.take(source, s.Transfer)
	s.Sections[1].Grant += s.Transfer
	s.TransferApplied = true
}
