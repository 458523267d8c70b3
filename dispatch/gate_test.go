package dispatch

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
)

const start = clock.Time(time.Hour)

// grant returns a one-second lease on a view with the association example's document.
func grant(t *testing.T, v state.Version) *peer.Grant {
	t.Helper()
	doc, faults := desired.Parse(examples.Association)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	data, _, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return &peer.Grant{Duration: time.Second, Version: v, View: &state.View{Version: v, Number: 1, Document: data}}
}

// TestGate applies leases in order, late and out of order.
func TestGate(t *testing.T) {
	g := NewGate()
	admit := func(at time.Duration, want fault.Kind, version state.Version) {
		t.Helper()
		c, err := g.Admit(start.Add(at))
		if (err == nil) != (version > 0) || (err != nil && !fault.Is(err, want)) || (err == nil && c.Version != version) {
			t.Errorf("at %v: %+v, %v", at, c, err)
		}
	}
	applyGrant := func(requestedAt time.Duration, gr *peer.Grant) {
		t.Helper()
		if err := g.ApplyGrant(start.Add(requestedAt), gr); err != nil {
			t.Fatal(err)
		}
	}
	admit(0, fault.ConfigLapsed, 0)
	applyGrant(0, grant(t, 5))
	admit(900*time.Millisecond, 0, 5)
	admit(time.Second, fault.ConfigLapsed, 0) // the lease counts from the request

	applyGrant(time.Second, grant(t, 7))
	applyGrant(1500*time.Millisecond, grant(t, 5)) // a late reply with an older view
	admit(1600*time.Millisecond, 0, 7)

	// A lease on a view that was not delivered is ignored.
	applyGrant(1900*time.Millisecond, &peer.Grant{Duration: time.Second, Version: 9})
	admit(2600*time.Millisecond, fault.ConfigLapsed, 0)

	applyGrant(3*time.Second, &peer.Grant{Duration: time.Second, Version: 7})
	admit(3900*time.Millisecond, 0, 7)
	g.Drain()
	admit(3900*time.Millisecond, fault.Draining, 0)
}
