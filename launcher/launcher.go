// Package launcher joins the parts of a daemon that runs on the users' platform.
//
// Such a daemon keeps nothing: the configuration and the upstreams are followed in
// the platform's store, the balances are dealt out there, and each request is
// carried by package forwarder. What the platform calls these things is behind an
// Adapter.
//
//	d := launcher.New(launcher.Config{Settings: settings, Adapter: platform.Adapter(store)})
//	err := d.Run(ctx) // until ctx ends; then requests under way are finished
package launcher

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/announcer"
	"laburnumline/apportioner"
	"laburnumline/combiner"
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/director"
	"laburnumline/follower"
	"laburnumline/forwarder"
	"laburnumline/gauger"
	"laburnumline/lender"
	"laburnumline/persister"
	"laburnumline/placer"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/relayer"
	"laburnumline/retrier"
	"laburnumline/timekeeper"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name is the name of the VM.
	Name string
	Zone string
	// FrontendAddress takes requests, ReadinessAddress tells whether the daemon takes new connections.
	FrontendAddress, ReadinessAddress netip.AddrPort
	// InternalAddress is the first address for the daemons' own calls, LastInternal the last port
	// there. Ports are the same on all VMs.
	InternalAddress  netip.AddrPort
	LastInternalPort uint16
	StoreAddress     netip.AddrPort
	// MemoryLimit is the memory limit of the process in bytes.
	MemoryLimit int64
	// LinkBytesPerSecond is the width of the VM's network link in bytes per second, or zero.
	LinkBytesPerSecond float64
	// GracePeriod is the time between the signal to stop and the end of the process.
	GracePeriod time.Duration
	// RetryRatio bounds the retries of the fleet, as a part of its requests.
	RetryRatio float64
}

// Adapter is the platform as the product sees it.
type Adapter struct {
	Store persister.Store
	// MaxEntries is the most compares, puts and deletes of one transaction of the store.
	MaxEntries          int
	ConfigurationPrefix string
	ConfigurationKey    string
	UpstreamPrefix      string
	ReadyPath           string
	DecodeConfiguration func(value []byte) (director.Document, error)
	DecodeUpstream      func(key string, value []byte) (registrar.Upstream, error)
	NewHandler          func(f *forwarder.Forwarder) http.Handler
	SetUpstreamHeaders  func(h http.Header, m forwarder.Marks)
	ParseResponseHeader func(h http.Header) connector.Metadata
}

// Config holds what a Daemon needs.
type Config struct {
	Settings Settings
	Adapter  Adapter
	// Listen opens listeners. Nil means net.Listen for TCP.
	Listen func(address netip.AddrPort) (net.Listener, error)
	// MetricsAddress is the address of the counters. The zero value means none.
	MetricsAddress netip.AddrPort
	Recorder       *recorder.Recorder
}

const (
	// connectTime bounds the opening of a connection to an upstream: a few round
	// trips between zones of several milliseconds.
	connectTime = 400 * time.Millisecond
	// silenceTime is after how long a connection fails on which sent bytes stay
	// unacknowledged: three retransmissions.
	silenceTime = time.Second
	// maintenance is the time between two looks after idle connections and lapsed entries.
	maintenance = 250 * time.Millisecond
	// firstConfiguration is how long a start waits for a configuration before it
	// serves, which it refuses until then.
	firstConfiguration = 2 * time.Second

	// defaultHeaderBytes, defaultHeaderTime and defaultIdleTime hold until the first
	// configuration states its own.
	defaultHeaderBytes = 16 << 10
	defaultHeaderTime  = 3 * time.Second
	defaultIdleTime    = 15 * time.Second
	// idleMargin keeps an idle connection of a caller open for longer than the
	// caller uses it.
	idleMargin = 2 * time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	config    Config
	run       contractor.Incarnation
	suspects  *quarantiner.Quarantiner
	announcer atomic.Pointer[announcer.Announcer]
	lender    atomic.Pointer[lender.Lender]
	holder    *director.Holder
	registrar *registrar.Registrar
	shares    *apportioner.Apportioner
	placer    *placer.Placer
	pool      *connector.Pool
	link      *gauger.Gauger
	combiner  *combiner.Combiner
	store     *relayer.Store
	forwarder *forwarder.Forwarder
	routes    *follower.Follower
	upstreams *follower.Follower

	// forgotten is the generation of the list of upstreams at the last look.
	forgotten int64

	stopping atomic.Bool
	crowd    crowd
	ready    atomic.Bool
}

// New joins the parts of a daemon.
func New(c Config) *Daemon {
	if c.Listen == nil {
		c.Listen = listen
	}
	d := &Daemon{config: c, holder: &director.Holder{}}
	s, rec := c.Settings, c.Recorder
	d.run = contractor.Incarnation(rand.Uint64())
	d.link = gauger.New(gauger.Config{BytesPerSecond: s.LinkBytesPerSecond})
	dial := d.link.Dialer(connector.Dialer(connectTime, silenceTime))
	d.combiner = combiner.New(combiner.Config{
		Store: c.Adapter.Store, MaxOperations: c.Adapter.MaxEntries, BatchDelay: gatherTime,
		Merger: apportioner.PoolMerger{}, Recorder: rec,
	})
	d.store = relayer.New(relayer.Config{
		Direct: c.Adapter.Store, Combiner: d.combiner, Self: s.InternalAddress, Dial: dial, Recorder: rec,
		Relays: func() []netip.AddrPort { return d.shares.Relays() },
	})
	d.shares = apportioner.New(apportioner.Config{
		Store: d.store, Name: s.Name, Address: s.InternalAddress, LinkBandwidth: s.LinkBytesPerSecond, Incarnation: d.run, RequestTransfer: d.borrow, Recorder: rec,
		BootClock: timekeeper.Read,
	})
	d.placer = placer.New(placer.Config{Zone: s.Zone})
	d.pool = connector.New(connector.Config{
		Dial: dial, ReadMetadata: c.Adapter.ParseResponseHeader, Recorder: rec,
	})
	d.registrar = registrar.New(registrar.Config{Decode: c.Adapter.DecodeUpstream, LastFailure: d.lastGap, Recorder: rec})
	d.routes = follower.New(follower.Config{
		Store: d.store, Prefix: c.Adapter.ConfigurationPrefix, Recorder: rec,
		Handler: &configurationHandler{daemon: d},
	})
	d.upstreams = follower.New(follower.Config{
		Store: d.store, Prefix: c.Adapter.UpstreamPrefix, Recorder: rec, Handler: d.registrar,
		BatchDelay: func() time.Duration { return collectTime(d.Members()) },
	})
	d.suspects = quarantiner.New(quarantiner.Config{
		MaxVictims: maxVictims, Memory: suspectMemory, Share: d.share, Recorder: rec,
	})
	d.forwarder = forwarder.New(forwarder.Config{
		Suspects: d.suspects, Probe: func(ctx context.Context, address netip.AddrPort) error { return probe(ctx, dial, address) },
		Tables: d.holder, Upstreams: d.registrar, Budgets: d.shares, Placer: d.placer, Sender: d.pool,
		Retries: retrier.New(retrier.Config{TargetRatio: retryShare * s.RetryRatio, AccountRatio: s.RetryRatio, Base: retryBase, Recorder: rec}),
		Mark:    c.Adapter.SetUpstreamHeaders, Random: rand.Float64, Recorder: rec,
	})
	return d
}

// retryBase is the mean delay before a second attempt. The shortest objective is 120 ms,
// and the next attempt goes to another upstream.
const retryBase = 4 * time.Millisecond

const (
	// maxVictims is the number of upstreams that a request may crash. The users
	// count from the third.
	maxVictims = 3
	// suspectMemory is how long a request is kept from upstreams after a crash.
	suspectMemory = time.Minute
)

// share tells the other daemons of requests that crash upstreams.
func (d *Daemon) share(records []quarantiner.Record) {
	if a := d.announcer.Load(); a != nil {
		a.AnnounceSuspects(records)
	}
}

// probe opens a connection and closes it.
func probe(ctx context.Context, dial dialer, address netip.AddrPort) error {
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// dialer opens connections.
type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// retryShare is the part of the fleet's retry ratio that daemons use. The rest
// covers the retries that are saved up from an earlier window.
const retryShare = 0.6

func (d *Daemon) lastGap() time.Time {
	if d.upstreams == nil {
		return time.Time{}
	}
	return d.upstreams.LastFailure()
}

// Run serves until ctx ends, and then finishes the requests under way within the
// grace time.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.config.Settings
	d.config.Recorder.Event(recorder.DaemonStarted, "vm", s.Name, "zone", s.Zone, "front", s.FrontendAddress, "store", s.StoreAddress)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var parts errgroup.Group
	parts.Go(func() error { d.routes.Run(background); return nil })
	parts.Go(func() error { d.upstreams.Run(background); return nil })
	parts.Go(func() error { d.shares.Run(background); return nil })
	parts.Go(func() error { d.maintain(background); return nil })
	parts.Go(func() error { return d.announce(background) })
	parts.Go(func() error { return d.lend(background) })
	parts.Go(func() error { return d.relay(background) })

	side, err := d.serveSide()
	if err != nil {
		return err
	}
	defer side.Close()
	d.awaitConfiguration(ctx)
	front, err := d.serveFront()
	if err != nil {
		return err
	}
	<-ctx.Done()
	err = d.stop(front)
	stopBackground()
	return errors.Join(err, parts.Wait())
}

// announce tells the other daemons what this one has under way, until ctx ends.
func (d *Daemon) announce(ctx context.Context) error {
	if !d.config.Settings.InternalAddress.IsValid() {
		return nil
	}
	a, err := announcer.New(announcer.Config{
		Address: d.config.Settings.InternalAddress, Peers: d.shares.Peers, Incarnation: uint32(d.run),
		Source: d.placer, Sink: d.placer, Suspects: d.suspects, Revisions: d, Recorder: d.config.Recorder,
	})
	if err != nil {
		d.config.Recorder.Event(recorder.NoticeFailed, "step", "listen", "err", err)
		return err
	}
	d.announcer.Store(a)
	a.Run(ctx)
	return nil
}

// Revisions returns the newest changes of the configuration and of the upstreams.
func (d *Daemon) Revisions() []contractor.Revision {
	return []contractor.Revision{d.routes.AppliedRevision(), d.upstreams.AppliedRevision()}
}

// Learn hears of the newest changes that another daemon has seen.
func (d *Daemon) Learn(revisions []contractor.Revision) {
	for i, f := range []*follower.Follower{d.routes, d.upstreams} {
		if i < len(revisions) {
			f.NotifyRevision(revisions[i])
		}
	}
}

// Members returns the number of daemons of the fleet, as far as is known.
func (d *Daemon) Members() int { return d.shares.MemberCount() }

// listen opens a listener.
func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func (d *Daemon) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstConfiguration)
	defer cancel()
	t := time.NewTicker(maintenance / 10)
	defer t.Stop()
	for d.holder.Table() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// maintain looks after idle connections and lapsed entries.
func (d *Daemon) maintain(ctx context.Context) {
	t := time.NewTicker(maintenance)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.registrar.Expire()
			d.forgetGone()
			d.pool.SetMaxIdle(d.connectionShare())
			d.pool.CloseExpired(now)
			d.crowd.update(now, d.link)
			d.updateReady()
		}
	}
}

// forgetGone drops what is known of upstreams that are listed no more.
func (d *Daemon) forgetGone() {
	generation := d.registrar.Generation()
	if generation == d.forgotten {
		return
	}
	d.forgotten = generation
	d.placer.RemoveUnlisted(d.registrar.Listed)
	d.pool.CloseExcept(d.registrar.Addresses())
}

// idleShare is the part of an upstream's connections that daemons keep idle; the
// rest is for those in use.
const idleShare = 0.5

// connectionShare is how many idle connections this daemon keeps to one upstream.
func (d *Daemon) connectionShare() int {
	table := d.holder.Table()
	if table == nil {
		return 1
	}
	least := 0
	for _, s := range table.Services() {
		if s.MaxConnections > 0 && (least == 0 || s.MaxConnections < least) {
			least = s.MaxConnections
		}
	}
	if least == 0 {
		return math.MaxInt
	}
	return int(idleShare * float64(least) / float64(d.Members()))
}

func (d *Daemon) updateReady() {
	ready := d.isReady()
	if d.ready.Swap(ready) != ready {
		d.config.Recorder.Event(recorder.ReadinessChanged, "ready", ready, "stopping", d.stopping.Load(), "crowded", d.crowd.full.Load(),
			"configuration", d.holder.Table() != nil, "upstreams", d.upstreams.Loaded(), "shares", d.shares.Joined())
	}
}

// isReady reports whether the daemon can serve: it has a configuration, upstreams
// and shares of the balances, however old they are.
func (d *Daemon) isReady() bool {
	table := d.holder.Table()
	if d.stopping.Load() || d.crowd.full.Load() || table == nil || !d.upstreams.Loaded() {
		return false
	}
	return !table.HasAccounts() || d.shares.Joined()
}
