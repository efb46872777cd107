package reserver

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// SealResponse is an entry's answer to a seal.
type SealResponse struct {
	// Records are the entry's own reservations and settlements.
	Records []Record `cbor:"1,keyasint,omitempty"`
	// Witnessed is what the entry knows as the witness of a former keeper.
	Witnessed []WitnessedState `cbor:"2,keyasint,omitempty"`
	// Refused is true when a higher epoch has been seen already.
	Refused bool `cbor:"3,keyasint,omitempty"`
}

// Seal answers a new keeper. From then on answers of lower epochs are refused.
// Reservations that were given already stay valid, because the new keeper
// learns of them here. Those still asked for are given up.
func (r *Reserver) Seal(now time.Time, name contractor.Account, epoch contractor.Epoch) SealResponse {
	s, a := r.lock(name)
	defer s.mu.Unlock()
	if epoch < a.floor {
		return SealResponse{Refused: true}
	}
	a.raise(epoch)
	var report SealResponse
	for _, w := range a.witnessed {
		if w.epoch < epoch {
			report.Witnessed = append(report.Witnessed, w.report())
		}
	}
	for _, e := range a.records {
		if e.state == asked {
			continue
		}
		if e.state == settled {
			e.sentAt = now
		}
		report.Records = append(report.Records, e.record)
	}
	sortRecords(report.Records)
	return report
}

// WitnessedState is the part of a keeper's state that its witness keeps.
type WitnessedState struct {
	Epoch contractor.Epoch `cbor:"1,keyasint"`
	// Generation counts the witnesses that the keeper has had.
	Generation uint64 `cbor:"2,keyasint"`
	// Complete is true when the keeper had taken over from its predecessors.
	Complete       bool              `cbor:"6,keyasint,omitempty"`
	CoveredDaemons []DaemonID        `cbor:"3,keyasint,omitempty"`
	Records        []Record          `cbor:"4,keyasint,omitempty"`
	Transfers      []biller.Transfer `cbor:"5,keyasint,omitempty"`
}

// WitnessUpdate changes what the witness of a keeper keeps.
type WitnessUpdate struct {
	Account    contractor.Account `cbor:"1,keyasint"`
	Epoch      contractor.Epoch   `cbor:"2,keyasint"`
	Generation uint64             `cbor:"3,keyasint"`
	// Full replaces everything that was kept before.
	Full bool `cbor:"4,keyasint,omitempty"`
	// Complete is true when the keeper has taken over from its predecessors.
	Complete bool `cbor:"10,keyasint,omitempty"`
	// CoveredDaemons are daemons that are gone and whose records the keeper has.
	CoveredDaemons []DaemonID          `cbor:"5,keyasint,omitempty"`
	Records        []Record            `cbor:"6,keyasint,omitempty"`
	DropRecords    []Ref               `cbor:"7,keyasint,omitempty"`
	Transfers      []biller.Transfer   `cbor:"8,keyasint,omitempty"`
	DropTransfers  []biller.TransferID `cbor:"9,keyasint,omitempty"`
}

// WitnessOutcome is the answer to a WitnessUpdate.
type WitnessOutcome uint8

const (
	// WitnessKept means that the update is kept.
	WitnessKept WitnessOutcome = iota
	// WitnessSealed means that the keeper has been replaced.
	WitnessSealed
	// WitnessIncomplete means that the witness needs a whole update.
	WitnessIncomplete
)

// String returns the outcome's name.
func (o WitnessOutcome) String() string {
	switch o {
	case WitnessKept:
		return "kept"
	case WitnessSealed:
		return "sealed"
	case WitnessIncomplete:
		return "incomplete"
	}
	return "unknown"
}

type witnessed struct {
	keeper     DaemonID
	epoch      contractor.Epoch
	generation uint64
	complete   bool
	covers     []DaemonID
	records    map[Ref]Record
	transfers  map[biller.TransferID]biller.Transfer
}

// Witness keeps a part of a keeper's state. What earlier keepers had recorded
// stays until their successor has taken everything over.
func (r *Reserver) Witness(keeper DaemonID, u WitnessUpdate) WitnessOutcome {
	s, a := r.lock(u.Account)
	defer s.mu.Unlock()
	if u.Epoch < a.floor {
		return WitnessSealed
	}
	w := a.witness(u.Epoch)
	if u.Full {
		if w != nil && w.generation > u.Generation {
			return WitnessIncomplete
		}
		a.replace(newWitnessed(keeper, u))
		return WitnessKept
	}
	if w == nil || w.generation != u.Generation {
		return WitnessIncomplete
	}
	w.apply(u)
	return WitnessKept
}

func (a *account) witness(epoch contractor.Epoch) *witnessed {
	for _, w := range a.witnessed {
		if w.epoch == epoch {
			return w
		}
	}
	return nil
}

func (a *account) replace(next *witnessed) {
	a.witnessed = slices.DeleteFunc(a.witnessed, func(w *witnessed) bool {
		return w.epoch == next.epoch || (next.complete && w.epoch < next.epoch)
	})
	a.witnessed = append(a.witnessed, next)
}

func newWitnessed(keeper DaemonID, u WitnessUpdate) *witnessed {
	w := &witnessed{
		keeper:     keeper,
		epoch:      u.Epoch,
		generation: u.Generation,
		complete:   u.Complete,
		records:    make(map[Ref]Record),
		transfers:  make(map[biller.TransferID]biller.Transfer),
	}
	w.apply(u)
	return w
}

func (w *witnessed) apply(u WitnessUpdate) {
	w.covers = append(w.covers, u.CoveredDaemons...)
	for _, v := range u.Records {
		w.records[v.Ref] = v
	}
	for _, ref := range u.DropRecords {
		delete(w.records, ref)
	}
	for _, t := range u.Transfers {
		w.transfers[t.ID] = t
	}
	for _, id := range u.DropTransfers {
		delete(w.transfers, id)
	}
}

// report returns what was kept.
func (w *witnessed) report() WitnessedState {
	v := WitnessedState{Epoch: w.epoch, Generation: w.generation, Complete: w.complete, CoveredDaemons: w.covers}
	for _, record := range w.records {
		v.Records = append(v.Records, record)
	}
	sortRecords(v.Records)
	for _, t := range w.transfers {
		v.Transfers = append(v.Transfers, t)
	}
	return v
}

// WitnessedKeeper is a keeper that the daemon is the witness of.
type WitnessedKeeper struct {
	Account contractor.Account
	Keeper  DaemonID
}

// WitnessedKeepers returns the keepers that rely on this daemon as their witness.
func (r *Reserver) WitnessedKeepers() []WitnessedKeeper {
	var duties []WitnessedKeeper
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for name, a := range s.accounts {
			for _, w := range a.witnessed {
				if w.epoch >= a.floor {
					duties = append(duties, WitnessedKeeper{name, w.keeper})
				}
			}
		}
		s.mu.Unlock()
	}
	return duties
}

// ForgetWitnessed forgets what the daemon kept as a witness of a keeper.
func (r *Reserver) ForgetWitnessed(name contractor.Account, keeper DaemonID) {
	s, a := r.lock(name)
	defer s.mu.Unlock()
	a.witnessed = slices.DeleteFunc(a.witnessed, func(w *witnessed) bool { return w.keeper == keeper })
}
