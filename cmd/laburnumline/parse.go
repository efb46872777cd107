package main

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// parse returns the command that the arguments select, with its options set.
func parse(args []string) (command, error) {
	var selected command
	parser := flags.NewNamedParser("laburnumline", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Routes requests to model engines and plain services within prepaid budgets.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 refused by the API, " +
		"4 API unreachable or outcome unknown."
	if err := addCommands(parser.Command, commandTable()); err != nil {
		return nil, err
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return fmt.Errorf("unexpected argument %q", rest[0])
		}
		cmd, ok := c.(command)
		if !ok {
			return errors.New("name a command; --help lists them")
		}
		selected = cmd
		return nil
	}
	_, err := parser.ParseArgs(args)
	return selected, err
}

// noopCommander is embedded in each command to implement flags.Commander. Execute does
// nothing, because parse only selects the command.
type noopCommander struct{}

// Execute implements flags.Commander.
func (noopCommander) Execute([]string) error { return nil }

// commandSpec describes one command, or a group of commands if command is nil.
type commandSpec struct {
	name, short, long string
	command           any
	subcommands       []commandSpec
}

func addCommands(parent *flags.Command, specs []commandSpec) error {
	for _, spec := range specs {
		data := spec.command
		if data == nil {
			data = &struct{}{}
		}
		child, err := parent.AddCommand(spec.name, spec.short, spec.long, data)
		if err != nil {
			return fmt.Errorf("add command %s: %w", spec.name, err)
		}
		if err := addCommands(child, spec.subcommands); err != nil {
			return err
		}
	}
	return nil
}

func commandTable() []commandSpec {
	return []commandSpec{
		{"serve", "run a daemon", "Runs a daemon until SIGINT or SIGTERM, which start the planned stop.", &serveCommand{}, nil},
		{"launch", "run a daemon on the users' platform", "Runs a daemon that keeps everything in the platform's store, until SIGINT or SIGTERM.", &launchCommand{}, nil},
		{"explain", "show what a daemon would do with a request now", "Asks a daemon that launch has started, at its metrics address. Nothing is sent to upstreams, reserved or counted.", &explainCommand{}, nil},
		{"soak", "run daemons under random faults", "Runs daemons as processes against stand-ins, with faults that are drawn from seeds, and reports promises that were broken.", &soakCommand{}, nil},
		{"demo", "show the promises under failure", "Starts three daemons and stand-ins on loopback addresses, kills, cuts, tops up and retires, and checks what callers got against the bill.", &demoCommand{}, nil},
		{"check", "check a settings file", "Names every wrong setting with file and line.", &checkCommand{}, nil},
		{"contract", "create, amend, top up, retire and show contracts", "Changes go through the administration API of any daemon.", nil, contractTable()},
		{"upstream", "announce upstreams that join or leave", "Changes go through the administration API of any daemon.", nil, upstreamTable()},
		{"claim", "list and resolve calls with unknown outcome", "A call that may not be repeated has a claim; one whose daemon died has an unknown outcome.", nil, claimTable()},
		{"status", "show what is in force on the daemons", "Shows the daemons of the fleet, or where one change is in force.", &statusCommand{}, nil},
		{"key", "hash bearer keys, make the fleet's certificates", "Contracts and settings hold hashes of keys, never the keys.", nil, keyTable()},
		{"version", "print the version", "Prints the version of the program and of Go.", &versionCommand{}, nil},
	}
}

func contractTable() []commandSpec {
	return []commandSpec{
		{"create", "create a contract from a JSON file", "The file may be - for standard input.", &contractCreate{}, nil},
		{"amend", "replace a contract", "--revision names the revision that was seen; another one is a conflict.", &contractAmend{}, nil},
		{"topup", "raise a prepaid budget, once by id", "Repeating the command with the same --id changes nothing.", &contractTopUp{}, nil},
		{"release", "free a part of what is unaccounted", "Amounts whose records were lost count as spent until they are released.", &contractRelease{}, nil},
		{"retire", "end a contract", "The contract stays as a tombstone.", &contractRetire{}, nil},
		{"show", "show a contract, its balances, history or bill", "", &contractShow{}, nil},
		{"list", "list contracts", "", &contractList{}, nil},
	}
}

func upstreamTable() []commandSpec {
	return []commandSpec{
		{"join", "announce an upstream from a JSON file", "The file may be - for standard input.", &upstreamJoin{}, nil},
		{"leave", "announce that an upstream leaves", "It gets no new work from then on.", &upstreamLeave{}, nil},
		{"remove", "remove the announcement of an upstream that has left", "", &upstreamRemove{}, nil},
		{"list", "list upstreams", "", &upstreamList{}, nil},
	}
}

func claimTable() []commandSpec {
	return []commandSpec{
		{"list", "list claims", "", &claimList{}, nil},
		{"resolve", "decide about an unknown outcome", "--ran says that the call took effect; --not-run frees its key.", &claimResolve{}, nil},
	}
}

func keyTable() []commandSpec {
	return []commandSpec{
		{"hash", "print the hash of a bearer key", "Reads the key from standard input.", &keyHash{}, nil},
		{"authority", "make the authority of a fleet", "", &keyAuthority{}, nil},
		{"issue", "make a daemon's certificate", "", &keyIssue{}, nil},
	}
}
