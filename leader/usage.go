package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/duty"
	"github.com/hickoryridge/hickoryridge/internal/cluster/usage"
	"github.com/hickoryridge/hickoryridge/state"
)

// UsageConfig configures the reports of usage.
type UsageConfig struct {
	Window time.Duration // length of a window; 0 if no usage is reported
	Late   time.Duration // after the end of a window, when its report is due
	// TrueTime returns the estimate of true time; false if there is none.
	TrueTime func(now clock.Time) (state.UnixMillis, bool)
}

// decideShare is the part of the time until a report is due after which it is decided, even if instances have not
// completed the window. The rest is for calls.
const decideShare = 0.6

// overdue reports whether the report of a window is useless by now.
func (c UsageConfig) overdue(now state.UnixMillis, w usage.Window) bool {
	return now > w.End(c.Window)+state.UnixMillis(c.Late.Milliseconds())
}

// mustDecide reports whether the report of a window can wait no longer.
func (c UsageConfig) mustDecide(now state.UnixMillis, w usage.Window) bool {
	return now > w.End(c.Window)+state.UnixMillis(decideShare*float64(c.Late.Milliseconds()))
}

// trueTime returns the estimate of true time.
func (co *Coordinator) trueTime(now clock.Time) (state.UnixMillis, bool) {
	if co.cfg.Duties.Usage.Window == 0 {
		return 0, false
	}
	return co.cfg.Duties.Usage.TrueTime(now)
}

// decideUsage decides the reports of the windows that have ended and are complete, or can wait no longer.
func (co *Coordinator) decideUsage(ctx context.Context, now clock.Time, t *dutyTerm, held state.Duties) {
	cfg := co.cfg.Duties.Usage
	trueNow, known := co.trueTime(now)
	if !known {
		return
	}
	if t.next == 0 {
		co.setNextWindow(t, firstWindow(trueNow, cfg, usage.Window(held.Last[duty.UsageSubject])))
	}
	for w := t.next; w.End(cfg.Window) <= trueNow; w++ {
		if cfg.overdue(trueNow, w) {
			co.closeWindow(t, w)
			continue
		}
		co.mu.Lock()
		// By then, every instance that holds a lease has renewed it with this leader.
		settled := now.Sub(co.leadingSince) >= LeaseDuration
		complete := settled && t.totals.Complete(w, co.liveInstances(now))
		if !complete && !cfg.mustDecide(trueNow, w) {
			co.mu.Unlock()
			return
		}
		counts := t.totals.Counts(w)
		co.mu.Unlock()
		if co.decideWindow(ctx, t, w, counts, complete) != nil {
			return // the next turn repeats it
		}
		co.closeWindow(t, w)
	}
}

// firstWindow returns the first window that a new leader decides: the one after the last that was decided, if its report
// can be in time, or the present one where none was.
func firstWindow(now state.UnixMillis, cfg UsageConfig, last usage.Window) usage.Window {
	current := usage.WindowOf(now, cfg.Window)
	if last == 0 {
		return current
	}
	late := usage.Window(cfg.Late / cfg.Window)
	return max(last+1, current-min(current, late+1))
}

func (co *Coordinator) decideWindow(ctx context.Context, t *dutyTerm, w usage.Window, counts usage.Counts, complete bool) error {
	report := duty.UsageReport{Window: uint64(w), Counts: map[ident.TenantID]uint64(counts)}
	if err := co.decide(ctx, t, state.DecisionNumber(w), report); err != nil {
		return err
	}
	requests := uint64(0)
	for _, n := range counts {
		requests += n
	}
	co.cfg.Log.WithFields(logrus.Fields{
		"event": "usage_decided", "window": w, "workspaces": len(counts), "requests": requests, "complete": complete,
	}).Info("the usage of a window has been decided")
	return nil
}

// closeWindow drops what was handed over for a window and all before it, and goes on with the next one.
func (co *Coordinator) closeWindow(t *dutyTerm, w usage.Window) {
	co.mu.Lock()
	t.totals.Close(w)
	co.mu.Unlock()
	co.setNextWindow(t, w+1)
}

// setNextWindow sets the window to decide next, which reports read.
func (co *Coordinator) setNextWindow(t *dutyTerm, w usage.Window) {
	co.mu.Lock()
	defer co.mu.Unlock()
	t.next = w
}

// UsageReport describes the reports of usage for operators.
type UsageReport struct {
	Next   usage.Window `json:"next"`   // window to decide next
	Closed usage.Window `json:"closed"` // newest window of which nothing is counted any more
	// Counts is what has been handed over for the window to decide next.
	Counts usage.Counts `json:"counts"`
}

// usageReport describes the reports of usage. co.mu is held.
func (co *Coordinator) usageReport(t *dutyTerm) UsageReport {
	return UsageReport{Next: t.next, Closed: t.totals.Closed(), Counts: t.totals.Counts(t.next)}
}
