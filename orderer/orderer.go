// Package orderer gives orders to model engines: load a model, an adapter or a
// version, unload one, or change role.
//
// Several daemons may give orders to one engine, and one of them may be paused
// for long before it sends its order. Each order therefore carries a fencing
// number, which the store raises by compare-and-swap on the key fence/UPSTREAM.
// An engine that checks fencing numbers refuses an order with an old one.
//
// For an engine that ignores fencing numbers only one daemon may give orders at
// a time. The daemon holds order/UPSTREAM under a lease of the store and sends an
// order only as long as its own monotonic clock, counted from before the lease
// was granted, is sure that the lease lives. A daemon that takes the key after
// another one waits for the length of a lease and for the longest order, so that
// an order of the former holder has ended. What remains is a former holder that
// is paused between its last check and the system call for longer than that; the
// next plan sees what the engine really serves and corrects it.
//
// The weight store is rate-limited, so loads also take from a token bucket.
//
//	o := orderer.New(orderer.Config{Store: store, Engine: engine, Holder: "vm-1"})
//	err := o.Send(ctx, upstream, orderer.Order{Action: orderer.Load, Model: "quote-model@7"})
package orderer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// Action is what an engine is told to do.
type Action uint8

const (
	// Load loads a model, an adapter or a version.
	Load Action = iota
	// Unload drops a model, an adapter or a version.
	Unload
	// ChangeRole changes the role of the engine, such as prefill or decode.
	ChangeRole
)

// String returns the name of the action.
func (a Action) String() string {
	names := [...]string{"load", "unload", "change_role"}
	if int(a) < len(names) {
		return names[a]
	}
	return fmt.Sprintf("action(%d)", uint8(a))
}

// Fence is a fencing number of the orders to one engine. It only grows.
type Fence uint64

// Order is one order to an engine.
type Order struct {
	Action Action
	// Model is the model, adapter or version to load or unload.
	Model string
	// Role is the new role.
	Role string
	// Fence is set by the Orderer.
	Fence Fence
}

// String returns the action and its object.
func (o Order) String() string {
	if o.Action == ChangeRole {
		return o.Action.String() + " " + o.Role
	}
	return o.Action.String() + " " + o.Model
}

// Engine carries out orders. Its adapter speaks HTTP to the upstream.
type Engine interface {
	Execute(ctx context.Context, upstream contractor.Upstream, order Order) error
}

var (
	// ErrFenced means that the engine refused an old fencing number.
	ErrFenced = errors.New("engine has seen a higher fencing number")
	// ErrLeaseHeld means that another daemon gives orders to the engine.
	ErrLeaseHeld = errors.New("another daemon gives orders to the engine")
	// ErrLeaseExpired means that the daemon is no longer sure of its lease.
	ErrLeaseExpired = errors.New("lease for orders to the engine has lapsed")
)

// Config holds the settings of an Orderer. Zero values mean the defaults.
type Config struct {
	// Store is the platform's key-value service.
	Store persister.Store
	// Engine carries out the orders.
	Engine Engine
	// Holder names this run of the daemon.
	Holder string
	// LeaseTTL is the length of the lease for engines that ignore fencing numbers.
	LeaseTTL time.Duration
	// OrderTimeout is the time that one order may take.
	OrderTimeout time.Duration
	// MaxClockDrift is the largest error of a clock's rate, such as 0.01.
	MaxClockDrift float64
	// LoadsPerSecond is this daemon's part of the weight store's rate.
	LoadsPerSecond float64
	// LoadBurst is the number of loads that may start at once.
	LoadBurst int
	// Recorder counts orders. Nil discards them.
	Recorder *recorder.Recorder
}

const (
	defaultLeaseTTL       = 30 * time.Second
	defaultOrderTimeout   = 5 * time.Minute
	defaultMaxClockDrift  = 0.01
	defaultLoadsPerSecond = 0.1
	defaultLoadBurst      = 1
)

func (c Config) withDefaults() Config {
	if c.LeaseTTL <= 0 {
		c.LeaseTTL = defaultLeaseTTL
	}
	if c.OrderTimeout <= 0 {
		c.OrderTimeout = defaultOrderTimeout
	}
	if c.MaxClockDrift <= 0 {
		c.MaxClockDrift = defaultMaxClockDrift
	}
	if c.LoadsPerSecond <= 0 {
		c.LoadsPerSecond = defaultLoadsPerSecond
	}
	if c.LoadBurst <= 0 {
		c.LoadBurst = defaultLoadBurst
	}
	return c
}

// Orderer gives orders to engines. It is safe for concurrent use.
type Orderer struct {
	config      Config
	loadLimiter *rate.Limiter

	mu     sync.Mutex
	leases map[string]*engineLease
}

// New returns an orderer that holds nothing.
func New(c Config) *Orderer {
	c = c.withDefaults()
	return &Orderer{
		config:      c,
		loadLimiter: rate.NewLimiter(rate.Limit(c.LoadsPerSecond), c.LoadBurst),
		leases:      make(map[string]*engineLease),
	}
}

// Send gives one order and waits until the engine has carried it out.
func (o *Orderer) Send(ctx context.Context, upstream contractor.Upstream, order Order) error {
	err := o.send(ctx, upstream, order)
	if err != nil {
		o.config.Recorder.Event(recorder.OrderFailed, "upstream", upstream.Name, "order", order, "error", err)
		return fmt.Errorf("order %q to %s: %w", order, upstream.Name, err)
	}
	o.config.Recorder.Count("orderer."+order.Action.String(), 1)
	return nil
}

func (o *Orderer) send(ctx context.Context, upstream contractor.Upstream, order Order) error {
	if order.Action == Load {
		if err := o.loadLimiter.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the weight store: %w", err)
		}
	}
	l := o.leaseOf(upstream.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !upstream.Fenced {
		if err := o.acquireLease(ctx, upstream.Name, l); err != nil {
			return err
		}
	}
	fence, err := o.nextFence(ctx, upstream.Name)
	if err != nil {
		return err
	}
	order.Fence = fence
	return o.execute(ctx, upstream, order, l)
}

// execute sends the order if the daemon may still do so at this moment.
func (o *Orderer) execute(ctx context.Context, upstream contractor.Upstream, order Order, l *engineLease) error {
	ctx, cancel := context.WithTimeout(ctx, o.config.OrderTimeout)
	defer cancel()
	if !upstream.Fenced && !l.valid(time.Now()) {
		return ErrLeaseExpired
	}
	return o.config.Engine.Execute(ctx, upstream, order)
}

func (o *Orderer) leaseOf(upstream string) *engineLease {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.leases[upstream]
	if l == nil {
		l = &engineLease{}
		o.leases[upstream] = l
	}
	return l
}
