package policy

import (
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/router"
)

// RouteKind names a way to choose targets.
type RouteKind int

// The ways to choose targets.
const (
	RouteCost RouteKind = iota // the router's
	RouteRoundRobin
	RouteLeastReported
	RouteTwoChoices
)

// AdmitKind names a way to admit requests.
type AdmitKind int

// The ways to admit requests.
const (
	AdmitFair AdmitKind = iota // the admission queue's
	AdmitAll
	AdmitFIFO
)

// RoleKind names a way to set roles.
type RoleKind int

// The ways to set roles.
const (
	RolesPlanned RoleKind = iota // the planner's
	RolesFixed
	RolesThreshold
	RolesKnown // follows the trace's mixes, known in advance
)

// Policy is one combination.
type Policy struct {
	Name    string
	Route   RouteKind
	Admit   AdmitKind
	Roles   RoleKind
	Goodput float64
	Obey    bool // a part of the refused clients comes back when told to
}

// choose applies the policy's way to choose a target.
func (s *Sim) choose(e *entryState, req router.Request) (router.Choice, bool) {
	if s.policy.Route == RouteCost {
		return e.router.Choose(req)
	}
	var fit []router.Choice
	for _, en := range s.engines {
		if en.draining || en.away || !takes(en.model.Role(), req.Stage) {
			continue
		}
		if c, ok := e.router.ChooseOnly(req, en.id); ok {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return router.Choice{}, false
	}
	switch s.policy.Route {
	case RouteRoundRobin:
		e.turn++
		return fit[e.turn%len(fit)], true
	case RouteTwoChoices:
		a, b := fit[s.rng.IntN(len(fit))], fit[s.rng.IntN(len(fit))]
		if s.reported(e, a) <= s.reported(e, b) {
			return a, true
		}
		return b, true
	default:
		best := fit[0]
		for _, c := range fit[1:] {
			if s.reported(e, c) < s.reported(e, best) {
				best = c
			}
		}
		return best, true
	}
}

func takes(r desired.Role, n router.Stage) bool {
	return (n == router.StageDecode) == (r == desired.RoleDecode)
}

// reported returns the load that an engine last reported to an entry, which is
// all that the baselines look at.
func (s *Sim) reported(e *entryState, c router.Choice) float64 {
	return e.router.ReportedLoad(c.ID)
}

// plan applies the policy's way to set roles.
func (s *Sim) plan() {
	demand := s.demand
	s.demand = fleet.Demand{}
	s.planner.Observe(s.clock(), demand)
	for _, en := range s.engines {
		if en.draining && en.next != "" {
			s.step(en) // an idle engine has nothing else to start its change
			if s.policy.Roles != RolesKnown {
				return // one change at a time
			}
		}
	}
	switch s.policy.Roles {
	case RolesPlanned:
		if c, ok := s.planner.Plan(s.clock(), s.fleet()); ok {
			s.planner.RecordChange(s.clock(), c)
			s.change(s.byID(c.Engine), c.Role)
		}
	case RolesThreshold:
		s.threshold()
	case RolesKnown:
		s.known()
	case RolesFixed:
	}
}

func (s *Sim) fleet() []fleet.Engine {
	var list []fleet.Engine
	for _, en := range s.engines {
		if !en.away && !en.draining {
			list = append(list, fleet.Engine{ID: en.id, Role: en.model.Role(), Running: en.model.Running()})
		}
	}
	return list
}

// change orders an engine to take a role once it is drained.
func (s *Sim) change(en *engineState, r desired.Role) {
	s.result.Changes++
	s.result.changes = append(s.result.changes, roleChange{at: s.now, role: r})
	en.next = r
	s.setDraining(en)
	s.step(en)
}

// threshold is the plain baseline: an engine moves as soon as one side's mean
// utilisation is above a mark and the other's below another.
func (s *Sim) threshold() {
	const high, low = 0.8, 0.5
	var busy, count [2]float64
	for _, en := range s.engines {
		if en.away || en.draining {
			continue
		}
		side := 0
		used := min(1, float64(en.model.Backlog())/float64(s.rates.ChunkAlone))
		if en.model.Role() == desired.RoleDecode {
			side = 1
			used = float64(en.model.Running()) / float64(s.rates.Batch)
		}
		busy[side] += used
		count[side]++
	}
	prefill, decode := busy[0]/max(count[0], 1), busy[1]/max(count[1], 1)
	switch {
	case prefill > high && decode < low && count[1] > 1:
		s.changeIdlest(desired.RoleDecode, desired.RolePrefill)
	case decode > high && prefill < low && count[0] > 1:
		s.changeIdlest(desired.RolePrefill, desired.RoleDecode)
	}
}

func (s *Sim) changeIdlest(from, to desired.Role) {
	var best *engineState
	for _, en := range s.engines {
		if en.away || en.draining || en.model.Role() != from {
			continue
		}
		if best == nil || en.model.Running() < best.model.Running() {
			best = en
		}
	}
	if best != nil {
		s.change(best, to)
	}
}

// known sets the roles that suit the mix of the near future.
func (s *Sim) known() {
	const ahead = 4 * time.Second
	want := split(s.mixAt(s.now+ahead), s.rates)
	have := 0
	for _, en := range s.engines {
		if en.model.Role() == desired.RolePrefill && en.next == "" || en.next == desired.RolePrefill {
			have++
		}
	}
	for ; have < want; have++ {
		s.changeIdlest(desired.RoleDecode, desired.RolePrefill)
	}
	for ; have > want; have-- {
		s.changeIdlest(desired.RolePrefill, desired.RoleDecode)
	}
}

func (s *Sim) mixAt(t time.Duration) float64 {
	for _, seg := range s.spec.Segments {
		if t < seg.For {
			return seg.Long
		}
		t -= seg.For
	}
	return s.spec.Segments[len(s.spec.Segments)-1].Long
}
