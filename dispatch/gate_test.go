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

// grant returns a lease of a second on a view with the Association's document.
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

// TestGate follows leases that come in order, late and out of order.
func TestGate(t *testing.T) {
	g := NewGate()
	enter := func(at time.Duration, want fault.Kind, version state.Version) {
		t.Helper()
		c, err := g.Admit(start.Add(at))
		if (err == nil) != (version > 0) || (err != nil && !fault.Is(err, want)) || (err == nil && c.Version != version) {
			t.Errorf("at %v: %+v, %v", at, c, err)
		}
	}
	granted := func(asked time.Duration, gr *peer.Grant) {
		t.Helper()
		if err := g.ApplyGrant(start.Add(asked), gr); err != nil {
			t.Fatal(err)
		}
	}
	enter(0, fault.ConfigLapsed, 0)
	granted(0, grant(t, 5))
	enter(900*time.Millisecond, 0, 5)
	enter(time.Second, fault.ConfigLapsed, 0) // counts from the asking

	granted(time.Second, grant(t, 7))
	granted(1500*time.Millisecond, grant(t, 5)) // a late answer with an older view
	enter(1600*time.Millisecond, 0, 7)

	// A lease on a view that did not come along is none.
	granted(1900*time.Millisecond, &peer.Grant{Duration: time.Second, Version: 9})
	enter(2600*time.Millisecond, fault.ConfigLapsed, 0)

	granted(3*time.Second, &peer.Grant{Duration: time.Second, Version: 7})
	enter(3900*time.Millisecond, 0, 7)
	g.Drain()
	enter(3900*time.Millisecond, fault.Draining, 0)
}
