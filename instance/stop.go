package instance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/leader"
)

// A planned stop passes four stages, in this order and once each. The first SIGTERM starts it (see
// package signals), later ones change nothing, and only drain moves it on.
//
//	serving   all is taken
//	leaving   not ready; requests are taken, and each answer ends its connection. Entries stay here for the
//	          linger time, in which the load balancer removes them. No connections are carried for others.
//	          From now on, nothing is sent for a request whose own limit ends after the stop timeout: it is
//	          refused as not run.
//	closed    new requests are refused as not run. Idle connections end; see package http1 in internal/caller.
//	          Those in progress, their receipts and connections carried for others go on. Then the leadership
//	          is handed over, and the vote in the quorum if another disk can take it over. What has not ended
//	          shortly before the stop timeout is aborted and answered.
//	gone      nothing is in progress. Listeners and connections end, then the process.

const (
	// drainPollInterval is the interval at which a stopping instance checks whether its requests have ended and
	// whether the leadership has moved.
	drainPollInterval = 20 * time.Millisecond
	// answerTime is the time in which the callers of aborted requests are answered.
	answerTime = 200 * time.Millisecond
)

// stages announces the stages of a planned stop.
type stages struct {
	leaving chan struct{} // closed when the instance starts to leave
	closed  chan struct{} // closed when it takes no new requests
}

func newStages() stages { return stages{leaving: make(chan struct{}), closed: make(chan struct{})} }

// isLeaving reports whether the instance is leaving, or at a later stage.
func (s stages) isLeaving() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// drain takes the instance through its stop, up to the stage gone. If the stop timeout of the settings ends the
// wait for requests in progress, they are aborted and the leadership is not handed over.
func (in *Instance) drain(ctx context.Context) {
	linger, bound := in.settings.Timing.Linger.AsDuration(), in.settings.StopBound()
	abort := abortTime(bound)
	if abort > 0 {
		in.gate.LeaveBy(clock.Now().Add(linger + abort))
	}
	close(in.stages.leaving)
	in.log.WithField("event", "draining").Info("stopping; waiting for requests in progress")
	select {
	case <-ctx.Done():
	case <-time.After(linger):
	}
	in.gate.Drain()
	close(in.stages.closed)
	if bound > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bound)
		defer cancel()
	}
	if in.awaitRequests(ctx, abort) {
		in.transferLeadership(ctx)
		in.giveUpVote(ctx)
		return
	}
	running, _ := in.dispatcher.Load()
	in.log.WithFields(logrus.Fields{"event": "drain_bound", "running": running}).Warn("stop timeout reached; requests in progress are cut off")
	in.abort(fault.New(fault.Draining, "this instance stops, and its stop timeout has been reached"))
	in.awaitRequests(ctx, answerTime)
}

// abortTime returns when requests are aborted, so that the callers are answered within the stop timeout; 0 means
// never.
func abortTime(bound time.Duration) time.Duration { return max(bound/2, bound-answerTime) }

// awaitRequests waits until nothing is in progress, for at most the given time, where 0 means no limit. It reports
// whether that was reached.
func (in *Instance) awaitRequests(ctx context.Context, within time.Duration) bool {
	if within > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, within)
		defer cancel()
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for in.inProgress() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// inProgress returns the number of requests, receipts and carried connections that a stop waits for.
func (in *Instance) inProgress() int {
	running, waiting := in.dispatcher.Load()
	return running + waiting + in.receipts.Pending() + in.network.Carried()
}

// transferLeadership hands the leadership to another voter while the connections are still open,
// and waits for up to one lease until it has moved.
func (in *Instance) transferLeadership(ctx context.Context) {
	if in.voter == nil || !in.voter.transferLeadership() {
		return
	}
	deadline := time.NewTimer(leader.LeaseDuration)
	defer deadline.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if !in.voter.isLeader() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-ticker.C:
		}
	}
}
