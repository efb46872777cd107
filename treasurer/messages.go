package treasurer

import (
	"context"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/refuser"
	"laburnumline/reserver"
)

// Methods of the messages between treasurers.
const (
	MethodReserve messenger.Method = 100 + iota
	MethodSettle
	MethodFlushed
	MethodSeal
	MethodWitness
	MethodTransfer
	MethodChangeWitness
	MethodDeposit
)

// ReserveRequest requests a reservation from a keeper.
type ReserveRequest struct {
	Account   contractor.Account `cbor:"1,keyasint"`
	Record    reserver.Record    `cbor:"2,keyasint"`
	MinAmount contractor.Tokens  `cbor:"3,keyasint"`
}

// ReserveResponse is the response to a ReserveRequest. Outcome is Approved,
// NotKeeper, Duplicate or Insufficient. Only Insufficient has a Reason.
type ReserveResponse struct {
	Outcome     allocator.Outcome   `cbor:"1,keyasint"`
	Amount      contractor.Tokens   `cbor:"2,keyasint,omitempty"`
	Epoch       contractor.Epoch    `cbor:"3,keyasint,omitempty"`
	PagesBefore uint64              `cbor:"4,keyasint,omitempty"`
	Revision    contractor.Revision `cbor:"5,keyasint,omitempty"`
	Reason      refuser.Reason      `cbor:"6,keyasint,omitempty"`
	RetryAfter  time.Duration       `cbor:"7,keyasint,omitempty"`
	Detail      string              `cbor:"8,keyasint,omitempty"`
}

// SettleRequest reports settlements to a keeper.
type SettleRequest struct {
	Account contractor.Account `cbor:"1,keyasint"`
	Records []reserver.Record  `cbor:"2,keyasint"`
}

// SettleResponse is the response to a SettleRequest. ReleasedIDs are settlements
// without use: they need no bill line, and the entry may forget them.
type SettleResponse struct {
	NotKeeper   bool             `cbor:"1,keyasint,omitempty"`
	Epoch       contractor.Epoch `cbor:"2,keyasint,omitempty"`
	ReleasedIDs []uint64         `cbor:"3,keyasint,omitempty"`
}

// FlushedNotification lists settlements of an entry that the ledger contains.
type FlushedNotification struct {
	Account contractor.Account `cbor:"1,keyasint"`
	IDs     []uint64           `cbor:"2,keyasint"`
}

// SealRequest requests what a daemon of the zone knows of earlier epochs.
type SealRequest struct {
	Account contractor.Account `cbor:"1,keyasint"`
	Epoch   contractor.Epoch   `cbor:"2,keyasint"`
}

// WitnessResponse is the response to a reserver.WitnessUpdate.
type WitnessResponse struct {
	Outcome reserver.WitnessOutcome `cbor:"1,keyasint"`
}

// TransferRequest requests a part of the grant of another zone from its keeper.
type TransferRequest struct {
	Account   contractor.Account `cbor:"1,keyasint"`
	Transfer  biller.Transfer    `cbor:"2,keyasint"`
	MinAmount contractor.Tokens  `cbor:"3,keyasint"`
}

// TransferResponse is the response to a TransferRequest. HoldingsKnown is false
// when the zone cannot report how much it holds.
type TransferResponse struct {
	HoldingsKnown bool              `cbor:"1,keyasint,omitempty"`
	Amount        contractor.Tokens `cbor:"2,keyasint,omitempty"`
	Reserved      contractor.Tokens `cbor:"3,keyasint,omitempty"`
	Epoch         contractor.Epoch  `cbor:"4,keyasint,omitempty"`
}

// ChangeWitnessRequest asks a keeper to choose a witness other than the sender.
type ChangeWitnessRequest struct {
	Account contractor.Account `cbor:"1,keyasint"`
}

// EmptyResponse is a response without content.
type EmptyResponse struct{}

func (t *Treasurer) registerHandlers(m *messenger.Mux) {
	messenger.Handle(m, MethodReserve, func(ctx context.Context, _ messenger.Peer, r *ReserveRequest) (*ReserveResponse, error) {
		response := t.serveReserve(ctx, r)
		return &response, nil
	})
	messenger.Handle(m, MethodSettle, func(ctx context.Context, _ messenger.Peer, r *SettleRequest) (*SettleResponse, error) {
		response := t.serveSettle(ctx, r)
		return &response, nil
	})
	messenger.Handle(m, MethodFlushed, func(_ context.Context, _ messenger.Peer, n *FlushedNotification) (*EmptyResponse, error) {
		t.entry.Acknowledge(n.Account, n.IDs)
		return &EmptyResponse{}, nil
	})
	messenger.Handle(m, MethodSeal, func(_ context.Context, _ messenger.Peer, r *SealRequest) (*allocator.Report, error) {
		report := t.serveSeal(r)
		return &report, nil
	})
	messenger.Handle(m, MethodWitness, func(_ context.Context, from messenger.Peer, u *reserver.WitnessUpdate) (*WitnessResponse, error) {
		return &WitnessResponse{Outcome: t.entry.Witness(daemonIDOf(from), *u)}, nil
	})
	messenger.Handle(m, MethodTransfer, func(ctx context.Context, _ messenger.Peer, r *TransferRequest) (*TransferResponse, error) {
		response := t.serveTransfer(ctx, r)
		return &response, nil
	})
	messenger.Handle(m, MethodDeposit, func(_ context.Context, from messenger.Peer, r *DepositRequest) (*EmptyResponse, error) {
		t.serveDeposit(from, r)
		return &EmptyResponse{}, nil
	})
	messenger.Handle(m, MethodChangeWitness, func(ctx context.Context, from messenger.Peer, r *ChangeWitnessRequest) (*EmptyResponse, error) {
		return &EmptyResponse{}, t.changeWitness(ctx, r.Account, daemonIDOf(from))
	})
}

func daemonIDOf(p messenger.Peer) reserver.DaemonID {
	return reserver.DaemonID{VM: p.VM, Incarnation: p.Incarnation}
}

// call sends one request with the call timeout.
func call[Req, Resp any](ctx context.Context, t *Treasurer, to messenger.Peer, method messenger.Method, request *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.CallTimeout)
	defer cancel()
	return messenger.Call[Req, Resp](ctx, t.config.Caller, to, method, request)
}
