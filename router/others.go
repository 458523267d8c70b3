package router

import (
	"math"
	"time"
)

// estimate is what other instances have at a target, in one measure of load.
//
// An old report is followed slowly: others' work comes and goes faster than it
// tells, and instances that all act on the same old report all act alike, so that
// the targets swing between empty and full. For the same reason what this instance
// has sent since tells what the others have sent since: see now.
type estimate struct {
	others float64 // in the reports, smoothed
	own    float64 // of this instance when they were measured, smoothed likewise
}

// reportTrust is the age at which a report counts for about a third.
const reportTrust = 1 * time.Second

// take moves the estimate towards a report, of which own was this instance's part
// when it was measured.
func (e *estimate) take(reported, own float64, age time.Duration) {
	weight := math.Exp(-age.Seconds() / reportTrust.Seconds())
	e.others += (max(0, reported-own) - e.others) * weight
	e.own += (own - e.own) * weight
}

// now returns what others have at present, when this instance has own. Every unit
// more or less than at the reports stands for alike units of the others.
func (e *estimate) now(own, alike float64) float64 {
	return max(0, e.others+alike*(own-e.own))
}

// shares is the running requests at the targets of one service, as estimated.
type shares struct {
	others, own float64
}

// maxAlike bounds the units that one of this instance's own stands for. Beyond it,
// chance in the own few requests counts for more than what they tell.
const maxAlike = 6

// alikeAge is the age of reports at which about two thirds of the others count as
// acting alike at the engine that is reserved for short prompts.
const alikeAge = 3 * time.Second

// alike returns how many units of others a unit of this instance stands for at a
// target whose reports are as old as age. Short prompts at the reserved engine are
// gone before a fresh report could mislead anyone about them, so there the own ones
// tell of others only when reports are old.
func (r *Router) alike(i int32, age time.Duration) float64 {
	if r.cfg.DisjointTargets {
		return 0
	}
	service := r.slots[i].service
	s := r.shares[service]
	alike := min(maxAlike, s.others/max(s.own, 1))
	if kept, ok := r.reserved[service]; ok && kept == i {
		alike *= 1 - math.Exp(-age.Seconds()/alikeAge.Seconds())
	}
	return alike
}

// share adds a slot's running requests to those of its service, or takes them off.
func (r *Router) share(i int32, sign float64) {
	s := &r.shares[r.slots[i].service]
	d := &r.details[i]
	s.others += sign * d.running.others
	s.own += sign * d.running.own
}
