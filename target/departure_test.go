package target

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// TestDeparture guards against a target that is used after it has left, because an announcement arrives late or by
// another instance, and against one that is not used though it is back.
func TestDeparture(t *testing.T) {
	const (
		until   = ident.Incarnation(20) // of the departure
		late    = maxAnnouncementDelay - time.Millisecond
		tooLate = maxAnnouncementDelay + time.Millisecond
	)
	for name, test := range map[string]struct {
		before []Announcement // on record when the target leaves
		after  Announcement   // arrives later
		delay  time.Duration  // from the departure until it arrives
		usable bool
	}{
		"not on record, late report":          {nil, announcement(19, 1), late, false},
		"not on record, report of that start": {nil, announcement(until, 1), late, false},
		"earlier start on record":             {[]Announcement{announcement(10, 7)}, announcement(19, 1), late, false},
		"that start on record":                {[]Announcement{announcement(until, 7)}, announcement(until, 9), late, false},
		"had announced that it leaves":        {[]Announcement{leaving(until, 7)}, announcement(until, 9), late, false},
		"back":                                {[]Announcement{announcement(10, 7)}, announcement(21, 1), time.Millisecond, true},
		"back, was not on record":             {nil, announcement(21, 1), time.Millisecond, true},
		"an earlier start left":               {[]Announcement{announcement(30, 7)}, announcement(30, 8), time.Millisecond, true},
		"goes on to announce itself":          {[]Announcement{announcement(10, 7)}, announcement(10, 90), tooLate, true},
		"back, by a clock that is behind":     {nil, announcement(5, 1), tooLate, true},
	} {
		t.Run(name, func(t *testing.T) {
			direct, other := NewTable(1), NewTable(2)
			for _, a := range test.before {
				direct.Apply(now, a, now.Add(2*time.Second), true)
			}
			share(direct, other, now)
			direct.Depart(now, "e1", until)
			share(direct, other, now)
			at := now.Add(test.delay)
			direct.Apply(at, test.after, at.Add(2*time.Second), true)
			share(direct, other, at)
			for name, table := range map[string]*Table{"the instance that received it": direct, "another instance": other} {
				r, _ := table.Get("e1")
				if r.Usable(at) != test.usable {
					t.Errorf("%s: usable is %v for record %+v", name, r.Usable(at), r)
				}
			}
		})
	}
}

// share brings what another table has not received yet into it.
func share(from, to *Table, at clock.Time) {
	since := to.Cursor("direct")
	to.ApplyListing(at, at, "direct", since, from.ListingSince(at, since))
}

// TestDepartureOutlivesExpiredLease guards against a departure that is replaced by an old record of an instance which had been
// cut off, so that a late announcement has an effect.
func TestDepartureOutlivesExpiredLease(t *testing.T) {
	cutOff, table := NewTable(1), NewTable(2)
	cutOff.Apply(now, announcement(10, 7), now.Add(2*time.Second), true)
	table.Depart(now, "e1", 20)
	at := now.Add(maxAnnouncementDelay + time.Second)
	table.ApplyListing(at, at, "direct", Cursor{}, cutOff.ListingSince(at, Cursor{}))
	if r, _ := table.Get("e1"); !r.Departure() {
		t.Errorf("record %+v, want the departure", r)
	}
}
