package router

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: a target that fails every request at once has no queue and nothing running, so
// that it looks like the best one and draws in what the others could serve. Its health checks and announcements
// may be good all the while.
//
// So each instance counts the answers and the failures of each target, older ones less, and takes the sums of
// all instances where these share them. What a target fails beyond the part that is usual for some requests makes it cost
// more. As the counts fade, a request now and then finds out whether it is well again.

const (
	// failureWindow is the time constant with which answers fade.
	failureWindow = 3 * time.Second
	// failuresUsual is the part of its requests up to which a target is as good as the others: some
	// requests fail wherever they go, and a target that serves half is needed under load.
	failuresUsual = 0.5
	// failurePrice is what a target costs more that fails every request, in seconds.
	failurePrice = 2.0
	// ownPrior and sharedPrior are answers without a failure that are added to those of this
	// instance and of all, so that one failure alone does not tell.
	ownPrior    = 2
	sharedPrior = 3
)

// Answers counts the answers of a target, older ones less.
type Answers struct {
	All    float64
	Failed float64
}

// part returns the failed part, with so many sound answers added.
func (a Answers) part(prior float64) float64 { return a.Failed / (a.All + prior) }

// answers is the Answers of this instance, as of a point in time.
type answers struct {
	Answers
	at clock.Time
}

// fade brings the counts up to now.
func (a *answers) fade(now clock.Time) {
	factor := math.Exp(-now.Sub(a.at).Seconds() / failureWindow.Seconds())
	a.All *= factor
	a.Failed *= factor
	a.at = now
}

// Answered counts an answer of a target, or the lack of one.
func (r *Router) Answered(now clock.Time, c Choice, failed bool) {
	d := &r.details[c.slot]
	if d.gen != c.gen {
		return
	}
	d.answers.fade(now)
	d.answers.All++
	if failed {
		d.answers.Failed++
	}
	r.judge(now, c.slot)
}

// SetSharedAnswers takes the answers of a target to all instances.
func (r *Router) SetSharedAnswers(now clock.Time, id ident.TargetID, all Answers) {
	i, ok := r.byID[id]
	if !ok || all.Failed == 0 && r.details[i].failing == 0 {
		return
	}
	r.details[i].answersOfAll = answers{all, now}
	r.judge(now, i)
}

// judge sets what a target costs for its failures.
func (r *Router) judge(now clock.Time, i int32) {
	d := &r.details[i]
	d.answers.fade(now)
	d.answersOfAll.fade(now)
	part := max(d.answers.part(ownPrior), d.answersOfAll.part(sharedPrior))
	failing := max(0, part-failuresUsual) / (1 - failuresUsual) * failurePrice
	if failing != d.failing {
		d.failing = failing
		r.settle(i)
	}
}

// Failure is what is known of a target that fails more than is usual.
type Failure struct {
	Own, All Answers
	Penalty  time.Duration // that its choice is charged
}

// Failures returns the targets that fail more than is usual.
func (r *Router) Failures() map[ident.TargetID]Failure {
	var failures map[ident.TargetID]Failure
	for i := range r.details {
		d := &r.details[i]
		if !d.known || d.failing == 0 {
			continue
		}
		if failures == nil {
			failures = map[ident.TargetID]Failure{}
		}
		failures[d.target.ID] = Failure{d.answers.Answers, d.answersOfAll.Answers, seconds(d.failing)}
	}
	return failures
}

// forgive lets the failures of targets fade that got no request lately.
func (r *Router) forgive(now clock.Time) {
	for i := range r.details {
		if d := &r.details[i]; d.known && d.failing > 0 {
			r.judge(now, int32(i))
		}
	}
}
