package allocator

import (
	"slices"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// witness is the daemon that replicates what otherwise only the keeper's daemon knows:
// the reservations of its own entry and of entries that are gone, and sent transfers.
type witness struct {
	peer       reserver.DaemonID
	generation uint64
	// confirmed is true once the peer has confirmed the full state of a keeper whose
	// seal is done.
	confirmed      bool
	covered        []reserver.DaemonID
	changed        map[reserver.Ref]struct{}
	dropped        []reserver.Ref
	endedTransfers []biller.TransferID
}

func (w *witness) markChanged(ref reserver.Ref) {
	if w.peer.VM == "" {
		return
	}
	if w.changed == nil {
		w.changed = make(map[reserver.Ref]struct{})
	}
	w.changed[ref] = struct{}{}
}

func (w *witness) markDropped(ref reserver.Ref) {
	if w.peer.VM == "" {
		return
	}
	delete(w.changed, ref)
	w.dropped = append(w.dropped, ref)
}

func (w *witness) reset() {
	clear(w.changed)
	w.dropped, w.endedTransfers = nil, nil
}

// Witness returns the witness of an account. It is empty when there is none yet.
func (a *Allocator) Witness(name contractor.Account) reserver.DaemonID {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		return acc.witness.peer
	}
	return reserver.DaemonID{}
}

// SetWitness makes a daemon the witness of an account. It returns the full state, which
// the daemon has to confirm before the keeper relies on it.
func (a *Allocator) SetWitness(name contractor.Account, peer reserver.DaemonID) (reserver.WitnessUpdate, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return reserver.WitnessUpdate{}, false
	}
	w := &acc.witness
	w.reset()
	w.peer, w.confirmed = peer, false
	acc.wantUnwitnessed = false
	w.generation++
	u := acc.newUpdate()
	u.Full, u.Complete, u.CoveredDaemons = true, acc.complete(), w.covered
	for ref, r := range acc.reservations {
		if acc.witnessed(ref, a.config.Self) {
			u.Records = append(u.Records, r.exportRecord())
		}
	}
	for _, sent := range acc.sent {
		u.Transfers = append(u.Transfers, sent.transfer)
	}
	return u, true
}

// RemoveWitness removes a witness that could not be reached, unless another one has
// replaced it.
func (a *Allocator) RemoveWitness(name contractor.Account, generation uint64) {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok && acc.witness.generation == generation {
		acc.witness.peer, acc.witness.confirmed = reserver.DaemonID{}, false
		acc.witness.reset()
	}
}

// ConfirmWitness notes that the witness has stored the full update of a generation.
func (a *Allocator) ConfirmWitness(name contractor.Account, u reserver.WitnessUpdate) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if ok && u.Full && u.Complete && u.Epoch == acc.section.Epoch && u.Generation == acc.witness.generation {
		acc.witness.confirmed = true
	}
}

// resolvable reports whether the ledger may forget the former keepers: no reservation
// or transfer of theirs is known to this daemon alone.
func (a *account) resolvable(self reserver.DaemonID) bool {
	switch {
	case a.sealing != nil:
		return false
	case a.resolved, a.witness.confirmed, a.section.Unwitnessed:
		return true
	}
	for ref := range a.reservations {
		if a.witnessed(ref, self) {
			return false
		}
	}
	return len(a.sent) == 0
}

// RequestUnwitnessed requests a section without a witness. The next write of the ledger
// makes it so.
func (a *Allocator) RequestUnwitnessed(name contractor.Account) {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		acc.wantUnwitnessed = true
	}
}

// WitnessReservation returns the update that sends one reservation to the witness.
func (a *Allocator) WitnessReservation(name contractor.Account, ref reserver.Ref) (reserver.WitnessUpdate, reserver.DaemonID, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	r, ok := acc.reservations[ref]
	if !ok {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	u := acc.newUpdate()
	u.Records = []reserver.Record{r.exportRecord()}
	return u, acc.witness.peer, true
}

// WitnessTransfer returns the update that sends one transfer to the witness.
func (a *Allocator) WitnessTransfer(name contractor.Account, id biller.TransferID) (reserver.WitnessUpdate, reserver.DaemonID, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.sent[id] == nil {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	u := acc.newUpdate()
	u.Transfers = []biller.Transfer{acc.sent[id].transfer}
	return u, acc.witness.peer, true
}

// WitnessChanges returns the settled and forgotten reservations and the forgotten
// transfers since the last call. The witness counts as informed of them.
func (a *Allocator) WitnessChanges(name contractor.Account) (reserver.WitnessUpdate, reserver.DaemonID, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.witness.peer.VM == "" {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	u := acc.newUpdate()
	for ref := range acc.witness.changed {
		if r, ok := acc.reservations[ref]; ok && acc.witnessed(ref, a.config.Self) {
			u.Records = append(u.Records, r.exportRecord())
		}
	}
	for _, ref := range acc.witness.dropped {
		if acc.witnessed(ref, a.config.Self) {
			u.DropRecords = append(u.DropRecords, ref)
		}
	}
	u.DropTransfers = acc.witness.endedTransfers
	acc.witness.reset()
	return u, acc.witness.peer, len(u.Records)+len(u.DropRecords)+len(u.DropTransfers) > 0
}

// MarkGone notes that daemons are gone. The keeper's witnesses then also keep the
// reservations of their entries. It returns the accounts whose witness needs the full
// state again.
func (a *Allocator) MarkGone(gone []reserver.DaemonID) []contractor.Account {
	var names []contractor.Account
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name, acc := range s.accounts {
			if acc.markGone(gone) {
				names = append(names, name)
			}
		}
		s.mu.Unlock()
	}
	return names
}

// MarkGoneInAccount notes for one account that daemons are gone. The caller ensures
// that they have no reservations that the keeper does not know.
func (a *Allocator) MarkGoneInAccount(name contractor.Account, gone []reserver.DaemonID) {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		acc.markGone(gone)
	}
}

func (a *account) markGone(gone []reserver.DaemonID) bool {
	before := len(a.witness.covered)
	for _, h := range gone {
		if !slices.Contains(a.witness.covered, h) {
			a.witness.covered = append(a.witness.covered, h)
		}
	}
	return len(a.witness.covered) > before && a.witness.peer.VM != ""
}

func (a *account) newUpdate() reserver.WitnessUpdate {
	return reserver.WitnessUpdate{Account: a.name, Epoch: a.section.Epoch, Generation: a.witness.generation}
}

// witnessed reports whether the witness keeps a copy of a reservation.
func (a *account) witnessed(ref reserver.Ref, self reserver.DaemonID) bool {
	return ref.Entry == self || slices.Contains(a.witness.covered, ref.Entry)
}

// WitnessGeneration returns how many witnesses an account has had in this epoch.
func (a *Allocator) WitnessGeneration(name contractor.Account) uint64 {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		return acc.witness.generation
	}
	return 0
}

// Unwitnessed reports whether the keeper of an account may serve without a witness.
func (a *Allocator) Unwitnessed(name contractor.Account) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	return ok && acc.unwitnessed()
}

// MayBeUnwitnessed reports whether the ledger allows the keeper of an account to serve
// without a witness.
func (a *Allocator) MayBeUnwitnessed(name contractor.Account) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	return ok && acc.section.Unwitnessed
}
