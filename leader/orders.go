package leader

import (
	"time"

	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
)

// drainTimeout is the longest wait for the requests at an engine to end. After it the order fails;
// no request is cut off.
const drainTimeout = 10 * time.Minute

// Observation is the state on which the next step of an open order depends.
type Observation struct {
	InForce bool          // no instance sends the engine new requests
	Busy    bool          // an instance still has requests in progress there
	State   *engine.State // nil if the engine did not reply
	Lost    bool          // the engine left or restarted as another incarnation
	Refused bool          // the engine refused the order's fencing token
	Foreign bool          // an earlier leader opened the order, and this one must not send it
	Age     time.Duration // time since the order was opened, from its replicated timestamp
}

// Step is the leader's next action on an order: Wait, Send or Settle.
type Step interface{ step() }

// Wait leaves the order open without an action.
type Wait struct{ Reason string }

// Send sends the order, with the same ID and fencing token each time.
type Send struct{}

// Settle closes the order with an outcome.
type Settle struct {
	Outcome state.OrderOutcome
	Reason  string
}

func (Wait) step()   {}
func (Send) step()   {}
func (Settle) step() {}

// NextStep returns the next step of an open order. The rules are the same for the leader that
// opened the order and for a later one; only Observation.Foreign differs.
func NextStep(o state.Order, seen Observation) Step {
	switch {
	case seen.Refused:
		return Settle{Outcome: state.OrderFailed, Reason: "the engine has accepted a later order"}
	case seen.Lost:
		return Settle{Outcome: state.OrderFailed, Reason: "the engine left or restarted"}
	case seen.State == nil:
		return Wait{Reason: "the engine does not reply"}
	case seen.State.LastOrder == o.ID:
		return Settle{Outcome: state.OrderDone}
	case seen.State.CurrentOrder == o.ID:
		return Wait{Reason: "the engine is executing the order"}
	case seen.Foreign:
		return Settle{Outcome: state.OrderFailed, Reason: "an earlier leader opened the order"}
	case !seen.InForce:
		return Wait{Reason: "instances may still send requests to the engine"}
	case seen.Busy || seen.State.Running > 0:
		return waitForDrain(seen)
	default:
		return Send{}
	}
}

func waitForDrain(seen Observation) Step {
	if seen.Age > drainTimeout {
		return Settle{Outcome: state.OrderFailed, Reason: "requests at the engine did not end within the drain timeout"}
	}
	return Wait{Reason: "requests are in progress at the engine"}
}

// newLeaderPause returns how long a new leader waits before its first order. An order of the
// previous leader may be in transit for the duration of the lease plus the send timeout. Some
// engines require an extra time between the orders of two senders on top of that.
func newLeaderPause(lease, extra time.Duration) time.Duration {
	return lease + engine.OrderSendTimeout + extra
}

// ordersAllowed reports whether a leader that has led since began may send orders.
func ordersAllowed(now, began clock.Time, lease, extra time.Duration) bool {
	return now.Sub(began) >= newLeaderPause(lease, extra)
}
