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
	c.progress = map[ident.DiskID]*progress{}
	c.round = 0
	c.sent = nil
	c.lease = 0
	c.quorumAt = now
	c.transferred = 0
	c.syncProgress(now)
	c.termStart = c.last() + 1
	c.appendOwn([]Entry{{Kind: EntryNone}})
	c.broadcast(now)
	c.advanceCommit(now)
}

// syncProgress makes the table of members follow the membership.
func (c *Core) syncProgress(now clock.Time) {
	for _, m := range c.members.Members {
		if c.progress[m.Disk] == nil {
			c.progress[m.Disk] = &progress{next: c.last() + 1, heard: now}
		}
	}
	for d := range c.progress {
		if _, ok := c.members.Find(d); !ok {
			delete(c.progress, d)
		}
	}
}

// appendOwn gives entries their place in the log and hands them to the disk.
func (c *Core) appendOwn(entries []Entry) {
	for i := range entries {
		entries[i].Index = c.last() + 1 + Index(i)
		entries[i].Term = c.hard.Term
	}
	c.entries = append(c.entries, entries...)
	seq := c.persist(Persist{Entries: entries})
	c.syncs = append(c.syncs, pendingSync{seq: seq, term: c.hard.Term, index: c.last()})
}

func (c *Core) leaderTick(now clock.Time) {
	if now.Sub(c.quorumAt) > c.cfg.Timing.ElectionMax && c.members.Voters() > 1 {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if !c.isVoter(c.cfg.Self) && c.membersIndex <= c.commit {
		c.becomeFollower(now, c.hard.Term, "")
		return
	}
	if !now.Before(c.nextBeat) {
		c.broadcast(now)
	}
}

// broadcast starts a round: every member gets what it lacks, or a heartbeat.
func (c *Core) broadcast(now clock.Time) {
	c.round++
	c.sent = append(c.sent, sentRound{round: c.round, at: now})
	c.nextBeat = now.Add(c.cfg.Timing.Heartbeat)
	for _, m := range c.members.Members {
		if m.Disk != c.cfg.Self {
			c.sendAppend(now, m.Disk)
		}
	}
	c.countRound(now)
}

// replicate sends new entries without starting a round.
func (c *Core) replicate(now clock.Time) {
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if m.Disk == c.cfg.Self || p == nil || p.next > c.last() {
			continue
		}
		if p.next-p.match <= maxInflight {
			c.sendAppend(now, m.Disk)
		}
	}
}

func (c *Core) sendAppend(now clock.Time, to ident.DiskID) {
	p := c.progress[to]
	if p == nil || p.rejected {
		return
	}
	if p.next <= c.meta.Index {
		c.sendSnapshot(now, to, p)
		return
	}
	prev := p.next - 1
	prevTerm, _ := c.termAt(prev)
	a := Append{Prev: prev, PrevTerm: prevTerm, Commit: c.commit, Round: c.round}
	if p.next-p.match <= maxInflight {
		a.Entries = c.slice(p.next)
		p.next += Index(len(a.Entries))
	}
	m := c.message(to)
	m.Append = &a
	c.emit(Send{Message: m})
}

// sendSnapshot asks for a snapshot to be sent, at most once an election timeout.
func (c *Core) sendSnapshot(now clock.Time, to ident.DiskID, p *progress) {
	if p.snapshot > 0 && now.Sub(p.snapshot) < c.cfg.Timing.ElectionMax {
		return
	}
	p.snapshot = now
	c.emit(SendSnapshot{To: to, Term: c.hard.Term, Round: c.round})
}

func (c *Core) onAck(now clock.Time, m Message) {
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, "")
		return
	}
	p := c.progress[m.From]
	if c.role != Leader || m.Term != c.hard.Term || p == nil || p.rejected {
		return
	}
	ack := m.Ack
	p.heard = now
	p.round = max(p.round, ack.Round)
	if ack.Accepted {
		c.acknowledge(now, p, m)
	} else {
		c.retreat(now, p, m)
	}
	c.countRound(now)
}

func (c *Core) acknowledge(now clock.Time, p *progress, m Message) {
	if m.Ack.Match > p.match {
		p.match = m.Ack.Match
		p.matchBoot = m.Boot
	}
	if m.Ack.Match >= c.meta.Index {
		p.snapshot = 0
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit(now)
	if p.next <= c.last() {
		c.sendAppend(now, m.From)
	}
}

// retreat handles a member whose log lacks the entry before the ones sent. A
// later run of a member that lacks what an earlier run acknowledged has lost
// synced data: its disk is not trusted any more.
func (c *Core) retreat(now clock.Time, p *progress, m Message) {
	if m.Ack.Last < p.match {
		if m.Boot > p.matchBoot {
			c.rejectDisk(m.From, p)
		}
		return
	}
	next := min(m.Ack.Hint+1, p.next-1)
	next = max(next, p.match+1)
	if next >= p.next {
		return
	}
	p.next = next
	c.sendAppend(now, m.From)
}

func (c *Core) rejectDisk(d ident.DiskID, p *progress) {
	p.rejected = true
	m := c.message(d)
	m.Reject = &DiskReject{}
	c.emit(Send{Message: m})
}

// agreed returns the largest value that a majority of voters has reached; own is
// this member's.
func agreed[T ~uint64](c *Core, own T, of func(*progress) T) T {
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
	return quorumOf(values)
}

func (c *Core) advanceCommit(now clock.Time) {
	agreed := agreed(c, c.synced, func(p *progress) Index { return p.match })
	if t, ok := c.termAt(agreed); !ok || t != c.hard.Term || agreed <= c.commit {
		return
	}
	c.commit = agreed
	c.applyCommitted()
	c.grantReads(now)
}

// countRound finds the newest round that a quorum answered, which extends the
// lease and releases reads.
func (c *Core) countRound(now clock.Time) {
	if c.role != Leader {
		return
	}
	agreed := agreed(c, c.round, func(p *progress) Round { return p.round })
	for len(c.sent) > 0 && c.sent[0].round <= agreed {
		c.quorumAt = c.sent[0].at
		c.lease = c.quorumAt.Add(c.cfg.Timing.Lease)
		c.sent = c.sent[1:]
	}
	c.releaseReads(agreed)
	c.grantReads(now)
}

func (c *Core) leaseEnd() clock.Time {
	if c.role != Leader || c.transferred > 0 {
		return 0
	}
	return c.lease
}

// endTransfer gives up leadership when a transfer led to nothing. The lease is
// not taken up again in this term: the receiver may still start its election.
func (c *Core) endTransfer(now clock.Time) {
	if c.role == Leader && c.transferred > 0 && now.Sub(c.transferred) > c.cfg.Timing.ElectionMax {
		c.becomeFollower(now, c.hard.Term, "")
	}
}

func (c *Core) propose(now clock.Time, items []Proposal) {
	if c.role != Leader || c.transferred > 0 {
		for _, item := range items {
			c.emit(Refused{ID: item.ID, Reason: c.notLeader()})
		}
		return
	}
	entries := make([]Entry, 0, len(items))
	for i, item := range items {
		entries = append(entries, Entry{Kind: EntryCommand, Data: item.Data})
		c.emit(Appended{ID: item.ID, Index: c.last() + 1 + Index(i), Term: c.hard.Term})
	}
	c.appendOwn(entries)
	c.replicate(now)
}

func (c *Core) notLeader() error {
	return fault.New(fault.NotLeader, "not the leader of term %d", c.hard.Term)
}

// read asks for a linearizable read point. Within the lease the commit index is
// one; otherwise a round that starts now has to be answered by a quorum.
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

// releaseReads gives reads of answered rounds their index.
func (c *Core) releaseReads(agreed Round) {
	for i := range c.reads {
		if c.reads[i].round <= agreed {
			c.reads[i].index = max(c.reads[i].index, c.termStart, c.commit)
		}
	}
}

// grantReads answers reads whose round was answered, once an entry of this term
// is committed.
func (c *Core) grantReads(_ clock.Time) {
	if c.commit < c.termStart {
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

func (c *Core) change(now clock.Time, ev ChangeMembers) {
	if err := c.checkChange(ev.Members); err != nil {
		c.emit(Refused{ID: ev.ID, Reason: err})
		return
	}
	c.emit(Appended{ID: ev.ID, Index: c.last() + 1, Term: c.hard.Term})
	c.members = ev.Members.clone()
	c.membersIndex = c.last() + 1
	c.syncProgress(now)
	c.appendOwn([]Entry{{Kind: EntryMembers, Members: c.members}})
	c.broadcast(now)
}

func (c *Core) checkChange(next Membership) error {
	if c.role != Leader || c.transferred > 0 {
		return c.notLeader()
	}
	if c.commit < c.termStart || c.membersIndex > c.commit {
		return fault.New(fault.InProgress, "another change of members is not committed yet")
	}
	if next.Voters() == 0 {
		return fault.New(fault.BadRequest, "a membership needs a voter")
	}
	if n := voterDifference(c.members, next); n > 1 {
		return fault.New(fault.BadRequest, "a change may touch one voter, not %d", n)
	}
	return nil
}

// voterDifference counts the disks that vote in one membership only.
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

// transfer hands leadership to the voter with the newest log. The lease ends
// before the other may act.
func (c *Core) transfer(now clock.Time) {
	if c.role != Leader || c.transferred > 0 {
		return
	}
	var best ident.DiskID
	for _, m := range c.members.Members {
		p := c.progress[m.Disk]
		if !m.Voter || m.Disk == c.cfg.Self || p.rejected {
			continue
		}
		if best == "" || p.match > c.progress[best].match {
			best = m.Disk
		}
	}
	if best == "" {
		return
	}
	c.transferred = now
	m := c.message(best)
	m.Elect = &ElectNow{}
	c.emit(Send{Message: m})
}
