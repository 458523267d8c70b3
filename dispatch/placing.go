package dispatch

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/fleet"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

// PlacementClient asks the placer of a region.
type PlacementClient interface {
	// Place asks for a target. by says who chose.
	Place(ctx context.Context, ask *peer.Place) (placed *peer.Placed, by ident.InstanceID, err error)
	// Notify tells a placer what became of one of its placements, soon and without waiting.
	Notify(by ident.InstanceID, n peer.Note)
}

// place chooses a target: the placer does, or this instance if none answers or its choice must not be used here.
// A request that would wait too long for a first token within its objective is refused with
// fault.DeadlineUnreachable; without an objective none is.
func (d *Dispatcher) place(ctx context.Context, req router.Request, left, within time.Duration) (*Assignment, error) {
	if d.cfg.Placement == nil {
		return d.cfg.Targets.Choose(clock.Now(), req)
	}
	placed, by, err := d.cfg.Placement.Place(ctx, &peer.Place{
		Service: req.Service, Version: req.Version, Need: req.Stage, Prompt: req.Prompt, Parts: req.Parts,
		Avoid: req.Avoid, Urgency: req.Urgency, CacheRegion: req.KVRegion, Remaining: left, TTFTObjective: within, KnownEngines: d.cfg.Targets.EngineCount(clock.Now(), req.Service),
	})
	if err != nil {
		return d.cfg.Targets.Choose(clock.Now(), req)
	}
	if placed.RetryAfter > 0 {
		err := fault.New(fault.DeadlineUnreachable, "the first token would come after %v, the objective is %v, says placer %s", placed.ExpectedTTFT, within, by)
		return nil, fault.WithRetryAfter(fault.WithRan(err, fault.RanNo), placed.RetryAfter)
	}
	tell := func(n peer.Note) {
		n.Ticket = placed.Ticket
		d.cfg.Placement.Notify(by, n)
	}
	a, err := d.cfg.Targets.Assign(clock.Now(), req, placed)
	if err != nil {
		tell(peer.Note{Event: peer.NoteWithdrawn})
		return d.cfg.Targets.Choose(clock.Now(), req)
	}
	a.by, a.tell = by, tell
	return a, nil
}

// TakeWork returns what the requests of this instance took of the engines since the last call.
func (f *TargetPool) TakeWork(now clock.Time) map[ident.ServiceID]fleet.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.TakeWork(now)
}

// EngineCount returns the number of a service's engines that take new work.
func (f *TargetPool) EngineCount(now clock.Time, service ident.ServiceID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(now)
	return f.router.UsableEngines(service)
}

// Assign counts a request at the target that a placer chose. It returns fault.NoTarget if the target must
// not get new work from here.
func (f *TargetPool) Assign(now clock.Time, req router.Request, placed *peer.Placed) (*Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(now)
	c, ok := f.router.ChooseOnly(req, placed.Target)
	if !ok || !f.router.Usable(placed.Target) {
		return nil, fault.New(fault.NoTarget, "target %s, which a placer chose, is not usable here", placed.Target)
	}
	c.Cached, c.Source, c.TTFT, c.Wait = placed.Cached, placed.CacheSource, placed.ExpectedTTFT, placed.QueueWait
	return f.assign(now, req, c), nil
}
