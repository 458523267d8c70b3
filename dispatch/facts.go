package dispatch

import (
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// Facts holds what this instance has seen and publishes, and what the voters derived; see
// packages fact and quarantine. It is safe for concurrent use.
type Facts struct {
	wanted chan struct{} // signals that there are facts to publish

	mu     sync.Mutex
	outbox fact.Outbox
	memory *quarantine.Memory
	begun  *stream.Memory // streams that this instance began
}

// NewFacts returns the empty facts of an instance.
func NewFacts(instance ident.InstanceID) *Facts {
	return &Facts{wanted: make(chan struct{}, 1), memory: quarantine.NewMemory(instance), begun: stream.NewMemory(clock.Now())}
}

// Wanted returns the channel that signals that there may be facts to publish.
func (f *Facts) Wanted() <-chan struct{} { return f.wanted }

// Take returns the facts to publish, as one batch with its sequence. The batch is empty if there are none.
func (f *Facts) Take(now clock.Time) (fact.Batch, fact.Sequence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outbox.Take(now)
}

// Last returns the sequence of the last batch.
func (f *Facts) Last() fact.Sequence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outbox.Last()
}

// Repeat causes all facts that still matter to be published again.
func (f *Facts) Repeat(now clock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outbox.Repeat(now)
	f.signal()
}

// Apply records what a voter derived from the facts, and returns the quarantines that began or ended.
func (f *Facts) Apply(now clock.Time, run uint64, suspects []quarantine.Suspect) []quarantine.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, due := f.memory.Apply(now, run, suspects)
	f.add(now, due)
	return changed
}

// Release ends the quarantine of a part everywhere.
func (f *Facts) Release(now clock.Time, service ident.ServiceID, part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(now, quarantine.Report{Released: []quarantine.Released{{Service: service, ID: part}}})
}

// Quarantined returns the parts in quarantine.
func (f *Facts) Quarantined(now clock.Time) []quarantine.Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.List(now)
}

// add adds evidence to publish. f.mu is held.
func (f *Facts) add(now clock.Time, r quarantine.Report) {
	if r.Empty() {
		return
	}
	f.outbox.Add(now, fact.Batch{Evidence: r})
	f.signal()
}

// streamBegun records what began streams.
func (f *Facts) streamBegun(now clock.Time, b stream.Begun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun.Record(now, b)
	f.outbox.Add(now, fact.Batch{Streams: []stream.Begun{b}})
	f.signal()
}

// origin returns what began a stream, if this instance did.
func (f *Facts) origin(now clock.Time, k stream.Key) (stream.Origin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun.Find(now, k)
}

// signal signals that there are facts to publish. f.mu is held.
func (f *Facts) signal() {
	select {
	case f.wanted <- struct{}{}:
	default: // already signaled
	}
}

// CutOff forgets the crashes that are not reported yet: this instance has found itself cut off from targets.
func (f *Facts) CutOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.CutOff()
}

// began records that an answer of a target began on the given parts.
func (f *Facts) began(now clock.Time, target ident.TargetID, parts []quarantine.Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(now, f.memory.Began(now, target, parts))
}

// crashed records that a target crashed before an answer began on the given parts, which were sent to it
// the given time ago.
func (f *Facts) crashed(now clock.Time, parts []quarantine.Part, c quarantine.Crash, head bool, sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.Crashed(now, parts, c, head, sent)
}

// check returns a fault.PartQuarantined error if one of the parts is in quarantine at any version.
func (f *Facts) check(now clock.Time, parts []quarantine.Part) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	part, left, found := f.memory.Quarantined(now, parts)
	if !found {
		return nil
	}
	err := fault.New(fault.PartQuarantined, "%v crashes the targets of service %q and is in quarantine for %.0f s", part, part.Service, left.Seconds())
	return fault.WithRetryAfter(err, left)
}
