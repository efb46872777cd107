package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"laburnumline/administrator"
	"laburnumline/contractor"
)

type claimList struct {
	noopCommander
	clientOptions
	Account contractor.Account `long:"account" description:"only claims of this account"`
	State   string             `long:"state" choice:"running" choice:"answered" choice:"unknown" description:"only claims in this state"`
	After   string             `long:"after" description:"first page entry is the one after this claim"`
	Limit   int                `long:"limit" default:"100" description:"largest number of claims"`
}

func (cmd *claimList) run(e *environment) error {
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ClaimPage, error) {
		return c.Claims(ctx, cmd.Account, cmd.State, cmd.After, cmd.Limit)
	}, func(w io.Writer, p *administrator.ClaimPage) {
		t := newTable(w, "ACCOUNT\tREQUEST\tSTATE\tVM\tSTARTED")
		for _, claim := range p.Claims {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", claim.Account, claim.Key, claim.State, claim.VM, claim.Started.Format(time.RFC3339))
		}
		_ = t.Flush()
		printNext(w, p.Next)
	})
}

type claimResolve struct {
	noopCommander
	clientOptions
	Ran        bool `long:"ran" description:"the call took effect; retries get a note that says so"`
	NotRun     bool `long:"not-run" description:"the call did not take effect; it may run again"`
	Positional struct {
		Account contractor.Account `positional-arg-name:"ACCOUNT"`
		Request string             `positional-arg-name:"REQUEST"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *claimResolve) run(e *environment) error {
	if cmd.Ran == cmd.NotRun {
		return usageErrorf("give one of --ran and --not-run")
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ResolutionResult, error) {
		return c.ResolveClaim(ctx, cmd.Positional.Account, cmd.Positional.Request, administrator.Resolution{Executed: cmd.Ran})
	}, func(w io.Writer, _ *administrator.ResolutionResult) {
		printLine(w, "claim %s of %s is resolved", cmd.Positional.Request, cmd.Positional.Account)
	})
}
