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
	testAccount = contractor.Account("loft-7")
	prepaid     = contractor.Tokens(400)
)

var testBudget = contractor.BudgetID{Account: testAccount, Name: "quotes"}

// TestMain fixes the seed and the length of the random tests, unless the command line
// sets them.
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

// fixture is a fleet of two zones with three daemons each, a store and a network.
// Messages wait in the network until a test delivers them: in any order, once, twice or
// never.
type fixture struct {
	now              time.Time
	ledger           biller.Ledger
	revision         contractor.Revision
	pages            []biller.Page
	storeUnavailable bool
	// skipDedup injects a fault: request keys that are billed already are not found.
	skipDedup bool
	daemons   []*fakeDaemon
	// keepers are the daemons that each zone's members take for the keeper.
	keepers       map[contractor.Zone]*fakeDaemon
	network       []message
	dispatched    map[contractor.RequestKey]contractor.Tokens
	lastOperation biller.OperationID
}

type message struct {
	to      *fakeDaemon
	deliver func()
}

// fakeDaemon is a daemon's keeper and entry, driven step by step by the test.
type fakeDaemon struct {
	fixture      *fixture
	id           reserver.DaemonID
	zone         contractor.Zone
	keeper       *Allocator
	entry        *reserver.Reserver
	paused, dead bool
	// plan and base are a write that has been read and not committed yet.
	plan         *Plan
	base         *biller.Ledger
	revision     contractor.Revision
	reservations []reserver.Reservation
	inFlight     []reserver.Reservation
}

func (d *fakeDaemon) String() string { return string(d.id.VM) }

func newFixture(t reporter, faults faults, configure func(*Config)) *fixture {
	f := &fixture{
		now:        time.Unix(1_700_000_000, 0),
		keepers:    make(map[contractor.Zone]*fakeDaemon),
		dispatched: make(map[contractor.RequestKey]contractor.Tokens),
	}
	l, _, err := f.ledger.AddBudgets(&contractor.Contract{Account: testAccount, Budgets: []contractor.Budget{{Name: "quotes", Prepaid: prepaid}}})
	t.noError(err)
	f.ledger = l
	for i := range 6 {
		d := &fakeDaemon{fixture: f, zone: contractor.Zone(fmt.Sprintf("z%d", i/3))}
		d.id = reserver.DaemonID{VM: contractor.VM(fmt.Sprintf("vm-%d", i)), Incarnation: 1}
		c := Config{
			Zone: d.zone, Self: d.id, Term: time.Minute, DispatchWindow: 2 * time.Second,
			LongestRequest: 4 * time.Second, GrantCoverage: time.Second, MinFlushInterval: time.Second, MaxGrantFraction: 0.5,
		}
		if configure != nil {
			configure(&c)
		}
		d.keeper = New(c)
		d.keeper.faults = faults
		d.entry = reserver.New(reserver.Config{Self: d.id, DispatchWindow: 2 * time.Second, LongestRequest: 4 * time.Second})
		f.daemons = append(f.daemons, d)
		if f.keepers[d.zone] == nil {
			f.keepers[d.zone] = d
		}
	}
	return f
}

// reporter reports failures: to the test, or as a panic that the test expects.
type reporter struct {
	fatal func(format string, args ...any)
}

func (r reporter) noError(err error) {
	if err != nil {
		r.fatal("%v", err)
	}
}

func (f *fixture) send(to *fakeDaemon, deliver func()) {
	f.network = append(f.network, message{to, deliver})
}

func (f *fixture) daemonsIn(zone contractor.Zone) []*fakeDaemon {
	var daemons []*fakeDaemon
	for _, d := range f.daemons {
		if d.zone == zone {
			daemons = append(daemons, d)
		}
	}
	return daemons
}

// deliver delivers message i, and keeps it for another delivery if duplicate is true.
func (f *fixture) deliver(i int, duplicate bool) {
	m := f.network[i]
	if !duplicate || m.to.paused {
		f.network = append(f.network[:i:i], f.network[i+1:]...)
	}
	if m.to.paused {
		f.network = append(f.network, m)
		return
	}
	if !m.to.dead {
		m.deliver()
	}
}

// deliverAll delivers the waiting messages and, in further rounds, those that they
// cause.
func (f *fixture) deliverAll(rounds int) {
	for range rounds {
		for i := len(f.network); i > 0; i-- {
			if len(f.network) > 0 {
				f.deliver(0, false)
			}
		}
	}
}

func (d *fakeDaemon) reserve(key contractor.RequestKey, amount contractor.Tokens) {
	pending := d.entry.Begin(d.fixture.now, reserver.Request{Key: key, KeyFromCaller: keyFromCaller(key), Budget: testBudget, Amount: amount})
	keeper := d.fixture.keepers[d.zone]
	record := reserver.Record{Ref: reserver.Ref{Entry: d.id, ID: pending.ID}, Key: key, KeyFromCaller: keyFromCaller(key), Budget: "quotes", Amount: amount}
	d.fixture.send(keeper, func() { keeper.serve(d, pending, record) })
}

func (d *fakeDaemon) serve(entry *fakeDaemon, pending reserver.Pending, record reserver.Record) {
	if !d.ensureKeeper() {
		return
	}
	response := d.keeper.Reserve(d.fixture.now, Request{Account: testAccount, Record: record, MinAmount: pending.Request.MinAmount})
	if response.Outcome == Insufficient {
		for range 3 {
			d.advanceWrite(false)
		}
		response = d.keeper.Reserve(d.fixture.now, Request{Account: testAccount, Record: record, MinAmount: pending.Request.MinAmount})
	}
	if response.Outcome != Approved {
		d.fixture.send(entry, func() { entry.entry.Abandon(d.fixture.now, pending, true) })
		return
	}
	respond := func() {
		d.fixture.send(entry, func() {
			accepted := reserver.Response{Amount: response.Amount, Epoch: response.Epoch, PagesBefore: response.PagesBefore}
			if r, err := entry.entry.Accept(d.fixture.now, pending, accepted); err == nil {
				entry.reservations = append(entry.reservations, r)
			}
		})
	}
	if !response.NeedsWitness {
		respond()
		return
	}
	d.updateWitness(respond, func() { d.keeper.Cancel(d.fixture.now, testAccount, record.Ref) })
}

// updateWitness sends the keeper's full state to another daemon of the zone. As in any
// call between daemons, only the first response counts.
func (d *fakeDaemon) updateWitness(onSuccess, onFailure func()) {
	for _, p := range d.fixture.daemonsIn(d.zone) {
		if p == d || p.dead {
			continue
		}
		u, ok := d.keeper.SetWitness(testAccount, p.id)
		if !ok {
			return
		}
		responded := false
		d.fixture.send(p, func() {
			outcome := p.entry.Witness(d.id, u)
			d.fixture.send(d, func() {
				if responded {
					return
				}
				responded = true
				switch outcome {
				case reserver.WitnessKept:
					d.keeper.ConfirmWitness(testAccount, u)
					onSuccess()
				case reserver.WitnessSealed:
					d.keeper.Replaced(d.fixture.now, testAccount, u.Epoch)
				default:
					onFailure()
				}
			})
		})
		return
	}
	onFailure()
}

// ensureKeeper makes the daemon the keeper, unless it is already, and sends the seals.
func (d *fakeDaemon) ensureKeeper() bool {
	f := d.fixture
	if _, ok := d.keeper.Keeps(testAccount); ok {
		return true
	}
	if f.storeUnavailable {
		return false
	}
	f.lastOperation++
	next, section, err := f.ledger.OpenSection(biller.Section{
		Zone: d.zone, VM: d.id.VM, Incarnation: d.id.Incarnation, Operation: f.lastOperation,
	})
	if err != nil {
		return false
	}
	f.ledger, f.revision = next, f.revision+1
	d.keeper.Open(f.now, &next, f.revision)
	d.entry.RaiseMinEpoch(testAccount, section.Epoch)
	d.plan, d.base = nil, nil
	d.sendSeals(section.Epoch)
	return true
}

func (d *fakeDaemon) sendSeals(epoch contractor.Epoch) {
	for _, p := range d.fixture.daemonsIn(d.zone) {
		d.fixture.send(p, func() {
			handovers := p.keeper.StepDown(d.fixture.now, testAccount, epoch)
			report := Report{Entry: p.entry.Seal(d.fixture.now, testAccount, epoch), Handovers: handovers}
			if report.Entry.Refused {
				return
			}
			d.fixture.send(d, func() { d.keeper.Report(testAccount, epoch, p.id, report); d.finishSeal() })
		})
	}
}

func (d *fakeDaemon) finishSeal() {
	epoch, ok := d.keeper.Keeps(testAccount)
	if !ok {
		return
	}
	var registered []reserver.DaemonID
	dead := make(map[reserver.DaemonID]bool)
	for _, p := range d.fixture.daemonsIn(d.zone) {
		registered = append(registered, p.id)
		dead[p.id] = p.dead
	}
	d.keeper.FinishSeal(d.fixture.now, testAccount, epoch, registered, func(h reserver.DaemonID) bool { return dead[h] })
}

// advanceWrite reads the ledger for a write, or commits the write that was read.
func (d *fakeDaemon) advanceWrite(loseResponse bool) {
	f := d.fixture
	if d.plan == nil {
		d.keeper.AddDemand(testBudget, 100)
		f.lastOperation++
		d.plan, _ = d.keeper.Plan(f.now, testAccount, f.lastOperation)
		d.keeper.AddDemand(testBudget, -100)
		d.base = nil
	}
	if d.plan == nil {
		return
	}
	if f.storeUnavailable {
		if !d.plan.Uncertain() {
			d.keeper.Abandon(f.now, d.plan, nil, 0)
			d.plan = nil
		}
		d.base = nil
		return
	}
	if d.base == nil {
		d.readLedger()
		return
	}
	d.commit(loseResponse)
}

func (d *fakeDaemon) readLedger() {
	l := d.fixture.ledger
	section, _ := l.Section(d.zone)
	switch {
	case section.Operation == d.plan.Section.Operation:
		d.finishWrite(&l)
	case section.Epoch != d.plan.Section.Epoch:
		d.keeper.Replaced(d.fixture.now, testAccount, d.plan.Section.Epoch)
		d.plan = nil
	default:
		d.base, d.revision = &l, d.fixture.revision
	}
}

func (d *fakeDaemon) commit(loseResponse bool) {
	f := d.fixture
	next, page, err := d.plan.Apply(f.now, *d.base, f.billed(d.base.Pages))
	if err != nil {
		panic(err)
	}
	d.base = nil
	d.plan.MarkStarted(f.now)
	if d.revision != f.revision {
		return
	}
	f.ledger, f.revision = next, f.revision+1
	if page != nil {
		f.pages = append(f.pages, *page)
	}
	if loseResponse {
		d.plan.MarkUncertain()
		return
	}
	d.finishWrite(&next)
}

func (d *fakeDaemon) finishWrite(l *biller.Ledger) {
	acks := d.keeper.Flushed(d.plan.Started(), d.fixture.now, d.plan, l, d.fixture.revision)
	d.plan, d.base = nil, nil
	for _, ack := range acks {
		for _, p := range d.fixture.daemons {
			if p.id == ack.Entry {
				d.fixture.send(p, func() { p.entry.Acknowledge(testAccount, ack.IDs) })
			}
		}
	}
}

func (f *fixture) billed(pages uint64) biller.LineLookup {
	return func(key contractor.RequestKey) (biller.Line, bool) {
		var found biller.Line
		ok := false
		for _, p := range f.pages[:pages] {
			for _, line := range p.Lines {
				if line.Key == key && !f.skipDedup {
					found, ok = line, true
				}
			}
		}
		return found, ok
	}
}

// reportSettlements sends the entry's settlements to the keeper.
func (d *fakeDaemon) reportSettlements() {
	keeper := d.fixture.keepers[d.zone]
	records := d.entry.TakeUnreported(d.fixture.now, d.fixture.now.Add(-3*time.Second), testAccount, 100)
	if len(records) == 0 {
		return
	}
	d.fixture.send(keeper, func() {
		if !keeper.ensureKeeper() {
			return
		}
		response := keeper.keeper.Settle(d.fixture.now, testAccount, records)
		d.fixture.send(d, func() { d.entry.AcknowledgeReleases(testAccount, response.Epoch, response.Done) })
	})
}

// requestTransfer requests a part of the other zone's grant.
func (d *fakeDaemon) requestTransfer(amount contractor.Tokens) {
	f := d.fixture
	other := f.keepers["z0"]
	if other.zone == d.zone {
		other = f.keepers["z1"]
	}
	f.lastOperation++
	t := biller.Transfer{ID: biller.TransferID{byte(f.lastOperation), byte(f.lastOperation >> 8)}, Budget: "quotes", To: d.zone, Amount: amount}
	var ok bool
	if t.ToEpoch, ok = d.keeper.RequestTransfer(f.now, testAccount, t.ID); !ok {
		return
	}
	f.send(other, func() {
		response := other.keeper.GrantTransfer(f.now, testAccount, t, amount)
		if response.Outcome != Approved {
			return
		}
		other.updateWitness(func() {
			granted := t
			granted.From, granted.Amount, granted.Epoch = other.zone, response.Amount, response.Epoch
			f.send(d, func() { d.keeper.CreditTransfer(f.now, testAccount, granted) })
		}, func() { other.keeper.CancelTransfer(testAccount, t.ID) })
	})
}

// keyFromCaller reports whether the caller chose the key and may retry with it.
func keyFromCaller(key contractor.RequestKey) bool { return key[0]%2 == 0 }

func actualUse(key contractor.RequestKey) contractor.Tokens { return 60 + contractor.Tokens(key[0])%40 }

// dispatch starts to execute reservation i. at is the time on the entry's clock.
func (d *fakeDaemon) dispatch(i int, at time.Time) {
	r := d.reservations[i]
	d.reservations = append(d.reservations[:i:i], d.reservations[i+1:]...)
	if d.entry.BeginDispatch(at, r) != nil {
		d.entry.Settle(d.fixture.now, r, 0)
		return
	}
	d.fixture.dispatched[r.Key] = actualUse(r.Key)
	d.inFlight = append(d.inFlight, r)
}

func (d *fakeDaemon) settle(i int) {
	r := d.inFlight[i]
	d.inFlight = append(d.inFlight[:i:i], d.inFlight[i+1:]...)
	d.entry.Settle(d.fixture.now, r, actualUse(r.Key))
}

// advance moves the clock and runs the periodic work of the daemons that are not
// paused.
func (f *fixture) advance(elapsed time.Duration) {
	f.now = f.now.Add(elapsed)
	for _, d := range f.daemons {
		if d.paused || d.dead {
			continue
		}
		d.entry.SettleExpired(f.now)
		d.keeper.Due(f.now)
		d.finishSeal()
	}
}
