package checker

// flush adds the step in which a keeper writes transfers and then its unflushed lines
// to the ledger, once with the store's response and once with a lost response. The
// transfers come first because the lines may spend the transferred tokens.
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

// bill settles one line unless its request key has been billed. A late line is taken
// from the held grant, any other from the grant; take draws the rest from the
// unaccounted tokens.
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

// take subtracts an amount from a ledger field, and from the unaccounted tokens what
// the field does not cover.
func (s *State) take(source *int8, amount int8) {
	available := min(*source, amount)
	*source -= available
	s.Unaccounted -= amount - available
}

// applyTransfer applies the transfer to the ledger, for the sender or the receiver. A
// transfer of an earlier epoch is taken from the held grant.
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
