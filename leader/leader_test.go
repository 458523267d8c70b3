package leader

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

func ask(l *Leases, at time.Duration, instance string, v state.Version) {
	l.Renew(start.Add(at), &peer.Lease{Instance: ident.InstanceID(instance), Boot: "b", Version: v})
}

// TestInForce follows a view until nobody serves by an older one.
func TestInForce(t *testing.T) {
	l := NewLeases()
	l.Begin(start, false)
	if ok, _ := l.InForce(start.Add(LeaseDuration-1), 5); ok {
		t.Error("a new leader called a view in force before the old leases can have lapsed")
	}
	ask(l, LeaseDuration, "i1", 4)
	ask(l, LeaseDuration, "i2", 5)
	ok, waiting := l.InForce(start.Add(LeaseDuration), 5)
	if ok || len(waiting) != 1 || waiting[0] != "i1" {
		t.Errorf("in force %v, waiting for %v", ok, waiting)
	}
	if ok, _ := l.InForce(start.Add(2*LeaseDuration-1), 5); ok {
		t.Error("in force while i1 holds a lease on an older view")
	}
	if ok, _ := l.InForce(start.Add(2*LeaseDuration), 5); !ok {
		t.Error("not in force although every older lease has lapsed")
	}
	ask(l, 2*LeaseDuration, "i1", 4)
	ask(l, 2*LeaseDuration, "i1", 5)
	if ok, _ := l.InForce(start.Add(2*LeaseDuration), 5); !ok {
		t.Error("not in force although i1 confirmed the view")
	}
}

// TestAlive tells living runs from dead ones.
func TestAlive(t *testing.T) {
	l := NewLeases()
	l.Begin(start, false)
	if _, known := l.LiveBoot(start.Add(InstanceTimeout), "i1"); known {
		t.Error("a new leader calls an instance dead before it could have asked")
	}
	if boot, known := l.LiveBoot(start.Add(InstanceTimeout+1), "i1"); !known || boot != "" {
		t.Error("a silent instance is not called dead")
	}
	ask(l, InstanceTimeout, "i1", 1)
	if boot, known := l.LiveBoot(start.Add(InstanceTimeout+1), "i1"); !known || boot != "b" {
		t.Error("a living run is not known")
	}
}

// TestNextStep walks an order through what its leader may see.
func TestNextStep(t *testing.T) {
	order := state.Order{ID: "o1", Engine: "e1", Incarnation: 3}
	idle := &engine.State{Incarnation: 3}
	for name, test := range map[string]struct {
		seen Observation
		want string
	}{
		"not answering":            {Observation{InForce: true}, "wait"},
		"may still get work":       {Observation{State: idle}, "wait"},
		"an instance has requests": {Observation{State: idle, InForce: true, Busy: true}, "wait"},
		"streams in progress":      {Observation{State: &engine.State{Running: 1}, InForce: true}, "wait"},
		"drained":                  {Observation{State: idle, InForce: true}, "tell"},
		"being carried out":        {Observation{State: &engine.State{CurrentOrder: "o1"}, InForce: true}, "wait"},
		"carried out":              {Observation{State: &engine.State{LastOrder: "o1"}}, "settle done"},
		"another order before":     {Observation{State: &engine.State{LastOrder: "o0"}, InForce: true}, "tell"},
		"restarted":                {Observation{State: idle, InForce: true, Lost: true}, "settle failed"},
		"of another leader":        {Observation{State: idle, InForce: true, Foreign: true}, "settle failed"},
		"carried out for another":  {Observation{State: &engine.State{LastOrder: "o1"}, InForce: true, Foreign: true}, "settle done"},
		"in progress for another":  {Observation{State: &engine.State{CurrentOrder: "o1"}, InForce: true, Foreign: true}, "wait"},
		"refused":                  {Observation{State: idle, InForce: true, Refused: true}, "settle failed"},
		"never drained":            {Observation{State: &engine.State{Running: 1}, InForce: true, Age: drainBound + 1}, "settle failed"},
	} {
		t.Run(name, func(t *testing.T) {
			got := ""
			switch step := NextStep(order, test.seen).(type) {
			case Wait:
				got = "wait"
			case Send:
				got = "tell"
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
		t.Error("a new leader orders while an order of the old one may be on its way")
	}
	if !ordersAllowed(start.Add(lease+engine.OrderSendTimeout), start, lease, 0) {
		t.Error("a new leader never orders")
	}
	const least = 3 * time.Second // that engines want between the orders of two leaders
	if ordersAllowed(start.Add(lease+engine.OrderSendTimeout+least-1), start, lease, least) {
		t.Error("a new leader orders too soon after one that may have ordered just now")
	}
}
