// Package assembler joins the parts of a daemon.
//
// New opens the listeners and connects every package to its ports, Run serves
// until the daemon stops, and Stop is the planned stop: the daemon turns
// readiness off, lets running requests finish, hands its grants over, flushes
// its settlements and leaves the fleet. Kill ends it at once, as a failing VM
// would.
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
	"laburnumline/tracker"
	"laburnumline/treasurer"
	"laburnumline/watcher"
)

// Config configures a Daemon.
type Config struct {
	Settings *configurer.Settings
	Recorder *recorder.Recorder
	// WrapCaller may replace the way to other daemons, so that tests can cut it.
	WrapCaller func(messenger.Caller) messenger.Caller
}

// Daemon is one running daemon with all its roles.
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
	registry      *quarantiner.Registry
	deduplicator  *deduplicator.Deduplicator
	dispatcher    *dispatcher.Dispatcher
	observer      *observer.Observer
	orderer       *orderer.Orderer
	executor      *executor.Executor
	server        *server.Server
	administrator *administrator.Administrator

	callers   net.Listener
	operators net.Listener
	console   *http.Server
	reloaders []*certifier.Reloader

	lifetime lifetime
}

// New opens the daemon's listeners and connects its parts. It sends nothing yet.
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
		func() error { return d.openPeers(c.WrapCaller) },
		d.openConfiguration,
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

// Recorder returns the daemon's counters.
func (d *Daemon) Recorder() *recorder.Recorder { return d.recorder }

// CallersAddress returns the address of the listener for callers.
func (d *Daemon) CallersAddress() netip.AddrPort { return address(d.callers) }

// OperatorsAddress returns the address of the listener for operators.
func (d *Daemon) OperatorsAddress() netip.AddrPort { return address(d.operators) }

// wrap names the step at which an error arose. It returns nil for no error.
func wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, step)
}

func address(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// openStore connects to the platform's key-value service.
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

// openPeers opens the way to the other daemons, and what knows them.
func (d *Daemon) openPeers(wrapCaller func(messenger.Caller) messenger.Caller) error {
	keys, err := certifier.NewReloader(certifier.Files{
		Name:        "daemons",
		Certificate: d.settings.TLS.DaemonsCertificate,
		Key:         d.settings.TLS.DaemonsKey,
		Authorities: d.settings.TLS.DaemonsCA,
	}, d.recorder)
	if err != nil {
		return errors.Wrap(err, "load daemons' keys")
	}
	d.reloaders = append(d.reloaders, keys)
	d.quic, err = messenger.NewQUIC(messenger.QUICConfig{
		Listen:     d.settings.Listen.Daemons.AddrPort,
		Self:       d.self,
		Keys:       keys,
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
			Client: &http.Client{Timeout: d.settings.VMList.Period},
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

func (d *Daemon) openConfiguration() error {
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
	return wrap(err, "open configuration")
}

func (d *Daemon) openBudgets() error {
	b := d.settings.Budgets
	lost := allocator.ChargeLost
	if b.LostReservation == configurer.ReleaseLost {
		lost = allocator.ReleaseLost
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
			LostPolicy:       lost,
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
	return wrap(err, "open claims")
}

// openRequests connects the steps of a request.
func (d *Daemon) openRequests() error {
	d.router = router.New(router.Config{Zone: d.self.Zone, Seed: uint64(d.self.Incarnation), Recorder: d.recorder})
	d.openLimits()
	sharer := &quarantiner.Broadcaster{Members: d.tracker, Caller: d.caller, Recorder: d.recorder}
	d.quarantiner = quarantiner.New(quarantiner.Config{Broadcast: sharer.Broadcast, Recorder: d.recorder})
	quarantiner.Handle(d.mux, d.quarantiner)
	d.registry = &quarantiner.Registry{
		Store:         d.store,
		Local:         d.quarantiner,
		Incarnation:   d.self.String(),
		PermitTimeout: d.settings.Budgets.LongestRequest,
	}
	d.dispatcher = dispatcher.New(dispatcher.Config{Recorder: d.recorder})
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
		Engine:   engineOrders{d.dispatcher},
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

// openLimits connects the rates of contracts with the other daemons' demand.
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

// openCallers opens the listener for callers.
func (d *Daemon) openCallers() error {
	keys, err := d.serverTLS("callers", d.settings.TLS.CallersCertificate, d.settings.TLS.CallersKey)
	if err != nil {
		return err
	}
	d.server, err = server.New(server.Config{
		Conductor:        d.executor,
		Recorder:         d.recorder,
		MaxBody:          int64(d.settings.Limits.Body),
		MaxHeader:        int(d.settings.Limits.Header),
		DefaultDeadline:  d.settings.Requests.DefaultDeadline,
		LongestDeadline:  d.settings.Requests.LongestDeadline,
		DefaultMaxOutput: d.settings.Requests.MaxOutput,
		TLS:              keys,
	})
	if err != nil {
		return errors.Wrap(err, "open callers' interface")
	}
	d.callers, err = net.Listen("tcp", d.settings.Listen.Callers.String())
	return wrap(err, "listen for callers")
}

// serverTLS returns nil when no certificate is set.
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
