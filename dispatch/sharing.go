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

// LocalLoads returns the load that this instance puts on each target.
func (pool *TargetPool) LocalLoads() inflight.Loads {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	loads := inflight.Loads{}
	for _, o := range pool.router.OwnLoads(clock.Now()) {
		loads[o.Target] = inflight.Load{Waiting: o.Waiting, Answered: inflight.CountOf(o.Answers.All), Failed: inflight.CountOf(o.Answers.Failed)}
	}
	return loads
}

// Speeds returns what has been learned of the speeds of targets.
func (pool *TargetPool) Speeds() []router.TargetSpeed {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.router.Speeds()
}

// UnevenServices returns the services whose engines are seen to differ much in speed.
func (pool *TargetPool) UnevenServices() []ident.ServiceID {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.router.UnevenServices()
}

// maxSharedPlacements bounds the placements that wait to be shared with other instances.
const maxSharedPlacements = 256

// TakePlacements returns the placements that this instance has made since the previous call.
func (pool *TargetPool) TakePlacements() []peer.Placement {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	placed := pool.placements
	pool.placements = nil
	return placed
}

// MergePlacements records placements made by other instances.
func (pool *TargetPool) MergePlacements(now clock.Time, placed []peer.Placement) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, p := range placed {
		pool.router.RecordCached(now, p.Target, router.PartBlockHashes(nil, p.Parts))
	}
}

// Failures returns the targets whose failure rate is unusually high.
func (pool *TargetPool) Failures() map[ident.TargetID]router.Failure {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.router.Failures()
}

// ExpirePrompts removes prompts that the targets are no longer assumed to cache, given the number
// of instances that send requests.
func (pool *TargetPool) ExpirePrompts(now clock.Time, instances int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.router.Expire(now, instances)
}

// MergeLoads records the load that all instances together put on the targets, as of the given age.
func (pool *TargetPool) MergeLoads(now clock.Time, age time.Duration, loads inflight.Loads) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.table.Each(func(r *target.Record) {
		load := loads[r.Target]
		pool.router.SetQueued(now, r.Target, load.Waiting, age)
		pool.router.SetSharedAnswers(now, r.Target, router.Answers{All: load.Answered.Value(), Failed: load.Failed.Value()})
	})
}
