package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonMark = "9f"
	// poisonDowntime is how long a crashed runner is down.
	poisonDowntime = 3 * time.Second
	// poisonInterval is the time between two clients that send the request.
	poisonInterval = 2 * time.Second
	poisonTime     = 70 * time.Second
	// poisonRepeats is how often a client that repeats at once sends the request more. The site names three.
	poisonRepeats = 3
	// poisonDaemons is the number of machines at the site, poisonRunners that of runners.
	poisonDaemons = 7
	poisonRunners = 18
	// stable is stableMs of the settings.
	stable = 3 * time.Second
)

// poisonLog has the arrivals of the request that crashes runners.
type poisonLog struct {
	mu       sync.Mutex
	arrivals []time.Time
}

// crash is a fault that crashes the runner when it begins to run the request, and brings it back later.
func (p *poisonLog) crash(r *runner, _ http.ResponseWriter, request *http.Request) bool {
	if !strings.Contains(request.URL.Path, poisonMark) {
		return false
	}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	n := len(p.arrivals)
	p.mu.Unlock()
	r.fleet.journal.printf("%s runs the request that crashes runners, as arrival %d, and crashes", r.id, n)
	r.unlisted.Store(true)
	old := r.server
	_ = old.Close()
	time.AfterFunc(poisonDowntime, func() { r.fleet.revive(r) })
	return true
}

// revive starts a runner again at its address, with a new id.
func (f *fleet) revive(old *runner) {
	select {
	case <-f.done:
		return
	default:
	}
	l, err := net.Listen("tcp", old.address)
	if err != nil {
		f.journal.printf("a runner could not start again: %v", err)
		return
	}
	r := &runner{id: newRunnerID(), service: old.service, zone: old.zone, engine: old.engine, work: old.work, gap: old.gap, fault: old.fault}
	f.startRunner(r, l)
	time.AfterFunc(3*heartbeat-poisonDowntime, func() { f.store.RemoveAsOperator("servers/" + old.id) })
}

// playPoison sends a request that crashes each runner that runs it, again and again. Rule BUDGET: it reaches runners
// in no more than three retries later than stableMs after it has crashed the third.
func playPoison(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: 7_489_380}
	f.store.PutAsOperator("op/config", configuration(7, customer))
	var log poisonLog
	for i := range poisonRunners {
		r := &runner{id: newRunnerID(), service: plainService, zone: zones[i%len(zones)], work: 15 * time.Millisecond, fault: log.crash}
		if err := f.addRunner(r); err != nil {
			return false, err
		}
	}
	address, err := f.serveStore(nil)
	if err != nil {
		return false, err
	}
	daemons := make([]*daemon, poisonDaemons)
	for i := range daemons {
		if daemons[i], err = f.addDaemon(address); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(daemons...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the daemons know each other
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		if trouble {
			f.sendPoison(daemons, customer, stop)
		}
	})
	answers := f.load(daemons, poisonTime, 20, func() call { return status(customer, "2f") })
	close(stop)
	clients.Wait()
	return f.judgePoison(&log, answers)
}

// sendPoison sends the request every two seconds, by a client that repeats at once. Each try that ends without a promise
// is retried once at another machine.
func (f *fleet) sendPoison(daemons []*daemon, customer account, stop <-chan struct{}) {
	c := newClient(f)
	for i := 0; ; i++ {
		var repeats sync.WaitGroup
		for k := range 1 + poisonRepeats {
			repeats.Go(func() {
				a := c.send(daemons[(i+k)%len(daemons)], status(customer, poisonMark))
				if !a.complete || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
					c.send(daemons[(i+k+1+poisonRepeats)%len(daemons)], status(customer, poisonMark))
				}
			})
		}
		repeats.Wait()
		select {
		case <-stop:
			return
		case <-time.After(poisonInterval):
		}
	}
}

func (f *fleet) judgePoison(log *poisonLog, answers []answer) (broken bool, err error) {
	served := 0
	for _, a := range answers {
		if a.complete && a.status == http.StatusOK {
			served++
		}
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	late := 0
	for i, at := range log.arrivals {
		if i >= 3 && at.Sub(log.arrivals[2]) > stable {
			late++
		}
	}
	f.journal.printf("of %d sound requests %d were served; the request that crashes runners reached runners %d times, %d of them later than %v after the third",
		len(answers), served, len(log.arrivals), late, stable)
	if served < len(answers)/4 {
		return false, errNotServed
	}
	return late > 3, nil
}

// status returns a call that may be repeated.
func status(a account, path string) call {
	return call{id: newID(), method: http.MethodGet, path: statusPath + path + "/", key: a.key, timeout: plainTimeout}
}
