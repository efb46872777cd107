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
// are settled and in the ledger, returns its grants, ends its roles as keeper
// and witness, and deletes its registration. Run must not end before Drain
// returns. After an error the registration remains, and the next keeper treats
// the daemon as one that failed.
func (t *Treasurer) Drain(ctx context.Context) error {
	t.draining.Store(true)
	steps := []func(context.Context) (bool, error){t.ownReservationsSettled, t.ownSettlementsFlushed, t.closeAccounts, t.endWitnessRoles}
	for _, step := range steps {
		if err := repeatUntilDone(ctx, step); err != nil {
			return fmt.Errorf("drain %s: %w", t.config.Members.Self(), err)
		}
	}
	return repeatUntilDone(ctx, t.unregister)
}

// repeatUntilDone calls a step until it reports that it is done. An error of a
// step means that it is not done yet.
func repeatUntilDone(ctx context.Context, step func(context.Context) (bool, error)) error {
	for {
		done, err := step(ctx)
		if done {
			return nil
		}
		if sleepErr := sleeper.Sleep(ctx, retryBackoff); sleepErr != nil {
			return errors.Join(sleepErr, err)
		}
	}
}

func (t *Treasurer) ownReservationsSettled(context.Context) (bool, error) {
	for _, counts := range t.entry.CountsByAccount() {
		if counts.Open > 0 {
			return false, errors.New("requests are still running")
		}
	}
	return true, nil
}

// closeAccounts flushes every account and closes its section. An account that a
// successor has taken over counts as closed.
func (t *Treasurer) closeAccounts(ctx context.Context) (bool, error) {
	var lastErr error
	for _, account := range t.keeper.Accounts() {
		if err := t.closeAccount(ctx, account); err != nil {
			lastErr = err
		}
	}
	return lastErr == nil && len(t.keeper.Accounts()) == 0, lastErr
}

func (t *Treasurer) closeAccount(ctx context.Context, account contractor.Account) error {
	if err := t.flush(ctx, account); err != nil {
		return err
	}
	plan, ok := t.keeper.Close(t.now(), account, newOperation())
	if !ok {
		return fmt.Errorf("account %q has reservations that only the keeper knows", account)
	}
	return t.writePlan(ctx, plan)
}

func (t *Treasurer) ownSettlementsFlushed(ctx context.Context) (bool, error) {
	t.wakeSender()
	for account, counts := range t.entry.CountsByAccount() {
		if counts.Unacknowledged > 0 {
			_ = t.flush(ctx, account)
			return false, fmt.Errorf("%d settlements of %q are not in the ledger", counts.Unacknowledged, account)
		}
	}
	return true, nil
}

// endWitnessRoles asks the keepers that use this daemon as their witness to
// change to another one.
func (t *Treasurer) endWitnessRoles(ctx context.Context) (bool, error) {
	var lastErr error
	for _, witnessed := range t.entry.WitnessedKeepers() {
		if err := t.endWitnessRole(ctx, witnessed); err != nil {
			lastErr = err
			continue
		}
		t.entry.ForgetWitnessed(witnessed.Account, witnessed.Keeper)
	}
	return lastErr == nil, lastErr
}

func (t *Treasurer) endWitnessRole(ctx context.Context, witnessed reserver.WitnessedKeeper) error {
	peer, ok := t.livePeer(witnessed.Keeper)
	if !ok {
		return t.checkReplacement(ctx, witnessed)
	}
	request := &ChangeWitnessRequest{Account: witnessed.Account}
	_, err := call[ChangeWitnessRequest, EmptyResponse](ctx, t, peer, MethodChangeWitness, request)
	return err
}

// checkReplacement returns an error until a keeper that is no longer live has a
// successor that has collected this daemon's records. Its SettleRequest has no
// records: the response shows the successor's epoch, and makes the successor
// take over if it has not.
func (t *Treasurer) checkReplacement(ctx context.Context, witnessed reserver.WitnessedKeeper) error {
	keeper, ok := t.config.Members.Keeper(t.zone, witnessed.Account)
	if !ok || daemonIDOf(keeper) == t.self {
		return fmt.Errorf("keeper %s of %q has no successor yet", witnessed.Keeper.VM, witnessed.Account)
	}
	request := &SettleRequest{Account: witnessed.Account}
	response, err := call[SettleRequest, SettleResponse](ctx, t, keeper, MethodSettle, request)
	if err != nil {
		return err
	}
	return t.checkSuccessor(witnessed.Account, keeper, response)
}

func (t *Treasurer) checkSuccessor(account contractor.Account, keeper messenger.Peer, r *SettleResponse) error {
	if r.NotKeeper || t.entry.MinEpoch(account) < r.Epoch {
		return fmt.Errorf("keeper %s of %q has not taken over yet", keeper.VM, account)
	}
	return nil
}

// unregister deletes the registration. Seals do not wait for the daemon then.
func (t *Treasurer) unregister(ctx context.Context) (bool, error) {
	key := memberKey(t.config.Members.Self())
	_, err := t.config.Store.Commit(ctx, persister.Txn{Deletes: []string{key}})
	return err == nil, err
}
