package assembler

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/orderer"
)

// engineOrders sends the orders of package orderer over HTTP.
type engineOrders struct {
	dispatcher *dispatcher.Dispatcher
}

// Execute sends one order and tells a refused fencing number from other failures.
func (e engineOrders) Execute(ctx context.Context, u contractor.Upstream, order orderer.Order) error {
	err := e.dispatcher.SendOrder(ctx, u, dispatcher.Order{
		Action: action(order.Action),
		Target: target(order),
		Fence:  uint64(order.Fence),
	})
	var failure *dispatcher.Failure
	if errors.As(err, &failure) && failure.Status == http.StatusConflict {
		return errors.Wrapf(orderer.ErrFenced, "order to %s", u.Name)
	}
	return err
}

func action(a orderer.Action) dispatcher.Action {
	switch a {
	case orderer.Unload:
		return dispatcher.UnloadModel
	case orderer.ChangeRole:
		return dispatcher.ChangeRole
	}
	return dispatcher.LoadModel
}

func target(order orderer.Order) string {
	if order.Action == orderer.ChangeRole {
		return order.Role
	}
	return order.Model
}
