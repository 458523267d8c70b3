package dispatch

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

// Load pattern: a target in need names the rate of requests that it takes from all instances
// together, and each instance sends it less than that, but all together many times as much.
//
// Every call that reaches such a target therefore needs a permit; see package permit. The pool
// leaves a target without a permit out of its choices, so the request goes to another target. If no
// other is usable, the request waits for the request for permits that is due, and is refused at
// once, with the time to come back, if none is due or if it brings none.

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
	return withPermits(ctx, d.cfg.Targets, func(now clock.Time) (*Assignment, error) { return d.cfg.Targets.Choose(now, req) })
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
	for _, id := range pool.limits.Targets() {
		r, ok := pool.table.Get(id)
		if !ok || r.Service != req.Service || !pool.router.Accepts(id, req.Stage) {
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
	for _, id := range pool.limits.Targets() {
		r, ok := pool.table.Get(id)
		if ok && r.Service == service && pool.limits.Demand(now, id, starved) {
			pool.requestPermits()
		}
	}
}

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

// LimitsUnreported reports whether there are limits that the leader is not known to know.
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

// reviewLimits updates the router after limits have changed, and signals if the leader has to know.
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

// Limits returns the rate limits of targets that this instance knows.
func (pool *TargetPool) Limits() []permit.Limit {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limits.List()
}

// RateLimit returns the rate limit of a target, and false if it has none.
func (pool *TargetPool) RateLimit(id ident.TargetID) (ident.RequestsPerSecond, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limits.Rate(id)
}

// ReportLimit records what the target's answer states about its rate limit, also for the placer
// that chose the target, and returns what changed here.
func (a *Assignment) ReportLimit(s permit.Statement) permit.Change {
	pool := a.pool
	pool.mu.Lock()
	now := pool.now()
	change := pool.limits.Observe(now, a.sentAt, a.Choice.ID, a.incarnation, s)
	if change != permit.Unchanged {
		pool.reviewLimits(now, []permit.ChangedLimit{{Limit: permit.Limit{Target: a.Choice.ID}, Change: change}})
	}
	kept := pool.limits.Kept()
	pool.mu.Unlock()
	if kept {
		a.notifyLimit(s)
	}
	return change
}

// notifyLimit passes a statement on to the placer that chose the target, if the placer has to know.
func (a *Assignment) notifyLimit(s permit.Statement) {
	if a.notify == nil {
		return
	}
	switch s := s.(type) {
	case permit.Named:
		a.notify(peer.Note{Event: peer.NoteLimited, Rate: &s.Rate})
	case permit.NotNamed:
		if a.limited {
			a.notify(peer.Note{Event: peer.NoteUnlimited})
		}
	}
}

// limitStatement returns the statement of a note, or nil if it is about something else.
func limitStatement(n peer.Note) permit.Statement {
	switch {
	case n.Event == peer.NoteLimited && n.Rate != nil && *n.Rate >= 0:
		return permit.Named{Rate: *n.Rate}
	case n.Event == peer.NoteUnlimited:
		return permit.NotNamed{}
	default:
		return nil
	}
}

// appendChange applies a statement and appends the change of the limit, if any.
func (a *Assignment) appendChange(changed []permit.ChangedLimit, s permit.Statement) []permit.ChangedLimit {
	change := a.ReportLimit(s)
	if change == permit.Unchanged {
		return changed
	}
	l := permit.Limit{Target: a.Choice.ID, Incarnation: a.incarnation}
	if named, ok := s.(permit.Named); ok {
		l.Rate = named.Rate
	}
	return append(changed, permit.ChangedLimit{Limit: l, Change: change})
}

// recordSent counts a request that is sent to a target with a known rate limit.
func (d *Dispatcher) recordSent(a *Assignment) {
	if a.limited {
		d.cfg.Metrics.Count("sent_to_limited")
	}
}

// recordHead records what the head of an answer states about the target's rate limit.
func (d *Dispatcher) recordHead(a *Assignment, request string, status int, h http.Header) {
	s, err := permit.ParseStatement(status, h.Values(target.HeaderRequestRate))
	if err != nil {
		d.cfg.Log.WithFields(logrus.Fields{"event": "limit_invalid", "target": a.Choice.ID, "request": request, "cause": err}).Warn("rate limit in an answer cannot be read; the answer changes no limit")
	}
	d.recordLimit(a, request, s)
}

// recordLimit records what an answer states about the target's rate limit.
func (d *Dispatcher) recordLimit(a *Assignment, request string, s permit.Statement) {
	fields := logrus.Fields{
		"target": a.Choice.ID, "incarnation": a.incarnation, "source": "answer", "request": request, "service": a.req.Service,
		"prompt": a.PrefillOnly, "ms": clock.Now().Sub(a.sentAt).Milliseconds(),
	}
	switch a.ReportLimit(s) {
	case permit.Began:
		fields["event"], fields["rate"] = "limit_named", float64(s.(permit.Named).Rate)
		d.cfg.Log.WithFields(fields).Info("target named a rate limit")
	case permit.Ended:
		fields["event"] = "limit_ended"
		d.cfg.Log.WithFields(fields).Info("target no longer names a rate limit")
	}
}
