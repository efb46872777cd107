package administrator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"laburnumline/administrator"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/emulator"
	"laburnumline/watcher"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeWatcher returns fixed revisions and records the revision of the last invalidation.
type fakeWatcher struct {
	daemons     []watcher.DaemonRevision
	invalidated atomic.Int64
}

func (f *fakeWatcher) InvalidateContract(_ contractor.Account, r contractor.Revision) {
	f.invalidated.Store(int64(r))
}

func (f *fakeWatcher) DaemonRevisions(context.Context, ...contractor.Zone) []watcher.DaemonRevision {
	return f.daemons
}

// fixture is the administration API of one daemon with an emulated store.
type fixture struct {
	t       testing.TB
	store   *emulator.Store
	watcher *fakeWatcher
	claims  *deduplicator.Deduplicator
	server  *httptest.Server
	*administrator.Client
}

var operators = []administrator.Operator{
	{Name: "alba", Role: administrator.Editor, Hash: contractor.HashKey("editor-key")},
	{Name: "jo", Role: administrator.Viewer, Hash: contractor.HashKey("viewer-key")},
}

func newFixture(t testing.TB) *fixture {
	return newFixtureWithStore(t, emulator.NewStore(emulator.StoreConfig{Seed: 3}))
}

// secondDaemon returns a fixture of another daemon with the same store.
func (f *fixture) secondDaemon() *fixture { return newFixtureWithStore(f.t, f.store) }

func newFixtureWithStore(t testing.TB, store *emulator.Store) *fixture {
	f := &fixture{t: t, store: store, watcher: &fakeWatcher{}}
	var err error
	f.claims, err = deduplicator.New(deduplicator.Config{Store: f.store, VM: "entry-1", Incarnation: 1})
	require.NoError(t, err)
	admin, err := administrator.New(administrator.Config{Store: f.store, Watcher: f.watcher, Claims: f.claims, Operators: operators})
	require.NoError(t, err)
	f.server = httptest.NewServer(admin.Handler())
	f.Client = f.client("editor-key")
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		f.server.Close()
	})
	return f
}

func (f *fixture) client(key string) *administrator.Client {
	c := administrator.NewClient(f.server.URL, key)
	c.HTTP = f.server.Client()
	return c
}

// send makes an HTTP request without Client, which would retry, and returns the status
// and the problem. header holds names and values in turn.
func (f *fixture) send(method, path, body string, header ...string) (int, administrator.Problem) {
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	r.Header.Set("Authorization", "Bearer editor-key")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := f.server.Client().Do(r)
	require.NoError(f.t, err)
	raw, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
	var p administrator.Problem
	if response.StatusCode >= 300 {
		require.NoError(f.t, json.Unmarshal(raw, &p), string(raw))
	}
	return response.StatusCode, p
}

func problemOf(t testing.TB, err error) *administrator.Problem {
	var p *administrator.Problem
	require.ErrorAs(t, err, &p)
	return p
}

// newContract returns a contract with the given bearer keys.
func newContract(bearers ...string) *contractor.Contract {
	c := &contractor.Contract{
		Account: "loft-7",
		Budgets: []contractor.Budget{{Name: "quotes", Models: []string{"quote-model"}, Prepaid: 1000}},
	}
	for _, b := range bearers {
		c.Keys = append(c.Keys, contractor.Key{Hash: contractor.HashKey(b)})
	}
	return c
}

// accountOf returns the account to which the store's index maps a bearer key.
func (f *fixture) accountOf(bearer string) string {
	return string(f.store.Peek("keyhash/" + string(contractor.HashKey(bearer))).Value)
}
