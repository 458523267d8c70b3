package quorum

import "github.com/hickoryridge/hickoryridge/internal/clock"

// follow accepts the sender as leader of its term. It reports false for a
// leader of an earlier term, which is told the present one.
func (c *Core) follow(now clock.Time, m Message, round Round) bool {
	if m.Term < c.hard.Term {
		c.refuseAppend(m, round)
		return false
	}
	if m.Term > c.hard.Term || c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.heard = now
	c.resetDeadline(now)
	return true
}

func (c *Core) refuseAppend(m Message, round Round) {
	answer := c.message(m.From)
	answer.Ack = &AppendAck{Round: round, Last: c.last(), Hint: c.hint(m)}
	c.emit(Send{Message: answer})
}

// hint returns the newest entry that may still equal the leader's. Entries of a
// term that conflicts at the leader's position are passed over at once.
func (c *Core) hint(m Message) Index {
	if m.Append == nil || m.Append.Prev > c.last() {
		return c.last()
	}
	at := m.Append.Prev
	conflict, _ := c.termAt(at)
	for at > c.commit {
		if t, ok := c.termAt(at); !ok || t != conflict {
			break
		}
		at--
	}
	return at
}

func (c *Core) onAppend(now clock.Time, m Message) {
	a := m.Append
	if !c.follow(now, m, a.Round) {
		return
	}
	prev, entries := c.trimCovered(a)
	t, ok := c.termAt(prev)
	if !ok || (prev == a.Prev && t != a.PrevTerm) {
		c.refuseAppend(m, a.Round)
		return
	}
	match := a.Prev + Index(len(a.Entries))
	match = max(match, prev)
	fresh := c.freshEntries(entries)
	c.appendEntries(fresh)
	c.commit = max(c.commit, min(a.Commit, match))

	answer := c.message(m.From)
	answer.Ack = &AppendAck{Round: a.Round, Accepted: true, Match: match}
	// The acknowledgement may not overtake the sync of entries that an earlier
	// message brought, so it goes through the disk's queue while one is open.
	if len(fresh) > 0 || c.synced < match {
		seq := c.persist(Persist{Entries: fresh, AfterSync: []Message{answer}})
		if len(fresh) > 0 {
			tail := fresh[len(fresh)-1]
			c.syncs = append(c.syncs, pendingSync{seq: seq, term: tail.Term, index: tail.Index})
		}
	} else {
		c.emit(Send{Message: answer})
	}
	c.applyCommitted()
}

// trimCovered drops the entries that this member's snapshot covers; they are
// committed and therefore equal.
func (c *Core) trimCovered(a *Append) (prev Index, entries []Entry) {
	prev, entries = a.Prev, a.Entries
	if prev >= c.meta.Index {
		return prev, entries
	}
	covered := min(c.meta.Index-prev, Index(len(entries)))
	return c.meta.Index, entries[covered:]
}

// freshEntries drops the leading entries that the log holds already.
func (c *Core) freshEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if t, ok := c.termAt(e.Index); !ok || t != e.Term {
			return entries[i:]
		}
	}
	return nil
}

// appendEntries writes entries into the log and cuts what conflicts with them.
func (c *Core) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	keep := first - c.meta.Index - 1
	cut := first <= c.last()
	if cut {
		// Slices handed out earlier keep their contents.
		c.entries = append([]Entry(nil), c.entries[:keep]...)
	}
	c.entries = append(c.entries, entries...)
	c.synced = min(c.synced, first-1)
	if cut {
		c.findMembers()
		return
	}
	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members = e.Members
			c.membersIndex = e.Index
		}
	}
}

func (c *Core) onInstall(now clock.Time, m Message) {
	in := m.Install
	if !c.follow(now, m, in.Round) {
		return
	}
	answer := c.message(m.From)
	answer.Ack = &AppendAck{Round: in.Round, Accepted: true, Match: in.Meta.Index}
	if in.Meta.Index <= c.commit {
		answer.Ack.Match = min(c.commit, c.synced)
		c.emit(Send{Message: answer})
		return
	}
	c.meta = in.Meta
	c.entries = nil
	c.commit = in.Meta.Index
	c.applied = in.Meta.Index
	c.synced = in.Meta.Index
	c.syncs = nil
	c.findMembers()
	c.persist(Persist{Install: in, AfterSync: []Message{answer}})
	c.emit(Restore{Install: *in})
}
