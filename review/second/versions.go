package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// darkTime is how long a machine without power is dark, as in the site file.
	darkTime = 3500 * time.Millisecond
	// releaseDelay is the time from the loss of power to the first runner of another version.
	releaseDelay = 500 * time.Millisecond
	// calmTime is the time without traffic after the start. Daemons that have run for less than a minute copy more.
	calmTime = 46 * time.Second
	// minTakenUp is the number of streams taken up from which on the rule applies.
	minTakenUp = 12
)

// runVersions takes the power of one machine. Its clients take their streams up at others. Meanwhile the first runners of
// another version of the software join, while all those of the first version serve. With RELEASE=0 they do not join.
func runVersions(w *world, trouble bool) (broken bool, err error) {
	w.load = load{perSecond: 26, events: 57, firstToken: 250 * time.Millisecond} // of rig-ask
	w.writeConfiguration(1)
	for _, z := range zones {
		for i := range 2 {
			if _, err := w.startRunner(fmt.Sprintf("i-%s-%d", z.name, i), "v1", z.name); err != nil {
				return false, err
			}
		}
	}
	if err := w.startDaemons(); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	t, stop := &traffic{}, make(chan struct{})
	go t.send(w, stop)
	time.Sleep(8 * time.Second)
	dark := w.busiest()
	if trouble {
		w.logf("%s loses power for %v", dark.name, darkTime)
		dark.losePower(darkTime)
	}
	time.Sleep(releaseDelay)
	for i := range 2 {
		if os.Getenv("RELEASE") == "0" {
			break
		}
		w.logf("a runner of version v2 joins")
		if _, err := w.startRunner(fmt.Sprintf("i-second-%d", i), "v2", zones[i].name); err != nil {
			return false, err
		}
	}
	time.Sleep(darkTime - releaseDelay)
	if trouble {
		w.logf("%s has power again", dark.name)
		if err := dark.regainPower(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	t.active.Wait()
	return t.checkTakenUp(w), nil
}

// checkTakenUp checks the rule LOST for streams that clients take up again, and logs ORDER. Attempts at machines that are not
// in touch do not count.
func (t *traffic) checkTakenUp(w *world) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	asked, begun, takenUp, goOn, joined := 0, 0, 0, 0, 0
	for _, s := range t.streams {
		takes, goes := false, false
		versions := make(map[string]bool)
		for i, a := range s.tries {
			for v := range a.versions {
				versions[v] = true
			}
			if i == 0 && a.inTouch {
				asked++
				if a.events > 0 {
					begun++
				}
			}
			if a.takesUp && a.inTouch {
				takes = true
				goes = goes || a.events > 0
			}
		}
		if takes {
			takenUp++
		}
		if goes {
			goOn++
		}
		if len(versions) > 1 {
			joined++
		}
	}
	w.resultf("streams at machines in touch: %d asked for, %d begun; %d taken up again, %d of these go on; %d hold events of two versions", asked, begun, takenUp, goOn, joined)
	if asked == 0 || takenUp < minTakenUp {
		return false
	}
	shareBegun, shareGoOn := float64(begun)/float64(asked), float64(goOn)/float64(takenUp)
	w.resultf("share of new streams that begin: %.2f; share of streams taken up that go on: %.2f", shareBegun, shareGoOn)
	return shareGoOn < shareBegun/2
}
