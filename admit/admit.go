// Package admit decides which requests an instance starts, queues and refuses.
//
// Every tenant has a token bucket and a weighted share. Every class has a window: a limit, adapted
// to the measured delay, on the work at the targets that has no first token yet. Requests that
// exceed the window wait here, where tenants receive their fair shares, and not in the queue of a
// target, which is served in the order of arrival. Within a class, requests start in the order of
// virtual finish times (weighted fair queuing), so that a tenant that floods the queue delays only
// its own requests. Classes do not wait for each other, so that short requests do not wait behind
// long ones.
//
// A request that can no longer meet its objective is refused at once, with a retry time derived
// from the measured drain rate. No request is kept until its client times out.
//
// A Contest decides for a whole region, on behalf of a placer, which requests go behind others in the queues of
// engines, and which are refused.
//
// A Queue holds no lock and reads no clock: the caller serializes access and passes the time. So does a Contest.
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

// Bounds of the retry times.
const (
	minRetry = 1 * time.Second
	maxRetry = 60 * time.Second
)

// Limit holds the limits of a tenant. A zero value means no limit, except that a zero Weight means
// 1.
type Limit struct {
	Rate   float64 // requests per second
	Burst  float64 // requests that may arrive at once
	Queue  int     // requests that may wait
	Weight float64
}

// Request describes a request to admit.
type Request struct {
	ID     uint64
	Tenant ident.TenantID
	Class  ident.ClassID
	// Cost is the processing time at a target until the first token. A request to a plain HTTP
	// service has no cost and is not subject to the window.
	Cost time.Duration
	// Objective is the upper bound on the time to first token.
	Objective time.Duration
	// Returning means that the request was refused before and returns at the given retry time.
	// It precedes the waiting requests of its class, unless its tenant has recently used much more
	// than its share.
	Returning bool
}

// Decision is the outcome of a request.
type Decision struct {
	ID  uint64
	Err error // nil if the request may start
	// Entitled reports whether the tenant was within its share when the request arrived. An
	// entitled request should precede others of its class.
	Entitled bool
}

// Queue admits requests. Use New. It is not safe for concurrent use.
type Queue struct {
	slots   int // limit on running requests
	running int
	tenants map[ident.TenantID]*tenant
	classes map[ident.ClassID]*classQueue
	byID    map[uint64]*waiter
	order   uint64
}

type tenant struct {
	limit    Limit
	tokens   float64
	refilled clock.Time
	queued   int
}

// New returns a queue that runs up to n requests at once.
func New(n int) *Queue {
	return &Queue{
		slots: n, tenants: map[ident.TenantID]*tenant{}, classes: map[ident.ClassID]*classQueue{}, byID: map[uint64]*waiter{},
	}
}

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.byID) }

// SetLimit sets the limit of a tenant. An existing token bucket keeps its tokens, up to the new
// Burst.
func (q *Queue) SetLimit(now clock.Time, id ident.TenantID, l Limit) {
	if l.Weight <= 0 {
		l.Weight = 1
	}
	t := q.tenants[id]
	if t == nil {
		q.tenants[id] = &tenant{limit: l, tokens: l.Burst, refilled: now}
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

func (q *Queue) classQueue(id ident.ClassID) *classQueue {
	if q.classes[id] == nil {
		q.classes[id] = &classQueue{window: newWindow(), holdTime: defaultHold, finish: map[ident.TenantID]float64{}}
	}
	return q.classes[id]
}

func (t *tenant) refill(now clock.Time) {
	t.tokens = min(t.limit.Burst, t.tokens+t.limit.Rate*now.Sub(t.refilled).Seconds())
	t.refilled = now
}

// takeToken takes a token from the bucket. If there is none, it returns the time until the next one
// and false.
func (t *tenant) takeToken(now clock.Time) (time.Duration, bool) {
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

// Offer decides on a request. If it reports false, the request waits and a later call to Advance
// returns its decision.
func (q *Queue) Offer(now clock.Time, r Request) (Decision, bool) {
	t, c := q.tenant(now, r.Tenant), q.classQueue(r.Class)
	if wait, ok := t.takeToken(now); !ok {
		return refuse(r, fault.RateLimited, wait, "tenant %s exceeds its rate limit", r.Tenant), true
	}
	c.sweep(now)
	// Any client can set Returning, so it has no effect for a tenant that far exceeds its share.
	r.Returning = r.Returning && !c.usage.heavy(r.Tenant)
	entitled := c.entitled(r)
	if (len(c.waiting) == 0 && q.fits(c, r)) || (entitled && q.fitsOverdraft(c, r)) {
		c.advanceVirtualTime(r, c.assignFinish(t, r), t)
		q.start(now, c, r)
		return Decision{ID: r.ID, Entitled: entitled}, true
	}
	if t.limit.Queue > 0 && t.queued >= t.limit.Queue {
		return refuse(r, fault.Overloaded, c.backlogTime(), "tenant %s has %d requests waiting, at or above its limit", r.Tenant, t.queued), true
	}
	deadline := c.deadline(now, r, entitled)
	if now.Add(c.estimateWait(t, r)).After(deadline) {
		return refuse(r, fault.DeadlineUnreachable, c.backlogTime(), "the objective for the time to first token cannot be met: %s", c), true
	}
	q.push(t, c, &waiter{req: r, queue: c, deadline: deadline, entitled: entitled})
	return Decision{}, false
}

// fits reports whether a request fits the limit on running requests and the window of its class.
func (q *Queue) fits(c *classQueue, r Request) bool {
	return q.running < q.slots && c.window.fits(r.Cost.Seconds())
}

// fitsOverdraft reports whether an entitled request may start although the window is full. The
// measured delay then shrinks the window for the tenants that fill it.
func (q *Queue) fitsOverdraft(c *classQueue, r Request) bool {
	return q.running < q.slots && c.window.fitsOverdraft(r.Cost.Seconds())
}

func (q *Queue) start(now clock.Time, c *classQueue, r Request) {
	q.running++
	c.sweep(now)
	c.usage.add(now, r.Tenant, q.tenants[r.Tenant].virtualCost(r))
	c.window.acquire(r.Cost.Seconds())
}

// refuse returns a refusal with a retry time within its bounds.
func refuse(r Request, k fault.Kind, wait time.Duration, format string, args ...any) Decision {
	wait = min(max(wait, minRetry), maxRetry)
	return Decision{ID: r.ID, Err: fault.WithRetryAfter(fault.New(k, format, args...), wait)}
}

func (q *Queue) push(t *tenant, c *classQueue, w *waiter) {
	q.order++
	w.order = q.order
	w.finish = c.assignFinish(t, w.req)
	t.queued++
	q.byID[w.req.ID] = w
	heap.Push(&c.waiting, w)
}

func (q *Queue) remove(w *waiter) {
	heap.Remove(&w.queue.waiting, w.index)
	q.tenants[w.req.Tenant].queued--
	delete(q.byID, w.req.ID)
}

// FirstToken records that an admitted request received its first token, or its whole answer from a
// plain HTTP service, and releases its part of the window. wait is the time that it spent at the
// targets beyond its own processing, or negative if it ended without a first token.
func (q *Queue) FirstToken(now clock.Time, r Request, wait time.Duration) {
	c := q.classQueue(r.Class)
	if wait >= 0 {
		c.window.observe(now, r, wait)
		c.holdTime += ((r.Cost + wait).Seconds() - c.holdTime) * holdSmoothing
	}
	c.window.release(r.Cost.Seconds())
}

// Done records the end of an admitted request. A following Advance starts the requests that fit.
func (q *Queue) Done() { q.running = max(0, q.running-1) }

// Withdraw removes a waiting request. It reports false if the request is not waiting.
func (q *Queue) Withdraw(id uint64) bool {
	w := q.byID[id]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

// Advance starts the requests that fit and refuses those that can no longer meet their objective.
func (q *Queue) Advance(now clock.Time) []Decision {
	var decisions []Decision
	for _, id := range slices.Sorted(maps.Keys(q.classes)) {
		decisions = q.advanceClass(now, q.classes[id], decisions)
	}
	return decisions
}

func (q *Queue) advanceClass(now clock.Time, c *classQueue, decisions []Decision) []Decision {
	decisions = q.expire(now, c, decisions)
	for len(c.waiting) > 0 && q.fits(c, c.waiting[0].req) {
		w := c.waiting[0]
		q.remove(w)
		c.advanceVirtualTime(w.req, w.finish, q.tenants[w.req.Tenant])
		q.start(now, c, w.req)
		decisions = append(decisions, Decision{ID: w.req.ID, Entitled: w.entitled})
	}
	return decisions
}

// expire refuses the waiting requests whose deadline has passed.
func (q *Queue) expire(now clock.Time, c *classQueue, decisions []Decision) []Decision {
	var late []*waiter
	for _, w := range c.waiting {
		if now.After(w.deadline) {
			late = append(late, w)
		}
	}
	for _, w := range late {
		q.remove(w)
		decisions = append(decisions, refuse(w.req, fault.DeadlineUnreachable, c.backlogTime(), "the objective for the time to first token can no longer be met: %s", c))
	}
	return decisions
}
