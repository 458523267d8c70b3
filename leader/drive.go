package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// EngineClient speaks to engines in their protocol.
type EngineClient interface {
	// State asks an engine for its state, and whether it has carried out an order.
	State(ctx context.Context, r target.Record, o state.Order) (engine.State, error)
	// Send gives an engine an order as of the state that it was seen in. For the errors see engine.SendOrder.
	Send(ctx context.Context, r target.Record, o engine.Order, seen *engine.State, may engine.Authority) error
	// Resumes reports whether a leader may send the orders that another one opened.
	Resumes() bool
}

// tellAgain is the time after which an order that shows no effect is sent again.
const tellAgain = 1 * time.Second

// driveOrders takes each open order one step further.
func (co *Coordinator) driveOrders(ctx context.Context) {
	open, _ := co.cfg.Machine.Orders()
	if len(open) == 0 {
		return
	}
	records := co.records()
	for _, order := range open {
		r, known := records[order.Engine]
		co.driveOrder(ctx, order, r, known)
	}
}

func (co *Coordinator) records() map[ident.TargetID]target.Record {
	byID := map[ident.TargetID]target.Record{}
	for _, r := range co.cfg.Targets() {
		byID[r.Target] = r
	}
	return byID
}

func (co *Coordinator) driveOrder(ctx context.Context, order state.Order, r target.Record, known bool) {
	seen := co.observe(ctx, order, r, known)
	step := NextStep(order, seen)
	co.note(order.ID, step)
	switch step := step.(type) {
	case Wait:
	case Settle:
		co.mu.Lock()
		delete(co.told, order.ID)
		co.mu.Unlock()
		co.cfg.Log.WithFields(logrus.Fields{
			"event": "order_settled", "order": order.ID, "engine": order.Engine, "outcome": step.Outcome, "reason": step.Reason,
		}).Info("order settled")
		co.propose(ctx, state.Command{Settle: &state.SettleOrder{
			ID: order.ID, Engine: order.Engine, Outcome: step.Outcome, Reason: step.Reason,
		}})
	case Send:
		co.tell(ctx, order, r, seen.State)
	}
}

func (co *Coordinator) note(id ident.OrderID, step Step) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if w, ok := step.(Wait); ok {
		co.waiting[id] = w.Reason
		return
	}
	delete(co.waiting, id)
}

func (co *Coordinator) observe(ctx context.Context, order state.Order, r target.Record, known bool) Observation {
	now := clock.Now()
	co.mu.Lock()
	inForce, _ := co.leases.InForce(now, state.Version(order.Fence))
	_, mine := co.told[order.ID]
	seen := Observation{
		Foreign: !mine && !co.cfg.Engines.Resumes(),
		InForce: inForce, Busy: co.leases.Busy(now, order.Engine), Refused: co.refused[order.ID],
		Age: time.Duration(state.UnixMillisOf(time.Now())-order.Opened) * time.Millisecond,
	}
	co.mu.Unlock()
	if !known {
		return seen
	}
	if r.Incarnation > order.Incarnation || r.Leaving {
		seen.Lost = true
		return seen
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if s, err := co.cfg.Engines.State(ctx, r, order); err == nil {
		seen.State = &s
		seen.Lost = s.Incarnation > order.Incarnation
	}
	return seen
}

func (co *Coordinator) tell(ctx context.Context, order state.Order, r target.Record, seen *engine.State) {
	now := clock.Now()
	co.mu.Lock()
	last := co.told[order.ID]
	allowed := ordersAllowed(now, co.began, co.cfg.Timing.Lease, co.cfg.Pause) && now.Sub(last) >= tellAgain
	if allowed {
		co.told[order.ID] = now
	}
	co.mu.Unlock()
	if !allowed {
		return
	}
	err := co.cfg.Engines.Send(ctx, r, engine.Order{ID: order.ID, Fence: order.Fence, Wish: order.Spec}, seen, co.cfg.Node.Leads)
	co.cfg.Log.WithFields(logrus.Fields{
		"event": "order_sent", "order": order.ID, "engine": order.Engine, "fence": order.Fence, "cause": err,
	}).Info("order sent")
	if fault.Is(err, fault.FenceRefused) {
		co.mu.Lock()
		co.refused[order.ID] = true
		co.mu.Unlock()
	}
}
