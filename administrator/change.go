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
	keyIndexPrefix = "keyhash/"
	// maxKeysPerTxn keeps a transaction within the store's limit of operations.
	maxKeysPerTxn = 100
)

// contractChange is a change of a contract that an operator requests.
type contractChange struct {
	action string
	// expected is the revision that the operator saw. Zero means that there must be
	// no contract.
	expected contractor.Revision
	contract contractor.Contract
}

// changeContract makes a change. If the operation was accepted before, it returns
// the current contract and changes nothing.
func (a *Administrator) changeContract(ctx context.Context, r *request, change contractChange) (response, error) {
	s := contractSubject(change.contract.Account)
	earlier, err := a.findRepeated(ctx, r, s)
	if err != nil {
		return response{}, err
	}
	if earlier != nil {
		return a.repeatedContractResponse(ctx, change.contract.Account, earlier)
	}
	for range maxCommitAttempts {
		resp, changeErr := a.attemptContractChange(ctx, r, s, change)
		if !showsLaterChange(changeErr) {
			return resp, changeErr
		}
		// The same operation may have been accepted through another daemon.
		earlier, err := a.findAccepted(ctx, s, r.operation, r.fingerprint())
		if err != nil {
			return response{}, err
		}
		if earlier != nil {
			return a.repeatedContractResponse(ctx, change.contract.Account, earlier)
		}
		if !errors.Is(changeErr, persister.ErrConflict) {
			return response{}, changeErr
		}
		a.config.Recorder.CountRetry("admin_conflict")
	}
	return response{}, persister.ErrConflict
}

// showsLaterChange reports whether an attempt failed because of a change since its operation was looked up, which may be
// that of the operation itself.
func showsLaterChange(err error) bool {
	var p *Problem
	if errors.As(err, &p) {
		return p.Type == problemChanged || p.Type == problemExists || p.Type == problemNotFound || p.Type == problemRetired
	}
	return errors.Is(err, persister.ErrConflict)
}

// repeatedContractResponse returns the response to an operation that was accepted
// before. It shows the current contract, which may have changed again since.
func (a *Administrator) repeatedContractResponse(ctx context.Context, account contractor.Account, earlier *Entry) (response, error) {
	state, err := a.readContract(ctx, account)
	if err != nil {
		return response{}, err
	}
	state.Operation = earlier.Operation
	state.Repeated = true
	a.config.Watcher.InvalidateContract(account, state.Revision)
	return response{revision: state.Revision, body: state}, nil
}

func (a *Administrator) attemptContractChange(ctx context.Context, r *request, s subject, change contractChange) (response, error) {
	current, err := a.readContract(ctx, change.contract.Account)
	if err != nil {
		return response{}, err
	}
	if err := checkContractChange(change, &current); err != nil {
		return response{}, err
	}
	if change.action == "retire" {
		change.contract = current.Contract
		change.contract.Retired = true
	}
	revision, err := a.writeContract(ctx, r, s, change, &current)
	if err != nil {
		return response{}, err
	}
	a.config.Watcher.InvalidateContract(change.contract.Account, revision)
	state := ContractState{Contract: change.contract, Revision: revision, Operation: r.operation}
	return response{revision: revision, body: state}, nil
}

// checkContractChange returns the problem of a change that does not fit the current
// state, for example because its expected revision is outdated.
func checkContractChange(change contractChange, current *ContractState) error {
	var p *Problem
	switch {
	case change.expected == 0 && current.Revision != 0:
		p = newProblem(problemExists, http.StatusConflict, "account %q has a contract already, at revision %d", change.contract.Account, current.Revision)
	case change.expected != 0 && current.Revision == 0:
		return notFound("account %q has no contract", change.contract.Account)
	case change.expected != current.Revision:
		p = newProblem(problemChanged, http.StatusPreconditionFailed, "the contract changed since revision %d, it is at revision %d", change.expected, current.Revision)
	case current.Contract.Retired:
		p = newProblem(problemRetired, http.StatusConflict, "the contract of account %q is retired", change.contract.Account)
	default:
		return nil
	}
	p.Contract = current
	return p
}

// writeContract commits the contract together with the index of its keys and its
// ledger. Removed keys for which the transaction has no room stay in the index.
func (a *Administrator) writeContract(ctx context.Context, r *request, s subject, change contractChange, current *ContractState) (contractor.Revision, error) {
	value, err := json.Marshal(&change.contract)
	if err != nil {
		return 0, fmt.Errorf("encode contract: %w", err)
	}
	txn := persister.Txn{
		Compares: []persister.Compare{{Key: s.key(), Revision: current.Revision}},
		Puts:     []persister.Put{{Key: s.key(), Value: value}},
	}
	if err := a.addLedger(ctx, &txn, &change.contract); err != nil {
		return 0, err
	}
	added, removed := keyChanges(&current.Contract, &change.contract)
	if err := a.addKeys(ctx, &txn, change.contract.Account, added); err != nil {
		return 0, err
	}
	fitting := min(len(removed), maxKeysPerTxn-len(txn.Puts))
	for _, hash := range removed[:max(0, fitting)] {
		txn.Deletes = append(txn.Deletes, keyIndexPrefix+string(hash))
	}
	e := a.newEntry(r, change.action, current.Revision, changedFields(&current.Contract, &change.contract))
	return a.commit(ctx, s, e, txn)
}

// addLedger extends the transaction to open the ledger of the account or to add new
// budgets to it.
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

// keyChanges returns the key hashes that only one of two contracts has.
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

// addKeys writes new keys to the index, which maps a key's hash to its account. Keys
// for which the transaction has no room are written before it. This is safe, because
// a key is valid only if the contract lists it too.
func (a *Administrator) addKeys(ctx context.Context, txn *persister.Txn, account contractor.Account, added []contractor.KeyHash) error {
	for len(added) > maxKeysPerTxn-len(txn.Puts)-1 {
		var indexTxn persister.Txn
		count := min(len(added), maxKeysPerTxn)
		if err := a.indexKeys(ctx, &indexTxn, account, added[:count]); err != nil {
			return err
		}
		if _, err := a.config.Store.Commit(ctx, indexTxn); err != nil && !errors.Is(err, persister.ErrUnknown) {
			return err
		}
		added = added[count:]
	}
	return a.indexKeys(ctx, txn, account, added)
}

// indexKeys adds index entries of keys to a transaction. It returns a problem if
// another account's contract has one of the keys.
func (a *Administrator) indexKeys(ctx context.Context, txn *persister.Txn, account contractor.Account, added []contractor.KeyHash) error {
	for _, hash := range added {
		found, err := a.config.Store.Get(ctx, keyIndexPrefix+string(hash))
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

// checkOwner returns a problem if the contract of owner is in force and has the key.
// Otherwise the index entry is a leftover of a removed key or a retired contract.
func (a *Administrator) checkOwner(ctx context.Context, hash contractor.KeyHash, owner contractor.Account) error {
	state, err := a.readContract(ctx, owner)
	if err != nil {
		return err
	}
	if _, held := state.Contract.MemberOf(hash); !held || state.Contract.Retired {
		return nil
	}
	return newProblem(problemKeyTaken, http.StatusConflict, "key %s belongs to account %q", hash, owner)
}

// changedFields lists the names of the fields that differ. It is empty for a new contract.
func changedFields(before, after *contractor.Contract) string {
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
