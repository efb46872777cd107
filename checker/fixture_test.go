package checker_test

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/deduplicator"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
	"laburnumline/executor"
	"laburnumline/limiter"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/retrier"
	"laburnumline/router"
	"laburnumline/treasurer"
)

const (
	testAccount    contractor.Account = "loft-7"
	prepaidTokens  contractor.Tokens  = 10_000
	promptTokens   contractor.Tokens  = 20
	outputTokens   contractor.Tokens  = 8
	servicePrice   contractor.Tokens  = 5
	longestRequest                    = 12 * time.Second
	dispatchWindow                    = 2 * time.Second
	chunkInterval                     = 100 * time.Millisecond
)

// fixture is a fleet of four daemons in two zones with the real code of budgets, claims
// and requests, and with fakes for upstreams, membership and the network.
type fixture struct {
	t        *testing.T
	store    *emulator.Store
	loopback messenger.Loopback

	mu      sync.Mutex
	daemons []*daemon
	changed chan struct{}
	hooks   map[step]func()
	// starts counts the executions that upstreams have begun, by request key.
	starts map[contractor.RequestKey]int
	// effects counts the bookings that took effect, by request key.
	effects   map[contractor.RequestKey]int
	crashNext bool // the upstream of the next call or chunk crashes
}

// daemon is one daemon of the fixture. It also implements the membership, the
// configuration and the upstreams that its own code uses.
type daemon struct {
	fixture          *fixture
	peer             messenger.Peer
	budgets          *treasurer.Treasurer
	claims           *deduplicator.Deduplicator
	executor         *executor.Executor
	stop             context.CancelFunc
	live             bool
	storePartitioned bool
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t:       t,
		store:   emulator.NewStore(emulator.StoreConfig{Seed: 1}),
		changed: make(chan struct{}),
		hooks:   make(map[step]func()),
		starts:  make(map[contractor.RequestKey]int),
		effects: make(map[contractor.RequestKey]int),
	}
	_, err := biller.OpenLedger(t.Context(), f.store, testContract())
	require.NoError(t, err)
	for _, vm := range []contractor.VM{"a-1", "a-2", "b-1", "b-2"} {
		f.start(vm)
	}
	return f
}

func testContract() *contractor.Contract {
	return &contractor.Contract{
		Account: testAccount,
		Budgets: []contractor.Budget{{Name: "all", Models: []string{"draft"}, Services: []string{"desk"}, Prepaid: prepaidTokens}},
	}
}

func (f *fixture) start(vm contractor.VM) {
	zone, _, _ := strings.Cut(string(vm), "-")
	d := &daemon{fixture: f, live: true, peer: messenger.Peer{
		VM: vm, Zone: contractor.Zone(zone), Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}}
	mux := &messenger.Mux{}
	store := &daemonStore{Store: f.store, daemon: d}
	d.budgets = treasurer.New(treasurer.Config{
		Store: store, Caller: daemonCaller{d, f.loopback.Caller(d.peer)}, Mux: mux, Members: d,
		Keeper: allocator.Config{DispatchWindow: dispatchWindow, LongestRequest: longestRequest},
	})
	f.loopback.Attach(vm, mux)
	var err error
	d.claims, err = deduplicator.New(deduplicator.Config{Store: store, VM: vm, Incarnation: 1, Liveness: d})
	require.NoError(f.t, err)
	d.executor = executor.New(executor.Config{
		Zone: d.peer.Zone, Contracts: d, Budgets: d.budgets, Limits: limiter.New(limiter.Config{}), Routes: d,
		Retries:    retrier.New(retrier.Config{TargetRatio: 1, AccountRatio: 1}),
		Quarantine: quarantiner.New(quarantiner.Config{}),
		Permits:    &quarantiner.Registry{Store: store, Local: quarantiner.New(quarantiner.Config{}), Incarnation: string(vm), PermitTimeout: longestRequest},
		Claims:     d.claims, Upstreams: d,
	})
	require.NoError(f.t, d.budgets.Register(f.t.Context()))
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { _ = d.budgets.Run(ctx) }()
	go func() { _ = d.claims.Run(ctx) }()
	f.update(func() { f.daemons = append(f.daemons, d) })
}

func (f *fixture) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// setHook sets the function that runs when a step is reached.
func (f *fixture) setHook(s step, hook func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks[s] = hook
}

// runHook runs the hook of a step, unless it has run before.
func (f *fixture) runHook(s step) {
	f.mu.Lock()
	hook := f.hooks[s]
	delete(f.hooks, s)
	f.mu.Unlock()
	if hook != nil {
		hook()
	}
}

// kill stops a daemon without a shutdown; the membership shows it immediately.
func (f *fixture) kill(d *daemon) {
	f.loopback.Attach(d.peer.VM, nil)
	f.update(func() { d.live, d.storePartitioned = false, true })
	d.stop()
}

// setZonePartitioned starts or ends a network partition of zone a from zone b and from
// the store.
func (f *fixture) setZonePartitioned(partitioned bool) {
	for _, a := range f.daemons {
		for _, b := range f.daemons {
			if a.peer.Zone != b.peer.Zone {
				f.loopback.SetPartitioned(a.peer.VM, b.peer.VM, partitioned)
			}
		}
	}
	f.update(func() {
		for _, d := range f.daemons {
			d.storePartitioned = !d.live || partitioned && d.peer.Zone == "a"
		}
	})
}

func (f *fixture) close() {
	for _, d := range f.daemons {
		d.stop()
	}
}

// daemonStore is one daemon's access to the store, which partitions and kills interrupt.
type daemonStore struct {
	persister.Store
	daemon *daemon
}

func (s *daemonStore) partitioned() bool {
	s.daemon.fixture.mu.Lock()
	defer s.daemon.fixture.mu.Unlock()
	return s.daemon.storePartitioned
}

func (s *daemonStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	if s.partitioned() {
		return persister.Entry{}, persister.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *daemonStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if s.partitioned() {
		return persister.Page{}, persister.ErrUnavailable
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

func (s *daemonStore) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	for _, p := range txn.Puts {
		switch {
		case strings.HasPrefix(p.Key, "claim/"):
			s.daemon.fixture.runHook(stepClaim)
		case strings.HasPrefix(p.Key, "bill/"):
			s.daemon.fixture.runHook(stepFlush)
		}
	}
	if s.partitioned() {
		return 0, persister.ErrUnavailable
	}
	return s.Store.Commit(ctx, txn)
}

// daemonCaller sends one daemon's requests to the others and runs the hooks of steps
// that are requests between daemons.
type daemonCaller struct {
	daemon *daemon
	next   messenger.Caller
}

func (c daemonCaller) Call(ctx context.Context, to messenger.Peer, m messenger.Method, request []byte) ([]byte, error) {
	steps := map[messenger.Method]step{
		treasurer.MethodReserve: stepReserve,
		treasurer.MethodSettle:  stepSettle,
		treasurer.MethodSeal:    stepTakeover,
	}
	if s, ok := steps[m]; ok {
		if s == stepSettle {
			time.Sleep(time.Millisecond) // lets the caller's request return first
		}
		c.daemon.fixture.runHook(s)
	}
	if !c.daemon.alive() {
		return nil, &messenger.CallError{Method: m, Peer: to, Err: messenger.ErrUnreachable}
	}
	return c.next.Call(ctx, to, m, request)
}

func (d *daemon) alive() bool {
	d.fixture.mu.Lock()
	defer d.fixture.mu.Unlock()
	return d.live
}

// Self, Keeper, Zone, Zones, Gone and Changed implement the membership.
func (d *daemon) Self() messenger.Peer { return d.peer }

func (d *daemon) Keeper(zone contractor.Zone, account contractor.Account) (messenger.Peer, bool) {
	var best messenger.Peer
	var highest uint64
	for _, p := range d.Zone(zone) {
		h := fnv.New64a()
		_, _ = io.WriteString(h, string(account)+string(p.VM))
		if w := h.Sum64(); w > highest {
			best, highest = p, w
		}
	}
	return best, highest > 0
}

func (d *daemon) Zone(zone contractor.Zone) []messenger.Peer {
	d.fixture.mu.Lock()
	defer d.fixture.mu.Unlock()
	var peers []messenger.Peer
	for _, o := range d.fixture.daemons {
		if o.live && o.peer.Zone == zone {
			peers = append(peers, o.peer)
		}
	}
	return peers
}

func (d *daemon) Zones() []contractor.Zone {
	if d.peer.Zone == "a" {
		return []contractor.Zone{"a", "b"}
	}
	return []contractor.Zone{"b", "a"}
}

func (d *daemon) Gone(vm contractor.VM, _ contractor.Incarnation) bool {
	d.fixture.mu.Lock()
	defer d.fixture.mu.Unlock()
	for _, o := range d.fixture.daemons {
		if o.peer.VM == vm {
			return !o.live
		}
	}
	return true
}

func (d *daemon) Changed() <-chan struct{} {
	d.fixture.mu.Lock()
	defer d.fixture.mu.Unlock()
	return d.fixture.changed
}

// AccountOf, Contract and Upstreams implement the configuration.
func (d *daemon) AccountOf(context.Context, contractor.KeyHash) (contractor.Account, error) {
	return testAccount, nil
}

func (d *daemon) Contract(context.Context, contractor.Account) (*contractor.Contract, contractor.Revision, error) {
	return testContract(), 1, nil
}

func (d *daemon) Upstreams() []contractor.Upstream {
	return []contractor.Upstream{{Name: "desk-1", Kind: contractor.KindService, Service: "desk", Price: servicePrice}}
}

// Choose and Finish implement the router. Each attempt gets another upstream.
func (d *daemon) Choose(_ time.Time, q router.Query) (router.Choice, error) {
	return router.Choice{Upstream: contractor.Upstream{Name: fmt.Sprintf("upstream-%d", len(q.Exclude)+1)}}, nil
}

func (d *daemon) Finish(time.Time, string, router.Query, router.Outcome, time.Duration) {}

// startExecution counts an execution of a request at an upstream, or fails it if the
// daemon was killed or crashNext is set.
func (d *daemon) startExecution(key contractor.RequestKey, upstream string) error {
	d.fixture.runHook(stepDispatch)
	if !d.alive() {
		return &dispatcher.Failure{Phase: dispatcher.NotSent, Upstream: upstream, Err: errKilled}
	}
	d.fixture.mu.Lock()
	defer d.fixture.mu.Unlock()
	d.fixture.starts[key]++
	if d.fixture.crashNext {
		d.fixture.crashNext = false
		return &dispatcher.Failure{Phase: dispatcher.NoResponse, Crashed: true, Upstream: upstream, Err: errKilled}
	}
	return nil
}

var errKilled = errors.New("connection reset")

func (d *daemon) CallEngine(_ context.Context, call dispatcher.EngineCall) (dispatcher.Stream, error) {
	if err := d.startExecution(call.Key, call.Upstream.Name); err != nil {
		return nil, err
	}
	return &fakeStream{daemon: d, offset: call.ResumeOffset, upstream: call.Upstream.Name}, nil
}

func (d *daemon) CallService(_ context.Context, u contractor.Upstream, call *conductor.ServiceCall, _ int) (*conductor.Response, error) {
	if err := d.startExecution(call.Key, u.Name); err != nil {
		return nil, err
	}
	d.fixture.mu.Lock()
	d.fixture.effects[call.Key]++
	d.fixture.mu.Unlock()
	d.fixture.runHook(stepEnd)
	if !d.alive() {
		return nil, &dispatcher.Failure{Phase: dispatcher.NoResponse, Upstream: u.Name, Err: errKilled}
	}
	return &conductor.Response{Status: http.StatusCreated}, nil
}

// fakeStream is an engine's output stream with one token per chunk.
type fakeStream struct {
	daemon   *daemon
	offset   contractor.Tokens
	upstream string
}

func (s *fakeStream) Next() (conductor.Chunk, error) {
	time.Sleep(chunkInterval)
	switch s.offset {
	case 0:
		s.daemon.fixture.runHook(stepFirstChunk)
	case outputTokens / 2:
		s.daemon.fixture.runHook(stepMidStream)
	case outputTokens:
		s.daemon.fixture.runHook(stepEnd)
	}
	s.daemon.fixture.mu.Lock()
	crash := s.daemon.fixture.crashNext
	s.daemon.fixture.crashNext = false
	s.daemon.fixture.mu.Unlock()
	if crash || !s.daemon.alive() {
		return conductor.Chunk{}, &dispatcher.Failure{Phase: dispatcher.PartialResponse, Crashed: crash, Upstream: s.upstream, Err: errKilled}
	}
	if s.offset == outputTokens {
		return conductor.Chunk{}, io.EOF
	}
	s.offset++
	return conductor.Chunk{Offset: s.offset - 1, Tokens: 1}, nil
}

func (s *fakeStream) Usage() conductor.Usage {
	return conductor.Usage{PromptTokens: promptTokens, OutputTokens: s.offset}
}

func (s *fakeStream) Close() error { return nil }

// orderCheckingSink is a caller that records whether a token was repeated or out of
// order.
type orderCheckingSink struct {
	daemon     *daemon
	next       contractor.Tokens
	outOfOrder bool
}

func (s *orderCheckingSink) WriteChunk(c conductor.Chunk) error {
	if !s.daemon.alive() {
		return errKilled
	}
	s.outOfOrder = s.outOfOrder || c.Offset != s.next
	s.next = c.Offset + c.Tokens
	return nil
}

// refusalOf returns the refusal in an error, or an internal one with the error as cause.
func refusalOf(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(refuser.Internal, "caller").WithPossibleExecution().WithCause(err)
}
