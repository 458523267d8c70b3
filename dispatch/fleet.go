package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// TargetPool keeps the target table and the router in step. It is safe for concurrent
// use.
type TargetPool struct {
	gate *Gate
	now  func() clock.Time // clock.Now, but in tests

	mu     sync.Mutex
	table  *target.Table
	router *router.Router
	active map[ident.TargetID]int // own requests in progress
	placed []peer.Placement       // not told to others yet
	// suspects are targets that failed a request, until when they are passed over.
	suspects map[ident.TargetID]clock.Time

	deadlines deadlines
	leases    map[ident.TargetID]clock.Time // the end of a lease that is among the deadlines
	version   state.Version                 // of the view that the router knows
}

// NewTargetPool returns an empty fleet of the given run of the instance.
func NewTargetPool(cfg router.Config, gate *Gate, run target.RunID) *TargetPool {
	return &TargetPool{
		gate: gate, now: clock.Now, table: target.NewTable(run), router: router.New(cfg),
		active: map[ident.TargetID]int{}, suspects: map[ident.TargetID]clock.Time{}, leases: map[ident.TargetID]clock.Time{},
	}
}

// SetMaxLease sets the bound on the leases of targets. It is called before the first
// announcement.
func (f *TargetPool) SetMaxLease(longest time.Duration) { f.table.SetMaxLease(longest) }

// Announce takes a target's own announcement.
func (f *TargetPool) Announce(now clock.Time, a target.Announcement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lease := min(a.Lease.AsDuration(), f.table.MaxLease())
	old, _ := f.table.Get(a.Target)
	f.table.Apply(now, a, now.Add(lease), true)
	f.heard(now, old, a.Target)
}

// Deregister takes a target's word that it leaves, for one start of it or, if that is 0, for
// the start that is known. No later announcement of that start counts.
func (f *TargetPool) Deregister(now clock.Time, id ident.TargetID, start ident.Incarnation) {
	f.mu.Lock()
	old, known := f.table.Get(id)
	f.mu.Unlock()
	if !known && start == 0 {
		return
	}
	a := old.Announcement
	a.Target = id
	a.Leaving = true
	a.Cache = nil
	if start != 0 {
		a.Incarnation = start
	}
	a.Sequence = math.MaxUint64
	f.Announce(now, a)
}

// Cursor returns how far another instance's listings have been taken.
func (f *TargetPool) Cursor(from ident.InstanceID) target.Cursor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Cursor(from)
}

// MergeListing takes another instance's listing since a cursor, in reply to a question
// asked at asked.
func (f *TargetPool) MergeListing(now, asked clock.Time, from ident.InstanceID, since target.Cursor, l target.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.table.ApplyListing(now, asked, from, since, l) {
		f.heard(now, h.Before, h.ID)
	}
}

// Listing returns the listing of what this instance heard directly since a cursor.
func (f *TargetPool) Listing(now clock.Time, since target.Cursor) target.Listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.ListingSince(now, since)
}

// heard takes over what the table has learnt of a target beyond old.
func (f *TargetPool) heard(now clock.Time, old target.Record, id ident.TargetID) {
	r, _ := f.table.Get(id)
	switch {
	case r.Sequence != old.Sequence || r.Incarnation != old.Incarnation:
		f.learn(now, old, r.Announcement)
	case r.Expires != old.Expires: // the same announcement with a longer lease
		f.review(now, id)
	}
}

// learn hands a newer announcement to the router.
func (f *TargetPool) learn(now clock.Time, old target.Record, a target.Announcement) {
	if old.Target != "" && a.Incarnation > old.Incarnation {
		f.router.Restarted(a.Target)
	}
	t := router.Target{ID: a.Target, Service: a.Service, Region: a.Region, Domain: a.Domain}
	if a.Engine != nil {
		t.Role = a.Engine.Role
		t.Version = a.Engine.Version
	}
	f.router.Put(t)
	f.router.Report(now, a.Target, router.Report{
		Age: a.Load.Age(time.Now()), Waiting: a.Load.Waiting, Running: a.Load.Running, Slots: a.Load.Slots, PrefillRate: a.Load.Prefill,
	})
	for _, e := range a.Cache[knownEvents(old, a):] {
		f.router.CacheEvent(a.Target, e.Sequence, hashes(e.Stored), hashes(e.Evicted))
	}
	f.review(now, a.Target)
}

// knownEvents returns how many of an announcement's cache events old had.
func knownEvents(old target.Record, a target.Announcement) int {
	if old.Incarnation != a.Incarnation || len(old.Cache) == 0 {
		return 0
	}
	newest := old.Cache[len(old.Cache)-1].Sequence
	i, _ := slices.BinarySearchFunc(a.Cache, newest+1, func(e target.CacheEvent, s uint64) int { return cmp.Compare(e.Sequence, s) })
	return i
}

// hashes parses pieces' names; what is no hash is passed over.
func hashes(names []string) []uint64 {
	out := make([]uint64, 0, len(names))
	for _, name := range names {
		if h, err := strconv.ParseUint(name, 16, 64); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// RemoveExpired forgets targets that went silent long ago.
func (f *TargetPool) RemoveExpired(now clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Sweep(now)
	for _, l := range f.router.Loads() {
		if _, known := f.table.Get(l.Target.ID); !known {
			f.router.Remove(l.Target.ID)
			delete(f.suspects, l.Target.ID)
		}
	}
}

// Preview returns what Choose would choose, without counting anything.
func (f *TargetPool) Preview(now clock.Time, req router.Request) (router.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pick(now, req)
}

// pick chooses among the usable targets, among the suspects if there is no other.
func (f *TargetPool) pick(now clock.Time, req router.Request) (router.Choice, bool) {
	f.refresh(now)
	c, ok := f.router.Choose(req)
	if ok || len(f.suspects) == 0 {
		return c, ok
	}
	f.forgive(now) // there is nothing better
	return f.router.Choose(req)
}

// DrainingTargets returns the targets that are out of service and still have requests of
// this instance.
func (f *TargetPool) DrainingTargets() []ident.TargetID {
	current := f.gate.Latest()
	if current == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var busy []ident.TargetID
	for id := range f.active {
		if current.Drained(id) {
			busy = append(busy, id)
		}
	}
	slices.Sort(busy)
	return busy
}

// Empty reports whether no target is usable.
func (f *TargetPool) Empty() bool {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.table.Any(func(r *target.Record) bool { return r.Usable(now) })
}

// Record returns what is known of a target.
func (f *TargetPool) Record(id ident.TargetID) (target.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Get(id)
}

// Records returns the target table.
func (f *TargetPool) Records() []target.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.All()
}
