package leader

import (
	"context"

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
	open, _ := co.cfg.Machine.Orders()
	busy := map[ident.TargetID]bool{}
	for _, order := range open {
		busy[order.Engine] = true
	}
	for i := range doc.Services {
		s := &doc.Services[i]
		switch {
		case s.Kind == desired.KindModel:
			co.planService(ctx, doc, s, busy)
		case co.cfg.Stages && s.KVCapacity > 0: // forwarded service whose targets are engines
			co.planStages(ctx, s.Name, open)
		}
	}
}

// document returns the newest document. It is decoded once per digest, because decoding a large
// document is slow.
func (co *Coordinator) document() (*desired.Document, error) {
	v := co.cfg.Machine.View()
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

func (co *Coordinator) planService(ctx context.Context, doc *desired.Document, s *desired.Service, busy map[ident.TargetID]bool) {
	now := clock.Now()
	var engines []target.Record
	for _, r := range co.cfg.Targets() {
		if r.Service != s.Name || r.Engine == nil || !r.Usable(now) {
			continue
		}
		if busy[r.Target] || r.Engine.Busy {
			return // one change per service at a time
		}
		engines = append(engines, r)
	}
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
