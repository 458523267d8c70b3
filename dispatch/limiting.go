package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/router"
)

// Load pattern: a target in need names the rate of requests that it takes from all instances
// together, and each instance sends it less than that, but all together many times as much.
//
// Every call that reaches such a target therefore needs a permit; see package permit. The pool
// leaves a target without a permit out of its choices, so the request goes to another target. If no
// other is usable, the request waits for the request for permits that is due, and is refused at
// once, with the time to come back, if none is due or if it brings none.
//
//	limiting.go    choosing with permits, waiting for them, refusing
//	permits.go     the pool's permits, and what it asks of the leader
//	statements.go  what answers state about limits

const (
	// maxPermitRounds bounds the requests for permits that a request waits for. The first one may
	// have been sent before the request came.
	maxPermitRounds = 2
	// maxPermitWait bounds the wait for one request for permits: a round trip between regions and
	// the work at the leader.
	maxPermitWait = 100 * time.Millisecond
	// minLimitedRetryAfter is the shortest retry delay given with a refusal for want of permits.
	minLimitedRetryAfter = 100 * time.Millisecond
)

// choose picks a target and counts the request there. See TargetPool.Choose for its errors.
func (d *Dispatcher) choose(ctx context.Context, req router.Request) (*Assignment, error) {
	if err := d.checkStop(ctx); err != nil {
		return nil, err
	}
	return withPermits(ctx, d.cfg.Targets, func(now clock.Time) (*Assignment, error) { return d.cfg.Targets.Choose(now, req) })
}

// checkStop returns a fault.Draining error if the instance may stop before the deadline of ctx, so that nothing may be
// sent to a target any more.
func (d *Dispatcher) checkStop(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	return d.cfg.Gate.CheckStop(clock.Now(), time.Until(deadline))
}

// preview returns the target that choose would pick, without counting the request.
func (d *Dispatcher) preview(ctx context.Context, req router.Request) (router.Choice, error) {
	return withPermits(ctx, d.cfg.Targets, func(now clock.Time) (router.Choice, error) {
		c, ok := d.cfg.Targets.Preview(now, req)
		if !ok {
			return c, d.cfg.Targets.Unavailable(now, req)
		}
		return c, nil
	})
}

// withPermits calls try, and again after each request for permits while try fails for want of them.
func withPermits[T any](ctx context.Context, pool *TargetPool, try func(now clock.Time) (T, error)) (T, error) {
	for range maxPermitRounds {
		result, err := try(clock.Now())
		if !fault.Is(err, fault.TargetLimited) || !pool.awaitPermits(ctx) {
			return result, err
		}
	}
	return try(clock.Now())
}

// awaitPermits waits until the request for permits that is due or in progress has ended. It returns
// false if there is none.
func (pool *TargetPool) awaitPermits(ctx context.Context) bool {
	pool.mu.Lock()
	round := pool.permitRound
	pool.mu.Unlock()
	if round == nil {
		return false
	}
	timeout := time.NewTimer(maxPermitWait)
	defer timeout.Stop()
	select {
	case <-round:
		return true
	case <-timeout.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Unavailable records a request for which Preview found no target, and returns the error for it.
func (pool *TargetPool) Unavailable(now clock.Time, req router.Request) error {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.noteDemand(now, req.Service, true)
	return pool.unavailable(now, req)
}

// unavailable returns the error for a request that no target may receive. pool.mu is held.
func (pool *TargetPool) unavailable(now clock.Time, req router.Request) error {
	soonest, limited := time.Duration(0), false
	for _, id := range pool.limitedTargets(req.Service) {
		if !pool.router.Accepts(id, req.Stage) {
			continue
		}
		if after, _ := pool.limits.RetryAfter(now, id); !limited || after < soonest {
			soonest, limited = after, true
		}
	}
	if !limited {
		return fault.New(fault.NoTarget, "no target of service %q is usable", req.Service)
	}
	err := fault.New(fault.TargetLimited, "every usable target of service %q has a rate limit, and there is no permit", req.Service)
	return fault.WithRetryAfter(err, max(soonest, minLimitedRetryAfter))
}

// noteDemand records a request to a service for the limited targets of the service, and whether no
// other target was usable. pool.mu is held.
func (pool *TargetPool) noteDemand(now clock.Time, service ident.ServiceID, starved bool) {
	for _, id := range pool.limitedTargets(service) {
		if pool.limits.Demand(now, id, starved) {
			pool.requestPermits()
		}
	}
}

// limitedTargets returns the targets of a service that have a known rate limit. pool.mu is held.
func (pool *TargetPool) limitedTargets(service ident.ServiceID) []ident.TargetID {
	return slices.DeleteFunc(pool.limits.Targets(), func(id ident.TargetID) bool {
		r, ok := pool.table.Get(id)
		return !ok || r.Service != service
	})
}
