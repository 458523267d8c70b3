package quorum

import "github.com/hickoryridge/hickoryridge/internal/clock"

// acceptLeader accepts the sender of m as the leader of its term and resets the
// election timeout. It returns false for a leader of an earlier term and replies
// to it with the current term.
func (c *Core) acceptLeader(now clock.Time, m Message, round Round) bool {
	if m.Term < c.hard.Term {
		c.rejectAppend(m, round)
		return false
	}
	if m.Term > c.hard.Term || c.role != Follower || c.leader != m.From {
		c.becomeFollower(now, m.Term, m.From)
	}
	c.leaderContact = now
	c.candidacies = 0
	c.resetDeadline(now)
	return true
}

func (c *Core) rejectAppend(m Message, round Round) {
	response := c.newMessage(m.From)
	response.Ack = &AppendAck{Round: round, Last: c.lastIndex(), Hint: c.conflictHint(m)}
	c.emit(Send{Message: response})
}

// conflictHint returns the index of the newest entry that may match the leader's
// log. It skips all entries of the term that conflicts at the position of the
// Append, so that one round trip suffices for each conflicting term.
func (c *Core) conflictHint(m Message) Index {
	if m.Append == nil || m.Append.Prev > c.lastIndex() {
		return c.lastIndex()
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

func (c *Core) handleAppend(now clock.Time, m Message) {
	a := m.Append
	if !c.acceptLeader(now, m, a.Round) {
		return
	}
	prev, entries := c.trimCovered(a)
	t, ok := c.termAt(prev)
	if !ok || (prev == a.Prev && t != a.PrevTerm) {
		c.rejectAppend(m, a.Round)
		return
	}
	match := a.Prev + Index(len(a.Entries))
	match = max(match, prev)
	missing := c.missingEntries(entries)
	c.appendEntries(missing)
	c.commit = max(c.commit, min(a.Commit, match))

	if len(missing) == 0 && c.syncedIndex >= match {
		c.emit(Send{Message: c.ackAppend(m, match)})
	} else {
		c.ackRound(m, min(match, c.syncedIndex))
		c.persistAppend(missing, c.ackAppend(m, match))
	}
	c.applyCommitted()
}

// ackRound acknowledges the round of an Append at once, unless an earlier Append of the round did so: that this
// member follows, and withholds its vote, does not depend on its disk. synced is the part of the log that is synced.
func (c *Core) ackRound(m Message, synced Index) {
	if m.Append.Round <= c.followedRound {
		return
	}
	c.followedRound = m.Append.Round
	c.emit(Send{Message: c.ackAppend(m, synced)})
}

// persistAppend appends entries to the log on disk and sends response once they, and all entries before, are synced.
func (c *Core) persistAppend(entries []Entry, response Message) {
	seq := c.persist(Persist{Entries: entries, AfterSync: []Message{response}})
	if len(entries) == 0 {
		return
	}
	tail := entries[len(entries)-1]
	c.pendingSyncs = append(c.pendingSyncs, pendingSync{seq: seq, term: tail.Term, index: tail.Index})
}

// ackAppend returns the reply to an accepted Append, which acknowledges its round and the log up to match.
func (c *Core) ackAppend(m Message, match Index) Message {
	response := c.newMessage(m.From)
	response.Ack = &AppendAck{Round: m.Append.Round, Accepted: true, Match: match}
	return response
}

// trimCovered drops the entries that this member's snapshot covers. They are
// committed and therefore identical.
func (c *Core) trimCovered(a *Append) (prev Index, entries []Entry) {
	prev, entries = a.Prev, a.Entries
	if prev >= c.meta.Index {
		return prev, entries
	}
	covered := min(c.meta.Index-prev, Index(len(entries)))
	return c.meta.Index, entries[covered:]
}

// missingEntries returns entries without the leading ones that the log already
// contains.
func (c *Core) missingEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if t, ok := c.termAt(e.Index); !ok || t != e.Term {
			return entries[i:]
		}
	}
	return nil
}

// appendEntries appends entries to the log and removes existing entries that
// conflict with them.
func (c *Core) appendEntries(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	first := entries[0].Index
	keep := first - c.meta.Index - 1
	cut := first <= c.lastIndex()
	if cut {
		// Copy, because earlier actions may still hold slices of the old array.
		c.entries = append([]Entry(nil), c.entries[:keep]...)
	}
	c.entries = append(c.entries, entries...)
	c.syncedIndex = min(c.syncedIndex, first-1)
	if cut {
		c.loadMembership()
		return
	}
	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members = e.Members
			c.membersIndex = e.Index
		}
	}
}

func (c *Core) handleInstallSnapshot(now clock.Time, m Message) {
	in := m.Install
	if !c.acceptLeader(now, m, in.Round) {
		return
	}
	response := c.newMessage(m.From)
	response.Ack = &AppendAck{Round: in.Round, Accepted: true, Match: in.Meta.Index}
	if in.Meta.Index <= c.commit {
		response.Ack.Match = min(c.commit, c.syncedIndex)
		c.emit(Send{Message: response})
		return
	}
	c.meta = in.Meta
	c.entries = nil
	c.commit = in.Meta.Index
	c.applied = in.Meta.Index
	c.syncedIndex = 0
	c.loadMembership()
	seq := c.persist(Persist{Install: in, AfterSync: []Message{response}})
	c.pendingSyncs = []pendingSync{{seq: seq, term: in.Meta.Term, index: in.Meta.Index}}
	c.emit(Restore{Install: *in})
}
