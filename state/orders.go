package state

import (
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Order records an order to an engine.
type Order struct {
	ID          ident.OrderID      `msgpack:"id" json:"id"`
	Engine      ident.TargetID     `msgpack:"engine" json:"engine"`
	Incarnation ident.Incarnation  `msgpack:"incarnation" json:"incarnation"`
	Spec        EngineSpec         `msgpack:"wish" json:"wish"`
	Fence       ident.FencingToken `msgpack:"fence" json:"fence"`
	Opened      UnixMillis         `msgpack:"opened" json:"opened"`
	Outcome     OrderOutcome       `msgpack:"outcome,omitempty" json:"outcome,omitempty"`
	Reason      string             `msgpack:"reason,omitempty" json:"reason,omitempty"`
}

// orders holds the orders to all engines. An engine has at most one open order, and
// the fencing tokens of its orders increase.
type orders struct {
	open        map[ident.TargetID]*Order
	lastSettled map[ident.TargetID]*Order // the newest settled order of each engine
}

func newOrders() *orders {
	return &orders{open: map[ident.TargetID]*Order{}, lastSettled: map[ident.TargetID]*Order{}}
}

func (os *orders) openOrder(now UnixMillis, fence ident.FencingToken, o OpenOrder) (Order, error) {
	if open := os.open[o.Engine]; open != nil {
		if open.ID == o.ID {
			return *open, nil
		}
		return *open, fault.New(fault.InProgress, "engine %s already has open order %s", o.Engine, open.ID)
	}
	if last := os.lastSettled[o.Engine]; last != nil && last.ID == o.ID {
		return *last, nil
	}
	order := &Order{
		ID: o.ID, Engine: o.Engine, Incarnation: o.Incarnation, Spec: o.Spec, Fence: fence, Opened: now,
	}
	os.open[o.Engine] = order
	return *order, nil
}

func (os *orders) settle(s SettleOrder) (Order, error) {
	if last := os.lastSettled[s.Engine]; last != nil && last.ID == s.ID {
		return *last, nil
	}
	open := os.open[s.Engine]
	if open == nil || open.ID != s.ID {
		return Order{}, fault.New(fault.NotFound, "engine %s has no open order with ID %s", s.Engine, s.ID)
	}
	open.Outcome = s.Outcome
	open.Reason = s.Reason
	delete(os.open, s.Engine)
	os.lastSettled[s.Engine] = open
	return *open, nil
}
