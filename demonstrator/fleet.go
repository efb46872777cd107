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
	operatorKey         = "demo-operator-key"
	certificateLifetime = time.Hour
	readyTimeout        = 10 * time.Second
)

// settingsTemplate is the settings file of one daemon of the demo.
const settingsTemplate = `[daemon]
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

// Location is a daemon's VM and availability zone.
type Location struct {
	VM   contractor.VM
	Zone contractor.Zone
}

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Directory is where settings, certificates and keys are written. It must exist.
	Directory string
	// AdjustSettings, if not nil, changes the settings of each daemon before it starts.
	AdjustSettings func(s *configurer.Settings)
}

// Fleet runs daemons, and emulations of the platform's store and VM list, on loopback addresses.
type Fleet struct {
	Store *emulator.Store
	VMs   *emulator.VMList

	config    FleetConfig
	authority *certifier.Authority
	vmListURL *url.URL
	closers   []func()

	mu          sync.Mutex
	partitioned map[contractor.Zone]bool
	daemons     map[contractor.VM]*assembler.Daemon
}

// NewFleet starts the emulated VM list and creates the authority that signs the daemons'
// certificates.
func NewFleet(c FleetConfig) (*Fleet, error) {
	f := &Fleet{
		Store:       emulator.NewStore(emulator.StoreConfig{Seed: 1}),
		VMs:         emulator.NewVMList(0),
		config:      c,
		partitioned: make(map[contractor.Zone]bool),
		daemons:     make(map[contractor.VM]*assembler.Daemon),
	}
	base, err := f.VMs.Serve()
	if err != nil {
		return nil, errors.Wrap(err, "serve VM list")
	}
	f.closers = append(f.closers, func() { _ = f.VMs.Close() })
	f.vmListURL, err = url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "parse URL of VM list")
	}
	f.authority, err = certifier.NewAuthority("fleet", certificateLifetime)
	if err != nil {
		return nil, errors.Wrap(err, "make authority")
	}
	if err := os.WriteFile(f.path("fleet.crt"), f.authority.Certificate(), 0o600); err != nil {
		return nil, errors.Wrap(err, "write authority")
	}
	return f, nil
}

func (f *Fleet) path(name string) string { return filepath.Join(f.config.Directory, name) }

// Start starts a daemon, adds its VM to the VM list and waits until the daemon is ready for callers.
func (f *Fleet) Start(ctx context.Context, location Location) (*assembler.Daemon, error) {
	settings, err := f.settings(location)
	if err != nil {
		return nil, err
	}
	d, err := assembler.New(assembler.Config{
		Settings: settings,
		WrapCaller: func(next messenger.Caller) messenger.Caller {
			return &partitionCaller{fleet: f, zone: location.Zone, next: next}
		},
	})
	if err != nil {
		return nil, errors.Wrapf(err, "start %s", location.VM)
	}
	f.VMs.Set(emulator.VMEntry{VM: location.VM, Zone: location.Zone, Address: d.Self().Address, State: emulator.VMLive})
	f.mu.Lock()
	f.daemons[location.VM] = d
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

// settings issues a certificate for a daemon and returns its settings.
func (f *Fleet) settings(location Location) (*configurer.Settings, error) {
	pair, err := f.authority.Issue(certifier.Request{VM: location.VM, Lifetime: certificateLifetime})
	if err != nil {
		return nil, errors.Wrap(err, "issue certificate")
	}
	certificate := f.path(string(location.VM) + ".crt")
	key := f.path(string(location.VM) + ".key")
	if err := pair.Write(certificate, key); err != nil {
		return nil, errors.Wrap(err, "write certificate")
	}
	endpoint, err := f.serveStore(location.Zone)
	if err != nil {
		return nil, err
	}
	file := f.path(string(location.VM) + ".ini")
	text := fmt.Sprintf(settingsTemplate, location.VM, location.Zone, endpoint, f.vmListURL, f.path("fleet.crt"), certificate, key, contractor.HashKey(operatorKey))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	settings, err := configurer.Load(file)
	if err != nil {
		return nil, errors.Wrap(err, "load settings")
	}
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(settings)
	}
	return settings, nil
}

// serveStore serves the store on an address of its own for one daemon. While the
// daemon's zone is partitioned, the server aborts each request without a response.
func (f *Fleet) serveStore(zone contractor.Zone) (*url.URL, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for store")
	}
	store := f.Store.Handler()
	server := &http.Server{ReadHeaderTimeout: readyTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.isPartitioned(zone) {
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return &url.URL{Scheme: "http", Host: listener.Addr().String()}, nil
}

// SetPartitioned starts or ends a partition between a zone and the rest, which are the store and
// the daemons of other zones. It also ends all open watches of the store, because a watch that was
// opened before the partition would continue to deliver changes.
func (f *Fleet) SetPartitioned(zone contractor.Zone, partitioned bool) {
	f.mu.Lock()
	f.partitioned[zone] = partitioned
	f.mu.Unlock()
	f.Store.DisconnectWatches()
}

func (f *Fleet) isPartitioned(zone contractor.Zone) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[zone]
}

// Kill ends a daemon without a planned stop and removes its VM from the VM list.
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

// Stop performs a planned stop of a daemon and then removes its VM from the VM list.
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

// Close ends all daemons without a planned stop, and closes the emulations.
func (f *Fleet) Close() {
	for _, d := range f.Daemons() {
		d.Kill()
	}
	for _, c := range f.closers {
		c()
	}
}

// partitionCaller calls other daemons on behalf of a daemon, unless a partition separates them.
type partitionCaller struct {
	fleet *Fleet
	zone  contractor.Zone
	next  messenger.Caller
}

// Call fails without sending the request if the two daemons are in different zones and one of the
// zones is partitioned.
func (c *partitionCaller) Call(ctx context.Context, to messenger.Peer, method messenger.Method, request []byte) ([]byte, error) {
	if c.zone != to.Zone && (c.fleet.isPartitioned(c.zone) || c.fleet.isPartitioned(to.Zone)) {
		return nil, &messenger.CallError{Method: method, Peer: to, Err: messenger.ErrUnreachable}
	}
	return c.next.Call(ctx, to, method, request)
}
