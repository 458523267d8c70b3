package dispatch

import (
	"container/heap"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/router"
)

// requestPermits signals that a request for permits is due. pool.mu is held.
func (pool *TargetPool) requestPermits() {
	if pool.permitRound == nil {
		pool.permitRound = make(chan struct{})
	}
	select {
	case pool.permitsWanted <- struct{}{}:
	default: // already signaled
	}
}

// access returns whether a target may receive a request as far as its rate limit goes. pool.mu is
// held.
func (pool *TargetPool) access(now clock.Time, id ident.TargetID) router.Access {
	switch {
	case !pool.limits.Limited(id) || !pool.limits.Kept():
		return router.Unlimited
	case pool.limits.Available(now, id):
		return router.Permitted
	default:
		return router.Exhausted
	}
}

// takePermit takes a permit for one call to a target, if it needs one. It returns false if there is
// none. pool.mu is held.
func (pool *TargetPool) takePermit(now clock.Time, id ident.TargetID) (permit.Permit, bool) {
	taken, ok := pool.limits.Take(now, id)
	pool.router.SetAccess(id, pool.access(now, id))
	return taken, ok
}

// returnPermit gives back the permit of a request that was not sent. pool.mu is held.
func (pool *TargetPool) returnPermit(now clock.Time, p permit.Permit) {
	if id, ok := pool.limits.Return(now, p); ok {
		pool.router.SetAccess(id, pool.access(now, id))
	}
}

// takePermit takes a permit for one more call to the target, if it needs one. It returns false if
// there is none.
func (a *Assignment) takePermit() bool {
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	_, ok := pool.takePermit(pool.now(), a.Choice.ID)
	return ok
}

// PermitsWanted returns the channel that signals that a request for permits may be due.
func (pool *TargetPool) PermitsWanted() <-chan struct{} { return pool.permitsWanted }

// LimitsUnreported reports whether there are limits that the leader has not confirmed.
func (pool *TargetPool) LimitsUnreported() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limits.Unreported()
}

// PermitRequest returns the request for permits that is due now, and false if none is. After a
// request, ApplyPermits or PermitsFailed must be called.
func (pool *TargetPool) PermitRequest(now clock.Time) (permit.Request, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	r, due := pool.limits.Request(now)
	if !due {
		pool.endPermitRound()
	}
	return r, due
}

// ApplyPermits applies the reply to a request that was sent at requestedAt, and returns the limits
// that changed.
func (pool *TargetPool) ApplyPermits(now, requestedAt clock.Time, r permit.Request, reply permit.Reply) []permit.ChangedLimit {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	changed := pool.changeLimits(now, func() []permit.ChangedLimit {
		return pool.limits.Apply(now, requestedAt, r, reply, pool.incarnation)
	})
	for _, g := range reply.Grants {
		if g.Count > 0 {
			pool.reviewTarget(now, g.Target)
			heap.Push(&pool.deadlines, deadline{requestedAt.Add(permit.PermitTime), g.Target})
		}
	}
	pool.endPermitRound()
	return changed
}

// PermitsFailed records that a request got no reply.
func (pool *TargetPool) PermitsFailed(now clock.Time, r permit.Request) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.limits.Failed(now, r)
	pool.endPermitRound()
}

// endPermitRound wakes the requests that wait for permits. pool.mu is held.
func (pool *TargetPool) endPermitRound() {
	if pool.permitRound != nil {
		close(pool.permitRound)
		pool.permitRound = nil
	}
}

// MergeLimits applies the limits that the leader sent in reply to a request of requestedAt, and
// returns those that changed.
func (pool *TargetPool) MergeLimits(now, requestedAt clock.Time, s permit.Snapshot) []permit.ChangedLimit {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.changeLimits(now, func() []permit.ChangedLimit {
		return pool.limits.Merge(now, requestedAt, s, pool.incarnation)
	})
}

// changeLimits applies what a leader sent and updates the router by it. pool.mu is held.
func (pool *TargetPool) changeLimits(now clock.Time, apply func() []permit.ChangedLimit) []permit.ChangedLimit {
	kept := pool.limits.Kept()
	changed := apply()
	if kept != pool.limits.Kept() {
		for _, id := range pool.limits.Targets() {
			pool.reviewTarget(now, id)
		}
	}
	pool.reviewLimits(now, changed)
	return changed
}

// reviewLimits updates the router after limits have changed, and signals if they are to be reported to the leader.
// pool.mu is held.
func (pool *TargetPool) reviewLimits(now clock.Time, changed []permit.ChangedLimit) {
	for _, c := range changed {
		pool.reviewTarget(now, c.Limit.Target)
	}
	if pool.limits.Unreported() {
		pool.requestPermits()
	}
}

// incarnation returns the incarnation of a target, or 0 if the target is unknown. pool.mu is held.
func (pool *TargetPool) incarnation(id ident.TargetID) ident.Incarnation {
	r, _ := pool.table.Get(id)
	return r.Incarnation
}

// Limits returns the rate limits of targets that this instance has a record of.
func (pool *TargetPool) Limits() []permit.Limit {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limits.List()
}

// RateLimit returns the rate limit that is kept at a target, and false if there is none.
func (pool *TargetPool) RateLimit(id ident.TargetID) (ident.RequestsPerSecond, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	rate, limited := pool.limits.Rate(id)
	return rate, limited && pool.limits.Kept()
}
