package fact

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const (
	// retention is the time for which published facts are kept to be published again.
	retention = 2 * time.Minute
	// maxKept bounds the published batches that are kept, after those that no longer matter have been
	// removed. They are removed once there are twice as many.
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
	if len(o.published) > 2*maxKept {
		o.drop(now)
	}
	return b, o.last
}

// Repeat makes all facts that still matter pending again.
func (o *Outbox) Repeat(now clock.Time) {
	o.drop(now)
	o.pending = append(o.published, o.pending...)
	o.published = nil
}

// drop removes published facts that no longer matter, and the oldest of those that are too many.
func (o *Outbox) drop(now clock.Time) {
	o.published = slices.DeleteFunc(o.published, func(s stamped) bool {
		age := now.Sub(s.at)
		return age > retention || s.batch.aged(age).Empty()
	})
	o.published = slices.Delete(o.published, 0, max(0, len(o.published)-maxKept))
}

// join returns the facts of several batches with their ages as of now.
func join(now clock.Time, all []stamped) Batch {
	var joined Batch
	for _, s := range all {
		joined.add(s.batch.aged(now.Sub(s.at)))
	}
	return joined
}
