package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
)

// TestWaitingRequestIsAnswered lets a request wait behind one that does not end, and
// another one after that was answered. Each is refused when its objective cannot be
// met any more, and not held until its caller gives up.
func TestWaitingRequestIsAnswered(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d := New(Config{MaxRunning: 1, Targets: newFleet()})
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	config := &ActiveConfig{Document: &desired.Document{}, Number: 1}
	request := admit.Request{Tenant: "t", Class: "c", Cost: 10 * time.Millisecond, Objective: 300 * time.Millisecond}
	if _, err := d.admit.Enter(ctx, "s", config, request); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		time.Sleep(10 * advanceEvery) // nothing waits meanwhile
		if _, err := d.admit.Enter(ctx, "s", config, request); !fault.Is(err, fault.DeadlineUnreachable) {
			t.Errorf("answer %v, want %v", err, fault.DeadlineUnreachable)
		}
	}
	cancel()
	<-ended
}
