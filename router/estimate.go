package router

import (
	"math"
	"time"
)

// estimate is the load of other instances at a target, in one unit of load.
//
// It follows old reports slowly. The load of others changes faster than an old report shows, and if
// all instances acted on the same old report at once, targets would oscillate between empty and
// full. Because the instances act alike, the load that this instance has added since a report also
// indicates what the others have added; see current.
type estimate struct {
	others float64 // load of others in the reports, smoothed
	own    float64 // load of this instance when the reports were measured, smoothed
}

// reportDecay is the age at which the weight of a report is 1/e.
const reportDecay = 1 * time.Second

// observe moves the estimate towards a report. own is the part of the report that this instance
// caused.
func (e *estimate) observe(reported, own float64, age time.Duration) {
	weight := math.Exp(-age.Seconds() / reportDecay.Seconds())
	e.others += (max(0, reported-own) - e.others) * weight
	e.own += (own - e.own) * weight
}

// current returns the present load of others if this instance has own. Every unit of difference
// from own at the time of the reports counts as herdFactor units of the others.
func (e *estimate) current(own, herdFactor float64) float64 {
	return max(0, e.others+herdFactor*(own-e.own))
}

// serviceRunning is the estimated number of running requests at the targets of one service.
type serviceRunning struct {
	others, own float64
}

// maxHerdFactor limits the herd factor. Above it, random variation of the few own requests would
// outweigh the information in them.
const maxHerdFactor = 6

// reservedHerdAge is the report age at which, at the engine reserved for short prompts, the herd
// factor has 1-1/e of its full value.
const reservedHerdAge = 3 * time.Second

// herdFactor returns how many units of load the other instances are assumed to add for each unit
// that this instance adds at a target, given the age of its reports. Short prompts at the reserved
// engine end before a fresh report could be misleading, so that there the herd factor only applies
// to old reports.
func (r *Router) herdFactor(i int32, age time.Duration) float64 {
	if r.cfg.DisjointTargets {
		return 0
	}
	service := r.slots[i].service
	s := r.runningByService[service]
	factor := min(maxHerdFactor, s.others/max(s.own, 1))
	if reserved, ok := r.reservedEngines[service]; ok && reserved == i {
		factor *= 1 - math.Exp(-age.Seconds()/reservedHerdAge.Seconds())
	}
	return factor
}

// addRunning adds a slot's running requests to those of its service, or subtracts them if sign is
// -1.
func (r *Router) addRunning(i int32, sign float64) {
	s := &r.runningByService[r.slots[i].service]
	d := &r.details[i]
	s.others += sign * d.running.others
	s.own += sign * d.running.own
}
