package leader

import (
	"context"
	"math/rand/v2"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
)

// newAllocator returns an allocator of permits. Its random run number lets instances notice that a
// leader does not have their limits yet; the number 0 states that it grants no permits.
func newAllocator(grants bool) *permit.Allocator {
	if !grants {
		return permit.NewAllocator(0)
	}
	return permit.NewAllocator(rand.Uint32() | 1)
}

// Acquire grants an instance permits for targets with a rate limit, and records the limits that the
// instance reports. It returns a fault.NotLeader error if this instance does not lead, because two
// leaders that grant at the same time would grant twice the rate.
func (co *Coordinator) Acquire(a *peer.Acquire) (*peer.Acquired, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if !co.active || !co.cfg.Node.Leads() {
		return nil, fault.New(fault.NotLeader, "this instance is not the leader")
	}
	return &peer.Acquired{Reply: co.permits.Handle(clock.Now(), a.Instance, a.Request)}, nil
}

// Limits describes the rate limits of targets and the permits granted for them.
func (co *Coordinator) Limits() []permit.Status {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.permits.Statuses(clock.Now())
}

// dropStaleLimits removes the limits of targets that have started again or have left.
func (co *Coordinator) dropStaleLimits(context.Context) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.permits.Snapshot().Limits) == 0 {
		return
	}
	current := map[ident.TargetID]ident.Incarnation{}
	for _, r := range co.cfg.Targets() {
		current[r.Target] = r.Incarnation
	}
	co.permits.DropStale(clock.Now(), func(id ident.TargetID) ident.Incarnation { return current[id] })
}
