package allocator

import (
	"slices"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// witness is the second daemon that knows what only the keeper knows: the
// reservations of its own entry and of entries that are gone, and transfers.
type witness struct {
	peer       reserver.DaemonID
	generation uint64
	// kept is true once the peer has the whole state of a keeper that has taken
	// everything over.
	kept      bool
	covers    []reserver.DaemonID
	changed   map[reserver.Ref]struct{}
	dropped   []reserver.Ref
	transfers []biller.TransferID
}

func (w *witness) change(ref reserver.Ref) {
	if w.peer.VM == "" {
		return
	}
	if w.changed == nil {
		w.changed = make(map[reserver.Ref]struct{})
	}
	w.changed[ref] = struct{}{}
}

func (w *witness) drop(ref reserver.Ref) {
	if w.peer.VM == "" {
		return
	}
	delete(w.changed, ref)
	w.dropped = append(w.dropped, ref)
}

func (w *witness) reset() {
	clear(w.changed)
	w.dropped, w.transfers = nil, nil
}

// Witness returns the daemon that witnesses for an account. It is empty when
// there is none yet.
func (a *Allocator) Witness(name contractor.Account) reserver.DaemonID {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		return acc.witness.peer
	}
	return reserver.DaemonID{}
}

// SetWitness makes a daemon the witness of an account and returns the whole
// state that it has to keep before anything relies on it.
func (a *Allocator) SetWitness(name contractor.Account, peer reserver.DaemonID) (reserver.WitnessUpdate, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return reserver.WitnessUpdate{}, false
	}
	w := &acc.witness
	w.reset()
	w.peer, w.kept = peer, false
	acc.wantAlone = false
	w.generation++
	u := acc.update()
	u.Full, u.Complete, u.CoveredDaemons = true, acc.complete(), w.covers
	for ref, it := range acc.items {
		if acc.witnesses(ref, a.config.Self) {
			u.Records = append(u.Records, it.export())
		}
	}
	for _, o := range acc.out {
		u.Transfers = append(u.Transfers, o.transfer)
	}
	return u, true
}

// LoseWitness forgets a witness that could not be reached, unless another one
// has taken its place.
func (a *Allocator) LoseWitness(name contractor.Account, generation uint64) {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok && acc.witness.generation == generation {
		acc.witness.peer, acc.witness.kept = reserver.DaemonID{}, false
		acc.witness.reset()
	}
}

// WitnessKept notes that a daemon keeps the whole update of a generation.
func (a *Allocator) WitnessKept(name contractor.Account, u reserver.WitnessUpdate) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if ok && u.Full && u.Complete && u.Epoch == acc.section.Epoch && u.Generation == acc.witness.generation {
		acc.witness.kept = true
	}
}

// resolvable reports whether the ledger may forget the former keepers: nothing
// that they gave is known to this daemon alone.
func (a *account) resolvable(self reserver.DaemonID) bool {
	switch {
	case a.sealing != nil:
		return false
	case a.resolved, a.witness.kept, a.section.Unwitnessed:
		return true
	}
	for ref := range a.items {
		if a.witnesses(ref, self) {
			return false
		}
	}
	return len(a.out) == 0
}

// WantAlone asks for a section without a witness, which the next write of the
// ledger grants.
func (a *Allocator) WantAlone(name contractor.Account) {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		acc.wantAlone = true
	}
}

// WitnessReservation returns the update that makes one reservation known to
// the witness.
func (a *Allocator) WitnessReservation(name contractor.Account, ref reserver.Ref) (reserver.WitnessUpdate, reserver.DaemonID, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	it, ok := acc.items[ref]
	if !ok {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	u := acc.update()
	u.Records = []reserver.Record{it.export()}
	return u, acc.witness.peer, true
}

// WitnessTransfer returns the update that makes a transfer known to the witness.
func (a *Allocator) WitnessTransfer(name contractor.Account, id biller.TransferID) (reserver.WitnessUpdate, reserver.DaemonID, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.out[id] == nil {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	u := acc.update()
	u.Transfers = []biller.Transfer{acc.out[id].transfer}
	return u, acc.witness.peer, true
}

// WitnessChanges returns the settlements and ends of reservations that the
// witness has not been told yet. They count as told.
func (a *Allocator) WitnessChanges(name contractor.Account) (reserver.WitnessUpdate, reserver.DaemonID, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.witness.peer.VM == "" {
		return reserver.WitnessUpdate{}, reserver.DaemonID{}, false
	}
	u := acc.update()
	for ref := range acc.witness.changed {
		if it, ok := acc.items[ref]; ok && acc.witnesses(ref, a.config.Self) {
			u.Records = append(u.Records, it.export())
		}
	}
	for _, ref := range acc.witness.dropped {
		if acc.witnesses(ref, a.config.Self) {
			u.DropRecords = append(u.DropRecords, ref)
		}
	}
	u.DropTransfers = acc.witness.transfers
	acc.witness.reset()
	return u, acc.witness.peer, len(u.Records)+len(u.DropRecords)+len(u.DropTransfers) > 0
}

// Cover tells the allocator that daemons are gone. It returns the accounts
// whose witness has to get the whole state again.
func (a *Allocator) Cover(gone []reserver.DaemonID) []contractor.Account {
	var names []contractor.Account
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for name, acc := range s.accounts {
			if acc.cover(gone) {
				names = append(names, name)
			}
		}
		s.mu.Unlock()
	}
	return names
}

// CoverAccount tells the keeper of one account that daemons are gone and have
// no reservations that it does not know.
func (a *Allocator) CoverAccount(name contractor.Account, gone []reserver.DaemonID) {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		acc.cover(gone)
	}
}

func (a *account) cover(gone []reserver.DaemonID) bool {
	before := len(a.witness.covers)
	for _, h := range gone {
		if !slices.Contains(a.witness.covers, h) {
			a.witness.covers = append(a.witness.covers, h)
		}
	}
	return len(a.witness.covers) > before && a.witness.peer.VM != ""
}

func (a *account) update() reserver.WitnessUpdate {
	return reserver.WitnessUpdate{Account: a.name, Epoch: a.section.Epoch, Generation: a.witness.generation}
}

func (a *account) witnesses(ref reserver.Ref, self reserver.DaemonID) bool {
	return ref.Entry == self || slices.Contains(a.witness.covers, ref.Entry)
}

// WitnessGeneration returns the number of witnesses that an account has had.
func (a *Allocator) WitnessGeneration(name contractor.Account) uint64 {
	s := a.shard(name)
	defer s.mu.Unlock()
	if acc, ok := s.accounts[name]; ok {
		return acc.witness.generation
	}
	return 0
}

// Alone reports whether the keeper of an account may serve without a witness.
func (a *Allocator) Alone(name contractor.Account) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	return ok && acc.alone()
}

// MayBeAlone reports whether the ledger lets the keeper of an account serve
// without a witness.
func (a *Allocator) MayBeAlone(name contractor.Account) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	return ok && acc.section.Unwitnessed
}
