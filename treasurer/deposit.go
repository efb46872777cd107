package treasurer

import (
	"context"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/reserver"
)

// depositInterval is the time between two checks for deposits whose origin is gone.
const depositInterval = time.Second

// DepositRequest stores copies of settlements with a daemon of another zone. A
// daemon that is alone in its zone sends it, so that the settlements that are
// not yet in the ledger survive the loss of this daemon.
type DepositRequest struct {
	Account contractor.Account `cbor:"1,keyasint"`
	Records []reserver.Record  `cbor:"2,keyasint,omitempty"`
	// FlushedIDs are reservations whose settlements are in the ledger. Their
	// copies are deleted.
	FlushedIDs []uint64 `cbor:"3,keyasint,omitempty"`
}

// depositor identifies the origin of a deposit: a daemon of another zone and
// one of its accounts.
type depositor struct {
	account contractor.Account
	zone    contractor.Zone
	daemon  reserver.DaemonID
}

// deposits holds the copies for other daemons, by the ID of the reservation.
type deposits struct {
	records map[depositor]map[uint64]reserver.Record
	// forwardedAt is when the copies were last sent to the keeper of their zone.
	forwardedAt map[depositor]time.Time
}

// serveDeposit adds and deletes copies.
func (t *Treasurer) serveDeposit(from messenger.Peer, r *DepositRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := depositor{r.Account, from.Zone, daemonIDOf(from)}
	copies := t.deposits.records[key]
	if copies == nil {
		copies = make(map[uint64]reserver.Record)
		t.deposits.records[key] = copies
	}
	for _, v := range r.Records {
		copies[v.Ref.ID] = v
	}
	for _, id := range r.FlushedIDs {
		delete(copies, id)
	}
	if len(copies) == 0 {
		delete(t.deposits.records, key)
		delete(t.deposits.forwardedAt, key)
	}
}

// depositIfAlone sends copies of settlements with a use above zero to a daemon
// of another zone, in the background. It does nothing while the zone has other
// live daemons.
func (t *Treasurer) depositIfAlone(account contractor.Account, records []reserver.Record) {
	var used []reserver.Record
	for _, v := range records {
		if v.Used > 0 {
			used = append(used, v)
		}
	}
	if len(used) == 0 || len(t.witnessCandidates()) > 0 {
		return
	}
	t.sendDeposit(&DepositRequest{Account: account, Records: used})
}

// dropDeposit tells the daemon that holds the copies that the ledger contains
// the settlements.
func (t *Treasurer) dropDeposit(account contractor.Account, ids []uint64) {
	t.mu.Lock()
	deposited := t.depositTarget.VM != ""
	t.mu.Unlock()
	if deposited {
		t.sendDeposit(&DepositRequest{Account: account, FlushedIDs: ids})
	}
}

func (t *Treasurer) sendDeposit(r *DepositRequest) {
	peer, ok := t.depositPeer()
	if !ok {
		return
	}
	t.background(func(ctx context.Context) {
		if _, err := call[DepositRequest, EmptyResponse](ctx, t, peer, MethodDeposit, r); err != nil {
			t.config.Recorder.Count("budget.deposit_failed", 1)
		}
	})
}

// depositPeer returns a daemon of the nearest other zone. It returns the same
// daemon as long as that one is live.
func (t *Treasurer) depositPeer() (messenger.Peer, bool) {
	var first messenger.Peer
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, zone := range t.config.Members.Zones() {
		if zone == t.zone {
			continue
		}
		for _, p := range t.config.Members.Zone(zone) {
			if p == t.depositTarget {
				return p, true
			}
			if first.VM == "" {
				first = p
			}
		}
	}
	t.depositTarget = first
	return first, first.VM != ""
}

// depositLoop forwards the deposits of daemons that are gone to the keepers of
// their zones.
func (t *Treasurer) depositLoop(ctx context.Context) {
	runPeriodically(ctx, depositInterval, func() {
		for _, key := range t.dueDeposits() {
			t.background(func(ctx context.Context) { t.settleDeposit(ctx, key) })
		}
	})
}

// dueDeposits returns the deposits of daemons that are gone, except those
// forwarded less than ResendAfter ago.
func (t *Treasurer) dueDeposits() []depositor {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []depositor
	for key := range t.deposits.records {
		gone := t.config.Members.Gone(key.daemon.VM, key.daemon.Incarnation)
		if gone && t.now().Sub(t.deposits.forwardedAt[key]) >= t.config.ResendAfter {
			keys = append(keys, key)
		}
	}
	return keys
}

// settleDeposit deletes the copies that are on the bill and sends the others to
// the keeper of their zone.
func (t *Treasurer) settleDeposit(ctx context.Context, key depositor) {
	records := t.depositedRecords(key)
	if len(records) == 0 || !t.dropBilled(ctx, key, records) {
		return
	}
	keeper, ok := t.config.Members.Keeper(key.zone, key.account)
	records = t.depositedRecords(key)
	if !ok || len(records) == 0 {
		return
	}
	request := &SettleRequest{Account: key.account, Records: records}
	response, err := call[SettleRequest, SettleResponse](ctx, t, keeper, MethodSettle, request)
	if err != nil || response.NotKeeper {
		return
	}
	t.config.Recorder.Count("budget.deposits_redeemed", int64(len(records)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deposits.forwardedAt[key] = t.now()
}

func (t *Treasurer) depositedRecords(key depositor) []reserver.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []reserver.Record
	for _, v := range t.deposits.records[key] {
		records = append(records, v)
	}
	return records
}

// dropBilled deletes the copies whose request is confirmed on the bill. It
// reports whether the bill could be read.
func (t *Treasurer) dropBilled(ctx context.Context, key depositor, records []reserver.Record) bool {
	pagesBefore := records[0].PagesBefore
	for _, v := range records {
		pagesBefore = min(pagesBefore, v.PagesBefore)
	}
	pages, err := biller.ReadPages(ctx, t.config.Store, key.account, pagesBefore, 0)
	if err != nil {
		return false
	}
	billed := make(map[contractor.RequestKey]bool)
	for _, p := range pages {
		for _, line := range p.Lines {
			billed[line.Key] = !line.Unconfirmed
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	copies := t.deposits.records[key]
	for _, v := range records {
		if billed[v.Key] {
			delete(copies, v.Ref.ID)
		}
	}
	if len(copies) == 0 {
		delete(t.deposits.records, key)
		delete(t.deposits.forwardedAt, key)
	}
	return true
}
