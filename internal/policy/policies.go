package policy

import (
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/router"
)

// RouteKind is a routing policy.
type RouteKind int

// The routing policies.
const (
	RouteCost RouteKind = iota // least cost, as package router chooses
	RouteRoundRobin
	RouteLeastReported // least reported load
	RouteTwoChoices    // the less loaded of two random engines
)

// AdmitKind is an admission policy.
type AdmitKind int

// The admission policies.
const (
	AdmitFair AdmitKind = iota // fair shares, as package admit decides
	AdmitAll
	AdmitFIFO // a concurrency limit with a bounded FIFO queue
)

// RoleKind is a policy for the roles of engines.
type RoleKind int

// The role policies.
const (
	RolesPlanned   RoleKind = iota // as package fleet plans
	RolesFixed                     // as at the start
	RolesThreshold                 // by utilization thresholds
	RolesOracle                    // an oracle: the mixes of the trace are given in advance
)

// Policy is a combination of a routing, an admission and a role policy.
type Policy struct {
	Name         string
	Route        RouteKind
	Admit        AdmitKind
	Roles        RoleKind
	Goodput      float64 // preference for goodput over few role changes, from 0 to 1
	RetryRefused bool    // a quarter of the refused clients retries once, after Retry-After
}

// chooseTarget chooses an engine for a request by the routing policy. It returns false if
// no engine accepts the stage.
func (s *Sim) chooseTarget(in *instanceState, req router.Request) (router.Choice, bool) {
	if s.policy.Route == RouteCost {
		return in.router.Choose(req)
	}
	var fit []router.Choice
	for _, en := range s.engines {
		if en.draining || en.unavailable || !acceptsStage(en.model.Role(), req.Stage) {
			continue
		}
		if c, ok := in.router.ChooseOnly(req, en.id); ok {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return router.Choice{}, false
	}
	switch s.policy.Route {
	case RouteRoundRobin:
		in.roundRobin++
		return fit[in.roundRobin%len(fit)], true
	case RouteTwoChoices:
		a, b := fit[s.rng.IntN(len(fit))], fit[s.rng.IntN(len(fit))]
		if s.reportedLoad(in, a) <= s.reportedLoad(in, b) {
			return a, true
		}
		return b, true
	default:
		best := fit[0]
		for _, c := range fit[1:] {
			if s.reportedLoad(in, c) < s.reportedLoad(in, best) {
				best = c
			}
		}
		return best, true
	}
}

// acceptsStage reports whether an engine in a role runs a stage.
func acceptsStage(r desired.Role, n router.Stage) bool {
	return (n == router.StageDecode) == (r == desired.RoleDecode)
}

// reportedLoad returns the load that an instance last received from an engine. The baselines
// use no other input.
func (s *Sim) reportedLoad(in *instanceState, c router.Choice) float64 {
	return in.router.ReportedLoad(c.ID)
}

// planRoles changes roles by the role policy. Only the oracle changes several engines at
// once.
func (s *Sim) planRoles() {
	demand := s.demand
	s.demand = fleet.Demand{}
	s.planner.Observe(s.clock(), demand)
	for _, en := range s.engines {
		if en.draining && en.nextRole != "" {
			s.stepEngine(en) // an idle engine produces no output that would start its change
			if s.policy.Roles != RolesOracle {
				return // one change at a time
			}
		}
	}
	switch s.policy.Roles {
	case RolesPlanned:
		if c, ok := s.planner.Plan(s.clock(), s.availableEngines()); ok {
			s.planner.RecordChange(s.clock(), c)
			s.orderRoleChange(s.engineByID(c.Engine), c.Role)
		}
	case RolesThreshold:
		s.planByThreshold()
	case RolesOracle:
		s.planByMix()
	case RolesFixed:
	}
}

// availableEngines returns the engines that take requests, for the planner.
func (s *Sim) availableEngines() []fleet.Engine {
	var list []fleet.Engine
	for _, en := range s.engines {
		if !en.unavailable && !en.draining {
			list = append(list, fleet.Engine{ID: en.id, Role: en.model.Role(), Running: en.model.Running()})
		}
	}
	return list
}

// orderRoleChange drains an engine, which then changes its role.
func (s *Sim) orderRoleChange(en *engineState, r desired.Role) {
	s.result.RoleChanges++
	s.result.changes = append(s.result.changes, roleChange{at: s.now, role: r})
	en.nextRole = r
	s.setDraining(en)
	s.stepEngine(en)
}

// planByThreshold is the threshold baseline: an engine changes its role as soon as the mean
// utilization of one role is above the high threshold and that of the other role is below
// the low one.
func (s *Sim) planByThreshold() {
	const high, low = 0.8, 0.5
	var busy, count [2]float64
	for _, en := range s.engines {
		if en.unavailable || en.draining {
			continue
		}
		group := 0 // prefill
		used := min(1, float64(en.model.BacklogTokens())/float64(s.rates.PrefillChunk))
		if en.model.Role() == desired.RoleDecode {
			group = 1
			used = float64(en.model.Running()) / float64(s.rates.MaxBatch)
		}
		busy[group] += used
		count[group]++
	}
	prefill, decode := busy[0]/max(count[0], 1), busy[1]/max(count[1], 1)
	switch {
	case prefill > high && decode < low && count[1] > 1:
		s.changeLeastLoaded(desired.RoleDecode, desired.RolePrefill)
	case decode > high && prefill < low && count[0] > 1:
		s.changeLeastLoaded(desired.RolePrefill, desired.RoleDecode)
	}
}

// changeLeastLoaded changes the role of the engine with the fewest requests.
func (s *Sim) changeLeastLoaded(from, to desired.Role) {
	var best *engineState
	for _, en := range s.engines {
		if en.unavailable || en.draining || en.model.Role() != from {
			continue
		}
		if best == nil || en.model.Running() < best.model.Running() {
			best = en
		}
	}
	if best != nil {
		s.orderRoleChange(best, to)
	}
}

// planByMix sets the number of prefill engines that suits the mix of the trace a few seconds
// ahead.
func (s *Sim) planByMix() {
	const ahead = 4 * time.Second
	want := prefillEngineCount(s.longShareAt(s.now+ahead), s.rates)
	have := 0
	for _, en := range s.engines {
		if en.model.Role() == desired.RolePrefill && en.nextRole == "" || en.nextRole == desired.RolePrefill {
			have++
		}
	}
	for ; have < want; have++ {
		s.changeLeastLoaded(desired.RoleDecode, desired.RolePrefill)
	}
	for ; have > want; have-- {
		s.changeLeastLoaded(desired.RolePrefill, desired.RoleDecode)
	}
}

// longShareAt returns the share of long requests at a time of the trace.
func (s *Sim) longShareAt(t time.Duration) float64 {
	for _, seg := range s.spec.Segments {
		if t < seg.Duration {
			return seg.LongShare
		}
		t -= seg.Duration
	}
	return s.spec.Segments[len(s.spec.Segments)-1].LongShare
}
