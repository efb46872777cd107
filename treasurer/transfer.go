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

// fetchTransfer asks the other zones, nearest first, until they have sent
// enough. It reports whether every zone that may hold a part has answered.
func (t *Treasurer) fetchTransfer(ctx context.Context, ask allocator.Ask, demand contractor.Tokens) bool {
	id := contractor.BudgetID{Account: ask.Account, Name: ask.Record.Budget}
	leave, err := t.transfers.enter(ctx, id)
	if err != nil {
		return false
	}
	defer leave()
	missing := ask.Least - t.keeper.Free(id)
	if missing <= 0 {
		return true
	}
	wanted := max(ask.Record.Amount, demand)
	holders := t.keeper.Zones(ask.Account)
	known := true
	for _, zone := range t.config.Members.Zones() {
		i := slices.Index(holders, zone)
		if zone == t.zone || i < 0 {
			continue
		}
		holders = slices.Delete(holders, i, i+1)
		got, ok := t.askZone(ctx, zone, id, wanted, missing)
		known = known && ok
		missing -= got
		if missing <= 0 {
			return true
		}
	}
	known = known && len(holders) == 0
	if known {
		t.keeper.MarkDry(t.now(), id, ask.Least)
	}
	return known
}

// askZone asks the keeper of one zone for a transfer.
func (t *Treasurer) askZone(ctx context.Context, zone contractor.Zone, id contractor.BudgetID, wanted, least contractor.Tokens) (contractor.Tokens, bool) {
	peer, ok := t.config.Members.Keeper(zone, id.Account)
	if !ok {
		return 0, false
	}
	transferID := biller.TransferID(uuid.New())
	epoch, ok := t.keeper.AskTransfer(t.now(), id.Account, transferID)
	if !ok {
		return 0, false
	}
	transfer := biller.Transfer{ID: transferID, Budget: id.Name, To: t.zone, ToEpoch: epoch, Amount: wanted}
	request := &TransferRequest{Account: id.Account, Transfer: transfer, MinAmount: least}
	response, err := call[TransferRequest, TransferResponse](ctx, t, peer, MethodTransfer, request)
	if err != nil {
		t.config.Recorder.Count("budget.transfer_failed", 1)
		return 0, false
	}
	if response.Amount <= 0 {
		return 0, response.HoldingsKnown
	}
	transfer.From, transfer.Amount, transfer.Epoch = zone, response.Amount, response.Epoch
	if !t.keeper.TransferIn(t.now(), id.Account, transfer) {
		return 0, false
	}
	t.config.Recorder.Count("budget.transfers", 1)
	return response.Amount, true
}

// serveTransfer hands a part of the zone's grant over to another zone.
func (t *Treasurer) serveTransfer(ctx context.Context, r *TransferRequest) TransferResponse {
	if _, ok := t.keeper.Keeps(r.Account); !ok {
		t.background(func(ctx context.Context) { _ = t.keepsOrOpens(ctx, r.Account) })
		return TransferResponse{}
	}
	sent := t.keeper.TransferOut(t.now(), r.Account, r.Transfer, r.MinAmount)
	switch sent.Outcome {
	case allocator.Given:
	case allocator.Short:
		return TransferResponse{HoldingsKnown: !sent.Sealing, Reserved: sent.Reserved}
	default:
		return TransferResponse{}
	}
	if sent.Witness {
		known := t.witnessed(ctx, r.Account, func() (reserver.WitnessUpdate, reserver.Holder, bool) {
			return t.keeper.WitnessTransfer(r.Account, r.Transfer.ID)
		})
		if !known {
			t.keeper.CancelTransfer(r.Account, r.Transfer.ID)
			return TransferResponse{}
		}
	}
	return TransferResponse{HoldingsKnown: true, Amount: sent.Amount, Reserved: sent.Reserved, Epoch: sent.Epoch}
}
