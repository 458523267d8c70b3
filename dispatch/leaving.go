package dispatch

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
)

// A target that leaves announces that, but the announcement may not arrive, or one that it sent before may arrive later. It
// says so in all its answers too. From the first of them, this instance sends it nothing new; what is in progress there goes on.
// An answer is a departure as good as an announced one, so it is recorded in the same place: see target.Table.Depart.

// ReportLeaving records that the target said in an answer that it leaves, also for the placer that chose the target.
// It returns false if that was on record, or if the target has started again since the request was sent.
func (a *Assignment) ReportLeaving() bool {
	a.notifyPlacer(peer.NoteLeaving)
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	r, known := pool.table.Get(a.Choice.ID)
	if !known || r.Incarnation > a.incarnation && !r.Leaving {
		return false
	}
	// The start that answers began before the request was sent, and may not have announced itself yet.
	until := max(a.incarnation, pool.startedUntil(time.Now().Add(-now.Sub(a.sentAt))))
	pool.depart(now, a.Choice.ID, until)
	return !r.Leaving
}

// SaysLeaving reports whether an answer says that its target leaves, given the values of the header for that. Other values than
// "1" say nothing.
func SaysLeaving(values []string) bool { return slices.Contains(values, "1") }

// recordLeaving records whether the answer to a request says that its target leaves.
func (d *Dispatcher) recordLeaving(a *Assignment, request string, leaving bool) {
	if !leaving || !a.ReportLeaving() {
		return
	}
	d.cfg.Metrics.Count("targets_said_leaving")
	d.cfg.Log.WithFields(logrus.Fields{
		"event": "target_says_leaving", "request": request, "service": a.req.Service, "target": a.Choice.ID, "start": a.incarnation, "ms": clock.Now().Sub(a.sentAt).Milliseconds(),
	}).Info("a target says in an answer that it leaves; nothing new is sent to it")
}
