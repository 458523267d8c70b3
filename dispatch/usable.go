package dispatch

import (
	"container/heap"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/target"
)

// deadline is a point at which a target may stop or begin to be usable without an
// announcement: its lease ends, or it has been passed over for long enough.
type deadline struct {
	at clock.Time
	id ident.TargetID
}

// deadlines is a heap, the earliest first.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push appends x for package heap.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop removes the last element for package heap.
func (d *deadlines) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// refresh tells the router which targets may get new work, as far as time or the
// configuration has changed it. Announcements and failures do so when they come.
func (f *TargetPool) refresh(now clock.Time) {
	if version := f.gate.Version(); version != f.version {
		f.version = version
		f.learnMemory()
		f.table.Each(func(r *target.Record) { f.decide(now, r) })
	}
	for len(f.deadlines) > 0 && !now.Before(f.deadlines[0].at) {
		d := heap.Pop(&f.deadlines).(deadline)
		if f.leases[d.id] == d.at {
			delete(f.leases, d.id)
		}
		f.review(now, d.id)
	}
}

// review decides on one target again and watches the end of its lease.
func (f *TargetPool) review(now clock.Time, id ident.TargetID) {
	r, ok := f.table.Get(id)
	if !ok {
		return
	}
	f.decide(now, &r)
	if !r.Usable(now) {
		return
	}
	if at, watched := f.leases[id]; watched && !r.Expires.Before(at) {
		return // a lease that was made longer is looked at when the earlier one ends
	}
	f.leases[id] = r.Expires
	heap.Push(&f.deadlines, deadline{r.Expires, id})
}

// decide tells the router whether new work may go to a target.
func (f *TargetPool) decide(now clock.Time, r *target.Record) {
	usable := r.Usable(now) && (r.Engine == nil || !r.Engine.Busy)
	if current := f.gate.Latest(); current != nil && current.Drained(r.Target) {
		usable = false
	}
	f.router.SetUsable(r.Target, usable && !now.Before(f.suspects[r.Target]))
}

// suspect passes a target over until the given time.
func (f *TargetPool) suspect(now, until clock.Time, id ident.TargetID) {
	f.suspects[id] = until
	heap.Push(&f.deadlines, deadline{until, id})
	f.review(now, id)
}

// forgive ends every suspicion.
func (f *TargetPool) forgive(now clock.Time) {
	for id := range f.suspects {
		delete(f.suspects, id)
		f.review(now, id)
	}
}

// learnMemory tells the router how much the services' engines keep.
func (f *TargetPool) learnMemory() {
	current := f.gate.Latest()
	if current == nil || current.Document == nil {
		return
	}
	for _, s := range current.Document.Services {
		f.router.SetMemory(s.Name, s.KVCapacity)
	}
}
