package leader

import (
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/target"
)

// rolePlans plans the engine roles of each model service from the service's own demand. Callers
// pass the time in. It is not safe for concurrent use.
type rolePlans struct {
	demand   map[ident.ServiceID]fleet.Demand // since the last call of observe
	planners map[ident.ServiceID]*fleet.Planner
}

func newRolePlans() *rolePlans {
	return &rolePlans{demand: map[ident.ServiceID]fleet.Demand{}, planners: map[ident.ServiceID]*fleet.Planner{}}
}

// add adds the demand that an instance reports.
func (p *rolePlans) add(reported map[ident.ServiceID]peer.Demand) {
	for s, d := range reported {
		sum := p.demand[s]
		sum.Prefill += d.Prefill
		sum.Decode += d.Decode
		p.demand[s] = sum
	}
}

// observe passes the accumulated demand to the planners of the document's model services and
// drops the planners of services that the document no longer names.
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

// nextChange returns the role change with the largest gain for a service, if there is one, and
// records it as ordered.
func (p *rolePlans) nextChange(now clock.Time, doc *desired.Document, service ident.ServiceID, engines []target.Record) (fleet.Change, bool) {
	planner := p.planners[service]
	if planner == nil {
		return fleet.Change{}, false
	}
	var list []fleet.Engine
	var prefill, decode rateMean
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

// rateMean is the mean of the reported rates. Engines that report none are left out.
type rateMean struct {
	sum ident.TokensPerSecond
	n   int
}

func (m *rateMean) add(rate ident.TokensPerSecond) {
	if rate > 0 {
		m.sum += rate
		m.n++
	}
}

func (m *rateMean) value() ident.TokensPerSecond {
	if m.n == 0 {
		return 0
	}
	return m.sum / ident.TokensPerSecond(m.n)
}
