package fact

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
)

// maxLogged is the number of batches that are kept for voters that start.
const maxLogged = 8192

// deriveInterval is the interval at which suspects are determined without new facts, since they also
// change with time.
const deriveInterval = 100 * time.Millisecond

// warmUpTime is the time from the start of a voter until it puts parts in quarantine. By then the other
// voters and the instances have told it again what speaks for a part, not only what speaks against.
const warmUpTime = 2 * time.Second

// Collector holds the facts that a voter has been told, and what follows from them. Use NewCollector.
// It is not safe for concurrent use.
type Collector struct {
	log      *feed.Log[stamped] // of what instances told this voter
	received map[ident.InstanceID]received
	evidence *quarantine.Evidence
	mark     Mark
	suspects []quarantine.Suspect
	started  clock.Time
	dirty    bool       // facts came since the last Derive
	derived  clock.Time // last Derive
}

// received is the last batch that arrived from an instance.
type received struct {
	boot ident.BootID
	last Sequence
}

// NewCollector returns an empty collector of a voter that starts now. run identifies the run of the voter
// and must not be 0.
func NewCollector(now clock.Time, run uint64) *Collector {
	return &Collector{
		log: feed.New[stamped](run, maxLogged), received: map[ident.InstanceID]received{},
		evidence: quarantine.NewEvidence(), mark: Mark{Run: run}, started: now,
	}
}

// Tell records the batch of an instance.
func (c *Collector) Tell(now clock.Time, from ident.InstanceID, boot ident.BootID, s Sequence, b Batch) {
	r := c.received[from]
	if r.boot != boot {
		r = received{boot: boot}
	}
	r.last = max(r.last, s)
	c.received[from] = r
	c.log.Append(stamped{b, now})
	c.apply(now, b)
}

// Missing reports whether a batch of an instance has not arrived.
func (c *Collector) Missing(from ident.InstanceID, boot ident.BootID, s Sequence) bool {
	r := c.received[from]
	return s > 0 && (r.boot != boot || r.last < s)
}

// Since returns what instances have told this voter since a cursor, and the cursor after it.
func (c *Collector) Since(now clock.Time, since feed.Cursor) ([]Batch, feed.Cursor) {
	logged, next := c.log.Since(since)
	batches := make([]Batch, 0, len(logged))
	for _, s := range logged {
		batches = append(batches, s.batch.aged(now.Sub(s.at)))
	}
	return batches, next
}

// Merge records what another voter has been told.
func (c *Collector) Merge(now clock.Time, batches []Batch) {
	for _, b := range batches {
		c.apply(now, b)
	}
}

func (c *Collector) apply(now clock.Time, b Batch) {
	if !b.Evidence.Empty() {
		c.evidence.Add(now, b.Evidence)
		c.dirty = true
	}
}

// Derive determines what follows from the facts, and reports whether that has changed.
func (c *Collector) Derive(now clock.Time) bool {
	if !c.dirty && now.Sub(c.derived) < deriveInterval {
		return false
	}
	c.dirty, c.derived = false, now
	suspects := c.evidence.Suspects(now)
	if now.Sub(c.started) < warmUpTime {
		for i := range suspects {
			suspects[i].Quarantined = false
		}
	}
	changed := !quarantine.SameSuspects(suspects, c.suspects)
	c.suspects = suspects
	if changed {
		c.mark.Version++
	}
	return changed
}

// Suspects returns the suspects as of the last Derive, and their mark.
func (c *Collector) Suspects() ([]quarantine.Suspect, Mark) { return c.suspects, c.mark }
