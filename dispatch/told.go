package dispatch

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

// LocalLoads returns what this instance has at the targets.
func (f *TargetPool) LocalLoads() inflight.Loads {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := inflight.Loads{}
	for _, o := range f.router.OwnLoads(clock.Now()) {
		loads[o.Target] = inflight.Load{Waiting: o.Waiting, Answered: inflight.CountOf(o.Answers.All), Failed: inflight.CountOf(o.Answers.Failed)}
	}
	return loads
}

// maxPlaced bounds the placements that wait to be told.
const maxPlaced = 256

// TakePlacements returns the placements by this instance since the previous call.
func (f *TargetPool) TakePlacements() []peer.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	placed := f.placed
	f.placed = nil
	return placed
}

// MergePlacements takes placements by other instances.
func (f *TargetPool) MergePlacements(now clock.Time, placed []peer.Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range placed {
		f.router.RecordCached(now, p.Target, router.PartBlockHashes(nil, p.Parts))
	}
}

// Failures returns the targets that fail more than is usual.
func (f *TargetPool) Failures() map[ident.TargetID]router.Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.router.Failures()
}

// ExpirePrompts drops prompts that targets no longer count as having cached, where so many instances
// send requests.
func (f *TargetPool) ExpirePrompts(now clock.Time, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Expire(now, instances)
}

// MergeLoads takes what all instances have at the targets, as of the given age.
func (f *TargetPool) MergeLoads(now clock.Time, age time.Duration, loads inflight.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Each(func(r *target.Record) {
		load := loads[r.Target]
		f.router.SetQueued(now, r.Target, load.Waiting, age)
		f.router.SetSharedAnswers(now, r.Target, router.Answers{All: load.Answered.Value(), Failed: load.Failed.Value()})
	})
}
