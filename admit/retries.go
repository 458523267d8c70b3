package admit

import (
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// RetryLimit bounds the retries of a service over all instances.
type RetryLimit struct {
	Ratio  float64       // retries for each request
	Window time.Duration // any span of this length counts
	Slack  int           // retries beyond the ratio
}

// steps is the number of parts in which a window slides.
const steps = 20

// caution is the part of a limit that is used: instances count in windows that are not quite
// the same.
const caution = 0.8

// RetryLimiter keeps one instance's part of a RetryLimit.
//
// Load pattern: a service fails at many targets at once while callers repeat by themselves; every
// instance sees failures only, and together they would double the load of what is left.
// Each instance may repeat in the ratio of its own requests, and has an equal part of the
// slack, so that the sum keeps the limit without a word between them.
type RetryLimiter struct {
	limit    RetryLimit
	step     int64      // of the newest part
	requests [steps]int // in each part of the window
	retries  [steps]int
}

// NewRetryLimiter returns an instance's part of a limit.
func NewRetryLimiter(l RetryLimit) *RetryLimiter { return &RetryLimiter{limit: l} }

// slide empties the parts that the window has left by now.
func (r *RetryLimiter) slide(now clock.Time) int64 {
	step := int64(now) / (int64(r.limit.Window) / steps)
	for s := max(r.step+1, step-steps+1); s <= step; s++ {
		r.requests[s%steps], r.retries[s%steps] = 0, 0
	}
	r.step = max(r.step, step)
	return r.step % steps
}

// Request counts a request.
func (r *RetryLimiter) Request(now clock.Time) { r.requests[r.slide(now)]++ }

// Retry reports whether a retry is allowed by one of n instances, and counts it.
func (r *RetryLimiter) Retry(now clock.Time, n int) bool {
	at := r.slide(now)
	requests, retries := 0, 0
	for i := range steps {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	allowed := caution * (r.limit.Ratio*float64(requests) + float64(r.limit.Slack)/float64(max(1, n)))
	if float64(retries+1) > allowed {
		return false
	}
	r.retries[at]++
	return true
}
