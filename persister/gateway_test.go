package persister_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func endpoint(t *testing.T, h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func gateway(t *testing.T, c persister.GatewayConfig) *persister.Gateway {
	g, err := persister.NewGateway(c)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	return g
}

func connect(t *testing.T, s *emulator.Store) *persister.Gateway {
	return gateway(t, persister.GatewayConfig{Endpoints: []netip.AddrPort{endpoint(t, s.Handler())}})
}

func put(key, value string) persister.Txn {
	return persister.Txn{Puts: []persister.Put{{Key: key, Value: []byte(value)}}}
}

func compareAndPut(key, value string, revision contractor.Revision) persister.Txn {
	txn := put(key, value)
	txn.Compares = []persister.Compare{{Key: key, Revision: revision}}
	return txn
}

func ExampleGateway() {
	service := httptest.NewServer(emulator.NewStore(emulator.StoreConfig{}).Handler())
	defer service.Close()
	store, err := persister.NewGateway(persister.GatewayConfig{
		Endpoints: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(service.URL, "http://"))},
	})
	if err != nil {
		panic(err)
	}
	defer store.Close()
	ctx := context.Background()
	create := persister.Txn{
		Compares: []persister.Compare{{Key: "contract/loft-7"}},
		Puts:     []persister.Put{{Key: "contract/loft-7", Value: []byte("{}")}},
	}
	for range 2 {
		revision, err := store.Commit(ctx, create)
		fmt.Println(revision, errors.Is(err, persister.ErrConflict))
	}
	// Output:
	// 2 false
	// 0 true
}

// Guards against a Gateway that accepts a service whose certificate is not trusted.
func TestGatewayOverTLS(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	server := httptest.NewTLSServer(s.Handler())
	t.Cleanup(server.Close)
	endpoints := []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "https://"))}
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	trusted := gateway(t, persister.GatewayConfig{Endpoints: endpoints, TLS: &tls.Config{RootCAs: roots}})
	_, err := trusted.Commit(t.Context(), put("a", "1"))
	require.NoError(t, err)
	untrusted := gateway(t, persister.GatewayConfig{Endpoints: endpoints, TLS: &tls.Config{RootCAs: x509.NewCertPool()}})
	_, err = untrusted.Commit(t.Context(), put("a", "2"))
	require.ErrorIs(t, err, persister.ErrUnavailable)
}

// Guards against a lease per key, against an outage after which no lease is
// granted any more, and against keys that are deleted too early or not at all.
func TestLeaseCacheSharesLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := emulator.NewStore(emulator.StoreConfig{})
		leases := persister.NewLeaseCache(s, 24*time.Hour)
		s.SetFaults(emulator.StoreFaults{Outage: true})
		_, err := leases.Lease(t.Context())
		require.ErrorIs(t, err, persister.ErrUnavailable)
		s.SetFaults(emulator.StoreFaults{Delay: time.Second})
		var group errgroup.Group
		for range 20 {
			group.Go(func() error {
				_, err := leases.Lease(t.Context())
				return err
			})
		}
		require.NoError(t, group.Wait())
		require.Equal(t, int64(2), s.Counts().Leases)
		first, err := leases.Lease(t.Context())
		require.NoError(t, err)
		_, err = s.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: "a", Lease: first}}})
		require.NoError(t, err)
		time.Sleep(24*time.Hour + 59*time.Minute)
		require.NotZero(t, s.Peek("a").Revision)
		time.Sleep(2 * time.Minute)
		require.Zero(t, s.Peek("a").Revision)
		second, err := leases.Lease(t.Context())
		require.NoError(t, err)
		require.NotEqual(t, first, second)
	})
}

// Guards against a wrong translation of absent keys, conflicts, pages, leases,
// deletes and oversized values between Store and the JSON gateway.
func TestGatewayReadsAndWrites(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	g := connect(t, s)
	ctx := t.Context()
	absent, err := g.Get(ctx, "a/1")
	require.NoError(t, err)
	require.Equal(t, persister.Entry{Key: "a/1"}, absent)
	for i := range 5 {
		revision, err := g.Commit(ctx, compareAndPut(fmt.Sprintf("a/%d", i), "x", 0))
		require.NoError(t, err)
		require.Equal(t, s.Revision(), revision)
	}
	_, err = g.Commit(ctx, compareAndPut("a/1", "y", 0))
	require.ErrorIs(t, err, persister.ErrConflict)
	page, err := g.Range(ctx, "a/", "a/0", 3)
	require.NoError(t, err)
	require.True(t, page.More)
	require.Equal(t, s.Peek("a/1"), page.Entries[0])
	lease, err := g.GrantLease(ctx, 1500*time.Millisecond)
	require.NoError(t, err)
	left, err := g.KeepAlive(ctx, lease)
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, left)
	_, err = g.Commit(ctx, persister.Txn{Puts: []persister.Put{{Key: "m", Lease: lease}}, Deletes: []string{"a/1"}})
	require.NoError(t, err)
	require.Zero(t, s.Peek("a/1").Revision)
	_, err = g.Commit(ctx, put("b", string(make([]byte, persister.MaxValueSize+1))))
	require.ErrorIs(t, err, persister.ErrInvalid)
}

// Guards against a commit that is lost or applied twice. Requests, responses or both
// are lost at random, and the client sends a transaction again.
func TestGatewayResolvesLostResponses(t *testing.T) {
	marked := put("m", "1")
	marked.Marker = "m"
	tests := []struct {
		name string
		txn  persister.Txn
	}{
		{"marker", marked},
		{"compared put", compareAndPut("a", "op-1", 0)},
		{"put without compare", put("a", "op-1")},
	}
	faults := []emulator.StoreFaults{{LoseResponses: 0.6}, {LoseRequests: 0.6}, {LoseResponses: 0.4, LoseRequests: 0.4}}
	for _, tt := range tests {
		for i, f := range faults {
			s := emulator.NewStore(emulator.StoreConfig{Seed: uint64(i)})
			g := connect(t, s)
			s.SetFaults(f)
			revision, err := g.Commit(t.Context(), tt.txn)
			require.NoError(t, err, tt.name)
			require.Equal(t, contractor.Revision(2), revision, tt.name)
			require.Equal(t, contractor.Revision(2), s.Revision(), tt.name)
		}
	}
}

// overwritingHandler forwards calls to the store. While armed, it changes a key
// after the next transaction and closes the connection without a response.
type overwritingHandler struct {
	store *emulator.Store
	key   string
	armed atomic.Bool
}

func (o *overwritingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v3/kv/txn" || !o.armed.Swap(false) {
		o.store.Handler().ServeHTTP(w, r)
		return
	}
	o.store.Handler().ServeHTTP(httptest.NewRecorder(), r)
	_, _ = o.store.Commit(r.Context(), put(o.key, "somebody else"))
	panic(http.ErrAbortHandler)
}

// Guards against a wrong outcome when the response is lost and another writer then
// overwrites the value. Only a marker still shows that the transaction took effect.
func TestGatewayOutcomeAfterValueWasOverwritten(t *testing.T) {
	marked := persister.Txn{Marker: "m", Puts: []persister.Put{{Key: "a"}, {Key: "m"}}}
	tests := []struct {
		name string
		txn  persister.Txn
		want error
	}{
		{"marker shows the outcome", marked, nil},
		{"first put does not show the outcome", compareAndPut("a", "op-1", 0), persister.ErrUnknown},
	}
	for _, tt := range tests {
		s := emulator.NewStore(emulator.StoreConfig{})
		handler := &overwritingHandler{store: s, key: "a"}
		handler.armed.Store(true)
		g := gateway(t, persister.GatewayConfig{Endpoints: []netip.AddrPort{endpoint(t, handler)}})
		_, err := g.Commit(t.Context(), tt.txn)
		require.ErrorIs(t, err, tt.want, tt.name)
		require.Equal(t, "somebody else", string(s.Peek("a").Value), tt.name)
	}
}

// Guards against confusing ErrUnavailable, which promises that nothing was written,
// with ErrUnknown, which a write without a response must return.
func TestGatewayErrorsDuringOutages(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	g := connect(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	s.SetFaults(emulator.StoreFaults{Outage: true})
	_, err := g.Commit(ctx, put("a", "1"))
	require.ErrorIs(t, err, persister.ErrUnavailable)
	require.NotErrorIs(t, err, persister.ErrUnknown)
	_, err = g.Get(ctx, "a")
	require.ErrorIs(t, err, persister.ErrUnavailable)
	s.SetFaults(emulator.StoreFaults{Hang: true})
	_, err = g.Commit(ctx, put("a", "1"))
	require.ErrorIs(t, err, persister.ErrUnknown)
	require.NotErrorIs(t, err, persister.ErrUnavailable)
	require.Zero(t, s.Peek("a").Revision)
}

// Guards against failing calls while only one of two endpoints is down.
func TestGatewayFailsOver(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	closed := httptest.NewServer(s.Handler())
	closedEndpoint := netip.MustParseAddrPort(strings.TrimPrefix(closed.URL, "http://"))
	closed.Close()
	g := gateway(t, persister.GatewayConfig{Endpoints: []netip.AddrPort{closedEndpoint, endpoint(t, s.Handler())}})
	_, err := g.Commit(t.Context(), put("a", "1"))
	require.NoError(t, err)
	withoutFailover := gateway(t, persister.GatewayConfig{Endpoints: []netip.AddrPort{closedEndpoint}})
	_, err = withoutFailover.Commit(t.Context(), put("a", "1"))
	require.ErrorIs(t, err, persister.ErrUnavailable)
}

// Guards against a call to the service above the daemon's own rate limit.
func TestGatewayEnforcesRateLimit(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	address := endpoint(t, s.Handler())
	g := gateway(t, persister.GatewayConfig{Endpoints: []netip.AddrPort{address}, ReadsPerSecond: 1, MaxRateWait: time.Millisecond})
	_, err := g.Get(t.Context(), "a")
	require.NoError(t, err)
	_, err = g.Get(t.Context(), "a")
	require.ErrorIs(t, err, persister.ErrThrottled)
	require.Equal(t, int64(1), s.Counts().Reads)
}

// Guards against changes that are lost or delivered twice when the connections of a
// watch are closed, and against a watch that silently skips compacted revisions.
func TestGatewayWatchDeliversEveryChangeOnce(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{})
	g := connect(t, s)
	errDone := errors.New("done")
	const changes = 200
	group, ctx := errgroup.WithContext(t.Context())
	var seen []string
	group.Go(func() error {
		err := g.Watch(ctx, "a/", 1, func(b persister.Batch) error {
			for _, c := range b.Changes {
				seen = append(seen, c.Entry.Key)
			}
			if len(seen) >= changes {
				return errDone
			}
			return nil
		})
		if errors.Is(err, errDone) {
			return nil
		}
		return err
	})
	var want []string
	for i := range changes {
		key := fmt.Sprintf("a/%03d", i)
		want = append(want, key)
		_, err := s.Commit(ctx, persister.Txn{Puts: []persister.Put{{Key: key}, {Key: "b/" + key}}})
		require.NoError(t, err)
		if i%50 == 0 {
			s.DisconnectWatches()
		}
	}
	require.NoError(t, group.Wait())
	require.Equal(t, want, seen)
	s.Compact(100)
	err := g.Watch(t.Context(), "a/", 50, func(persister.Batch) error { return nil })
	require.ErrorIs(t, err, persister.ErrCompacted)
}

// Guards against lost and repeated writes of concurrent clients. Requests and
// responses are lost at random while four clients increment one counter.
func TestGatewayCountsEachIncrementOnce(t *testing.T) {
	s := emulator.NewStore(emulator.StoreConfig{Seed: 7})
	s.SetFaults(emulator.StoreFaults{LoseResponses: 0.2, LoseRequests: 0.1})
	group, ctx := errgroup.WithContext(t.Context())
	var accepted atomic.Int64
	for worker := range 4 {
		g := connect(t, s)
		group.Go(func() error {
			for i := range 10 {
				if err := increment(ctx, g, fmt.Sprintf("op/%d-%d", worker, i)); err != nil {
					return err
				}
				accepted.Add(1)
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	require.Len(t, s.Peek("count").Value, int(accepted.Load()))
	require.Len(t, s.Keys("op/"), int(accepted.Load()))
}

// increment appends one byte to the counter, and retries after conflicts.
func increment(ctx context.Context, g persister.Store, marker string) error {
	for {
		e, err := g.Get(ctx, "count")
		if err != nil {
			return err
		}
		_, err = g.Commit(ctx, persister.Txn{
			Compares: []persister.Compare{{Key: e.Key, Revision: e.Revision}},
			Puts:     []persister.Put{{Key: e.Key, Value: append(e.Value, '+')}, {Key: marker}},
			Marker:   marker,
		})
		if !errors.Is(err, persister.ErrConflict) {
			return err
		}
	}
}
