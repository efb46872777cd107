package main

import (
	"fmt"
	"time"
)

const (
	// drain is the bound drainMs.
	drain = 2 * time.Second
	// lateTime is how late a write of the store takes effect whose answer was lost, of 1 to 6 s.
	lateTime = 4500 * time.Millisecond
	// runnersPerZone and leavingRunners are the numbers of all runners of a zone and of those that leave.
	runnersPerZone, leavingRunners = 6, 3
	// serveTime is how long runners serve after their report. At times it is many seconds.
	serveTime = 9 * time.Second
)

// runLeaving empties some runners. The store does not answer their last beat before that, which takes effect some seconds late.
func runLeaving(w *world, trouble bool) (broken bool, err error) {
	w.load = load{perSecond: 70, events: 17, firstToken: 450 * time.Millisecond} // all streams of the site, of the length of mesh-rev
	w.writeConfiguration(1)
	for _, z := range zones {
		for i := range runnersPerZone {
			if _, err := w.startRunner(fmt.Sprintf("i-%s-%d", z.name, i), "v1", z.name); err != nil {
				return false, err
			}
		}
	}
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	t, stop := &traffic{}, make(chan struct{})
	go t.send(w, stop)
	time.Sleep(8 * time.Second)
	late := time.Duration(0)
	if trouble {
		late = lateTime
	}
	var leaving []*runner
	for i := range leavingRunners {
		r := w.runners[i*runnersPerZone+i]
		leaving = append(leaving, r)
		go r.leave(late)
	}
	time.Sleep(serveTime)
	close(stop)
	t.active.Wait()
	return t.checkLeaving(w, leaving), nil
}

// checkLeaving checks the rule DRAIN for runners that say in their answers that they leave.
func (t *traffic) checkLeaving(w *world, leaving []*runner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	type passage struct {
		daemon *daemon
		runner string
	}
	tries, passed := make(map[string]*try), make(map[passage]time.Time)
	for _, s := range t.streams {
		for _, a := range s.tries {
			tries[a.id] = a
			if !a.leaving {
				continue
			}
			p := passage{a.daemon, a.signature}
			if first, ok := passed[p]; !ok || a.answeredAt.Before(first) {
				passed[p] = a.answeredAt
			}
		}
	}
	late := 0
	for _, r := range leaving {
		for _, a := range r.arrivals {
			sent := tries[a.id]
			first, ok := passed[passage{sent.daemon, r.name}]
			if ok && sent.at.Sub(first) > drain {
				late++
				w.logf("request %s was sent %.3f s after %s had passed on that %s leaves, and reaches it from there", a.id, sent.at.Sub(first).Seconds(), sent.daemon.name, r.name)
			}
		}
	}
	w.resultf("%d machines have passed on that one of %d runners leaves; %d requests sent over %v later reach it from there", len(passed), len(leaving), late, drain)
	return late > 0
}
