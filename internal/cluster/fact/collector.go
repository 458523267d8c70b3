package fact

import (
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/feed"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// maxLogged is the number of batches of a kind that are kept for voters which read late. One that starts
// reads all facts.
const maxLogged = 8192

// deriveInterval is the interval at which suspects are determined without new facts, since they also
// change with time. derivePerPart is added for each part with evidence, of which there are thousands
// after the loss of a failure domain.
const (
	deriveInterval = 100 * time.Millisecond
	derivePerPart  = 200 * time.Microsecond
)

// warmUpTime is the time from the start of a voter until it puts parts in quarantine. By then the other
// voters and the instances have published again what speaks for a part, not only what speaks against.
const warmUpTime = 2 * time.Second

// Collector holds the facts that a voter has received, and what follows from them. Use NewCollector.
// It is not safe for concurrent use.
type Collector struct {
	// The facts that instances published to this voter, by kind, so that streams do not displace evidence.
	evidenceLog, streamLog *feed.Log[stamped]

	received map[ident.InstanceID]received
	evidence *quarantine.Evidence
	streams  *stream.Memory
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
		evidenceLog: feed.New[stamped](run, maxLogged), streamLog: feed.New[stamped](run, maxLogged), received: map[ident.InstanceID]received{},
		evidence: quarantine.NewEvidence(), streams: stream.NewMemory(now), mark: Mark{Run: run}, started: now,
	}
}

// Publish records the batch of an instance.
func (c *Collector) Publish(now clock.Time, from ident.InstanceID, boot ident.BootID, s Sequence, b Batch) {
	r := c.received[from]
	if r.boot != boot {
		r = received{boot: boot}
	}
	r.last = max(r.last, s)
	c.received[from] = r
	if !b.Evidence.Empty() {
		c.evidenceLog.Append(stamped{Batch{Evidence: b.Evidence}, now})
	}
	if len(b.Streams) > 0 {
		c.streamLog.Append(stamped{Batch{Streams: b.Streams}, now})
	}
	c.apply(now, b)
}

// Missing reports whether a batch of an instance has not arrived.
func (c *Collector) Missing(from ident.InstanceID, boot ident.BootID, s Sequence) bool {
	r := c.received[from]
	return s > 0 && (r.boot != boot || r.last < s)
}

// Cursor is a position in what instances have published to a voter.
type Cursor struct {
	Evidence feed.Cursor `msgpack:"evidence"`
	Streams  feed.Cursor `msgpack:"streams"`
}

// Since returns what instances have published to this voter since a cursor, and the cursor after it. For a
// cursor of another run it returns all facts that this voter has: what instances published to a voter that has
// ended since then is left only at the others.
func (c *Collector) Since(now clock.Time, since Cursor) (Batch, Cursor) {
	if since.Evidence.Run != c.mark.Run {
		_, nextEvidence := c.evidenceLog.Since(since.Evidence)
		_, nextStreams := c.streamLog.Since(since.Streams)
		return Batch{Evidence: c.evidence.All(now), Streams: c.streams.All(now)}, Cursor{nextEvidence, nextStreams}
	}
	evidence, nextEvidence := c.evidenceLog.Since(since.Evidence)
	streams, nextStreams := c.streamLog.Since(since.Streams)
	b := join(now, evidence)
	b.add(join(now, streams))
	return b, Cursor{nextEvidence, nextStreams}
}

// Merge records what another voter has received.
func (c *Collector) Merge(now clock.Time, b Batch) { c.apply(now, b) }

// Origin returns what began a stream, and false if no instance published it.
func (c *Collector) Origin(now clock.Time, k stream.Key) (stream.Origin, bool) {
	return c.streams.Find(now, k)
}

// Covers reports whether a stream that began within the given time would be known, had its instance
// published it.
func (c *Collector) Covers(now clock.Time, d time.Duration) bool { return c.streams.Covers(now, d) }

// StreamCount returns the number of streams that are remembered.
func (c *Collector) StreamCount() int { return c.streams.Len() }

func (c *Collector) apply(now clock.Time, b Batch) {
	if !b.Evidence.Empty() {
		c.evidence.Add(now, b.Evidence)
		c.dirty = true
	}
	for _, s := range b.Streams {
		c.streams.Record(now, s)
	}
}

// Derive determines what follows from the facts and from the announcements of targets, and reports
// whether that has changed.
func (c *Collector) Derive(now clock.Time, announced quarantine.Announced) bool {
	interval := deriveInterval + time.Duration(c.evidence.Len())*derivePerPart
	if !c.dirty && now.Sub(c.derived) < interval {
		return false
	}
	c.dirty, c.derived = false, now
	suspects := c.evidence.Suspects(now, announced)
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
