package leader

import (
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/target"
)

// rolePlans plans the engines' roles, for each model service by its own demand. It
// holds no lock and reads no clock.
type rolePlans struct {
	demand   map[ident.ServiceID]fleet.Demand // since it was last observed
	planners map[ident.ServiceID]*fleet.Planner
}

func newRolePlans() *rolePlans {
	return &rolePlans{demand: map[ident.ServiceID]fleet.Demand{}, planners: map[ident.ServiceID]*fleet.Planner{}}
}

// add counts what an instance reports.
func (p *rolePlans) add(reported map[ident.ServiceID]peer.Demand) {
	for s, d := range reported {
		sum := p.demand[s]
		sum.Prefill += d.Prefill
		sum.Decode += d.Decode
		p.demand[s] = sum
	}
}

// observe hands the demand to the planners of the document's model services, and
// forgets the others.
func (p *rolePlans) observe(now clock.Time, services []desired.Service) {
	kept := map[ident.ServiceID]*fleet.Planner{}
	for i := range services {
		s := &services[i]
		if s.Kind != desired.KindModel {
			continue
		}
		planner := p.planners[s.Name]
		if planner == nil {
			planner = fleet.New(fleet.DefaultConfig())
		}
		planner.Observe(now, p.demand[s.Name])
		kept[s.Name] = planner
	}
	p.planners = kept
	p.demand = map[ident.ServiceID]fleet.Demand{}
}

// next returns the change of role that pays best for a service, if one does, and
// takes it as ordered.
func (p *rolePlans) next(now clock.Time, doc *desired.Document, service ident.ServiceID, engines []target.Record) (fleet.Change, bool) {
	planner := p.planners[service]
	if planner == nil {
		return fleet.Change{}, false
	}
	var list []fleet.Engine
	var prefill, decode mean
	for i := range engines {
		r := &engines[i]
		prefill.add(r.Load.Prefill)
		decode.add(r.Load.Decode)
		list = append(list, fleet.Engine{
			ID: r.Target, Role: r.Engine.Role, Running: r.Load.Running,
			Fixed: doc.FixedRole(r.Target) != "",
		})
	}
	planner.SetGoodput(doc.Roles.Goodput)
	planner.SetRates(prefill.value(), decode.value())
	change, ok := planner.Plan(now, list)
	if ok {
		planner.RecordChange(now, change)
	}
	return change, ok
}

// mean is the mean of the rates that were reported; engines that report none do not
// count.
type mean struct {
	sum ident.TokensPerSecond
	n   int
}

func (m *mean) add(rate ident.TokensPerSecond) {
	if rate > 0 {
		m.sum += rate
		m.n++
	}
}

func (m *mean) value() ident.TokensPerSecond {
	if m.n == 0 {
		return 0
	}
	return m.sum / ident.TokensPerSecond(m.n)
}
