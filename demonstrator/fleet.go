package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/assembler"
	"laburnumline/certifier"
	"laburnumline/configurer"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/messenger"
)

const (
	operatorKey  = "demo-operator-key"
	keyLifetime  = time.Hour
	readyTimeout = 10 * time.Second
)

// settingsText is the settings file of one daemon of the demo.
const settingsText = `[daemon]
vm = %s
zone = %s
region = demo
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
daemons = 127.0.0.1:0
[store]
endpoint = %s
timeout = 500ms
reads_per_second = 200
writes_per_second = 100
[vmlist]
url = %s
period = 500ms
lag = 1s
[tls]
daemons_ca = %s
daemons_certificate = %s
daemons_key = %s
[budgets]
dispatch_window = 1s
longest_request = 12s
[requests]
default_deadline = 8s
longest_deadline = 10s
[operators]
operator = demo editor %s
`

// Place is a daemon's VM and availability zone.
type Place struct {
	VM   contractor.VM
	Zone contractor.Zone
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Directory holds the keys. It must exist.
	Directory string
	// Adjust may change the settings of a daemon before it starts.
	Adjust func(s *configurer.Settings)
}

// Fleet runs daemons and stand-ins of the platform on loopback addresses.
type Fleet struct {
	Store *emulator.Store
	VMs   *emulator.VMList

	config    FleetConfig
	authority *certifier.Authority
	listURL   *url.URL
	closers   []func()

	mu      sync.Mutex
	cut     map[contractor.Zone]bool
	daemons map[contractor.VM]*assembler.Daemon
}

// NewFleet starts the stand-ins of the platform.
func NewFleet(c FleetConfig) (*Fleet, error) {
	f := &Fleet{
		Store:   emulator.NewStore(emulator.StoreConfig{Seed: 1}),
		VMs:     emulator.NewVMList(0),
		config:  c,
		cut:     make(map[contractor.Zone]bool),
		daemons: make(map[contractor.VM]*assembler.Daemon),
	}
	base, err := f.VMs.Serve()
	if err != nil {
		return nil, errors.Wrap(err, "serve VM list")
	}
	f.closers = append(f.closers, func() { _ = f.VMs.Close() })
	f.listURL, err = url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "parse URL of VM list")
	}
	f.authority, err = certifier.NewAuthority("fleet", keyLifetime)
	if err != nil {
		return nil, errors.Wrap(err, "make authority")
	}
	if err := os.WriteFile(f.path("fleet.crt"), f.authority.Certificate(), 0o600); err != nil {
		return nil, errors.Wrap(err, "write authority")
	}
	return f, nil
}

func (f *Fleet) path(name string) string { return filepath.Join(f.config.Directory, name) }

// Start starts a daemon and waits until it takes callers.
func (f *Fleet) Start(ctx context.Context, p Place) (*assembler.Daemon, error) {
	settings, err := f.settings(p)
	if err != nil {
		return nil, err
	}
	d, err := assembler.New(assembler.Config{
		Settings: settings,
		WrapCaller: func(next messenger.Caller) messenger.Caller {
			return &cutCaller{fleet: f, zone: p.Zone, next: next}
		},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", p.VM)
	}
	f.VMs.Set(emulator.VMEntry{VM: p.VM, Zone: p.Zone, Address: d.Self().Address, State: emulator.VMLive})
	f.mu.Lock()
	f.daemons[p.VM] = d
	f.mu.Unlock()
	go func() { _ = d.Run(context.Background()) }()
	return d, f.awaitReady(ctx, d)
}

func (f *Fleet) awaitReady(ctx context.Context, d *assembler.Daemon) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.State().Ready {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for %s", d.Self().VM)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// settings returns the settings of one daemon, with keys of its own.
func (f *Fleet) settings(p Place) (*configurer.Settings, error) {
	pair, err := f.authority.Issue(certifier.Request{VM: p.VM, Lifetime: keyLifetime})
	if err != nil {
		return nil, errors.Wrap(err, "issue certificate")
	}
	certificate := f.path(string(p.VM) + ".crt")
	key := f.path(string(p.VM) + ".key")
	if err := pair.Write(certificate, key); err != nil {
		return nil, errors.Wrap(err, "write certificate")
	}
	endpoint, err := f.storeFor(p.Zone)
	if err != nil {
		return nil, err
	}
	file := f.path(string(p.VM) + ".ini")
	text := fmt.Sprintf(settingsText, p.VM, p.Zone, endpoint, f.listURL, f.path("fleet.crt"), certificate, key, contractor.HashKey(operatorKey))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	settings, err := configurer.Load(file)
	if err != nil {
		return nil, errors.Wrap(err, "load settings")
	}
	if f.config.Adjust != nil {
		f.config.Adjust(settings)
	}
	return settings, nil
}

// storeFor serves the store on an address that only one zone uses, so that the
// zone can be cut off.
func (f *Fleet) storeFor(zone contractor.Zone) (*url.URL, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for store")
	}
	next := f.Store.Handler()
	gate := &http.Server{ReadHeaderTimeout: readyTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.isCut(zone) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})}
	go func() { _ = gate.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = gate.Close() })
	return &url.URL{Scheme: "http", Host: listener.Addr().String()}, nil
}

// Cut separates a zone from the store and from the daemons of the other zones,
// or joins it again.
func (f *Fleet) Cut(zone contractor.Zone, cut bool) {
	f.mu.Lock()
	f.cut[zone] = cut
	f.mu.Unlock()
	f.Store.DisconnectWatches()
}

func (f *Fleet) isCut(zone contractor.Zone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[zone]
}

// Kill ends a daemon at once and takes its VM off the list.
func (f *Fleet) Kill(vm contractor.VM) {
	f.mu.Lock()
	d := f.daemons[vm]
	delete(f.daemons, vm)
	f.mu.Unlock()
	if d != nil {
		d.Kill()
	}
	f.VMs.Remove(vm)
}

// Stop is the planned stop of a daemon.
func (f *Fleet) Stop(ctx context.Context, vm contractor.VM) error {
	f.mu.Lock()
	d := f.daemons[vm]
	delete(f.daemons, vm)
	f.mu.Unlock()
	if d == nil {
		return fmt.Errorf("no daemon runs on VM %q", vm)
	}
	err := d.Stop(ctx)
	f.VMs.Remove(vm)
	return err
}

// Daemons returns the running daemons.
func (f *Fleet) Daemons() []*assembler.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*assembler.Daemon, 0, len(f.daemons))
	for _, d := range f.daemons {
		list = append(list, d)
	}
	return list
}

// Close ends all daemons and stand-ins at once.
func (f *Fleet) Close() {
	for _, d := range f.Daemons() {
		d.Kill()
	}
	for _, c := range f.closers {
		c()
	}
}

// cutCaller is the way to other daemons of a daemon whose zone can be cut off.
type cutCaller struct {
	fleet *Fleet
	zone  contractor.Zone
	next  messenger.Caller
}

// Call fails without sending when the cut is between the two zones.
func (c *cutCaller) Call(ctx context.Context, to messenger.Peer, method messenger.Method, request []byte) ([]byte, error) {
	if c.zone != to.Zone && (c.fleet.isCut(c.zone) || c.fleet.isCut(to.Zone)) {
		return nil, &messenger.CallError{Method: method, Peer: to, Err: messenger.ErrUnreachable}
	}
	return c.next.Call(ctx, to, method, request)
}
