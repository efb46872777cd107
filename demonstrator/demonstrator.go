// Package demonstrator runs a demo that shows that the fleet keeps its
// guarantees during failures.
//
// The demo starts three daemons in three availability zones on loopback
// addresses, with emulations of the platform's key-value service, its VM list,
// model engines and a booking service. While callers send engine calls and
// bookings, a daemon with open streams is killed, an availability zone is
// partitioned from the network, a budget is topped up and an upstream leaves.
// At the end, the demo compares the responses that callers received with the
// bill and with the bookings that took effect, and reports every violation of a
// guarantee. The output calls the guarantees promises.
//
//	report, err := demonstrator.Run(ctx, demonstrator.Config{Output: os.Stdout})
//	if err == nil && len(report.Violations) > 0 {
//		os.Exit(1)
//	}
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/administrator"
	"laburnumline/assembler"
	"laburnumline/contractor"
	"laburnumline/emulator"
)

const (
	account       contractor.Account    = "gulf-loft"
	draftBudget   contractor.BudgetName = "drafts"
	bookingBudget contractor.BudgetName = "bookings"
	callerKey                           = "demo-caller-key"
	model                               = "quote-model"
	bookingPrice  contractor.Tokens     = 5

	draftPrepaid   contractor.Tokens = 400_000
	bookingPrepaid contractor.Tokens = 2_000
	topUpTokens    contractor.Tokens = 50_000

	settlementTimeout = 8 * time.Second // wait for the last settlements to reach the ledger
	leaveDelay        = 3 * time.Second // after this, a leaving upstream must get no new calls
	// inForceTimeout limits the wait until a change is in force on all daemons.
	inForceTimeout = 13 * time.Second
)

var locations = []Location{{"entry-1", "zone-a"}, {"entry-2", "zone-b"}, {"entry-3", "zone-c"}}

// Config configures a run of the demo.
type Config struct {
	// Output receives a line for each step, and the final table.
	Output io.Writer
	// Requests is the number of engine calls in each part of the demo. Zero means 60.
	Requests int
}

// Run runs the demo. Violations of guarantees are in the report. An error means that the demo
// itself failed.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Requests == 0 {
		c.Requests = 60
	}
	directory, err := os.MkdirTemp("", "laburnumline-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory for keys")
	}
	defer os.RemoveAll(directory)
	fleet, err := NewFleet(FleetConfig{Directory: directory})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	s := &scenario{config: c, fleet: fleet, started: time.Now()}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.closeUpstreams()
	for _, part := range []func(context.Context) error{s.runWithoutOutage, s.killDaemon, s.partitionZone, s.removeUpstream} {
		if err := part(ctx); err != nil {
			return nil, err
		}
	}
	return s.finish(ctx)
}

// scenario is the state of one run of the demo.
type scenario struct {
	config  Config
	started time.Time
	fleet   *Fleet
	admin   *administrator.Client
	engines []*emulator.Engine
	booking *emulator.Service
	callers *callers
	// lateCalls is the number of calls that the leaving engine got after leaveDelay.
	lateCalls int
}

// logf writes a line with the time since the start of the run to the output.
func (s *scenario) logf(format string, args ...any) {
	fmt.Fprintf(s.config.Output, "%6.2fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// engineConfig returns the configuration of every engine. It is the same for
// all, because a response must not depend on the engine.
func engineConfig() emulator.EngineConfig {
	return emulator.EngineConfig{
		Slots:           32,
		TokenInterval:   4 * time.Millisecond,
		PrefillInterval: time.Millisecond,
		CacheBlocks:     4096,
	}
}

// start starts the daemons and the upstreams and creates the contract.
func (s *scenario) start(ctx context.Context) error {
	addresses := make([]string, 0, len(locations))
	for _, location := range locations {
		d, err := s.fleet.Start(ctx, location)
		if err != nil {
			return err
		}
		s.logf("daemon %s takes callers in %s", location.VM, location.Zone)
		addresses = append(addresses, frontendURL(d))
		if s.admin == nil {
			s.admin = administrator.NewClient("http://"+d.OperatorsAddress().String(), operatorKey)
		}
	}
	s.callers = newCallers(addresses)
	if err := s.startUpstreams(ctx); err != nil {
		return err
	}
	return s.createContract(ctx)
}

func frontendURL(d *assembler.Daemon) string { return "http://" + d.CallersAddress().String() }

// startUpstreams starts the upstreams and announces them.
func (s *scenario) startUpstreams(ctx context.Context) error {
	for i := range 4 {
		e := emulator.NewEngine(engineConfig())
		base, err := e.Serve()
		if err != nil {
			return errors.Wrap(err, "serve engine")
		}
		s.engines = append(s.engines, e)
		u := contractor.Upstream{Name: fmt.Sprintf("engine-%d", i+1), URL: base, Zone: locations[i%len(locations)].Zone, Models: []string{model}}
		if _, err := s.admin.JoinUpstream(ctx, &u); err != nil {
			return errors.Wrapf(err, "announce %s", u.Name)
		}
	}
	s.booking = emulator.NewService(emulator.ServiceConfig{Delay: 5 * time.Millisecond})
	base, err := s.booking.Serve()
	if err != nil {
		return errors.Wrap(err, "serve booking service")
	}
	u := contractor.Upstream{Name: "booking-1", Kind: contractor.KindService, URL: base, Zone: "zone-a", Service: "booking", Price: bookingPrice}
	if _, err := s.admin.JoinUpstream(ctx, &u); err != nil {
		return errors.Wrap(err, "announce booking-1")
	}
	s.logf("4 engines and a booking service joined")
	return nil
}

func (s *scenario) createContract(ctx context.Context) error {
	c := contractor.Contract{
		Account: account,
		Keys:    []contractor.Key{{Hash: contractor.HashKey(callerKey)}},
		Budgets: []contractor.Budget{
			{Name: draftBudget, Models: []string{model}, Prepaid: draftPrepaid},
			{Name: bookingBudget, Services: []string{"booking"}, Prepaid: bookingPrepaid},
		},
	}
	state, err := s.admin.CreateContract(ctx, &c)
	if err != nil {
		return errors.Wrap(err, "create contract")
	}
	s.logf("contract of %s accepted at revision %d: %d tokens for drafts, %d for bookings", account, state.Revision, draftPrepaid, bookingPrepaid)
	return s.awaitInForce(ctx, state.Revision)
}

// awaitInForce waits until a change is in force on all daemons.
func (s *scenario) awaitInForce(ctx context.Context, revision contractor.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		status, err := s.admin.ChangeStatus(ctx, "contract", revision)
		if err != nil {
			return errors.Wrap(err, "status of the change")
		}
		if status.Total >= len(locations) && status.InForce == status.Total {
			s.logf("change %d is in force on %d of %d daemons", revision, status.InForce, status.Total)
			return nil
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// runWithoutOutage sends engine calls and bookings. The only fault is that the
// booking service loses the responses to two bookings.
func (s *scenario) runWithoutOutage(ctx context.Context) error {
	s.logf("%d engine calls and 20 bookings, two of which lose their answer", s.config.Requests)
	s.booking.Inject(emulator.DropResponse, emulator.DropResponse)
	var work sync.WaitGroup
	work.Go(func() { s.callers.sendBookings(ctx, "calm", 20) })
	s.callers.sendCompletions(ctx, "calm", s.config.Requests)
	work.Wait()
	return ctx.Err()
}

// killDaemon kills a daemon with open streams, and replaces its VM.
func (s *scenario) killDaemon(ctx context.Context) error {
	var work sync.WaitGroup
	work.Go(func() { s.callers.sendCompletions(ctx, "kill", s.config.Requests) })
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return err
	}
	s.logf("kill entry-3, which holds open streams; callers retry with their keys")
	s.fleet.Kill("entry-3")
	s.callers.remove(2)
	work.Wait()
	d, err := s.fleet.Start(ctx, Location{"entry-4", "zone-c"})
	if err != nil {
		return err
	}
	s.callers.replace(2, frontendURL(d))
	s.logf("entry-4 replaces it in zone-c")
	return nil
}

// partitionZone partitions an availability zone from the rest, tops up a budget
// meanwhile and ends the partition.
func (s *scenario) partitionZone(ctx context.Context) error {
	s.logf("cut zone-b off from the store and from the other zones")
	s.fleet.SetPartitioned("zone-b", true)
	var work sync.WaitGroup
	work.Go(func() { s.callers.sendCompletions(ctx, "cut", s.config.Requests) })
	work.Go(func() { s.callers.sendBookings(ctx, "cut", 20) })
	first, err := s.admin.TopUpBudget(ctx, account, draftBudget, administrator.TopUpRequest{ID: "spring", Tokens: topUpTokens})
	if err != nil {
		return errors.Wrap(err, "top up")
	}
	second, err := s.admin.TopUpBudget(ctx, account, draftBudget, administrator.TopUpRequest{ID: "spring", Tokens: topUpTokens})
	if err != nil {
		return errors.Wrap(err, "top up again")
	}
	s.logf("top-up spring of %d tokens, sent twice, counted once: prepaid %d and %d", topUpTokens, first.Prepaid, second.Prepaid)
	work.Wait()
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	s.fleet.SetPartitioned("zone-b", false)
	s.logf("zone-b is joined again")
	return nil
}

// removeUpstream announces that an engine leaves and counts the calls that it
// gets after leaveDelay.
func (s *scenario) removeUpstream(ctx context.Context) error {
	if _, err := s.admin.LeaveUpstream(ctx, "engine-1", 0); err != nil {
		return errors.Wrap(err, "announce that engine-1 leaves")
	}
	s.logf("engine-1 leaves")
	if err := sleep(ctx, leaveDelay); err != nil {
		return err
	}
	callsBefore := s.engines[0].Stats().Started
	s.callers.sendCompletions(ctx, "retire", s.config.Requests)
	s.lateCalls = s.engines[0].Stats().Started - callsBefore
	s.logf("engine-1 got %d calls of the %d after that", s.lateCalls, s.config.Requests)
	return ctx.Err()
}

func (s *scenario) closeUpstreams() {
	for _, e := range s.engines {
		_ = e.Close()
	}
	_ = s.booking.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
