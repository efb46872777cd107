package main

import (
	"fmt"
	"time"
)

// allDarkTime is how long all machines are without power.
const allDarkTime = 600 * time.Millisecond

// runRestart takes the power of all machines while runners of two versions of the software serve. Clients take their streams up,
// also when the machines have been back for long enough to be in touch.
func runRestart(w *world, trouble bool) (broken bool, err error) {
	w.load = load{perSecond: 26, events: 57, firstToken: 250 * time.Millisecond} // of rig-ask
	w.writeConfiguration(1)
	for _, z := range zones {
		for i := range 4 {
			if _, err := w.startRunner(fmt.Sprintf("i-%s-%d", z.name, i), fmt.Sprintf("v%d", 1+i%2), z.name); err != nil {
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
	if trouble {
		w.logf("all machines lose power for %v", allDarkTime)
		for _, d := range w.daemons {
			d.losePower(allDarkTime)
		}
		time.Sleep(allDarkTime)
		for _, d := range w.daemons {
			if err := d.regainPower(); err != nil {
				return false, err
			}
		}
		w.logf("all machines have power again")
	}
	time.Sleep(10 * time.Second)
	close(stop)
	t.active.Wait()
	return t.checkTakenUp(w), nil
}
