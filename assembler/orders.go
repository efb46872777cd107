package assembler

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/orderer"
)

// orderSender sends the orders of package orderer over HTTP.
type orderSender struct {
	dispatcher *dispatcher.Dispatcher
}

// Execute sends one order and tells a refused fencing number from other failures.
func (s orderSender) Execute(ctx context.Context, u contractor.Upstream, order orderer.Order) error {
	err := s.dispatcher.SendOrder(ctx, u, dispatcher.Order{
		Action: dispatcherAction(order.Action),
		Target: orderTarget(order),
		Fence:  uint64(order.Fence),
	})
	var failure *dispatcher.Failure
	if errors.As(err, &failure) && failure.Status == http.StatusConflict {
		return errors.Wrapf(orderer.ErrFenced, "order to %s", u.Name)
	}
	return err
}

func dispatcherAction(a orderer.Action) dispatcher.Action {
	switch a {
	case orderer.Unload:
		return dispatcher.UnloadModel
	case orderer.ChangeRole:
		return dispatcher.ChangeRole
	}
	return dispatcher.LoadModel
}

func orderTarget(order orderer.Order) string {
	if order.Action == orderer.ChangeRole {
		return order.Role
	}
	return order.Model
}
