package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/router"
)

// A request whose prompt has a part in quarantine is refused before each attempt, and what becomes of an
// attempt is evidence for or against the shared parts of its prompt; see package quarantine.

// crashCheckTimeout bounds the time to find out whether an engine has crashed: a round trip between
// regions.
const crashCheckTimeout = 100 * time.Millisecond

// checkParts returns a fault.PartQuarantined error if the request may not be sent because of its prompt.
func (r *forwardRun) checkParts() error {
	if !r.hasEngines || r.d.cfg.Facts == nil {
		return nil
	}
	return r.d.cfg.Facts.check(clock.Now(), r.req.Service, r.sharedParts)
}

// recordBegun records that the first event of an answer has come.
func (r *forwardRun) recordBegun(a *Assignment) {
	if r.hasEngines && r.d.cfg.Facts != nil {
		r.d.cfg.Facts.began(clock.Now(), r.partsAt(a))
	}
}

// recordCrash finds out whether the target of an answer that broke off has crashed, and records it.
// An engine that still accepts connections has not.
func (r *forwardRun) recordCrash(ctx context.Context, a *Assignment, head bool) {
	if !r.hasEngines || r.d.cfg.Facts == nil || a.gotFirstToken {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if r.d.cfg.Backend.Reachable(ctx, a.Address) {
		return
	}
	r.d.cfg.Facts.crashed(clock.Now(), r.partsAt(a), quarantine.Crash{Target: a.Choice.ID, Incarnation: a.incarnation}, head)
	r.d.cfg.Metrics.Count("engine_crashes_seen")
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_crashed", "request": r.req.ID, "service": r.req.Service, "target": a.Choice.ID, "incarnation": a.incarnation, "software": a.Software,
		"parts": r.sharedParts, "head": head,
	}).Info("an engine crashed before it sent an event of an answer")
}

// partsAt returns the shared parts of the prompt at the software version of a target.
func (r *forwardRun) partsAt(a *Assignment) []quarantine.Part {
	var parts []quarantine.Part
	for _, id := range r.sharedParts {
		parts = append(parts, quarantine.Part{Service: r.req.Service, Software: a.Software, ID: id})
	}
	return parts
}

// recordBroken records that the target gave no complete answer, although the caller was still there.
// head is set if the head of the answer arrived.
func (r *forwardRun) recordBroken(ctx context.Context, a *Assignment, head bool, cause error) {
	a.ReportAnswer(true)
	a.MarkFailed()
	r.recordCrash(ctx, a, head)
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "answer_broken", "request": r.req.ID, "digest": r.digest, "service": r.req.Service, "target": a.Choice.ID, "incarnation": a.incarnation,
		"parts": r.sharedParts, "head": head, "begun": a.gotFirstToken, "after": r.lastEventID, "ms": clock.Now().Sub(a.sentAt).Milliseconds(), "cause": cause,
	}).Info("a target gave no complete answer")
}

// sharedParts returns the ids of the parts of a prompt that other requests may have too: all but the
// last one.
func sharedParts(parts []router.Part) []string {
	var ids []string
	for _, p := range parts[:max(0, len(parts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}
