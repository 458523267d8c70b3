package instance

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/quorum"
)

const (
	formInterval = 200 * time.Millisecond
	formTimeout  = 1 * time.Second
)

// A quorum is founded once, by the first voter in ID order, after every voter has replied that its
// disk belongs to no quorum yet. A voter with an empty disk that finds a formed quorum does not
// join on its own; it waits until the leader adds it.

// findQuorum waits until the disk belongs to a quorum or a formed quorum without this disk is
// found. It founds the quorum if this voter is the founder.
func (v *voter) findQuorum(ctx context.Context) error {
	ticker := time.NewTicker(formInterval)
	defer ticker.Stop()
	for !v.formed() && v.canFound() {
		members, complete := v.candidates(ctx)
		disks, quorumExists := v.queryDisks(ctx, members)
		if quorumExists {
			v.in.log.WithField("event", "quorum_met").Warn("a quorum exists without this disk; the disk votes once it is added")
			return nil
		}
		if disks != nil && complete && v.isFounder(members) {
			return v.foundQuorum(members, disks)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-v.founding:
			return v.adoptMembership(m)
		case <-ticker.C:
		}
	}
	return nil
}

func (v *voter) formed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store.Bootstrapped()
}

// canFound reports whether this voter may be among the founders. Any other voter waits until the
// leader has added its disk.
func (v *voter) canFound() bool {
	seeds := v.in.seeds()
	return len(seeds) == 0 || v.in.settings.Bootstrap && slices.Contains(seeds, v.in.settings.Control)
}

// candidates returns the voters that are to form the quorum, sorted by ID. complete is false while
// some of them are unknown.
func (v *voter) candidates(ctx context.Context) (members []seed.Instance, complete bool) {
	if len(v.in.seeds()) > 0 {
		return v.founders(ctx)
	}
	for _, id := range v.in.settings.Voters() {
		members = append(members, seed.Instance{ID: id})
	}
	return members, true
}

func (v *voter) isFounder(members []seed.Instance) bool {
	return members[0].ID == v.in.settings.Instance
}

// queryDisks requests the disk ID of each voter. It returns all of them if every voter replied and
// no disk belongs to a quorum, and nil otherwise. quorumExists is true if a disk belongs to one.
func (v *voter) queryDisks(ctx context.Context, members []seed.Instance) (disks map[ident.InstanceID]ident.DiskID, quorumExists bool) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	disks = map[ident.InstanceID]ident.DiskID{v.in.settings.Instance: v.disk().Disk()}
	complete := true
	for _, m := range members {
		id := m.ID
		if id == v.in.settings.Instance {
			continue
		}
		reply, err := v.in.network.Call(ctx, id, &peer.Form{})
		formed, ok := reply.(*peer.Formed)
		if err != nil || !ok {
			complete = false
			continue
		}
		if formed.Formed {
			return nil, true
		}
		disks[id] = formed.Disk
	}
	if !complete {
		return nil, false
	}
	return disks, false
}

// foundQuorum records the founding membership on this disk and sends it to the other voters.
func (v *voter) foundQuorum(candidates []seed.Instance, disks map[ident.InstanceID]ident.DiskID) error {
	var members quorum.Membership
	for _, c := range candidates {
		members.Members = append(members.Members, quorum.Member{ID: c.ID, Disk: disks[c.ID], Voter: true, Address: c.Address})
	}
	if err := v.adoptMembership(members); err != nil {
		return err
	}
	for _, m := range members.Members {
		// A voter that misses this message finds the formed quorum later and receives its log.
		v.in.network.Send(m.ID, &peer.Form{Members: members})
	}
	return nil
}

func (v *voter) adoptMembership(members quorum.Membership) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.in.log.WithFields(logrus.Fields{"event": "quorum_founded", "voters": members.Voters()}).Info("recording the founding membership of the quorum")
	return v.store.Bootstrap(members)
}

// handleForm replies with the disk ID and whether it belongs to a quorum. It adopts the founding
// membership if the message carries one that includes this disk.
func (v *voter) handleForm(f *peer.Form) *peer.Formed {
	if _, mine := f.Members.Find(v.disk().Disk()); mine {
		select {
		case v.founding <- f.Members:
		default: // a founding membership is already pending
		}
	}
	formed := v.node.Load() != nil && v.node.Load().Status().Members.Voters() > 0
	return &peer.Formed{Disk: v.disk().Disk(), Formed: formed || v.node.Load() == nil && v.formed()}
}
