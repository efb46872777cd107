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

// witnessAttempts is how often a reservation looks for a witness.
const witnessAttempts = 3

// witnessCandidates returns the other live daemons of the zone, the later runs
// of the rendezvous order included.
func (t *Treasurer) witnessCandidates() []messenger.Peer {
	return slices.DeleteFunc(slices.Clone(t.config.Members.Zone(t.zone)), func(p messenger.Peer) bool {
		return holderOf(p) == t.self
	})
}

// update is how one change is made known to a witness.
type update func() (reserver.WitnessUpdate, reserver.DaemonID, bool)

// witnessReservation makes a reservation of the keeper's own entry known to a
// second daemon.
func (t *Treasurer) witnessReservation(ctx context.Context, ask allocator.Request) bool {
	return t.witnessed(ctx, ask.Account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
		return t.keeper.WitnessReservation(ask.Account, ask.Record.Ref)
	})
}

// witnessed reports whether a change is known to the witness, or needs none.
func (t *Treasurer) witnessed(ctx context.Context, account contractor.Account, change update) bool {
	for range witnessAttempts {
		u, peer, ok := change()
		if !ok {
			return false
		}
		if peer.VM != "" && t.tellWitness(ctx, peer, u) == nil {
			return true
		}
		err := t.ensureWitness(ctx, account, u.Generation)
		if errors.Is(err, errNoWitness) {
			return t.serveAlone(ctx, account)
		}
		if err != nil {
			return false
		}
	}
	return false
}

// serveAlone asks the ledger for the right to serve without a witness.
func (t *Treasurer) serveAlone(ctx context.Context, account contractor.Account) bool {
	if len(t.witnessCandidates()) > 0 {
		return false
	}
	if t.keeper.Unwitnessed(account) {
		return true
	}
	t.keeper.RequestUnwitnessed(account)
	for range witnessAttempts {
		if err := t.flush(ctx, account); err != nil {
			return false
		}
		if t.keeper.Unwitnessed(account) {
			return true
		}
	}
	return false
}

// tellWitness sends one update.
func (t *Treasurer) tellWitness(ctx context.Context, to reserver.DaemonID, u reserver.WitnessUpdate) error {
	peer, ok := t.peer(to)
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
		t.replaced(u.Account, u.Epoch)
		return errNotKeeper
	}
	return errNoWitness
}

// ensureWitness gives the whole state to a daemon of the zone, unless another
// call has done so after the generation that failed.
func (t *Treasurer) ensureWitness(ctx context.Context, account contractor.Account, failed uint64) error {
	leave, err := t.witnesses.enter(ctx, account)
	if err != nil {
		return err
	}
	defer leave()
	if t.keeper.WitnessGeneration(account) > failed {
		return nil
	}
	return t.findWitness(ctx, account, reserver.DaemonID{})
}

// findWitness tries the zone's daemons in turn. The gate of the account is held.
func (t *Treasurer) findWitness(ctx context.Context, account contractor.Account, without reserver.DaemonID) error {
	last := t.keeper.Witness(account)
	candidates := t.witnessCandidates()
	if len(candidates) == 0 && without.VM == "" {
		t.keeper.RemoveWitness(account, t.keeper.WitnessGeneration(account))
	}
	slices.SortStableFunc(candidates, func(a, b messenger.Peer) int {
		return boolOrder(holderOf(a) == last) - boolOrder(holderOf(b) == last)
	})
	for _, p := range candidates {
		if holderOf(p) == without {
			continue
		}
		u, ok := t.keeper.SetWitness(account, holderOf(p))
		if !ok {
			return errNotKeeper
		}
		err := t.tellWitness(ctx, holderOf(p), u)
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

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// changeWitness moves to another witness because the present one stops. An
// error means that the present one has to stay.
func (t *Treasurer) changeWitness(ctx context.Context, account contractor.Account, leaving reserver.DaemonID) error {
	leave, err := t.witnesses.enter(ctx, account)
	if err != nil {
		return err
	}
	defer leave()
	if t.keeper.Witness(account) != leaving {
		return nil
	}
	err = t.findWitness(ctx, account, leaving)
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

// sendWitnessChanges tells the witnesses about settlements and ends.
func (t *Treasurer) sendWitnessChanges(ctx context.Context) {
	for _, account := range t.keeper.Accounts() {
		u, peer, ok := t.keeper.WitnessChanges(account)
		if !ok {
			continue
		}
		t.background(func(context.Context) {
			if t.tellWitness(ctx, peer, u) != nil {
				_ = t.ensureWitness(ctx, account, u.Generation)
			}
		})
	}
}

// coverGone gives the records of entries that are gone to the witnesses.
func (t *Treasurer) coverGone(ctx context.Context) {
	var gone []reserver.DaemonID
	t.mu.Lock()
	for _, p := range t.config.Members.Zone(t.zone) {
		t.seen[holderOf(p)] = true
	}
	for h := range t.seen {
		if h != t.self && t.config.Members.Gone(h.VM, h.Incarnation) {
			gone = append(gone, h)
			delete(t.seen, h)
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

// peer finds a live daemon of the zone.
func (t *Treasurer) peer(h reserver.DaemonID) (messenger.Peer, bool) {
	for _, p := range t.config.Members.Zone(t.zone) {
		if holderOf(p) == h {
			return p, true
		}
	}
	return messenger.Peer{}, false
}
