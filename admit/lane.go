package admit

import (
	"fmt"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// lane is the queue of one class.
type lane struct {
	waiting items
	window  window
	hold    float64                    // smoothed time until a request's place is free again, in seconds
	virtual float64                    // virtual time: finish of the latest request taken
	finish  map[ident.TenantID]float64 // of each tenant's latest request
	usage   usage
}

// item is a waiting request.
type item struct {
	req      Request
	lane     *lane
	finish   float64
	deadline clock.Time
	entitled bool // when it came
	index    int
	order    uint64
}

// entitled reports whether a request's tenant has had less than its share, or the
// request was refused before and told to come now.
func (l *lane) entitled(r Request) bool {
	return r.Returning || l.finish[r.Tenant] <= l.virtual || l.usage.light(r.Tenant)
}

// sweep forgets the tenants that have nothing to pay for any more, at intervals.
func (l *lane) sweep(now clock.Time) {
	if !l.usage.sweep(now) {
		return
	}
	for id, finish := range l.finish {
		if finish <= l.virtual {
			delete(l.finish, id)
		}
	}
}

// deadline returns by when a request has to start: its own processing and the wait
// that requests of its class have at the targets still follow. When the targets are
// full, that leaves next to nothing; a tenant within its share, and a request that
// comes back as told, may still wait for the next places.
func (l *lane) deadline(now clock.Time, r Request, entitled bool) clock.Time {
	slack := r.Objective - r.Cost - l.window.expected()
	patience := minPatience
	if entitled {
		patience = max(patience, time.Duration(entitledPatience*float64(r.Objective)))
	}
	return now.Add(max(slack, patience))
}

const (
	// minPatience is the shortest time for which a request may wait for its turn.
	minPatience = 50 * time.Millisecond
	// entitledPatience is the part of the objective for which an entitled request may
	// wait.
	entitledPatience = 0.25
)

// waitFor estimates the wait of a new request behind those that finish before it.
func (l *lane) waitFor(t *tenant, r Request) time.Duration {
	ahead := 0
	finish := l.nextFinish(t, r)
	for _, it := range l.waiting {
		if it.finish <= finish {
			ahead++
		}
	}
	return l.timeFor(ahead + 1)
}

// String tells the state of a lane for logs: what waits, what is at the targets, and how
// long that takes.
func (l *lane) String() string {
	return fmt.Sprintf("%d wait, %d at the targets hold %.0f of %.0f ms of work, each %.0f ms",
		len(l.waiting), l.window.n, 1e3*l.window.used, 1e3*l.window.limit, 1e3*l.hold)
}

func (l *lane) backlog() time.Duration { return l.timeFor(len(l.waiting) + 1) }

// timeFor returns the time in which n places become free. Requests wait only while
// the places are taken, so the present ones and the time that each is held give the
// rate, also right after a quiet time.
func (l *lane) timeFor(n int) time.Duration {
	return time.Duration(float64(n) * l.hold / float64(max(l.window.n, 1)) * float64(time.Second))
}

const (
	// defaultHold is assumed before any request has ended, in seconds.
	defaultHold   = 0.2
	holdSmoothing = 0.1
)

// minCost keeps requests of no cost in order, in seconds.
const minCost = 1e-3

// work returns the request's cost in seconds, never nothing.
func (r Request) work() float64 { return max(r.Cost.Seconds(), minCost) }

// share returns the virtual time that a request of the tenant takes.
func (t *tenant) share(r Request) float64 { return r.work() / t.limit.Weight }

func (l *lane) nextFinish(t *tenant, r Request) float64 {
	if r.Returning {
		return l.virtual
	}
	start := max(l.virtual, l.finish[r.Tenant])
	return start + t.share(r)
}

// advance gives a request its virtual finish time.
func (l *lane) advance(t *tenant, r Request) float64 {
	f := l.nextFinish(t, r)
	// What a returning request jumps ahead, its tenant's next ones pay for.
	l.finish[r.Tenant] = max(l.virtual, l.finish[r.Tenant]) + t.share(r)
	return f
}

// begin moves the virtual time to the start of a request that is taken.
func (l *lane) begin(r Request, finish float64, t *tenant) {
	l.virtual = max(l.virtual, finish-t.share(r))
}

// items is a heap of waiting requests by virtual finish time.
type items []*item

func (l items) Len() int { return len(l) }
func (l items) Less(i, j int) bool {
	a, b := l[i], l[j]
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.order < b.order
}
func (l items) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].index = i
	l[j].index = j
}

// Push appends x for package heap.
func (l *items) Push(x any) {
	it := x.(*item)
	it.index = len(*l)
	*l = append(*l, it)
}

// Pop removes the last element for package heap.
func (l *items) Pop() any {
	old := *l
	it := old[len(old)-1]
	*l = old[:len(old)-1]
	return it
}
