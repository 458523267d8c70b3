package dispatch

import (
	"container/heap"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

// deadline is a time at which a target may stop or start being usable without an announcement: its
// lease ends, or it is no longer a suspect.
type deadline struct {
	at clock.Time
	id ident.TargetID
}

// deadlines is a heap with the earliest deadline first.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push appends x; it implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop removes the last element; it implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// refreshUsable updates which targets the router may use after time has passed or the configuration
// has changed. Announcements and failures update it when they occur. pool.mu is held.
func (pool *TargetPool) refreshUsable(now clock.Time) {
	if version := pool.gate.Version(); version != pool.viewVersion {
		pool.viewVersion = version
		pool.updateKVCapacity()
		pool.table.Each(func(r *target.Record) { pool.updateUsable(now, r) })
	}
	for len(pool.deadlines) > 0 && !now.Before(pool.deadlines[0].at) {
		d := heap.Pop(&pool.deadlines).(deadline)
		if pool.leaseDeadlines[d.id] == d.at {
			delete(pool.leaseDeadlines, d.id)
		}
		pool.reviewTarget(now, d.id)
	}
}

// reviewTarget updates whether a target is usable and schedules the next review at the end of its
// lease.
func (pool *TargetPool) reviewTarget(now clock.Time, id ident.TargetID) {
	r, ok := pool.table.Get(id)
	if !ok {
		return
	}
	pool.updateUsable(now, &r)
	if !r.Usable(now) {
		return
	}
	if at, watched := pool.leaseDeadlines[id]; watched && !r.Expires.Before(at) {
		return // an extended lease is reviewed at its earlier end
	}
	pool.leaseDeadlines[id] = r.Expires
	heap.Push(&pool.deadlines, deadline{r.Expires, id})
}

// updateUsable sets in the router whether a target may receive new work, now and without regard to
// its rate limit.
func (pool *TargetPool) updateUsable(now clock.Time, r *target.Record) {
	usable := r.Usable(now) && (r.Engine == nil || !r.Engine.Busy)
	if current := pool.gate.Latest(); current != nil && current.Drained(r.Target) {
		usable = false
	}
	pool.router.SetUsable(r.Target, usable && !now.Before(pool.suspects[r.Target]))
	pool.router.SetAccess(r.Target, pool.access(now, r.Target))
}

// suspect avoids a target until the given time.
func (pool *TargetPool) suspect(now, until clock.Time, id ident.TargetID) {
	pool.suspects[id] = until
	heap.Push(&pool.deadlines, deadline{until, id})
	pool.reviewTarget(now, id)
}

// clearSuspects makes suspects eligible again: all of them, or only those that have announced themselves
// since they failed.
func (pool *TargetPool) clearSuspects(now clock.Time, announced bool) {
	for id, until := range pool.suspects {
		if r, known := pool.table.Get(id); announced && known && !pool.announcedAt(&r).After(until.Add(-suspectTime)) {
			continue
		}
		delete(pool.suspects, id)
		pool.reviewTarget(now, id)
	}
}

// MayReturn reports whether a target with the service and software version of a bound request has failed, and may serve it
// once the target has announced itself again. That is known within suspectTime of the failure; a request that looks at intervals of
// targetPoll looks once more after that.
func (pool *TargetPool) MayReturn(now clock.Time, req router.Request) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for id, until := range pool.suspects {
		r, known := pool.table.Get(id)
		if known && now.Before(until.Add(targetPoll)) && !r.Leaving && r.Service == req.Service && r.Software == *req.Software {
			return true
		}
	}
	return false
}

// updateKVCapacity passes each service's configured KV cache capacity to the router.
func (pool *TargetPool) updateKVCapacity() {
	current := pool.gate.Latest()
	if current == nil || current.Document == nil {
		return
	}
	for _, s := range current.Document.Services {
		pool.router.SetKVCapacity(s.Name, s.KVCapacity)
	}
}
