package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"laburnumline/soaker"
)

type soakCommand struct {
	noopCommander
	Seed    uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds   uint64        `long:"seeds" default:"1" description:"number of seeds, one after another"`
	Daemons int           `long:"daemons" default:"5" description:"number of daemons; from 29 on they use relays"`
	Time    time.Duration `long:"time" default:"20s" description:"how long faults come with each seed"`
	Planned bool          `long:"planned" description:"no faults: only stop and start daemons and change their settings files"`
	Program string        `long:"program" description:"program of the daemons; the default is this one"`
	Folder  string        `long:"folder" description:"where settings and logs of the seeds that fail are kept; the default is a new folder"`
	Verbose bool          `long:"verbose" description:"write a line for each fault"`
}

var errPromisesBroken = errors.New("promises were broken")

func (cmd *soakCommand) run(e *environment) error {
	program, err := cmd.Program, error(nil)
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return fmt.Errorf("find the program: %w", err)
		}
	}
	folder := cmd.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak-"); err != nil {
			return fmt.Errorf("make a folder: %w", err)
		}
	}
	failed := false
	for seed := cmd.Seed; seed < cmd.Seed+cmd.Seeds; seed++ {
		broken, err := cmd.runSeed(e, program, filepath.Join(folder, fmt.Sprint("seed-", seed)), seed)
		if err != nil {
			return err
		}
		failed = failed || broken
	}
	if failed {
		return fmt.Errorf("%w; logs are in %s", errPromisesBroken, folder)
	}
	return nil
}

// runSeed runs the test with one seed and reports whether a promise was broken. The logs
// are kept only in this case.
func (cmd *soakCommand) runSeed(e *environment, program, folder string, seed uint64) (bool, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return false, fmt.Errorf("make a folder: %w", err)
	}
	c := soaker.Config{Program: program, Daemons: cmd.Daemons, Duration: cmd.Time, Seed: seed, Planned: cmd.Planned, Folder: folder}
	if cmd.Verbose {
		c.Output = e.stdout
	}
	report, err := soaker.Run(e.ctx, c)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Fprintln(e.stdout, report)
	for _, b := range report.Violations {
		fmt.Fprintln(e.stdout, "  "+b)
	}
	if len(report.Violations) > 0 {
		return true, nil
	}
	return false, os.RemoveAll(folder)
}
