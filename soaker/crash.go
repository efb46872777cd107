package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// crashesToQuarantine is the number of crashes after which a part must be quarantined, and
	// quarantineDelay the time until all daemons refuse requests with it. maxLateCrashes may
	// reach an engine later.
	crashesToQuarantine = 5
	quarantineDelay     = 3 * time.Second
	maxLateCrashes      = 3
	// crashCheckDuration is how long requests are sent after the faults, and
	// crashCheckInterval the time between two at each daemon.
	crashCheckDuration = 8 * time.Second
	crashCheckInterval = 150 * time.Millisecond
	// crashCheckTokens covers the requests of the check.
	crashCheckTokens = 1_000_000
)

// checkQuarantine sends requests to all daemons after the faults have ended, some of which crash
// engines. Daemons must refuse these soon, and serve the others.
func (s *soak) checkQuarantine(ctx context.Context) {
	s.fixture.topUp(crashCheckTokens)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, crashCheckDuration)
	defer cancel()
	served := make([]int, len(s.daemons))
	var senders errgroup.Group
	for i, d := range s.daemons {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(1000+i)))
		senders.Go(func() error {
			served[i] = s.sendCrashingRequests(ctx, d, random)
			return nil
		})
	}
	_ = senders.Wait() // the functions return no errors
	for i, n := range served {
		if n == 0 {
			s.history.addViolation("%s served no request in the second half of the check of the quarantine", s.daemons[i].name)
		}
	}
	if n := s.lateCrashes(begin); n > maxLateCrashes {
		s.history.addViolation("%d requests crashed engines later than %v after %d crashes", n, quarantineDelay, crashesToQuarantine)
	}
}

// sendCrashingRequests alternates sound requests with requests that crash engines until ctx
// ends, and returns how many sound ones were served in the second half.
func (s *soak) sendCrashingRequests(ctx context.Context, d *daemon, random *rand.Rand) int {
	served, begin := 0, time.Now()
	for ctx.Err() == nil {
		req := randomDraft(random)
		req.part = "b0"
		err := s.send(context.WithoutCancel(ctx), d, req)
		if err == nil && time.Since(begin) > crashCheckDuration/2 {
			served++
		}
		req.part = crashPart
		// The engines have the requests that reached them.
		_ = s.send(context.WithoutCancel(ctx), d, req)
		time.Sleep(crashCheckInterval)
	}
	return served
}

// lateCrashes returns the number of crashes later than quarantineDelay after begin, and after
// crashesToQuarantine crashes.
func (s *soak) lateCrashes(begin time.Time) int {
	var crashes []time.Time
	for _, r := range s.fixture.modelUpstreams {
		crashes = append(crashes, r.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < crashesToQuarantine {
		return 0
	}
	if last := crashes[crashesToQuarantine-1]; last.After(begin) {
		begin = last
	}
	late := 0
	for _, at := range crashes {
		if at.After(begin.Add(quarantineDelay)) {
			late++
		}
	}
	return late
}
