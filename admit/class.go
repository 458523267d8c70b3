package admit

import (
	"fmt"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// classQueue is the queue of one class.
type classQueue struct {
	waiting waiterHeap
	window  window
	// holdTime is the smoothed time for which a request occupies the window, in seconds.
	holdTime    float64
	virtualTime float64                    // virtual start time of the latest request started
	finish      map[ident.TenantID]float64 // virtual finish time of each tenant's latest request
	usage       usage
}

// waiter is a waiting request.
type waiter struct {
	req      Request
	queue    *classQueue
	finish   float64
	deadline clock.Time
	entitled bool // on arrival
	index    int
	order    uint64
}

// entitled reports whether a request's tenant has had less than its share, or whether the request
// was refused before and returns at its retry time.
func (c *classQueue) entitled(r Request) bool {
	return r.Returning || c.finish[r.Tenant] <= c.virtualTime || c.usage.light(r.Tenant)
}

// sweep periodically removes the tenants whose virtual finish time has passed.
func (c *classQueue) sweep(now clock.Time) {
	if !c.usage.sweep(now) {
		return
	}
	for id, finish := range c.finish {
		if finish <= c.virtualTime {
			delete(c.finish, id)
		}
	}
}

// deadline returns the time by which a request has to start. It leaves time for the request's own
// processing and for the expected wait of its class at the targets. When the targets are full,
// almost no time is left, but an entitled request may still wait for the next free places.
func (c *classQueue) deadline(now clock.Time, r Request, entitled bool) clock.Time {
	slack := r.Objective - r.Cost - c.window.expectedWait()
	queueTime := minQueueTime
	if entitled {
		queueTime = max(queueTime, time.Duration(entitledQueueFraction*float64(r.Objective)))
	}
	return now.Add(max(slack, queueTime))
}

const (
	// minQueueTime is the least time for which a request may wait.
	minQueueTime = 50 * time.Millisecond
	// entitledQueueFraction is the fraction of the objective for which an entitled request may
	// wait.
	entitledQueueFraction = 0.25
)

// estimateWait estimates the wait of a new request behind those with earlier finish times.
func (c *classQueue) estimateWait(t *tenant, r Request) time.Duration {
	ahead := 0
	finish := c.nextFinish(t, r)
	for _, w := range c.waiting {
		if w.finish <= finish {
			ahead++
		}
	}
	return c.drainTime(ahead + 1)
}

// String describes the queue for error messages and logs: the waiting requests, the work at the
// targets and how long each request is held there.
func (c *classQueue) String() string {
	return fmt.Sprintf("%d requests waiting, %d at the targets use %.0f of %.0f ms of work, each for %.0f ms",
		len(c.waiting), c.window.requests, 1e3*c.window.used, 1e3*c.window.limit, 1e3*c.holdTime)
}

// backlogTime returns the time until a request behind all waiting ones can start.
func (c *classQueue) backlogTime() time.Duration { return c.drainTime(len(c.waiting) + 1) }

// drainTime returns the time in which n requests can start. Requests wait only while the window is
// full, so the number of requests in it and their hold time give the rate, even right after an idle
// period.
func (c *classQueue) drainTime(n int) time.Duration {
	return time.Duration(float64(n) * c.holdTime / float64(max(c.window.requests, 1)) * float64(time.Second))
}

const (
	// defaultHold is assumed until the first request ends, in seconds.
	defaultHold   = 0.2
	holdSmoothing = 0.1
)

// minCost is the least cost of a request in seconds. It keeps requests without a cost in order.
const minCost = 1e-3

// costSeconds returns the request's cost in seconds, at least minCost.
func (r Request) costSeconds() float64 { return max(r.Cost.Seconds(), minCost) }

// virtualCost returns the virtual time that a request of the tenant takes.
func (t *tenant) virtualCost(r Request) float64 { return r.costSeconds() / t.limit.Weight }

// nextFinish returns the virtual finish time that a request would be assigned. A returning request
// precedes the others.
func (c *classQueue) nextFinish(t *tenant, r Request) float64 {
	if r.Returning {
		return c.virtualTime
	}
	start := max(c.virtualTime, c.finish[r.Tenant])
	return start + t.virtualCost(r)
}

// assignFinish returns the virtual finish time of a request and charges its tenant.
func (c *classQueue) assignFinish(t *tenant, r Request) float64 {
	f := c.nextFinish(t, r)
	// The tenant's later requests pay for a returning request that jumps the queue.
	c.finish[r.Tenant] = max(c.virtualTime, c.finish[r.Tenant]) + t.virtualCost(r)
	return f
}

// advanceVirtualTime moves the virtual time to the start of a request.
func (c *classQueue) advanceVirtualTime(r Request, finish float64, t *tenant) {
	c.virtualTime = max(c.virtualTime, finish-t.virtualCost(r))
}

// waiterHeap is a heap of waiting requests, ordered by virtual finish time.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }
func (h waiterHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.order < b.order
}
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
