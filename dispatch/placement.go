package dispatch

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

// PlacementClient sends requests to the placer of a region.
type PlacementClient interface {
	// Place requests a target and returns the choice and the placer that made it.
	Place(ctx context.Context, request *peer.Place) (placed *peer.Placed, placer ident.InstanceID, err error)
	// Notify reports the progress of a placement to its placer, asynchronously and without
	// blocking.
	Notify(placer ident.InstanceID, n peer.Note)
}

// waitTerms are what a placer needs to know of a request to decide whether it waits, and where.
type waitTerms struct {
	remaining time.Duration // until the caller leaves
	objective time.Duration // for the first token; 0 if the request is placed in any case
	elapsed   time.Duration // since the request arrived
	workspace ident.TenantID
	competes  bool // the request takes part in the contest for engines
}

// place chooses a target. The placer does so, or this instance if no placer replies or its choice
// may not be used here. The placer refuses a request whose first token would come too late for its
// objective; place then returns fault.DeadlineUnreachable. A request without an objective, or one
// that this instance chooses a target for, is never refused for that reason.
func (d *Dispatcher) place(ctx context.Context, req router.Request, terms waitTerms) (*Assignment, error) {
	if d.cfg.Placement == nil {
		return d.choose(ctx, req)
	}
	if err := d.checkStop(ctx); err != nil {
		return nil, err
	}
	place := &peer.Place{
		Service: req.Service, Version: req.Version, Stage: req.Stage, Prompt: req.Prompt, Parts: req.Parts,
		Software: req.Software, Avoid: req.Avoid, Urgency: req.Urgency, CacheRegion: req.KVRegion, Remaining: terms.remaining, TTFTObjective: terms.objective, KnownEngines: d.cfg.Targets.EngineCount(clock.Now(), req.Service),
	}
	if terms.competes {
		place.Entry = &peer.ContestEntry{Workspace: terms.workspace, Elapsed: terms.elapsed, Deferred: req.Deferred}
	}
	placed, placer, err := d.cfg.Placement.Place(ctx, place)
	if err != nil || placed.Limited {
		return d.choose(ctx, req)
	}
	if placed.RetryAfter > 0 {
		err := fault.New(fault.DeadlineUnreachable, "first token expected after %v, objective %v, as estimated by placer %s", placed.ExpectedTTFT, terms.objective, placer)
		return nil, fault.WithRetryAfter(fault.WithRan(err, fault.RanNo), placed.RetryAfter)
	}
	notify := func(n peer.Note) {
		n.Ticket = placed.Ticket
		d.cfg.Placement.Notify(placer, n)
	}
	a, err := d.cfg.Targets.Assign(clock.Now(), req, placed)
	if err != nil {
		if rate, limited := d.cfg.Targets.RateLimit(placed.Target); limited {
			notify(peer.Note{Event: peer.NoteLimited, Rate: &rate}) // the placer had no record of it
		}
		notify(peer.Note{Event: peer.NoteWithdrawn})
		return d.choose(ctx, req)
	}
	a.placer, a.notify = placer, notify
	return a, nil
}

// TakeWork returns the work that this instance's requests have used at the engines since the
// previous call.
func (pool *TargetPool) TakeWork(now clock.Time) map[ident.ServiceID]fleet.Load {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.router.TakeWork(now)
}

// EngineCount returns the number of the service's engines that accept new work.
func (pool *TargetPool) EngineCount(now clock.Time, service ident.ServiceID) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.refreshUsable(now)
	return pool.router.UsableEngines(service)
}

// RecordedEngines returns the number of the service's engines that have announced themselves within their lease, usable or
// not.
func (pool *TargetPool) RecordedEngines(now clock.Time, service ident.ServiceID) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	n := 0
	pool.table.Each(func(r *target.Record) {
		if r.Service == service && r.Engine != nil && now.Before(r.Expires) {
			n++
		}
	})
	return n
}

// Assign counts a request at the target that a placer chose. It returns fault.NoTarget if the
// target may not receive new work from this instance, and fault.TargetLimited if it needs a permit
// and there is none.
func (pool *TargetPool) Assign(now clock.Time, req router.Request, placed *peer.Placed) (*Assignment, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.refreshUsable(now)
	c, ok := pool.router.ChooseOnly(req, placed.Target)
	if !ok || !pool.router.Usable(placed.Target) {
		return nil, fault.New(fault.NoTarget, "target %s, chosen by a placer, is not usable by this instance", placed.Target)
	}
	var taken permit.Permit
	if !placed.Permitted {
		if taken, ok = pool.takePermit(now, placed.Target); !ok {
			return nil, fault.New(fault.TargetLimited, "target %s, chosen by a placer without a permit, has a rate limit", placed.Target)
		}
	}
	req.Deferred = req.Deferred || placed.Standing != admit.Regular
	c.Cached, c.Source, c.TTFT, c.Wait = placed.Cached, placed.CacheSource, placed.ExpectedTTFT, placed.QueueWait
	a := pool.assign(now, req, c, taken)
	a.limited = a.limited || placed.Permitted
	a.standing = placed.Standing
	return a, nil
}
