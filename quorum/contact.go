package quorum

import (
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// A leader tells its followers which members have not replied to it and for how long, so that the time is not
// counted anew whenever the leader changes: a member that is gone for good would otherwise never count as lost where
// leaders are replaced too.

// contacts is what a member knows of the others' contact with the latest leader. Its times are running time.
type contacts struct {
	at       clock.Time   // receipt of the leader's latest message, or the end of this member's own leadership
	leader   ident.DiskID // the leader; empty if it was this member
	silences []Silence    // as of at
}

// lastContact returns the time of a member's latest contact. ok is false if it was not silent then.
func (c contacts) lastContact(d ident.DiskID) (at clock.Time, ok bool) {
	if c.leader != "" && d == c.leader {
		return c.at, true
	}
	for _, s := range c.silences {
		if s.Disk == d {
			return c.at.Add(-s.For), true
		}
	}
	return 0, false
}

// silences returns the members that have not replied to this leader for ElectionMax or longer.
func (c *Core) silences(now clock.Time) []Silence {
	var silences []Silence
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if p == nil || m.Disk == c.cfg.Self {
			continue
		}
		if d := c.ran(now).Sub(p.lastContact); d >= c.cfg.Timing.ElectionMax {
			silences = append(silences, Silence{Disk: m.Disk, For: d})
		}
	}
	return silences
}

// adoptContacts makes a new leader go on from what the latest one knew of the members' silence.
func (c *Core) adoptContacts() {
	for d, p := range c.progress {
		if at, ok := c.contacts.lastContact(d); ok {
			p.lastContact = min(p.lastContact, at)
		}
	}
}
