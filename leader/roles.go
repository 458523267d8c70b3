package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// planOrders opens at most one order for each model service: first to bring engines in line with
// the document, then where the role planner expects a gain. Forwarded services with engines are
// planned by planStages.
func (co *Coordinator) planOrders(ctx context.Context) {
	doc, err := co.document()
	if err != nil {
		return // no document has been applied yet, or the newest one is invalid
	}
	co.mu.Lock()
	co.plans.observe(clock.Now(), doc.Services)
	co.mu.Unlock()
	open, settled := co.cfg.Machine.Orders()
	for i := range doc.Services {
		s := &doc.Services[i]
		switch {
		case s.Kind == desired.KindModel:
			if engines, ok := co.idleEngines(s.Name, open, settled); ok {
				co.planService(ctx, doc, s, engines)
			}
		case co.cfg.Stages && s.KVCapacity > 0: // forwarded service whose targets are engines
			co.planStages(ctx, s.Name, open)
		}
	}
}

// document returns the newest document. It is decoded once per digest, because decoding a large
// document is slow.
func (co *Coordinator) document() (*desired.Document, error) {
	v := co.cfg.Machine.View()
	co.documentMu.Lock()
	defer co.documentMu.Unlock()
	if co.decoded != nil && co.digest == v.Digest {
		return co.decoded, nil
	}
	doc, err := desired.ParseStored(v.Document)
	if err != nil {
		return nil, err
	}
	co.decoded, co.digest = doc, v.Digest
	return doc, nil
}

// idleEngines returns the usable engines of a service. It reports false while one of them changes, or has changed
// without having announced it yet: a service has one change at a time.
func (co *Coordinator) idleEngines(service ident.ServiceID, open, settled []state.Order) ([]target.Record, bool) {
	targets := co.cfg.Targets()
	now := clock.Now()
	co.mu.Lock()
	defer co.mu.Unlock()
	changing := map[ident.TargetID]bool{}
	for _, order := range open {
		changing[order.Engine] = true
	}
	last := map[ident.TargetID]state.Order{}
	for _, order := range settled {
		last[order.Engine] = order
	}
	var engines []target.Record
	for _, r := range targets {
		if r.Service != service || r.Engine == nil || !r.Usable(now) {
			continue
		}
		if changing[r.Target] || r.Engine.Busy || outdated(r, last[r.Target], now.Sub(max(co.settledAt[r.Target], co.leadingSince))) {
			return nil, false
		}
		engines = append(engines, r)
	}
	return engines, true
}

// outdated reports whether an engine's announcement may be older than the end of its last order, of which the leader
// learned from the engine itself, since ago. An announcement lives no longer than its lease.
func outdated(r target.Record, last state.Order, since time.Duration) bool {
	if last.Outcome != state.OrderDone || last.Incarnation != r.Incarnation || since >= r.Lease.AsDuration() {
		return false
	}
	spec := last.Spec
	return spec.Role != "" && spec.Role != r.Engine.Role ||
		spec.Version != "" && (spec.Model != r.Engine.Model || spec.Version != r.Engine.Version)
}

// planService opens an order to one of a service's engines, all of which are idle, if it should change.
func (co *Coordinator) planService(ctx context.Context, doc *desired.Document, s *desired.Service, engines []target.Record) {
	if r, spec, ok := firstMismatch(doc, s, engines); ok {
		co.openOrder(ctx, r, spec)
		return
	}
	if doc.Roles.Managed {
		co.planRoles(ctx, doc, s.Name, engines)
	}
}

// firstMismatch returns the first engine whose model, version or fixed role differs from the
// document, with the change that corrects it.
func firstMismatch(doc *desired.Document, s *desired.Service, engines []target.Record) (target.Record, state.EngineSpec, bool) {
	for _, r := range engines {
		if r.Engine.Model != s.Model || r.Engine.Version != s.Version {
			return r, state.EngineSpec{Model: s.Model, Version: s.Version}, true
		}
		if role := doc.FixedRole(r.Target); role != "" && role != r.Engine.Role {
			return r, state.EngineSpec{Role: role}, true
		}
	}
	return target.Record{}, state.EngineSpec{}, false
}

func (co *Coordinator) planRoles(ctx context.Context, doc *desired.Document, service ident.ServiceID, engines []target.Record) {
	co.mu.Lock()
	change, ok := co.plans.nextChange(clock.Now(), doc, service, engines)
	co.mu.Unlock()
	if !ok {
		return
	}
	for _, r := range engines {
		if r.Target == change.Engine {
			co.openOrder(ctx, r, state.EngineSpec{Role: change.Role})
		}
	}
}

// openOrder commits the intent to send an order. Nothing is sent before the commit.
func (co *Coordinator) openOrder(ctx context.Context, r target.Record, spec state.EngineSpec) {
	id := ident.OrderID(ident.NewRandom())
	co.mu.Lock()
	co.sentAt[id] = 0 // opened by this leader, not sent yet
	co.mu.Unlock()
	co.cfg.Log.WithFields(logrus.Fields{
		"event": "order_opened", "order": id, "engine": r.Target, "role": spec.Role, "version": spec.Version,
	}).Info("opening an order; it is sent after the commit")
	co.propose(ctx, state.Command{Order: &state.OpenOrder{
		ID: id, Engine: r.Target, Incarnation: r.Incarnation, Spec: spec,
	}})
}
