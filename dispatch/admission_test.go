package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
)

// TestWaitingRequestIsAnswered makes two requests wait, one after the other, behind a request that
// does not end. Each must be refused once its objective can no longer be met, rather than held
// until its caller gives up, even though no other request ends or arrives that would trigger the
// check.
func TestWaitingRequestIsAnswered(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	d := New(Config{MaxRunning: 1, Targets: newTestPool()})
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	config := &ActiveConfig{Document: &desired.Document{}, Number: 1}
	request := admit.Request{Tenant: "t", Class: "c", Cost: 10 * time.Millisecond, Objective: 300 * time.Millisecond}
	if _, err := d.admission.Admit(ctx, "s", config, request); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		time.Sleep(10 * advanceInterval) // no request waits during this time
		if _, err := d.admission.Admit(ctx, "s", config, request); !fault.Is(err, fault.DeadlineUnreachable) {
			t.Errorf("got %v, want %v", err, fault.DeadlineUnreachable)
		}
	}
	cancel()
	<-ended
}
