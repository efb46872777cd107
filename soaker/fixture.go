package soaker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"laburnumline/emulator"
)

const (
	routeHost = "a.example"
	firstKey  = "key-1"
	// initialPrepaid is low enough that the account's balance is exhausted during a run.
	initialPrepaid = 150_000
	// A request for a draft uses promptTokens and outputTokens, and each event of its
	// response contains tokensPerEvent.
	promptTokens        = 400
	eventsPerResponse   = 30
	tokensPerEvent      = 3
	outputTokens        = eventsPerResponse * tokensPerEvent
	upstreamsPerService = 2
	// eventInterval is the time between two events of a stream.
	eventInterval = 2 * time.Millisecond
	// Each version of the model's software runs on upstreamsPerService upstreams.
	firstSoftware, secondSoftware = "v1", "v2"
	// topUpTokens is the number of tokens that a top-up adds to the account's prepaid tokens.
	topUpTokens = 5_000
	// crashPart is the prompt part with which a request crashes an engine for crashDowntime.
	crashPart     = "crash"
	crashDowntime = 200 * time.Millisecond
)

// fixture emulates the surroundings of the daemons: the platform's store, the operator who writes
// the configuration to it, and the upstreams. "desk" is a service that responds at once and whose
// calls are not idempotent, "model" a service that streams drafts.
type fixture struct {
	store          *emulator.Store
	storeServer    *http.Server
	storeAddress   string
	deskUpstreams  []*emulator.Runner
	modelUpstreams []*emulator.Runner

	mu      sync.Mutex
	version int
	keys    []string
	prepaid int
}

// newFixture starts the stand-ins. Streams have an event each interval.
func newFixture(interval time.Duration) (*fixture, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fixture{
		store: emulator.NewStore(emulator.StoreConfig{}), storeAddress: l.Addr().String(), prepaid: initialPrepaid, keys: []string{firstKey},
	}
	f.storeServer = &http.Server{Handler: f.store.PlatformHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeServer.Serve(l) }() // returns when close closes the server
	f.writeConfiguration()
	for i := range upstreamsPerService {
		desk := emulator.NewRunner(emulator.RunnerConfig{Name: fmt.Sprint("desk-", i)})
		if err := f.announce(fmt.Sprint("desk-", i), "desk", firstSoftware, desk); err != nil {
			return nil, err
		}
		f.deskUpstreams = append(f.deskUpstreams, desk)
		for _, software := range softwareVersions {
			if err := f.addModel(fmt.Sprint("model-", i, "-", software), software, interval); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

var softwareVersions = []string{firstSoftware, secondSoftware}

func (f *fixture) addModel(name, software string, interval time.Duration) error {
	model := emulator.NewRunner(emulator.RunnerConfig{
		Name: name, Events: eventsPerResponse, EventInterval: interval, CrashPart: crashPart, CrashDowntime: crashDowntime,
		Software: software,
	})
	f.modelUpstreams = append(f.modelUpstreams, model)
	return f.announce(name, "model", software, model)
}

func (f *fixture) close() {
	_ = f.storeServer.Close()
	for _, r := range append(f.deskUpstreams, f.modelUpstreams...) {
		_ = r.Close() // an error does not matter after the run
	}
}

// announce starts an upstream and registers it in the store.
func (f *fixture) announce(name, service, software string, r *emulator.Runner) error {
	url, err := r.Serve()
	if err != nil {
		return err
	}
	f.store.PutAsOperator("servers/"+name, fmt.Appendf(nil,
		`{"backend":%q,"address":%q,"zone":"z","version":%q,"batchSlots":64,"phase":"ready","warmupLeftMs":0,"seq":1}`,
		service, strings.TrimPrefix(url, "http://"), software))
	return nil
}

// newKey adds a key of the account to the configuration and returns it.
func (f *fixture) newKey() string {
	f.mu.Lock()
	key := fmt.Sprint("key-", len(f.keys)+1)
	f.keys = append(f.keys, key)
	f.mu.Unlock()
	f.writeConfiguration()
	return key
}

// topUp raises the account's prepaid tokens.
func (f *fixture) topUp(tokens int) {
	f.mu.Lock()
	f.prepaid += tokens
	f.mu.Unlock()
	f.writeConfiguration()
}

// writeConfiguration writes the next version of the configuration to the store.
func (f *fixture) writeConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	type object = map[string]any
	text, err := json.Marshal(object{
		"version": f.version,
		"routes": []object{
			{"name": "plain", "hostname": routeHost, "prefix": "/plain/", "routeType": "non_idempotent", "timeoutMs": 3000, "backend": "desk", "attempts": 2},
			{"name": "drafts", "hostname": routeHost, "prefix": "/drafts/", "routeType": "streaming", "timeoutMs": 6000, "backend": "model", "attempts": 3, "resumable": true},
		},
		"backends": []object{
			{"name": "desk", "healthPath": "/healthz", "maxConnections": 1000},
			{"name": "model", "healthPath": "/healthz", "maxConnections": 1000, "backendEngine": object{"batchSlots": 64, "kvCapacity": 400_000, "interval": tokensPerEvent}},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants": []object{{"name": "account", "apiKeys": f.keys, "prepaid": f.prepaid}},
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	f.store.PutAsOperator("op/config", text)
}

// currentPrepaid returns the tokens that the account has prepaid by now.
func (f *fixture) currentPrepaid() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.prepaid
}
