package allocator_test

import (
	"encoding/binary"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// reserve is the entry's part: it asks the keeper until one can answer.
func (f *fleet) reserve(p *process, r *request) bool {
	d := f.zones[r.zone][r.daemon]
	for d.dead { // the balancer chooses another entry
		r.daemon = (r.daemon + 1) % len(f.zones[r.zone])
		d = f.zones[r.zone][r.daemon]
	}
	deadline := p.now.Add(keeperWait)
	for {
		ask := d.entry.Begin(p.now, reserver.Request{Key: requestKey(r.number), Budget: budgetID(r), Amount: r.worst})
		answer, known := d.askKeeper(p, r, ask)
		if known && answer.Outcome == allocator.Given {
			reservation, err := d.entry.Accept(p.now, ask, reserver.Response{Amount: answer.Amount, Epoch: answer.Epoch, PagesBefore: answer.Since})
			if err == nil && d.entry.BeginDispatch(p.now, reservation) == nil {
				d.open[r.number] = reservation
				return true
			}
		}
		r2 := known && answer.Outcome == allocator.Short
		f.release(r)
		d.entry.Abandon(p.now, ask, !known || answer.Outcome == allocator.Given)
		if r2 || p.now.After(deadline) {
			return false
		}
		p.sleep(retryPause)
	}
}

// askKeeper carries an ask to the keeper of the zone and the answer back.
func (d *daemon) askKeeper(p *process, r *request, ask reserver.Pending) (allocator.Answer, bool) {
	keeper := d.f.keeperOf(d.zone, ask.Request.Budget.Account)
	record := reserver.Record{
		Ref: reserver.Ref{Entry: d.holder, ID: ask.ID}, Key: ask.Request.Key,
		Budget: ask.Request.Budget.Name, Amount: ask.Request.Amount,
	}
	if keeper == d {
		return d.serve(p, r, allocator.Ask{Account: ask.Request.Budget.Account, Record: record, Least: ask.Request.MinAmount}), true
	}
	asked := p.now
	p.sleep(p.jitter(localHop))
	if keeper.dead {
		p.sleep(asked.Add(keeperWait).Sub(p.now))
		return allocator.Answer{}, false
	}
	answer := keeper.serve(p, r, allocator.Ask{Account: ask.Request.Budget.Account, Record: record, Least: ask.Request.MinAmount})
	p.sleep(p.jitter(localHop))
	return answer, !keeper.dead
}

// fetch is what the keeper has tried for one request.
type fetch struct {
	d       *daemon
	ask     allocator.Ask
	until   time.Time
	writes  int
	asked   bool
	last    bool
	waiting time.Time
}

// serve is the keeper's part: it answers when the request is covered or nothing
// is left to try.
func (d *daemon) serve(p *process, r *request, ask allocator.Ask) allocator.Answer {
	f := &fetch{d: d, ask: ask, until: p.now.Add(keeperWait * 3 / 4)}
	id := contractor.BudgetID{Account: ask.Account, Name: ask.Record.Budget}
	waits := contractor.Tokens(0)
	defer func() { d.keeper.Wait(id, -waits) }()
	for {
		if err := d.keeps(p, ask.Account); err != nil {
			return allocator.Answer{Outcome: allocator.Short}
		}
		answer := d.keeper.Reserve(p.now, ask)
		switch answer.Outcome {
		case allocator.Given:
			d.f.hold(r)
			if answer.Witness && !d.witnessed(p, ask) {
				d.keeper.Cancel(p.now, ask.Account, ask.Record.Ref)
				answer.Outcome = allocator.Short
			}
			return answer
		case allocator.NotKeeper, allocator.Withdrawn:
			return answer
		}
		if waits == 0 {
			waits = ask.Record.Amount
			d.keeper.Wait(id, waits)
		}
		if !f.next(p, answer) {
			answer.Outcome = allocator.Short
			return answer
		}
	}
}

// next makes one attempt. It reports false when nothing is left to try.
func (f *fetch) next(p *process, answer allocator.Answer) bool {
	d := f.d
	if p.now.After(f.until) {
		return false
	}
	if f.writes < maxWrites && !answer.Exhausted && p.now.After(d.away) {
		f.writes++
		if d.flush(p, f.ask.Account) == nil {
			return true
		}
	}
	switch {
	case answer.Outcome != allocator.Short:
		return false
	case answer.Sealing:
		f.writes = 0
		p.sleep(retryPause)
		return true
	case !f.asked && !answer.Dry:
		f.asked = true
		d.fetchTransfer(p, f, answer.Demand)
		return true
	}
	if f.waiting.IsZero() {
		f.waiting = p.now.Add(shortWait)
	}
	if answer.Returning && p.now.Before(f.waiting) {
		p.sleep(retryPause)
		f.asked = false
		return true
	}
	if !f.last && !answer.Dry {
		f.last = true
		d.fetchTransfer(p, f, answer.Demand)
		return true
	}
	return false
}

// fetchTransfer asks the other zones until they have sent enough.
func (d *daemon) fetchTransfer(p *process, f *fetch, demand contractor.Tokens) {
	ask := f.ask
	id := contractor.BudgetID{Account: ask.Account, Name: ask.Record.Budget}
	for d.fetches[id] != nil {
		d.fetches[id].wait(p)
		if p.now.After(f.until) {
			return
		}
	}
	gate := &signal{}
	d.fetches[id] = gate
	defer func() { delete(d.fetches, id); gate.fire() }()
	missing := ask.Least - d.keeper.Free(id)
	known := true
	for i := 1; i < len(d.f.zones) && missing > 0; i++ {
		got, ok := d.askZone(p, (d.zone+i)%len(d.f.zones), id, max(ask.Record.Amount, demand), missing)
		missing -= got
		known = known && ok
	}
	if missing > 0 && known {
		d.keeper.MarkDry(p.now, id, ask.Least)
	}
}

func (d *daemon) askZone(p *process, zone int, id contractor.BudgetID, wanted, least contractor.Tokens) (contractor.Tokens, bool) {
	peer := d.f.keeperOf(zone, id.Account)
	transfer := biller.Transfer{Budget: id.Name, To: zoneName(d.zone), Amount: wanted}
	binary.BigEndian.PutUint64(transfer.ID[:], uint64(d.f.operation()))
	epoch, ok := d.keeper.AskTransfer(p.now, id.Account, transfer.ID)
	if !ok {
		return 0, false
	}
	transfer.ToEpoch = epoch
	p.sleep(p.jitter(zoneHop))
	if peer.dead || !d.f.linked(d.zone, zone) {
		p.sleep(callTimeout - zoneHop)
		return 0, false
	}
	sent := peer.keeper.TransferOut(p.now, id.Account, transfer, least)
	if sent.Amount > 0 && sent.Witness && !peer.transferWitnessed(p, id.Account, transfer.ID) {
		peer.keeper.CancelTransfer(id.Account, transfer.ID)
		sent.Amount = 0
	}
	p.sleep(p.jitter(zoneHop))
	if !d.f.linked(d.zone, zone) {
		p.sleep(callTimeout - 2*zoneHop)
		return 0, false
	}
	if sent.Amount == 0 {
		return 0, sent.Outcome == allocator.Short && !sent.Sealing
	}
	transfer.From, transfer.Amount, transfer.Epoch = zoneName(zone), sent.Amount, sent.Epoch
	if !d.keeper.TransferIn(p.now, id.Account, transfer) {
		return 0, false
	}
	return sent.Amount, true
}

func (d *daemon) witnessed(p *process, ask allocator.Ask) bool {
	return d.tell(p, ask.Account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
		return d.keeper.WitnessReservation(ask.Account, ask.Record.Ref)
	})
}

func (d *daemon) transferWitnessed(p *process, account contractor.Account, id biller.TransferID) bool {
	return d.tell(p, account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
		return d.keeper.WitnessTransfer(account, id)
	})
}

// tell makes a change known to the witness, after choosing one if needed.
func (d *daemon) tell(p *process, account contractor.Account, change func() (reserver.WitnessUpdate, reserver.DaemonID, bool)) bool {
	for range 3 {
		u, peer, ok := change()
		if !ok {
			return false
		}
		if peer.VM != "" {
			p.sleep(2 * localHop)
			other := d.f.find(d.zone, peer)
			if !other.dead && other.entry.Witness(d.holder, u) == reserver.WitnessKept {
				return true
			}
			d.keeper.LoseWitness(account, u.Generation)
		}
		d.findWitness(p, account)
	}
	return false
}

func (d *daemon) findWitness(p *process, account contractor.Account) {
	for _, other := range d.f.zones[d.zone] {
		if other == d || other.unseen {
			continue
		}
		u, ok := d.keeper.SetWitness(account, other.holder)
		if !ok {
			return
		}
		p.sleep(2 * localHop)
		if !other.dead && other.entry.Witness(d.holder, u) == reserver.WitnessKept {
			d.keeper.WitnessKept(account, u)
			return
		}
		d.keeper.LoseWitness(account, u.Generation)
	}
}
