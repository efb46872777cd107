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
	defaultDaemons = 5
	defaultTime    = 20 * time.Second
	// callers is the number of callers that send one request after another.
	callers = 12
	// calmTime bounds the wait until everything works again. A stop may last for the grace
	// time of 8 s, and shares of dead daemons come back after some more.
	calmTime = time.Minute
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
	config  Config
	random  *rand.Rand
	site    *site
	daemons []*daemon
	ledger  *ledger
	began   time.Time

	outputMu sync.Mutex
}

// Run plays one seed. The error is one of the run itself; broken promises are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Daemons == 0 {
		c.Daemons = defaultDaemons
	}
	if c.Duration == 0 {
		c.Duration = defaultTime
	}
	s := &soak{config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), ledger: newLedger(), began: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if s.site, err = newSite(); err != nil {
		return nil, errors.Wrap(err, "set up the stand-ins")
	}
	defer s.site.close()
	block, held, err := claim()
	if err != nil {
		return nil, err
	}
	defer held.Close() // after the daemons have ended
	defer s.stopDaemons()
	if err := s.startDaemons(block); err != nil {
		return nil, err
	}
	if err := s.awaitCalm(ctx); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	s.play(ctx)
	if err := s.awaitCalm(ctx); err != nil {
		s.ledger.broke("not served again: %v", err)
	}
	return s.report(), ctx.Err()
}

// play lets callers call and faults come until the time is over.
func (s *soak) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	var parts errgroup.Group
	for i := range callers {
		random := rand.New(rand.NewPCG(s.config.Seed, uint64(i+1)))
		parts.Go(func() error { s.callUntil(ctx, random); return nil })
	}
	s.faultsUntil(ctx)
	_ = parts.Wait() // callers return no errors
	s.calm()
}

func (s *soak) startDaemons(block string) error {
	for i := range s.config.Daemons {
		folder := filepath.Join(s.config.Folder, fmt.Sprintf("daemon-%d", i))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return errors.Wrap(err, "make the folder of a daemon")
		}
		d, err := newDaemon(i, s.config, block, folder, s.site.address)
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

// awaitCalm waits until every daemon serves a request with the newest key.
func (s *soak) awaitCalm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, calmTime)
	defer cancel()
	key := s.site.newKey()
	var waits errgroup.Group
	for _, d := range s.daemons {
		waits.Go(func() error { return s.awaitServed(ctx, d, key) })
	}
	return waits.Wait()
}

func (s *soak) awaitServed(ctx context.Context, d *daemon, key string) error {
	for {
		err := s.request(ctx, d, request{path: "/plain/", key: key})
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
	r := s.ledger.judge(s.site)
	r.Seed = s.config.Seed
	return r
}

// say writes a line about a fault.
func (s *soak) say(format string, args ...any) {
	if s.config.Output == nil {
		return
	}
	s.outputMu.Lock()
	defer s.outputMu.Unlock()
	// The report counts, not this line.
	_, _ = fmt.Fprintf(s.config.Output, "%7.2f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}
