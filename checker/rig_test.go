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
	rigAccount  contractor.Account = "loft-7"
	rigPrepaid  contractor.Tokens  = 10_000
	rigPrompt   contractor.Tokens  = 20
	rigOutput   contractor.Tokens  = 8
	rigPrice    contractor.Tokens  = 5
	rigLongest                     = 12 * time.Second
	rigWindow                      = 2 * time.Second
	rigChunkGap                    = 100 * time.Millisecond
)

// rig runs the real code of budgets, claims and requests on four daemons in two
// zones, with fakes for upstreams, membership and the network.
type rig struct {
	t        *testing.T
	store    *emulator.Store
	loopback messenger.Loopback

	mu      sync.Mutex
	nodes   []*node
	changed chan struct{}
	hooks   map[step]func()
	// starts counts the calls that upstreams have begun, by request key.
	starts map[contractor.RequestKey]int
	// effects counts the bookings that took effect, by request key.
	effects map[contractor.RequestKey]int
	crash   bool // the next call at an upstream ends in a crash
}

// node is one daemon of the rig.
type node struct {
	rig      *rig
	peer     messenger.Peer
	budgets  *treasurer.Treasurer
	claims   *deduplicator.Deduplicator
	executor *executor.Executor
	stop     context.CancelFunc
	live     bool
	storeCut bool
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t:       t,
		store:   emulator.NewStore(emulator.StoreConfig{Seed: 1}),
		changed: make(chan struct{}),
		hooks:   make(map[step]func()),
		starts:  make(map[contractor.RequestKey]int),
		effects: make(map[contractor.RequestKey]int),
	}
	_, err := biller.OpenLedger(t.Context(), r.store, rigContract())
	require.NoError(t, err)
	for _, vm := range []contractor.VM{"a-1", "a-2", "b-1", "b-2"} {
		r.start(vm)
	}
	return r
}

func rigContract() *contractor.Contract {
	return &contractor.Contract{
		Account: rigAccount,
		Budgets: []contractor.Budget{{Name: "all", Models: []string{"draft"}, Services: []string{"desk"}, Prepaid: rigPrepaid}},
	}
}

func (r *rig) start(vm contractor.VM) {
	zone, _, _ := strings.Cut(string(vm), "-")
	n := &node{rig: r, live: true, peer: messenger.Peer{
		VM: vm, Zone: contractor.Zone(zone), Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}}
	mux := &messenger.Mux{}
	store := &rigStore{Store: r.store, node: n}
	n.budgets = treasurer.New(treasurer.Config{
		Store: store, Caller: rigCaller{n, r.loopback.Caller(n.peer)}, Mux: mux, Members: n,
		Keeper: allocator.Config{DispatchWindow: rigWindow, LongestRequest: rigLongest},
	})
	r.loopback.Attach(vm, mux)
	var err error
	n.claims, err = deduplicator.New(deduplicator.Config{Store: store, VM: vm, Incarnation: 1, Liveness: n})
	require.NoError(r.t, err)
	n.executor = executor.New(executor.Config{
		Zone: n.peer.Zone, Contracts: n, Budgets: n.budgets, Limits: limiter.New(limiter.Config{}), Routes: n,
		Retries:    retrier.New(retrier.Config{TargetRatio: 1, AccountRatio: 1}),
		Quarantine: quarantiner.New(quarantiner.Config{}),
		Permits:    &quarantiner.Registry{Store: store, Local: quarantiner.New(quarantiner.Config{}), Incarnation: string(vm), PermitTimeout: rigLongest},
		Claims:     n.claims, Upstreams: n,
	})
	require.NoError(r.t, n.budgets.Register(r.t.Context()))
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { _ = n.budgets.Run(ctx) }()
	go func() { _ = n.claims.Run(ctx) }()
	r.update(func() { r.nodes = append(r.nodes, n) })
}

func (r *rig) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

// at sets the hook of a step.
func (r *rig) at(s step, hook func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hooks[s] = hook
}

// reach runs the hook of a step, once.
func (r *rig) reach(s step) {
	r.mu.Lock()
	hook := r.hooks[s]
	delete(r.hooks, s)
	r.mu.Unlock()
	if hook != nil {
		hook()
	}
}

// kill ends a daemon without warning; the VM list shows it at once.
func (r *rig) kill(n *node) {
	r.loopback.Attach(n.peer.VM, nil)
	r.update(func() { n.live, n.storeCut = false, true })
	n.stop()
}

// cutZone cuts zone a off from zone b and from the store, or joins it again.
func (r *rig) cutZone(cut bool) {
	for _, a := range r.nodes {
		for _, b := range r.nodes {
			if a.peer.Zone != b.peer.Zone {
				r.loopback.SetPartitioned(a.peer.VM, b.peer.VM, cut)
			}
		}
	}
	r.update(func() {
		for _, n := range r.nodes {
			n.storeCut = !n.live || cut && n.peer.Zone == "a"
		}
	})
}

func (r *rig) close() {
	for _, n := range r.nodes {
		n.stop()
	}
}

// rigStore is the store as one daemon reaches it.
type rigStore struct {
	persister.Store
	node *node
}

func (s *rigStore) cut() bool {
	s.node.rig.mu.Lock()
	defer s.node.rig.mu.Unlock()
	return s.node.storeCut
}

func (s *rigStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	if s.cut() {
		return persister.Entry{}, persister.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *rigStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if s.cut() {
		return persister.Page{}, persister.ErrUnavailable
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

func (s *rigStore) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	for _, p := range txn.Puts {
		switch {
		case strings.HasPrefix(p.Key, "claim/"):
			s.node.rig.reach(stepClaim)
		case strings.HasPrefix(p.Key, "bill/"):
			s.node.rig.reach(stepFlush)
		}
	}
	if s.cut() {
		return 0, persister.ErrUnavailable
	}
	return s.Store.Commit(ctx, txn)
}

// rigCaller is the way from one daemon to the others.
type rigCaller struct {
	node *node
	next messenger.Caller
}

func (c rigCaller) Call(ctx context.Context, to messenger.Peer, m messenger.Method, request []byte) ([]byte, error) {
	steps := map[messenger.Method]step{
		treasurer.MethodReserve: stepReserve,
		treasurer.MethodSettle:  stepSettle,
		treasurer.MethodSeal:    stepTakeover,
	}
	if s, ok := steps[m]; ok {
		if s == stepSettle {
			time.Sleep(time.Millisecond) // the request has returned by then
		}
		c.node.rig.reach(s)
	}
	if !c.node.alive() {
		return nil, &messenger.CallError{Method: m, Peer: to, Err: messenger.ErrUnreachable}
	}
	return c.next.Call(ctx, to, m, request)
}

func (n *node) alive() bool {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	return n.live
}

// Self, Keeper, Zone, Zones, Gone and Changed are the membership.
func (n *node) Self() messenger.Peer { return n.peer }

func (n *node) Keeper(zone contractor.Zone, account contractor.Account) (messenger.Peer, bool) {
	var best messenger.Peer
	var highest uint64
	for _, p := range n.Zone(zone) {
		h := fnv.New64a()
		_, _ = io.WriteString(h, string(account)+string(p.VM))
		if w := h.Sum64(); w > highest {
			best, highest = p, w
		}
	}
	return best, highest > 0
}

func (n *node) Zone(zone contractor.Zone) []messenger.Peer {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	var peers []messenger.Peer
	for _, o := range n.rig.nodes {
		if o.live && o.peer.Zone == zone {
			peers = append(peers, o.peer)
		}
	}
	return peers
}

func (n *node) Zones() []contractor.Zone {
	if n.peer.Zone == "a" {
		return []contractor.Zone{"a", "b"}
	}
	return []contractor.Zone{"b", "a"}
}

func (n *node) Gone(vm contractor.VM, _ contractor.Incarnation) bool {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	for _, o := range n.rig.nodes {
		if o.peer.VM == vm {
			return !o.live
		}
	}
	return true
}

func (n *node) Changed() <-chan struct{} {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	return n.rig.changed
}

// AccountOf, Contract and Upstreams are the configuration.
func (n *node) AccountOf(context.Context, contractor.KeyHash) (contractor.Account, error) {
	return rigAccount, nil
}

func (n *node) Contract(context.Context, contractor.Account) (*contractor.Contract, contractor.Revision, error) {
	return rigContract(), 1, nil
}

func (n *node) Upstreams() []contractor.Upstream {
	return []contractor.Upstream{{Name: "desk-1", Kind: contractor.KindService, Service: "desk", Price: rigPrice}}
}

// Choose and Finish are the choice of an upstream.
func (n *node) Choose(_ time.Time, q router.Query) (router.Choice, error) {
	return router.Choice{Upstream: contractor.Upstream{Name: fmt.Sprintf("upstream-%d", len(q.Exclude)+1)}}, nil
}

func (n *node) Finish(time.Time, string, router.Query, router.Outcome, time.Duration) {}

// begin notes that an upstream runs a request, and crashes when it has to.
func (n *node) begin(key contractor.RequestKey, upstream string) error {
	n.rig.reach(stepDispatch)
	if !n.alive() {
		return &dispatcher.Failure{Phase: dispatcher.NotSent, Upstream: upstream, Err: errKilled}
	}
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	n.rig.starts[key]++
	if n.rig.crash {
		n.rig.crash = false
		return &dispatcher.Failure{Phase: dispatcher.NoResponse, Crashed: true, Upstream: upstream, Err: errKilled}
	}
	return nil
}

var errKilled = errors.New("connection reset")

func (n *node) CallEngine(_ context.Context, call dispatcher.EngineCall) (dispatcher.Stream, error) {
	if err := n.begin(call.Key, call.Upstream.Name); err != nil {
		return nil, err
	}
	return &rigStream{node: n, offset: call.ResumeOffset, upstream: call.Upstream.Name}, nil
}

func (n *node) CallService(_ context.Context, u contractor.Upstream, call *conductor.ServiceCall, _ int) (*conductor.Response, error) {
	if err := n.begin(call.Key, u.Name); err != nil {
		return nil, err
	}
	n.rig.mu.Lock()
	n.rig.effects[call.Key]++
	n.rig.mu.Unlock()
	n.rig.reach(stepEnd)
	if !n.alive() {
		return nil, &dispatcher.Failure{Phase: dispatcher.NoResponse, Upstream: u.Name, Err: errKilled}
	}
	return &conductor.Response{Status: http.StatusCreated}, nil
}

// rigStream sends the output one token at a time.
type rigStream struct {
	node     *node
	offset   contractor.Tokens
	upstream string
}

func (s *rigStream) Next() (conductor.Chunk, error) {
	time.Sleep(rigChunkGap)
	switch s.offset {
	case 0:
		s.node.rig.reach(stepFirstChunk)
	case rigOutput / 2:
		s.node.rig.reach(stepMidStream)
	case rigOutput:
		s.node.rig.reach(stepEnd)
	}
	s.node.rig.mu.Lock()
	crash := s.node.rig.crash
	s.node.rig.crash = false
	s.node.rig.mu.Unlock()
	if crash || !s.node.alive() {
		return conductor.Chunk{}, &dispatcher.Failure{Phase: dispatcher.PartialResponse, Crashed: crash, Upstream: s.upstream, Err: errKilled}
	}
	if s.offset == rigOutput {
		return conductor.Chunk{}, io.EOF
	}
	s.offset++
	return conductor.Chunk{Offset: s.offset - 1, Tokens: 1}, nil
}

func (s *rigStream) Usage() conductor.Usage {
	return conductor.Usage{PromptTokens: rigPrompt, OutputTokens: s.offset}
}

func (s *rigStream) Close() error { return nil }

// rigSink checks that a caller gets each token once and in order.
type rigSink struct {
	node *node
	next contractor.Tokens
	bad  bool
}

func (s *rigSink) WriteChunk(c conductor.Chunk) error {
	if !s.node.alive() {
		return errKilled
	}
	s.bad = s.bad || c.Offset != s.next
	s.next = c.Offset + c.Tokens
	return nil
}

// refusalOf returns the refusal that an error is.
func refusalOf(err error) *refuser.Refusal {
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return refuser.New(refuser.Internal, "caller").WithPossibleExecution().WithCause(err)
}
