// Package votes decides which disks vote in the quorum, as the leader sees its members.
//
// A disk that replicates the log without a vote is a learner. A majority counts every disk that votes, whether it
// can reply or not, so a disk that is gone must not keep its vote beside that of its successor:
//
//   - The number of votes stays odd. A further vote would make every majority larger and bear no further loss. A learner
//     that could vote waits until another one can as well, or until it can take over a vote.
//   - Where a learner can vote, it takes over the vote of a voter that does not reply. The lost vote goes first, so that the
//     quorum needs the learner at no time, should that be lost too.
//   - A voter that does not reply keeps its vote while nothing is gained by its end: no learner can take it over, and the
//     majority would be as large without it. It may be paused or cut off. Two of them lose it once they have been silent for
//     longer than a pause or a cut of some seconds takes, as the majority is smaller without both.
//
// A member's silence is that towards this leader, and, until it has replied, towards its instance before it led: see WithLinks.
package votes

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/quorum"
)

const (
	// readySilence is the longest time since its latest reply with which a learner counts as able to vote.
	readySilence = 1 * time.Second
	// takeoverSilence is the time without a reply after which a learner takes over a voter's vote. The vote is not lost if
	// the voter was only paused: it can take over a vote in its turn. A process that is started again replies earlier.
	takeoverSilence = 2 * time.Second
	// lostSilence is the time without a reply after which a member counts as lost though no learner takes its place: a learner,
	// or a voter whose vote only makes the majority larger.
	lostSilence = 8 * time.Second
	// absentSilence is the same for two voters, which bear a loss together.
	absentSilence = 30 * time.Second
	// minAsked is the time for which a leader has sent to a member before it takes the member for silent.
	minAsked = 1 * time.Second
	// minVoters is the number of voters below which every learner gets a vote, and which keep it even if they do not reply.
	minVoters = 3
)

// Reason is why a membership changes.
type Reason string

// The reasons.
const (
	TakenOver  Reason = "taken over" // a learner is about to vote in place of this disk
	Added      Reason = "added"      // this learner gets a vote
	Lost       Reason = "lost"       // this disk has not replied for lostSilence or absentSilence
	Superseded Reason = "superseded" // this disk's instance has another one
	Leaves     Reason = "leaves"     // this disk's instance stops
)

// Change is a change of the membership.
type Change struct {
	Members quorum.Membership // the new membership
	Member  quorum.Member     // the member that is concerned
	Reason  Reason
}

// Next returns the change of the membership that is due, if there is one. Another one may be due once that is committed.
func Next(now clock.Time, states []quorum.MemberState, self ident.DiskID) (Change, bool) {
	v := view{now: now, states: states, self: self}
	for _, rule := range []func() (Change, bool){v.addToEven, v.takeOver, v.addPair, v.removeLearner, v.removeLost} {
		if change, ok := rule(); ok {
			return change, true
		}
	}
	return Change{}, false
}

// Leave returns the next change that is due because an instance stops: first a learner that can vote gets a vote, while the one
// that leaves still has its own. Then that is taken out, as the majority is smaller without it, at once or together with a voter
// that does not reply; a learner could get its vote again before it has stopped. Otherwise it keeps its vote, since it may be
// started again: it keeps it too where the others could not commit without it.
func Leave(now clock.Time, states []quorum.MemberState, self ident.DiskID, leaving ident.InstanceID) (Change, bool) {
	v := view{now: now, states: states, self: self}
	i := slices.IndexFunc(states, func(s quorum.MemberState) bool { return s.Member.ID == leaving && s.Member.Voter })
	if i < 0 || v.voters() <= 1 {
		return Change{}, false
	}
	if ready := v.readyLearners(); len(ready) > 0 && v.voters()%2 == 1 {
		return v.withVote(ready[0], true, Added), true
	}
	_, othersSilent := v.longestSilent(takeoverSilence)
	smaller := v.voters()%2 == 0 || othersSilent && v.voters() > minVoters
	change := v.without(states[i].Member, Leaves)
	return change, smaller && v.majorityReplies(change.Members)
}

// removeLearner removes a learner that is of no use: its instance has another disk, or it is lost.
func (v view) removeLearner() (Change, bool) {
	for _, s := range v.states {
		switch {
		case s.Member.Voter:
		case v.superseded(s):
			return v.without(s.Member, Superseded), true
		case v.silent(s, lostSilence):
			return v.without(s.Member, Lost), true
		}
	}
	return Change{}, false
}

// takeOver takes the vote from a voter that does not reply while a learner can vote. addToEven gives it to the learner.
func (v view) takeOver() (Change, bool) {
	if len(v.readyLearners()) == 0 {
		return Change{}, false
	}
	for _, s := range v.states {
		if s.Member.Voter && v.superseded(s) {
			return v.withVote(s.Member, false, Superseded), true
		}
	}
	if s, ok := v.longestSilent(takeoverSilence); ok {
		return v.withVote(s.Member, false, TakenOver), true
	}
	return Change{}, false
}

// addToEven gives a vote to a learner that can vote while the number of votes is even, or small: majorities stay as large as they are.
func (v view) addToEven() (Change, bool) {
	ready := v.readyLearners()
	if n := v.voters(); len(ready) == 0 || n >= minVoters && n%2 == 1 {
		return Change{}, false
	}
	return v.withVote(ready[0], true, Added), true
}

// addPair gives a vote to the first of two learners that can vote. addToEven gives one to the second.
func (v view) addPair() (Change, bool) {
	ready := v.readyLearners()
	if len(ready) < 2 {
		return Change{}, false
	}
	return v.withVote(ready[0], true, Added), true
}

// removeLost removes a voter that is lost, if the majority is smaller without it, or without it and another one.
func (v view) removeLost() (Change, bool) {
	n := v.voters()
	if n <= minVoters || n%2 == 1 && len(v.silentVoters(absentSilence)) < 2 {
		return Change{}, false
	}
	s, ok := v.longestSilent(lostSilence)
	if !ok {
		return Change{}, false
	}
	return v.without(s.Member, Lost), true
}
