package leader

import (
	"time"

	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// drainBound is the longest wait for an engine's requests to end. After it the
// order is given up; no request is cut.
const drainBound = 10 * time.Minute

// Observation is what the leader sees of the engine of an open order.
type Observation struct {
	InForce bool          // no instance sends the engine new work
	Busy    bool          // an instance still has requests there
	State   *engine.State // nil if the engine did not answer
	Lost    bool          // the engine left, or restarted as another incarnation
	Refused bool          // the engine refused the order's fencing number
	Foreign bool          // another leader opened the order, and this one must not send it
	Age     time.Duration // since the order was opened, by the replicated clock
}

// Step is what the leader does next about an order.
type Step interface{ step() }

// Wait does nothing for now.
type Wait struct{ Reason string }

// Send sends the order, under the same id and fencing number each time.
type Send struct{}

// Settle ends the order.
type Settle struct {
	Outcome state.OrderOutcome
	Reason  string
}

func (Wait) step()   {}
func (Send) step()   {}
func (Settle) step() {}

// NextStep decides about an open order. It is the same for the leader that opened
// it and for one that found it open.
func NextStep(o state.Order, seen Observation) Step {
	switch {
	case seen.Refused:
		return Settle{Outcome: state.OrderFailed, Reason: "the engine knows a later order"}
	case seen.Lost:
		return Settle{Outcome: state.OrderFailed, Reason: "the engine left or restarted"}
	case seen.State == nil:
		return Wait{Reason: "the engine does not answer"}
	case seen.State.LastOrder == o.ID:
		return Settle{Outcome: state.OrderDone}
	case seen.State.CurrentOrder == o.ID:
		return Wait{Reason: "the engine carries out the order"}
	case seen.Foreign:
		return Settle{Outcome: state.OrderFailed, Reason: "another leader opened the order"}
	case !seen.InForce:
		return Wait{Reason: "instances may still send the engine work"}
	case seen.Busy || seen.State.Running > 0:
		return waitForDrain(seen)
	default:
		return Send{}
	}
}

func waitForDrain(seen Observation) Step {
	if seen.Age > drainBound {
		return Settle{Outcome: state.OrderFailed, Reason: "requests did not end in time"}
	}
	return Wait{Reason: "requests are in progress at the engine"}
}

// orderPause is how long a new leader waits before its first order: an order of
// the leader before it may be on its way for the lease and the bound of a send. Some engines want a least time
// between the orders of two senders besides.
func orderPause(lease, least time.Duration) time.Duration {
	return lease + engine.OrderSendTimeout + least
}

// ordersAllowed reports whether a leader of this age may order.
func ordersAllowed(now, began clock.Time, lease, least time.Duration) bool {
	return now.Sub(began) >= orderPause(lease, least)
}
