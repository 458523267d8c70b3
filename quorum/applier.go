package quorum

import (
	"context"

	"github.com/hickoryridge/hickoryridge/fault"
)

// runApply is the goroutine that owns the state machine.
func (n *Node) runApply(ctx context.Context) error {
	a := applier{node: n, members: n.startMeta.Members, snapshotAt: n.startMeta.Index}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-n.applyQueue:
			if err := a.handle(ctx, v); err != nil {
				return err
			}
		}
	}
}

// applier is the state of the apply goroutine.
type applier struct {
	node       *Node
	members    Membership
	snapshotAt Index
}

func (a *applier) handle(ctx context.Context, v any) error {
	n := a.node
	switch v := v.(type) {
	case Apply:
		for _, e := range v.Entries {
			a.applyEntry(e)
		}
		return a.maybeSnapshot(ctx, v.Entries[len(v.Entries)-1])
	case Restore:
		if err := n.machine.Restore(v.Install.Data); err != nil {
			return err
		}
		a.members = v.Install.Meta.Members
		a.snapshotAt = v.Install.Meta.Index
	case ReadReady:
		n.mu.Lock()
		c := n.pendingReads[v.ID]
		delete(n.pendingReads, v.ID)
		n.mu.Unlock()
		// Actions arrive in log order, so the index has already been applied.
		c <- reply{index: v.Index}
	}
	return nil
}

func (a *applier) applyEntry(e Entry) {
	n := a.node
	var result any
	switch e.Kind {
	case EntryCommand:
		result = n.machine.Apply(e.Index, e.Data)
	case EntryMembers:
		a.members = e.Members
	case EntryNone:
	}
	n.mu.Lock()
	w, ok := n.waiters[e.Index]
	delete(n.waiters, e.Index)
	n.mu.Unlock()
	switch {
	case !ok:
	case w.term != e.Term:
		w.reply <- reply{err: fault.New(fault.NoQuorum, "entry %d was replaced by the leader of a later term", e.Index)}
	default:
		w.reply <- reply{index: e.Index, result: result}
	}
}

func (a *applier) maybeSnapshot(ctx context.Context, last Entry) error {
	if last.Index-a.snapshotAt < a.node.cfg.SnapshotEvery {
		return nil
	}
	data, err := a.node.machine.Snapshot()
	if err != nil {
		return err
	}
	a.snapshotAt = last.Index
	meta := SnapshotMeta{Index: last.Index, Term: last.Term, Members: a.members}
	return enqueue(ctx, a.node.diskQueue, any(compactRequest{install: InstallSnapshot{Meta: meta, Data: data}}))
}
