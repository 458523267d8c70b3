package quorum

import (
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

func (c *Core) becomeLeader(now clock.Time) {
	c.role = Leader
	c.leader = c.cfg.Self
	c.votes = nil
	c.candidacies = 0
	c.progress = map[ident.DiskID]*progress{}
	c.round = 0
	c.sentRounds = nil
	c.leaseExpiry = 0
	c.quorumSentAt = c.ran(now)
	c.transferStarted = 0
	c.updateProgress(now)
	c.termStartIndex = c.lastIndex() + 1
	c.appendAsLeader([]Entry{{Kind: EntryNone}})
	c.broadcast(now)
	c.advanceCommit(now)
}

// updateProgress adds and removes progress records to match the membership.
func (c *Core) updateProgress(now clock.Time) {
	for _, m := range c.members.Members {
		if c.progress[m.Disk] == nil {
			c.progress[m.Disk] = &progress{nextIndex: c.lastIndex() + 1, lastContact: c.ran(now), askedSince: c.ran(now)}
		}
	}
	for d := range c.progress {
		if _, ok := c.members.Find(d); !ok {
			delete(c.progress, d)
		}
	}
}

// appendAsLeader assigns indexes and the current term to entries, appends them to
// the log and emits a Persist action for them.
func (c *Core) appendAsLeader(entries []Entry) {
	for i := range entries {
		entries[i].Index = c.lastIndex() + 1 + Index(i)
		entries[i].Term = c.hard.Term
	}
	c.entries = append(c.entries, entries...)
	seq := c.persist(Persist{Entries: entries})
	c.pendingSyncs = append(c.pendingSyncs, pendingSync{seq: seq, term: c.hard.Term, index: c.lastIndex()})
}

// leaderTick sends the heartbeat that is due. It steps down instead if no quorum has
// acknowledged a broadcast for longer than ElectionMax (unless there is only one voter),
// or if this member is not a voter of the committed membership.
func (c *Core) leaderTick(now clock.Time) {
	if c.ran(now).Sub(c.quorumSentAt) > c.cfg.Timing.ElectionMax && c.members.Voters() > 1 {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if !c.isVoter(c.cfg.Self) && c.membersIndex <= c.commit {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.broadcast(now)
	}
}

// broadcast starts a round: it sends every member its missing entries, or a
// heartbeat if it has none.
func (c *Core) broadcast(now clock.Time) {
	c.round++
	c.sentRounds = append(c.sentRounds, sentRound{round: c.round, sentAt: now, ranAt: c.ran(now)})
	c.nextHeartbeat = now.Add(c.cfg.Timing.Heartbeat)
	for _, m := range c.members.Members {
		if m.Disk != c.cfg.Self {
			c.sendAppend(now, m.Disk)
		}
	}
	c.advanceRound(now)
}

// replicate sends new entries to the members without starting a round.
func (c *Core) replicate(now clock.Time) {
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if m.Disk == c.cfg.Self || p == nil || p.nextIndex > c.lastIndex() {
			continue
		}
		if p.nextIndex-p.matchIndex <= maxInflight {
			c.sendAppend(now, m.Disk)
		}
	}
}

func (c *Core) sendAppend(now clock.Time, to ident.DiskID) {
	p := c.progress[to]
	if p == nil || p.rejected {
		return
	}
	if p.nextIndex <= c.meta.Index {
		c.sendSnapshot(now, to, p)
		return
	}
	prev := p.nextIndex - 1
	prevTerm, _ := c.termAt(prev)
	a := Append{Prev: prev, PrevTerm: prevTerm, Commit: c.commit, Round: c.round}
	if p.nextIndex-p.matchIndex <= maxInflight {
		a.Entries = c.entriesFrom(p.nextIndex)
		p.nextIndex += Index(len(a.Entries))
	}
	m := c.newMessage(to)
	m.Append = &a
	c.emit(Send{Message: m})
}

// sendSnapshot emits a SendSnapshot action, at most once per ElectionMax and member
// while the member has not acknowledged the snapshot.
func (c *Core) sendSnapshot(now clock.Time, to ident.DiskID, p *progress) {
	if p.snapshotSentAt > 0 && now.Sub(p.snapshotSentAt) < c.cfg.Timing.ElectionMax {
		return
	}
	p.snapshotSentAt = now
	c.emit(SendSnapshot{To: to, Term: c.hard.Term, Round: c.round})
}

func (c *Core) handleAck(now clock.Time, m Message) {
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, "")
		return
	}
	p := c.progress[m.From]
	if c.role != Leader || m.Term != c.hard.Term || p == nil || p.rejected {
		return
	}
	ack := m.Ack
	p.lastContact = c.ran(now)
	p.ackedRound = max(p.ackedRound, ack.Round)
	if ack.Accepted {
		c.handleAcceptedAppend(now, p, m)
	} else {
		c.handleRejectedAppend(now, p, m)
	}
	c.advanceRound(now)
}

func (c *Core) handleAcceptedAppend(now clock.Time, p *progress, m Message) {
	if m.Ack.Match > p.matchIndex {
		p.matchIndex = m.Ack.Match
		p.matchBoot = m.Boot
	}
	if m.Ack.Match >= c.meta.Index {
		p.snapshotSentAt = 0
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	c.advanceCommit(now)
	if p.nextIndex <= c.lastIndex() {
		c.sendAppend(now, m.From)
	}
}

// handleRejectedAppend moves nextIndex back for a member whose log does not contain
// the entry before the ones sent. If a later process run of a member lacks entries
// that an earlier run acknowledged, its disk has lost synced data; the leader then
// rejects the disk.
func (c *Core) handleRejectedAppend(now clock.Time, p *progress, m Message) {
	if m.Ack.Last < p.matchIndex {
		if m.Boot > p.matchBoot {
			c.rejectDisk(m.From, p)
		}
		return
	}
	next := min(m.Ack.Hint+1, p.nextIndex-1)
	next = max(next, p.matchIndex+1)
	if next >= p.nextIndex {
		return
	}
	p.nextIndex = next
	c.sendAppend(now, m.From)
}

func (c *Core) rejectDisk(d ident.DiskID, p *progress) {
	p.rejected = true
	m := c.newMessage(d)
	m.Reject = &DiskReject{}
	c.emit(Send{Message: m})
}

// majorityReached returns the largest value that a majority of voters has reached.
// own is the value of this member; of returns the value of another member.
func majorityReached[T ~uint64](c *Core, own T, of func(*progress) T) T {
	var values []T
	for _, m := range c.members.Members {
		switch {
		case !m.Voter:
		case m.Disk == c.cfg.Self:
			values = append(values, own)
		default:
			values = append(values, of(c.progress[m.Disk]))
		}
	}
	return majorityValue(values)
}

func (c *Core) advanceCommit(now clock.Time) {
	reached := majorityReached(c, c.syncedIndex, func(p *progress) Index { return p.matchIndex })
	if t, ok := c.termAt(reached); !ok || t != c.hard.Term || reached <= c.commit {
		return
	}
	c.commit = reached
	c.applyCommitted()
	c.completeReads(now)
}

// advanceRound finds the newest round that a quorum has acknowledged. It extends the
// lease from the sending time of that round and confirms the reads that wait for it.
func (c *Core) advanceRound(now clock.Time) {
	if c.role != Leader {
		return
	}
	reached := majorityReached(c, c.round, func(p *progress) Round { return p.ackedRound })
	for len(c.sentRounds) > 0 && c.sentRounds[0].round <= reached {
		c.quorumSentAt = c.sentRounds[0].ranAt
		c.leaseExpiry = c.sentRounds[0].sentAt.Add(c.cfg.Timing.Lease)
		c.sentRounds = c.sentRounds[1:]
	}
	c.confirmReads(reached)
	c.completeReads(now)
}

func (c *Core) leaseEnd() clock.Time {
	if c.role != Leader || c.transferStarted > 0 {
		return 0
	}
	return c.leaseExpiry
}

// expireTransfer steps down if a leadership transfer has not completed within
// ElectionMax. The leader does not resume its lease in this term, because the
// recipient may still start its election.
func (c *Core) expireTransfer(now clock.Time) {
	if c.role == Leader && c.transferStarted > 0 && now.Sub(c.transferStarted) > c.cfg.Timing.ElectionMax {
		c.becomeFollower(now, c.hard.Term, "")
	}
}

func (c *Core) propose(now clock.Time, proposals []Proposal) {
	if c.role != Leader || c.transferStarted > 0 {
		for _, proposal := range proposals {
			c.emit(Refused{ID: proposal.ID, Reason: c.notLeader()})
		}
		return
	}
	if c.lastIndex()-c.commit+Index(len(proposals)) > maxUncommitted {
		for _, proposal := range proposals {
			c.emit(Refused{ID: proposal.ID, Reason: fault.New(fault.Overloaded, "%d entries are not committed", c.lastIndex()-c.commit)})
		}
		return
	}
	entries := make([]Entry, 0, len(proposals))
	for i, proposal := range proposals {
		entries = append(entries, Entry{Kind: EntryCommand, Data: proposal.Data})
		c.emit(Appended{ID: proposal.ID, Index: c.lastIndex() + 1 + Index(i), Term: c.hard.Term})
	}
	c.appendAsLeader(entries)
	c.replicate(now)
}

func (c *Core) notLeader() error {
	return fault.New(fault.NotLeader, "not the leader of term %d", c.hard.Term)
}

// read determines the index at which a read is linearizable. Within the lease this
// is the commit index; otherwise a quorum first has to acknowledge a new round.
func (c *Core) read(now clock.Time, id uint64) {
	if c.role != Leader {
		c.emit(Refused{ID: id, Reason: c.notLeader()})
		return
	}
	if c.Ready(now) {
		c.emit(ReadReady{ID: id, Index: c.commit})
		return
	}
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1})
	c.broadcast(now)
}

// confirmReads assigns an index to the reads whose round a quorum has acknowledged.
func (c *Core) confirmReads(reached Round) {
	for i := range c.reads {
		if c.reads[i].round <= reached {
			c.reads[i].index = max(c.reads[i].index, c.termStartIndex, c.commit)
		}
	}
}

// completeReads emits ReadReady for the confirmed reads once an entry of this term
// is committed.
func (c *Core) completeReads(_ clock.Time) {
	if c.commit < c.termStartIndex {
		return
	}
	kept := c.reads[:0]
	for _, r := range c.reads {
		if r.index == 0 {
			kept = append(kept, r)
			continue
		}
		c.emit(ReadReady{ID: r.id, Index: max(r.index, c.commit)})
	}
	c.reads = kept
}

func (c *Core) changeMembers(now clock.Time, ev ChangeMembers) {
	if err := c.checkChange(ev.Members); err != nil {
		c.emit(Refused{ID: ev.ID, Reason: err})
		return
	}
	c.emit(Appended{ID: ev.ID, Index: c.lastIndex() + 1, Term: c.hard.Term})
	c.members = ev.Members.clone()
	c.membersIndex = c.lastIndex() + 1
	c.updateProgress(now)
	c.appendAsLeader([]Entry{{Kind: EntryMembers, Members: c.members}})
	c.broadcast(now)
}

func (c *Core) checkChange(next Membership) error {
	if c.role != Leader || c.transferStarted > 0 {
		return c.notLeader()
	}
	if c.commit < c.termStartIndex || c.membersIndex > c.commit {
		return fault.New(fault.InProgress, "the first entry of this term or an earlier membership change is not yet committed")
	}
	if next.Voters() == 0 {
		return fault.New(fault.BadRequest, "a membership needs at least one voter")
	}
	if n := voterDifference(c.members, next); n > 1 {
		return fault.New(fault.BadRequest, "a membership change may affect at most one voter, not %d", n)
	}
	return nil
}

// voterDifference counts the disks that are voters in exactly one of a and b.
func voterDifference(a, b Membership) int {
	n := 0
	for _, m := range a.Members {
		if other, ok := b.Find(m.Disk); m.Voter && (!ok || !other.Voter) {
			n++
		}
	}
	for _, m := range b.Members {
		if other, ok := a.Find(m.Disk); m.Voter && (!ok || !other.Voter) {
			n++
		}
	}
	return n
}

// startTransfer requests the voter with the most recent log to start an election. The
// lease ends at once, before the other voter can act as leader.
func (c *Core) startTransfer(now clock.Time) {
	if c.role != Leader || c.transferStarted > 0 {
		return
	}
	var best ident.DiskID
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if !m.Voter || m.Disk == c.cfg.Self || p.rejected {
			continue
		}
		if best == "" || p.matchIndex > c.progress[best].matchIndex {
			best = m.Disk
		}
	}
	if best == "" {
		return
	}
	c.transferStarted = now
	m := c.newMessage(best)
	m.Elect = &ElectNow{}
	c.emit(Send{Message: m})
}
