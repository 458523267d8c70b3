package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/duty"
	"github.com/hickoryridge/hickoryridge/state"
)

// CapacityConfig configures the orders of targets.
type CapacityConfig struct {
	Policy fleet.CapacityPolicy
	// Announced is the time within which every target that runs has announced itself to a new leader.
	Announced time.Duration
}

// capacityInterval is the interval at which the numbers of targets are planned.
const capacityInterval = 1 * time.Second

// capacityTerm holds the planners of a term.
type capacityTerm struct {
	planners map[ident.ServiceID]*fleet.CapacityPlanner
	present  map[ident.ServiceID]fleet.Supply // at the last plan
	reasons  map[state.Subject]string         // of the last order
	planned  clock.Time
}

func newCapacityTerm() capacityTerm {
	return capacityTerm{planners: map[ident.ServiceID]*fleet.CapacityPlanner{}, present: map[ident.ServiceID]fleet.Supply{}, reasons: map[state.Subject]string{}}
}

// decideCapacity plans the number of targets of each service whose capacity the document bounds, and decides the orders
// that are due.
func (co *Coordinator) decideCapacity(ctx context.Context, now clock.Time, t *dutyTerm, held state.Duties) {
	cfg := co.cfg.Duties.Capacity
	if cfg == nil || now.Sub(t.capacity.planned) < capacityInterval {
		return
	}
	co.mu.Lock()
	early := now.Sub(co.leadingSince) < cfg.Announced
	co.mu.Unlock()
	if early {
		return
	}
	t.capacity.planned = now
	doc, err := co.document()
	if err != nil {
		return // no document has been applied yet, or the newest one is invalid
	}
	for i := range doc.Services {
		if s := &doc.Services[i]; s.Capacity != nil {
			co.orderTargets(ctx, now, t, held, s)
		}
	}
}

// orderTargets decides the orders for one service.
func (co *Coordinator) orderTargets(ctx context.Context, now clock.Time, t *dutyTerm, held state.Duties, s *desired.Service) {
	limits := fleet.CapacityLimits{
		Min: s.Capacity.Min, Max: s.Capacity.Max, StartTime: s.Capacity.Start.AsDuration(),
		ReclaimablePrice: s.Capacity.Reclaimable, Prices: s.Capacity.Prices,
	}
	present := co.supply(now, s.Name)
	co.mu.Lock()
	planner := t.capacity.planner(s.Name)
	planner.Observe(now, co.work.total(now, s.Name))
	orders := planner.Plan(now, limits, co.cfg.Duties.Capacity.Policy, present)
	found := planner.State()
	t.capacity.present[s.Name] = present
	co.mu.Unlock()
	for _, o := range orders {
		content := duty.CapacityOrder{Service: s.Name, Domain: o.Domain, Reclaimable: o.Class == fleet.Reclaimable, Count: o.Count}
		subject := content.Subject()
		if openDecisions(held, subject) >= maxOpenOrders {
			continue // the provider does not answer; planned again when it does
		}
		held.Last[subject]++
		if co.decide(ctx, t, held.Last[subject], content) != nil {
			return // planned again when the order has had no effect
		}
		co.mu.Lock()
		t.capacity.reasons[subject] = o.Reason
		co.mu.Unlock()
		co.cfg.Log.WithFields(logrus.Fields{
			"event": "capacity_decided", "service": s.Name, "domain": o.Domain, "class": o.Class, "count": o.Count, "present": present[o.Domain][o.Class],
			"demand": found.Demand, "known": found.Known, "wanted": found.Wanted, "serving": found.Serving, "reason": o.Reason,
		}).Info("a number of targets has been decided")
	}
}

// planner returns the planner of a service and creates it if needed.
func (t *capacityTerm) planner(s ident.ServiceID) *fleet.CapacityPlanner {
	if t.planners[s] == nil {
		t.planners[s] = &fleet.CapacityPlanner{}
	}
	return t.planners[s]
}

// supply returns the usable targets of a service by domain and class.
func (co *Coordinator) supply(now clock.Time, service ident.ServiceID) fleet.Supply {
	present := fleet.Supply{}
	for _, r := range co.cfg.Targets() {
		if r.Service != service || !r.Usable(now) {
			continue
		}
		count := present[r.Domain]
		count[classOf(r.Reclaimable)]++
		present[r.Domain] = count
	}
	return present
}

// capacityRefused records that the provider refused a decision, if that ordered targets.
func (co *Coordinator) capacityRefused(now clock.Time, t *dutyTerm, d state.Decision) {
	content, err := duty.Decode(d)
	if err != nil {
		return // logged with the outcome of the call
	}
	o, ok := content.(duty.CapacityOrder)
	if !ok {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	t.capacity.planner(o.Service).Refused(now, o.Domain, classOf(o.Reclaimable))
}

func classOf(reclaimable bool) fleet.TargetClass {
	if reclaimable {
		return fleet.Reclaimable
	}
	return fleet.Ordinary
}

// CapacityReport describes the capacity of a service for operators.
type CapacityReport struct {
	Service ident.ServiceID          `json:"service"`
	State   fleet.CapacityState      `json:"state"`
	Present fleet.Supply             `json:"present"` // ordinary and reclaimable targets by domain
	Reasons map[state.Subject]string `json:"reasons"` // of the last orders
}

// reports describes the capacity of all services.
func (t *capacityTerm) reports() []CapacityReport {
	var all []CapacityReport
	for _, service := range slices.Sorted(maps.Keys(t.planners)) {
		r := CapacityReport{Service: service, State: t.planners[service].State(), Present: t.present[service], Reasons: map[state.Subject]string{}}
		for domain := range r.Present {
			subject := duty.CapacityOrder{Service: service, Domain: domain}.Subject()
			if reason, ok := t.reasons[subject]; ok {
				r.Reasons[subject] = reason
			}
		}
		all = append(all, r)
	}
	return all
}
