// Package orderer sends orders to model engines: load or unload a model, an
// adapter or a version, or change the engine's role. It also plans which engine
// serves which model.
//
// Several daemons may send orders to one engine, and a daemon may be paused for a
// long time before it sends one. Each order therefore carries a fencing number, a
// number that increases with each order to the engine. It is incremented by
// compare-and-swap on the key fence/UPSTREAM of the store. An engine that checks
// fencing numbers refuses an order with an old number, which is lower than the
// highest that it has seen.
//
// For an engine that ignores fencing numbers, only the holder may send orders: the
// daemon whose lease of the store keeps the key order/UPSTREAM. The holder sends
// an order only while its own monotonic clock shows that the lease is valid,
// counted from before the lease was granted. A new holder that replaces another
// one waits for the time of a lease and of the longest order, until no order of
// the former holder is running. One case remains: a former holder that is paused
// for longer than that between its last check and the system call that sends the
// order. The next plan corrects its effect, because it starts from the models that
// the engine reports.
//
// The store of model weights limits the rate of loads, so a token bucket limits
// the load orders of each daemon.
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

// Action is the kind of an order.
type Action uint8

const (
	// Load loads a model, an adapter or a version.
	Load Action = iota
	// Unload unloads a model, an adapter or a version.
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

// Fence is the fencing number of an order. It increases with each order to an engine.
type Fence uint64

// Order is one order to an engine.
type Order struct {
	Action Action
	// Model is the model, adapter or version to load or unload.
	Model string
	// Role is the new role.
	Role string
	// Fence is set by Orderer.Send.
	Fence Fence
}

// String returns the action and the model or role.
func (o Order) String() string {
	if o.Action == ChangeRole {
		return o.Action.String() + " " + o.Role
	}
	return o.Action.String() + " " + o.Model
}

// Engine executes orders, usually by HTTP calls to the upstream.
type Engine interface {
	Execute(ctx context.Context, upstream contractor.Upstream, order Order) error
}

var (
	// ErrFenced means that the engine refused an old fencing number.
	ErrFenced = errors.New("engine has seen a higher fencing number")
	// ErrLeaseHeld means that another daemon is the holder of the engine.
	ErrLeaseHeld = errors.New("another daemon holds the lease for orders to the engine")
	// ErrLeaseExpired means that the daemon's lease has expired or may have expired.
	ErrLeaseExpired = errors.New("lease for orders to the engine has expired or may have expired")
)

// Config holds the settings of an Orderer.
type Config struct {
	// Store is the platform's key-value service.
	Store persister.Store
	// Engine executes the orders.
	Engine Engine
	// Holder identifies this incarnation of the daemon.
	Holder string
	// LeaseTTL is the time to live of the lease for engines that ignore fencing
	// numbers. Zero means 30 s.
	LeaseTTL time.Duration
	// OrderTimeout is the time limit for one order. Zero means 5 min.
	OrderTimeout time.Duration
	// MaxClockDrift is the largest relative error of a clock's rate. Zero means 0.01.
	MaxClockDrift float64
	// LoadsPerSecond is this daemon's share of the weight store's rate limit. Zero
	// means 0.1.
	LoadsPerSecond float64
	// LoadBurst is the number of loads that may start at once. Zero means 1.
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

// Orderer sends orders to engines. It is safe for concurrent use.
type Orderer struct {
	config      Config
	loadLimiter *rate.Limiter

	mu     sync.Mutex
	leases map[string]*engineLease
}

// New returns an Orderer without leases.
func New(c Config) *Orderer {
	c = c.withDefaults()
	return &Orderer{
		config:      c,
		loadLimiter: rate.NewLimiter(rate.Limit(c.LoadsPerSecond), c.LoadBurst),
		leases:      make(map[string]*engineLease),
	}
}

// Send sends an order and waits until the engine has executed it.
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
			return fmt.Errorf("wait for the rate limit of loads: %w", err)
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

// execute sends the order, unless it needs a lease that is no longer valid.
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
