package treasurer

import (
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/messenger"
	"laburnumline/reserver"
)

var (
	account = contractor.Account("loft-7")
	quotes  = contractor.BudgetID{Account: account, Name: "quotes"}
)

// fleet runs the daemons of several zones in one process.
type fleet struct {
	t         *testing.T
	ctx       context.Context
	store     *emulator.Store
	loopback  messenger.Loopback
	configure func(*Config)

	mu      sync.Mutex
	daemons []*daemon
	gone    map[reserver.DaemonID]bool
	changed chan struct{}
}

type daemon struct {
	*Treasurer
	peer   messenger.Peer
	mux    *messenger.Mux
	cancel context.CancelFunc
	done   chan struct{}
	live   bool
	// claimsKeeper is true for a daemon that believes that it is the keeper of its zone.
	claimsKeeper bool
}

// runWithFleet runs a test with its own fleet in simulated time, and stops the daemons.
func runWithFleet(t *testing.T, prepaid contractor.Tokens, configure func(*Config), test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, prepaid, configure)
		defer f.stop()
		test(t, f)
	})
}

func newFleet(t *testing.T, prepaid contractor.Tokens, configure func(*Config)) *fleet {
	f := &fleet{
		t:         t,
		ctx:       t.Context(),
		store:     emulator.NewStore(emulator.StoreConfig{Seed: 1}),
		configure: configure,
		gone:      make(map[reserver.DaemonID]bool),
		changed:   make(chan struct{}),
	}
	_, err := biller.OpenLedger(f.ctx, f.store, &contractor.Contract{
		Account: account,
		Budgets: []contractor.Budget{{Name: "quotes", Prepaid: prepaid}},
	})
	require.NoError(t, err)
	return f
}

// start starts a daemon.
func (f *fleet) start(vm contractor.VM, zone contractor.Zone, incarnation contractor.Incarnation) *daemon {
	d := &daemon{
		peer: messenger.Peer{VM: vm, Zone: zone, Incarnation: incarnation, Address: netip.MustParseAddrPort("127.0.0.1:1")},
		mux:  &messenger.Mux{},
		done: make(chan struct{}),
		live: true,
	}
	c := Config{Store: f.store, Caller: f.loopback.Caller(d.peer), Mux: d.mux, Members: &view{f, d}}
	if f.configure != nil {
		f.configure(&c)
	}
	d.Treasurer = New(c)
	f.loopback.Attach(vm, d.mux)
	require.NoError(f.t, d.Register(f.ctx))
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() { defer close(d.done); _ = d.Run(ctx) }()
	f.update(func() { f.daemons = append(f.daemons, d) })
	return d
}

func (f *fleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// kill stops a daemon without a drain. The VM list shows its end if gone is true.
func (f *fleet) kill(d *daemon, gone bool) {
	f.loopback.Attach(d.peer.VM, nil)
	d.cancel()
	<-d.done
	f.update(func() {
		d.live = false
		f.gone[daemonIDOf(d.peer)] = gone
	})
}

// setPartitioned blocks or restores the messages between a daemon and the others.
func (f *fleet) setPartitioned(d *daemon, partitioned bool) {
	for _, other := range f.daemons {
		if other != d {
			f.loopback.SetPartitioned(d.peer.VM, other.peer.VM, partitioned)
		}
	}
}

// otherDaemon returns a live daemon of d's zone other than d.
func (f *fleet) otherDaemon(d *daemon) *daemon {
	for _, o := range f.daemons {
		if o != d && o.live && o.peer.Zone == d.peer.Zone {
			return o
		}
	}
	return nil
}

// hide removes a daemon from all views without stopping it.
func (f *fleet) hide(d *daemon) { f.update(func() { d.live = false }) }

// stop stops all daemons.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.cancel()
		<-d.done
	}
}

// keeper returns the daemon that is the keeper of a zone in all views.
func (f *fleet) keeper(zone contractor.Zone) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *daemon
	var highest uint64
	for _, d := range f.daemons {
		if !d.live || d.peer.Zone != zone {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(d.peer.VM))
		if best == nil || h.Sum64() > highest {
			best, highest = d, h.Sum64()
		}
	}
	return best
}

func (f *fleet) ledger() biller.Ledger {
	l, _, err := biller.LoadLedger(f.ctx, f.store, account)
	require.NoError(f.t, err)
	require.NoError(f.t, l.Check())
	return l
}

func (f *fleet) bill() []biller.Line {
	lines, err := biller.ReadLines(f.ctx, f.store, account, time.Time{}, time.Now().Add(time.Hour))
	require.NoError(f.t, err)
	return lines
}

func (f *fleet) settled() contractor.Tokens {
	l := f.ledger()
	return l.Balance("quotes").Settled
}

// view is a daemon's view of the fleet.
type view struct {
	f *fleet
	d *daemon
}

func (v *view) Self() messenger.Peer { return v.d.peer }

func (v *view) Keeper(zone contractor.Zone, _ contractor.Account) (messenger.Peer, bool) {
	d := v.f.keeper(zone)
	if v.d.claimsKeeper && zone == v.d.peer.Zone {
		d = v.d
	}
	if d == nil {
		return messenger.Peer{}, false
	}
	return d.peer, true
}

func (v *view) Zone(zone contractor.Zone) []messenger.Peer {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	var peers []messenger.Peer
	for _, d := range v.f.daemons {
		if d.peer.Zone == zone && (d.live || d == v.d) {
			peers = append(peers, d.peer)
		}
	}
	return peers
}

func (v *view) Zones() []contractor.Zone {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	zones := []contractor.Zone{v.d.peer.Zone}
	for _, d := range v.f.daemons {
		if d.live && !slices.Contains(zones, d.peer.Zone) {
			zones = append(zones, d.peer.Zone)
		}
	}
	return zones
}

func (v *view) Gone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.f.gone[reserver.DaemonID{VM: vm, Incarnation: incarnation}]
}

func (v *view) Changed() <-chan struct{} {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.f.changed
}

func request(key string, want contractor.Tokens) reserver.Request {
	return reserver.Request{Key: contractor.NewRequestKey(account, key), KeyFromCaller: true, Budget: quotes, Amount: want}
}

// spend reserves, dispatches and settles one request.
func (d *daemon) spend(t *testing.T, key string, want, used contractor.Tokens) {
	t.Helper()
	r, err := d.Reserve(t.Context(), request(key, want))
	require.NoError(t, err)
	require.NoError(t, d.BeginDispatch(r))
	d.Settle(r, used)
}

// Guards against billing the reserved amount instead of the actual use, and
// against a bill line for a request that used nothing.
func TestRequestIsBilledWithItsActualUse(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		a := f.start("vm-a", "z1", 1)
		f.start("vm-b", "z1", 1)
		f.start("vm-c", "z2", 1)
		a.spend(t, "order-1", 200, 120)
		a.spend(t, "order-2", 200, 0)
		time.Sleep(10 * time.Second)
		require.Equal(t, contractor.Tokens(120), f.settled())
		require.Len(t, f.bill(), 1)
		require.Empty(t, a.Status().EntryAccounts)
	})
}

func (f *fleet) topUp(id biller.TopUpID, amount contractor.Tokens) {
	_, err := biller.TopUp(f.ctx, f.store, account, "quotes", id, amount)
	require.NoError(f.t, err)
}
