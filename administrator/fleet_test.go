package administrator_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/administrator"
	"laburnumline/certifier"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/emulator"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/watcher"
)

// fixedMembers is a membership of the fleet that never changes.
type fixedMembers struct {
	self  messenger.Peer
	peers []messenger.Peer
}

func (m fixedMembers) Self() messenger.Peer { return m.self }

func (m fixedMembers) Zone(zone contractor.Zone) []messenger.Peer {
	var in []messenger.Peer
	for _, p := range m.peers {
		if p.Zone == zone {
			in = append(in, p)
		}
	}
	return in
}

func (m fixedMembers) Zones() []contractor.Zone { return []contractor.Zone{"z0", "z1", "z2"} }

func (m fixedMembers) Changed() <-chan struct{} { return nil }

// delayedCaller delays the request and the response of each call.
type delayedCaller struct {
	messenger.Caller
	delay time.Duration
}

func (c delayedCaller) Call(ctx context.Context, to messenger.Peer, m messenger.Method, request []byte) ([]byte, error) {
	time.Sleep(c.delay)
	defer time.Sleep(c.delay)
	return c.Caller.Call(ctx, to, m, request)
}

// realFleet runs the watchers of several daemons, which are connected by QUIC on
// loopback. The store is reached through its HTTP gateway. The first daemon serves the
// administration API.
type realFleet struct {
	store    *emulator.Store
	watchers []*watcher.Watcher
	client   *administrator.Client
}

func newRealFleet(t testing.TB, n int, delay time.Duration) *realFleet {
	f := &realFleet{store: emulator.NewStore(emulator.StoreConfig{})}
	f.store.SetFaults(emulator.StoreFaults{Delay: 2 * delay})
	gateway := httptest.NewServer(f.store.Handler())
	authority, err := certifier.NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var transports []*messenger.QUIC
	var stores []*persister.Gateway
	var peers []messenger.Peer
	muxes := make([]*messenger.Mux, n)
	for i := range n {
		vm := contractor.VM(fmt.Sprint("vm-", i))
		pair, err := authority.Issue(certifier.Request{VM: vm, Lifetime: time.Hour})
		require.NoError(t, err)
		keys, err := certifier.NewCredentials(pair, authority.Certificate())
		require.NoError(t, err)
		muxes[i] = &messenger.Mux{}
		self := messenger.Peer{VM: vm, Zone: contractor.Zone(fmt.Sprint("z", i%3)), Incarnation: 1}
		transport, err := messenger.NewQUIC(messenger.QUICConfig{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Self: self, Keys: keys, Mux: muxes[i]})
		require.NoError(t, err)
		transports = append(transports, transport)
		peers = append(peers, transport.Self())
	}
	for i := range n {
		store, err := persister.NewGateway(persister.GatewayConfig{
			Endpoints: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(gateway.URL, "http://"))},
		})
		require.NoError(t, err)
		stores = append(stores, store)
		w, err := watcher.New(watcher.Config{
			Store: store, Caller: delayedCaller{transports[i], delay}, Mux: muxes[i], Members: fixedMembers{peers[i], peers},
		})
		require.NoError(t, err)
		f.watchers = append(f.watchers, w)
		running.Go(func() { _ = w.Run(ctx) })
	}
	claims, err := deduplicator.New(deduplicator.Config{Store: stores[0], VM: "vm-0", Incarnation: 1})
	require.NoError(t, err)
	admin, err := administrator.New(administrator.Config{Store: stores[0], Watcher: f.watchers[0], Claims: claims, Operators: operators})
	require.NoError(t, err)
	server := httptest.NewServer(admin.Handler())
	f.client = administrator.NewClient(server.URL, "editor-key")
	f.client.HTTP = server.Client()
	t.Cleanup(func() {
		cancel()
		running.Wait()
		server.Close()
		for i := range n {
			_ = transports[i].Close()
			stores[i].Close()
		}
		gateway.CloseClientConnections()
		gateway.Close()
	})
	f.waitInForce(1)
	return f
}

// waitInForce waits until all daemons have applied a revision of contracts and returns
// how long it took.
func (f *realFleet) waitInForce(revision contractor.Revision) time.Duration {
	start := time.Now()
	for _, w := range f.watchers {
		for w.AppliedRevision(watcher.Contracts) < revision {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

// After an accepted change, every daemon must use the new contract once it reports the
// change as applied. Otherwise the status of the change misleads the operator.
func TestAcceptedChangeIsAppliedByAllDaemons(t *testing.T) {
	f := newRealFleet(t, 8, 0)
	state, err := f.client.CreateContract(t.Context(), newContract("a"))
	require.NoError(t, err)
	for i := range 5 {
		c := newContract("a")
		c.Weight = i + 1
		state, err = f.client.AmendContract(t.Context(), c, state.Revision)
		require.NoError(t, err)
		f.waitInForce(state.Revision)
		for _, w := range f.watchers {
			account, err := w.AccountOf(t.Context(), contractor.HashKey("a"))
			require.NoError(t, err)
			got, revision, err := w.Contract(t.Context(), account)
			require.NoError(t, err)
			require.Equal(t, state.Revision, revision)
			require.Equal(t, i+1, got.Weight)
		}
	}
	status, err := f.client.ChangeStatus(t.Context(), "contract", state.Revision)
	require.NoError(t, err)
	require.Equal(t, "in force on 8 of 8 daemons", status.Text)
}
