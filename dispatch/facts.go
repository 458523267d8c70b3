package dispatch

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// Facts holds what this instance has seen and tells the others, and what it has learned from them; see
// packages fact and quarantine. It is safe for concurrent use.
type Facts struct {
	wanted chan struct{} // signals that there are facts to tell

	mu     sync.Mutex
	outbox fact.Outbox
	memory *quarantine.Memory
	begun  *stream.Memory // streams that this instance began
}

// NewFacts returns the empty facts of an instance.
func NewFacts(instance ident.InstanceID) *Facts {
	return &Facts{wanted: make(chan struct{}, 1), memory: quarantine.NewMemory(instance), begun: stream.NewMemory(clock.Now())}
}

// Wanted returns the channel that signals that there may be facts to tell.
func (f *Facts) Wanted() <-chan struct{} { return f.wanted }

// Take returns the facts to tell, as one batch with its sequence. The batch is empty if there are none.
func (f *Facts) Take(now clock.Time) (fact.Batch, fact.Sequence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outbox.Take(now)
}

// Told returns the sequence of the last batch.
func (f *Facts) Told() fact.Sequence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outbox.Last()
}

// Repeat causes all facts that still matter to be told again.
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

// add adds evidence to be told. f.mu is held.
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

// signal signals that there are facts to tell. f.mu is held.
func (f *Facts) signal() {
	select {
	case f.wanted <- struct{}{}:
	default: // already signaled
	}
}

// began records that an answer began on the shared parts of a prompt.
func (f *Facts) began(now clock.Time, parts []quarantine.Part) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(now, f.memory.Began(now, parts))
}

// crashed records that an engine crashed before an answer began on the shared parts of a prompt.
func (f *Facts) crashed(now clock.Time, parts []quarantine.Part, c quarantine.Crash, head bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.add(now, f.memory.Crashed(parts, c, head))
}

// check returns a fault.PartQuarantined error if one of the parts is in quarantine.
func (f *Facts) check(now clock.Time, service ident.ServiceID, ids []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	part, left, found := f.memory.Quarantined(now, service, ids)
	if !found {
		return nil
	}
	err := fault.New(fault.PartQuarantined, "part %s of the prompt crashes the engines of service %q and is in quarantine for %.0f s", part.ID, service, left.Seconds())
	return fault.WithRetryAfter(err, left)
}

// checkParts returns a fault.PartQuarantined error if the request may not be sent because of its prompt.
func (r *forwardRun) checkParts() error {
	if !r.hasEngines || r.d.cfg.Facts == nil {
		return nil
	}
	return r.d.cfg.Facts.check(clock.Now(), r.req.Service, sharedParts(r.req.Parts))
}

// recordBegun records that the first event of an answer has come.
func (r *forwardRun) recordBegun(a *Assignment) {
	if r.hasEngines && r.d.cfg.Facts != nil {
		r.d.cfg.Facts.began(clock.Now(), r.partsAt(a))
	}
}

// recordCrash finds out whether the target of an answer that broke off has crashed, and records it.
// An engine that still accepts connections has not.
func (r *forwardRun) recordCrash(ctx context.Context, a *Assignment, head bool) {
	if !r.hasEngines || r.d.cfg.Facts == nil || a.gotFirstToken {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if r.d.cfg.Backend.Reachable(ctx, a.Address) {
		return
	}
	parts := r.partsAt(a)
	r.d.cfg.Facts.crashed(clock.Now(), parts, quarantine.Crash{Target: a.Choice.ID, Incarnation: a.incarnation}, head)
	r.d.cfg.Metrics.Count("engine_crashes_seen")
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "engine_crashed", "request": r.req.ID, "service": r.req.Service, "target": a.Choice.ID, "incarnation": a.incarnation, "software": a.Software,
		"parts": sharedParts(r.req.Parts), "head": head,
	}).Info("an engine crashed before it sent an event of an answer")
}

// partsAt returns the shared parts of the prompt at the software version of a target.
func (r *forwardRun) partsAt(a *Assignment) []quarantine.Part {
	var parts []quarantine.Part
	for _, id := range sharedParts(r.req.Parts) {
		parts = append(parts, quarantine.Part{Service: r.req.Service, Software: a.Software, ID: id})
	}
	return parts
}
