package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"laburnumline/administrator"
	"laburnumline/biller"
	"laburnumline/contractor"
)

// contractFile is the argument that names a file with a complete contract.
type contractFile struct {
	Positional struct {
		File string `positional-arg-name:"FILE" description:"whole contract as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// read returns the contract in the file, or an error that lists each invalid field.
func (f *contractFile) read(e *environment) (*contractor.Contract, error) {
	var contract contractor.Contract
	if err := readJSON(e, f.Positional.File, &contract); err != nil {
		return nil, err
	}
	return &contract, contract.Validate()
}

type contractCreate struct {
	noopCommander
	clientOptions
	contractFile
}

func (cmd *contractCreate) run(e *environment) error {
	contract, err := cmd.read(e)
	if err != nil {
		return err
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ContractState, error) {
		return c.CreateContract(ctx, contract)
	}, printContractAccepted)
}

func printContractAccepted(w io.Writer, s *administrator.ContractState) {
	printLine(w, "contract %s accepted at revision %d", s.Contract.Account, s.Revision)
}

type contractAmend struct {
	noopCommander
	clientOptions
	contractFile
	Revision int64 `long:"revision" required:"yes" description:"revision of the contract that was seen"`
}

func (cmd *contractAmend) run(e *environment) error {
	contract, err := cmd.read(e)
	if err != nil {
		return err
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ContractState, error) {
		return c.AmendContract(ctx, contract, contractor.Revision(cmd.Revision))
	}, printContractAccepted)
}

type contractTopUp struct {
	noopCommander
	clientOptions
	ID         string `long:"id" required:"yes" description:"name of the top-up; it counts once"`
	Positional struct {
		Account contractor.Account    `positional-arg-name:"ACCOUNT"`
		Budget  contractor.BudgetName `positional-arg-name:"BUDGET"`
		Tokens  int64                 `positional-arg-name:"TOKENS"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *contractTopUp) run(e *environment) error {
	p := cmd.Positional
	if p.Tokens <= 0 {
		return usageErrorf("TOKENS is %d, allowed: 1 or more", p.Tokens)
	}
	topUp := administrator.TopUpRequest{ID: biller.TopUpID(cmd.ID), Tokens: contractor.Tokens(p.Tokens)}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*biller.Receipt, error) {
		return c.TopUpBudget(ctx, p.Account, p.Budget, topUp)
	}, func(w io.Writer, r *biller.Receipt) {
		printLine(w, "top-up %s of %s/%s counted: prepaid %d tokens", cmd.ID, p.Account, p.Budget, r.Prepaid)
	})
}

type contractRelease struct {
	noopCommander
	clientOptions
	Force      bool `long:"force" description:"release although a zone has not written since; for zones that are gone for good"`
	Positional struct {
		Account contractor.Account    `positional-arg-name:"ACCOUNT"`
		Budget  contractor.BudgetName `positional-arg-name:"BUDGET"`
		Tokens  int64                 `positional-arg-name:"TOKENS"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *contractRelease) run(e *environment) error {
	p := cmd.Positional
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ReleaseResult, error) {
		return c.ReleaseUnaccounted(ctx, p.Account, p.Budget, administrator.ReleaseRequest{Tokens: contractor.Tokens(p.Tokens), Force: cmd.Force})
	}, func(w io.Writer, _ *administrator.ReleaseResult) {
		printLine(w, "%d tokens of %s/%s are free again", p.Tokens, p.Account, p.Budget)
	})
}

type contractRetire struct {
	noopCommander
	clientOptions
	Revision   int64 `long:"revision" required:"yes" description:"revision of the contract that was seen"`
	Positional struct {
		Account contractor.Account `positional-arg-name:"ACCOUNT"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *contractRetire) run(e *environment) error {
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ContractState, error) {
		return c.RetireContract(ctx, cmd.Positional.Account, contractor.Revision(cmd.Revision))
	}, printContractAccepted)
}

type contractShow struct {
	noopCommander
	clientOptions
	Bills      bool   `long:"bills" description:"show the bill instead, one line for each request"`
	History    bool   `long:"history" description:"show the accepted changes instead"`
	From       string `long:"from" description:"first day or time of the bill"`
	To         string `long:"to" description:"end of the bill"`
	Positional struct {
		Account contractor.Account `positional-arg-name:"ACCOUNT"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *contractShow) run(e *environment) error {
	switch {
	case cmd.Bills && cmd.History:
		return usageErrorf("--bills and --history exclude each other")
	case cmd.Bills:
		return cmd.showBill(e)
	case cmd.History:
		return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.History, error) {
			return c.ContractHistory(ctx, cmd.Positional.Account, 0)
		}, printHistory)
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ContractState, error) {
		return c.Contract(ctx, cmd.Positional.Account)
	}, printContract)
}

func (cmd *contractShow) showBill(e *environment) error {
	from, err := parseTime("--from", cmd.From)
	if err != nil {
		return err
	}
	to, err := parseTime("--to", cmd.To)
	if err != nil {
		return err
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.Bill, error) {
		return c.Bill(ctx, cmd.Positional.Account, from, to)
	}, printBill)
}

func printContract(w io.Writer, s *administrator.ContractState) {
	state := "in force"
	if s.Contract.Retired {
		state = "retired"
	}
	printLine(w, "contract %s, revision %d, %s, %d keys", s.Contract.Account, s.Revision, state, len(s.Contract.Keys))
	t := newTable(w, "BUDGET\tPREPAID\tSPENT\tUNACCOUNTED\tGRANTED\tFREE")
	for _, b := range s.Balances {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\n", b.Budget, b.Prepaid, b.Settled, b.Unaccounted, b.Granted, b.Free)
	}
	_ = t.Flush()
}

func printBill(w io.Writer, b *administrator.Bill) {
	t := newTable(w, "TIME\tBUDGET\tTOKENS\tSTATE\tREQUEST")
	for _, l := range b.Lines {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", l.At.Format(time.RFC3339), l.Budget, l.Tokens, l.State, l.Request)
	}
	_ = t.Flush()
	printLine(w, "%d requests, %d tokens", len(b.Lines), b.Tokens)
}

func printHistory(w io.Writer, h *administrator.History) {
	t := newTable(w, "TIME\tREVISION\tOPERATOR\tACTION\tDETAIL")
	for _, entry := range h.Entries {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", entry.At.Format(time.RFC3339), entry.Revision, entry.Operator, entry.Action, entry.Detail)
	}
	_ = t.Flush()
}

func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	return t
}

type contractList struct {
	noopCommander
	clientOptions
	After string `long:"after" description:"first page entry is the one after this account"`
	Limit int    `long:"limit" default:"100" description:"largest number of contracts"`
}

func (cmd *contractList) run(e *environment) error {
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ContractPage, error) {
		return c.Contracts(ctx, cmd.After, cmd.Limit)
	}, func(w io.Writer, p *administrator.ContractPage) {
		t := newTable(w, "ACCOUNT\tREVISION\tBUDGETS\tKEYS\tRETIRED")
		for _, s := range p.Contracts {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%t\n", s.Contract.Account, s.Revision, len(s.Contract.Budgets), len(s.Contract.Keys), s.Contract.Retired)
		}
		_ = t.Flush()
		printNext(w, p.Next)
	})
}

func printNext(w io.Writer, next string) {
	if next != "" {
		printLine(w, "more with --after %s", next)
	}
}
