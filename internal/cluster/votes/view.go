package votes

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// view is the membership as the leader sees it.
type view struct {
	now    clock.Time
	states []quorum.MemberState
	self   ident.DiskID
}

func (v view) voters() int { return v.members().Voters() }

// silentVoters returns the voters that have not replied for d or longer.
func (v view) silentVoters(d time.Duration) []quorum.MemberState {
	var silent []quorum.MemberState
	for _, s := range v.states {
		if s.Member.Voter && v.silent(s, d) {
			silent = append(silent, s)
		}
	}
	return silent
}

// readyLearners returns the learners that can vote.
func (v view) readyLearners() []quorum.Member {
	var ready []quorum.Member
	for _, s := range v.states {
		if !s.Member.Voter && s.CaughtUp && !s.Rejected && v.replies(s) && !v.superseded(s) {
			ready = append(ready, s.Member)
		}
	}
	return ready
}

// longestSilent returns the voter that has not replied for the longest time, if that is at least d.
func (v view) longestSilent(d time.Duration) (quorum.MemberState, bool) {
	silent := v.silentVoters(d)
	if len(silent) == 0 {
		return quorum.MemberState{}, false
	}
	return slices.MinFunc(silent, func(a, b quorum.MemberState) int { return cmp.Compare(a.LastContact, b.LastContact) }), true
}

// replies reports whether a member has replied lately.
func (v view) replies(s quorum.MemberState) bool { return v.now.Sub(s.LastContact) < readySilence }

// silent reports whether a member has not replied for d or longer. What was known of it before this leadership counts, but
// only once the leader has asked it for a time.
func (v view) silent(s quorum.MemberState, d time.Duration) bool {
	return s.Member.Disk != v.self && v.now.Sub(s.LastContact) >= d && v.now.Sub(s.AskedSince) >= minAsked
}

// superseded reports whether another disk of a member's instance has replied later than this one: an instance has one disk
// at a time.
func (v view) superseded(s quorum.MemberState) bool {
	return s.Member.Disk != v.self && slices.ContainsFunc(v.states, func(other quorum.MemberState) bool {
		return other.Member.ID == s.Member.ID && other.Member.Disk != s.Member.Disk && other.LastContact > s.LastContact
	})
}

func (v view) members() quorum.Membership {
	var m quorum.Membership
	for _, s := range v.states {
		m.Members = append(m.Members, s.Member)
	}
	return m
}

func (v view) without(m quorum.Member, r Reason) Change {
	return Change{Members: v.members().Without(m.Disk), Member: m, Reason: r}
}

func (v view) withVote(m quorum.Member, vote bool, r Reason) Change {
	m.Voter = vote
	return Change{Members: v.members().With(m), Member: m, Reason: r}
}

// majorityReplies reports whether a majority of the votes of a membership replies.
func (v view) majorityReplies(m quorum.Membership) bool {
	replying := 0
	for _, s := range v.states {
		member, ok := m.Find(s.Member.Disk)
		if ok && member.Voter && (s.Member.Disk == v.self || v.replies(s)) {
			replying++
		}
	}
	return replying > m.Voters()/2
}

// WithLinks returns states in which a member that has not replied to this leader yet is silent since the connection to it
// ended, if that was earlier. Otherwise its silence would be counted anew by each leader, and a member that is gone might
// never count as lost where leaders are replaced too. downSince returns since when there is no connection to an
// instance; ok is false if there is one.
func WithLinks(states []quorum.MemberState, downSince func(ident.InstanceID) (since clock.Time, ok bool)) []quorum.MemberState {
	adjusted := slices.Clone(states)
	for i, s := range adjusted {
		if s.LastContact > s.AskedSince {
			continue // it has replied
		}
		if since, ok := downSince(s.Member.ID); ok {
			adjusted[i].LastContact = min(s.LastContact, since)
		}
	}
	return adjusted
}
