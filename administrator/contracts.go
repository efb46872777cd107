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

// ContractState is a contract with its revision in the store.
type ContractState struct {
	Contract contractor.Contract `json:"contract"`
	Revision contractor.Revision `json:"revision"`
	Balances []Balance           `json:"balances,omitempty"`
	// Operation is the id of the change that was just accepted.
	Operation string `json:"operation,omitempty"`
	// Repeated is true if the operation had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
}

// Balance is the balance of one budget, in tokens. Settled has been billed, Granted may
// be spent by the availability zones, Unaccounted is former grants of which it is
// unknown whether they were spent, and Free is the rest of Prepaid.
type Balance struct {
	Budget      contractor.BudgetName `json:"budget"`
	Prepaid     contractor.Tokens     `json:"prepaid"`
	Settled     contractor.Tokens     `json:"settled"`
	Unaccounted contractor.Tokens     `json:"unaccounted"`
	Granted     contractor.Tokens     `json:"granted"`
	Free        contractor.Tokens     `json:"free"`
}

// ContractPage is one page of the list of contracts.
type ContractPage struct {
	Contracts []ContractState `json:"contracts"`
	// Next is the value of after for the next page. It is empty on the last page.
	Next string `json:"next,omitempty"`
}

func contractSubject(account contractor.Account) subject {
	return subject{contractSection, string(account)}
}

// readContract reads a contract. If there is none, its revision is zero.
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

func (a *Administrator) getContract(ctx context.Context, r *request) (response, error) {
	account := contractor.Account(r.parameter("account"))
	state, err := a.readContract(ctx, account)
	if err != nil {
		return response{}, err
	}
	if state.Revision == 0 {
		return response{}, notFound("account %q has no contract", account)
	}
	ledger, _, err := biller.LoadLedger(ctx, a.config.Store, account)
	if err != nil && !errors.Is(err, biller.ErrNoLedger) {
		return response{}, err
	}
	state.Balances = balances(&ledger)
	return response{revision: state.Revision, body: state}, nil
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

func (a *Administrator) listContracts(ctx context.Context, r *request) (response, error) {
	contracts, next, err := listSection(ctx, a.config.Store, r, contractSection, contractState)
	return response{body: ContractPage{Contracts: contracts, Next: next}}, err
}

func (a *Administrator) createContract(ctx context.Context, r *request) (response, error) {
	c, err := decode[contractor.Contract](r)
	if err != nil {
		return response{}, err
	}
	if err := normalise(c); err != nil {
		return response{}, err
	}
	if c.Retired {
		return response{}, contractor.FieldErrors{{Field: "retired", Value: "true", Allowed: "false for a new contract"}}
	}
	change := contractChange{action: "create", contract: *c}
	resp, err := a.changeContract(ctx, r, change)
	if err == nil {
		resp.status = http.StatusCreated
		resp.location = "/v1/contracts/" + string(c.Account)
	}
	return resp, err
}

func (a *Administrator) amendContract(ctx context.Context, r *request) (response, error) {
	c, err := decode[contractor.Contract](r)
	if err != nil {
		return response{}, err
	}
	account := contractor.Account(r.parameter("account"))
	if c.Account == "" {
		c.Account = account
	}
	if c.Account != account {
		return response{}, contractor.FieldErrors{{Field: "account", Value: string(c.Account), Allowed: string(account)}}
	}
	if err := normalise(c); err != nil {
		return response{}, err
	}
	expected, err := r.expectedRevision(false)
	if err != nil {
		return response{}, err
	}
	return a.changeContract(ctx, r, contractChange{action: "amend", expected: expected, contract: *c})
}

func (a *Administrator) retireContract(ctx context.Context, r *request) (response, error) {
	expected, err := r.expectedRevision(false)
	if err != nil {
		return response{}, err
	}
	account := contractor.Account(r.parameter("account"))
	return a.changeContract(ctx, r, contractChange{action: "retire", expected: expected, contract: contractor.Contract{Account: account}})
}

func (a *Administrator) contractHistory(ctx context.Context, r *request) (response, error) {
	return a.serveHistory(ctx, r, contractSubject(contractor.Account(r.parameter("account"))))
}

// normalise validates a contract and converts its key hashes to lower case.
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
