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
	tickInterval       = 100 * time.Millisecond
	retryBackoff       = 50 * time.Millisecond
	storeBackoff       = time.Second
	storeTimeout       = 2 * time.Second
	callTimeout        = 500 * time.Millisecond
	keeperTimeout      = 4 * time.Second
	releaseTimeout     = 250 * time.Millisecond
	maxConflictBackoff = 20 * time.Millisecond
	maxFlushAttempts   = 24
	maxWritesAwaited   = 2
	maxBatch           = 512
)

var errStoreUnavailable = errors.New("store is unavailable")

// storedLedger is a ledger in the store.
type storedLedger struct {
	value    biller.Ledger
	revision contractor.Revision
}

// fleet is the system with keepers: entries and keepers in zones, and the store.
type fleet struct {
	*simulation
	ledgers       map[contractor.Account]*storedLedger
	zones         [][]*daemon
	commits       int
	lastOperation uint64
	end           time.Time
}

type daemon struct {
	fleet             *fleet
	zone              int
	id                reserver.DaemonID
	keeper            *allocator.Allocator
	entry             *reserver.Reserver
	dead              bool
	knownDead         bool // dead, and the zone's daemons know it
	storeBackoffUntil time.Time
	writes            map[contractor.Account]*sharedWrite
	openings          map[contractor.Account]*sharedWrite
	transferring      map[contractor.BudgetID]*signal
	reservations      map[int]reserver.Reservation
}

// sharedWrite is a write that several processes wait for.
type sharedWrite struct {
	signal
	err error
}

func zoneName(i int) contractor.Zone       { return contractor.Zone(fmt.Sprintf("zone-%d", i)) }
func accountName(i int) contractor.Account { return contractor.Account(fmt.Sprintf("account-%d", i)) }
func budgetName(i int) contractor.BudgetName {
	return contractor.BudgetName(fmt.Sprintf("budget-%03d", i))
}

// fleetWith returns a function that builds the fleet with a configuration of its
// keepers.
func fleetWith(c allocator.Config) func(sim *simulation, end time.Time) system {
	return func(sim *simulation, end time.Time) system {
		f := &fleet{simulation: sim, ledgers: make(map[contractor.Account]*storedLedger), end: end}
		for i := range sim.scenario.accounts {
			contract := contractor.Contract{Account: accountName(i)}
			for j := range sim.scenario.budgets {
				contract.Budgets = append(contract.Budgets, contractor.Budget{Name: budgetName(j), Prepaid: sim.scenario.prepaid})
			}
			var empty biller.Ledger
			value, _, err := empty.AddBudgets(&contract)
			must(err)
			f.ledgers[contract.Account] = &storedLedger{value, 1}
		}
		for z := range sim.scenario.zones {
			f.zones = append(f.zones, nil)
			for i := range sim.scenario.daemons {
				f.zones[z] = append(f.zones[z], f.newDaemon(c, z, i))
			}
		}
		sim.entryDied = func(r *request) bool { return f.zones[r.zone][r.daemon].dead }
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
		fleet: f, zone: zone,
		id:           reserver.DaemonID{VM: contractor.VM(fmt.Sprintf("vm-%d-%d", zone, i)), Incarnation: 1},
		writes:       make(map[contractor.Account]*sharedWrite),
		openings:     make(map[contractor.Account]*sharedWrite),
		transferring: make(map[contractor.BudgetID]*signal),
		reservations: make(map[int]reserver.Reservation),
	}
	c.Zone, c.Self = zoneName(zone), d.id
	c.WritesPerSecond = f.scenario.fleetWrites / float64(f.scenario.zones*f.scenario.daemons)
	d.keeper = allocator.New(c)
	d.entry = reserver.New(reserver.Config{Self: d.id})
	f.every(tickInterval, f.end, d.tick)
	return d
}

// keeperOf returns the daemon that the members of a zone take for the keeper.
func (f *fleet) keeperOf(zone int, account contractor.Account) *daemon {
	var n int
	_, err := fmt.Sscanf(string(account), "account-%d", &n)
	must(err)
	daemons := f.zones[zone]
	for i := range daemons {
		if d := daemons[(n+i)%len(daemons)]; !d.knownDead {
			return d
		}
	}
	return nil
}

func (f *fleet) kill() {
	d := f.keeperOf(0, accountName(0))
	d.dead = true
	f.after(deathDetection, func() {
		d.knownDead = true
		next := f.keeperOf(0, accountName(0))
		f.simulator.start(func(p *process) { _ = next.ensureKeeper(p, accountName(0)) })
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
	f.lastOperation++
	return biller.OperationID(f.lastOperation)
}

func (d *daemon) readLedger(p *process, account contractor.Account) (biller.Ledger, contractor.Revision, error) {
	p.sleep(p.jitter(2 * storeLatency))
	if !d.fleet.storeReachable(d.zone) {
		p.sleep(storeTimeout)
		d.storeBackoffUntil = p.now.Add(storeBackoff)
		return biller.Ledger{}, 0, errStoreUnavailable
	}
	d.storeBackoffUntil = time.Time{}
	l := d.fleet.ledgers[account]
	return l.value, l.revision, nil
}

var errConflict = errors.New("ledger has changed")

// commitLedger writes a ledger unless it has changed since it was read.
func (d *daemon) commitLedger(p *process, account contractor.Account, next biller.Ledger, read contractor.Revision) (contractor.Revision, error) {
	p.sleep(p.jitter(storeLatency))
	if !d.fleet.storeReachable(d.zone) {
		p.sleep(storeTimeout)
		d.storeBackoffUntil = p.now.Add(storeBackoff)
		return 0, errStoreUnavailable
	}
	d.fleet.commits++
	l := d.fleet.ledgers[account]
	changed := l.revision != read
	if !changed {
		must(next.Check())
		l.value, l.revision = next, l.revision+1
	}
	written := l.revision
	p.sleep(p.jitter(storeLatency))
	if changed {
		return 0, errConflict
	}
	return written, nil
}

// flush writes the section of an account. Concurrent calls share one write.
func (d *daemon) flush(p *process, account contractor.Account) error {
	if pending := d.writes[account]; pending != nil {
		pending.wait(p)
		return pending.err
	}
	own := &sharedWrite{err: errStoreUnavailable}
	d.writes[account] = own
	if plan, ok := d.keeper.Plan(p.now, account, d.fleet.operation()); ok && !d.dead {
		own.err = d.write(p, plan)
	}
	delete(d.writes, account)
	own.fire()
	return own.err
}

func (d *daemon) write(p *process, plan *allocator.Plan) error {
	for range maxFlushAttempts {
		err := d.writeOnce(p, plan)
		if err == nil || !errors.Is(err, errConflict) {
			if err != nil {
				d.keeper.Abandon(p.now, plan, nil, 0)
			}
			return err
		}
		p.sleep(time.Duration(p.random.Int64N(int64(maxConflictBackoff))))
	}
	d.keeper.Abandon(p.now, plan, nil, 0)
	return errConflict
}

func (d *daemon) writeOnce(p *process, plan *allocator.Plan) error {
	l, revision, err := d.readLedger(p, plan.Account)
	if err != nil {
		return err
	}
	if section, _ := l.Section(zoneName(d.zone)); section.Epoch != plan.Section.Epoch {
		d.keeper.Replaced(p.now, plan.Account, plan.Section.Epoch)
		return biller.ErrReplaced
	}
	if !d.keeper.RenewalDue(p.now, plan.Account) && plan.Empty(&l) {
		d.keeper.Abandon(p.now, plan, &l, revision)
		return nil
	}
	next, _, err := plan.Apply(p.now, l, func(contractor.RequestKey) (biller.Line, bool) { return biller.Line{}, false })
	must(err)
	plan.MarkStarted(p.now)
	written, err := d.commitLedger(p, plan.Account, next, revision)
	if err != nil {
		return err
	}
	for _, ack := range d.keeper.Flushed(plan.Started(), p.now, plan, &next, written) {
		d.fleet.after(localLatency, func() { d.fleet.find(d.zone, ack.Entry).entry.Acknowledge(plan.Account, ack.IDs) })
	}
	return nil
}

func (f *fleet) find(zone int, id reserver.DaemonID) *daemon {
	i := slices.IndexFunc(f.zones[zone], func(d *daemon) bool { return d.id == id })
	return f.zones[zone][i]
}

// ensureKeeper makes the daemon the keeper of an account if the zone's members take it
// for the keeper.
func (d *daemon) ensureKeeper(p *process, account contractor.Account) error {
	if _, ok := d.keeper.Keeps(account); ok {
		return nil
	}
	if d.fleet.keeperOf(d.zone, account) != d || d.dead {
		return errNotKeeper
	}
	if pending := d.openings[account]; pending != nil {
		pending.wait(p)
		return pending.err
	}
	own := &sharedWrite{}
	d.openings[account] = own
	own.err = d.openSection(p, account)
	delete(d.openings, account)
	own.fire()
	return own.err
}

var errNotKeeper = errors.New("daemon is not the keeper")

func (d *daemon) openSection(p *process, account contractor.Account) error {
	newSection := biller.Section{Zone: zoneName(d.zone), VM: d.id.VM, Incarnation: 1, Operation: d.fleet.operation()}
	newSection.Unwitnessed = d.fleet.scenario.daemons == 1
	started := p.now
	for {
		l, revision, err := d.readLedger(p, account)
		if err != nil {
			return err
		}
		next, section, err := l.OpenSection(newSection)
		must(err)
		written, err := d.commitLedger(p, account, next, revision)
		if errors.Is(err, errConflict) {
			p.sleep(time.Duration(p.random.Int64N(int64(maxConflictBackoff))))
			continue
		}
		if err != nil {
			return err
		}
		d.keeper.Open(started, &next, written)
		d.entry.RaiseMinEpoch(account, section.Epoch)
		if section.Epoch > 1 {
			d.fleet.simulator.start(func(p *process) { d.seal(p, account, section.Epoch) })
		}
		return nil
	}
}

// seal sends seals to the zone's daemons until the old grants are accounted for.
func (d *daemon) seal(p *process, account contractor.Account, epoch contractor.Epoch) {
	p.sleep(p.jitter(2 * storeLatency))
	var registered []reserver.DaemonID
	for _, other := range d.fleet.zones[d.zone] {
		registered = append(registered, other.id)
	}
	gone := func(h reserver.DaemonID) bool {
		return d.fleet.find(d.zone, h).dead && d.fleet.elapsed() > d.fleet.scenario.deathAt+vmListDelay
	}
	for {
		p.sleep(2 * localLatency)
		for _, other := range d.fleet.zones[d.zone] {
			if !other.dead {
				handovers := other.keeper.StepDown(p.now, account, epoch)
				report := allocator.Report{Entry: other.entry.Seal(p.now, account, epoch), Handovers: handovers}
				d.keeper.Report(account, epoch, other.id, report)
			}
		}
		if d.keeper.FinishSeal(p.now, account, epoch, registered, gone).State != allocator.SealWaiting {
			break
		}
		p.sleep(2 * retryBackoff)
	}
	d.findWitness(p, account)
	_ = d.flush(p, account)
}

// tick does the periodic work.
func (d *daemon) tick() {
	if d.dead {
		return
	}
	for _, account := range d.keeper.Due(d.fleet.now) {
		if d.fleet.now.After(d.storeBackoffUntil) {
			d.fleet.simulator.start(func(p *process) { _ = d.flush(p, account) })
		}
	}
	for account, counts := range d.entry.CountsByAccount() {
		if counts.Unacknowledged > 0 {
			d.reportSettlements(account)
		}
		if u, peer, ok := d.keeper.WitnessChanges(account); ok {
			d.fleet.find(d.zone, peer).entry.Witness(d.id, u)
		}
	}
}

// reportSettlements sends the keeper settlements that it has not received.
func (d *daemon) reportSettlements(account contractor.Account) {
	keeper := d.fleet.keeperOf(d.zone, account)
	now := d.fleet.now
	records := d.entry.TakeUnreported(now, now.Add(-30*time.Second), account, maxBatch)
	if len(records) == 0 {
		return
	}
	d.fleet.after(localLatency, func() {
		if _, ok := keeper.keeper.Keeps(account); !ok || keeper.dead {
			d.entry.MarkUnreported(account, records)
			return
		}
		response := keeper.keeper.Settle(d.fleet.now, account, records)
		if response.NotKeeper || !d.entry.AcknowledgeReleases(account, response.Epoch, response.Done) {
			d.entry.MarkUnreported(account, records)
		}
	})
}

func (f *fleet) settle(_ *process, r *request) {
	d := f.zones[r.zone][r.daemon]
	d.entry.Settle(f.now, d.reservations[r.number], r.used)
	delete(d.reservations, r.number)
	d.reportSettlements(accountName(r.account))
}

func requestKey(number int) contractor.RequestKey {
	var key contractor.RequestKey
	binary.BigEndian.PutUint64(key[:], uint64(number)+1)
	return key
}

func budgetID(r *request) contractor.BudgetID {
	return contractor.BudgetID{Account: accountName(r.account), Name: budgetName(r.budget)}
}
