package allocator_test

import (
	"encoding/binary"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// reserve is the entry's part: it sends requests to the keeper until one can respond.
func (f *fleet) reserve(p *process, r *request) bool {
	d := f.zones[r.zone][r.daemon]
	for d.dead { // the load balancer chooses another entry
		r.daemon = (r.daemon + 1) % len(f.zones[r.zone])
		d = f.zones[r.zone][r.daemon]
	}
	deadline := p.now.Add(keeperTimeout)
	for {
		pending := d.entry.Begin(p.now, reserver.Request{Key: requestKey(r.number), Budget: budgetID(r), Amount: r.maxCost})
		response, known := d.requestReservation(p, r, pending)
		if known && response.Outcome == allocator.Approved {
			reservation, err := d.entry.Accept(p.now, pending, reserver.Response{Amount: response.Amount, Epoch: response.Epoch, PagesBefore: response.PagesBefore})
			if err == nil && d.entry.BeginDispatch(p.now, reservation) == nil {
				d.reservations[r.number] = reservation
				return true
			}
		}
		insufficient := known && response.Outcome == allocator.Insufficient
		f.release(r)
		d.entry.Abandon(p.now, pending, !known || response.Outcome == allocator.Approved)
		if insufficient || p.now.After(deadline) {
			return false
		}
		p.sleep(retryBackoff)
	}
}

// requestReservation sends a request to the keeper of the zone and returns its
// response.
func (d *daemon) requestReservation(p *process, r *request, pending reserver.Pending) (allocator.Response, bool) {
	keeper := d.fleet.keeperOf(d.zone, pending.Request.Budget.Account)
	record := reserver.Record{
		Ref: reserver.Ref{Entry: d.id, ID: pending.ID}, Key: pending.Request.Key,
		Budget: pending.Request.Budget.Name, Amount: pending.Request.Amount,
	}
	if keeper == d {
		return d.serve(p, r, allocator.Request{Account: pending.Request.Budget.Account, Record: record, MinAmount: pending.Request.MinAmount}), true
	}
	started := p.now
	p.sleep(p.jitter(localLatency))
	if keeper.dead {
		p.sleep(started.Add(keeperTimeout).Sub(p.now))
		return allocator.Response{}, false
	}
	response := keeper.serve(p, r, allocator.Request{Account: pending.Request.Budget.Account, Record: record, MinAmount: pending.Request.MinAmount})
	p.sleep(p.jitter(localLatency))
	return response, !keeper.dead
}

// budgetFetch is the progress of a keeper's attempts to cover one request.
type budgetFetch struct {
	d                 *daemon
	request           allocator.Request
	deadline          time.Time
	writesAwaited     int
	transferTried     bool
	lastTransferTried bool
	releaseDeadline   time.Time
}

// serve is the keeper's part: it responds when the request is covered or no attempt is
// left.
func (d *daemon) serve(p *process, r *request, request allocator.Request) allocator.Response {
	f := &budgetFetch{d: d, request: request, deadline: p.now.Add(keeperTimeout * 3 / 4)}
	id := contractor.BudgetID{Account: request.Account, Name: request.Record.Budget}
	demand := contractor.Tokens(0)
	defer func() { d.keeper.AddDemand(id, -demand) }()
	for {
		if err := d.ensureKeeper(p, request.Account); err != nil {
			return allocator.Response{Outcome: allocator.Insufficient}
		}
		response := d.keeper.Reserve(p.now, request)
		switch response.Outcome {
		case allocator.Approved:
			d.fleet.hold(r)
			if response.NeedsWitness && !d.witnessReservation(p, request) {
				d.keeper.Cancel(p.now, request.Account, request.Record.Ref)
				response.Outcome = allocator.Insufficient
			}
			return response
		case allocator.NotKeeper, allocator.Duplicate:
			return response
		}
		if demand == 0 {
			demand = request.Record.Amount
			d.keeper.AddDemand(id, demand)
		}
		if !f.tryNext(p, response) {
			response.Outcome = allocator.Insufficient
			return response
		}
	}
}

// tryNext makes one attempt. It reports false when none is left.
func (f *budgetFetch) tryNext(p *process, response allocator.Response) bool {
	d := f.d
	if p.now.After(f.deadline) {
		return false
	}
	if f.writesAwaited < maxWritesAwaited && !response.LedgerExhausted && p.now.After(d.storeBackoffUntil) {
		f.writesAwaited++
		if d.flush(p, f.request.Account) == nil {
			return true
		}
	}
	switch {
	case response.Outcome != allocator.Insufficient:
		return false
	case response.Sealing:
		f.writesAwaited = 0
		p.sleep(retryBackoff)
		return true
	case !f.transferTried && !response.ZonesExhausted:
		f.transferTried = true
		d.requestTransfers(p, f, response.Demand)
		return true
	}
	if f.releaseDeadline.IsZero() {
		f.releaseDeadline = p.now.Add(releaseTimeout)
	}
	if response.ReservedSuffices && p.now.Before(f.releaseDeadline) {
		p.sleep(retryBackoff)
		f.transferTried = false
		return true
	}
	if !f.lastTransferTried && !response.ZonesExhausted {
		f.lastTransferTried = true
		d.requestTransfers(p, f, response.Demand)
		return true
	}
	return false
}

// requestTransfers requests transfers from the other zones until the request is
// covered.
func (d *daemon) requestTransfers(p *process, f *budgetFetch, demand contractor.Tokens) {
	request := f.request
	id := contractor.BudgetID{Account: request.Account, Name: request.Record.Budget}
	for d.transferring[id] != nil {
		d.transferring[id].wait(p)
		if p.now.After(f.deadline) {
			return
		}
	}
	finished := &signal{}
	d.transferring[id] = finished
	defer func() { delete(d.transferring, id); finished.fire() }()
	missing := request.MinAmount - d.keeper.Free(id)
	complete := true
	for i := 1; i < len(d.fleet.zones) && missing > 0; i++ {
		got, ok := d.requestTransfer(p, (d.zone+i)%len(d.fleet.zones), id, max(request.Record.Amount, demand), missing)
		missing -= got
		complete = complete && ok
	}
	if missing > 0 && complete {
		d.keeper.MarkZonesExhausted(p.now, id, request.MinAmount)
	}
}

// requestTransfer requests a transfer from one zone. It reports false when the zone
// could not say whether it can provide more.
func (d *daemon) requestTransfer(p *process, zone int, id contractor.BudgetID, wanted, minAmount contractor.Tokens) (contractor.Tokens, bool) {
	peer := d.fleet.keeperOf(zone, id.Account)
	transfer := biller.Transfer{Budget: id.Name, To: zoneName(d.zone), Amount: wanted}
	binary.BigEndian.PutUint64(transfer.ID[:], uint64(d.fleet.operation()))
	epoch, ok := d.keeper.RequestTransfer(p.now, id.Account, transfer.ID)
	if !ok {
		return 0, false
	}
	transfer.ToEpoch = epoch
	p.sleep(p.jitter(zoneLatency))
	if peer.dead || !d.fleet.connected(d.zone, zone) {
		p.sleep(callTimeout - zoneLatency)
		return 0, false
	}
	response := peer.keeper.GrantTransfer(p.now, id.Account, transfer, minAmount)
	if response.Amount > 0 && response.NeedsWitness && !peer.witnessTransfer(p, id.Account, transfer.ID) {
		peer.keeper.CancelTransfer(id.Account, transfer.ID)
		response.Amount = 0
	}
	p.sleep(p.jitter(zoneLatency))
	if !d.fleet.connected(d.zone, zone) {
		p.sleep(callTimeout - 2*zoneLatency)
		return 0, false
	}
	if response.Amount == 0 {
		return 0, response.Outcome == allocator.Insufficient && !response.Sealing
	}
	transfer.From, transfer.Amount, transfer.Epoch = zoneName(zone), response.Amount, response.Epoch
	if !d.keeper.CreditTransfer(p.now, id.Account, transfer) {
		return 0, false
	}
	return response.Amount, true
}

func (d *daemon) witnessReservation(p *process, request allocator.Request) bool {
	return d.updateWitness(p, request.Account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
		return d.keeper.WitnessReservation(request.Account, request.Record.Ref)
	})
}

func (d *daemon) witnessTransfer(p *process, account contractor.Account, id biller.TransferID) bool {
	return d.updateWitness(p, account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
		return d.keeper.WitnessTransfer(account, id)
	})
}

// updateWitness sends a change to the witness, after choosing one if needed.
func (d *daemon) updateWitness(p *process, account contractor.Account, change func() (reserver.WitnessUpdate, reserver.DaemonID, bool)) bool {
	for range 3 {
		u, peer, ok := change()
		if !ok {
			return false
		}
		if peer.VM != "" {
			p.sleep(2 * localLatency)
			other := d.fleet.find(d.zone, peer)
			if !other.dead && other.entry.Witness(d.id, u) == reserver.WitnessKept {
				return true
			}
			d.keeper.RemoveWitness(account, u.Generation)
		}
		d.findWitness(p, account)
	}
	return false
}

func (d *daemon) findWitness(p *process, account contractor.Account) {
	for _, other := range d.fleet.zones[d.zone] {
		if other == d || other.knownDead {
			continue
		}
		u, ok := d.keeper.SetWitness(account, other.id)
		if !ok {
			return
		}
		p.sleep(2 * localLatency)
		if !other.dead && other.entry.Witness(d.id, u) == reserver.WitnessKept {
			d.keeper.ConfirmWitness(account, u)
			return
		}
		d.keeper.RemoveWitness(account, u.Generation)
	}
}
