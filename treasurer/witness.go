package treasurer

import (
	"context"
	"errors"
	"slices"

	"laburnumline/allocator"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/reserver"
)

var errNoWitness = errors.New("no daemon of the zone can be the witness")

// maxWitnessAttempts limits the attempts to send one change to a witness.
const maxWitnessAttempts = 3

// witnessCandidates returns all other live daemons of the zone, not only the next
// ones in rendezvous order.
func (t *Treasurer) witnessCandidates() []messenger.Peer {
	return slices.DeleteFunc(slices.Clone(t.config.Members.Zone(t.zone)), func(p messenger.Peer) bool {
		return daemonIDOf(p) == t.self
	})
}

// updateFunc returns the update of the current witness for one change, and the
// witness. It reports false when the change no longer exists.
type updateFunc func() (reserver.WitnessUpdate, reserver.DaemonID, bool)

// witnessReservation sends one reservation to the witness.
func (t *Treasurer) witnessReservation(ctx context.Context, request allocator.Request) bool {
	return t.sendToWitness(ctx, request.Account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
		return t.keeper.WitnessReservation(request.Account, request.Record.Ref)
	})
}

// sendToWitness sends a change to the witness, and chooses another witness if that
// fails. It reports whether a witness has stored the change, or the keeper may
// serve without one.
func (t *Treasurer) sendToWitness(ctx context.Context, account contractor.Account, makeUpdate updateFunc) bool {
	for range maxWitnessAttempts {
		u, witness, ok := makeUpdate()
		if !ok {
			return false
		}
		if witness.VM != "" && t.updateWitness(ctx, witness, u) == nil {
			return true
		}
		err := t.ensureWitness(ctx, account, u.Generation)
		if errors.Is(err, errNoWitness) {
			return t.serveUnwitnessed(ctx, account)
		}
		if err != nil {
			return false
		}
	}
	return false
}

// serveUnwitnessed obtains the right to serve without a witness from the ledger.
func (t *Treasurer) serveUnwitnessed(ctx context.Context, account contractor.Account) bool {
	if len(t.witnessCandidates()) > 0 {
		return false
	}
	if t.keeper.Unwitnessed(account) {
		return true
	}
	t.keeper.RequestUnwitnessed(account)
	for range maxWitnessAttempts {
		if err := t.flush(ctx, account); err != nil {
			return false
		}
		if t.keeper.Unwitnessed(account) {
			return true
		}
	}
	return false
}

// updateWitness sends one update.
func (t *Treasurer) updateWitness(ctx context.Context, to reserver.DaemonID, u reserver.WitnessUpdate) error {
	peer, ok := t.livePeer(to)
	if !ok {
		return errNoWitness
	}
	response, err := call[reserver.WitnessUpdate, WitnessResponse](ctx, t, peer, MethodWitness, &u)
	if err != nil {
		return err
	}
	switch response.Outcome {
	case reserver.WitnessKept:
		return nil
	case reserver.WitnessSealed:
		t.recordReplaced(u.Account, u.Epoch)
		return errNotKeeper
	}
	return errNoWitness
}

// ensureWitness sends the full state to a daemon of the zone, unless another call
// has done so since the generation whose update failed.
func (t *Treasurer) ensureWitness(ctx context.Context, account contractor.Account, failedGeneration uint64) error {
	unlock, err := t.witnessLocks.lock(ctx, account)
	if err != nil {
		return err
	}
	defer unlock()
	if t.keeper.WitnessGeneration(account) > failedGeneration {
		return nil
	}
	return t.chooseWitness(ctx, account, reserver.DaemonID{})
}

// chooseWitness tries the zone's daemons in turn, the current witness last. The
// caller holds the account's witness lock.
func (t *Treasurer) chooseWitness(ctx context.Context, account contractor.Account, excluded reserver.DaemonID) error {
	current := t.keeper.Witness(account)
	candidates := t.witnessCandidates()
	if len(candidates) == 0 && excluded.VM == "" {
		t.keeper.RemoveWitness(account, t.keeper.WitnessGeneration(account))
	}
	slices.SortStableFunc(candidates, func(a, b messenger.Peer) int {
		return boolToInt(daemonIDOf(a) == current) - boolToInt(daemonIDOf(b) == current)
	})
	for _, p := range candidates {
		if daemonIDOf(p) == excluded {
			continue
		}
		u, ok := t.keeper.SetWitness(account, daemonIDOf(p))
		if !ok {
			return errNotKeeper
		}
		err := t.updateWitness(ctx, daemonIDOf(p), u)
		if err == nil {
			t.keeper.ConfirmWitness(account, u)
			t.config.Recorder.Count("budget.witness_changes", 1)
			return nil
		}
		t.keeper.RemoveWitness(account, u.Generation)
		if errors.Is(err, errNotKeeper) {
			return err
		}
	}
	return errNoWitness
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// changeWitness replaces a witness that is stopping. An error means that the
// witness has to stay.
func (t *Treasurer) changeWitness(ctx context.Context, account contractor.Account, stopping reserver.DaemonID) error {
	unlock, err := t.witnessLocks.lock(ctx, account)
	if err != nil {
		return err
	}
	defer unlock()
	if t.keeper.Witness(account) != stopping {
		return nil
	}
	err = t.chooseWitness(ctx, account, stopping)
	if !errors.Is(err, errNoWitness) {
		return err
	}
	t.keeper.RequestUnwitnessed(account)
	if err := t.flush(ctx, account); err != nil {
		return err
	}
	if !t.keeper.MayBeUnwitnessed(account) {
		return errNoWitness
	}
	t.keeper.RemoveWitness(account, t.keeper.WitnessGeneration(account))
	return nil
}

// sendWitnessUpdates sends settled and ended reservations to the witnesses.
func (t *Treasurer) sendWitnessUpdates(ctx context.Context) {
	for _, account := range t.keeper.Accounts() {
		u, peer, ok := t.keeper.WitnessChanges(account)
		if !ok {
			continue
		}
		t.background(func(context.Context) {
			if t.updateWitness(ctx, peer, u) != nil {
				_ = t.ensureWitness(ctx, account, u.Generation)
			}
		})
	}
}

// markGone marks the daemons that have ended since the last call. The keeper holds
// the only copy of their records then, so the witnesses get the full state again.
func (t *Treasurer) markGone(ctx context.Context) {
	var gone []reserver.DaemonID
	t.mu.Lock()
	for _, p := range t.config.Members.Zone(t.zone) {
		t.seenDaemons[daemonIDOf(p)] = true
	}
	for id := range t.seenDaemons {
		if id != t.self && t.config.Members.Gone(id.VM, id.Incarnation) {
			gone = append(gone, id)
			delete(t.seenDaemons, id)
		}
	}
	t.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	for _, account := range t.keeper.MarkGone(gone) {
		generation := t.keeper.WitnessGeneration(account)
		t.background(func(context.Context) { _ = t.ensureWitness(ctx, account, generation) })
	}
}

// livePeer returns a live daemon of the zone.
func (t *Treasurer) livePeer(id reserver.DaemonID) (messenger.Peer, bool) {
	for _, p := range t.config.Members.Zone(t.zone) {
		if daemonIDOf(p) == id {
			return p, true
		}
	}
	return messenger.Peer{}, false
}
