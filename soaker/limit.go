package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/emulator"
	"laburnumline/sleeper"
)

const (
	// checkedLimit is the request limit that one upstream of each service states after the faults,
	// in requests per second. Callers send several times as much.
	checkedLimit = 3
	// limitDelay is the time until the limit must hold, and limitCheckDuration how long it is
	// checked afterwards.
	limitDelay         = 3 * time.Second
	limitCheckDuration = 5 * time.Second
	limitCheckInterval = 40 * time.Millisecond
	// In limitWindow an upstream may get maxLimitFactor times what its limit allows, and
	// maxLimitExcess requests more.
	limitWindow    = 4 * time.Second
	maxLimitFactor = 1.5
	maxLimitExcess = 5
)

// stateLimits makes upstreams state request limits for some time, again and again until ctx ends. It has
// a random source of its own, so that the seeds of earlier failures repeat the other faults.
func (s *soak) stateLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 3000))
	for sleeper.Sleep(ctx, time.Duration(random.Int64N(int64(4*meanFaultInterval)))) == nil {
		upstream := s.fixture.modelUpstreams[random.IntN(len(s.fixture.modelUpstreams))]
		upstream.SetRequestLimit(float64(random.IntN(10)))
		s.logf("an upstream states a request limit")
		_ = sleeper.Sleep(ctx, minFaultDuration+time.Duration(random.Int64N(int64(maxFaultDuration/3)))) // the loop checks ctx
		upstream.SetRequestLimit(-1)
	}
}

// limitedUpstream is an upstream that states checkedLimit.
type limitedUpstream struct {
	*emulator.Runner
	service string
}

// busiestWindow returns the most requests in limitWindow since begin.
func (u *limitedUpstream) busiestWindow(begin time.Time) int {
	arrivals, most := u.Arrivals(), 0
	for i, first := range arrivals {
		if first.At.Before(begin) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// checkLimits sends requests to all daemons after the faults have ended, while one upstream of
// each service states a request limit. The daemons must keep it together, and serve requests at the
// other upstreams.
func (s *soak) checkLimits(ctx context.Context) {
	s.fixture.topUp(crashCheckTokens)
	limited := []*limitedUpstream{{s.fixture.modelUpstreams[0], "model"}, {s.fixture.deskUpstreams[0], "desk"}}
	for _, u := range limited {
		u.SetRequestLimit(checkedLimit)
		defer u.SetRequestLimit(-1)
	}
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, limitDelay+limitCheckDuration)
	defer cancel()
	var senders errgroup.Group
	for i, d := range s.daemons {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(2000+i)))
		senders.Go(func() error {
			if s.sendSoundRequests(ctx, d, random) == 0 {
				s.history.addViolation("%s served no request while upstreams stated limits", d.name)
			}
			return nil
		})
	}
	_ = senders.Wait() // the functions return no errors
	for _, u := range limited {
		if n := u.busiestWindow(begin.Add(limitDelay)); float64(n) > maxLimitFactor*checkedLimit*limitWindow.Seconds()+maxLimitExcess {
			s.history.addViolation("an upstream of %s with a limit of %d requests a second got %d in %v", u.service, checkedLimit, n, limitWindow)
		}
	}
}

// sendSoundRequests sends requests of both services to a daemon until ctx ends, and returns how many
// were served.
func (s *soak) sendSoundRequests(ctx context.Context, d *daemon, random *rand.Rand) int {
	served := 0
	for ; ctx.Err() == nil; time.Sleep(limitCheckInterval) {
		req := request{path: "/plain/", key: firstKey}
		if random.IntN(2) == 0 {
			req = request{path: "/drafts/", key: firstKey, part: fmt.Sprint("b", random.IntN(8))}
		}
		if s.send(context.WithoutCancel(ctx), d, req) == nil {
			served++
		}
	}
	return served
}
