// Command laburnumline is the router daemon and the operators' command line. Commands that
// read or change the configuration of a fleet are clients of its administration API.
//
//	laburnumline serve --settings laburnumline.ini   run a daemon
//	laburnumline check laburnumline.ini              check a settings file
//	laburnumline contract create loft.json           create a contract
//	laburnumline demo                                show the promises under failure
//
// A promise is a guarantee of the system to callers and operators, for example that a
// request is billed once. demo and soak check promises on a local fleet.
//
// Exit codes:
//
//	0  success
//	1  failure, or demo or soak found a broken promise
//	2  invalid usage, settings or input; nothing was changed
//	3  refused by the administration API, for example a conflict of revisions
//	4  administration API unreachable or failed, or outcome unknown
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"laburnumline/administrator"
	"laburnumline/configurer"
	"laburnumline/contractor"
)

// Exit codes of the command.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnreachable = 4
)

// environment is what a command gets from the process.
type environment struct {
	// ctx ends with the first SIGINT or SIGTERM.
	ctx context.Context
	// hangup receives SIGHUP, which asks a daemon to reload its settings. Nil means that there is none.
	hangup <-chan os.Signal
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// command is a subcommand. It is run after parsing, because Execute of go-flags has no
// context.
type command interface {
	run(e *environment) error
}

// daemonCommand is a command that SIGHUP and SIGPIPE do not end.
type daemonCommand interface {
	command
	runsDaemon()
}

// usageError marks an error of the usage or the input; its exit code is exitUsage.
type usageError struct{ err error }

func (u usageError) Error() string { return u.err.Error() }
func (u usageError) Unwrap() error { return u.err }

func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

func main() {
	ctx, hangup := handleSignals()
	os.Exit(run(&environment{ctx: ctx, hangup: hangup, stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr}, os.Args[1:]))
}

// handleSignals returns a context that ends with the first SIGINT or SIGTERM, and a channel that receives SIGHUP. The
// default action of these signals ends the process at once, so they are handled until it exits, also during a planned
// stop.
func handleSignals() (context.Context, <-chan os.Signal) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx, hangup
}

// run parses the arguments, runs the command and returns the exit code.
func run(e *environment, args []string) int {
	selected, err := parse(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		fmt.Fprintln(e.stdout, flagsError.Message)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(e.stderr, err)
		return exitUsage
	}
	if _, ok := selected.(daemonCommand); ok {
		// A write to a log whose reader has gone then fails instead of ending the daemon.
		signal.Ignore(syscall.SIGPIPE)
	} else {
		stopOnHangup(e)
	}
	err = selected.run(e)
	if err != nil {
		printError(e.stderr, err)
	}
	return exitCode(err)
}

// stopOnHangup ends the context of a command with SIGHUP as well.
func stopOnHangup(e *environment) {
	ctx, cancel := context.WithCancel(e.ctx)
	hangup := e.hangup
	e.ctx = ctx
	go func() {
		defer cancel()
		select {
		case <-hangup:
		case <-ctx.Done():
		}
	}()
}

// printError prints an error, its invalid fields, and the current revision after a conflict.
func printError(w io.Writer, err error) {
	var problems configurer.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			fmt.Fprintln(w, p)
		}
		return
	}
	fmt.Fprintln(w, err)
	var problem *administrator.Problem
	if !errors.As(err, &problem) {
		return
	}
	for _, f := range problem.Fields {
		fmt.Fprintln(w, "  "+f.Error())
	}
	if problem.Contract != nil {
		fmt.Fprintf(w, "  the contract is now at revision %d\n", problem.Contract.Revision)
	}
	if problem.Upstream != nil {
		fmt.Fprintf(w, "  the announcement is now at revision %d\n", problem.Upstream.Revision)
	}
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var problems configurer.Problems
	var fields contractor.FieldErrors
	var input usageError
	if errors.As(err, &problems) || errors.As(err, &fields) || errors.As(err, &input) {
		return exitUsage
	}
	var problem *administrator.Problem
	if !errors.As(err, &problem) {
		var unreachable unreachableError
		if errors.As(err, &unreachable) {
			return exitUnreachable
		}
		return exitFailed
	}
	if problem.Outcome == administrator.OutcomeUnknown || problem.Status >= 500 {
		return exitUnreachable
	}
	return exitRefused
}
