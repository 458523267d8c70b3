package router

import (
	"math"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Load pattern: engines of one role run at 0.6 to 1.6 of their stated speed, and hosts that plain targets share with others
// slow down for some hundred milliseconds at a time. By places taken, a slow target gets as much as a fast one, and its
// queue decides the worst answers.
//
// The token time of each engine is therefore learned from its own prompts, beside that of its role. Where engines of a role
// are seen to differ much, each counts with its own token time, so that work waits at a target in time: an engine at
// half the speed gets half. Small differences are in the noise of prompts that delay each other; there the role's
// token time is better, as it rests on many more outcomes. What was learned of a target is forgotten when it starts again.
//
// Plain targets have a factor of their own where they state the pace of their hosts.

const (
	// maxSpeedWeight is the number of outcomes that a target's speed rests on at most, so that newer ones count.
	maxSpeedWeight = 8.0
	// evenWeight is the number of outcomes that speak for a target being like the others before it has any.
	evenWeight = 1.0
	// maxSurprise limits the effect of one outcome to this factor of what was expected: some prompts wait behind others
	// that this instance does not see.
	maxSurprise = 2.0
	// unevenSpread is the ratio between slow and fast engines of a role from which on each counts with its own speed. A fifth
	// of the engines at either end does not count in it: the extremes of few noisy values lie far apart.
	unevenSpread = 1.8
	// spreadReview is the number of outcomes after which the spread is looked at, and one more for each reviewShare engines
	// that are known, so that a look at all engines is rare where there are thousands. minSpeedWeight are the outcomes that an
	// engine's token time must rest on to count in it, and minSpreadTargets is the number of such engines.
	spreadReview     = 8
	reviewShare      = 8
	minSpeedWeight   = 1.5
	minSpreadTargets = 12
	// paceLifetime is the time constant with which a stated pace loses its weight.
	paceLifetime = 80 * time.Millisecond
	// usualPace is the pace of a host that is as usual.
	usualPace = 100
	// maxPace is the largest pace that counts. A larger one is cut.
	maxPace = 1000
	// serveTimeWeight is the weight of one outcome in the time that a plain request takes.
	serveTimeWeight = 0.02
	// maxServeFactor bounds the factor of a plain target, up and down.
	maxServeFactor = 4.0
)

// logMean is a mean of logarithms of which newer values count more.
type logMean struct{ mean, weight float64 }

// add adds the logarithm of a value with a weight of at most 1.
func (m *logMean) add(value, weight float64) {
	m.weight = min(m.weight+weight, maxSpeedWeight)
	m.mean += (math.Log(value) - m.mean) * weight / m.weight
}

// speed is what is known of the speed of one target.
type speed struct {
	// took is how much longer work takes than stated: at an engine the time for a prompt token relative to its rate, at
	// a plain target the time to serve relative to others of the service.
	took logMean
	role desired.Role // under which took was learned
	// pace is the time that work takes on the host at paceAt, relative to the usual; 0 if none was stated.
	pace   float64
	paceAt clock.Time
	// current is the pace that counts in the target's cost; 0 means the usual one.
	current float64
}

// roleSpeed is what is known of the engines of a service and role.
type roleSpeed struct {
	took     logMean
	outcomes int
	review   int  // number of outcomes at which the spread is looked at next
	uneven   bool // each engine counts with its own speed
}

// roleSpeed returns the speed of a service and role, and creates it if needed.
func (r *Router) roleSpeed(key tokenTimeKey) *roleSpeed {
	if r.roleSpeeds[key] == nil {
		r.roleSpeeds[key] = &roleSpeed{}
	}
	return r.roleSpeeds[key]
}

// expectedScale returns the token time of an engine relative to its rate, by its own outcomes and those of its role.
func (r *Router) expectedScale(i int32, of *roleSpeed) float64 {
	own := r.details[i].speed.took
	mean := (own.mean*own.weight + of.took.mean*evenWeight) / (own.weight + evenWeight)
	return min(max(math.Exp(mean), 1/maxScale), maxScale)
}

// learnSpeed learns from a prompt of some tokens that took some seconds at an engine, of which it was expected to wait for a
// part. Prompts that waited say the less, the longer they did; but a busy engine has no others.
func (r *Router) learnSpeed(i int32, tokens, took, wait float64) {
	d := &r.details[i]
	if d.speed.role != d.target.Role {
		d.speed.took, d.speed.role = logMean{}, d.target.Role
	}
	key := r.tokenTimeKey(i)
	of := r.roleSpeed(key)
	scale := max(took-wait, 0) * d.rate / tokens
	if of.outcomes > 0 {
		expected := r.expectedScale(i, of)
		scale = min(max(scale, expected/maxSurprise), expected*maxSurprise)
	}
	if scale <= 0 {
		return
	}
	trust := took / (took + wait)
	d.speed.took.add(scale, trust)
	of.took.add(scale, trust)
	of.outcomes++
	if of.outcomes >= of.review {
		r.reviewSpread(key, of)
	}
}

// reviewSpread lets the engines of a role count with their own speeds once they are seen to differ much. It stays so: that
// they look even then is its effect.
func (r *Router) reviewSpread(key tokenTimeKey, of *roleSpeed) {
	if of.uneven {
		return
	}
	var known []float64
	for i := range r.details {
		if d := &r.details[i]; d.inUse && r.tokenTimeKey(int32(i)) == key && d.speed.took.weight >= minSpeedWeight {
			known = append(known, d.speed.took.mean)
		}
	}
	of.review = of.outcomes + spreadReview + len(known)/reviewShare
	if len(known) < minSpreadTargets {
		return
	}
	slices.Sort(known)
	fifth := len(known) / 5
	if known[len(known)-1-fifth]-known[fifth] < math.Log(unevenSpread) {
		return
	}
	of.uneven = true
	r.unevenServices[key.service] = true
	for i := range r.slots {
		if r.details[i].inUse && r.tokenTimeKey(int32(i)) == key {
			r.updateCost(int32(i))
		}
	}
}

// statePace records the pace that a plain target states. 0 means that it states none.
func (r *Router) statePace(now clock.Time, i int32, pace int) {
	d := &r.details[i]
	if pace <= 0 || d.target.Role != "" {
		return
	}
	r.statesPace[r.slots[i].service] = true
	r.paced[i] = true
	d.speed.pace, d.speed.paceAt = float64(min(pace, maxPace))/usualPace, now
	d.speed.current = d.speed.pace
}

// paceNow returns the factor of the host's pace, which fades to 1.
func (s *speed) paceNow(now clock.Time) float64 {
	if s.pace == 0 {
		return 1
	}
	return 1 + (s.pace-1)*math.Exp(-now.Sub(s.paceAt).Seconds()/paceLifetime.Seconds())
}

// RefreshPaces brings the costs of plain targets up to date with the time since they stated the pace of their hosts.
func (r *Router) RefreshPaces(now clock.Time) {
	for i := range r.paced {
		s := &r.details[i].speed
		if now.Sub(s.paceAt) > 4*paceLifetime {
			s.pace = 0
			delete(r.paced, i)
		}
		s.current = s.paceNow(now)
		r.updateCost(i)
	}
}

// serveFactor returns the factor of the time that a plain target takes, relative to others of its service.
func (s *speed) serveFactor() float64 {
	factor := math.Exp(s.took.mean * s.took.weight / (s.took.weight + evenWeight))
	return min(max(factor, 1/maxServeFactor), maxServeFactor)
}

// learnServeTime learns from the time of a plain request that found a free place.
func (r *Router) learnServeTime(now clock.Time, c Choice) {
	d := &r.details[c.slot]
	service := r.slots[c.slot].service
	took := now.Sub(c.sent).Seconds() - 2*d.link
	if c.sent == 0 || took <= 0 || d.target.Role != "" || c.Wait > 0 || !r.statesPace[service] {
		return
	}
	took /= d.speed.paceNow(now)
	usual, known := r.serveTimes[service]
	if !known {
		r.serveTimes[service] = took
		return
	}
	took = min(max(took, usual/maxOutcomeFactor), usual*maxOutcomeFactor)
	d.speed.took.add(took/usual, 1)
	r.serveTimes[service] = usual + (took-usual)*serveTimeWeight
}

// serveTime returns the seconds that a plain target is expected to take for a request, without those that it waits; 0 where all
// are assumed to take the same.
func (r *Router) serveTime(i int32) float64 {
	d := &r.details[i]
	if d.target.Role != "" || !r.statesPace[r.slots[i].service] {
		return 0
	}
	factor := d.speed.serveFactor()
	if d.speed.current > 0 {
		factor *= d.speed.current
	}
	return r.serveTimes[r.slots[i].service] * factor
}

// TargetSpeed describes the speed of a target for operators.
type TargetSpeed struct {
	Target   ident.TargetID `json:"target"`
	Slowness float64        `json:"slowness"` // of the time that work takes, relative to what its role or service takes
	Counts   bool           `json:"counts"`   // in the choice of targets
	Pace     int            `json:"pace"`     // last stated pace of its host; 0 if it states none
	// Price is the additional cost of a second of prompt processing there, in seconds, by the pauses in the engine's answers.
	// It counts where engines of the service differ in speed.
	Price float64 `json:"price,omitempty"`
}

// Speeds returns what has been learned of the speeds of targets.
func (r *Router) Speeds() []TargetSpeed {
	var all []TargetSpeed
	for i := range r.details {
		d := &r.details[i]
		switch of := r.roleSpeeds[r.tokenTimeKey(int32(i))]; {
		case !d.inUse:
		case d.target.Role == "" && r.statesPace[r.slots[i].service]:
			all = append(all, TargetSpeed{Target: d.target.ID, Slowness: d.speed.serveFactor(), Counts: true, Pace: d.report.Pace})
		case of != nil && d.speed.took.weight > 0:
			all = append(all, TargetSpeed{
				Target: d.target.ID, Slowness: math.Exp(d.speed.took.mean - of.took.mean), Counts: of.uneven, Pace: d.report.Pace, Price: float64(r.slots[i].interference),
			})
		}
	}
	return all
}

// UnevenServices returns the services of which a role's engines are seen to differ much in speed.
func (r *Router) UnevenServices() []ident.ServiceID {
	var uneven []ident.ServiceID
	for service, i := range r.services {
		if r.unevenServices[i] {
			uneven = append(uneven, service)
		}
	}
	return uneven
}
