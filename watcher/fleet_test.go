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

// delayedCaller delays requests and responses by a one-way delay. Messages from
// and to frozen daemons are lost: their calls end with the context.
type delayedCaller struct {
	messenger.Caller
	delay  time.Duration
	from   contractor.VM
	frozen *sync.Map
}

func (c delayedCaller) Call(ctx context.Context, to messenger.Peer, m messenger.Method, request []byte) ([]byte, error) {
	time.Sleep(c.delay)
	defer time.Sleep(c.delay)
	response, err := c.Caller.Call(ctx, to, m, request)
	for _, vm := range []contractor.VM{c.from, to.VM} {
		if _, lost := c.frozen.Load(vm); lost {
			<-ctx.Done()
			return nil, &messenger.CallError{Method: m, Peer: to, PossiblyExecuted: true, Err: context.Cause(ctx)}
		}
	}
	return response, err
}

// memberList is the list of members that all daemons share.
type memberList struct {
	mu      sync.Mutex
	peers   []messenger.Peer
	changed chan struct{}
}

func (l *memberList) zone(zone contractor.Zone) []messenger.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var in []messenger.Peer
	for _, p := range l.peers {
		if p.Zone == zone {
			in = append(in, p)
		}
	}
	return in
}

func (l *memberList) zones() []contractor.Zone {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := make(map[contractor.Zone]bool)
	var all []contractor.Zone
	for _, p := range l.peers {
		if !seen[p.Zone] {
			seen[p.Zone] = true
			all = append(all, p.Zone)
		}
	}
	return all
}

func (l *memberList) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *memberList) changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// memberView implements watcher.Members for one daemon.
type memberView struct {
	*memberList
	self messenger.Peer
}

func (m memberView) Self() messenger.Peer                    { return m.self }
func (m memberView) Zone(z contractor.Zone) []messenger.Peer { return m.zone(z) }
func (m memberView) Zones() []contractor.Zone                { return m.zones() }
func (m memberView) Changed() <-chan struct{}                { return m.changes() }

// partitionableStore is one daemon's connection to the store, which can be
// partitioned.
type partitionableStore struct {
	persister.Store
	mu          sync.Mutex
	partitioned bool
}

func (s *partitionableStore) setPartitioned(partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = partitioned
}

func (s *partitionableStore) checkPartition() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitioned {
		return persister.ErrUnavailable
	}
	return nil
}

func (s *partitionableStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	if err := s.checkPartition(); err != nil {
		return persister.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionableStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if err := s.checkPartition(); err != nil {
		return persister.Page{}, err
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

// Watch delivers nothing during a partition, like a watch that reconnects.
func (s *partitionableStore) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	return s.Store.Watch(ctx, prefix, after, func(b persister.Batch) error {
		for s.checkPartition() != nil {
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
	peer  messenger.Peer
	store *partitionableStore
	stop  context.CancelFunc
}

type fleet struct {
	t        testing.TB
	store    *emulator.Store
	loopback messenger.Loopback
	members  memberList
	daemons  []*daemon
	config   watcher.Config
	delay    time.Duration
	messages atomic.Int64
	bytes    atomic.Int64
	frozen   sync.Map
}

// newFleet starts daemons in zones. It has to be called in a synctest bubble.
func newFleet(t testing.TB, c watcher.Config, perZone ...int) *fleet {
	f := &fleet{t: t, store: emulator.NewStore(emulator.StoreConfig{}), config: c, delay: 5 * time.Millisecond}
	f.members.changed = make(chan struct{})
	for z, n := range perZone {
		for i := range n {
			f.members.peers = append(f.members.peers, messenger.Peer{
				VM:          contractor.VM(fmt.Sprintf("vm-%d-%d", z, i)),
				Zone:        contractor.Zone(fmt.Sprintf("zone-%d", z)),
				Incarnation: 1,
			})
		}
	}
	for _, p := range f.members.peers {
		f.daemons = append(f.daemons, f.start(p))
	}
	return f
}

func (f *fleet) start(p messenger.Peer) *daemon {
	mux := &messenger.Mux{}
	f.loopback.Attach(p.VM, mux)
	d := &daemon{peer: p, store: &partitionableStore{Store: f.store}}
	c := f.config
	c.Store = d.store
	c.Caller = delayedCaller{countingCaller{f.loopback.Caller(p), &f.messages, &f.bytes}, f.delay, p.VM, &f.frozen}
	c.Mux = mux
	c.Members = memberView{&f.members, p}
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
	// Loads in progress end within their time limit.
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// partitionZone starts or ends a partition of a zone from the store and from all
// other zones.
func (f *fleet) partitionZone(zone contractor.Zone, partitioned bool) {
	for _, a := range f.daemons {
		if a.peer.Zone != zone {
			continue
		}
		a.store.setPartitioned(partitioned)
		for _, b := range f.daemons {
			if b.peer.Zone != zone {
				f.loopback.SetPartitioned(a.peer.VM, b.peer.VM, partitioned)
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

// tryPut writes a contract and returns its revision, or zero if the store is
// unavailable.
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

// waitApplied waits until all daemons have applied a revision and returns the time.
func (f *fleet) waitApplied(s watcher.Section, revision contractor.Revision) time.Duration {
	start := time.Now()
	for {
		waiting := 0
		for _, d := range f.daemons {
			if d.AppliedRevision(s) < revision {
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
