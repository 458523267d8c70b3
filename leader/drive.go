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

// EngineClient sends orders to engines and reads their state in the engines' protocol.
type EngineClient interface {
	// State requests the state of an engine, including whether it has executed order o.
	State(ctx context.Context, r target.Record, o state.Order) (engine.State, error)
	// Send sends an order to an engine. seen is the engine state on which the decision to send
	// rests. authority reports whether this leader may still send orders. For the errors see
	// engine.SendOrder.
	Send(ctx context.Context, r target.Record, o engine.Order, seen *engine.State, authority engine.Authority) error
	// ResumesOrders reports whether a leader may send orders that an earlier leader opened.
	ResumesOrders() bool
}

// resendInterval is the time after which an order without effect is sent again.
const resendInterval = 1 * time.Second

// advanceOrders performs the next step of each open order.
func (co *Coordinator) advanceOrders(ctx context.Context) {
	open, _ := co.cfg.Machine.Orders()
	if len(open) == 0 {
		return
	}
	records := co.recordsByTarget()
	for _, order := range open {
		r, known := records[order.Engine]
		co.advanceOrder(ctx, order, r, known)
	}
}

func (co *Coordinator) recordsByTarget() map[ident.TargetID]target.Record {
	byID := map[ident.TargetID]target.Record{}
	for _, r := range co.cfg.Targets() {
		byID[r.Target] = r
	}
	return byID
}

func (co *Coordinator) advanceOrder(ctx context.Context, order state.Order, r target.Record, known bool) {
	seen := co.observe(ctx, order, r, known)
	step := NextStep(order, seen)
	co.recordStep(order.ID, step)
	switch step := step.(type) {
	case Wait:
	case Settle:
		co.mu.Lock()
		delete(co.sentAt, order.ID)
		co.settledAt[order.Engine] = clock.Now()
		co.mu.Unlock()
		co.cfg.Log.WithFields(logrus.Fields{
			"event": "order_settled", "order": order.ID, "engine": order.Engine, "outcome": step.Outcome, "reason": step.Reason,
		}).Info("settling an order")
		co.propose(ctx, state.Command{Settle: &state.SettleOrder{
			ID: order.ID, Engine: order.Engine, Outcome: step.Outcome, Reason: step.Reason,
		}})
	case Send:
		co.sendOrder(ctx, order, r, seen.State)
	}
}

func (co *Coordinator) recordStep(id ident.OrderID, step Step) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if w, ok := step.(Wait); ok {
		co.waitReasons[id] = w.Reason
		return
	}
	delete(co.waitReasons, id)
}

func (co *Coordinator) observe(ctx context.Context, order state.Order, r target.Record, known bool) Observation {
	now := clock.Now()
	co.mu.Lock()
	inForce, _ := co.leases.InForce(now, state.Version(order.Fence))
	_, mine := co.sentAt[order.ID]
	seen := Observation{
		Foreign: !mine && !co.cfg.Engines.ResumesOrders(),
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
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if s, err := co.cfg.Engines.State(ctx, r, order); err == nil {
		seen.State = &s
		seen.Lost = s.Incarnation > order.Incarnation
	}
	return seen
}

func (co *Coordinator) sendOrder(ctx context.Context, order state.Order, r target.Record, seen *engine.State) {
	now := clock.Now()
	co.mu.Lock()
	last := co.sentAt[order.ID]
	allowed := ordersAllowed(now, co.leadingSince, co.cfg.Timing.Lease, co.cfg.Pause) && now.Sub(last) >= resendInterval
	if allowed {
		co.sentAt[order.ID] = now
	}
	co.mu.Unlock()
	if !allowed {
		return
	}
	err := co.cfg.Engines.Send(ctx, r, engine.Order{ID: order.ID, Fence: order.Fence, Spec: order.Spec}, seen, co.cfg.Node.Leads)
	co.cfg.Log.WithFields(logrus.Fields{
		"event": "order_sent", "order": order.ID, "engine": order.Engine, "fence": order.Fence, "cause": err,
	}).Info("attempted to send an order; it is sent again until it has an effect or fails")
	if fault.Is(err, fault.FenceRefused) {
		co.mu.Lock()
		co.refused[order.ID] = true
		co.mu.Unlock()
	}
}
