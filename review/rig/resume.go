package main

import (
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	resumeStreams = 40
	// resumeEvents takes a stream about 2.5 s.
	resumeEvents  = 50
	resumeTimeout = 6 * time.Second
	// cutAfter is the time from the first stream to the end of all daemons.
	cutAfter = time.Second
)

// playResume kills all daemons at once while they forward streams and runners of two software versions serve. Rule
// LOST: of the streams that clients take up again at machines in touch, at least half as many go on as new ones begin.
// Without the disturbance the clients lose their connections at that moment.
func playResume(f *fleet, trouble bool) (broken bool, err error) {
	customer := account{name: "hule930", key: "n2ctnfzs989anu6wsjnb", prepaid: 74_893_800}
	f.store.PutAsOperator("op/config", configuration(7, customer))
	for i := range 6 {
		r := &runner{id: newRunnerID(), service: engineService, zone: zones[i%len(zones)], engine: true, work: 50 * time.Millisecond, gap: 50 * time.Millisecond, version: []string{"v1", "v2"}[i/3]}
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
	time.Sleep(5 * time.Second)

	c := newClient(f)
	begun := time.Now()
	cutAt := begun.Add(cutAfter)
	touch := cutAt
	var calls sync.WaitGroup
	var mu sync.Mutex
	taken, wentOn := 0, 0
	for i := range resumeStreams {
		calls.Go(func() {
			tookUp, goesOn := c.followStream(daemons, i, customer, begun, cutAt, trouble, func() time.Time { mu.Lock(); defer mu.Unlock(); return touch })
			mu.Lock()
			defer mu.Unlock()
			if tookUp {
				taken++
			}
			if goesOn {
				wentOn++
			}
		})
	}
	time.Sleep(time.Until(cutAt))
	if trouble {
		for _, d := range daemons {
			d.signal(syscall.SIGKILL)
		}
		mu.Lock()
		// Machines are in touch again stableMs after their processes have started.
		touch = cutAt.Add(restartDelay + stable + 200*time.Millisecond)
		mu.Unlock()
	}
	time.Sleep(time.Until(cutAt.Add(restartDelay + stable + 300*time.Millisecond)))
	fresh := f.load(daemons, 1500*time.Millisecond, 20, func() call { return resumable(customer) })
	calls.Wait()
	beganNew := 0
	for _, a := range fresh {
		if a.events > 0 {
			beganNew++
		}
	}
	f.journal.printf("%d streams were taken up at machines in touch, %d went on; of %d new ones %d began", taken, wentOn, len(fresh), beganNew)
	if taken < 12 || beganNew == 0 {
		return false, errNotServed
	}
	return float64(wentOn)/float64(taken) < 0.5*float64(beganNew)/float64(len(fresh)), nil
}

// resumable returns a call for a stream that may be resumed.
func resumable(a account) call {
	one := draft(a, 1460, resumeEvents*tokensPerEvent)
	one.path, one.timeout = resumablePath, resumeTimeout
	return one
}

// followStream begins a stream and, when its connection breaks, takes it up again at other machines until it is
// complete or its time is over. It waits as long as a refusal says. It reports whether it was taken up at a machine in touch,
// and whether it went on at one.
func (c *client) followStream(daemons []*daemon, i int, a account, begun, cutAt time.Time, trouble bool, touch func() time.Time) (tookUp, goesOn bool) {
	first := resumable(a)
	if !trouble {
		first.cutAt = cutAt
	}
	answer := c.send(daemons[i%len(daemons)], first)
	received, heard := answer.events, answer.endedAt
	if answer.complete || received == 0 {
		return false, false
	}
	wait := 300 * time.Millisecond
	for try := 1; ; try++ {
		time.Sleep(wait)
		left := time.Until(begun.Add(resumeTimeout))
		if left < 500*time.Millisecond || time.Since(heard) > resumableGap {
			return tookUp, goesOn
		}
		next := resumable(a)
		next.prompt, next.output, next.timeout = first.prompt, first.output, left
		next.body = first.body
		next.extra = "Last-Event-Id: " + strconv.Itoa(received) + "\r\nResumes: " + first.id + "\r\n"
		inTouch := time.Now().After(touch())
		answer = c.send(daemons[(i+try)%len(daemons)], next)
		tookUp = tookUp || inTouch
		goesOn = goesOn || inTouch && answer.events > 0
		if received += answer.events; answer.events > 0 {
			heard = answer.endedAt
		}
		if answer.complete && answer.status == http.StatusOK {
			return tookUp, goesOn
		}
		wait = 300 * time.Millisecond
		if seconds, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(seconds*float64(time.Second)), left/3)
		}
	}
}
