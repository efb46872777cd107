package allocator_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// The limits are the defaults of package treasurer, which drives the keepers in
// the same way as these processes do.
const (
	tick         = 100 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	storePause   = time.Second
	storeTimeout = 2 * time.Second
	callTimeout  = 500 * time.Millisecond
	keeperWait   = 4 * time.Second
	shortWait    = 250 * time.Millisecond
	conflictWait = 20 * time.Millisecond
	maxAttempts  = 24
	maxWrites    = 2
	maxBatch     = 512
)

var errAway = errors.New("store is away")

// ledger is one value in the store.
type ledger struct {
	value    biller.Ledger
	revision contractor.Revision
}

// fleet is our system: entries and keepers in zones, and the store.
type fleet struct {
	*truth
	ledgers    map[contractor.Account]*ledger
	zones      [][]*daemon
	commits    int
	operations uint64
	end        time.Time
}

type daemon struct {
	f       *fleet
	zone    int
	holder  reserver.DaemonID
	keeper  *allocator.Allocator
	entry   *reserver.Reserver
	dead    bool
	unseen  bool // dead, and the zone's daemons know it
	away    time.Time
	flights map[contractor.Account]*flight
	opening map[contractor.Account]*flight
	fetches map[contractor.BudgetID]*signal
	open    map[int]reserver.Reservation
}

// flight is a write that several processes wait for.
type flight struct {
	signal
	err error
}

func zoneName(i int) contractor.Zone       { return contractor.Zone(fmt.Sprintf("zone-%d", i)) }
func accountName(i int) contractor.Account { return contractor.Account(fmt.Sprintf("account-%d", i)) }
func budgetName(i int) contractor.BudgetName {
	return contractor.BudgetName(fmt.Sprintf("budget-%03d", i))
}

// ours returns a function that builds the fleet with a configuration of its keepers.
func ours(c allocator.Config) func(w *truth, end time.Time) system {
	return func(w *truth, end time.Time) system {
		f := &fleet{truth: w, ledgers: make(map[contractor.Account]*ledger), end: end}
		for i := range w.scenario.accounts {
			contract := contractor.Contract{Account: accountName(i)}
			for j := range w.scenario.budgets {
				contract.Budgets = append(contract.Budgets, contractor.Budget{Name: budgetName(j), Prepaid: w.scenario.prepaid})
			}
			var empty biller.Ledger
			value, _, err := empty.AddBudgets(&contract)
			must(err)
			f.ledgers[contract.Account] = &ledger{value, 1}
		}
		for z := range w.scenario.zones {
			f.zones = append(f.zones, nil)
			for i := range w.scenario.daemons {
				f.zones[z] = append(f.zones[z], f.newDaemon(c, z, i))
			}
		}
		w.lost = func(r *request) bool { return f.zones[r.zone][r.daemon].dead }
		return f
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (f *fleet) newDaemon(c allocator.Config, zone, i int) *daemon {
	d := &daemon{
		f: f, zone: zone,
		holder:  reserver.DaemonID{VM: contractor.VM(fmt.Sprintf("vm-%d-%d", zone, i)), Incarnation: 1},
		flights: make(map[contractor.Account]*flight),
		opening: make(map[contractor.Account]*flight),
		fetches: make(map[contractor.BudgetID]*signal),
		open:    make(map[int]reserver.Reservation),
	}
	c.Zone, c.Self = zoneName(zone), d.holder
	c.Writes = f.scenario.writes / float64(f.scenario.zones*f.scenario.daemons)
	d.keeper = allocator.New(c)
	d.entry = reserver.New(reserver.Config{Self: d.holder})
	f.every(tick, f.end, d.tick)
	return d
}

// keeperOf returns the daemon that a zone's members take for the keeper.
func (f *fleet) keeperOf(zone int, account contractor.Account) *daemon {
	var n int
	_, err := fmt.Sscanf(string(account), "account-%d", &n)
	must(err)
	daemons := f.zones[zone]
	for i := range daemons {
		if d := daemons[(n+i)%len(daemons)]; !d.unseen {
			return d
		}
	}
	return nil
}

func (f *fleet) kill() {
	d := f.keeperOf(0, accountName(0))
	d.dead = true
	f.after(detection, func() {
		d.unseen = true
		next := f.keeperOf(0, accountName(0))
		f.simulator.start(func(p *process) { _ = next.keeps(p, accountName(0)) })
	})
}

func (f *fleet) topUp(amount contractor.Tokens) {
	l := f.ledgers[accountName(0)]
	next, err := l.value.TopUp(budgetName(0), amount)
	must(err)
	l.value, l.revision = next, l.revision+1
}

func (f *fleet) writes() int { return f.commits }

func (f *fleet) unaccounted() contractor.Tokens {
	return f.ledgers[accountName(0)].value.Budgets[0].Unaccounted
}

func (f *fleet) operation() biller.OperationID {
	f.operations++
	return biller.OperationID(f.operations)
}

// load reads a ledger.
func (d *daemon) load(p *process, account contractor.Account) (biller.Ledger, contractor.Revision, error) {
	p.sleep(p.jitter(2 * storeHop))
	if !d.f.stored(d.zone) {
		p.sleep(storeTimeout)
		d.away = p.now.Add(storePause)
		return biller.Ledger{}, 0, errAway
	}
	d.away = time.Time{}
	l := d.f.ledgers[account]
	return l.value, l.revision, nil
}

var errConflict = errors.New("ledger has changed")

// commit writes a ledger unless it has changed.
func (d *daemon) commit(p *process, account contractor.Account, next biller.Ledger, read contractor.Revision) (contractor.Revision, error) {
	p.sleep(p.jitter(storeHop))
	if !d.f.stored(d.zone) {
		p.sleep(storeTimeout)
		d.away = p.now.Add(storePause)
		return 0, errAway
	}
	d.f.commits++
	l := d.f.ledgers[account]
	changed := l.revision != read
	if !changed {
		must(next.Check())
		l.value, l.revision = next, l.revision+1
	}
	written := l.revision
	p.sleep(p.jitter(storeHop))
	if changed {
		return 0, errConflict
	}
	return written, nil
}

// flush writes the section of an account. Calls at the same time share one write.
func (d *daemon) flush(p *process, account contractor.Account) error {
	if under := d.flights[account]; under != nil {
		under.wait(p)
		return under.err
	}
	own := &flight{err: errAway}
	d.flights[account] = own
	if plan, ok := d.keeper.Plan(p.now, account, d.f.operation()); ok && !d.dead {
		own.err = d.write(p, plan)
	}
	delete(d.flights, account)
	own.fire()
	return own.err
}

func (d *daemon) write(p *process, plan *allocator.Plan) error {
	for range maxAttempts {
		err := d.writeOnce(p, plan)
		if err == nil || !errors.Is(err, errConflict) {
			if err != nil {
				d.keeper.Abandon(p.now, plan, nil, 0)
			}
			return err
		}
		p.sleep(time.Duration(p.random.Int64N(int64(conflictWait))))
	}
	d.keeper.Abandon(p.now, plan, nil, 0)
	return errConflict
}

func (d *daemon) writeOnce(p *process, plan *allocator.Plan) error {
	l, revision, err := d.load(p, plan.Account)
	if err != nil {
		return err
	}
	if section, _ := l.Section(zoneName(d.zone)); section.Epoch != plan.Stamp.Epoch {
		d.keeper.Replaced(p.now, plan.Account, plan.Stamp.Epoch)
		return biller.ErrReplaced
	}
	if !d.keeper.RenewalDue(p.now, plan.Account) && plan.Empty(&l) {
		d.keeper.Abandon(p.now, plan, &l, revision)
		return nil
	}
	next, _, err := plan.Apply(p.now, l, func(contractor.RequestKey) (biller.Line, bool) { return biller.Line{}, false })
	must(err)
	plan.Begin(p.now)
	written, err := d.commit(p, plan.Account, next, revision)
	if err != nil {
		return err
	}
	for _, ack := range d.keeper.Flushed(plan.Started(), p.now, plan, &next, written) {
		d.f.after(localHop, func() { d.f.find(d.zone, ack.Entry).entry.Acknowledge(plan.Account, ack.IDs) })
	}
	return nil
}

func (f *fleet) find(zone int, h reserver.DaemonID) *daemon {
	i := slices.IndexFunc(f.zones[zone], func(d *daemon) bool { return d.holder == h })
	return f.zones[zone][i]
}

// keeps makes the daemon the keeper of an account when the zone takes it for that.
func (d *daemon) keeps(p *process, account contractor.Account) error {
	if _, ok := d.keeper.Keeps(account); ok {
		return nil
	}
	if d.f.keeperOf(d.zone, account) != d || d.dead {
		return errNotKeeper
	}
	if under := d.opening[account]; under != nil {
		under.wait(p)
		return under.err
	}
	own := &flight{}
	d.opening[account] = own
	own.err = d.openSection(p, account)
	delete(d.opening, account)
	own.fire()
	return own.err
}

var errNotKeeper = errors.New("daemon is not the keeper")

func (d *daemon) openSection(p *process, account contractor.Account) error {
	wanted := biller.Section{Zone: zoneName(d.zone), VM: d.holder.VM, Incarnation: 1, Operation: d.f.operation()}
	wanted.Unwitnessed = d.f.scenario.daemons == 1
	started := p.now
	for {
		l, revision, err := d.load(p, account)
		if err != nil {
			return err
		}
		next, section, err := l.OpenSection(wanted)
		must(err)
		written, err := d.commit(p, account, next, revision)
		if errors.Is(err, errConflict) {
			p.sleep(time.Duration(p.random.Int64N(int64(conflictWait))))
			continue
		}
		if err != nil {
			return err
		}
		d.keeper.Open(started, &next, written)
		d.entry.RaiseMinEpoch(account, section.Epoch)
		if section.Epoch > 1 {
			d.f.simulator.start(func(p *process) { d.seal(p, account, section.Epoch) })
		}
		return nil
	}
}

// seal asks the zone's daemons until the predecessor's grants are accounted for.
func (d *daemon) seal(p *process, account contractor.Account, epoch contractor.Epoch) {
	p.sleep(p.jitter(2 * storeHop))
	var registered []reserver.DaemonID
	for _, other := range d.f.zones[d.zone] {
		registered = append(registered, other.holder)
	}
	gone := func(h reserver.DaemonID) bool {
		return d.f.find(d.zone, h).dead && d.f.elapsed() > d.f.scenario.deathAt+goneAfter
	}
	for {
		p.sleep(2 * localHop)
		for _, other := range d.f.zones[d.zone] {
			if !other.dead {
				handovers := other.keeper.Surrender(p.now, account, epoch)
				report := allocator.Report{Entry: other.entry.Seal(p.now, account, epoch), Handovers: handovers}
				d.keeper.Report(account, epoch, other.holder, report)
			}
		}
		if d.keeper.FinishSeal(p.now, account, epoch, registered, gone).State != allocator.SealWaiting {
			break
		}
		p.sleep(2 * retryPause)
	}
	d.findWitness(p, account)
	_ = d.flush(p, account)
}

// tick does what is due.
func (d *daemon) tick() {
	if d.dead {
		return
	}
	for _, account := range d.keeper.Due(d.f.now) {
		if d.f.now.After(d.away) {
			d.f.simulator.start(func(p *process) { _ = d.flush(p, account) })
		}
	}
	for account, load := range d.entry.CountsByAccount() {
		if load.Unacknowledged > 0 {
			d.report(account)
		}
		if u, peer, ok := d.keeper.WitnessChanges(account); ok {
			d.f.find(d.zone, peer).entry.Witness(d.holder, u)
		}
	}
}

// report tells the keeper of settlements that it has not been told.
func (d *daemon) report(account contractor.Account) {
	keeper := d.f.keeperOf(d.zone, account)
	now := d.f.now
	records := d.entry.TakeUnreported(now, now.Add(-30*time.Second), account, maxBatch)
	if len(records) == 0 {
		return
	}
	d.f.after(localHop, func() {
		if _, ok := keeper.keeper.Keeps(account); !ok || keeper.dead {
			d.entry.MarkUnreported(account, records)
			return
		}
		receipt := keeper.keeper.Settle(d.f.now, account, records)
		if receipt.NotKeeper || !d.entry.AcknowledgeReleases(account, receipt.Epoch, receipt.Done) {
			d.entry.MarkUnreported(account, records)
		}
	})
}

func (f *fleet) settle(_ *process, r *request) {
	d := f.zones[r.zone][r.daemon]
	d.entry.Settle(f.now, d.open[r.number], r.used)
	delete(d.open, r.number)
	d.report(accountName(r.account))
}

func requestKey(number int) contractor.RequestKey {
	var key contractor.RequestKey
	binary.BigEndian.PutUint64(key[:], uint64(number)+1)
	return key
}

func budgetID(r *request) contractor.BudgetID {
	return contractor.BudgetID{Account: accountName(r.account), Name: budgetName(r.budget)}
}
