package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// hangupStreams is the number of streams in flight at the daemon that stops. Each lasts about four seconds,
	// half of the grace period.
	hangupStreams = 12
	// hangupDelay is the time from SIGTERM to SIGHUP.
	hangupDelay = time.Second
)

// playHangup stops a daemon with SIGTERM while it forwards streams, and tells it a second later with SIGHUP that
// its settings file has changed. Rule LOST: a planned stop ends no request that has been passed on.
func playHangup(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: 7_489_380}
	f.store.PutAsOperator("op/config", configuration(7, customer))
	for i := range 4 {
		r := &runner{id: newRunnerID(), service: engineService, zone: zones[i%len(zones)], engine: true, work: 100 * time.Millisecond, gap: 100 * time.Millisecond}
		if err := f.addRunner(r); err != nil {
			return false, err
		}
	}
	address, err := f.serveStore(nil)
	if err != nil {
		return false, err
	}
	daemons := make([]*daemon, 3)
	for i := range daemons {
		if daemons[i], err = f.addDaemon(address); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(daemons...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the daemons share the balance

	stopping, c := daemons[0], newClient(f)
	var calls sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range hangupStreams {
		calls.Go(func() {
			a := c.send(stopping, draft(customer, 1460, 120))
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	time.Sleep(700 * time.Millisecond)
	stopping.hold(true)
	stopping.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(hangupDelay)
		stopping.signal(syscall.SIGHUP)
	}
	calls.Wait()
	lost, served := 0, 0
	runs := f.runsOf()
	for _, a := range answers {
		switch passedOn := len(runs[a.call.id]) > 0; {
		case a.complete && a.status == 200:
			served++
		case passedOn && !a.complete:
			lost++
			f.journal.printf("lost: %s was passed on to a runner and ended after %d events: %v", a.call.id, a.events, a.err)
		}
	}
	f.journal.printf("of %d streams %d were served and %d lost", len(answers), served, lost)
	if served+lost < hangupStreams {
		return false, errNotServed
	}
	return lost > 0, nil
}
