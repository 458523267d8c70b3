package engine

import (
	"context"

	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// OrderClient carries orders to engines that speak the project's own protocol.
type OrderClient struct{ Client *Client }

// State asks an engine for its state.
func (e OrderClient) State(ctx context.Context, r target.Record, _ state.Order) (State, error) {
	return e.Client.State(ctx, r.Address)
}

// Send gives an engine an order. See SendOrder.
func (e OrderClient) Send(ctx context.Context, r target.Record, o Order, _ *State, may Authority) error {
	return SendOrder(ctx, r.Address, o, may)
}

// Resumes reports that an order may be sent on by another leader: engines know it by its id.
func (e OrderClient) Resumes() bool { return true }
