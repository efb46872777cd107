package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/persister"
)

const contractSection = "contract"

// ContractState is a contract with its revision.
type ContractState struct {
	Contract contractor.Contract `json:"contract"`
	Revision contractor.Revision `json:"revision"`
	Balances []Balance           `json:"balances,omitempty"`
	// Operation is the id of the change that was just accepted.
	Operation string `json:"operation,omitempty"`
	// Repeated is true when the operation had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Balance is the balance of one budget in tokens.
type Balance struct {
	Budget      contractor.BudgetName `json:"budget"`
	Prepaid     contractor.Tokens     `json:"prepaid"`
	Settled     contractor.Tokens     `json:"settled"`
	Unaccounted contractor.Tokens     `json:"unaccounted"`
	Granted     contractor.Tokens     `json:"granted"`
	Free        contractor.Tokens     `json:"free"`
}

// ContractPage is a part of the list of contracts.
type ContractPage struct {
	Contracts []ContractState `json:"contracts"`
	// Next is the value of after for the next page. Empty means the end.
	Next string `json:"next,omitempty"`
}

func contractSubject(account contractor.Account) subject {
	return subject{contractSection, string(account)}
}

// readContract reads a contract; an absent one has revision zero.
func (a *Administrator) readContract(ctx context.Context, account contractor.Account) (ContractState, error) {
	found, err := a.config.Store.Get(ctx, contractSubject(account).key())
	if err != nil || found.Revision == 0 {
		return ContractState{}, err
	}
	return contractState(found)
}

func contractState(found persister.Entry) (ContractState, error) {
	state := ContractState{Revision: found.Revision}
	if err := json.Unmarshal(found.Value, &state.Contract); err != nil {
		return ContractState{}, fmt.Errorf("decode %q: %w", found.Key, err)
	}
	return state, nil
}

func (a *Administrator) getContract(ctx context.Context, r *request) (reply, error) {
	account := contractor.Account(r.parameter("account"))
	state, err := a.readContract(ctx, account)
	if err != nil {
		return reply{}, err
	}
	if state.Revision == 0 {
		return reply{}, notFound("account %q has no contract", account)
	}
	ledger, _, err := biller.LoadLedger(ctx, a.config.Store, account)
	if err != nil && !errors.Is(err, biller.ErrNoLedger) {
		return reply{}, err
	}
	state.Balances = balances(&ledger)
	return reply{revision: state.Revision, body: state}, nil
}

func balances(l *biller.Ledger) []Balance {
	all := make([]Balance, 0, len(l.Budgets))
	for i := range l.Budgets {
		b := &l.Budgets[i]
		all = append(all, Balance{
			Budget:      b.Name,
			Prepaid:     b.Prepaid,
			Settled:     b.Settled,
			Unaccounted: b.Unaccounted,
			Granted:     b.Granted(),
			Free:        b.Free(),
		})
	}
	return all
}

func (a *Administrator) listContracts(ctx context.Context, r *request) (reply, error) {
	contracts, next, err := listSection(ctx, a.config.Store, r, contractSection, contractState)
	return reply{body: ContractPage{Contracts: contracts, Next: next}}, err
}

func (a *Administrator) createContract(ctx context.Context, r *request) (reply, error) {
	c, err := decode[contractor.Contract](r)
	if err != nil {
		return reply{}, err
	}
	if err := normalise(c); err != nil {
		return reply{}, err
	}
	if c.Retired {
		return reply{}, contractor.FieldErrors{{Field: "retired", Value: "true", Allowed: "false for a new contract"}}
	}
	change := contractChange{action: "create", after: *c}
	answer, err := a.changeContract(ctx, r, change)
	if err == nil {
		answer.status = http.StatusCreated
		answer.location = "/v1/contracts/" + string(c.Account)
	}
	return answer, err
}

func (a *Administrator) amendContract(ctx context.Context, r *request) (reply, error) {
	c, err := decode[contractor.Contract](r)
	if err != nil {
		return reply{}, err
	}
	account := contractor.Account(r.parameter("account"))
	if c.Account == "" {
		c.Account = account
	}
	if c.Account != account {
		return reply{}, contractor.FieldErrors{{Field: "account", Value: string(c.Account), Allowed: string(account)}}
	}
	if err := normalise(c); err != nil {
		return reply{}, err
	}
	seen, err := r.seen(false)
	if err != nil {
		return reply{}, err
	}
	return a.changeContract(ctx, r, contractChange{action: "amend", seen: seen, after: *c})
}

func (a *Administrator) retireContract(ctx context.Context, r *request) (reply, error) {
	seen, err := r.seen(false)
	if err != nil {
		return reply{}, err
	}
	account := contractor.Account(r.parameter("account"))
	return a.changeContract(ctx, r, contractChange{action: "retire", seen: seen, after: contractor.Contract{Account: account}})
}

func (a *Administrator) contractHistory(ctx context.Context, r *request) (reply, error) {
	return a.serveHistory(ctx, r, contractSubject(contractor.Account(r.parameter("account"))))
}

// normalise checks a contract and writes its hashes in one way.
func normalise(c *contractor.Contract) error {
	if err := c.Validate(); err != nil {
		return err
	}
	var errs contractor.FieldErrors
	seen := make(map[contractor.KeyHash]bool, len(c.Keys))
	for i := range c.Keys {
		hash := contractor.KeyHash(strings.ToLower(string(c.Keys[i].Hash)))
		if seen[hash] {
			errs = append(errs, contractor.FieldError{
				Field: fmt.Sprintf("keys[%d].hash", i), Value: string(hash), Allowed: "a hash that no other key of the contract has",
			})
		}
		seen[hash] = true
		c.Keys[i].Hash = hash
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}
