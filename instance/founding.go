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
	formEvery = 200 * time.Millisecond
	formTime  = 1 * time.Second
)

// A quorum is founded once: by the first voter in order, when every voter has
// answered that its disk belongs to no quorum yet. A voter with an empty disk that
// meets a formed quorum joins nothing by itself; it waits to be added.

// form waits until it is clear which quorum the disk belongs to.
func (v *voter) form(ctx context.Context) error {
	ticker := time.NewTicker(formEvery)
	defer ticker.Stop()
	for !v.formed() && v.mayFound() {
		members, complete := v.candidates(ctx)
		disks, met := v.askOthers(ctx, members)
		if met {
			v.in.log.WithField("event", "quorum_met").Warn("the quorum is formed without this disk; it votes when it is added")
			return nil
		}
		if disks != nil && complete && v.founder(members) {
			return v.foundQuorum(members, disks)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-v.found:
			return v.accept(m)
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

// mayFound reports whether this voter may be one of the founders. Another one waits
// until the leader has added its disk.
func (v *voter) mayFound() bool {
	seeds := v.in.seeds()
	return len(seeds) == 0 || v.in.settings.Bootstrap && slices.Contains(seeds, v.in.settings.Control)
}

// candidates returns the voters that found the quorum, in order. complete is false
// while some of them are not known.
func (v *voter) candidates(ctx context.Context) (members []seed.Instance, complete bool) {
	if len(v.in.seeds()) > 0 {
		return v.founders(ctx)
	}
	for _, id := range v.in.settings.Voters() {
		members = append(members, seed.Instance{ID: id})
	}
	return members, true
}

func (v *voter) founder(members []seed.Instance) bool { return members[0].ID == v.in.settings.Instance }

// askOthers returns the disks of all voters if none belongs to a quorum; met is
// true if one does.
func (v *voter) askOthers(ctx context.Context, members []seed.Instance) (disks map[ident.InstanceID]ident.DiskID, met bool) {
	ctx, cancel := context.WithTimeout(ctx, formTime)
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

// foundQuorum makes this disk the first of a new quorum and tells the others.
func (v *voter) foundQuorum(candidates []seed.Instance, disks map[ident.InstanceID]ident.DiskID) error {
	var members quorum.Membership
	for _, c := range candidates {
		members.Members = append(members.Members, quorum.Member{ID: c.ID, Disk: disks[c.ID], Voter: true, Address: c.Address})
	}
	if err := v.accept(members); err != nil {
		return err
	}
	for _, m := range members.Members {
		// Whoever misses this meets the formed quorum later and gets its log.
		v.in.network.Send(m.ID, &peer.Form{Members: members})
	}
	return nil
}

func (v *voter) accept(members quorum.Membership) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.in.log.WithFields(logrus.Fields{"event": "quorum_founded", "voters": members.Voters()}).Info("quorum founded")
	return v.store.Bootstrap(members)
}

// onForm answers a question about the disk, or takes the founding membership.
func (v *voter) onForm(f *peer.Form) *peer.Formed {
	if _, mine := f.Members.Find(v.disk().Disk()); mine {
		select {
		case v.found <- f.Members:
		default: // it was told already
		}
	}
	formed := v.node.Load() != nil && v.node.Load().Status().Members.Voters() > 0
	return &peer.Formed{Disk: v.disk().Disk(), Formed: formed || v.node.Load() == nil && v.formed()}
}
