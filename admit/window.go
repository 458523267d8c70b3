package admit

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Parameters of the window.
const (
	windowStart         = 2.0  // seconds of target time
	windowMin           = 0.02 // seconds of target time
	windowGrow          = 0.05 // fraction of a request's cost added after a short delay
	windowShrink        = 0.85 // factor applied after a long delay
	growUtilization     = 0.7  // least utilization at which the window grows
	targetDelayFraction = 0.5  // delay aimed at, as a fraction of the objective's slack
	shrinkPause         = 200 * time.Millisecond
	delaySmoothing      = 0.15
	overdraftFactor     = 8   // limit for entitled requests, relative to the window
	spreadMargin        = 1.5 // spreads above the mean in the expected wait
)

// window limits the work of one class that is at the targets without a first token, in seconds of
// target time.
//
// Every instance measures how long its own requests wait at the targets beyond their own
// processing. While the wait is short, the window grows; when it exceeds a fraction of the
// objective, the window shrinks. All instances share the same targets, so their windows converge
// without communication and without depending on load reports, which are stale.
type window struct {
	limit    float64
	used     float64
	requests int     // requests in the window
	delay    float64 // smoothed wait at the targets, in seconds
	spread   float64 // smoothed deviation of single waits from delay
	shrunk   clock.Time
}

func newWindow() window { return window{limit: windowStart} }

// expectedWait returns a wait at the targets that most requests do not exceed.
func (w *window) expectedWait() time.Duration {
	return time.Duration((w.delay + spreadMargin*w.spread) * float64(time.Second))
}

// fits reports whether a request of the given cost fits. A single request always fits.
func (w *window) fits(cost float64) bool { return w.requests == 0 || w.used+cost <= w.limit }

// fitsOverdraft reports whether a request of the given cost fits the extended window of entitled
// requests.
func (w *window) fitsOverdraft(cost float64) bool { return w.used+cost <= overdraftFactor*w.limit }

func (w *window) acquire(cost float64) {
	w.used += cost
	w.requests++
}

// release returns the cost of a request that received its first token or ended without one.
func (w *window) release(cost float64) {
	w.used = max(0, w.used-cost)
	w.requests = max(0, w.requests-1)
}

// observe adapts the window to the time that a request waited at the targets.
func (w *window) observe(now clock.Time, r Request, wait time.Duration) {
	if r.Cost == 0 {
		return // the time of a plain HTTP request depends on its service alone
	}
	w.spread += (math.Abs(wait.Seconds()-w.delay) - w.spread) * delaySmoothing
	w.delay += (wait.Seconds() - w.delay) * delaySmoothing
	if w.delay <= targetDelayFraction*(r.Objective-r.Cost).Seconds() {
		if w.used >= growUtilization*w.limit {
			w.limit += windowGrow * r.Cost.Seconds()
		}
		return
	}
	if now.Sub(w.shrunk) >= shrinkPause {
		w.shrunk = now
		w.limit = max(windowMin, w.limit*windowShrink)
	}
}
