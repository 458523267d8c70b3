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

// Where seeds take the place of listed peers, voters come and go by themselves. The
// voters among the seeds found the quorum when the settings say that the system is
// new. Everyone else asks the leader to be added, also after its disk came back empty or
// it was taken for lost. The leader removes a voter that has been silent for
// long, as long as enough others are left: a dead voter in the membership makes every
// majority larger.

const (
	joinEvery = 500 * time.Millisecond
	joinTime  = 2 * time.Second
	reapEvery = 1 * time.Second
	// reapAfter is the silence after which a voter counts as lost for good.
	reapAfter = 8 * time.Second
	// minVoters is the number of voters that stay in the membership, silent or not.
	minVoters = 3
)

// founders returns the voters among the seeds. ok is false while one of them has not
// answered.
func (v *voter) founders(ctx context.Context) (founders []seed.Instance, ok bool) {
	for _, info := range v.in.askSeeds(ctx, seed.NewClient(), v.in.seeds()) {
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

// join is the duty that asks the leader to add this disk while it has no vote.
func (v *voter) join(ctx context.Context) error {
	return task.Every(ctx, joinEvery, func(ctx context.Context) {
		if !v.stray() {
			return
		}
		err := v.askToJoin(ctx)
		v.in.log.WithFields(logrus.Fields{"event": "join_asked", "disk": v.disk().Disk(), "cause": err}).Info("asked to be added as voter")
	})
}

func (v *voter) askToJoin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	return v.in.leader.Member(ctx, peer.Member{
		Instance: v.in.settings.Instance, Change: peer.MemberAdd, Address: v.in.settings.Peer,
	})
}

// stray reports whether this disk has no vote in the membership that it knows, or
// hears no leader: it may have been removed without being told.
func (v *voter) stray() bool {
	node := v.node.Load()
	if node == nil {
		return false
	}
	st := node.Status()
	m, ok := st.Members.Find(v.disk().Disk())
	return !ok || !m.Voter || st.Leader.ID == ""
}

// reap is the duty of the leader that removes voters that are lost for good.
func (v *voter) reap(ctx context.Context) error {
	return task.Every(ctx, reapEvery, v.reapOne)
}

func (v *voter) reapOne(ctx context.Context) {
	node, _, err := v.lead()
	if err != nil {
		return // another instance leads
	}
	lost, ok := lostMember(clock.Now(), node.MemberStates(), v.disk().Disk())
	if !ok || !v.changes.TryLock() {
		return
	}
	defer v.changes.Unlock()
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	err = removeDisk(ctx, node, lost.Disk)
	v.in.log.WithFields(logrus.Fields{"event": "member_lost", "member": lost.ID, "disk": lost.Disk, "cause": err}).Warn("silent voter removed")
}

// lostMember returns a member to remove for its silence. Learners go first, and voters
// only while more than minVoters are in the membership.
func lostMember(now clock.Time, states []quorum.MemberState, self ident.DiskID) (quorum.Member, bool) {
	voters := 0
	for _, s := range states {
		if s.Member.Voter {
			voters++
		}
	}
	for _, s := range states {
		if s.Member.Disk == self || now.Sub(s.LastContact) < reapAfter {
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
		return fault.New(fault.NotFound, "disk %s is no member", d)
	}
	return node.ChangeMembers(ctx, members.Without(d))
}
