package instance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
)

const (
	// acquireTimeout bounds a request for permits, which are valid for permit.PermitTime from its
	// start.
	acquireTimeout = 400 * time.Millisecond
	// reportRetryInterval is the interval at which limits are reported until the leader confirms them.
	reportRetryInterval = 100 * time.Millisecond
)

// acquirePermits is the background task that requests permits for targets with a rate limit, when
// there are requests for them, and reports limits to the leader.
func (in *Instance) acquirePermits(ctx context.Context) error {
	var failing bool // the last request got no reply
	for {
		var retry <-chan time.Time
		if in.targetPool.LimitsUnreported() {
			retry = time.After(reportRetryInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.targetPool.PermitsWanted():
		case <-retry:
		}
		failing = in.acquireOnce(ctx, failing)
	}
}

// acquireOnce sends the request for permits that is due, if any, and reports whether it got no reply.
// It logs only the first failure in a row.
func (in *Instance) acquireOnce(ctx context.Context, failing bool) bool {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	requestedAt := clock.Now()
	request, due := in.targetPool.PermitRequest(requestedAt)
	if !due {
		return failing
	}
	acquired, err := requestAs[*peer.Acquired](ctx, in.leader, &peer.Acquire{Instance: in.settings.Instance, Request: request})
	if err != nil {
		in.targetPool.PermitsFailed(clock.Now(), request)
		if !failing {
			in.log.WithFields(logrus.Fields{"event": "permits_not_acquired", "cause": err}).Warn("the leader did not reply to a request for permits; limited targets get no requests until it does")
		}
		return true
	}
	if failing {
		in.log.WithField("event", "permits_acquired").Info("the leader replies to requests for permits again")
	}
	in.countPermits(request, acquired.Reply)
	in.logLimits("leader", in.targetPool.ApplyPermits(clock.Now(), requestedAt, request, acquired.Reply))
	return false
}

// countPermits counts the permits that were wanted and granted.
func (in *Instance) countPermits(request permit.Request, reply permit.Reply) {
	for _, o := range request.Observations {
		in.metrics.CountBy("permits_wanted", o.Wanted)
	}
	for _, g := range reply.Grants {
		in.metrics.CountBy("permits_granted", g.Count)
		in.log.WithFields(logrus.Fields{
			"event": "permits", "target": g.Target, "granted": g.Count, "retry": g.RetryAfter.Milliseconds(),
		}).Debug("the leader replied to a request for permits")
	}
}

// mergeLimits applies the limits in a reply of the leader to a request sent at requestedAt.
func (in *Instance) mergeLimits(requestedAt clock.Time, s permit.Snapshot) {
	in.logLimits("leader", in.targetPool.MergeLimits(clock.Now(), requestedAt, s))
}

// logLimits logs the limits that another instance made known here.
func (in *Instance) logLimits(source string, changed []permit.ChangedLimit) {
	for _, c := range changed {
		dispatch.LogLimit(in.log, c, source, nil)
	}
}
