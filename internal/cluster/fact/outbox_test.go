package fact

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
)

// TestStreamsLeaveEvidence guards against streams that displace evidence among what an instance publishes
// again to another voter: at 30 streams a second, evidence of a minute ago still counts.
func TestStreamsLeaveEvidence(t *testing.T) {
	const perSecond, seconds = 30, 60
	var o Outbox
	o.Add(modeltest.Start, Batch{Evidence: quarantine.Report{Crashed: []quarantine.Crashed{{Part: partsOf("dead")[0]}}}})
	now := modeltest.Start
	for n := range perSecond * seconds {
		now = modeltest.Start.Add(time.Duration(n) * time.Second / perSecond)
		o.Add(now, streamBatch(n))
		o.Take(now)
	}
	o.Repeat(now)
	again, _ := o.Take(now)
	if len(again.Evidence.Crashed) != 1 {
		t.Errorf("%d crashes published again after %d s, want the one", len(again.Evidence.Crashed), seconds)
	}
	if n := len(again.Streams); n < 9*perSecond || n > 11*perSecond {
		t.Errorf("%d streams published again, want those of the last 10 s", n)
	}
}

// TestOutboxIsBounded guards against an outbox that grows with what it published.
func TestOutboxIsBounded(t *testing.T) {
	var o Outbox
	for n := range 5 * maxKept {
		o.Add(modeltest.Start, streamBatch(n))
		o.Take(modeltest.Start)
	}
	if kept := len(o.published); kept > 2*maxKept {
		t.Errorf("%d batches kept, want at most %d", kept, 2*maxKept)
	}
}
