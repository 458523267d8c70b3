package router

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: a target that fails every request immediately has no queue and no running requests.
// It therefore looks like the best target and attracts requests that others could serve, while its
// health checks and announcements may keep succeeding.
//
// Each instance therefore counts the answers and failures of each target, with exponential decay,
// and uses the sums over all instances where these are shared. The fraction of failures beyond what
// is tolerated adds a penalty to the target's cost. As the counts decay, an occasional request
// probes whether the target has recovered.

const (
	// failureWindow is the time constant of the decay.
	failureWindow = 3 * time.Second
	// toleratedFailures is the fraction of failed requests up to which a target has no penalty.
	// Some requests fail on any target, and a target that serves half of its requests is still
	// needed under load.
	toleratedFailures = 0.5
	// maxFailurePenalty is the penalty at a failed fraction of 1, in seconds.
	maxFailurePenalty = 2.0
	// ownPrior and sharedPrior are the numbers of successful answers that are added to the
	// answers of this instance and of all instances, so that a single failure is not
	// conclusive.
	ownPrior    = 2
	sharedPrior = 3
)

// Answers counts the answers of a target, with exponential decay.
type Answers struct {
	All    float64
	Failed float64
}

// failedFraction returns the fraction of failed answers, with prior successful ones added.
func (a Answers) failedFraction(prior float64) float64 { return a.Failed / (a.All + prior) }

// decayingAnswers is Answers as of a point in time.
type decayingAnswers struct {
	Answers
	at clock.Time
}

// decay reduces the counts to their values at now.
func (a *decayingAnswers) decay(now clock.Time) {
	factor := math.Exp(-now.Sub(a.at).Seconds() / failureWindow.Seconds())
	a.All *= factor
	a.Failed *= factor
	a.at = now
}

// Answered records an answer of a target, or its failure to answer.
func (r *Router) Answered(now clock.Time, c Choice, failed bool) {
	d := &r.details[c.slot]
	if d.gen != c.gen {
		return
	}
	d.answers.decay(now)
	d.answers.All++
	if failed {
		d.answers.Failed++
	}
	r.updateFailurePenalty(now, c.slot)
}

// SetSharedAnswers sets the counts of the answers that a target gave to all instances together.
func (r *Router) SetSharedAnswers(now clock.Time, id ident.TargetID, all Answers) {
	i, ok := r.byID[id]
	if !ok || all.Failed == 0 && r.details[i].failurePenalty == 0 {
		return
	}
	r.details[i].sharedAnswers = decayingAnswers{all, now}
	r.updateFailurePenalty(now, i)
}

// updateFailurePenalty recomputes the failure penalty of a target.
func (r *Router) updateFailurePenalty(now clock.Time, i int32) {
	d := &r.details[i]
	d.answers.decay(now)
	d.sharedAnswers.decay(now)
	fraction := max(d.answers.failedFraction(ownPrior), d.sharedAnswers.failedFraction(sharedPrior))
	penalty := max(0, fraction-toleratedFailures) / (1 - toleratedFailures) * maxFailurePenalty
	if penalty != d.failurePenalty {
		d.failurePenalty = penalty
		r.updateCost(i)
	}
}

// Failure describes a target that fails more requests than is tolerated.
type Failure struct {
	Own, All Answers
	Penalty  time.Duration // added to the target's cost
}

// Failures returns the targets that fail more requests than is tolerated.
func (r *Router) Failures() map[ident.TargetID]Failure {
	var failures map[ident.TargetID]Failure
	for i := range r.details {
		d := &r.details[i]
		if !d.inUse || d.failurePenalty == 0 {
			continue
		}
		if failures == nil {
			failures = map[ident.TargetID]Failure{}
		}
		failures[d.target.ID] = Failure{d.answers.Answers, d.sharedAnswers.Answers, seconds(d.failurePenalty)}
	}
	return failures
}

// decayFailures recomputes the failure penalties, so that they also decay for targets that receive
// no requests.
func (r *Router) decayFailures(now clock.Time) {
	for i := range r.details {
		if d := &r.details[i]; d.inUse && d.failurePenalty > 0 {
			r.updateFailurePenalty(now, int32(i))
		}
	}
}
