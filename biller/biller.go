// Package biller keeps the ledgers and bills of client accounts.
//
// The Ledger of an account is one value in the store and holds the balances of
// all its budgets. Each budget has these totals in tokens:
//
//   - prepaid: the initial balance and all top-ups
//   - settled: the use that has been billed
//   - granted, per availability zone: what the zone may spend
//   - unaccounted: former grants of which it is unknown whether they were spent;
//     they count as spent until an operator releases them
//
// The following invariant holds in every revision and for every budget:
//
//	settled + unaccounted + sum of grants <= prepaid
//
// A zone spends only its own grants. Partitioned zones therefore cannot spend
// the same token twice.
//
// In each zone, one daemon is the keeper of the account: it writes the zone's
// Section of the ledger. When the keeper is replaced, the epoch of the section
// rises, and the grants of earlier epochs are held: nobody spends them until the
// new keeper has collected the reservations that its predecessors granted.
//
// A transition is a method that returns the next ledger or an error. It never
// changes its receiver and never breaks the invariant. The caller writes the
// result by compare-and-swap, together with the Page of bill lines that the
// transition settled:
//
//	next, written, err := ledger.Flush("gulf-south-1", lines, window.Lookup)
//	if err != nil {
//		return err
//	}
//	page := biller.Page{Number: next.Pages, Lines: written}
//
// Pages are numbered per account and immutable. The ledger contains the number of
// pages, so the compare-and-swap of a flush fails unless the writer knows every
// earlier page. Flush drops each line whose request key has already been billed.
// No other package decides what is billed.
package biller

import (
	"errors"
	"fmt"

	"laburnumline/contractor"
)

var (
	// ErrNoLedger means that the account has no ledger yet.
	ErrNoLedger = errors.New("account has no ledger")
	// ErrNoBudget means that the ledger has no such budget.
	ErrNoBudget = errors.New("ledger has no such budget")
	// ErrNoSection means that the zone has never had a keeper for the account.
	ErrNoSection = errors.New("zone has no section in the ledger")
	// ErrReplaced means that the section has another epoch: its keeper was replaced.
	ErrReplaced = errors.New("section has a keeper with another epoch")
	// ErrNotCovered means that an amount exceeds the balance that it is taken from.
	ErrNotCovered = errors.New("amount is not covered")
	// ErrBehind means that a zone has to write its section before an unaccounted amount
	// may be released.
	ErrBehind = errors.New("a zone may still have transfers to apply")
	// ErrAmount means that an amount is out of range.
	ErrAmount = errors.New("amount is out of range")
	// ErrTransfersFull means that a zone has to acknowledge applied transfers first.
	ErrTransfersFull = errors.New("too many applied transfers wait for a zone")
	// ErrTopUpReused means that a top-up ID was used before with other values.
	ErrTopUpReused = errors.New("top-up id was used with another budget or amount")
	// ErrInvariant means that a ledger violates the invariant of its balances.
	ErrInvariant = errors.New("ledger breaks its invariant")
)

// Error is the error of a transition. Budget, Zone and Amount may be zero.
type Error struct {
	Step    string
	Account contractor.Account
	Budget  contractor.BudgetName
	Zone    contractor.Zone
	Amount  contractor.Tokens
	Err     error
}

// Error returns all fields and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: account %q budget %q zone %q amount %d: %v",
		e.Step, e.Account, e.Budget, e.Zone, e.Amount, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
