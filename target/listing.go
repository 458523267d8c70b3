package target

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// RunID identifies one run of an instance's process. 0 means none.
type RunID uint64

// Cursor is a position in the sequence of another instance's listings.
type Cursor struct {
	Run      RunID  // run of the instance that sends the listings
	Revision uint64 // newest revision received
}

// Listing contains the targets that have announced themselves to an instance since a
// cursor. An announcement that changes only load and lease is sent as a heartbeat. A
// heartbeat without load and cache events is sent as a renewal.
type Listing struct {
	Next       Cursor // for the next request
	Full       []Shared
	Heartbeats []Heartbeat
	Renewed    Renewals
}

// Heartbeat is an announcement that changed only a target's load and lease.
type Heartbeat struct {
	Number    uint32 // see Shared
	Sequence  uint64
	Remaining uint32 // lease left when the listing was created, in milliseconds
	Waiting   ident.Tokens
	Running   int
	Measured  int64        // see Load
	Cache     []CacheEvent // events since the cursor
}

// listingState is the state that a table keeps for a target that announces itself
// directly, in order to build listings. Revisions number the direct announcements that
// the table has received.
type listingState struct {
	number         uint32             // identifies the target in heartbeats
	revision       uint64             // newest announcement
	fullRevision   uint64             // newest announcement that a heartbeat cannot represent
	eventRevisions []uint64           // one for each of the record's cache events
	encoded        msgpack.RawMessage // announcement; nil until a listing needs it
}

// recordDirect assigns the next revision to r, the record of a direct announcement.
// before is the target's previous record, or nil.
func (t *Table) recordDirect(r, before *Record) {
	t.revision++
	if before == nil || !before.Direct {
		// Other instances may have received this target from another instance, with
		// another role. A new number makes the next listing send it in full.
		t.lastNumber++
		r.listing = listingState{number: t.lastNumber, fullRevision: t.revision}
	} else {
		r.listing = listingState{number: before.listing.number, fullRevision: before.listing.fullRevision}
		if !sameExceptLoad(&r.Announcement, &before.Announcement) {
			r.listing.fullRevision = t.revision
		}
	}
	r.listing.revision = t.revision
	r.listing.eventRevisions = eventRevisions(r, before, t.revision)
}

// eventRevisions returns the revisions of r's cache events. Events that are also in
// before keep their revision; the others get newest. Events are sorted by sequence.
func eventRevisions(r, before *Record, newest uint64) []uint64 {
	revisions := make([]uint64, len(r.Cache))
	for i := range revisions {
		revisions[i] = newest
	}
	if before == nil || !before.Direct || before.Incarnation != r.Incarnation {
		return revisions
	}
	j := 0
	for i, e := range r.Cache {
		for j < len(before.Cache) && before.Cache[j].Sequence < e.Sequence {
			j++
		}
		if j < len(before.Cache) && before.Cache[j].Sequence == e.Sequence {
			revisions[i] = before.listing.eventRevisions[j]
		}
	}
	return revisions
}

// sameExceptLoad reports whether a heartbeat can represent every difference between
// a and b.
func sameExceptLoad(a, b *Announcement) bool {
	if (a.Engine == nil) != (b.Engine == nil) || a.Engine != nil && *a.Engine != *b.Engine {
		return false
	}
	return a.Service == b.Service && a.Address == b.Address && a.Region == b.Region && a.Domain == b.Domain &&
		a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Lease == b.Lease && a.Software == b.Software && a.Reclaimable == b.Reclaimable &&
		a.Load.Slots == b.Load.Slots && a.Load.Prefill == b.Load.Prefill && a.Load.Decode == b.Load.Decode
}

// ListingSince returns the targets that have announced themselves to this instance since
// a cursor, or all of them for a cursor of another run. The table keeps no state about
// the receiver: one that lost a listing sends the old cursor again.
func (t *Table) ListingSince(now clock.Time, since Cursor) Listing {
	if since.Run != t.run {
		since.Revision = 0
	}
	l := Listing{Next: Cursor{Run: t.run, Revision: t.revision}}
	for _, r := range t.records {
		if !r.Direct || r.listing.revision <= since.Revision {
			continue
		}
		// A record whose lease has expired is listed too, because the cursor moves
		// past it and later heartbeats refer to it.
		remaining := max(0, r.Expires.Sub(now))
		if r.listing.fullRevision > since.Revision {
			l.Full = append(l.Full, r.shared(remaining))
			continue
		}
		h := r.heartbeat(since, remaining)
		if h.isRenewal() {
			l.Renewed = l.Renewed.add(&h)
			continue
		}
		l.Heartbeats = append(l.Heartbeats, h)
	}
	return l
}

func (r *Record) heartbeat(since Cursor, remaining time.Duration) Heartbeat {
	h := Heartbeat{
		Number: r.listing.number, Sequence: r.Sequence, Remaining: uint32(remaining.Milliseconds()),
		Waiting: r.Load.Waiting, Running: r.Load.Running, Measured: r.Load.Measured,
	}
	for i, e := range r.Cache {
		if r.listing.eventRevisions[i] > since.Revision {
			h.Cache = append(h.Cache, e)
		}
	}
	return h
}

// listingSource is the state received in the listings of one other instance. A heartbeat
// applies to the announcement from the same source, not to the table's record, which may
// come from another instance that has the target with another role.
type listingSource struct {
	cursor Cursor
	base   map[uint32]*Announcement // by number, without cache events
}

// Cursor returns the position in another instance's listings, or the zero Cursor if
// there is none.
func (t *Table) Cursor(from ident.InstanceID) Cursor {
	if s := t.sources[from]; s != nil {
		return s.cursor
	}
	return Cursor{}
}

// ListedTarget is a target in a listing, with its record before the listing was applied.
type ListedTarget struct {
	ID     ident.TargetID
	Before Record
}

// ApplyListing records a listing from another instance, in reply to a request that was
// sent at requested with the cursor since, and returns the targets in the listing. Remaining
// leases count from requested, so that a delayed reply cannot extend them.
//
// A listing for a cursor other than the current one is dropped. A heartbeat of an unknown
// target, or malformed renewals, reset the cursor, so that the next listing contains
// everything.
func (t *Table) ApplyListing(now, requested clock.Time, from ident.InstanceID, since Cursor, l Listing) []ListedTarget {
	if since != t.Cursor(from) {
		return nil
	}
	s := t.sources[from]
	if s == nil || l.Next.Run != since.Run {
		s = &listingSource{base: map[uint32]*Announcement{}}
		t.sources[from] = s
	}
	s.cursor = l.Next
	listed := make([]ListedTarget, 0, len(l.Full)+len(l.Heartbeats))
	record := func(a Announcement, remaining time.Duration) {
		before, _ := t.Get(a.Target)
		t.Apply(now, a, requested.Add(min(remaining, t.maxLease)), false)
		listed = append(listed, ListedTarget{a.Target, before})
	}
	for _, f := range l.Full {
		base := f.Announcement
		base.Cache = nil
		s.base[f.Number] = &base
		record(f.Announcement, f.Remaining)
	}
	renew := func(h *Heartbeat) {
		base := s.base[h.Number]
		if base == nil {
			s.cursor = Cursor{}
			return
		}
		record(h.applyTo(base), time.Duration(h.Remaining)*time.Millisecond)
	}
	for i := range l.Heartbeats {
		renew(&l.Heartbeats[i])
	}
	if !l.Renewed.each(renew) {
		s.cursor = Cursor{}
	}
	return listed
}

// applyTo returns base, updated with the values of the heartbeat.
func (h *Heartbeat) applyTo(base *Announcement) Announcement {
	a := *base
	a.Sequence = h.Sequence
	a.Load.Waiting, a.Load.Running, a.Load.Measured = h.Waiting, h.Running, h.Measured
	a.Cache = h.Cache
	return a
}

// dropUnknown deletes the targets that are no longer in the table.
func (s *listingSource) dropUnknown(t *Table) {
	for n, a := range s.base {
		if t.records[a.Target] == nil {
			delete(s.base, n)
		}
	}
}
