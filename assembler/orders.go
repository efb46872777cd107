package assembler

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/orderer"
)

// orderSender sends orders of package orderer to engines over HTTP: to load or unload a
// model or to change an engine's role.
type orderSender struct {
	dispatcher *dispatcher.Dispatcher
}

// Execute sends one order. If the engine refuses the order's fencing number, the error
// is orderer.ErrFenced.
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
