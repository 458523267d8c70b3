package instance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/votes"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// The leader makes the changes of the membership that package votes decides, and an instance that stops asks it to hand its vote
// on.

const (
	assignInterval = 250 * time.Millisecond
	// assignTimeout bounds one change. A change that is committed later is seen by the next leader, or by this one.
	assignTimeout = 2 * time.Second
	// leaveTimeout is for the election of the next leader too, where the one that stops has led.
	leaveTimeout = 1 * time.Second
)

// assignVotes is the background task with which the leader decides who votes.
func (v *voter) assignVotes(ctx context.Context) error {
	return task.Every(ctx, assignInterval, func(ctx context.Context) {
		node, _, err := v.activeLeader()
		if err != nil || !v.changeLock.TryLock() {
			return // another instance leads, or a change is in progress
		}
		defer v.changeLock.Unlock()
		v.makeChanges(ctx, node, votes.Next)
	})
}

// decision returns the change of the membership that is due, if there is one.
type decision func(now clock.Time, states []quorum.MemberState, self ident.DiskID) (votes.Change, bool)

// makeChanges makes the changes that are due, one at a time, until there are none. The caller holds changeLock.
func (v *voter) makeChanges(ctx context.Context, node *quorum.Node, due decision) {
	for ctx.Err() == nil {
		change, ok := due(clock.Now(), v.memberStates(node), v.disk().Disk())
		if !ok || v.applyVotes(ctx, node, change) != nil {
			return
		}
	}
}

// memberStates returns the leader's view of the members, with what this instance knew of their silence before it led.
func (v *voter) memberStates(node *quorum.Node) []quorum.MemberState {
	return votes.WithLinks(node.MemberStates(), v.in.network.DownSince)
}

func (v *voter) applyVotes(ctx context.Context, node *quorum.Node, change votes.Change) error {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	err := node.ChangeMembers(ctx, change.Members)
	event, level := "votes", logrus.InfoLevel
	if change.Reason == votes.Lost {
		event, level = "member_lost", logrus.WarnLevel
	}
	v.in.log.WithFields(logrus.Fields{
		"event": event, "member": change.Member.ID, "disk": change.Member.Disk, "reason": change.Reason,
		"voters": change.Members.Voters(), "cause": err,
	}).Log(level, "the leader changed who votes")
	return err
}

// giveUpVote hands the vote of this instance, which stops, to another disk, if one can take it over.
func (in *Instance) giveUpVote(ctx context.Context) {
	if in.voter == nil || len(in.seeds()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := in.leader.Member(ctx, peer.Member{Instance: in.settings.Instance, Change: peer.MemberLeave}); err != nil {
		in.log.WithFields(logrus.Fields{"event": "vote_kept", "cause": err}).Info("no leader took this instance's vote; it keeps the vote while it is stopped")
	}
}

// leave makes the changes that are due as an instance stops.
func (v *voter) leave(ctx context.Context, node *quorum.Node, id ident.InstanceID) {
	v.changeLock.Lock()
	defer v.changeLock.Unlock()
	v.makeChanges(ctx, node, func(now clock.Time, states []quorum.MemberState, self ident.DiskID) (votes.Change, bool) {
		return votes.Leave(now, states, self, id)
	})
}
