package allocator

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// Handover is a former keeper's state of one epoch, which it passes to its successor.
type Handover struct {
	Epoch contractor.Epoch `cbor:"1,keyasint"`
	// Complete is true when the keeper needed nothing more of the keepers before it.
	Complete bool              `cbor:"2,keyasint,omitempty"`
	Records  []reserver.Record `cbor:"3,keyasint,omitempty"`
	Sent     []biller.Transfer `cbor:"4,keyasint,omitempty"`
	Received []biller.Transfer `cbor:"5,keyasint,omitempty"`
	// PendingWrite is a write whose outcome the keeper did not know. PendingTransfers
	// are the transfers that the write applies.
	PendingWrite     biller.OperationID  `cbor:"6,keyasint,omitempty"`
	PendingTransfers []biller.TransferID `cbor:"7,keyasint,omitempty"`
}

// dropApplied removes the received transfers of a pending write that has taken effect.
// The sent ones stay, which keeps their amounts subtracted until the ledger is known to
// contain them.
func (h *Handover) dropApplied(lastWrite biller.OperationID) {
	if h.PendingWrite == 0 || h.PendingWrite != lastWrite {
		return
	}
	applied := func(t biller.Transfer) bool { return slices.Contains(h.PendingTransfers, t.ID) }
	h.Received = slices.DeleteFunc(slices.Clone(h.Received), applied)
}

// Report is a daemon's response to a seal: the state of its entry, and its state as a
// former keeper.
type Report struct {
	Entry reserver.SealResponse `cbor:"1,keyasint"`
	// Handovers are those of the daemon's own epochs, back to the last complete one.
	Handovers []Handover `cbor:"2,keyasint,omitempty"`
}

func (r *Report) handover(epoch contractor.Epoch) *Handover {
	for i := range r.Handovers {
		if r.Handovers[i].Epoch == epoch {
			return &r.Handovers[i]
		}
	}
	return nil
}

// sealing collects what the zone's daemons know of earlier epochs.
type sealing struct {
	since   time.Time
	records map[reserver.Ref]reserver.Record
	reports map[reserver.DaemonID]Report
}

// add keeps the better record of a reservation: a settlement is better than an open
// reservation.
func (s *sealing) add(v reserver.Record) {
	if old, ok := s.records[v.Ref]; ok && old.Settled {
		return
	}
	s.records[v.Ref] = v
}

// Open makes the daemon the keeper of an account after it has raised the section's
// epoch. started is the time before that write.
func (a *Allocator) Open(started time.Time, l *biller.Ledger, revision contractor.Revision) {
	s := a.shard(l.Account)
	defer s.mu.Unlock()
	acc := newAccount(l.Account)
	acc.adopt(a.config.Zone, l)
	acc.revision = revision
	acc.writtenAt, acc.flushedAt, acc.ratesUpdatedAt = started, started, started
	acc.observeSections(started, l)
	s.accounts[l.Account] = acc
	if acc.section.Epoch == 1 {
		acc.accounted, acc.resolved = true, true
		return
	}
	acc.sealing = &sealing{
		since:   started,
		records: make(map[reserver.Ref]reserver.Record),
		reports: make(map[reserver.DaemonID]Report),
	}
}

// Report adds a daemon's response to the seal of an epoch.
func (a *Allocator) Report(name contractor.Account, epoch contractor.Epoch, from reserver.DaemonID, report Report) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.sealing == nil || acc.section.Epoch != epoch {
		return
	}
	acc.sealing.reports[from] = report
}

// SealState is the progress of a seal.
type SealState uint8

const (
	// SealDone means that no grants of earlier epochs are held back any more.
	SealDone SealState = iota
	// SealWaiting means that more daemons have to respond first.
	SealWaiting
	// SealReplaced means that the daemon is no longer the keeper of the account.
	SealReplaced
)

// SealOutcome is the result of FinishSeal.
type SealOutcome struct {
	State SealState
	// Waiting are the daemons that have not responded.
	Waiting []reserver.DaemonID
	// Unaccounted is the sum, over all budgets, of the grants whose use remains
	// unknown.
	Unaccounted contractor.Tokens
	// Recovered is the number of reservations and settlements taken over.
	Recovered int
}

// FinishSeal ends a seal when enough is known. registered are the daemons of the zone
// that were registered after the epoch was raised. gone reports which incarnations have
// ended.
//
// The keeper's own response is always needed. One other daemon may be missing: when it
// is a former keeper, its witness has the state, and when it is an entry, the former
// keeper has it. When a second one is missing, both copies of a record may be lost. The
// seal then waits until the missing daemons are known to be gone, and the remaining old
// grants become unaccounted.
func (a *Allocator) FinishSeal(now time.Time, name contractor.Account, epoch contractor.Epoch,
	registered []reserver.DaemonID, gone func(reserver.DaemonID) bool) SealOutcome {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.section.Epoch != epoch {
		return SealOutcome{State: SealReplaced}
	}
	if acc.sealing == nil {
		return SealOutcome{}
	}
	if _, ok := acc.sealing.reports[a.config.Self]; !ok {
		return SealOutcome{State: SealWaiting, Waiting: []reserver.DaemonID{a.config.Self}}
	}
	progress := acc.sealProgress(registered)
	if progress.accounted() {
		if len(progress.missing) > 0 && !allGone(progress.missing, gone) && now.Sub(acc.sealing.since) < a.config.SealTimeout {
			return SealOutcome{State: SealWaiting, Waiting: progress.missing}
		}
	} else if !allGone(progress.missing, gone) {
		return SealOutcome{State: SealWaiting, Waiting: progress.missing}
	}
	return acc.endSeal(now, progress)
}

func allGone(daemons []reserver.DaemonID, gone func(reserver.DaemonID) bool) bool {
	for _, h := range daemons {
		if !gone(h) {
			return false
		}
	}
	return true
}

// sealProgress is what the responses to a seal say so far.
type sealProgress struct {
	missing []reserver.DaemonID
	// stateLost is the number of former keepers that responded but have lost their
	// state.
	stateLost int
	// unwitnessed is true when a former keeper without a handover had no witness.
	unwitnessed bool
	// predecessorClosed is true when neither a handover nor a witness covers the epochs
	// before the oldest former keeper, because the keeper before it had closed its
	// section in a planned stop.
	predecessorClosed bool
	handovers         []*Handover
	witnessed         []reserver.WitnessedState
}

// accounted reports whether at least one of the two copies of every record is known.
func (p *sealProgress) accounted() bool {
	lost := len(p.missing) + p.stateLost
	if p.predecessorClosed {
		lost++
	}
	return lost <= 1 && !p.unwitnessed
}

// sealProgress goes through the former keepers, newest first, until one of them needed
// nothing more of those before it.
func (a *account) sealProgress(registered []reserver.DaemonID) sealProgress {
	progress := sealProgress{predecessorClosed: true}
	var covered []reserver.DaemonID
	daemons := slices.Clone(registered)
	for _, f := range a.section.FormerKeepers {
		formerKeeper := reserver.DaemonID{VM: f.VM, Incarnation: f.Incarnation}
		if !slices.Contains(daemons, formerKeeper) {
			daemons = append(daemons, formerKeeper)
		}
		report, replied := a.sealing.reports[formerKeeper]
		if h := report.handover(f.Epoch); h != nil {
			h.dropApplied(f.Operation)
			progress.handovers = append(progress.handovers, h)
			if h.Complete || f.Resolved {
				progress.predecessorClosed = false
				break
			}
			continue
		}
		if replied {
			progress.stateLost++
		}
		progress.unwitnessed = progress.unwitnessed || f.Unwitnessed
		newest := a.newestWitnessed(f.Epoch)
		covered = append(covered, newest.CoveredDaemons...)
		progress.witnessed = append(progress.witnessed, newest)
		if newest.Complete || f.Resolved {
			progress.predecessorClosed = false
			break
		}
	}
	for _, h := range daemons {
		if _, ok := a.sealing.reports[h]; !ok && !slices.Contains(covered, h) {
			progress.missing = append(progress.missing, h)
		}
	}
	return progress
}

// newestWitnessed returns the newest state that a witness has of an epoch.
func (a *account) newestWitnessed(epoch contractor.Epoch) reserver.WitnessedState {
	var newest reserver.WitnessedState
	for _, r := range a.sealing.reports {
		for _, w := range r.Entry.Witnessed {
			if w.Epoch == epoch && (newest.Epoch == 0 || w.Generation > newest.Generation) {
				newest = w
			}
		}
	}
	return newest
}

// endSeal takes over the reported state. The rest of the old grants is free if they are
// accounted for, and otherwise unaccounted.
func (a *account) endSeal(now time.Time, progress sealProgress) SealOutcome {
	seal := a.sealing
	a.sealing = nil
	for _, r := range seal.reports {
		for _, v := range r.Entry.Records {
			seal.add(v)
		}
	}
	a.accounted = progress.accounted()
	for _, h := range progress.handovers {
		a.recoverState(seal, h.Records, h.Sent)
		for _, t := range h.Received {
			a.recoverReceived(t)
		}
	}
	for _, w := range progress.witnessed {
		a.recoverState(seal, w.Records, w.Transfers)
	}
	for _, v := range seal.records {
		a.recoverRecord(now, v)
	}
	a.markGone(progress.missing)
	a.witness.peer, a.witness.confirmed = reserver.DaemonID{}, false
	outcome := SealOutcome{Recovered: len(seal.records)}
	for i := range a.budgets {
		b := &a.budgets[i]
		b.accounted = a.accounted
		if !a.accounted {
			outcome.Unaccounted += b.held
		}
	}
	return outcome
}

func (a *account) recoverState(seal *sealing, records []reserver.Record, sent []biller.Transfer) {
	for _, v := range records {
		seal.add(v)
	}
	for _, t := range sent {
		b := a.budget(t.Budget)
		if a.sent[t.ID] != nil || b == nil || !a.accounted || slices.Contains(a.appliedTransfers, t.ID) {
			continue
		}
		a.sent[t.ID] = &sentTransfer{transfer: t, recovered: true}
		b.transferred -= t.Amount
	}
}

func (a *account) recoverReceived(t biller.Transfer) {
	b := a.budget(t.Budget)
	if _, ok := a.received[t.ID]; ok || b == nil || slices.Contains(a.appliedTransfers, t.ID) {
		return
	}
	a.received[t.ID] = t
	b.transferred += t.Amount
}

// recoverRecord takes over one reservation or settlement of an earlier epoch. Unless
// the former keepers' grants are accounted for, they are unaccounted as a whole, and
// the record draws on the unaccounted amount when it is flushed.
func (a *account) recoverRecord(now time.Time, v reserver.Record) {
	b := a.budget(v.Budget)
	if _, ok := a.reservations[v.Ref]; ok || b == nil || v.Epoch >= a.section.Epoch {
		return
	}
	r := &reservation{record: v, reservedAt: now, recheck: true, late: !a.accounted, fromUnaccounted: !a.accounted}
	if v.Settled && v.Used == 0 {
		return
	}
	a.reservations[v.Ref] = r
	if v.Settled {
		a.settled = append(a.settled, r)
	}
	if r.late {
		return
	}
	if v.Settled {
		b.unflushed += v.Used
		return
	}
	b.reserved += v.Amount
}

// formerEpochs are the handovers of a daemon's earlier epochs, oldest first, which
// successors may request again.
type formerEpochs struct {
	handovers     []Handover
	steppedDownAt time.Time
}

// StepDown ends the keeper's duty for an account in favour of a later epoch. It returns
// the daemon's handovers of its earlier epochs.
func (a *Allocator) StepDown(now time.Time, name contractor.Account, epoch contractor.Epoch) []Handover {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if ok && acc.section.Epoch < epoch {
		s.stepDown(now, acc)
	}
	var earlier []Handover
	for _, h := range s.formerEpochs[name].handovers {
		if h.Epoch < epoch {
			earlier = append(earlier, h)
		}
	}
	return earlier
}

// stepDown keeps the handovers of an account back to the last complete one.
func (s *shard) stepDown(now time.Time, acc *account) {
	h := acc.handover()
	var kept []Handover
	if !h.Complete {
		kept = s.formerEpochs[acc.name].handovers
	}
	s.formerEpochs[acc.name] = formerEpochs{append(slices.Clone(kept), h), now}
	delete(s.accounts, acc.name)
}

// complete reports whether the keeper needs nothing more of the former keepers. Grants
// that it could not account for must be marked in the ledger first; otherwise a
// successor would take them for free.
func (a *account) complete() bool {
	return a.sealing == nil && (a.accounted || a.resolved)
}

// exportRecord returns the record for other daemons. They get a lost reservation as
// open, because its charge is not known to be its use.
func (r *reservation) exportRecord() reserver.Record {
	v := r.record
	if r.unconfirmed {
		v.Settled, v.Used = false, 0
	}
	return v
}

func (a *account) handover() Handover {
	h := Handover{Epoch: a.section.Epoch, Complete: a.complete()}
	for _, r := range a.reservations {
		h.Records = append(h.Records, r.exportRecord())
	}
	if a.sealing != nil {
		for _, v := range a.sealing.records {
			h.Records = append(h.Records, v)
		}
	}
	for _, sent := range a.sent {
		h.Sent = append(h.Sent, sent.transfer)
	}
	for _, t := range a.received {
		h.Received = append(h.Received, t)
	}
	if a.plan != nil {
		h.PendingWrite = a.plan.Section.Operation
		for _, t := range a.plan.Transfers {
			h.PendingTransfers = append(h.PendingTransfers, t.ID)
		}
	}
	return h
}

func (s *shard) forgetFormerEpochs(now time.Time, after time.Duration) {
	for name, v := range s.formerEpochs {
		if now.Sub(v.steppedDownAt) > after {
			delete(s.formerEpochs, name)
		}
	}
}
