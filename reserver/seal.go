package reserver

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
)

// SealResponse is a daemon's response to a seal.
type SealResponse struct {
	// Records are the daemon's own reservations and settlements.
	Records []Record `cbor:"1,keyasint,omitempty"`
	// Witnessed holds the replicas that the daemon stores as a witness of former keepers.
	Witnessed []WitnessedState `cbor:"2,keyasint,omitempty"`
	// Refused is true when the daemon already knows a higher epoch.
	Refused bool `cbor:"3,keyasint,omitempty"`
}

// Seal responds to a new keeper and refuses responses of lower epochs from then on.
// Granted reservations stay valid, because the new keeper learns of them here. Pending
// ones are left out: Accept refuses a former keeper's response to them.
func (r *Reserver) Seal(now time.Time, name contractor.Account, epoch contractor.Epoch) SealResponse {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	if epoch < a.minEpoch {
		return SealResponse{Refused: true}
	}
	a.raiseMinEpoch(epoch)
	var response SealResponse
	for _, replica := range a.replicas {
		if replica.epoch < epoch {
			response.Witnessed = append(response.Witnessed, replica.export())
		}
	}
	for _, e := range a.records {
		if e.state == statePending {
			continue
		}
		if e.state == stateSettled {
			e.reportedAt = now
		}
		response.Records = append(response.Records, e.record)
	}
	sortRecords(response.Records)
	return response
}

// WitnessedState is a witness's replica of a part of a keeper's state.
type WitnessedState struct {
	Epoch contractor.Epoch `cbor:"1,keyasint"`
	// Generation numbers the successive witnesses of the keeper.
	Generation uint64 `cbor:"2,keyasint"`
	// Complete is true when the keeper had taken over the state of its predecessors.
	Complete bool `cbor:"6,keyasint,omitempty"`
	// CoveredDaemons are departed daemons whose records the keeper has.
	CoveredDaemons []DaemonID        `cbor:"3,keyasint,omitempty"`
	Records        []Record          `cbor:"4,keyasint,omitempty"`
	Transfers      []biller.Transfer `cbor:"5,keyasint,omitempty"`
}

// WitnessUpdate changes the replica that a keeper's witness stores.
type WitnessUpdate struct {
	Account    contractor.Account `cbor:"1,keyasint"`
	Epoch      contractor.Epoch   `cbor:"2,keyasint"`
	Generation uint64             `cbor:"3,keyasint"`
	// Full is true when the update replaces the whole replica.
	Full bool `cbor:"4,keyasint,omitempty"`
	// Complete is true when the keeper has taken over the state of its predecessors.
	Complete bool `cbor:"10,keyasint,omitempty"`
	// CoveredDaemons are departed daemons whose records the keeper has.
	CoveredDaemons []DaemonID          `cbor:"5,keyasint,omitempty"`
	Records        []Record            `cbor:"6,keyasint,omitempty"`
	DropRecords    []Ref               `cbor:"7,keyasint,omitempty"`
	Transfers      []biller.Transfer   `cbor:"8,keyasint,omitempty"`
	DropTransfers  []biller.TransferID `cbor:"9,keyasint,omitempty"`
}

// WitnessOutcome is the response to a WitnessUpdate.
type WitnessOutcome uint8

const (
	// WitnessKept means that the update was applied.
	WitnessKept WitnessOutcome = iota
	// WitnessSealed means that the keeper has been replaced.
	WitnessSealed
	// WitnessIncomplete means that the witness needs a full update.
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

type keeperReplica struct {
	keeper         DaemonID
	epoch          contractor.Epoch
	generation     uint64
	complete       bool
	coveredDaemons []DaemonID
	records        map[Ref]Record
	transfers      map[biller.TransferID]biller.Transfer
}

// Witness applies an update to the replica of a keeper's state. Replicas of earlier
// keepers stay until a later keeper has taken over their state.
func (r *Reserver) Witness(keeper DaemonID, update WitnessUpdate) WitnessOutcome {
	s, a := r.lockAccount(update.Account)
	defer s.mu.Unlock()
	if update.Epoch < a.minEpoch {
		return WitnessSealed
	}
	replica := a.replica(update.Epoch)
	if update.Full {
		if replica != nil && replica.generation > update.Generation {
			return WitnessIncomplete
		}
		a.replaceReplica(newKeeperReplica(keeper, update))
		return WitnessKept
	}
	if replica == nil || replica.generation != update.Generation {
		return WitnessIncomplete
	}
	replica.apply(update)
	return WitnessKept
}

func (a *account) replica(epoch contractor.Epoch) *keeperReplica {
	for _, replica := range a.replicas {
		if replica.epoch == epoch {
			return replica
		}
	}
	return nil
}

func (a *account) replaceReplica(next *keeperReplica) {
	a.replicas = slices.DeleteFunc(a.replicas, func(replica *keeperReplica) bool {
		return replica.epoch == next.epoch || (next.complete && replica.epoch < next.epoch)
	})
	a.replicas = append(a.replicas, next)
}

func newKeeperReplica(keeper DaemonID, update WitnessUpdate) *keeperReplica {
	replica := &keeperReplica{
		keeper:     keeper,
		epoch:      update.Epoch,
		generation: update.Generation,
		complete:   update.Complete,
		records:    make(map[Ref]Record),
		transfers:  make(map[biller.TransferID]biller.Transfer),
	}
	replica.apply(update)
	return replica
}

func (k *keeperReplica) apply(update WitnessUpdate) {
	k.coveredDaemons = append(k.coveredDaemons, update.CoveredDaemons...)
	for _, record := range update.Records {
		k.records[record.Ref] = record
	}
	for _, ref := range update.DropRecords {
		delete(k.records, ref)
	}
	for _, t := range update.Transfers {
		k.transfers[t.ID] = t
	}
	for _, id := range update.DropTransfers {
		delete(k.transfers, id)
	}
}

// export returns the replica in the form of a SealResponse.
func (k *keeperReplica) export() WitnessedState {
	exported := WitnessedState{Epoch: k.epoch, Generation: k.generation, Complete: k.complete, CoveredDaemons: k.coveredDaemons}
	for _, record := range k.records {
		exported.Records = append(exported.Records, record)
	}
	sortRecords(exported.Records)
	for _, t := range k.transfers {
		exported.Transfers = append(exported.Transfers, t)
	}
	return exported
}

// WitnessedKeeper is a keeper whose witness is this daemon.
type WitnessedKeeper struct {
	Account contractor.Account
	Keeper  DaemonID
}

// WitnessedKeepers returns the keepers whose witness is this daemon.
func (r *Reserver) WitnessedKeepers() []WitnessedKeeper {
	var keepers []WitnessedKeeper
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for name, a := range s.accounts {
			for _, replica := range a.replicas {
				if replica.epoch >= a.minEpoch {
					keepers = append(keepers, WitnessedKeeper{name, replica.keeper})
				}
			}
		}
		s.mu.Unlock()
	}
	return keepers
}

// ForgetWitnessed removes the replicas of a keeper's state.
func (r *Reserver) ForgetWitnessed(name contractor.Account, keeper DaemonID) {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	a.replicas = slices.DeleteFunc(a.replicas, func(replica *keeperReplica) bool { return replica.keeper == keeper })
}
