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
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// Where seeds replace listed peers, the set of voters changes automatically. The voters among the
// seeds form the first quorum if the settings mark the system as new. Every other voter requests to
// be added by the leader, also after its disk was replaced by an empty one or after it was removed
// as lost. The leader removes a voter that has not replied for memberLostAfter, as long as enough
// others remain: a dead voter in the membership makes every majority larger.

const (
	joinInterval       = 500 * time.Millisecond
	joinTimeout        = 2 * time.Second
	removeLostInterval = 1 * time.Second
	// memberLostAfter is the time without a reply after which a member counts as lost.
	memberLostAfter = 8 * time.Second
	// minVoters is the number of voters that stay in the membership even if they do not reply.
	minVoters = 3
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

// join is the background task that requests the leader to add this disk while needsJoin holds.
func (v *voter) join(ctx context.Context) error {
	return task.Every(ctx, joinInterval, func(ctx context.Context) {
		if !v.needsJoin() {
			return
		}
		err := v.requestJoin(ctx)
		v.in.log.WithFields(logrus.Fields{"event": "join_asked", "disk": v.disk().Disk(), "cause": err}).Info("requested to be added as a voter; repeated until this disk has a vote and a leader")
	})
}

func (v *voter) requestJoin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return v.in.leader.Member(ctx, peer.Member{
		Instance: v.in.settings.Instance, Change: peer.MemberAdd, Address: v.in.settings.Peer,
	})
}

// needsJoin reports whether this disk has no vote in its recorded membership or has no contact with
// a leader: it may have been removed without receiving that change.
func (v *voter) needsJoin() bool {
	node := v.node.Load()
	if node == nil {
		return false
	}
	st := node.Status()
	m, ok := st.Members.Find(v.disk().Disk())
	return !ok || !m.Voter || st.Leader.ID == ""
}

// removeLost is the background task with which the leader removes lost members.
func (v *voter) removeLost(ctx context.Context) error {
	return task.Every(ctx, removeLostInterval, v.removeLostMember)
}

func (v *voter) removeLostMember(ctx context.Context) {
	node, _, err := v.activeLeader()
	if err != nil {
		return // another instance leads
	}
	lost, ok := lostMember(clock.Now(), node.MemberStates(), v.disk().Disk())
	if !ok || !v.changeLock.TryLock() {
		return
	}
	defer v.changeLock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err = removeDisk(ctx, node, lost.Disk)
	v.in.log.WithFields(logrus.Fields{"event": "member_lost", "member": lost.ID, "disk": lost.Disk, "cause": err}).Warn("member did not reply for too long; removal requested")
}

// lostMember returns a member to remove because it has not replied for memberLostAfter. Learners
// are always eligible, voters only while the membership has more than minVoters.
func lostMember(now clock.Time, states []quorum.MemberState, self ident.DiskID) (quorum.Member, bool) {
	voters := 0
	for _, s := range states {
		if s.Member.Voter {
			voters++
		}
	}
	for _, s := range states {
		if s.Member.Disk == self || now.Sub(s.LastContact) < memberLostAfter {
			continue
		}
		if !s.Member.Voter || voters > minVoters {
			return s.Member, true
		}
	}
	return quorum.Member{}, false
}

func removeDisk(ctx context.Context, node *quorum.Node, d ident.DiskID) error {
	members := node.Status().Members
	if _, ok := members.Find(d); !ok {
		return fault.New(fault.NotFound, "disk %s is not a member of the quorum", d)
	}
	return node.ChangeMembers(ctx, members.Without(d))
}
