package watcher_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/watcher"
)

// link delays messages by its one-way delay. Messages from and to frozen
// daemons are lost, so their calls end with the context.
type link struct {
	messenger.Caller
	delay  time.Duration
	from   contractor.VM
	frozen *sync.Map
}

func (l link) Call(ctx context.Context, to messenger.Peer, m messenger.Method, request []byte) ([]byte, error) {
	time.Sleep(l.delay)
	defer time.Sleep(l.delay)
	answer, err := l.Caller.Call(ctx, to, m, request)
	for _, vm := range []contractor.VM{l.from, to.VM} {
		if _, lost := l.frozen.Load(vm); lost {
			<-ctx.Done()
			return nil, &messenger.CallError{Method: m, Peer: to, PossiblyExecuted: true, Err: context.Cause(ctx)}
		}
	}
	return answer, err
}

// registry is what all daemons believe about members.
type registry struct {
	mu      sync.Mutex
	peers   []messenger.Peer
	changed chan struct{}
}

func (r *registry) zone(zone contractor.Zone) []messenger.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []messenger.Peer
	for _, p := range r.peers {
		if p.Zone == zone {
			in = append(in, p)
		}
	}
	return in
}

func (r *registry) zones() []contractor.Zone {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[contractor.Zone]bool)
	var all []contractor.Zone
	for _, p := range r.peers {
		if !seen[p.Zone] {
			seen[p.Zone] = true
			all = append(all, p.Zone)
		}
	}
	return all
}

func (r *registry) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registry) changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// members is the registry as one daemon sees it.
type members struct {
	*registry
	self messenger.Peer
}

func (m members) Self() messenger.Peer                    { return m.self }
func (m members) Zone(z contractor.Zone) []messenger.Peer { return m.zone(z) }
func (m members) Zones() []contractor.Zone                { return m.zones() }
func (m members) Changed() <-chan struct{}                { return m.changes() }

// storeLink is the way of one daemon to the store; it can be cut.
type storeLink struct {
	persister.Store
	mu  sync.Mutex
	cut bool
}

func (l *storeLink) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *storeLink) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return persister.ErrUnavailable
	}
	return nil
}

func (l *storeLink) Get(ctx context.Context, key string) (persister.Entry, error) {
	if err := l.check(); err != nil {
		return persister.Entry{}, err
	}
	return l.Store.Get(ctx, key)
}

func (l *storeLink) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if err := l.check(); err != nil {
		return persister.Page{}, err
	}
	return l.Store.Range(ctx, prefix, after, limit)
}

// Watch keeps silent while the link is cut, as a watch that reconnects.
func (l *storeLink) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	return l.Store.Watch(ctx, prefix, after, func(b persister.Batch) error {
		for l.check() != nil {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		return handle(b)
	})
}

type daemon struct {
	*watcher.Watcher
	peer      messenger.Peer
	storeLink *storeLink
	stop      context.CancelFunc
}

type fleet struct {
	t        testing.TB
	store    *emulator.Store
	loopback messenger.Loopback
	registry registry
	daemons  []*daemon
	config   watcher.Config
	delay    time.Duration
	messages atomic.Int64
	bytes    atomic.Int64
	frozen   sync.Map
}

// newFleet starts daemons in zones; it has to be called within a bubble.
func newFleet(t testing.TB, c watcher.Config, perZone ...int) *fleet {
	f := &fleet{t: t, store: emulator.NewStore(emulator.StoreConfig{}), config: c, delay: 5 * time.Millisecond}
	f.registry.changed = make(chan struct{})
	for z, n := range perZone {
		for i := range n {
			f.registry.peers = append(f.registry.peers, messenger.Peer{
				VM:          contractor.VM(fmt.Sprintf("vm-%d-%d", z, i)),
				Zone:        contractor.Zone(fmt.Sprintf("zone-%d", z)),
				Incarnation: 1,
			})
		}
	}
	for _, p := range f.registry.peers {
		f.daemons = append(f.daemons, f.start(p))
	}
	return f
}

func (f *fleet) start(p messenger.Peer) *daemon {
	mux := &messenger.Mux{}
	f.loopback.Attach(p.VM, mux)
	d := &daemon{peer: p, storeLink: &storeLink{Store: f.store}}
	c := f.config
	c.Store = d.storeLink
	c.Caller = link{meter{f.loopback.Caller(p), &f.messages, &f.bytes}, f.delay, p.VM, &f.frozen}
	c.Mux = mux
	c.Members = members{&f.registry, p}
	w, err := watcher.New(c)
	require.NoError(f.t, err)
	d.Watcher = w
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = w.Run(ctx) }()
	return d
}

func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.stop()
	}
	// Loads that go on end within their timeout.
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// cutZone cuts a zone off from the store and from all other zones, or heals it.
func (f *fleet) cutZone(zone contractor.Zone, cut bool) {
	for _, a := range f.daemons {
		if a.peer.Zone != zone {
			continue
		}
		a.storeLink.set(cut)
		for _, b := range f.daemons {
			if b.peer.Zone != zone {
				f.loopback.SetPartitioned(a.peer.VM, b.peer.VM, cut)
			}
		}
	}
}

func contractOf(account contractor.Account, weight int, bearers ...string) contractor.Contract {
	c := contractor.Contract{Account: account, Weight: weight}
	c.Budgets = []contractor.Budget{{Name: "main", Models: []string{"quote-model"}}}
	for _, b := range bearers {
		c.Keys = append(c.Keys, contractor.Key{Hash: contractor.HashKey(b)})
	}
	return c
}

func (f *fleet) put(c contractor.Contract) contractor.Revision {
	revision := f.tryPut(c)
	require.NotZero(f.t, revision)
	return revision
}

// tryPut writes a contract unless the store is away.
func (f *fleet) tryPut(c contractor.Contract) contractor.Revision {
	value, err := json.Marshal(c)
	require.NoError(f.t, err)
	puts := []persister.Put{{Key: "contract/" + string(c.Account), Value: value}}
	for _, k := range c.Keys {
		puts = append(puts, persister.Put{Key: "keyhash/" + string(k.Hash), Value: []byte(c.Account)})
	}
	revision, err := f.store.Commit(context.Background(), persister.Txn{Puts: puts})
	if errors.Is(err, persister.ErrUnavailable) {
		return 0
	}
	require.NoError(f.t, err)
	return revision
}

func (f *fleet) putUpstream(u contractor.Upstream) contractor.Revision {
	value, err := json.Marshal(u)
	require.NoError(f.t, err)
	revision, err := f.store.Commit(context.Background(), persister.Txn{
		Puts: []persister.Put{{Key: "upstream/" + u.Name, Value: value}},
	})
	require.NoError(f.t, err)
	return revision
}

// waitInForce returns the time until a revision is in force on all daemons.
func (f *fleet) waitInForce(s watcher.Section, revision contractor.Revision) time.Duration {
	start := time.Now()
	for {
		waiting := 0
		for _, d := range f.daemons {
			if d.InForce(s) < revision {
				waiting++
			}
		}
		if waiting == 0 || time.Since(start) > 2*time.Hour {
			require.Zero(f.t, waiting)
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) weights(account contractor.Account) []int {
	var all []int
	for _, d := range f.daemons {
		c, _, err := d.Contract(context.Background(), account)
		require.NoError(f.t, err, d.peer)
		all = append(all, c.Weight)
	}
	return all
}
