package quorum

import (
	"context"
)

// saveSnapshot asks the disk duty to replace the snapshot and shorten the log.
type saveSnapshot struct{ install InstallSnapshot }

// runDisk is the duty that owns the store. Everything that waits goes into one sync.
func (n *Node) runDisk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-n.disk:
			if err := n.writeBatch(v); err != nil {
				return err
			}
		}
	}
}

func (n *Node) writeBatch(first any) error {
	var batch []Persist
	var special any
	add := func(v any) {
		if p, ok := v.(Persist); ok && p.Install == nil {
			batch = append(batch, p)
			return
		}
		special = v
	}
	add(first)
	for special == nil && len(batch) < maxDiskBatch && !n.cfg.SyncEachRecord {
		select {
		case v := <-n.disk:
			add(v)
			continue
		default:
		}
		break
	}
	if err := n.writePersists(batch); err != nil {
		return err
	}
	switch v := special.(type) {
	case Persist:
		if err := n.store.InstallSnapshot(v.Install.Meta, v.Install.Data); err != nil {
			return err
		}
		n.snapshot.Store(v.Install)
		n.released(v)
		n.persisted(v.Seq)
		return nil
	case saveSnapshot:
		return n.writeSnapshot(v)
	default:
		return nil
	}
}

func (n *Node) writePersists(batch []Persist) error {
	if len(batch) == 0 {
		return nil
	}
	if err := n.store.Append(batch); err != nil {
		return err
	}
	for _, p := range batch {
		n.released(p)
	}
	n.persisted(batch[len(batch)-1].Seq)
	return nil
}

func (n *Node) released(p Persist) {
	for _, m := range p.AfterSync {
		n.send(m)
	}
}

// persisted tells the core duty how far the disk is synced.
func (n *Node) persisted(seq uint64) {
	n.synced.Store(seq)
	select {
	case n.syncedC <- struct{}{}:
	default: // a signal is waiting already
	}
}

func (n *Node) writeSnapshot(s saveSnapshot) error {
	if s.install.Meta.Index <= n.snapshot.Load().Meta.Index {
		return nil
	}
	if err := n.store.Compact(s.install.Meta, s.install.Data); err != nil {
		return err
	}
	n.snapshot.Store(&s.install)
	_ = n.inputs.Push(input{event: Compacted{Meta: s.install.Meta}}) // the next snapshot compacts more
	return nil
}
