package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/inflight"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// Fleet keeps the target table and the router in step. It is safe for concurrent
// use.
type Fleet struct {
	gate *Gate

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

// NewFleet returns an empty fleet of the given run of the instance.
func NewFleet(cfg router.Config, gate *Gate, run target.RunID) *Fleet {
	return &Fleet{
		gate: gate, table: target.NewTable(run), router: router.New(cfg),
		active: map[ident.TargetID]int{}, suspects: map[ident.TargetID]clock.Time{}, leases: map[ident.TargetID]clock.Time{},
	}
}

// SetLease sets the bound on the leases of targets. It is called before the first
// announcement.
func (f *Fleet) SetLease(longest time.Duration) { f.table.SetLongest(longest) }

// Announce takes a target's own announcement.
func (f *Fleet) Announce(now clock.Time, a target.Announcement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	lease := min(a.Lease.Span(), f.table.Longest())
	old, _ := f.table.Get(a.Target)
	f.table.Take(now, a, now.Add(lease), true)
	f.heard(now, old, a.Target)
}

// Leave takes a target's word that it leaves, for one start of it or, if that is 0, for
// the start that is known. No later announcement of that start counts.
func (f *Fleet) Leave(now clock.Time, id ident.TargetID, start ident.Incarnation) {
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
func (f *Fleet) Cursor(from ident.InstanceID) target.Cursor {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Cursor(from)
}

// Hear takes another instance's listing since a cursor, in reply to a question
// asked at asked.
func (f *Fleet) Hear(now, asked clock.Time, from ident.InstanceID, since target.Cursor, l target.Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.table.Hear(now, asked, from, since, l) {
		f.heard(now, h.Before, h.ID)
	}
}

// Share returns the listing of what this instance heard directly since a cursor.
func (f *Fleet) Share(now clock.Time, since target.Cursor) target.Listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Share(now, since)
}

// heard takes over what the table has learnt of a target beyond old.
func (f *Fleet) heard(now clock.Time, old target.Record, id ident.TargetID) {
	r, _ := f.table.Get(id)
	switch {
	case r.Sequence != old.Sequence || r.Incarnation != old.Incarnation:
		f.learn(now, old, r.Announcement)
	case r.Expires != old.Expires: // the same announcement with a longer lease
		f.review(now, id)
	}
}

// learn hands a newer announcement to the router.
func (f *Fleet) learn(now clock.Time, old target.Record, a target.Announcement) {
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
		Age: a.Load.Age(time.Now()), Waiting: a.Load.Waiting, Running: a.Load.Running, Slots: a.Load.Slots, Prefill: a.Load.Prefill,
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

// suspicion is how long a target is passed over after it failed a request. A
// crashed one announces itself no more by then, or again.
const suspicion = 1500 * time.Millisecond

// Sweep forgets targets that went silent long ago.
func (f *Fleet) Sweep(now clock.Time) {
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

// Assignment is one request at its chosen target.
type Assignment struct {
	Choice  router.Choice
	Address string
	Source  string // address of a target to fetch KV cache from; empty if none is known
	Region  ident.RegionID
	Version string // of the target's model
	Split   bool   // the target processes prompts only

	fleet *Fleet
	req   router.Request
	first bool
}

// Choose picks a target and counts the request there.
func (f *Fleet) Choose(now clock.Time, req router.Request) (*Assignment, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.pick(now, req)
	if !ok {
		return nil, fault.New(fault.NoTarget, "no target of service %q is usable", req.Service)
	}
	r, _ := f.table.Get(c.ID)
	f.router.Sent(now, c, req)
	f.active[c.ID]++
	a := &Assignment{Choice: c, Address: r.Address, Region: r.Region, fleet: f, req: req}
	if source, ok := f.table.Get(c.Source); ok {
		a.Source = source.Address
	}
	if r.Engine != nil {
		a.Version = r.Engine.Version
		a.Split = req.Need == router.NeedPrefill && r.Engine.Role == rolePrefill
	}
	return a, nil
}

// Expect returns what Choose would choose, without counting anything.
func (f *Fleet) Expect(now clock.Time, req router.Request) (router.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pick(now, req)
}

// pick chooses among the usable targets, among the suspects if there is no other.
func (f *Fleet) pick(now clock.Time, req router.Request) (router.Choice, bool) {
	f.refresh(now)
	c, ok := f.router.Choose(req)
	if ok || len(f.suspects) == 0 {
		return c, ok
	}
	f.forgive(now) // there is nothing better
	return f.router.Choose(req)
}

// First tells that the first token arrived.
func (a *Assignment) First() {
	if a.first {
		return
	}
	a.first = true
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.router.First(now, a.Choice, a.req)
	if len(a.req.Pieces) == 0 {
		return
	}
	f.router.Holds(now, a.Choice.ID, a.req.Pieces)
	if a.news(now) && len(f.placed) < maxPlaced && len(a.req.Parts) > 0 {
		f.placed = append(f.placed, peer.Placement{Target: a.Choice.ID, Parts: a.req.Parts})
	}
}

// useAge is the age from which the last known use of a prompt is told anew, so that all
// instances know what an engine used lately and keeps. Whoever tells it first spares the others.
const useAge = 3 * time.Second

// news reports whether other instances should hear that the target has the prompt.
func (a *Assignment) news(now clock.Time) bool {
	return !a.Choice.Held || a.Choice.Used > 0 && now.Sub(a.Choice.Used) > useAge
}

// Report takes the load that the target told with an answer.
func (a *Assignment) Report(load router.Report) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.fleet.router.Report(clock.Now(), a.Choice.ID, load)
}

// Failed tells that the target failed the request.
func (a *Assignment) Failed() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	f.suspect(now, now.Add(suspicion), a.Choice.ID)
	for id, until := range f.suspects {
		if !now.Before(until) {
			delete(f.suspects, id)
		}
	}
}

// Ended tells that the request has left the target.
func (a *Assignment) Ended() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.Ended(clock.Now(), a.Choice, a.req, a.first)
	f.active[a.Choice.ID]--
	if f.active[a.Choice.ID] <= 0 {
		delete(f.active, a.Choice.ID)
	}
}

// Busy returns the targets that are out of service and still have requests of
// this instance.
func (f *Fleet) Busy() []ident.TargetID {
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

// Own returns what this instance has at the targets.
func (f *Fleet) Own() inflight.Loads {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := inflight.Loads{}
	for _, o := range f.router.Own() {
		loads[o.Target] = inflight.Load{Waiting: o.Waiting}
	}
	return loads
}

// maxPlaced bounds the placements that wait to be told.
const maxPlaced = 256

// TakePlaced returns the placements by this instance since the previous call.
func (f *Fleet) TakePlaced() []peer.Placement {
	f.mu.Lock()
	defer f.mu.Unlock()
	placed := f.placed
	f.placed = nil
	return placed
}

// HearPlaced takes placements by other instances.
func (f *Fleet) HearPlaced(now clock.Time, placed []peer.Placement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range placed {
		f.router.Holds(now, p.Target, router.PartPieces(nil, p.Parts))
	}
}

// Forget drops prompts that targets no longer count as having cached, where so many instances
// send requests.
func (f *Fleet) Forget(now clock.Time, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.router.SetInstances(instances)
	f.router.Forget(now)
}

// HearLoads takes what all instances have at the targets, as of the given age.
func (f *Fleet) HearLoads(now clock.Time, age time.Duration, loads inflight.Loads) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Each(func(r *target.Record) {
		f.router.Queued(now, r.Target, loads[r.Target].Waiting, age)
	})
}

// Empty reports whether no target is usable.
func (f *Fleet) Empty() bool {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	empty := true
	f.table.Each(func(r *target.Record) { empty = empty && !r.Usable(now) })
	return empty
}

// Record returns what is known of a target.
func (f *Fleet) Record(id ident.TargetID) (target.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Get(id)
}

// Records returns the target table.
func (f *Fleet) Records() []target.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.All()
}
