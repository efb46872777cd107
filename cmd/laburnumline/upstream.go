package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"laburnumline/administrator"
	"laburnumline/contractor"
)

type upstreamJoin struct {
	noopCommander
	clientOptions
	Positional struct {
		File string `positional-arg-name:"FILE" description:"announcement as JSON"`
	} `positional-args:"yes" required:"yes"`
}

func (cmd *upstreamJoin) run(e *environment) error {
	var u contractor.Upstream
	if err := readJSON(e, cmd.Positional.File, &u); err != nil {
		return err
	}
	if err := u.Validate(); err != nil {
		return err
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.UpstreamState, error) {
		return c.JoinUpstream(ctx, &u)
	}, printUpstreamAccepted)
}

func printUpstreamAccepted(w io.Writer, s *administrator.UpstreamState) {
	printLine(w, "announcement of %s accepted at revision %d", s.Upstream.Name, s.Revision)
}

// upstreamOptions are the options of commands that change the announcement of an upstream.
type upstreamOptions struct {
	clientOptions
	Revision   int64 `long:"revision" description:"revision of the announcement that was seen; none means any"`
	Positional struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// change calls the API to change the announcement and prints the result.
func (o *upstreamOptions) change(e *environment, call func(c *administrator.Client, ctx context.Context, name string, expected contractor.Revision) (*administrator.UpstreamState, error)) error {
	return callAPI(e, &o.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.UpstreamState, error) {
		return call(c, ctx, o.Positional.Name, contractor.Revision(o.Revision))
	}, printUpstreamAccepted)
}

type upstreamLeave struct {
	noopCommander
	upstreamOptions
}

func (cmd *upstreamLeave) run(e *environment) error {
	return cmd.change(e, (*administrator.Client).LeaveUpstream)
}

type upstreamRemove struct {
	noopCommander
	upstreamOptions
}

func (cmd *upstreamRemove) run(e *environment) error {
	return cmd.change(e, (*administrator.Client).RemoveUpstream)
}

type upstreamList struct {
	noopCommander
	clientOptions
	After string `long:"after" description:"first page entry is the one after this name"`
	Limit int    `long:"limit" default:"100" description:"largest number of upstreams"`
}

func (cmd *upstreamList) run(e *environment) error {
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.UpstreamPage, error) {
		return c.Upstreams(ctx, cmd.After, cmd.Limit)
	}, func(w io.Writer, p *administrator.UpstreamPage) {
		t := newTable(w, "NAME\tREVISION\tKIND\tZONE\tURL\tSERVES\tLEAVING")
		for _, s := range p.Upstreams {
			u := s.Upstream
			serves := u.Service
			if u.Kind == contractor.KindEngine {
				serves = strings.Join(u.Models, ",")
			}
			fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%t\n", u.Name, s.Revision, u.Kind, u.Zone, u.URL, serves, u.Leaving)
		}
		_ = t.Flush()
		printNext(w, p.Next)
	})
}
