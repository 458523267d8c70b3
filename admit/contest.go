package admit

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: for seconds, more requests ask for engines than can be served in time: long prompts and short questions
// change places, one workspace sends ten times its share, or all callers come at once after a restart. In the order of
// arrival, requests that cannot be in time any more hold back others that can. If the former are refused, their callers
// come back and are late as well.
//
// A request that is expected to be late is therefore deferred: it goes behind those of its priority that can be in time. While
// waits are long, so do the requests of a workspace that has lately used much more than its share. Only a request whose
// answer is not expected while its caller still waits is refused.

// Contest decides about requests that compete for the engines of a region. The zero value is ready to use. It is not safe
// for concurrent use.
type Contest struct {
	usage usage
}

// Contender describes a request that asks for its first target.
type Contender struct {
	Workspace ident.TenantID // empty if the request has none
	// Objective is the time left of the objective for the first token. It is not positive if that has passed.
	Objective time.Duration
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
}

// Expectation is what a request may expect at the target that is best for it.
type Expectation struct {
	Wait       time.Duration // behind other requests
	Processing time.Duration // of its own prompt, with the way there and back
}

// first returns the expected time to the first token.
func (e Expectation) first() time.Duration { return e.Wait + e.Processing }

// Standing is the place of a request among those of its priority.
type Standing uint8

// The standings.
const (
	Regular          Standing = iota
	DeferredAsLate            // the objective cannot be met
	DeferredForShare          // the workspace has used more than its share while others wait
)

// String returns the standing for logs.
func (s Standing) String() string {
	switch s {
	case DeferredAsLate:
		return "late"
	case DeferredForShare:
		return "share"
	default:
		return "regular"
	}
}

const (
	// pressureDivisor divides what is left of an objective. A longer wait means that requests compete.
	pressureDivisor = 2
	// lateFactor is the number of times that the expected wait has to fit into the time that a caller still waits.
	// Regular requests that come later go before a deferred one.
	lateFactor = 3
)

// Standing returns the standing of a request, given what it may expect as a regular one.
func (c *Contest) Standing(now clock.Time, r Contender, e Expectation) Standing {
	c.usage.sweep(now)
	switch {
	case e.first() > r.Objective:
		return DeferredAsLate
	case e.Wait > r.Objective/pressureDivisor && r.Workspace != "" && c.usage.heavy(r.Workspace):
		return DeferredForShare
	default:
		return Regular
	}
}

// Placed records that a request of a workspace goes to a target that spends some time on it.
func (c *Contest) Placed(now clock.Time, workspace ident.TenantID, spent time.Duration) {
	if workspace == "" {
		return
	}
	c.usage.sweep(now)
	c.usage.add(now, workspace, spent.Seconds())
}

// Refusal reports whether a request is refused, given what it may expect with its standing. The result is the time after
// which an equal request would be in time, as the backlog drains.
func (r Contender) Refusal(e Expectation) (retryAfter time.Duration, refused bool) {
	if lateFactor*e.Wait+e.Processing <= r.Remaining {
		return 0, false
	}
	return max(0, e.Wait-max(0, r.Objective-e.Processing)), true
}
