package engine

import (
	"context"

	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// OrderClient sends orders to engines in the protocol of this package.
type OrderClient struct{ Client *Client }

// State requests the state of an engine.
func (e OrderClient) State(ctx context.Context, r target.Record, _ state.Order) (State, error) {
	return e.Client.State(ctx, r.Address)
}

// Send sends an order to an engine. See SendOrder.
func (e OrderClient) Send(ctx context.Context, r target.Record, o Order, _ *State, authority Authority) error {
	return SendOrder(ctx, r.Address, o, authority)
}

// ResumesOrders reports that another leader may continue an order, because engines recognize it by its
// id.
func (e OrderClient) ResumesOrders() bool { return true }
