package dispatch

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/target"
)

// ParseLimit parses the header values in which a target names its rate limit in an answer. It logs
// values that cannot be read and returns nil for them.
func ParseLimit(log *logrus.Entry, id ident.TargetID, request string, status int, values []string) permit.Statement {
	s, err := permit.ParseStatement(status, values)
	if err != nil {
		log.WithFields(logrus.Fields{"event": "limit_invalid", "target": id, "request": request, "cause": err}).Warn("rate limit in an answer cannot be read; the answer changes no limit")
	}
	return s
}

// LogLimit logs a change of a target's rate limit, by what it became known, and the given fields.
func LogLimit(log *logrus.Entry, c permit.ChangedLimit, source string, fields logrus.Fields) {
	event, text := "limit_named", "target has a rate limit"
	if c.Change == permit.Ended {
		event, text = "limit_ended", "target no longer has a rate limit"
	}
	log.WithFields(fields).WithFields(logrus.Fields{
		"event": event, "target": c.Limit.Target, "incarnation": c.Limit.Incarnation, "rate": float64(c.Limit.Rate), "source": source,
	}).Info(text)
}

// ReportLimit records what the target's answer states about its rate limit, also for the placer
// that chose the target, and returns what changed here.
func (a *Assignment) ReportLimit(s permit.Statement) permit.ChangedLimit {
	pool := a.pool
	pool.mu.Lock()
	now := pool.now()
	changed := pool.limits.Observe(now, a.sentAt, a.Choice.ID, a.incarnation, s)
	if changed.Change != permit.Unchanged {
		pool.reviewLimits(now, []permit.ChangedLimit{changed})
	}
	kept := pool.limits.Kept()
	pool.mu.Unlock()
	if kept {
		a.notifyLimit(s)
	}
	return changed
}

// notifyLimit passes a statement on to the placer that chose the target, if it is new to the placer.
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

// recordSent counts a request that is sent to a target with a known rate limit.
func (d *Dispatcher) recordSent(a *Assignment) {
	if a.limited {
		d.cfg.Metrics.Count("sent_to_limited")
	}
}

// recordHead records what the head of an answer states about the target: its rate limit, and whether it leaves.
func (d *Dispatcher) recordHead(a *Assignment, request string, status int, h http.Header) {
	d.recordLimit(a, request, ParseLimit(d.cfg.Log, a.Choice.ID, request, status, h.Values(target.HeaderRequestRate)))
	d.recordLeaving(a, request, SaysLeaving(h.Values(target.HeaderLeaving)))
}

// recordLimit records what an answer states about the target's rate limit.
func (d *Dispatcher) recordLimit(a *Assignment, request string, s permit.Statement) {
	changed := a.ReportLimit(s)
	if changed.Change == permit.Unchanged {
		return
	}
	LogLimit(d.cfg.Log, changed, "answer", logrus.Fields{
		"request": request, "service": a.req.Service, "prompt": a.PrefillOnly, "ms": clock.Now().Sub(a.sentAt).Milliseconds(),
	})
}
