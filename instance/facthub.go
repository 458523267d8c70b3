package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/peer"
)

const (
	// factInterval is the interval at which a voter determines what follows from new facts, and lets
	// the other voters read them.
	factInterval = 25 * time.Millisecond
	// factPollTime is the longest time for which a voter delays the reply to a poll for facts.
	factPollTime = 1 * time.Second
	// factPollTimeout bounds a poll. A voter that does not reply by then is replaced by another.
	factPollTimeout = factPollTime + 500*time.Millisecond
	// factRetryPause is the pause after a poll that failed.
	factRetryPause = 100 * time.Millisecond
	// relayCheckInterval is the interval at which a voter looks for new voters to read from.
	relayCheckInterval = 500 * time.Millisecond
)

// factHub holds the facts at a voter and replies to the instances that read them. It is safe for
// concurrent use.
type factHub struct {
	announced quarantine.Announced

	mu        sync.Mutex
	collector *fact.Collector
	derived   chan struct{} // closed when what follows from the facts changes
	published chan struct{} // closed some time after instances have published facts
	unread    bool          // instances have published facts since published was closed
}

func newFactHub(announced quarantine.Announced) *factHub {
	return &factHub{announced: announced, collector: fact.NewCollector(clock.Now(), rand.Uint64()|1), derived: make(chan struct{}), published: make(chan struct{})}
}

// publish records facts that an instance publishes.
func (h *factHub) publish(t *peer.Publish) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.collector.Publish(clock.Now(), t.Instance, t.Boot, t.Sequence, t.Batch)
	h.unread = true
}

// merge records facts that other voters have received.
func (h *factHub) merge(b fact.Batch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.collector.Merge(clock.Now(), b)
}

// findStream returns what began a stream. versions returns the software versions of a service's targets.
func (h *factHub) findStream(r *peer.FindStream, versions func(ident.ServiceID) []ident.SoftwareVersion) *peer.StreamFound {
	h.mu.Lock()
	origin, known := h.collector.Origin(clock.Now(), r.Stream)
	covered := h.collector.Covers(clock.Now(), r.Within)
	h.mu.Unlock()
	if known {
		return &peer.StreamFound{Known: true, Origin: origin}
	}
	all := versions(r.Service)
	switch {
	case len(all) > 1:
		return &peer.StreamFound{Several: true}
	case len(all) == 1 && covered:
		return &peer.StreamFound{Sole: true, Origin: stream.Origin{Service: r.Service, Software: all[0]}}
	default:
		return &peer.StreamFound{}
	}
}

// derive is the background task that determines what follows from the facts, and lets other voters read
// them. Hundreds of instances publish facts at any moment, so the others are not woken for each.
func (h *factHub) derive(ctx context.Context) error {
	return task.Every(ctx, factInterval, func(context.Context) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.unread {
			h.unread = false
			close(h.published)
			h.published = make(chan struct{})
		}
		if h.collector.Derive(clock.Now(), h.announced) {
			close(h.derived)
			h.derived = make(chan struct{})
		}
	})
}

// watch returns what follows from the facts, once that differs from what the instance has or some time
// has passed.
func (h *factHub) watch(ctx context.Context, l *peer.Watch) *peer.Watched {
	h.mu.Lock()
	_, mark := h.collector.Suspects()
	changed := h.derived
	h.mu.Unlock()
	if mark == l.Seen {
		wait(ctx, changed)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	suspects, mark := h.collector.Suspects()
	return &peer.Watched{Missing: h.collector.Missing(l.Instance, l.Boot, l.Last), Mark: mark, Suspects: suspects}
}

// relay returns what this voter has received since a cursor, once there is something or some time has
// passed.
func (h *factHub) relay(ctx context.Context, r *peer.Relay) *peer.Relayed {
	batch, next, published := h.since(r.Since)
	if next == r.Since {
		wait(ctx, published)
		batch, next, _ = h.since(r.Since)
	}
	return &peer.Relayed{Batch: batch, Next: next}
}

func (h *factHub) since(c fact.Cursor) (fact.Batch, fact.Cursor, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	batch, next := h.collector.Since(clock.Now(), c)
	return batch, next, h.published
}

// wait waits for an event, for factPollTime at most.
func wait(ctx context.Context, event <-chan struct{}) {
	timeout := time.NewTimer(factPollTime)
	defer timeout.Stop()
	select {
	case <-event:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// handleFacts processes a message about facts.
func (in *Instance) handleFacts(ctx context.Context, b peer.Body) (peer.Body, error) {
	if in.factHub == nil {
		return nil, fault.New(fault.BadRequest, "this instance does not collect facts")
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	switch b := b.(type) {
	case *peer.Publish:
		in.factHub.publish(b)
		return nil, nil
	case *peer.Watch:
		return in.factHub.watch(ctx, b), nil
	case *peer.Relay:
		return in.factHub.relay(ctx, b), nil
	case *peer.FindStream:
		return in.factHub.findStream(b, in.targetPool.SoftwareVersions), nil
	default:
		return nil, fault.New(fault.FrameInvalid, "unexpected message of type %T about facts", b)
	}
}

// relayFacts is the background task of a voter that reads what the other voters have received.
func (in *Instance) relayFacts(ctx context.Context) error {
	reading := map[ident.InstanceID]chan struct{}{} // closed when a reader has ended
	for {
		for _, id := range in.roster.Voters() {
			if id == in.settings.Instance || reading[id] != nil && !closed(reading[id]) {
				continue
			}
			end := make(chan struct{})
			reading[id] = end
			go in.readFacts(ctx, id, end)
		}
		select {
		case <-ctx.Done():
			for _, end := range reading {
				<-end
			}
			return ctx.Err()
		case <-time.After(relayCheckInterval):
		}
	}
}

// readFacts reads what a voter has received until it is no voter any more or ctx ends. It closes end when it
// returns.
func (in *Instance) readFacts(ctx context.Context, from ident.InstanceID, end chan<- struct{}) {
	defer close(end)
	var since fact.Cursor
	for ctx.Err() == nil && slices.Contains(in.roster.Voters(), from) {
		next, err := in.readFactsOnce(ctx, from, since)
		if err == nil {
			since = next
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(factRetryPause):
		}
	}
}

func (in *Instance) readFactsOnce(ctx context.Context, from ident.InstanceID, since fact.Cursor) (fact.Cursor, error) {
	ctx, cancel := context.WithTimeout(ctx, factPollTimeout)
	defer cancel()
	relayed, err := replyAs[*peer.Relayed](in.network.Call(ctx, from, &peer.Relay{Since: since}))
	if err != nil {
		return since, err
	}
	in.factHub.merge(relayed.Batch)
	return relayed.Next, nil
}

// closed reports whether a channel without values is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
