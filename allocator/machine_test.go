package allocator

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

const (
	name    = contractor.Account("loft-7")
	prepaid = contractor.Tokens(400)
)

var quotes = contractor.BudgetID{Account: name, Name: "quotes"}

// TestMain fixes the seed and the length of rapid's runs, unless the command
// line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string][2]string{
		"rapid.seed":   {"0", "20260105"},
		"rapid.checks": {"100", "400"},
		"rapid.steps":  {"30", "250"},
	} {
		if f := flag.Lookup(name); f.Value.String() == value[0] {
			_ = f.Value.Set(value[1])
		}
	}
	os.Exit(m.Run())
}

// world is two zones of three daemons, a store and a network. Messages wait in
// the network until they are delivered, in any order, once, twice or never.
type world struct {
	now        time.Time
	ledger     biller.Ledger
	revision   contractor.Revision
	pages      []biller.Page
	away       bool
	skipDedup  bool
	nodes      []*node
	view       map[contractor.Zone]*node
	network    []message
	dispatched map[contractor.RequestKey]contractor.Tokens
	operations biller.OperationID
}

type message struct {
	to      *node
	deliver func()
}

type node struct {
	w            *world
	holder       reserver.DaemonID
	zone         contractor.Zone
	keeper       *Allocator
	entry        *reserver.Reserver
	paused, dead bool
	// plan and base are a write between its read and its commit.
	plan     *Plan
	base     *biller.Ledger
	revision contractor.Revision
	given    []reserver.Reservation
	running  []reserver.Reservation
}

func (n *node) String() string { return string(n.holder.VM) }

func newWorld(t require, faults faults, tune func(*Config)) *world {
	w := &world{
		now:        time.Unix(1_700_000_000, 0),
		view:       make(map[contractor.Zone]*node),
		dispatched: make(map[contractor.RequestKey]contractor.Tokens),
	}
	l, _, err := w.ledger.AddBudgets(&contractor.Contract{Account: name, Budgets: []contractor.Budget{{Name: "quotes", Prepaid: prepaid}}})
	t.check(err)
	w.ledger = l
	for i := range 6 {
		n := &node{w: w, zone: contractor.Zone(fmt.Sprintf("z%d", i/3))}
		n.holder = reserver.DaemonID{VM: contractor.VM(fmt.Sprintf("vm-%d", i)), Incarnation: 1}
		c := Config{
			Zone: n.zone, Self: n.holder, Term: time.Minute, DispatchWindow: 2 * time.Second,
			LongestRequest: 4 * time.Second, Horizon: time.Second, MinInterval: time.Second, Share: 0.5,
		}
		if tune != nil {
			tune(&c)
		}
		n.keeper = New(c)
		n.keeper.faults = faults
		n.entry = reserver.New(reserver.Config{Self: n.holder, DispatchWindow: 2 * time.Second, LongestRequest: 4 * time.Second})
		w.nodes = append(w.nodes, n)
		if w.view[n.zone] == nil {
			w.view[n.zone] = n
		}
	}
	return w
}

// require is what the harness needs of a test.
type require struct {
	fatal func(format string, args ...any)
}

func (r require) check(err error) {
	if err != nil {
		r.fatal("%v", err)
	}
}

func (w *world) send(to *node, deliver func()) { w.network = append(w.network, message{to, deliver}) }

func (w *world) peers(zone contractor.Zone) []*node {
	var nodes []*node
	for _, n := range w.nodes {
		if n.zone == zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// deliver runs message i. It is kept when again is true.
func (w *world) deliver(i int, again bool) {
	m := w.network[i]
	if !again || m.to.paused {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	if m.to.paused {
		w.network = append(w.network, m)
		return
	}
	if !m.to.dead {
		m.deliver()
	}
}

// pump delivers what waits and what comes of it.
func (w *world) pump(rounds int) {
	for range rounds {
		for i := len(w.network); i > 0; i-- {
			if len(w.network) > 0 {
				w.deliver(0, false)
			}
		}
	}
}

func (n *node) reserve(key contractor.RequestKey, want contractor.Tokens) {
	ask := n.entry.Begin(n.w.now, reserver.Request{Key: key, KeyFromCaller: given(key), Budget: quotes, Amount: want})
	k := n.w.view[n.zone]
	record := reserver.Record{Ref: reserver.Ref{Entry: n.holder, ID: ask.ID}, Key: key, KeyFromCaller: given(key), Budget: "quotes", Amount: want}
	n.w.send(k, func() { k.serve(n, ask, record) })
}

func (n *node) serve(from *node, ask reserver.Pending, record reserver.Record) {
	if !n.open() {
		return
	}
	a := n.keeper.Reserve(n.w.now, Ask{Account: name, Record: record, Least: ask.Request.MinAmount})
	if a.Outcome == Short {
		for range 3 {
			n.step(false)
		}
		a = n.keeper.Reserve(n.w.now, Ask{Account: name, Record: record, Least: ask.Request.MinAmount})
	}
	if a.Outcome != Given {
		n.w.send(from, func() { from.entry.Abandon(n.w.now, ask, true) })
		return
	}
	reply := func() {
		n.w.send(from, func() {
			answer := reserver.Response{Amount: a.Amount, Epoch: a.Epoch, PagesBefore: a.Since}
			if r, err := from.entry.Accept(n.w.now, ask, answer); err == nil {
				from.given = append(from.given, r)
			}
		})
	}
	if !a.Witness {
		reply()
		return
	}
	n.witness(reply, func() { n.keeper.Cancel(n.w.now, name, record.Ref) })
}

// witness makes the keeper's state known to another daemon before then runs. As
// with any call between daemons, only the first answer counts.
func (n *node) witness(then, otherwise func()) {
	for _, p := range n.w.peers(n.zone) {
		if p == n || p.dead {
			continue
		}
		u, ok := n.keeper.SetWitness(name, p.holder)
		if !ok {
			return
		}
		answered := false
		n.w.send(p, func() {
			outcome := p.entry.Witness(n.holder, u)
			n.w.send(n, func() {
				if answered {
					return
				}
				answered = true
				switch outcome {
				case reserver.WitnessKept:
					n.keeper.WitnessKept(name, u)
					then()
				case reserver.WitnessSealed:
					n.keeper.Replaced(n.w.now, name, u.Epoch)
				default:
					otherwise()
				}
			})
		})
		return
	}
	otherwise()
}

// open makes the daemon the keeper and sends the seals.
func (n *node) open() bool {
	w := n.w
	if _, ok := n.keeper.Keeps(name); ok {
		return true
	}
	if w.away {
		return false
	}
	w.operations++
	next, section, err := w.ledger.OpenSection(biller.Section{
		Zone: n.zone, VM: n.holder.VM, Incarnation: n.holder.Incarnation, Operation: w.operations,
	})
	if err != nil {
		return false
	}
	w.ledger, w.revision = next, w.revision+1
	n.keeper.Open(w.now, &next, w.revision)
	n.entry.RaiseMinEpoch(name, section.Epoch)
	n.plan, n.base = nil, nil
	n.seal(section.Epoch)
	return true
}

func (n *node) seal(epoch contractor.Epoch) {
	for _, p := range n.w.peers(n.zone) {
		n.w.send(p, func() {
			handovers := p.keeper.Surrender(n.w.now, name, epoch)
			report := Report{Entry: p.entry.Seal(n.w.now, name, epoch), Handovers: handovers}
			if report.Entry.Refused {
				return
			}
			n.w.send(n, func() { n.keeper.Report(name, epoch, p.holder, report); n.finishSeal() })
		})
	}
}

func (n *node) finishSeal() {
	epoch, ok := n.keeper.Keeps(name)
	if !ok {
		return
	}
	var registered []reserver.DaemonID
	dead := make(map[reserver.DaemonID]bool)
	for _, p := range n.w.peers(n.zone) {
		registered = append(registered, p.holder)
		dead[p.holder] = p.dead
	}
	n.keeper.FinishSeal(n.w.now, name, epoch, registered, func(h reserver.DaemonID) bool { return dead[h] })
}

// step reads the ledger for a write, or commits the write that was read.
func (n *node) step(loseAnswer bool) {
	w := n.w
	if n.plan == nil {
		n.keeper.Wait(quotes, 100)
		w.operations++
		n.plan, _ = n.keeper.Plan(w.now, name, w.operations)
		n.keeper.Wait(quotes, -100)
		n.base = nil
	}
	if n.plan == nil {
		return
	}
	if w.away {
		if !n.plan.Uncertain() {
			n.keeper.Abandon(w.now, n.plan, nil, 0)
			n.plan = nil
		}
		n.base = nil
		return
	}
	if n.base == nil {
		n.read()
		return
	}
	n.commit(loseAnswer)
}

func (n *node) read() {
	l := n.w.ledger
	section, _ := l.Section(n.zone)
	switch {
	case section.Operation == n.plan.Stamp.Operation:
		n.finish(&l)
	case section.Epoch != n.plan.Stamp.Epoch:
		n.keeper.Replaced(n.w.now, name, n.plan.Stamp.Epoch)
		n.plan = nil
	default:
		n.base, n.revision = &l, n.w.revision
	}
}

func (n *node) commit(loseAnswer bool) {
	w := n.w
	next, page, err := n.plan.Apply(w.now, *n.base, w.billed(n.base.Pages))
	if err != nil {
		panic(err)
	}
	n.base = nil
	n.plan.Begin(w.now)
	if n.revision != w.revision {
		return
	}
	w.ledger, w.revision = next, w.revision+1
	if page != nil {
		w.pages = append(w.pages, *page)
	}
	if loseAnswer {
		n.plan.Doubt()
		return
	}
	n.finish(&next)
}

func (n *node) finish(l *biller.Ledger) {
	acks := n.keeper.Flushed(n.plan.Started(), n.w.now, n.plan, l, n.w.revision)
	n.plan, n.base = nil, nil
	for _, ack := range acks {
		for _, p := range n.w.nodes {
			if p.holder == ack.Entry {
				n.w.send(p, func() { p.entry.Acknowledge(name, ack.IDs) })
			}
		}
	}
}

func (w *world) billed(pages uint64) biller.LineLookup {
	return func(key contractor.RequestKey) (biller.Line, bool) {
		var found biller.Line
		ok := false
		for _, p := range w.pages[:pages] {
			for _, line := range p.Lines {
				if line.Key == key && !w.skipDedup {
					found, ok = line, true
				}
			}
		}
		return found, ok
	}
}

// report sends the entry's settlements to the keeper.
func (n *node) report() {
	k := n.w.view[n.zone]
	records := n.entry.TakeUnreported(n.w.now, n.w.now.Add(-3*time.Second), name, 100)
	if len(records) == 0 {
		return
	}
	n.w.send(k, func() {
		if !k.open() {
			return
		}
		receipt := k.keeper.Settle(n.w.now, name, records)
		n.w.send(n, func() { n.entry.AcknowledgeReleases(name, receipt.Epoch, receipt.Done) })
	})
}

// transfer asks the other zone's keeper for a part of its grant.
func (n *node) transfer(amount contractor.Tokens) {
	w := n.w
	other := w.view["z0"]
	if other.zone == n.zone {
		other = w.view["z1"]
	}
	w.operations++
	t := biller.Transfer{ID: biller.TransferID{byte(w.operations), byte(w.operations >> 8)}, Budget: "quotes", To: n.zone, Amount: amount}
	var ok bool
	if t.ToEpoch, ok = n.keeper.AskTransfer(w.now, name, t.ID); !ok {
		return
	}
	w.send(other, func() {
		sent := other.keeper.TransferOut(w.now, name, t, amount)
		if sent.Outcome != Given {
			return
		}
		other.witness(func() {
			got := t
			got.From, got.Amount, got.Epoch = other.zone, sent.Amount, sent.Epoch
			w.send(n, func() { n.keeper.TransferIn(w.now, name, got) })
		}, func() { other.keeper.CancelTransfer(name, t.ID) })
	})
}

// given reports whether the caller chose the key and may repeat it.
func given(key contractor.RequestKey) bool { return key[0]%2 == 0 }

func use(key contractor.RequestKey) contractor.Tokens { return 60 + contractor.Tokens(key[0])%40 }

// dispatch runs a given reservation. at is the entry's time.
func (n *node) dispatch(i int, at time.Time) {
	r := n.given[i]
	n.given = append(n.given[:i:i], n.given[i+1:]...)
	if n.entry.BeginDispatch(at, r) != nil {
		n.entry.Settle(n.w.now, r, 0)
		return
	}
	n.w.dispatched[r.Key] = use(r.Key)
	n.running = append(n.running, r)
}

func (n *node) settle(i int) {
	r := n.running[i]
	n.running = append(n.running[:i:i], n.running[i+1:]...)
	n.entry.Settle(n.w.now, r, use(r.Key))
}

// tick lets time pass for the daemons that are not paused.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if n.paused || n.dead {
			continue
		}
		n.entry.SettleExpired(w.now)
		n.keeper.Due(w.now)
		n.finishSeal()
	}
}
