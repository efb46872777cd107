// Command second runs the cases of the second review that are scripts: it starts the daemons of a small deployment as
// processes on loopback addresses, with stand-ins of the platform's store, the runners, the operator and the clients, and
// checks one rule by what clients and runners have seen.
//
//	review-second -program target/laburnumline -case versions -record record.txt
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration ends a case that hangs.
const maxDuration = 110 * time.Second

// caseFunc runs a case and reports whether the rule was broken.
type caseFunc func(w *world, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{"versions": runVersions, "leaving": runLeaving, "parts": runParts, "restart": runRestart}

func main() {
	program := flag.String("program", "target/laburnumline", "program of the daemon")
	name := flag.String("case", "", "case to run")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*program, *name, *record))
}

func run(program, name, recordPath string) int {
	runCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q is unknown\n", name)
		return exitNotRun
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	giveUp := func(reason string) {
		fmt.Fprintln(os.Stderr, "the case could not run:", reason)
		w.close()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxDuration, func() { giveUp("it takes too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { giveUp((<-signals).String()) }()
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, disruption %v", name, trouble)
	broken, err := runCase(w, trouble)
	w.close()
	if err != nil {
		w.logf("the case could not run: %v", err)
	} else {
		w.logf("rule broken: %v", broken)
	}
	if writeErr := os.WriteFile(recordPath, w.recorded(), 0o600); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// logf adds a line with the time since the start to the record. Results are also printed.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.record, "%8.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(&w.record, format+"\n", args...)
}

// resultf is logf, and prints the line.
func (w *world) resultf(format string, args ...any) {
	w.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) recorded() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bytes.Clone(w.record.Bytes())
}
