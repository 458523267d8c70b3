package target

import (
	"math"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// A target may leave while announcements of it are still under way, or of a start that the table has no record of.
// A departure is therefore recorded in every case, for all starts up to an incarnation, as the last
// announcement of that incarnation. Announcements of these starts have no effect while they can be late; a later start
// replaces the departure at once.

const (
	// maxAnnouncementDelay is the longest time for which an announcement may be under way. Targets give up on a call
	// after a second, but what they sent is repeated by their hosts, and arrives seconds late, or after a
	// partition about as late again as that lasted. Announcements that still arrive after this time were sent after the departure.
	maxAnnouncementDelay = 20 * time.Second
	// departureSequence is greater than the sequence of any other announcement.
	departureSequence = math.MaxUint64
)

// Departure reports whether a records the departure of all starts up to its incarnation, rather than an announcement that a
// target sent.
func (a *Announcement) Departure() bool { return a.Leaving && a.Sequence == departureSequence }

// Depart records that all starts of a target up to an incarnation have left, whether the table has a record of them or not. It
// has no effect if the table has a record of a later start.
func (t *Table) Depart(now clock.Time, id ident.TargetID, until ident.Incarnation) {
	a := Announcement{Target: id}
	if old := t.records[id]; old != nil {
		a = old.Announcement
	}
	a.Incarnation, a.Sequence = until, departureSequence
	a.Leaving, a.Cache = true, nil
	t.Apply(now, a, now.Add(min(a.Lease.AsDuration(), t.maxLease)), true)
}

// outdated reports whether r is a departure after which no earlier announcement can be under way any more.
func (r *Record) outdated(now clock.Time) bool {
	return r.Departure() && now.Sub(r.receivedAt) > maxAnnouncementDelay
}
