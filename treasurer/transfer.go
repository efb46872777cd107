package treasurer

import (
	"context"
	"slices"

	"github.com/google/uuid"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// requestTransfers requests transfers from the other zones, nearest first, until
// they cover the request. It reports whether every zone that may hold a part of
// the budget has reported how much it holds, or the request is covered.
func (t *Treasurer) requestTransfers(ctx context.Context, request allocator.Request, demand contractor.Tokens) bool {
	id := contractor.BudgetID{Account: request.Account, Name: request.Record.Budget}
	unlock, err := t.transferLocks.lock(ctx, id)
	if err != nil {
		return false
	}
	defer unlock()
	missing := request.MinAmount - t.keeper.Free(id)
	if missing <= 0 {
		return true
	}
	wanted := max(request.Record.Amount, demand)
	holdingZones := t.keeper.OtherZones(request.Account)
	allKnown := true
	for _, zone := range t.config.Members.Zones() {
		i := slices.Index(holdingZones, zone)
		if zone == t.zone || i < 0 {
			continue
		}
		holdingZones = slices.Delete(holdingZones, i, i+1)
		received, ok := t.requestTransfer(ctx, zone, id, wanted, missing)
		allKnown = allKnown && ok
		missing -= received
		if missing <= 0 {
			return true
		}
	}
	allKnown = allKnown && len(holdingZones) == 0
	if allKnown {
		t.keeper.MarkZonesExhausted(t.now(), id, request.MinAmount)
	}
	return allKnown
}

// requestTransfer requests a transfer from the keeper of one zone. It returns the
// amount received and whether the zone reported how much it holds.
func (t *Treasurer) requestTransfer(ctx context.Context, zone contractor.Zone, id contractor.BudgetID, wanted, minAmount contractor.Tokens) (contractor.Tokens, bool) {
	peer, ok := t.config.Members.Keeper(zone, id.Account)
	if !ok {
		return 0, false
	}
	transferID := biller.TransferID(uuid.New())
	epoch, ok := t.keeper.RequestTransfer(t.now(), id.Account, transferID)
	if !ok {
		return 0, false
	}
	transfer := biller.Transfer{ID: transferID, Budget: id.Name, To: t.zone, ToEpoch: epoch, Amount: wanted}
	request := &TransferRequest{Account: id.Account, Transfer: transfer, MinAmount: minAmount}
	response, err := call[TransferRequest, TransferResponse](ctx, t, peer, MethodTransfer, request)
	if err != nil {
		t.config.Recorder.Count("budget.transfer_failed", 1)
		return 0, false
	}
	if response.Amount <= 0 {
		return 0, response.HoldingsKnown
	}
	transfer.From, transfer.Amount, transfer.Epoch = zone, response.Amount, response.Epoch
	if !t.keeper.CreditTransfer(t.now(), id.Account, transfer) {
		return 0, false
	}
	t.config.Recorder.Count("budget.transfers", 1)
	return response.Amount, true
}

// serveTransfer transfers a part of this zone's grant to another zone.
func (t *Treasurer) serveTransfer(ctx context.Context, r *TransferRequest) TransferResponse {
	if _, ok := t.keeper.Keeps(r.Account); !ok {
		t.background(func(ctx context.Context) { _ = t.ensureKeeper(ctx, r.Account) })
		return TransferResponse{}
	}
	granted := t.keeper.GrantTransfer(t.now(), r.Account, r.Transfer, r.MinAmount)
	switch granted.Outcome {
	case allocator.Approved:
	case allocator.Insufficient:
		return TransferResponse{HoldingsKnown: !granted.Sealing, Reserved: granted.Reserved}
	default:
		return TransferResponse{}
	}
	if granted.NeedsWitness {
		witnessed := t.sendToWitness(ctx, r.Account, func() (reserver.WitnessUpdate, reserver.DaemonID, bool) {
			return t.keeper.WitnessTransfer(r.Account, r.Transfer.ID)
		})
		if !witnessed {
			t.keeper.CancelTransfer(r.Account, r.Transfer.ID)
			return TransferResponse{}
		}
	}
	return TransferResponse{HoldingsKnown: true, Amount: granted.Amount, Reserved: granted.Reserved, Epoch: granted.Epoch}
}
