// Package launcher assembles and runs the daemon for the users' platform.
//
// The daemon persists nothing on its VM. It watches the configuration and the list of
// upstreams in the platform's store (package replicator), holds a share of the prepaid
// balance of each client account, which is allocated through the store (package
// apportioner), and forwards each request to an upstream (package forwarder). The names
// and formats of the platform are behind an Adapter.
//
// The daemons of a fleet also call each other directly, on the internal ports: they
// announce their load at upstreams (package announcer), transfer tokens of a balance
// between their shares (package transferrer), and let one of them, the relay, combine their
// calls to the store (package relayer). Each start of a daemon is a new incarnation.
//
//	d := launcher.New(launcher.Config{Settings: settings, Adapter: platform.Adapter(store)})
//	err := d.Run(ctx) // until ctx ends; requests in flight are completed first
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
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/admitter"
	"laburnumline/announcer"
	"laburnumline/apportioner"
	"laburnumline/archivist"
	"laburnumline/balancer"
	"laburnumline/combiner"
	"laburnumline/connector"
	"laburnumline/contractor"
	"laburnumline/delegator"
	"laburnumline/evacuator"
	"laburnumline/forwarder"
	"laburnumline/gauger"
	"laburnumline/hedger"
	"laburnumline/persister"
	"laburnumline/pinner"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/relayer"
	"laburnumline/replicator"
	"laburnumline/resolver"
	"laburnumline/retrier"
	"laburnumline/throttler"
	"laburnumline/timekeeper"
	"laburnumline/transferrer"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name is the name of the VM.
	Name string
	Zone string
	// FrontendAddress takes requests of callers. ReadinessAddress serves the platform's check
	// of whether the daemon accepts new connections.
	FrontendAddress, ReadinessAddress netip.AddrPort
	// InternalAddress has the first port for calls between daemons, LastInternalPort is the
	// last one. The ports are the same on all VMs.
	InternalAddress  netip.AddrPort
	LastInternalPort uint16
	StoreAddress     netip.AddrPort
	// MemoryLimit is that of the process, in bytes.
	MemoryLimit int64
	// Cores is the number of cores that the VM may use, and Descriptors the number of file
	// descriptors for connections. Zero means unknown.
	Cores       float64
	Descriptors int
	// LinkBytesPerSecond is the bandwidth of the VM's network link in each direction, or zero
	// if it is unknown.
	LinkBytesPerSecond float64
	// GracePeriod is the time from the signal to stop to the end of the process.
	GracePeriod time.Duration
	// RetryRatio is the maximum number of retries in the fleet, as a fraction of its requests.
	RetryRatio float64
	// RetryAllowance is the number of retries at a service that the fleet may make beyond RetryRatio in each
	// RetryWindow.
	RetryAllowance float64
	RetryWindow    time.Duration
	// Regions has the region of each zone. It may be empty.
	Regions map[string]string
	// WarmupOvershoot times the rate that a cold upstream tolerates, plus WarmupAllowance, is the number of
	// requests that it may get in any second from all daemons together.
	WarmupOvershoot, WarmupAllowance float64
}

// Adapter holds the platform's store, its names, and the functions that translate its formats.
type Adapter struct {
	Store persister.Store
	// MaxOperations is the maximum number of compares, puts and deletes in a transaction of the
	// store.
	MaxOperations       int
	ConfigurationPrefix string
	ConfigurationKey    string
	// EvacuationPrefix is that of the keys that evacuate zones. It begins with ConfigurationPrefix.
	EvacuationPrefix    string
	UpstreamPrefix      string
	ReadyPath           string
	DecodeConfiguration func(value []byte) (resolver.Document, error)
	DecodeEvacuation    func(key string, value []byte) (zone string, err error)
	DecodeUpstream      func(key string, value []byte) (registrar.Upstream, error)
	NewHandler          func(f *forwarder.Forwarder) http.Handler
	SetUpstreamHeaders  func(h http.Header, m forwarder.Metadata)
	ParseResponseHeader func(h http.Header) connector.Metadata
	// ParsePromptParts and ParseTokenUsage read what callers state about a prompt.
	ParsePromptParts func(value string) ([]balancer.Part, error)
	ParseTokenUsage  func(value string) (prompt, maxOutput contractor.Tokens, err error)
}

// Config holds what a Daemon needs.
type Config struct {
	Settings Settings
	Adapter  Adapter
	// Listen opens listeners. Nil means net.Listen for TCP.
	Listen func(address netip.AddrPort) (net.Listener, error)
	// DialUpstream opens connections to upstreams. Nil means connector.Dialer.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	// HedgeShare and HedgeQuantile set the second sends of slow requests (package hedger). A share of zero
	// means that there are none.
	HedgeShare, HedgeQuantile float64
	// MetricsAddress serves the metrics. The zero value disables them.
	MetricsAddress netip.AddrPort
	Recorder       *recorder.Recorder
}

const (
	// connectTimeout is for connections to upstreams. It covers a few round trips
	// between zones, which take several milliseconds each.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout fails a connection whose peer is silent. Sound upstreams fall silent
	// for a second or so, and callers give a silent stream up after about 2.4 s. The second
	// keep-alive probe, after 2 s, has to find it exceeded.
	unacknowledgedTimeout = 1900 * time.Millisecond
	// maintenanceInterval is the time between two clean-ups of idle connections and expired
	// entries.
	maintenanceInterval = 250 * time.Millisecond
	// configurationTimeout is how long a starting daemon waits for a configuration before
	// it accepts requests. It refuses them as long as it has none.
	configurationTimeout = 2 * time.Second

	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout are the limits of a
	// frontend that starts without a configuration. The header timeout also holds for
	// readiness checks and metrics.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleMargin keeps an idle connection of a caller open for longer than the caller
	// may reuse it, so that no request meets a connection that is being closed.
	idleMargin = 2 * time.Second
)

// Daemon is one daemon of a fleet.
type Daemon struct {
	config                  Config
	incarnation             contractor.Incarnation
	quarantiner             *quarantiner.Quarantiner
	quarantineRegistry      *quarantiner.Registry
	announcer               atomic.Pointer[announcer.Announcer]
	transferrer             atomic.Pointer[transferrer.Transferrer]
	activeTable             *resolver.ActiveTable
	registrar               *registrar.Registrar
	evacuator               *evacuator.Evacuator
	shares                  *apportioner.Apportioner
	balancer                *balancer.Balancer
	throttler               *throttler.Throttler
	pinner                  *pinner.Pinner
	archivist               *archivist.Archivist
	streamConn              atomic.Pointer[net.UDPConn]
	softwareLoaded          chan struct{} // closed when the software history is loaded
	pool                    *connector.Pool
	link                    *gauger.Gauger
	admitter                *admitter.Admitter
	retrier                 *retrier.Retrier
	monitor                 *delegator.Monitor
	combiner                *combiner.Combiner
	store                   *relayer.Store
	forwarder               *forwarder.Forwarder
	probeUpstream           func(ctx context.Context, address netip.AddrPort) error
	configurationReplicator *replicator.Replicator
	upstreamReplicator      *replicator.Replicator

	// severalVersions has the services with several software versions at the last call of
	// replicateStreams.
	severalVersions map[resolver.ServiceName]bool
	// anySeveral is true if there is such a service.
	anySeveral atomic.Bool

	// cleanedGeneration is the generation of the list of upstreams at the last call of
	// dropRemovedUpstreams.
	cleanedGeneration int64

	// frontend accepts requests of callers, and delegateServer those of other daemons, once they are open.
	frontend       atomic.Pointer[frontend]
	delegateServer atomic.Pointer[drainableServer]
	lifetime       lifetime
	// requests is the context of all requests of callers and other daemons. endRequests ends it.
	requests    context.Context
	endRequests context.CancelCauseFunc
	saturation  linkSaturation
	ready       atomic.Bool
}

// New returns a daemon. Run starts it.
//
// The parts are wired by functions in their configurations, which lead to other parts. Two parts that call each other while
// they hold their locks can wait for each other for ever. The shares are called by many parts, by some under their locks
// (throttler), so they call nothing that is wired here while they hold theirs; nor does the archivist, but for Era.
func New(c Config) *Daemon {
	if c.Listen == nil {
		c.Listen = listen
	}
	d := &Daemon{config: c, activeTable: &resolver.ActiveTable{}, severalVersions: make(map[resolver.ServiceName]bool), softwareLoaded: make(chan struct{})}
	d.requests, d.endRequests = context.WithCancelCause(context.Background())
	s, rec := c.Settings, c.Recorder
	d.incarnation = contractor.Incarnation(rand.Uint64())
	d.link = gauger.New(gauger.Config{BytesPerSecond: s.LinkBytesPerSecond})
	d.admitter = admitter.New(admitter.Config{Limits: s.admissionLimits(), Random: rand.Float64, Recorder: rec})
	dial := d.link.Dialer(connector.Dialer(connectTimeout, unacknowledgedTimeout))
	dialUpstream := dial
	if c.DialUpstream != nil {
		dialUpstream = d.link.Dialer(c.DialUpstream)
	}
	d.probeUpstream = func(ctx context.Context, address netip.AddrPort) error { return probe(ctx, dialUpstream, address) }
	d.combiner = combiner.New(combiner.Config{
		Store: c.Adapter.Store, MaxOperations: c.Adapter.MaxOperations, BatchDelay: batchDelay,
		Merger: &apportioner.PoolMerger{}, Recorder: rec,
	})
	d.store = relayer.New(relayer.Config{
		Direct: c.Adapter.Store, Combiner: d.combiner, Self: s.InternalAddress, Dial: dial, Recorder: rec,
		Relays: func() []netip.AddrPort { return d.shares.Relays() },
	})
	d.archivist = archivist.New(archivist.Config{Store: d.store, Name: s.Name, Incarnation: d.incarnationID(), Era: d.store.Era, Members: d.Members, Hasten: d.hastenStreams, Recorder: rec})
	d.shares = apportioner.New(apportioner.Config{
		Store: d.store, Name: s.Name, Address: s.InternalAddress, LinkBandwidth: s.LinkBytesPerSecond, Incarnation: d.incarnation, RequestTransfer: d.requestTransfer, Recorder: rec,
		BootClock: timekeeper.Read, Attach: d.attachStreams,
	})
	d.pinner = pinner.New(pinner.Config{Self: s.streamAddress(), Peers: d.streamPeers, Send: d.sendStreamMessage, Archive: d.archivist, Recorder: rec})
	d.throttler = throttler.New(throttler.Config{
		Self: s.InternalAddress, Members: d.knownPeers, MembersCurrent: d.membersCurrent, Warmup: d.warmupOf, SuspectUnreachable: d.suspectUnreachable, Changed: d.hastenNotice, Recorder: rec,
	})
	d.balancer = balancer.New(balancer.Config{Zone: s.Zone, Limits: d.throttler, Recorder: rec})
	d.pool = connector.New(connector.Config{
		Dial: dialUpstream, ReadMetadata: c.Adapter.ParseResponseHeader, Recorder: rec,
	})
	d.evacuator = evacuator.New(evacuator.Config{
		Prefix: c.Adapter.EvacuationPrefix, Decode: c.Adapter.DecodeEvacuation, Zones: s.Regions, Era: d.store.Era,
		Returning: d.keepZoneCold, Changed: d.refreshUpstreams, Recorder: rec,
	})
	d.registrar = registrar.New(registrar.Config{
		Decode: c.Adapter.DecodeUpstream, LastFailure: d.lastFailure, ListAge: d.upstreamListAge, Recorder: rec,
		Evacuated: d.evacuator.Evacuated, Renewed: d.recordWarmup,
	})
	d.configurationReplicator = replicator.New(replicator.Config{
		Store: d.store, Prefix: c.Adapter.ConfigurationPrefix, Recorder: rec,
		Handler: &configurationHandler{daemon: d}, ReloadWhenBehind: true,
		HasRelay: func() bool { return len(d.shares.Relays()) > 0 },
	})
	d.upstreamReplicator = replicator.New(replicator.Config{
		Store: d.store, Prefix: c.Adapter.UpstreamPrefix, Recorder: rec, Handler: d.registrar,
		BatchDelay: func() time.Duration { return coalesceDelay(d.Members(), d.shares.Registered()) },
	})
	d.quarantiner = quarantiner.New(quarantiner.Config{
		MaxCrashes: maxCrashes, SuspicionPeriod: suspectRetention, AnnouncementDelay: d.announcementDelay,
		Publish: d.storeVerdict, StorePart: d.storeQuarantine, Broadcast: d.publishSuspects, Recorder: rec,
	})
	d.quarantineRegistry = &quarantiner.Registry{
		Store: d.store, Local: d.quarantiner, Incarnation: d.incarnationID(), PermitTimeout: permitTimeout,
		Recorder: rec,
	}
	d.monitor = delegator.NewMonitor(delegator.MonitorConfig{
		Upstreams: d.upstreamAddresses, Recorder: rec,
		OwnLoad: d.ownLoad,
		Probe:   func(ctx context.Context, address netip.AddrPort) error { return probe(ctx, dialUpstream, address) },
	})
	d.retrier = retrier.New(s.retryConfig(time.Now(), d.knownMembers, rec))
	d.forwarder = forwarder.New(forwarder.Config{
		Hedger:    hedger.New(hedger.Config{Share: c.HedgeShare, Quantile: c.HedgeQuantile, Recorder: rec}),
		Admission: d.admitter, Reachability: d.monitor, Delegate: delegator.NewClient(delegator.ClientConfig{Peers: d.delegatePeers, Dial: dial, Signed: d.signed, Recorder: rec}),
		Quarantine: d.quarantiner, Permits: d.quarantineRegistry, Probe: func(ctx context.Context, address netip.AddrPort) error { return probe(ctx, dialUpstream, address) },
		Tables: d.activeTable, Upstreams: d.registrar, Budgets: d.shares, Balancer: d.balancer, Limits: d.throttler, Streams: d.pinner, Sender: d.pool,
		Retries:        d.retrier,
		Software:       &registrar.SoftwareChecker{Store: d.softwareStore(softwareCheckTimeout)},
		Lifetime:       &d.lifetime,
		ResponseMemory: min(s.MemoryLimit/responseMemoryDivisor, maxResponseMemory),
		RegionOf:       s.regionOf, SetMetadata: c.Adapter.SetUpstreamHeaders, Random: rand.Float64, Recorder: rec,
	})
	return d
}

// incarnationID returns the incarnation as text, for keys and values of the store.
func (d *Daemon) incarnationID() string { return strconv.FormatUint(uint64(d.incarnation), 16) }

const (
	// maxCrashes is the number of upstreams that a request may crash. The users count
	// such crashes from the third on.
	maxCrashes = 3
	// suspectRetention is how long after its last crash a request is kept from upstreams.
	suspectRetention = time.Minute
	// permitTimeout exceeds the longest request.
	permitTimeout = time.Minute
)

// announcementDelay is one interval between notices.
func (d *Daemon) announcementDelay() time.Duration {
	return announcer.Interval(len(d.shares.Peers()))
}

// knownPeers returns the addresses of the other daemons, and reports whether they are known.
func (d *Daemon) knownPeers() ([]netip.AddrPort, bool) {
	return d.shares.Peers(), d.shares.Registered()
}

// knownMembers returns the number of daemons in the fleet, and reports whether it is known.
func (d *Daemon) knownMembers() (int, bool) { return d.Members(), d.shares.Registered() }

// hastenNotice makes the next notice to the other daemons early.
func (d *Daemon) hastenNotice() {
	if a := d.announcer.Load(); a != nil {
		a.Hasten()
	}
}

// publishSuspects announces requests that have crashed upstreams to the other daemons.
func (d *Daemon) publishSuspects(records []quarantiner.Record) {
	if a := d.announcer.Load(); a != nil {
		a.AnnounceSuspects(records)
	}
}

// probe checks that an address accepts connections.
func probe(ctx context.Context, dial dialFunc, address netip.AddrPort) error {
	conn, err := dial(ctx, "tcp", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// responseMemoryDivisor determines the part of the daemon's memory for responses that are buffered because
	// callers read slowly, besides the first 64 KB of each.
	responseMemoryDivisor = 10
	// maxResponseMemory keeps a daemon with 200 such callers below 70 MB on VMs with much memory as well.
	maxResponseMemory = 24 << 20
)

// lastFailure returns when the watch of the upstreams last failed, or the zero time.
func (d *Daemon) lastFailure() time.Time {
	if d.upstreamReplicator == nil {
		return time.Time{}
	}
	return d.upstreamReplicator.LastFailure()
}

// upstreamListAge returns the time since the store last confirmed the list of upstreams. Before the first
// list it is unlimited.
func (d *Daemon) upstreamListAge() time.Duration {
	if !d.upstreamReplicator.Loaded() {
		return math.MaxInt64
	}
	return d.upstreamReplicator.Age(time.Now())
}

// Run serves until ctx ends, and then completes the requests in flight within the
// grace period.
func (d *Daemon) Run(ctx context.Context) error {
	s := d.config.Settings
	d.config.Recorder.Event(recorder.DaemonStarted, "vm", s.Name, "zone", s.Zone, "front", s.FrontendAddress, "store", s.StoreAddress)
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var tasks errgroup.Group
	tasks.Go(func() error { d.configurationReplicator.Run(background); return nil })
	tasks.Go(func() error { d.upstreamReplicator.Run(background); return nil })
	tasks.Go(func() error { d.loadQuarantine(background); return nil })
	tasks.Go(func() error { d.keepSoftware(background); return nil })
	tasks.Go(func() error { d.keepShares(background); return nil })
	tasks.Go(func() error { d.maintain(background); return nil })
	tasks.Go(func() error { d.observeLoad(background); return nil })
	tasks.Go(func() error { return d.announce(background) })
	tasks.Go(func() error { return d.serveTransfers(background) })
	tasks.Go(func() error { return d.serveStreams(background) })
	tasks.Go(func() error { d.pinner.Run(background); return nil })
	tasks.Go(func() error { d.sweepStreams(background); return nil })
	tasks.Go(func() error { return d.serveRelay(background) })
	tasks.Go(func() error { d.serveMetrics(background); return nil })
	tasks.Go(func() error { return d.serveDelegated(background, ctx) })

	defer d.monitor.Close()
	var frontend *frontend
	readinessServer, err := d.serveReadiness(ctx)
	if err == nil {
		defer readinessServer.Close()
		d.awaitConfiguration(ctx)
		frontend, err = d.serveFrontend(ctx)
	}
	if err != nil && ctx.Err() == nil {
		return err
	}
	<-ctx.Done()
	err = d.stop(frontend, d.delegateServer.Load())
	stopBackground()
	return errors.Join(err, tasks.Wait())
}

// announce exchanges the load at upstreams with the other daemons, until ctx ends.
func (d *Daemon) announce(ctx context.Context) error {
	if !d.config.Settings.InternalAddress.IsValid() {
		return nil
	}
	a, err := listenUntilFree(ctx, d.config.Recorder, "announcements", d.config.Settings.InternalAddress, func(address netip.AddrPort) (*announcer.Announcer, error) {
		return announcer.New(announcer.Config{
			Address: address, Peers: d.shares.Peers, Incarnation: uint32(d.incarnation),
			Source: d.balancer, Sink: d.balancer, Suspects: d.quarantiner, Limits: d.throttler, Revisions: d, Recorder: d.config.Recorder,
		})
	})
	if err != nil {
		return d.listenFailed(ctx, recorder.NoticeFailed, err)
	}
	d.announcer.Store(a)
	a.Run(ctx)
	return nil
}

// Revisions returns the revisions of the newest changes that this daemon has applied to
// the configuration and to the upstreams, in this order.
func (d *Daemon) Revisions() []contractor.Revision {
	return []contractor.Revision{d.configurationReplicator.AppliedRevision(), d.upstreamReplicator.AppliedRevision()}
}

// Learn receives the Revisions of another daemon.
func (d *Daemon) Learn(revisions []contractor.Revision) {
	for i, r := range []*replicator.Replicator{d.configurationReplicator, d.upstreamReplicator} {
		if i < len(revisions) {
			r.NotifyRevision(revisions[i])
		}
	}
}

// Members returns the number of daemons in the fleet, as far as this one knows.
func (d *Daemon) Members() int { return d.shares.MemberCount() }

func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func (d *Daemon) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configurationTimeout)
	defer cancel()
	t := time.NewTicker(maintenanceInterval / 10)
	defer t.Stop()
	for d.activeTable.Table() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// maintain removes expired entries, closes idle connections and updates the readiness,
// until ctx ends.
func (d *Daemon) maintain(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			d.registrar.Expire()
			d.retrier.ObserveFleet(now)
			d.maintainEvacuations(ctx, now)
			d.dropRemovedUpstreams()
			d.pool.SetMaxIdle(d.maxIdleConnections())
			d.pool.CloseExpired(now)
			d.saturation.update(now, d.link)
			d.updateReadiness()
		}
	}
}

// dropRemovedUpstreams drops the state of upstreams that are no longer listed, and the
// idle connections to them.
func (d *Daemon) dropRemovedUpstreams() {
	generation := d.registrar.Generation()
	if generation == d.cleanedGeneration {
		return
	}
	d.cleanedGeneration = generation
	d.replicateStreams()
	d.balancer.RemoveUnlisted(d.registrar.Listed)
	d.throttler.Retain(time.Now(), d.registrar.LimitIDs())
	d.pool.CloseExcept(d.registrar.Addresses())
}

// idleFraction is the fraction of an upstream's maximum number of connections that all
// daemons together may keep idle. The rest is for connections in use.
const idleFraction = 0.5

// maxIdleConnections returns the maximum number of idle connections of this daemon to one
// upstream. The service that allows the fewest connections determines it for all.
func (d *Daemon) maxIdleConnections() int {
	table := d.activeTable.Table()
	if table == nil {
		return 1
	}
	lowest := 0
	for _, s := range table.Services() {
		if s.MaxConnections > 0 && (lowest == 0 || s.MaxConnections < lowest) {
			lowest = s.MaxConnections
		}
	}
	if lowest == 0 {
		return math.MaxInt
	}
	return int(idleFraction * float64(lowest) / float64(d.Members()))
}

func (d *Daemon) updateReadiness() {
	ready := d.isReady()
	if d.ready.Swap(ready) != ready {
		d.config.Recorder.Event(recorder.ReadinessChanged, "ready", ready, "frontend", d.frontend.Load() != nil, "stopping", d.lifetime.stopping(), "crowded", d.saturation.saturated.Load(),
			"configuration", d.activeTable.Table() != nil, "upstreams", d.upstreamReplicator.Loaded(), "shares", d.shares.Joined())
	}
}

// isReady reports whether the daemon accepts new connections: its frontend is open, it is not stopping, its link
// is not saturated, and it has a configuration, upstreams and, if there are client
// accounts, shares of their balances. How old these are does not matter.
func (d *Daemon) isReady() bool {
	table := d.activeTable.Table()
	if d.frontend.Load() == nil || d.lifetime.stopping() || d.saturation.saturated.Load() || table == nil || !d.upstreamReplicator.Loaded() {
		return false
	}
	return !table.HasAccounts() || d.shares.Joined()
}
