package dispatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/router"
)

// A request that is in quarantine, or whose prompt has a part there, is refused before each attempt.
// What becomes of an attempt is evidence for or against the request and the shared parts of its
// prompt; see package quarantine.

// crashCheckTimeout bounds the time to find out whether a target has crashed: a round trip between
// regions.
const crashCheckTimeout = 100 * time.Millisecond

// suspectParts returns what may crash the target of a request: the shared parts of its prompt, and
// last the whole request. The software version is left out.
func suspectParts(service ident.ServiceID, sharedParts []string, digest string) []quarantine.Part {
	var parts []quarantine.Part
	for _, id := range sharedParts {
		parts = append(parts, quarantine.Part{Service: service, ID: id})
	}
	return append(parts, quarantine.Part{Service: service, ID: digest, Whole: true})
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

// checkParts returns a fault.PartQuarantined error if a request with the given parts may not be sent.
func (d *Dispatcher) checkParts(parts []quarantine.Part) error {
	if d.cfg.Facts == nil {
		return nil
	}
	return d.cfg.Facts.check(clock.Now(), parts)
}

// recordBegun records that an answer to a request with the given parts has come or begun.
func (d *Dispatcher) recordBegun(a *Assignment, parts []quarantine.Part) {
	if d.cfg.Facts != nil {
		d.cfg.Facts.began(clock.Now(), a.Choice.ID, quarantine.At(a.Software, parts))
	}
}

// recordCrash finds out whether the target of an attempt without an answer has crashed, and records
// it as evidence against the given parts. head is set if the head of the answer arrived. A target
// that is silent has not crashed: its machine would refuse connections.
func (d *Dispatcher) recordCrash(ctx context.Context, a *Assignment, request string, parts []quarantine.Part, head bool) {
	if d.cfg.Facts == nil || a.gotFirstToken {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !d.cfg.Backend.Refuses(ctx, a.Address) {
		return
	}
	now := clock.Now()
	crash := quarantine.Crash{Target: a.Choice.ID, Incarnation: a.incarnation}
	d.cfg.Facts.crashed(now, quarantine.At(a.Software, parts), crash, head, now.Sub(a.sentAt))
	d.cfg.Metrics.Count("engine_crashes_seen")
	d.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_crashed", "request": request, "service": a.req.Service, "target": a.Choice.ID, "incarnation": a.incarnation, "software": a.Software,
		"parts": idsOf(parts), "head": head,
	}).Info("a target crashed before an answer began")
}

// idsOf returns the ids of parts.
func idsOf(parts []quarantine.Part) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// countBroken makes the target count as broken.
func (r *forwardRun) countBroken(a *Assignment) {
	if !r.d.linkDoubtful() {
		a.ReportAnswer(true)
	}
	a.MarkFailed()
}

// recordBroken records that the target gave no complete answer, although the caller was still there.
// head is set if the head of the answer arrived.
func (r *forwardRun) recordBroken(ctx context.Context, a *Assignment, head bool, cause error) {
	r.countBroken(a)
	r.d.recordCrash(ctx, a, r.req.ID, r.parts, head)
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "answer_broken", "request": r.req.ID, "digest": r.digest, "service": r.req.Service, "target": a.Choice.ID, "incarnation": a.incarnation,
		"parts": idsOf(r.parts[:len(r.parts)-1]), "head": head, "begun": a.gotFirstToken, "after": r.lastEventID, "ms": clock.Now().Sub(a.sentAt).Milliseconds(), "cause": cause,
	}).Info("a target gave no complete answer")
}
