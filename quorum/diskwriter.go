package quorum

import (
	"context"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// compactRequest is a request to the disk goroutine to replace the snapshot and
// compact the log.
type compactRequest struct{ install InstallSnapshot }

// runDisk is the goroutine that owns the store. It writes all queued records with
// one sync (group commit).
func (n *Node) runDisk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-n.diskQueue:
			began := clock.Now()
			err := n.writeBatch(v)
			n.reportDelay(SlowWrite{Took: clock.Now().Sub(began)})
			if err != nil {
				return err
			}
		}
	}
}

// writeBatch writes first and the records queued behind it, up to maxDiskBatch or
// the next item that replaces the snapshot.
func (n *Node) writeBatch(first any) error {
	var batch []Persist
	var snapshotWrite any
	add := func(v any) {
		if p, ok := v.(Persist); ok && p.Install == nil {
			batch = append(batch, p)
			return
		}
		snapshotWrite = v
	}
	add(first)
	for snapshotWrite == nil && len(batch) < maxDiskBatch && !n.cfg.SyncEachRecord {
		select {
		case v := <-n.diskQueue:
			add(v)
			continue
		default:
		}
		break
	}
	if err := n.writePersists(batch); err != nil {
		return err
	}
	switch v := snapshotWrite.(type) {
	case Persist:
		if err := n.store.InstallSnapshot(v.Install.Meta, v.Install.Data); err != nil {
			return err
		}
		n.snapshot.Store(v.Install)
		n.sendAfterSync(v)
		n.signalSynced(v.Seq)
		return nil
	case compactRequest:
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
		n.sendAfterSync(p)
	}
	n.signalSynced(batch[len(batch)-1].Seq)
	return nil
}

func (n *Node) sendAfterSync(p Persist) {
	for _, m := range p.AfterSync {
		n.send(m)
	}
}

// signalSynced reports to the core goroutine that all Persist actions up to seq are
// synced.
func (n *Node) signalSynced(seq uint64) {
	n.syncedSeq.Store(seq)
	select {
	case n.syncSignal <- struct{}{}:
	default: // a signal is already pending
	}
}

func (n *Node) writeSnapshot(s compactRequest) error {
	if s.install.Meta.Index <= n.snapshot.Load().Meta.Index {
		return nil
	}
	if err := n.store.Compact(s.install.Meta, s.install.Data); err != nil {
		return err
	}
	n.snapshot.Store(&s.install)
	// If the queue is full, the event is dropped and the next compaction covers it.
	_ = n.inputs.Push(input{event: Compacted{Meta: s.install.Meta}})
	return nil
}
