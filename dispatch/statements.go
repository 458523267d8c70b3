package dispatch

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/target"
)

// ReportLimit records what the target's answer states about its rate limit, also for the placer
// that chose the target, and returns what changed here.
func (a *Assignment) ReportLimit(s permit.Statement) permit.Change {
	pool := a.pool
	pool.mu.Lock()
	now := pool.now()
	change := pool.limits.Observe(now, a.sentAt, a.Choice.ID, a.incarnation, s)
	if change != permit.Unchanged {
		pool.reviewLimits(now, []permit.ChangedLimit{{Limit: permit.Limit{Target: a.Choice.ID}, Change: change}})
	}
	kept := pool.limits.Kept()
	pool.mu.Unlock()
	if kept {
		a.notifyLimit(s)
	}
	return change
}

// notifyLimit passes a statement on to the placer that chose the target, if the placer has to know.
func (a *Assignment) notifyLimit(s permit.Statement) {
	if a.notify == nil {
		return
	}
	switch s := s.(type) {
	case permit.Named:
		a.notify(peer.Note{Event: peer.NoteLimited, Rate: &s.Rate})
	case permit.NotNamed:
		if a.limited {
			a.notify(peer.Note{Event: peer.NoteUnlimited})
		}
	}
}

// limitStatement returns the statement of a note, or nil if it is about something else.
func limitStatement(n peer.Note) permit.Statement {
	switch {
	case n.Event == peer.NoteLimited && n.Rate != nil && *n.Rate >= 0:
		return permit.Named{Rate: *n.Rate}
	case n.Event == peer.NoteUnlimited:
		return permit.NotNamed{}
	default:
		return nil
	}
}

// appendChange applies a statement and appends the change of the limit, if any.
func (a *Assignment) appendChange(changed []permit.ChangedLimit, s permit.Statement) []permit.ChangedLimit {
	change := a.ReportLimit(s)
	if change == permit.Unchanged {
		return changed
	}
	l := permit.Limit{Target: a.Choice.ID, Incarnation: a.incarnation}
	if named, ok := s.(permit.Named); ok {
		l.Rate = named.Rate
	}
	return append(changed, permit.ChangedLimit{Limit: l, Change: change})
}

// recordSent counts a request that is sent to a target with a known rate limit.
func (d *Dispatcher) recordSent(a *Assignment) {
	if a.limited {
		d.cfg.Metrics.Count("sent_to_limited")
	}
}

// recordHead records what the head of an answer states about the target's rate limit.
func (d *Dispatcher) recordHead(a *Assignment, request string, status int, h http.Header) {
	s, err := permit.ParseStatement(status, h.Values(target.HeaderRequestRate))
	if err != nil {
		d.cfg.Log.WithFields(logrus.Fields{"event": "limit_invalid", "target": a.Choice.ID, "request": request, "cause": err}).Warn("rate limit in an answer cannot be read; the answer changes no limit")
	}
	d.recordLimit(a, request, s)
}

// recordLimit records what an answer states about the target's rate limit.
func (d *Dispatcher) recordLimit(a *Assignment, request string, s permit.Statement) {
	fields := logrus.Fields{
		"target": a.Choice.ID, "incarnation": a.incarnation, "source": "answer", "request": request, "service": a.req.Service,
		"prompt": a.PrefillOnly, "ms": clock.Now().Sub(a.sentAt).Milliseconds(),
	}
	switch a.ReportLimit(s) {
	case permit.Began:
		fields["event"], fields["rate"] = "limit_named", float64(s.(permit.Named).Rate)
		d.cfg.Log.WithFields(fields).Info("target named a rate limit")
	case permit.Ended:
		fields["event"] = "limit_ended"
		d.cfg.Log.WithFields(fields).Info("target no longer names a rate limit")
	}
}
