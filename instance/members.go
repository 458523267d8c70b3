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

// changeMember adds an instance's current disk as a voter and removes its earlier disks, or removes
// all disks of an instance. Only one change runs at a time.
func (v *voter) changeMember(ctx context.Context, node *quorum.Node, m peer.Member) error {
	if !v.changeLock.TryLock() {
		return fault.New(fault.InProgress, "another membership change is in progress")
	}
	defer v.changeLock.Unlock()
	switch m.Change {
	case peer.MemberAdd:
		if m.Address != "" {
			v.in.network.SetPeer(m.Instance, m.Address)
		}
		return v.addMember(ctx, node, m.Instance, m.Address)
	case peer.MemberRemove:
		return removeDisks(ctx, node, m.Instance, "")
	default:
		return fault.New(fault.BadRequest, "member change: want add or remove, not %q", m.Change)
	}
}

func (v *voter) addMember(ctx context.Context, node *quorum.Node, id ident.InstanceID, addr string) error {
	reply, err := v.in.network.Call(ctx, id, &peer.Form{})
	if err != nil {
		return err
	}
	formed, ok := reply.(*peer.Formed)
	if !ok || formed.Disk == "" {
		return fault.New(fault.BadRequest, "instance %q has no data directory", id)
	}
	v.diskOwners.Store(formed.Disk, id)
	members := node.Status().Members
	if _, known := members.Find(formed.Disk); !known {
		if err := node.ChangeMembers(ctx, members.With(quorum.Member{ID: id, Disk: formed.Disk, Address: addr})); err != nil {
			return err
		}
	}
	// The requester's timeout may be shorter than the catch-up. A repeated request continues from
	// here.
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := v.awaitCatchUp(ctx, node, formed.Disk); err != nil {
		return err
	}
	members = node.Status().Members
	if member, ok := members.Find(formed.Disk); ok && !member.Voter {
		member.Voter = true
		if err := node.ChangeMembers(ctx, members.With(member)); err != nil {
			return err
		}
	}
	return removeDisks(ctx, node, id, formed.Disk)
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
