package leader

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// engineWork holds the engine work that placers have reported and the stage planner of each
// service.
type engineWork struct {
	byPlacer map[ident.InstanceID]placerWork
	plans    map[ident.ServiceID]*fleet.SplitPlanner
}

type placerWork struct {
	services   map[ident.ServiceID]fleet.Load
	receivedAt clock.Time
}

func newEngineWork() *engineWork {
	return &engineWork{byPlacer: map[ident.InstanceID]placerWork{}, plans: map[ident.ServiceID]*fleet.SplitPlanner{}}
}

// workLifetime is the time for which a placer's report counts.
const workLifetime = 4 * planInterval

// RecordWork records the engine work that a placer reports. A report with an invalid number is
// dropped.
func (co *Coordinator) RecordWork(w *peer.Works) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for service, work := range w.Services {
		if !work.Valid() {
			co.cfg.Log.WithFields(logrus.Fields{"event": "works_refused", "placer": w.Instance, "service": service}).Warn("dropped a work report with an invalid number")
			return
		}
	}
	co.work.byPlacer[w.Instance] = placerWork{w.Services, clock.Now()}
}

// total returns the work of a service's engines, summed over all placers with a recent report. It
// drops expired reports.
func (ws *engineWork) total(now clock.Time, service ident.ServiceID) fleet.Load {
	var sum fleet.Load
	for id, report := range ws.byPlacer {
		if now.Sub(report.receivedAt) > workLifetime {
			delete(ws.byPlacer, id)
			continue
		}
		w := report.services[service]
		sum.Prefill += w.Prefill
		sum.Decode += w.Decode
		sum.Memory += w.Memory
	}
	return sum
}

// planner returns the stage planner of a service and creates it if needed.
func (ws *engineWork) planner(service ident.ServiceID) *fleet.SplitPlanner {
	if ws.plans[service] == nil {
		ws.plans[service] = &fleet.SplitPlanner{}
	}
	return ws.plans[service]
}

// planStages opens orders that switch engines of a service between the prefill and mixed roles.
func (co *Coordinator) planStages(ctx context.Context, service ident.ServiceID, open []state.Order) {
	now := clock.Now()
	var engines []target.Record
	for _, r := range co.cfg.Targets() {
		if r.Service == service && r.Engine != nil && r.Usable(now) {
			engines = append(engines, r)
		}
	}
	prefill, mixed := splitByRole(engines)
	co.mu.Lock()
	plan := co.work.planner(service)
	work := co.work.total(now, service)
	plan.Observe(now, work)
	if slices.ContainsFunc(open, func(o state.Order) bool { return containsTarget(engines, o.Engine) }) {
		plan.RecordChanging(now)
	}
	n := plan.Plan(now, len(prefill), len(mixed))
	co.mu.Unlock()
	if n == 0 {
		return
	}
	role, from, other := desired.RolePrefill, mixed, prefill
	if n < 0 {
		role, from, other, n = desired.RoleMixed, prefill, mixed, -n
	}
	co.cfg.Log.WithFields(logrus.Fields{
		"event": "stages_planned", "service": service, "prefill": len(prefill), "mixed": len(mixed), "change": n, "to": role,
		"prompts": work.Prefill, "answers": work.Decode, "memory": work.Memory,
	}).Info("opening orders that change the roles of engines")
	var wg sync.WaitGroup
	for _, r := range pickByRegion(from, other, n) {
		wg.Go(func() { co.openOrder(ctx, r, state.EngineSpec{Role: role}) })
	}
	wg.Wait()
}

func containsTarget(engines []target.Record, id ident.TargetID) bool {
	return slices.ContainsFunc(engines, func(r target.Record) bool { return r.Target == id })
}

func splitByRole(engines []target.Record) (prefill, mixed []target.Record) {
	for _, r := range engines {
		if r.Engine.Role == desired.RolePrefill {
			prefill = append(prefill, r)
			continue
		}
		mixed = append(mixed, r)
	}
	return prefill, mixed
}

// pickByRegion returns n of the engines in from. It takes each from the region where the other role
// has the smallest share, so that KV cache can be transferred within each region.
func pickByRegion(from, other []target.Record, n int) []target.Record {
	type count struct{ from, other int }
	regions := map[ident.RegionID]*count{}
	at := func(r target.Record) *count {
		if regions[r.Region] == nil {
			regions[r.Region] = &count{}
		}
		return regions[r.Region]
	}
	for _, r := range from {
		at(r).from++
	}
	for _, r := range other {
		at(r).other++
	}
	left := slices.Clone(from)
	var picked []target.Record
	for range min(n, len(from)) {
		part := func(r target.Record) float64 {
			c := at(r)
			if c.from == 1 && len(regions) > 1 {
				return 1 // keep the last engine of its role in a region while other regions exist
			}
			return float64(c.other) / float64(c.from+c.other)
		}
		i := 0
		for j := range left {
			if cmp.Or(cmp.Compare(part(left[j]), part(left[i])), cmp.Compare(left[j].Target, left[i].Target)) < 0 {
				i = j
			}
		}
		picked = append(picked, left[i])
		at(left[i]).from--
		at(left[i]).other++
		left = slices.Delete(left, i, i+1)
	}
	return picked
}
