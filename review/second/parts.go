package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// firstPart is the first part of all prompts of the small tenant.
	firstPart = "f1257001:350"
	// soundInterval and crashingInterval are the times between two requests of the small tenant.
	soundInterval, crashingInterval = time.Second, 333 * time.Millisecond
	// soundTime is how long sound requests come before the first one that crashes runners, pauseTime the pause of the sound
	// requests then, and crashingTime how long both come after it.
	soundTime, pauseTime, crashingTime = 24 * time.Second, 3 * time.Second, 40 * time.Second
	// decisiveCrash is the number of crashes after which sound requests are counted.
	decisiveCrash = 5
	// minSound is the number of sound requests, before and after, from which on the rule applies.
	minSound = 20
)

// runParts sends requests of a small tenant that share their first prompt part. From some time on, others of its requests hold a
// part that crashes each runner that begins to write an answer.
func runParts(w *world, trouble bool) (broken bool, err error) {
	w.load = load{perSecond: 26, events: 8, firstToken: 250 * time.Millisecond}
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
	others, sound, crashing := &traffic{}, &traffic{}, &traffic{}
	stop := make(chan struct{})
	go others.send(w, stop)
	sound.sendEvery(w, soundInterval, soundTime, func(n int) string { return fmt.Sprintf("%s,d0c0%04x:700", firstPart, n%20) })
	changed := time.Now()
	if trouble {
		w.logf("requests with a part that crashes runners begin to come")
		go crashing.sendEvery(w, crashingInterval, pauseTime+crashingTime, func(int) string { return firstPart + "," + crashPart + ":700" })
	}
	time.Sleep(pauseTime)
	sound.sendEvery(w, soundInterval, crashingTime, func(n int) string { return fmt.Sprintf("%s,d0c0%04x:700", firstPart, n%20) })
	close(stop)
	for _, t := range []*traffic{others, sound, crashing} {
		t.active.Wait()
	}
	return sound.checkSound(w, changed), nil
}

// sendEvery begins streams of the small tenant in an interval for a time. parts returns the parts of the n-th one.
func (t *traffic) sendEvery(w *world, interval, duration time.Duration, parts func(n int) string) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		t.active.Add(1)
		go func() {
			defer t.active.Done()
			t.begin(w, &stream{key: smallKey, parts: parts(n)})
		}()
		<-ticker.C
	}
}

// checkSound checks the rule LOST for sound requests that share their caller and their first part with requests that crash
// runners.
func (t *traffic) checkSound(w *world, changed time.Time) bool {
	var crashes []time.Time
	for _, r := range w.runners {
		r.mu.Lock()
		crashes = append(crashes, r.crashes...)
		r.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) == 0 {
		w.resultf("no runner has crashed")
		return false
	}
	from := crashes[min(decisiveCrash, len(crashes))-1].Add(2 * stable)
	before, begunBefore, after, begunAfter := 0, 0, 0, 0
	for _, s := range t.streams {
		first := s.tries[0]
		begun := 0
		if first.events > 0 {
			begun = 1
		}
		switch {
		case first.at.Before(changed):
			before, begunBefore = before+1, begunBefore+begun
		case first.at.After(from):
			after, begunAfter = after+1, begunAfter+begun
		}
	}
	w.resultf("%d crashes; sound requests that begin at the first attempt: %d of %d before the first crash, %d of %d from %v after crash %d on",
		len(crashes), begunBefore, before, begunAfter, after, 2*stable, min(decisiveCrash, len(crashes)))
	if before < minSound || after < minSound {
		return false
	}
	return float64(begunAfter)/float64(after) < float64(begunBefore)/float64(before)/2
}
