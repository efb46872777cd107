package tracker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"laburnumline/recorder"
)

const (
	// joinRounds is the maximum number of rounds in which a new daemon searches for
	// others before it is ready.
	joinRounds = 3
	// firstListTimeout limits the first read of the VM list, so that a daemon can
	// start while the list is unavailable.
	firstListTimeout = time.Second
)

// Run probes other daemons and reads the VM list until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	defer t.stop()
	t.join(ctx)
	t.background.Go(func() { t.pollList(ctx) })
	t.probeRounds(ctx)
	return nil
}

// stop waits for all goroutines that Run started.
func (t *Tracker) stop() {
	t.mu.Lock()
	t.ctx = nil
	if t.suspicionTimer != nil {
		t.suspicionTimer.Stop()
	}
	t.mu.Unlock()
	t.background.Wait()
}

// join searches for other daemons, fetches the members from one of them and announces
// this daemon to its zone.
func (t *Tracker) join(ctx context.Context) {
	defer close(t.ready)
	t.readList(ctx, firstListTimeout)
	for range joinRounds {
		if !t.alone() || ctx.Err() != nil {
			break
		}
		t.startRound(ctx).Wait()
	}
	t.fetchMembers(ctx)
	var self []Record
	t.update(func(v *view, _ time.Time) { self = []Record{v.self.Record} })
	t.broadcast(ctx, self)
}

// fetchMembers fetches all records from one of the daemons that were found.
func (t *Tracker) fetchMembers(ctx context.Context) {
	t.mu.Lock()
	peers := t.view.helpers(t.config.Self)
	t.mu.Unlock()
	for _, p := range peers {
		if t.syncWith(ctx, p) == nil {
			return
		}
	}
}

func (t *Tracker) alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.view.members) == 1
}

// probeRounds starts a round per ProbePeriod. The first one starts after a random
// fraction of the period, so that daemons started together do not probe in step.
func (t *Tracker) probeRounds(ctx context.Context) {
	first := time.NewTimer(rand.N(t.config.ProbePeriod))
	defer first.Stop()
	select {
	case <-ctx.Done():
		return
	case <-first.C:
	}
	ticker := time.NewTicker(t.config.ProbePeriod)
	defer ticker.Stop()
	for {
		t.startRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startRound starts the probes that are due. The returned group waits for them.
func (t *Tracker) startRound(ctx context.Context) *sync.WaitGroup {
	var probes []probe
	t.update(func(v *view, now time.Time) { probes = v.tick(now) })
	return t.startProbes(ctx, probes)
}

func (t *Tracker) startProbes(ctx context.Context, probes []probe) *sync.WaitGroup {
	var running sync.WaitGroup
	for _, p := range probes {
		running.Add(1)
		t.background.Go(func() {
			defer running.Done()
			t.probe(ctx, p)
		})
	}
	return &running
}

// pollList reads the VM list once per ListPeriod.
func (t *Tracker) pollList(ctx context.Context) {
	ticker := time.NewTicker(t.config.ListPeriod)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		err := t.readList(ctx, t.config.ListPeriod)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			t.config.Recorder.Event(recorder.VMListLost, "err", err.Error())
		}
		if err == nil && failing {
			t.config.Recorder.Event(recorder.VMListRestored)
		}
		failing = err != nil
	}
}

func (t *Tracker) readList(ctx context.Context, timeout time.Duration) error {
	listCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := t.config.Lister.List(listCtx)
	if err != nil {
		t.counters.listFailures.Inc(1)
		return err
	}
	var unlisted []probe
	t.update(func(v *view, now time.Time) { unlisted = v.applyList(list, now) })
	t.startProbes(ctx, unlisted)
	return nil
}

// scheduleExpiry sets the timer for the end of the next suspicion. The caller must
// hold mu.
func (t *Tracker) scheduleExpiry() {
	if t.ctx == nil {
		return
	}
	next := t.view.nextExpiry()
	if next.IsZero() {
		return
	}
	if t.suspicionTimer != nil {
		t.suspicionTimer.Stop()
	}
	t.suspicionTimer = time.AfterFunc(time.Until(next), t.expireSuspicions)
}

func (t *Tracker) expireSuspicions() {
	t.update(func(v *view, now time.Time) {
		v.expireSuspicions(now)
		v.dirty = true // makes update set the timer for the next suspicion
	})
}
