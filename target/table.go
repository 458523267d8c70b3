package target

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// keepDeparted is how long the last announcement of a departed target is kept.
const keepDeparted = 10 * time.Minute

// Record is what the table knows of one target.
type Record struct {
	Announcement
	Expires   clock.Time
	Direct    bool // announced to this instance
	heard     clock.Time
	published published // if Direct
}

// Usable reports whether new work may go to the target at now.
func (r *Record) Usable(now clock.Time) bool {
	return !r.Leaving && now.Before(r.Expires)
}

// Table is the set of known targets. It holds no lock and reads no clock.
type Table struct {
	run      RunID
	longest  time.Duration // lease
	records  map[ident.TargetID]*Record
	revision uint64 // direct announcements so far
	numbers  uint32 // given to targets so far
	sources  map[ident.InstanceID]*source
}

// NewTable returns an empty table of the given run, which is not 0 and differs from
// those of earlier runs. No lease is taken as longer than MaxLease.
func NewTable(run RunID) *Table {
	return &Table{run: run, longest: MaxLease, records: map[ident.TargetID]*Record{}, sources: map[ident.InstanceID]*source{}}
}

// SetMaxLease sets the bound on leases. Every instance has to have the same one.
func (t *Table) SetMaxLease(d time.Duration) { t.longest = d }

// MaxLease returns the bound on leases.
func (t *Table) MaxLease() time.Duration { return t.longest }

// Apply records an announcement that holds until expires, unless the table holds a
// newer one.
func (t *Table) Apply(now clock.Time, a Announcement, expires clock.Time, direct bool) {
	old := t.records[a.Target]
	if old == nil {
		t.put(nil, Record{Announcement: a, Expires: expires, Direct: direct, heard: now})
		return
	}
	order := cmp.Or(cmp.Compare(a.Incarnation, old.Incarnation), cmp.Compare(a.Sequence, old.Sequence))
	if order < 0 {
		return
	}
	if order == 0 {
		t.again(old, expires, direct)
		return
	}
	if a.Incarnation == old.Incarnation {
		a.Cache = mergeEvents(old.Cache, a.Cache)
	}
	t.put(old, Record{Announcement: a, Expires: expires, Direct: direct, heard: now})
}

// put sets the record of a target that had the record old, if any.
func (t *Table) put(old *Record, r Record) {
	if r.Direct {
		t.publish(&r, old)
	}
	if old == nil {
		t.records[r.Target] = &r
		return
	}
	*old = r
}

// again takes the announcement that the table has by another way: only its lease may be
// longer.
func (t *Table) again(old *Record, expires clock.Time, direct bool) {
	r := *old
	r.Expires = max(old.Expires, expires)
	r.Direct = old.Direct || direct
	if direct {
		t.publish(&r, old)
	}
	*old = r
}

// mergeEvents keeps the newest events in order, so that an instance that pulls
// less often than the target announces misses none.
func mergeEvents(old, add []CacheEvent) []CacheEvent {
	all := slices.Clone(old)
	for _, e := range add {
		if len(all) == 0 || e.Sequence > all[len(all)-1].Sequence {
			all = append(all, e)
		}
	}
	return all[max(0, len(all)-maxEvents):]
}

// Sweep forgets targets that went silent long ago.
func (t *Table) Sweep(now clock.Time) {
	for id, r := range t.records {
		if !r.Usable(now) && now.Sub(r.heard) > keepDeparted {
			delete(t.records, id)
		}
	}
	for _, s := range t.sources {
		s.forget(t)
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

// Each calls f for every record, in no order.
func (t *Table) Each(f func(r *Record)) {
	for _, r := range t.records {
		f(r)
	}
}

// Any reports whether f holds for some record.
func (t *Table) Any(f func(r *Record) bool) bool {
	for _, r := range t.records {
		if f(r) {
			return true
		}
	}
	return false
}

// All returns every record, ordered by target.
func (t *Table) All() []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Target, b.Target) })
	return all
}
