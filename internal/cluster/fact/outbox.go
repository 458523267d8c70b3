package fact

import (
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// retention is the time for which published facts are kept to be published again.
	retention = 2 * time.Minute
	// maxKept bounds the batches that are kept.
	maxKept = 1024
)

// Outbox holds the facts of one instance until they no longer matter. The zero value is ready to use.
// It is not safe for concurrent use.
type Outbox struct {
	pending   []stamped // not published yet
	published []stamped
	last      Sequence
}

// stamped is a batch with the time at which its ages were true.
type stamped struct {
	batch Batch
	at    clock.Time
}

// Add adds facts to publish.
func (o *Outbox) Add(now clock.Time, b Batch) {
	if !b.Empty() {
		o.pending = append(o.pending, stamped{b, now})
	}
}

// Last returns the sequence of the last batch that was taken.
func (o *Outbox) Last() Sequence { return o.last }

// Take returns the facts that have not been published as one batch. It is empty if there are none.
func (o *Outbox) Take(now clock.Time) (Batch, Sequence) {
	if len(o.pending) == 0 {
		return Batch{}, o.last
	}
	o.last++
	b := join(now, o.pending)
	o.published = append(o.published, o.pending...)
	o.pending = nil
	o.drop(now)
	return b, o.last
}

// Repeat makes all facts that still matter pending again.
func (o *Outbox) Repeat(now clock.Time) {
	o.drop(now)
	o.pending = append(o.published, o.pending...)
	o.published = nil
}

// drop removes published facts that no longer matter.
func (o *Outbox) drop(now clock.Time) {
	first := max(0, len(o.published)-maxKept)
	for first < len(o.published) && now.Sub(o.published[first].at) > retention {
		first++
	}
	o.published = append([]stamped(nil), o.published[first:]...)
}

// join returns the facts of several batches with their ages as of now.
func join(now clock.Time, all []stamped) Batch {
	var joined Batch
	for _, s := range all {
		joined.add(s.batch.aged(now.Sub(s.at)))
	}
	return joined
}
