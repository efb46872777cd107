// Package soaker is a soak test: it runs real daemons under random faults and checks that they
// keep their guarantees, which the output calls promises.
//
// Each daemon is a separate process with its own loopback address and reaches an emulated
// platform store through a proxy. While callers send requests, a schedule of faults that is
// drawn from a seed kills, stops, freezes and reloads daemons, interrupts, delays and resets
// their connections to the store, injects faults into the store and the upstreams, restores the
// store from older copies, and changes the configuration. Faults start one after another and may overlap.
//
// The guarantees are checked against what callers and upstreams have seen:
//
//   - a daemon ends only when it is killed or told to stop, and in the latter case without an error;
//   - an account never uses more tokens than it has prepaid;
//   - a non-idempotent request is executed at most once, and a refused request never;
//   - a response that ends without an error is the complete response to this request;
//   - after the faults have ended, every daemon serves requests under the newest configuration;
//   - a stream holds events of one version of the upstreams' software, also if its caller resumes it
//     at another daemon;
//   - an upstream that states a request limit gets no more from all daemons together;
//   - when all upstreams of a service reject requests, all daemons together retry no more than allowed;
//   - requests with a prompt part that crashes engines are soon refused by every daemon, and the
//     others served.
//
// A planned run has no faults: daemons are only stopped and started, and their settings files change. Then a
// request that runs is always answered.
//
// A seed repeats the schedule, but the processes run in real time and may behave differently.
// The command therefore keeps the logs of a failed run and prints their folder.
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
	// callerCount is the number of concurrent callers, each of which sends one request at a time.
	callerCount = 12
	// recoveryTimeout limits the wait until all daemons serve requests again. A stop may take
	// the grace period of 8 s, and the shares of dead daemons are reclaimed some time later.
	recoveryTimeout = time.Minute
)

// Config configures a run.
type Config struct {
	// Program is the path of the command that is run as "Program launch".
	Program string
	// Daemons is the number of daemons. Zero means 5. With 29 or more they use relays.
	Daemons int
	// Duration is how long faults are injected. Zero means 20 s.
	Duration time.Duration
	Seed     uint64
	// Planned runs planned work instead of faults.
	Planned bool
	// Folder is where the daemons' settings and logs are written. It must exist.
	Folder string
	// Output receives a line for each fault. Nil means none.
	Output io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Requests is the number of requests that were sent, Served that of complete responses.
	Requests, Served int
	// UsedTokens is the number of tokens that the account used, PrepaidTokens that which it
	// had prepaid.
	UsedTokens, PrepaidTokens int
	// Violations describes each violation of a guarantee.
	Violations []string
}

// String returns a summary on one line.
func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d served, %d of %d tokens, %d promises broken",
		r.Seed, r.Requests, r.Served, r.UsedTokens, r.PrepaidTokens, len(r.Violations))
}

// soak is the state of one run.
type soak struct {
	config    Config
	random    *rand.Rand
	fixture   *fixture
	daemons   []*daemon
	history   *history
	startedAt time.Time

	outputMu sync.Mutex
}

// Run runs the schedule of one seed. Violations of guarantees are in the report. An error means
// that the run itself failed.
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
	interval := eventInterval
	if c.Planned {
		interval = plannedEventInterval
	}
	if s.fixture, err = newFixture(interval); err != nil {
		return nil, errors.Wrap(err, "set up the stand-ins")
	}
	defer s.fixture.close()
	block, reservation, err := reserveAddresses()
	if err != nil {
		return nil, err
	}
	defer reservation.Close() // runs after stopDaemons
	defer s.stopDaemons()
	if err := s.startDaemons(block); err != nil {
		return nil, err
	}
	if err := s.awaitRecovery(ctx); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	if c.Planned {
		return s.runPlanned(ctx)
	}
	s.runFaultsAndCallers(ctx)
	if err := s.awaitRecovery(ctx); err != nil {
		s.history.addViolation("not served again: %v", err)
	}
	s.checkLimits(ctx)
	s.checkQuarantine(ctx)
	s.checkRetries(ctx)
	return s.report(), ctx.Err()
}

// runFaultsAndCallers sends requests and injects faults for the configured duration, then ends
// the faults.
func (s *soak) runFaultsAndCallers(ctx context.Context) {
	s.runCallersBeside(ctx, s.injectFaults, s.stateLimits, s.restoreStore)
	s.clearFaults()
}

// runCallersBeside sends requests, and runs other tasks meanwhile, for the configured duration.
func (s *soak) runCallersBeside(ctx context.Context, tasks ...func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	var all errgroup.Group
	for i := range callerCount {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(i+1)))
		all.Go(func() error { s.sendRequests(ctx, random); return nil })
	}
	for _, task := range tasks {
		all.Go(func() error { task(ctx); return nil })
	}
	_ = all.Wait() // the functions return no errors
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
		d.ended = func(text string) { s.history.addViolation("%s", text) }
		if s.config.Planned {
			d.startHangups = rand.New(rand.NewPCG(s.config.Seed, uint64(6000+i)))
		}
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

// awaitRecovery adds a key to the configuration and waits until every daemon has served a request
// with it.
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

// awaitSuccess sends requests to a daemon until one is served.
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

// logf writes a line with the time since the start of the run to the output.
func (s *soak) logf(format string, args ...any) {
	if s.config.Output == nil {
		return
	}
	s.outputMu.Lock()
	defer s.outputMu.Unlock()
	// A failed write does not change the result of the run.
	_, _ = fmt.Fprintf(s.config.Output, "%7.2f s  %s\n", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
