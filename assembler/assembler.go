// Package assembler builds a daemon from its components.
//
// New opens the listeners and connects the components, Run serves until the daemon
// ends. Stop is the planned stop: the daemon sets its readiness to false, waits for
// the requests in flight, leaves the fleet, flushes its settlements and hands its
// grants over. Kill ends the daemon immediately, without any of this, like the failure
// of its VM.
//
//	daemon, err := assembler.New(assembler.Config{Settings: settings})
//	if err != nil {
//		return err
//	}
//	go daemon.Run(ctx)
//	...
//	err = daemon.Stop(stopContext)
package assembler

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/administrator"
	"laburnumline/allocator"
	"laburnumline/certifier"
	"laburnumline/configurer"
	"laburnumline/deduplicator"
	"laburnumline/dispatcher"
	"laburnumline/executor"
	"laburnumline/framer"
	"laburnumline/limiter"
	"laburnumline/messenger"
	"laburnumline/observer"
	"laburnumline/orderer"
	"laburnumline/persister"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/retrier"
	"laburnumline/router"
	"laburnumline/server"
	"laburnumline/throttler"
	"laburnumline/tracker"
	"laburnumline/treasurer"
	"laburnumline/watcher"
)

// Config configures a Daemon.
type Config struct {
	Settings *configurer.Settings
	Recorder *recorder.Recorder
	// WrapCaller, if not nil, wraps the client for requests to other daemons. Tests use
	// it to simulate network partitions.
	WrapCaller func(messenger.Caller) messenger.Caller
}

// Daemon is one daemon with all its components.
type Daemon struct {
	settings *configurer.Settings
	recorder *recorder.Recorder
	self     messenger.Peer

	store  persister.Store
	mux    *messenger.Mux
	quic   *messenger.QUIC
	caller messenger.Caller

	tracker       *tracker.Tracker
	watcher       *watcher.Watcher
	treasurer     *treasurer.Treasurer
	limiter       *limiter.Limiter
	divider       *limiter.RateDivider
	router        *router.Router
	quarantiner   *quarantiner.Quarantiner
	requestLimits *throttler.Throttler
	registry      *quarantiner.Registry
	deduplicator  *deduplicator.Deduplicator
	dispatcher    *dispatcher.Dispatcher
	observer      *observer.Observer
	orderer       *orderer.Orderer
	executor      *executor.Executor
	server        *server.Server
	administrator *administrator.Administrator

	callersListener   net.Listener
	operatorsListener net.Listener
	operatorsServer   *http.Server
	reloaders         []*certifier.Reloader

	lifetime lifetime
}

// New opens the daemon's listeners and connects its components. It sends no requests.
func New(c Config) (*Daemon, error) {
	if c.Recorder == nil {
		c.Recorder = recorder.New()
	}
	d := &Daemon{
		settings: c.Settings,
		recorder: c.Recorder,
		self:     c.Settings.Self(time.Now()),
		mux:      &messenger.Mux{},
		lifetime: newLifetime(),
	}
	steps := []func() error{
		d.openStore,
		func() error { return d.openMessaging(c.WrapCaller) },
		d.openWatcher,
		d.openBudgets,
		d.openRequests,
		d.openCallers,
		d.openOperators,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// Self returns the daemon's own identity.
func (d *Daemon) Self() messenger.Peer { return d.self }

// Recorder returns the daemon's recorder of events and metrics.
func (d *Daemon) Recorder() *recorder.Recorder { return d.recorder }

// CallersAddress returns the address on which the daemon listens for callers.
func (d *Daemon) CallersAddress() netip.AddrPort { return listenAddress(d.callersListener) }

// OperatorsAddress returns the address on which the daemon listens for operators.
func (d *Daemon) OperatorsAddress() netip.AddrPort { return listenAddress(d.operatorsListener) }

// wrapStep adds to err the step that failed. It returns nil if err is nil.
func wrapStep(err error, step string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, step)
}

func listenAddress(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// openStore creates the client of the platform's key-value service.
func (d *Daemon) openStore() error {
	s := d.settings.Store
	config := persister.GatewayConfig{
		Timeout:         s.Timeout,
		ReadsPerSecond:  s.Reads,
		WritesPerSecond: s.Writes,
		Recorder:        d.recorder,
	}
	for _, endpoint := range s.Endpoints {
		parsed, err := netip.ParseAddrPort(endpoint.Host)
		if err != nil {
			return errors.Wrapf(err, "store endpoint %s", endpoint)
		}
		config.Endpoints = append(config.Endpoints, parsed)
		if endpoint.Scheme == "https" {
			config.TLS = &tls.Config{MinVersion: tls.VersionTLS13}
		}
	}
	if config.TLS != nil && s.CA != "" {
		pool, err := loadAuthorities(s.CA)
		if err != nil {
			return errors.Wrap(err, "load store authorities")
		}
		config.TLS.RootCAs = pool
	}
	store, err := persister.NewGateway(config)
	if err != nil {
		return errors.Wrap(err, "open store")
	}
	d.store = store
	return nil
}

func loadAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s has no certificate in PEM", path)
	}
	return pool, nil
}

// openMessaging opens the transport to the other daemons and creates the tracker, which
// maintains the membership of the fleet.
func (d *Daemon) openMessaging(wrapCaller func(messenger.Caller) messenger.Caller) error {
	reloader, err := certifier.NewReloader(certifier.Files{
		Name:        "daemons",
		Certificate: d.settings.TLS.DaemonsCertificate,
		Key:         d.settings.TLS.DaemonsKey,
		Authorities: d.settings.TLS.DaemonsCA,
	}, d.recorder)
	if err != nil {
		return errors.Wrap(err, "load daemons' keys")
	}
	d.reloaders = append(d.reloaders, reloader)
	d.quic, err = messenger.NewQUIC(messenger.QUICConfig{
		Listen:     d.settings.Listen.Daemons.AddrPort,
		Self:       d.self,
		Keys:       reloader,
		Mux:        d.mux,
		MaxMessage: int64(d.settings.Limits.Message),
		Recorder:   d.recorder,
	})
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	d.self = d.quic.Self()
	d.caller = d.quic
	if wrapCaller != nil {
		d.caller = wrapCaller(d.quic)
	}
	d.tracker = tracker.New(tracker.Config{
		Self: d.self,
		Lister: &tracker.HTTPLister{
			URL:    d.settings.VMList.URL.URL,
			Client: framer.NewClient(d.settings.VMList.Period),
			Port:   d.self.Address.Port(),
		},
		Caller:           d.caller,
		Mux:              d.mux,
		ProbePeriod:      d.settings.Membership.Probe,
		ProbeTimeout:     d.settings.Membership.Timeout,
		SuspicionTimeout: d.settings.Membership.Suspect,
		ListPeriod:       d.settings.VMList.Period,
		GoneAfter:        d.settings.VMList.Lag,
		Recorder:         d.recorder,
	})
	return nil
}

// openWatcher creates the watcher, which follows the configuration in the store.
func (d *Daemon) openWatcher() error {
	policy := watcher.Refuse
	if d.settings.Stale.Policy == configurer.ServeStale {
		policy = watcher.Serve
	}
	var err error
	d.watcher, err = watcher.New(watcher.Config{
		Store:       d.store,
		Caller:      d.caller,
		Mux:         d.mux,
		Members:     d.tracker,
		StaleAfter:  d.settings.Stale.After,
		StalePolicy: policy,
		Recorder:    d.recorder,
	})
	return wrapStep(err, "open configuration")
}

// openBudgets creates the treasurer, which reserves and settles budget, and the
// deduplicator, which holds the claims of non-idempotent calls.
func (d *Daemon) openBudgets() error {
	b := d.settings.Budgets
	lostPolicy := allocator.ChargeLost
	if b.LostReservation == configurer.ReleaseLost {
		lostPolicy = allocator.ReleaseLost
	}
	d.treasurer = treasurer.New(treasurer.Config{
		Store:    d.store,
		Caller:   d.caller,
		Mux:      d.mux,
		Members:  d.tracker,
		Recorder: d.recorder,
		Keeper: allocator.Config{
			Term:             b.Term,
			MaxClockDrift:    b.Drift,
			DispatchWindow:   b.DispatchWindow,
			LongestRequest:   b.LongestRequest,
			LostPolicy:       lostPolicy,
			GrantCoverage:    b.Horizon,
			MinFlushInterval: b.Flush,
		},
	})
	var err error
	d.deduplicator, err = deduplicator.New(deduplicator.Config{
		Store:             d.store,
		VM:                d.self.VM,
		Incarnation:       d.self.Incarnation,
		Liveness:          d.tracker,
		ResponseRetention: d.settings.Claims.KeepAnswers,
		ClaimRetention:    d.settings.Claims.KeepClaims,
		Recorder:          d.recorder,
	})
	return wrapStep(err, "open claims")
}

// openRequests creates the components that route, run and observe requests, and connects
// them to the executor.
func (d *Daemon) openRequests() error {
	d.requestLimits = throttler.New(throttler.Config{Self: d.self.Address, Members: d.otherDaemons, Recorder: d.recorder})
	d.router = router.New(router.Config{Zone: d.self.Zone, Seed: uint64(d.self.Incarnation), Limits: d.requestLimits, Recorder: d.recorder})
	d.openLimits()
	broadcaster := &quarantiner.Broadcaster{Members: d.tracker, Caller: d.caller, Recorder: d.recorder}
	d.quarantiner = quarantiner.New(quarantiner.Config{
		StorePart: func(part quarantiner.Digest) { go d.registry.Persist(d.lifetime.ctx, part) },
		Broadcast: broadcaster.Broadcast, Recorder: d.recorder,
	})
	quarantiner.Handle(d.mux, d.quarantiner)
	d.registry = &quarantiner.Registry{
		Store:         d.store,
		Local:         d.quarantiner,
		Incarnation:   d.self.String(),
		PermitTimeout: d.settings.Budgets.LongestRequest,
		Recorder:      d.recorder,
	}
	d.dispatcher = dispatcher.New(dispatcher.Config{Limits: d.requestLimits, Recorder: d.recorder})
	d.observer = observer.New(observer.Config{
		Source:    d.dispatcher,
		Sink:      d.router,
		Members:   d.tracker,
		Caller:    d.caller,
		Mux:       d.mux,
		Upstreams: d.watcher.Upstreams,
		Recorder:  d.recorder,
	})
	d.orderer = orderer.New(orderer.Config{
		Store:    d.store,
		Engine:   orderSender{d.dispatcher},
		Holder:   d.self.String(),
		Recorder: d.recorder,
	})
	d.executor = executor.New(executor.Config{
		Zone:       d.self.Zone,
		Contracts:  d.watcher,
		Budgets:    d.treasurer,
		Limits:     d.limiter,
		Routes:     d.router,
		Retries:    retrier.New(retrier.Config{Attempts: d.settings.Requests.Retries + 1, Recorder: d.recorder}),
		Quarantine: d.quarantiner,
		Permits:    d.registry,
		Claims:     d.deduplicator,
		Upstreams:  d.dispatcher,
		Recorder:   d.recorder,
	})
	return nil
}

// otherDaemons returns the addresses of the other live daemons, and reports whether the tracker
// knows any daemon yet.
func (d *Daemon) otherDaemons() ([]netip.AddrPort, bool) {
	var addresses []netip.AddrPort
	known := false
	for _, zone := range d.tracker.Zones() {
		for _, peer := range d.tracker.Zone(zone) {
			known = true
			if peer.VM != d.self.VM {
				addresses = append(addresses, peer.Address)
			}
		}
	}
	return addresses, known
}

// openLimits creates the limiter and the divider, which divides the rate limits of
// contracts among the daemons by their demand. The two refer to each other.
func (d *Daemon) openLimits() {
	d.divider = &limiter.RateDivider{Members: d.tracker, Caller: d.caller, Recorder: d.recorder}
	d.limiter = limiter.New(limiter.Config{
		MaxQueueLength:     d.settings.Limits.Queue,
		MaxTotalQueueBytes: int(d.settings.Limits.QueueBytes),
		Share:              d.divider.EvenShare,
		Recorder:           d.recorder,
	})
	d.divider.Limiter = d.limiter
	d.divider.Handle(d.mux)
}

// openCallers creates the HTTP server for callers and opens its listener.
func (d *Daemon) openCallers() error {
	tlsConfig, err := d.serverTLS("callers", d.settings.TLS.CallersCertificate, d.settings.TLS.CallersKey)
	if err != nil {
		return err
	}
	d.server, err = server.New(server.Config{
		Conductor:      d.executor,
		Recorder:       d.recorder,
		MaxBodyBytes:   int64(d.settings.Limits.Body),
		MaxHeaderBytes: int(d.settings.Limits.Header),
		DefaultTimeout: d.settings.Requests.DefaultDeadline,
		MaxTimeout:     d.settings.Requests.LongestDeadline,
		DefaultOutput:  d.settings.Requests.MaxOutput,
		TLS:            tlsConfig,
	})
	if err != nil {
		return errors.Wrap(err, "open callers' interface")
	}
	d.callersListener, err = net.Listen("tcp", d.settings.Listen.Callers.String())
	return wrapStep(err, "listen for callers")
}

// serverTLS returns the TLS configuration of a listener, which follows changes of the
// certificate file. It returns nil if no certificate is configured.
func (d *Daemon) serverTLS(name, certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil
	}
	files := certifier.Files{Name: name, Certificate: certificate, Key: key}
	reloader, err := certifier.NewReloader(files, d.recorder)
	if err != nil {
		return nil, errors.Wrapf(err, "load %s' keys", name)
	}
	d.reloaders = append(d.reloaders, reloader)
	return reloader.ServerTLS(), nil
}
