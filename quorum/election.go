package quorum

import (
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// campaign starts an election. With pre set it starts a pre-vote, which only
// determines whether an election could succeed and does not change the term.
// With forced set, voters grant votes although a leader's lease may be valid.
func (c *Core) campaign(now clock.Time, pre, forced bool) {
	c.leader = ""
	c.votes = map[ident.DiskID]bool{}
	if !pre {
		c.candidacies++
	}
	c.resetDeadline(now)
	if pre {
		c.role = PreCandidate
		c.votes[c.cfg.Self] = true
		for _, m := range c.voteRequests(VoteRequest{Pre: true}) {
			c.emit(Send{Message: m})
		}
		c.countVotes(now)
		return
	}
	c.role = Candidate
	c.hard = HardState{Term: c.hard.Term + 1, Vote: c.cfg.Self}
	hard := c.hard
	seq := c.persist(Persist{Hard: &hard, AfterSync: c.voteRequests(VoteRequest{Forced: forced})})
	c.pendingSyncs = append(c.pendingSyncs, pendingSync{seq: seq, term: hard.Term, vote: true})
}

func (c *Core) voteRequests(request VoteRequest) []Message {
	request.Last = c.lastIndex()
	request.LastTerm = c.lastTerm()
	var requests []Message
	for _, member := range c.members.Members {
		if !member.Voter || member.Disk == c.cfg.Self {
			continue
		}
		m := c.newMessage(member.Disk)
		copied := request
		m.VoteRequest = &copied
		requests = append(requests, m)
	}
	return requests
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
		// The votes belong to an earlier campaign and have no effect.
	}
}

// mustProtectLease reports whether a leader may hold a lease that relies on this
// member withholding its vote. A member that has just restarted has no record of
// earlier contact with a leader, so it protects the lease for ElectionMin.
func (c *Core) mustProtectLease(now clock.Time) bool {
	min := c.cfg.Timing.ElectionMin
	if now.Sub(c.startedAt) < min {
		return true
	}
	if c.role == Leader {
		return now.Before(c.leaseEnd())
	}
	return c.leaderContact > 0 && now.Sub(c.leaderContact) < min
}

func (c *Core) handleVoteRequest(now clock.Time, m Message) {
	request := m.VoteRequest
	upToDate := request.LastTerm > c.lastTerm() || (request.LastTerm == c.lastTerm() && request.Last >= c.lastIndex())
	allowed := c.isVoter(m.From) || !c.atLeastAsNew(request)
	protected := c.mustProtectLease(now) && !request.Forced
	if request.Pre {
		c.replyPreVote(m, allowed && upToDate && !protected)
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
	response := c.newMessage(m.From)
	response.VoteResponse = &VoteResponse{Granted: grant}
	if !grant {
		c.emit(Send{Message: response})
		return
	}
	c.hard.Vote = m.From
	c.resetDeadline(now)
	hard := c.hard
	c.persist(Persist{Hard: &hard, AfterSync: []Message{response}})
}

// atLeastAsNew reports whether this member's log is at least as up to date as the
// candidate's. If so, its own membership decides whether the candidate is a voter.
// A member that lags may not have received the entry that added the candidate.
func (c *Core) atLeastAsNew(request *VoteRequest) bool {
	return request.LastTerm < c.lastTerm() || (request.LastTerm == c.lastTerm() && request.Last <= c.lastIndex())
}

func (c *Core) replyPreVote(m Message, granted bool) {
	response := c.newMessage(m.From)
	response.VoteResponse = &VoteResponse{Pre: true, Granted: granted}
	c.emit(Send{Message: response})
}

func (c *Core) handleVoteResponse(now clock.Time, m Message) {
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
	// A vote counts only in its own term. A pre-vote from an earlier term still
	// shows that this member's log is recent enough and that the voter has no
	// active leader.
	if c.role != wanted || (!m.VoteResponse.Pre && m.Term != c.hard.Term) {
		return
	}
	c.votes[m.From] = true
	c.countVotes(now)
}

func (c *Core) handleElectNow(now clock.Time, m Message) {
	if m.Term != c.hard.Term || m.From != c.leader || !c.isVoter(c.cfg.Self) {
		return
	}
	c.campaign(now, false, true)
}
