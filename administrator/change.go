package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strings"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/persister"
)

const (
	keyPrefix = "keyhash/"
	// maxKeysPerTxn keeps a transaction within the service's limit of operations.
	maxKeysPerTxn = 100
)

// contractChange is what an operator wants to do with a contract.
type contractChange struct {
	action string
	// seen is the revision that the operator saw. Zero means no contract.
	seen  contractor.Revision
	after contractor.Contract
}

// changeContract makes a change or answers with the outcome that it had before.
func (a *Administrator) changeContract(ctx context.Context, r *request, change contractChange) (reply, error) {
	s := contractSubject(change.after.Account)
	earlier, err := a.repeated(ctx, r, s)
	if err != nil {
		return reply{}, err
	}
	if earlier != nil {
		return a.repeatedContract(ctx, change.after.Account, earlier)
	}
	for range commitTries {
		answer, err := a.tryContract(ctx, r, s, change)
		if !errors.Is(err, persister.ErrConflict) {
			return answer, err
		}
		a.config.Recorder.CountRetry("admin_conflict")
		// The same operation may have been accepted through another daemon.
		earlier, err := a.accepted(ctx, s, r.operation, r.fingerprint())
		if err != nil {
			return reply{}, err
		}
		if earlier != nil {
			return a.repeatedContract(ctx, change.after.Account, earlier)
		}
	}
	return reply{}, persister.ErrConflict
}

// repeatedContract answers for an operation that was accepted before. The
// contract may have changed again since.
func (a *Administrator) repeatedContract(ctx context.Context, account contractor.Account, earlier *Entry) (reply, error) {
	state, err := a.readContract(ctx, account)
	if err != nil {
		return reply{}, err
	}
	state.Operation = earlier.Operation
	state.Repeated = true
	a.config.Watcher.InvalidateContract(account, state.Revision)
	return reply{revision: state.Revision, body: state}, nil
}

func (a *Administrator) tryContract(ctx context.Context, r *request, s subject, change contractChange) (reply, error) {
	before, err := a.readContract(ctx, change.after.Account)
	if err != nil {
		return reply{}, err
	}
	if err := permitted(change, &before); err != nil {
		return reply{}, err
	}
	if change.action == "retire" {
		change.after = before.Contract
		change.after.Retired = true
	}
	revision, err := a.writeContract(ctx, r, s, change, &before)
	if err != nil {
		return reply{}, err
	}
	a.config.Watcher.InvalidateContract(change.after.Account, revision)
	state := ContractState{Contract: change.after, Revision: revision, Operation: r.operation}
	return reply{revision: revision, body: state}, nil
}

// permitted compares what the operator saw with the current state.
func permitted(change contractChange, before *ContractState) error {
	var p *Problem
	switch {
	case change.seen == 0 && before.Revision != 0:
		p = problem(problemExists, http.StatusConflict, "account %q has a contract already, at revision %d", change.after.Account, before.Revision)
	case change.seen != 0 && before.Revision == 0:
		return notFound("account %q has no contract", change.after.Account)
	case change.seen != before.Revision:
		p = problem(problemChanged, http.StatusPreconditionFailed, "the contract changed since revision %d, it is at revision %d", change.seen, before.Revision)
	case before.Contract.Retired:
		p = problem(problemRetired, http.StatusConflict, "the contract of account %q is retired", change.after.Account)
	default:
		return nil
	}
	p.Contract = before
	return p
}

// writeContract commits the contract, the index of its keys and its ledger.
func (a *Administrator) writeContract(ctx context.Context, r *request, s subject, change contractChange, before *ContractState) (contractor.Revision, error) {
	value, err := json.Marshal(&change.after)
	if err != nil {
		return 0, fmt.Errorf("encode contract: %w", err)
	}
	txn := persister.Txn{
		Compares: []persister.Compare{{Key: s.key(), Revision: before.Revision}},
		Puts:     []persister.Put{{Key: s.key(), Value: value}},
	}
	if err := a.addLedger(ctx, &txn, &change.after); err != nil {
		return 0, err
	}
	added, removed := keyChanges(&before.Contract, &change.after)
	if err := a.addKeys(ctx, &txn, change.after.Account, added); err != nil {
		return 0, err
	}
	inside := min(len(removed), maxKeysPerTxn-len(txn.Puts))
	for _, hash := range removed[:max(0, inside)] {
		txn.Deletes = append(txn.Deletes, keyPrefix+string(hash))
	}
	e := a.entry(r, change.action, before.Revision, difference(&before.Contract, &change.after))
	return a.commit(ctx, s, e, txn)
}

// addLedger makes the transaction open the ledger or add budgets to it.
func (a *Administrator) addLedger(ctx context.Context, txn *persister.Txn, c *contractor.Contract) error {
	ledger, revision, err := biller.LoadLedger(ctx, a.config.Store, c.Account)
	if err != nil && !errors.Is(err, biller.ErrNoLedger) {
		return err
	}
	next, changed, err := ledger.AddBudgets(c)
	if err != nil {
		return err
	}
	if !changed {
		return nil
	}
	value, err := biller.EncodeLedger(&next)
	if err != nil {
		return fmt.Errorf("encode ledger: %w", err)
	}
	key := biller.LedgerKey(c.Account)
	txn.Compares = append(txn.Compares, persister.Compare{Key: key, Revision: revision})
	txn.Puts = append(txn.Puts, persister.Put{Key: key, Value: value})
	return nil
}

// keyChanges returns the hashes that only one of two contracts has.
func keyChanges(before, after *contractor.Contract) (added, removed []contractor.KeyHash) {
	old := make(map[contractor.KeyHash]bool, len(before.Keys))
	for _, k := range before.Keys {
		old[k.Hash] = true
	}
	for _, k := range after.Keys {
		if !old[k.Hash] {
			added = append(added, k.Hash)
		}
		delete(old, k.Hash)
	}
	for _, k := range before.Keys {
		if old[k.Hash] {
			removed = append(removed, k.Hash)
		}
	}
	return added, removed
}

// addKeys puts new keys into the index of keys. Those that the transaction has
// no room for are written before it; the index alone permits nothing.
func (a *Administrator) addKeys(ctx context.Context, txn *persister.Txn, account contractor.Account, added []contractor.KeyHash) error {
	for len(added) > maxKeysPerTxn-len(txn.Puts)-1 {
		var early persister.Txn
		count := min(len(added), maxKeysPerTxn)
		if err := a.indexKeys(ctx, &early, account, added[:count]); err != nil {
			return err
		}
		if _, err := a.config.Store.Commit(ctx, early); err != nil && !errors.Is(err, persister.ErrUnknown) {
			return err
		}
		added = added[count:]
	}
	return a.indexKeys(ctx, txn, account, added)
}

// indexKeys adds keys to a transaction, after it has checked that no other
// contract holds them.
func (a *Administrator) indexKeys(ctx context.Context, txn *persister.Txn, account contractor.Account, added []contractor.KeyHash) error {
	for _, hash := range added {
		found, err := a.config.Store.Get(ctx, keyPrefix+string(hash))
		if err != nil {
			return err
		}
		if found.Revision != 0 && string(found.Value) != string(account) {
			if err := a.checkOwner(ctx, hash, contractor.Account(found.Value)); err != nil {
				return err
			}
		}
		txn.Compares = append(txn.Compares, persister.Compare{Key: found.Key, Revision: found.Revision})
		txn.Puts = append(txn.Puts, persister.Put{Key: found.Key, Value: []byte(account)})
	}
	return nil
}

// checkOwner refuses a key that the contract of another account holds.
func (a *Administrator) checkOwner(ctx context.Context, hash contractor.KeyHash, owner contractor.Account) error {
	state, err := a.readContract(ctx, owner)
	if err != nil {
		return err
	}
	if _, held := state.Contract.MemberOf(hash); !held || state.Contract.Retired {
		return nil
	}
	return problem(problemKeyTaken, http.StatusConflict, "key %s belongs to account %q", hash, owner)
}

// difference names the fields that a change touches.
func difference(before, after *contractor.Contract) string {
	if before.Account == "" {
		return ""
	}
	var names []string
	x, y := reflect.ValueOf(*before), reflect.ValueOf(*after)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, strings.ToLower(x.Type().Field(i).Name))
		}
	}
	return strings.Join(names, ", ")
}
