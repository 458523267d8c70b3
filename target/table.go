package target

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// departedRetention is how long the table retains the last announcement of a target that
// has left or stopped announcing itself.
const departedRetention = 10 * time.Minute

// Record is the table's entry for one target.
type Record struct {
	Announcement
	Expires    clock.Time   // end of the lease
	Direct     bool         // announced to this instance itself
	receivedAt clock.Time   // of the newest announcement
	listing    listingState // set if Direct
}

// Usable reports whether new requests may be sent to the target at now.
func (r *Record) Usable(now clock.Time) bool {
	return !r.Leaving && now.Before(r.Expires)
}

// Table is the set of known targets. It reads no clock, and is not safe for concurrent use.
type Table struct {
	run        RunID
	maxLease   time.Duration
	records    map[ident.TargetID]*Record
	revision   uint64 // number of direct announcements received
	lastNumber uint32 // last number assigned to a target
	sources    map[ident.InstanceID]*listingSource
}

// NewTable returns an empty table of the given run, which must not be 0 and must differ
// from those of earlier runs. Leases are capped at MaxLease until SetMaxLease.
func NewTable(run RunID) *Table {
	return &Table{run: run, maxLease: MaxLease, records: map[ident.TargetID]*Record{}, sources: map[ident.InstanceID]*listingSource{}}
}

// SetMaxLease sets the upper bound on leases. It must be the same on every instance.
func (t *Table) SetMaxLease(d time.Duration) { t.maxLease = d }

// MaxLease returns the upper bound on leases.
func (t *Table) MaxLease() time.Duration { return t.maxLease }

// Apply records an announcement whose lease ends at expires, unless the table has a newer
// one, or a departure that includes its sender's start. direct is true if the target announced itself to this instance.
func (t *Table) Apply(now clock.Time, a Announcement, expires clock.Time, direct bool) {
	old := t.records[a.Target]
	if old == nil {
		t.put(nil, Record{Announcement: a, Expires: expires, Direct: direct, receivedAt: now})
		return
	}
	order := cmp.Or(cmp.Compare(a.Incarnation, old.Incarnation), cmp.Compare(a.Sequence, old.Sequence))
	if order < 0 && !(old.outdated(now) && now.Before(expires)) {
		return
	}
	if order == 0 {
		t.extendLease(old, expires, direct)
		return
	}
	if a.Incarnation == old.Incarnation {
		a.Cache = mergeEvents(old.Cache, a.Cache)
	}
	t.put(old, Record{Announcement: a, Expires: expires, Direct: direct, receivedAt: now})
}

// put sets the record of a target that had the record old, if any.
func (t *Table) put(old *Record, r Record) {
	if r.Direct {
		t.recordDirect(&r, old)
	}
	if old == nil {
		t.records[r.Target] = &r
		return
	}
	*old = r
}

// extendLease handles an announcement that the table already has, received by another
// route. Only its lease may be longer.
func (t *Table) extendLease(old *Record, expires clock.Time, direct bool) {
	r := *old
	r.Expires = max(old.Expires, expires)
	r.Direct = old.Direct || direct
	if direct {
		t.recordDirect(&r, old)
	}
	*old = r
}

// mergeEvents appends the new events of add to old and keeps the newest maxCacheEvents,
// so that an instance that pulls less often than the target announces itself misses none.
func mergeEvents(old, add []CacheEvent) []CacheEvent {
	all := slices.Clone(old)
	for _, e := range add {
		if len(all) == 0 || e.Sequence > all[len(all)-1].Sequence {
			all = append(all, e)
		}
	}
	return all[max(0, len(all)-maxCacheEvents):]
}

// Sweep deletes targets that have not announced themselves for departedRetention.
func (t *Table) Sweep(now clock.Time) {
	for id, r := range t.records {
		if !r.Usable(now) && now.Sub(r.receivedAt) > departedRetention {
			delete(t.records, id)
		}
	}
	for _, s := range t.sources {
		s.dropUnknown(t)
	}
}

// Get returns the record of a target.
func (t *Table) Get(id ident.TargetID) (Record, bool) {
	r, ok := t.records[id]
	if !ok {
		return Record{}, false
	}
	return *r, true
}

// Each calls f for every record, in no particular order.
func (t *Table) Each(f func(r *Record)) {
	for _, r := range t.records {
		f(r)
	}
}

// Any reports whether f returns true for at least one record.
func (t *Table) Any(f func(r *Record) bool) bool {
	for _, r := range t.records {
		if f(r) {
			return true
		}
	}
	return false
}

// All returns every record, sorted by target ID.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
