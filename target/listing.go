package target

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// RunID tells the runs of an instance apart. 0 is none.
type RunID uint64

// Cursor is a position in the sequence of another instance's listings.
type Cursor struct {
	Run      RunID  // of the instance that sends the listings
	Revision uint64 // newest revision received
}

// Listing is what an instance has received from targets since a cursor. Most
// announcements change a target's load and lease only, and are sent as heartbeats; those of
// targets that tell no load change the lease only, and are sent as renewals.
type Listing struct {
	Next       Cursor // for the next question
	Full       []Shared
	Heartbeats []Heartbeat
	Renewed    Renewals
}

// Heartbeat is an announcement that changed a target's load only.
type Heartbeat struct {
	Number    uint32
	Sequence  uint64
	Remaining uint32 // of the lease, when the listing was made, in milliseconds
	Waiting   ident.Tokens
	Running   int
	Measured  int64        // see Load
	Cache     []CacheEvent // since the cursor
}

// published is what a table keeps of a target that announces itself to it, to make
// listings. A revision counts the direct announcements to the table.
type published struct {
	number   uint32
	revision uint64             // of the newest announcement
	full     uint64             // of the newest that changed more than the load
	events   []uint64           // of the record's cache events
	encoded  msgpack.RawMessage // the announcement; nil until a listing needs it
}

// publish counts a direct announcement, which made the record r of before, if there
// was one.
func (t *Table) publish(r, before *Record) {
	t.revision++
	if before == nil || !before.Direct {
		// Others may know this target from elsewhere, with another role.
		t.numbers++
		r.published = published{number: t.numbers, full: t.revision}
	} else {
		r.published = published{number: before.published.number, full: before.published.full}
		if !sameButLoad(&r.Announcement, &before.Announcement) {
			r.published.full = t.revision
		}
	}
	r.published.revision = t.revision
	r.published.events = eventRevisions(r, before, t.revision)
}

// eventRevisions returns the revisions of a record's cache events: those of before
// keep theirs, the others have the newest. Events are in the order of their
// sequences.
func eventRevisions(r, before *Record, newest uint64) []uint64 {
	revisions := make([]uint64, len(r.Cache))
	for i := range revisions {
		revisions[i] = newest
	}
	if before == nil || !before.Direct || before.Incarnation != r.Incarnation {
		return revisions
	}
	known := 0
	for i, e := range r.Cache {
		for known < len(before.Cache) && before.Cache[known].Sequence < e.Sequence {
			known++
		}
		if known < len(before.Cache) && before.Cache[known].Sequence == e.Sequence {
			revisions[i] = before.published.events[known]
		}
	}
	return revisions
}

// sameButLoad reports whether a heartbeat carries all that differs between two
// announcements.
func sameButLoad(a, b *Announcement) bool {
	if (a.Engine == nil) != (b.Engine == nil) || a.Engine != nil && *a.Engine != *b.Engine {
		return false
	}
	return a.Service == b.Service && a.Address == b.Address && a.Region == b.Region && a.Domain == b.Domain &&
		a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && a.Lease == b.Lease &&
		a.Load.Slots == b.Load.Slots && a.Load.Prefill == b.Load.Prefill && a.Load.Decode == b.Load.Decode
}

// ListingSince returns what targets announced to this instance since a cursor, and all of
// it for a cursor of another run. It keeps nothing of the receiver: one that lost a
// listing asks with the old cursor again.
func (t *Table) ListingSince(now clock.Time, since Cursor) Listing {
	if since.Run != t.run {
		since.Revision = 0
	}
	l := Listing{Next: Cursor{Run: t.run, Revision: t.revision}}
	for _, r := range t.records {
		if !r.Direct || r.published.revision <= since.Revision {
			continue
		}
		// A lapsed one is listed too: the cursor passes it, and heartbeats build on it.
		remaining := max(0, r.Expires.Sub(now))
		if r.published.full > since.Revision {
			l.Full = append(l.Full, r.shared(remaining))
			continue
		}
		h := r.heartbeat(since, remaining)
		if h.renewal() {
			l.Renewed = l.Renewed.add(&h)
			continue
		}
		l.Heartbeats = append(l.Heartbeats, h)
	}
	return l
}

func (r *Record) heartbeat(since Cursor, remaining time.Duration) Heartbeat {
	h := Heartbeat{
		Number: r.published.number, Sequence: r.Sequence, Remaining: uint32(remaining.Milliseconds()),
		Waiting: r.Load.Waiting, Running: r.Load.Running, Measured: r.Load.Measured,
	}
	for i, e := range r.Cache {
		if r.published.events[i] > since.Revision {
			h.Cache = append(h.Cache, e)
		}
	}
	return h
}

// source is what an instance has received in another one's listings. Heartbeats
// build on the announcements of the same source: the record may stem from another
// one, which knows the target with another role.
type source struct {
	cursor Cursor
	base   map[uint32]*Announcement // by number, without cache events
}

// Cursor returns the position in another instance's listings.
func (t *Table) Cursor(from ident.InstanceID) Cursor {
	if s := t.sources[from]; s != nil {
		return s.cursor
	}
	return Cursor{}
}

// ListedTarget is a target of a listing with its record before the listing.
type ListedTarget struct {
	ID     ident.TargetID
	Before Record
}

// ApplyListing records the listing that another instance sent for a question that was asked
// at asked with the cursor since. The remaining leases count from there. It returns
// the targets of the listing. A listing for another cursor than the present one is
// dropped, and one with a heartbeat of an unknown target, or with renewals that cannot be
// read, makes the next question one for everything.
func (t *Table) ApplyListing(now, asked clock.Time, from ident.InstanceID, since Cursor, l Listing) []ListedTarget {
	if since != t.Cursor(from) {
		return nil
	}
	s := t.sources[from]
	if s == nil || l.Next.Run != since.Run {
		s = &source{base: map[uint32]*Announcement{}}
		t.sources[from] = s
	}
	s.cursor = l.Next
	heard := make([]ListedTarget, 0, len(l.Full)+len(l.Heartbeats))
	take := func(a Announcement, remaining time.Duration) {
		before, _ := t.Get(a.Target)
		t.Apply(now, a, asked.Add(min(remaining, t.longest)), false)
		heard = append(heard, ListedTarget{a.Target, before})
	}
	for _, f := range l.Full {
		base := f.Announcement
		base.Cache = nil
		s.base[f.Number] = &base
		take(f.Announcement, f.Remaining)
	}
	beat := func(h *Heartbeat) {
		base := s.base[h.Number]
		if base == nil {
			s.cursor = Cursor{}
			return
		}
		take(h.on(base), time.Duration(h.Remaining)*time.Millisecond)
	}
	for i := range l.Heartbeats {
		beat(&l.Heartbeats[i])
	}
	if !l.Renewed.each(beat) {
		s.cursor = Cursor{}
	}
	return heard
}

// on returns the announcement that a heartbeat makes of the one before it.
func (h *Heartbeat) on(base *Announcement) Announcement {
	a := *base
	a.Sequence = h.Sequence
	a.Load.Waiting, a.Load.Running, a.Load.Measured = h.Waiting, h.Running, h.Measured
	a.Cache = h.Cache
	return a
}

// forget drops the targets that the table does not know any more.
func (s *source) forget(t *Table) {
	for n, a := range s.base {
		if t.records[a.Target] == nil {
			delete(s.base, n)
		}
	}
}
