package allocator

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// Handover is what a former keeper tells its successor.
type Handover struct {
	Epoch contractor.Epoch `cbor:"1,keyasint"`
	// Complete is true when the keeper had taken over from its own predecessors.
	Complete bool              `cbor:"2,keyasint,omitempty"`
	Records  []reserver.Record `cbor:"3,keyasint,omitempty"`
	Out      []biller.Transfer `cbor:"4,keyasint,omitempty"`
	In       []biller.Transfer `cbor:"5,keyasint,omitempty"`
	// Pending is a write whose outcome the keeper did not know, and Writing are
	// the transfers that it applies.
	Pending biller.OperationID  `cbor:"6,keyasint,omitempty"`
	Writing []biller.TransferID `cbor:"7,keyasint,omitempty"`
}

// drop leaves out the received transfers of a pending write that has taken
// effect. Sent ones stay, which holds their amounts back until they are seen.
func (h *Handover) drop(last biller.OperationID) {
	if h.Pending == 0 || h.Pending != last {
		return
	}
	applied := func(t biller.Transfer) bool { return slices.Contains(h.Writing, t.ID) }
	h.In = slices.DeleteFunc(slices.Clone(h.In), applied)
}

// Report is a daemon's answer to a seal: what its entry knows, and what it
// knows as a former keeper.
type Report struct {
	Entry reserver.SealResponse `cbor:"1,keyasint"`
	// Handovers are those of the daemon's own epochs since it last had taken
	// everything over.
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

// sealing collects what the zone's daemons know of a predecessor's grants.
type sealing struct {
	since   time.Time
	records map[reserver.Ref]reserver.Record
	replied map[reserver.DaemonID]Report
}

// add keeps the best record of a reservation: a settlement is better than an
// open reservation.
func (s *sealing) add(v reserver.Record) {
	if old, ok := s.records[v.Ref]; ok && old.Settled {
		return
	}
	s.records[v.Ref] = v
}

// Open makes the daemon the keeper of an account after it has raised the
// section's epoch. started is the time before that write.
func (a *Allocator) Open(started time.Time, l *biller.Ledger, revision contractor.Revision) {
	s := a.shard(l.Account)
	defer s.mu.Unlock()
	acc := newAccount(l.Account)
	acc.adopt(a.config.Zone, l)
	acc.revision = revision
	acc.writtenAt, acc.flushedAt, acc.drawnAt = started, started, started
	acc.observe(started, l)
	s.accounts[l.Account] = acc
	if acc.section.Epoch == 1 {
		acc.trusted, acc.resolved = true, true
		return
	}
	acc.sealing = &sealing{
		since:   started,
		records: make(map[reserver.Ref]reserver.Record),
		replied: make(map[reserver.DaemonID]Report),
	}
}

// Report takes a daemon's answer to the seal of an epoch.
func (a *Allocator) Report(name contractor.Account, epoch contractor.Epoch, from reserver.DaemonID, report Report) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.sealing == nil || acc.section.Epoch != epoch {
		return
	}
	acc.sealing.replied[from] = report
}

// SealState is the progress of a seal.
type SealState uint8

const (
	// SealDone means that nothing is held back any more.
	SealDone SealState = iota
	// SealWaiting means that daemons have to answer first.
	SealWaiting
	// SealReplaced means that the daemon does not keep the account any more.
	SealReplaced
)

// SealOutcome is the result of FinishSeal.
type SealOutcome struct {
	State SealState
	// Waiting are the daemons that have not answered.
	Waiting []reserver.DaemonID
	// Unaccounted is what could not be trusted, all budgets together.
	Unaccounted contractor.Tokens
	// Recovered is the number of reservations and settlements taken over.
	Recovered int
}

// FinishSeal ends a seal when enough is known. registered are the daemons of
// the zone that were registered after the epoch was raised; gone reports which
// runs have ended.
//
// The keeper's own answer is needed in any case. One other daemon that does not
// answer is tolerated: a former keeper, because its
// witness answers, or an entry, because the former keeper answers. With a
// second one both copies of a record may be lost; once they are known to be
// gone, the rest of the old grants is unaccounted.
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
	if _, ok := acc.sealing.replied[a.config.Self]; !ok {
		return SealOutcome{State: SealWaiting, Waiting: []reserver.DaemonID{a.config.Self}}
	}
	view := acc.viewSeal(registered)
	if view.trusted() {
		if len(view.silent) > 0 && !allGone(view.silent, gone) && now.Sub(acc.sealing.since) < a.config.SilentWait {
			return SealOutcome{State: SealWaiting, Waiting: view.silent}
		}
	} else if !allGone(view.silent, gone) {
		return SealOutcome{State: SealWaiting, Waiting: view.silent}
	}
	return acc.unseal(now, view)
}

func allGone(holders []reserver.DaemonID, gone func(reserver.DaemonID) bool) bool {
	for _, h := range holders {
		if !gone(h) {
			return false
		}
	}
	return true
}

// sealView is what the answers to a seal say so far.
type sealView struct {
	silent []reserver.DaemonID
	// lost is the number of former keepers that answer and know nothing any more.
	lost int
	// alone is true when a silent former keeper had no witness.
	alone bool
	// closed is true when nobody answers for the oldest former keeper's
	// predecessor, which had ended its duty in a planned stop.
	closed    bool
	handovers []*Handover
	witnessed []reserver.WitnessedState
}

func (v *sealView) trusted() bool {
	lost := len(v.silent) + v.lost
	if v.closed {
		lost++
	}
	return lost <= 1 && !v.alone
}

// viewSeal goes through the former keepers, newest first, until one of them
// had taken everything over from those before it.
func (a *account) viewSeal(registered []reserver.DaemonID) sealView {
	view := sealView{closed: true}
	var covered []reserver.DaemonID
	asked := slices.Clone(registered)
	for _, f := range a.section.FormerKeepers {
		holder := reserver.DaemonID{VM: f.VM, Incarnation: f.Incarnation}
		if !slices.Contains(asked, holder) {
			asked = append(asked, holder)
		}
		report, replied := a.sealing.replied[holder]
		if h := report.handover(f.Epoch); h != nil {
			h.drop(f.Operation)
			view.handovers = append(view.handovers, h)
			if h.Complete || f.Resolved {
				view.closed = false
				break
			}
			continue
		}
		if replied {
			view.lost++
		}
		view.alone = view.alone || f.Unwitnessed
		best := a.bestWitnessed(f.Epoch)
		covered = append(covered, best.CoveredDaemons...)
		view.witnessed = append(view.witnessed, best)
		if best.Complete || f.Resolved {
			view.closed = false
			break
		}
	}
	for _, h := range asked {
		if _, ok := a.sealing.replied[h]; !ok && !slices.Contains(covered, h) {
			view.silent = append(view.silent, h)
		}
	}
	return view
}

// bestWitnessed returns the newest state that a witness has of an epoch.
func (a *account) bestWitnessed(epoch contractor.Epoch) reserver.WitnessedState {
	var best reserver.WitnessedState
	for _, r := range a.sealing.replied {
		for _, w := range r.Entry.Witnessed {
			if w.Epoch == epoch && (best.Epoch == 0 || w.Generation > best.Generation) {
				best = w
			}
		}
	}
	return best
}

// unseal takes over what the answers say and frees the rest of the old grants.
func (a *account) unseal(now time.Time, view sealView) SealOutcome {
	seal := a.sealing
	a.sealing = nil
	for _, r := range seal.replied {
		for _, v := range r.Entry.Records {
			seal.add(v)
		}
	}
	a.trusted = view.trusted()
	for _, h := range view.handovers {
		a.recover(seal, h.Records, h.Out)
		for _, t := range h.In {
			a.recoverIn(t)
		}
	}
	for _, w := range view.witnessed {
		a.recover(seal, w.Records, w.Transfers)
	}
	for _, v := range seal.records {
		a.restore(now, v)
	}
	a.cover(view.silent)
	a.witness.peer, a.witness.kept = reserver.DaemonID{}, false
	outcome := SealOutcome{Recovered: len(seal.records)}
	for i := range a.budgets {
		b := &a.budgets[i]
		b.trusted = a.trusted
		if !a.trusted {
			outcome.Unaccounted += b.held
		}
	}
	return outcome
}

func (a *account) recover(seal *sealing, records []reserver.Record, out []biller.Transfer) {
	for _, v := range records {
		seal.add(v)
	}
	for _, t := range out {
		b := a.budget(t.Budget)
		if a.out[t.ID] != nil || b == nil || !a.trusted || slices.Contains(a.applied, t.ID) {
			continue
		}
		a.out[t.ID] = &outgoing{transfer: t, recovered: true}
		b.moved -= t.Amount
	}
}

func (a *account) recoverIn(t biller.Transfer) {
	b := a.budget(t.Budget)
	if _, ok := a.in[t.ID]; ok || b == nil || slices.Contains(a.applied, t.ID) {
		return
	}
	a.in[t.ID] = t
	b.moved += t.Amount
}

// restore takes over one reservation or settlement of an earlier epoch. Where
// the predecessors' grants are not trusted, they are unaccounted as a whole and
// the known part draws on them when it is flushed.
func (a *account) restore(now time.Time, v reserver.Record) {
	b := a.budget(v.Budget)
	if _, ok := a.items[v.Ref]; ok || b == nil || v.Epoch >= a.section.Epoch {
		return
	}
	it := &item{record: v, reservedAt: now, recheck: true, late: !a.trusted, old: !a.trusted}
	if v.Settled && v.Used == 0 {
		return
	}
	a.items[v.Ref] = it
	if v.Settled {
		a.lines = append(a.lines, it)
	}
	if it.late {
		return
	}
	if v.Settled {
		b.unflushed += v.Used
		return
	}
	b.reserved += v.Amount
}

// surrendered are handovers that successors may ask for again, oldest first.
type surrendered struct {
	handovers []Handover
	at        time.Time
}

// Surrender ends the keeper's duty for an account in favour of a higher epoch.
// It returns what the daemon knows of its own earlier epochs.
func (a *Allocator) Surrender(now time.Time, name contractor.Account, epoch contractor.Epoch) []Handover {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if ok && acc.section.Epoch < epoch {
		s.surrender(now, acc)
	}
	var earlier []Handover
	for _, h := range s.surrendered[name].handovers {
		if h.Epoch < epoch {
			earlier = append(earlier, h)
		}
	}
	return earlier
}

// surrender keeps the handovers of an account back to the last complete one.
func (s *shard) surrender(now time.Time, acc *account) {
	h := acc.handover()
	var kept []Handover
	if !h.Complete {
		kept = s.surrendered[acc.name].handovers
	}
	s.surrendered[acc.name] = surrendered{append(slices.Clone(kept), h), now}
	delete(s.accounts, acc.name)
}

// complete reports whether the keeper needs nothing of its predecessors any
// more. What it could not account for has to be in the ledger first, so that a
// successor does not take it for free.
func (a *account) complete() bool {
	return a.sealing == nil && (a.trusted || a.resolved)
}

// export returns what other daemons have to know of an item. A charge for a lost
// reservation is not known to be its use.
func (it *item) export() reserver.Record {
	v := it.record
	if it.unconfirmed {
		v.Settled, v.Used = false, 0
	}
	return v
}

func (a *account) handover() Handover {
	h := Handover{Epoch: a.section.Epoch, Complete: a.complete()}
	for _, it := range a.items {
		h.Records = append(h.Records, it.export())
	}
	if a.sealing != nil {
		for _, v := range a.sealing.records {
			h.Records = append(h.Records, v)
		}
	}
	for _, o := range a.out {
		h.Out = append(h.Out, o.transfer)
	}
	for _, t := range a.in {
		h.In = append(h.In, t)
	}
	if a.plan != nil {
		h.Pending = a.plan.Stamp.Operation
		for _, t := range a.plan.Transfers {
			h.Writing = append(h.Writing, t.ID)
		}
	}
	return h
}

func (s *shard) forgetSurrendered(now time.Time, after time.Duration) {
	for name, v := range s.surrendered {
		if now.Sub(v.at) > after {
			delete(s.surrendered, name)
		}
	}
}
