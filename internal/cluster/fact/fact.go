// Package fact shares facts that one instance has seen with all others, through the voters.
//
// An instance publishes what it has seen to one voter, at once and without waiting for a reply. The voters
// read each other's facts, so that each of them has all, and the facts outlive the instance, the
// leader and any one voter. What all instances need, the voters derive from the facts, and
// every instance reads it from its voter by a long poll.
//
// Nothing is acknowledged one by one. With each poll an instance says which of its batches was its last. If
// the voter has not received it, or if the instance has turned to another voter, the instance publishes
// again what still matters. Facts have the same effect if they are published again.
//
// Outbox is the part of an instance, Collector that of a voter. Neither does I/O, holds a lock or
// reads a clock: the caller serializes access and passes the time.
package fact

import (
	"time"

	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// Batch is what an instance has seen since its last batch. Ages are as of the time of sending.
type Batch struct {
	Evidence quarantine.Report `msgpack:"evidence"`
	Streams  []stream.Begun    `msgpack:"streams"`
}

// Empty reports whether b holds no facts.
func (b Batch) Empty() bool { return b.Evidence.Empty() && len(b.Streams) == 0 }

// aged returns a copy of b whose facts are older by d, without the streams that cannot be taken up any
// more.
func (b Batch) aged(d time.Duration) Batch {
	aged := Batch{Evidence: b.Evidence.Aged(d)}
	for _, s := range b.Streams {
		if s.Left -= d; s.Left > 0 {
			aged.Streams = append(aged.Streams, s)
		}
	}
	return aged
}

// add adds the facts of another batch.
func (b *Batch) add(other Batch) {
	b.Evidence.Add(other.Evidence)
	b.Streams = append(b.Streams, other.Streams...)
}

// Sequence numbers the batches of one run of an instance, from 1.
type Sequence uint64

// Mark identifies what a run of a voter derived from the facts. It changes whenever that changes.
type Mark struct {
	Run     uint64 `msgpack:"run"`
	Version uint64 `msgpack:"version"`
}
