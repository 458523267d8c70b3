package quorum

import (
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// campaign asks for votes; with pre set it only probes whether it would get them.
func (c *Core) campaign(now clock.Time, pre, forced bool) {
	c.leader = ""
	c.votes = map[ident.DiskID]bool{}
	c.resetDeadline(now)
	if pre {
		c.role = PreCandidate
		c.votes[c.cfg.Self] = true
		for _, m := range c.voteAsks(VoteRequest{Pre: true}) {
			c.emit(Send{Message: m})
		}
		c.countVotes(now)
		return
	}
	c.role = Candidate
	c.hard = HardState{Term: c.hard.Term + 1, Vote: c.cfg.Self}
	hard := c.hard
	seq := c.persist(Persist{Hard: &hard, AfterSync: c.voteAsks(VoteRequest{Forced: forced})})
	c.syncs = append(c.syncs, pendingSync{seq: seq, term: hard.Term, vote: true})
}

func (c *Core) voteAsks(ask VoteRequest) []Message {
	ask.Last = c.last()
	ask.LastTerm = c.lastTerm()
	var asks []Message
	for _, member := range c.members.Members {
		if !member.Voter || member.Disk == c.cfg.Self {
			continue
		}
		m := c.message(member.Disk)
		copied := ask
		m.VoteRequest = &copied
		asks = append(asks, m)
	}
	return asks
}

func (c *Core) countSelfVote(now clock.Time, t Term) {
	if c.role != Candidate || c.hard.Term != t {
		return
	}
	c.votes[c.cfg.Self] = true
	c.countVotes(now)
}

func (c *Core) countVotes(now clock.Time) {
	granted := 0
	for _, m := range c.members.Members {
		if m.Voter && c.votes[m.Disk] {
			granted++
		}
	}
	if granted <= c.members.Voters()/2 {
		return
	}
	switch c.role {
	case PreCandidate:
		c.campaign(now, false, false)
	case Candidate:
		c.becomeLeader(now)
	case Follower, Leader:
		// Votes of an earlier campaign change nothing.
	}
}

// hearsLeader reports whether this member has to protect a leader's lease. A
// member that just started cannot know and assumes that it has to.
func (c *Core) hearsLeader(now clock.Time) bool {
	min := c.cfg.Timing.ElectionMin
	if now.Sub(c.started) < min {
		return true
	}
	if c.role == Leader {
		return now.Before(c.leaseEnd())
	}
	return c.heard > 0 && now.Sub(c.heard) < min
}

func (c *Core) onVoteAsk(now clock.Time, m Message) {
	ask := m.VoteRequest
	upToDate := ask.LastTerm > c.lastTerm() || (ask.LastTerm == c.lastTerm() && ask.Last >= c.last())
	allowed := c.isVoter(m.From) || !c.covers(ask)
	protected := c.hearsLeader(now) && !ask.Forced
	if ask.Pre {
		c.answerPreVote(m, allowed && upToDate && !protected)
		return
	}
	if protected {
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, "")
	}
	free := c.hard.Vote == "" || c.hard.Vote == m.From
	grant := m.Term == c.hard.Term && allowed && upToDate && free && c.role == Follower
	answer := c.message(m.From)
	answer.VoteResponse = &VoteResponse{Granted: grant}
	if !grant {
		c.emit(Send{Message: answer})
		return
	}
	c.hard.Vote = m.From
	c.resetDeadline(now)
	hard := c.hard
	c.persist(Persist{Hard: &hard, AfterSync: []Message{answer}})
}

// covers reports whether this member's log is at least as new as the asker's,
// so that its own membership decides whether the asker is a voter. A member that
// lags may not have heard of the asker yet.
func (c *Core) covers(ask *VoteRequest) bool {
	return ask.LastTerm < c.lastTerm() || (ask.LastTerm == c.lastTerm() && ask.Last <= c.last())
}

func (c *Core) answerPreVote(m Message, granted bool) {
	answer := c.message(m.From)
	answer.VoteResponse = &VoteResponse{Pre: true, Granted: granted}
	c.emit(Send{Message: answer})
}

func (c *Core) onVoteGive(now clock.Time, m Message) {
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term, "")
		return
	}
	if !m.VoteResponse.Granted {
		return
	}
	wanted := Candidate
	if m.VoteResponse.Pre {
		wanted = PreCandidate
	}
	// A real vote counts in its own term only. A pre-vote of an earlier term
	// still says that the asker's log is new enough and no leader is heard.
	if c.role != wanted || (!m.VoteResponse.Pre && m.Term != c.hard.Term) {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) onElectNow(now clock.Time, m Message) {
	if m.Term != c.hard.Term || m.From != c.leader || !c.isVoter(c.cfg.Self) {
		return
	}
	c.campaign(now, false, true)
}
