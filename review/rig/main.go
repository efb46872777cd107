// Command rig runs the scripted cases of the review. It starts daemons as separate processes with the
// command of the deploy file, on loopback addresses, with stand-ins of the store, the runners, the clients
// and the platform, and writes what was sent, run and answered to a record.
//
//	rig --case endless --record record.txt
//
// Exit codes: 0 the rule held, 1 the rule was broken, 2 the case could not run. With TROUBLE=0 in the
// environment the case runs without its disturbance.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of the command.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime ends a case that does not end by itself. A script may run for 120 s.
const maxRunTime = 110 * time.Second

var errNoCase = errors.New("no such case")

// A scenario plays one case and reports whether the rule was broken.
type scenario func(f *fleet, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"hangup":  playHangup,
	"endless": playEndless,
	"drill":   playDrill,
	"stale":   playStale,
	"poison":  playPoison,
	"limits":  playLimits,
	"resume":  playResume,
	"upload":  playUpload,
}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	code, err := play(*name, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(code)
}

// play plays one case and returns the exit code.
func play(name, recordPath string, trouble bool) (int, error) {
	run, ok := scenarios[name]
	if !ok {
		return exitFailed, fmt.Errorf("%w: %q", errNoCase, name)
	}
	log, err := newJournal(recordPath)
	if err != nil {
		return exitFailed, err
	}
	defer log.close()
	f, err := newFleet(log)
	if err != nil {
		return exitFailed, err
	}
	watchdog := time.AfterFunc(maxRunTime, func() {
		log.printf("the case did not end in %s", maxRunTime)
		f.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		log.printf("ended by signal %v", <-signals)
		f.close()
		os.Exit(exitFailed)
	}()
	log.printf("case %s, trouble %v", name, trouble)
	broken, err := run(f, trouble)
	if err != nil {
		log.printf("could not run: %v", err)
		return exitFailed, err
	}
	log.printf("rule broken: %v", broken)
	fmt.Printf("%s: trouble %v, rule broken: %v\n", name, trouble, broken)
	if broken {
		return exitBroken, nil
	}
	return exitHeld, nil
}
