package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

// Load pattern: hundreds of instances choose among as many engines, each of which takes a few requests at a time. What
// an instance hears of the others' requests is half a second old by the time it has heard all, and by then they have
// chosen again: engines are full or idle by chance, and shared prompts are processed wherever they happen to come.
//
// So one instance of a region, the placer, chooses for all there. It knows what it chose and is told what became of it,
// so that it has the load of the region's engines as it is. Its choice is advice: whoever asked checks that the
// target may get work, and chooses by itself when no placer answers at once. Two placers at a time, or one that was
// started a moment ago, choose a little worse, and break nothing.

// Placer chooses targets for other instances. It is safe for concurrent use.
type Placer struct {
	fleet *TargetPool

	mu   sync.Mutex
	last peer.Ticket
	open map[peer.Ticket]openPlacement
}

// openPlacement is a placement whose end was not told yet.
type openPlacement struct {
	assigned *Assignment
	ends     clock.Time // it counts no longer, whatever is told of it
}

const (
	// placedSlack is the time beyond a request's own for which its placement counts, so that a placer
	// that nobody tells of its end forgets it.
	placedSlack = 500 * time.Millisecond
	// knownPart is the part of the engines that the asker knows which a placer has to know: one that was
	// started a moment ago would send everything to the few that it has heard of.
	knownPart = 0.8
	// leastBack is the shortest time after which a refused request should come back.
	leastBack = 300 * time.Millisecond
	// waitPart is the part of the time to the first token, as one in so many, that every request may wait for others.
	waitPart = 2
	// ticketBits leaves room for the placements of one run below a number that differs between runs.
	ticketBits = 32
)

// NewPlacer returns a placer that chooses among the targets of f.
func NewPlacer(f *TargetPool) *Placer {
	return &Placer{fleet: f, last: peer.Ticket(rand.Uint32()) << ticketBits, open: map[peer.Ticket]openPlacement{}}
}

// Place chooses a target. Errors: fault.NoTarget if none is usable or too few are known here, fault.BadRequest.
func (p *Placer) Place(now clock.Time, ask *peer.Place) (*peer.Placed, error) {
	if !ask.Need.Valid() || ask.Prompt < 0 || ask.Remaining < 0 {
		return nil, fault.New(fault.BadRequest, "placement of need %d, %d tokens, within %v", ask.Need, ask.Prompt, ask.Remaining)
	}
	if known := p.fleet.EngineCount(now, ask.Service); float64(known) < knownPart*float64(ask.KnownEngines) {
		return nil, fault.New(fault.NoTarget, "the placer knows %d of %d engines", known, ask.KnownEngines)
	}
	req := router.Request{
		Service: ask.Service, Version: ask.Version, Stage: ask.Need, Prompt: ask.Prompt,
		Blocks: router.PartBlockHashes(nil, ask.Parts), Parts: ask.Parts, Avoid: ask.Avoid, KVRegion: ask.CacheRegion, Urgency: ask.Urgency,
	}
	if ask.TTFTObjective > 0 {
		if c, ok := p.fleet.Preview(now, req); ok && c.Wait > patience(c.TTFT-c.Wait, ask.TTFTObjective) {
			return &peer.Placed{ExpectedTTFT: c.TTFT, RetryAfter: max(c.Wait, leastBack)}, nil
		}
	}
	a, err := p.fleet.Choose(now, req)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	p.open[p.last] = openPlacement{a, now.Add(ask.Remaining + placedSlack)}
	c := &a.Choice
	return &peer.Placed{Ticket: p.last, Target: c.ID, CacheSource: c.Source, Cached: c.Cached, ExpectedTTFT: c.TTFT, QueueWait: c.Wait}, nil
}

// patience returns how long a request may wait for others whose own prompt takes own: what is left of the time within
// which its first token should come, and at least a part of that time, so that the largest prompts are served like others.
func patience(own, within time.Duration) time.Duration {
	return max(within-own, within/waitPart)
}

// Notify takes what became of placements. Those of another run, or that ended, are passed over.
func (p *Placer) Notify(notes []peer.Note) {
	for _, n := range notes {
		p.mu.Lock()
		placed, ok := p.open[n.Ticket]
		if n.Event == peer.NoteEnded || n.Event == peer.NoteWithdrawn {
			delete(p.open, n.Ticket)
		}
		p.mu.Unlock()
		if ok {
			placed.assigned.note(n)
		}
	}
}

// ExpirePlacements forgets the placements whose time has passed.
func (p *Placer) ExpirePlacements(now clock.Time) {
	var lapsed []*Assignment
	p.mu.Lock()
	for ticket, placed := range p.open {
		if now.After(placed.ends) {
			delete(p.open, ticket)
			lapsed = append(lapsed, placed.assigned)
		}
	}
	p.mu.Unlock()
	for _, a := range lapsed {
		a.Finish()
	}
}

// note applies what another instance told of the placement.
func (a *Assignment) note(n peer.Note) {
	switch n.Event {
	case peer.NoteFirstToken:
		a.FirstToken()
	case peer.NoteEnded:
		a.Finish()
	case peer.NoteWithdrawn:
		a.Withdraw()
	case peer.NoteAnswered:
		a.ReportAnswer(false)
	case peer.NoteFailed:
		a.ReportAnswer(true)
	case peer.NoteUnreachable:
		a.MarkUnreachable()
	case peer.NoteLoad:
		a.ReportLoad(router.Report{Running: n.Running, Slots: n.Slots})
	case peer.NoteITLMissed:
		a.ReportPause(true)
	case peer.NoteITLMet:
		a.ReportPause(false)
	}
}
