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
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// TargetPool tracks the targets that are known to this instance and chooses among the usable ones.
// It keeps the table of announcements and the router's view of the targets consistent. It is safe
// for concurrent use.
type TargetPool struct {
	gate *Gate
	now  func() clock.Time // clock.Now, except in tests

	mu         sync.Mutex
	table      *target.Table
	router     *router.Router
	running    map[ident.TargetID]int // requests of this instance in progress
	placements []peer.Placement       // not yet shared with other instances
	// suspects maps each target that failed a request to the time until which it is avoided.
	suspects map[ident.TargetID]clock.Time
	limits   *permit.Limits
	// permitsWanted signals that a request for permits may be due.
	permitsWanted chan struct{}
	// permitRound is closed when the request for permits that is due or in progress has ended; nil
	// if there is none.
	permitRound chan struct{}

	// numberOfStart returns the incarnation of a start at a time; nil if incarnations do not follow the wall clock.
	numberOfStart func(time.Time) ident.Incarnation

	deadlines      deadlines
	leaseDeadlines map[ident.TargetID]clock.Time // ends of leases that have an entry in deadlines
	viewVersion    state.Version                 // version of the view that the router has
}

// NewTargetPool returns an empty pool for the given run of the instance.
func NewTargetPool(cfg router.Config, gate *Gate, run target.RunID) *TargetPool {
	return &TargetPool{
		gate: gate, now: clock.Now, table: target.NewTable(run), router: router.New(cfg),
		running: map[ident.TargetID]int{}, suspects: map[ident.TargetID]clock.Time{}, limits: permit.NewLimits(), permitsWanted: make(chan struct{}, 1), leaseDeadlines: map[ident.TargetID]clock.Time{},
	}
}

// SetMaxLease bounds the leases of targets. It must be called before the first announcement.
func (pool *TargetPool) SetMaxLease(longest time.Duration) { pool.table.SetMaxLease(longest) }

// NumberStarts sets the function that returns the incarnation of a start at a given time, where incarnations
// follow the wall clock. It must be called before the first announcement.
func (pool *TargetPool) NumberStarts(number func(time.Time) ident.Incarnation) {
	pool.numberOfStart = number
}

// Announce records an announcement that a target sent to this instance.
func (pool *TargetPool) Announce(now clock.Time, a target.Announcement) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	lease := min(a.Lease.AsDuration(), pool.table.MaxLease())
	old, _ := pool.table.Get(a.Target)
	pool.table.Apply(now, a, now.Add(lease), true)
	pool.recordChanged(now, old, a.Target)
}

// Deregister records that a target leaves: the given incarnation and those before it or, if that is 0, every start until
// now. It has no effect on later starts.
func (pool *TargetPool) Deregister(now clock.Time, id ident.TargetID, incarnation ident.Incarnation) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if incarnation == 0 {
		incarnation = max(pool.incarnation(id), pool.startedUntil(time.Now()))
	}
	pool.depart(now, id, incarnation)
}

// startedUntil returns the largest incarnation that a start until a time may have, or 0 if incarnations do not follow the
// wall clock.
func (pool *TargetPool) startedUntil(wall time.Time) ident.Incarnation {
	if pool.numberOfStart == nil {
		return 0
	}
	return pool.numberOfStart(wall)
}

// depart records that the starts of a target up to an incarnation have left. pool.mu is held.
func (pool *TargetPool) depart(now clock.Time, id ident.TargetID, until ident.Incarnation) {
	old, _ := pool.table.Get(id)
	pool.table.Depart(now, id, until)
	pool.recordChanged(now, old, id)
}

// Cursor returns the position up to which another instance's listings have been merged.
func (pool *TargetPool) Cursor(from ident.InstanceID) target.Cursor {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.table.Cursor(from)
}

// MergeListing merges another instance's listing since a cursor. The listing was requested at
// requestedAt. It returns false if it dropped the listing, because another one for the same cursor was merged
// before.
func (pool *TargetPool) MergeListing(now, requestedAt clock.Time, from ident.InstanceID, since target.Cursor, l target.Listing) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if since != pool.table.Cursor(from) {
		return false
	}
	for _, h := range pool.table.ApplyListing(now, requestedAt, from, since, l) {
		pool.recordChanged(now, h.Before, h.ID)
	}
	return true
}

// Listing returns the announcements that this instance received directly since a cursor.
func (pool *TargetPool) Listing(now clock.Time, since target.Cursor) target.Listing {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.table.ListingSince(now, since)
}

// recordChanged updates the router after the table's record of a target changed from old. pool.mu
// is held.
func (pool *TargetPool) recordChanged(now clock.Time, old target.Record, id ident.TargetID) {
	r, _ := pool.table.Get(id)
	switch {
	case r.Sequence != old.Sequence || r.Incarnation != old.Incarnation:
		pool.applyAnnouncement(now, old, r.Announcement)
	case r.Expires != old.Expires: // same announcement, longer lease
		pool.reviewTarget(now, id)
	}
}

// applyAnnouncement passes a newer announcement on to the router. pool.mu is held.
func (pool *TargetPool) applyAnnouncement(now clock.Time, old target.Record, a target.Announcement) {
	if a.Service == "" {
		return // the departure of a target that has not been on record
	}
	if old.Target != "" && a.Incarnation != old.Incarnation && !a.Departure() {
		pool.router.Restarted(a.Target)
		pool.limits.Forget(a.Target, a.Incarnation)
		delete(pool.suspects, a.Target) // an earlier incarnation failed
	}
	t := router.Target{ID: a.Target, Service: a.Service, Region: a.Region, Domain: a.Domain, Software: a.Software}
	if a.Engine != nil {
		t.Role = a.Engine.Role
		t.Version = a.Engine.Version
	}
	pool.router.Put(t)
	pool.router.Report(now, a.Target, router.Report{
		Age: a.Load.Age(time.Now()), Waiting: a.Load.Waiting, Running: a.Load.Running, Slots: a.Load.Slots, PrefillRate: a.Load.Prefill,
	})
	for _, e := range a.Cache[knownCacheEvents(old, a):] {
		pool.router.CacheEvent(a.Target, e.Sequence, parseBlockHashes(e.Stored), parseBlockHashes(e.Evicted))
	}
	pool.reviewTarget(now, a.Target)
}

// knownCacheEvents returns how many cache events at the head of an announcement old already had.
func knownCacheEvents(old target.Record, a target.Announcement) int {
	if old.Incarnation != a.Incarnation || len(old.Cache) == 0 {
		return 0
	}
	newest := old.Cache[len(old.Cache)-1].Sequence
	i, _ := slices.BinarySearchFunc(a.Cache, newest+1, func(e target.CacheEvent, s uint64) int { return cmp.Compare(e.Sequence, s) })
	return i
}

// parseBlockHashes parses block names as hexadecimal hashes and skips names that are not hashes.
func parseBlockHashes(names []string) []uint64 {
	out := make([]uint64, 0, len(names))
	for _, name := range names {
		if h, err := strconv.ParseUint(name, 16, 64); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// SoftwareVersions returns the software versions of a service's targets, also of those that have left or
// stopped announcing themselves lately.
func (pool *TargetPool) SoftwareVersions(service ident.ServiceID) []ident.SoftwareVersion {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var versions []ident.SoftwareVersion
	pool.table.Each(func(r *target.Record) {
		if r.Service == service && !slices.Contains(versions, r.Software) {
			versions = append(versions, r.Software)
		}
	})
	return versions
}

// Announced returns when a target announced itself last in the incarnation that a crash would have ended. It
// returns false if the target is not known, has left or has another incarnation.
func (pool *TargetPool) Announced(c quarantine.Crash) (clock.Time, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	r, known := pool.table.Get(c.Target)
	if !known || r.Leaving || r.Incarnation != c.Incarnation {
		return 0, false
	}
	return pool.announcedAt(&r), true
}

// announcedAt returns the latest time at which a target is sure to have announced itself. pool.mu is held.
func (pool *TargetPool) announcedAt(r *target.Record) clock.Time {
	return r.Expires.Add(-min(r.Lease.AsDuration(), pool.table.MaxLease()))
}

// Announces reports whether a target that is expected to run has announced an address.
func (pool *TargetPool) Announces(addr string) bool {
	now := pool.now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.table.Any(func(r *target.Record) bool { return r.Address == addr && now.Before(r.Expires) })
}

// RemoveExpired removes targets whose announcements stopped long ago.
func (pool *TargetPool) RemoveExpired(now clock.Time) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.table.Sweep(now)
	for _, l := range pool.router.Loads() {
		if _, known := pool.table.Get(l.Target.ID); !known {
			pool.router.Remove(l.Target.ID)
			delete(pool.suspects, l.Target.ID)
			pool.limits.Forget(l.Target.ID, math.MaxUint64)
		}
	}
}

// Preview returns the target that Choose would pick, without counting the request.
func (pool *TargetPool) Preview(now clock.Time, req router.Request) (router.Choice, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.pick(now, req)
}

// pick chooses among the usable targets, and among the suspects only if there is no other. A request that
// is bound to a software version goes to a suspect only if that has announced itself since it failed: it
// may have started again as another version. pool.mu is held.
func (pool *TargetPool) pick(now clock.Time, req router.Request) (router.Choice, bool) {
	pool.refreshUsable(now)
	pool.router.RefreshPaces(now)
	c, ok := pool.router.Choose(req)
	if ok || len(pool.suspects) == 0 {
		return c, ok
	}
	pool.clearSuspects(now, req.Software != nil) // a suspect is better than no target
	return pool.router.Choose(req)
}

// DrainingTargets returns the drained targets that still process requests of this instance.
func (pool *TargetPool) DrainingTargets() []ident.TargetID {
	current := pool.gate.Latest()
	if current == nil {
		return nil
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var draining []ident.TargetID
	for id := range pool.running {
		if current.Drained(id) {
			draining = append(draining, id)
		}
	}
	slices.Sort(draining)
	return draining
}

// Empty reports whether every recorded target is leaving or has an expired lease. It ignores other
// reasons for which a target is not usable.
func (pool *TargetPool) Empty() bool {
	now := clock.Now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return !pool.table.Any(func(r *target.Record) bool { return r.Usable(now) })
}

// Record returns the record of a target and whether there is one.
func (pool *TargetPool) Record(id ident.TargetID) (target.Record, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.table.Get(id)
}

// Records returns the records of all targets.
func (pool *TargetPool) Records() []target.Record {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.table.All()
}
