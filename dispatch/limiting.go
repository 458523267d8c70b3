package dispatch

import (
	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
)

// ReportLimit records what the target's answer states about its rate limit, and returns what
// changed.
func (a *Assignment) ReportLimit(s permit.Statement) permit.Change {
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limits.Observe(pool.now(), a.sentAt, a.Choice.ID, a.incarnation, s)
}

// Limits returns the rate limits of targets that this instance knows.
func (pool *TargetPool) Limits() []permit.Limit {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limits.List()
}

// countLimited counts a request that is sent to a target with a known rate limit.
func (r *forwardRun) countLimited(a *Assignment) {
	if a.limited {
		r.d.cfg.Metrics.Count("sent_to_limited")
	}
}

// recordLimit records what an answer to the request states about the target's rate limit.
func (r *forwardRun) recordLimit(a *Assignment, s permit.Statement) {
	fields := logrus.Fields{
		"target": a.Choice.ID, "incarnation": a.incarnation, "request": r.req.ID, "service": r.req.Service, "prompt": a.PrefillOnly,
		"ms": clock.Now().Sub(a.sentAt).Milliseconds(),
	}
	switch a.ReportLimit(s) {
	case permit.Began:
		fields["event"], fields["rate"] = "limit_named", float64(s.(permit.Named).Rate)
		r.d.cfg.Log.WithFields(fields).Info("target named a rate limit")
	case permit.Ended:
		fields["event"] = "limit_ended"
		r.d.cfg.Log.WithFields(fields).Info("target no longer names a rate limit")
	}
}
