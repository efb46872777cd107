package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errNotServed means that too few requests were served to judge a rule.
var errNotServed = errors.New("too few requests were served")

func newRunnerID() string { return fmt.Sprintf("i-%08x", rand.Uint32()) }

const (
	endlessDaemons = 3
	endlessRunners = 6
	// faultyRunners of them answer faultyShare of their requests with bytes without end, for faultyTime.
	// The largest dose of garble at the site is a share of 0.6 of the runners and 0.05 of their answers.
	faultyRunners = 3
	faultyShare   = 0.05
	faultyTime    = 6 * time.Second
	// endlessRate is the number of requests a second at all daemons, as many for each as at the site.
	endlessRate = 42
	endlessTime = 14 * time.Second
	// linkBytesPerSecond is the bandwidth of a machine's link: 1,000 Mbit/s.
	linkBytesPerSecond = 125_000_000
)

// playEndless lets runners answer a few of their requests with a head that has no end. Rule LOST: no machine
// passes a request from a kept connection on to a sound runner and closes that connection without an answer, more
// than three times.
func playEndless(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: 74_893_800}
	f.store.PutAsOperator("op/config", configuration(7, customer))
	var faulty atomic.Bool
	faultyIDs := make(map[string]bool)
	for i := range endlessRunners {
		r := &runner{id: newRunnerID(), service: engineService, zone: zones[i%len(zones)], engine: true, work: 50 * time.Millisecond, gap: 15 * time.Millisecond}
		if i < faultyRunners {
			faultyIDs[r.id] = true
			r.fault = everyNth(&faulty, int(1/faultyShare))
		}
		if err := f.addRunner(r); err != nil {
			return false, err
		}
	}
	address, err := f.serveStore(nil)
	if err != nil {
		return false, err
	}
	daemons := make([]*daemon, endlessDaemons)
	for i := range daemons {
		if daemons[i], err = f.addDaemon(address); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(daemons...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the daemons share the balance
	if trouble {
		start := time.AfterFunc(4*time.Second, func() { faulty.Store(true) })
		stop := time.AfterFunc(4*time.Second+faultyTime, func() { faulty.Store(false) })
		defer start.Stop()
		defer stop.Stop()
	}
	answers := f.load(daemons, endlessTime, endlessRate, func() call { return draft(customer, 1460, 171) })
	return f.judgeEndless(daemons, answers, faultyIDs)
}

// everyNth returns a fault that answers each nth request without end while it is active.
func everyNth(active *atomic.Bool, n int) func(*runner, http.ResponseWriter, *http.Request) bool {
	var count atomic.Int64
	return func(r *runner, w http.ResponseWriter, request *http.Request) bool {
		if !active.Load() || count.Add(1)%int64(n) != 0 {
			return false
		}
		r.recordRun(request.Header.Get("Attempt-Id"), false)
		writeEndlessHead(w)
		return true
	}
}

// writeEndlessHead writes a status line and a header without an end, at the speed of a machine's link, until the
// caller closes the connection.
func writeEndlessHead(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	if _, err := connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: ")); err != nil {
		return
	}
	chunk := make([]byte, 64<<10)
	for i := range chunk {
		chunk[i] = 'a' + byte(i%26)
	}
	begun, sent := time.Now(), 0
	for {
		n, err := connection.Write(chunk)
		if err != nil {
			return
		}
		sent += n
		due := time.Duration(float64(sent) / linkBytesPerSecond * float64(time.Second))
		time.Sleep(due - time.Since(begun))
	}
}

// load sends calls to the daemons at an even rate for some time and returns all answers.
func (f *fleet) load(daemons []*daemon, duration time.Duration, perSecond int, next func() call) []answer {
	c := newClient(f)
	var mu sync.Mutex
	var answers []answer
	var calls sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		target := daemons[i%len(daemons)]
		if !target.running() {
			continue // the platform forwards no connection there
		}
		calls.Go(func() {
			a := c.send(target, next())
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	calls.Wait()
	return answers
}

func (f *fleet) judgeEndless(daemons []*daemon, answers []answer, faulty map[string]bool) (broken bool, err error) {
	runs := f.runsOf()
	served, lost, most := 0, 0, 0
	lostAt := make(map[string]int)
	for _, a := range answers {
		if a.complete && a.status == http.StatusOK {
			served++
		}
		of := runs[a.call.id]
		if a.complete || !a.kept || len(of) != 1 || !of[0].sound || faulty[of[0].runner] {
			continue
		}
		lost++
		lostAt[a.daemon]++
		most = max(most, lostAt[a.daemon])
		f.journal.printf("lost: %s on a kept connection to %s was passed on to the sound runner %s and got no answer: %v", a.call.id, a.daemon, of[0].runner, a.err)
	}
	ends := 0
	for _, d := range daemons {
		d.mu.Lock()
		ends += d.outOfMemory
		f.journal.printf("%s: %d starts, %d ends over the memory limit", d.name, d.starts, d.outOfMemory)
		d.mu.Unlock()
	}
	f.journal.printf("of %d requests %d were served; %d on kept connections that sound runners ran got no answer, %d at most at one machine; %d processes ended over their memory limit",
		len(answers), served, lost, most, ends)
	if served < len(answers)/4 {
		return false, errNotServed
	}
	return most > 3, nil
}
