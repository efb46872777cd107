package executor

import (
	"context"
	"slices"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/refuser"
)

// Authenticate returns the member and the contract that a bearer key belongs to.
func (x *Executor) Authenticate(ctx context.Context, bearer string) (conductor.Identity, error) {
	if bearer == "" {
		return conductor.Identity{}, refuser.New(refuser.Unauthorized, "authenticate").WithDetail("the Authorization header has no bearer key")
	}
	hash := contractor.HashKey(bearer)
	account, err := x.config.Contracts.AccountOf(ctx, hash)
	if err != nil {
		return conductor.Identity{}, err
	}
	contract, revision, err := x.config.Contracts.Contract(ctx, account)
	if err != nil {
		return conductor.Identity{}, err
	}
	member, ok := contract.MemberOf(hash)
	if !ok {
		return conductor.Identity{}, refuser.New(refuser.Unauthorized, "authenticate").WithDetail("the bearer key is not in force")
	}
	if contract.Retired {
		return conductor.Identity{}, refuser.New(refuser.Retired, "authenticate").WithDetail("the contract of account %q has ended", account)
	}
	return conductor.Identity{Member: member, Contract: contract, Revision: revision}, nil
}

// Models returns the models that the caller's budgets pay for, in sorted order.
func (x *Executor) Models(_ context.Context, id conductor.Identity) []string {
	var models []string
	for _, b := range id.Contract.Budgets {
		for _, m := range b.Models {
			if _, ok := id.Contract.BudgetFor(id.Member, contractor.KindEngine, m); ok {
				models = append(models, m)
			}
		}
	}
	slices.Sort(models)
	return slices.Compact(models)
}

func (x *Executor) budgetFor(id conductor.Identity, kind contractor.Kind, target string) (contractor.BudgetID, error) {
	b, ok := id.Contract.BudgetFor(id.Member, kind, target)
	if !ok {
		return contractor.BudgetID{}, refuser.New(refuser.NotCovered, "contract").
			WithDetail("no budget of account %q pays for %s %q", id.Contract.Account, kind, target)
	}
	return contractor.BudgetID{Account: id.Contract.Account, Name: b.Name}, nil
}
