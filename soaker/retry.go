package soaker

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/emulator"
	"laburnumline/sleeper"
)

const (
	// In retryWindow a service may get retryRatio times its requests, and the allowance, in arrivals beyond the first
	// of each request.
	retryRatio  = 0.2
	retryWindow = 2 * time.Second
	// retryCalm is the time before the rejections in which daemons could save retries.
	retryCalm     = time.Second
	retryInterval = 100 * time.Millisecond
	// rejectedRequests is more than arrive in retryWindow.
	rejectedRequests = 10_000
)

// retryAllowance is the allowance of a fleet, in proportion to its size as on the users' platform.
func retryAllowance(daemons int) int { return 2 * daemons }

// checkRetries sends requests to all daemons while all upstreams of a service reject them. It runs last, because the
// upstreams go on rejecting.
func (s *soak) checkRetries(ctx context.Context) {
	before := s.sendPlainRequests(ctx, retryCalm)
	for _, u := range s.fixture.deskUpstreams {
		u.Inject(slices.Repeat([]emulator.RunnerFault{emulator.RunnerFull}, rejectedRequests)...)
	}
	begin := time.Now()
	requests := max(s.sendPlainRequests(ctx, retryWindow), before)
	arrived, repeats := make(map[string]bool), 0
	for _, u := range s.fixture.deskUpstreams {
		for _, a := range u.Arrivals() {
			if a.At.Before(begin) || a.At.Sub(begin) >= retryWindow {
				continue
			}
			if arrived[a.ID] {
				repeats++
			}
			arrived[a.ID] = true
		}
	}
	s.logf("%d requests rejected, %d repeats", requests, repeats)
	if allowed := retryRatio*float64(requests) + float64(retryAllowance(len(s.daemons))); float64(repeats) > allowed {
		s.history.addViolation("desk got %d repeats of %d requests in %v, allowed %.0f", repeats, requests, retryWindow, allowed)
	}
}

// sendPlainRequests sends requests to all daemons for a time, and returns their number.
func (s *soak) sendPlainRequests(ctx context.Context, duration time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	sent := make([]int, len(s.daemons))
	var senders errgroup.Group
	for i, d := range s.daemons {
		senders.Go(func() error {
			for sleeper.Sleep(ctx, retryInterval) == nil {
				sent[i]++
				_ = s.send(context.WithoutCancel(ctx), d, request{path: "/plain/", key: firstKey}) // rejected on purpose
			}
			return nil
		})
	}
	_ = senders.Wait() // the functions return no errors
	total := 0
	for _, n := range sent {
		total += n
	}
	return total
}
