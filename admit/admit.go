// Package admit decides which requests an instance takes, which wait and which
// are refused.
//
// Each tenant has a token bucket and a weighted share. Each class has a window: a
// bound, adjusted to the delay that is measured, on the work that may be at the
// targets without a first token. What does not fit waits here, where tenants have
// their shares, and not in a target's queue, where it would stand in the order of
// arrival. Within a class, requests are taken in the order of virtual finish times,
// so that a flooding tenant waits behind its own requests only; classes do not wait
// for each other, so that short requests do not stand behind long ones.
//
// A request whose objective cannot be met any more is refused at once, with a time
// to come back that follows from the measured rate at which work drains. Nothing is
// held until its client gives up.
//
// The Queue holds no lock and reads no clock.
package admit

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Bounds of the times to come back.
const (
	minRetry = 1 * time.Second
	maxRetry = 60 * time.Second
)

// Limit bounds one tenant. Zero values mean no bound, but for Weight, which then is 1.
type Limit struct {
	Rate   float64 // requests a second
	Burst  float64 // requests at once
	Queue  int     // requests that may wait
	Weight float64
}

// Request is a request that wants to be admitted.
type Request struct {
	ID     uint64
	Tenant ident.TenantID
	Class  ident.ClassID
	// Cost is the time of a target that the request takes until its first token. A
	// plain request has none, and no window.
	Cost time.Duration
	// Objective is the bound on the time to the first token.
	Objective time.Duration
	// Returning says that the request was refused before and comes back as told. It
	// goes before its tenant's other requests.
	Returning bool
}

// Decision is what becomes of a request.
type Decision struct {
	ID  uint64
	Err error // nil if the request may start
	// Entitled tells that the request's tenant was within its share. It should go
	// before requests of its class that are not.
	Entitled bool
}

// Queue is the decision core. Use New.
type Queue struct {
	slots   int // requests that may run at once
	running int
	tenants map[ident.TenantID]*tenant
	lanes   map[ident.ClassID]*lane
	byID    map[uint64]*item
	order   uint64
}

type tenant struct {
	limit  Limit
	tokens float64
	at     clock.Time
	queued int
}

// New returns a queue that lets n requests run at once.
func New(n int) *Queue {
	return &Queue{
		slots: n, tenants: map[ident.TenantID]*tenant{}, lanes: map[ident.ClassID]*lane{}, byID: map[uint64]*item{},
	}
}

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.byID) }

// SetLimit sets a tenant's limit. A bucket that exists keeps its tokens.
func (q *Queue) SetLimit(now clock.Time, id ident.TenantID, l Limit) {
	if l.Weight <= 0 {
		l.Weight = 1
	}
	t := q.tenants[id]
	if t == nil {
		q.tenants[id] = &tenant{limit: l, tokens: l.Burst, at: now}
		return
	}
	t.refill(now)
	t.limit = l
	t.tokens = min(t.tokens, l.Burst)
}

func (q *Queue) tenant(now clock.Time, id ident.TenantID) *tenant {
	if q.tenants[id] == nil {
		q.SetLimit(now, id, Limit{})
	}
	return q.tenants[id]
}

func (q *Queue) lane(id ident.ClassID) *lane {
	if q.lanes[id] == nil {
		q.lanes[id] = &lane{window: newWindow(), hold: defaultHold, finish: map[ident.TenantID]float64{}}
	}
	return q.lanes[id]
}

func (t *tenant) refill(now clock.Time) {
	t.tokens = min(t.limit.Burst, t.tokens+t.limit.Rate*now.Sub(t.at).Seconds())
	t.at = now
}

// take uses one token. It returns the wait for one if there is none.
func (t *tenant) take(now clock.Time) (time.Duration, bool) {
	if t.limit.Rate <= 0 {
		return 0, true
	}
	t.refill(now)
	if t.tokens >= 1 {
		t.tokens--
		return 0, true
	}
	return time.Duration((1 - t.tokens) / t.limit.Rate * float64(time.Second)), false
}

// Offer decides on a request. It returns at most one verdict for it: none means
// that it waits and a later call returns the verdict.
func (q *Queue) Offer(now clock.Time, r Request) (Decision, bool) {
	t, l := q.tenant(now, r.Tenant), q.lane(r.Class)
	if wait, ok := t.take(now); !ok {
		return refuse(r, fault.RateLimited, wait, "tenant %s is above its rate", r.Tenant), true
	}
	l.sweep(now)
	// Anyone can say that a request comes back as told; a tenant above its share
	// gains nothing by it.
	r.Returning = r.Returning && !l.usage.heavy(r.Tenant)
	entitled := l.entitled(r)
	if (len(l.waiting) == 0 && q.fits(l, r)) || (entitled && q.overdraws(l, r)) {
		l.begin(r, l.advance(t, r), t)
		q.start(now, l, r)
		return Decision{ID: r.ID, Entitled: entitled}, true
	}
	if t.limit.Queue > 0 && t.queued >= t.limit.Queue {
		return refuse(r, fault.Overloaded, l.backlog(), "tenant %s has %d requests waiting", r.Tenant, t.queued), true
	}
	deadline := l.deadline(now, r, entitled)
	if now.Add(l.waitFor(t, r)).After(deadline) {
		return refuse(r, fault.DeadlineUnreachable, l.backlog(), "the objective for the first token cannot be met: %s", l), true
	}
	q.push(t, l, &item{req: r, lane: l, deadline: deadline, entitled: entitled})
	return Decision{}, false
}

func (q *Queue) fits(l *lane, r Request) bool {
	return q.running < q.slots && l.window.room(r.Cost.Seconds())
}

// overdraws reports whether an entitled request may start although the window is
// full. The measured delay then makes the window smaller for those who fill it.
func (q *Queue) overdraws(l *lane, r Request) bool {
	return q.running < q.slots && l.window.overdraft(r.Cost.Seconds())
}

func (q *Queue) start(now clock.Time, l *lane, r Request) {
	q.running++
	l.sweep(now)
	l.usage.add(now, r.Tenant, q.tenants[r.Tenant].share(r))
	l.window.take(r.Cost.Seconds())
}

func refuse(r Request, k fault.Kind, wait time.Duration, format string, args ...any) Decision {
	wait = min(max(wait, minRetry), maxRetry)
	return Decision{ID: r.ID, Err: fault.WithRetryAfter(fault.New(k, format, args...), wait)}
}

func (q *Queue) push(t *tenant, l *lane, it *item) {
	q.order++
	it.order = q.order
	it.finish = l.advance(t, it.req)
	t.queued++
	q.byID[it.req.ID] = it
	heap.Push(&l.waiting, it)
}

func (q *Queue) remove(it *item) {
	heap.Remove(&it.lane.waiting, it.index)
	q.tenants[it.req.Tenant].queued--
	delete(q.byID, it.req.ID)
}

// FirstToken tells that an admitted request got its first token, or its whole plain
// answer, after a wait at the targets beyond its own processing. A request that
// ended without one tells so by a negative wait. It frees the request's place in
// the window.
func (q *Queue) FirstToken(now clock.Time, r Request, wait time.Duration) {
	l := q.lane(r.Class)
	if wait >= 0 {
		l.window.learn(now, r, wait)
		l.hold += ((r.Cost + wait).Seconds() - l.hold) * holdSmoothing
	}
	l.window.done(r.Cost.Seconds())
}

// Done ends an admitted request. Advance starts what fits then.
func (q *Queue) Done() { q.running = max(0, q.running-1) }

// Withdraw takes back a request that waits. It reports false if it does not.
func (q *Queue) Withdraw(id uint64) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

// Advance starts the requests that fit and refuses those that cannot meet their
// objective any more.
func (q *Queue) Advance(now clock.Time) []Decision {
	var verdicts []Decision
	for _, id := range slices.Sorted(maps.Keys(q.lanes)) {
		verdicts = q.advanceLane(now, q.lanes[id], verdicts)
	}
	return verdicts
}

func (q *Queue) advanceLane(now clock.Time, l *lane, verdicts []Decision) []Decision {
	verdicts = q.expire(now, l, verdicts)
	for len(l.waiting) > 0 && q.fits(l, l.waiting[0].req) {
		it := l.waiting[0]
		q.remove(it)
		l.begin(it.req, it.finish, q.tenants[it.req.Tenant])
		q.start(now, l, it.req)
		verdicts = append(verdicts, Decision{ID: it.req.ID, Entitled: it.entitled})
	}
	return verdicts
}

// expire refuses the waiting requests whose deadline has passed.
func (q *Queue) expire(now clock.Time, l *lane, verdicts []Decision) []Decision {
	var late []*item
	for _, it := range l.waiting {
		if now.After(it.deadline) {
			late = append(late, it)
		}
	}
	for _, it := range late {
		q.remove(it)
		verdicts = append(verdicts, refuse(it.req, fault.DeadlineUnreachable, l.backlog(), "the objective for the first token cannot be met any more: %s", l))
	}
	return verdicts
}
