package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// burstTime is the time for which an unused rate is saved.
	burstTime = 500 * time.Millisecond
	// probeRate is the least rate at which permits are granted. Without any request to it, nobody
	// would see that a target with a limit of 0 no longer names one.
	probeRate ident.RequestsPerSecond = 0.2
	// waiterTime is the time for which an instance whose request was not granted counts as waiting.
	waiterTime = 2 * time.Second
	// maxRetryAfter bounds the time after which an instance asks again.
	maxRetryAfter = 2 * time.Second
)

// Allocator grants permits to all instances. Use NewAllocator. It is not safe for concurrent use.
type Allocator struct {
	run      uint32
	byTarget map[ident.TargetID]*bucket
}

// bucket holds the permits that may be granted for one target.
type bucket struct {
	limit   Limit
	namedAt clock.Time // when the target named the limit, as far as reported
	permits float64    // as of filledAt
	// filledAt is the time up to which permits have been added.
	filledAt clock.Time
	waiting  map[ident.InstanceID]clock.Time // last request that was not granted
	granted  int
	refused  int
}

// Status describes a limit for operators.
type Status struct {
	Limit   Limit `json:"limit"`
	Granted int   `json:"granted"` // permits granted by this leader
	Refused int   `json:"refused"` // requests of instances that got no permit
	Waiting int   `json:"waiting"` // instances that were refused recently
}

// NewAllocator returns an allocator without limits. The run must be different from that of any
// other allocator; instances ask nothing of one with run 0.
func NewAllocator(run uint32) *Allocator {
	return &Allocator{run: run, byTarget: map[ident.TargetID]*bucket{}}
}

// Handle processes the request of an instance.
func (a *Allocator) Handle(now clock.Time, from ident.InstanceID, r Request) Reply {
	var reply Reply
	for _, o := range r.Observations {
		a.record(now, o)
		if o.Wanted > 0 && !o.Ended {
			reply.Grants = append(reply.Grants, a.grant(now, from, o))
		}
	}
	reply.Known = a.Snapshot()
	return reply
}

// record applies an observation, unless a newer one is known.
func (a *Allocator) record(now clock.Time, o Observation) {
	at := now.Add(-max(0, o.Age))
	b := a.byTarget[o.Limit.Target]
	if b != nil && b.limit.Incarnation > o.Limit.Incarnation {
		return
	}
	renewed := b == nil || b.limit.Incarnation < o.Limit.Incarnation
	switch {
	case o.Ended && b != nil && (renewed || at.After(b.namedAt)):
		delete(a.byTarget, o.Limit.Target)
	case o.Ended:
	case renewed:
		a.byTarget[o.Limit.Target] = &bucket{limit: o.Limit, namedAt: at, filledAt: now, waiting: map[ident.InstanceID]clock.Time{}}
	case at.After(b.namedAt):
		b.fill(now)
		b.limit.Rate, b.namedAt = o.Limit.Rate, at
	}
}

// fill adds the permits since the last call.
func (b *bucket) fill(now clock.Time) {
	rate := float64(max(b.limit.Rate, probeRate))
	b.permits += rate * max(0, now.Sub(b.filledAt)).Seconds()
	b.permits = min(b.permits, max(1, rate*burstTime.Seconds()))
	b.filledAt = now
}

// grant grants as many of the wanted permits as there are.
func (a *Allocator) grant(now clock.Time, from ident.InstanceID, o Observation) Grant {
	g := Grant{Target: o.Limit.Target, Incarnation: o.Limit.Incarnation}
	b := a.byTarget[o.Limit.Target]
	if b == nil || b.limit.Incarnation != o.Limit.Incarnation {
		g.RetryAfter = askInterval // by then, the instance has learned from the snapshot
		return g
	}
	b.fill(now)
	g.Count = min(max(0, o.Wanted), maxWanted, int(b.permits))
	b.permits -= float64(g.Count)
	b.granted += g.Count
	delete(b.waiting, from)
	if g.Count == 0 {
		g.RetryAfter = b.retryAfter(now)
		b.waiting[from] = now
		b.refused++
	}
	return g
}

// retryAfter returns the time until there is a permit for one more instance behind those that wait.
func (b *bucket) retryAfter(now clock.Time) time.Duration {
	for id, at := range b.waiting {
		if now.Sub(at) > waiterTime {
			delete(b.waiting, id)
		}
	}
	missing := float64(len(b.waiting)) + 1 - b.permits
	wait := missing / float64(max(b.limit.Rate, probeRate))
	return min(max(time.Duration(wait*float64(time.Second)), askInterval), maxRetryAfter)
}

// Snapshot lists all known limits, sorted by target.
func (a *Allocator) Snapshot() Snapshot {
	s := Snapshot{Run: a.run}
	for _, b := range a.byTarget {
		s.Limits = append(s.Limits, b.limit)
	}
	slices.SortFunc(s.Limits, compareLimits)
	return s
}

func compareLimits(a, b Limit) int { return cmp.Compare(a.Target, b.Target) }

// Statuses describes all known limits, sorted by target.
func (a *Allocator) Statuses(now clock.Time) []Status {
	var list []Status
	for _, b := range a.byTarget {
		b.retryAfter(now) // drops those that no longer wait
		list = append(list, Status{Limit: b.limit, Granted: b.granted, Refused: b.refused, Waiting: len(b.waiting)})
	}
	slices.SortFunc(list, func(a, b Status) int { return compareLimits(a.Limit, b.Limit) })
	return list
}

// unknownTargetTime is the time for which the limit of a target is kept that the leader does not
// have. A voter that has just started does not have all targets yet.
const unknownTargetTime = 1 * time.Minute

// DropStale removes the limits of targets that have started again since or have left. current returns
// the incarnation of a target, or 0 if the target is unknown.
func (a *Allocator) DropStale(now clock.Time, current func(ident.TargetID) ident.Incarnation) {
	for id, b := range a.byTarget {
		incarnation := current(id)
		if b.limit.Incarnation < incarnation || incarnation == 0 && now.Sub(b.namedAt) > unknownTargetTime {
			delete(a.byTarget, id)
		}
	}
}
