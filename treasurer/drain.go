package treasurer

import (
	"context"
	"errors"
	"fmt"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/reserver"
	"laburnumline/sleeper"
)

// Drain prepares a planned stop. It waits until the daemon's own reservations
// are settled and in the ledger, gives grants and keeper duties back, and
// deletes the registration. Run has to go on meanwhile. An error means that
// the registration stays; then the next keeper treats the daemon as one that
// has failed.
func (t *Treasurer) Drain(ctx context.Context) error {
	t.draining.Store(true)
	steps := []func(context.Context) (bool, error){t.ownSettled, t.ownAcknowledged, t.accountsClosed, t.dutiesEnded}
	for _, step := range steps {
		if err := repeat(ctx, step); err != nil {
			return fmt.Errorf("drain %s: %w", t.config.Members.Self(), err)
		}
	}
	return repeat(ctx, t.unregister)
}

// repeat calls a step until it is done. Errors of a step count as not yet done.
func repeat(ctx context.Context, step func(context.Context) (bool, error)) error {
	for {
		done, err := step(ctx)
		if done {
			return nil
		}
		if paused := sleeper.Sleep(ctx, retryPause); paused != nil {
			return errors.Join(paused, err)
		}
	}
}

func (t *Treasurer) ownSettled(context.Context) (bool, error) {
	for _, load := range t.entry.Accounts() {
		if load.Open > 0 {
			return false, errors.New("requests are still running")
		}
	}
	return true, nil
}

// accountsClosed flushes every account and closes its section. An account that
// a successor has taken over counts as closed.
func (t *Treasurer) accountsClosed(ctx context.Context) (bool, error) {
	var last error
	for _, account := range t.keeper.Accounts() {
		if err := t.closeAccount(ctx, account); err != nil {
			last = err
		}
	}
	return last == nil && len(t.keeper.Accounts()) == 0, last
}

func (t *Treasurer) closeAccount(ctx context.Context, account contractor.Account) error {
	if err := t.flush(ctx, account); err != nil {
		return err
	}
	plan, ok := t.keeper.Close(t.now(), account, newOperation())
	if !ok {
		return fmt.Errorf("account %q has reservations that only the keeper knows", account)
	}
	return t.write(ctx, plan)
}

func (t *Treasurer) ownAcknowledged(ctx context.Context) (bool, error) {
	t.wakeSender()
	for account, load := range t.entry.Accounts() {
		if load.Unacknowledged > 0 {
			_ = t.flush(ctx, account)
			return false, fmt.Errorf("%d settlements of %q are not in the ledger", load.Unacknowledged, account)
		}
	}
	return true, nil
}

// dutiesEnded asks the keepers that rely on this daemon for another witness.
func (t *Treasurer) dutiesEnded(ctx context.Context) (bool, error) {
	var last error
	for _, duty := range t.entry.Duties() {
		if err := t.endDuty(ctx, duty); err != nil {
			last = err
			continue
		}
		t.entry.EndDuty(duty.Account, duty.Keeper)
	}
	return last == nil, last
}

func (t *Treasurer) endDuty(ctx context.Context, duty reserver.Duty) error {
	peer, ok := t.peer(duty.Keeper)
	if !ok {
		return t.dutyObsolete(ctx, duty)
	}
	request := &ChangeWitnessRequest{Account: duty.Account}
	_, err := call[ChangeWitnessRequest, EmptyResponse](ctx, t, peer, MethodChangeWitness, request)
	return err
}

// dutyObsolete makes sure that a keeper that is not there any more has a
// successor, which has asked this daemon for what it knows.
func (t *Treasurer) dutyObsolete(ctx context.Context, duty reserver.Duty) error {
	keeper, ok := t.config.Members.Keeper(t.zone, duty.Account)
	if !ok || holderOf(keeper) == t.self {
		return fmt.Errorf("keeper %s of %q has no successor yet", duty.Keeper.VM, duty.Account)
	}
	request := &SettleRequest{Account: duty.Account}
	response, err := call[SettleRequest, SettleResponse](ctx, t, keeper, MethodSettle, request)
	if err != nil {
		return err
	}
	return t.successorServes(duty.Account, keeper, response)
}

func (t *Treasurer) successorServes(account contractor.Account, keeper messenger.Peer, r *SettleResponse) error {
	if r.NotKeeper || t.entry.Epoch(account) < r.Epoch {
		return fmt.Errorf("keeper %s of %q has not taken over yet", keeper.VM, account)
	}
	return nil
}

// unregister deletes the registration, so that seals do not wait for the daemon.
func (t *Treasurer) unregister(ctx context.Context) (bool, error) {
	key := memberKey(t.config.Members.Self())
	_, err := t.config.Store.Commit(ctx, persister.Txn{Deletes: []string{key}})
	return err == nil, err
}
