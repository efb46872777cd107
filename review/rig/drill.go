package main

import (
	"net/http"
	"syscall"
	"time"

	"laburnumline/emulator"
)

const (
	// drillPrepaid is what the account has prepaid, in tokens.
	drillPrepaid = 900_000
	// drillServing is how long the added machine serves before it is stopped, and drillPause the time from its end
	// to the drill, in which the other machines make their next rounds.
	drillServing = 3 * time.Second
	drillPause   = 4 * time.Second
	// drillOutage is how long the store is away in the drill.
	drillOutage = 600 * time.Millisecond
	// drillRest is long enough for the account to be used up.
	drillRest = 36 * time.Second
)

// playDrill adds a machine, stops it again with SIGTERM, and then restores the store from a copy that is older than
// the machine. Rule BUDGET: a tenant gets no more than its prepaid.
func playDrill(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: drillPrepaid}
	config := configuration(7, customer)
	f.store.PutAsOperator("op/config", config)
	for i := range 6 {
		r := &runner{id: newRunnerID(), service: engineService, zone: zones[i%len(zones)], engine: true, work: 30 * time.Millisecond, gap: 3 * time.Millisecond}
		if err := f.addRunner(r); err != nil {
			return false, err
		}
	}
	address, err := f.serveStore(nil)
	if err != nil {
		return false, err
	}
	daemons := make([]*daemon, 2)
	for i := range daemons {
		if daemons[i], err = f.addDaemon(address); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(daemons...); err != nil {
		return false, err
	}
	long := func() call { return draft(customer, 11000, 120) }
	short := func() call { return draft(customer, 1460, 60) }
	time.Sleep(4 * time.Second) // the daemons share the balance

	older := f.store.Copy()
	f.journal.printf("the store is copied at revision %d", f.store.Revision())
	added, err := f.addDaemon(address)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(added); err != nil {
		return false, err
	}
	answers := f.load([]*daemon{added}, drillServing, 12, long)
	added.hold(true)
	added.signal(syscall.SIGTERM)
	for added.running() {
		time.Sleep(10 * time.Millisecond)
	}
	answers = append(answers, f.load(daemons, drillPause, 4, short)...)
	f.journal.printf("consumed so far: %d", consumed(answers))
	if trouble {
		f.journal.printf("the store is away")
		f.store.SetFaults(emulator.StoreFaults{Outage: true})
		time.Sleep(drillOutage)
		f.store.Restore(older)
		f.store.SetFaults(emulator.StoreFaults{Delay: storeDelay})
		f.journal.printf("the store is back from the copy at revision %d, era %d", f.store.Revision(), f.store.Era())
		f.store.PutAsOperator("op/config", config)
	}
	answers = append(answers, f.load(daemons, drillRest, 20, short)...)
	total := consumed(answers)
	refused := 0
	for _, a := range answers[len(answers)-40:] {
		if a.status == http.StatusPaymentRequired {
			refused++
		}
	}
	f.journal.printf("the tenant has prepaid %d tokens and got %d; of the last 40 requests %d got 402", int64(drillPrepaid), total, refused)
	return total > drillPrepaid, nil
}

// consumed returns the tokens that clients got: the prompt of each request of which an event arrived, and the tokens
// of the events.
func consumed(answers []answer) int64 {
	total := int64(0)
	for _, a := range answers {
		if a.events > 0 {
			total += int64(a.call.prompt + a.events*tokensPerEvent)
		}
	}
	return total
}
