package leader

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

func renew(l *Leases, at time.Duration, instance string, v state.Version) {
	l.Renew(start.Add(at), &peer.Lease{Instance: ident.InstanceID(instance), Boot: "b", Version: v})
}

// TestInForce checks that a view counts as in force only when no instance can serve under an older
// one.
func TestInForce(t *testing.T) {
	l := NewLeases()
	l.Begin(start, false)
	if ok, _ := l.InForce(start.Add(LeaseDuration-1), 5); ok {
		t.Error("a new leader reported a view as in force before the old leases can have expired")
	}
	renew(l, LeaseDuration, "i1", 4)
	renew(l, LeaseDuration, "i2", 5)
	ok, waiting := l.InForce(start.Add(LeaseDuration), 5)
	if ok || len(waiting) != 1 || waiting[0] != "i1" {
		t.Errorf("in force %v, waiting for %v", ok, waiting)
	}
	if ok, _ := l.InForce(start.Add(2*LeaseDuration-1), 5); ok {
		t.Error("in force while i1 holds a lease on an older view")
	}
	if ok, _ := l.InForce(start.Add(2*LeaseDuration), 5); !ok {
		t.Error("not in force although every older lease has expired")
	}
	renew(l, 2*LeaseDuration, "i1", 4)
	renew(l, 2*LeaseDuration, "i1", 5)
	if ok, _ := l.InForce(start.Add(2*LeaseDuration), 5); !ok {
		t.Error("not in force although i1 confirmed the view")
	}
}

// TestAlive checks that runs count as alive or dead by their renewals, and that a new leader does
// not decide too early.
func TestAlive(t *testing.T) {
	l := NewLeases()
	l.Begin(start, false)
	if _, known := l.LiveBoot(start.Add(InstanceTimeout), "i1"); known {
		t.Error("a new leader reports an instance as dead before it could have renewed")
	}
	if boot, known := l.LiveBoot(start.Add(InstanceTimeout+1), "i1"); !known || boot != "" {
		t.Error("an instance without renewals is not reported as dead")
	}
	renew(l, InstanceTimeout, "i1", 1)
	if boot, known := l.LiveBoot(start.Add(InstanceTimeout+1), "i1"); !known || boot != "b" {
		t.Error("a live run is not reported as alive")
	}
}

// TestNextStep checks the next step of an order for each state that its leader may observe.
func TestNextStep(t *testing.T) {
	order := state.Order{ID: "o1", Engine: "e1", Incarnation: 3}
	idle := &engine.State{Incarnation: 3}
	for name, test := range map[string]struct {
		seen Observation
		want string
	}{
		"no reply":                 {Observation{InForce: true}, "wait"},
		"may still get requests":   {Observation{State: idle}, "wait"},
		"an instance has requests": {Observation{State: idle, InForce: true, Busy: true}, "wait"},
		"streams in progress":      {Observation{State: &engine.State{Running: 1}, InForce: true}, "wait"},
		"drained":                  {Observation{State: idle, InForce: true}, "send"},
		"being executed":           {Observation{State: &engine.State{CurrentOrder: "o1"}, InForce: true}, "wait"},
		"executed":                 {Observation{State: &engine.State{LastOrder: "o1"}}, "settle done"},
		"another order before":     {Observation{State: &engine.State{LastOrder: "o0"}, InForce: true}, "send"},
		"restarted":                {Observation{State: idle, InForce: true, Lost: true}, "settle failed"},
		"opened by another leader": {Observation{State: idle, InForce: true, Foreign: true}, "settle failed"},
		"executed for another":     {Observation{State: &engine.State{LastOrder: "o1"}, InForce: true, Foreign: true}, "settle done"},
		"in progress for another":  {Observation{State: &engine.State{CurrentOrder: "o1"}, InForce: true, Foreign: true}, "wait"},
		"refused":                  {Observation{State: idle, InForce: true, Refused: true}, "settle failed"},
		"never drained":            {Observation{State: &engine.State{Running: 1}, InForce: true, Age: drainTimeout + 1}, "settle failed"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			switch step := NextStep(order, test.seen).(type) {
			case Wait:
				got = "wait"
			case Send:
				got = "send"
			case Settle:
				got = "settle " + string(step.Outcome)
			}
			if got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

func TestNewLeaderWaitsWithOrders(t *testing.T) {
	lease := 400 * time.Millisecond
	if ordersAllowed(start.Add(lease+engine.OrderSendTimeout-1), start, lease, 0) {
		t.Error("a new leader sends orders while an order of the previous one may be in transit")
	}
	if !ordersAllowed(start.Add(lease+engine.OrderSendTimeout), start, lease, 0) {
		t.Error("a new leader never sends orders")
	}
	const least = 3 * time.Second // that engines require between the orders of two leaders
	if ordersAllowed(start.Add(lease+engine.OrderSendTimeout+least-1), start, lease, least) {
		t.Error("a new leader sends orders too soon after the last possible order of its predecessor")
	}
}
