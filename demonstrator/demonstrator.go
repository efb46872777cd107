// Package demonstrator shows the promises of the system under failure.
//
// It starts three daemons in three availability zones on loopback addresses,
// with stand-ins of the key-value service, the VM list, model engines and a
// booking service. Callers send engine calls and bookings; meanwhile a daemon
// that holds open streams is killed, a zone is cut off, a budget is topped up
// and an upstream leaves. In the end the demo compares what callers received
// with the bill and with the effects in the booking service, and reports every
// promise that was broken.
//
//	report, err := demonstrator.Run(ctx, demonstrator.Config{Output: os.Stdout})
//	if err == nil && len(report.Broken) > 0 {
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

	settleTime = 8 * time.Second // time for the last settlements to reach the ledger
	leaveTime  = 3 * time.Second // time after which a leaving upstream gets no new work
	// forceTimeout bounds the wait until a change is in force on all daemons.
	forceTimeout = 13 * time.Second
)

var places = []Place{{"entry-1", "zone-a"}, {"entry-2", "zone-b"}, {"entry-3", "zone-c"}}

// Config configures a run of the demo.
type Config struct {
	// Output receives a line for each thing that happens, and the table.
	Output io.Writer
	// Requests is the number of engine calls in each part. Zero means 60.
	Requests int
}

// Run runs the demo. The report lists the broken promises.
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
	s := &show{config: c, fleet: fleet, started: time.Now()}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.closeUpstreams()
	for _, part := range []func(context.Context) error{s.calm, s.kill, s.cut, s.retire} {
		if err := part(ctx); err != nil {
			return nil, err
		}
	}
	return s.finish(ctx)
}

// show is one run of the demo.
type show struct {
	config  Config
	started time.Time
	fleet   *Fleet
	admin   *administrator.Client
	engines []*emulator.Engine
	booking *emulator.Service
	callers *callers
	// late is the number of calls that a leaving engine got after a few seconds.
	late int
}

func (s *show) say(format string, args ...any) {
	fmt.Fprintf(s.config.Output, "%6.2fs  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// engineConfig is the same for all engines, so that an answer does not depend
// on the engine.
func engineConfig() emulator.EngineConfig {
	return emulator.EngineConfig{
		Slots:           32,
		TokenInterval:   4 * time.Millisecond,
		PrefillInterval: time.Millisecond,
		CacheBlocks:     4096,
	}
}

func (s *show) start(ctx context.Context) error {
	addresses := make([]string, 0, len(places))
	for _, p := range places {
		d, err := s.fleet.Start(ctx, p)
		if err != nil {
			return err
		}
		s.say("daemon %s takes callers in %s", p.VM, p.Zone)
		addresses = append(addresses, callersURL(d))
		if s.admin == nil {
			s.admin = administrator.NewClient("http://"+d.OperatorsAddress().String(), operatorKey)
		}
	}
	s.callers = newCallers(addresses)
	if err := s.announce(ctx); err != nil {
		return err
	}
	return s.contract(ctx)
}

func callersURL(d *assembler.Daemon) string { return "http://" + d.CallersAddress().String() }

// announce starts the upstreams and announces them.
func (s *show) announce(ctx context.Context) error {
	for i := range 4 {
		e := emulator.NewEngine(engineConfig())
		base, err := e.Serve()
		if err != nil {
			return errors.Wrap(err, "serve engine")
		}
		s.engines = append(s.engines, e)
		u := contractor.Upstream{Name: fmt.Sprintf("engine-%d", i+1), URL: base, Zone: places[i%len(places)].Zone, Models: []string{model}}
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
	s.say("4 engines and a booking service joined")
	return nil
}

func (s *show) contract(ctx context.Context) error {
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
	s.say("contract of %s accepted at revision %d: %d tokens for drafts, %d for bookings", account, state.Revision, draftPrepaid, bookingPrepaid)
	return s.awaitForce(ctx, state.Revision)
}

// awaitForce waits until a change is in force on all daemons.
func (s *show) awaitForce(ctx context.Context, revision contractor.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	for {
		status, err := s.admin.ChangeStatus(ctx, "contract", revision)
		if err != nil {
			return errors.Wrap(err, "status of the change")
		}
		if status.Total >= len(places) && status.InForce == status.Total {
			s.say("change %d is in force on %d of %d daemons", revision, status.InForce, status.Total)
			return nil
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// calm sends engine calls and bookings while nothing fails, but that the
// booking service loses two answers.
func (s *show) calm(ctx context.Context) error {
	s.say("%d engine calls and 20 bookings, two of which lose their answer", s.config.Requests)
	s.booking.Inject(emulator.DropResponse, emulator.DropResponse)
	var work sync.WaitGroup
	work.Go(func() { s.callers.bookings(ctx, "calm", 20) })
	s.callers.completions(ctx, "calm", s.config.Requests)
	work.Wait()
	return ctx.Err()
}

// kill ends a daemon that holds open streams, and replaces its VM.
func (s *show) kill(ctx context.Context) error {
	var work sync.WaitGroup
	work.Go(func() { s.callers.completions(ctx, "kill", s.config.Requests) })
	if err := wait(ctx, 300*time.Millisecond); err != nil {
		return err
	}
	s.say("kill entry-3, which holds open streams; callers retry with their keys")
	s.fleet.Kill("entry-3")
	s.callers.remove(2)
	work.Wait()
	d, err := s.fleet.Start(ctx, Place{"entry-4", "zone-c"})
	if err != nil {
		return err
	}
	s.callers.replace(2, callersURL(d))
	s.say("entry-4 replaces it in zone-c")
	return nil
}

// cut separates a zone, tops a budget up meanwhile and joins the zone again.
func (s *show) cut(ctx context.Context) error {
	s.say("cut zone-b off from the store and from the other zones")
	s.fleet.Cut("zone-b", true)
	var work sync.WaitGroup
	work.Go(func() { s.callers.completions(ctx, "cut", s.config.Requests) })
	work.Go(func() { s.callers.bookings(ctx, "cut", 20) })
	receipt, err := s.admin.TopUpBudget(ctx, account, draftBudget, administrator.TopUpRequest{ID: "spring", Tokens: topUpTokens})
	if err != nil {
		return errors.Wrap(err, "top up")
	}
	again, err := s.admin.TopUpBudget(ctx, account, draftBudget, administrator.TopUpRequest{ID: "spring", Tokens: topUpTokens})
	if err != nil {
		return errors.Wrap(err, "top up again")
	}
	s.say("top-up spring of %d tokens, sent twice, counted once: prepaid %d and %d", topUpTokens, receipt.Prepaid, again.Prepaid)
	work.Wait()
	if err := wait(ctx, time.Second); err != nil {
		return err
	}
	s.fleet.Cut("zone-b", false)
	s.say("zone-b is joined again")
	return nil
}

// retire announces that an engine leaves.
func (s *show) retire(ctx context.Context) error {
	if _, err := s.admin.LeaveUpstream(ctx, "engine-1", 0); err != nil {
		return errors.Wrap(err, "announce that engine-1 leaves")
	}
	s.say("engine-1 leaves")
	if err := wait(ctx, leaveTime); err != nil {
		return err
	}
	before := s.engines[0].Stats().Started
	s.callers.completions(ctx, "retire", s.config.Requests)
	s.late = s.engines[0].Stats().Started - before
	s.say("engine-1 got %d calls of the %d after that", s.late, s.config.Requests)
	return ctx.Err()
}

func (s *show) closeUpstreams() {
	for _, e := range s.engines {
		_ = e.Close()
	}
	_ = s.booking.Close()
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
