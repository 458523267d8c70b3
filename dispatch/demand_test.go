package dispatch

import (
	"testing"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/peer"
)

// TestDemand checks that demand is counted by service, with the average answer length in place of
// the caller's limit.
func TestDemand(t *testing.T) {
	ds := newDemandCounter()
	const bound = 4096
	ds.addRequest("advisor", 1000, bound)
	if got := ds.take()["advisor"]; got != (peer.Demand{Prefill: 1000, Decode: bound}) {
		t.Errorf("before any answer: %+v", got)
	}
	for range 100 {
		ds.addAnswer("advisor", 200)
	}
	ds.addRequest("advisor", 1000, bound)
	ds.addRequest("advisor", 500, 50) // the caller's limit is below the average
	ds.addRequest("reader", 10, 20)
	taken := ds.take()
	for service, want := range map[ident.ServiceID]peer.Demand{
		"advisor": {Prefill: 1500, Decode: 250},
		"reader":  {Prefill: 10, Decode: 20},
	} {
		if taken[service] != want {
			t.Errorf("%s: %+v, want %+v", service, taken[service], want)
		}
	}
	if again := ds.take(); again != nil {
		t.Errorf("demand returned twice: %+v", again)
	}
}
