package admit

import (
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// RetryLimit limits the retries of a service over all instances.
type RetryLimit struct {
	Ratio  float64       // retries per request
	Window time.Duration // length of the sliding window
	Slack  float64       // retries allowed in addition to the ratio
}

// windowSteps is the number of steps in which a window slides.
const windowSteps = 20

// safetyFactor is the fraction of a limit that is used, because the windows of the instances are
// not aligned.
const safetyFactor = 0.8

// RetryLimiter applies one instance's share of a RetryLimit.
//
// Load pattern: a service fails at many targets at once while callers also retry on their own.
// Every instance sees only failures, and together the retries would double the load on the
// remaining targets. Each instance may therefore retry in proportion to its own requests and has an
// equal share of the slack, so that the sum over the instances stays within the limit without
// communication.
//
// An instance that has started has no record of its retries before, and may receive too small a number
// of instances while they all start. It has no share of the slack for the length of one window.
type RetryLimiter struct {
	limit    RetryLimit
	started  clock.Time
	step     int64            // newest step
	requests [windowSteps]int // by step of the window
	retries  [windowSteps]int
}

// NewRetryLimiter returns the share of a limit of an instance that started at the given time.
func NewRetryLimiter(l RetryLimit, started clock.Time) *RetryLimiter {
	return &RetryLimiter{limit: l, started: started}
}

// slide clears the steps that have left the window, and returns the index of the current step.
func (r *RetryLimiter) slide(now clock.Time) int64 {
	step := int64(now) / (int64(r.limit.Window) / windowSteps)
	for s := max(r.step+1, step-windowSteps+1); s <= step; s++ {
		r.requests[s%windowSteps], r.retries[s%windowSteps] = 0, 0
	}
	r.step = max(r.step, step)
	return r.step % windowSteps
}

// Request counts a request.
func (r *RetryLimiter) Request(now clock.Time) { r.requests[r.slide(now)]++ }

// Retry reports whether one of n instances may retry, and counts the retry if so.
func (r *RetryLimiter) Retry(now clock.Time, n int) bool {
	at := r.slide(now)
	requests, retries := 0, 0
	for i := range windowSteps {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	slack := 0.0
	if now.Sub(r.started) >= r.limit.Window {
		slack = r.limit.Slack / float64(max(1, n))
	}
	allowed := safetyFactor * (r.limit.Ratio*float64(requests) + slack)
	if float64(retries+1) > allowed {
		return false
	}
	r.retries[at]++
	return true
}
