package biller

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// TopUpID identifies one top-up of an account. A repeated top-up has no effect.
type TopUpID string

// Receipt is the outcome of a top-up.
type Receipt struct {
	ID     TopUpID               `json:"id"     cbor:"1,keyasint"`
	Budget contractor.BudgetName `json:"budget" cbor:"2,keyasint"`
	Amount contractor.Tokens     `json:"amount" cbor:"3,keyasint"`
	// Prepaid is the budget's prepaid total after the top-up.
	Prepaid contractor.Tokens `json:"prepaid" cbor:"4,keyasint"`
	// Repeated is true when the ID had been used before with the same values.
	Repeated bool `json:"repeated,omitempty" cbor:"-"`
}

// TopUpKey returns the key of one top-up in the store.
func TopUpKey(account contractor.Account, id TopUpID) string {
	return "topup/" + string(account) + "/" + string(id)
}

// TopUp raises the prepaid total of a budget, once per ID. After an error that wraps
// persister.ErrUnknown the caller has to repeat the call with the same ID.
func TopUp(ctx context.Context, store persister.Store, account contractor.Account, budget contractor.BudgetName, id TopUpID, amount contractor.Tokens) (Receipt, error) {
	if !contractor.ValidName(string(id)) {
		return Receipt{}, fmt.Errorf("top up %q: id %q is not a name of a-z, 0-9, '-', '.' and '_'", account, id)
	}
	wanted := Receipt{ID: id, Budget: budget, Amount: amount}
	var lastErr error
	for range maxAttempts {
		receipt, err := topUpOnce(ctx, store, account, wanted)
		if err == nil {
			return receipt, nil
		}
		lastErr = err
		if !errors.Is(err, persister.ErrConflict) && !errors.Is(err, persister.ErrUnknown) {
			break
		}
	}
	return Receipt{}, fmt.Errorf("top up %q of %q by %q: %w", budget, account, id, lastErr)
}

func topUpOnce(ctx context.Context, store persister.Store, account contractor.Account, wanted Receipt) (Receipt, error) {
	key := TopUpKey(account, wanted.ID)
	existing, err := store.Get(ctx, key)
	if err != nil {
		return Receipt{}, err
	}
	if existing.Revision != 0 {
		return repeatedReceipt(existing.Value, wanted)
	}
	ledger, revision, err := LoadLedger(ctx, store, account)
	if err != nil {
		return Receipt{}, err
	}
	next, err := ledger.TopUp(wanted.Budget, wanted.Amount)
	if err != nil {
		return Receipt{}, err
	}
	wanted.Prepaid = next.Balance(wanted.Budget).Prepaid
	value, err := EncodeLedger(&next)
	if err != nil {
		return Receipt{}, err
	}
	receipt, err := cbor.Marshal(&wanted)
	if err != nil {
		return Receipt{}, err
	}
	_, err = store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: LedgerKey(account), Revision: revision}, {Key: key}},
		Puts:     []persister.Put{{Key: key, Value: receipt}, {Key: LedgerKey(account), Value: value}},
		Marker:   key,
	})
	return wanted, err
}

func repeatedReceipt(value []byte, wanted Receipt) (Receipt, error) {
	var receipt Receipt
	if err := cbor.Unmarshal(value, &receipt); err != nil {
		return Receipt{}, err
	}
	if receipt.Budget != wanted.Budget || receipt.Amount != wanted.Amount {
		return Receipt{}, ErrTopUpReused
	}
	receipt.Repeated = true
	return receipt, nil
}
