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

// works is what placers told of the engines' work, and what follows for each service.
type works struct {
	byPlacer map[ident.InstanceID]heardWork
	plans    map[ident.ServiceID]*fleet.SplitPlanner
}

type heardWork struct {
	services map[ident.ServiceID]fleet.Load
	at       clock.Time
}

func newWorks() *works {
	return &works{byPlacer: map[ident.InstanceID]heardWork{}, plans: map[ident.ServiceID]*fleet.SplitPlanner{}}
}

// worksLast is the time for which what a placer told counts.
const worksLast = 4 * planEvery

// RecordWork takes what a placer tells of the engines' work.
func (co *Coordinator) RecordWork(w *peer.Works) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for service, work := range w.Services {
		if !work.Valid() {
			co.cfg.Log.WithFields(logrus.Fields{"event": "works_refused", "placer": w.Instance, "service": service}).Warn("a placer told of work that is no number")
			return
		}
	}
	co.works.byPlacer[w.Instance] = heardWork{w.Services, clock.Now()}
}

// total returns the work of a service's engines, of all placers together.
func (ws *works) total(now clock.Time, service ident.ServiceID) fleet.Load {
	var sum fleet.Load
	for id, heard := range ws.byPlacer {
		if now.Sub(heard.at) > worksLast {
			delete(ws.byPlacer, id)
			continue
		}
		w := heard.services[service]
		sum.Prefill += w.Prefill
		sum.Decode += w.Decode
		sum.Memory += w.Memory
	}
	return sum
}

// plan returns the planner of a service.
func (ws *works) plan(service ident.ServiceID) *fleet.SplitPlanner {
	if ws.plans[service] == nil {
		ws.plans[service] = &fleet.SplitPlanner{}
	}
	return ws.plans[service]
}

// planStages lets engines of a service change between processing prompts only and generating answers.
func (co *Coordinator) planStages(ctx context.Context, service ident.ServiceID, open []state.Order) {
	now := clock.Now()
	var engines []target.Record
	for _, r := range co.cfg.Targets() {
		if r.Service == service && r.Engine != nil && r.Usable(now) {
			engines = append(engines, r)
		}
	}
	prefill, mixed := byRole(engines)
	co.mu.Lock()
	plan := co.works.plan(service)
	work := co.works.total(now, service)
	plan.Observe(now, work)
	if slices.ContainsFunc(open, func(o state.Order) bool { return isAmong(engines, o.Engine) }) {
		plan.Changing(now)
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
	}).Info("engines are to change")
	var wg sync.WaitGroup
	for _, r := range pickByRegion(from, other, n) {
		wg.Go(func() { co.open(ctx, r, state.EngineSpec{Role: role}) })
	}
	wg.Wait()
}

func isAmong(engines []target.Record, id ident.TargetID) bool {
	return slices.ContainsFunc(engines, func(r target.Record) bool { return r.Target == id })
}

func byRole(engines []target.Record) (prefill, mixed []target.Record) {
	for _, r := range engines {
		if r.Engine.Role == desired.RolePrefill {
			prefill = append(prefill, r)
			continue
		}
		mixed = append(mixed, r)
	}
	return prefill, mixed
}

// pickByRegion returns n of the engines to change, one by one from the region with the smallest part of the other role, so
// that KV cache finds its way within each region.
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
				return 1 // the last one of its region stays as long as there are others
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
