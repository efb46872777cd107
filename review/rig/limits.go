package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// usualHeaderBytes is the site's maxHeaderBytes, raisedHeaderBytes that of the later version.
	usualHeaderBytes  = 16384
	raisedHeaderBytes = 65536
	// longHeaderBytes is the length of a header that only the later version allows.
	longHeaderBytes = 30_000
	// maxDenied is how many requests the rule lets a system deny, besides one in 500.
	maxDenied = 5
)

// playLimits raises the limit for headers with a new version of the configuration. Rule DENIED: no more than 5 + one
// in 500 of all requests are ended with a 4xx though every configuration that may be in force allows them. Without the
// disturbance the first version has the raised limit already.
func playLimits(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: 7_489_380}
	first := raisedHeaderBytes
	if trouble {
		first = usualHeaderBytes
	}
	f.store.PutAsOperator("op/config", configurationWith(7, first, customer))
	for i := range 6 {
		r := &runner{id: newRunnerID(), service: plainService, zone: zones[i%len(zones)], work: 15 * time.Millisecond}
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
	answers := f.load(daemons, 6*time.Second, 20, func() call { return status(customer, "2f") })
	if trouble {
		f.store.PutAsOperator("op/config", configurationWith(9, raisedHeaderBytes, customer))
		f.journal.printf("version 9 of the configuration is acknowledged: maxHeaderBytes is %d instead of %d", raisedHeaderBytes, usualHeaderBytes)
	}
	// Longer than configApplyMs and maxSkewMs together.
	time.Sleep(8 * time.Second)
	long := f.load(daemons, 6*time.Second, 20, func() call {
		one := status(customer, "2f")
		one.extra = "Baggage: " + strings.Repeat("a", longHeaderBytes) + "\r\n"
		return one
	})
	answers = append(answers, long...)
	served, denied := 0, 0
	for _, a := range answers {
		switch {
		case a.complete && a.status == http.StatusOK:
			served++
		case a.status >= 300 && a.status < 500 && a.header.Get("Runner-Signature") == "" &&
			a.status != http.StatusRequestTimeout && a.status != http.StatusMisdirectedRequest && a.status != http.StatusTooManyRequests:
			denied++
		}
	}
	f.journal.printf("of %d requests %d were served and %d denied with a 4xx; %d had a header of %d bytes", len(answers), served, denied, len(long), longHeaderBytes)
	if served < len(answers)/4 {
		return false, errNotServed
	}
	return denied > maxDenied+len(answers)/500, nil
}
