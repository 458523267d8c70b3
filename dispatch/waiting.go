package dispatch

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: all processes start at the same moment, and all callers come back at once, while the instances still look for
// voters and the voters elect a leader. What is refused then comes back once and is refused again.
//
// A request that arrives within some seconds of the start, or of the loss of the lease, waits for the lease and the first
// targets for a part of its time, since they are likely to come. After that it is refused at once: an instance that has had no
// lease for longer may be cut off.

const (
	// likelyLeaseTime is the time without a lease within which one is likely to come: an election, and the way of an
	// instance to the new leader.
	likelyLeaseTime = 4 * time.Second
	// holdDivisor divides the time that a caller waits. A request is held for no more than the resulting time, so that the
	// rest serves it, or another instance does after a refusal.
	holdDivisor = 4
	// targetPoll is the interval at which a held request looks for the first targets.
	targetPoll = 20 * time.Millisecond
)

// awaitLease waits until the instance holds a lease and has records of targets, if that is likely to be soon. budget is the time
// that the caller waits, 0 if that is unknown. It returns early if ctx ends.
func (d *Dispatcher) awaitLease(ctx context.Context, budget time.Duration) {
	hold := d.cfg.Hold
	if budget > 0 {
		hold = min(hold, budget/holdDivisor)
	}
	lapsed, granted := d.cfg.Gate.Lapsed(clock.Now())
	starting := clock.Now().Sub(d.started) < likelyLeaseTime
	if hold <= 0 || lapsed > likelyLeaseTime || lapsed == 0 && !(starting && d.cfg.Targets.Empty()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	d.cfg.Metrics.Count("held_for_lease")
	for lapsed > 0 {
		select {
		case <-ctx.Done():
			return
		case <-granted:
		}
		lapsed, granted = d.cfg.Gate.Lapsed(clock.Now())
	}
	for starting && d.cfg.Targets.Empty() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(targetPoll):
		}
	}
}

// mayAwait reports whether an error of the gate may be gone soon.
func mayAwait(err error) bool { return err == nil || fault.Is(err, fault.ConfigLapsed) }
