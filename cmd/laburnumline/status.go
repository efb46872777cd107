package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"laburnumline/administrator"
	"laburnumline/contractor"
)

type statusCommand struct {
	noopCommander
	clientOptions
	Section  string `long:"section" choice:"contract" choice:"upstream" default:"contract" description:"kind of the change"`
	Revision int64  `long:"revision" description:"show where the change with this revision is in force"`
}

func (cmd *statusCommand) run(e *environment) error {
	if cmd.Revision > 0 {
		return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.ChangeStatus, error) {
			return c.ChangeStatus(ctx, cmd.Section, contractor.Revision(cmd.Revision))
		}, func(w io.Writer, s *administrator.ChangeStatus) { printLine(w, "%s", s.Text) })
	}
	return callAPI(e, &cmd.clientOptions, func(ctx context.Context, c *administrator.Client) (*administrator.FleetStatus, error) {
		return c.Status(ctx)
	}, printFleet)
}

func printFleet(w io.Writer, s *administrator.FleetStatus) {
	t := newTable(w, "VM\tZONE\tREACHED\tCONTRACTS\tUPSTREAMS\tCONTACT")
	for _, d := range s.Daemons {
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d\t%s\n", d.VM, d.Zone, d.Reached, d.Contracts, d.Upstreams, d.ContactAge)
	}
	_ = t.Flush()
	printLine(w, "%d of %d daemons answered", s.Reached, s.Total)
}

type versionCommand struct {
	noopCommander
}

func (*versionCommand) run(e *environment) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	printLine(e.stdout, "laburnumline %s, %s, %s/%s", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return nil
}
