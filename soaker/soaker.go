// Package soaker runs real daemons under random faults and checks what they promise.
//
// Each daemon is a process of its own, on a loopback address of its own, and reaches the
// stand-in of the platform's store through a proxy. While callers send requests, a schedule
// that is drawn from a seed kills, stops, freezes and reloads daemons, cuts, delays and resets
// their connections to the store, makes the store and the upstreams misbehave, and changes the
// configuration. Faults come in series and overlap.
//
// The promises are checked from what callers and upstreams see:
//
//   - an account never gets more than it has prepaid;
//   - a request that may run once runs at most once, and one that was refused never runs;
//   - an answer that ends as whole is the whole answer to this request;
//   - when the faults end, every daemon serves again, under the newest configuration.
//
// The schedule repeats with its seed. What the processes make of it does not quite, as they
// run in real time; so the report of a failure names the logs that were kept.
//
//	report, err := soaker.Run(ctx, soaker.Config{Program: "target/laburnumline", Seed: 7})
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

const (
	defaultDaemons  = 5
	defaultDuration = 20 * time.Second
	// callerCount is the number of callerCount that send one request after another.
	callerCount = 12
	// recoveryTimeout bounds the wait until everything works again. A stop may last for the grace
	// time of 8 s, and shares of dead daemons come back after some more.
	recoveryTimeout = time.Minute
)

// Config holds what a run needs.
type Config struct {
	// Program is the path of the command that is run as "Program launch".
	Program string
	// Daemons is the number of daemons. Zero means 5. From 29 on they use relays.
	Daemons int
	// Duration is how long faults come. Zero means 20 s.
	Duration time.Duration
	Seed     uint64
	// Folder keeps settings and logs. It must exist.
	Folder string
	// Output receives a line for each fault. Nil means none.
	Output io.Writer
}

// Report is what was seen.
type Report struct {
	Seed uint64
	// Requests is the number of attempts, Served that of whole answers.
	Requests, Served int
	// UsedTokens is what accounts got, PrepaidTokens what they had prepaid, both in tokens.
	UsedTokens, PrepaidTokens int
	// Violations are the promises that were broken.
	Violations []string
}

// String returns one line.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d served, %d of %d tokens, %d promises broken",
		r.Seed, r.Requests, r.Served, r.UsedTokens, r.PrepaidTokens, len(r.Violations))
}

// soak is one run.
type soak struct {
	config    Config
	random    *rand.Rand
	fixture   *fixture
	daemons   []*daemon
	history   *history
	startedAt time.Time

	outputMu sync.Mutex
}

// Run plays one seed. The error is one of the run itself; broken promises are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Daemons == 0 {
		c.Daemons = defaultDaemons
	}
	if c.Duration == 0 {
		c.Duration = defaultDuration
	}
	s := &soak{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), history: newHistory(), startedAt: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if s.fixture, err = newFixture(); err != nil {
		return nil, errors.Wrap(err, "set up the stand-ins")
	}
	defer s.fixture.close()
	block, reservation, err := reserveAddresses()
	if err != nil {
		return nil, err
	}
	defer reservation.Close() // after the daemons have ended
	defer s.stopDaemons()
	if err := s.startDaemons(block); err != nil {
		return nil, err
	}
	if err := s.awaitRecovery(ctx); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	s.runFaultsAndCallers(ctx)
	if err := s.awaitRecovery(ctx); err != nil {
		s.history.addViolation("not served again: %v", err)
	}
	return s.report(), ctx.Err()
}

// runFaultsAndCallers lets callers call and faults come until the time is over.
func (s *soak) runFaultsAndCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	var senders errgroup.Group
	for i := range callerCount {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(i+1)))
		senders.Go(func() error { s.sendRequests(ctx, random); return nil })
	}
	s.injectFaults(ctx)
	_ = senders.Wait() // callers return no errors
	s.clearFaults()
}

func (s *soak) startDaemons(block string) error {
	for i := range s.config.Daemons {
		folder := filepath.Join(s.config.Folder, fmt.Sprintf("daemon-%d", i))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return errors.Wrap(err, "make the folder of a daemon")
		}
		d, err := newDaemon(i, s.config, block, folder, s.fixture.storeAddress)
		if err != nil {
			return errors.Wrap(err, "set up a daemon")
		}
		s.daemons = append(s.daemons, d)
		if err := d.start(); err != nil {
			return errors.Wrap(err, "start a daemon")
		}
	}
	return nil
}

func (s *soak) stopDaemons() {
	for _, d := range s.daemons {
		d.close()
	}
}

// awaitRecovery waits until every daemon serves a request with the newest key.
func (s *soak) awaitRecovery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	key := s.fixture.newKey()
	var waits errgroup.Group
	for _, d := range s.daemons {
		waits.Go(func() error { return s.awaitSuccess(ctx, d, key) })
	}
	return waits.Wait()
}

func (s *soak) awaitSuccess(ctx context.Context, d *daemon, key string) error {
	for {
		err := s.send(ctx, d, request{path: "/plain/", key: key})
		if err == nil {
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", d.name, err)
		}
	}
}

func (s *soak) report() *Report {
	r := s.history.check(s.fixture)
	r.Seed = s.config.Seed
	return r
}

// logf writes a line about a fault.
func (s *soak) logf(format string, args ...any) {
	if s.config.Output == nil {
		return
	}
	s.outputMu.Lock()
	defer s.outputMu.Unlock()
	// The report counts, not this line.
	_, _ = fmt.Fprintf(s.config.Output, "%7.2f s  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
