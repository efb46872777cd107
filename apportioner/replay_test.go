package apportioner

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/combiner"
	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/timekeeper"
	"laburnumline/transferrer"
)

// network connects the daemons of a replay by datagrams. While it is partitioned, it drops all of
// them.
type network struct {
	mu          sync.Mutex
	partitioned bool
	conns       map[netip.AddrPort]*datagramConn
}

const (
	linkDelay = 3 * time.Millisecond
	// startTime is the time from the start of the daemons to the start of the traffic.
	startTime = 14 * time.Second
	// downTime is how long VMs are without power.
	downTime = 1200 * time.Millisecond
	// prefillTime and decodeTime are the durations of a request until the first event of its
	// response and from then on.
	prefillTime = 300 * time.Millisecond
	decodeTime  = 700 * time.Millisecond
	// drainTime is how long the last requests and calls take at most.
	drainTime = 6 * time.Second
	// ownAccountFraction of the requests of a client are of its own account.
	ownAccountFraction = 0.2
	// accountSkew is the exponent by which the sizes of the accounts fall.
	accountSkew = 0.8
)

type datagram struct {
	from netip.AddrPort
	data []byte
}

// datagramConn is the socket of one daemon.
type datagramConn struct {
	network  *network
	address  netip.AddrPort
	incoming chan datagram
	closed   chan struct{}
	close    sync.Once
}

func (n *network) listen(address netip.AddrPort) *datagramConn {
	c := &datagramConn{network: n, address: address, incoming: make(chan datagram, 1024), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

func (n *network) isPartitioned() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned
}

func (n *network) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (c *datagramConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-c.incoming:
		return copy(b, d.data), d.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (c *datagramConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	c.network.mu.Lock()
	peer := c.network.conns[to]
	lost := c.network.partitioned || peer == nil
	c.network.mu.Unlock()
	if lost {
		return len(b), nil
	}
	d := datagram{from: c.address, data: append([]byte(nil), b...)}
	time.AfterFunc(linkDelay, func() {
		select {
		case peer.incoming <- d:
		default:
		}
	})
	return len(b), nil
}

func (c *datagramConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

// replayStore is one daemon's access to the store: commits go through the relay of the fleet,
// unless the load has none.
type replayStore struct {
	persister.Store
	replay *replay
	// committing is called before each commit. Nil means nothing.
	committing func(txn persister.Txn)
}

func (s *replayStore) CommitMerged(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	if err := s.replay.reach(ctx); err != nil {
		return 0, nil, err
	}
	if s.committing != nil {
		s.committing(txn)
	}
	if s.replay.load.withoutRelay {
		revision, err := s.Store.Commit(ctx, txn)
		return revision, nil, err
	}
	return s.replay.relay.Load().Commit(ctx, txn)
}

func (s *replayStore) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	revision, _, err := s.CommitMerged(ctx, txn)
	return revision, err
}

func (s *replayStore) Get(ctx context.Context, key string) (persister.Entry, error) {
	if err := s.replay.reach(ctx); err != nil {
		return persister.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *replayStore) GrantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	if err := s.replay.reach(ctx); err != nil {
		return 0, err
	}
	if s.replay.load.withoutRelay {
		return s.Store.GrantLease(ctx, ttl)
	}
	return s.replay.relay.Load().GrantLease(ctx, ttl)
}

// replayDaemon is one daemon of a replay.
type replayDaemon struct {
	index   int
	current atomic.Pointer[Apportioner]
	starts  uint64
	stop    context.CancelFunc
}

// replayLoad is the load of a replay.
type replayLoad struct {
	daemons, accounts, clients int
	requestsPerSecond          float64
	// length is how long the traffic lasts. The prepaid balances are prepaidFactor times what it
	// needs.
	length        time.Duration
	prepaidFactor float64
	// cuts are the times at which every daemon is partitioned from the store and from all others.
	cuts []span
	// killAt is when all VMs lose power, or zero.
	killAt time.Duration
	// withoutRelay makes each daemon call the store itself, as in a small fleet.
	withoutRelay bool
}

type span struct{ from, to time.Duration }

// requestKind is a kind of request, with the sizes of prompts as lognormal distributions.
type requestKind struct {
	weight    float64
	parts     []sizeDistribution
	maxOutput contractor.Tokens
	deadline  time.Duration
}

type sizeDistribution struct{ mean, sigma, limit float64 }

func (d sizeDistribution) draw(r *rand.Rand) float64 {
	return min(d.mean*math.Exp(d.sigma*r.NormFloat64()-d.sigma*d.sigma/2), d.limit)
}

var quoteKinds = []requestKind{
	{weight: 403, parts: []sizeDistribution{{13_300, 0.7, 39_900}, {3720, 1.1, 53_200}}, maxOutput: 240, deadline: 10 * time.Second},
	{weight: 297, parts: []sizeDistribution{{2520, 0.4, 6290}, {3780, 0.7, 11_300}, {2890, 1.0, 39_600}}, maxOutput: 110, deadline: 6 * time.Second},
	{weight: 265, parts: []sizeDistribution{{210, 0.4, 524}, {140, 0.7, 419}, {1110, 1.0, 3790}}, maxOutput: 340, deadline: 12 * time.Second},
}

// replay plays a load on the daemons of a fleet.
type replay struct {
	load    replayLoad
	random  *rand.Rand
	store   *emulator.Store
	relay   atomic.Pointer[combiner.Combiner]
	network *network
	daemons []*replayDaemon
	prepaid map[contractor.Account]contractor.Tokens
	names   []contractor.Account
	weights []float64 // cumulative, of the accounts
	clients []int     // daemon of each client
	own     []int     // account of each client
	started time.Time
	boots   int
	// observeStore returns the function that a daemon's replayStore calls before each commit. It
	// may be nil.
	observeStore func(d *replayDaemon) func(txn persister.Txn)

	mu     sync.Mutex
	spent  map[contractor.Account]contractor.Tokens
	phases []phaseTotals
}

// phaseTotals are the totals of the requests that began in one phase.
type phaseTotals struct {
	requests int
	// retried is the number of requests that were refused at first, refused of those that were
	// refused again.
	retried, refused int
}

func (p *replay) reach(ctx context.Context) error {
	if p.network.isPartitioned() {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", persister.ErrUnknown, ctx.Err())
	}
	time.Sleep(2 * linkDelay)
	return nil
}

func newReplay(load replayLoad, seed uint64) *replay {
	p := &replay{
		load: load, random: rand.New(rand.NewPCG(seed, 1)), started: time.Now(),
		store:   emulator.NewStore(emulator.StoreConfig{Seed: 1, ReportConflicts: true}),
		network: &network{conns: make(map[netip.AddrPort]*datagramConn)},
		prepaid: make(map[contractor.Account]contractor.Tokens), spent: make(map[contractor.Account]contractor.Tokens),
	}
	p.phases = make([]phaseTotals, p.phase(load.length)+1)
	p.store.SetFaults(emulator.StoreFaults{Delay: 4 * time.Millisecond})
	mean, total := 0.0, 0.0
	for _, k := range quoteKinds {
		for _, d := range k.parts {
			mean += k.weight * d.mean
		}
		total += k.weight
	}
	use := mean / total * load.requestsPerSecond * load.length.Seconds()
	sum := 0.0
	for i := range load.accounts {
		sum += 1 / math.Pow(float64(i+1), accountSkew)
		p.weights = append(p.weights, sum)
	}
	for i := range load.accounts {
		name := contractor.Account(fmt.Sprintf("loft-%d", i))
		p.names = append(p.names, name)
		share := (1 / math.Pow(float64(i+1), accountSkew)) / sum
		p.prepaid[name] = contractor.Tokens(load.prepaidFactor * use * share)
	}
	for range load.clients {
		p.clients = append(p.clients, p.random.IntN(load.daemons))
		p.own = append(p.own, p.drawAccount())
	}
	p.startRelay()
	for i := range load.daemons {
		d := &replayDaemon{index: i}
		p.daemons = append(p.daemons, d)
		p.launch(d)
	}
	return p
}

func (p *replay) startRelay() {
	p.relay.Store(combiner.New(combiner.Config{Store: p.store, MaxOperations: 32, BatchDelay: 40 * time.Millisecond, Merger: &PoolMerger{}}))
}

func (p *replay) drawAccount() int {
	x := p.random.Float64() * p.weights[len(p.weights)-1]
	for i, w := range p.weights {
		if x < w {
			return i
		}
	}
	return len(p.weights) - 1
}

func addressOf(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7340)
}

func (p *replay) launch(d *replayDaemon) {
	d.starts++
	name := fmt.Sprintf("edge-%d", d.index)
	boot := time.Duration(p.boots*7919%101) * time.Minute
	var t *transferrer.Transferrer
	var committing func(persister.Txn)
	if p.observeStore != nil {
		committing = p.observeStore(d)
	}
	a := New(Config{
		Store: &replayStore{Store: p.store, replay: p, committing: committing}, Name: name, Address: addressOf(d.index), LinkBandwidth: 1e6,
		Incarnation: contractor.Incarnation(d.starts*1000 + uint64(d.index)),
		RequestTransfer: func(ctx context.Context, account contractor.Account, tokens contractor.Tokens) contractor.Tokens {
			return t.RequestTransfer(ctx, account, tokens)
		},
		BootClock: func() (timekeeper.Reading, error) {
			return timekeeper.Reading{BootID: name, SinceBoot: boot + time.Since(p.started), WallTime: time.Now().UnixNano()}, nil
		},
	})
	t = transferrer.New(transferrer.Config{Conn: p.network.listen(addressOf(d.index)), Shares: a, Peers: a.TransferPeers})
	ctx, cancel := context.WithCancel(context.Background())
	a.SetPrepaidLimits(p.prepaid)
	d.current.Store(a)
	d.stop = cancel
	go a.Run(ctx)
	go t.Run(ctx)
}

// phase numbers the spans between the replay's events.
func (p *replay) phase(at time.Duration) int {
	phase := 0
	for _, c := range p.load.cuts {
		if at >= c.from {
			phase++
		}
		if at >= c.to {
			phase++
		}
	}
	if p.load.killAt > 0 && at >= p.load.killAt {
		phase++
	}
	return phase
}

func (p *replay) run() {
	begin := time.Now().Add(startTime)
	time.Sleep(time.Until(begin))
	for _, c := range p.load.cuts {
		time.AfterFunc(c.from, func() { p.network.setPartitioned(true) })
		time.AfterFunc(c.to, func() { p.network.setPartitioned(false) })
	}
	killed := false
	gap := time.Duration(float64(time.Second) / p.load.requestsPerSecond)
	for time.Since(begin) < p.load.length {
		if at := p.load.killAt; at > 0 && !killed && time.Since(begin) >= at {
			killed = true
			p.killAll()
		}
		client := p.random.IntN(len(p.clients))
		account := p.own[client]
		if p.random.Float64() >= ownAccountFraction {
			account = p.drawAccount()
		}
		k := p.drawKind()
		prompt := 0.0
		for _, d := range k.parts {
			prompt += d.draw(p.random)
		}
		elsewhere := p.daemons[p.random.IntN(len(p.daemons))]
		go p.request(p.phase(time.Since(begin)), p.daemons[p.clients[client]], elsewhere, p.names[account], contractor.Tokens(prompt), k)
		time.Sleep(time.Duration(float64(gap) * p.random.ExpFloat64()))
	}
	time.Sleep(drainTime)
}

func (p *replay) drawKind() requestKind {
	total := 0.0
	for _, k := range quoteKinds {
		total += k.weight
	}
	x := p.random.Float64() * total
	for i := range quoteKinds {
		if x < quoteKinds[i].weight {
			return quoteKinds[i]
		}
		x -= quoteKinds[i].weight
	}
	return quoteKinds[0]
}

// killAll cuts the power of all VMs, and starts them again.
func (p *replay) killAll() {
	for _, d := range p.daemons {
		d.stop()
	}
	p.relay.Load().Close()
	time.Sleep(downTime)
	p.boots++
	p.startRelay()
	for _, d := range p.daemons {
		p.launch(d)
	}
}

// request plays one request, and repeats it at another daemon if it is refused.
func (p *replay) request(phase int, first, second *replayDaemon, account contractor.Account, prompt contractor.Tokens, k requestKind) {
	p.update(func() { p.phases[phase].requests++ })
	maxCost := prompt + k.maxOutput
	r, err := first.current.Load().Reserve(context.Background(), account, maxCost)
	if err != nil {
		p.update(func() { p.phases[phase].retried++ })
		time.Sleep(min(time.Second, k.deadline/3))
		r, err = second.current.Load().Reserve(context.Background(), account, maxCost)
	}
	if err != nil {
		p.update(func() { p.phases[phase].refused++ })
		return
	}
	time.Sleep(prefillTime)
	p.spend(account, r, prompt)
	time.Sleep(decodeTime)
	p.spend(account, r, k.maxOutput/2)
	r.Release()
}

func (p *replay) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

func (p *replay) spend(account contractor.Account, r *Reservation, tokens contractor.Tokens) {
	r.Spend(tokens)
	p.update(func() { p.spent[account] += tokens })
}

func (p *replay) stopAll() {
	for _, d := range p.daemons {
		d.stop()
	}
	p.relay.Load().Close()
}

// maxRefusedInContact is the fraction of the requests that may be refused for lack of tokens while
// the daemons reach the store and each other, by the users' target for a calm day.
const maxRefusedInContact = 0.03

// Guards against tokens that daemons of a large fleet hold where nobody needs them. 40 accounts on
// 295 daemons leave each daemon about one request of an account, and each daemon gets a request of
// an account only every 12 s. The loads are those of the days on which all daemons are partitioned
// from each other and the store for 8 s, or all VMs lose power. Outside of these spans, each
// request has to find the tokens that its account has left. Before, the first daemons of a
// starting fleet took all tokens, and a request waited for a round longer than it could.
func TestLargeFleetServesRequestsWhileInContact(t *testing.T) {
	tests := []struct {
		name string
		load replayLoad
		// inContact holds the phases in which the daemons reach the store.
		inContact []int
	}{
		{"all daemons are partitioned", replayLoad{
			daemons: 120, accounts: 16, clients: 230, requestsPerSecond: 350, length: 22 * time.Second, prepaidFactor: 1.3,
			cuts: []span{{4 * time.Second, 12 * time.Second}},
		}, []int{0, 2}},
		{"all VMs lose power", replayLoad{
			daemons: 120, accounts: 16, clients: 230, requestsPerSecond: 350, length: 18 * time.Second, prepaidFactor: 1.6,
			killAt: 12 * time.Second,
		}, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newReplay(tt.load, 1)
				p.run()
				p.stopAll()
				time.Sleep(drainTime)
				for phase := range p.phases {
					t.Logf("phase %d: %+v", phase, p.phases[phase])
				}
				for _, phase := range tt.inContact {
					refused := float64(p.phases[phase].refused) / float64(p.phases[phase].requests)
					require.LessOrEqual(t, refused, maxRefusedInContact, "phase %d", phase)
				}
				for name, spent := range p.spent {
					require.LessOrEqual(t, spent, p.prepaid[name], name)
				}
			})
		})
	}
}
