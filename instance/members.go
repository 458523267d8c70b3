package instance

import (
	"context"
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

const (
	catchUpTimeout  = 30 * time.Second
	catchUpInterval = 50 * time.Millisecond
)

// changeMember adds an instance's current disk and removes its earlier disks, or removes all disks of an instance, or takes
// the vote from one that stops.
func (v *voter) changeMember(ctx context.Context, node *quorum.Node, m peer.Member) error {
	switch m.Change {
	case peer.MemberAdd, peer.MemberJoin:
		if m.Address != "" {
			v.in.network.SetPeer(m.Instance, m.Address)
		}
		return v.addMember(ctx, node, m)
	case peer.MemberRemove:
		return v.whileLocked(func() error { return removeDisks(ctx, node, m.Instance, "") })
	case peer.MemberLeave:
		v.leave(ctx, node, m.Instance)
		return nil
	default:
		return fault.New(fault.BadRequest, "member change: want add, join, remove or leave, not %q", m.Change)
	}
}

// whileLocked makes one change of the membership. Only one is made at a time.
func (v *voter) whileLocked(change func() error) error {
	if !v.changeLock.TryLock() {
		return fault.New(fault.InProgress, "another membership change is in progress")
	}
	defer v.changeLock.Unlock()
	return change()
}

func (v *voter) addMember(ctx context.Context, node *quorum.Node, m peer.Member) error {
	reply, err := v.in.network.Call(ctx, m.Instance, &peer.Form{})
	if err != nil {
		return err
	}
	formed, ok := reply.(*peer.Formed)
	if !ok || formed.Disk == "" {
		return fault.New(fault.BadRequest, "instance %q has no data directory", m.Instance)
	}
	v.diskOwners.Store(formed.Disk, m.Instance)
	learner := quorum.Member{ID: m.Instance, Disk: formed.Disk, Address: m.Address}
	if err := v.whileLocked(func() error { return addLearner(ctx, node, learner) }); err != nil {
		return err
	}
	if m.Change == peer.MemberJoin {
		return nil // assignVotes does the rest
	}
	// The requester's timeout may be shorter than the catch-up. A repeated request continues from
	// here. Other changes are not kept waiting meanwhile.
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := v.awaitCatchUp(ctx, node, formed.Disk); err != nil {
		return err
	}
	return v.whileLocked(func() error {
		if err := addVoter(ctx, node, formed.Disk); err != nil {
			return err
		}
		return removeDisks(ctx, node, m.Instance, formed.Disk)
	})
}

// addLearner adds a member that is not one yet.
func addLearner(ctx context.Context, node *quorum.Node, learner quorum.Member) error {
	members := node.Status().Members
	if _, known := members.Find(learner.Disk); known {
		return nil
	}
	return node.ChangeMembers(ctx, members.With(learner))
}

// addVoter gives a learner a vote.
func addVoter(ctx context.Context, node *quorum.Node, d ident.DiskID) error {
	members := node.Status().Members
	member, ok := members.Find(d)
	if !ok || member.Voter {
		return nil
	}
	member.Voter = true
	return node.ChangeMembers(ctx, members.With(member))
}

func (v *voter) awaitCatchUp(ctx context.Context, node *quorum.Node, d ident.DiskID) error {
	for {
		for _, m := range node.MemberStates() {
			if m.Member.Disk == d && m.CaughtUp {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.NoQuorum, "disk %s is still catching up; a repeated request continues to wait", d)
		case <-time.After(catchUpInterval):
		}
	}
}

// removeDisks removes all disks of an instance except keep, each in a separate membership change.
func removeDisks(ctx context.Context, node *quorum.Node, id ident.InstanceID, keep ident.DiskID) error {
	for {
		members := node.Status().Members.Members
		i := slices.IndexFunc(members, func(m quorum.Member) bool { return m.ID == id && m.Disk != keep })
		if i < 0 {
			return nil
		}
		if err := removeDisk(ctx, node, members[i].Disk); err != nil {
			return err
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
