package instance

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/votes"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// Where seeds replace listed peers, the set of voters changes automatically. The voters among the
// seeds form the first quorum if the settings mark the system as new. Every other voter requests to
// be added by the leader, also after its disk was replaced by an empty one or after it was removed
// as lost. The leader decides which of the members vote; see package votes.

const (
	joinInterval = 500 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// learnerInterval is the interval at which a learner asks for a vote. The leader gives it one unasked; a leader of an
	// earlier version does so only when it is asked.
	learnerInterval = 5 * time.Second
	assignInterval  = 250 * time.Millisecond
	// leaveTimeout is for the election of the next leader too, where the one that stops has led.
	leaveTimeout = 1 * time.Second
)

// founders returns the voters among the seeds, sorted by ID. ok is false until every seed has
// replied as a voter.
func (v *voter) founders(ctx context.Context) (founders []seed.Instance, ok bool) {
	for _, info := range v.in.querySeeds(ctx, seed.NewClient(), v.in.seeds()) {
		if info.Voter && !slices.Contains(founders, info.Instance) {
			founders = append(founders, info.Instance)
		}
	}
	slices.SortFunc(founders, func(a, b seed.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return founders, len(founders) == len(v.in.seeds())
}

// join is the background task that requests the leader to add this disk as long as it has no vote.
func (v *voter) join(ctx context.Context) error {
	var asked clock.Time
	return task.Every(ctx, joinInterval, func(ctx context.Context) {
		interval, needed := v.needsJoin()
		if !needed || clock.Now().Sub(asked) < interval {
			return
		}
		asked = clock.Now()
		err := v.requestJoin(ctx)
		v.in.log.WithFields(logrus.Fields{"event": "join_asked", "disk": v.disk().Disk(), "cause": err}).Info("requested to be added as a voter; repeated until this disk has a vote and a leader")
	})
}

// requestJoin requests to be added as a learner, or as a voter where the leader is of an earlier version.
func (v *voter) requestJoin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	m := peer.Member{Instance: v.in.settings.Instance, Change: peer.MemberJoin, Address: v.in.settings.Peer}
	err := v.in.leader.Member(ctx, m)
	if !fault.Is(err, fault.BadRequest) {
		return err
	}
	m.Change = peer.MemberAdd
	return v.in.leader.Member(ctx, m)
}

// needsJoin reports whether this disk has no vote in its recorded membership or has no contact with
// a leader: it may have been removed without receiving that change. interval is how often it asks then.
func (v *voter) needsJoin() (interval time.Duration, needed bool) {
	node := v.node.Load()
	if node == nil || v.in.stages.isLeaving() {
		return 0, false
	}
	st := node.Status()
	m, known := st.Members.Find(v.disk().Disk())
	switch {
	case !known || st.Leader.ID == "":
		return 0, true
	case !m.Voter:
		return learnerInterval, true
	default:
		return 0, false
	}
}

// assignVotes is the background task with which the leader decides who votes.
func (v *voter) assignVotes(ctx context.Context) error {
	return task.Every(ctx, assignInterval, func(ctx context.Context) {
		node, _, err := v.activeLeader()
		if err != nil || !v.changeLock.TryLock() {
			return // another instance leads, or a change is in progress
		}
		defer v.changeLock.Unlock()
		v.assignDueVotes(ctx, node)
	})
}

// assignDueVotes makes the changes of the membership that are due, one at a time. The caller holds changeLock.
func (v *voter) assignDueVotes(ctx context.Context, node *quorum.Node) {
	for ctx.Err() == nil {
		change, ok := votes.Next(clock.Now(), v.memberStates(node), v.disk().Disk())
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
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := node.ChangeMembers(ctx, change.Members)
	event := "votes"
	if change.Reason == votes.Lost {
		event = "member_lost"
	}
	v.in.log.WithFields(logrus.Fields{
		"event": event, "member": change.Member.ID, "disk": change.Member.Disk, "reason": change.Reason,
		"voters": change.Members.Voters(), "cause": err,
	}).Info("the leader changed who votes")
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
	for ctx.Err() == nil {
		change, ok := votes.Leave(clock.Now(), v.memberStates(node), v.disk().Disk(), id)
		if !ok || v.applyVotes(ctx, node, change) != nil {
			return
		}
	}
}

func removeDisk(ctx context.Context, node *quorum.Node, d ident.DiskID) error {
	members := node.Status().Members
	if _, ok := members.Find(d); !ok {
		return fault.New(fault.NotFound, "disk %s is not a member of the quorum", d)
	}
	return node.ChangeMembers(ctx, members.Without(d))
}
